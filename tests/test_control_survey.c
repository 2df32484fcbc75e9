#define PORT 39214

#include "control_fixture.h"

#include "promotion_policy.h"

/* An entry daemon that answers surveys of three upstreams: a leads, b has
 * applied more of the log than c, and c has received more. */
#define NR_UPSTREAMS 3

static const char *const ids[NR_UPSTREAMS] = { "a", "b", "c" };
static uint64_t applied[NR_UPSTREAMS];
static const uint64_t received[NR_UPSTREAMS] = { 120, 100, 120 };

static bool primary_fails;
/* Whether the primary has just proved that it leads. */
static bool primary_leads;
/* Index of an upstream that does not answer surveys, -1 for none. */
static int silent_upstream;
static unsigned nr_surveys;
static unsigned nr_resumes;
static unsigned nr_handovers;
/* Upstream to resume in the last such order if it named one only. */
static char resumed_only[8];
static uint64_t last_number;

static void fill_result(const Wire__Survey *survey, Wire__SurveyResult *result,
			Wire__ReceivedLog *logs, Wire__Position *ends,
			Wire__ReceivedLog **list)
{
	size_t i;
	int k;

	wire__survey_result__init(result);
	result->number = survey->number;
	result->logs = list;
	for (i = 0; i < survey->n_upstreams; i++)
		for (k = 0; k < NR_UPSTREAMS; k++) {
			if (strcmp(survey->upstreams[i], ids[k]) ||
			    k == silent_upstream)
				continue;
			wire__received_log__init(&logs[k]);
			wire__position__init(&ends[k]);
			ends[k].term = 1;
			ends[k].lsn = received[k];
			logs[k].id = (char *)ids[k];
			logs[k].end = &ends[k];
			list[result->n_logs++] = &logs[k];
		}
	result->complete = result->n_logs == survey->n_upstreams;
}

static void send_report(struct channel *ch, const Wire__Survey *survey,
			uint64_t handover)
{
	Wire__HandoverResult done = WIRE__HANDOVER_RESULT__INIT;
	Wire__HandoverResult *handovers = &done;
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__Watch watch = WIRE__WATCH__INIT;
	Wire__UpstreamHealth health[NR_UPSTREAMS], *list[NR_UPSTREAMS];
	Wire__Position positions[NR_UPSTREAMS], ends[NR_UPSTREAMS];
	Wire__ReceivedLog logs[NR_UPSTREAMS], *log_list[NR_UPSTREAMS];
	Wire__SurveyResult result, *results = &result;
	int i;

	for (i = 0; i < NR_UPSTREAMS; i++) {
		wire__upstream_health__init(&health[i]);
		wire__position__init(&positions[i]);
		positions[i].term = 1;
		positions[i].lsn = applied[i];
		health[i].id = (char *)ids[i];
		health[i].position = &positions[i];
		if (primary_fails && !i)
			health[i].failing_us = 500000;
		if (primary_leads && !i)
			health[i].led_age_us = 1;
		list[i] = &health[i];
	}
	watch.daemon = (char *)"asked";
	watch.availability_zone = (char *)"z";
	watch.upstreams = list;
	watch.n_upstreams = NR_UPSTREAMS;
	done.number = handover;
	done.complete = true;
	watch.handovers = &handovers;
	watch.n_handovers = handover != 0;
	if (survey) {
		fill_result(survey, &result, logs, ends, log_list);
		watch.surveys = &results;
		watch.n_surveys = 1;
	}
	envelope.body_case = WIRE__ENVELOPE__BODY_WATCH;
	envelope.watch = &watch;
	channel_send(ch, &envelope);
}

static void on_message(struct channel *ch, const Wire__Envelope *envelope)
{
	const Wire__Survey *survey;

	if (envelope->body_case != WIRE__ENVELOPE__BODY_VIEW)
		return;
	if (envelope->view->n_handovers) {
		nr_handovers++;
		send_report(ch, NULL, envelope->view->handovers[0]->number);
	}
	if (!envelope->view->n_surveys)
		return;
	survey = envelope->view->surveys[0];
	ck_assert_uint_gt(survey->term, 1);
	if (survey->number != last_number) {
		nr_surveys += !survey->resume;
		nr_resumes += survey->resume;
	}
	if (survey->resume)
		g_strlcpy(resumed_only,
			  survey->n_upstreams == 1 ? survey->upstreams[0] : "",
			  sizeof(resumed_only));
	last_number = survey->number;
	send_report(ch, survey, 0);
}

static void on_closed(struct channel *ch)
{
}

static const struct channel_events events = {
	.message = on_message,
	.closed = on_closed,
};

static void report_to_all(void)
{
	unsigned i;

	for (i = 0; i < 3; i++)
		if (channel_is_open(&daemon_channels[i]))
			send_report(&daemon_channels[i], NULL, 0);
}

static void start(void)
{
	unsigned i, k;

	for (k = 0; k < NR_UPSTREAMS; k++)
		applied[k] = 120 - 20 * k;
	primary_fails = false;
	primary_leads = false;
	silent_upstream = -1;
	nr_surveys = nr_resumes = nr_promotions = nr_handovers = 0;
	resumed_only[0] = 0;
	promoted_id[0] = 0;
	nr_sync_replicas = 1;
	start_group(3);
	put_config(1, "one");
	for (i = 0; i < 3; i++) {
		int64_t next_us = 0;

		channel_connect(&daemon_channels[i], loop, IP(i), PORT, &events,
				NULL, &next_us);
		for (k = 0; k < NR_UPSTREAMS; k++) {
			struct sighting s = { .id = (char *)ids[k],
					      .service = "s",
					      .address = (char *)ids[k],
					      .availability_zone = "z",
					      .primary = !k,
					      .sequence = 1,
					      .heard_us = clock_now_us(),
					      .claimed_us = clock_now_us() };

			control_add_announcement(vms[i].node, &s);
		}
	}
	run_until(NULL, 0.3);
	report_to_all();
	run_until(NULL, 0.5);
	primary_fails = true;
}

static bool is_promoted(void)
{
	return nr_promotions;
}

static bool is_surveyed_twice(void)
{
	return nr_surveys > 1;
}

static bool is_resumed(void)
{
	return nr_resumes;
}

static bool report_until(bool (*condition)(void), double seconds)
{
	int64_t end_us = clock_now_us() + (int64_t)(seconds * 1e6);

	while (!condition() && clock_now_us() < end_us) {
		report_to_all();
		run_until(condition, 0.2);
	}
	return condition();
}

/*
 * Guards against losing acknowledged commits: the replica that has applied most
 * of the log lacks what another one has received.
 */
START_TEST(test_most_received_is_promoted)
{
	start();
	ck_assert(report_until(is_promoted, 3));
	ck_assert_str_eq(promoted_id, "c");
	/* Paused upstreams receive from the new primary. */
	ck_assert(report_until(is_resumed, 3));
}
END_TEST

/* Guards against promoting a replica while another one that did not answer may
 * be the only one with a commit. */
START_TEST(test_unanswered_survey)
{
	start();
	silent_upstream = 2;
	ck_assert(report_until(is_surveyed_twice, 5));
	ck_assert_uint_eq(nr_promotions, 0);
	silent_upstream = -1;
	ck_assert(report_until(is_promoted, 3));
	ck_assert_str_eq(promoted_id, "c");
}
END_TEST

/* Guards against surveys where a commit waits for no replica: they would take
 * time without a primary, and slots. */
START_TEST(test_without_synchronous_replicas)
{
	start();
	nr_sync_replicas = 0;
	ck_assert(report_until(is_promoted, 3));
	ck_assert_str_eq(promoted_id, "b");
	ck_assert(!report_until(is_resumed, 3));
	ck_assert_uint_eq(nr_surveys, 0);
}
END_TEST

static bool is_unanswered(void)
{
	return nr_unanswered;
}

static bool has_no_rival(void)
{
	const struct primary_record *record =
		primary_register_find(&leader()->primaries, "s");

	return !primary_record_rival(record);
}

static void let_primary_recover(void)
{
	platform_silent = false;
	primary_fails = false;
	primary_leads = true;
}

/*
 * Guards against losing acknowledged commits: an order without an answer is
 * carried out seconds after the primary has recovered, when a replica that was
 * started again lets it commit. Its upstream receives again, alone, and is given
 * the primary's log; an order for the primary could undo the first one.
 */
START_TEST(test_recovered_primary_yields)
{
	start();
	platform_silent = true;
	nr_unanswered = 0;
	ck_assert(report_until(is_unanswered, 3));
	nr_resumes = 0;
	let_primary_recover();
	ck_assert(report_until(is_promoted, 3));
	ck_assert_str_eq(promoted_id, "c");
	ck_assert_uint_eq(nr_resumes, 1);
	ck_assert_str_eq(resumed_only, "c");
	ck_assert_uint_ge(nr_handovers, 1);
	ck_assert(run_until(has_no_rival, 2));
}
END_TEST

/* Guards against a new leader that does not know of an order without an answer
 * of the leader before it. */
START_TEST(test_new_leader_yields)
{
	start();
	platform_silent = true;
	nr_unanswered = 0;
	ck_assert(report_until(is_unanswered, 3));
	stop_vm(leader_index());
	ck_assert(run_until(has_leader, 5));
	let_primary_recover();
	ck_assert(report_until(is_promoted, 4));
	ck_assert_str_eq(promoted_id, "c");
	ck_assert_uint_ge(nr_handovers, 1);
}
END_TEST

/* Guards against stopping or ordering a former primary that answers, but does not
 * lead, as an order without an answer was carried out. */
START_TEST(test_replaced_primary_is_left_alone)
{
	start();
	platform_silent = true;
	nr_unanswered = 0;
	ck_assert(report_until(is_unanswered, 3));
	let_primary_recover();
	primary_leads = false;
	ck_assert(!report_until(is_promoted, 3));
	ck_assert_uint_eq(nr_handovers, 0);
}
END_TEST

static bool has_three_copies(void)
{
	const struct primary_record *record =
		primary_register_find(&leader()->primaries, "s");

	return record && record->copies->len == NR_UPSTREAMS;
}

/* A database of another service starts at the address of the lost primary. */
static void use_address_again(void)
{
	struct sighting s = { .id = "other",
			      .service = "t",
			      .address = "a",
			      .availability_zone = "z",
			      .born_ms = 1,
			      .sequence = 1,
			      .heard_us = clock_now_us() };
	unsigned i;

	for (i = 0; i < 3; i++)
		if (vms[i].node)
			control_add_announcement(vms[i].node, &s);
}

/*
 * Guards against losing acknowledged commits: once the address of the lost
 * primary is in use again, one log counts as enough, which may be the one that
 * lacks them. Also at a new leader.
 */
START_TEST(test_reused_address)
{
	start();
	ck_assert(report_until(has_three_copies, 3));
	platform_silent = true;
	nr_unanswered = 0;
	ck_assert(report_until(is_unanswered, 3));
	use_address_again();
	silent_upstream = 2;
	/* The last survey that c answered does not count any more then. */
	report_until(is_promoted, 1);
	platform_silent = false;
	ck_assert(!report_until(is_promoted, 2));
	stop_vm(leader_index());
	ck_assert(run_until(has_leader, 5));
	ck_assert(!report_until(is_promoted, 2));
	silent_upstream = -1;
	ck_assert(report_until(is_promoted, 3));
	ck_assert_str_eq(promoted_id, "c");
}
END_TEST

static bool has_two_copies(void)
{
	const struct primary_record *record =
		leader() ? primary_register_find(&leader()->primaries, "s") :
			   NULL;

	return record && record->copies->len == 2;
}

/* The replica and the new primary go on to announce themselves. */
static void announce_survivors(uint64_t sequence)
{
	unsigned i, k;

	for (i = 0; i < 3; i++)
		for (k = 1; k < NR_UPSTREAMS; k++) {
			struct sighting s = { .id = (char *)ids[k],
					      .service = "s",
					      .address = (char *)ids[k],
					      .availability_zone = "z",
					      .primary = k == 2,
					      .sequence = sequence,
					      .heard_us = clock_now_us(),
					      .claimed_us = clock_now_us() };

			control_add_announcement(vms[i].node, &s);
		}
}

/*
 * Guards against a lost primary that counts for good although a survey without
 * it decided on its successor: the loss of that one could then not be borne.
 */
START_TEST(test_lost_primary_is_forgotten)
{
	uint64_t sequence = 2;

	start();
	ck_assert(report_until(has_three_copies, 3));
	ck_assert(report_until(is_promoted, 3));
	ck_assert(has_three_copies());
	/* The replica has the log that was promoted. */
	applied[1] = applied[2] = 130;
	while (sequence < 20 && !has_two_copies()) {
		announce_survivors(sequence++);
		report_to_all();
		run_until(has_two_copies, 0.5);
	}
	ck_assert(has_two_copies());
	for (; sequence < 24; sequence++) {
		announce_survivors(sequence);
		report_to_all();
		run_until(NULL, 0.5);
	}
	ck_assert(has_two_copies());
	ck_assert_ptr_null(primary_record_copy(
		primary_register_find(&leader()->primaries, "s"), "a"));
}
END_TEST

TEST_MAIN_WITH_FIXTURE("control_survey", init_group, stop_group,
		       test_most_received_is_promoted, test_unanswered_survey,
		       test_without_synchronous_replicas,
		       test_recovered_primary_yields, test_new_leader_yields,
		       test_replaced_primary_is_left_alone, test_reused_address,
		       test_lost_primary_is_forgotten)
