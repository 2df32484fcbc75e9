#include "announce.h"

#include "announcement.h"
#include "caller_limits.h"
#include "cluster_links.h"
#include "http.h"

#include <string.h>

/*
 * Announcements gathered before they are passed on. Far below the 2 s in
 * which a leaving upstream must be known everywhere.
 */
#define GATHER_US (50 * 1000ll)
/* Announcements in one message; each takes less than 1 KiB. */
#define NEWS_MAX 256

/**
 * struct news_item - an announcement to be passed on
 * @at_us: arrival, from which its age is told
 */
struct news_item {
	Wire__Announcement *ann;
	int64_t at_us;
};

/**
 * struct announce - listener and relay
 * @peers: bus handles of the other daemons
 */
struct announce {
	struct proxy *proxy;
	struct http_server *http;
	GArray *peers;
	GArray *news;
	int timer;
};

/*
 * Upstreams that no pool uses may fill half of the table, so that names of
 * unused clusters do not keep out those of used ones.
 */
static bool is_full(struct proxy *proxy, const Wire__Announcement *ann)
{
	const struct upstream_directory *dir = &proxy->directory;
	unsigned max = proxy->settings->max_upstreams;

	if (directory_find_upstream(dir, ann->name) != UPSTREAM_NONE)
		return false;
	if (!cluster_links_uses(proxy, ann->service, ann->cluster))
		max -= max / 2;
	if (dir->upstreams->len < max)
		return false;
	caller_limits_note(proxy, COUNT_UPSTREAMS_REFUSED,
			   "announcements are refused: too many names",
			   "raise max_upstreams, or restart after wrong "
			   "announcements");
	return true;
}

const char *announce_take(struct proxy *proxy, const Wire__Announcement *ann)
{
	const struct upstream_announcement known = {
		.name = ann->name,
		.address = ann->address,
		.port = ann->port,
		.availability_zone = ann->availability_zone,
		.service = ann->service,
		.cluster = ann->cluster,
		.database = ann->database,
		.position = { ann->position->term, ann->position->lsn },
		.primary = ann->primary,
		.leaving = ann->leaving,
	};
	int64_t age = MIN(ann->age_us, (uint64_t)INT64_MAX / 2);
	int handle;

	if (is_full(proxy, ann))
		return "too many upstreams are known; raise max_upstreams";
	handle = directory_record_announcement(&proxy->directory, &known, age,
					       proxy_now());
	if (handle == UPSTREAM_NONE) {
		proxy_count(proxy, COUNT_ANNOUNCEMENTS_STALE);
		return "older than what is known, or of another cluster than "
		       "before; use another name for another database";
	}
	proxy_count(proxy, COUNT_ANNOUNCEMENTS);
	cluster_links_announced(proxy, handle, ann->position->term);
	return NULL;
}

void announce_news(struct proxy *proxy, const Wire__UpstreamNews *news)
{
	size_t i;

	for (i = 0; i < news->n_announcements; i++) {
		proxy_count(proxy, COUNT_NEWS_RECEIVED);
		if (announcement_check(news->announcements[i], NULL))
			announce_take(proxy, news->announcements[i]);
		else
			proxy_count(proxy, COUNT_ANNOUNCEMENTS_MALFORMED);
	}
}

static void send_news(struct announce *announce, Wire__Announcement **items,
		      size_t nr)
{
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__UpstreamNews news = WIRE__UPSTREAM_NEWS__INIT;
	guint i;

	news.n_announcements = nr;
	news.announcements = items;
	envelope.body_case = WIRE__ENVELOPE__BODY_UPSTREAM_NEWS;
	envelope.upstream_news = &news;
	for (i = 0; i < announce->peers->len; i++)
		bus_send(announce->proxy->bus,
			 g_array_index(announce->peers, int, i), &envelope);
	counter_add(&announce->proxy->counters,
		    announce->proxy->counter[COUNT_NEWS_SENT], nr);
}

static void clear_news(GArray *news)
{
	guint i;

	for (i = 0; i < news->len; i++)
		wire__announcement__free_unpacked(
			g_array_index(news, struct news_item, i).ann, NULL);
	g_array_set_size(news, 0);
}

static void on_gathered(int64_t now_us, void *data)
{
	struct announce *announce = data;
	Wire__Announcement *items[NEWS_MAX];
	struct news_item *item;
	size_t nr = 0;
	guint i;

	announce->timer = TIMER_NONE;
	for (i = 0; i < announce->news->len; i++) {
		item = &g_array_index(announce->news, struct news_item, i);
		item->ann->age_us = now_us - item->at_us;
		items[nr++] = item->ann;
		if (nr < NEWS_MAX)
			continue;
		send_news(announce, items, nr);
		nr = 0;
	}
	if (nr)
		send_news(announce, items, nr);
	clear_news(announce->news);
}

void announce_relay(struct announce *announce, Wire__Announcement *ann)
{
	struct news_item item = { ann, proxy_now() };

	g_array_append_val(announce->news, item);
	if (announce->timer == TIMER_NONE)
		announce->timer = timer_subscribe(&announce->proxy->timers,
						  item.at_us + GATHER_US, 0,
						  on_gathered, announce);
}

struct announce *announce_new(struct proxy *proxy, GError **error)
{
	struct http_server *http = http_new(proxy, error);
	struct announce *announce;

	if (!http)
		return NULL;
	announce = g_new0(struct announce, 1);
	announce->proxy = proxy;
	announce->http = http;
	announce->peers = g_array_new(FALSE, FALSE, sizeof(int));
	announce->news = g_array_new(FALSE, FALSE, sizeof(struct news_item));
	announce->timer = TIMER_NONE;
	return announce;
}

void announce_free(struct announce *announce)
{
	timer_cancel(&announce->proxy->timers, &announce->timer);
	http_server_free(announce->http);
	clear_news(announce->news);
	g_array_free(announce->news, TRUE);
	g_array_free(announce->peers, TRUE);
	g_free(announce);
}

void announce_members(struct proxy *proxy, Wire__Member *const *members,
		      size_t nr)
{
	struct announce *announce = proxy->announce;
	size_t i;
	int handle;

	g_array_set_size(announce->peers, 0);
	for (i = 0; i < nr; i++) {
		if (!strcmp(members[i]->daemon, proxy->settings->name))
			continue;
		handle = bus_connect(proxy->bus, members[i]->bus_address, NULL);
		if (handle >= 0)
			g_array_append_val(announce->peers, handle);
	}
}
