#ifndef ROUTER_H
#define ROUTER_H

#include "upstream_directory.h"

/**
 * DOC: Choice of the upstream for one request.
 *
 * Reads the upstream directory and modifies only its own random state.
 */

enum route_action {
	ROUTE_TO_UPSTREAM,
	/** no upstream fits; retry at wait_until_us or on a state change */
	ROUTE_WAIT,
	/** no upstream will qualify before the deadline */
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
 * struct route_request - one request to route
 * @read: false for writes and for transactions that may write
 * @has_position: whether a replica must have replayed @needed
 * @needed: log position whose commits the request must see
 * @fresh_within_us: commits older than this must be visible; INT64_MAX for no
 *                   bound. The lower of the maximum staleness the client asked
 *                   for and the complete_for_us of the session owners
 * @max_lag_us: max_replica_lag of the pool
 * @lease_valid: whether this daemon holds a lease and may use the primary
 * @exclude: upstream where this request just failed, or UPSTREAM_NONE
 * @primary_wait_us: expected extra wait at the primary, because of its queue
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
	int64_t primary_wait_us;
};

/**
 * struct route_decision - result of router_decide()
 * @upstream: set for ROUTE_TO_UPSTREAM, else UPSTREAM_NONE
 * @wait_until_us: set for ROUTE_WAIT
 */
struct route_decision {
	enum route_action action;
	enum route_reason reason;
	int upstream;
	int64_t wait_until_us;
};

/**
 * struct router - settings and random state
 * @availability_zone: zone of this VM, preferred between equal upstreams
 * @replay_wait_us: longest wait for a replica to replay the needed position
 * @ramp_us: time over which the load of a returned replica rises to its full
 *           share
 * @random_state: state of the random number generator
 */
struct router {
	const char *availability_zone;
	int64_t replay_wait_us;
	int64_t ramp_us;
	uint64_t random_state;
};

void router_init(struct router *router, const char *availability_zone,
		 uint64_t seed);

/** router_decide() - choose an upstream, or wait, or refuse */
void router_decide(struct router *router, const struct upstream_directory *dir,
		   const struct route_request *req, int64_t now_us,
		   struct route_decision *out);

#endif
