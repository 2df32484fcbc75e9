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

/* As many standbys as voters may be lost at once, and at least one. */
static unsigned standbys_wanted(const struct group_view *view)
{
	return view->voters_wanted > 3 ? view->voters_wanted / 2 : 1;
}

static bool is_present(int64_t silent_us)
{
	return silent_us < GROUP_HEARD_WITHIN_US;
}

/* Whether a VM at the same address is active under another member ID. */
static bool active_under_other_id(const struct group_view *view,
				  const struct group_member *m)
{
	unsigned i;

	for (i = 0; i < view->nr_join_requests; i++)
		if (is_present(view->join_requests[i].silent_us) &&
		    view->join_requests[i].id != m->id &&
		    group_same_address(view->join_requests[i].id, m->id))
			return true;
	for (i = 0; i < view->nr; i++)
		if (view->member[i].id != m->id &&
		    is_present(view->member[i].silent_us) &&
		    group_same_address(view->member[i].id, m->id))
			return true;
	return false;
}

static bool is_silent(const struct group_view *view,
		      const struct group_member *m, int64_t limit_us)
{
	if (m->id == view->leader)
		return false;
	return m->silent_us > limit_us ||
	       (active_under_other_id(view, m) &&
		m->silent_us > GROUP_HEARD_WITHIN_US / 2);
}

static const struct group_member *
find_silent_voter(const struct group_view *view, int64_t limit_us)
{
	const struct group_member *found = NULL;
	unsigned i;

	for (i = 0; i < view->nr; i++) {
		const struct group_member *m = &view->member[i];

		if (!m->voter || !is_silent(view, m, limit_us))
			continue;
		if (!found || active_under_other_id(view, m) ||
		    m->silent_us > found->silent_us)
			found = m;
	}
	return found;
}

/* The leader is the last one to leave, as its successor must be elected. */
static const struct group_member *
find_leaving_voter(const struct group_view *view)
{
	const struct group_member *found = NULL;
	unsigned i;

	for (i = 0; i < view->nr; i++) {
		const struct group_member *m = &view->member[i];

		if (m->voter && m->leaving &&
		    (!found || found->id == view->leader))
			found = m;
	}
	return found;
}

static const struct group_member *
find_lost_learner(const struct group_view *view)
{
	unsigned i;

	for (i = 0; i < view->nr; i++) {
		const struct group_member *m = &view->member[i];

		if (!m->voter &&
		    (m->leaving || is_silent(view, m, GROUP_MEMBER_LOST_US)))
			return m;
	}
	return NULL;
}

static const struct group_member *find_standby(const struct group_view *view)
{
	unsigned i;

	for (i = 0; i < view->nr; i++) {
		const struct group_member *m = &view->member[i];

		if (!m->voter && m->caught_up && !m->leaving &&
		    is_present(m->silent_us))
			return m;
	}
	return NULL;
}

/* Whether a majority of the voters other than @removed_id, 0 for none, answered
 * recently. */
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
		heard += is_present(m->silent_us);
	}
	return nr && heard > nr / 2;
}

static const struct group_member *find_member(const struct group_view *view,
					      uint64_t id)
{
	unsigned i;

	for (i = 0; i < view->nr; i++)
		if (view->member[i].id == id)
			return &view->member[i];
	return NULL;
}

static uint64_t next_to_add(const struct group_view *view)
{
	unsigned i;

	for (i = 0; i < view->nr_join_requests; i++)
		if (is_present(view->join_requests[i].silent_us) &&
		    !find_member(view, view->join_requests[i].id))
			return view->join_requests[i].id;
	return 0;
}

static struct group_change remove_if_safe(const struct group_view *view,
					  const struct group_member *m)
{
	if (m && keeps_quorum(view, m->id))
		return make_change(GROUP_REMOVE, m->id);
	return make_change(GROUP_NO_CHANGE, 0);
}

/* A voter too many is in the group while the one that leaves still votes. */
static struct group_change remove_surplus(const struct group_view *view)
{
	const struct group_member *m = find_leaving_voter(view);

	if (!m)
		m = find_silent_voter(view, GROUP_VOTER_REPLACED_US);
	return remove_if_safe(view, m);
}

static struct group_change use_standby(const struct group_view *view,
				       uint64_t standby, unsigned voters)
{
	const struct group_member *silent =
		find_silent_voter(view, GROUP_VOTER_REPLACED_US);

	if (voters < view->voters_wanted)
		return make_change(GROUP_PROMOTE_LEARNER, standby);
	if (silent)
		return remove_if_safe(view, silent);
	if (find_leaving_voter(view) && keeps_quorum(view, 0))
		return make_change(GROUP_PROMOTE_LEARNER, standby);
	return make_change(GROUP_NO_CHANGE, 0);
}

struct group_change group_next_change(const struct group_view *view)
{
	const struct group_member *lost = find_lost_learner(view);
	const struct group_member *standby = find_standby(view);
	unsigned voters = count_voters(view);
	uint64_t joining_id = next_to_add(view);
	struct group_change change = make_change(GROUP_NO_CHANGE, 0);

	if (lost)
		return make_change(GROUP_REMOVE, lost->id);
	if (voters > view->voters_wanted)
		change = remove_surplus(view);
	else if (standby)
		change = use_standby(view, standby->id, voters);
	if (change.action != GROUP_NO_CHANGE)
		return change;
	if (joining_id && view->nr < RAFT_MEMBERS_MAX &&
	    view->nr - voters < standbys_wanted(view))
		return make_change(GROUP_ADD, joining_id);
	return change;
}

void group_change_apply(const struct group_change *change,
			struct raft_members *members)
{
	unsigned i;

	for (i = 0; i < members->nr; i++)
		if (members->member[i].id == change->id)
			break;
	if (change->action == GROUP_ADD)
		members->member[members->nr++] =
			(struct raft_member){ change->id, false };
	else if (i < members->nr && change->action == GROUP_PROMOTE_LEARNER)
		members->member[i].voter = true;
	else if (i < members->nr)
		members->member[i] = members->member[--members->nr];
}

static bool has_successor(const struct group_view *view)
{
	unsigned i;

	for (i = 0; i < view->nr; i++) {
		const struct group_member *m = &view->member[i];

		if (!m->voter && !m->leaving &&
		    !is_silent(view, m, GROUP_MEMBER_LOST_US))
			return true;
	}
	return next_to_add(view) || count_voters(view) > view->voters_wanted;
}

bool group_may_stop(const struct group_view *view, uint64_t id)
{
	const struct group_member *m = find_member(view, id);

	if (view->changing)
		return false;
	return !m || !m->voter || !has_successor(view);
}
