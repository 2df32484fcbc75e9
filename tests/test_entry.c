#include "entry_fixture.h"

static struct timer_service timers;
static struct entry *entry;

static void add_sighting(const char *id, bool primary, bool leaving,
			 uint64_t sequence)
{
	add_sighting_to(entry, id, primary, leaving, sequence);
}

static struct session *new_caller(const char *database)
{
	return new_caller_at(entry, database);
}

static void complete_logins(void)
{
	complete_logins_at(entry);
}

static void setup(void)
{
	entry = start_entry(&timers, 39261);
	add_sighting("p", true, false, 1);
	add_sighting("r", false, false, 1);
}

static void teardown(void)
{
	stop_entry(entry, &timers);
}

static void advance(int64_t us)
{
	timer_service_advance(&timers, clock_now_us() + us);
}

/* Guards against a replaced primary that answers a read on a route whose reads
 * only the primary may answer: the read runs in a transaction, which only the
 * current primary begins. */
START_TEST(test_primary_read)
{
	struct session *s;

	setup();
	s = new_caller("primary");
	send_statement(s, STATEMENT_READ, "READ 1", NULL, NULL);
	ck_assert_uint_eq(nr_opened, 1);
	complete_logins();
	expect_command(LINK_BEGIN, NULL);
	ck_assert_str_eq(sent[0].link->upstream->id, "p");
	ck_assert_uint_eq(nr_sent, 1);
	reply_in_transaction();
	expect_command(LINK_FORWARD, "READ 1");
	reply(REFUSAL_NONE, SESSION_IN_TRANSACTION, 9, "ROW x");
	ck_assert_str_eq(last_result, "ROW x");
	ck_assert_int_eq(last_answer.state, SESSION_IDLE);
	expect_command(LINK_ROLLBACK, NULL);
	reply_done();
	teardown();
}
END_TEST

/* Guards against sending a read to a replaced primary after it refused to begin
 * the transaction. */
START_TEST(test_replaced_primary)
{
	struct session *s;

	setup();
	s = new_caller("primary");
	send_statement(s, STATEMENT_READ, "READ 1", NULL, NULL);
	complete_logins();
	reply(REFUSAL_NOT_PRIMARY, SESSION_IDLE, 9, NULL);
	ck_assert_uint_eq(nr_sent, 1);
	ck_assert_uint_eq(nr_answers, 0);
	add_sighting("r", true, false, 2);
	service_dispatch(s->service);
	complete_logins();
	expect_command(LINK_BEGIN, NULL);
	ck_assert_str_eq(sent[1].link->upstream->id, "r");
	teardown();
}
END_TEST

/* Guards against a read that misses the session's own commit on a replica. */
START_TEST(test_own_commit)
{
	struct session *s;

	setup();
	s = new_caller("own");
	send_statement(s, STATEMENT_WRITE, "WRITE 1 x", NULL, NULL);
	complete_logins();
	expect_command(LINK_FORWARD, "WRITE 1 x");
	ck_assert_str_eq(sent[0].link->upstream->id, "p");
	reply(REFUSAL_NONE, SESSION_IDLE, 41, "DONE");
	ck_assert_uint_eq(s->own.position.lsn, 41);
	((struct upstream *)g_hash_table_lookup(entry->known_upstreams, "p"))
		->window.latency_us = 10000000;
	send_statement(s, STATEMENT_READ, "READ 1", NULL, NULL);
	complete_logins();
	expect_command(LINK_FORWARD, "READ 1");
	ck_assert_str_eq(sent[1].link->upstream->id, "r");
	ck_assert_uint_eq(sent[1].min_position.lsn, 41);
	/* The replica is behind: the primary is asked for the position. */
	reply(REFUSAL_BEHIND, SESSION_IDLE, 40, NULL);
	expect_command(LINK_FORWARD, "READ 1");
	ck_assert_str_eq(sent[2].link->upstream->id, "p");
	ck_assert_uint_eq(sent[2].min_position.lsn, 41);
	/* The commit was lost: the primary proves its role and answers. */
	reply(REFUSAL_BEHIND, SESSION_IDLE, 40, NULL);
	expect_command(LINK_BEGIN, NULL);
	ck_assert_str_eq(sent[3].link->upstream->id, "p");
	ck_assert_uint_eq(nr_answers, 1);
	teardown();
}
END_TEST

static void check_other_replica(bool balance_reads)
{
	struct session *s;
	struct link *first;

	setup();
	entry->config.balance_reads = balance_reads;
	add_sighting("q", false, false, 1);
	read_samples_add(&service_get(entry, "s")->samples, clock_now_us(),
			 (struct position){ 1, 9 });
	((struct upstream *)g_hash_table_lookup(entry->known_upstreams, "p"))
		->gone = true;
	s = new_caller("bounded");
	send_statement(s, STATEMENT_READ, "READ 1", NULL, NULL);
	complete_logins();
	expect_command(LINK_FORWARD, "READ 1");
	first = sent[0].link;
	reply(REFUSAL_BEHIND, SESSION_IDLE, 3, NULL);
	complete_logins();
	expect_command(LINK_FORWARD, "READ 1");
	ck_assert_ptr_ne(sent[1].link->upstream, first->upstream);
	ck_assert_str_ne(sent[1].link->upstream->id, "p");
	teardown();
}

/* Guards against a read that is refused because one of several replicas lags
 * while the primary is unavailable. */
START_TEST(test_other_replica)
{
	check_other_replica(false);
}
END_TEST

/* Guards against balanced reads at an upstream that is gone or was behind. */
START_TEST(test_balanced_other_replica)
{
	check_other_replica(true);
}
END_TEST

/* Guards against reads that are sent to a replica known to lag, where they wait
 * only to be refused. */
START_TEST(test_known_lag)
{
	struct session *s;
	struct upstream *r;

	setup();
	read_samples_add(&service_get(entry, "s")->samples,
			 clock_now_us() - 100000, (struct position){ 1, 9 });
	r = g_hash_table_lookup(entry->known_upstreams, "r");
	((struct upstream *)g_hash_table_lookup(entry->known_upstreams, "p"))
		->window.latency_us = 10000000;
	opening_lsn = 3;
	s = new_caller("bounded");
	send_statement(s, STATEMENT_READ, "READ 1", NULL, NULL);
	complete_logins();
	ck_assert_int_eq(r->lag_us, READ_LAG_UNKNOWN);
	service_dispatch(s->service);
	complete_logins();
	expect_command(LINK_FORWARD, "READ 1");
	ck_assert_str_eq(sent[0].link->upstream->id, "p");
	teardown();
}
END_TEST

/* Guards against a read that alternates between replicas that are behind its
 * position and uses up its attempts within a few milliseconds. */
START_TEST(test_all_behind)
{
	struct session *s;
	unsigned i;

	setup();
	add_sighting("q", false, false, 1);
	read_samples_add(&service_get(entry, "s")->samples, clock_now_us(),
			 (struct position){ 1, 9 });
	((struct upstream *)g_hash_table_lookup(entry->known_upstreams, "p"))
		->connect_after_us = INT64_MAX;
	s = new_caller("bounded");
	send_statement(s, STATEMENT_READ, "READ 1", NULL, NULL);
	for (i = 0; i < 20 && !nr_answers; i++) {
		complete_logins();
		service_dispatch(s->service);
		if (nr_replied < nr_sent)
			reply(REFUSAL_BEHIND, SESSION_IDLE, 9, NULL);
	}
	ck_assert_uint_eq(nr_answers, 0);
	ck_assert_uint_eq(nr_sent, 2);
	/* The primary is available again. */
	((struct upstream *)g_hash_table_lookup(entry->known_upstreams, "p"))
		->connect_after_us = 0;
	service_dispatch(s->service);
	complete_logins();
	expect_command(LINK_FORWARD, "READ 1");
	ck_assert_str_eq(sent[nr_replied].link->upstream->id, "p");
	teardown();
}
END_TEST

/* Guards against a statement that is sent to the next upstream before that has
 * begun the transaction: the first upstream's refusal to begin was counted as
 * the second one's answer, so the statement ran outside the transaction. */
START_TEST(test_refused_begin)
{
	struct session *s;

	setup();
	add_sighting("q", false, false, 1);
	read_samples_add(&service_get(entry, "s")->samples, clock_now_us(),
			 (struct position){ 1, 9 });
	((struct upstream *)g_hash_table_lookup(entry->known_upstreams, "p"))
		->window.latency_us = 10000000;
	s = new_caller("bounded");
	send_statement(s, STATEMENT_BEGIN_READ, "BEGIN READ", NULL, NULL);
	/* With connections open to all upstreams, the retry is immediate. */
	send_statement(s, STATEMENT_READ, "READ 1", NULL, NULL);
	link_open(g_hash_table_lookup(entry->known_upstreams, "p"));
	link_open(g_hash_table_lookup(entry->known_upstreams, "q"));
	link_open(g_hash_table_lookup(entry->known_upstreams, "r"));
	complete_logins();
	expect_command(LINK_BEGIN_READ, NULL);
	reply(REFUSAL_BEHIND, SESSION_IDLE, 3, NULL);
	expect_command(LINK_BEGIN_READ, NULL);
	ck_assert_uint_eq(nr_sent, 2);
	reply_in_transaction();
	expect_command(LINK_FORWARD, "READ 1");
	ck_assert_ptr_eq(sent[2].link, sent[1].link);
	teardown();
}
END_TEST

/* Guards against a bounded read on a replica before any sample was taken. */
START_TEST(test_bounded_needs_sample)
{
	struct session *s;

	setup();
	s = new_caller("bounded");
	send_statement(s, STATEMENT_READ, "READ 1", NULL, NULL);
	complete_logins();
	expect_command(LINK_BEGIN, NULL);
	ck_assert_str_eq(sent[0].link->upstream->id, "p");
	reply_in_transaction();
	reply(REFUSAL_NONE, SESSION_IN_TRANSACTION, 9, "ROW x");
	reply_done();
	/* The transaction served as a sample. */
	send_statement(s, STATEMENT_READ, "READ 2", NULL, NULL);
	complete_logins();
	expect_command(LINK_FORWARD, "READ 2");
	ck_assert_uint_eq(sent[nr_replied].min_position.lsn, 9);
	teardown();
}
END_TEST

/*
 * Guards against a daemon that drops upstreams without recent sightings:
 * control receives every heartbeat but forwards only changes.
 */
START_TEST(test_old_sightings)
{
	struct session *s;

	setup();
	advance(2 * SIGHTINGS_RETENTION_US);
	s = new_caller("primary");
	send_statement(s, STATEMENT_WRITE, "WRITE 1 x", NULL, NULL);
	complete_logins();
	expect_command(LINK_FORWARD, "WRITE 1 x");
	ck_assert_str_eq(sent[0].link->upstream->id, "p");
	teardown();
}
END_TEST

/*
 * Guards against a daemon that never asks another VM for the roster while the
 * leader is unreachable, or always asks all of them.
 */
START_TEST(test_leader_unreachable)
{
	struct control_link link = { .ip = 7, .fresh = true };
	int64_t now_us = clock_now_us();

	setup();
	g_ptr_array_add(entry->control, &link);
	entry->leader_ip = 7;
	ck_assert(!watch_leader_is_unreachable(entry, now_us + 10000000));
	link.fresh = false;
	ck_assert(!watch_leader_is_unreachable(entry, now_us + 10000000));
	ck_assert(!watch_leader_is_unreachable(
		entry, now_us + 10000000 + 2 * ENTRY_REPORT_INTERVAL_US));
	ck_assert(watch_leader_is_unreachable(
		entry, now_us + 10000001 + 2 * ENTRY_REPORT_INTERVAL_US));
	link.fresh = true;
	entry->leader_ip = 8;
	ck_assert(watch_leader_is_unreachable(
		entry, now_us + 10000001 + 2 * ENTRY_REPORT_INTERVAL_US));
	g_ptr_array_remove(entry->control, &link);
	teardown();
}
END_TEST

/* Guards against a commit or single write that is repeated, or reported as not
 * run, after its answer was lost. */
START_TEST(test_lost_answers)
{
	struct session *s;

	setup();
	s = new_caller("own");
	send_statement(s, STATEMENT_WRITE, "WRITE 1 x", NULL, NULL);
	complete_logins();
	link_closed(sent[0].link, REFUSAL_NONE);
	ck_assert_int_eq(last_answer.refusal, REFUSAL_IN_DOUBT);
	ck_assert_uint_eq(nr_sent, 1);

	send_statement(s, STATEMENT_BEGIN, "BEGIN", NULL, NULL);
	send_statement(s, STATEMENT_WRITE, "WRITE 2 x", NULL, NULL);
	advance(500000);
	teardown();

	setup();
	s = new_caller("own");
	send_statement(s, STATEMENT_BEGIN, "BEGIN", NULL, NULL);
	send_statement(s, STATEMENT_WRITE, "WRITE 2 x", NULL, NULL);
	complete_logins();
	reply_in_transaction();
	reply(REFUSAL_NONE, SESSION_IN_TRANSACTION, 9, "DONE");
	send_statement(s, STATEMENT_COMMIT, "COMMIT", NULL, NULL);
	expect_command(LINK_FORWARD, "COMMIT");
	link_closed(sent[nr_replied].link, REFUSAL_NONE);
	ck_assert_int_eq(last_answer.refusal, REFUSAL_IN_DOUBT);
	ck_assert_int_eq(last_answer.state, SESSION_IDLE);
	teardown();
}
END_TEST

/* Guards against the rest of a transaction running on another connection after
 * its own was lost, and against its commit then being reported as a success. */
START_TEST(test_lost_transaction)
{
	struct session *s;

	setup();
	s = new_caller("own");
	send_statement(s, STATEMENT_BEGIN, "BEGIN", NULL, NULL);
	send_statement(s, STATEMENT_WRITE, "WRITE 2 x", NULL, NULL);
	complete_logins();
	reply_in_transaction();
	reply(REFUSAL_NONE, SESSION_IN_TRANSACTION, 9, "DONE");
	link_closed(sent[0].link, REFUSAL_NONE);
	send_statement(s, STATEMENT_WRITE, "WRITE 3 x", NULL, NULL);
	ck_assert_int_eq(last_answer.refusal, REFUSAL_MALFORMED);
	ck_assert_int_eq(last_answer.state, SESSION_FAILED_TRANSACTION);
	send_statement(s, STATEMENT_COMMIT, "COMMIT", NULL, NULL);
	ck_assert_int_eq(last_answer.refusal, REFUSAL_ABORTED);
	ck_assert_int_eq(last_answer.state, SESSION_IDLE);
	ck_assert_uint_eq(nr_sent, 2);
	teardown();
}
END_TEST

/* Guards against values or statements of one session that another one sees. */
START_TEST(test_values_are_reset)
{
	struct session *a, *b;

	setup();
	a = new_caller("own");
	b = new_caller("own");
	send_statement(a, STATEMENT_SET, "SET zone east", "zone", "east");
	ck_assert_uint_eq(nr_sent, 0);
	send_statement(a, STATEMENT_WRITE, "WRITE 1 x", NULL, NULL);
	complete_logins();
	expect_command(LINK_SET, "zone");
	ck_assert_uint_eq(nr_sent, 1);
	reply_done();
	expect_command(LINK_FORWARD, "WRITE 1 x");
	reply_done();
	/* For the same session the values are already set. */
	send_statement(a, STATEMENT_WRITE, "WRITE 2 x", NULL, NULL);
	expect_command(LINK_FORWARD, "WRITE 2 x");
	reply_done();
	send_statement(b, STATEMENT_WRITE, "WRITE 3 x", NULL, NULL);
	expect_command(LINK_RESET, NULL);
	reply_done();
	expect_command(LINK_FORWARD, "WRITE 3 x");
	reply_done();
	teardown();
}
END_TEST

/* Guards against confusing prepared statements of the same name in two
 * sessions. */
START_TEST(test_prepared)
{
	struct session *a, *b;
	char first[64];

	setup();
	a = new_caller("own");
	b = new_caller("own");
	send_statement(a, STATEMENT_PREPARE, "PREPARE s WRITE q1", "s", "q1");
	send_statement(b, STATEMENT_PREPARE, "PREPARE s WRITE q2", "s", "q2");
	send_statement(a, STATEMENT_EXECUTE, "EXEC s 1 x", "s", "1 x");
	complete_logins();
	expect_command(LINK_PREPARE, NULL);
	strcpy(first, sent[nr_replied].text);
	reply_done();
	expect_command(LINK_FORWARD, "EXEC s 1 x");
	reply_done();
	send_statement(b, STATEMENT_EXECUTE, "EXEC s 1 y", "s", "1 y");
	expect_command(LINK_PREPARE, NULL);
	ck_assert_str_ne(first, sent[nr_replied].text);
	reply_done();
	reply_done();
	send_statement(b, STATEMENT_DEALLOCATE, "DEALLOC s", "s", NULL);
	send_statement(b, STATEMENT_EXECUTE, "EXEC s 1 y", "s", "1 y");
	ck_assert_int_eq(last_answer.refusal, REFUSAL_NO_STATEMENT);
	/* The upstream lost the statement: prepare it again instead of
	 * failing. */
	send_statement(a, STATEMENT_EXECUTE, "EXEC s 1 z", "s", "1 z");
	expect_command(LINK_FORWARD, "EXEC s 1 z");
	reply(REFUSAL_NO_STATEMENT, SESSION_IDLE, 9, NULL);
	expect_command(LINK_PREPARE, first);
	teardown();
}
END_TEST

/* Guards against assigning a connection to the next caller while the previous
 * caller's transaction is still open on it. */
START_TEST(test_caller_leaves)
{
	struct session *a, *b;

	setup();
	a = new_caller("own");
	b = new_caller("own");
	send_statement(a, STATEMENT_BEGIN, "BEGIN", NULL, NULL);
	send_statement(a, STATEMENT_WRITE, "WRITE 1 x", NULL, NULL);
	complete_logins();
	reply_in_transaction();
	session_closed(a);
	/* The first caller's write is still unanswered. */
	send_statement(b, STATEMENT_WRITE, "WRITE 2 x", NULL, NULL);
	expect_command(LINK_FORWARD, "WRITE 1 x");
	reply_in_transaction();
	expect_command(LINK_ROLLBACK, NULL);
	if (nr_sent > nr_replied + 1)
		ck_assert(sent[nr_replied + 1].link != sent[nr_replied].link);
	reply_done();
	service_dispatch(b->service);
	complete_logins();
	expect_command(LINK_FORWARD, "WRITE 2 x");
	teardown();
}
END_TEST

/* Guards against reporting a statement as refused after it was sent, and
 * against waiting beyond its time-out. */
START_TEST(test_time_outs)
{
	struct session *s;

	setup();
	s = new_caller("own");
	send_statement(s, STATEMENT_WRITE, "WRITE 1 x", NULL, NULL);
	advance(500000);
	ck_assert_int_eq(last_answer.refusal, REFUSAL_BUSY);
	send_statement(s, STATEMENT_WRITE, "WRITE 2 x", NULL, NULL);
	complete_logins();
	ck_assert_uint_eq(nr_sent, 1);
	advance(900000);
	ck_assert_int_eq(last_answer.refusal, REFUSAL_TIMEOUT);
	/* The late answer must not reach any caller. */
	nr_answers = 0;
	reply(REFUSAL_NONE, SESSION_IDLE, 9, "DONE");
	ck_assert_uint_eq(nr_answers, 0);
	teardown();
}
END_TEST

/* Guards against log-ins that occupy all slots of an upstream when many callers
 * arrive before any connection is open. */
START_TEST(test_one_log_in)
{
	struct session *s[5];
	struct upstream *upstream;
	unsigned i;

	setup();
	nr_opened = 0;
	for (i = 0; i < 5; i++) {
		s[i] = new_caller("own");
		send_statement(s[i], STATEMENT_WRITE, "WRITE 1 x", NULL, NULL);
	}
	ck_assert_uint_eq(nr_opened, 1);
	upstream = g_hash_table_lookup(entry->known_upstreams, "p");
	link_opened(upstream->links->pdata[0],
		    (struct position){ 1, opening_lsn });
	/* One statement runs while the next connection is opened. */
	ck_assert_uint_eq(nr_sent, 1);
	ck_assert_uint_eq(nr_opened, 2);
	for (i = 0; i < 5; i++)
		reply_done();
	ck_assert_uint_eq(nr_answers, 5);
	teardown();
}
END_TEST

/* Guards against sending new work to an upstream that is leaving. */
START_TEST(test_leaving)
{
	struct session *s;

	setup();
	s = new_caller("own");
	send_statement(s, STATEMENT_BEGIN, "BEGIN", NULL, NULL);
	send_statement(s, STATEMENT_WRITE, "WRITE 1 x", NULL, NULL);
	complete_logins();
	reply_in_transaction();
	reply(REFUSAL_NONE, SESSION_IN_TRANSACTION, 9, "DONE");
	add_sighting("p", true, true, 2);
	/* An open transaction may finish there. */
	send_statement(s, STATEMENT_COMMIT, "COMMIT", NULL, NULL);
	expect_command(LINK_FORWARD, "COMMIT");
	reply_done();
	send_statement(s, STATEMENT_WRITE, "WRITE 2 x", NULL, NULL);
	ck_assert_uint_eq(nr_sent, nr_replied);
	add_sighting("r", true, false, 2);
	service_dispatch(s->service);
	complete_logins();
	expect_command(LINK_FORWARD, "WRITE 2 x");
	ck_assert_str_eq(sent[nr_replied].link->upstream->id, "r");
	teardown();
}
END_TEST

/* Guards against a transaction that switches to a changed route midway, and
 * against a later statement that still uses the old route. */
START_TEST(test_route_removed)
{
	struct session *s;

	setup();
	s = new_caller("own");
	send_statement(s, STATEMENT_BEGIN, "BEGIN", NULL, NULL);
	entry_table_unref(entry->table);
	entry->table = entry_table_new(2);
	send_statement(s, STATEMENT_WRITE, "WRITE 1 x", NULL, NULL);
	complete_logins();
	reply_in_transaction();
	reply(REFUSAL_NONE, SESSION_IN_TRANSACTION, 9, "DONE");
	ck_assert_int_eq(last_answer.refusal, REFUSAL_NONE);
	send_statement(s, STATEMENT_ROLLBACK, "ROLLBACK", NULL, NULL);
	ck_assert_int_eq(last_answer.state, SESSION_IDLE);
	send_statement(s, STATEMENT_READ, "READ 1", NULL, NULL);
	ck_assert_int_eq(last_answer.refusal, REFUSAL_NO_DATABASE);
	teardown();
}
END_TEST

static void order_handover(uint64_t number, const char *daemon)
{
	Wire__Handover order = WIRE__HANDOVER__INIT;

	order.number = number;
	order.daemon = (char *)daemon;
	order.from = "p";
	order.to = "r";
	handover_start(entry, &order);
}

/* Guards against a successor that lacks the primary's last acknowledged
 * commits, against carrying out an order twice, and against carrying out one
 * addressed to another daemon. */
START_TEST(test_handover)
{
	setup();
	link_open(g_hash_table_lookup(entry->known_upstreams, "p"));
	link_open(g_hash_table_lookup(entry->known_upstreams, "r"));
	complete_logins();
	order_handover(7, "other");
	ck_assert_uint_eq(nr_sent, 0);
	order_handover(7, "e");
	order_handover(7, "e");
	ck_assert_uint_eq(nr_sent, 1);
	expect_command(LINK_DEMOTE, NULL);
	ck_assert_str_eq(sent[0].link->upstream->id, "p");
	ck_assert_uint_eq(sent[0].min_position.term, 2);
	status_position = (struct position){ 1, 50 };
	reply_done();
	expect_command(LINK_STATUS, NULL);
	ck_assert_str_eq(sent[1].link->upstream->id, "r");
	status_position.lsn = 49;
	reply_done();
	ck_assert_int_eq(entry->handover.phase, HANDOVER_CATCHING_UP);
	advance(30000);
	expect_command(LINK_STATUS, NULL);
	status_position.lsn = 50;
	reply_done();
	ck_assert_int_eq(entry->handover.phase, HANDOVER_DONE);
	ck_assert(entry->handover.complete);
	/* A handover that times out is reported as incomplete. */
	order_handover(8, "e");
	reply_done();
	handover_tick(entry, clock_now_us() + 800000);
	ck_assert_int_eq(entry->handover.phase, HANDOVER_DONE);
	ck_assert(!entry->handover.complete);
	teardown();
}
END_TEST

/* Guards against a daemon that was stopped for a while and then demotes a primary
 * on an order that control has given up since. */
START_TEST(test_outdated_handover)
{
	setup();
	link_open(g_hash_table_lookup(entry->known_upstreams, "p"));
	link_open(g_hash_table_lookup(entry->known_upstreams, "r"));
	complete_logins();
	entry->last_tick_us -= 1000000;
	order_handover(7, "e");
	ck_assert_uint_eq(nr_sent, 0);
	ck_assert_int_eq(entry->handover.phase, HANDOVER_DONE);
	ck_assert(!entry->handover.complete);
	advance(ENTRY_TICK_INTERVAL_US);
	ck_assert_uint_eq(nr_sent, 0);
	order_handover(7, "e");
	ck_assert_uint_eq(nr_sent, 0);
	order_handover(8, "e");
	expect_command(LINK_DEMOTE, NULL);
	teardown();
}
END_TEST

/* Guards against demoting a primary after the time-out of the handover: its
 * connection becomes idle before the next check. */
START_TEST(test_expired_handover)
{
	struct session *s;

	setup();
	link_open(g_hash_table_lookup(entry->known_upstreams, "p"));
	complete_logins();
	s = new_caller("primary");
	send_statement(s, STATEMENT_WRITE, "WRITE 1 x", NULL, NULL);
	order_handover(7, "e");
	ck_assert_uint_eq(nr_sent, 1);
	entry->handover.expires_us = clock_now_us() - 1;
	reply_done();
	ck_assert_uint_eq(nr_sent, 1);
	ck_assert_int_eq(entry->handover.phase, HANDOVER_DONE);
	ck_assert(!entry->handover.complete);
	teardown();
}
END_TEST

/* Guards against a handover that goes on while the primary still leads: it has
 * committed nothing in its term yet, so its log shows an older one. */
START_TEST(test_handover_before_first_commit)
{
	setup();
	link_open(g_hash_table_lookup(entry->known_upstreams, "p"));
	link_open(g_hash_table_lookup(entry->known_upstreams, "r"));
	complete_logins();
	order_handover(7, "e");
	expect_command(LINK_DEMOTE, NULL);
	ck_assert_uint_eq(sent[0].min_position.term, 2);
	status_position = (struct position){ 1, 50 };
	status_leads_term = 2;
	reply_done();
	advance(30000);
	expect_command(LINK_DEMOTE, NULL);
	ck_assert_uint_eq(sent[1].min_position.term, 3);
	status_position = (struct position){ 2, 51 };
	status_leads_term = 0;
	reply_done();
	expect_command(LINK_STATUS, NULL);
	reply_done();
	ck_assert(entry->handover.complete);
	ck_assert_uint_eq(entry->handover.end.lsn, 51);
	teardown();
}
END_TEST

/* Guards against a daemon that is cut off from control and refuses all writes
 * until it is told of the new primary. */
START_TEST(test_found_primary)
{
	struct session *s;
	int64_t now_us;

	setup();
	link_open(g_hash_table_lookup(entry->known_upstreams, "p"));
	link_open(g_hash_table_lookup(entry->known_upstreams, "r"));
	complete_logins();
	s = new_caller("primary");
	send_statement(s, STATEMENT_WRITE, "WRITE 1 x", NULL, NULL);
	expect_command(LINK_FORWARD, "WRITE 1 x");
	ck_assert_str_eq(sent[0].link->upstream->id, "p");
	reply(REFUSAL_NOT_PRIMARY, SESSION_IDLE, 9, NULL);
	now_us = clock_now_us();
	/* No primary is known, so each upstream is probed. */
	upstreams_tick(entry, now_us);
	ck_assert_uint_eq(nr_sent, 3);
	reply(REFUSAL_NOT_PRIMARY, SESSION_IDLE, 9, NULL);
	reply_in_transaction();
	expect_command(LINK_ROLLBACK, NULL);
	ck_assert_str_eq(sent[3].link->upstream->id, "r");
	reply_done();
	expect_command(LINK_FORWARD, "WRITE 1 x");
	ck_assert_str_eq(sent[nr_replied].link->upstream->id, "r");
	reply_done();
	ck_assert_uint_eq(nr_answers, 1);
	ck_assert_int_eq(last_answer.refusal, REFUSAL_NONE);
	/* Once the primary is found, the probing stops. */
	upstreams_tick(entry, now_us + 150000);
	ck_assert_uint_eq(nr_sent, nr_replied);
	teardown();
}
END_TEST

/* Guards against a handover of an overloaded primary that times out because
 * waiting callers take every connection that becomes idle. */
START_TEST(test_overloaded_handover)
{
	struct session *s[3];
	unsigned i;

	setup();
	link_open(g_hash_table_lookup(entry->known_upstreams, "p"));
	complete_logins();
	for (i = 0; i < 3; i++) {
		s[i] = new_caller("own");
		send_statement(s[i], STATEMENT_WRITE, "WRITE 1 x", NULL, NULL);
	}
	order_handover(7, "e");
	ck_assert_uint_eq(nr_sent, 1);
	expect_command(LINK_FORWARD, "WRITE 1 x");
	reply_done();
	expect_command(LINK_DEMOTE, NULL);
	teardown();
}
END_TEST

/* Guards against an unresponsive primary that is not reported as failing
 * because its writes and transactions wait for their answers. */
START_TEST(test_silent_primary)
{
	struct upstream *p;
	struct session *s;
	int64_t now_us;

	setup();
	p = g_hash_table_lookup(entry->known_upstreams, "p");
	s = new_caller("own");
	send_statement(s, STATEMENT_WRITE, "WRITE 1 x", NULL, NULL);
	complete_logins();
	ck_assert_uint_eq(nr_sent, 1);
	/* The clock may not have advanced since the previous answer. */
	p->last_answer_us = sent[0].link->sent_us;
	now_us = clock_now_us();
	upstreams_tick(entry, now_us + ENTRY_SILENCE_TIMEOUT_US / 2);
	ck_assert_int_eq(p->failing_us, 0);
	upstreams_tick(entry, now_us + ENTRY_SILENCE_TIMEOUT_US + 10000);
	ck_assert_int_ne(p->failing_us, 0);
	/* The write must not run anywhere else. */
	ck_assert_uint_eq(nr_answers, 0);
	ck_assert_uint_eq(nr_sent, 1);
	ck_assert_uint_eq(p->failures, 1);
	upstreams_tick(entry, now_us + ENTRY_SILENCE_TIMEOUT_US + 20000);
	ck_assert_uint_eq(p->failures, 1);
	reply_done();
	ck_assert_int_eq(p->failing_us, 0);
	ck_assert_uint_eq(nr_answers, 1);
	teardown();
}
END_TEST

static void order_handover_of(uint64_t number, const char *from, const char *to)
{
	Wire__Handover order = WIRE__HANDOVER__INIT;

	order.number = number;
	order.daemon = "e";
	order.from = (char *)from;
	order.to = (char *)to;
	handover_start(entry, &order);
}

/* Guards against the end of one primary's log that is taken for that of another
 * primary, whose successor would then lack commits. */
START_TEST(test_two_handovers)
{
	static const char *const ids[] = { "p", "r", "q", "s" };
	unsigned i;

	setup();
	add_sighting("q", false, false, 1);
	add_sighting("s", false, false, 1);
	for (i = 0; i < G_N_ELEMENTS(ids); i++)
		link_open(g_hash_table_lookup(entry->known_upstreams, ids[i]));
	complete_logins();
	order_handover_of(7, "p", "r");
	order_handover_of(8, "q", "s");
	/* The end of the log of p, and then what was asked next. */
	status_position = (struct position){ 1, 50 };
	reply_done();
	status_position = (struct position){ 1, 60 };
	reply_done();
	ck_assert_uint_eq(entry->handover.number, 7);
	ck_assert_int_eq(entry->handover.phase, HANDOVER_DONE);
	ck_assert_str_eq(sent[0].link->upstream->id, "p");
	ck_assert_str_eq(sent[1].link->upstream->id, "r");
	/* Control repeats the other order. */
	order_handover_of(8, "q", "s");
	ck_assert_uint_eq(nr_sent, 3);
	ck_assert_str_eq(sent[2].link->upstream->id, "q");
	expect_command(LINK_DEMOTE, NULL);
	/* Its answer belongs to no order that is given after its time-out. */
	handover_tick(entry, clock_now_us() + 800000);
	ck_assert_int_eq(entry->handover.phase, HANDOVER_DONE);
	order_handover_of(9, "p", "r");
	ck_assert_uint_eq(nr_sent, 3);
	reply_done();
	ck_assert(!entry->handover.complete);
	order_handover_of(9, "p", "r");
	ck_assert_uint_eq(entry->handover.number, 9);
	ck_assert_int_eq(entry->handover.phase, HANDOVER_STOPPING);
	expect_command(LINK_DEMOTE, NULL);
	teardown();
}
END_TEST

/* Returns an upstream with @nr open connections that has answered often enough
 * to know how long an answer takes. */
static struct upstream *connect_and_learn(const char *id, unsigned nr)
{
	struct upstream *upstream =
		g_hash_table_lookup(entry->known_upstreams, id);
	struct service *svc = upstream->service;
	unsigned i;

	for (i = 0; i < nr; i++)
		link_open(upstream);
	complete_logins();
	for (i = 0; i < 50; i++) {
		answer_time_add(&svc->answer_times[READ_OWN_WRITES], 10000);
		answer_time_add(&svc->answer_times[READ_BOUNDED], 10000);
		repeat_budget_answered(&svc->repeat_budget);
	}
	return upstream;
}

/* Lets the upstream lose the answer on @link while it answers later ones. */
static void lose_answer(struct link *link)
{
	int64_t now_us = clock_now_us();

	link->upstream->newest_answered_us =
		link->sent_us + ANSWER_OVERDUE_MIN_US;
	upstreams_tick(entry, now_us + ANSWER_OVERDUE_MIN_US / 2);
	ck_assert_uint_eq(nr_answers, 0);
	upstreams_tick(entry, now_us + ANSWER_OVERDUE_MIN_US + 10000);
}

/* Guards against a read that waits for its time-out, and a connection that is
 * of no use until then, after a single answer was lost. */
START_TEST(test_lost_read)
{
	struct session *s;
	struct upstream *p;

	setup();
	p = connect_and_learn("p", 2);
	s = new_caller("own");
	send_statement(s, STATEMENT_READ, "READ 1", NULL, NULL);
	expect_command(LINK_BEGIN, NULL);
	reply_in_transaction();
	expect_command(LINK_FORWARD, "READ 1");
	lose_answer(sent[nr_replied].link);
	ck_assert_uint_eq(nr_closed, 1);
	ck_assert_uint_eq(nr_answers, 0);
	ck_assert_int_eq(p->failing_us, 0);
	nr_replied++;
	expect_command(LINK_BEGIN, NULL);
	reply_in_transaction();
	expect_command(LINK_FORWARD, "READ 1");
	reply(REFUSAL_NONE, SESSION_IN_TRANSACTION, 9, "ROW x");
	ck_assert_str_eq(last_result, "ROW x");
	teardown();
}
END_TEST

/* Guards against a transaction that is held until its time-out by a lost
 * answer, and against one whose commit was sent being called aborted. */
START_TEST(test_lost_answer_in_transaction)
{
	struct session *s;

	setup();
	connect_and_learn("p", 1);
	s = new_caller("own");
	send_statement(s, STATEMENT_BEGIN, "BEGIN", NULL, NULL);
	nr_answers = 0;
	send_statement(s, STATEMENT_WRITE, "WRITE 1 x", NULL, NULL);
	reply_in_transaction();
	lose_answer(sent[nr_replied].link);
	ck_assert_int_eq(last_answer.refusal, REFUSAL_ABORTED);
	ck_assert_int_eq(last_answer.state, SESSION_FAILED_TRANSACTION);
	ck_assert_uint_eq(nr_closed, 1);
	teardown();

	setup();
	connect_and_learn("p", 1);
	s = new_caller("own");
	send_statement(s, STATEMENT_BEGIN, "BEGIN", NULL, NULL);
	send_statement(s, STATEMENT_WRITE, "WRITE 1 x", NULL, NULL);
	reply_in_transaction();
	reply(REFUSAL_NONE, SESSION_IN_TRANSACTION, 9, "DONE");
	nr_answers = 0;
	send_statement(s, STATEMENT_COMMIT, "COMMIT", NULL, NULL);
	lose_answer(sent[nr_replied].link);
	ck_assert_uint_eq(nr_answers, 0);
	ck_assert_uint_eq(nr_closed, 0);
	teardown();
}
END_TEST

/* Guards against a single write that is repeated because its answer is late. */
START_TEST(test_lost_write)
{
	struct session *s;
	unsigned i;

	setup();
	connect_and_learn("p", 2);
	s = new_caller("own");
	send_statement(s, STATEMENT_WRITE, "WRITE 1 x", NULL, NULL);
	expect_command(LINK_FORWARD, "WRITE 1 x");
	lose_answer(sent[nr_replied].link);
	ck_assert_uint_eq(nr_answers, 0);
	/* A sample that the test leaves unanswered may be given up. */
	ck_assert_ptr_eq(s->link, sent[0].link);
	for (i = 1; i < nr_sent; i++)
		ck_assert_int_ne(sent[i].verb, LINK_FORWARD);
	teardown();
}
END_TEST

/* Guards against giving up a handover whose question waits for a slot of the
 * saturated primary longer than other answers take. */
START_TEST(test_slow_handover)
{
	struct link_command status = { .verb = LINK_STATUS };
	struct upstream *p;

	setup();
	p = connect_and_learn("p", 1);
	link_send(p->links->pdata[0], LINK_PURPOSE_HANDOVER, &status);
	lose_answer(p->links->pdata[0]);
	ck_assert_uint_eq(nr_closed, 0);
	teardown();
}
END_TEST

/* Guards against reporting an upstream as failing because one connection broke
 * while others work, and against not reporting it when all broke. */
START_TEST(test_broken_connection)
{
	struct upstream *p;

	setup();
	p = connect_and_learn("p", 2);
	link_closed(p->links->pdata[0], REFUSAL_NONE);
	ck_assert_int_eq(p->failing_us, 0);
	link_closed(p->links->pdata[0], REFUSAL_NONE);
	ck_assert_int_ne(p->failing_us, 0);
	teardown();
}
END_TEST

/* Guards against an upstream that counts as silent because one connection lost
 * an answer: another connection is asked first. */
START_TEST(test_silence_is_probed)
{
	struct upstream *p;
	int64_t now_us;

	setup();
	p = connect_and_learn("p", 2);
	send_statement(new_caller("own"), STATEMENT_WRITE, "WRITE 1 x", NULL,
		       NULL);
	p->last_answer_us = sent[0].link->sent_us;
	now_us = clock_now_us();
	upstreams_tick(entry, now_us + ENTRY_SILENCE_TIMEOUT_US / 2);
	ck_assert_uint_eq(nr_sent, 2);
	ck_assert_int_eq(sent[1].verb, LINK_BEGIN);
	ck_assert_ptr_ne(sent[1].link, sent[0].link);
	teardown();
}
END_TEST

/*
 * Guards against callers that wait at a daemon which a partition separates from
 * the upstreams and from control: they are refused at once, and their sessions
 * are closed so that they reach another daemon.
 */
START_TEST(test_cut_off)
{
	struct session *s;
	struct upstream *p, *r;

	setup();
	p = g_hash_table_lookup(entry->known_upstreams, "p");
	r = g_hash_table_lookup(entry->known_upstreams, "r");
	upstream_note_failure(p, clock_now_us());
	upstream_note_failure(r, clock_now_us());
	s = new_caller("own");
	send_statement(s, STATEMENT_WRITE, "WRITE 1 x", NULL, NULL);
	ck_assert_uint_eq(nr_answers, 0);
	entry->leader_last_reachable_us -= 4 * ENTRY_REPORT_INTERVAL_US;
	service_dispatch(s->service);
	ck_assert_uint_eq(nr_answers, 1);
	ck_assert_int_eq(last_answer.refusal, REFUSAL_BUSY);
	ck_assert_uint_eq(nr_ended, 0);
	advance(1);
	ck_assert_uint_eq(nr_ended, 1);
	teardown();
}
END_TEST

/* Guards against rejecting callers that connect shortly before the daemon
 * receives its routes. */
START_TEST(test_early_caller)
{
	struct entry_table *table;

	setup();
	table = entry->table;
	entry->table = NULL;
	new_caller("own");
	new_caller("nowhere");
	sessions_tick(entry, clock_now_us() + 300000);
	ck_assert_uint_eq(nr_answers, 0);
	ck_assert_uint_eq(nr_started, 0);
	entry->table = table;
	sessions_tick(entry, clock_now_us() + 400000);
	ck_assert_uint_eq(nr_started, 1);
	ck_assert_uint_eq(nr_answers, 1);
	ck_assert_int_eq(last_answer.refusal, REFUSAL_NO_DATABASE);
	entry->table = NULL;
	new_caller("own");
	sessions_tick(entry, clock_now_us() + 1600000);
	ck_assert_int_eq(last_answer.refusal, REFUSAL_BUSY);
	entry->table = table;
	teardown();
}
END_TEST

/* Guards against reads that find no upstream, since those that were lost without
 * a word take all places among which one is chosen. */
START_TEST(test_many_lost_upstreams)
{
	struct session *s;
	char id[16];
	unsigned i;

	entry = start_entry(&timers, 39261);
	for (i = 0; i < 40; i++) {
		struct upstream *lost;

		g_snprintf(id, sizeof(id), "lost-%u", i);
		add_sighting(id, false, false, 1);
		lost = g_hash_table_lookup(entry->known_upstreams, id);
		lost->failing_us = clock_now_us();
		lost->connect_after_us = clock_now_us() + 60000000;
	}
	add_sighting("p", true, false, 1);
	/* With a sample of the primary any upstream may run the read. */
	link_request_sample(
		link_open(g_hash_table_lookup(entry->known_upstreams, "p")));
	complete_logins();
	reply_in_transaction();
	expect_command(LINK_ROLLBACK, NULL);
	reply_done();
	s = new_caller("bounded");
	send_statement(s, STATEMENT_READ, "READ 1", NULL, NULL);
	ck_assert(!s->needs_primary);
	expect_command(LINK_FORWARD, "READ 1");
	teardown();
}
END_TEST

/* Guards against a drain that interrupts statements or never closes callers. */
START_TEST(test_drain)
{
	struct session *busy, *idle;

	setup();
	busy = new_caller("own");
	idle = new_caller("own");
	send_statement(busy, STATEMENT_WRITE, "WRITE 1 x", NULL, NULL);
	complete_logins();
	ck_assert(entry_ready(entry));
	entry_drain(entry);
	ck_assert(!entry_ready(entry));
	ck_assert(entry_listens(entry));
	sessions_tick(entry, clock_now_us() + 1000000);
	ck_assert_uint_eq(nr_ended, 0);
	sessions_tick(entry, clock_now_us() + 2500000);
	ck_assert_uint_eq(nr_ended, 1);
	ck_assert(idle->closing);
	reply_done();
	sessions_tick(entry, clock_now_us() + 4000000);
	ck_assert_uint_eq(nr_ended, 2);
	teardown();
}
END_TEST

/* Guards against a replica read without a required position, after the primary
 * answered a sample without one ("READY T -"). */
START_TEST(test_sample_without_position)
{
	struct statement_answer without = { .state = SESSION_IN_TRANSACTION };
	struct session *s;
	struct upstream *p;
	struct link *link;

	setup();
	p = g_hash_table_lookup(entry->known_upstreams, "p");
	link = link_open(p);
	complete_logins();
	link_request_sample(link);
	expect_command(LINK_BEGIN, NULL);
	nr_replied++;
	link_replied(link, &without);
	expect_command(LINK_ROLLBACK, NULL);
	reply_done();
	p->window.latency_us = 10000000;
	s = new_caller("bounded");
	send_statement(s, STATEMENT_READ, "READ 1", NULL, NULL);
	complete_logins();
	ck_assert(s->needs_primary);
	expect_command(LINK_BEGIN, NULL);
	ck_assert_ptr_eq(sent[nr_replied].link->upstream, p);
	teardown();
}
END_TEST

/* Guards against promoting an empty log: an upstream that started again under
 * its id is reported with the position that it had before. */
START_TEST(test_restarted_without_log)
{
	struct sighting again = { .id = "r",
				  .service = "s",
				  .address = "r",
				  .availability_zone = "z",
				  .born_ms = 2,
				  .sequence = 1,
				  .heard_us = clock_now_us() };
	struct upstream *r;
	struct link *link;

	setup();
	r = g_hash_table_lookup(entry->known_upstreams, "r");
	link_open(r);
	complete_logins();
	ck_assert_uint_eq(r->log_position.lsn, 100);
	add_sighting("r", false, false, 2);
	ck_assert_uint_eq(r->log_position.lsn, 100);
	link_closed(r->links->pdata[0], REFUSAL_NONE);
	sightings_merge(&entry->sightings, &again);
	upstreams_update(entry);
	link = link_open(r);
	link_opened(link, (struct position){ 0 });
	ck_assert_uint_eq(r->log_position.term, 0);
	link_opened(link, (struct position){ 1, 7 });
	ck_assert_uint_eq(r->log_position.lsn, 7);
	teardown();
}
END_TEST

TEST_MAIN("entry", test_primary_read, test_replaced_primary, test_own_commit,
	  test_other_replica, test_balanced_other_replica, test_known_lag,
	  test_all_behind, test_refused_begin, test_bounded_needs_sample,
	  test_old_sightings, test_leader_unreachable, test_lost_answers,
	  test_lost_transaction, test_values_are_reset, test_prepared,
	  test_caller_leaves, test_time_outs, test_one_log_in, test_leaving,
	  test_route_removed, test_early_caller, test_handover,
	  test_handover_before_first_commit, test_two_handovers,
	  test_overloaded_handover, test_found_primary, test_outdated_handover,
	  test_silent_primary, test_many_lost_upstreams, test_drain,
	  test_lost_read, test_lost_answer_in_transaction, test_lost_write,
	  test_slow_handover, test_broken_connection, test_silence_is_probed,
	  test_cut_off, test_sample_without_position, test_expired_handover,
	  test_restarted_without_log)
