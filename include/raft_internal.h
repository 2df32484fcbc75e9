#ifndef RAFT_INTERNAL_H
#define RAFT_INTERNAL_H

#include "raft.h"

/**
 * DOC: Internal structures of coordination/raft*.c; not for other modules.
 */

/** Most unanswered appends to one follower. */
#define RAFT_INFLIGHT_APPENDS_MAX 8
/** Most entries in one append. */
#define RAFT_APPEND_ENTRIES_MAX 64
/** Most entries that are proposed but not committed. */
#define RAFT_UNCOMMITTED_ENTRIES_MAX 4096
/**
 * Entries kept in memory before the snapshot index, so that a follower that
 * lags by a few entries does not need the whole snapshot.
 */
#define RAFT_TRAILING_ENTRIES 128
/** Heartbeat rounds whose send time is kept to compute the lease. */
#define RAFT_ROUND_HISTORY 64

enum raft_role {
	RAFT_FOLLOWER,
	RAFT_PRE_CANDIDATE,
	RAFT_CANDIDATE,
	RAFT_LEADER,
};

/**
 * struct raft_log - the part of the log held in memory
 * @base_index: index of the entry before the first one held
 * @base_term: term of that entry
 * @entries: struct raft_entry
 */
struct raft_log {
	uint64_t base_index;
	uint64_t base_term;
	GArray *entries;
};

/**
 * struct raft_progress - the leader's replication state for one other member
 * @match: last entry known to be synced on the member
 * @next: next entry to send
 * @last_contact_us: when its last reply arrived
 * @round: highest heartbeat round that it answered
 * @probing: whether @next is a guess; appends are then sent one at a time
 * @paused: whether a probing append waits for its reply
 * @inflight: last index of each append that waits for its reply
 * @snapshot_index: index of the snapshot being sent, 0 for none
 * @snapshot_offset: first byte of the snapshot that is not acknowledged
 */
struct raft_progress {
	uint64_t id;
	uint64_t match;
	uint64_t next;
	int64_t last_contact_us;
	uint64_t round;
	bool probing;
	bool paused;
	uint64_t inflight[RAFT_INFLIGHT_APPENDS_MAX];
	unsigned nr_inflight;
	uint64_t snapshot_index;
	size_t snapshot_offset;
	int64_t snapshot_sent_us;
};

/** struct raft_snapshot - latest snapshot, kept for followers that need it */
struct raft_snapshot {
	uint64_t index;
	uint64_t term;
	struct raft_members members;
	uint8_t *bytes;
	size_t len;
};

/** struct raft_incoming_snapshot - the snapshot being received */
struct raft_incoming_snapshot {
	uint64_t from;
	uint64_t term;
	uint64_t index;
	GByteArray *bytes;
};

/**
 * struct raft - one node
 * @persisted: last entry synced on this node
 * @matched: last entry known to equal the current leader's
 * @leader_commit: commit index that the current leader sent
 * @members: newest membership in the log, committed or not
 * @members_index: log index of @members
 * @applied_members: membership as of @applied
 * @last_contact_us: when a leader was last heard
 * @lease_leader: leader whose lease may depend on this node not voting for
 *            another, 0 for none
 * @lease_term: the term in which it led
 * @lease_restored: whether @lease_leader was read from the store at the start
 *                  and that leader was not heard since
 * @pre_vote_granted_to: candidate whose pre-vote was granted last, 0 for none
 * @round: number of the last heartbeat round
 * @round_sent_us: send time of a heartbeat round, by its number modulo the size
 */
struct raft {
	struct raft_config config;
	struct raft_ops ops;
	void *data;
	int64_t now_us;

	enum raft_role role;
	struct raft_hard_state hs;
	uint64_t leader;
	int64_t last_contact_us;
	uint64_t lease_leader;
	uint64_t lease_term;
	bool lease_restored;
	uint64_t pre_vote_granted_to;
	int64_t pre_vote_granted_us;
	int64_t election_deadline_us;
	uint64_t nr_election_timeouts;
	uint64_t votes[RAFT_MEMBERS_MAX];
	unsigned nr_votes;

	struct raft_log log;
	uint64_t persisted;
	uint64_t matched;
	uint64_t leader_commit;
	uint64_t commit;
	uint64_t applied;
	bool applying;

	struct raft_members members;
	uint64_t members_index;
	struct raft_members applied_members;

	struct raft_snapshot snapshot;
	struct raft_incoming_snapshot incoming;

	struct raft_progress progress[RAFT_MEMBERS_MAX];
	unsigned nr_progress;
	int64_t became_leader_us;
	int64_t next_heartbeat_us;
	uint64_t round;
	int64_t round_sent_us[RAFT_ROUND_HISTORY];
};

/* raft_log.c */
void raft_log_init(struct raft_log *log, uint64_t base_index,
		   uint64_t base_term);
void raft_log_finish(struct raft_log *log);
uint64_t raft_log_last(const struct raft_log *log);
uint64_t raft_log_last_term(const struct raft_log *log);
/** raft_log_term() - term of an entry, 0 if it is not in memory */
uint64_t raft_log_term(const struct raft_log *log, uint64_t index);
struct raft_entry *raft_log_get(const struct raft_log *log, uint64_t index);
/** raft_log_add() - append a copy of @entry, whose index must be the next */
void raft_log_add(struct raft_log *log, const struct raft_entry *entry);
/** raft_log_truncate() - remove the entries from index @from on */
void raft_log_truncate(struct raft_log *log, uint64_t from);
/** raft_log_compact() - remove the entries up to @index */
void raft_log_compact(struct raft_log *log, uint64_t index);
/** raft_log_reset() - remove all entries and continue after @index */
void raft_log_reset(struct raft_log *log, uint64_t index, uint64_t term);

/* raft.c */
/** raft_become_follower() - follow @leader, 0 if unknown, in @term */
void raft_become_follower(struct raft *raft, uint64_t term, uint64_t leader);
void raft_send(struct raft *raft, struct raft_message *msg);
void raft_apply_committed(struct raft *raft);

/* raft_election.c */
void raft_reset_deadline(struct raft *raft);
/**
 * raft_heard_leader_recently() - whether this node is the leader or heard it
 *                                within the shortest election timeout
 */
bool raft_heard_leader_recently(const struct raft *raft);
/** raft_record_leader_contact() - record a message from this term's leader */
void raft_record_leader_contact(struct raft *raft, uint64_t leader);
/**
 * raft_release_ended_lease() - release the lease of a former leader
 *
 * Does so if the vote request @msg shows that the leader last heard has stepped
 * down.
 */
void raft_release_ended_lease(struct raft *raft,
			      const struct raft_message *msg);
/**
 * raft_release_removed_leader() - release the lease of a leader that removed
 *                                 itself
 * @entry: membership that was applied
 *
 * A leader steps down when its own removal is committed, before any other node
 * can learn of that, and does not lead again in the term of that entry.
 */
void raft_release_removed_leader(struct raft *raft,
				 const struct raft_entry *entry);
/** raft_restore_leader_lease() - respect the lease from before the restart */
void raft_restore_leader_lease(struct raft *raft);
void raft_start_pre_vote(struct raft *raft);
void raft_handle_vote(struct raft *raft, const struct raft_message *msg);
void raft_handle_vote_reply(struct raft *raft, const struct raft_message *msg);

/* raft_members.c */
bool raft_is_voter(const struct raft_members *members, uint64_t id);
unsigned raft_majority(const struct raft_members *members);
uint8_t *raft_members_pack(const struct raft_members *members, size_t *len);
bool raft_members_unpack(struct raft_members *members, const uint8_t *bytes,
			 size_t len);
/** raft_members_update() - set @members to the newest membership in the log */
void raft_members_update(struct raft *raft);

/* raft_replication.c */
struct raft_progress *raft_progress(struct raft *raft, uint64_t id);
/** raft_progress_update() - keep one record for each other current member */
void raft_progress_update(struct raft *raft);
/** raft_append_local() - append an entry to the leader's log and send it */
uint64_t raft_append_local(struct raft *raft, enum raft_entry_kind kind,
			   const uint8_t *bytes, size_t len);
/**
 * raft_send_heartbeats() - start a heartbeat round: send the next round number
 *                          to every other member, which returns it
 */
void raft_send_heartbeats(struct raft *raft);
/** raft_send_entries() - send as many entries as flow control allows */
void raft_send_entries(struct raft *raft, struct raft_progress *pr);
void raft_handle_append_reply(struct raft *raft,
			      const struct raft_message *msg);
void raft_advance_commit(struct raft *raft);
/**
 * raft_quorum_is_active() - whether a majority of voters replied to the leader
 * within the shortest election timeout
 */
bool raft_quorum_is_active(const struct raft *raft);

/* raft_follower.c */
void raft_handle_append(struct raft *raft, const struct raft_message *msg);
void raft_reply_append(struct raft *raft, uint64_t round);

/* raft_snapshot.c */
void raft_take_snapshot(struct raft *raft);
/** raft_send_snapshot() - send the next unacknowledged chunk */
void raft_send_snapshot(struct raft *raft, struct raft_progress *pr);
void raft_handle_snapshot(struct raft *raft, const struct raft_message *msg);
void raft_handle_snapshot_reply(struct raft *raft,
				const struct raft_message *msg);

#endif
