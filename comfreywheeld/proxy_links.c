#include "proxy.h"

#include "announce.h"
#include "bus_queries.h"
#include "cluster_links.h"
#include "log.h"
#include "upstream_pool.h"

static void on_request(const struct bus_return_path *from,
		       const Wire__Envelope *envelope, void *data)
{
	struct proxy *proxy = data;
	int64_t now = proxy_now();

	switch (envelope->body_case) {
	case WIRE__ENVELOPE__BODY_UPSTREAM_NEWS:
		announce_news(proxy, envelope->upstream_news);
		return;
	case WIRE__ENVELOPE__BODY_QUERY:
		bus_query(proxy, from, envelope->query);
		return;
	default:
		if (!session_client_request(proxy->sessions, from, envelope,
					    now))
			proxy_count(proxy, COUNT_BUS_UNKNOWN);
		return;
	}
}

static void on_reply(int handle, const Wire__Envelope *envelope, void *data)
{
	struct proxy *proxy = data;
	int64_t now = proxy_now();

	if (!control_client_reply(proxy->control, handle, envelope, now) &&
	    !session_client_reply(proxy->sessions, handle, envelope, now))
		proxy_count(proxy, COUNT_BUS_UNKNOWN);
}

static const struct bus_events bus_events = {
	.request = on_request,
	.reply = on_reply,
};

bool proxy_links_init(struct proxy *proxy, GError **error)
{
	struct settings *set = proxy->settings;
	int64_t now = proxy_now();

	proxy->bus = bus_new(proxy->loop, set->bus_listen, set->bus_public_key,
			     set->bus_secret_key, &bus_events, proxy, error);
	if (!proxy->bus)
		return false;
	proxy->sessions =
		session_client_new(set, proxy->bus, &proxy->timers, now);
	proxy->announce = announce_new(proxy, error);
	if (!proxy->announce)
		return false;
	proxy->control = control_client_new(set, proxy->bus, &proxy->timers,
					    &cluster_links_events, proxy, now);
	return true;
}

void proxy_links_finish(struct proxy *proxy)
{
	if (proxy->announce)
		announce_free(proxy->announce);
	if (proxy->control)
		control_client_free(proxy->control);
	if (proxy->sessions)
		session_client_free(proxy->sessions);
	if (proxy->bus)
		bus_free(proxy->bus);
}
