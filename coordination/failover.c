#include "failover_internal.h"

/* A lost fence, question or promotion is sent again after this time. */
#define FENCE_RETRY_US 100000ll
#define ASK_RETRY_US 100000ll
#define PROMOTE_RETRY_US 500000ll
#define RECORD_RETRY_US 500000ll
#define REPOINT_RETRY_US 1000000ll
/*
 * Time that the other replicas have to answer once one qualifies: the one
 * that received most also keeps writes whose outcome is unknown.
 */
#define CHOICE_WAIT_US 100000ll
/*
 * Time for which a majority must go on to report the primary. At 5% loss,
 * retransmissions silence a majority of eight probe connections at once in
 * about one of 500 runs of 10 s, for a shorter time than this.
 */
#define CONFIRM_US 150000ll
/* Silence of the candidate after which another one is chosen. */
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
		.seen_us = -1,
		.last_fence_us = -1,
		.last_ask_us = -1,
		.last_promote_us = -1,
		.last_repoint_us = -1,
		.recording = FAILOVER_NONE,
		.recording_candidate = -1,
		.last_record_us = -1,
	};
}

void failover_resume(struct failover *fo, enum failover_step step,
		     uint32_t term, int candidate, int64_t now_us)
{
	failover_init(fo, term);
	fo->step = step;
	fo->candidate = candidate;
	fo->started_us = now_us;
	fo->seen_us = now_us;
}

static void begin_fencing(struct failover *fo, int64_t now_us)
{
	int64_t suspected_us = fo->suspected_us;

	failover_init(fo, fo->term);
	fo->step = FAILOVER_FENCING;
	fo->started_us = now_us;
	fo->suspected_us = suspected_us;
}

void failover_recorded(struct failover *fo, enum failover_step step,
		       int candidate, int64_t now_us)
{
	fo->recording = FAILOVER_NONE;
	fo->blocked = NULL;
	switch (step) {
	case FAILOVER_FENCING:
		begin_fencing(fo, now_us);
		break;
	case FAILOVER_PROMOTING:
		fo->step = step;
		fo->candidate = candidate;
		fo->seen_us = now_us;
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

/* Whether an action is due; if not, it is waited for. */
static bool due(int64_t last_us, int64_t retry_us, int64_t now_us,
		struct failover_order *order)
{
	if (last_us < 0 || now_us >= last_us + retry_us)
		return true;
	order->wake_us = MIN(order->wake_us, last_us + retry_us);
	return false;
}

static void act(struct failover_order *order, enum failover_action action,
		int64_t *last_us, int64_t retry_us, int64_t now_us)
{
	if (!due(*last_us, retry_us, now_us, order))
		return;
	*last_us = now_us;
	order->action = action;
	order->wake_us = MIN(order->wake_us, now_us + retry_us);
}

static void record(struct failover *fo, enum failover_step step, int candidate,
		   int64_t now_us, struct failover_order *order)
{
	if (fo->recording != step || fo->recording_candidate != candidate)
		fo->last_record_us = -1;
	fo->recording = step;
	fo->recording_candidate = candidate;
	order->step = step;
	order->candidate = candidate;
	act(order, FAILOVER_RECORD, &fo->last_record_us, RECORD_RETRY_US,
	    now_us);
}

/* Whether a replica answers but still follows the ended term. */
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
		      int64_t now_us, struct failover_order *order)
{
	if (failover_suspected(view, now_us)) {
		if (fo->suspected_us < 0)
			fo->suspected_us = now_us;
		if (due(fo->suspected_us, CONFIRM_US, now_us, order))
			record(fo, FAILOVER_FENCING, -1, now_us, order);
		return;
	}
	fo->suspected_us = -1;
	/* The primary turned out healthy before the fence was recorded. */
	if (fo->recording == FAILOVER_FENCING)
		failover_recorded(fo, FAILOVER_ABANDONED, -1, now_us);
	if (fo->step != FAILOVER_DONE)
		return;
	/* A leader that resumes here does not know whom the replicas follow. */
	if (needs_repoint(fo, view))
		act(order, FAILOVER_REPOINT, &fo->last_repoint_us,
		    REPOINT_RETRY_US, now_us);
	else if (!failover_all_answered(view))
		act(order, FAILOVER_ASK_POSITIONS, &fo->last_ask_us,
		    REPOINT_RETRY_US, now_us);
}

static void next_fencing(struct failover *fo, const struct failover_view *view,
			 int64_t now_us, struct failover_order *order)
{
	int candidate;

	if (fo->fenced_us < 0) {
		if (!failover_fenced(fo, view, now_us, &order->wake_us)) {
			act(order, FAILOVER_SEND_FENCES, &fo->last_fence_us,
			    FENCE_RETRY_US, now_us);
			return;
		}
		fo->fenced_us = now_us;
	}
	/* Answers from before the fence may lack later acknowledged writes. */
	if (fo->last_ask_us < 0) {
		act(order, FAILOVER_ASK_POSITIONS, &fo->last_ask_us,
		    ASK_RETRY_US, now_us);
		return;
	}
	candidate = failover_choose(view, &fo->blocked);
	if (candidate >= 0 &&
	    (failover_all_answered(view) ||
	     due(fo->fenced_us, CHOICE_WAIT_US, now_us, order))) {
		record(fo, FAILOVER_PROMOTING, candidate, now_us, order);
		return;
	}
	act(order, FAILOVER_ASK_POSITIONS, &fo->last_ask_us, ASK_RETRY_US,
	    now_us);
}

/* The candidate is silent: another replica that qualifies takes its place. */
static void choose_again(struct failover *fo, const struct failover_view *view,
			 int64_t now_us, struct failover_order *order)
{
	int other = failover_choose(view, &fo->blocked);

	if (other >= 0 && other != fo->candidate) {
		record(fo, FAILOVER_PROMOTING, other, now_us, order);
		return;
	}
	act(order, FAILOVER_ASK_POSITIONS, &fo->last_ask_us, ASK_RETRY_US,
	    now_us);
}

static void next_promoting(struct failover *fo,
			   const struct failover_view *view, int64_t now_us,
			   struct failover_order *order)
{
	const struct failover_replica *r = NULL;

	if (fo->candidate >= 0 && (unsigned)fo->candidate < view->nr_replicas)
		r = &view->replicas[fo->candidate];
	if (r && r->answered) {
		fo->seen_us = now_us;
		if (r->promoted && r->received.term > fo->term) {
			fo->new_term = r->received.term;
			record(fo, FAILOVER_DONE, fo->candidate, now_us, order);
			return;
		}
	}
	order->candidate = fo->candidate;
	if (r && due(fo->last_promote_us, PROMOTE_RETRY_US, now_us, order))
		act(order, FAILOVER_PROMOTE, &fo->last_promote_us,
		    PROMOTE_RETRY_US, now_us);
	else if (!r || due(fo->seen_us, CANDIDATE_TIMEOUT_US, now_us, order))
		choose_again(fo, view, now_us, order);
}

void failover_next(struct failover *fo, const struct failover_view *view,
		   int64_t now_us, struct failover_order *order)
{
	*order = (struct failover_order){
		.action = FAILOVER_WAIT,
		.step = fo->step,
		.candidate = fo->candidate,
		.wake_us = INT64_MAX,
	};
	switch (fo->step) {
	case FAILOVER_FENCING:
		next_fencing(fo, view, now_us, order);
		break;
	case FAILOVER_PROMOTING:
		next_promoting(fo, view, now_us, order);
		break;
	case FAILOVER_NONE:
	case FAILOVER_DONE:
	case FAILOVER_ABANDONED:
		next_idle(fo, view, now_us, order);
		break;
	}
}
