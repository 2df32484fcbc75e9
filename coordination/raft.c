#include "raft_internal.h"
#include "error.h"

#include <string.h>

static void restore_state(struct raft *raft, const struct raft_recovered *rec)
{
	size_t i;

	raft->hs = rec->hard_state;
	raft->snapshot.index = rec->snapshot_index;
	raft->snapshot.term = rec->snapshot_term;
	raft->snapshot.members = rec->members;
	raft->snapshot.bytes =
		g_memdup2(rec->snapshot, rec->snapshot ? rec->snapshot_len : 0);
	raft->snapshot.len = rec->snapshot ? rec->snapshot_len : 0;
	raft_log_init(&raft->log, rec->snapshot_index, rec->snapshot_term);
	for (i = 0; i < rec->nr_entries; i++)
		raft_log_add(&raft->log, &rec->entries[i]);
	raft->persisted = raft_log_last(&raft->log);
	raft->commit = raft->applied = rec->snapshot_index;
	raft->applied_members = rec->members;
	raft_members_update(raft);
	if (rec->snapshot_index)
		raft->ops.restore_snapshot(raft->snapshot.bytes,
					   raft->snapshot.len, raft->data);
}

struct raft *raft_new(const struct raft_config *config,
		      const struct raft_recovered *recovered,
		      const struct raft_ops *ops, void *data, int64_t now_us)
{
	struct raft *raft = g_new0(struct raft, 1);

	raft->config = *config;
	raft->ops = *ops;
	raft->data = data;
	raft->now_us = now_us;
	raft->became_leader_us = -1;
	raft->incoming.bytes = g_byte_array_new();
	restore_state(raft, recovered);
	raft_restore_leader_lease(raft);
	return raft;
}

void raft_free(struct raft *raft)
{
	if (!raft)
		return;
	raft_log_finish(&raft->log);
	g_byte_array_free(raft->incoming.bytes, TRUE);
	g_free(raft->snapshot.bytes);
	g_free(raft);
}

void raft_send(struct raft *raft, struct raft_message *msg)
{
	msg->from = raft->config.id;
	if (!msg->term)
		msg->term = raft->hs.term;
	raft->ops.send(msg, raft->data);
}

void raft_become_follower(struct raft *raft, uint64_t term, uint64_t leader)
{
	if (term > raft->hs.term) {
		raft->hs.term = term;
		raft->hs.voted_for = 0;
		raft->hs.leader = leader;
		raft->ops.save_hard_state(&raft->hs, raft->data);
		raft->matched = 0;
		raft->leader_commit = 0;
		raft->leader = 0;
	}
	if (raft->role != RAFT_FOLLOWER)
		raft_reset_deadline(raft);
	raft->role = RAFT_FOLLOWER;
	raft->became_leader_us = -1;
	raft->nr_votes = 0;
	raft->leader = leader;
}

/*
 * A leader that fails while its own removal is uncommitted may have the only
 * log that can win an election. It may campaign again to commit the removal.
 */
static bool may_campaign(const struct raft *raft)
{
	if (raft_is_voter(&raft->members, raft->config.id))
		return true;
	return raft->members_index > raft->commit &&
	       raft_is_voter(&raft->applied_members, raft->config.id);
}

void raft_tick(struct raft *raft, int64_t now_us)
{
	raft->now_us = MAX(raft->now_us, now_us);
	if (raft->role == RAFT_LEADER) {
		if (!raft_quorum_is_active(raft)) {
			raft_become_follower(raft, raft->hs.term, 0);
			return;
		}
		if (raft->now_us >= raft->next_heartbeat_us)
			raft_send_heartbeats(raft);
		return;
	}
	if (raft->leader && !raft_heard_leader_recently(raft) &&
	    raft->now_us >= raft->election_deadline_us)
		raft->leader = 0;
	if (raft->now_us >= raft->election_deadline_us && may_campaign(raft))
		raft_start_pre_vote(raft);
}

/* Answers a message of an older term, so that its sender learns the new one. */
static void reject_stale_term(struct raft *raft, const struct raft_message *msg)
{
	struct raft_message reply = { .to = msg->from, .accepted = false };

	switch (msg->type) {
	case RAFT_PRE_VOTE:
		reply.type = RAFT_PRE_VOTE_REPLY;
		break;
	case RAFT_VOTE:
		reply.type = RAFT_VOTE_REPLY;
		break;
	case RAFT_APPEND:
	case RAFT_SNAPSHOT:
		reply.type = RAFT_APPEND_REPLY;
		reply.log_index = msg->log_index;
		break;
	default:
		return;
	}
	raft_send(raft, &reply);
}

/*
 * Adopts the newer term of a message, except for pre-votes, whose term is only
 * proposed. Return: false for a vote request that must be ignored.
 */
static bool adopt_newer_term(struct raft *raft, const struct raft_message *msg)
{
	uint64_t leader = 0;

	switch (msg->type) {
	case RAFT_PRE_VOTE:
		return true;
	case RAFT_PRE_VOTE_REPLY:
		if (msg->accepted)
			return true;
		break;
	case RAFT_APPEND:
	case RAFT_SNAPSHOT:
		leader = msg->from;
		break;
	case RAFT_VOTE:
		if (!raft->members.nr || raft_heard_leader_recently(raft))
			return false;
		break;
	default:
		break;
	}
	raft_become_follower(raft, msg->term, leader);
	return true;
}

static void handle_message(struct raft *raft, const struct raft_message *msg)
{
	switch (msg->type) {
	case RAFT_PRE_VOTE:
	case RAFT_VOTE:
		raft_handle_vote(raft, msg);
		return;
	case RAFT_PRE_VOTE_REPLY:
	case RAFT_VOTE_REPLY:
		raft_handle_vote_reply(raft, msg);
		return;
	case RAFT_APPEND:
		raft_handle_append(raft, msg);
		return;
	case RAFT_APPEND_REPLY:
		raft_handle_append_reply(raft, msg);
		return;
	case RAFT_SNAPSHOT:
		raft_handle_snapshot(raft, msg);
		return;
	case RAFT_SNAPSHOT_REPLY:
		raft_handle_snapshot_reply(raft, msg);
		return;
	}
}

void raft_receive(struct raft *raft, const struct raft_message *msg,
		  int64_t now_us)
{
	bool from_leader = msg->type == RAFT_APPEND ||
			   msg->type == RAFT_SNAPSHOT;

	raft->now_us = MAX(raft->now_us, now_us);
	if (msg->to != raft->config.id || msg->from == raft->config.id ||
	    !msg->from)
		return;
	/*
	 * If a leader counts this node as a voter although its store is empty,
	 * the disk was lost, and with it votes and entries that this node has
	 * confirmed. It must not answer under this identity any more.
	 */
	if (from_leader && msg->accepted && !raft->members.nr)
		return;
	if (msg->type == RAFT_PRE_VOTE || msg->type == RAFT_VOTE)
		raft_release_ended_lease(raft, msg);
	if (msg->term < raft->hs.term) {
		reject_stale_term(raft, msg);
		return;
	}
	if (msg->term > raft->hs.term && !adopt_newer_term(raft, msg))
		return;
	if (from_leader) {
		if (raft->role == RAFT_LEADER)
			return;
		raft_become_follower(raft, raft->hs.term, msg->from);
		raft_record_leader_contact(raft, msg->from);
	}
	handle_message(raft, msg);
}

void raft_persisted(struct raft *raft, uint64_t index)
{
	index = MIN(index, raft_log_last(&raft->log));
	if (index <= raft->persisted)
		return;
	raft->persisted = index;
	if (raft->role == RAFT_LEADER) {
		raft_advance_commit(raft);
	} else if (raft->leader) {
		raft->commit = MAX(raft->commit,
				   MIN(raft->leader_commit,
				       MIN(raft->matched, raft->persisted)));
		raft_reply_append(raft, 0);
	}
	raft_apply_committed(raft);
}

static void apply_members(struct raft *raft, const struct raft_entry *entry)
{
	raft_members_unpack(&raft->applied_members, entry->data, entry->len);
	raft_release_removed_leader(raft, entry);
}

void raft_apply_committed(struct raft *raft)
{
	uint64_t last = MIN(raft->commit, raft->persisted);

	if (raft->applying)
		return;
	raft->applying = true;
	while (raft->applied < last) {
		/*
		 * A copy, because the callback may propose, which can
		 * reallocate the log.
		 */
		struct raft_entry entry =
			*raft_log_get(&raft->log, raft->applied + 1);

		raft->applied++;
		raft->ops.apply(&entry, raft->data);
		if (entry.kind == RAFT_ENTRY_MEMBERS)
			apply_members(raft, &entry);
		last = MIN(raft->commit, raft->persisted);
	}
	raft->applying = false;
	if (raft->applied - raft->snapshot.index >=
	    raft->config.snapshot_entries)
		raft_take_snapshot(raft);
}

bool raft_propose(struct raft *raft, const uint8_t *bytes, size_t len,
		  uint64_t *index, GError **error)
{
	uint64_t new_index;

	if (raft->role != RAFT_LEADER) {
		g_set_error(error, CW_ERROR, CW_ERROR_UNAVAILABLE,
			    "control VM %" G_GUINT64_FORMAT
			    " is not the leader; send the request to the "
			    "leader",
			    raft->config.id);
		return false;
	}
	if (len > RAFT_ENTRY_MAX_BYTES) {
		g_set_error(error, CW_ERROR, CW_ERROR_LIMIT,
			    "entry of %zu bytes exceeds the limit of %u bytes; "
			    "make the change smaller",
			    len, RAFT_ENTRY_MAX_BYTES);
		return false;
	}
	if (raft_log_last(&raft->log) - raft->commit >=
	    RAFT_UNCOMMITTED_ENTRIES_MAX) {
		g_set_error(error, CW_ERROR, CW_ERROR_LIMIT,
			    "%d proposed entries are not committed yet; retry "
			    "later",
			    RAFT_UNCOMMITTED_ENTRIES_MAX);
		return false;
	}
	new_index = raft_append_local(raft, RAFT_ENTRY_DATA, bytes, len);
	if (index)
		*index = new_index;
	return true;
}

bool raft_is_leader(const struct raft *raft)
{
	return raft->role == RAFT_LEADER;
}

uint64_t raft_leader(const struct raft *raft)
{
	return raft->leader;
}

uint64_t raft_term(const struct raft *raft)
{
	return raft->hs.term;
}

uint64_t raft_commit_index(const struct raft *raft)
{
	return raft->commit;
}

uint64_t raft_applied_index(const struct raft *raft)
{
	return raft->applied;
}

const struct raft_members *raft_current_members(const struct raft *raft)
{
	return &raft->members;
}

bool raft_members_committed(const struct raft *raft)
{
	return raft->members_index <= raft->commit;
}

int64_t raft_became_leader_us(const struct raft *raft)
{
	return raft->became_leader_us;
}
