#include "entry_fixture.h"

/*
 * Two entry daemons on loopback addresses: callers are at the edge, the
 * connections of the service at its home.
 */

static struct ev_loop *loop;
static struct timer_service edge_timers, home_timers;
static struct entry *edge, *home;

/*
 * These tests pass real time in run(); on a slow machine that may exceed the
 * share of a statement's time after which waiting ends.
 */
#define STATEMENT_US 8000000

static void allow_time(struct entry_table *table)
{
	struct entry_route *route;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, table->routes);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&route))
		route->statement_us = STATEMENT_US;
}

static struct entry *make(uint32_t ip, struct timer_service *timers)
{
	struct entry_config config = { .name = "e",
				       .availability_zone = "z",
				       .ip = ip,
				       .port = 39262,
				       .seeds = g_array_new(FALSE, FALSE, 4),
				       .grace_us = 6000000,
				       .upstream_ops = &upstream_ops };
	struct entry *entry;

	timer_service_init(timers);
	entry = entry_new(loop, timers, &config, NULL);
	g_array_free(config.seeds, TRUE);
	ck_assert_ptr_nonnull(entry);
	entry->table = make_table(1);
	allow_time(entry->table);
	entry->fresh = true;
	see_at(entry, "p", true, false, 1);
	see_at(entry, "r", false, false, 1);
	return entry;
}

/* Names the second daemon as the only home of the service. */
static void name_home(struct entry *entry, uint32_t ip)
{
	struct roster_entry *one = roster_entry_new("home", "z", ip);
	struct home_set *set = g_new0(struct home_set, 1);
	unsigned index = 0;

	g_ptr_array_add(entry->plan_daemons, one);
	set->daemons = g_array_new(FALSE, FALSE, sizeof(unsigned));
	g_array_append_val(set->daemons, index);
	g_hash_table_insert(entry->plan, g_strdup("s"), set);
	entry->plan_due = false;
}

static void on_end(struct ev_loop *l, ev_timer *w, int revents)
{
	ev_break(l, EVBREAK_ALL);
}

static void run(void)
{
	ev_timer timer;

	ev_timer_init(&timer, on_end, 0.03, 0.);
	ev_timer_start(loop, &timer);
	ev_run(loop, 0);
	ev_timer_stop(loop, &timer);
}

static void start(void)
{
	log_end = 100;
	nr_sent = nr_done = opens = closes = answers = ends = starts = 0;
	memset(&got, 0, sizeof(got));
	loop = ev_default_loop(EVBACKEND_EPOLL);
	edge = make(0x7f020001, &edge_timers);
	home = make(0x7f020002, &home_timers);
	name_home(edge, home->config.ip);
	name_home(home, home->config.ip);
	homes_tick(edge);
	run();
}

static void stop(struct entry *entry, struct timer_service *timers)
{
	while (entry->sessions.head)
		session_closed(entry->sessions.head->data);
	entry_free(entry);
	timer_service_finish(timers);
}

static void finish(void)
{
	stop(edge, &edge_timers);
	if (home)
		stop(home, &home_timers);
	run();
}

/* The home is gone with all its connections. */
static void lose_home(void)
{
	entry_free(home);
	timer_service_finish(&home_timers);
	home = NULL;
	run();
}

/* Until the edge gives up waiting for a home. */
static void wait_for_homes(void)
{
	unsigned i;

	for (i = 0; i < 14; i++) {
		run();
		timer_service_advance(&edge_timers, clock_now_us());
	}
}

/* Lets messages through and opens what connections are asked for. */
static void settle(void)
{
	run();
	if (home)
		open_all_at(home);
	run();
}

/* Guards against a statement that loses its text, values or prepared shape on
 * the way, and against an answer that does. */
START_TEST(test_statement)
{
	struct session *s;

	start();
	s = caller_at(edge, "own");
	say(s, STATEMENT_SET, "SET zone east", "zone", "east");
	say(s, STATEMENT_PREPARE, "PREPARE s WRITE q1", "s", "q1");
	answers = 0;
	say(s, STATEMENT_EXECUTE, "EXEC s 1 x", "s", "1 x");
	settle();
	expect(LINK_SET, "zone");
	done();
	expect(LINK_PREPARE, NULL);
	done();
	expect(LINK_FORWARD, "EXEC s 1 x");
	ck_assert_str_eq(sent[nr_done].link->host->entry->config.name, "e");
	ck_assert_ptr_eq(sent[nr_done].link->host->entry, home);
	reply(REFUSAL_NONE, SESSION_IDLE, 41, "DONE x");
	run();
	ck_assert_uint_eq(answers, 1);
	ck_assert_str_eq(got_result, "DONE x");
	ck_assert_uint_eq(s->own.position.lsn, 41);
	/* The edge opened nothing and the home keeps no session. */
	ck_assert_uint_eq(home->sessions.length, 0);
	ck_assert_uint_eq(
		g_hash_table_size(((struct home_link *)g_hash_table_lookup(
					   edge->homes,
					   GUINT_TO_POINTER(home->config.ip)))
					  ->sessions),
		0);
	finish();
}
END_TEST

/* Guards against a transaction that is spread over connections. */
START_TEST(test_transaction)
{
	struct session *s;

	start();
	s = caller_at(edge, "own");
	say(s, STATEMENT_BEGIN, "BEGIN", NULL, NULL);
	say(s, STATEMENT_WRITE, "WRITE 1 x", NULL, NULL);
	settle();
	expect(LINK_BEGIN, NULL);
	in_tx();
	expect(LINK_FORWARD, "WRITE 1 x");
	in_tx();
	run();
	ck_assert_int_eq(got.state, SESSION_IN_TRANSACTION);
	say(s, STATEMENT_READ, "READ 1", NULL, NULL);
	run();
	expect(LINK_FORWARD, "READ 1");
	ck_assert_ptr_eq(sent[nr_done].link, sent[0].link);
	in_tx();
	run();
	say(s, STATEMENT_COMMIT, "COMMIT", NULL, NULL);
	run();
	expect(LINK_FORWARD, "COMMIT");
	reply(REFUSAL_NONE, SESSION_IDLE, 42, "DONE c");
	run();
	ck_assert_int_eq(got.state, SESSION_IDLE);
	ck_assert_str_eq(got_result, "DONE c");
	ck_assert_uint_eq(s->own.position.lsn, 42);
	ck_assert_uint_eq(home->sessions.length, 0);
	finish();
}
END_TEST

/* Guards against a transaction that stays open after its caller left or rolled
 * it back. */
START_TEST(test_given_up)
{
	struct session *s;

	start();
	s = caller_at(edge, "own");
	say(s, STATEMENT_BEGIN, "BEGIN", NULL, NULL);
	say(s, STATEMENT_WRITE, "WRITE 1 x", NULL, NULL);
	settle();
	in_tx();
	in_tx();
	run();
	say(s, STATEMENT_ROLLBACK, "ROLLBACK", NULL, NULL);
	run();
	expect(LINK_ROLLBACK, NULL);
	done();
	ck_assert_uint_eq(home->sessions.length, 0);
	say(s, STATEMENT_BEGIN, "BEGIN", NULL, NULL);
	say(s, STATEMENT_WRITE, "WRITE 2 x", NULL, NULL);
	settle();
	in_tx();
	session_closed(s);
	run();
	expect(LINK_FORWARD, "WRITE 2 x");
	in_tx();
	expect(LINK_ROLLBACK, NULL);
	done();
	finish();
}
END_TEST

/* Guards against a lost home whose writes and commits are repeated or called
 * undone, and against a transaction that goes on elsewhere. */
START_TEST(test_home_lost)
{
	struct session *write, *tx, *read;

	start();
	write = caller_at(edge, "own");
	tx = caller_at(edge, "own");
	say(tx, STATEMENT_BEGIN, "BEGIN", NULL, NULL);
	say(tx, STATEMENT_WRITE, "WRITE 1 x", NULL, NULL);
	settle();
	in_tx();
	in_tx();
	run();
	say(write, STATEMENT_WRITE, "WRITE 2 x", NULL, NULL);
	run();
	lose_home();
	ck_assert_int_eq(got.refusal, REFUSAL_IN_DOUBT);
	ck_assert_int_eq(tx->tx, TX_FAILED);
	say(tx, STATEMENT_COMMIT, "COMMIT", NULL, NULL);
	ck_assert_int_eq(got.refusal, REFUSAL_ABORTED);
	/* Without any home the edge serves itself. */
	opens = 0;
	read = caller_at(edge, "own");
	say(read, STATEMENT_READ, "READ 1", NULL, NULL);
	ck_assert_uint_eq(opens, 0);
	wait_for_homes();
	ck_assert_uint_eq(opens, 1);
	finish();
}
END_TEST

/* Guards against a statement that a stopping home refuses, or takes and cuts,
 * while it could run elsewhere; and against an open transaction that it turns
 * away. */
START_TEST(test_home_stops)
{
	struct session *s, *tx;

	start();
	tx = caller_at(edge, "own");
	say(tx, STATEMENT_BEGIN, "BEGIN", NULL, NULL);
	say(tx, STATEMENT_WRITE, "WRITE 1 x", NULL, NULL);
	settle();
	in_tx();
	in_tx();
	run();
	entry_drain(home);
	s = caller_at(edge, "own");
	opens = answers = 0;
	say(s, STATEMENT_WRITE, "WRITE 2 x", NULL, NULL);
	run();
	ck_assert_uint_eq(answers, 0);
	wait_for_homes();
	ck_assert_uint_eq(answers, 0);
	ck_assert_uint_eq(opens, 1);
	ck_assert_uint_eq(home->sessions.length, 1);
	say(tx, STATEMENT_COMMIT, "COMMIT", NULL, NULL);
	run();
	expect(LINK_FORWARD, "COMMIT");
	reply(REFUSAL_NONE, SESSION_IDLE, 42, "DONE c");
	run();
	ck_assert_str_eq(got_result, "DONE c");
	finish();
}
END_TEST

/* Guards against a transaction that begins anew in its middle after the home
 * gave it up. */
START_TEST(test_home_gave_up)
{
	struct session *s;

	start();
	s = caller_at(edge, "own");
	say(s, STATEMENT_BEGIN, "BEGIN", NULL, NULL);
	say(s, STATEMENT_WRITE, "WRITE 1 x", NULL, NULL);
	settle();
	in_tx();
	in_tx();
	run();
	session_end_transaction(home->sessions.head->data, TX_FAILED);
	expect(LINK_ROLLBACK, NULL);
	done();
	say(s, STATEMENT_WRITE, "WRITE 2 x", NULL, NULL);
	run();
	ck_assert_int_eq(got.refusal, REFUSAL_ABORTED);
	ck_assert_int_eq(got.state, SESSION_FAILED_TRANSACTION);
	ck_assert_uint_eq(nr_sent, nr_done);
	ck_assert_uint_eq(home->sessions.length, 0);
	finish();
}
END_TEST

/* Guards against a caller that waits for a home that does not answer. */
START_TEST(test_home_silent)
{
	struct session *s;

	start();
	s = caller_at(edge, "own");
	say(s, STATEMENT_WRITE, "WRITE 1 x", NULL, NULL);
	timer_service_advance(&edge_timers,
			      clock_now_us() + STATEMENT_US + 70000);
	ck_assert_int_eq(got.refusal, REFUSAL_TIMEOUT);
	ck_assert_ptr_null(s->home);
	finish();
}
END_TEST

TEST_MAIN("relay", test_statement, test_transaction, test_given_up,
	  test_home_lost, test_home_stops, test_home_gave_up, test_home_silent)
