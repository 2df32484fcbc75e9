#include "failover_experiment.h"

#include "experiment.h"
#include "failover_world.h"

#include <math.h>

/*
 * Time until a change of the tables is in force everywhere, and the traffic
 * of heartbeats and grants in the encoded size of their messages. Frames,
 * encryption and TCP come on top and are not counted.
 */
#define WARM_UP_US (4 * SECOND)
#define CHANGE_PERIOD_US (3 * SECOND)
#define CHANGE_LONGEST_US (20 * SECOND)
#define STEP_US (5 * MS)
#define CHANGES_PER_RUN 10
#define TOOL_RETRY_US (500 * MS)
#define LOSS 0.01
/* Tables of about 100 routes and as many pools. */
#define TABLES_BYTES 30000
#define HEARTBEATS_PER_S 5.
/* Databases of one user organisation's daemons today: three clusters. */
#define DATABASES_TODAY 9
/* 1,000 databases over 75 organisations of 8 daemons. */
#define DATABASES_DESIGN 13
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

static size_t envelope_size(Wire__Envelope__BodyCase body, void *message)
{
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;

	envelope.body_case = body;
	envelope.heartbeat = message;
	return wire__envelope__get_packed_size(&envelope);
}

/* A heartbeat as control_client.c sends it when nothing is wrong. */
static size_t heartbeat_size(unsigned databases)
{
	Wire__Position pos = WIRE__POSITION__INIT;
	Wire__ClusterReport cluster = WIRE__CLUSTER_REPORT__INIT;
	Wire__UpstreamReport upstream = WIRE__UPSTREAM_REPORT__INIT;
	Wire__Heartbeat hb = WIRE__HEARTBEAT__INIT;
	g_autofree Wire__ClusterReport **clusters =
		g_new(Wire__ClusterReport *, databases);
	g_autofree Wire__UpstreamReport **upstreams =
		g_new(Wire__UpstreamReport *, databases);
	unsigned i;

	pos.term = 3;
	pos.lsn = 0x1600000000;
	cluster.service = upstream.service = "grindplan-db";
	cluster.cluster = upstream.cluster = "central";
	cluster.term = upstream.term = 3;
	cluster.acknowledged = upstream.received = &pos;
	upstream.name = "central-2.gl-west";
	upstream.address = "10.20.30.40";
	upstream.port = 5432;
	upstream.open_connections = upstream.wanted_connections = 2;
	upstream.reachable = true;
	for (i = 0; i < databases; i++) {
		clusters[i] = &cluster;
		upstreams[i] = &upstream;
	}
	hb.daemon = "entry-3.gl-west";
	hb.availability_zone = "gl-west";
	hb.bus_address = "10.20.30.41:7000";
	hb.incarnation = UINT64_MAX;
	hb.sequence = 1000000;
	hb.tables_version = hb.members_version = 600;
	hb.clusters = clusters;
	hb.n_clusters = (databases + 2) / 3;
	hb.upstreams = upstreams;
	hb.n_upstreams = databases;
	return envelope_size(WIRE__ENVELOPE__BODY_HEARTBEAT, &hb);
}

/* Its grant: the clusters and shares of what the heartbeat names. */
static size_t grant_size(unsigned databases)
{
	Wire__Position sw = WIRE__POSITION__INIT, *switches[] = { &sw, &sw };
	Wire__ClusterState state = WIRE__CLUSTER_STATE__INIT;
	Wire__Share share = WIRE__SHARE__INIT;
	Wire__LeaseGrant grant = WIRE__LEASE_GRANT__INIT;
	g_autofree Wire__ClusterState **states =
		g_new(Wire__ClusterState *, databases);
	g_autofree Wire__Share **shares = g_new(Wire__Share *, databases);
	unsigned i;

	sw.term = 2;
	sw.lsn = 0x1600000000;
	state.service = "grindplan-db";
	state.cluster = "central";
	state.primary = "central-2.gl-west";
	state.term = 3;
	state.n_switches = 2;
	state.switches = switches;
	share.upstream = "central-2.gl-west";
	share.connections = 2;
	for (i = 0; i < databases; i++) {
		states[i] = &state;
		shares[i] = &share;
	}
	grant.sequence = 1000000;
	grant.incarnation = UINT64_MAX;
	grant.duration_us = 1200000;
	grant.tables_version = grant.members_version = 600;
	grant.raft_term = 40;
	grant.clusters = states;
	grant.n_clusters = (databases + 2) / 3;
	grant.shares = shares;
	grant.n_shares = databases;
	return envelope_size(WIRE__ENVELOPE__BODY_LEASE_GRANT, &grant);
}

static int traffic_figure(FILE *out, unsigned daemons, unsigned databases,
			  double target)
{
	double bytes = heartbeat_size(databases) + grant_size(databases);
	double per_daemon = bytes * HEARTBEATS_PER_S;
	enum figure_target kind = target > 0 ? FIGURE_AT_MOST : FIGURE_PLAIN;
	char name[96];
	int missed;

	g_snprintf(name, sizeof(name), "%u daemons, %u databases each: B/s",
		   daemons, databases);
	missed = figure_print(out, name, per_daemon, NAN, kind, target);
	g_snprintf(name, sizeof(name), "%u daemons: leader KB/s", daemons);
	figure_print(out, name, per_daemon * daemons / 1000, NAN, FIGURE_PLAIN,
		     0);
	g_snprintf(name, sizeof(name), "%u daemons: leader messages/s",
		   daemons);
	figure_print(out, name, 2 * HEARTBEATS_PER_S * daemons, NAN,
		     FIGURE_PLAIN, 0);
	return missed;
}

int failover_load(unsigned seeds, FILE *out)
{
	static const unsigned sizes[] = { 8, 75, 150, 300, 600 };
	int missed = 0;
	unsigned i;

	missed |= change_figure(out, 8, seeds / CHANGES_PER_RUN, 1.0);
	missed |= change_figure(out, 600, seeds / (10 * CHANGES_PER_RUN), 4.0);
	missed |= traffic_figure(out, 8, DATABASES_TODAY, 0);
	for (i = 0; i < G_N_ELEMENTS(sizes); i++)
		missed |= traffic_figure(out, sizes[i], DATABASES_DESIGN, 3000);
	return missed;
}
