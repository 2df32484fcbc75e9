#include "group_policy.h"

static struct group_change change(enum group_action action, uint64_t id)
{
	return (struct group_change){ action, id };
}

static unsigned count_voters(const struct group_view *view)
{
	unsigned i;
	unsigned nr = 0;

	for (i = 0; i < view->nr; i++)
		nr += view->member[i].voter;
	return nr;
}

/* A VM of the same address that is heard under another identity. */
static bool superseded(const struct group_view *view,
		       const struct group_member *m)
{
	unsigned i;

	for (i = 0; i < view->nr_waiting; i++)
		if (view->waiting[i].silent_us < GROUP_WAITING_US &&
		    view->waiting[i].id != m->id &&
		    group_same_address(view->waiting[i].id, m->id))
			return true;
	for (i = 0; i < view->nr; i++)
		if (view->member[i].id != m->id &&
		    view->member[i].silent_us < GROUP_WAITING_US &&
		    group_same_address(view->member[i].id, m->id))
			return true;
	return false;
}

static bool is_dark(const struct group_view *view, const struct group_member *m)
{
	if (m->id == view->leader)
		return false;
	return m->silent_us > GROUP_DARK_US ||
	       (superseded(view, m) && m->silent_us > GROUP_WAITING_US / 2);
}

static const struct group_member *dark_voter(const struct group_view *view)
{
	const struct group_member *found = NULL;
	unsigned i;

	for (i = 0; i < view->nr; i++) {
		const struct group_member *m = &view->member[i];

		if (!m->voter || !is_dark(view, m))
			continue;
		if (!found || superseded(view, m) ||
		    m->silent_us > found->silent_us)
			found = m;
	}
	return found;
}

/* Whether a majority of the voters but @without is heard. */
static bool survives(const struct group_view *view, uint64_t without)
{
	unsigned heard = 0;
	unsigned nr = 0;
	unsigned i;

	for (i = 0; i < view->nr; i++) {
		const struct group_member *m = &view->member[i];

		if (!m->voter || m->id == without)
			continue;
		nr++;
		heard += m->silent_us < GROUP_WAITING_US;
	}
	return nr && heard > nr / 2;
}

static bool is_member(const struct group_view *view, uint64_t id)
{
	unsigned i;

	for (i = 0; i < view->nr; i++)
		if (view->member[i].id == id)
			return true;
	return false;
}

static uint64_t next_waiting(const struct group_view *view)
{
	unsigned i;

	for (i = 0; i < view->nr_waiting; i++)
		if (view->waiting[i].silent_us < GROUP_WAITING_US &&
		    !is_member(view, view->waiting[i].id))
			return view->waiting[i].id;
	return 0;
}

/* A learner is either made a voter or dropped before anything else. */
static struct group_change settle_learner(const struct group_view *view,
					  const struct group_member *learner,
					  const struct group_member *dark,
					  unsigned voters)
{
	if (is_dark(view, learner))
		return change(GROUP_REMOVE, learner->id);
	if (!learner->caught_up || learner->silent_us > GROUP_WAITING_US)
		return change(GROUP_KEEP, 0);
	if (voters < view->voters_wanted)
		return change(GROUP_MAKE_VOTER, learner->id);
	if (dark && survives(view, dark->id))
		return change(GROUP_REMOVE, dark->id);
	return change(GROUP_KEEP, 0);
}

struct group_change group_next_change(const struct group_view *view)
{
	const struct group_member *dark = dark_voter(view);
	unsigned voters = count_voters(view);
	uint64_t waiting = next_waiting(view);
	unsigned i;

	for (i = 0; i < view->nr; i++)
		if (!view->member[i].voter)
			return settle_learner(view, &view->member[i], dark,
					      voters);
	if (!waiting || (voters >= view->voters_wanted && !dark))
		return change(GROUP_KEEP, 0);
	if (view->nr < RAFT_NODES_MAX)
		return change(GROUP_ADD, waiting);
	if (dark && survives(view, dark->id))
		return change(GROUP_REMOVE, dark->id);
	return change(GROUP_KEEP, 0);
}
