#include "failover_world.h"

#include <string.h>

/* Bytes of log per write, and of the record that ends a promotion. */
#define WRITE_BYTES 100
#define PROMOTION_BYTES 28
/* The primary tells its position this often, so that a loss is repaired. */
#define KEEPALIVE_US (20 * WORLD_MS)
/* Opening a connection, which the control VM does for each question. */
#define CONNECT_US (10 * WORLD_MS)
/* A promotion takes this long, uniformly spread. */
#define PROMOTION_LEAST_US (50 * WORLD_MS)
#define PROMOTION_SPREAD_US (100 * WORLD_MS)

static int cluster_of(const struct world *world, int node)
{
	return (node - world_database_node(world, 0, 0)) / WORLD_REPLICATION;
}

static void stream(struct world *world, int node)
{
	const struct database *db = world_database(world, node);
	int cluster = cluster_of(world, node);
	struct letter l = {
		.from = node,
		.kind = LETTER_WAL,
		.timeline = db->timeline,
		.position = { db->term, db->lsn },
	};
	unsigned i;

	for (i = 0; i < WORLD_REPLICATION; i++) {
		l.to = world_database_node(world, cluster, i);
		if (l.to != node)
			world_post(world, &l);
	}
}

static void keepalive(struct world *world, int node, void *data)
{
	const struct database *db = world_database(world, node);

	if (db->up && db->primary)
		stream(world, node);
	world_after(world, KEEPALIVE_US, node, keepalive, NULL);
}

void world_databases_start(struct world *world)
{
	struct database *db;
	unsigned c, i;
	int node;

	for (c = 0; c < world->config.clusters; c++) {
		world->next_timeline++;
		for (i = 0; i < WORLD_REPLICATION; i++) {
			node = world_database_node(world, c, i);
			db = world_database(world, node);
			db->up = true;
			db->primary = i == 0;
			db->upstream = i ? world_database_node(world, c, 0) :
					   -1;
			db->term = 1;
			db->lag_us = world->config.replication_lag_us;
			db->timeline = world->next_timeline;
			world_after(world, KEEPALIVE_US * world_uniform(world),
				    node, keepalive, NULL);
		}
	}
}

bool world_holds(const struct database *db, uint64_t timeline, uint64_t lsn)
{
	unsigned i;

	if (db->timeline == timeline)
		return lsn <= db->lsn;
	for (i = 0; i < db->nr_lineage; i++)
		if (db->lineage[i].timeline == timeline)
			return lsn <= db->lineage[i].end_lsn;
	return false;
}

static void answer_position(struct world *world, int node,
			    const struct letter *l)
{
	const struct database *db = world_database(world, node);
	struct letter reply = {
		.from = node,
		.to = l->from,
		.kind = LETTER_POSITION,
		.about = cluster_of(world, node),
		.write = l->write,
		.position = { db->term, db->lsn },
		.promoted = db->primary,
	};

	/* Where the term before this one ended. */
	if (db->nr_lineage)
		reply.timeline = db->lineage[db->nr_lineage - 1].end_lsn;
	world_post(world, &reply);
}

static void answer_asked(struct world *world, int node, void *data)
{
	if (world_database(world, node)->up)
		answer_position(world, node, data);
	g_free(data);
}

static void promoted(struct world *world, int node, void *data)
{
	struct database *db = world_database(world, node);
	struct letter *l = data;

	if (db->up && !db->primary && db->nr_lineage < WORLD_LINEAGE_MAX) {
		db->lineage[db->nr_lineage++] =
			(struct world_lineage){ db->timeline, db->lsn };
		db->primary = true;
		db->term++;
		db->timeline = ++world->next_timeline;
		db->lsn += PROMOTION_BYTES;
	}
	if (db->up)
		answer_position(world, node, l);
	g_free(l);
}

static void promote(struct world *world, int node, const struct letter *l)
{
	struct database *db = world_database(world, node);
	int64_t time_us =
		PROMOTION_LEAST_US + PROMOTION_SPREAD_US * world_uniform(world);

	if (db->primary) {
		answer_position(world, node, l);
		return;
	}
	/* A second order while the first one runs is refused. */
	if (world->now_us < db->promoting_until_us)
		return;
	db->promoting_until_us = world->now_us + time_us;
	db->upstream = -1;
	world_after(world, time_us, node, promoted, g_memdup2(l, sizeof(*l)));
}

static void promote_late(struct world *world, int node, void *data)
{
	if (world_database(world, node)->up)
		promote(world, node, data);
	g_free(data);
}

/* Takes over the sender's history, as a replica that is copied anew would. */
static void replay(struct world *world, int node, void *data)
{
	struct database *db = world_database(world, node);
	const struct database *from;
	struct letter *l = data;

	from = world_database(world, l->from);
	/* What lags behind is still at the sender and lost with it. */
	if (db->up && !db->primary && db->upstream == l->from &&
	    (from->up || !db->lag_us) && l->position.term >= db->term) {
		if (db->timeline == l->timeline) {
			db->lsn = MAX(db->lsn, l->position.lsn);
		} else if (from->timeline == l->timeline) {
			memcpy(db->lineage, from->lineage, sizeof(db->lineage));
			db->nr_lineage = from->nr_lineage;
			db->timeline = l->timeline;
			db->term = l->position.term;
			db->lsn = l->position.lsn;
		}
	}
	g_free(l);
}

static void run_write(struct world *world, int node, const struct letter *l)
{
	struct database *db = world_database(world, node);
	struct letter reply = { .from = node,
				.to = l->from,
				.kind = LETTER_WRITE_DONE,
				.about = l->about,
				.write = l->write };

	if (!db->primary)
		return;
	db->lsn += WRITE_BYTES;
	reply.timeline = db->timeline;
	reply.position = (struct position){ db->term, db->lsn };
	world_post(world, &reply);
	stream(world, node);
}

static void answer_probe(struct world *world, int node, const struct letter *l,
			 bool refused)
{
	struct letter reply = { .from = node,
				.to = l->from,
				.kind = LETTER_PROBE_REPLY,
				.about = l->about,
				.write = l->write,
				.promoted = !refused };

	world_post(world, &reply);
}

void world_database_receive(struct world *world, const struct letter *l)
{
	struct database *db = world_database(world, l->to);

	if (!db->up) {
		/* The VM of a crashed process refuses connections. */
		if (l->kind == LETTER_PROBE && db->refuses)
			answer_probe(world, l->to, l, true);
		return;
	}
	switch (l->kind) {
	case LETTER_PROBE:
		answer_probe(world, l->to, l, false);
		break;
	case LETTER_WRITE:
		run_write(world, l->to, l);
		break;
	case LETTER_ASK:
		if (l->from < world_control_node(world, 0))
			answer_position(world, l->to, l);
		else
			world_after(world, CONNECT_US, l->to, answer_asked,
				    g_memdup2(l, sizeof(*l)));
		break;
	case LETTER_PROMOTE:
		if (db->order_delay_us)
			world_after(world, db->order_delay_us, l->to,
				    promote_late, g_memdup2(l, sizeof(*l)));
		else
			promote(world, l->to, l);
		break;
	case LETTER_REPOINT:
		if (!db->primary)
			db->upstream = l->about;
		break;
	case LETTER_WAL:
		world_after(world, db->lag_us, l->to, replay,
			    g_memdup2(l, sizeof(*l)));
		break;
	default:
		break;
	}
}
