#ifndef GROUP_POLICY_H
#define GROUP_POLICY_H

#include "raft.h"

/**
 * DOC: Membership changes of the Raft group of control VMs.
 *
 * Pure functions. A control VM that lost its disk, or that replaces another VM,
 * asks to join under a new member ID. It is added as a learner and takes a place
 * that is free, or that of a voter that is silent or leaving. Learners without
 * a place are standbys, so that a voter is replaced at once. Only one change is
 * made at a time.
 *
 * A voter that is silent is removed before its successor votes. One that leaves
 * still votes, so its successor is made a voter first: the group tolerates as
 * many losses meanwhile as before.
 *
 * A member ID holds the IPv4 address in the upper 32 bits; the lower 32 bits
 * hold a number that differs for each empty disk.
 */

/** A member silent for longer than this is lost, microseconds. */
#define GROUP_MEMBER_LOST_US (2500 * 1000ll)
/**
 * A voter silent for longer than this is replaced by a standby, microseconds. A
 * voter that was only paused becomes a standby itself when it returns.
 */
#define GROUP_VOTER_REPLACED_US (1000 * 1000ll)
/** A VM counts as present if its last message is newer, microseconds. */
#define GROUP_HEARD_WITHIN_US (1000 * 1000ll)

/**
 * struct group_member - state of one member as known to the leader
 * @voter: false for a learner
 * @caught_up: whether it holds every committed log entry
 * @leaving: whether its process is about to end
 * @silent_us: time since its last answer; 0 for the leader itself
 */
struct group_member {
	uint64_t id;
	bool voter;
	bool caught_up;
	bool leaving;
	int64_t silent_us;
};

/**
 * struct group_join_request - a VM that asks to join
 * @silent_us: time since its last request
 */
struct group_join_request {
	uint64_t id;
	int64_t silent_us;
};

/**
 * struct group_view - inputs of group_next_change()
 * @leader: member ID of the leader
 * @nr: number of members
 * @changing: whether the newest membership is not committed yet
 * @join_requests: VMs that ask to join
 * @voters_wanted: number of voters if enough VMs are available
 */
struct group_view {
	uint64_t leader;
	struct group_member member[RAFT_MEMBERS_MAX];
	unsigned nr;
	bool changing;
	const struct group_join_request *join_requests;
	unsigned nr_join_requests;
	unsigned voters_wanted;
};

enum group_action {
	GROUP_NO_CHANGE,
	GROUP_ADD,
	GROUP_PROMOTE_LEARNER,
	GROUP_REMOVE,
};

struct group_change {
	enum group_action action;
	uint64_t id;
};

/** group_next_change() - choose the membership change to make now, if any */
struct group_change group_next_change(const struct group_view *view);

/** group_change_apply() - the members after @change */
void group_change_apply(const struct group_change *change,
			struct raft_members *members);

/**
 * group_may_stop() - whether a VM that is about to end need not wait any longer
 * @id: its member ID
 *
 * A voter waits until another VM has taken its place. If there is none, it keeps
 * its place: it may be back soon, and a smaller group would tolerate no more
 * losses.
 */
bool group_may_stop(const struct group_view *view, uint64_t id);

/** group_same_address() - whether two member IDs have the same IPv4 address */
static inline bool group_same_address(uint64_t a, uint64_t b)
{
	return a >> 32 == b >> 32;
}

#endif
