#include "failover_faults.h"

#define STALL_US (3000 * WORLD_MS)
#define RESTART_US (1000 * WORLD_MS)
/* The leader gives a candidate up after 2 s. */
#define LATE_US (2200 * WORLD_MS)
#define LATER_US (4500 * WORLD_MS)
#define FAR_BEHIND_US (5000 * WORLD_MS)

int world_primary(const struct world *world, unsigned cluster)
{
	if (world->newest_term[cluster])
		return world->newest_node[cluster];
	return world_database_node(world, cluster, 0);
}

static int replica_node(const struct world *world, unsigned nr)
{
	int first = world_database_node(world, 0, 0);

	return first +
	       (world_primary(world, 0) - first + 1 + nr) % WORLD_REPLICATION;
}

static void crash_primary(struct world *world)
{
	struct database *db = world_database(world, world_primary(world, 0));

	db->up = false;
	db->refuses = true;
}

static void lose_primary_vm(struct world *world)
{
	world_database(world, world_primary(world, 0))->up = false;
}

static void isolate_with_daemon(struct world *world)
{
	int primary = world_primary(world, 0);

	world_isolate(world, primary, 0, true);
	world_isolate(world, 0, primary, true);
}

/* A replica on the isolated side goes on to confirm writes. */
static void isolate_with_replica(struct world *world)
{
	int primary = world_primary(world, 0);
	int replica = world_database_node(world, 0,
					  (primary + 1) % WORLD_REPLICATION);

	if (replica == primary)
		replica = world_database_node(
			world, 0, (primary + 2) % WORLD_REPLICATION);
	isolate_with_daemon(world);
	world_isolate(world, replica, primary, true);
	world_cut(world, replica, 0, false);
	world_cut(world, 0, replica, false);
	world_cut(world, primary, replica, false);
	world_cut(world, replica, primary, false);
}

/*
 * The primary and a daemon see each other and the replicas only, the replicas
 * see everyone: they go on to confirm that daemon's writes.
 */
static void isolate_between_replicas(struct world *world)
{
	int primary = world_primary(world, 0), i, node;

	isolate_with_daemon(world);
	for (i = 0; i < WORLD_REPLICATION; i++) {
		node = world_database_node(world, 0, i);
		world_cut(world, node, 0, false);
		world_cut(world, 0, node, false);
		world_cut(world, node, primary, false);
		world_cut(world, primary, node, false);
	}
}

/* The heartbeats of a daemon arrive, what it is sent does not. */
static void lose_grants(struct world *world)
{
	unsigned i;

	for (i = 0; i < world->config.control_vms; i++)
		world_cut(world, world_control_node(world, i), 0, true);
	lose_primary_vm(world);
}

/* Callers of the last three daemons still reach it. */
static void isolate_from_most(struct world *world)
{
	int primary = world_primary(world, 0), node;

	for (node = 0; node < world->nr_nodes; node++) {
		if (node >= (int)world->config.daemons - 3 &&
		    node < (int)world->config.daemons)
			continue;
		world_cut(world, node, primary, true);
		world_cut(world, primary, node, true);
	}
}

static void replicas_far_behind(struct world *world)
{
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(world->databases); i++)
		world->databases[i].lag_us = FAR_BEHIND_US;
}

static void lose_replica(struct world *world)
{
	world_database(world, replica_node(world, 0))->up = false;
}

/* The leader keeps two daemons and loses the other control VMs. */
static void isolate_leader(struct world *world)
{
	int leader = world_leader(world), node, other;

	if (leader < 0)
		return;
	node = world_control_node(world, leader);
	for (other = 2; other < world->nr_nodes; other++) {
		if (other == node)
			continue;
		world_cut(world, node, other, true);
		world_cut(world, other, node, true);
	}
}

static void silence_follower(struct world *world)
{
	unsigned vm = (world_leader(world) + 1) % world->config.control_vms;

	world_isolate(world, world_control_node(world, vm), -1, true);
}

static void restart_control(struct world *world, int node, void *data)
{
	unsigned vm = node - world_control_node(world, 0);

	if (!world->control[vm].up)
		world_control_start(world, vm);
}

static void stop_control(struct world *world, int node, void *data)
{
	world_control_stop(world, node - world_control_node(world, 0));
	world_after(world, RESTART_US, node, restart_control, NULL);
}

static void crash_leader(struct world *world)
{
	int leader = world_leader(world);

	if (leader >= 0)
		stop_control(world, world_control_node(world, leader), NULL);
}

static void restart_daemons(struct world *world)
{
	unsigned i;

	for (i = 0; i < world->config.daemons; i += 2)
		world_daemon_start(world, i,
				   world->daemons[i].lease.incarnation + 1);
}

static void lose_memory(struct world *world, int node, void *data)
{
	unsigned i;

	for (i = 0; i < world->config.daemons; i++)
		world_daemon_start(world, i,
				   world->daemons[i].lease.incarnation + 1);
	world_isolate(world, replica_node(world, 1), -1, true);
	lose_primary_vm(world);
}

/*
 * One replica falls behind; then the other one and the primary are lost while
 * all daemons restart, so that nobody remembers what was acknowledged.
 */
static void lose_memory_and_replica(struct world *world)
{
	world_cut(world, world_primary(world, 0), replica_node(world, 0), true);
	world_after(world, RESTART_US, 0, lose_memory, NULL);
}

/* A VM that is paused: its clock has moved on when it runs again. */
static void clocks_jump(struct world *world)
{
	unsigned i;

	for (i = 0; i < world->config.daemons; i += 3)
		world->clock_offset[i] += STALL_US;
}

static void crash_two_primaries(struct world *world)
{
	unsigned i;

	for (i = 0; i < world->config.clusters && i < 2; i++)
		world_database(world, world_primary(world, i))->up = false;
}

static void lose_zone(struct world *world)
{
	int zone = world_zone(world, world_primary(world, 0)), node;

	for (node = 0; node < world->nr_nodes; node++)
		if (world_zone(world, node) == zone)
			world_isolate(world, node, -1, true);
}

static void lose_messages(struct world *world)
{
	world->config.reliable = false;
	world->config.loss = 0.05;
}

static void cut_answers(struct world *world, int node, bool cut)
{
	unsigned i;

	for (i = 0; i < world->config.control_vms; i++)
		world_cut(world, node, world_control_node(world, i), cut);
}

static void restore_answers(struct world *world, int node, void *data)
{
	world_database(world, node)->order_delay_us = 0;
	cut_answers(world, node, false);
}

/* Events at a recorded step: the leader or the candidate dies just then, or
 * the answer of the promotion is lost. */
static void on_step(struct world *world, int leader, int candidate, int step)
{
	if (step != world->trap_step)
		return;
	world->on_step = NULL;
	if (world->trap == TRAP_LEADER) {
		world_after(world, 0, leader, stop_control, NULL);
		return;
	}
	if (candidate < 0)
		return;
	if (world->trap == TRAP_CANDIDATE) {
		world_isolate(world, candidate, -1, true);
		return;
	}
	if (world->trap == TRAP_LATE_ORDER)
		world_database(world, candidate)->order_delay_us =
			world->trap_delay_us;
	cut_answers(world, candidate, true);
	world_after(world, STALL_US, candidate, restore_answers, NULL);
}

static void set_trap(struct world *world, enum world_trap trap, int step)
{
	world->trap = trap;
	world->trap_step = step;
	world->on_step = on_step;
	lose_primary_vm(world);
}

static void leader_dies_fencing(struct world *world)
{
	set_trap(world, TRAP_LEADER, FAILOVER_FENCING);
}

static void leader_dies_promoting(struct world *world)
{
	set_trap(world, TRAP_LEADER, FAILOVER_PROMOTING);
}

static void leader_dies_done(struct world *world)
{
	set_trap(world, TRAP_LEADER, FAILOVER_DONE);
}

static void candidate_dies(struct world *world)
{
	set_trap(world, TRAP_CANDIDATE, FAILOVER_PROMOTING);
}

static void answer_lost(struct world *world)
{
	set_trap(world, TRAP_ANSWER, FAILOVER_PROMOTING);
}

/* The candidate carries out the order while its successor is promoted. */
static void promoted_late(struct world *world)
{
	world->trap_delay_us = LATE_US;
	set_trap(world, TRAP_LATE_ORDER, FAILOVER_PROMOTING);
}

/* It does so when it follows the primary that was promoted in its place. */
static void promoted_later(struct world *world)
{
	world->trap_delay_us = LATER_US;
	set_trap(world, TRAP_LATE_ORDER, FAILOVER_PROMOTING);
}

static void repaired_then_lost(struct world *world, int node, void *data)
{
	world_repair(world);
	lose_primary_vm(world);
}

static void two_lost_around_repair(struct world *world)
{
	lose_primary_vm(world);
	world_after(world, STALL_US, 0, repaired_then_lost, NULL);
}

static const struct {
	const char *name;
	void (*apply)(struct world *world);
} faults[] = {
	{ "none", NULL },
	{ "primary process crashes", crash_primary },
	{ "primary VM lost", lose_primary_vm },
	{ "primary isolated with a daemon", isolate_with_daemon },
	{ "primary isolated with a daemon and a replica",
	  isolate_with_replica },
	{ "primary and a daemon isolated, replicas see both sides",
	  isolate_between_replicas },
	{ "primary reached by a minority only", isolate_from_most },
	{ "primary VM lost, grants of a daemon lost", lose_grants },
	{ "daemons forget, replica behind", lose_memory_and_replica },
	{ "replicas far behind", replicas_far_behind },
	{ "replica lost", lose_replica },
	{ "leader isolated with two daemons", isolate_leader },
	{ "control VM silent", silence_follower },
	{ "leader crashes", crash_leader },
	{ "daemons restart", restart_daemons },
	{ "clocks jump", clocks_jump },
	{ "two primaries lost", crash_two_primaries },
	{ "zone lost", lose_zone },
	{ "messages lost, doubled, reordered", lose_messages },
	{ "leader dies at fencing", leader_dies_fencing },
	{ "leader dies at promoting", leader_dies_promoting },
	{ "leader dies at done", leader_dies_done },
	{ "candidate dies", candidate_dies },
	{ "answer of the promotion lost", answer_lost },
	{ "promotion carried out late", promoted_late },
	{ "promotion carried out late by a replica", promoted_later },
	{ "two VMs lost around a repair", two_lost_around_repair },
};

unsigned faults_nr(void)
{
	return G_N_ELEMENTS(faults);
}

const char *fault_name(unsigned fault)
{
	return faults[fault].name;
}

void fault_apply(struct world *world, unsigned fault)
{
	if (faults[fault].apply)
		faults[fault].apply(world);
}
