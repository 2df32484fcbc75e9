#include "group_policy.h"

static struct group_change make_change(enum group_action action, uint64_t id)
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

/* Whether a VM at the same address is active under another member ID. */
static bool active_under_other_id(const struct group_view *view,
				  const struct group_member *m)
{
	unsigned i;

	for (i = 0; i < view->nr_join_requests; i++)
		if (view->join_requests[i].silent_us < GROUP_HEARD_WITHIN_US &&
		    view->join_requests[i].id != m->id &&
		    group_same_address(view->join_requests[i].id, m->id))
			return true;
	for (i = 0; i < view->nr; i++)
		if (view->member[i].id != m->id &&
		    view->member[i].silent_us < GROUP_HEARD_WITHIN_US &&
		    group_same_address(view->member[i].id, m->id))
			return true;
	return false;
}

static bool is_lost(const struct group_view *view, const struct group_member *m)
{
	if (m->id == view->leader)
		return false;
	return m->silent_us > GROUP_VOTER_LOST_US ||
	       (active_under_other_id(view, m) &&
		m->silent_us > GROUP_HEARD_WITHIN_US / 2);
}

static const struct group_member *find_lost_voter(const struct group_view *view)
{
	const struct group_member *found = NULL;
	unsigned i;

	for (i = 0; i < view->nr; i++) {
		const struct group_member *m = &view->member[i];

		if (!m->voter || !is_lost(view, m))
			continue;
		if (!found || active_under_other_id(view, m) ||
		    m->silent_us > found->silent_us)
			found = m;
	}
	return found;
}

/* Whether a majority of the voters other than @removed_id answered recently. */
static bool keeps_quorum(const struct group_view *view, uint64_t removed_id)
{
	unsigned heard = 0;
	unsigned nr = 0;
	unsigned i;

	for (i = 0; i < view->nr; i++) {
		const struct group_member *m = &view->member[i];

		if (!m->voter || m->id == removed_id)
			continue;
		nr++;
		heard += m->silent_us < GROUP_HEARD_WITHIN_US;
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

static uint64_t next_to_add(const struct group_view *view)
{
	unsigned i;

	for (i = 0; i < view->nr_join_requests; i++)
		if (view->join_requests[i].silent_us < GROUP_HEARD_WITHIN_US &&
		    !is_member(view, view->join_requests[i].id))
			return view->join_requests[i].id;
	return 0;
}

/* A learner is promoted or removed before any other change is made. */
static struct group_change
change_for_learner(const struct group_view *view,
		   const struct group_member *learner,
		   const struct group_member *lost, unsigned voters)
{
	if (is_lost(view, learner))
		return make_change(GROUP_REMOVE, learner->id);
	if (!learner->caught_up || learner->silent_us > GROUP_HEARD_WITHIN_US)
		return make_change(GROUP_NO_CHANGE, 0);
	if (voters < view->voters_wanted)
		return make_change(GROUP_PROMOTE_LEARNER, learner->id);
	if (lost && keeps_quorum(view, lost->id))
		return make_change(GROUP_REMOVE, lost->id);
	return make_change(GROUP_NO_CHANGE, 0);
}

struct group_change group_next_change(const struct group_view *view)
{
	const struct group_member *lost = find_lost_voter(view);
	unsigned voters = count_voters(view);
	uint64_t joining_id = next_to_add(view);
	unsigned i;

	for (i = 0; i < view->nr; i++)
		if (!view->member[i].voter)
			return change_for_learner(view, &view->member[i], lost,
						  voters);
	if (!joining_id || (voters >= view->voters_wanted && !lost))
		return make_change(GROUP_NO_CHANGE, 0);
	if (view->nr < RAFT_MEMBERS_MAX)
		return make_change(GROUP_ADD, joining_id);
	if (lost && keeps_quorum(view, lost->id))
		return make_change(GROUP_REMOVE, lost->id);
	return make_change(GROUP_NO_CHANGE, 0);
}
