#include "raft_internal.h"

void raft_reply_append(struct raft *raft, uint64_t round)
{
	struct raft_message reply = {
		.type = RAFT_APPEND_REPLY,
		.to = raft->leader,
		.accepted = true,
		.match_index = MIN(raft->matched, raft->persisted),
		.round = round,
	};

	raft_send(raft, &reply);
}

static void reject_append(struct raft *raft, const struct raft_message *msg)
{
	struct raft_message reply = {
		.type = RAFT_APPEND_REPLY,
		.to = msg->from,
		.log_index = msg->log_index,
		.round = msg->round,
	};
	uint64_t hint = MIN(msg->log_index - 1, raft_log_last(&raft->log));

	/* Entries of a later term than the leader's cannot match: skip them. */
	while (hint > raft->commit &&
	       raft_log_term(&raft->log, hint) > msg->log_term)
		hint--;
	reply.match_index = hint;
	raft_send(raft, &reply);
}

static bool are_entries_valid(const struct raft_message *msg)
{
	uint64_t term = msg->log_term;
	size_t i;

	for (i = 0; i < msg->nr_entries; i++) {
		const struct raft_entry *e = &msg->entries[i];
		struct raft_members unused;

		if (e->index != msg->log_index + 1 + i || e->term < term ||
		    e->term > msg->term || e->kind > RAFT_ENTRY_MEMBERS)
			return false;
		if (e->kind == RAFT_ENTRY_MEMBERS &&
		    !raft_members_unpack(&unused, e->data, e->len))
			return false;
		term = e->term;
	}
	return true;
}

static void replace_entries(struct raft *raft, const struct raft_entry *entries,
			    size_t nr)
{
	uint64_t from = entries[0].index;
	bool members_changed = from <= raft->members_index;
	size_t i;

	raft_log_truncate(&raft->log, from);
	raft->persisted = MIN(raft->persisted, from - 1);
	for (i = 0; i < nr; i++) {
		raft_log_add(&raft->log, &entries[i]);
		members_changed = members_changed ||
				  entries[i].kind == RAFT_ENTRY_MEMBERS;
	}
	if (members_changed)
		raft_members_update(raft);
	raft->ops.append(entries, nr, raft->data);
}

void raft_handle_append(struct raft *raft, const struct raft_message *msg)
{
	size_t i = 0;

	if (!are_entries_valid(msg))
		return;
	if (msg->log_index > raft->commit &&
	    raft_log_term(&raft->log, msg->log_index) != msg->log_term) {
		reject_append(raft, msg);
		return;
	}
	/* Committed entries match: every later leader has them. */
	while (i < msg->nr_entries &&
	       (msg->entries[i].index <= raft->commit ||
		raft_log_term(&raft->log, msg->entries[i].index) ==
			msg->entries[i].term))
		i++;
	if (i < msg->nr_entries)
		replace_entries(raft, msg->entries + i, msg->nr_entries - i);
	raft->matched = MAX(raft->matched, raft->commit);
	raft->matched = MAX(raft->matched, msg->log_index + msg->nr_entries);
	raft->leader_commit = MAX(raft->leader_commit, msg->commit);
	raft->commit =
		MAX(raft->commit, MIN(raft->leader_commit,
				      MIN(raft->matched, raft->persisted)));
	raft_reply_append(raft, msg->round);
	raft_apply_committed(raft);
}
