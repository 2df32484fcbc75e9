#ifndef GROUP_POLICY_H
#define GROUP_POLICY_H

#include "raft.h"

/**
 * DOC: Which control VM joins or leaves the voting group next.
 *
 * Pure. A control VM that lost its disk, or stands in for one that is gone,
 * asks in under an identity of its own and becomes a learner, then a voter in
 * the place of one that is silent. One change at a time.
 *
 * An identity is the IPv4 address in the upper half and a number in the lower
 * half that differs for each empty disk.
 */

/** A voter silent for longer may be replaced by a waiting VM, microseconds. */
#define GROUP_DARK_US (2500 * 1000ll)
/** A VM that asked in within this time can be added, microseconds. */
#define GROUP_WAITING_US (1000 * 1000ll)

/**
 * struct group_member - one member as the leader sees it
 * @silent_us: time since it last answered; 0 for the leader itself
 * @caught_up: whether it holds every committed entry
 */
struct group_member {
	uint64_t id;
	bool voter;
	bool caught_up;
	int64_t silent_us;
};

/** struct group_waiting - a VM that asks in */
struct group_waiting {
	uint64_t id;
	int64_t silent_us;
};

/**
 * struct group_view - what the choice depends on
 * @voters_wanted: size of the group when enough VMs are there
 */
struct group_view {
	uint64_t leader;
	struct group_member member[RAFT_NODES_MAX];
	unsigned nr;
	const struct group_waiting *waiting;
	unsigned nr_waiting;
	unsigned voters_wanted;
};

enum group_action {
	GROUP_KEEP,
	GROUP_ADD,
	GROUP_MAKE_VOTER,
	GROUP_REMOVE,
};

struct group_change {
	enum group_action action;
	uint64_t id;
};

/** group_next_change() - the single change to make now */
struct group_change group_next_change(const struct group_view *view);

/** group_same_address() - whether two identities are of one address */
static inline bool group_same_address(uint64_t a, uint64_t b)
{
	return a >> 32 == b >> 32;
}

#endif
