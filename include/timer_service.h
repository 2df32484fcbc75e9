#ifndef TIMER_SERVICE_H
#define TIMER_SERVICE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Timers of a task.
 *
 * The service does not read a clock: its owner passes in the current time, from
 * libev in the daemon and from a virtual clock in tests. All times are in
 * microseconds of the same monotonic clock.
 */

/** Handle of no timer. */
#define TIMER_NONE (-1)

typedef void (*timer_callback)(int64_t now_us, void *data);

struct timer_service {
	GArray *slots;
	GArray *heap;
	GArray *free_slots;
	uint64_t next_sequence;
};

void timer_service_init(struct timer_service *service);
void timer_service_finish(struct timer_service *service);

/**
 * timer_subscribe() - start a timer
 * @service: timer service
 * @first_us: time of the first expiry
 * @period_us: time between expiries, 0 for a one-shot timer
 * @callback: called from timer_service_advance()
 * @data: context pointer passed to @callback
 *
 * Timers that expire at the same time run in the order in which they were
 * started.
 *
 * Return: a handle for timer_cancel(); the handle of a one-shot timer is
 * released just before its callback runs
 */
int timer_subscribe(struct timer_service *service, int64_t first_us,
		    int64_t period_us, timer_callback callback, void *data);

/**
 * timer_cancel() - stop a timer
 * @service: timer service
 * @handle: handle of the timer, may be TIMER_NONE; set to TIMER_NONE
 */
void timer_cancel(struct timer_service *service, int *handle);

/**
 * timer_service_next_us() - time of the next expiry
 * Return: time in microseconds, INT64_MAX if no timer is running
 */
int64_t timer_service_next_us(const struct timer_service *service);

/**
 * timer_service_advance() - run every timer due at or before @now_us
 *
 * A periodic timer that is several periods late runs once.
 */
void timer_service_advance(struct timer_service *service, int64_t now_us);

#endif
