#include "control_view.h"

#include "pg_frame.h"

#include <string.h>

#define POSITION_COLUMNS 4
/* A term is printed with at most eight hexadecimal digits. */
#define TERM_DIGITS 8

struct control_daemon *control_daemon_new(const char *name)
{
	struct control_daemon *d = g_new0(struct control_daemon, 1);

	d->name = g_strdup(name);
	d->granted_us = -1;
	d->proposed_us = G_MININT64 / 2;
	d->pushed_us = G_MININT64 / 2;
	return d;
}

void control_daemon_free(void *data)
{
	struct control_daemon *d = data;

	if (d->last)
		wire__heartbeat__free_unpacked(d->last, NULL);
	g_free(d->name);
	g_free(d);
}

static bool has_cluster(const Wire__Heartbeat *hb, const Wire__ClusterReport *c)
{
	size_t i;

	for (i = 0; i < hb->n_clusters; i++)
		if (!strcmp(hb->clusters[i]->cluster, c->cluster) &&
		    !strcmp(hb->clusters[i]->service, c->service))
			return true;
	return false;
}

static bool has_upstream(const Wire__Heartbeat *hb, const char *name)
{
	size_t i;

	for (i = 0; i < hb->n_upstreams; i++)
		if (!strcmp(hb->upstreams[i]->name, name))
			return true;
	return false;
}

/* Moves the reports that a partial heartbeat leaves out from the last one. */
static void carry_over(Wire__Heartbeat *hb, Wire__Heartbeat *last)
{
	size_t i;

	hb->clusters = g_renew(Wire__ClusterReport *, hb->clusters,
			       hb->n_clusters + last->n_clusters);
	for (i = 0; i < last->n_clusters; i++) {
		if (has_cluster(hb, last->clusters[i]))
			continue;
		hb->clusters[hb->n_clusters++] = last->clusters[i];
		last->clusters[i--] = last->clusters[--last->n_clusters];
	}
	hb->upstreams = g_renew(Wire__UpstreamReport *, hb->upstreams,
				hb->n_upstreams + last->n_upstreams);
	for (i = 0; i < last->n_upstreams; i++) {
		if (has_upstream(hb, last->upstreams[i]->name))
			continue;
		hb->upstreams[hb->n_upstreams++] = last->upstreams[i];
		last->upstreams[i--] = last->upstreams[--last->n_upstreams];
	}
}

enum control_heard control_daemon_hear(struct control_daemon *d,
				       const Wire__Heartbeat *hb,
				       int64_t now_us)
{
	g_autofree uint8_t *bytes = NULL;
	Wire__Heartbeat *copy;
	size_t len;

	if (d->last && d->last->incarnation == hb->incarnation &&
	    hb->sequence <= d->last->sequence)
		return CONTROL_HEARD_OLD;
	if (hb->partial &&
	    (!d->last || d->last->incarnation != hb->incarnation))
		return CONTROL_HEARD_TOO_LITTLE;
	bytes = g_malloc(wire__heartbeat__get_packed_size(hb));
	len = wire__heartbeat__pack(hb, bytes);
	copy = wire__heartbeat__unpack(NULL, len, bytes);
	if (!copy)
		return CONTROL_HEARD_OLD;
	if (hb->partial)
		carry_over(copy, d->last);
	if (d->last)
		wire__heartbeat__free_unpacked(d->last, NULL);
	d->last = copy;
	d->received_us = now_us;
	return CONTROL_HEARD_NEW;
}

bool control_view_in_force(const struct control_facts *facts, uint64_t version,
			   int64_t stale_us)
{
	int64_t slack_us = stale_us * LEASE_LEADER_MARGIN_PERMILLE / 1000;
	guint i;

	for (i = 0; i < facts->state->members->len; i++) {
		const struct control_member *m =
			g_ptr_array_index(facts->state->members, i);
		const struct control_daemon *d =
			g_hash_table_lookup(facts->daemons, m->daemon);
		/* An earlier leader may have granted until this one led. */
		int64_t granted_us = facts->leases->leader_since_us;

		if (d && d->last && d->last->tables_version >= version)
			continue;
		if (d && d->granted_us >= 0)
			granted_us = MAX(granted_us, d->granted_us);
		if (facts->now_us - granted_us <= stale_us + slack_us)
			return false;
	}
	return true;
}

static const Wire__ClusterReport *cluster_report(const struct control_daemon *d,
						 const char *service,
						 const char *cluster)
{
	size_t i;

	if (!d || !d->last)
		return NULL;
	for (i = 0; i < d->last->n_clusters; i++) {
		const Wire__ClusterReport *r = d->last->clusters[i];

		if (!strcmp(r->cluster, cluster) &&
		    !strcmp(r->service, service))
			return r;
	}
	return NULL;
}

void control_view_daemons(const struct control_facts *facts,
			  const char *service, const char *cluster,
			  uint32_t term, GArray *out)
{
	guint i;

	for (i = 0; i < facts->state->members->len; i++) {
		const struct control_member *m =
			g_ptr_array_index(facts->state->members, i);
		const struct control_daemon *d =
			g_hash_table_lookup(facts->daemons, m->daemon);
		const Wire__ClusterReport *r =
			cluster_report(d, service, cluster);
		struct failover_daemon fd = {
			.name = m->daemon,
			.live = lease_table_is_live(facts->leases, m->daemon,
						    facts->now_us),
			.lease_expires_us = lease_table_expires_us(
				facts->leases, m->daemon),
			.uses_cluster = r != NULL,
		};

		if (r && r->term == term) {
			fd.suspects = r->suspect;
			fd.fence_confirmed = r->fence_confirmed;
		}
		if (fd.fence_confirmed && r->acknowledged) {
			fd.acknowledged.term = r->acknowledged->term;
			fd.acknowledged.lsn = r->acknowledged->lsn;
		}
		g_array_append_val(out, fd);
	}
}

static bool pool_has(const struct pool *pool, const char *service,
		     const char *cluster)
{
	return !strcmp(pool->service, service) &&
	       g_strv_contains((const gchar *const *)pool->clusters, cluster);
}

unsigned control_view_ack_replicas(const struct tables *tables,
				   const char *service, const char *cluster)
{
	unsigned least = G_MAXUINT;
	guint i;

	for (i = 0; i < tables->pools->len; i++) {
		const struct pool *p =
			&g_array_index(tables->pools, struct pool, i);

		if (pool_has(p, service, cluster))
			least = MIN(least, p->ack_replicas);
	}
	return least == G_MAXUINT ? 1 : least;
}

GHashTable *control_view_upstreams(const struct control_facts *facts,
				   const char *service, const char *cluster)
{
	GHashTable *found =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	GHashTableIter it;
	void *p;
	size_t i;

	g_hash_table_iter_init(&it, facts->daemons);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct control_daemon *d = p;

		for (i = 0; d->last && i < d->last->n_upstreams; i++) {
			const Wire__UpstreamReport *r = d->last->upstreams[i];
			struct control_upstream *u =
				g_hash_table_lookup(found, r->name);

			if (service && (strcmp(r->cluster, cluster) ||
					strcmp(r->service, service)))
				continue;
			/* A daemon that cannot reach it knows less of it. */
			if (u && (u->report->reachable > r->reachable ||
				  (u->report->reachable == r->reachable &&
				   u->received_us >= d->received_us)))
				continue;
			u = g_new(struct control_upstream, 1);
			u->report = r;
			u->received_us = d->received_us;
			g_hash_table_insert(found, r->name, u);
		}
	}
	return found;
}

const Wire__UpstreamReport *control_view_found(GHashTable *upstreams)
{
	const Wire__UpstreamReport *best = NULL;
	GHashTableIter it;
	uint32_t term = 0;
	bool several = false;
	void *p;

	g_hash_table_iter_init(&it, upstreams);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const Wire__UpstreamReport *r =
			((const struct control_upstream *)p)->report;

		term = MAX(term, r->term);
		if (!r->primary || (best && r->term < best->term))
			continue;
		several = best && r->term == best->term;
		best = r;
	}
	if (!best || several || best->term < term || !term || !best->reachable)
		return NULL;
	return best;
}

bool control_view_replicates(const struct control_cluster *cluster,
			     const Wire__UpstreamReport *report)
{
	if (!strcmp(report->name, cluster->primary))
		return false;
	return !report->primary || report->term >= cluster->term;
}

static bool read_term(const uint8_t *text, uint32_t len, uint32_t *term)
{
	uint32_t i;

	if (!len || len > TERM_DIGITS)
		return false;
	*term = 0;
	for (i = 0; i < len; i++) {
		int digit = g_ascii_xdigit_value((char)text[i]);

		if (digit < 0)
			return false;
		*term = *term << 4 | (uint32_t)digit;
	}
	return true;
}

/*
 * The proxy's reader refuses a replica without a running receiver. Here it is
 * the normal case: the primary it received from has just failed.
 */
bool pg_position_parse(const uint8_t *payload, size_t len,
		       struct pg_position *pos)
{
	const uint8_t *text[POSITION_COLUMNS];
	uint32_t size[POSITION_COLUMNS];
	struct pg_reader r;
	int i;

	pg_reader_init(&r, payload, len);
	if (pg_read_u16(&r) != POSITION_COLUMNS)
		return false;
	for (i = 0; i < POSITION_COLUMNS; i++) {
		size[i] = pg_read_u32(&r);
		text[i] = size[i] == G_MAXUINT32 ? NULL :
						   pg_read_bytes(&r, size[i]);
		if (r.failed)
			return false;
	}
	if (!text[0] || size[0] != 1 || !text[2] ||
	    (text[0][0] != 't' && text[0][0] != 'f') ||
	    !lsn_parse((const char *)text[2], size[2], &pos->received))
		return false;
	pos->in_recovery = text[0][0] == 't';
	pos->term = 0;
	if (!text[1])
		return pos->in_recovery;
	return read_term(text[1], size[1], &pos->term) && pos->term;
}
