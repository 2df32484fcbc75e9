#include "session_client_internal.h"

#include <string.h>

/* Time after which owners that have not answered are asked again. */
#define RESEND_US 10000

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

void session_list_free(void *data)
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
	g_queue_free_full(client->former, session_list_free);
	session_positions_finish(&client->positions);
	g_free(client);
}

static void on_resend(int64_t now_us, void *data)
{
	struct pending *p = data;

	p->timer = TIMER_NONE;
	if (now_us >= p->deadline_us) {
		session_finish(p, false);
		return;
	}
	if (p->store)
		session_ask_owners(p, now_us);
	if (!session_settle(p, now_us))
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
	session_choose_owners(p, now_us);
	/* Without a member list a lookup cannot reach anybody. */
	if (!p->nr_owners && !p->store) {
		session_finish(p, false);
		return 0;
	}
	session_ask_owners(p, now_us);
	if (p->nr_owners && !session_settle(p, now_us))
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
	session_choose_owners(p, now_us);
	if (!p->nr_owners)
		return;
	session_ask_owners(p, now_us);
	session_settle(p, now_us);
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
	return client->settings->lease_duration_us +
	       client->settings->lease_duration_us / 4;
}

/* Keeps the replaced list for as long as a lease with it may last. */
static void replace_list(struct session_client *client, int64_t now_us)
{
	struct member_list *list;

	session_drop_former(client, now_us);
	/* What was in force before the first list is not known. */
	if (!client->members_version) {
		client->store_from_us = now_us + settle_time(client);
		return;
	}
	if (g_queue_get_length(client->former) == FORMER_MAX) {
		list = g_queue_pop_head(client->former);
		client->store_from_us =
			MAX(client->store_from_us, list->until_us);
		session_list_free(list);
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
			m.handle = bus_connect(client->bus,
					       members[i]->bus_address, NULL);
		g_array_append_val(client->members, m);
	}
	client->members_version = version;
	session_positions_change_members(&client->positions, version, now_us,
					 settle_time(client));
	restart_all(client, now_us);
}

static void on_stored(struct session_client *client, int handle,
		      const Wire__SessionStored *stored, int64_t now_us)
{
	struct pending *p =
		g_hash_table_lookup(client->pending, &stored->request);
	struct owner *owner = p && p->store ? session_waiting_owner(p, handle) :
					      NULL;

	if (!owner || stored->members_version != client->members_version)
		return;
	session_note_answer(p, owner, !stored->refused, NULL);
	session_settle(p, now_us);
}

static void on_position(struct session_client *client, int handle,
			const Wire__SessionPosition *reply, int64_t now_us)
{
	struct pending *p =
		g_hash_table_lookup(client->pending, &reply->request);
	struct owner *owner =
		p && !p->store ? session_waiting_owner(p, handle) : NULL;
	struct session_answer answer = { 0 };

	if (!owner || reply->members_version != client->members_version)
		return;
	answer.found = reply->found && reply->position;
	if (answer.found) {
		answer.pos.term = reply->position->term;
		answer.pos.lsn = reply->position->lsn;
	}
	answer.complete_for_us = MIN(reply->complete_for_us, INT64_MAX);
	session_note_answer(p, owner, !reply->refused, &answer);
	session_settle(p, now_us);
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
