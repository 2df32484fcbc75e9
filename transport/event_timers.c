#include "event_timers.h"

#include "clock.h"

static void on_timer(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct event_timers *timers = w->data;

	timer_service_advance(timers->service, clock_now_us());
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
