#ifndef RAFT_H
#define RAFT_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * DOC: Agreement by Raft with pre-vote, check-quorum, learners and snapshots.
 *
 * A pure state machine: messages, ticks and completed writes go in; messages
 * to send, entries to persist and committed entries come out through
 * callbacks. Source: Ongaro, "Consensus: Bridging Theory and Practice", 2014.
 */

#define RAFT_NODES_MAX 7
/** Largest entry, bytes: it fits a frame of the bus together with its head. */
#define RAFT_ENTRY_MAX (960u * 1024)
/** Largest snapshot chunk and soft limit of one append, bytes. */
#define RAFT_CHUNK_MAX (256u * 1024)
/** Bound on the difference of clock rates, thousandths: twice the 1% bound. */
#define RAFT_CLOCK_MARGIN 20

enum raft_entry_kind {
	RAFT_ENTRY_NOOP,
	RAFT_ENTRY_DATA,
	RAFT_ENTRY_MEMBERS,
};

/**
 * struct raft_entry - one log entry
 * @data: payload, owned by the holder of the entry
 */
struct raft_entry {
	uint64_t index;
	uint64_t term;
	enum raft_entry_kind kind;
	uint8_t *data;
	size_t len;
};

/**
 * struct raft_member - one control VM
 * @id: identity, never reused after a disk was lost
 * @voter: false for a learner
 */
struct raft_member {
	uint64_t id;
	bool voter;
};

struct raft_members {
	struct raft_member member[RAFT_NODES_MAX];
	unsigned nr;
};

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
 * @log_index: append: entry before the first sent; votes: last entry
 * @log_term: term of @log_index
 * @commit: leader's commit index
 * @accepted: replies: granted or matched; appends and snapshots: whether the
 *            leader counts the receiver as a voter
 * @match_index: append reply: last matching entry, or a hint when refused
 * @round: number of the leader's heartbeat round, repeated in the reply
 * @entries: entries; with a snapshot one entry of kind RAFT_ENTRY_MEMBERS
 * @snapshot: snapshot chunk
 * @snapshot_offset: byte offset of the chunk; reply: next byte wanted
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

/** A leader that a hard state of an older layout does not name. */
#define RAFT_LEADER_UNKNOWN UINT64_MAX

/**
 * struct raft_hard_state - what must be on disk before a message leaves
 * @leader: the leader heard in @term where that is not @voted_for, else 0
 */
struct raft_hard_state {
	uint64_t term;
	uint64_t voted_for;
	uint64_t leader;
};

/**
 * struct raft_ops - outputs of the state machine
 * @send: hand a message to the transport; it may be lost
 * @save_hard_state: persist and sync before returning
 * @append: start to persist @nr entries, replacing any from the first index
 *          on; raft_persisted() reports when they are synced
 * @apply: a committed entry, in order, once; may propose
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
 * struct raft_config - start-up values
 * @id: identity of this node
 * @election_us: least election timeout; the greatest is twice as long
 * @heartbeat_us: time between the leader's empty appends
 * @snapshot_entries: applied entries between snapshots
 * @seed: seed of the election jitter
 */
struct raft_config {
	uint64_t id;
	int64_t election_us;
	int64_t heartbeat_us;
	uint64_t snapshot_entries;
	uint64_t seed;
};

/**
 * struct raft_recovered - what the store held at start
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
 * raft_new() - start from what the store held
 *
 * Calls @restore_snapshot if there is one. Without members the node neither
 * votes nor stands for election until a leader sends it a membership; it
 * ignores a leader that already counts it as a voter, since it must then have
 * lost its disk.
 */
struct raft *raft_new(const struct raft_config *config,
		      const struct raft_recovered *recovered,
		      const struct raft_ops *ops, void *data, int64_t now_us);
void raft_free(struct raft *raft);

void raft_tick(struct raft *raft, int64_t now_us);
/**
 * raft_connected() - a connection to member @id has opened
 *
 * Repeats a pre-vote that may have been lost before.
 */
void raft_connected(struct raft *raft, uint64_t id, int64_t now_us);
void raft_receive(struct raft *raft, const struct raft_message *msg,
		  int64_t now_us);
/**
 * raft_persisted() - entries up to @index are synced
 *
 * Holds for the entries last handed to @append; not to be called from inside
 * a callback.
 */
void raft_persisted(struct raft *raft, uint64_t index);

/**
 * raft_propose() - append an entry on the leader
 * @index: set to the entry's index
 * Return: false with CW_ERROR_UNAVAILABLE on a node that does not lead, with
 *         CW_ERROR_LIMIT when too much is not committed or @len is too large
 */
bool raft_propose(struct raft *raft, const uint8_t *bytes, size_t len,
		  uint64_t *index, GError **error);

/**
 * raft_change_members() - add a learner, promote it to voter, or remove
 *
 * Refused while another change is not committed, when a learner that has
 * not caught up would become a voter, and when more than one voter changes.
 */
bool raft_change_members(struct raft *raft, const struct raft_members *members,
			 GError **error);

bool raft_is_leader(const struct raft *raft);
uint64_t raft_leader(const struct raft *raft);
uint64_t raft_term(const struct raft *raft);
uint64_t raft_commit_index(const struct raft *raft);
uint64_t raft_applied_index(const struct raft *raft);
const struct raft_members *raft_current_members(const struct raft *raft);
/** raft_became_leader_us() - when this node won its current term, or -1 */
int64_t raft_became_leader_us(const struct raft *raft);
/**
 * raft_lease_until_us() - until when no other node can lead, or -1
 *
 * A majority of voters answered a round sent election_us, less
 * RAFT_CLOCK_MARGIN, before this time, and each of them refuses its vote for
 * election_us after it heard the leader, also after a restart, unless that
 * leader itself asks for a vote in a later term and so has stopped leading.
 * Holds while clock rates differ by less than that margin.
 */
int64_t raft_lease_until_us(const struct raft *raft);
/** raft_heard_us() - when member @id last answered the leader, or -1 */
int64_t raft_heard_us(const struct raft *raft, uint64_t id);
/** raft_match_index() - highest entry known to be on member @id (leader) */
uint64_t raft_match_index(const struct raft *raft, uint64_t id);

#endif
