#ifndef GROUP_POLICY_H
#define GROUP_POLICY_H

#include "raft.h"

/**
 * DOC: Membership changes of the Raft group of control VMs.
 *
 * Pure functions. A control VM that lost its disk, or that replaces a lost VM,
 * asks to join under a new member ID. It is added as a learner and then takes
 * the place of a silent voter. Only one change is made at a time.
 *
 * A member ID holds the IPv4 address in the upper 32 bits; the lower 32 bits
 * hold a number that differs for each empty disk.
 */

/** A voter silent for longer than this may be replaced, microseconds. */
#define GROUP_VOTER_LOST_US (2500 * 1000ll)
/** A VM counts as present if its last message is newer, microseconds. */
#define GROUP_HEARD_WITHIN_US (1000 * 1000ll)

/**
 * struct group_member - state of one member as known to the leader
 * @voter: false for a learner
 * @caught_up: whether it holds every committed log entry
 * @silent_us: time since its last answer; 0 for the leader itself
 */
struct group_member {
	uint64_t id;
	bool voter;
	bool caught_up;
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
 * @join_requests: VMs that ask to join
 * @voters_wanted: number of voters if enough VMs are available
 */
struct group_view {
	uint64_t leader;
	struct group_member member[RAFT_MEMBERS_MAX];
	unsigned nr;
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

/** group_same_address() - whether two member IDs have the same IPv4 address */
static inline bool group_same_address(uint64_t a, uint64_t b)
{
	return a >> 32 == b >> 32;
}

#endif
