#include "failover_internal.h"

/*
 * Time after which a message is sent again in case it was lost: a fence, a
 * position query, a promotion, a proposed step, or the order to the replicas to
 * follow the new primary.
 */
#define FENCE_RETRY_US 100000ll
#define QUERY_RETRY_US 100000ll
#define PROMOTE_RETRY_US 500000ll
#define PROPOSE_RETRY_US 500000ll
#define REPOINT_RETRY_US 1000000ll
/*
 * Time that the other replicas have to answer after the fence although one
 * already qualifies. One of them may have received more of the log, and so keep
 * more of the writes whose outcome is unknown.
 */
#define CANDIDATE_CHOICE_WAIT_US 100000ll
/*
 * Time for which a majority must keep reporting the primary as unreachable. At
 * 5% packet loss, retransmissions delay the answers on a majority of eight
 * probe connections at once in about one of 500 runs of 10 s, for less than
 * this time.
 */
#define SUSPICION_CONFIRM_US 150000ll
/* Time without an answer from the candidate until another one is chosen. */
#define CANDIDATE_TIMEOUT_US 2000000ll

void failover_init(struct failover *fo, uint32_t term)
{
	*fo = (struct failover){
		.step = FAILOVER_NONE,
		.term = term,
		.candidate = -1,
		.started_us = -1,
		.suspected_us = -1,
		.fenced_us = -1,
		.candidate_answered_us = -1,
		.last_fence_us = -1,
		.last_query_us = -1,
		.last_promote_us = -1,
		.last_repoint_us = -1,
		.proposed_step = FAILOVER_NONE,
		.proposed_candidate = -1,
		.last_proposal_us = -1,
	};
}

void failover_resume(struct failover *fo, enum failover_step step,
		     uint32_t term, int candidate, int64_t now_us)
{
	failover_init(fo, term);
	fo->step = step;
	fo->candidate = candidate;
	fo->started_us = now_us;
	fo->candidate_answered_us = now_us;
}

static void begin_fencing(struct failover *fo, int64_t now_us)
{
	int64_t suspected_us = fo->suspected_us;

	failover_init(fo, fo->term);
	fo->step = FAILOVER_FENCING;
	fo->started_us = now_us;
	fo->suspected_us = suspected_us;
}

void failover_step_committed(struct failover *fo, enum failover_step step,
			     int candidate, int64_t now_us)
{
	fo->proposed_step = FAILOVER_NONE;
	fo->blocked = NULL;
	switch (step) {
	case FAILOVER_FENCING:
		begin_fencing(fo, now_us);
		break;
	case FAILOVER_PROMOTING:
		fo->step = step;
		fo->candidate = candidate;
		fo->candidate_answered_us = now_us;
		fo->last_promote_us = -1;
		break;
	case FAILOVER_DONE:
		fo->step = step;
		fo->term = MAX(fo->term, fo->new_term);
		fo->suspected_us = -1;
		break;
	case FAILOVER_ABANDONED:
	case FAILOVER_NONE:
		fo->step = step;
		fo->suspected_us = -1;
		break;
	}
}

/* Whether @retry_us have passed since @last_us; if not, sets the wake time. */
static bool is_due(int64_t last_us, int64_t retry_us, int64_t now_us,
		   struct failover_decision *decision)
{
	if (last_us < 0 || now_us >= last_us + retry_us)
		return true;
	decision->wake_us = MIN(decision->wake_us, last_us + retry_us);
	return false;
}

/* Returns the action to the driver unless it was returned recently. */
static void request_action(struct failover_decision *decision,
			   enum failover_action action, int64_t *last_us,
			   int64_t retry_us, int64_t now_us)
{
	if (!is_due(*last_us, retry_us, now_us, decision))
		return;
	*last_us = now_us;
	decision->action = action;
	decision->wake_us = MIN(decision->wake_us, now_us + retry_us);
}

/* Has the driver propose a step; a new step is proposed without delay. */
static void propose_step(struct failover *fo, enum failover_step step,
			 int candidate, int64_t now_us,
			 struct failover_decision *decision)
{
	if (fo->proposed_step != step || fo->proposed_candidate != candidate)
		fo->last_proposal_us = -1;
	fo->proposed_step = step;
	fo->proposed_candidate = candidate;
	decision->step = step;
	decision->candidate = candidate;
	request_action(decision, FAILOVER_PROPOSE_STEP, &fo->last_proposal_us,
		       PROPOSE_RETRY_US, now_us);
}

/* Whether a replica answers but still receives the log of an earlier term. */
static bool needs_repoint(const struct failover *fo,
			  const struct failover_view *view)
{
	const struct failover_replica *r;
	unsigned i;

	for (i = 0; i < view->nr_replicas; i++) {
		r = &view->replicas[i];
		if (r->answered && !r->promoted && r->received.term < fo->term)
			return true;
	}
	return false;
}

static void next_idle(struct failover *fo, const struct failover_view *view,
		      int64_t now_us, struct failover_decision *decision)
{
	if (failover_suspected(view, now_us)) {
		if (fo->suspected_us < 0)
			fo->suspected_us = now_us;
		if (is_due(fo->suspected_us, SUSPICION_CONFIRM_US, now_us,
			   decision))
			propose_step(fo, FAILOVER_FENCING, -1, now_us,
				     decision);
		return;
	}
	fo->suspected_us = -1;
	/* The primary is reachable again before the fence was committed. */
	if (fo->proposed_step == FAILOVER_FENCING)
		failover_step_committed(fo, FAILOVER_ABANDONED, -1, now_us);
	if (fo->step != FAILOVER_DONE)
		return;
	/* After a resume it is not known which primary the replicas follow. */
	if (needs_repoint(fo, view))
		request_action(decision, FAILOVER_REPOINT, &fo->last_repoint_us,
			       REPOINT_RETRY_US, now_us);
	else if (!failover_all_answered(view))
		request_action(decision, FAILOVER_QUERY_POSITIONS,
			       &fo->last_query_us, REPOINT_RETRY_US, now_us);
}

static void next_fencing(struct failover *fo, const struct failover_view *view,
			 int64_t now_us, struct failover_decision *decision)
{
	int candidate;

	if (fo->fenced_us < 0) {
		if (!failover_fenced(fo, view, now_us, &decision->wake_us)) {
			request_action(decision, FAILOVER_SEND_FENCES,
				       &fo->last_fence_us, FENCE_RETRY_US,
				       now_us);
			return;
		}
		fo->fenced_us = now_us;
	}
	/*
	 * Positions from before the fence may lack writes that were
	 * acknowledged later, so the replicas are asked again.
	 */
	if (fo->last_query_us < 0) {
		request_action(decision, FAILOVER_QUERY_POSITIONS,
			       &fo->last_query_us, QUERY_RETRY_US, now_us);
		return;
	}
	candidate = failover_choose_candidate(view, fo->term, &fo->blocked);
	if (candidate >= 0 && (failover_all_answered(view) ||
			       is_due(fo->fenced_us, CANDIDATE_CHOICE_WAIT_US,
				      now_us, decision))) {
		propose_step(fo, FAILOVER_PROMOTING, candidate, now_us,
			     decision);
		return;
	}
	request_action(decision, FAILOVER_QUERY_POSITIONS, &fo->last_query_us,
		       QUERY_RETRY_US, now_us);
}

/* Proposes another qualified replica when the candidate does not answer. */
static void choose_other_candidate(struct failover *fo,
				   const struct failover_view *view,
				   int64_t now_us,
				   struct failover_decision *decision)
{
	int other = failover_choose_candidate(view, fo->term, &fo->blocked);

	if (other >= 0 && other != fo->candidate) {
		propose_step(fo, FAILOVER_PROMOTING, other, now_us, decision);
		return;
	}
	request_action(decision, FAILOVER_QUERY_POSITIONS, &fo->last_query_us,
		       QUERY_RETRY_US, now_us);
}

static void next_promoting(struct failover *fo,
			   const struct failover_view *view, int64_t now_us,
			   struct failover_decision *decision)
{
	const struct failover_replica *r = NULL;

	if (fo->candidate >= 0 && (unsigned)fo->candidate < view->nr_replicas)
		r = &view->replicas[fo->candidate];
	if (r && r->answered) {
		fo->candidate_answered_us = now_us;
		if (r->promoted && r->received.term > fo->term) {
			fo->new_term = r->received.term;
			propose_step(fo, FAILOVER_DONE, fo->candidate, now_us,
				     decision);
			return;
		}
	}
	decision->candidate = fo->candidate;
	if (r &&
	    is_due(fo->last_promote_us, PROMOTE_RETRY_US, now_us, decision))
		request_action(decision, FAILOVER_PROMOTE, &fo->last_promote_us,
			       PROMOTE_RETRY_US, now_us);
	else if (!r || is_due(fo->candidate_answered_us, CANDIDATE_TIMEOUT_US,
			      now_us, decision))
		choose_other_candidate(fo, view, now_us, decision);
}

void failover_next(struct failover *fo, const struct failover_view *view,
		   int64_t now_us, struct failover_decision *decision)
{
	*decision = (struct failover_decision){
		.action = FAILOVER_WAIT,
		.step = fo->step,
		.candidate = fo->candidate,
		.wake_us = INT64_MAX,
	};
	switch (fo->step) {
	case FAILOVER_FENCING:
		next_fencing(fo, view, now_us, decision);
		break;
	case FAILOVER_PROMOTING:
		next_promoting(fo, view, now_us, decision);
		break;
	case FAILOVER_NONE:
	case FAILOVER_DONE:
	case FAILOVER_ABANDONED:
		next_idle(fo, view, now_us, decision);
		break;
	}
}
