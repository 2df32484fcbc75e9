#include "drain_policy.h"

static bool is_past(int64_t since_us, int64_t grace_us, int percent)
{
	return since_us > grace_us * percent / 100;
}

bool drain_accepts_statement(int64_t since_us, int64_t grace_us)
{
	return !is_past(since_us, grace_us, DRAIN_STATEMENT_PERCENT);
}

bool drain_accepts_in_transaction(int64_t since_us, int64_t grace_us)
{
	return !is_past(since_us, grace_us, DRAIN_TRANSACTION_PERCENT);
}

bool drain_is_over(int64_t since_us, int64_t grace_us)
{
	return is_past(since_us, grace_us, DRAIN_EXIT_PERCENT);
}

enum drain_action drain_session_action(const struct drain_session *s)
{
	bool last_call =
		is_past(s->since_us, s->grace_us, DRAIN_GIVE_UP_PERCENT);

	if (s->busy)
		return last_call ? DRAIN_GIVE_UP : DRAIN_KEEP;
	if (s->in_transaction)
		return drain_accepts_in_transaction(s->since_us, s->grace_us) ?
			       DRAIN_KEEP :
			       DRAIN_END_TRANSACTION;
	if (s->remote_caller ||
	    (!last_call && s->since_us <= DRAIN_BALANCER_US))
		return DRAIN_KEEP;
	return last_call || s->idle_us > DRAIN_IDLE_US ? DRAIN_CLOSE :
							 DRAIN_KEEP;
}
