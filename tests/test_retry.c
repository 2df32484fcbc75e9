#include "retry.h"
#include "test_main.h"

#include <string.h>

static struct retry_request read_request(void)
{
	return (struct retry_request){
		.idempotent = true,
		.outcome = OUTCOME_FAILED,
		.attempts = 1,
		.deadline_us = 1000,
		.expected_us = 10,
	};
}

/* Guards against reporting a write as failed if it may have been committed. */
START_TEST(test_outcome_after_upstream_loss)
{
	ck_assert_int_eq(outcome_after_loss(STAGE_QUEUED, false, false),
			 OUTCOME_REFUSED);
	ck_assert_int_eq(outcome_after_loss(STAGE_NOT_SENT, false, false),
			 OUTCOME_REFUSED);
	ck_assert_int_eq(outcome_after_loss(STAGE_NOT_SENT, false, true),
			 OUTCOME_FAILED);
	ck_assert_int_eq(outcome_after_loss(STAGE_SENT, false, false),
			 OUTCOME_UNKNOWN);
	ck_assert_int_eq(outcome_after_loss(STAGE_SENT, false, true),
			 OUTCOME_FAILED);
	ck_assert_int_eq(outcome_after_loss(STAGE_SENT, true, false),
			 OUTCOME_FAILED);
	ck_assert_int_eq(outcome_after_loss(STAGE_COMMIT_SENT, false, true),
			 OUTCOME_UNKNOWN);
	ck_assert_int_eq(outcome_after_loss(STAGE_COMMIT_SENT, true, true),
			 OUTCOME_FAILED);
	ck_assert_int_eq(outcome_after_loss(STAGE_ANSWERED, false, false),
			 OUTCOME_DONE);
}
END_TEST

/* Guards against two outcomes that the client cannot tell apart. */
START_TEST(test_sqlstates)
{
	ck_assert_str_eq(outcome_sqlstate(OUTCOME_DONE), "00000");
	ck_assert_str_eq(outcome_sqlstate(OUTCOME_REFUSED), "57P03");
	ck_assert_str_eq(outcome_sqlstate(OUTCOME_FAILED), "40000");
	ck_assert_str_eq(outcome_sqlstate(OUTCOME_UNKNOWN), "08007");
}
END_TEST

/* Guards against a second execution of a write that may have run. */
START_TEST(test_no_retry_of_possible_write)
{
	struct retry_budget budget;
	struct retry_request req = read_request();

	retry_budget_init(&budget);
	req.idempotent = false;
	req.outcome = OUTCOME_UNKNOWN;
	ck_assert(!retry_allowed(&budget, &req, 0));
	req.outcome = OUTCOME_FAILED;
	ck_assert(!retry_allowed(&budget, &req, 0));
	req.outcome = OUTCOME_REFUSED;
	ck_assert(retry_allowed(&budget, &req, 0));
	req.in_transaction = true;
	ck_assert(!retry_allowed(&budget, &req, 0));
	req = read_request();
	req.outcome = OUTCOME_DONE;
	ck_assert(!retry_allowed(&budget, &req, 0));
}
END_TEST

/* Guards against an answer with rows from two executions of a statement. */
START_TEST(test_no_retry_after_answer_started)
{
	struct retry_budget budget;
	struct retry_request req = read_request();

	retry_budget_init(&budget);
	req.answer_started = true;
	ck_assert(!retry_allowed(&budget, &req, 0));
}
END_TEST

/* Guards against retries that cannot be answered by the deadline. */
START_TEST(test_deadline_and_attempts)
{
	struct retry_budget budget;
	struct retry_request req = read_request();

	retry_budget_init(&budget);
	ck_assert(retry_allowed(&budget, &req, 990));
	ck_assert(!retry_allowed(&budget, &req, 991));
	ck_assert(!retry_allowed(&budget, &req, 2000));
	req.attempts = 4;
	ck_assert(!retry_allowed(&budget, &req, 0));
}
END_TEST

/* Guards against a retry storm: retries must add at most a tenth of load. */
START_TEST(test_budget_bounds_retries)
{
	struct retry_budget budget;
	struct retry_request req = read_request();
	uint64_t burst;
	int i;

	retry_budget_init(&budget);
	for (i = 0; i < 100; i++)
		retry_allowed(&budget, &req, 0);
	burst = budget.granted;
	ck_assert_uint_lt(burst, 100);
	budget.denied = 0;
	for (i = 0; i < 10000; i++) {
		retry_budget_record_request(&budget);
		retry_allowed(&budget, &req, 0);
	}
	ck_assert_uint_eq(budget.granted - burst, 1000);
	ck_assert_uint_eq(budget.denied, 9000);
	for (i = 0; i < 10000; i++)
		retry_budget_record_request(&budget);
	ck_assert_int_eq(budget.tokens, budget.max_tokens);
}
END_TEST

TEST_MAIN("retry", test_outcome_after_upstream_loss, test_sqlstates,
	  test_no_retry_of_possible_write, test_no_retry_after_answer_started,
	  test_deadline_and_attempts, test_budget_bounds_retries)
