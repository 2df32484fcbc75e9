#include "wait_limit.h"

static int64_t earlier(int64_t a, int64_t b)
{
	return a < b ? a : b;
}

int64_t wait_limit_saturated_us(const struct wait_limit *w)
{
	int64_t percent = w->first_in_line ? WAIT_FIRST_IN_LINE_PERCENT :
					     WAIT_SATURATED_PERCENT;
	int64_t wait_us = w->target_us * percent / 100;

	if (wait_us < WAIT_SATURATED_MIN_US)
		wait_us = WAIT_SATURATED_MIN_US;
	if (w->target_us - wait_us < WAIT_RETRY_US && w->target_us > wait_us)
		wait_us = w->target_us;
	return w->arrived_us + wait_us;
}

int64_t wait_limit_unavailable_us(const struct wait_limit *w)
{
	return w->arrived_us + w->timeout_us * WAIT_UNAVAILABLE_PERCENT / 100;
}

int64_t wait_limit_first_check_us(const struct wait_limit *w)
{
	return earlier(wait_limit_saturated_us(w),
		       wait_limit_unavailable_us(w));
}

int64_t wait_limit_next_check_us(const struct wait_limit *w,
				 int64_t window_full_at_us, int64_t now_us)
{
	int64_t end_us = wait_limit_unavailable_us(w);
	bool saturated = now_us - window_full_at_us < WAIT_SATURATED_VALID_US;

	if (now_us >= end_us ||
	    (saturated && now_us >= wait_limit_saturated_us(w)))
		return 0;
	return earlier(end_us, now_us + WAIT_CHECK_INTERVAL_US);
}
