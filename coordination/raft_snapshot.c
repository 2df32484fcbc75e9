#include "raft_internal.h"

#include <string.h>

/*
 * Largest snapshot that is accepted, in bytes. A full state of 10,000 audit
 * records, 4,096 verdicts and two tables of 480 KiB is far smaller.
 */
#define SNAPSHOT_MAX_BYTES (64u * 1024 * 1024)

static void compact_log(struct raft *raft)
{
	uint64_t index = raft->snapshot.index;

	if (index > RAFT_TRAILING_ENTRIES)
		raft_log_compact(&raft->log, index - RAFT_TRAILING_ENTRIES);
}

void raft_take_snapshot(struct raft *raft)
{
	struct raft_snapshot *snap = &raft->snapshot;

	g_free(snap->bytes);
	snap->bytes = raft->ops.take_snapshot(&snap->len, raft->data);
	snap->index = raft->applied;
	snap->term = raft_log_term(&raft->log, raft->applied);
	snap->members = raft->applied_members;
	raft->ops.save_snapshot(snap->index, snap->term, &snap->members,
				snap->bytes, snap->len, raft->data);
	compact_log(raft);
}

void raft_send_snapshot(struct raft *raft, struct raft_progress *pr)
{
	const struct raft_snapshot *snap = &raft->snapshot;
	struct raft_entry members = {
		.index = snap->index,
		.term = snap->term,
		.kind = RAFT_ENTRY_MEMBERS,
	};
	struct raft_message msg = {
		.type = RAFT_SNAPSHOT,
		.to = pr->id,
		.log_index = snap->index,
		.log_term = snap->term,
		.accepted = raft_is_voter(&raft->members, pr->id),
		.round = raft->round,
		.entries = &members,
		.nr_entries = 1,
	};

	if (pr->snapshot_index != snap->index) {
		pr->snapshot_index = snap->index;
		pr->snapshot_offset = 0;
		pr->nr_inflight = 0;
	}
	members.data = raft_members_pack(&snap->members, &members.len);
	msg.snapshot_offset = pr->snapshot_offset;
	msg.snapshot = snap->bytes + pr->snapshot_offset;
	msg.snapshot_len =
		MIN(snap->len - pr->snapshot_offset, RAFT_CHUNK_MAX_BYTES);
	msg.snapshot_done = pr->snapshot_offset + msg.snapshot_len == snap->len;
	pr->snapshot_sent_us = raft->now_us;
	raft_send(raft, &msg);
	g_free(members.data);
}

void raft_handle_snapshot_reply(struct raft *raft,
				const struct raft_message *msg)
{
	struct raft_progress *pr = raft_progress(raft, msg->from);

	if (raft->role != RAFT_LEADER || !pr)
		return;
	pr->last_contact_us = raft->now_us;
	pr->round = MAX(pr->round, MIN(msg->round, raft->round));
	if (!pr->snapshot_index || msg->log_index != pr->snapshot_index ||
	    msg->snapshot_offset > raft->snapshot.len)
		return;
	if (raft->snapshot.index == pr->snapshot_index) {
		/* A duplicate reply must not cause the chunk to be resent. */
		if (msg->snapshot_offset == pr->snapshot_offset)
			return;
		pr->snapshot_offset = msg->snapshot_offset;
	}
	raft_send_snapshot(raft, pr);
}

static void request_next_chunk(struct raft *raft,
			       const struct raft_message *msg)
{
	struct raft_message reply = {
		.type = RAFT_SNAPSHOT_REPLY,
		.to = msg->from,
		.accepted = true,
		.log_index = msg->log_index,
		.round = msg->round,
		.snapshot_offset = raft->incoming.bytes->len,
	};

	raft_send(raft, &reply);
}

static void install_snapshot(struct raft *raft, const struct raft_message *msg,
			     const struct raft_members *members)
{
	struct raft_snapshot *snap = &raft->snapshot;
	/* Entries after the snapshot stay if the log contains its last one. */
	bool keep_log = raft_log_term(&raft->log, msg->log_index) ==
			msg->log_term;
	uint64_t index = msg->log_index;

	snap->index = index;
	snap->term = msg->log_term;
	snap->members = *members;
	snap->len = raft->incoming.bytes->len;
	g_free(snap->bytes);
	snap->bytes = g_byte_array_free(raft->incoming.bytes, FALSE);
	raft->incoming.bytes = g_byte_array_new();
	raft->incoming.index = 0;
	raft->ops.save_snapshot(index, snap->term, members, snap->bytes,
				snap->len, raft->data);
	if (keep_log)
		raft_log_compact(&raft->log, index);
	else
		raft_log_reset(&raft->log, index, snap->term);
	raft->persisted = keep_log ? MAX(raft->persisted, index) : index;
	raft->commit = raft->applied = index;
	raft->applied_members = *members;
	raft_members_update(raft);
	raft->ops.restore_snapshot(snap->bytes, snap->len, raft->data);
}

/*
 * Appends a chunk to the snapshot being received; discards the chunks of
 * another one. Return: false if the chunk does not follow the last or exceeds
 * the size limit.
 */
static bool append_chunk(struct raft *raft, const struct raft_message *msg)
{
	struct raft_incoming_snapshot *in = &raft->incoming;

	if (in->from != msg->from || in->term != msg->term ||
	    in->index != msg->log_index) {
		in->from = msg->from;
		in->term = msg->term;
		in->index = msg->log_index;
		g_byte_array_set_size(in->bytes, 0);
	}
	if (msg->snapshot_offset != in->bytes->len ||
	    in->bytes->len + msg->snapshot_len > SNAPSHOT_MAX_BYTES)
		return false;
	if (msg->snapshot_len)
		g_byte_array_append(in->bytes, msg->snapshot,
				    (guint)msg->snapshot_len);
	return true;
}

void raft_handle_snapshot(struct raft *raft, const struct raft_message *msg)
{
	struct raft_members members;

	if (msg->nr_entries != 1 || msg->snapshot_len > RAFT_CHUNK_MAX_BYTES ||
	    !raft_members_unpack(&members, msg->entries[0].data,
				 msg->entries[0].len))
		return;
	if (msg->log_index <= raft->commit) {
		raft->matched = MAX(raft->matched, raft->commit);
		raft_reply_append(raft, msg->round);
		return;
	}
	if (!append_chunk(raft, msg) || !msg->snapshot_done) {
		request_next_chunk(raft, msg);
		return;
	}
	install_snapshot(raft, msg, &members);
	raft->matched = MAX(raft->matched, msg->log_index);
	raft_reply_append(raft, msg->round);
}
