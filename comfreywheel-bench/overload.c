#include "overload.h"

#include <gsl/gsl_randist.h>
#include <math.h>
#include <string.h>

#define SLOTS 2
#define SERVICE_US 5000.0
#define CONNECTIONS 16
#define CAPACITY (SLOTS * SECOND / SERVICE_US)
#define DELAY_US 500
#define TICK_US (5 * MS)
#define WARM_UP_US SECOND
#define FAULTS 0.01
/* A caller tries again twice, with a new deadline each time. */
#define CALLER_ATTEMPTS 3
#define CALLER_PAUSE_US (50 * MS)
#define BIN_US (100 * MS)
#define TENANTS 4
#define MEASURED_US (5 * SECOND)
#define TARGET 0.95

struct world {
	struct overload_run *run;
	gsl_rng *rng;
	struct timer_service timers;
	struct station station;
	struct gate gates[GATES];
	GPtrArray *garbage;
};

/* One attempt of a caller. */
struct attempt {
	struct gate_request req;
	struct world *world;
	unsigned number;
	int64_t sent_us;
	bool over;
};

static void start_attempt(struct world *w, unsigned number, int64_t now_us);

static void attempt_again(int64_t now_us, void *data)
{
	struct attempt *at = data;

	start_attempt(at->world, at->number + 1, now_us);
}

static void attempt_over(struct attempt *at, bool good, int64_t now_us)
{
	struct overload_run *run = at->world->run;
	unsigned bin = now_us / BIN_US;

	at->over = true;
	if (bin < G_N_ELEMENTS(run->good_by_time)) {
		run->good_by_time[bin] += good;
		run->ended_by_time[bin]++;
	}
	if (good) {
		if (now_us >= WARM_UP_US) {
			run->good++;
			sample_add(run->latencies,
				   (now_us - at->sent_us) / 1000.0);
		}
	} else if (at->number < CALLER_ATTEMPTS) {
		timer_subscribe(&at->world->timers, now_us + CALLER_PAUSE_US, 0,
				attempt_again, at);
	}
}

static void attempt_done(struct gate_request *req, enum gate_result result,
			 int64_t now_us)
{
	struct attempt *at = req->data;

	if (!at->over)
		attempt_over(at,
			     result == GATE_ANSWERED &&
				     now_us <= req->deadline_us,
			     now_us);
}

static void attempt_times_out(int64_t now_us, void *data)
{
	struct attempt *at = data;

	if (!at->over)
		attempt_over(at, false, now_us);
}

static void start_attempt(struct world *w, unsigned number, int64_t now_us)
{
	struct attempt *at = g_new0(struct attempt, 1);

	g_ptr_array_add(w->garbage, at);
	at->world = w;
	at->number = number;
	at->sent_us = now_us;
	at->req.gate = &w->gates[gsl_rng_uniform_int(w->rng, GATES)];
	at->req.tenant = gsl_rng_uniform_int(w->rng, TENANTS);
	at->req.deadline_us =
		now_us + (gsl_rng_uniform_int(w->rng, 2) ? 200 * MS : SECOND);
	at->req.done = attempt_done;
	at->req.data = at;
	timer_subscribe(&w->timers, at->req.deadline_us + 1, 0,
			attempt_times_out, at);
	gate_submit(&at->req, now_us);
}

static void arrival(int64_t now_us, void *data)
{
	struct world *w = data;
	double load = now_us < w->run->switch_us ? w->run->load :
						   w->run->load_after;

	if (now_us >= WARM_UP_US)
		w->run->offered++;
	start_attempt(w, 1, now_us);
	timer_subscribe(&w->timers,
			now_us + gsl_ran_exponential(
					 w->rng, SECOND / (CAPACITY * load)),
			0, arrival, w);
}

void overload_run(struct overload_run *run)
{
	struct world w = { .run = run };
	char tenant[2] = "a";
	int64_t now_us = 0;
	unsigned i, t;

	w.rng = gsl_rng_alloc(gsl_rng_mt19937);
	gsl_rng_set(w.rng, run->seed);
	w.garbage = g_ptr_array_new_with_free_func(g_free);
	timer_service_init(&w.timers);
	station_init(&w.station, &w.timers, w.rng, SLOTS, SERVICE_US);
	w.station.fault_rate = FAULTS;
	for (i = 0; i < GATES; i++) {
		gate_init(&w.gates[i], &w.station, run->order, run->naive,
			  CONNECTIONS / GATES, CONNECTIONS, DELAY_US);
		for (t = 0; t < TENANTS; t++) {
			tenant[0] = 'a' + t;
			admission_tenant(&w.gates[i].admission, tenant, 1);
		}
	}
	timer_subscribe(&w.timers, 0, 0, arrival, &w);
	timer_subscribe(&w.timers, 0, TICK_US, gates_tick, w.gates);
	while (now_us < run->duration_us) {
		now_us = timer_service_next_us(&w.timers);
		timer_service_advance(&w.timers, now_us);
	}
	for (i = 0; i < GATES; i++)
		gate_finish(&w.gates[i]);
	station_finish(&w.station);
	timer_service_finish(&w.timers);
	g_ptr_array_free(w.garbage, TRUE);
	gsl_rng_free(w.rng);
}

double overload_goodput(const struct overload_run *run)
{
	return run->good /
	       (CAPACITY * (run->duration_us - WARM_UP_US) / (double)SECOND);
}

struct schedule {
	const char *name;
	enum admission_order order;
	bool naive;
};

static const struct schedule schedules[OVERLOAD_SCHEDULES] = {
	{ "weighted fair", ADMISSION_FAIR, false },
	{ "earliest deadline", ADMISSION_DEADLINE, false },
	{ "first come first served", ADMISSION_FIFO, false },
	{ "naive", ADMISSION_FIFO, true },
};

const char *overload_name(unsigned schedule)
{
	return schedules[schedule].name;
}

static const double loads[] = { 0.5, 0.9, 1.0, 1.2, 2.0 };

double overload_mean(unsigned schedule, double load, unsigned seeds,
		     double *p99_ms)
{
	const struct schedule *sc = &schedules[schedule];
	GArray *latencies = g_array_new(FALSE, FALSE, sizeof(double));
	struct overload_run run;
	double sum = 0;
	unsigned seed;

	for (seed = 0; seed < seeds; seed++) {
		run = (struct overload_run){
			.order = sc->order,
			.naive = sc->naive,
			.seed = seed,
			.load = load,
			.switch_us = INT64_MAX,
			.duration_us = WARM_UP_US + MEASURED_US,
			.latencies = latencies,
		};
		overload_run(&run);
		sum += overload_goodput(&run);
	}
	*p99_ms = sample_quantile(latencies, 0.99);
	g_array_free(latencies, TRUE);
	return sum / seeds;
}

/* Time after the end of an overload until 99% of the attempts that end in
 * half a second are good, and stay so for the next half. */
static double recovery_s(const struct schedule *sc, unsigned seed)
{
	struct overload_run run = {
		.order = sc->order,
		.naive = sc->naive,
		.seed = seed,
		.load = 2,
		.load_after = 0.5,
		.switch_us = 6 * SECOND,
		.duration_us = 20 * SECOND,
	};
	unsigned from = run.switch_us / BIN_US, bin, i, good, ended;

	run.latencies = g_array_new(FALSE, FALSE, sizeof(double));
	overload_run(&run);
	g_array_free(run.latencies, TRUE);
	for (bin = from; bin + 10 < 200; bin++) {
		good = ended = 0;
		for (i = bin; i < bin + 10; i++) {
			good += run.good_by_time[i];
			ended += run.ended_by_time[i];
		}
		if (ended && good >= 0.99 * ended)
			break;
	}
	return (bin - from) * BIN_US / (double)SECOND;
}

static double recovery_p99(const struct schedule *sc, unsigned seeds)
{
	GArray *times = g_array_new(FALSE, FALSE, sizeof(double));
	double p99;
	unsigned seed;

	for (seed = 0; seed < seeds; seed++)
		sample_add(times, recovery_s(sc, seed));
	p99 = sample_quantile(times, 0.99);
	g_array_free(times, TRUE);
	return p99;
}

int overload_experiment(unsigned seeds, FILE *out)
{
	double goodput[G_N_ELEMENTS(schedules)][G_N_ELEMENTS(loads)], p99_ms;
	size_t s, l, naive = G_N_ELEMENTS(schedules) - 1;
	char name[80];
	double naive_recovery;

	for (s = 0; s < G_N_ELEMENTS(schedules); s++) {
		for (l = 0; l < G_N_ELEMENTS(loads); l++) {
			goodput[s][l] =
				overload_mean(s, loads[l], seeds, &p99_ms);
			fprintf(out,
				"  %-24s load %.1f  goodput %.4f of capacity  "
				"p99 %.1f ms\n",
				schedules[s].name, loads[l], goodput[s][l],
				p99_ms);
		}
	}
	naive_recovery = recovery_p99(&schedules[naive], seeds);
	for (s = 0; s < naive; s++) {
		g_snprintf(name, sizeof(name), "recovery p99, s, %s",
			   schedules[s].name);
		figure_print(out, name, recovery_p99(&schedules[s], seeds),
			     naive_recovery, FIGURE_PLAIN, 0);
	}
	/* The daemon uses the first schedule; it carries the target. */
	return figure_print(out, "goodput at 2.0 over goodput at 1.0",
			    goodput[0][4] / goodput[0][2],
			    goodput[naive][4] / goodput[naive][2],
			    FIGURE_AT_LEAST, TARGET);
}
