#include "event_timers.h"

#include "clock.h"

/* A process that is so late was held up itself, microseconds. */
#define LATE_US (20 * 1000ll)
/*
 * Polls of a process that is late before its timers run. libev takes 64
 * events at first and twice as many each time that they did not suffice.
 */
#define LATE_POLLS 4

/*
 * Timers judge others by their silence. What arrived while this process did
 * not run is read first, or its own stop would be taken for theirs.
 */
static void on_timer(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct event_timers *timers = w->data;
	int64_t now_us = clock_now_us();

	if (now_us - timer_service_next(timers->service) > LATE_US &&
	    timers->late_polls < LATE_POLLS) {
		timers->late_polls++;
		return;
	}
	timers->late_polls = 0;
	timer_service_advance(timers->service, now_us);
}

/* Arms the timer for the next subscription before the loop waits. */
static void on_prepare(struct ev_loop *loop, ev_prepare *w, int revents)
{
	struct event_timers *timers = w->data;
	int64_t next = timer_service_next(timers->service);
	double after;

	ev_timer_stop(loop, &timers->timer);
	if (next == INT64_MAX)
		return;
	after = MAX(next - clock_now_us(), 0) / 1e6;
	ev_now_update(loop);
	ev_timer_set(&timers->timer, after, 0.);
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
