#include "control_core.h"
#include "log.h"

#include <inttypes.h>

/* Applied entries between snapshots. */
#define SNAPSHOT_ENTRIES 1000
/* Heartbeats of the leader in one election timeout. */
#define HEARTBEATS 3

static void send_to(struct control *c, const struct control_link *link,
		    const struct raft_message *msg)
{
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__ControlAddress address[RAFT_MEMBERS_MAX + 1];
	Wire__ControlAddress *pointers[RAFT_MEMBERS_MAX + 1];
	struct raft_wire wire;
	guint i;

	raft_wire_init(&wire, msg);
	wire__control_address__init(&address[0]);
	address[0].id = c->settings->control_id;
	address[0].address = c->settings->control_listen;
	pointers[0] = &address[0];
	wire.message.n_addresses = 1;
	/* The leader's heartbeats tell the addresses of VMs added later. */
	for (i = 0;
	     msg->type == RAFT_APPEND && !msg->nr_entries && i < c->links->len;
	     i++) {
		const struct control_link *other = c->links->pdata[i];
		size_t nr = wire.message.n_addresses;

		if (!control_is_member(c, other->id))
			continue;
		wire__control_address__init(&address[nr]);
		address[nr].id = other->id;
		address[nr].address = other->address;
		pointers[nr] = &address[nr];
		wire.message.n_addresses++;
	}
	wire.message.addresses = pointers;
	envelope.body_case = WIRE__ENVELOPE__BODY_RAFT;
	envelope.raft = &wire.message;
	bus_send(c->bus, link->handle, &envelope);
	raft_wire_finish(&wire);
}

static void on_send(const struct raft_message *msg, void *data)
{
	struct control *c = data;
	const struct control_link *link = control_link(c, msg->to);

	if (!c->disk.failed && link)
		send_to(c, link, msg);
}

static void on_save_hard_state(const struct raft_hard_state *hs, void *data)
{
	struct control *c = data;

	raft_disk_save_hard_state(&c->disk, hs);
}

static void on_append(const struct raft_entry *entries, size_t nr, void *data)
{
	struct control *c = data;

	raft_disk_append(&c->disk, entries, nr);
}

static void on_apply(const struct raft_entry *entry, void *data)
{
	control_applied(data, entry);
}

static uint8_t *on_take_snapshot(size_t *len, void *data)
{
	return control_state_pack(&((struct control *)data)->state, len);
}

static void on_save_snapshot(uint64_t index, uint64_t term,
			     const struct raft_members *members,
			     const uint8_t *bytes, size_t len, void *data)
{
	struct control *c = data;

	raft_disk_save_snapshot(&c->disk, index, term, members, bytes, len);
}

static void on_restore_snapshot(const uint8_t *bytes, size_t len, void *data)
{
	struct control *c = data;
	GError *error = NULL;

	control_state_finish(&c->state);
	control_state_init(&c->state);
	if (!control_state_unpack(&c->state, bytes, len, &error))
		raft_disk_fail(&c->disk, error);
}

static const struct raft_ops ops = {
	.send = on_send,
	.save_hard_state = on_save_hard_state,
	.append = on_append,
	.apply = on_apply,
	.take_snapshot = on_take_snapshot,
	.save_snapshot = on_save_snapshot,
	.restore_snapshot = on_restore_snapshot,
};

void control_raft_start(struct control *c, const struct raft_recovered *rec)
{
	struct raft_config config = {
		.id = c->settings->control_id,
		.election_timeout_us = c->settings->election_timeout_us,
		.heartbeat_interval_us =
			c->settings->election_timeout_us / HEARTBEATS,
		.snapshot_entries = SNAPSHOT_ENTRIES,
		.seed = (uint64_t)g_get_real_time(),
	};

	raft_free(c->raft);
	c->raft = raft_new(&config, rec, &ops, c, control_now());
}

bool control_raft_open(struct control *c, GError **error)
{
	g_autofree char *folder =
		g_build_filename(c->settings->data_folder, "control", NULL);
	struct raft_recovered rec;

	if (g_mkdir_with_parents(c->settings->data_folder, 0700))
		log_warning("data folder %s cannot be created",
			    c->settings->data_folder);
	c->disk.store = store_open(folder, &store_posix_file_ops, NULL,
				   c->settings->control_id, &rec, error);
	if (!c->disk.store)
		return false;
	control_raft_start(c, &rec);
	log_notice("control VM %" PRIu64 " starts in term %" PRIu64 " with "
		   "entries up to %" PRIu64,
		   c->settings->control_id, (uint64_t)rec.hard_state.term,
		   (uint64_t)(rec.snapshot_index + rec.nr_entries));
	return true;
}

static void begin_lead(struct control *c)
{
	c->lead_term = raft_term(c->raft);
	c->ready = false;
	c->runs_loaded = false;
	c->last_share_index = 0;
	g_hash_table_remove_all(c->daemons);
	lease_table_become_leader(&c->leases, raft_became_leader_us(c->raft));
	log_notice("control VM %" PRIu64 " leads term %" PRIu64,
		   c->settings->control_id, c->lead_term);
}

static void end_lead(struct control *c)
{
	log_notice("control VM %" PRIu64 " no longer leads term %" PRIu64,
		   c->settings->control_id, c->lead_term);
	c->lead_term = 0;
	c->ready = false;
	c->leases.leader_since_us = INT64_MAX;
	g_ptr_array_set_size(c->waiters, 0);
	control_failover_unload(c);
}

bool control_raft_reopen(struct control *c, GError **error)
{
	if (c->lead_term)
		end_lead(c);
	g_clear_pointer(&c->disk.store, store_close);
	c->disk.dirty = false;
	/* The log tells everything after its snapshot again. */
	control_state_finish(&c->state);
	control_state_init(&c->state);
	c->disk.failed = false;
	if (!control_raft_open(c, error) || c->disk.failed)
		return false;
	c->pausing = false;
	return true;
}

static void update_lead(struct control *c)
{
	bool leads = raft_is_leader(c->raft);

	if (c->lead_term && (!leads || raft_term(c->raft) != c->lead_term))
		end_lead(c);
	if (leads && !c->lead_term)
		begin_lead(c);
}

void control_raft_message(struct control *c, const Wire__RaftMessage *wire)
{
	struct raft_message msg;
	size_t i;

	if (!raft_wire_read(wire, &msg))
		return;
	for (i = 0; i < wire->n_addresses; i++) {
		const Wire__ControlAddress *a = wire->addresses[i];

		/* The sender knows its own address best. */
		if (a->id == wire->from || !control_link(c, a->id))
			control_link_set(c, a->id, a->address);
	}
	raft_receive(c->raft, &msg, control_now());
	g_free(msg.entries);
	update_lead(c);
}

void control_raft_tick(struct control *c)
{
	raft_tick(c->raft, control_now());
	update_lead(c);
}

void control_raft_flush(struct control *c)
{
	unsigned i;

	for (i = 0; i < RAFT_DISK_SYNCS_PER_ITERATION &&
		    raft_disk_sync(&c->disk, c->raft);
	     i++)
		update_lead(c);
}
