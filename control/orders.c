#include "internal.h"

#include "clock.h"
#include "event_log.h"

#include <jansson.h>
#include <string.h>

/* Unanswered promotion requests for one upstream before another is tried. A
 * request without an answer may take effect late and would then undo a newer
 * one. */
#define MAX_UNANSWERED_REQUESTS 4
/* Pause after a refused promotion request, microseconds. */
#define REFUSED_RETRY_US (300 * 1000ll)
/* An order that took longer than this to be agreed on is not given, since what
 * it was decided by may have changed, microseconds. */
#define ORDER_MAX_AGE_US (1500 * 1000ll)

/* End of the log that an upstream leads with if it is promoted now. */
static struct position log_end(const struct control_node *node,
			       const struct control_promotion_state *state,
			       const char *id)
{
	const struct position *received =
		control_survey_received(state, id, clock_now_us());

	return position_max(received ? *received : (struct position){ 0 },
			    control_newest_position(node, id));
}

/* The upstreams that a promotion was decided by, for the log. */
static char *upstreams_text(const struct promotion_view *view)
{
	GString *out = g_string_new(NULL);
	unsigned i;

	for (i = 0; i < view->nr; i++) {
		const struct promotion_upstream *up = &view->upstreams[i];

		g_string_append_printf(out,
				       "%s%s %u.%" G_GUINT64_FORMAT
				       " answered %u failing %u%s",
				       i ? ", " : "", up->id, up->position.term,
				       up->position.lsn, up->answered,
				       up->failing,
				       up->diverged ? " diverged" : "");
		if (up->surveyed)
			g_string_append_printf(
				out, " received %u.%" G_GUINT64_FORMAT,
				up->received.term, up->received.lsn);
	}
	return g_string_free(out, FALSE);
}

/*
 * The order goes to the platform once it is in the agreed log, so that no later
 * leader takes it for one that was never given.
 */
static bool propose_order(struct control_node *node, const char *service,
			  const char *id, uint64_t token,
			  struct position log_end,
			  const struct promotion_view *view)
{
	g_autofree char **surveyed = g_new(char *, view->nr + 1);
	Wire__PrimaryChange change = WIRE__PRIMARY_CHANGE__INIT;
	Wire__Position end = WIRE__POSITION__INIT;
	unsigned i;

	end.term = log_end.term;
	end.lsn = log_end.lsn;
	change.kind = WIRE__PRIMARY_CHANGE__KIND__ORDERED;
	change.service = (char *)service;
	change.id = (char *)id;
	change.token = token;
	change.log_end = &end;
	change.newest_term = control_succession(node, service)->newest_term;
	change.surveyed = surveyed;
	for (i = 0; i < view->nr; i++)
		if (view->upstreams[i].surveyed)
			surveyed[change.n_surveyed++] =
				(char *)view->upstreams[i].id;
	return control_primary_propose(node, &change);
}

/* The request did not go to the platform, so another one need not wait. */
static void drop_request(struct control_promotion_state *state)
{
	state->pending = false;
	state->at_us = clock_now_us() - PROMOTION_REQUEST_INTERVAL_US;
}

void control_order_promotion(struct control_node *node, const char *service,
			     const char *id, enum promotion_reason reason,
			     const struct promotion_view *view)
{
	g_autofree char *upstreams = upstreams_text(view);
	const struct promotion_upstream *p =
		view->primary >= 0 ? &view->upstreams[view->primary] : NULL;
	struct control_promotion_state *state =
		control_promotion_state(node, service);
	/* The platform may carry out an order long after it was given. It then
	 * refuses one that a newer order superseded. */
	uint64_t token = node->lead_term << 32 | ++node->last_order;

	if (!state->id || strcmp(state->id, id)) {
		g_free(state->id);
		state->id = g_strdup(id);
		state->nr_unanswered = 0;
	}
	state->at_us = clock_now_us();
	state->token = token;
	state->sent = false;
	state->pending = true;
	state->confirms = reason == PROMOTION_CONFIRMS_PRIMARY;
	event_log_always("promotion_ordered",
			 "{s:s, s:s, s:s, s:s, s:I, s:i, s:i, s:I, s:s}",
			 "service", service, "upstream", id, "was",
			 p ? p->id : "", "why", promotion_reason_text(reason),
			 "silent_us", (json_int_t)(p ? p->silent_us : -1),
			 "answered", p ? (int)p->answered : 0, "failing",
			 p ? (int)p->failing : 0, "token", (json_int_t)token,
			 "upstreams", upstreams);
	control_count(node, CONTROL_COUNT_PROMOTIONS, 1);
	if (!propose_order(node, service, id, token, log_end(node, state, id),
			   view))
		drop_request(state);
}

static void propose_outcome(struct control_node *node, const char *service,
			    const char *id, uint64_t token, bool promoted)
{
	Wire__PrimaryChange change = WIRE__PRIMARY_CHANGE__INIT;

	change.kind = promoted ? WIRE__PRIMARY_CHANGE__KIND__PROMOTED :
				 WIRE__PRIMARY_CHANGE__KIND__REFUSED;
	change.service = (char *)service;
	change.id = (char *)id;
	change.token = token;
	control_primary_propose(node, &change);
}

const struct primary_order *control_open_rival(const struct control_node *node,
					       const char *service)
{
	const struct primary_record *record =
		primary_register_find(&node->primaries, service);

	return record ? primary_record_rival(record) : NULL;
}

int control_repeated_order(const struct control_node *node,
			   const struct control_promotion_state *state,
			   const struct promotion_view *view)
{
	const struct primary_order *open =
		control_open_rival(node, state->service);
	unsigned i;

	if (!open || state->nr_unanswered >= MAX_UNANSWERED_REQUESTS)
		return -1;
	for (i = 0; i < view->nr; i++) {
		const struct promotion_upstream *up = &view->upstreams[i];

		/* If it is the primary, a request took effect. */
		if (!strcmp(up->id, open->id) && (int)i != view->primary &&
		    !up->leaving && !up->diverged &&
		    up->silent_us <= PROMOTION_CANDIDATE_MAX_SILENCE_US)
			return (int)i;
	}
	return -1;
}

void control_promotion_agreed(struct control_node *node, const char *service,
			      const char *id, uint64_t token)
{
	struct control_promotion_state *state =
		g_hash_table_lookup(node->promotion_states, service);
	int64_t now_us = clock_now_us();

	if (!state || !state->pending || state->sent || state->token != token ||
	    token >> 32 != node->lead_term)
		return;
	if (!control_holds_lease(node, now_us) ||
	    now_us - state->at_us > ORDER_MAX_AGE_US) {
		event_log_always("promotion_dropped", "{s:s, s:s, s:I}",
				 "service", service, "upstream", id, "token",
				 (json_int_t)token);
		drop_request(state);
		propose_outcome(node, service, id, token, false);
		return;
	}
	state->sent = true;
	node->ops->promote(service, id, token, node->data);
}

void control_promotion_answered(struct control_node *node, const char *service,
				const char *id, uint64_t token,
				enum promotion_result result)
{
	struct control_promotion_state *state =
		g_hash_table_lookup(node->promotion_states, service);
	int64_t now_us = clock_now_us();

	event_log_always("promotion_answered", "{s:s, s:s, s:I, s:i}",
			 "service", service, "upstream", id, "token",
			 (json_int_t)token, "result", (int)result);
	if (result != PROMOTION_OUTCOME_UNKNOWN)
		propose_outcome(node, service, id, token,
				result == PROMOTION_DONE);
	/* The result may belong to a request of an earlier term. */
	if (!state || !state->pending || state->token != token)
		return;
	state->pending = false;
	if (result == PROMOTION_DONE) {
		state->at_us = now_us;
		state->nr_unanswered = 0;
		return;
	}
	state->at_us =
		now_us - PROMOTION_REQUEST_INTERVAL_US + REFUSED_RETRY_US;
	if (result == PROMOTION_OUTCOME_UNKNOWN) {
		state->at_us = now_us - PROMOTION_REQUEST_INTERVAL_US;
		state->nr_unanswered++;
		control_count(node, CONTROL_COUNT_PROMOTIONS_UNCLEAR, 1);
	} else {
		/* It would be refused again. */
		state->nr_unanswered = MAX_UNANSWERED_REQUESTS;
		control_count(node, CONTROL_COUNT_PROMOTIONS_REFUSED, 1);
	}
}
