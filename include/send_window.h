#ifndef SEND_WINDOW_H
#define SEND_WINDOW_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Limit on the statements one daemon has in flight at one upstream.
 *
 * Pure functions. When a database is overloaded, statements beyond its slots
 * wait there first come, first served, and are rejected once the queue is full.
 * The window adapts to the statement latency to keep that queue short. All
 * other statements wait in the daemon, which can order them by urgency and
 * refuse them early.
 */

/** Initial, smallest and largest window, statements. */
#define SEND_WINDOW_INITIAL 2.0
#define SEND_WINDOW_MIN 1.0
#define SEND_WINDOW_MAX 16.0
/** Divisor: the base latency rises by this fraction per answered statement. */
#define SEND_WINDOW_BASE_GROWTH_DIVISOR 512
/** The window shrinks if latency exceeds this percentage of the base. */
#define SEND_WINDOW_SLOW_PERCENT 250
/** Statements queue if latency exceeds this percentage of the base. */
#define SEND_WINDOW_QUEUEING_PERCENT 150
/** Minimum time between two reductions, microseconds. */
#define SEND_WINDOW_REDUCTION_INTERVAL_US (60 * 1000ll)

/**
 * struct send_window - send window of one upstream
 * @size: statements that may be in flight at once
 * @latency_us: moving average of the statement latency
 * @base_latency_us: lowest recent value of @latency_us
 * @answered_us: time of the last answer
 * @reduced_us: time of the last reduction
 */
struct send_window {
	double size;
	int64_t latency_us;
	int64_t base_latency_us;
	int64_t answered_us;
	int64_t reduced_us;
};

void send_window_init(struct send_window *w);
/** send_window_answered() - record that a statement took @us */
void send_window_answered(struct send_window *w, int64_t us, int64_t now_us);
/** send_window_refused() - record that the upstream rejected a statement */
void send_window_refused(struct send_window *w, int64_t now_us);
/** send_window_is_queueing() - whether statements wait for others there */
bool send_window_is_queueing(const struct send_window *w);
/** send_window_allows() - whether to send one more with @in_flight sent */
bool send_window_allows(const struct send_window *w, unsigned in_flight);

#endif
