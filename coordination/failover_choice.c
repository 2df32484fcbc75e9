#include "failover_internal.h"

/* The report of a single daemon may be caused by a fault of its own VM. */
#define SUSPECTING_DAEMONS_MIN 2

/*
 * A suspicion counts only while heartbeats of its daemon arrive, at most a
 * third of a lease apart, because on a lossy link the message that ends the
 * suspicion may be delayed. The arrival time of the last heartbeat follows from
 * the recorded end of the lease.
 */
static bool is_suspicion_fresh(const struct failover_view *view,
			       const struct failover_daemon *d, int64_t now_us)
{
	int64_t last_heartbeat_us = d->lease_expires_us - view->max_lease_us;

	return now_us - last_heartbeat_us <= view->max_lease_us / 3;
}

bool failover_suspected(const struct failover_view *view, int64_t now_us)
{
	unsigned users = 0, live = 0, suspects = 0, i;
	const struct failover_daemon *d;

	for (i = 0; i < view->nr_daemons; i++) {
		d = &view->daemons[i];
		if (!d->uses_cluster)
			continue;
		users++;
		live += d->live || now_us < view->earlier_leases_end_us;
		suspects += d->live && d->suspects &&
			    is_suspicion_fresh(view, d, now_us);
	}
	return suspects >= MIN(SUSPECTING_DAEMONS_MIN, users) &&
	       suspects * 2 > live;
}

/*
 * A grant sent after the fence was committed carries the fence, so only leases
 * granted before it matter, even if heartbeats arrive later. Otherwise a daemon
 * whose heartbeats arrive but whose grants are lost would block the fail-over
 * forever.
 */
static int64_t relevant_lease_end_us(const struct failover *fo,
				     const struct failover_view *view,
				     const struct failover_daemon *d)
{
	int64_t end_us =
		MIN(d->lease_expires_us, fo->started_us + view->max_lease_us);

	return MAX(end_us, view->earlier_leases_end_us);
}

bool failover_fenced(const struct failover *fo,
		     const struct failover_view *view, int64_t now_us,
		     int64_t *wake_us)
{
	const struct failover_daemon *d;
	bool fenced = true;
	int64_t end_us;
	unsigned i;

	for (i = 0; i < view->nr_daemons; i++) {
		d = &view->daemons[i];
		if (d->fence_confirmed)
			continue;
		end_us = relevant_lease_end_us(fo, view, d);
		if (now_us >= end_us)
			continue;
		fenced = false;
		*wake_us = MIN(*wake_us, end_us);
	}
	return fenced;
}

bool failover_all_answered(const struct failover_view *view)
{
	unsigned i;

	for (i = 0; i < view->nr_replicas; i++)
		if (!view->replicas[i].answered)
			return false;
	return true;
}

/*
 * Sets @required to the largest acknowledged position that is known. Return:
 * whether the position of every daemon is known.
 */
static bool required_position(const struct failover_view *view,
			      struct position *required)
{
	const struct failover_daemon *d;
	bool known = true;
	unsigned i;

	*required = (struct position){ 0, 0 };
	for (i = 0; i < view->nr_daemons; i++) {
		d = &view->daemons[i];
		if (d->fence_confirmed && d->acknowledged.term)
			*required = position_max(*required, d->acknowledged);
		else
			known = false;
	}
	return known;
}

/* Index of the answering replica with the largest received position, or -1. */
static int largest_received(const struct failover_view *view,
			    unsigned *answered)
{
	const struct failover_replica *r;
	int best = -1;
	unsigned i;

	*answered = 0;
	for (i = 0; i < view->nr_replicas; i++) {
		r = &view->replicas[i];
		if (!r->answered || r->promoted)
			continue;
		(*answered)++;
		if (best < 0 ||
		    position_compare(r->received,
				     view->replicas[best].received) > 0)
			best = i;
	}
	return best;
}

int failover_choose_candidate(const struct failover_view *view, uint32_t term,
			      const char **blocked)
{
	unsigned ack_replicas_min = MAX(view->ack_replicas, 1u), answered;
	struct position required;
	bool known = required_position(view, &required);
	int best = largest_received(view, &answered);

	*blocked = NULL;
	if (best < 0)
		*blocked = "no replica answers; restore at least one";
	else if (!known && answered + ack_replicas_min - 1 < view->nr_replicas)
		*blocked = "the last acknowledged write of a daemon is unknown "
			   "and too few replicas answer to guarantee that one "
			   "of them holds it; restore a replica";
	/* Promoted, it would begin the current term a second time. */
	else if (view->replicas[best].received.term < term)
		*blocked = "no answering replica has followed the primary of "
			   "the current term; restore one or make one follow "
			   "it";
	else if (!position_covers(NULL, view->replicas[best].received,
				  required))
		*blocked = "no answering replica holds every acknowledged "
			   "write; restore the replica that received them all";
	return *blocked ? -1 : best;
}
