#include "internal.h"

#include "clock.h"
#include "placement.h"

/* Upstreams of one service that are looked at. */
#define OPTIONS_MAX 32
/* A replica's lag is taken for what it was for so long, microseconds. */
#define LAG_KNOWN_US (200 * 1000ll)
/* Pause before a replica that lacked a position is asked for it again. */
#define LACKED_PAUSE_US (40 * 1000ll)
/* Time of a statement at an upstream that was not used yet, microseconds. */
#define LATENCY_LEAST_US (2 * 1000ll)
/* Waiting reads of replicas that one dispatch may fail to place. */
#define MISSES_MAX 3

/* Whether the host is likely to hold a position by now. */
static bool holds(const struct host *host, const struct read_need *need,
		  int64_t now_us)
{
	if (now_us - host->lacked_at_us < LACKED_PAUSE_US &&
	    position_compare(need->position, host->lacked) >= 0)
		return false;
	if (now_us - host->lag_at_us > LAG_KNOWN_US)
		return true;
	return host->lag_us != READ_LAG_UNKNOWN &&
	       need->at_us <= now_us - host->lag_us;
}

static unsigned fill_options(struct session *s, struct host **hosts,
			     struct placement_option *options, int64_t now_us)
{
	struct service *svc = s->service;
	struct host *primary = host_primary(svc, now_us);
	unsigned nr = 0;
	guint i;

	for (i = 0; i < svc->hosts->len && nr < OPTIONS_MAX; i++) {
		struct host *host = svc->hosts->pdata[i];
		struct placement_option *o = &options[nr];

		if (host->gone || host->leaving ||
		    (s->needs_primary && host != primary))
			continue;
		*o = (struct placement_option){
			.primary = host == primary,
			.far = host->far,
			.usable = host->busy_until_us <= now_us &&
				  (s->needs_primary || host == primary ||
				   holds(host, &s->need, now_us)) &&
				  (!host->failing_us ||
				   host->connect_after_us <= now_us),
			.idle = host_idle_link(host, NULL) != NULL,
			.busy = host_busy(host),
			.room = host_room(host, now_us),
			.latency_us =
				MAX(host->window.latency_us, LATENCY_LEAST_US),
		};
		if (host == s->avoid && !s->needs_primary)
			o->usable = false;
		if (o->usable &&
		    !send_window_allows(&host->window, host_out(host))) {
			o->usable = false;
			svc->full_us = now_us;
			host->saturated_us = now_us;
		}
		hosts[nr++] = host;
	}
	return nr;
}

static bool is_opening(const struct host *host)
{
	guint i;

	for (i = 0; i < host->links->len; i++)
		if (((struct link *)host->links->pdata[i])->state ==
		    LINK_OPENING)
			return true;
	return false;
}

/* Return: whether the request got a link. */
static bool place(struct session *s, int64_t now_us)
{
	struct placement_option options[OPTIONS_MAX];
	struct host *hosts[OPTIONS_MAX];
	unsigned nr = fill_options(s, hosts, options, now_us);
	struct link *link;
	int chosen;

	chosen = nr ? placement_choose(options, nr, entry_random(s->entry)) :
		      -1;
	/* The only upstream that is left may be the one that failed it. */
	if (chosen < 0 && s->avoid) {
		s->avoid = NULL;
		return place(s, now_us);
	}
	if (chosen < 0)
		return false;
	link = host_idle_link(hosts[chosen], s);
	if (!link) {
		/*
		 * A log-in takes a slot of the upstream as a statement does.
		 * After a stop of everything all daemons need connections at
		 * once; the first ones then work while others are opened.
		 */
		if (!is_opening(hosts[chosen]))
			link_open(hosts[chosen]);
		return false;
	}
	g_queue_unlink(&s->service->waiting, &s->waiting);
	histogram_add(&s->entry->wait_times, now_us - s->arrived_us);
	s->attempts++;
	g_free(s->tried);
	s->tried = g_strdup(hosts[chosen]->id);
	link_bind(link, s);
	request_resume(s);
	return true;
}

static struct urgency urgency_of(const struct session *s, int64_t now_us)
{
	int64_t since_us = s->tx == TX_OPEN ? s->tx_arrived_us : s->arrived_us;

	return (struct urgency){
		.priority = s->route->priority,
		.left_us = since_us + s->route->target_us - now_us,
		.cost_us = s->service->cost_us[s->route->rule],
	};
}

/* The most urgent one that this dispatch has not looked at. */
static struct session *next_waiting(const struct service *svc, bool primary,
				    bool others, int64_t now_us)
{
	struct session *best = NULL;
	struct urgency most = { 0 };
	GList *at;

	for (at = svc->waiting.head; at; at = at->next) {
		struct session *s = at->data;
		struct urgency u;

		if (s->dispatched == svc->dispatches ||
		    !(s->needs_primary ? primary : others))
			continue;
		u = urgency_of(s, now_us);
		if (best && !urgency_before(&u, &most))
			continue;
		best = s;
		most = u;
	}
	return best;
}

/* Gives free connections to those who wait, the most urgent first. */
void service_dispatch(struct service *svc)
{
	int64_t now_us = clock_now_us();
	bool primary = true;
	unsigned misses = 0;
	struct session *s;

	if (svc->dispatching)
		return;
	svc->dispatching = true;
	svc->dispatches++;
	/* A primary is handed over since it is crowded: its next free
	 * connection must not go to a caller. */
	handover_proceed(svc->entry);
	while ((s = next_waiting(svc, primary, misses < MISSES_MAX, now_us))) {
		bool needs_primary = s->needs_primary;

		s->dispatched = svc->dispatches;
		if (place(s, now_us))
			continue;
		if (needs_primary)
			primary = false;
		else
			misses++;
	}
	svc->dispatching = false;
}
