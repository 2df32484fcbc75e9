#include "failover_experiment.h"

#include "experiment.h"
#include "failover_faults.h"

#include <math.h>

/* A p99 needs this many runs to rest on ten of them. */
#define SEEDS_MIN 1000
#define WARM_UP_US (1500 * MS)
#define STEP_US (50 * MS)
#define LONGEST_US (6 * SECOND)
#define LOSSY_US (10 * SECOND)
#define REPLICATION_LAG_US (20 * MS)

/** struct user - a user organisation's size and latency */
struct user {
	const char *name;
	unsigned zones;
	int64_t zone_latency_us;
};

static const struct user users[] = {
	{ "lakeshore", 3, 500 },
	{ "filtrex", 4, 1500 },
};

enum part {
	PART_GAP,
	PART_DETECTION,
	PART_FENCING,
	PART_CHOICE,
	PART_PROMOTION,
	PART_SPREADING,
	PARTS,
};

static const char *const part_names[] = {
	"gap", "detection", "fencing", "choice", "promotion", "spreading",
};

/** struct tally - samples of one scenario, in seconds */
struct tally {
	GArray *parts[PARTS];
	unsigned runs;
	unsigned unfinished;
	unsigned broken;
	unsigned naive_broken;
};

static struct world_config config_of(const struct user *user,
				     unsigned long seed)
{
	return (struct world_config){
		.daemons = 8,
		.control_vms = 3,
		.clusters = 1,
		.zones = user->zones,
		.zone_latency_us = user->zone_latency_us,
		.clock_drift = 0.01,
		.reliable = true,
		.replication_lag_us = REPLICATION_LAG_US,
		.seed = seed,
	};
}

/* Odd seeds lose the whole VM, even ones the process only. */
static void apply(struct world *world, bool isolated)
{
	struct database *db = world_database(world, world_primary(world, 0));
	int node = world_primary(world, 0);

	if (isolated) {
		world_isolate(world, node, 0, true);
		world_isolate(world, 0, node, true);
		return;
	}
	db->up = false;
	db->refuses = world->config.seed % 2 == 0;
}

/* When the last daemon that is not isolated wrote in the new term, or -1. */
static int64_t all_wrote_us(const struct world *world, bool isolated)
{
	const struct daemon_cluster *c;
	int64_t last_us = -1;
	unsigned i;

	for (i = isolated; i < world->config.daemons; i++) {
		c = &world->daemons[i].cluster[0];
		if (!c->first_us || c->known.term < 2)
			return -1;
		last_us = MAX(last_us, c->first_us);
	}
	return last_us;
}

static int64_t run_until_written(struct world *world, bool isolated)
{
	int64_t start_us = world->now_us, end_us = -1;

	while (!world->violation && end_us < 0 &&
	       world->now_us < start_us + LONGEST_US) {
		world_run(world, world->now_us + STEP_US);
		end_us = all_wrote_us(world, isolated);
	}
	return end_us;
}

static void add_parts(struct tally *tally, const struct world_times *t,
		      int64_t start_us, int64_t end_us)
{
	const int64_t at[] = { start_us,	t->suspected_us, t->fenced_us,
			       t->promoting_us, t->done_us,	 end_us };
	unsigned i;

	sample_add(tally->parts[PART_GAP], (end_us - start_us) / 1e6);
	for (i = 1; i < G_N_ELEMENTS(at); i++)
		sample_add(tally->parts[i], (at[i] - at[i - 1]) / 1e6);
}

static void run_one(const struct user *user, bool isolated, unsigned long seed,
		    struct tally *tally)
{
	struct world_config config = config_of(user, seed);
	struct world *world = world_new(&config);
	int64_t start_us, end_us;

	/* The phase of heartbeats and probes varies with the seed. */
	world_run(world, WARM_UP_US + seed * 7919 % (200 * MS));
	apply(world, isolated);
	start_us = world->now_us;
	end_us = run_until_written(world, isolated);
	world_run(world, world->now_us + SECOND);
	if (!world->violation)
		world_check_end(world);
	tally->runs++;
	tally->broken += world->violation != NULL;
	if (end_us < 0 || world->times[0].done_us < 0)
		tally->unfinished++;
	else
		add_parts(tally, &world->times[0], start_us, end_us);
	world_free(world);
}

static void run_naive(const struct user *user, bool isolated,
		      unsigned long seed, struct tally *tally)
{
	struct world_config config = config_of(user, seed);
	struct world *world;

	config.naive = true;
	world = world_new(&config);
	world_run(world, WARM_UP_US + seed * 7919 % (200 * MS));
	apply(world, isolated);
	world_run(world, world->now_us + 3 * SECOND);
	if (!world->violation)
		world_check_end(world);
	tally->naive_broken += world->violation != NULL;
	world_free(world);
}

static int print(FILE *out, const struct user *user, const char *scenario,
		 const char *figure, double ours, double naive,
		 enum figure_target kind, double target)
{
	g_autofree char *name =
		g_strdup_printf("%s: %s, %s", user->name, scenario, figure);

	return figure_print(out, name, ours, naive, kind, target);
}

static int print_tally(FILE *out, const struct user *user, const char *scenario,
		       struct tally *tally, double target)
{
	static const double quantiles[] = { 0.5, 0.9, 0.99, 1 };
	char figure[64];
	int missed = 0;
	unsigned i, q;

	for (i = 0; i < PARTS; i++)
		for (q = 0; q < G_N_ELEMENTS(quantiles); q++) {
			bool judged = i == PART_GAP && quantiles[q] == 0.99;

			g_snprintf(figure, sizeof(figure), "%s p%g s",
				   part_names[i], quantiles[q] * 100);
			missed |= print(
				out, user, scenario, figure,
				sample_quantile(tally->parts[i], quantiles[q]),
				NAN, judged ? FIGURE_AT_MOST : FIGURE_PLAIN,
				target);
		}
	missed |= print(out, user, scenario, "unfinished runs",
			tally->unfinished, NAN, FIGURE_AT_MOST, 0);
	missed |= print(out, user, scenario, "runs with broken invariants",
			tally->broken, tally->naive_broken, FIGURE_AT_MOST, 0);
	return missed;
}

static int run_gap(FILE *out, const struct user *user, bool isolated,
		   unsigned seeds, double target)
{
	struct tally tally = { 0 };
	unsigned i;
	int missed;

	for (i = 0; i < PARTS; i++)
		tally.parts[i] = g_array_new(FALSE, FALSE, sizeof(double));
	for (i = 1; i <= seeds; i++) {
		run_one(user, isolated, i, &tally);
		run_naive(user, isolated, i, &tally);
	}
	missed = print_tally(out, user, isolated ? "isolated" : "crashed",
			     &tally, target);
	/* A check that the naive version passes as well would show nothing. */
	missed |= print(out, user, isolated ? "isolated" : "crashed",
			"naive runs with broken invariants", tally.naive_broken,
			NAN, FIGURE_AT_LEAST, 1);
	for (i = 0; i < PARTS; i++)
		g_array_free(tally.parts[i], TRUE);
	return missed;
}

/* Loss of 1 to 5%; even seeds delay as TCP does, odd ones lose for good. */
static int run_lossy(FILE *out, const struct user *user, unsigned seeds)
{
	struct world_config config;
	unsigned promotions = 0, broken = 0;
	struct world *world;
	unsigned i;
	int missed;

	for (i = 1; i <= seeds; i++) {
		config = config_of(user, i);
		config.loss = (1 + i % 5) / 100.;
		config.reliable = i % 2 == 0;
		world = world_new(&config);
		world_run(world, LOSSY_US);
		promotions += world->fences;
		broken += world->violation != NULL;
		world_free(world);
	}
	missed = print(out, user, "lossy", "false promotions", promotions, NAN,
		       FIGURE_AT_MOST, 0);
	return missed | print(out, user, "lossy", "runs with broken invariants",
			      broken, NAN, FIGURE_AT_MOST, 0);
}

int failover_experiment(unsigned seeds, FILE *out)
{
	unsigned runs = MAX(seeds, SEEDS_MIN), i;
	int missed = 0;

	for (i = 0; i < G_N_ELEMENTS(users); i++) {
		missed |= run_gap(out, &users[i], false, runs, 1.0);
		missed |= run_gap(out, &users[i], true, runs, 2.5);
		missed |= run_lossy(out, &users[i], runs);
	}
	return missed | failover_load(runs, out);
}
