#ifndef SEND_WINDOW_H
#define SEND_WINDOW_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: How many statements one daemon keeps at one upstream.
 *
 * Pure. Answers the load in which more is asked of a database than its slots
 * can do: what is sent beyond them waits there first come, first served, and
 * is shed when the queue is full. The window keeps that queue short by the
 * time that statements take, so that the rest waits here, where it can be put
 * in order, and is refused in time.
 */

#define SEND_WINDOW_FIRST 3.0
#define SEND_WINDOW_LEAST 1.0
#define SEND_WINDOW_MOST 16.0
/** Growth of the least time seen, one part in so many, so that it follows. */
#define SEND_WINDOW_BASE_PARTS 512
/** A statement may take this multiple of the least, percent, before it shrinks. */
#define SEND_WINDOW_SLOW_PERCENT 250
/** Least time between two reductions, microseconds. */
#define SEND_WINDOW_PAUSE_US (60 * 1000ll)

/**
 * struct send_window - of one upstream
 * @size: statements that may be out at once
 * @latency_us: time of a statement of late, smoothed
 * @base_us: least smoothed time of late
 */
struct send_window {
	double size;
	int64_t latency_us;
	int64_t base_us;
	int64_t reduced_us;
};

void send_window_init(struct send_window *w);
/** send_window_answered() - a statement took @us */
void send_window_answered(struct send_window *w, int64_t us, int64_t now_us);
/** send_window_refused() - the upstream had no room */
void send_window_refused(struct send_window *w, int64_t now_us);
bool send_window_allows(const struct send_window *w, unsigned out);

#endif
