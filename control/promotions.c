#include "internal.h"

#include "clock.h"
#include "event_log.h"

#include <jansson.h>
#include <string.h>

/* Timeout of a handover, including the messages to and from the daemon that
 * carries it out, microseconds. */
#define HANDOVER_TIMEOUT_US (1000 * 1000ll)
/* Interval at which a VM that does not promote notes the positions of primaries,
 * microseconds. */
#define FOLLOW_INTERVAL_US (1000 * 1000ll)
/* Pause after a survey that has not told enough, microseconds. */
#define SURVEY_RETRY_US (300 * 1000ll)
/* Interval at which upstreams that may be paused are told to receive again,
 * microseconds. */
#define RESUME_RETRY_US (2500 * 1000ll)
void control_promotion_state_free(void *data)
{
	struct control_promotion_state *state = data;

	g_free(state->service);
	g_free(state->id);
	g_free(state->executor);
	g_free(state->from);
	control_survey_finish(&state->survey);
	g_hash_table_destroy(state->lost_copies);
	g_free(state);
}

static void count_reports(const struct control_node *node, const char *id,
			  struct promotion_upstream *out, int64_t now_us)
{
	guint i;

	for (i = 0; i < node->watchers->len; i++) {
		const struct control_watcher *watcher =
			node->watchers->pdata[i];
		const struct control_report *report =
			g_hash_table_lookup(watcher->reports, id);

		if (!report || !control_watcher_is_connected(watcher, now_us))
			continue;
		if (report->failing_us > PROMOTION_FAILING_AFTER_US)
			out->failing++;
		else if (!report->failing_us)
			out->answered++;
		if (!report->failing_us &&
		    report->lag_us > PROMOTION_MAX_LAG_US)
			out->lagging++;
		if (!report->failing_us && report->saturated)
			out->saturated++;
		out->leading += now_us - report->led_us <=
				PROMOTION_LED_WITHIN_US;
		out->position = position_max(out->position, report->position);
	}
}

bool control_upstream_answers(const struct control_node *node, const char *id)
{
	struct promotion_upstream up = { 0 };

	count_reports(node, id, &up, clock_now_us());
	return up.answered;
}

bool control_upstream_fails(const struct control_node *node, const char *id)
{
	struct promotion_upstream up = { 0 };

	count_reports(node, id, &up, clock_now_us());
	return up.failing && !up.answered;
}

struct position control_newest_position(const struct control_node *node,
					const char *id)
{
	struct promotion_upstream up = { 0 };

	count_reports(node, id, &up, clock_now_us());
	return up.position;
}

static void add_unheard_primary(const struct control_node *node, const char *id,
				struct promotion_view *view, GArray *out,
				int64_t now_us)
{
	struct promotion_upstream up = {
		.id = id,
		.silent_us = now_us - node->started_us,
	};

	count_reports(node, id, &up, now_us);
	view->primary = (int)out->len;
	g_array_append_val(out, up);
}

/* Return: a struct promotion_upstream for each of the service's upstreams; also
 * sets the primary and the number of unannounced upstreams in @view. */
static GArray *collect_upstreams(const struct control_node *node,
				 const char *service,
				 struct promotion_view *view, int64_t now_us)
{
	const struct sighting *primary = control_primary(node, service, now_us);
	GArray *out =
		g_array_new(FALSE, TRUE, sizeof(struct promotion_upstream));
	const char *unheard = primary ? NULL :
					control_unheard_primary(node, service);
	struct sighting *upstream;
	GHashTableIter it;

	view->primary = -1;
	g_hash_table_iter_init(&it, node->sightings.by_id);
	while (g_hash_table_iter_next(&it, NULL, (void **)&upstream)) {
		struct promotion_upstream up = {
			.id = upstream->id,
			.leaving = upstream->leaving,
			.silent_us = now_us -
				     MAX(upstream->heard_us, node->started_us),
		};

		if (upstream->gone || strcmp(upstream->service, service))
			continue;
		if (upstream == primary)
			view->primary = (int)out->len;
		if (upstream->heard_us < node->started_us)
			view->unannounced_upstreams++;
		count_reports(node, upstream->id, &up, now_us);
		g_array_append_val(out, up);
	}
	if (unheard)
		add_unheard_primary(node, unheard, view, out, now_us);
	return out;
}

static void mark_diverged(struct control_node *node, const char *service,
			  GArray *upstreams)
{
	struct succession *s = control_succession(node, service);
	struct promotion_upstream *up;
	uint32_t newest_term = 0;
	guint i;

	for (i = 0; i < upstreams->len; i++) {
		up = &g_array_index(upstreams, struct promotion_upstream, i);
		newest_term = MAX(newest_term, up->position.term);
	}
	succession_set_newest_term(s, newest_term);
	for (i = 0; i < upstreams->len; i++) {
		up = &g_array_index(upstreams, struct promotion_upstream, i);
		up->diverged = succession_diverged(s, up->id, up->position);
	}
}

struct control_promotion_state *
control_promotion_state(struct control_node *node, const char *service)
{
	struct control_promotion_state *state =
		g_hash_table_lookup(node->promotion_states, service);

	if (state)
		return state;
	state = g_new0(struct control_promotion_state, 1);
	state->service = g_strdup(service);
	state->at_us = INT64_MIN / 2;
	state->lag_handover_us = INT64_MIN / 2;
	control_survey_init(&state->survey);
	state->lost_copies =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	state->copies_proposed_us = INT64_MIN / 2;
	g_hash_table_insert(node->promotion_states, state->service, state);
	return state;
}

static bool has_handover(const struct control_node *node, const char *daemon)
{
	const struct control_promotion_state *state;
	GHashTableIter it;

	g_hash_table_iter_init(&it, node->promotion_states);
	while (g_hash_table_iter_next(&it, NULL, (void **)&state))
		if (state->handover && !strcmp(state->executor, daemon))
			return true;
	return false;
}

const struct control_watcher *
control_handover_executor(const struct control_node *node, const char *from,
			  const char *to, int64_t now_us)
{
	const struct control_watcher *best = NULL;
	bool best_busy = false;
	guint i;

	for (i = 0; i < node->watchers->len; i++) {
		const struct control_watcher *w = node->watchers->pdata[i];
		const struct control_report *a =
			g_hash_table_lookup(w->reports, from);
		const struct control_report *b =
			g_hash_table_lookup(w->reports, to);
		bool busy;

		if (!w->name || w->draining || !a || !b || a->failing_us ||
		    b->failing_us || !control_watcher_is_connected(w, now_us))
			continue;
		busy = has_handover(node, w->name);
		if (best &&
		    (busy > best_busy ||
		     (busy == best_busy && w->heard_us <= best->heard_us)))
			continue;
		best = w;
		best_busy = busy;
	}
	return best;
}

/*
 * Has an entry daemon stop a primary that still answers before it is replaced,
 * so that its successor has every commit that it acknowledged.
 * Return: false if no daemon can do it
 */
static bool start_handover(struct control_node *node, const char *service,
			   const struct promotion_view *view, int chosen,
			   enum promotion_reason reason, int64_t now_us)
{
	const char *from = view->upstreams[view->primary].id;
	const char *to = view->upstreams[chosen].id;
	const struct control_watcher *w =
		control_handover_executor(node, from, to, now_us);
	struct control_promotion_state *state =
		control_promotion_state(node, service);

	if (!w)
		return false;
	g_free(state->executor);
	g_free(state->from);
	g_free(state->id);
	state->executor = g_strdup(w->name);
	state->from = g_strdup(from);
	state->id = g_strdup(to);
	state->nr_unanswered = 0;
	state->handover = node->lead_term << 32 | ++node->last_handover;
	state->deadline_us = now_us + HANDOVER_TIMEOUT_US;
	event_log_always("handover_ordered", "{s:s, s:s, s:s, s:s, s:s}",
			 "service", service, "from", from, "to", to, "daemon",
			 state->executor, "why", promotion_reason_text(reason));
	node->views_due = true;
	return true;
}

void control_handovers_fill(const struct control_node *node, const char *daemon,
			    Wire__View *view)
{
	struct control_promotion_state *state;
	GHashTableIter it;

	view->handovers = g_new(Wire__Handover *,
				g_hash_table_size(node->promotion_states) + 1);
	g_hash_table_iter_init(&it, node->promotion_states);
	while (g_hash_table_iter_next(&it, NULL, (void **)&state)) {
		Wire__Handover *out;

		if (!state->handover || strcmp(state->executor, daemon))
			continue;
		out = g_new(Wire__Handover, 1);
		wire__handover__init(out);
		out->number = state->handover;
		out->daemon = state->executor;
		out->from = state->from;
		out->to = state->id;
		view->handovers[view->n_handovers++] = out;
	}
}

bool control_holds_lease(const struct control_node *node, int64_t now_us)
{
	return node->lead_term && raft_lease_until_us(node->raft) >= now_us;
}

/* Whether @state's handover is of a primary that leads no more. */
static bool is_superseded(struct control_node *node,
			  const struct control_promotion_state *state,
			  const char *id)
{
	const struct primary_record *record =
		primary_register_find(&node->primaries, state->service);

	/* An order of an earlier leader may have been carried out meanwhile. */
	if (record && record->id && strcmp(record->id, state->from))
		return true;
	return succession_diverged(control_succession(node, state->service), id,
				   control_newest_position(node, id));
}

static void end_handover(struct control_node *node,
			 struct control_promotion_state *state, bool complete)
{
	struct promotion_view view = { .primary = -1 };
	g_autofree char *id = g_strdup(complete ? state->id : state->from);

	state->handover = 0;
	/* An order for it would undo what the open one leads to, if both are
	 * carried out late. */
	if (!complete && control_open_rival(node, state->service)) {
		event_log_always("handover_failed", "{s:s, s:s}", "service",
				 state->service, "upstream", id);
		return;
	}
	if (is_superseded(node, state, id)) {
		event_log_always("handover_superseded", "{s:s, s:s}", "service",
				 state->service, "upstream", id);
		return;
	}
	/* After a failure the promotion of the old primary is requested: if it
	 * was not stopped, nothing changes. */
	control_order_promotion(
		node, state->service, id,
		complete ? PROMOTION_LEAVING : PROMOTION_NO_PRIMARY, &view);
}

/* Without a result from the daemon the primary may not have been stopped at
 * all. Clears the time of the last handover because of lag, so that another
 * daemon can carry out the next one soon. */
static void time_out_handover(struct control_node *node,
			      struct control_promotion_state *state)
{
	event_log_always("handover_silent", "{s:s, s:s}", "service",
			 state->service, "daemon", state->executor);
	state->lag_handover_us = INT64_MIN / 2;
	end_handover(node, state, false);
}

void control_handover_finished(struct control_node *node,
			       const Wire__HandoverResult *result)
{
	struct control_promotion_state *state;
	GHashTableIter it;

	/* A daemon repeats the result, so a lease that is renewed soon still
	 * ends the handover. */
	if (!control_holds_lease(node, clock_now_us()))
		return;
	g_hash_table_iter_init(&it, node->promotion_states);
	while (g_hash_table_iter_next(&it, NULL, (void **)&state))
		if (state->handover && state->handover == result->number) {
			end_handover(node, state, result->complete);
			return;
		}
}

/* Return: whether to replace the primary because all replicas have been lagging
 * for too long. */
static bool lag_handover_due(struct control_promotion_state *state,
			     const struct promotion_view *view, int64_t now_us)
{
	/* A handover that fails has the primary requested to lead again: with
	 * commits that reads have missed if a rival has led meanwhile. */
	if (!promotion_all_replicas_lag(view) || view->rival_ordered) {
		state->lagging_since_us = 0;
		return false;
	}
	if (!state->lagging_since_us)
		state->lagging_since_us = now_us;
	if (now_us - state->lagging_since_us < PROMOTION_LAG_TOLERATED_US ||
	    now_us - state->lag_handover_us < PROMOTION_LAG_MIN_INTERVAL_US ||
	    view->since_request_us < PROMOTION_REQUEST_INTERVAL_US)
		return false;
	state->lag_handover_us = now_us;
	return true;
}

static bool is_survey_due(const struct control_promotion_state *state,
			  int64_t interval_us, int64_t now_us)
{
	return now_us - state->survey.ended_us >= interval_us;
}

/*
 * Without a handover the primary may still commit, and replicas may have
 * received more than they have applied. So they are paused and asked first
 * where a commit is acknowledged because replicas have received it.
 */
static int choose_without_handover(struct control_node *node,
				   struct control_promotion_state *state,
				   const struct promotion_view *view,
				   int64_t now_us)
{
	if (!view->sync_replicas)
		return promotion_candidate(view);
	if (promotion_needs_survey(view)) {
		if (is_survey_due(state, SURVEY_RETRY_US, now_us))
			control_survey_order(node, state, view, false, NULL,
					     now_us);
		return -1;
	}
	return promotion_complete_candidate(view);
}

static void change_primary(struct control_node *node,
			   struct control_promotion_state *state,
			   const struct promotion_view *view,
			   enum promotion_reason reason, int64_t now_us)
{
	int chosen = promotion_candidate(view);
	bool planned = reason == PROMOTION_LEAVING ||
		       reason == PROMOTION_REPLICAS_BEHIND;
	int repeated = control_repeated_order(node, state, view);

	if (repeated >= 0 && !view->sync_replicas) {
		control_order_promotion(node, state->service,
					view->upstreams[repeated].id, reason,
					view);
		return;
	}
	if (repeated >= 0)
		chosen = repeated;
	if (planned && chosen >= 0 &&
	    start_handover(node, state->service, view, chosen, reason, now_us))
		return;
	if (reason == PROMOTION_REPLICAS_BEHIND)
		return;
	chosen = choose_without_handover(node, state, view, now_us);
	if (chosen >= 0 && repeated >= 0 &&
	    position_compare(view->upstreams[repeated].received,
			     view->upstreams[chosen].received) >= 0)
		chosen = repeated;
	if (chosen >= 0)
		control_order_promotion(node, state->service,
					view->upstreams[chosen].id, reason,
					view);
}

static bool may_resume(const struct control_node *node,
		       const struct control_promotion_state *state,
		       const struct promotion_view *view, int64_t now_us)
{
	bool was_surveyed = view->sync_replicas || state->survey.executor;

	if (!was_surveyed || !state->survey.may_be_paused ||
	    !is_survey_due(state, RESUME_RETRY_US, now_us))
		return false;
	/* A survey of the leader before may still be under way. */
	if (!state->id && now_us - raft_became_leader_us(node->raft) <
				  PROMOTION_REQUEST_INTERVAL_US)
		return false;
	return promotion_may_resume(view, state->confirms);
}

static void add_received(const struct control_promotion_state *state,
			 GArray *upstreams, int64_t now_us)
{
	guint i;

	for (i = 0; i < upstreams->len; i++) {
		struct promotion_upstream *up =
			&g_array_index(upstreams, struct promotion_upstream, i);
		const struct position *end =
			control_survey_received(state, up->id, now_us);

		up->surveyed = end;
		if (end)
			up->received = *end;
	}
}

static void add_rival(const struct control_node *node, const char *service,
		      struct promotion_view *view, int64_t now_us)
{
	const struct primary_order *open = control_open_rival(node, service);
	unsigned i;

	view->rival = -1;
	if (!open)
		return;
	view->rival_ordered = true;
	view->rival_age_us = now_us - open->applied_us;
	for (i = 0; i < view->nr; i++)
		if (!strcmp(view->upstreams[i].id, open->id))
			view->rival = (int)i;
}

/*
 * Hands over to the upstream of an open order. It receives again first, alone,
 * so that what is acknowledged until the primary is stopped is there.
 */
static void yield_to_rival(struct control_node *node,
			   struct control_promotion_state *state,
			   const struct promotion_view *view, int64_t now_us)
{
	const char *id = view->upstreams[view->rival].id;

	if (state->survey.may_be_paused &&
	    g_strcmp0(state->survey.receives, id)) {
		if (is_survey_due(state, SURVEY_RETRY_US, now_us))
			control_survey_order(node, state, view, true, id,
					     now_us);
		return;
	}
	start_handover(node, state->service, view, view->rival,
		       PROMOTION_RIVAL_ORDERED, now_us);
}

static void check_service(struct control_node *node, const char *service,
			  int64_t now_us)
{
	struct control_promotion_state *state =
		control_promotion_state(node, service);
	struct promotion_view view = { 0 };
	enum promotion_reason reason;
	GArray *upstreams;

	if (state->pending)
		return;
	if (state->handover) {
		if (now_us > state->deadline_us)
			time_out_handover(node, state);
		return;
	}
	if (control_survey_is_pending(state, now_us))
		return;
	upstreams = collect_upstreams(node, service, &view, now_us);
	add_received(state, upstreams, now_us);
	view.upstreams = (struct promotion_upstream *)(void *)upstreams->data;
	view.nr = upstreams->len;
	view.sync_replicas =
		node->reg.document ?
			node->ops->sync_replicas(node->reg.document, service,
						 node->data) :
			0;
	if (view.sync_replicas)
		view.nr_copies = control_copies_count(node, service);
	control_copies_check(node, state, view.sync_replicas, now_us);
	mark_diverged(node, service, upstreams);
	if (view.primary >= 0)
		view.silent_daemons = control_roster_count_unreachable(
			node, view.upstreams[view.primary].id, now_us);
	view.since_request_us = now_us - state->at_us;
	add_rival(node, service, &view, now_us);
	view.uptime_us = now_us - node->started_us;
	reason = promotion_needed(&view);
	if (reason == PROMOTION_NOT_NEEDED &&
	    lag_handover_due(state, &view, now_us))
		reason = PROMOTION_REPLICAS_BEHIND;
	if (reason != PROMOTION_NOT_NEEDED)
		change_primary(node, state, &view, reason, now_us);
	else if (promotion_must_yield(&view))
		yield_to_rival(node, state, &view, now_us);
	else if (promotion_must_confirm(&view))
		control_order_promotion(node, service,
					view.upstreams[view.primary].id,
					PROMOTION_CONFIRMS_PRIMARY, &view);
	else if (may_resume(node, state, &view, now_us))
		control_survey_order(node, state, &view, true, NULL, now_us);
	g_array_free(upstreams, TRUE);
}

static GHashTable *collect_services(const struct control_node *node)
{
	GHashTable *services = g_hash_table_new(g_str_hash, g_str_equal);
	struct sighting *upstream;
	GHashTableIter it;

	g_hash_table_iter_init(&it, node->sightings.by_id);
	while (g_hash_table_iter_next(&it, NULL, (void **)&upstream))
		if (!upstream->gone)
			g_hash_table_add(services, upstream->service);
	return services;
}

static bool may_promote(const struct control_node *node, int64_t now_us)
{
	/* A new leader first collects reports of daemons and upstreams. */
	return control_holds_lease(node, now_us) && node->lead_term_applied &&
	       !node->stopping &&
	       now_us - raft_became_leader_us(node->raft) >=
		       CONTROL_ELECTION_TIMEOUT_US;
}

static bool must_follow(const struct control_node *node, int64_t now_us)
{
	return node->successions_revision != node->sightings.revision ||
	       now_us - node->followed_us >= FOLLOW_INTERVAL_US;
}

void control_promotions_tick(struct control_node *node, int64_t now_us)
{
	bool promote = may_promote(node, now_us);
	GHashTable *services;
	GHashTableIter it;
	char *service;

	if (!promote && !must_follow(node, now_us))
		return;
	node->successions_revision = node->sightings.revision;
	node->followed_us = now_us;
	services = collect_services(node);
	g_hash_table_iter_init(&it, services);
	while (g_hash_table_iter_next(&it, (void **)&service, NULL)) {
		/* Announcements with many names would cost as much as the
		 * number of services times that of upstreams. */
		if (!control_service_is_configured(node, service))
			continue;
		control_primary_follow(node, service, now_us);
		if (!promote)
			continue;
		control_primary_check(node, service, now_us);
		check_service(node, service, now_us);
	}
	g_hash_table_destroy(services);
}

void control_promotions_review(struct control_node *node, const char *service)
{
	int64_t now_us = clock_now_us();

	if (may_promote(node, now_us))
		check_service(node, service, now_us);
}
