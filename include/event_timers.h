#ifndef EVENT_TIMERS_H
#define EVENT_TIMERS_H

#include "timer_service.h"

#include <ev.h>

/**
 * DOC: Runs a timer service from an event loop, by the clock of clock.h.
 *
 * A process that was held up handles input before timers that are late.
 */

/**
 * struct event_timers - one libev timer for all subscriptions
 * @service: the subscriptions, owned by the caller
 * @late_polls: polls since the process was found to be late
 */
struct event_timers {
	struct ev_loop *loop;
	struct timer_service *service;
	ev_timer timer;
	ev_prepare prepare;
	unsigned late_polls;
};

void event_timers_init(struct event_timers *timers, struct ev_loop *loop,
		       struct timer_service *service);
void event_timers_finish(struct event_timers *timers);

#endif
