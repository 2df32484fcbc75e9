#include "station.h"

#include <gsl/gsl_randist.h>

#define NAIVE_QUEUE 1000000
#define QUEUE 200
/* Attempts of the blind retry. */
#define NAIVE_ATTEMPTS 10

static void serve(struct station *st, struct gate_request *req, int64_t now_us);
static void dispatch(struct gate *gate, int64_t now_us);

void station_init(struct station *st, struct timer_service *timers,
		  gsl_rng *rng, unsigned slots, double mean_us)
{
	*st = (struct station){
		.timers = timers,
		.rng = rng,
		.slots = slots,
		.mean_us = mean_us,
	};
	g_queue_init(&st->waiting);
}

void station_finish(struct station *st)
{
	g_queue_clear(&st->waiting);
}

void gate_init(struct gate *gate, struct station *st,
	       enum admission_order order, bool naive, unsigned share,
	       unsigned budget, int64_t delay_us)
{
	*gate = (struct gate){
		.station = st,
		.share = share,
		.delay_us = delay_us,
		.naive = naive,
	};
	admission_init(&gate->admission, order, naive ? NAIVE_QUEUE : QUEUE,
		       share);
	if (!naive)
		admission_set_limit(&gate->admission, st->slots, share, budget);
	retry_budget_init(&gate->budget);
}

void gate_finish(struct gate *gate)
{
	admission_finish(&gate->admission);
}

static void enqueue(struct gate_request *req, int64_t now_us)
{
	struct gate *gate = req->gate;

	if (admission_enqueue(&gate->admission, req->tenant, (uintptr_t)req,
			      req->deadline_us, now_us) != ADMISSION_QUEUED) {
		req->done(req, GATE_REFUSED, now_us);
		return;
	}
	dispatch(gate, now_us);
}

void gate_submit(struct gate_request *req, int64_t now_us)
{
	retry_budget_record_request(&req->gate->budget);
	enqueue(req, now_us);
}

static bool runs_again(struct gate_request *req, int64_t now_us)
{
	struct gate *gate = req->gate;
	struct retry_request retry = {
		.idempotent = true,
		.outcome = OUTCOME_FAILED,
		.attempts = req->attempts,
		.deadline_us = req->deadline_us,
		.expected_us = gate->admission.service_us,
	};

	if (gate->naive)
		return req->attempts < NAIVE_ATTEMPTS;
	return retry_allowed(&gate->budget, &retry, now_us);
}

static void completed(int64_t now_us, void *data)
{
	struct gate_request *req = data;
	struct gate *gate = req->gate;

	gate->in_flight--;
	if (!gate->naive)
		admission_record_service_time(&gate->admission,
					      now_us - req->started_us);
	admission_record_release(&gate->admission);
	if (req->ok)
		req->done(req, GATE_ANSWERED, now_us);
	else if (runs_again(req, now_us))
		enqueue(req, now_us);
	else
		req->done(req, GATE_FAILED, now_us);
	dispatch(gate, now_us);
}

static void served(int64_t now_us, void *data)
{
	struct gate_request *req = data;
	struct station *st = req->gate->station;
	struct gate_request *next = g_queue_pop_head(&st->waiting);

	st->busy--;
	timer_subscribe(st->timers, now_us + req->gate->delay_us, 0, completed,
			req);
	if (next)
		serve(st, next, now_us);
}

static void serve(struct station *st, struct gate_request *req, int64_t now_us)
{
	double service_us = gsl_ran_exponential(st->rng, st->mean_us);

	st->busy++;
	req->ok = gsl_rng_uniform(st->rng) >= st->fault_rate;
	timer_subscribe(st->timers, now_us + service_us, 0, served, req);
}

static void arrives(int64_t now_us, void *data)
{
	struct gate_request *req = data;
	struct station *st = req->gate->station;

	st->attempts++;
	if (st->failed) {
		req->ok = false;
		timer_subscribe(st->timers, now_us + req->gate->delay_us, 0,
				completed, req);
	} else if (st->busy < st->slots) {
		serve(st, req, now_us);
	} else {
		g_queue_push_tail(&st->waiting, req);
	}
}

static bool accept_any(uint64_t request, void *data)
{
	return true;
}

static void dispatch(struct gate *gate, int64_t now_us)
{
	struct gate_request *req;
	uint64_t handle;

	while (gate->in_flight < gate->share &&
	       admission_next(&gate->admission, now_us, accept_any, NULL,
			      &handle)) {
		req = (struct gate_request *)(uintptr_t)handle;
		gate->in_flight++;
		req->attempts++;
		req->started_us = now_us;
		timer_subscribe(gate->station->timers, now_us + gate->delay_us,
				0, arrives, req);
	}
}

struct expiry {
	int64_t now_us;
};

static void expired(uint64_t request, void *data)
{
	struct gate_request *req = (struct gate_request *)(uintptr_t)request;
	struct expiry *expiry = data;

	req->done(req, GATE_EXPIRED, expiry->now_us);
}

static void gate_tick(struct gate *gate, int64_t now_us)
{
	struct expiry expiry = { now_us };

	if (!gate->naive)
		admission_expire(&gate->admission, now_us, expired, &expiry);
	dispatch(gate, now_us);
}

void gates_tick(int64_t now_us, void *gates)
{
	unsigned i;

	for (i = 0; i < GATES; i++)
		gate_tick((struct gate *)gates + i, now_us);
}
