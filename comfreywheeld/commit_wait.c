#include "commit_wait.h"

#include "caller.h"
#include "upstream_pool.h"

/*
 * Time between position queries to one replica while commits wait: at most
 * 1,000 queries/s per replica, and far below the replication delay between
 * zones.
 */
#define ASK_AGAIN_US 1000
/*
 * Age at which what is known of a replica is renewed for reads that need a
 * later position: far less than a probe interval, and at most 200 queries/s.
 */
#define READ_ASK_US 5000

struct commit_wait {
	struct proxy *proxy;
	GQueue waiting;
	int ask_timer;
};

static int cluster_of(const struct request *req)
{
	return req->caller->cluster;
}

static unsigned holders(struct proxy *proxy, const struct request *req)
{
	const struct upstream_directory *dir = &proxy->directory;
	const struct cluster *cluster =
		directory_cluster_at(dir, cluster_of(req));
	const struct upstream *up;
	unsigned nr = 0;
	int handle;
	guint i;

	for (i = 0; i < cluster->upstreams->len; i++) {
		handle = g_array_index(cluster->upstreams, int, i);
		up = directory_upstream_at(dir, handle);
		if (handle != cluster->primary && directory_is_replica(up) &&
		    position_covers(&cluster->history, up->received,
				    req->commit))
			nr++;
	}
	return nr;
}

static void ask_replicas(struct proxy *proxy, int handle)
{
	const struct cluster *cluster =
		directory_cluster_at(&proxy->directory, handle);
	guint i;
	int up;

	for (i = 0; i < cluster->upstreams->len; i++) {
		up = g_array_index(cluster->upstreams, int, i);
		if (up != cluster->primary)
			upstream_probe_ask(upstream_home_at(proxy, up));
	}
}

void commit_wait_ask(struct commit_wait *cw, int cluster)
{
	const struct upstream_directory *dir = &cw->proxy->directory;
	const struct cluster *c = directory_cluster_at(dir, cluster);
	int64_t limit = proxy_now() - READ_ASK_US;
	guint i;
	int up;

	for (i = 0; i < c->upstreams->len; i++) {
		up = g_array_index(c->upstreams, int, i);
		if (up != c->primary &&
		    directory_upstream_at(dir, up)->position_reported_us <
			    limit)
			upstream_probe_ask(upstream_home_at(cw->proxy, up));
	}
}

static void ask_again(int64_t now_us, void *data)
{
	struct commit_wait *cw = data;
	GHashTable *asked = g_hash_table_new(NULL, NULL);
	GList *at;
	int cluster;

	cw->ask_timer = TIMER_NONE;
	for (at = cw->waiting.head; at; at = at->next) {
		cluster = cluster_of(at->data);
		if (g_hash_table_add(asked, GINT_TO_POINTER(cluster)))
			ask_replicas(cw->proxy, cluster);
	}
	g_hash_table_destroy(asked);
}

static void schedule(struct commit_wait *cw)
{
	if (cw->ask_timer != TIMER_NONE || !cw->waiting.head)
		return;
	cw->ask_timer = timer_subscribe(&cw->proxy->timers,
					proxy_now() + ASK_AGAIN_US, 0,
					ask_again, cw);
}

struct commit_wait *commit_wait_new(struct proxy *proxy)
{
	struct commit_wait *cw = g_new0(struct commit_wait, 1);

	cw->proxy = proxy;
	cw->ask_timer = TIMER_NONE;
	return cw;
}

void commit_wait_free(struct commit_wait *cw)
{
	timer_cancel(&cw->proxy->timers, &cw->ask_timer);
	g_queue_clear(&cw->waiting);
	g_free(cw);
}

static bool settled(struct commit_wait *cw, struct request *req)
{
	return holders(cw->proxy, req) >= req->caller->route.ack_replicas;
}

void commit_wait_add(struct commit_wait *cw, struct request *req)
{
	proxy_count(cw->proxy, COUNT_COMMITS_WAITED);
	if (settled(cw, req)) {
		req->acknowledged = true;
		request_committed(req);
		return;
	}
	g_queue_push_tail(&cw->waiting, req);
	ask_replicas(cw->proxy, cluster_of(req));
	schedule(cw);
}

void commit_wait_remove(struct commit_wait *cw, struct request *req)
{
	g_queue_remove(&cw->waiting, req);
}

void commit_wait_news(struct commit_wait *cw, int upstream)
{
	int cluster =
		directory_upstream_at(&cw->proxy->directory, upstream)->cluster;
	GQueue done = G_QUEUE_INIT;
	struct request *req;
	GList *at, *next;

	for (at = cw->waiting.head; at; at = next) {
		next = at->next;
		req = at->data;
		if (cluster_of(req) != cluster || !settled(cw, req))
			continue;
		req->acknowledged = true;
		g_queue_unlink(&cw->waiting, at);
		g_queue_push_tail_link(&done, at);
	}
	while ((req = g_queue_pop_head(&done)))
		request_committed(req);
	schedule(cw);
	requests_wake_reads(cw->proxy, cluster);
}

void commit_wait_fence(struct commit_wait *cw, int cluster, const char *why)
{
	GQueue lost = G_QUEUE_INIT;
	struct request *req;
	GList *at, *next;

	for (at = cw->waiting.head; at; at = next) {
		next = at->next;
		if (cluster != CLUSTER_NONE && cluster_of(at->data) != cluster)
			continue;
		g_queue_unlink(&cw->waiting, at);
		g_queue_push_tail_link(&lost, at);
	}
	while ((req = g_queue_pop_head(&lost)))
		request_outcome_unknown(req, why);
}
