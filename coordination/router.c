#include "router.h"

#include <string.h>

/* A longer wait costs the client more than a read at the primary, where opening
 * a connection takes 10 ms. */
#define REPLAY_WAIT_US 20000
/* A returned replica has cold caches; 5 s at full load warm them. */
#define RAMP_US 5000000

struct replica_choice {
	int first;
	int second;
	unsigned nr;
};

void router_init(struct router *router, const char *availability_zone,
		 uint64_t seed)
{
	router->availability_zone = availability_zone;
	router->replay_wait_us = REPLAY_WAIT_US;
	router->ramp_us = RAMP_US;
	router->random_state = seed;
}

/* splitmix64 */
static uint64_t next_random(struct router *router)
{
	uint64_t z = router->random_state += 0x9E3779B97F4A7C15ull;

	z = (z ^ z >> 30) * 0xBF58476D1CE4E5B9ull;
	z = (z ^ z >> 27) * 0x94D049BB133111EBull;
	return z ^ z >> 31;
}

/* Whether a replica may serve reads, regardless of what it has replayed. */
static bool may_serve(const struct upstream_directory *dir,
		      const struct cluster *cl, const struct route_request *req,
		      int handle, int64_t now_us)
{
	const struct upstream *up = directory_upstream_at(dir, handle);

	if (handle == cl->primary || handle == req->exclude)
		return false;
	if (up->leaving || !up->reachable || !directory_is_replica(up))
		return false;
	if (up->position_reported_us == INT64_MIN ||
	    directory_has_diverged(dir, handle))
		return false;
	return directory_is_current(dir, handle, now_us);
}

static bool is_fresh(const struct upstream *up, const struct route_request *req,
		     int64_t now_us)
{
	int64_t bound_us = MIN(req->fresh_within_us, req->max_lag_us);

	if (bound_us == INT64_MAX)
		return true;
	return up->fresh_as_of_us != INT64_MIN &&
	       now_us - up->fresh_as_of_us <= bound_us;
}

static bool holds_needed(const struct cluster *cl, const struct upstream *up,
			 const struct route_request *req)
{
	return !req->has_position ||
	       position_covers(&cl->history, up->replayed, req->needed);
}

/* Reservoir sampling of two replicas out of any number. */
static void replica_choice_add(struct router *router,
			       struct replica_choice *choice, int handle)
{
	uint64_t slot = choice->nr++;

	if (slot >= 2)
		slot = next_random(router) % choice->nr;
	if (slot == 0)
		choice->first = handle;
	else if (slot == 1)
		choice->second = handle;
}

static bool skipped_by_ramp(struct router *router, const struct upstream *up,
			    int64_t now_us)
{
	int64_t since_us = now_us - up->ramp_start_us;

	if (since_us >= router->ramp_us)
		return false;
	return (int64_t)(next_random(router) % router->ramp_us) >= since_us;
}

static bool in_same_zone(const struct router *router, const struct upstream *up)
{
	return router->availability_zone && up->availability_zone &&
	       !strcmp(router->availability_zone, up->availability_zone);
}

static int better_replica(struct router *router,
			  const struct upstream_directory *dir,
			  const struct replica_choice *choice, int64_t now_us)
{
	const struct upstream *a = directory_upstream_at(dir, choice->first);
	const struct upstream *b;
	bool a_skipped, b_skipped;

	if (choice->nr == 1)
		return choice->first;
	b = directory_upstream_at(dir, choice->second);
	a_skipped = skipped_by_ramp(router, a, now_us);
	b_skipped = skipped_by_ramp(router, b, now_us);
	if (a_skipped != b_skipped)
		return a_skipped ? choice->second : choice->first;
	if (a->in_flight != b->in_flight)
		return a->in_flight < b->in_flight ? choice->first :
						     choice->second;
	if (in_same_zone(router, a) != in_same_zone(router, b))
		return in_same_zone(router, a) ? choice->first : choice->second;
	return next_random(router) & 1 ? choice->first : choice->second;
}

static int choose_replica(struct router *router,
			  const struct upstream_directory *dir,
			  const struct cluster *cl,
			  const struct route_request *req, int64_t now_us)
{
	struct replica_choice choice = { UPSTREAM_NONE, UPSTREAM_NONE, 0 };
	const struct upstream *up;
	int handle;
	guint i;

	for (i = 0; i < cl->upstreams->len; i++) {
		handle = g_array_index(cl->upstreams, int, i);
		up = directory_upstream_at(dir, handle);
		if (may_serve(dir, cl, req, handle, now_us) &&
		    holds_needed(cl, up, req) && is_fresh(up, req, now_us))
			replica_choice_add(router, &choice, handle);
	}
	if (!choice.nr)
		return UPSTREAM_NONE;
	return better_replica(router, dir, &choice, now_us);
}

/*
 * Upper bound on the time at which the needed position was written: the time of
 * the oldest sample of the primary that holds it. Without such a sample the
 * position is newer than the last sample.
 */
static int64_t latest_write_us(const struct cluster *cl,
			       const struct route_request *req, int64_t now_us)
{
	unsigned i;

	for (i = 0; i < cl->nr_samples; i++)
		if (position_covers(&cl->history, cl->samples[i].pos,
				    req->needed))
			return cl->samples[i].asked_at_us;
	return now_us;
}

/*
 * Time at which the first replica is expected to hold the position: the time of
 * the write plus the last known lag of the replica. INT64_MAX if no replica
 * will qualify by replaying it.
 */
static int64_t expected_replay_us(const struct upstream_directory *dir,
				  const struct cluster *cl,
				  const struct route_request *req,
				  int64_t now_us)
{
	int64_t best_us = INT64_MAX, written_us;
	const struct upstream *up;
	int handle;
	guint i;

	if (!req->has_position)
		return INT64_MAX;
	written_us = latest_write_us(cl, req, now_us);
	for (i = 0; i < cl->upstreams->len; i++) {
		handle = g_array_index(cl->upstreams, int, i);
		up = directory_upstream_at(dir, handle);
		if (!may_serve(dir, cl, req, handle, now_us) ||
		    holds_needed(cl, up, req) || !is_fresh(up, req, now_us) ||
		    up->fresh_as_of_us == INT64_MIN)
			continue;
		best_us = MIN(best_us, written_us + up->position_reported_us -
					       up->fresh_as_of_us);
	}
	return best_us;
}

static bool primary_usable(const struct upstream_directory *dir,
			   const struct cluster *cl,
			   const struct route_request *req)
{
	const struct upstream *up = directory_upstream_at(dir, cl->primary);

	return req->lease_valid && up && up->reachable && !up->leaving;
}

static void wait_for_primary(const struct route_request *req,
			     struct route_decision *out)
{
	if (!req->lease_valid) {
		out->action = ROUTE_REFUSE;
		out->reason = ROUTE_REASON_NO_LEASE;
		return;
	}
	out->action = ROUTE_WAIT;
	out->reason = ROUTE_REASON_WAIT_PRIMARY;
	out->wait_until_us = req->deadline_us;
}

static void decide_without_replica(const struct router *router,
				   const struct upstream_directory *dir,
				   const struct cluster *cl,
				   const struct route_request *req,
				   int64_t now_us, struct route_decision *out)
{
	bool usable = primary_usable(dir, cl, req);
	int64_t until_us = expected_replay_us(dir, cl, req, now_us);

	if (until_us > now_us && until_us <= req->deadline_us &&
	    until_us - now_us <= router->replay_wait_us &&
	    (!usable || until_us - now_us < req->primary_wait_us)) {
		out->action = ROUTE_WAIT;
		out->reason = ROUTE_REASON_WAIT_REPLAY;
		out->wait_until_us = until_us;
		return;
	}
	if (!usable) {
		wait_for_primary(req, out);
		return;
	}
	out->action = ROUTE_TO_UPSTREAM;
	out->reason = req->has_position ? ROUTE_REASON_PRIMARY_POSITION :
					  ROUTE_REASON_PRIMARY_NO_REPLICA;
	out->upstream = cl->primary;
}

void router_decide(struct router *router, const struct upstream_directory *dir,
		   const struct route_request *req, int64_t now_us,
		   struct route_decision *out)
{
	const struct cluster *cl = directory_cluster_at(dir, req->cluster);

	*out = (struct route_decision){ ROUTE_REFUSE, ROUTE_REASON_DEADLINE,
					UPSTREAM_NONE, now_us };
	if (!cl || now_us >= req->deadline_us)
		return;
	if (!req->read) {
		if (!primary_usable(dir, cl, req)) {
			wait_for_primary(req, out);
			return;
		}
		out->action = ROUTE_TO_UPSTREAM;
		out->reason = ROUTE_REASON_PRIMARY_WRITE;
		out->upstream = cl->primary;
		return;
	}
	out->upstream = choose_replica(router, dir, cl, req, now_us);
	if (out->upstream == UPSTREAM_NONE) {
		decide_without_replica(router, dir, cl, req, now_us, out);
		return;
	}
	out->action = ROUTE_TO_UPSTREAM;
	out->reason = ROUTE_REASON_REPLICA;
}
