#include "control_client_internal.h"
#include "log.h"
#include "peer_table.h"

#include <inttypes.h>
#include <string.h>

/* Heartbeats without an answer after which every control VM is asked. */
#define SILENT_HEARTBEATS 2
/*
 * Least time between heartbeats that redirects cause, so that control VMs
 * that disagree about the leader cannot make a daemon send without end.
 */
#define REDIRECT_PAUSE_US 20000ll
/*
 * Least time between heartbeats out of turn: many clusters may fail at once,
 * and grants count for the last LEASE_HEARTBEAT_WINDOW heartbeats only.
 */
#define URGENT_PAUSE_US 5000ll

static void fill(struct control_client *client, Wire__Heartbeat *hb)
{
	hb->daemon = client->settings->name;
	hb->incarnation = client->lease.incarnation;
	hb->tables_version = client->tables.version;
	hb->members_version = client->members_version;
	hb->availability_zone = client->settings->availability_zone;
	hb->bus_address = client->settings->bus_listen;
	if (client->events.fill)
		client->events.fill(hb, client->data);
	control_confirm_fences(client, hb);
}

static void send_heartbeat(struct control_client *client, bool urgent,
			   int64_t now_us)
{
	int64_t silent_us = now_us - client->answered_us;
	bool search =
		silent_us >
		SILENT_HEARTBEATS * client->settings->heartbeat_interval_us;
	Wire__Heartbeat hb = WIRE__HEARTBEAT__INIT;
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	unsigned i;

	fill(client, &hb);
	hb.sequence = lease_record_heartbeat(&client->lease, now_us);
	hb.state_hash = client->state_hash;
	control_delta_trim(&client->delta, &hb, search, urgent, now_us);
	envelope.body_case = WIRE__ENVELOPE__BODY_HEARTBEAT;
	envelope.heartbeat = &hb;
	client->counts.heartbeats++;
	client->sent_us = now_us;
	if (search) {
		client->counts.searches++;
		for (i = 0; i < client->nr_vms; i++)
			bus_send(client->bus, client->vms[i].handle, &envelope);
	} else if (client->nr_vms) {
		bus_send(client->bus, client->vms[client->leader].handle,
			 &envelope);
	}
	control_delta_release(&hb);
}

static void on_heartbeat(int64_t now_us, void *data)
{
	send_heartbeat(data, false, now_us);
}

static void on_soon(int64_t now_us, void *data)
{
	struct control_client *client = data;

	client->soon_timer = TIMER_NONE;
	send_heartbeat(client, true, now_us);
}

void control_client_urgent(struct control_client *client, int64_t now_us)
{
	int64_t earliest_us = client->sent_us + URGENT_PAUSE_US;

	if (client->soon_timer != TIMER_NONE)
		return;
	if (now_us >= earliest_us)
		send_heartbeat(client, true, now_us);
	else
		client->soon_timer = timer_subscribe(
			client->timers, earliest_us, 0, on_soon, client);
}

static void on_lease_end(int64_t now_us, void *data)
{
	struct control_client *client = data;

	client->lease_timer = TIMER_NONE;
	if (!lease_valid(&client->lease, now_us) && client->events.lease_lost)
		client->events.lease_lost(client->data);
}

struct control_client *control_client_new(const struct settings *settings,
					  struct bus *bus,
					  struct timer_service *timers,
					  const struct control_events *events,
					  void *data, int64_t now_us)
{
	struct control_client *client = g_new0(struct control_client, 1);
	const struct control_peer *peer;
	struct control_vm *vm;
	guint i;

	client->settings = settings;
	client->bus = bus;
	client->timers = timers;
	client->events = *events;
	client->data = data;
	client->answered_us = now_us;
	client->redirected_us = INT64_MIN / 2;
	client->clusters = g_hash_table_new_full(g_str_hash, g_str_equal,
						 g_free, control_known_free);
	client->shares =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	control_delta_init(&client->delta);
	client->lease_timer = TIMER_NONE;
	client->soon_timer = TIMER_NONE;
	client->sent_us = INT64_MIN / 2;
	tables_init(&client->tables);
	lease_init(&client->lease,
		   (uint64_t)g_random_int() << 32 | g_random_int());
	for (i = 0; i < settings->control_peers->len &&
		    client->nr_vms < CONTROL_VMS_MAX;
	     i++) {
		peer = &g_array_index(settings->control_peers,
				      struct control_peer, i);
		vm = &client->vms[client->nr_vms];
		vm->id = peer->id;
		vm->handle = bus_connect(bus, peer->address, NULL);
		client->nr_vms += vm->handle >= 0;
	}
	client->heartbeat_timer =
		timer_subscribe(timers, now_us, settings->heartbeat_interval_us,
				on_heartbeat, client);
	return client;
}

void control_client_free(struct control_client *client)
{
	unsigned i;

	if (!client)
		return;
	timer_cancel(client->timers, &client->heartbeat_timer);
	timer_cancel(client->timers, &client->lease_timer);
	timer_cancel(client->timers, &client->soon_timer);
	for (i = 0; i < client->nr_vms; i++)
		bus_disconnect(client->bus, client->vms[i].handle);
	g_hash_table_destroy(client->clusters);
	g_hash_table_destroy(client->shares);
	control_delta_finish(&client->delta);
	tables_finish(&client->tables);
	g_free(client);
}

static void merge_members(struct control_client *client,
			  const Wire__LeaseGrant *grant)
{
	if (grant->members_version <= client->members_version ||
	    !grant->n_members)
		return;
	client->members_version = grant->members_version;
	if (client->events.members)
		client->events.members(grant->members, grant->n_members,
				       grant->members_version, client->data);
}

/* A late grant would restore a share that this daemon has given back. */
static bool grant_is_stale(const struct control_client *client,
			   const Wire__LeaseGrant *grant)
{
	if (grant->incarnation != client->lease.incarnation ||
	    grant->sequence >= client->lease.next_sequence)
		return true;
	return grant->raft_term < client->raft_term ||
	       (grant->raft_term == client->raft_term &&
		grant->sequence < client->last_sequence);
}

static void take_grant(struct control_client *client, unsigned vm,
		       const Wire__LeaseGrant *grant, int64_t now_us)
{
	size_t i;

	if (grant_is_stale(client, grant)) {
		client->counts.stale++;
		return;
	}
	client->counts.grants++;
	if (client->raft_term != grant->raft_term || client->leader != vm)
		client->delta.needs_full = true;
	control_delta_answered(&client->delta, grant->sequence);
	client->raft_term = grant->raft_term;
	client->last_sequence = grant->sequence;
	client->leader = vm;
	client->answered_us = now_us;
	if (!grant->unchanged)
		client->state_hash = grant->state_hash;
	/* A fence takes effect before the lease that came with it. */
	for (i = 0; i < grant->n_clusters; i++)
		control_merge_cluster(client, grant->clusters[i]);
	for (i = 0; i < grant->n_shares; i++)
		control_merge_share(client, grant->shares[i]);
	merge_members(client, grant);
	if (!lease_grant(&client->lease, grant->incarnation, grant->sequence,
			 grant->duration_us, now_us))
		return;
	timer_cancel(client->timers, &client->lease_timer);
	client->lease_timer = timer_subscribe(client->timers,
					      client->lease.until_us, 0,
					      on_lease_end, client);
}

/* Return: index of a free place, or of the VM that was not heard for longest. */
static unsigned find_place(struct control_client *client)
{
	struct peer_use entries[CONTROL_VMS_MAX];
	unsigned i;

	if (client->nr_vms < CONTROL_VMS_MAX)
		return client->nr_vms++;
	for (i = 0; i < CONTROL_VMS_MAX; i++)
		entries[i] = (struct peer_use){
			.needed = i == client->leader,
			.last_used_us = client->vms[i].heard_us,
		};
	i = (unsigned)peer_table_victim(entries, CONTROL_VMS_MAX);
	bus_disconnect(client->bus, client->vms[i].handle);
	return i;
}

/* A control VM that was added after the settings were written. */
static void add_vm(struct control_client *client, uint64_t id,
		   const char *address, int64_t now_us)
{
	int handle;

	if (!id || !*address)
		return;
	handle = bus_connect(client->bus, address, NULL);
	if (handle < 0)
		return;
	client->vms[find_place(client)] =
		(struct control_vm){ id, handle, now_us };
}

/* Return: nr_vms if it is not known. */
static unsigned find_vm(const struct control_client *client, uint64_t id)
{
	unsigned i;

	for (i = 0; i < client->nr_vms; i++)
		if (client->vms[i].id == id)
			break;
	return i;
}

static void take_redirect(struct control_client *client,
			  const Wire__Redirect *redirect, int64_t now_us)
{
	unsigned i = find_vm(client, redirect->leader);

	client->counts.redirects++;
	if (i == client->nr_vms) {
		add_vm(client, redirect->leader, redirect->address, now_us);
		i = find_vm(client, redirect->leader);
	}
	if (i == client->nr_vms ||
	    now_us - client->redirected_us < REDIRECT_PAUSE_US)
		return;
	client->redirected_us = now_us;
	client->leader = i;
	client->delta.needs_full = true;
	send_heartbeat(client, true, now_us);
}

static void take_fence(struct control_client *client, unsigned vm,
		       const Wire__Fence *fence, int64_t now_us)
{
	struct known_cluster *known =
		control_known(client, fence->service, fence->cluster);

	client->counts.fences++;
	if (fence->term < known->term) {
		client->counts.stale++;
		return;
	}
	if (fence->term > known->term) {
		known->fenced = false;
		known->term = fence->term;
		known->told = false;
	}
	if (!known->fenced)
		control_begin_fence(client, known);
	/* The leader asks again until it is told, so a repeat is answered. */
	client->leader = vm;
	control_client_urgent(client, now_us);
}

static void take_tables(struct control_client *client,
			const Wire__TablesUpdate *update, int64_t now_us)
{
	g_autoptr(GError) error = NULL;

	if (update->version <= client->tables.version) {
		client->counts.stale++;
		return;
	}
	if (!tables_parse(&client->tables, "routes", update->routes, "pools",
			  update->pools, &error)) {
		client->counts.refused_tables++;
		log_error("tables version %" PRIu64 " cannot be used: %s",
			  (uint64_t)update->version, error->message);
		return;
	}
	client->tables.version = update->version;
	if (client->events.tables)
		client->events.tables(&client->tables, client->data);
	/* The operator waits for the version to be in force everywhere. */
	control_client_urgent(client, now_us);
}

bool control_client_reply(struct control_client *client, int handle,
			  const Wire__Envelope *envelope, int64_t now_us)
{
	unsigned vm;

	for (vm = 0; vm < client->nr_vms; vm++)
		if (client->vms[vm].handle == handle)
			break;
	if (vm == client->nr_vms)
		return false;
	client->vms[vm].heard_us = now_us;
	switch (envelope->body_case) {
	case WIRE__ENVELOPE__BODY_LEASE_GRANT:
		take_grant(client, vm, envelope->lease_grant, now_us);
		return true;
	case WIRE__ENVELOPE__BODY_REDIRECT:
		take_redirect(client, envelope->redirect, now_us);
		return true;
	case WIRE__ENVELOPE__BODY_FENCE:
		take_fence(client, vm, envelope->fence, now_us);
		return true;
	case WIRE__ENVELOPE__BODY_TABLES_UPDATE:
		take_tables(client, envelope->tables_update, now_us);
		return true;
	default:
		return false;
	}
}

bool control_client_may_write(const struct control_client *client,
			      int64_t now_us)
{
	return lease_valid(&client->lease, now_us);
}

bool control_client_may_serve(const struct control_client *client,
			      int64_t now_us)
{
	int64_t granted_us = lease_last_granted_heartbeat_us(&client->lease);

	return granted_us >= 0 &&
	       now_us - granted_us <= client->settings->stale_tables_limit_us;
}

const struct tables *control_client_tables(const struct control_client *client)
{
	return &client->tables;
}

const struct control_client_counts *
control_client_counts(const struct control_client *client)
{
	return &client->counts;
}
