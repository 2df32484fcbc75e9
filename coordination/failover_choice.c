#include "failover_internal.h"

/* A report of a single daemon may be the fault of that daemon's own VM. */
#define SUSPECTS_MIN 2

/*
 * A suspicion counts while its daemon's heartbeats arrive, a third of a lease
 * apart at most: the end of a suspicion may be held up on a lossy link. The
 * record of the lease tells when the last one arrived.
 */
static bool is_fresh(const struct failover_view *view,
		     const struct failover_daemon *d, int64_t now_us)
{
	int64_t heard_us = d->lease_expires_us - view->lease_full_us;

	return now_us - heard_us <= view->lease_full_us / 3;
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
		live += d->live || now_us < view->leases_known_us;
		suspects += d->live && d->suspects && is_fresh(view, d, now_us);
	}
	return suspects >= MIN(SUSPECTS_MIN, users) && suspects * 2 > live;
}

/*
 * A grant sent after the fence was recorded carries the fence, so only leases
 * from before it count, whatever heartbeats arrive later. Otherwise a daemon
 * whose grants are lost, but not its heartbeats, would hold up the run for
 * ever.
 */
static int64_t lease_ends(const struct failover *fo,
			  const struct failover_view *view,
			  const struct failover_daemon *d)
{
	int64_t end_us =
		MIN(d->lease_expires_us, fo->started_us + view->lease_full_us);

	return MAX(end_us, view->leases_known_us);
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
		end_us = lease_ends(fo, view, d);
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

/* Largest position known to be acknowledged; false if some are unknown. */
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

int failover_choose(const struct failover_view *view, const char **blocked)
{
	unsigned ack = MAX(view->ack_replicas, 1u), answered;
	struct position required;
	bool known = required_position(view, &required);
	int best = largest_received(view, &answered);

	*blocked = NULL;
	if (best < 0)
		*blocked = "no replica answers; restore one";
	else if (!known && answered + ack - 1 < view->nr_replicas)
		*blocked = "a daemon cannot tell what it acknowledged and too "
			   "few replicas answer to be sure that one of them "
			   "holds it; restore a replica";
	else if (!position_holds(NULL, view->replicas[best].received, required))
		*blocked = "no replica that answers holds every acknowledged "
			   "write; restore the one that received it";
	return *blocked ? -1 : best;
}
