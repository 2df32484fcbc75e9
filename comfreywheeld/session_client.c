#include "session_client.h"

#include <string.h>

/* Time after which owners that have not answered are asked again. */
#define RESEND_US 10000

/**
 * struct member - a daemon that may own sessions
 * @handle: bus handle, -1 for this daemon
 */
struct member {
	char *name;
	char *zone;
	int handle;
};

/**
 * struct member_list - a list that was replaced
 * @until_us: when no daemon can hold a lease with it any more
 */
struct member_list {
	GArray *members;
	int64_t until_us;
};

/* Lists that may be in use at once; further ones make stores wait. */
#define FORMER_MAX 4
#define GROUPS_MAX (1 + FORMER_MAX)

/**
 * struct owner - a daemon that was asked
 * @handle: bus handle, -1 for this daemon
 * @groups: bit mask of the lists by which it is an owner, bit 0 the newest
 */
struct owner {
	int handle;
	unsigned groups;
	bool answered;
	bool stored;
};

/**
 * struct pending - a store or a lookup under way
 * @needed: by list: owners that must have stored, until @until_us
 */
struct pending {
	struct session_client *client;
	uint64_t id;
	bool store;
	uint64_t session;
	uint64_t cluster;
	struct position pos;
	int64_t deadline_us;
	session_done done;
	void *data;
	struct session_quorum quorum;
	struct owner owners[GROUPS_MAX * SESSION_OWNERS];
	unsigned nr_owners;
	unsigned needed[GROUPS_MAX];
	int64_t until_us[GROUPS_MAX];
	unsigned nr_groups;
	int timer;
};

/**
 * struct session_client - see session_client.h
 * @former: struct member_list, oldest first
 * @store_from_us: no store is complete before, since lists that this daemon
 *                 does not know may be in use
 */
struct session_client {
	const struct settings *settings;
	struct bus *bus;
	struct timer_service *timers;
	struct session_positions positions;
	GArray *members;
	uint64_t members_version;
	GQueue *former;
	int64_t store_from_us;
	GHashTable *pending;
	uint64_t next_id;
};

static void member_clear(void *data)
{
	struct member *m = data;

	g_free(m->name);
	g_free(m->zone);
}

static GArray *member_array_new(void)
{
	GArray *members = g_array_new(FALSE, TRUE, sizeof(struct member));

	g_array_set_clear_func(members, member_clear);
	return members;
}

static void member_list_free(void *data)
{
	struct member_list *list = data;

	g_array_free(list->members, TRUE);
	g_free(list);
}

static void pending_free(void *data)
{
	struct pending *p = data;

	timer_cancel(p->client->timers, &p->timer);
	g_free(p);
}

struct session_client *session_client_new(const struct settings *settings,
					  struct bus *bus,
					  struct timer_service *timers,
					  int64_t now_us)
{
	struct session_client *client = g_new0(struct session_client, 1);

	client->settings = settings;
	client->bus = bus;
	client->timers = timers;
	client->next_id = 1;
	session_positions_init(&client->positions, SESSION_CAPACITY,
			       SESSION_RETENTION_US, now_us);
	client->members = member_array_new();
	client->former = g_queue_new();
	client->pending = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						NULL, pending_free);
	return client;
}

void session_client_free(struct session_client *client)
{
	g_hash_table_destroy(client->pending);
	g_array_free(client->members, TRUE);
	g_queue_free_full(client->former, member_list_free);
	session_positions_finish(&client->positions);
	g_free(client);
}

static void finish(struct pending *p, bool reached)
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
static bool settle(struct pending *p, int64_t now_us)
{
	bool reached = p->store ? is_stored(p, now_us) :
				  session_quorum_reached(&p->quorum);

	if (reached) {
		finish(p, true);
		return false;
	}
	/* A refused store is sent again when the member list arrives. */
	if (!p->store && session_quorum_failed(&p->quorum)) {
		finish(p, false);
		return false;
	}
	return true;
}

static void note_answer(struct pending *p, struct owner *owner, bool accepted,
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
		session_quorum_answer(&p->quorum, answer);
	else
		session_quorum_refusal(&p->quorum);
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
	note_answer(p, owner, accepted, &answer);
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

static void ask_owners(struct pending *p, int64_t now_us)
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
	nr = session_owners(members, list->len, p->session, owners);
	g_free(members);
	for (i = 0; i < nr; i++)
		add_owner(p,
			  g_array_index(list, struct member, owners[i]).handle,
			  group);
	p->needed[group] = nr / 2 + 1;
	p->until_us[group] = until_us;
}

static void drop_former(struct session_client *client, int64_t now_us)
{
	struct member_list *oldest;

	while ((oldest = g_queue_peek_head(client->former)) &&
	       oldest->until_us <= now_us)
		member_list_free(g_queue_pop_head(client->former));
}

static void choose_owners(struct pending *p, int64_t now_us)
{
	const struct member_list *list;
	GList *l;

	p->nr_owners = p->nr_groups = 0;
	add_group(p, p->client->members, INT64_MAX);
	session_quorum_init(&p->quorum, p->nr_owners);
	if (!p->store)
		return;
	drop_former(p->client, now_us);
	for (l = p->client->former->head; l; l = l->next) {
		list = l->data;
		add_group(p, list->members, list->until_us);
	}
}

static void on_resend(int64_t now_us, void *data)
{
	struct pending *p = data;

	p->timer = TIMER_NONE;
	if (now_us >= p->deadline_us) {
		finish(p, false);
		return;
	}
	if (p->store)
		ask_owners(p, now_us);
	if (!settle(p, now_us))
		return;
	p->timer = timer_subscribe(p->client->timers,
				   MIN(now_us + RESEND_US, p->deadline_us), 0,
				   on_resend, p);
}

static uint64_t start(struct session_client *client, struct pending *p,
		      int64_t now_us)
{
	uint64_t id = client->next_id++;

	p->client = client;
	p->id = id;
	p->timer = TIMER_NONE;
	g_hash_table_insert(client->pending, &p->id, p);
	choose_owners(p, now_us);
	/* Without a member list a lookup cannot reach anybody. */
	if (!p->nr_owners && !p->store) {
		finish(p, false);
		return 0;
	}
	ask_owners(p, now_us);
	if (p->nr_owners && !settle(p, now_us))
		return 0;
	p->timer = timer_subscribe(client->timers,
				   p->store ? MIN(now_us + RESEND_US,
						  p->deadline_us) :
					      p->deadline_us,
				   0, on_resend, p);
	return id;
}

uint64_t session_client_store(struct session_client *client, uint64_t session,
			      uint64_t cluster, struct position pos,
			      int64_t deadline_us, session_done done,
			      void *data, int64_t now_us)
{
	struct pending *p = g_new0(struct pending, 1);

	p->store = true;
	p->session = session;
	p->cluster = cluster;
	p->pos = pos;
	p->deadline_us = deadline_us;
	p->done = done;
	p->data = data;
	return start(client, p, now_us);
}

uint64_t session_client_lookup(struct session_client *client, uint64_t session,
			       uint64_t cluster, session_done done, void *data,
			       int64_t now_us)
{
	struct pending *p = g_new0(struct pending, 1);

	p->session = session;
	p->cluster = cluster;
	p->deadline_us = now_us + client->settings->session_wait_us;
	p->done = done;
	p->data = data;
	return start(client, p, now_us);
}

void session_client_cancel(struct session_client *client, uint64_t request)
{
	g_hash_table_remove(client->pending, &request);
}

static void restart(struct pending *p, int64_t now_us)
{
	choose_owners(p, now_us);
	if (!p->nr_owners)
		return;
	ask_owners(p, now_us);
	settle(p, now_us);
}

/* Owners moved: whatever is under way starts again. */
static void restart_all(struct session_client *client, int64_t now_us)
{
	GArray *ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	struct pending *p;
	GHashTableIter iter;
	gpointer value;
	guint i;

	g_hash_table_iter_init(&iter, client->pending);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_array_append_val(ids, ((struct pending *)value)->id);
	for (i = 0; i < ids->len; i++) {
		p = g_hash_table_lookup(client->pending,
					&g_array_index(ids, uint64_t, i));
		if (p)
			restart(p, now_us);
	}
	g_array_free(ids, TRUE);
}

/*
 * A daemon on the older list may store at the former owners until its lease
 * ends, since the next grant brings the newer list. The record of the new
 * owners counts as complete only from then on.
 */
static int64_t settle_time(const struct session_client *client)
{
	return client->settings->lease_us + client->settings->lease_us / 4;
}

/* Keeps the replaced list for as long as a lease with it may last. */
static void replace_list(struct session_client *client, int64_t now_us)
{
	struct member_list *list;

	drop_former(client, now_us);
	/* What was in force before the first list is not known. */
	if (!client->members_version) {
		client->store_from_us = now_us + settle_time(client);
		return;
	}
	if (g_queue_get_length(client->former) == FORMER_MAX) {
		list = g_queue_pop_head(client->former);
		client->store_from_us =
			MAX(client->store_from_us, list->until_us);
		member_list_free(list);
	}
	list = g_new(struct member_list, 1);
	list->members = client->members;
	list->until_us = now_us + settle_time(client);
	g_queue_push_tail(client->former, list);
	client->members = member_array_new();
}

void session_client_members(struct session_client *client,
			    Wire__Member *const *members, size_t nr,
			    uint64_t version, int64_t now_us)
{
	struct member m;
	size_t i;

	replace_list(client, now_us);
	for (i = 0; i < nr; i++) {
		m.name = g_strdup(members[i]->daemon);
		m.zone = g_strdup(members[i]->availability_zone);
		m.handle = -1;
		if (strcmp(m.name, client->settings->name))
			m.handle = bus_peer(client->bus,
					    members[i]->bus_address, NULL);
		g_array_append_val(client->members, m);
	}
	client->members_version = version;
	session_positions_members(&client->positions, version, now_us,
				  settle_time(client));
	restart_all(client, now_us);
}

static void answer_store(struct session_client *client,
			 const struct bus_return_path *from,
			 const Wire__SessionStore *store, int64_t now_us)
{
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__SessionStored stored = WIRE__SESSION_STORED__INIT;
	struct position pos = { 0 };

	if (store->position) {
		pos.term = store->position->term;
		pos.lsn = store->position->lsn;
	}
	stored.request = store->request;
	stored.members_version = store->members_version;
	stored.refused = !session_positions_store(
		&client->positions, store->session, store->cluster, pos,
		store->members_version, now_us);
	envelope.body_case = WIRE__ENVELOPE__BODY_SESSION_STORED;
	envelope.session_stored = &stored;
	bus_answer(client->bus, from, &envelope);
}

static void answer_lookup(struct session_client *client,
			  const struct bus_return_path *from,
			  const Wire__SessionLookup *lookup, int64_t now_us)
{
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__SessionPosition reply = WIRE__SESSION_POSITION__INIT;
	Wire__Position pos = WIRE__POSITION__INIT;
	struct session_answer answer = { 0 };

	reply.request = lookup->request;
	reply.members_version = lookup->members_version;
	reply.refused = !session_positions_lookup(
		&client->positions, lookup->session, lookup->cluster,
		lookup->members_version, now_us, &answer);
	reply.found = answer.found;
	pos.term = answer.pos.term;
	pos.lsn = answer.pos.lsn;
	reply.position = &pos;
	reply.complete_for_us = MAX(answer.complete_for_us, 0);
	envelope.body_case = WIRE__ENVELOPE__BODY_SESSION_POSITION;
	envelope.session_position = &reply;
	bus_answer(client->bus, from, &envelope);
}

bool session_client_request(struct session_client *client,
			    const struct bus_return_path *from,
			    const Wire__Envelope *envelope, int64_t now_us)
{
	switch (envelope->body_case) {
	case WIRE__ENVELOPE__BODY_SESSION_STORE:
		answer_store(client, from, envelope->session_store, now_us);
		return true;
	case WIRE__ENVELOPE__BODY_SESSION_LOOKUP:
		answer_lookup(client, from, envelope->session_lookup, now_us);
		return true;
	default:
		return false;
	}
}

/* The owner behind @handle, if it was asked and has not answered. */
static struct owner *waiting_owner(struct pending *p, int handle)
{
	unsigned i;

	for (i = 0; i < p->nr_owners; i++)
		if (p->owners[i].handle == handle && !p->owners[i].answered)
			return &p->owners[i];
	return NULL;
}

static void on_stored(struct session_client *client, int handle,
		      const Wire__SessionStored *stored, int64_t now_us)
{
	struct pending *p =
		g_hash_table_lookup(client->pending, &stored->request);
	struct owner *owner = p && p->store ? waiting_owner(p, handle) : NULL;

	if (!owner || stored->members_version != client->members_version)
		return;
	note_answer(p, owner, !stored->refused, NULL);
	settle(p, now_us);
}

static void on_position(struct session_client *client, int handle,
			const Wire__SessionPosition *reply, int64_t now_us)
{
	struct pending *p =
		g_hash_table_lookup(client->pending, &reply->request);
	struct owner *owner = p && !p->store ? waiting_owner(p, handle) : NULL;
	struct session_answer answer = { 0 };

	if (!owner || reply->members_version != client->members_version)
		return;
	answer.found = reply->found && reply->position;
	if (answer.found) {
		answer.pos.term = reply->position->term;
		answer.pos.lsn = reply->position->lsn;
	}
	answer.complete_for_us = MIN(reply->complete_for_us, INT64_MAX);
	note_answer(p, owner, !reply->refused, &answer);
	settle(p, now_us);
}

bool session_client_reply(struct session_client *client, int handle,
			  const Wire__Envelope *envelope, int64_t now_us)
{
	switch (envelope->body_case) {
	case WIRE__ENVELOPE__BODY_SESSION_STORED:
		on_stored(client, handle, envelope->session_stored, now_us);
		return true;
	case WIRE__ENVELOPE__BODY_SESSION_POSITION:
		on_position(client, handle, envelope->session_position, now_us);
		return true;
	default:
		return false;
	}
}
