#include "failover_faults.h"

#include <string.h>

#define WARM_UP_US (2000 * WORLD_MS)
/* Longest time until all write again: expiry, election, choice, promotion. */
#define RECOVERY_US (6000 * WORLD_MS)
#define FINAL_US (2000 * WORLD_MS)

void world_repair(struct world *world)
{
	struct database *db;
	unsigned c, i;
	int node, primary;

	for (c = 0; c < world->config.clusters; c++) {
		primary = world_primary(world, c);
		for (i = 0; i < WORLD_REPLICATION; i++) {
			node = world_database_node(world, c, i);
			db = world_database(world, node);
			if (node == primary)
				continue;
			db->up = true;
			db->primary = false;
			db->upstream = primary;
			db->lag_us = world->config.replication_lag_us;
		}
	}
}

void world_heal(struct world *world)
{
	size_t pairs = (size_t)world->nr_nodes * world->nr_nodes;
	unsigned i;

	memset(world->cut, 0, pairs * sizeof(bool));
	world->config.loss = 0;
	world->on_step = NULL;
	world->config.reliable = true;
	for (i = 0; i < G_N_ELEMENTS(world->databases); i++) {
		world->databases[i].up = true;
		world->databases[i].lag_us = world->config.replication_lag_us;
	}
}

/* Which daemon did not write to which cluster in the last stretch. */
static char *find_stuck(const struct world *world)
{
	unsigned c, i;

	for (c = 0; c < world->config.clusters; c++)
		for (i = 0; i < world->config.daemons; i++)
			if (world->daemons[i].cluster[c].wrote_us <
			    world->now_us - FINAL_US)
				return g_strdup_printf(
					"daemon %u does not write to cluster "
					"%u after the faults",
					i, c);
	return NULL;
}

char *faults_check(const struct faults_run *run)
{
	struct world *world = world_new(&run->config);
	char *seen = NULL;

	world_run(world, WARM_UP_US);
	fault_apply(world, run->first);
	world_run(world, world->now_us + run->gap_us);
	fault_apply(world, run->second);
	world_run(world, world->now_us + run->hold_us);
	world_heal(world);
	world_run(world, world->now_us + RECOVERY_US);
	if (!world->violation)
		world_repair(world);
	world_run(world, world->now_us + RECOVERY_US);
	if (!world->violation)
		world_check_end(world);
	if (world->violation)
		seen = g_strdup(world->violation);
	else
		seen = find_stuck(world);
	world_free(world);
	return seen;
}
