#include "internal.h"

#include "event_log.h"
#include "relay_policy.h"

#include <jansson.h>

/* Largest number of upstreams of a service that are considered. */
#define MAX_OPTIONS 32

static bool is_connected(const struct upstream *upstream)
{
	guint i;

	for (i = 0; i < upstream->links->len; i++)
		if (((struct link *)upstream->links->pdata[i])->state ==
		    LINK_READY)
			return true;
	return false;
}

static bool is_unreachable(struct service *svc, bool needs_primary,
			   int64_t now_us)
{
	const struct upstream *primary = upstream_primary(svc, now_us);
	struct relay_option options[MAX_OPTIONS];
	unsigned nr = 0, nr_failing = 0;
	guint i;

	for (i = 0; i < svc->known_upstreams->len && nr < MAX_OPTIONS; i++) {
		const struct upstream *upstream =
			svc->known_upstreams->pdata[i];

		if (upstream->gone || upstream->leaving)
			continue;
		nr_failing += upstream->failing_us != 0;
		if (needs_primary && upstream != primary)
			continue;
		options[nr++] = (struct relay_option){
			.connected = is_connected(upstream),
			.failing = upstream->failing_us != 0,
			.full = upstream_is_full(upstream, now_us),
		};
	}
	return relay_needed(options, nr, nr_failing);
}

/* Sessions that wait in the service's queue and need the primary or not. */
static GPtrArray *waiting_sessions(const struct service *svc,
				   bool needs_primary)
{
	GPtrArray *sessions = g_ptr_array_new();
	GList *node;

	for (node = svc->waiting.head; node; node = node->next) {
		struct session *s = node->data;

		if (s->needs_primary == needs_primary)
			g_ptr_array_add(sessions, s);
	}
	return sessions;
}

static void relay_all(struct service *svc, bool needs_primary, int64_t now_us)
{
	g_autoptr(GPtrArray) sessions = NULL;
	guint i, nr = 0;

	if (!is_unreachable(svc, needs_primary, now_us))
		return;
	sessions = waiting_sessions(svc, needs_primary);
	if (!sessions->len)
		return;
	for (i = 0; i < sessions->len; i++) {
		if (!request_relay_to_peer(sessions->pdata[i]))
			break;
		nr++;
	}
	/* Without control no promotion will end this. */
	if (watch_leader_is_unreachable(svc->entry, now_us))
		for (i = nr; i < sessions->len; i++)
			request_refuse_unreachable(sessions->pdata[i]);
	if (nr)
		event_log("relayed_to_peers", "{s:s, s:b, s:i, s:i}", "service",
			  svc->name, "primary", (int)needs_primary,
			  "statements", (int)nr, "waiting", (int)sessions->len);
}

void service_relay_unreachable(struct service *svc, int64_t now_us)
{
	if (g_queue_is_empty(&svc->waiting))
		return;
	relay_all(svc, true, now_us);
	relay_all(svc, false, now_us);
}
