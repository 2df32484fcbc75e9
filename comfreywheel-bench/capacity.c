#include "capacity.h"

#include "control_state.h"
#include "lease.h"
#include "messages.pb-c.h"
#include "router.h"
#include "session_positions.h"
#include "sql_classify.h"

#include <gsl/gsl_fit.h>
#include <malloc.h>
#include <math.h>
#include <string.h>
#include <time.h>

/*
 * Slopes from which docs/CAPACITY.md works out the design size. Bytes are
 * exact counts; processor time is the thread's own and varies with the
 * machine, so no verdict rests on it.
 */

#define POINTS_MAX 5
#define NAME_MAX_LEN 40

struct points {
	double x[POINTS_MAX];
	double y[POINTS_MAX];
	size_t nr;
};

static void points_add(struct points *p, double x, double y)
{
	p->x[p->nr] = x;
	p->y[p->nr++] = y;
}

/* Prints the line and its largest residual in percent of the largest value. */
static void points_print(const struct points *p, const char *what,
			 const char *unit, const char *per, FILE *out)
{
	double c0, c1, cov00, cov01, cov11, sumsq, worst = 0, top = 0;
	size_t i;

	gsl_fit_linear(p->x, 1, p->y, 1, p->nr, &c0, &c1, &cov00, &cov01,
		       &cov11, &sumsq);
	for (i = 0; i < p->nr; i++) {
		worst = fmax(worst, fabs(p->y[i] - c0 - c1 * p->x[i]));
		top = fmax(top, fabs(p->y[i]));
	}
	fprintf(out, "%-34s %10.2f %s per %s + %.1f %s, residual %.1f%% (",
		what, c1, unit, per, c0, unit, top > 0 ? 100 * worst / top : 0);
	for (i = 0; i < p->nr; i++)
		fprintf(out, "%s%.0f: %.1f", i ? ", " : "", p->x[i], p->y[i]);
	fprintf(out, ")\n");
}

static int64_t cpu_ns(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &ts);
	return ts.tv_sec * 1000000000ll + ts.tv_nsec;
}

static size_t heap_bytes(void)
{
	struct mallinfo2 mi = mallinfo2();

	return mi.uordblks + mi.hblkhd;
}

struct heartbeat_parts {
	Wire__Heartbeat heartbeat;
	Wire__Envelope envelope;
	Wire__ClusterReport *clusters;
	Wire__ClusterReport **cluster_list;
	Wire__UpstreamReport *upstreams;
	Wire__UpstreamReport **upstream_list;
	Wire__Position pos;
	char (*names)[NAME_MAX_LEN];
};

static void fill_cluster(struct heartbeat_parts *h, unsigned i)
{
	Wire__ClusterReport *c = &h->clusters[i];

	wire__cluster_report__init(c);
	c->service = (char *)"grindplan-db";
	g_snprintf(h->names[i], NAME_MAX_LEN, "cluster-%04u", i);
	c->cluster = h->names[i];
	c->term = 3;
	c->acknowledged = &h->pos;
	h->cluster_list[i] = c;
}

static void fill_upstream(struct heartbeat_parts *h, unsigned i, unsigned nr)
{
	Wire__UpstreamReport *u = &h->upstreams[i];

	wire__upstream_report__init(u);
	g_snprintf(h->names[nr + i], NAME_MAX_LEN, "upstream-%04u", i);
	u->name = h->names[nr + i];
	u->open_connections = 2;
	u->wanted_connections = 3;
	u->received = &h->pos;
	u->reachable = 1;
	u->address = (char *)"192.0.2.100";
	u->port = 5432;
	u->service = (char *)"grindplan-db";
	u->cluster = h->names[i / 3];
	u->term = 3;
	h->upstream_list[i] = u;
}

static void heartbeat_build(struct heartbeat_parts *h, unsigned nr)
{
	unsigned i;

	memset(h, 0, sizeof(*h));
	h->clusters = g_new0(Wire__ClusterReport, nr);
	h->cluster_list = g_new0(Wire__ClusterReport *, nr);
	h->upstreams = g_new0(Wire__UpstreamReport, 3 * nr);
	h->upstream_list = g_new0(Wire__UpstreamReport *, 3 * nr);
	h->names = g_malloc0((size_t)4 * nr * NAME_MAX_LEN);
	wire__position__init(&h->pos);
	h->pos.term = 3;
	h->pos.lsn = 0x16B374800ull;
	for (i = 0; i < nr; i++)
		fill_cluster(h, i);
	for (i = 0; i < 3 * nr; i++)
		fill_upstream(h, i, nr);
	wire__heartbeat__init(&h->heartbeat);
	h->heartbeat.daemon = (char *)"vm-0001";
	h->heartbeat.incarnation = 0x123456789abcdefull;
	h->heartbeat.sequence = 1000000;
	h->heartbeat.tables_version = 670;
	h->heartbeat.availability_zone = (char *)"gl-west";
	h->heartbeat.bus_address = (char *)"192.0.2.1:7100";
	h->heartbeat.n_clusters = nr;
	h->heartbeat.clusters = h->cluster_list;
	h->heartbeat.n_upstreams = 3 * nr;
	h->heartbeat.upstreams = h->upstream_list;
	wire__envelope__init(&h->envelope);
	h->envelope.body_case = WIRE__ENVELOPE__BODY_HEARTBEAT;
	h->envelope.heartbeat = &h->heartbeat;
}

static void heartbeat_release(struct heartbeat_parts *h)
{
	g_free(h->clusters);
	g_free(h->cluster_list);
	g_free(h->upstreams);
	g_free(h->upstream_list);
	g_free(h->names);
}

static double decode_us(const uint8_t *bytes, size_t len)
{
	const int rounds = 2000;
	int64_t start = cpu_ns();
	Wire__Envelope *e;
	int i;

	for (i = 0; i < rounds; i++) {
		e = wire__envelope__unpack(NULL, len, bytes);
		wire__envelope__free_unpacked(e, NULL);
	}
	return (cpu_ns() - start) / 1e3 / rounds;
}

static void measure_heartbeats(FILE *out)
{
	static const unsigned sizes[] = { 1, 3, 9, 30 };
	struct points bytes = { .nr = 0 }, decode = { .nr = 0 };
	struct heartbeat_parts h;
	uint8_t *packed;
	size_t i, len;

	for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
		heartbeat_build(&h, sizes[i]);
		len = wire__envelope__get_packed_size(&h.envelope);
		packed = g_malloc(len);
		wire__envelope__pack(&h.envelope, packed);
		points_add(&bytes, sizes[i], len);
		points_add(&decode, sizes[i], decode_us(packed, len));
		g_free(packed);
		heartbeat_release(&h);
	}
	points_print(&bytes, "heartbeat size", "bytes", "cluster", out);
	points_print(&decode, "heartbeat decoding", "us", "cluster", out);
}

static void grant_build(Wire__LeaseGrant *grant, unsigned nr, GPtrArray *keep)
{
	Wire__ClusterState *c;
	Wire__Share *s;
	unsigned i;

	wire__lease_grant__init(grant);
	grant->sequence = 1000000;
	grant->incarnation = 0x123456789abcdefull;
	grant->duration_us = 1200000;
	grant->tables_version = 670;
	grant->members_version = 600;
	grant->raft_term = 9;
	grant->clusters = g_new0(Wire__ClusterState *, nr);
	grant->shares = g_new0(Wire__Share *, 3 * nr);
	g_ptr_array_add(keep, grant->clusters);
	g_ptr_array_add(keep, grant->shares);
	for (i = 0; i < nr; i++) {
		c = g_new0(Wire__ClusterState, 1);
		wire__cluster_state__init(c);
		c->service = (char *)"grindplan-db";
		c->cluster = (char *)"cluster-0001";
		c->term = 3;
		c->primary = (char *)"upstream-0001";
		grant->clusters[grant->n_clusters++] = c;
		g_ptr_array_add(keep, c);
	}
	for (i = 0; i < 3 * nr; i++) {
		s = g_new0(Wire__Share, 1);
		wire__share__init(s);
		s->upstream = (char *)"upstream-0001";
		s->connections = 3;
		grant->shares[grant->n_shares++] = s;
		g_ptr_array_add(keep, s);
	}
}

static void measure_grants(FILE *out)
{
	static const unsigned sizes[] = { 1, 3, 9, 30 };
	struct points bytes = { .nr = 0 };
	Wire__LeaseGrant grant;
	GPtrArray *keep;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
		keep = g_ptr_array_new_with_free_func(g_free);
		grant_build(&grant, sizes[i], keep);
		points_add(&bytes, sizes[i],
			   wire__lease_grant__get_packed_size(&grant));
		g_ptr_array_free(keep, TRUE);
	}
	points_print(&bytes, "lease grant size", "bytes", "cluster", out);
}

static void directory_fill(struct upstream_directory *dir, unsigned nr)
{
	char name[NAME_MAX_LEN], cluster[NAME_MAX_LEN];
	struct upstream_announcement ann = {
		.name = name,
		.address = "192.0.2.100",
		.port = 5432,
		.availability_zone = "gl-west",
		.service = "grindplan-db",
		.cluster = cluster,
		.database = "main",
	};
	unsigned i;

	for (i = 0; i < nr; i++) {
		g_snprintf(name, sizeof(name), "upstream-%04u", i);
		g_snprintf(cluster, sizeof(cluster), "cluster-%04u", i / 3);
		ann.primary = i % 3 == 0;
		directory_record_announcement(dir, &ann, 0, 1000);
	}
}

static void measure_directory(FILE *out)
{
	static const unsigned sizes[] = { 30, 300, 1000, 3000 };
	struct points heap = { .nr = 0 }, cpu = { .nr = 0 };
	struct upstream_directory dir;
	size_t i, before;
	int64_t start;

	for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
		before = heap_bytes();
		directory_init(&dir, 15000000);
		directory_fill(&dir, sizes[i]);
		points_add(&heap, sizes[i], heap_bytes() - before);
		start = cpu_ns();
		directory_fill(&dir, sizes[i]);
		points_add(&cpu, sizes[i], (cpu_ns() - start) / 1e3);
		directory_finish(&dir);
	}
	points_print(&heap, "upstream directory memory", "bytes", "upstream",
		     out);
	points_print(&cpu, "announcement taken in", "us", "upstream", out);
}

static void measure_sessions(FILE *out)
{
	static const unsigned sizes[] = { 1000, 10000, 30000, 65536 };
	struct points heap = { .nr = 0 }, cpu = { .nr = 0 };
	struct session_positions sp;
	struct position pos = { 1, 1 };
	size_t i, before;
	int64_t start;
	unsigned k;

	for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
		before = heap_bytes();
		session_positions_init(&sp, SESSION_CAPACITY,
				       SESSION_RETENTION_US, 0);
		session_positions_change_members(&sp, 1, 0,
						 SESSION_MEMBERS_GRACE_US);
		start = cpu_ns();
		for (k = 0; k < sizes[i]; k++)
			session_positions_store(&sp, k, 1, pos, 1, k);
		points_add(&cpu, sizes[i], (cpu_ns() - start) / 1e3);
		points_add(&heap, sizes[i], heap_bytes() - before);
		session_positions_finish(&sp);
	}
	points_print(&heap, "session position memory", "bytes", "session", out);
	points_print(&cpu, "session position stored", "us", "write", out);
}

static void measure_statement_cache(FILE *out)
{
	static const unsigned sizes[] = { 100, 300, 1000 };
	struct points heap = { .nr = 0 }, miss = { .nr = 0 };
	struct sql_classifier cl;
	char sql[128];
	size_t i, before;
	int64_t start;
	unsigned k;

	for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
		before = heap_bytes();
		sql_classifier_init(&cl, 64 * 1024 * 1024);
		start = cpu_ns();
		for (k = 0; k < sizes[i]; k++) {
			g_snprintf(sql, sizeof(sql),
				   "SELECT slot, crew FROM plan_%u WHERE week "
				   "= $1 ORDER BY slot",
				   k);
			sql_classify(&cl, sql);
		}
		points_add(&miss, sizes[i], (cpu_ns() - start) / 1e3);
		points_add(&heap, sizes[i], heap_bytes() - before);
		sql_classifier_finish(&cl);
	}
	points_print(&heap, "statement cache memory", "bytes", "text", out);
	points_print(&miss, "statement classified, miss", "us", "text", out);
}

static void apply(struct control_state *state, Wire__LogEntry *entry)
{
	size_t len = wire__log_entry__get_packed_size(entry);
	uint8_t *bytes = g_malloc(len);

	wire__log_entry__pack(entry, bytes);
	control_state_apply(state, bytes, len, NULL);
	g_free(bytes);
}

static void add_member(struct control_state *state, unsigned i)
{
	Wire__LogEntry entry = WIRE__LOG_ENTRY__INIT;
	Wire__MemberChange change = WIRE__MEMBER_CHANGE__INIT;
	Wire__Member member = WIRE__MEMBER__INIT;
	char name[NAME_MAX_LEN];

	g_snprintf(name, sizeof(name), "vm-%04u", i);
	member.daemon = name;
	member.availability_zone = (char *)"gl-west";
	member.bus_address = (char *)"192.0.2.1:7100";
	change.member = &member;
	entry.body_case = WIRE__LOG_ENTRY__BODY_MEMBER;
	entry.member = &change;
	apply(state, &entry);
}

static void add_cluster(struct control_state *state, unsigned i)
{
	Wire__LogEntry entry = WIRE__LOG_ENTRY__INIT;
	Wire__ClusterFound found = WIRE__CLUSTER_FOUND__INIT;
	char name[NAME_MAX_LEN], primary[NAME_MAX_LEN];

	g_snprintf(name, sizeof(name), "cluster-%04u", i);
	g_snprintf(primary, sizeof(primary), "upstream-%04u", i);
	found.service = (char *)"grindplan-db";
	found.cluster = name;
	found.primary = primary;
	found.term = 1;
	entry.body_case = WIRE__LOG_ENTRY__BODY_CLUSTER_FOUND;
	entry.cluster_found = &found;
	apply(state, &entry);
}

static void add_share(struct control_state *state, unsigned i)
{
	Wire__LogEntry entry = WIRE__LOG_ENTRY__INIT;
	Wire__ShareChange share = WIRE__SHARE_CHANGE__INIT;
	char name[NAME_MAX_LEN], upstream[NAME_MAX_LEN];

	g_snprintf(name, sizeof(name), "vm-%04u", i % 600);
	g_snprintf(upstream, sizeof(upstream), "upstream-%04u", i / 8);
	share.daemon = name;
	share.upstream = upstream;
	share.connections = 2;
	share.target = 2;
	entry.body_case = WIRE__LOG_ENTRY__BODY_SHARE;
	entry.share = &share;
	apply(state, &entry);
}

static void measure_state(const char *what, const char *per,
			  void (*add)(struct control_state *, unsigned),
			  const unsigned *sizes, size_t nr, FILE *out)
{
	struct points heap = { .nr = 0 }, snapshot = { .nr = 0 };
	struct points cpu = { .nr = 0 };
	struct control_state state;
	char label[64];
	size_t i, before, len;
	int64_t start;
	unsigned k;

	for (i = 0; i < nr; i++) {
		before = heap_bytes();
		control_state_init(&state);
		start = cpu_ns();
		for (k = 0; k < sizes[i]; k++)
			add(&state, k);
		points_add(&cpu, sizes[i], (cpu_ns() - start) / 1e3);
		points_add(&heap, sizes[i], heap_bytes() - before);
		g_free(control_state_pack(&state, &len));
		points_add(&snapshot, sizes[i], len);
		control_state_finish(&state);
	}
	g_snprintf(label, sizeof(label), "control state memory, %s", what);
	points_print(&heap, label, "bytes", per, out);
	g_snprintf(label, sizeof(label), "snapshot size, %s", what);
	points_print(&snapshot, label, "bytes", per, out);
	g_snprintf(label, sizeof(label), "entry applied, %s", what);
	points_print(&cpu, label, "us", per, out);
}

int capacity_experiment(FILE *out)
{
	static const unsigned daemons[] = { 75, 150, 300, 600 };
	static const unsigned clusters[] = { 100, 333, 1000 };
	static const unsigned shares[] = { 1000, 3000, 10000 };

	measure_heartbeats(out);
	measure_grants(out);
	measure_directory(out);
	measure_sessions(out);
	measure_statement_cache(out);
	measure_state("members", "daemon", add_member, daemons,
		      G_N_ELEMENTS(daemons), out);
	measure_state("clusters", "cluster", add_cluster, clusters,
		      G_N_ELEMENTS(clusters), out);
	measure_state("shares", "share", add_share, shares,
		      G_N_ELEMENTS(shares), out);
	return 0;
}
