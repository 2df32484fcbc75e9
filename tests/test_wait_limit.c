#include "test_main.h"
#include "wait_limit.h"

static const struct wait_limit statement = { .arrived_us = 1000000,
					     .target_us = 400000,
					     .timeout_us = 1000000 };

/* Guards against callers that learn only at the end of their target that there
 * was no capacity, when another attempt cannot be in time any more. */
START_TEST(test_overload)
{
	int64_t limit_us = wait_limit_saturated_us(&statement);

	ck_assert_int_le(limit_us - statement.arrived_us,
			 statement.target_us / 4);
	ck_assert_int_eq(wait_limit_first_check_us(&statement), limit_us);
	ck_assert_int_eq(wait_limit_next_check_us(&statement, limit_us - 1,
						  limit_us),
			 0);
	ck_assert_int_ne(wait_limit_next_check_us(&statement, limit_us - 1,
						  limit_us - 1),
			 0);
}
END_TEST

/* Guards against refusing the statement whose turn comes next, for which the
 * queue of another daemon is no better, and against keeping it too long. */
START_TEST(test_first_in_line)
{
	struct wait_limit first = statement;
	int64_t limit_us = wait_limit_saturated_us(&statement);

	first.first_in_line = true;
	ck_assert_int_ne(wait_limit_next_check_us(&first, limit_us, limit_us),
			 0);
	limit_us = first.arrived_us + first.target_us;
	ck_assert_int_eq(wait_limit_next_check_us(&first, limit_us, limit_us),
			 0);
}
END_TEST

/* Guards against refusing statements during a promotion as if there was
 * overload, and against keeping them until their time-out. */
START_TEST(test_unavailable)
{
	int64_t limit_us = wait_limit_unavailable_us(&statement);
	int64_t now_us, checks = 0;

	for (now_us = wait_limit_first_check_us(&statement); now_us;
	     now_us = wait_limit_next_check_us(&statement, 0, now_us)) {
		ck_assert_int_le(now_us, limit_us);
		checks++;
	}
	ck_assert_int_gt(checks, 1);
	ck_assert_int_lt(limit_us - statement.arrived_us, statement.timeout_us);
}
END_TEST

/* Guards against refusing early what has so short a target that no other attempt
 * is in time, and against waiting beyond the time-out for a longer target. */
START_TEST(test_other_targets)
{
	struct wait_limit w = { .target_us = 20000, .timeout_us = 1000000 };

	ck_assert_int_eq(wait_limit_first_check_us(&w), WAIT_SATURATED_MIN_US);
	w.target_us = WAIT_RETRY_US;
	ck_assert_int_eq(wait_limit_first_check_us(&w), w.target_us);
	w.target_us = 10000000;
	ck_assert_int_eq(wait_limit_first_check_us(&w),
			 wait_limit_unavailable_us(&w));
}
END_TEST

TEST_MAIN("wait_limit", test_overload, test_first_in_line, test_unavailable,
	  test_other_targets)
