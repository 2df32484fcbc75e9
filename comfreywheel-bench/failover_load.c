#include "failover_experiment.h"

#include "experiment.h"
#include "failover_world.h"

#include <math.h>

/* Time until a change of the tables is in force on every daemon. */
#define WARM_UP_US (4 * SECOND)
#define CHANGE_PERIOD_US (3 * SECOND)
#define CHANGE_LONGEST_US (20 * SECOND)
#define STEP_US (5 * MS)
#define CHANGES_PER_RUN 10
#define TOOL_RETRY_US (500 * MS)
#define LOSS 0.01
/* Tables of about 100 routes and as many pools. */
#define TABLES_BYTES 30000
#define CONTROL_VMS 3

static bool all_have(const struct world *world, uint64_t version)
{
	unsigned i;

	for (i = 0; i < world->config.daemons; i++)
		if (world->daemons[i].tables_version < version)
			return false;
	return true;
}

/* The tool sends the change again, with its identity, until it is told. */
static void run_change(struct world *world, const char *id, uint64_t version)
{
	int64_t start_us = world->now_us, sent_us = INT64_MIN / 2;

	while (!all_have(world, version) &&
	       world->now_us < start_us + CHANGE_LONGEST_US) {
		if (world->now_us - sent_us >= TOOL_RETRY_US &&
		    world_change_tables(world, id, version - 1))
			sent_us = world->now_us;
		world_run(world, world->now_us + STEP_US);
	}
}

static void run_changes(struct world *world, unsigned changes, GArray *samples,
			unsigned *unfinished)
{
	uint64_t version = 0;
	int64_t start_us;
	char id[32];

	while (changes--) {
		g_snprintf(id, sizeof(id), "change-%u", changes);
		version++;
		start_us = world->now_us;
		run_change(world, id, version);
		if (all_have(world, version))
			sample_add(samples, (world->now_us - start_us) / 1e6);
		else
			(*unfinished)++;
		world_run(world, start_us + CHANGE_PERIOD_US);
	}
}

static int change_figure(FILE *out, unsigned daemons, unsigned runs,
			 double target)
{
	GArray *samples = g_array_new(FALSE, FALSE, sizeof(double));
	unsigned unfinished = 0, i;
	struct world *world;
	char name[80];
	int missed;

	for (i = 1; i <= runs; i++) {
		struct world_config config = {
			.daemons = daemons,
			.control_vms = CONTROL_VMS,
			.zones = 4,
			.zone_latency_us = 1500,
			.clock_drift = 0.01,
			.reliable = true,
			.loss = LOSS,
			.tables_bytes = TABLES_BYTES,
			.seed = i,
		};

		world = world_new(&config);
		world_run(world, WARM_UP_US);
		run_changes(world, CHANGES_PER_RUN, samples, &unfinished);
		world_free(world);
	}
	g_snprintf(name, sizeof(name), "%u daemons: change in force, p50 s",
		   daemons);
	figure_print(out, name, sample_quantile(samples, 0.5), NAN,
		     FIGURE_PLAIN, 0);
	g_snprintf(name, sizeof(name), "%u daemons: change in force, p99 s",
		   daemons);
	missed = figure_print(out, name, sample_quantile(samples, 0.99), NAN,
			      FIGURE_AT_MOST, target);
	g_snprintf(name, sizeof(name), "%u daemons: changes not in force",
		   daemons);
	missed |= figure_print(out, name, unfinished, NAN, FIGURE_AT_MOST, 0);
	g_array_free(samples, TRUE);
	return missed;
}

int failover_load(unsigned seeds, FILE *out)
{
	int missed = 0;

	missed |= change_figure(out, 8, seeds / CHANGES_PER_RUN, 1.0);
	missed |= change_figure(out, 600, seeds / (10 * CHANGES_PER_RUN), 4.0);
	return missed | failover_traffic(out);
}
