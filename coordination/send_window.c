#include "send_window.h"

/* Divisor: weight of a new sample in the moving average of the latency. */
#define LATENCY_WEIGHT_DIVISOR 8
#define SLOW_FACTOR 0.85
#define REFUSED_FACTOR 0.6

void send_window_init(struct send_window *w)
{
	*w = (struct send_window){ .size = SEND_WINDOW_INITIAL,
				   .answered_us = INT64_MIN / 2,
				   .reduced_us = INT64_MIN / 2 };
}

static void reduce(struct send_window *w, double factor, int64_t now_us)
{
	if (now_us - w->reduced_us < SEND_WINDOW_REDUCTION_INTERVAL_US)
		return;
	w->reduced_us = now_us;
	w->size *= factor;
	if (w->size < SEND_WINDOW_MIN)
		w->size = SEND_WINDOW_MIN;
}

void send_window_answered(struct send_window *w, int64_t us, int64_t now_us)
{
	w->answered_us = now_us;
	if (!w->latency_us)
		w->latency_us = us;
	w->latency_us += (us - w->latency_us) / LATENCY_WEIGHT_DIVISOR;
	w->base_latency_us +=
		w->base_latency_us / SEND_WINDOW_BASE_GROWTH_DIVISOR;
	if (!w->base_latency_us || w->latency_us < w->base_latency_us)
		w->base_latency_us = w->latency_us;
	if (w->latency_us * 100 > w->base_latency_us * SEND_WINDOW_SLOW_PERCENT)
		reduce(w, SLOW_FACTOR, now_us);
	else if (w->size < SEND_WINDOW_MAX)
		w->size += 1.0 / (4.0 * w->size);
}

void send_window_refused(struct send_window *w, int64_t now_us)
{
	reduce(w, REFUSED_FACTOR, now_us);
}

bool send_window_is_queueing(const struct send_window *w)
{
	return w->latency_us * 100 >
	       w->base_latency_us * SEND_WINDOW_QUEUEING_PERCENT;
}

bool send_window_allows(const struct send_window *w, unsigned in_flight)
{
	return (double)(in_flight + 1) <= w->size;
}
