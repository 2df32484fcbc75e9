#include "station.h"

#include <gsl/gsl_randist.h>
#include <math.h>

/* Filtrex: latencies between zones and to callers, slots, connections. */
#define SLOTS 2
#define CONNECTIONS 30
#define BETWEEN_US 1500
#define CALLER_US 3000
#define SERVICE_US 5000.0
#define CAPACITY (SLOTS * SECOND / SERVICE_US)
#define QUIET_RATE 40.0
#define FLOOD_RATE (2 * CAPACITY)
#define DEADLINE_US (2 * SECOND)
#define TICK_US MS
#define DURATION_US (8 * SECOND)
#define WARM_UP_US (2 * SECOND)
#define TARGET 1.3

struct tenants_world {
	gsl_rng *rng;
	struct timer_service timers;
	struct station station;
	struct gate gates[GATES];
	GPtrArray *garbage;
	GArray *quiet_ms;
	uint64_t flood_answered;
};

/* A stream of requests of one tenant. */
struct source {
	struct tenants_world *world;
	int tenant;
	double rate;
};

struct sent {
	struct gate_request req;
	struct source *source;
	int64_t sent_us;
};

static void answered(struct gate_request *req, enum gate_result result,
		     int64_t now_us)
{
	struct sent *sent = req->data;
	struct tenants_world *w = sent->source->world;

	if (now_us < WARM_UP_US)
		return;
	if (sent->source->tenant)
		w->flood_answered += result == GATE_ANSWERED;
	else
		sample_add(w->quiet_ms,
			   (now_us + CALLER_US - sent->sent_us) / 1000.0);
}

static void reaches_daemon(int64_t now_us, void *data)
{
	struct sent *sent = data;

	gate_submit(&sent->req, now_us);
}

static void send_next(int64_t now_us, void *data)
{
	struct source *source = data;
	struct tenants_world *w = source->world;
	struct sent *sent = g_new0(struct sent, 1);

	g_ptr_array_add(w->garbage, sent);
	sent->source = source;
	sent->sent_us = now_us;
	sent->req.gate = &w->gates[gsl_rng_uniform_int(w->rng, GATES)];
	sent->req.tenant = source->tenant;
	sent->req.deadline_us = now_us + DEADLINE_US;
	sent->req.done = answered;
	sent->req.data = sent;
	timer_subscribe(&w->timers, now_us + CALLER_US, 0, reaches_daemon,
			sent);
	timer_subscribe(&w->timers,
			now_us + gsl_ran_exponential(w->rng,
						     SECOND / source->rate),
			0, send_next, source);
}

static void start_gates(struct tenants_world *w, bool naive)
{
	unsigned i;

	for (i = 0; i < GATES; i++) {
		gate_init(&w->gates[i], &w->station,
			  naive ? ADMISSION_FIFO : ADMISSION_FAIR, naive,
			  CONNECTIONS / GATES, CONNECTIONS, BETWEEN_US);
		admission_tenant(&w->gates[i].admission, "quiet", 1);
		admission_tenant(&w->gates[i].admission, "flood", 1);
	}
}

/* Return: answers per second to the flooding tenant, over capacity */
static double run(unsigned seed, bool flood, bool naive, GArray *quiet_ms)
{
	struct tenants_world w = { .quiet_ms = quiet_ms };
	struct source quiet = { &w, 0, QUIET_RATE };
	struct source flooding = { &w, 1, FLOOD_RATE };
	int64_t now_us = 0;
	unsigned i;

	w.rng = gsl_rng_alloc(gsl_rng_mt19937);
	gsl_rng_set(w.rng, seed);
	w.garbage = g_ptr_array_new_with_free_func(g_free);
	timer_service_init(&w.timers);
	station_init(&w.station, &w.timers, w.rng, SLOTS, SERVICE_US);
	start_gates(&w, naive);
	timer_subscribe(&w.timers, 0, 0, send_next, &quiet);
	if (flood)
		timer_subscribe(&w.timers, 0, 0, send_next, &flooding);
	timer_subscribe(&w.timers, 0, TICK_US, gates_tick, w.gates);
	while (now_us < DURATION_US) {
		now_us = timer_service_next_us(&w.timers);
		timer_service_advance(&w.timers, now_us);
	}
	for (i = 0; i < GATES; i++)
		gate_finish(&w.gates[i]);
	station_finish(&w.station);
	timer_service_finish(&w.timers);
	g_ptr_array_free(w.garbage, TRUE);
	gsl_rng_free(w.rng);
	return w.flood_answered /
	       (CAPACITY * (DURATION_US - WARM_UP_US) / (double)SECOND);
}

static double p99_of(unsigned seeds, bool flood, bool naive, double *answered)
{
	GArray *quiet_ms = g_array_new(FALSE, FALSE, sizeof(double));
	double p99;
	unsigned seed;

	*answered = 0;
	for (seed = 0; seed < seeds; seed++)
		*answered += run(seed, flood, naive, quiet_ms) / seeds;
	p99 = sample_quantile(quiet_ms, 0.99);
	g_array_free(quiet_ms, TRUE);
	return p99;
}

int tenants_experiment(unsigned seeds, FILE *out)
{
	double flooded, naive_flooded, none;
	double alone = p99_of(seeds, false, false, &none);
	double beside = p99_of(seeds, true, false, &flooded);
	double naive_alone = p99_of(seeds, false, true, &none);
	double naive_beside = p99_of(seeds, true, true, &naive_flooded);

	figure_print(out, "p99 of the quiet tenant alone, ms", alone,
		     naive_alone, FIGURE_PLAIN, 0);
	figure_print(out, "p99 of the quiet tenant beside the other, ms",
		     beside, naive_beside, FIGURE_PLAIN, 0);
	figure_print(out, "answers to the flooding tenant, of capacity",
		     flooded, naive_flooded, FIGURE_PLAIN, 0);
	return figure_print(out, "p99 of the quiet tenant, beside over alone",
			    beside / alone, naive_beside / naive_alone,
			    FIGURE_AT_MOST, TARGET);
}
