#include "failover_world.h"

/*
 * One primary per term and cluster; no acknowledgement from a replaced
 * primary; no acknowledged write lost.
 */

static void check_all_held(struct world *world, unsigned cluster, int node)
{
	const struct database *db = world_database(world, node);
	const struct world_acked *a;
	guint i;

	for (i = 0; i < world->acked->len; i++) {
		a = &g_array_index(world->acked, struct world_acked, i);
		if (a->cluster != (int)cluster ||
		    world_holds(db, a->timeline, a->lsn))
			continue;
		world_break(world,
			    "cluster %u: the primary of term %u (node %d) "
			    "lacks the acknowledged write at %lu",
			    cluster, db->term, node, (unsigned long)a->lsn);
		return;
	}
}

void world_check_served(struct world *world, unsigned cluster, uint32_t term,
			int node)
{
	int *served = &world->served[cluster][term % WORLD_TERMS_MAX];

	if (*served && *served != node)
		world_break(world,
			    "cluster %u: nodes %d and %d are primary of term "
			    "%u",
			    cluster, *served, node, term);
	*served = node;
	if (term <= world->newest_term[cluster])
		return;
	world->newest_term[cluster] = term;
	world->newest_node[cluster] = node;
	check_all_held(world, cluster, node);
}

void world_check_ack(struct world *world, unsigned cluster,
		     const struct world_write *write)
{
	struct world_acked acked = { cluster, write->timeline,
				     write->position.lsn };
	uint32_t newest = world->newest_term[cluster];

	world->acks++;
	if (newest > write->term)
		world_break(world,
			    "cluster %u: a write of term %u was acknowledged "
			    "in term %u",
			    cluster, write->term, newest);
	g_array_append_val(world->acked, acked);
}

void world_check_end(struct world *world)
{
	unsigned i;

	for (i = 0; i < world->config.clusters; i++)
		if (world->newest_term[i])
			check_all_held(world, i, world->newest_node[i]);
}
