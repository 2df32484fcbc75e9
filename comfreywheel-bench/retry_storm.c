#include "station.h"

#include <gsl/gsl_randist.h>
#include <math.h>

#define SLOTS 2
#define SERVICE_US 5000.0
#define RATE 300.0
#define SHARE 4
#define DELAY_US 500
#define TICK_US (5 * MS)
#define DEADLINE_US SECOND
#define FAILS_US (2 * SECOND)
#define HEALS_US (5 * SECOND)
#define DURATION_US (8 * SECOND)
/* The budget allows 10% and a burst of 16 on each of 8 daemons. */
#define TARGET 1.25

struct storm_world {
	gsl_rng *rng;
	struct timer_service timers;
	struct station station;
	struct gate gates[GATES];
	GPtrArray *garbage;
	uint64_t requests;
	uint64_t attempts_before;
	uint64_t attempts;
	uint64_t late_requests;
	uint64_t late_good;
};

struct storm_request {
	struct gate_request req;
	struct storm_world *world;
	int64_t sent_us;
};

static void answered(struct gate_request *req, enum gate_result result,
		     int64_t now_us)
{
	struct storm_request *sr = req->data;

	if (sr->sent_us < HEALS_US)
		return;
	sr->world->late_requests++;
	sr->world->late_good += result == GATE_ANSWERED &&
				now_us <= req->deadline_us;
}

static void send_next(int64_t now_us, void *data)
{
	struct storm_world *w = data;
	struct storm_request *sr = g_new0(struct storm_request, 1);

	g_ptr_array_add(w->garbage, sr);
	w->requests += w->station.failed;
	sr->world = w;
	sr->sent_us = now_us;
	sr->req.gate = &w->gates[gsl_rng_uniform_int(w->rng, GATES)];
	sr->req.deadline_us = now_us + DEADLINE_US;
	sr->req.done = answered;
	sr->req.data = sr;
	gate_submit(&sr->req, now_us);
	timer_subscribe(&w->timers,
			now_us + gsl_ran_exponential(w->rng, SECOND / RATE), 0,
			send_next, w);
}

static void fails(int64_t now_us, void *data)
{
	struct storm_world *w = data;

	w->station.failed = true;
	w->attempts_before = w->station.attempts;
}

static void heals(int64_t now_us, void *data)
{
	struct storm_world *w = data;

	w->station.failed = false;
	w->attempts = w->station.attempts - w->attempts_before;
}

static void run(unsigned seed, bool naive, struct storm_world *w)
{
	int64_t now_us = 0;
	unsigned i;

	*w = (struct storm_world){ .requests = 0 };
	w->rng = gsl_rng_alloc(gsl_rng_mt19937);
	gsl_rng_set(w->rng, seed);
	w->garbage = g_ptr_array_new_with_free_func(g_free);
	timer_service_init(&w->timers);
	station_init(&w->station, &w->timers, w->rng, SLOTS, SERVICE_US);
	for (i = 0; i < GATES; i++) {
		gate_init(&w->gates[i], &w->station,
			  naive ? ADMISSION_FIFO : ADMISSION_FAIR, naive, SHARE,
			  SHARE * GATES, DELAY_US);
		admission_tenant(&w->gates[i].admission, "a", 1);
	}
	timer_subscribe(&w->timers, 0, 0, send_next, w);
	timer_subscribe(&w->timers, 0, TICK_US, gates_tick, w->gates);
	timer_subscribe(&w->timers, FAILS_US, 0, fails, w);
	timer_subscribe(&w->timers, HEALS_US, 0, heals, w);
	while (now_us < DURATION_US) {
		now_us = timer_service_next_us(&w->timers);
		timer_service_advance(&w->timers, now_us);
	}
	for (i = 0; i < GATES; i++)
		gate_finish(&w->gates[i]);
	station_finish(&w->station);
	timer_service_finish(&w->timers);
	g_ptr_array_free(w->garbage, TRUE);
	gsl_rng_free(w->rng);
}

int retry_storm_experiment(unsigned seeds, FILE *out)
{
	double attempts[2] = { 0, 0 }, good[2] = { 0, 0 };
	struct storm_world w;
	unsigned seed;
	int naive;

	for (seed = 0; seed < seeds; seed++) {
		for (naive = 0; naive < 2; naive++) {
			run(seed, naive, &w);
			attempts[naive] +=
				(double)w.attempts / w.requests / seeds;
			good[naive] +=
				(double)w.late_good / w.late_requests / seeds;
		}
	}
	figure_print(out, "answered in time after the upstream is back",
		     good[0], good[1], FIGURE_PLAIN, 0);
	return figure_print(out, "attempts per request while it fails",
			    attempts[0], attempts[1], FIGURE_AT_MOST, TARGET);
}
