#ifndef WAIT_LIMIT_H
#define WAIT_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: How long a statement waits for an upstream before it is refused.
 *
 * Pure functions, for two situations. Under overload, with full send windows,
 * a statement that is not sent soon is refused while its caller still has time
 * to try another daemon: queues of different daemons differ, and what waits
 * here until its target has passed earns its caller nothing. What is sent next
 * may wait longer, as its turn comes soon. During a promotion
 * no upstream can run it; then it waits longer, since another daemon would have
 * to wait as well.
 */

/** Percentage of the target latency that a statement waits under overload. */
#define WAIT_SATURATED_PERCENT 20
/** The same for the statement that is sent next. */
#define WAIT_FIRST_IN_LINE_PERCENT 50
/**
 * Time that a refused caller takes to try again, microseconds. With less time
 * left before its target a statement waits on, as another attempt would be late.
 */
#define WAIT_RETRY_US (100 * 1000ll)
/** Least wait under overload, microseconds. */
#define WAIT_SATURATED_MIN_US (50 * 1000ll)
/** A send window that was full within this time means overload, microseconds. */
#define WAIT_SATURATED_VALID_US (60 * 1000ll)
/** Time between two checks of a statement past its limit, microseconds. */
#define WAIT_CHECK_INTERVAL_US (20 * 1000ll)
/** Percentage of its time-out that a statement waits for any upstream. */
#define WAIT_UNAVAILABLE_PERCENT 60

/**
 * struct wait_limit - one waiting statement; times in microseconds
 * @arrived_us: when it arrived
 * @target_us: target latency of its route
 * @timeout_us: time-out of its route
 * @first_in_line: whether no other statement goes before it
 */
struct wait_limit {
	int64_t arrived_us;
	int64_t target_us;
	int64_t timeout_us;
	bool first_in_line;
};

/** wait_limit_saturated_us() - when it is refused under overload */
int64_t wait_limit_saturated_us(const struct wait_limit *w);
/** wait_limit_unavailable_us() - when it is refused in any case */
int64_t wait_limit_unavailable_us(const struct wait_limit *w);
/** wait_limit_first_check_us() - when to check it for the first time */
int64_t wait_limit_first_check_us(const struct wait_limit *w);

/**
 * wait_limit_next_check_us() - when to check a statement again
 * @window_full_at_us: when a full send window last delayed a statement
 * Return: 0 if it is refused now
 */
int64_t wait_limit_next_check_us(const struct wait_limit *w,
				 int64_t window_full_at_us, int64_t now_us);

#endif
