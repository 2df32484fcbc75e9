#include "event_timers.h"

#include "clock.h"

/* A timer later than this, microseconds, shows that the process was stalled. */
#define LATE_THRESHOLD_US (20 * 1000ll)
/*
 * Loop iterations for which a stalled process handles input before its timers
 * run. libev fetches 64 events at first and doubles that whenever they fill up.
 */
#define LATE_POLLS_MAX 4

/*
 * Timers detect failed peers by missing messages. Messages that arrived while
 * this process was stalled are read first, so that its own stall is not taken
 * for a failure of its peers.
 */
static void on_timer(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct event_timers *timers = w->data;
	int64_t now_us = clock_now_us();

	if (now_us - timer_service_next_us(timers->service) >
		    LATE_THRESHOLD_US &&
	    timers->late_polls < LATE_POLLS_MAX) {
		timers->late_polls++;
		return;
	}
	timers->late_polls = 0;
	timer_service_advance(timers->service, now_us);
}

/* Sets the timer to the next subscription before the loop blocks. */
static void on_prepare(struct ev_loop *loop, ev_prepare *w, int revents)
{
	struct event_timers *timers = w->data;
	int64_t next_us = timer_service_next_us(timers->service);
	double delay_s;

	ev_timer_stop(loop, &timers->timer);
	if (next_us == INT64_MAX)
		return;
	delay_s = MAX(next_us - clock_now_us(), 0) / 1e6;
	ev_now_update(loop);
	ev_timer_set(&timers->timer, delay_s, 0.);
	ev_timer_start(loop, &timers->timer);
}

void event_timers_init(struct event_timers *timers, struct ev_loop *loop,
		       struct timer_service *service)
{
	timers->loop = loop;
	timers->service = service;
	timers->late_polls = 0;
	ev_timer_init(&timers->timer, on_timer, 0., 0.);
	ev_prepare_init(&timers->prepare, on_prepare);
	timers->timer.data = timers;
	timers->prepare.data = timers;
	ev_prepare_start(loop, &timers->prepare);
}

void event_timers_finish(struct event_timers *timers)
{
	ev_prepare_stop(timers->loop, &timers->prepare);
	ev_timer_stop(timers->loop, &timers->timer);
}
