#include "comfreywheeld/control_client_internal.h"
#include "comfreywheeld/control_view.h"
#include "test_main.h"

#include <gsl/gsl_rng.h>
#include <string.h>

/*
 * Partial heartbeats against whole ones: what the leader has after each
 * heartbeat must be what the daemon would have sent in full.
 */

#define CLUSTERS 5
#define UPSTREAMS 15
#define HEARTBEAT_US 200000

/* What the daemon would report. */
struct truth {
	bool suspect[CLUSTERS];
	bool fenced[CLUSTERS];
	bool used[UPSTREAMS];
	unsigned wanted[UPSTREAMS];
	bool leaving[UPSTREAMS];
	uint64_t lsn;
};

static Wire__Position *position(uint64_t lsn)
{
	Wire__Position *pos = g_new(Wire__Position, 1);

	wire__position__init(pos);
	pos->term = 1;
	pos->lsn = lsn;
	return pos;
}

static void add_cluster(Wire__Heartbeat *hb, const struct truth *t, int i)
{
	Wire__ClusterReport *c = g_new(Wire__ClusterReport, 1);

	wire__cluster_report__init(c);
	c->service = g_strdup("grindplan-db");
	c->cluster = g_strdup_printf("c%d", i);
	c->term = 1;
	c->suspect = t->suspect[i];
	c->fence_confirmed = t->fenced[i];
	c->acknowledged = position(t->lsn);
	hb->clusters[hb->n_clusters++] = c;
}

static void add_upstream(Wire__Heartbeat *hb, const struct truth *t, int i)
{
	Wire__UpstreamReport *u = g_new(Wire__UpstreamReport, 1);

	wire__upstream_report__init(u);
	u->name = g_strdup_printf("u%d", i);
	u->service = g_strdup("grindplan-db");
	u->cluster = g_strdup_printf("c%d", i / 3);
	u->address = g_strdup("192.0.2.1");
	u->wanted_connections = t->wanted[i];
	u->leaving = t->leaving[i];
	u->received = position(t->lsn);
	hb->upstreams[hb->n_upstreams++] = u;
}

static Wire__Heartbeat *build(const struct truth *t, uint64_t sequence)
{
	Wire__Heartbeat *hb = g_new(Wire__Heartbeat, 1);
	int i;

	wire__heartbeat__init(hb);
	hb->daemon = g_strdup("vm-1");
	hb->incarnation = 7;
	hb->sequence = sequence;
	hb->clusters = g_new0(Wire__ClusterReport *, CLUSTERS);
	hb->upstreams = g_new0(Wire__UpstreamReport *, UPSTREAMS);
	for (i = 0; i < CLUSTERS; i++)
		add_cluster(hb, t, i);
	for (i = 0; i < UPSTREAMS; i++)
		if (t->used[i])
			add_upstream(hb, t, i);
	return hb;
}

static void check_clusters(const Wire__Heartbeat *got, const struct truth *t)
{
	const Wire__ClusterReport *c;
	size_t i, k;

	ck_assert_uint_eq(got->n_clusters, CLUSTERS);
	for (i = 0; i < got->n_clusters; i++) {
		c = got->clusters[i];
		k = atoi(c->cluster + 1);
		ck_assert_int_eq(c->suspect, t->suspect[k]);
		ck_assert_int_eq(c->fence_confirmed, t->fenced[k]);
		if (c->fence_confirmed)
			ck_assert_uint_eq(c->acknowledged->lsn, t->lsn);
	}
}

static void check_upstreams(const Wire__Heartbeat *got, const struct truth *t)
{
	const Wire__UpstreamReport *u;
	size_t i, k, used = 0;

	for (k = 0; k < UPSTREAMS; k++)
		used += t->used[k];
	ck_assert_uint_eq(got->n_upstreams, used);
	for (i = 0; i < got->n_upstreams; i++) {
		u = got->upstreams[i];
		k = atoi(u->name + 1);
		ck_assert(t->used[k]);
		ck_assert_int_eq(u->leaving, t->leaving[k]);
		ck_assert_int_eq(u->wanted_connections > 0, t->wanted[k] > 0);
	}
}

static void change(struct truth *t, gsl_rng *rng)
{
	int c = gsl_rng_uniform_int(rng, CLUSTERS);
	int u = gsl_rng_uniform_int(rng, UPSTREAMS);

	t->lsn += gsl_rng_uniform_int(rng, 1000);
	if (gsl_rng_uniform(rng) < 0.1)
		t->suspect[c] = !t->suspect[c];
	if (gsl_rng_uniform(rng) < 0.05)
		t->fenced[c] = !t->fenced[c];
	if (gsl_rng_uniform(rng) < 0.5)
		t->wanted[u] = gsl_rng_uniform_int(rng, 4);
	if (gsl_rng_uniform(rng) < 0.05)
		t->leaving[u] = !t->leaving[u];
	if (gsl_rng_uniform(rng) < 0.02)
		t->used[u] = !t->used[u];
}

struct totals {
	int partial;
	int full;
	int asked;
	size_t bytes;
};

static void run(uint64_t seed, struct totals *totals)
{
	gsl_rng *rng = gsl_rng_alloc(gsl_rng_mt19937);
	struct control_daemon *leader = control_daemon_new("vm-1");
	struct control_delta delta;
	struct truth t = { .lsn = 1 };
	uint64_t sequence;
	Wire__Heartbeat *hb;
	int64_t now_us = 0;

	gsl_rng_set(rng, seed);
	control_delta_init(&delta);
	memset(t.used, 1, sizeof(t.used));
	for (sequence = 1; sequence <= 2000; sequence++) {
		now_us += HEARTBEAT_US;
		change(&t, rng);
		hb = build(&t, sequence);
		control_delta_trim(&delta, hb, false,
				   gsl_rng_uniform(rng) < 0.02, now_us);
		totals->partial += hb->partial;
		totals->full += !hb->partial;
		totals->bytes += wire__heartbeat__get_packed_size(hb);
		/* A leader that restarted knows nothing. */
		if (gsl_rng_uniform(rng) < 0.002) {
			control_daemon_free(leader);
			leader = control_daemon_new("vm-1");
		}
		if (gsl_rng_uniform(rng) < 0.8) {
			if (control_daemon_hear(leader, hb, now_us) ==
			    CONTROL_HEARD_NEW) {
				check_clusters(leader->last, &t);
				check_upstreams(leader->last, &t);
				if (gsl_rng_uniform(rng) < 0.8)
					control_delta_answered(&delta,
							       sequence);
			} else {
				totals->asked++;
				delta.needs_full = true;
			}
		}
		wire__heartbeat__free_unpacked(hb, NULL);
	}
	control_delta_finish(&delta);
	control_daemon_free(leader);
	gsl_rng_free(rng);
}

/* Guards against a leader that acts on a report the daemon has replaced. */
START_TEST(test_partial_equals_whole)
{
	struct totals totals = { 0 };
	uint64_t seed;

	for (seed = 1; seed <= 20; seed++)
		run(seed, &totals);
	ck_assert_int_gt(totals.partial, totals.full);
	ck_assert_int_gt(totals.asked, 0);
}
END_TEST

/*
 * Guards the bound of 3 KB/s for control: a daemon with five clusters whose
 * positions and demand change with every heartbeat. 100 bytes a message stand
 * for the framing of ZeroMQ, CURVE and TCP/IP.
 */
START_TEST(test_bytes_per_second)
{
	struct control_delta delta;
	struct truth t = { .lsn = 1 };
	const int heartbeats = 600, framing = 100, grant = 60 + 100;
	size_t bytes = 0;
	Wire__Heartbeat *hb;
	int i, k;

	control_delta_init(&delta);
	memset(t.used, 1, sizeof(t.used));
	for (i = 1; i <= heartbeats; i++) {
		t.lsn += 1000;
		for (k = 0; k < UPSTREAMS; k++)
			t.wanted[k] = 1 + (i + k) % 3;
		hb = build(&t, i);
		control_delta_trim(&delta, hb, false, false,
				   (int64_t)i * HEARTBEAT_US);
		bytes += wire__heartbeat__get_packed_size(hb) + framing + grant;
		control_delta_answered(&delta, i);
		wire__heartbeat__free_unpacked(hb, NULL);
	}
	control_delta_finish(&delta);
	ck_assert_msg(bytes * 5 / heartbeats <= 3000, "%zu bytes/s",
		      bytes * 5 / heartbeats);
}
END_TEST

TEST_MAIN("control_delta", test_partial_equals_whole, test_bytes_per_second)
