#include "entry_fixture.h"
#include "link_eviction.h"

static struct timer_service timers;
static struct entry *entry;

/* A table whose callers need a key: "ka" and "ka2" of "a", "kb" of "b". */
static struct entry_table *make_account_table(uint64_t version,
					      double rate_per_s)
{
	struct entry_table *table = make_table(version);
	struct entry_account a = { .name = g_strdup("a"),
				   .rate_per_s = rate_per_s };
	struct entry_account b = { .name = g_strdup("b") };
	struct entry_account *added;

	table->has_accounts = true;
	added = entry_table_add_account(table, &a);
	ck_assert(entry_table_add_key(table, "ka", added));
	ck_assert(entry_table_add_key(table, "ka2", added));
	added = entry_table_add_account(table, &b);
	ck_assert(entry_table_add_key(table, "kb", added));
	return table;
}

static void put_in_force(struct entry_table *table)
{
	entry_table_unref(entry->table);
	entry->table = table;
	accounts_revoke(entry);
	quotas_update(entry);
}

static void setup(double rate_per_s)
{
	entry = start_entry(&timers, 39263);
	add_sighting_to(entry, "p", true, false, 1);
	put_in_force(make_account_table(2, rate_per_s));
}

static void teardown(void)
{
	stop_entry(entry, &timers);
}

static struct session *start_session(const char *database, const char *key)
{
	struct session *s = entry_session_new(entry, &caller_ops, NULL);

	session_start(s, database, key);
	return s;
}

static void advance(int64_t us)
{
	timer_service_advance(&timers, clock_now_us() + us);
}

/* Guards against serving a caller whose key no account holds. */
START_TEST(test_unknown_key)
{
	setup(0);
	start_session("primary", "kx");
	ck_assert_int_eq(last_answer.refusal, REFUSAL_UNKNOWN_KEY);
	start_session("primary", "");
	ck_assert_uint_eq(nr_answers, 2);
	ck_assert_uint_eq(nr_started, 0);
	start_session("primary", "kb");
	ck_assert_uint_eq(nr_started, 1);
	teardown();
}
END_TEST

/* Guards against asking for keys where the route or the whole configuration
 * does without accounts. */
START_TEST(test_no_key_needed)
{
	struct entry_route *route;
	struct session *s;

	setup(0);
	route = g_hash_table_lookup(entry->table->routes, "primary");
	route->anonymous = true;
	s = start_session("primary", "kx");
	ck_assert_uint_eq(nr_started, 1);
	send_statement(s, STATEMENT_WRITE, "WRITE 1 x", NULL, NULL);
	complete_logins_at(entry);
	ck_assert_ptr_null(s->link->account);
	put_in_force(make_table(3));
	start_session("own", "anything");
	ck_assert_uint_eq(nr_started, 2);
	teardown();
}
END_TEST

/* Guards against a statement on a connection that was opened for another
 * account. */
START_TEST(test_connection_of_account)
{
	struct session *a, *b;
	struct link *link;

	setup(0);
	a = start_session("primary", "ka");
	send_statement(a, STATEMENT_WRITE, "WRITE 1 x", NULL, NULL);
	complete_logins_at(entry);
	ck_assert_str_eq(a->link->account, "a");
	link = a->link;
	reply_done();
	b = start_session("primary", "kb");
	send_statement(b, STATEMENT_WRITE, "WRITE 2 x", NULL, NULL);
	ck_assert_ptr_null(b->link);
	complete_logins_at(entry);
	ck_assert_str_eq(b->link->account, "b");
	ck_assert_ptr_ne(b->link, link);
	reply_done();
	send_statement(a, STATEMENT_WRITE, "WRITE 3 x", NULL, NULL);
	ck_assert_ptr_eq(a->link, link);
	ck_assert_uint_eq(nr_opened, 2);
	reply_done();
	teardown();
}
END_TEST

/* Guards against an account that waits although other accounts' connections
 * rest, and against closing the one that was used last. */
START_TEST(test_eviction)
{
	struct upstream *p;
	struct session *s;
	unsigned i;

	setup(0);
	p = g_hash_table_lookup(entry->known_upstreams, "p");
	/* The pool has four connections for this daemon alone. */
	for (i = 0; i < 4; i++) {
		link_open_for(p, "a");
		complete_logins_at(entry);
	}
	((struct link *)p->links->pdata[1])->opened_or_released_us -= 1000000;
	((struct link *)p->links->pdata[2])->opened_or_released_us -= 2000000;
	s = start_session("primary", "kb");
	send_statement(s, STATEMENT_WRITE, "WRITE 1 x", NULL, NULL);
	complete_logins_at(entry);
	ck_assert_str_eq(s->link->account, "b");
	ck_assert_uint_eq(nr_closed, 1);
	ck_assert_uint_eq(p->links->len, 4);
	ck_assert_int_lt(
		((struct link *)p->links->pdata[1])->opened_or_released_us,
		clock_now_us() - 900000);
	reply_done();
	teardown();
}
END_TEST

/* Guards against evicting a connection that callers miss more than another. */
START_TEST(test_eviction_order)
{
	struct eviction_option options[] = {
		{ .usable = true, .idle_since_us = 5 },
		{ .usable = true, .idle_since_us = 4 },
		{ .usable = true, .spare = true, .idle_since_us = 9 },
		{ .usable = true, .own = true, .idle_since_us = 10 },
		{ .usable = false, .own = true, .idle_since_us = 1 },
	};

	ck_assert_int_eq(link_eviction_choose(options, 5), 3);
	options[3].usable = false;
	ck_assert_int_eq(link_eviction_choose(options, 5), 2);
	options[2].usable = false;
	ck_assert_int_eq(link_eviction_choose(options, 5), 1);
	options[0].usable = options[1].usable = false;
	ck_assert_int_eq(link_eviction_choose(options, 5), -1);
}
END_TEST

/* Guards against a key that still works after a configuration dropped it. */
START_TEST(test_revoked_key)
{
	struct entry_table *table;
	struct session *idle, *busy;

	setup(0);
	idle = start_session("primary", "ka");
	busy = start_session("primary", "ka");
	send_statement(busy, STATEMENT_WRITE, "WRITE 1 x", NULL, NULL);
	complete_logins_at(entry);
	table = make_account_table(3, 0);
	g_hash_table_remove(table->keys, "ka");
	put_in_force(table);
	sessions_tick(entry, clock_now_us());
	ck_assert(idle->closing);
	ck_assert(!busy->closing);
	reply_done();
	ck_assert_int_eq(last_answer.refusal, REFUSAL_NONE);
	sessions_tick(entry, clock_now_us());
	ck_assert(busy->closing);
	teardown();
}
END_TEST

/* Guards against a transaction that goes on with a dropped key, and against one
 * that is cut at once although its caller could finish it. */
START_TEST(test_revoked_in_transaction)
{
	struct entry_table *table;
	struct session *s;

	setup(0);
	s = start_session("primary", "ka");
	send_statement(s, STATEMENT_BEGIN, "BEGIN", NULL, NULL);
	send_statement(s, STATEMENT_WRITE, "WRITE 1 x", NULL, NULL);
	complete_logins_at(entry);
	reply_in_transaction();
	reply_in_transaction();
	table = make_account_table(3, 0);
	g_hash_table_remove(table->keys, "ka");
	put_in_force(table);
	sessions_tick(entry, clock_now_us());
	ck_assert(!s->closing);
	sessions_tick(entry, clock_now_us() + 2000000);
	ck_assert(s->closing);
	teardown();
}
END_TEST

/* Guards against judging a transaction by an older configuration than the one
 * in force when it begins. */
START_TEST(test_key_moves)
{
	struct entry_table *table;
	struct session *s;

	setup(0);
	s = start_session("primary", "ka2");
	table = make_account_table(3, 0);
	g_hash_table_remove(table->keys, "ka2");
	ck_assert(entry_table_add_key(
		table, "ka2", g_hash_table_lookup(table->accounts, "b")));
	put_in_force(table);
	send_statement(s, STATEMENT_WRITE, "WRITE 1 x", NULL, NULL);
	complete_logins_at(entry);
	ck_assert_str_eq(s->link->account, "b");
	ck_assert(!s->revoked_us);
	reply_done();
	teardown();
}
END_TEST

/* Guards against keys that a daemon cannot be sure of where settings forbid
 * that, and against refusing them where they do not. */
START_TEST(test_out_of_touch)
{
	struct session *s;

	setup(0);
	entry->last_fresh_us = clock_now_us() - 6000000;
	entry->config.revoke_us = 5000000;
	s = start_session("primary", "ka");
	ck_assert_uint_eq(nr_started, 1);
	entry->config.strict_keys = true;
	send_statement(s, STATEMENT_WRITE, "WRITE 1 x", NULL, NULL);
	ck_assert_int_eq(last_answer.refusal, REFUSAL_BUSY);
	ck_assert_uint_eq(nr_opened, 0);
	teardown();
}
END_TEST

static void give_share(uint32_t share, uint64_t number, int64_t answered_us)
{
	Wire__View view = WIRE__VIEW__INIT;
	Wire__QuotaShare quota = WIRE__QUOTA_SHARE__INIT;
	Wire__QuotaShare *quotas[] = { &quota };

	quota.account = "a";
	quota.share = share;
	view.quotas = quotas;
	view.n_quotas = 1;
	view.quota_term = 1;
	view.quota_number = number;
	view.answered_us = (uint64_t)answered_us;
	quotas_apply(entry, &view);
}

static void fill_bucket(void)
{
	int64_t now_us = clock_now_us();

	/* A share that was held for a minute has a full bucket. */
	give_share(QUOTA_SHARE_ONE / 2, 1, now_us);
	give_share(QUOTA_SHARE_ONE / 2, 2, now_us);
}

/* Guards against operations beyond the share and the leader's answer, and
 * against charging a transaction for each of its statements. */
START_TEST(test_quota)
{
	struct session *s, *second;

	setup(1);
	entry->config.quota = (struct quota_tolerance){ 1000000, 0.1, 1000000 };
	quotas_update(entry);
	s = start_session("primary", "ka");
	send_statement(s, STATEMENT_BEGIN, "BEGIN", NULL, NULL);
	send_statement(s, STATEMENT_WRITE, "WRITE 1 x", NULL, NULL);
	ck_assert_int_eq(s->phase, REQUEST_AWAITING_QUOTA);
	ck_assert_uint_eq(nr_opened, 0);
	request_run_after_quota(s, 0);
	complete_logins_at(entry);
	reply_in_transaction();
	reply_in_transaction();
	send_statement(s, STATEMENT_WRITE, "WRITE 2 x", NULL, NULL);
	ck_assert_int_eq(s->phase, REQUEST_RUNNING);
	second = start_session("primary", "ka");
	send_statement(second, STATEMENT_WRITE, "WRITE 3 x", NULL, NULL);
	ck_assert_int_eq(second->phase, REQUEST_AWAITING_QUOTA);
	/* The route's target is 100 ms, half of which it waits. */
	advance(60000);
	ck_assert_int_eq(last_answer.refusal, REFUSAL_BUSY);
	ck_assert_int_eq(second->phase, REQUEST_NONE);
	reply_in_transaction();
	teardown();
}
END_TEST

/* Guards against shares that are used after their lease, or that an older
 * leader gave. */
START_TEST(test_quota_lease)
{
	setup(1000);
	fill_bucket();
	ck_assert_uint_eq(entry->quotas.number, 2);
	give_share(QUOTA_SHARE_ONE, 1, clock_now_us());
	ck_assert_uint_eq(entry->quotas.number, 2);
	ck_assert_int_gt(entry->quotas.lease_until_us, clock_now_us());
	give_share(QUOTA_SHARE_ONE / 2, 3, clock_now_us() - QUOTA_LEASE_US - 1);
	ck_assert_int_le(entry->quotas.lease_until_us, clock_now_us());
	teardown();
}
END_TEST

/* Guards against an account without a limit that is held back. */
START_TEST(test_no_limit)
{
	struct session *s;

	setup(1);
	s = start_session("primary", "kb");
	send_statement(s, STATEMENT_WRITE, "WRITE 1 x", NULL, NULL);
	ck_assert_int_eq(s->phase, REQUEST_WAITING);
	teardown();
}
END_TEST

/* Guards against memory for each name that another daemon sends. */
START_TEST(test_unknown_account)
{
	struct session *s;
	int64_t wait_us = 0;

	setup(1);
	s = start_session("primary", "ka");
	s->account = "unheard-of";
	ck_assert_int_eq(quota_charge(s, &wait_us), QUOTA_REFUSED);
	ck_assert_int_eq(wait_us, INT64_MAX);
	ck_assert_uint_eq(g_hash_table_size(entry->quotas.accounts), 0);
	s->account = NULL;
	teardown();
}
END_TEST

TEST_MAIN("accounts", test_unknown_key, test_no_key_needed,
	  test_connection_of_account, test_eviction, test_eviction_order,
	  test_revoked_key, test_revoked_in_transaction, test_key_moves,
	  test_out_of_touch, test_quota, test_quota_lease, test_no_limit,
	  test_unknown_account)
