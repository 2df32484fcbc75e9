#ifndef ROUTER_H
#define ROUTER_H

#include "upstream_directory.h"

/**
 * DOC: Choice of the upstream for one request.
 *
 * Pure: reads the directory, changes nothing but its own random state.
 */

enum route_action {
	ROUTE_TO_UPSTREAM,
	/** nothing fits now; decide again at wait_until_us or on news */
	ROUTE_WAIT,
	/** nothing will fit before the deadline */
	ROUTE_REFUSE,
};

enum route_reason {
	ROUTE_REASON_REPLICA,
	ROUTE_REASON_PRIMARY_WRITE,
	ROUTE_REASON_PRIMARY_POSITION,
	ROUTE_REASON_PRIMARY_NO_REPLICA,
	ROUTE_REASON_WAIT_REPLAY,
	ROUTE_REASON_WAIT_PRIMARY,
	ROUTE_REASON_NO_LEASE,
	ROUTE_REASON_DEADLINE,
};

/**
 * struct route_request - what the choice depends on
 * @read: false for writes and transactions that may write
 * @has_position: whether @needed is to be held
 * @fresh_within_us: data committed longer ago than this must be visible;
 *                   INT64_MAX for no bound. The smaller of a caller's stated
 *                   age and the owners' complete_for_us
 * @max_lag_us: max_replica_lag of the pool
 * @lease_valid: whether the primary may be used
 * @exclude: upstream that just failed this request, or UPSTREAM_NONE
 * @primary_cost_us: expected extra wait at the primary, from its queue
 */
struct route_request {
	int cluster;
	bool read;
	bool has_position;
	struct position needed;
	int64_t fresh_within_us;
	int64_t max_lag_us;
	bool lease_valid;
	int exclude;
	int64_t deadline_us;
	int64_t primary_cost_us;
};

struct route_decision {
	enum route_action action;
	enum route_reason reason;
	int upstream;
	int64_t wait_until_us;
};

/**
 * struct router - settings and random state of the choice
 * @availability_zone: zone of this VM, preferred among equal upstreams
 * @replay_wait_us: longest wait for a replica that is nearly there
 * @ramp_us: time over which a returned replica gets its full share
 */
struct router {
	const char *availability_zone;
	int64_t replay_wait_us;
	int64_t ramp_us;
	uint64_t random;
};

void router_init(struct router *router, const char *availability_zone,
		 uint64_t seed);

void router_decide(struct router *router, const struct upstream_directory *dir,
		   const struct route_request *req, int64_t now_us,
		   struct route_decision *out);

#endif
