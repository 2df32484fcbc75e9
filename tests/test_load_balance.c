#include "load_balance.h"
#include "placement.h"
#include "send_window.h"
#include "test_main.h"

#include <glib.h>
#include <stdio.h>

/*
 * Simulates the choosers of one service in steps of virtual time. Upstreams
 * work first come, first served. A chooser knows an upstream only by the
 * answers to its own statements, which arrive ANSWER_DELAY_US after the end of
 * the statement, and uses a send window as the entry daemon does.
 */

#define UPSTREAMS 3
#define MAX_SLOTS 6
#define MAX_CHOOSERS 60
#define STEP_US 500ll
#define ANSWER_DELAY_US 2000ll
#define MIN_WORK_US 3000
#define MAX_WORK_US 55000
#define MIN_LATENCY_US 2000ll
/* Interval in which the busiest upstream is compared to the mean. */
#define INTERVAL_US (250 * 1000ll)
#define DURATION_US (20 * 1000 * 1000ll)
#define SEEDS 8
/* Margin of the p99 of the waiting time under load and faults: callers notice a
 * wait once it is as long as an average statement. */
#define NOTICED_US ((MIN_WORK_US + MAX_WORK_US) / 2)
/* Margin without overload: the wait that avoiding another zone is worth. */
#define QUIET_US LOAD_BALANCE_CROSS_ZONE_COST_US
/* Margin of the share of time with uneven load: of a hundred statements, two
 * may find it so that did not before. */
#define UNEVEN_MARGIN 0.02
/* Largest share of reads at the primary while nothing queues, as required of
 * placement. */
#define MAX_PRIMARY_SHARE 0.1

enum fault { NO_FAULT, SLOWED, STOPPED, OLD_ESTIMATE };

/* A third of the choosers in the zone of each upstream, without a primary or
 * with the first as the primary; or all in the zone of the first. */
enum layout { SPREAD, WITH_PRIMARY, ONE_ZONE };

struct scenario {
	const char *name;
	unsigned choosers;
	unsigned connections;
	unsigned slots[UPSTREAMS];
	unsigned load_percent;
	enum fault fault;
	enum layout layout;
};

/*
 * @uneven: largest share of time in which one upstream queues while another
 *          has idle slots, over the upstreams
 * @busiest: busiest upstream to the mean, averaged over the intervals
 * @sent: statements sent to each upstream
 * @sent_in_fault: statements sent to the upstream with the fault meanwhile
 */
struct outcome {
	double uneven;
	double busiest;
	int64_t p99_us;
	unsigned total;
	unsigned sent[UPSTREAMS];
	unsigned sent_in_fault;
	unsigned own_zone;
};

struct query {
	unsigned chooser;
	unsigned upstream;
	int64_t arrived_us;
	int64_t sent_us;
	int64_t answer_us;
	int64_t left_us;
};

struct upstream {
	GQueue queue;
	struct query *running[MAX_SLOTS];
	unsigned nr_slots;
	int64_t work_us;
	unsigned uneven_steps;
};

struct chooser {
	struct send_window window[UPSTREAMS];
	GQueue in_flight[UPSTREAMS];
	GQueue waiting;
};

struct simulation {
	const struct scenario *scenario;
	bool balance;
	GRand *rand;
	int64_t now_us;
	struct upstream upstream[UPSTREAMS];
	struct chooser chooser[MAX_CHOOSERS];
	GQueue answers;
	GArray *waits;
	double busiest_sum;
	struct outcome out;
};

static bool in_fault(const struct simulation *sim)
{
	return sim->now_us >= DURATION_US / 4 && sim->now_us < DURATION_US / 2;
}

static int choose_greedily(const struct load_balance_option *from,
			   uint32_t random)
{
	struct placement_option options[UPSTREAMS];
	unsigned i;

	for (i = 0; i < UPSTREAMS; i++)
		options[i] = (struct placement_option){
			.primary = from[i].primary,
			.other_zone = from[i].other_zone,
			.usable = from[i].usable,
			.idle = from[i].idle,
			.busy = from[i].busy,
			.openable = from[i].openable,
			.latency_us = MAX(from[i].latency_us, MIN_LATENCY_US),
		};
	return placement_choose(options, UPSTREAMS, random);
}

static int64_t oldest_us(const struct simulation *sim, GQueue *in_flight)
{
	const struct query *q = g_queue_peek_head(in_flight);

	return q ? sim->now_us - q->sent_us : 0;
}

static int choose(struct simulation *sim, unsigned index)
{
	const struct scenario *sc = sim->scenario;
	struct load_balance_option options[UPSTREAMS];
	struct chooser *c = &sim->chooser[index];
	uint32_t random = g_rand_int(sim->rand) >> 8;
	unsigned zone = sc->layout == ONE_ZONE ? 0 : index % UPSTREAMS;
	unsigned i;

	for (i = 0; i < UPSTREAMS; i++)
		options[i] = (struct load_balance_option){
			.primary = sc->layout == WITH_PRIMARY && !i,
			.other_zone = zone != i,
			.usable = send_window_allows(&c->window[i],
						     c->in_flight[i].length),
			.idle = sc->connections - c->in_flight[i].length,
			.busy = c->in_flight[i].length,
			.latency_us = c->window[i].latency_us,
			.base_latency_us = c->window[i].base_latency_us,
			.age_us = sim->now_us - c->window[i].answered_us,
			.oldest_us = oldest_us(sim, &c->in_flight[i]),
		};
	return sim->balance ? load_balance_choose(options, UPSTREAMS, random) :
			      choose_greedily(options, random);
}

static void send_waiting(struct simulation *sim, unsigned index)
{
	struct chooser *c = &sim->chooser[index];
	struct query *q;
	int chosen;

	while (!g_queue_is_empty(&c->waiting)) {
		chosen = choose(sim, index);
		if (chosen < 0)
			return;
		q = g_queue_pop_head(&c->waiting);
		q->upstream = (unsigned)chosen;
		q->sent_us = sim->now_us;
		g_queue_push_tail(&c->in_flight[chosen], q);
		sim->out.total++;
		sim->out.sent[chosen]++;
		sim->out.own_zone += index % UPSTREAMS == q->upstream;
		if (!chosen && in_fault(sim))
			sim->out.sent_in_fault++;
		g_queue_push_tail(&sim->upstream[chosen].queue, q);
	}
}

static void receive_answers(struct simulation *sim)
{
	struct query *q;
	struct chooser *c;

	while ((q = g_queue_peek_head(&sim->answers)) &&
	       q->answer_us <= sim->now_us) {
		g_queue_pop_head(&sim->answers);
		c = &sim->chooser[q->chooser];
		g_queue_remove(&c->in_flight[q->upstream], q);
		send_window_answered(&c->window[q->upstream],
				     sim->now_us - q->sent_us, sim->now_us);
		g_free(q);
	}
}

static int64_t progress_us(const struct simulation *sim, unsigned index)
{
	if (index || !in_fault(sim))
		return STEP_US;
	if (sim->scenario->fault == SLOWED)
		return STEP_US / 5;
	return sim->scenario->fault == STOPPED ? 0 : STEP_US;
}

/* Return: number of idle slots. */
static unsigned run_upstream(struct simulation *sim, unsigned index)
{
	struct upstream *u = &sim->upstream[index];
	unsigned idle = 0;
	unsigned i;

	for (i = 0; i < u->nr_slots; i++) {
		struct query *q = u->running[i];

		if (q && (q->left_us -= progress_us(sim, index)) <= 0) {
			q->answer_us = sim->now_us + ANSWER_DELAY_US;
			g_queue_push_tail(&sim->answers, q);
			u->running[i] = NULL;
		}
		if (!u->running[i] && (q = g_queue_pop_head(&u->queue))) {
			int64_t wait_us = sim->now_us - q->arrived_us;

			g_array_append_val(sim->waits, wait_us);
			u->running[i] = q;
		}
		idle += !u->running[i];
	}
	u->work_us += (u->nr_slots - idle + u->queue.length) * STEP_US;
	return idle;
}

static void run_upstreams(struct simulation *sim)
{
	unsigned idle[UPSTREAMS];
	unsigned total = 0;
	unsigned i;

	for (i = 0; i < UPSTREAMS; i++)
		total += idle[i] = run_upstream(sim, i);
	for (i = 0; i < UPSTREAMS; i++)
		if (sim->upstream[i].queue.length && total > idle[i])
			sim->upstream[i].uneven_steps++;
}

/* Compares the statements in the upstreams, queued or running, per slot. */
static void count_interval(struct simulation *sim)
{
	double sum = 0, busiest = 0;
	unsigned i;

	for (i = 0; i < UPSTREAMS; i++) {
		struct upstream *u = &sim->upstream[i];
		double per_slot = (double)u->work_us / u->nr_slots;

		sum += per_slot;
		busiest = MAX(busiest, per_slot);
		u->work_us = 0;
	}
	sim->busiest_sum += sum > 0 ? busiest * UPSTREAMS / sum : 1;
}

static void add_arrivals(struct simulation *sim)
{
	const struct scenario *sc = sim->scenario;
	unsigned slots = 0;
	guint64 rate;
	unsigned i;

	for (i = 0; i < UPSTREAMS; i++)
		slots += sc->slots[i];
	/* Arrivals of a chooser in a step, in parts of 2^32. */
	rate = ((guint64)slots * sc->load_percent * STEP_US << 32) /
	       (100ull * sc->choosers * (MIN_WORK_US + MAX_WORK_US) / 2);
	for (i = 0; i < sc->choosers; i++) {
		struct query *q;

		if (g_rand_int(sim->rand) >= rate)
			continue;
		q = g_new0(struct query, 1);
		q->chooser = i;
		q->arrived_us = sim->now_us;
		q->left_us = g_rand_int_range(sim->rand, MIN_WORK_US,
					      MAX_WORK_US + 1);
		g_queue_push_tail(&sim->chooser[i].waiting, q);
	}
}

static int compare_us(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

static void simulate(struct simulation *sim)
{
	unsigned i, k;

	for (sim->now_us = 0; sim->now_us < DURATION_US;
	     sim->now_us += STEP_US) {
		receive_answers(sim);
		add_arrivals(sim);
		for (i = 0; i < sim->scenario->choosers; i++)
			send_waiting(sim, i);
		run_upstreams(sim);
		if ((sim->now_us + STEP_US) % INTERVAL_US == 0)
			count_interval(sim);
	}
	for (i = 0; i < UPSTREAMS; i++) {
		struct upstream *u = &sim->upstream[i];

		sim->out.uneven =
			MAX(sim->out.uneven,
			    (double)u->uneven_steps * STEP_US / DURATION_US);
		g_queue_clear_full(&u->queue, g_free);
		for (k = 0; k < u->nr_slots; k++)
			g_free(u->running[k]);
	}
	sim->out.busiest = sim->busiest_sum * INTERVAL_US / DURATION_US;
}

static struct outcome play(const struct scenario *sc, bool balance,
			   uint32_t seed)
{
	struct simulation *sim = g_new0(struct simulation, 1);
	struct outcome out;
	unsigned i, k;

	sim->scenario = sc;
	sim->balance = balance;
	sim->rand = g_rand_new_with_seed(seed);
	sim->waits = g_array_new(FALSE, FALSE, sizeof(int64_t));
	for (i = 0; i < UPSTREAMS; i++)
		sim->upstream[i].nr_slots = sc->slots[i];
	for (i = 0; i < sc->choosers; i++)
		for (k = 0; k < UPSTREAMS; k++)
			send_window_init(&sim->chooser[i].window[k]);
	for (i = 0; i < sc->choosers && sc->fault == OLD_ESTIMATE; i++)
		for (k = 0; k < UPSTREAMS; k++) {
			struct send_window *w = &sim->chooser[i].window[k];

			w->base_latency_us = (MIN_WORK_US + MAX_WORK_US) / 2;
			w->latency_us = w->base_latency_us * (k ? 1 : 10);
			w->answered_us = -DURATION_US;
		}
	simulate(sim);
	g_array_sort(sim->waits, compare_us);
	out = sim->out;
	out.p99_us =
		g_array_index(sim->waits, int64_t, sim->waits->len * 99 / 100);
	g_array_free(sim->waits, TRUE);
	g_queue_clear_full(&sim->answers, g_free);
	for (i = 0; i < sc->choosers; i++) {
		for (k = 0; k < UPSTREAMS; k++)
			g_queue_clear(&sim->chooser[i].in_flight[k]);
		g_queue_clear_full(&sim->chooser[i].waiting, g_free);
	}
	g_rand_free(sim->rand);
	g_free(sim);
	return out;
}

static const struct scenario equal_slots[] = {
	{ "9, 2 slots", 9, 6, { 2, 2, 2 }, 60, NO_FAULT, SPREAD },
	{ "9, 4 slots", 9, 6, { 4, 4, 4 }, 60, NO_FAULT, SPREAD },
	{ "9, 6 slots", 9, 6, { 6, 6, 6 }, 60, NO_FAULT, SPREAD },
	{ "60, 2 slots", 60, 3, { 2, 2, 2 }, 60, NO_FAULT, SPREAD },
	{ "60, 4 slots", 60, 3, { 4, 4, 4 }, 60, NO_FAULT, SPREAD },
	{ "60, 6 slots", 60, 3, { 6, 6, 6 }, 60, NO_FAULT, SPREAD },
};

static const struct scenario quiet[] = {
	{ "9, quiet", 9, 6, { 4, 4, 4 }, 10, NO_FAULT, SPREAD },
	{ "60, quiet", 60, 3, { 4, 4, 4 }, 10, NO_FAULT, SPREAD },
	{ "9, quiet, primary", 9, 6, { 4, 4, 4 }, 10, NO_FAULT, WITH_PRIMARY },
	{ "60, quiet, primary", 60, 3, { 4, 4, 4 }, 10, NO_FAULT, WITH_PRIMARY },
};

static const struct scenario unequal_slots[] = {
	{ "9, 2/4/6 slots", 9, 6, { 2, 4, 6 }, 60, NO_FAULT, SPREAD },
	{ "9, 2/4/6 slots", 9, 6, { 2, 4, 6 }, 90, NO_FAULT, SPREAD },
	{ "60, 2/4/6 slots", 60, 3, { 2, 4, 6 }, 60, NO_FAULT, SPREAD },
	{ "60, 2/4/6 slots", 60, 3, { 2, 4, 6 }, 90, NO_FAULT, SPREAD },
};

static const struct scenario faults[] = {
	{ "9, one slowed", 9, 6, { 4, 4, 4 }, 60, SLOWED, SPREAD },
	{ "60, one slowed", 60, 3, { 4, 4, 4 }, 60, SLOWED, SPREAD },
	{ "9, one stopped", 9, 6, { 4, 4, 4 }, 60, STOPPED, SPREAD },
	{ "60, one stopped", 60, 3, { 4, 4, 4 }, 60, STOPPED, SPREAD },
};

static const struct scenario old_estimates[] = {
	{ "9, one estimate old", 9, 6, { 4, 4, 4 }, 60, OLD_ESTIMATE, SPREAD },
	{ "60, one estimate old", 60, 3, { 4, 4, 4 }, 60, OLD_ESTIMATE, SPREAD },
	{ "60, one estimate old", 60, 3, { 4, 4, 4 }, 90, OLD_ESTIMATE, SPREAD },
};

/* Means over the seeds, and the sums of what is counted in statements. */
static struct outcome play_seeds(const struct scenario *sc, bool balance)
{
	struct outcome mean = { 0 };
	uint32_t seed;
	unsigned i;

	for (seed = 1; seed <= SEEDS; seed++) {
		struct outcome o = play(sc, balance, seed);

		mean.uneven += o.uneven / SEEDS;
		mean.busiest += o.busiest / SEEDS;
		mean.p99_us += o.p99_us / SEEDS;
		mean.total += o.total;
		for (i = 0; i < UPSTREAMS; i++)
			mean.sent[i] += o.sent[i];
		mean.sent_in_fault += o.sent_in_fault;
		mean.own_zone += o.own_zone;
	}
	return mean;
}

static double share(unsigned part, const struct outcome *o)
{
	return (double)part / o->total;
}

static void print_outcome(const struct scenario *sc, const char *name,
			  const struct outcome *o)
{
	printf("%-20s %2u%%%s %-6s uneven %.3f busiest %.3f p99 %6.1f ms "
	       "own zone %.2f shares %.2f %.2f %.2f in fault %u\n",
	       sc->name, sc->load_percent,
	       sc->layout == ONE_ZONE ? " one zone" : "", name, o->uneven,
	       o->busiest, (double)o->p99_us / 1000, share(o->own_zone, o),
	       share(o->sent[0], o), share(o->sent[1], o), share(o->sent[2], o),
	       o->sent_in_fault);
}

static void compare(const struct scenario *sc, struct outcome *greedy,
		    struct outcome *balanced)
{
	*greedy = play_seeds(sc, false);
	*balanced = play_seeds(sc, true);
	print_outcome(sc, "greedy", greedy);
	print_outcome(sc, "new", balanced);
	fflush(stdout);
}

/* Guards against longer waits than with the greedy choice where that one is
 * good enough: equal upstreams that are not overloaded. */
START_TEST(test_equal_slots)
{
	struct outcome greedy, balanced;
	guint i;

	for (i = 0; i < G_N_ELEMENTS(equal_slots); i++) {
		compare(&equal_slots[i], &greedy, &balanced);
		ck_assert_int_le(balanced.p99_us, greedy.p99_us + QUIET_US);
		ck_assert(balanced.uneven <= greedy.uneven + UNEVEN_MARGIN);
	}
}
END_TEST

/* Guards against overrunning equal upstreams in turn: the busiest must not be
 * further from the mean, and a wait not noticeably longer. */
START_TEST(test_equal_slots_under_load)
{
	struct outcome greedy, balanced;
	guint i;

	for (i = 0; i < G_N_ELEMENTS(equal_slots); i++) {
		struct scenario loaded = equal_slots[i];

		loaded.load_percent = 90;
		compare(&loaded, &greedy, &balanced);
		ck_assert_int_le(balanced.p99_us, greedy.p99_us + NOTICED_US);
		ck_assert(balanced.uneven <= greedy.uneven + UNEVEN_MARGIN);
		ck_assert(balanced.busiest <= greedy.busiest + UNEVEN_MARGIN);
	}
}
END_TEST

/* Guards against many daemons that all prefer the same upstream, and overrun it
 * by more than the other zones cost. */
START_TEST(test_one_zone)
{
	struct outcome greedy, balanced;
	guint i;

	for (i = 0; i < G_N_ELEMENTS(equal_slots); i++) {
		struct scenario sc = equal_slots[i];

		if (sc.choosers < MAX_CHOOSERS)
			continue;
		sc.layout = ONE_ZONE;
		compare(&sc, &greedy, &balanced);
		ck_assert_int_le(balanced.p99_us, greedy.p99_us + QUIET_US);
		sc.load_percent = 90;
		compare(&sc, &greedy, &balanced);
		ck_assert_int_le(balanced.p99_us + NOTICED_US, greedy.p99_us);
		ck_assert(balanced.busiest < greedy.busiest);
	}
}
END_TEST

/* Guards against overrunning the larger upstreams while a smaller one is idle,
 * when each of many daemons rarely hears of it. */
START_TEST(test_unequal_slots)
{
	struct outcome greedy, balanced;
	guint i;

	for (i = 0; i < G_N_ELEMENTS(unequal_slots); i++) {
		const struct scenario *sc = &unequal_slots[i];

		compare(sc, &greedy, &balanced);
		ck_assert_int_le(balanced.p99_us, greedy.p99_us + NOTICED_US);
		if (sc->choosers < MAX_CHOOSERS || sc->load_percent < 90)
			continue;
		ck_assert_int_le(balanced.p99_us + NOTICED_US, greedy.p99_us);
		ck_assert(balanced.uneven + UNEVEN_MARGIN <= greedy.uneven);
		ck_assert(balanced.busiest < greedy.busiest);
	}
}
END_TEST

/* Guards against sending more to an upstream that is slow or silent because
 * what is known of it is forgotten. */
START_TEST(test_faults)
{
	struct outcome greedy, balanced;
	guint i;

	for (i = 0; i < G_N_ELEMENTS(faults); i++) {
		compare(&faults[i], &greedy, &balanced);
		ck_assert_int_le(balanced.p99_us, greedy.p99_us + NOTICED_US);
		ck_assert(balanced.uneven <= greedy.uneven + UNEVEN_MARGIN);
		if (faults[i].fault == STOPPED)
			ck_assert_uint_le(balanced.sent_in_fault,
					  greedy.sent_in_fault);
	}
}
END_TEST

/* Guards against an upstream that is never used again because it was slow when
 * it last answered. */
START_TEST(test_old_estimate)
{
	struct outcome greedy, balanced;
	guint i;

	for (i = 0; i < G_N_ELEMENTS(old_estimates); i++) {
		const struct scenario *sc = &old_estimates[i];

		compare(sc, &greedy, &balanced);
		ck_assert_int_lt(balanced.p99_us, greedy.p99_us);
		ck_assert(balanced.busiest <= greedy.busiest + UNEVEN_MARGIN);
		if (sc->load_percent >= 90)
			ck_assert_int_le(balanced.p99_us + NOTICED_US,
					 greedy.p99_us);
		else
			ck_assert(balanced.uneven + UNEVEN_MARGIN <=
				  greedy.uneven);
	}
}
END_TEST

/* Guards against traffic to other zones and reads at the primary that random
 * draws cause while nothing queues. */
START_TEST(test_quiet_service)
{
	struct outcome greedy, balanced;
	guint i;

	for (i = 0; i < G_N_ELEMENTS(quiet); i++) {
		compare(&quiet[i], &greedy, &balanced);
		ck_assert_int_le(balanced.p99_us, greedy.p99_us + QUIET_US);
		ck_assert(share(balanced.own_zone, &balanced) >=
			  share(greedy.own_zone, &greedy) - UNEVEN_MARGIN);
		if (quiet[i].layout == WITH_PRIMARY)
			ck_assert(share(balanced.sent[0], &balanced) <=
				  MAX_PRIMARY_SHARE);
	}
}
END_TEST

static struct load_balance_option make_option(unsigned busy)
{
	return (struct load_balance_option){
		.usable = true,
		.idle = 1,
		.busy = busy,
		.latency_us = 20000,
		.base_latency_us = 20000,
	};
}

/* Guards against sending a read to an upstream that must not or cannot run it,
 * and against refusing one that a single upstream can run. */
START_TEST(test_only_usable)
{
	struct load_balance_option options[UPSTREAMS];
	uint32_t random;

	options[0] = make_option(0);
	options[0].usable = false;
	options[1] = make_option(9);
	options[1].primary = true;
	options[2] = make_option(0);
	options[2].idle = 0;
	for (random = 0; random < 1u << LOAD_BALANCE_RANDOM_BITS; random += 997)
		ck_assert_int_eq(
			load_balance_choose(options, UPSTREAMS, random), 1);
	options[1].usable = false;
	ck_assert_int_eq(load_balance_choose(options, UPSTREAMS, 0), -1);
	ck_assert_int_eq(load_balance_choose(options, 0, 0), -1);
}
END_TEST

/* Guards against choosing the dearer of two: of two usable upstreams, both are
 * drawn, so only their costs decide. */
START_TEST(test_cheaper_of_two)
{
	struct load_balance_option options[2];
	uint32_t random;

	for (random = 0; random < 1u << LOAD_BALANCE_RANDOM_BITS;
	     random += 997) {
		options[0] = options[1] = make_option(1);
		options[0].primary = true;
		ck_assert_int_eq(load_balance_choose(options, 2, random), 1);
		options[0] = make_option(1);
		options[0].other_zone = true;
		ck_assert_int_eq(load_balance_choose(options, 2, random), 1);
		options[0] = make_option(1);
		options[0].idle = 0;
		options[0].openable = 1;
		ck_assert_int_eq(load_balance_choose(options, 2, random), 1);
		options[0] = make_option(1);
		options[0].oldest_us = 100000;
		ck_assert_int_eq(load_balance_choose(options, 2, random), 1);
	}
}
END_TEST

/* Guards against an estimate that outlives its half-life, and against trust in
 * an upstream that has left a statement unanswered. */
START_TEST(test_estimate_ages)
{
	struct load_balance_option o = make_option(0);
	int64_t half_life_us =
		o.base_latency_us * LOAD_BALANCE_HALF_LIFE_STATEMENTS;

	o.latency_us = 220000;
	ck_assert_int_eq(load_balance_latency_us(&o, 20000), 220000);
	o.age_us = half_life_us;
	ck_assert_int_eq(load_balance_latency_us(&o, 20000), 120000);
	o.age_us = INT64_MAX;
	ck_assert_int_eq(load_balance_latency_us(&o, 20000), 20000);
	o.oldest_us = 500000;
	ck_assert_int_eq(load_balance_latency_us(&o, 20000), 500000);
	o = (struct load_balance_option){ .usable = true };
	ck_assert_int_eq(load_balance_latency_us(&o, 0),
			 LOAD_BALANCE_MIN_LATENCY_US);
}
END_TEST

TEST_MAIN("load_balance", test_only_usable, test_cheaper_of_two,
	  test_estimate_ages, test_quiet_service, test_equal_slots,
	  test_equal_slots_under_load, test_one_zone, test_unequal_slots,
	  test_faults, test_old_estimate)
