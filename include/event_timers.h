#ifndef EVENT_TIMERS_H
#define EVENT_TIMERS_H

#include "timer_service.h"

#include <ev.h>

/**
 * DOC: Runs a timer service in an event loop, on the clock of clock.h.
 *
 * A process that was stalled handles pending input before overdue timers.
 */

/**
 * struct event_timers - libev watchers that drive a timer service
 * @service: the subscriptions, owned by the caller
 * @timer: expires at the next subscription
 * @prepare: sets @timer before the loop blocks
 * @late_polls: loop iterations since the process was found to be stalled
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
