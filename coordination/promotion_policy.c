#include "promotion_policy.h"

static bool is_cut_off(const struct promotion_upstream *p,
		       unsigned silent_daemons)
{
	unsigned heard = p->answered + p->failing + silent_daemons;

	if (!p->failing || p->failing * PROMOTION_QUORUM_DIVISOR < heard)
		return false;
	return p->failing > 1 || heard == 1 ||
	       p->silent_us > PROMOTION_CONFIRMING_SILENCE_US;
}

enum promotion_reason promotion_needed(const struct promotion_view *view)
{
	const struct promotion_upstream *p;

	if (view->since_request_us < PROMOTION_REQUEST_INTERVAL_US)
		return PROMOTION_NOT_NEEDED;
	/* An upstream that was not heard yet may be the primary. */
	if (view->primary < 0 && view->unannounced_upstreams &&
	    view->uptime_us < PROMOTION_STARTUP_WAIT_US)
		return PROMOTION_NOT_NEEDED;
	if (view->primary < 0)
		return PROMOTION_NO_PRIMARY;
	p = &view->upstreams[view->primary];
	if (p->leaving)
		return PROMOTION_LEAVING;
	if (is_cut_off(p, view->silent_daemons))
		return PROMOTION_UNREACHABLE;
	if (p->silent_us > PROMOTION_SILENT_AFTER_US && !p->answered)
		return PROMOTION_SILENT;
	return PROMOTION_NOT_NEEDED;
}

static bool is_eligible(const struct promotion_view *view, unsigned i)
{
	const struct promotion_upstream *p = &view->upstreams[i];

	if ((int)i == view->primary || p->leaving || p->diverged)
		return false;
	if (p->silent_us > PROMOTION_CANDIDATE_MAX_SILENCE_US)
		return false;
	return !p->failing || p->answered > p->failing;
}

static bool is_better_candidate(const struct promotion_upstream *a,
				const struct promotion_upstream *b)
{
	if (a->failing != b->failing)
		return a->failing < b->failing;
	return position_compare(a->position, b->position) > 0;
}

int promotion_candidate(const struct promotion_view *view)
{
	int best = -1;
	unsigned i;

	for (i = 0; i < view->nr; i++)
		if (is_eligible(view, i) &&
		    (best < 0 || is_better_candidate(&view->upstreams[i],
						     &view->upstreams[best])))
			best = (int)i;
	return best;
}

unsigned promotion_logs_wanted(const struct promotion_view *view)
{
	unsigned nr = MAX(view->nr, view->nr_copies);

	return nr > view->sync_replicas ? nr - view->sync_replicas : 0;
}

bool promotion_needs_survey(const struct promotion_view *view)
{
	unsigned surveyed = 0;
	unsigned i;

	for (i = 0; i < view->nr; i++)
		surveyed += view->upstreams[i].surveyed;
	return surveyed < promotion_logs_wanted(view);
}

/* An upstream that leaves may still have to lead: its log is handed over
 * afterwards. */
static bool is_more_complete(const struct promotion_upstream *a,
			     const struct promotion_upstream *b)
{
	int order = position_compare(a->received, b->received);

	if (order)
		return order > 0;
	if (a->leaving != b->leaving)
		return !a->leaving;
	return a->failing < b->failing;
}

int promotion_complete_candidate(const struct promotion_view *view)
{
	int best = -1;
	unsigned i;

	if (promotion_needs_survey(view))
		return -1;
	for (i = 0; i < view->nr; i++) {
		const struct promotion_upstream *p = &view->upstreams[i];

		if ((int)i == view->primary || !p->surveyed || p->diverged)
			continue;
		if (best < 0 || is_more_complete(p, &view->upstreams[best]))
			best = (int)i;
	}
	return best;
}

bool promotion_all_replicas_lag(const struct promotion_view *view)
{
	unsigned replicas = 0;
	unsigned i;

	if (view->primary < 0 || view->upstreams[view->primary].failing ||
	    !view->upstreams[view->primary].saturated ||
	    view->upstreams[view->primary].saturated * 2 <
		    view->upstreams[view->primary].answered)
		return false;
	for (i = 0; i < view->nr; i++) {
		const struct promotion_upstream *p = &view->upstreams[i];

		if ((int)i == view->primary || p->leaving)
			continue;
		replicas++;
		if (p->lagging * 2 <= p->answered || p->failing)
			return false;
	}
	return replicas > 0;
}

/* Whether a primary has recovered while a request for another upstream has no
 * answer. */
static bool has_rival(const struct promotion_view *view)
{
	return view->rival_ordered && view->primary >= 0 &&
	       view->upstreams[view->primary].leading &&
	       view->since_request_us >= PROMOTION_REQUEST_INTERVAL_US;
}

static bool is_rival_alive(const struct promotion_view *view)
{
	const struct promotion_upstream *rival;

	/* A control VM that has just started may not have heard it yet. */
	if (view->rival < 0)
		return view->uptime_us < PROMOTION_STARTUP_WAIT_US;
	rival = &view->upstreams[view->rival];
	return rival->answered ||
	       rival->silent_us <= PROMOTION_CANDIDATE_MAX_SILENCE_US;
}

bool promotion_must_yield(const struct promotion_view *view)
{
	const struct promotion_upstream *rival;

	if (!view->sync_replicas || !has_rival(view) || view->rival < 0)
		return false;
	rival = &view->upstreams[view->rival];
	return rival->answered && !rival->failing && !rival->leaving &&
	       !rival->diverged;
}

bool promotion_must_confirm(const struct promotion_view *view)
{
	return has_rival(view) &&
	       (!is_rival_alive(view) ||
		view->rival_age_us >= PROMOTION_LATE_EFFECT_US);
}

bool promotion_may_resume(const struct promotion_view *view, bool confirmed)
{
	if (view->primary < 0 || view->rival_ordered)
		return false;
	return !confirmed ||
	       view->since_request_us >= PROMOTION_REQUEST_INTERVAL_US;
}

const char *promotion_reason_text(enum promotion_reason reason)
{
	switch (reason) {
	case PROMOTION_LEAVING:
		return "leaving";
	case PROMOTION_UNREACHABLE:
		return "unreachable";
	case PROMOTION_SILENT:
		return "silent";
	case PROMOTION_NO_PRIMARY:
		return "no primary";
	case PROMOTION_REPLICAS_BEHIND:
		return "replicas behind";
	case PROMOTION_RIVAL_ORDERED:
		return "rival ordered";
	case PROMOTION_CONFIRMS_PRIMARY:
		return "confirms primary";
	case PROMOTION_NOT_NEEDED:
		break;
	}
	return "not needed";
}
