#include "control_client_internal.h"

#include <xxhash.h>

/*
 * Demand and positions change with every request. Sent with each heartbeat
 * they cost 80 bytes per upstream and 279 per cluster five times a second;
 * once a second keeps a daemon with five clusters below 3 KB/s.
 */
#define VOLATILE_PERIOD_US 1000000ll
/* All reports are sent again after this time, whatever the leader has. */
#define FULL_PERIOD_US (30 * 1000000ll)

/**
 * struct sent_report - one report as it was last sent
 * @stable: hash without demand and positions
 * @whole: hash of all of it
 * @sequence: heartbeat that first carried it so
 * @seen: found in the heartbeat at hand
 */
struct sent_report {
	uint64_t stable;
	uint64_t whole;
	uint64_t sequence;
	int64_t sent_us;
	bool seen;
};

void control_delta_init(struct control_delta *delta)
{
	*delta = (struct control_delta){ .needs_full = true };
	delta->sent =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	delta->full_us = INT64_MIN / 2;
}

void control_delta_finish(struct control_delta *delta)
{
	g_hash_table_destroy(delta->sent);
}

void control_delta_release(Wire__Heartbeat *hb)
{
	size_t i;

	for (i = 0; i < hb->n_clusters; i++)
		wire__cluster_report__free_unpacked(hb->clusters[i], NULL);
	for (i = 0; i < hb->n_upstreams; i++)
		wire__upstream_report__free_unpacked(hb->upstreams[i], NULL);
	g_free(hb->clusters);
	g_free(hb->upstreams);
}

void control_delta_answered(struct control_delta *delta, uint64_t sequence)
{
	delta->answered_sequence = sequence;
	if (delta->full_sequence && sequence >= delta->full_sequence)
		delta->needs_full = false;
}

static uint64_t message_hash(const ProtobufCMessage *message)
{
	size_t len = protobuf_c_message_get_packed_size(message);
	uint8_t *bytes = g_malloc(len);
	uint64_t hash;

	protobuf_c_message_pack(message, bytes);
	hash = XXH64(bytes, len, 0);
	g_free(bytes);
	return hash;
}

static uint64_t cluster_stable(const Wire__ClusterReport *report)
{
	Wire__ClusterReport stable = *report;

	if (!report->fence_confirmed)
		stable.acknowledged = NULL;
	return message_hash(&stable.base);
}

static uint64_t upstream_stable(const Wire__UpstreamReport *report)
{
	Wire__UpstreamReport stable = *report;

	stable.received = NULL;
	stable.open_connections = 0;
	/* The first request at an upstream must not wait for a second. */
	stable.wanted_connections = report->wanted_connections > 0;
	return message_hash(&stable.base);
}

struct trim {
	struct control_delta *delta;
	uint64_t sequence;
	int64_t now_us;
	bool urgent;
	bool full;
};

static struct sent_report *sent_report(struct control_delta *delta, char *key)
{
	struct sent_report *s = g_hash_table_lookup(delta->sent, key);

	if (s) {
		g_free(key);
		return s;
	}
	s = g_new0(struct sent_report, 1);
	g_hash_table_insert(delta->sent, key, s);
	return s;
}

/* Returns whether the leader may lack the report. */
static bool note_report(const struct trim *t, char *key, uint64_t stable,
			uint64_t whole)
{
	struct sent_report *s = sent_report(t->delta, key);
	bool due = t->urgent || t->full ||
		   t->now_us - s->sent_us >= VOLATILE_PERIOD_US;

	s->seen = true;
	if (s->stable != stable || (s->whole != whole && due)) {
		s->stable = stable;
		s->whole = whole;
		s->sequence = t->sequence;
		s->sent_us = t->now_us;
	}
	return s->sequence > t->delta->answered_sequence;
}

static gboolean was_not_seen(gpointer key, gpointer value, gpointer data)
{
	struct sent_report *s = value;
	bool seen = s->seen;

	s->seen = false;
	return !seen;
}

/* Moves the reports that the leader lacks to the front; frees the others. */
static void trim_clusters(const struct trim *t, Wire__Heartbeat *hb,
			  const bool *lacks)
{
	size_t i, kept = 0;

	for (i = 0; i < hb->n_clusters; i++) {
		if (t->full || lacks[i])
			hb->clusters[kept++] = hb->clusters[i];
		else
			wire__cluster_report__free_unpacked(hb->clusters[i],
							    NULL);
	}
	hb->n_clusters = kept;
}

static void trim_upstreams(const struct trim *t, Wire__Heartbeat *hb,
			   const bool *lacks)
{
	size_t i, kept = 0;

	for (i = 0; i < hb->n_upstreams; i++) {
		if (t->full || lacks[i])
			hb->upstreams[kept++] = hb->upstreams[i];
		else
			wire__upstream_report__free_unpacked(hb->upstreams[i],
							     NULL);
	}
	hb->n_upstreams = kept;
}

static void note_all(const struct trim *t, const Wire__Heartbeat *hb,
		     bool *clusters, bool *upstreams)
{
	const Wire__UpstreamReport *u;
	const Wire__ClusterReport *c;
	size_t i;

	for (i = 0; i < hb->n_clusters; i++) {
		c = hb->clusters[i];
		clusters[i] = note_report(
			t, g_strdup_printf("c\n%s\n%s", c->service, c->cluster),
			cluster_stable(c), message_hash(&c->base));
	}
	for (i = 0; i < hb->n_upstreams; i++) {
		u = hb->upstreams[i];
		upstreams[i] = note_report(t, g_strdup_printf("u\n%s", u->name),
					   upstream_stable(u),
					   message_hash(&u->base));
	}
}

void control_delta_trim(struct control_delta *delta, Wire__Heartbeat *hb,
			bool all, bool urgent, int64_t now_us)
{
	bool *clusters = g_new0(bool, hb->n_clusters);
	bool *upstreams = g_new0(bool, hb->n_upstreams);
	struct trim t = {
		.delta = delta,
		.sequence = hb->sequence,
		.now_us = now_us,
		.urgent = urgent,
		.full = all || delta->needs_full ||
			now_us - delta->full_us >= FULL_PERIOD_US,
	};

	note_all(&t, hb, clusters, upstreams);
	/* A report that is gone can only be told by sending all others. */
	if (g_hash_table_foreach_remove(delta->sent, was_not_seen, NULL))
		t.full = delta->needs_full = true;
	trim_clusters(&t, hb, clusters);
	trim_upstreams(&t, hb, upstreams);
	g_free(clusters);
	g_free(upstreams);
	hb->partial = !t.full;
	if (!t.full)
		return;
	delta->full_sequence = hb->sequence;
	delta->full_us = now_us;
}
