#ifndef TIMER_SERVICE_H
#define TIMER_SERVICE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Timer service that parts of a task subscribe to.
 *
 * The service has no clock: the owner passes the time in, from libev in the
 * daemon and from a virtual clock in tests. All times are microseconds of
 * one monotonic clock.
 */

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
 * timer_subscribe() - ask for a call at a time
 * @service: the service
 * @first_us: time of the first call
 * @period_us: time between calls, 0 for a single call
 * @callback: called from timer_service_advance()
 * @data: context pointer passed to @callback
 *
 * Calls due at the same time run in the order of subscription.
 *
 * Return: a handle for timer_cancel(); a single-call handle is released
 * just before its callback runs
 */
int timer_subscribe(struct timer_service *service, int64_t first_us,
		    int64_t period_us, timer_callback callback, void *data);

/**
 * timer_cancel() - end a subscription
 * @service: the service
 * @handle: handle to release; set to TIMER_NONE
 */
void timer_cancel(struct timer_service *service, int *handle);

/**
 * timer_service_next() - time of the next call
 * Return: microseconds, INT64_MAX if nothing is subscribed
 */
int64_t timer_service_next(const struct timer_service *service);

/**
 * timer_service_advance() - run every call due at or before @now_us
 *
 * A periodic call that is several periods late runs once.
 */
void timer_service_advance(struct timer_service *service, int64_t now_us);

#endif
