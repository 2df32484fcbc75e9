#ifndef RETRY_H
#define RETRY_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Outcomes of requests, and when a request may be retried.
 */

enum outcome {
	OUTCOME_DONE,
	/** refused; it did not run */
	OUTCOME_REFUSED,
	/** failed; if it ran, it was rolled back */
	OUTCOME_FAILED,
	/** it may have been committed */
	OUTCOME_UNKNOWN,
};

/** enum request_stage - how far a request got when its upstream was lost */
enum request_stage {
	STAGE_QUEUED,
	/** no byte was passed to the operating system */
	STAGE_NOT_SENT,
	/** bytes were sent, so it may have run */
	STAGE_SENT,
	/** the commit was sent and may have been executed */
	STAGE_COMMIT_SENT,
	/** the answer was received but not passed on to the client */
	STAGE_ANSWERED,
};

/**
 * outcome_after_loss() - outcome to report if the upstream is lost
 * @stage: how far the request got
 * @read: whether it only reads
 * @in_transaction: whether it ran inside an open transaction, which is rolled
 *                  back when the connection is lost
 */
enum outcome outcome_after_loss(enum request_stage stage, bool read,
				bool in_transaction);

/** outcome_sqlstate() - SQLSTATE to report for an outcome */
const char *outcome_sqlstate(enum outcome outcome);

/**
 * struct retry_budget - token bucket that bounds retries
 * @per_request: added per first attempt, in thousandths of a retry
 * @tokens: available, in thousandths of a retry
 * @max_tokens: capacity, in thousandths of a retry
 * @granted: retries allowed
 * @denied: retries denied for lack of tokens
 */
struct retry_budget {
	int per_request;
	int64_t tokens;
	int64_t max_tokens;
	uint64_t granted;
	uint64_t denied;
};

void retry_budget_init(struct retry_budget *budget);
void retry_budget_record_request(struct retry_budget *budget);

/**
 * struct retry_request - a request that failed
 * @answer_started: whether a part of an answer was passed on to the client
 * @attempts: attempts so far
 * @expected_us: expected duration of another attempt
 */
struct retry_request {
	bool idempotent;
	bool answer_started;
	bool in_transaction;
	enum outcome outcome;
	unsigned attempts;
	int64_t deadline_us;
	int64_t expected_us;
};

/**
 * retry_allowed() - whether to retry a request on another upstream
 *
 * Consumes the tokens of one retry if it returns true.
 */
bool retry_allowed(struct retry_budget *budget, const struct retry_request *req,
		   int64_t now_us);

#endif
