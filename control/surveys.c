#include "internal.h"

#include "clock.h"
#include "event_log.h"

#include <jansson.h>
#include <string.h>

/* Timeout of a survey, including the messages to and from the daemon that
 * carries it out, microseconds. */
#define SURVEY_TIMEOUT_US (1000 * 1000ll)
/* Time for which a result counts, microseconds. The upstreams stay paused, but
 * one that is started again is not. */
#define SURVEY_VALID_US (500 * 1000ll)

void control_survey_init(struct control_survey *survey)
{
	survey->upstreams = g_ptr_array_new_with_free_func(g_free);
	survey->received =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	survey->finished_us = INT64_MIN / 2;
	survey->ended_us = INT64_MIN / 2;
	survey->may_be_paused = true;
}

void control_survey_finish(struct control_survey *survey)
{
	g_ptr_array_free(survey->upstreams, TRUE);
	g_hash_table_destroy(survey->received);
	g_free(survey->executor);
	g_free(survey->resumed_only);
	g_free(survey->receives);
}

/* The daemon that reaches most of the upstreams; the one heard last of several. */
static const struct control_watcher *
choose_executor(const struct control_node *node,
		const struct promotion_view *view, int64_t now_us)
{
	const struct control_watcher *best = NULL;
	unsigned most = 0;
	guint i;

	for (i = 0; i < node->watchers->len; i++) {
		const struct control_watcher *w = node->watchers->pdata[i];
		unsigned reached = 0;
		unsigned k;

		if (!w->name || w->draining ||
		    !control_watcher_is_connected(w, now_us))
			continue;
		for (k = 0; k < view->nr; k++) {
			const struct control_report *report =
				g_hash_table_lookup(w->reports,
						    view->upstreams[k].id);

			reached += report && !report->failing_us;
		}
		if (!reached || (best && reached < most) ||
		    (best && reached == most && w->heard_us <= best->heard_us))
			continue;
		best = w;
		most = reached;
	}
	return best;
}

void control_survey_order(struct control_node *node,
			  struct control_promotion_state *state,
			  const struct promotion_view *view, bool resume,
			  const char *only, int64_t now_us)
{
	const struct control_watcher *w = choose_executor(node, view, now_us);
	struct control_survey *survey = &state->survey;
	unsigned i;

	if (!w)
		return;
	survey->number = node->lead_term << 32 | ++node->last_handover;
	survey->resume = resume;
	survey->deadline_us = now_us + SURVEY_TIMEOUT_US;
	survey->term = 0;
	survey->answers_wanted = resume ? view->nr :
					  promotion_logs_wanted(view);
	g_free(survey->resumed_only);
	survey->resumed_only = g_strdup(only);
	if (!resume)
		g_clear_pointer(&survey->receives, g_free);
	g_free(survey->executor);
	survey->executor = g_strdup(w->name);
	g_ptr_array_set_size(survey->upstreams, 0);
	for (i = 0; i < view->nr; i++) {
		const struct promotion_upstream *up = &view->upstreams[i];

		survey->term = MAX(survey->term, up->position.term + 1);
		if ((int)i != view->primary && (!only || !strcmp(up->id, only)))
			g_ptr_array_add(survey->upstreams, g_strdup(up->id));
	}
	if (!resume)
		survey->may_be_paused = true;
	event_log_always("survey_ordered", "{s:s, s:s, s:b, s:i, s:I}",
			 "service", state->service, "daemon", survey->executor,
			 "resume", (int)resume, "upstreams",
			 (int)survey->upstreams->len, "number",
			 (json_int_t)survey->number);
	node->views_due = true;
}

bool control_survey_is_pending(struct control_promotion_state *state,
			       int64_t now_us)
{
	struct control_survey *survey = &state->survey;

	if (!survey->number)
		return false;
	if (now_us <= survey->deadline_us)
		return true;
	event_log_always("survey_silent", "{s:s, s:s}", "service",
			 state->service, "daemon", survey->executor);
	survey->number = 0;
	survey->ended_us = now_us;
	return false;
}

const struct position *
control_survey_received(const struct control_promotion_state *state,
			const char *id, int64_t now_us)
{
	if (now_us - state->survey.finished_us > SURVEY_VALID_US)
		return NULL;
	return g_hash_table_lookup(state->survey.received, id);
}

/* Return: the service's state if @number is its survey in progress. */
static struct control_promotion_state *
find_survey(const struct control_node *node, uint64_t number)
{
	struct control_promotion_state *state;
	GHashTableIter it;

	g_hash_table_iter_init(&it, node->promotion_states);
	while (number && g_hash_table_iter_next(&it, NULL, (void **)&state))
		if (state->survey.number == number)
			return state;
	return NULL;
}

static void store_received(struct control_survey *survey,
			   const Wire__SurveyResult *result, int64_t now_us)
{
	size_t i;

	g_hash_table_remove_all(survey->received);
	for (i = 0; i < result->n_logs; i++) {
		const Wire__ReceivedLog *log = result->logs[i];
		struct position end = { 0 };

		/* A primary is not paused: it goes on to commit. */
		if (log->primary)
			continue;
		if (log->end)
			end = (struct position){ log->end->term,
						 log->end->lsn };
		g_hash_table_insert(survey->received, g_strdup(log->id),
				    g_memdup2(&end, sizeof(end)));
	}
	survey->finished_us = now_us;
	survey->paused_number = result->number;
}

static void note_resumed(struct control_survey *survey)
{
	g_free(survey->receives);
	survey->receives = g_steal_pointer(&survey->resumed_only);
	if (!survey->receives)
		survey->may_be_paused = false;
}

static void note_missing_logs(const struct control_promotion_state *state)
{
	guint nr = g_hash_table_size(state->survey.received);

	if (nr < state->survey.answers_wanted)
		event_log_always("survey_insufficient", "{s:s, s:i, s:i}",
				 "service", state->service, "logs", (int)nr,
				 "wanted", (int)state->survey.answers_wanted);
}

/* A daemon that was stalled has carried out an order that counts as silent, or
 * of an earlier leader, and paused upstreams that may receive again. */
static void note_late_survey(const struct control_node *node,
			     const Wire__SurveyResult *result)
{
	const struct sighting *upstream =
		result->n_logs ?
			sightings_find(&node->sightings, result->logs[0]->id) :
			NULL;
	struct control_promotion_state *state =
		upstream ? g_hash_table_lookup(node->promotion_states,
					       upstream->service) :
			   NULL;

	/* Daemons repeat a result that was taken. */
	if (!state || result->resume ||
	    result->number == state->survey.paused_number)
		return;
	state->survey.paused_number = result->number;
	state->survey.may_be_paused = true;
	event_log_always("survey_late", "{s:s, s:I}", "service", state->service,
			 "number", (json_int_t)result->number);
}

void control_survey_finished(struct control_node *node,
			     const Wire__SurveyResult *result)
{
	struct control_promotion_state *state =
		find_survey(node, result->number);

	if (!state) {
		note_late_survey(node, result);
		return;
	}
	state->survey.number = 0;
	if (!state->survey.resume) {
		store_received(&state->survey, result, clock_now_us());
		note_missing_logs(state);
	} else if (result->complete) {
		note_resumed(&state->survey);
	}
	state->survey.ended_us = clock_now_us();
	control_promotions_review(node, state->service);
}

void control_surveys_fill(const struct control_node *node, const char *daemon,
			  Wire__View *view)
{
	struct control_promotion_state *state;
	GHashTableIter it;

	view->surveys = g_new(Wire__Survey *,
			      g_hash_table_size(node->promotion_states) + 1);
	g_hash_table_iter_init(&it, node->promotion_states);
	while (g_hash_table_iter_next(&it, NULL, (void **)&state)) {
		const struct control_survey *survey = &state->survey;
		Wire__Survey *out;

		if (!survey->number || g_strcmp0(survey->executor, daemon))
			continue;
		out = g_new(Wire__Survey, 1);
		wire__survey__init(out);
		out->number = survey->number;
		out->daemon = survey->executor;
		out->resume = survey->resume;
		out->term = survey->term;
		out->answers_wanted = survey->answers_wanted;
		out->upstreams = (char **)survey->upstreams->pdata;
		out->n_upstreams = survey->upstreams->len;
		view->surveys[view->n_surveys++] = out;
	}
}
