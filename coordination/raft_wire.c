#include "raft_wire.h"

void raft_wire_init(struct raft_wire *wire, const struct raft_message *msg)
{
	Wire__RaftMessage *w = &wire->message;
	size_t i;

	wire__raft_message__init(w);
	w->type = msg->type;
	w->from = msg->from;
	w->to = msg->to;
	w->term = msg->term;
	w->log_index = msg->log_index;
	w->log_term = msg->log_term;
	w->commit = msg->commit;
	w->accepted = msg->accepted;
	w->match_index = msg->match_index;
	w->round = msg->round;
	w->snapshot.data = (uint8_t *)msg->snapshot;
	w->snapshot.len = msg->snapshot_len;
	w->snapshot_offset = msg->snapshot_offset;
	w->snapshot_done = msg->snapshot_done;
	wire->entries = g_new(Wire__RaftEntry, msg->nr_entries);
	wire->pointers = g_new(Wire__RaftEntry *, msg->nr_entries);
	for (i = 0; i < msg->nr_entries; i++) {
		Wire__RaftEntry *e = &wire->entries[i];

		wire__raft_entry__init(e);
		e->index = msg->entries[i].index;
		e->term = msg->entries[i].term;
		e->kind = msg->entries[i].kind;
		e->data.data = msg->entries[i].data;
		e->data.len = msg->entries[i].len;
		wire->pointers[i] = e;
	}
	w->n_entries = msg->nr_entries;
	w->entries = wire->pointers;
}

void raft_wire_finish(struct raft_wire *wire)
{
	g_free(wire->entries);
	g_free(wire->pointers);
}

bool raft_wire_read(const Wire__RaftMessage *wire, struct raft_message *msg)
{
	size_t i;

	if (wire->type > RAFT_SNAPSHOT_REPLY)
		return false;
	for (i = 0; i < wire->n_entries; i++)
		if (wire->entries[i]->kind > RAFT_ENTRY_MEMBERS)
			return false;
	*msg = (struct raft_message){
		.type = wire->type,
		.from = wire->from,
		.to = wire->to,
		.term = wire->term,
		.log_index = wire->log_index,
		.log_term = wire->log_term,
		.commit = wire->commit,
		.accepted = wire->accepted,
		.match_index = wire->match_index,
		.round = wire->round,
		.snapshot = wire->snapshot.data,
		.snapshot_len = wire->snapshot.len,
		.snapshot_offset = wire->snapshot_offset,
		.snapshot_done = wire->snapshot_done,
		.entries = g_new(struct raft_entry, wire->n_entries),
		.nr_entries = wire->n_entries,
	};
	for (i = 0; i < wire->n_entries; i++)
		msg->entries[i] = (struct raft_entry){
			.index = wire->entries[i]->index,
			.term = wire->entries[i]->term,
			.kind = wire->entries[i]->kind,
			.data = wire->entries[i]->data.data,
			.len = wire->entries[i]->data.len,
		};
	return true;
}
