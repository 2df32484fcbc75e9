#include "entry_fixture.h"

/* A survey of the replicas q and r of the primary p. */

static struct timer_service timers;
static struct entry *entry;

static void setup(void)
{
	entry = start_entry(&timers, 39264);
	status_position = (struct position){ 1, 50 };
	add_sighting_to(entry, "p", true, false, 1);
	add_sighting_to(entry, "q", false, false, 1);
	add_sighting_to(entry, "r", false, false, 1);
}

static void teardown(void)
{
	stop_entry(entry, &timers);
}

static void advance(int64_t us)
{
	timer_service_advance(&timers, clock_now_us() + us);
}

static void order_survey_with(uint64_t number, const char *daemon, bool resume,
			      char **ids, size_t nr)
{
	Wire__Survey order = WIRE__SURVEY__INIT;

	order.number = number;
	order.daemon = (char *)daemon;
	order.resume = resume;
	order.term = 2;
	order.answers_wanted = (uint32_t)nr;
	order.upstreams = ids;
	order.n_upstreams = nr;
	survey_start(entry, &order);
}

static void order_survey(uint64_t number, const char *daemon, bool resume)
{
	char *ids[] = { "q", "r" };

	order_survey_with(number, daemon, resume, ids, 2);
}

static void order_survey_of(const char *id, uint64_t number)
{
	char *ids[] = { (char *)id };

	order_survey_with(number, "e", false, ids, 1);
}

/* Return: the number of results to report; sets those of the first. */
static size_t collect_results(bool *complete, uint64_t received[2])
{
	Wire__Watch watch = WIRE__WATCH__INIT;
	size_t nr, i;

	surveys_fill(entry, &watch);
	nr = watch.n_surveys;
	received[0] = received[1] = 0;
	if (nr) {
		*complete = watch.surveys[0]->complete;
		for (i = 0; i < watch.surveys[0]->n_logs; i++) {
			const Wire__ReceivedLog *log =
				watch.surveys[0]->logs[i];

			received[!strcmp(log->id, "r")] = log->end->lsn;
		}
	}
	surveys_clear(&watch);
	return nr;
}

static void open_links(void)
{
	order_survey(6, "e", true);
	complete_logins_at(entry);
	advance(20000);
	ck_assert_uint_eq(nr_sent, 2);
	expect_command(LINK_RESUME, NULL);
	reply_done();
	expect_command(LINK_RESUME, NULL);
	reply_done();
	advance(10 * 1000000);
}

static void reply_received(uint64_t lsn)
{
	status_position.lsn = lsn;
	reply_done();
}

/*
 * Guards against a promotion decided by a log that goes on growing or by what a
 * replica has applied: each is paused above the newest term and tells what it
 * has received.
 */
START_TEST(test_survey)
{
	uint64_t received[2];
	bool complete = false;

	open_links();
	order_survey(7, "other", false);
	ck_assert_uint_eq(nr_sent, 2);
	order_survey(7, "e", false);
	order_survey(7, "e", false);
	ck_assert_uint_eq(nr_sent, 4);
	expect_command(LINK_PAUSE, NULL);
	ck_assert_uint_eq(sent[2].min_position.term, 2);
	ck_assert(sent[2].link->upstream != sent[3].link->upstream);
	reply_received(sent[2].link->upstream->id[0] == 'r' ? 70 : 60);
	ck_assert_uint_eq(collect_results(&complete, received), 0);
	expect_command(LINK_PAUSE, NULL);
	reply_received(sent[3].link->upstream->id[0] == 'r' ? 70 : 60);
	ck_assert_uint_eq(collect_results(&complete, received), 1);
	ck_assert(complete);
	ck_assert_uint_eq(received[0], 60);
	ck_assert_uint_eq(received[1], 70);
	/* The result is repeated for a time, since a report may be lost. */
	advance(10 * 1000000);
	ck_assert_uint_eq(collect_results(&complete, received), 0);
}
END_TEST

/* Guards against a busy or broken replica that counts as paused, and against one
 * that is asked no more. */
START_TEST(test_asked_again)
{
	uint64_t received[2];
	bool complete = true;

	open_links();
	order_survey(7, "e", false);
	reply(REFUSAL_BUSY, SESSION_IDLE, 9, NULL);
	link_closed(sent[3].link, REFUSAL_NONE);
	nr_replied++;
	ck_assert_uint_eq(collect_results(&complete, received), 0);
	advance(20000);
	ck_assert_uint_eq(nr_sent, 5);
	complete_logins_at(entry);
	advance(40000);
	ck_assert_uint_eq(nr_sent, 6);
	reply_received(60);
	ck_assert_uint_eq(collect_results(&complete, received), 0);
	reply_received(70);
	ck_assert_uint_eq(collect_results(&complete, received), 1);
	ck_assert(complete);
}
END_TEST

/* Guards against a pause that has no effect, as its term is not above the newest
 * one of the service. */
START_TEST(test_newer_term)
{
	uint64_t received[2];
	bool complete;

	open_links();
	order_survey(7, "e", false);
	status_position = (struct position){ 3, 60 };
	reply_done();
	reply_done();
	ck_assert_uint_eq(collect_results(&complete, received), 0);
	advance(20000);
	ck_assert_uint_eq(nr_sent, 6);
	ck_assert_uint_eq(sent[4].min_position.term, 4);
	ck_assert_uint_eq(sent[5].min_position.term, 4);
	reply_done();
	reply_done();
	ck_assert_uint_eq(collect_results(&complete, received), 1);
}
END_TEST

/* Guards against a replica that does not answer and keeps the result of the
 * others from control. */
START_TEST(test_deadline)
{
	uint64_t received[2];
	bool complete = true;

	open_links();
	order_survey(7, "e", false);
	reply_received(60);
	advance(800000);
	ck_assert_uint_eq(collect_results(&complete, received), 1);
	ck_assert(!complete);
	ck_assert_uint_eq(received[0] + received[1], 60);
	/* An answer that comes late changes nothing. */
	reply_received(90);
	ck_assert_uint_eq(collect_results(&complete, received), 1);
	ck_assert_uint_eq(received[0] + received[1], 60);
}
END_TEST

/* Guards against upstreams that are paused by an order that control has given up
 * while this process was stalled: nobody would have them receive again. */
START_TEST(test_stalled_process)
{
	uint64_t received[2];
	bool complete = true;

	open_links();
	entry->last_tick_us = clock_now_us() - 400000;
	order_survey(7, "e", false);
	ck_assert_uint_eq(nr_sent, 2);
	ck_assert_uint_eq(collect_results(&complete, received), 1);
	ck_assert(!complete);
	/* To have them receive again is never too late. */
	order_survey(8, "e", true);
	ck_assert_uint_eq(nr_sent, 4);
}
END_TEST

/* Guards against a promotion that waits, as callers take each connection that
 * becomes idle. */
START_TEST(test_busy_upstream)
{
	struct session *s[3];
	unsigned i;

	link_open(g_hash_table_lookup(entry->known_upstreams, "p"));
	complete_logins_at(entry);
	for (i = 0; i < 3; i++) {
		s[i] = new_caller_at(entry, "own");
		send_statement(s[i], STATEMENT_WRITE, "WRITE 1 x", NULL, NULL);
	}
	ck_assert_uint_eq(nr_sent, 1);
	order_survey_of("p", 7);
	ck_assert_uint_eq(nr_sent, 1);
	expect_command(LINK_FORWARD, "WRITE 1 x");
	reply_done();
	expect_command(LINK_PAUSE, NULL);
}
END_TEST

TEST_MAIN_WITH_FIXTURE("survey", setup, teardown, test_survey, test_asked_again,
		       test_newer_term, test_deadline, test_busy_upstream,
		       test_stalled_process)
