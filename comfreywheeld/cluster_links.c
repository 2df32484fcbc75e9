#include "cluster_links.h"

#include "announce.h"
#include "log.h"
#include "request.h"
#include "upstream_pool.h"

#include <inttypes.h>
#include <string.h>

static struct cluster *cluster_at(struct proxy *proxy, int handle)
{
	return directory_cluster_at(&proxy->directory, handle);
}

/*
 * struct acknowledged - what this process did in a cluster's current term
 * @pos: largest position acknowledged; it covers what an earlier process of
 *       this daemon acknowledged, since positions only grow within a term
 * @from_start: the term began while this process was running
 */
struct acknowledged {
	struct position pos;
	bool from_start;
};

static void begin_term(struct acknowledged *ack, uint32_t old_term)
{
	memset(ack, 0, sizeof(*ack));
	ack->from_start = old_term > 0;
}

GArray *cluster_links_new(void)
{
	return g_array_new(FALSE, TRUE, sizeof(struct acknowledged));
}

static struct acknowledged *acknowledged_at(struct proxy *proxy, int cluster)
{
	if ((guint)cluster >= proxy->acknowledged->len)
		g_array_set_size(proxy->acknowledged, cluster + 1);
	return &g_array_index(proxy->acknowledged, struct acknowledged,
			      cluster);
}

void proxy_acknowledged(struct proxy *proxy, int cluster, struct position pos)
{
	struct acknowledged *ack = acknowledged_at(proxy, cluster);

	ack->pos = position_max(ack->pos, pos);
}

bool proxy_may_write(struct proxy *proxy, int cluster)
{
	return control_client_may_write(proxy->control, proxy_now()) &&
	       !cluster_at(proxy, cluster)->fenced;
}

static bool pool_uses(const struct pool *pool, const char *service,
		      const char *cluster)
{
	return !strcmp(pool->service, service) &&
	       g_strv_contains((const char *const *)pool->clusters, cluster);
}

bool cluster_links_uses(struct proxy *proxy, const char *service,
			const char *cluster)
{
	const struct tables *tables =
		proxy->control ? control_client_tables(proxy->control) : NULL;
	guint i;

	for (i = 0; tables && i < tables->pools->len; i++)
		if (pool_uses(&g_array_index(tables->pools, struct pool, i),
			      service, cluster))
			return true;
	return false;
}

static bool is_used(struct proxy *proxy, int cluster)
{
	const struct cluster *c = cluster_at(proxy, cluster);

	return cluster_links_uses(proxy, c->service, c->name);
}

static void use_upstream(struct proxy *proxy, int upstream)
{
	const struct upstream *up =
		directory_upstream_at(&proxy->directory, upstream);

	if (is_used(proxy, up->cluster))
		upstream_home_at(proxy, upstream);
	requests_wake(proxy, up->cluster);
}

void cluster_links_announced(struct proxy *proxy, int upstream, uint32_t term)
{
	GArray *terms = proxy->announced_terms;

	if ((guint)upstream >= terms->len)
		g_array_set_size(terms, upstream + 1);
	g_array_index(terms, uint32_t, upstream) = term;
	use_upstream(proxy, upstream);
	if (directory_upstream_at(&proxy->directory, upstream)->leaving &&
	    (guint)upstream < proxy->homes->len &&
	    proxy->homes->pdata[upstream])
		upstream_home_avoid(proxy->homes->pdata[upstream]);
}

void cluster_links_refresh(struct proxy *proxy)
{
	guint i;

	for (i = 0; i < proxy->directory.upstreams->len; i++)
		use_upstream(proxy, i);
}

static void on_tables(const struct tables *tables, void *data)
{
	log_notice("tables version %" PRIu64 " is in force", tables->version);
	cluster_links_refresh(data);
}

/* Requests queued at a primary that is no longer one are routed anew. */
static void reroute(struct proxy *proxy, int cluster)
{
	const struct cluster *c = cluster_at(proxy, cluster);
	struct upstream_home *home;
	guint i;
	int handle;

	for (i = 0; i < c->upstreams->len; i++) {
		handle = g_array_index(c->upstreams, int, i);
		home = (guint)handle < proxy->homes->len ?
			       proxy->homes->pdata[handle] :
			       NULL;
		if (home)
			upstream_home_requeue(home);
	}
	requests_wake(proxy, cluster);
}

static void log_cluster(const struct cluster *c, const char *primary)
{
	if (c->fenced)
		log_notice("cluster %s.%s: writes are stopped after term %u",
			   c->service, c->name, c->term);
	else
		log_notice("cluster %s.%s: %s is the primary of term %u",
			   c->service, c->name, primary, c->term);
}

static void on_cluster(const Wire__ClusterState *state, void *data)
{
	struct proxy *proxy = data;
	int handle = directory_get_or_add_cluster(
		&proxy->directory, state->service, state->cluster);
	struct cluster *c = cluster_at(proxy, handle);
	uint32_t old_term = c->term;
	int old_primary = c->primary;
	bool was_fenced = c->fenced, known = c->primary_name != NULL;
	size_t i;

	for (i = 0; i < state->n_switches; i++)
		term_history_add(&c->history, state->switches[i]->term,
				 state->switches[i]->lsn);
	if (known && old_term == state->term && was_fenced == !!state->fenced)
		return;
	directory_set_primary(&proxy->directory, handle, state->primary,
			      state->term, state->fenced);
	if (known && (old_term != state->term || state->fenced))
		requests_fence(proxy, handle, old_primary,
			       "the primary was replaced before the write was "
			       "confirmed");
	if (old_term != state->term)
		begin_term(acknowledged_at(proxy, handle), old_term);
	log_cluster(c, state->primary);
	reroute(proxy, handle);
}

static struct position on_fence(const char *service, const char *cluster,
				uint32_t term, void *data)
{
	struct proxy *proxy = data;
	int handle = directory_get_or_add_cluster(&proxy->directory, service,
						  cluster);
	struct cluster *c = cluster_at(proxy, handle);
	struct acknowledged *ack = acknowledged_at(proxy, handle);
	int old_primary = c->primary;
	char *primary;

	if (term < c->term)
		return (struct position){ 0 };
	if (term > c->term)
		begin_term(ack, c->term);
	primary = g_strdup(c->primary_name);
	directory_set_primary(&proxy->directory, handle, primary ? primary : "",
			      term, true);
	g_free(primary);
	requests_fence(proxy, handle, old_primary,
		       "the primary is being replaced; the write was not "
		       "confirmed before");
	log_cluster(c, "");
	reroute(proxy, handle);
	if (!ack->pos.term && ack->from_start)
		return (struct position){ term, 0 };
	return ack->pos;
}

static void on_share(const char *upstream, unsigned connections, void *data)
{
	struct proxy *proxy = data;
	int handle = directory_find_upstream(&proxy->directory, upstream);

	g_hash_table_replace(proxy->shares, g_strdup(upstream),
			     GUINT_TO_POINTER(connections));
	if (handle != UPSTREAM_NONE && (guint)handle < proxy->homes->len &&
	    proxy->homes->pdata[handle])
		upstream_home_share(proxy->homes->pdata[handle], connections);
}

static void on_members(Wire__Member *const *members, size_t nr,
		       uint64_t version, void *data)
{
	struct proxy *proxy = data;

	session_client_members(proxy->sessions, members, nr, version,
			       proxy_now());
	announce_members(proxy, members, nr);
	log_notice("member list version %" PRIu64 " has %zu daemons", version,
		   nr);
}

/*
 * Part of the linger time after which the connections are closed, tenths. The
 * control leader counts from a later moment and gives them away at its end.
 */
#define SURRENDER_TENTHS 9

static void on_surrender(int64_t now_us, void *data)
{
	struct proxy *proxy = data;
	guint i;

	proxy->surrender_timer = TIMER_NONE;
	if (control_client_may_write(proxy->control, now_us))
		return;
	log_warning("no lease for long: upstream connections are closed until "
		    "a control leader answers");
	proxy->surrendered = true;
	for (i = 0; i < proxy->homes->len; i++)
		if (proxy->homes->pdata[i])
			upstream_home_surrender(proxy->homes->pdata[i]);
}

static void on_lease_lost(void *data)
{
	struct proxy *proxy = data;
	int64_t linger = proxy->settings->connection_linger_us;

	timer_cancel(&proxy->timers, &proxy->surrender_timer);
	proxy->surrender_timer = timer_subscribe(
		&proxy->timers, proxy_now() + linger * SURRENDER_TENTHS / 10, 0,
		on_surrender, proxy);

	log_warning("the lease ran out: writes stop until a control leader "
		    "answers; check comfreywheelctl status");
	requests_fence(proxy, CLUSTER_NONE, UPSTREAM_NONE,
		       "this daemon lost its lease before the write was "
		       "confirmed");
}

static void add_cluster(Wire__Heartbeat *heartbeat, struct proxy *proxy,
			int handle)
{
	const struct cluster *c = cluster_at(proxy, handle);
	const struct acknowledged *ack = acknowledged_at(proxy, handle);
	Wire__ClusterReport *report = g_new(Wire__ClusterReport, 1);
	const struct upstream_home *home =
		c->primary >= 0 && (guint)c->primary < proxy->homes->len ?
			proxy->homes->pdata[c->primary] :
			NULL;

	wire__cluster_report__init(report);
	report->service = g_strdup(c->service);
	report->cluster = g_strdup(c->name);
	report->term = c->term;
	report->suspect = home && home->suspect;
	if (ack->pos.term) {
		report->acknowledged = g_new(Wire__Position, 1);
		wire__position__init(report->acknowledged);
		report->acknowledged->term = ack->pos.term;
		report->acknowledged->lsn = ack->pos.lsn;
	}
	heartbeat->clusters[heartbeat->n_clusters++] = report;
}

static uint32_t announced_term(struct proxy *proxy, int upstream)
{
	return (guint)upstream < proxy->announced_terms->len ?
		       g_array_index(proxy->announced_terms, uint32_t,
				     upstream) :
		       0;
}

static void add_upstream(Wire__Heartbeat *heartbeat, struct proxy *proxy,
			 const struct upstream_home *home)
{
	const struct upstream *up =
		directory_upstream_at(&proxy->directory, home->handle);
	const struct cluster *c = cluster_at(proxy, up->cluster);
	Wire__UpstreamReport *report = g_new(Wire__UpstreamReport, 1);

	wire__upstream_report__init(report);
	report->name = g_strdup(up->name);
	report->open_connections = home->open;
	report->wanted_connections = upstream_home_wanted(home);
	report->share = home->share;
	report->received = g_new(Wire__Position, 1);
	wire__position__init(report->received);
	report->received->term = up->received.term;
	report->received->lsn = up->received.lsn;
	report->reachable = up->reachable;
	report->address = g_strdup(up->address);
	report->port = up->port;
	report->service = g_strdup(c->service);
	report->cluster = g_strdup(c->name);
	report->primary = up->says_primary;
	report->leaving = up->leaving;
	report->term =
		MAX(up->received.term, announced_term(proxy, home->handle));
	heartbeat->upstreams[heartbeat->n_upstreams++] = report;
}

static void on_fill(Wire__Heartbeat *heartbeat, void *data)
{
	struct proxy *proxy = data;
	guint i;

	heartbeat->draining = proxy->draining;
	heartbeat->clusters = g_new0(Wire__ClusterReport *,
				     proxy->directory.clusters->len + 1);
	heartbeat->upstreams =
		g_new0(Wire__UpstreamReport *, proxy->homes->len + 1);
	for (i = 0; i < proxy->directory.clusters->len; i++)
		if (is_used(proxy, i))
			add_cluster(heartbeat, proxy, i);
	for (i = 0; i < proxy->homes->len; i++)
		if (proxy->homes->pdata[i])
			add_upstream(heartbeat, proxy, proxy->homes->pdata[i]);
}

const struct control_events cluster_links_events = {
	.tables = on_tables,
	.cluster = on_cluster,
	.fence = on_fence,
	.share = on_share,
	.members = on_members,
	.lease_lost = on_lease_lost,
	.fill = on_fill,
};
