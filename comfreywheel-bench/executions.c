#include "experiment.h"
#include "retry.h"
#include "timer_service.h"

#include <math.h>
#include <string.h>

/*
 * One booking at a time: a caller sends it, resends it after an unknown
 * outcome if it has an identity, and the connection, the daemon or the
 * primary is lost at any moment. Statements on their way still run.
 */

#define REQUESTS 500
#define QUEUE_US (10 * MS)
#define WIRE_US (20 * MS)
#define REPLICATE_US (10 * MS)
#define FAULT_US (90 * MS)
#define RESEND_US (30 * MS)
#define LOSS_CHANCE 0.7
#define SENDS 6
#define PROXY_ATTEMPTS 6
#define DEADLINE_US SECOND

enum variant {
	WITH_IDENTITY,
	WITHOUT_IDENTITY,
	BLIND_RETRY,
};

struct totals {
	double most;
	uint64_t repeated;
	uint64_t refused_but_ran;
	uint64_t lost;
};

/* @ran, @replicated: rows of this booking at the primary and its successor */
struct booking {
	enum variant variant;
	gsl_rng *rng;
	struct timer_service timers;
	unsigned epoch;
	unsigned ran;
	unsigned replicated;
	unsigned sends;
	bool done;
	struct retry_budget budget;
	GPtrArray *garbage;
	struct totals *totals;
};

/* One try of one daemon; @acknowledged: the successor has it too */
struct
try {
	struct booking *booking;
	enum request_stage stage;
	unsigned epoch;
	unsigned attempts;
	int64_t deadline_us;
	bool ran;
	bool closed;
};

static void start_try(struct booking *b, unsigned attempts, int64_t deadline_us,
		      int64_t now_us);

static int64_t within(struct booking *b, int64_t span_us)
{
	return 1 + gsl_rng_uniform(b->rng) * span_us;
}

static void at(struct booking *b, int64_t at_us, timer_callback callback,
	       void *data)
{
	timer_subscribe(&b->timers, at_us, 0, callback, data);
}

static void send(int64_t now_us, void *data)
{
	struct booking *b = data;

	if (b->done || b->sends >= SENDS)
		return;
	b->sends++;
	start_try(b, 1, now_us + DEADLINE_US, now_us);
}

/* What the caller does with an outcome. */
static void tell(struct try *try, enum outcome outcome, int64_t now_us)
{
	struct booking *b = try->booking;

	b->totals->refused_but_ran += outcome == OUTCOME_REFUSED && try->ran;
	if (outcome == OUTCOME_DONE) {
		b->done = true;
		return;
	}
	if (outcome == OUTCOME_UNKNOWN && b->variant == WITHOUT_IDENTITY)
		return;
	at(b, now_us + within(b, RESEND_US), send, b);
}

static void settle(struct try *try, enum outcome outcome, int64_t now_us)
{
	struct booking *b = try->booking;
	struct retry_request req = {
		.outcome = outcome,
		.attempts = try->attempts,
		.deadline_us = try->deadline_us,
	};
	bool again;

	if (try->closed)
		return;
	try->closed = true;
	if (b->variant == BLIND_RETRY)
		again = outcome != OUTCOME_DONE &&
			try->attempts < PROXY_ATTEMPTS;
	else
		again = retry_allowed(&b->budget, &req, now_us);
	if (again)
		start_try(b, try->attempts + 1, try->deadline_us, now_us);
	else
		tell(try, outcome, now_us);
}

/* The successor received the write: a daemon may pass on the answer. */
static void replicated(int64_t now_us, void *data)
{
	struct try *try = data;

	if (try->epoch != try->booking->epoch)
		return;
	try->booking->replicated = try->booking->ran;
}

static void answered(int64_t now_us, void *data)
{
	struct try *try = data;
	struct booking *b = try->booking;

	if (try->closed)
		return;
	if (b->variant == BLIND_RETRY) {
		settle(try, OUTCOME_DONE, now_us);
	} else if (try->epoch != b->epoch) {
		settle(try, OUTCOME_UNKNOWN, now_us);
	} else if (b->replicated) {
		settle(try, OUTCOME_DONE, now_us);
	} else {
		at(b, now_us + MS, answered, try);
	}
}

static void runs(int64_t now_us, void *data)
{
	struct try *try = data;
	struct booking *b = try->booking;

	if (try->epoch != b->epoch)
		return;
	/* With an identity a second row violates the key. */
	if (b->variant != WITH_IDENTITY || !b->ran) {
		b->ran++;
		try->ran = true;
		at(b, now_us + within(b, REPLICATE_US), replicated, try);
	}
	at(b, now_us + within(b, WIRE_US), answered, try);
}

static void sent(int64_t now_us, void *data)
{
	struct try *try = data;

	if (try->closed)
		return;
	try->stage = try->booking->variant == WITH_IDENTITY ?
			     STAGE_COMMIT_SENT :
			     STAGE_SENT;
	at(try->booking, now_us + within(try->booking, WIRE_US), runs, try);
}

static void connected(int64_t now_us, void *data)
{
	struct try *try = data;

	try->stage = STAGE_NOT_SENT;
	at(try->booking, now_us + within(try->booking, QUEUE_US), sent, try);
}

static void lose_connection(int64_t now_us, void *data)
{
	struct try *try = data;

	settle(try, outcome_after_loss(try->stage, false, false), now_us);
}

/* The caller loses its connection and cannot know how far the request got. */
static void lose_daemon(int64_t now_us, void *data)
{
	struct try *try = data;

	if (try->closed)
		return;
	try->closed = true;
	tell(try, OUTCOME_UNKNOWN, now_us);
}

static void lose_primary(int64_t now_us, void *data)
{
	struct try *try = data;
	struct booking *b = try->booking;

	b->epoch++;
	b->ran = b->replicated;
	lose_connection(now_us, try);
}

static void start_try(struct booking *b, unsigned attempts, int64_t deadline_us,
		      int64_t now_us)
{
	static const timer_callback faults[] = { lose_connection, lose_daemon,
						 lose_primary };
	struct try *try = g_new0(struct try, 1);

	g_ptr_array_add(b->garbage, try);
	try->booking = b;
	try->stage = STAGE_QUEUED;
	try->epoch = b->epoch;
	try->attempts = attempts;
	try->deadline_us = deadline_us;
	at(b, now_us + within(b, QUEUE_US), connected, try);
	if (gsl_rng_uniform(b->rng) < LOSS_CHANCE)
		at(b, now_us + within(b, FAULT_US),
		   faults[gsl_rng_uniform_int(b->rng, G_N_ELEMENTS(faults))],
		   try);
}

static void run_booking(enum variant variant, gsl_rng *rng,
			struct totals *totals)
{
	struct booking b = { .variant = variant, .rng = rng, .totals = totals };
	int64_t next_us;

	b.garbage = g_ptr_array_new_with_free_func(g_free);
	retry_budget_init(&b.budget);
	timer_service_init(&b.timers);
	send(0, &b);
	while ((next_us = timer_service_next_us(&b.timers)) <= 10 * SECOND)
		timer_service_advance(&b.timers, next_us);
	totals->most = fmax(totals->most, b.ran);
	totals->repeated += b.ran > 1;
	totals->lost += b.done && !b.ran;
	timer_service_finish(&b.timers);
	g_ptr_array_free(b.garbage, TRUE);
}

static void run_all(enum variant variant, unsigned seeds, struct totals *totals)
{
	gsl_rng *rng = gsl_rng_alloc(gsl_rng_mt19937);
	unsigned seed, i;

	memset(totals, 0, sizeof(*totals));
	for (seed = 0; seed < seeds; seed++) {
		gsl_rng_set(rng, seed);
		for (i = 0; i < REQUESTS; i++)
			run_booking(variant, rng, totals);
	}
	gsl_rng_free(rng);
}

int executions_experiment(unsigned seeds, FILE *out)
{
	struct totals with, without, naive;
	int missed;

	run_all(WITH_IDENTITY, seeds, &with);
	run_all(WITHOUT_IDENTITY, seeds, &without);
	run_all(BLIND_RETRY, seeds, &naive);
	missed = figure_print(out, "most executions, with identity", with.most,
			      naive.most, FIGURE_AT_MOST, 1);
	missed |= figure_print(out, "most executions, without identity",
			       without.most, naive.most, FIGURE_AT_MOST, 1);
	missed |= figure_print(out, "requests executed more than once",
			       with.repeated + without.repeated, naive.repeated,
			       FIGURE_AT_MOST, 0);
	missed |= figure_print(out, "told \"did not run\", but ran",
			       with.refused_but_ran + without.refused_but_ran,
			       naive.refused_but_ran, FIGURE_AT_MOST, 0);
	missed |= figure_print(out, "acknowledged, but lost",
			       with.lost + without.lost, naive.lost,
			       FIGURE_AT_MOST, 0);
	return missed;
}
