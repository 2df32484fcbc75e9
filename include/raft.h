#ifndef RAFT_H
#define RAFT_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * DOC: Raft consensus with pre-vote, check-quorum, learners and snapshots.
 *
 * A state machine without I/O of its own. Its inputs are messages, ticks and
 * completed writes; callbacks receive the messages to send, the entries to
 * persist and the committed entries. Source: Ongaro, "Consensus: Bridging
 * Theory and Practice", 2014.
 */

#define RAFT_MEMBERS_MAX 7
/** Largest payload of an entry in bytes; fits a bus frame with its header. */
#define RAFT_ENTRY_MAX_BYTES (960u * 1024)
/** Largest snapshot chunk, and soft limit of an append's payload, in bytes. */
#define RAFT_CHUNK_MAX_BYTES (256u * 1024)
/**
 * Largest difference between two clock rates, in thousandths: each clock is
 * within 1% of real time.
 */
#define RAFT_CLOCK_MARGIN_PERMILLE 20

enum raft_entry_kind {
	RAFT_ENTRY_NOOP,
	RAFT_ENTRY_DATA,
	RAFT_ENTRY_MEMBERS,
};

/**
 * struct raft_entry - one log entry
 * @data: payload, owned by the owner of the entry
 */
struct raft_entry {
	uint64_t index;
	uint64_t term;
	enum raft_entry_kind kind;
	uint8_t *data;
	size_t len;
};

/**
 * struct raft_member - a control VM in the Raft group
 * @id: unique identity; a control VM that lost its disk gets a new one
 * @voter: false for a learner
 */
struct raft_member {
	uint64_t id;
	bool voter;
};

struct raft_members {
	struct raft_member member[RAFT_MEMBERS_MAX];
	unsigned nr;
};

/** raft_member() - the member with this identity, NULL if there is none */
const struct raft_member *raft_member(const struct raft_members *members,
				      uint64_t id);

enum raft_message_type {
	RAFT_PRE_VOTE,
	RAFT_PRE_VOTE_REPLY,
	RAFT_VOTE,
	RAFT_VOTE_REPLY,
	RAFT_APPEND,
	RAFT_APPEND_REPLY,
	RAFT_SNAPSHOT,
	RAFT_SNAPSHOT_REPLY,
};

/**
 * struct raft_message - a message between two control VMs
 * @log_index: append: index of the entry before the first one sent; votes:
 *             index of the sender's last entry; snapshot: last entry covered;
 *             refused appends and snapshot replies: value of the request
 * @log_term: term of the entry at @log_index
 * @commit: leader's commit index
 * @accepted: replies: whether the vote was granted or the log matched; appends
 *            and snapshots: whether the leader counts the receiver as a voter
 * @match_index: append reply: last matching entry; if refused, the last entry
 *               that may match
 * @round: number of the leader's heartbeat round, repeated in the reply
 * @entries: log entries; a snapshot carries its membership as one entry of
 *           kind RAFT_ENTRY_MEMBERS
 * @snapshot: snapshot chunk
 * @snapshot_offset: byte offset of the chunk; reply: next byte expected
 * @snapshot_done: whether this is the last chunk
 */
struct raft_message {
	enum raft_message_type type;
	uint64_t from;
	uint64_t to;
	uint64_t term;
	uint64_t log_index;
	uint64_t log_term;
	uint64_t commit;
	bool accepted;
	uint64_t match_index;
	uint64_t round;
	struct raft_entry *entries;
	size_t nr_entries;
	const uint8_t *snapshot;
	size_t snapshot_len;
	uint64_t snapshot_offset;
	bool snapshot_done;
};

/** Leader read from a store of an older layout, which did not record it. */
#define RAFT_LEADER_UNKNOWN UINT64_MAX

/**
 * struct raft_hard_state - state that must be on disk before a message is sent
 * @leader: leader that this node followed in @term, 0 if it is @voted_for
 */
struct raft_hard_state {
	uint64_t term;
	uint64_t voted_for;
	uint64_t leader;
};

/**
 * struct raft_ops - callbacks for the outputs of the state machine
 * @send: pass a message to the transport, which may lose it
 * @save_hard_state: persist and sync before returning
 * @append: start to persist @nr entries, replacing all entries from the first
 *          one's index on; raft_persisted() reports when they are synced
 * @apply: apply a committed entry; called once for each entry, in log order;
 *         may propose entries
 * @take_snapshot: serialise the applied state; caller frees with g_free()
 * @save_snapshot: persist and sync a snapshot before returning
 * @restore_snapshot: replace the applied state
 */
struct raft_ops {
	void (*send)(const struct raft_message *msg, void *data);
	void (*save_hard_state)(const struct raft_hard_state *hs, void *data);
	void (*append)(const struct raft_entry *entries, size_t nr, void *data);
	void (*apply)(const struct raft_entry *entry, void *data);
	uint8_t *(*take_snapshot)(size_t *len, void *data);
	void (*save_snapshot)(uint64_t index, uint64_t term,
			      const struct raft_members *members,
			      const uint8_t *bytes, size_t len, void *data);
	void (*restore_snapshot)(const uint8_t *bytes, size_t len, void *data);
};

/**
 * struct raft_config - parameters of a node
 * @id: identity of this node
 * @election_timeout_us: shortest election timeout; the longest is twice as long
 * @heartbeat_interval_us: time between the leader's heartbeats, which are empty
 * appends
 * @snapshot_entries: number of entries applied between two snapshots
 * @seed: seed of the random part of election timeouts
 */
struct raft_config {
	uint64_t id;
	int64_t election_timeout_us;
	int64_t heartbeat_interval_us;
	uint64_t snapshot_entries;
	uint64_t seed;
};

/**
 * struct raft_recovered - state read from the store at start
 */
struct raft_recovered {
	struct raft_hard_state hard_state;
	struct raft_members members;
	uint64_t snapshot_index;
	uint64_t snapshot_term;
	const uint8_t *snapshot;
	size_t snapshot_len;
	struct raft_entry *entries;
	size_t nr_entries;
};

struct raft;

/**
 * raft_new() - create a node from its stored state
 *
 * Calls @restore_snapshot if there is a snapshot. Without members the node
 * neither votes nor campaigns until a leader sends it a membership. It ignores
 * a leader that already counts it as a voter: then this node has lost its
 * disk.
 */
struct raft *raft_new(const struct raft_config *config,
		      const struct raft_recovered *recovered,
		      const struct raft_ops *ops, void *data, int64_t now_us);
void raft_free(struct raft *raft);

void raft_tick(struct raft *raft, int64_t now_us);
/**
 * raft_peer_connected() - a connection to member @id was opened
 *
 * Repeats a pre-vote request that may have been lost without a connection.
 */
void raft_peer_connected(struct raft *raft, uint64_t id, int64_t now_us);
void raft_receive(struct raft *raft, const struct raft_message *msg,
		  int64_t now_us);
/**
 * raft_persisted() - report that the entries up to @index are synced
 *
 * Refers to the entries last passed to @append. Must not be called from
 * inside a callback.
 */
void raft_persisted(struct raft *raft, uint64_t index);

/**
 * raft_propose() - append an entry on the leader
 * @index: set to the entry's index unless NULL
 * Return: false with CW_ERROR_UNAVAILABLE if this node is not the leader, with
 *         CW_ERROR_LIMIT if too many entries are uncommitted or @len is too
 *         large
 */
bool raft_propose(struct raft *raft, const uint8_t *bytes, size_t len,
		  uint64_t *index, GError **error);

/**
 * raft_change_members() - add or promote a learner, or remove a member
 *
 * Refused while another change is uncommitted, if a learner that has not
 * caught up would become a voter, and if more than one member changes.
 */
bool raft_change_members(struct raft *raft, const struct raft_members *members,
			 GError **error);

bool raft_is_leader(const struct raft *raft);
uint64_t raft_leader(const struct raft *raft);
uint64_t raft_term(const struct raft *raft);
uint64_t raft_commit_index(const struct raft *raft);
uint64_t raft_applied_index(const struct raft *raft);
const struct raft_members *raft_current_members(const struct raft *raft);
/** raft_members_committed() - whether raft_current_members() is committed */
bool raft_members_committed(const struct raft *raft);
/**
 * raft_became_leader_us() - when this node became leader of its current term,
 * or -1 if it is not the leader
 */
int64_t raft_became_leader_us(const struct raft *raft);
/**
 * raft_lease_until_us() - end of the leader's lease, or -1 if there is none
 *
 * No other node can become leader before this time. A majority of voters
 * answered a heartbeat round sent election_timeout_us before it, less
 * RAFT_CLOCK_MARGIN_PERMILLE. Each of these voters refuses to vote for
 * election_timeout_us after it last heard the leader, also after a restart,
 * unless the leader itself requests a vote in a later term, which shows that it
 * has stepped down.
 * Requires that clock rates differ by less than RAFT_CLOCK_MARGIN_PERMILLE.
 */
int64_t raft_lease_until_us(const struct raft *raft);
/**
 * raft_restored_leader() - leader that this node heard before its start and not
 * since, whose lease keeps it from voting for others; 0 if there is none
 */
uint64_t raft_restored_leader(const struct raft *raft);
/**
 * raft_restored_leader_ended() - raft_restored_leader() does not run any more
 *
 * Its lease has ended with it, so this node may vote at once. To be called only
 * if a process that ran after the start of this one proves it: one that runs in
 * its place with another disk.
 */
void raft_restored_leader_ended(struct raft *raft, int64_t now_us);
/** raft_last_reply_us() - when member @id last replied to this leader, or -1 */
int64_t raft_last_reply_us(const struct raft *raft, uint64_t id);
/** raft_match_index() - last entry known to be synced on member @id; leader */
uint64_t raft_match_index(const struct raft *raft, uint64_t id);

#endif
