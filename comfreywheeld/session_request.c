#include "session_client_internal.h"

void session_finish(struct pending *p, bool reached)
{
	struct session_answer answer = p->quorum.merged;
	session_done done = p->done;
	bool store = p->store;
	void *data = p->data;

	g_hash_table_remove(p->client->pending, &p->id);
	done(reached, store ? NULL : &answer, data);
}

/*
 * A daemon with a replaced list reads from the owners by that list, so a
 * majority of those must have moved to the new version as well.
 */
static bool is_stored(const struct pending *p, int64_t now_us)
{
	unsigned group, i, stored;

	if (!p->nr_owners || now_us < p->client->store_from_us)
		return false;
	for (group = 0; group < p->nr_groups; group++) {
		if (now_us >= p->until_us[group])
			continue;
		stored = 0;
		for (i = 0; i < p->nr_owners; i++)
			stored += p->owners[i].stored &&
				  (p->owners[i].groups & 1u << group);
		if (stored < p->needed[group])
			return false;
	}
	return true;
}

/* Returns false when the request is over and @p is gone. */
bool session_settle(struct pending *p, int64_t now_us)
{
	bool reached = p->store ? is_stored(p, now_us) :
				  session_quorum_reached(&p->quorum);

	if (reached) {
		session_finish(p, true);
		return false;
	}
	/* A refused store is sent again when the member list arrives. */
	if (!p->store && session_quorum_failed(&p->quorum)) {
		session_finish(p, false);
		return false;
	}
	return true;
}

void session_note_answer(struct pending *p, struct owner *owner, bool accepted,
			 const struct session_answer *answer)
{
	if (p->store) {
		owner->stored = owner->stored || accepted;
		/* A refusal is not final: the member lists may meet again. */
		owner->answered = owner->stored;
		return;
	}
	owner->answered = true;
	if (accepted)
		session_quorum_add_answer(&p->quorum, answer);
	else
		session_quorum_add_refusal(&p->quorum);
}

static void ask_self(struct pending *p, struct owner *owner, int64_t now_us)
{
	struct session_client *client = p->client;
	struct session_answer answer = { 0 };
	bool accepted;

	if (p->store)
		accepted = session_positions_store(
			&client->positions, p->session, p->cluster, p->pos,
			client->members_version, now_us);
	else
		accepted = session_positions_lookup(&client->positions,
						    p->session, p->cluster,
						    client->members_version,
						    now_us, &answer);
	session_note_answer(p, owner, accepted, &answer);
}

static void ask_peer(struct pending *p, int handle)
{
	struct session_client *client = p->client;
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__SessionLookup lookup = WIRE__SESSION_LOOKUP__INIT;
	Wire__SessionStore store = WIRE__SESSION_STORE__INIT;
	Wire__Position pos = WIRE__POSITION__INIT;

	if (p->store) {
		pos.term = p->pos.term;
		pos.lsn = p->pos.lsn;
		store.request = p->id;
		store.session = p->session;
		store.cluster = p->cluster;
		store.position = &pos;
		store.members_version = client->members_version;
		envelope.body_case = WIRE__ENVELOPE__BODY_SESSION_STORE;
		envelope.session_store = &store;
	} else {
		lookup.request = p->id;
		lookup.session = p->session;
		lookup.cluster = p->cluster;
		lookup.members_version = client->members_version;
		envelope.body_case = WIRE__ENVELOPE__BODY_SESSION_LOOKUP;
		envelope.session_lookup = &lookup;
	}
	bus_send(client->bus, handle, &envelope);
}

void session_ask_owners(struct pending *p, int64_t now_us)
{
	struct owner *owner;
	unsigned i;

	for (i = 0; i < p->nr_owners; i++) {
		owner = &p->owners[i];
		if (owner->answered)
			continue;
		if (owner->handle >= 0)
			ask_peer(p, owner->handle);
		else
			ask_self(p, owner, now_us);
	}
}

static void add_owner(struct pending *p, int handle, unsigned group)
{
	unsigned i;

	for (i = 0; i < p->nr_owners; i++)
		if (p->owners[i].handle == handle)
			break;
	if (i == p->nr_owners)
		p->owners[p->nr_owners++] = (struct owner){ .handle = handle };
	p->owners[i].groups |= 1u << group;
}

static void add_group(struct pending *p, const GArray *list, int64_t until_us)
{
	unsigned nr, i, owners[SESSION_OWNERS];
	unsigned group = p->nr_groups++;
	struct session_member *members;
	const struct member *m;

	members = g_new(struct session_member, list->len);
	for (i = 0; i < list->len; i++) {
		m = &g_array_index(list, struct member, i);
		members[i].name = m->name;
		members[i].availability_zone = m->zone;
	}
	nr = session_select_owners(members, list->len, p->session, owners);
	g_free(members);
	for (i = 0; i < nr; i++)
		add_owner(p,
			  g_array_index(list, struct member, owners[i]).handle,
			  group);
	p->needed[group] = nr / 2 + 1;
	p->until_us[group] = until_us;
}

void session_drop_former(struct session_client *client, int64_t now_us)
{
	struct member_list *oldest;

	while ((oldest = g_queue_peek_head(client->former)) &&
	       oldest->until_us <= now_us)
		session_list_free(g_queue_pop_head(client->former));
}

void session_choose_owners(struct pending *p, int64_t now_us)
{
	const struct member_list *list;
	GList *l;

	p->nr_owners = p->nr_groups = 0;
	add_group(p, p->client->members, INT64_MAX);
	session_quorum_init(&p->quorum, p->nr_owners);
	if (!p->store)
		return;
	session_drop_former(p->client, now_us);
	for (l = p->client->former->head; l; l = l->next) {
		list = l->data;
		add_group(p, list->members, list->until_us);
	}
}

/* The owner behind @handle, if it was asked and has not answered. */
struct owner *session_waiting_owner(struct pending *p, int handle)
{
	unsigned i;

	for (i = 0; i < p->nr_owners; i++)
		if (p->owners[i].handle == handle && !p->owners[i].answered)
			return &p->owners[i];
	return NULL;
}
