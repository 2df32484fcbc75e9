#include "failover_world.h"

/*
 * The naive version: one coordinator that probes the primary, promotes the
 * replica that answers with the largest position after a fixed timeout, and
 * tells the daemons. Nothing is fenced and a write is acknowledged at once.
 */
#define PERIOD_US (100 * WORLD_MS)
#define TIMEOUT_US (1000 * WORLD_MS)
#define TELL_US (200 * WORLD_MS)

static void tell(struct world *world, unsigned cluster)
{
	struct letter l = { .from = world_control_node(world, 0),
			    .kind = LETTER_NAIVE_PRIMARY,
			    .about = cluster };
	unsigned i;

	l.reports[0].term = world->naive_term[cluster];
	l.reports[0].primary = world->naive_primary[cluster];
	for (i = 0; i < world->config.daemons; i++) {
		l.to = i;
		world_post(world, &l);
	}
}

static void to_databases(struct world *world, unsigned cluster,
			 enum letter_kind kind, int only)
{
	struct letter l = { .from = world_control_node(world, 0),
			    .kind = kind,
			    .about = cluster };
	unsigned i;

	for (i = 0; i < WORLD_REPLICATION; i++) {
		l.to = world_database_node(world, cluster, i);
		if (only < 0 || only == l.to)
			world_post(world, &l);
	}
}

static void on_period(struct world *world, int node, void *data)
{
	unsigned i;

	for (i = 0; i < world->config.clusters; i++) {
		if (world->now_us - world->naive_heard_us[i] > TIMEOUT_US &&
		    world->naive_candidate[i] >= 0) {
			to_databases(world, i, LETTER_PROMOTE,
				     world->naive_candidate[i]);
			world->naive_heard_us[i] = world->now_us;
		}
		to_databases(world, i, LETTER_ASK, -1);
	}
	world_after(world, PERIOD_US, node, on_period, NULL);
}

static void on_tell(struct world *world, int node, void *data)
{
	unsigned i;

	for (i = 0; i < world->config.clusters; i++)
		tell(world, i);
	world_after(world, TELL_US, node, on_tell, NULL);
}

void world_naive_start(struct world *world)
{
	int node = world_control_node(world, 0);
	unsigned i;

	for (i = 0; i < world->config.clusters; i++) {
		world->naive_primary[i] = world_database_node(world, i, 0);
		world->naive_candidate[i] = -1;
		world->naive_term[i] = 1;
	}
	world_after(world, 0, node, on_period, NULL);
	world_after(world, 0, node, on_tell, NULL);
}

void world_naive_receive(struct world *world, const struct letter *l)
{
	unsigned c = l->about;
	struct position *best = &world->naive_position[c];

	if (l->kind != LETTER_POSITION)
		return;
	if (l->from == world->naive_primary[c])
		world->naive_heard_us[c] = world->now_us;
	if (l->promoted && l->position.term > world->naive_term[c]) {
		world->naive_term[c] = l->position.term;
		world->naive_primary[c] = l->from;
		world->naive_candidate[c] = -1;
		world->naive_heard_us[c] = world->now_us;
		world_check_served(world, c, l->position.term, l->from);
		tell(world, c);
	} else if (!l->promoted && (world->naive_candidate[c] < 0 ||
				    position_compare(l->position, *best) > 0)) {
		world->naive_candidate[c] = l->from;
		*best = l->position;
	}
}
