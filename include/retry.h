#ifndef RETRY_H
#define RETRY_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Outcomes of requests, and whether to run one again.
 */

enum outcome {
	OUTCOME_DONE,
	/** refused, did not run */
	OUTCOME_REFUSED,
	/** failed, ran and rolled back */
	OUTCOME_FAILED,
	OUTCOME_UNKNOWN,
};

/** enum request_stage - how far a request got when its upstream was lost */
enum request_stage {
	STAGE_QUEUED,
	/** no byte was handed to the operating system */
	STAGE_NOT_SENT,
	/** some bytes were sent; it may have run */
	STAGE_SENT,
	/** the commit may have been executed */
	STAGE_COMMIT_SENT,
	/** the answer was read, but not passed on */
	STAGE_ANSWERED,
};

/**
 * outcome_of_loss() - what a caller may be told when the upstream is lost
 * @stage: how far the request got
 * @read: whether it had no effects
 * @in_transaction: whether it ran inside an open transaction, whose loss
 *                  rolls it back
 */
enum outcome outcome_of_loss(enum request_stage stage, bool read,
			     bool in_transaction);

/** outcome_sqlstate() - "08007" for unknown, "57P03" for refused, ... */
const char *outcome_sqlstate(enum outcome outcome);

/**
 * struct retry_budget - token bucket that bounds retries
 * @per_request: tokens earned per first attempt, thousandths
 * @tokens: thousandths of a retry
 * @max_tokens: thousandths
 */
struct retry_budget {
	int per_request;
	int64_t tokens;
	int64_t max_tokens;
	uint64_t granted;
	uint64_t denied;
};

void retry_budget_init(struct retry_budget *budget);
void retry_budget_note_request(struct retry_budget *budget);

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
 * retry_allowed() - whether to run a request on another upstream
 *
 * Takes a token when it allows.
 */
bool retry_allowed(struct retry_budget *budget, const struct retry_request *req,
		   int64_t now_us);

#endif
