#include "budget.h"
#include "test_main.h"

#define DAEMONS 8

static struct budget_share shares[DAEMONS];
static struct budget_demand demands[DAEMONS];
static struct budget_change changes[DAEMONS];

static void setup(unsigned nr)
{
	unsigned i;

	memset(shares, 0, sizeof(shares));
	memset(demands, 0, sizeof(demands));
	for (i = 0; i < nr; i++)
		demands[i] = (struct budget_demand){ 0, 1, true, false };
}

static unsigned sum_of_shares(void)
{
	unsigned total = 0, i;

	for (i = 0; i < DAEMONS; i++)
		total += shares[i].connections;
	return total;
}

/* Applies one plan; the sum must stay within the budget after each change. */
static unsigned apply_plan(unsigned budget, unsigned nr)
{
	unsigned nr_changes = budget_plan(budget, shares, demands, nr, changes);
	unsigned before, i;

	for (i = 0; i < nr_changes; i++) {
		before = sum_of_shares();
		shares[changes[i].daemon] = changes[i].share;
		ck_assert(sum_of_shares() <= budget ||
			  sum_of_shares() <= before);
	}
	return nr_changes;
}

/* Guards against a daemon without a connection to probe the database. */
START_TEST(test_probe_connections)
{
	unsigned i;

	setup(8);
	demands[0].wanted = 100;
	demands[7].wanted = 0;
	apply_plan(16, 8);
	for (i = 1; i < 8; i++)
		ck_assert_uint_eq(shares[i].connections, 1);
	/* 16 minus 7 probe connections minus the reserved one. */
	ck_assert_uint_eq(shares[0].connections, 8);
	ck_assert_uint_eq(apply_plan(16, 8), 0);
}
END_TEST

/* Guards against a first request that must wait for another share to shrink. */
START_TEST(test_first_request_gets_reserved_connection)
{
	setup(8);
	demands[0].wanted = 100;
	apply_plan(16, 8);
	demands[0].open = 8;
	demands[5].wanted = 2;
	apply_plan(16, 8);
	ck_assert_uint_eq(shares[5].connections, 2);
	ck_assert_uint_eq(sum_of_shares(), 16);
	ck_assert_uint_eq(shares[0].target, 7);
	demands[0].open = 7;
	apply_plan(16, 8);
	ck_assert_uint_eq(sum_of_shares(), 15);
}
END_TEST

/* Guards against reassigning connections that are still open. */
START_TEST(test_shrinks_in_two_steps)
{
	setup(2);
	demands[0].wanted = 9;
	apply_plan(10, 2);
	ck_assert_uint_eq(shares[0].connections, 8);
	demands[0].open = 8;
	demands[1].wanted = 9;
	apply_plan(10, 2);
	ck_assert_uint_eq(shares[0].connections, 8);
	ck_assert_uint_eq(shares[0].target, 5);
	ck_assert_uint_eq(shares[1].connections, 2);
	demands[0].open = 6;
	ck_assert_uint_eq(apply_plan(10, 2), 0);
	demands[0].open = 5;
	apply_plan(10, 2);
	ck_assert_uint_eq(shares[0].connections, 5);
	ck_assert_uint_eq(shares[1].connections, 4);
}
END_TEST

/* Guards against reassigning connections that a cut-off daemon still holds. */
START_TEST(test_dead_daemon_keeps_its_share_until_gone)
{
	setup(2);
	demands[0].wanted = 9;
	apply_plan(10, 2);
	demands[0].alive = false;
	demands[1].wanted = 9;
	apply_plan(10, 2);
	ck_assert_uint_eq(shares[0].connections, 8);
	ck_assert_uint_eq(shares[1].connections, 2);
	demands[0].presumed_closed = true;
	apply_plan(10, 2);
	ck_assert_uint_eq(shares[0].connections, 0);
	ck_assert_uint_eq(shares[1].connections, 9);
}
END_TEST

/* Guards against freeing the share of a live daemon on a late
 * @presumed_closed. */
START_TEST(test_gone_counts_only_when_not_alive)
{
	setup(1);
	demands[0].wanted = 4;
	apply_plan(10, 1);
	demands[0].presumed_closed = true;
	ck_assert_uint_eq(apply_plan(10, 1), 0);
	ck_assert_uint_eq(shares[0].connections, 4);
}
END_TEST

/* Guards against closing idle connections that no other daemon needs. */
START_TEST(test_idle_share_is_kept)
{
	setup(2);
	demands[0].wanted = 5;
	apply_plan(10, 2);
	demands[0].open = 5;
	demands[0].wanted = 1;
	ck_assert_uint_eq(apply_plan(10, 2), 0);
	demands[1].wanted = 3;
	apply_plan(10, 2);
	ck_assert_uint_eq(shares[0].target, 5);
	ck_assert_uint_eq(shares[1].connections, 3);
}
END_TEST

/* Guards against closing connections that the daemon needs again. */
START_TEST(test_shrinking_is_cancelled)
{
	setup(2);
	demands[0].wanted = 9;
	apply_plan(10, 2);
	demands[0].open = 8;
	demands[1].wanted = 9;
	apply_plan(10, 2);
	ck_assert_uint_eq(shares[0].target, 5);
	demands[1].wanted = 1;
	apply_plan(10, 2);
	ck_assert_uint_eq(shares[0].target, 8);
}
END_TEST

/* Guards against an exceeded budget, and against endless changes, when there
 * are fewer connections than daemons. */
START_TEST(test_budget_below_number_of_daemons)
{
	unsigned i;

	setup(8);
	apply_plan(5, 8);
	ck_assert_uint_eq(sum_of_shares(), 5);
	for (i = 0; i < 8; i++)
		demands[i].open = shares[i].connections;
	ck_assert_uint_eq(apply_plan(5, 8), 0);
	ck_assert_uint_eq(apply_plan(5, 0), 0);
}
END_TEST

/* Guards against a lowered budget that is not enforced. */
START_TEST(test_lowered_budget)
{
	unsigned i;

	setup(4);
	demands[0].wanted = 9;
	apply_plan(12, 4);
	for (i = 0; i < 4; i++)
		demands[i].open = shares[i].connections;
	apply_plan(6, 4);
	for (i = 0; i < 4; i++)
		demands[i].open = shares[i].target;
	apply_plan(6, 4);
	ck_assert_uint_le(sum_of_shares(), 6);
	for (i = 1; i < 4; i++)
		ck_assert_uint_eq(shares[i].connections, 1);
}
END_TEST

/* Guards against asking a daemon for the same connection in each plan, and
 * against growing a larger share before one without connections. */
START_TEST(test_asks_once_and_grows_the_smallest)
{
	setup(3);
	demands[0].wanted = 9;
	demands[1].wanted = 4;
	apply_plan(16, 2);
	demands[0].open = 9;
	demands[1].open = 4;
	demands[0].wanted = 1;
	demands[1].wanted = 5;
	demands[2].wanted = 3;
	apply_plan(16, 3);
	ck_assert_uint_eq(shares[1].connections, 4);
	ck_assert_uint_eq(shares[2].connections, 3);
	ck_assert_uint_eq(shares[0].target, 7);
	ck_assert_uint_eq(apply_plan(16, 3), 0);
}
END_TEST

TEST_MAIN("budget", test_probe_connections,
	  test_first_request_gets_reserved_connection,
	  test_shrinks_in_two_steps,
	  test_dead_daemon_keeps_its_share_until_gone,
	  test_gone_counts_only_when_not_alive, test_idle_share_is_kept,
	  test_shrinking_is_cancelled, test_budget_below_number_of_daemons,
	  test_lowered_budget, test_asks_once_and_grows_the_smallest)
