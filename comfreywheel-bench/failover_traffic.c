#include "failover_experiment.h"

#include "comfreywheeld/control_client_internal.h"
#include "experiment.h"

#include <math.h>

/*
 * Heartbeats and grants in the encoded size of their messages, trimmed by the
 * daemon's own code. Frames, encryption and TCP come on top and are not
 * counted.
 */
#define HEARTBEATS_PER_S 5.
/* Databases of one user organisation's daemons today: three clusters. */
#define DATABASES_TODAY 9
/* 1,000 databases over 75 organisations of 8 daemons. */
#define DATABASES_DESIGN 13
#define TRAFFIC_HEARTBEATS 3000
/* ZeroMQ, CURVE and TCP/IP around one message, assumed and not measured. */
#define FRAMING_BYTES 100
/* Bytes a second that a daemon may spend for control. */
#define BYTES_MAX 3000

static size_t envelope_size(Wire__Envelope__BodyCase body, void *message)
{
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;

	envelope.body_case = body;
	envelope.heartbeat = message;
	return wire__envelope__get_packed_size(&envelope);
}

static Wire__Position *new_position(uint64_t lsn)
{
	Wire__Position *pos = g_new(Wire__Position, 1);

	wire__position__init(pos);
	pos->term = 3;
	pos->lsn = lsn;
	return pos;
}

static Wire__ClusterReport *new_cluster(unsigned nr, uint64_t lsn)
{
	Wire__ClusterReport *c = g_new(Wire__ClusterReport, 1);

	wire__cluster_report__init(c);
	c->service = g_strdup("grindplan-db");
	c->cluster = g_strdup_printf("central-%u", nr);
	c->term = 3;
	c->acknowledged = new_position(lsn);
	return c;
}

static Wire__UpstreamReport *new_upstream(unsigned nr, uint64_t lsn,
					  unsigned demand)
{
	Wire__UpstreamReport *u = g_new(Wire__UpstreamReport, 1);

	wire__upstream_report__init(u);
	u->name = g_strdup_printf("central-%u.gl-west", nr);
	u->address = g_strdup("10.20.30.40");
	u->port = 5432;
	u->service = g_strdup("grindplan-db");
	u->cluster = g_strdup_printf("central-%u", nr / 3);
	u->open_connections = u->wanted_connections = demand;
	u->share = 2;
	u->reachable = true;
	u->term = 3;
	u->received = new_position(lsn);
	return u;
}

/* All that a busy daemon reports: positions and demand always change. */
static void fill_heartbeat(Wire__Heartbeat *hb, unsigned databases,
			   uint64_t sequence)
{
	uint64_t lsn = 0x1600000000 + 1000 * sequence;
	unsigned i;

	hb->daemon = "entry-3.gl-west";
	hb->availability_zone = "gl-west";
	hb->bus_address = "10.20.30.41:7000";
	hb->incarnation = hb->state_hash = UINT64_MAX;
	hb->sequence = sequence;
	hb->tables_version = hb->members_version = 600;
	hb->n_clusters = (databases + 2) / 3;
	hb->clusters = g_new(Wire__ClusterReport *, hb->n_clusters);
	for (i = 0; i < hb->n_clusters; i++)
		hb->clusters[i] = new_cluster(i, lsn);
	hb->n_upstreams = databases;
	hb->upstreams = g_new(Wire__UpstreamReport *, hb->n_upstreams);
	for (i = 0; i < databases; i++)
		hb->upstreams[i] = new_upstream(i, lsn, 1 + (sequence + i) % 3);
}

/* Bytes a second of heartbeats as control_client.c trims and sends them. */
static double heartbeat_rate(unsigned databases)
{
	struct control_delta delta;
	uint64_t sequence;
	size_t bytes = 0;

	control_delta_init(&delta);
	for (sequence = 1; sequence <= TRAFFIC_HEARTBEATS; sequence++) {
		Wire__Heartbeat hb = WIRE__HEARTBEAT__INIT;

		fill_heartbeat(&hb, databases, sequence);
		control_delta_trim(&delta, &hb, false, false,
				   sequence * SECOND / HEARTBEATS_PER_S);
		bytes += envelope_size(WIRE__ENVELOPE__BODY_HEARTBEAT, &hb);
		control_delta_answered(&delta, sequence);
		control_delta_release(&hb);
	}
	control_delta_finish(&delta);
	return (double)bytes * HEARTBEATS_PER_S / TRAFFIC_HEARTBEATS;
}

/* Clusters and shares are left out while the daemon has them. */
static size_t grant_size(unsigned databases)
{
	Wire__Position sw = WIRE__POSITION__INIT, *switches[] = { &sw, &sw };
	Wire__ClusterState state = WIRE__CLUSTER_STATE__INIT;
	Wire__Share share = WIRE__SHARE__INIT;
	Wire__LeaseGrant grant = WIRE__LEASE_GRANT__INIT;
	g_autofree Wire__ClusterState **states =
		g_new(Wire__ClusterState *, databases + 1);
	g_autofree Wire__Share **shares = g_new(Wire__Share *, databases + 1);
	unsigned i;

	sw.term = 2;
	sw.lsn = 0x1600000000;
	state.service = "grindplan-db";
	state.cluster = "central-1";
	state.primary = share.upstream = "central-2.gl-west";
	state.term = 3;
	state.n_switches = 2;
	state.switches = switches;
	share.connections = 2;
	for (i = 0; i < databases; i++) {
		states[i] = &state;
		shares[i] = &share;
	}
	grant.sequence = 1000000;
	grant.incarnation = grant.state_hash = UINT64_MAX;
	grant.duration_us = 1200000;
	grant.tables_version = grant.members_version = 600;
	grant.raft_term = 40;
	grant.unchanged = !databases;
	grant.clusters = states;
	grant.n_clusters = (databases + 2) / 3;
	grant.shares = shares;
	grant.n_shares = databases;
	return envelope_size(WIRE__ENVELOPE__BODY_LEASE_GRANT, &grant);
}

/* Once a second a share has changed and the grant names all of them. */
static double grant_rate(unsigned databases)
{
	return grant_size(databases) + (HEARTBEATS_PER_S - 1) * grant_size(0);
}

static int traffic_figure(FILE *out, unsigned daemons, unsigned databases,
			  double target)
{
	double per_daemon = heartbeat_rate(databases) + grant_rate(databases);
	char name[96];
	int missed;

	g_snprintf(name, sizeof(name), "%u daemons, %u databases each: B/s",
		   daemons, databases);
	missed = figure_print(out, name, per_daemon, NAN, FIGURE_AT_MOST,
			      target);
	g_snprintf(name, sizeof(name), "%u daemons: B/s with framing", daemons);
	figure_print(out, name,
		     per_daemon + 2 * HEARTBEATS_PER_S * FRAMING_BYTES, NAN,
		     FIGURE_PLAIN, 0);
	g_snprintf(name, sizeof(name), "%u daemons: leader KB/s", daemons);
	figure_print(out, name, per_daemon * daemons / 1000, NAN, FIGURE_PLAIN,
		     0);
	g_snprintf(name, sizeof(name), "%u daemons: leader messages/s",
		   daemons);
	figure_print(out, name, 2 * HEARTBEATS_PER_S * daemons, NAN,
		     FIGURE_PLAIN, 0);
	return missed;
}

int failover_traffic(FILE *out)
{
	static const unsigned sizes[] = { 8, 75, 150, 300, 600 };
	int missed = 0;
	unsigned i;

	missed |= traffic_figure(out, 8, DATABASES_TODAY, BYTES_MAX);
	for (i = 0; i < G_N_ELEMENTS(sizes); i++)
		missed |= traffic_figure(out, sizes[i], DATABASES_DESIGN,
					 BYTES_MAX);
	return missed;
}
