#include "entry_fixture.h"

static struct timer_service timers;
static struct entry *entry;

static void see(const char *id, bool primary, bool leaving, uint64_t sequence)
{
	see_at(entry, id, primary, leaving, sequence);
}

static struct session *caller(const char *database)
{
	return caller_at(entry, database);
}

static void open_all(void)
{
	open_all_at(entry);
}

static void start(void)
{
	struct entry_config config = { .name = "e",
				       .availability_zone = "z",
				       .ip = 0x7f000001,
				       .port = 39261,
				       .seeds = g_array_new(FALSE, FALSE, 4),
				       .grace_us = 6000000,
				       .upstream_ops = &upstream_ops };

	log_end = 100;
	nr_sent = nr_done = opens = closes = answers = ends = starts = 0;
	memset(&got, 0, sizeof(got));
	timer_service_init(&timers);
	entry = entry_new(ev_default_loop(0), &timers, &config, NULL);
	ck_assert_ptr_nonnull(entry);
	g_array_free(config.seeds, TRUE);
	entry->table = make_table(1);
	entry->fresh = true;
	see("p", true, false, 1);
	see("r", false, false, 1);
}

static void finish(void)
{
	while (entry->sessions.head)
		session_closed(entry->sessions.head->data);
	entry_free(entry);
	timer_service_finish(&timers);
}

static void advance(int64_t us)
{
	timer_service_advance(&timers, clock_now_us() + us);
}

/* Guards against a read on a primary route that a replaced primary answers:
 * it runs inside a transaction that only the present primary grants. */
START_TEST(test_primary_read)
{
	struct session *s;

	start();
	s = caller("primary");
	say(s, STATEMENT_READ, "READ 1", NULL, NULL);
	ck_assert_uint_eq(opens, 1);
	open_all();
	expect(LINK_BEGIN, NULL);
	ck_assert_str_eq(sent[0].link->host->id, "p");
	ck_assert_uint_eq(nr_sent, 1);
	in_tx();
	expect(LINK_FORWARD, "READ 1");
	reply(REFUSAL_NONE, SESSION_IN_TRANSACTION, 9, "ROW x");
	ck_assert_str_eq(got_result, "ROW x");
	ck_assert_int_eq(got.state, SESSION_IDLE);
	expect(LINK_ROLLBACK, NULL);
	done();
	finish();
}
END_TEST

/* Guards against a read that a replaced primary runs after it refused the
 * transaction. */
START_TEST(test_replaced_primary)
{
	struct session *s;

	start();
	s = caller("primary");
	say(s, STATEMENT_READ, "READ 1", NULL, NULL);
	open_all();
	reply(REFUSAL_NOT_PRIMARY, SESSION_IDLE, 9, NULL);
	ck_assert_uint_eq(nr_sent, 1);
	ck_assert_uint_eq(answers, 0);
	see("r", true, false, 2);
	service_dispatch(s->service);
	open_all();
	expect(LINK_BEGIN, NULL);
	ck_assert_str_eq(sent[1].link->host->id, "r");
	finish();
}
END_TEST

/* Guards against a replica that answers without the session's own commit. */
START_TEST(test_own_commit)
{
	struct session *s;

	start();
	s = caller("own");
	say(s, STATEMENT_WRITE, "WRITE 1 x", NULL, NULL);
	open_all();
	expect(LINK_FORWARD, "WRITE 1 x");
	ck_assert_str_eq(sent[0].link->host->id, "p");
	reply(REFUSAL_NONE, SESSION_IDLE, 41, "DONE");
	ck_assert_uint_eq(s->own.position.lsn, 41);
	((struct host *)g_hash_table_lookup(entry->hosts, "p"))
		->window.latency_us = 10000000;
	say(s, STATEMENT_READ, "READ 1", NULL, NULL);
	open_all();
	expect(LINK_FORWARD, "READ 1");
	ck_assert_str_eq(sent[1].link->host->id, "r");
	ck_assert_uint_eq(sent[1].after.lsn, 41);
	/* It lacks the commit: the primary is asked for it. */
	reply(REFUSAL_BEHIND, SESSION_IDLE, 40, NULL);
	expect(LINK_FORWARD, "READ 1");
	ck_assert_str_eq(sent[2].link->host->id, "p");
	ck_assert_uint_eq(sent[2].after.lsn, 41);
	/* It was rolled back: the primary proves that it leads and answers. */
	reply(REFUSAL_BEHIND, SESSION_IDLE, 40, NULL);
	expect(LINK_BEGIN, NULL);
	ck_assert_str_eq(sent[3].link->host->id, "p");
	ck_assert_uint_eq(answers, 1);
	finish();
}
END_TEST

/* Guards against a read that is refused because one replica of several lags
 * while the primary is away. */
START_TEST(test_other_replica)
{
	struct session *s;
	struct link *first;

	start();
	see("q", false, false, 1);
	read_samples_add(&service_get(entry, "s")->samples, clock_now_us(),
			 (struct position){ 1, 9 });
	((struct host *)g_hash_table_lookup(entry->hosts, "p"))->gone = true;
	s = caller("bounded");
	say(s, STATEMENT_READ, "READ 1", NULL, NULL);
	open_all();
	expect(LINK_FORWARD, "READ 1");
	first = sent[0].link;
	reply(REFUSAL_BEHIND, SESSION_IDLE, 3, NULL);
	open_all();
	expect(LINK_FORWARD, "READ 1");
	ck_assert_ptr_ne(sent[1].link->host, first->host);
	ck_assert_str_ne(sent[1].link->host->id, "p");
	finish();
}
END_TEST

/* Guards against reads that go to a replica known to lag, only to be refused
 * there while they wait. */
START_TEST(test_known_lag)
{
	struct session *s;
	struct host *r;

	start();
	read_samples_add(&service_get(entry, "s")->samples,
			 clock_now_us() - 100000, (struct position){ 1, 9 });
	r = g_hash_table_lookup(entry->hosts, "r");
	((struct host *)g_hash_table_lookup(entry->hosts, "p"))
		->window.latency_us = 10000000;
	log_end = 3;
	s = caller("bounded");
	say(s, STATEMENT_READ, "READ 1", NULL, NULL);
	open_all();
	ck_assert_int_eq(r->lag_us, READ_LAG_UNKNOWN);
	service_dispatch(s->service);
	open_all();
	expect(LINK_FORWARD, "READ 1");
	ck_assert_str_eq(sent[0].link->host->id, "p");
	finish();
}
END_TEST

/* Guards against a read that goes to and fro between replicas that lack its
 * position until its attempts are used up, some milliseconds later. */
START_TEST(test_all_behind)
{
	struct session *s;
	unsigned i;

	start();
	see("q", false, false, 1);
	read_samples_add(&service_get(entry, "s")->samples, clock_now_us(),
			 (struct position){ 1, 9 });
	((struct host *)g_hash_table_lookup(entry->hosts, "p"))
		->connect_after_us = INT64_MAX;
	s = caller("bounded");
	say(s, STATEMENT_READ, "READ 1", NULL, NULL);
	for (i = 0; i < 20 && !answers; i++) {
		open_all();
		service_dispatch(s->service);
		if (nr_done < nr_sent)
			reply(REFUSAL_BEHIND, SESSION_IDLE, 9, NULL);
	}
	ck_assert_uint_eq(answers, 0);
	ck_assert_uint_eq(nr_sent, 2);
	/* The primary is back. */
	((struct host *)g_hash_table_lookup(entry->hosts, "p"))
		->connect_after_us = 0;
	service_dispatch(s->service);
	open_all();
	expect(LINK_FORWARD, "READ 1");
	ck_assert_str_eq(sent[nr_done].link->host->id, "p");
	finish();
}
END_TEST

/* Guards against a statement that is sent to the next upstream before that has
 * begun the transaction: the answer of the first upstream, which refused to
 * begin it, counted for the second, and the statement ran outside. */
START_TEST(test_refused_begin)
{
	struct session *s;

	start();
	see("q", false, false, 1);
	read_samples_add(&service_get(entry, "s")->samples, clock_now_us(),
			 (struct position){ 1, 9 });
	((struct host *)g_hash_table_lookup(entry->hosts, "p"))
		->window.latency_us = 10000000;
	s = caller("bounded");
	say(s, STATEMENT_BEGIN_READ, "BEGIN READ", NULL, NULL);
	/* Connections are open everywhere, so nothing is waited for. */
	say(s, STATEMENT_READ, "READ 1", NULL, NULL);
	link_open(g_hash_table_lookup(entry->hosts, "p"));
	link_open(g_hash_table_lookup(entry->hosts, "q"));
	link_open(g_hash_table_lookup(entry->hosts, "r"));
	open_all();
	expect(LINK_BEGIN_READ, NULL);
	reply(REFUSAL_BEHIND, SESSION_IDLE, 3, NULL);
	expect(LINK_BEGIN_READ, NULL);
	ck_assert_uint_eq(nr_sent, 2);
	in_tx();
	expect(LINK_FORWARD, "READ 1");
	ck_assert_ptr_eq(sent[2].link, sent[1].link);
	finish();
}
END_TEST

/* Guards against a bounded read without any proof of its age. */
START_TEST(test_bounded_needs_sample)
{
	struct session *s;

	start();
	s = caller("bounded");
	say(s, STATEMENT_READ, "READ 1", NULL, NULL);
	open_all();
	expect(LINK_BEGIN, NULL);
	ck_assert_str_eq(sent[0].link->host->id, "p");
	in_tx();
	reply(REFUSAL_NONE, SESSION_IN_TRANSACTION, 9, "ROW x");
	done();
	/* The transaction was itself a sample. */
	say(s, STATEMENT_READ, "READ 2", NULL, NULL);
	open_all();
	expect(LINK_FORWARD, "READ 2");
	ck_assert_uint_eq(sent[nr_done].after.lsn, 9);
	finish();
}
END_TEST

/*
 * Guards against a daemon that forgets upstreams of which there is no news:
 * control tells it of changes only, and hears them every heartbeat itself.
 */
START_TEST(test_no_news_for_long)
{
	struct session *s;

	start();
	advance(2 * SIGHTINGS_KEEP_US);
	s = caller("primary");
	say(s, STATEMENT_WRITE, "WRITE 1 x", NULL, NULL);
	open_all();
	expect(LINK_FORWARD, "WRITE 1 x");
	ck_assert_str_eq(sent[0].link->host->id, "p");
	finish();
}
END_TEST

/*
 * Guards against a daemon that never asks another VM for the roster when it
 * does not hear the leader, or asks all of them all the time.
 */
START_TEST(test_misses_leader)
{
	struct control_link link = { .ip = 7, .fresh = true };
	int64_t now_us = clock_now_us();

	start();
	g_ptr_array_add(entry->control, &link);
	entry->leader_ip = 7;
	ck_assert(!watch_misses_leader(entry, now_us + 10000000));
	link.fresh = false;
	ck_assert(!watch_misses_leader(entry, now_us + 10000000));
	ck_assert(!watch_misses_leader(entry,
				       now_us + 10000000 + 2 * ENTRY_WATCH_US));
	ck_assert(watch_misses_leader(entry,
				      now_us + 10000001 + 2 * ENTRY_WATCH_US));
	link.fresh = true;
	entry->leader_ip = 8;
	ck_assert(watch_misses_leader(entry,
				      now_us + 10000001 + 2 * ENTRY_WATCH_US));
	g_ptr_array_remove(entry->control, &link);
	finish();
}
END_TEST

/* Guards against a commit or single write that is repeated, or called not
 * run, when its answer was lost. */
START_TEST(test_lost_answers)
{
	struct session *s;

	start();
	s = caller("own");
	say(s, STATEMENT_WRITE, "WRITE 1 x", NULL, NULL);
	open_all();
	link_closed(sent[0].link, REFUSAL_NONE);
	ck_assert_int_eq(got.refusal, REFUSAL_IN_DOUBT);
	ck_assert_uint_eq(nr_sent, 1);

	say(s, STATEMENT_BEGIN, "BEGIN", NULL, NULL);
	say(s, STATEMENT_WRITE, "WRITE 2 x", NULL, NULL);
	advance(500000);
	finish();

	start();
	s = caller("own");
	say(s, STATEMENT_BEGIN, "BEGIN", NULL, NULL);
	say(s, STATEMENT_WRITE, "WRITE 2 x", NULL, NULL);
	open_all();
	in_tx();
	reply(REFUSAL_NONE, SESSION_IN_TRANSACTION, 9, "DONE");
	say(s, STATEMENT_COMMIT, "COMMIT", NULL, NULL);
	expect(LINK_FORWARD, "COMMIT");
	link_closed(sent[nr_done].link, REFUSAL_NONE);
	ck_assert_int_eq(got.refusal, REFUSAL_IN_DOUBT);
	ck_assert_int_eq(got.state, SESSION_IDLE);
	finish();
}
END_TEST

/* Guards against the rest of a transaction that runs elsewhere after its
 * connection was lost, and against a commit that is then called done. */
START_TEST(test_lost_transaction)
{
	struct session *s;

	start();
	s = caller("own");
	say(s, STATEMENT_BEGIN, "BEGIN", NULL, NULL);
	say(s, STATEMENT_WRITE, "WRITE 2 x", NULL, NULL);
	open_all();
	in_tx();
	reply(REFUSAL_NONE, SESSION_IN_TRANSACTION, 9, "DONE");
	link_closed(sent[0].link, REFUSAL_NONE);
	say(s, STATEMENT_WRITE, "WRITE 3 x", NULL, NULL);
	ck_assert_int_eq(got.refusal, REFUSAL_MALFORMED);
	ck_assert_int_eq(got.state, SESSION_FAILED_TRANSACTION);
	say(s, STATEMENT_COMMIT, "COMMIT", NULL, NULL);
	ck_assert_int_eq(got.refusal, REFUSAL_ABORTED);
	ck_assert_int_eq(got.state, SESSION_IDLE);
	ck_assert_uint_eq(nr_sent, 2);
	finish();
}
END_TEST

/* Guards against values or statements of one session that another sees. */
START_TEST(test_values_are_cleaned)
{
	struct session *a, *b;

	start();
	a = caller("own");
	b = caller("own");
	say(a, STATEMENT_SET, "SET zone east", "zone", "east");
	ck_assert_uint_eq(nr_sent, 0);
	say(a, STATEMENT_WRITE, "WRITE 1 x", NULL, NULL);
	open_all();
	expect(LINK_SET, "zone");
	ck_assert_uint_eq(nr_sent, 1);
	done();
	expect(LINK_FORWARD, "WRITE 1 x");
	done();
	/* The same session again: nothing to set. */
	say(a, STATEMENT_WRITE, "WRITE 2 x", NULL, NULL);
	expect(LINK_FORWARD, "WRITE 2 x");
	done();
	say(b, STATEMENT_WRITE, "WRITE 3 x", NULL, NULL);
	expect(LINK_RESET, NULL);
	done();
	expect(LINK_FORWARD, "WRITE 3 x");
	done();
	finish();
}
END_TEST

/* Guards against two sessions whose statements of one name mix. */
START_TEST(test_prepared)
{
	struct session *a, *b;
	char first[64];

	start();
	a = caller("own");
	b = caller("own");
	say(a, STATEMENT_PREPARE, "PREPARE s WRITE q1", "s", "q1");
	say(b, STATEMENT_PREPARE, "PREPARE s WRITE q2", "s", "q2");
	say(a, STATEMENT_EXECUTE, "EXEC s 1 x", "s", "1 x");
	open_all();
	expect(LINK_PREPARE, NULL);
	strcpy(first, sent[nr_done].text);
	done();
	expect(LINK_FORWARD, "EXEC s 1 x");
	done();
	say(b, STATEMENT_EXECUTE, "EXEC s 1 y", "s", "1 y");
	expect(LINK_PREPARE, NULL);
	ck_assert_str_ne(first, sent[nr_done].text);
	done();
	done();
	say(b, STATEMENT_DEALLOCATE, "DEALLOC s", "s", NULL);
	say(b, STATEMENT_EXECUTE, "EXEC s 1 y", "s", "1 y");
	ck_assert_int_eq(got.refusal, REFUSAL_NO_STATEMENT);
	/* It was forgotten there: it is prepared again, not failed. */
	say(a, STATEMENT_EXECUTE, "EXEC s 1 z", "s", "1 z");
	expect(LINK_FORWARD, "EXEC s 1 z");
	reply(REFUSAL_NO_STATEMENT, SESSION_IDLE, 9, NULL);
	expect(LINK_PREPARE, first);
	finish();
}
END_TEST

/* Guards against a connection that goes to the next caller while the last
 * one's transaction is open there. */
START_TEST(test_caller_leaves)
{
	struct session *a, *b;

	start();
	a = caller("own");
	b = caller("own");
	say(a, STATEMENT_BEGIN, "BEGIN", NULL, NULL);
	say(a, STATEMENT_WRITE, "WRITE 1 x", NULL, NULL);
	open_all();
	in_tx();
	session_closed(a);
	/* The write of the first caller is still out. */
	say(b, STATEMENT_WRITE, "WRITE 2 x", NULL, NULL);
	expect(LINK_FORWARD, "WRITE 1 x");
	in_tx();
	expect(LINK_ROLLBACK, NULL);
	if (nr_sent > nr_done + 1)
		ck_assert(sent[nr_done + 1].link != sent[nr_done].link);
	done();
	service_dispatch(b->service);
	open_all();
	expect(LINK_FORWARD, "WRITE 2 x");
	finish();
}
END_TEST

/* Guards against a caller that is told to have been refused although its
 * statement is out, and against one that waits beyond its time. */
START_TEST(test_time_outs)
{
	struct session *s;

	start();
	s = caller("own");
	say(s, STATEMENT_WRITE, "WRITE 1 x", NULL, NULL);
	advance(500000);
	ck_assert_int_eq(got.refusal, REFUSAL_BUSY);
	say(s, STATEMENT_WRITE, "WRITE 2 x", NULL, NULL);
	open_all();
	ck_assert_uint_eq(nr_sent, 1);
	advance(900000);
	ck_assert_int_eq(got.refusal, REFUSAL_TIMEOUT);
	/* Its late answer belongs to nobody. */
	answers = 0;
	reply(REFUSAL_NONE, SESSION_IDLE, 9, "DONE");
	ck_assert_uint_eq(answers, 0);
	finish();
}
END_TEST

/* Guards against log-ins that keep the slots of an upstream from statements:
 * many callers, no connection yet. */
START_TEST(test_one_log_in)
{
	struct session *s[5];
	struct host *host;
	unsigned i;

	start();
	opens = 0;
	for (i = 0; i < 5; i++) {
		s[i] = caller("own");
		say(s[i], STATEMENT_WRITE, "WRITE 1 x", NULL, NULL);
	}
	ck_assert_uint_eq(opens, 1);
	host = g_hash_table_lookup(entry->hosts, "p");
	link_opened(host->links->pdata[0], (struct position){ 1, log_end });
	/* One statement runs while the next connection is opened. */
	ck_assert_uint_eq(nr_sent, 1);
	ck_assert_uint_eq(opens, 2);
	for (i = 0; i < 5; i++)
		done();
	ck_assert_uint_eq(answers, 5);
	finish();
}
END_TEST

/* Guards against new work at an upstream that leaves. */
START_TEST(test_leaving)
{
	struct session *s;

	start();
	s = caller("own");
	say(s, STATEMENT_BEGIN, "BEGIN", NULL, NULL);
	say(s, STATEMENT_WRITE, "WRITE 1 x", NULL, NULL);
	open_all();
	in_tx();
	reply(REFUSAL_NONE, SESSION_IN_TRANSACTION, 9, "DONE");
	see("p", true, true, 2);
	/* An open transaction may end there. */
	say(s, STATEMENT_COMMIT, "COMMIT", NULL, NULL);
	expect(LINK_FORWARD, "COMMIT");
	done();
	say(s, STATEMENT_WRITE, "WRITE 2 x", NULL, NULL);
	ck_assert_uint_eq(nr_sent, nr_done);
	see("r", true, false, 2);
	service_dispatch(s->service);
	open_all();
	expect(LINK_FORWARD, "WRITE 2 x");
	ck_assert_str_eq(sent[nr_done].link->host->id, "r");
	finish();
}
END_TEST

/* Guards against a transaction that changes its route, and against the next
 * one that does not. */
START_TEST(test_route_removed)
{
	struct session *s;

	start();
	s = caller("own");
	say(s, STATEMENT_BEGIN, "BEGIN", NULL, NULL);
	entry_table_unref(entry->table);
	entry->table = entry_table_new(2);
	say(s, STATEMENT_WRITE, "WRITE 1 x", NULL, NULL);
	open_all();
	in_tx();
	reply(REFUSAL_NONE, SESSION_IN_TRANSACTION, 9, "DONE");
	ck_assert_int_eq(got.refusal, REFUSAL_NONE);
	say(s, STATEMENT_ROLLBACK, "ROLLBACK", NULL, NULL);
	ck_assert_int_eq(got.state, SESSION_IDLE);
	say(s, STATEMENT_READ, "READ 1", NULL, NULL);
	ck_assert_int_eq(got.refusal, REFUSAL_NO_DATABASE);
	finish();
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

/* Guards against a successor that leads without what the primary acknowledged
 * last, and against an order that is carried out twice or for another. */
START_TEST(test_handover)
{
	start();
	link_open(g_hash_table_lookup(entry->hosts, "p"));
	link_open(g_hash_table_lookup(entry->hosts, "r"));
	open_all();
	order_handover(7, "other");
	ck_assert_uint_eq(nr_sent, 0);
	order_handover(7, "e");
	order_handover(7, "e");
	ck_assert_uint_eq(nr_sent, 1);
	expect(LINK_DEMOTE, NULL);
	ck_assert_str_eq(sent[0].link->host->id, "p");
	ck_assert_uint_eq(sent[0].after.term, 2);
	status_end = (struct position){ 1, 50 };
	done();
	expect(LINK_STATUS, NULL);
	ck_assert_str_eq(sent[1].link->host->id, "r");
	status_end.lsn = 49;
	done();
	ck_assert_int_eq(entry->handover.phase, HANDOVER_FOLLOWING);
	advance(30000);
	expect(LINK_STATUS, NULL);
	status_end.lsn = 50;
	done();
	ck_assert_int_eq(entry->handover.phase, HANDOVER_DONE);
	ck_assert(entry->handover.complete);
	/* One that cannot be completed says so. */
	order_handover(8, "e");
	done();
	handover_tick(entry, clock_now_us() + 800000);
	ck_assert_int_eq(entry->handover.phase, HANDOVER_DONE);
	ck_assert(!entry->handover.complete);
	finish();
}
END_TEST

/* Guards against a daemon that control cannot reach and that refuses all
 * writes until it hears of the new primary. */
START_TEST(test_found_primary)
{
	struct session *s;
	int64_t now_us;

	start();
	link_open(g_hash_table_lookup(entry->hosts, "p"));
	link_open(g_hash_table_lookup(entry->hosts, "r"));
	open_all();
	s = caller("primary");
	say(s, STATEMENT_WRITE, "WRITE 1 x", NULL, NULL);
	expect(LINK_FORWARD, "WRITE 1 x");
	ck_assert_str_eq(sent[0].link->host->id, "p");
	reply(REFUSAL_NOT_PRIMARY, SESSION_IDLE, 9, NULL);
	now_us = clock_now_us();
	/* No primary is known: each upstream is asked. */
	hosts_tick(entry, now_us);
	ck_assert_uint_eq(nr_sent, 3);
	reply(REFUSAL_NOT_PRIMARY, SESSION_IDLE, 9, NULL);
	in_tx();
	expect(LINK_ROLLBACK, NULL);
	ck_assert_str_eq(sent[3].link->host->id, "r");
	done();
	expect(LINK_FORWARD, "WRITE 1 x");
	ck_assert_str_eq(sent[nr_done].link->host->id, "r");
	done();
	ck_assert_uint_eq(answers, 1);
	ck_assert_int_eq(got.refusal, REFUSAL_NONE);
	/* What was found is not asked for again. */
	hosts_tick(entry, now_us + 150000);
	ck_assert_uint_eq(nr_sent, nr_done);
	finish();
}
END_TEST

/* Guards against a handover that finds no free connection until its time is
 * over, since callers that wait take each one: the primary is crowded. */
START_TEST(test_crowded_handover)
{
	struct session *s[3];
	unsigned i;

	start();
	link_open(g_hash_table_lookup(entry->hosts, "p"));
	open_all();
	for (i = 0; i < 3; i++) {
		s[i] = caller("own");
		say(s[i], STATEMENT_WRITE, "WRITE 1 x", NULL, NULL);
	}
	order_handover(7, "e");
	ck_assert_uint_eq(nr_sent, 1);
	expect(LINK_FORWARD, "WRITE 1 x");
	done();
	expect(LINK_DEMOTE, NULL);
	finish();
}
END_TEST

/* Guards against a dark primary that nobody reports, since the writes and
 * transactions that it runs wait for its answer. */
START_TEST(test_silent_to_write)
{
	struct host *p;
	struct session *s;
	int64_t now_us;

	start();
	p = g_hash_table_lookup(entry->hosts, "p");
	s = caller("own");
	say(s, STATEMENT_WRITE, "WRITE 1 x", NULL, NULL);
	open_all();
	ck_assert_uint_eq(nr_sent, 1);
	/* The clock may not have moved since the answer before it. */
	p->answered_us = sent[0].link->sent_us;
	now_us = clock_now_us();
	hosts_tick(entry, now_us + ENTRY_SILENT_US / 2);
	ck_assert_int_eq(p->failing_us, 0);
	hosts_tick(entry, now_us + ENTRY_SILENT_US + 10000);
	ck_assert_int_ne(p->failing_us, 0);
	/* Nobody may run it elsewhere. */
	ck_assert_uint_eq(answers, 0);
	ck_assert_uint_eq(nr_sent, 1);
	ck_assert_uint_eq(p->failures, 1);
	hosts_tick(entry, now_us + ENTRY_SILENT_US + 20000);
	ck_assert_uint_eq(p->failures, 1);
	done();
	ck_assert_int_eq(p->failing_us, 0);
	ck_assert_uint_eq(answers, 1);
	finish();
}
END_TEST

/* Guards against callers that are turned away by a daemon that would have
 * served them as soon as it had heard of its routes. */
START_TEST(test_early_caller)
{
	struct entry_table *table;

	start();
	table = entry->table;
	entry->table = NULL;
	caller("own");
	caller("nowhere");
	sessions_tick(entry, clock_now_us() + 300000);
	ck_assert_uint_eq(answers, 0);
	ck_assert_uint_eq(starts, 0);
	entry->table = table;
	sessions_tick(entry, clock_now_us() + 400000);
	ck_assert_uint_eq(starts, 1);
	ck_assert_uint_eq(answers, 1);
	ck_assert_int_eq(got.refusal, REFUSAL_NO_DATABASE);
	entry->table = NULL;
	caller("own");
	sessions_tick(entry, clock_now_us() + 1600000);
	ck_assert_int_eq(got.refusal, REFUSAL_BUSY);
	entry->table = table;
	finish();
}
END_TEST

/* Guards against a stop that cuts statements or keeps callers for ever. */
START_TEST(test_drain)
{
	struct session *busy, *resting;

	start();
	busy = caller("own");
	resting = caller("own");
	say(busy, STATEMENT_WRITE, "WRITE 1 x", NULL, NULL);
	open_all();
	ck_assert(entry_ready(entry));
	entry_drain(entry);
	ck_assert(!entry_ready(entry));
	ck_assert(entry_listens(entry));
	sessions_tick(entry, clock_now_us() + 1000000);
	ck_assert_uint_eq(ends, 0);
	sessions_tick(entry, clock_now_us() + 2500000);
	ck_assert_uint_eq(ends, 1);
	ck_assert(resting->closing);
	done();
	sessions_tick(entry, clock_now_us() + 4000000);
	ck_assert_uint_eq(ends, 2);
	finish();
}
END_TEST

TEST_MAIN("entry", test_primary_read, test_replaced_primary, test_own_commit,
	  test_other_replica, test_known_lag, test_all_behind,
	  test_refused_begin, test_bounded_needs_sample, test_no_news_for_long,
	  test_misses_leader, test_lost_answers, test_lost_transaction,
	  test_values_are_cleaned, test_prepared, test_caller_leaves,
	  test_time_outs, test_one_log_in, test_leaving, test_route_removed,
	  test_early_caller, test_handover, test_crowded_handover,
	  test_found_primary, test_silent_to_write, test_drain)
