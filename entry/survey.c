#include "internal.h"

#include "clock.h"
#include "event_log.h"

#include <jansson.h>

/* Time-out of a survey. Control waits longer for the result. */
#define SURVEY_TIMEOUT_US (700 * 1000ll)
/* Interval at which upstreams that did not answer yet are asked again. */
#define POLL_INTERVAL_US (20 * 1000ll)
/* Time for which the result is repeated in reports to control. */
#define RESULT_REPEAT_US (2500 * 1000ll)

/**
 * struct survey_target - one upstream of a survey
 * @link: connection with the unanswered command, NULL for none
 * @answered: whether @status is set
 * @asked_term: term in the last command
 */
struct survey_target {
	char *id;
	struct link *link;
	bool answered;
	uint32_t asked_term;
	struct upstream_status status;
};

/**
 * struct survey - an order from control to pause the upstreams of a service and
 *                 to report what they have received
 * @resume: whether they are to resume instead
 * @term: term in the next command, above any that an upstream has reported
 * @answers_wanted: number of answers that suffice
 * @targets: struct survey_target
 * @complete: whether every upstream answered
 * @expires_us: deadline; once done, until when the result is reported
 */
struct survey {
	uint64_t number;
	bool resume;
	uint32_t term;
	guint answers_wanted;
	GArray *targets;
	bool done;
	bool complete;
	int64_t expires_us;
};

static void clear_target(void *data)
{
	g_free(((struct survey_target *)data)->id);
}

static void survey_free(void *data)
{
	struct survey *survey = data;

	g_array_free(survey->targets, TRUE);
	g_free(survey);
}

static struct survey_target *target_at(const struct survey *survey, guint i)
{
	return &g_array_index(survey->targets, struct survey_target, i);
}

/*
 * An upstream ignores a pause whose term is not above the newest one, so it
 * counts as paused only if no upstream has reported that term.
 */
static bool is_settled(const struct survey *survey,
		       const struct survey_target *t)
{
	return t->answered && (survey->resume || t->asked_term == survey->term);
}

static guint count_settled(const struct survey *survey)
{
	guint nr = 0;
	guint i;

	for (i = 0; i < survey->targets->len; i++)
		nr += is_settled(survey, target_at(survey, i));
	return nr;
}

static bool has_answers_wanted(const struct survey *survey)
{
	return count_settled(survey) >=
	       MIN(survey->answers_wanted, survey->targets->len);
}

static void finish_survey(struct entry *entry, struct survey *survey)
{
	survey->done = true;
	survey->complete = count_settled(survey) == survey->targets->len;
	survey->expires_us = clock_now_us() + RESULT_REPEAT_US;
	event_log_always("survey_finished", "{s:I, s:b, s:b, s:i}", "number",
			 (json_int_t)survey->number, "resume",
			 (int)survey->resume, "complete", (int)survey->complete,
			 "upstreams", (int)survey->targets->len);
	watch_report_at(entry, clock_now_us());
}

static void ask(struct entry *entry, struct survey *survey,
		struct survey_target *t)
{
	struct upstream *upstream =
		g_hash_table_lookup(entry->known_upstreams, t->id);
	struct link_command command = { .verb = LINK_RESUME };

	if (!upstream || upstream->gone)
		return;
	t->link = upstream_idle_link(upstream, NULL);
	if (!t->link) {
		if (!upstream->links->len)
			link_open(upstream);
		return;
	}
	if (!survey->resume) {
		survey->term =
			MAX(survey->term, upstream->log_position.term + 1);
		command.verb = LINK_PAUSE;
		command.min_position.term = survey->term;
	}
	t->asked_term = survey->term;
	link_send(t->link, LINK_PURPOSE_SURVEY, &command);
	link_flush(t->link);
}

static void proceed(struct entry *entry, struct survey *survey, int64_t now_us)
{
	guint i;

	if (survey->done)
		return;
	if (has_answers_wanted(survey) || now_us > survey->expires_us) {
		finish_survey(entry, survey);
		return;
	}
	for (i = 0; i < survey->targets->len; i++) {
		struct survey_target *t = target_at(survey, i);

		if (!t->link && !is_settled(survey, t))
			ask(entry, survey, t);
	}
}

void surveys_proceed(struct entry *entry, int64_t now_us)
{
	guint i;

	for (i = 0; i < entry->surveys->len; i++)
		proceed(entry, entry->surveys->pdata[i], now_us);
}

static void on_poll(int64_t now_us, void *data)
{
	struct entry *entry = data;
	guint i = entry->surveys->len;

	surveys_proceed(entry, now_us);
	while (i-- > 0) {
		const struct survey *survey = entry->surveys->pdata[i];

		if (survey->done && now_us > survey->expires_us)
			g_ptr_array_remove_index(entry->surveys, i);
	}
	if (!entry->surveys->len)
		timer_cancel(entry->timers, &entry->survey_timer);
}

/* Finds the command that was sent on @link, and takes the link off it. */
static struct survey_target *take_target(struct entry *entry,
					 const struct link *link,
					 struct survey **survey)
{
	guint i, k;

	for (i = 0; i < entry->surveys->len; i++) {
		*survey = entry->surveys->pdata[i];
		for (k = 0; k < (*survey)->targets->len; k++) {
			struct survey_target *t = target_at(*survey, k);

			if (t->link != link)
				continue;
			t->link = NULL;
			return t;
		}
	}
	return NULL;
}

void survey_answered(struct link *link, const struct statement_answer *answer)
{
	struct entry *entry = link->upstream->entry;
	struct survey *survey;
	struct survey_target *t = take_target(entry, link, &survey);

	if (!t || survey->done)
		return;
	if (answer->refusal ||
	    !entry->config.upstream_ops->read_status(answer, &t->status))
		return;
	t->answered = true;
	survey->term = MAX(survey->term, t->status.term + 1);
	if (has_answers_wanted(survey))
		finish_survey(entry, survey);
}

void survey_link_lost(struct entry *entry, const struct link *link)
{
	struct survey *survey;

	take_target(entry, link, &survey);
}

static bool is_known(const struct entry *entry, uint64_t number)
{
	guint i;

	for (i = 0; i < entry->surveys->len; i++)
		if (((struct survey *)entry->surveys->pdata[i])->number ==
		    number)
			return true;
	return false;
}

void survey_start(struct entry *entry, const Wire__Survey *in)
{
	int64_t now_us = clock_now_us();
	struct survey *survey;
	size_t i;

	/* Control repeats the order until it has received the result. */
	if (g_strcmp0(in->daemon, entry->config.name) ||
	    is_known(entry, in->number))
		return;
	survey = g_new0(struct survey, 1);
	survey->number = in->number;
	survey->resume = in->resume;
	survey->term = in->term;
	survey->answers_wanted = in->answers_wanted;
	survey->expires_us = now_us + SURVEY_TIMEOUT_US;
	survey->targets =
		g_array_new(FALSE, TRUE, sizeof(struct survey_target));
	g_array_set_clear_func(survey->targets, clear_target);
	for (i = 0; i < in->n_upstreams; i++) {
		struct survey_target t = { .id = g_strdup(in->upstreams[i]) };

		g_array_append_val(survey->targets, t);
	}
	g_ptr_array_add(entry->surveys, survey);
	event_log_always("survey_started", "{s:I, s:b, s:i}", "number",
			 (json_int_t)survey->number, "resume",
			 (int)survey->resume, "upstreams",
			 (int)survey->targets->len);
	if (entry->survey_timer == TIMER_NONE)
		entry->survey_timer = timer_subscribe(entry->timers,
						      now_us + POLL_INTERVAL_US,
						      POLL_INTERVAL_US, on_poll,
						      entry);
	/* Nothing was paused, so control need not have anyone resume. */
	if (!survey->resume &&
	    now_us - entry->last_tick_us > ENTRY_ORDER_MAX_PAUSE_US)
		finish_survey(entry, survey);
	proceed(entry, survey, now_us);
}

static Wire__SurveyResult *pack_result(const struct survey *survey)
{
	Wire__SurveyResult *out = g_new(Wire__SurveyResult, 1);
	guint i;

	wire__survey_result__init(out);
	out->number = survey->number;
	out->complete = survey->complete;
	out->resume = survey->resume;
	out->logs = g_new(Wire__ReceivedLog *, survey->targets->len + 1);
	for (i = 0; i < survey->targets->len; i++) {
		const struct survey_target *t = target_at(survey, i);
		Wire__ReceivedLog *log;

		if (!is_settled(survey, t))
			continue;
		log = g_new(Wire__ReceivedLog, 1);
		wire__received_log__init(log);
		log->id = t->id;
		log->primary = t->status.primary;
		log->end = g_new(Wire__Position, 1);
		wire__position__init(log->end);
		log->end->term = t->status.received.term;
		log->end->lsn = t->status.received.lsn;
		out->logs[out->n_logs++] = log;
	}
	return out;
}

void surveys_fill(const struct entry *entry, Wire__Watch *watch)
{
	guint i;

	watch->surveys = g_new(Wire__SurveyResult *, entry->surveys->len + 1);
	for (i = 0; i < entry->surveys->len; i++) {
		const struct survey *survey = entry->surveys->pdata[i];

		if (survey->done)
			watch->surveys[watch->n_surveys++] =
				pack_result(survey);
	}
}

void surveys_clear(Wire__Watch *watch)
{
	size_t i, k;

	for (i = 0; i < watch->n_surveys; i++) {
		for (k = 0; k < watch->surveys[i]->n_logs; k++) {
			g_free(watch->surveys[i]->logs[k]->end);
			g_free(watch->surveys[i]->logs[k]);
		}
		g_free(watch->surveys[i]->logs);
		g_free(watch->surveys[i]);
	}
	g_free(watch->surveys);
}

void surveys_init(struct entry *entry)
{
	entry->surveys = g_ptr_array_new_with_free_func(survey_free);
	entry->survey_timer = TIMER_NONE;
}

void surveys_finish(struct entry *entry)
{
	timer_cancel(entry->timers, &entry->survey_timer);
	g_ptr_array_free(entry->surveys, TRUE);
}
