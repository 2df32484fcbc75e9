#include "retry.h"

/* Each first attempt adds a tenth of a retry, so that retries increase the load
 * by at most 10% while an upstream fails. */
#define TOKENS_PER_RETRY 1000
#define TOKENS_PER_REQUEST 100
/* Covers the requests in flight in one pool when its upstream is lost after an
 * idle period. */
#define BURST_RETRIES 16
/* After this many failures the request itself is the likely cause. */
#define MAX_ATTEMPTS 4

enum outcome outcome_after_loss(enum request_stage stage, bool read,
				bool in_transaction)
{
	switch (stage) {
	case STAGE_QUEUED:
	case STAGE_NOT_SENT:
		/* Earlier statements of the open transaction did run. */
		return in_transaction ? OUTCOME_FAILED : OUTCOME_REFUSED;
	case STAGE_SENT:
		if (read || in_transaction)
			return OUTCOME_FAILED;
		return OUTCOME_UNKNOWN;
	case STAGE_COMMIT_SENT:
		return read ? OUTCOME_FAILED : OUTCOME_UNKNOWN;
	case STAGE_ANSWERED:
		return OUTCOME_DONE;
	}
	return OUTCOME_UNKNOWN;
}

const char *outcome_sqlstate(enum outcome outcome)
{
	switch (outcome) {
	case OUTCOME_DONE:
		return "00000";
	case OUTCOME_REFUSED:
		return "57P03";
	case OUTCOME_FAILED:
		return "40000";
	case OUTCOME_UNKNOWN:
		break;
	}
	return "08007";
}

void retry_budget_init(struct retry_budget *budget)
{
	budget->per_request = TOKENS_PER_REQUEST;
	budget->max_tokens = BURST_RETRIES * TOKENS_PER_RETRY;
	budget->tokens = budget->max_tokens;
	budget->granted = 0;
	budget->denied = 0;
}

void retry_budget_record_request(struct retry_budget *budget)
{
	budget->tokens += budget->per_request;
	if (budget->tokens > budget->max_tokens)
		budget->tokens = budget->max_tokens;
}

/* A refused request did not run, so it is safe to retry even if it writes. */
static bool may_run_again(const struct retry_request *req)
{
	if (req->answer_started || req->in_transaction)
		return false;
	if (req->outcome == OUTCOME_DONE)
		return false;
	return req->outcome == OUTCOME_REFUSED || req->idempotent;
}

bool retry_allowed(struct retry_budget *budget, const struct retry_request *req,
		   int64_t now_us)
{
	if (!may_run_again(req))
		return false;
	if (req->attempts >= MAX_ATTEMPTS)
		return false;
	if (req->expected_us > req->deadline_us - now_us)
		return false;
	if (budget->tokens < TOKENS_PER_RETRY) {
		budget->denied++;
		return false;
	}
	budget->tokens -= TOKENS_PER_RETRY;
	budget->granted++;
	return true;
}
