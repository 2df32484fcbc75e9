#include "answer_time.h"
#include "test_main.h"

#define USUAL_US (20 * 1000ll)
#define NR_ANSWERS 200

static struct answer_time learned(int64_t us)
{
	struct answer_time t = { 0 };
	unsigned i;

	for (i = 0; i < NR_ANSWERS; i++)
		answer_time_add(&t, i % 2 ? us * 3 / 2 : us / 2);
	return t;
}

/* Guards against a read that waits for its whole time-out after its answer was
 * lost, although later ones are answered. */
START_TEST(test_lost_answer)
{
	struct answer_time t = learned(USUAL_US);
	int64_t overdue_us = answer_time_overdue_us(&t);

	ck_assert_int_ge(overdue_us, ANSWER_OVERDUE_MIN_US);
	ck_assert_int_lt(overdue_us, 10 * USUAL_US);
	ck_assert(answer_time_is_overdue(&t, 0, overdue_us, overdue_us + 1));
	ck_assert(!answer_time_is_overdue(&t, 0, overdue_us, overdue_us));
}
END_TEST

/* Guards against repeating statements that queue at a slow upstream: without a
 * later statement that was answered, nothing was lost. */
START_TEST(test_slow_upstream)
{
	struct answer_time t = learned(USUAL_US);

	ck_assert(!answer_time_is_overdue(&t, 0, 0, 10 * USUAL_US));
	ck_assert(!answer_time_is_overdue(&t, 0, USUAL_US, 10 * USUAL_US));
}
END_TEST

/* Guards against limits that only fit one kind of work: they follow answers of
 * 2 ms as well as of 400 ms, and nothing is overdue before the first answer. */
START_TEST(test_other_loads)
{
	struct answer_time quick = learned(2000), slow = learned(400000);
	struct answer_time unknown = { 0 };

	ck_assert_int_eq(answer_time_overdue_us(&quick), ANSWER_OVERDUE_MIN_US);
	ck_assert_int_eq(answer_time_overdue_us(&slow), ANSWER_OVERDUE_MAX_US);
	ck_assert_int_eq(answer_time_overdue_us(&unknown),
			 ANSWER_OVERDUE_MAX_US);
}
END_TEST

/* Guards against doubling the load of an upstream that loses every answer. */
START_TEST(test_repeat_budget)
{
	struct repeat_budget b = { 0 };
	unsigned i, repeated = 0;

	ck_assert(!repeat_budget_take(&b));
	for (i = 0; i < 1000; i++) {
		repeat_budget_answered(&b);
		repeated += repeat_budget_take(&b);
	}
	ck_assert_uint_le(repeated, 1000 * ANSWER_REPEAT_PERCENT / 100);
	ck_assert_uint_ge(repeated, 1000 * ANSWER_REPEAT_PERCENT / 100 - 1);
	for (i = 0; i < 1000; i++)
		repeat_budget_answered(&b);
	for (i = 0; repeat_budget_take(&b); i++)
		;
	ck_assert_uint_eq(i, ANSWER_REPEAT_BURST);
}
END_TEST

TEST_MAIN("answer_time", test_lost_answer, test_slow_upstream, test_other_loads,
	  test_repeat_budget)
