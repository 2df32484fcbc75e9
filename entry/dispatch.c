#include "internal.h"

#include "clock.h"
#include "load_balance.h"
#include "placement.h"

/* Largest number of upstreams considered for one placement. */
#define MAX_OPTIONS 32
/* Time for which a measured replication lag is trusted. */
#define LAG_VALID_US (200 * 1000ll)
/* Pause before a replica that was behind a position is asked for it again. */
#define BEHIND_PAUSE_US (40 * 1000ll)
/* Least latency assumed, such as for an upstream that was not used yet. */
#define MIN_LATENCY_US (2 * 1000ll)
/* Failed placements of replica reads after which a dispatch tries no more. */
#define MAX_FAILED_PLACEMENTS 3
/* Sessions of accounts without a connection that a dispatch passes over. */
#define MAX_UNCONNECTED 16

/* Whether the upstream has probably reached the position by now. */
static bool probably_holds(const struct upstream *upstream,
			   const struct read_requirement *need, int64_t now_us)
{
	if (now_us - upstream->behind_at_us < BEHIND_PAUSE_US &&
	    position_compare(need->position, upstream->behind_position) >= 0)
		return false;
	if (now_us - upstream->lag_at_us > LAG_VALID_US)
		return true;
	return upstream->lag_us != READ_LAG_UNKNOWN &&
	       need->at_us <= now_us - upstream->lag_us;
}

static unsigned fill_options(struct session *s, struct upstream **candidates,
			     struct placement_option *options, int64_t now_us)
{
	struct service *svc = s->service;
	struct upstream *primary = upstream_primary(svc, now_us);
	unsigned nr = 0;
	guint i;

	for (i = 0; i < svc->known_upstreams->len && nr < MAX_OPTIONS; i++) {
		struct upstream *upstream = svc->known_upstreams->pdata[i];
		struct placement_option *option = &options[nr];

		if (upstream->gone || upstream->leaving ||
		    (s->needs_primary && upstream != primary))
			continue;
		*option = (struct placement_option){
			.primary = upstream == primary,
			.other_zone = upstream->other_zone,
			.usable =
				upstream->busy_until_us <= now_us &&
				(s->needs_primary || upstream == primary ||
				 probably_holds(upstream, &s->need, now_us)) &&
				(!upstream->failing_us ||
				 upstream->connect_after_us <= now_us),
			.idle = upstream_has_idle_link(upstream, s->account),
			.busy = upstream_nr_busy_links(upstream),
			.openable = upstream_nr_openable_for(
				upstream, s->account, now_us),
			.latency_us = MAX(upstream->window.latency_us,
					  MIN_LATENCY_US),
		};
		if (upstream == s->avoid && !s->needs_primary)
			option->usable = false;
		/* Those that were lost must not take the places of others. */
		if (!option->usable)
			continue;
		if (!send_window_allows(&upstream->window,
					upstream_nr_outstanding(upstream))) {
			option->usable = false;
			svc->window_full_at_us = now_us;
			upstream->saturated_at_us = now_us;
		}
		candidates[nr++] = upstream;
	}
	return nr;
}

static bool has_opening_link(const struct upstream *upstream)
{
	guint i;

	for (i = 0; i < upstream->links->len; i++)
		if (((struct link *)upstream->links->pdata[i])->state ==
		    LINK_OPENING)
			return true;
	return false;
}

enum placement_result {
	PLACED,
	/* no upstream takes more work of its kind */
	PLACEMENT_FAILED,
	/* its account has to wait for a connection */
	PLACEMENT_UNCONNECTED,
};

/* Closes an idle link of another account if there is no room otherwise. */
static void open_link_for(struct upstream *upstream, const char *account,
			  int64_t now_us)
{
	if (!upstream_nr_openable_links(upstream, now_us))
		upstream_evict(upstream, account);
	link_open_for(upstream, account);
}

/* Time for which the oldest unanswered command has been in flight there. */
static int64_t oldest_in_flight_us(const struct upstream *upstream,
				   int64_t now_us)
{
	int64_t oldest_us = 0;
	guint i;

	for (i = 0; i < upstream->links->len; i++) {
		const struct link *link = upstream->links->pdata[i];

		if (link->state == LINK_READY && link->outstanding->len)
			oldest_us = MAX(oldest_us, now_us - link->sent_us);
	}
	return oldest_us;
}

static int balance_read(struct entry *entry, struct upstream *const *candidates,
			const struct placement_option *from, unsigned nr,
			int64_t now_us)
{
	struct load_balance_option options[MAX_OPTIONS];
	unsigned i;

	for (i = 0; i < nr; i++) {
		const struct send_window *window = &candidates[i]->window;

		options[i] = (struct load_balance_option){
			.primary = from[i].primary,
			.other_zone = from[i].other_zone,
			.usable = from[i].usable,
			.idle = from[i].idle,
			.busy = from[i].busy,
			.openable = from[i].openable,
			.latency_us = window->latency_us,
			.base_latency_us = window->base_latency_us,
			.age_us = now_us - window->answered_us,
			.oldest_us = oldest_in_flight_us(candidates[i], now_us),
		};
	}
	return load_balance_choose(options, nr, entry_random(entry));
}

static int choose_upstream(struct session *s,
			   struct upstream *const *candidates,
			   const struct placement_option *options, unsigned nr,
			   int64_t now_us)
{
	if (!nr)
		return -1;
	if (s->entry->config.balance_reads && !s->needs_primary)
		return balance_read(s->entry, candidates, options, nr, now_us);
	return placement_choose(options, nr, entry_random(s->entry));
}

/* Assigns the request a link if an upstream takes it. */
static enum placement_result try_place(struct session *s, int64_t now_us)
{
	struct placement_option options[MAX_OPTIONS];
	struct upstream *candidates[MAX_OPTIONS];
	unsigned nr = fill_options(s, candidates, options, now_us);
	struct link *link;
	int chosen = choose_upstream(s, candidates, options, nr, now_us);

	/* Fall back to the upstream that failed it if no other is usable. */
	if (chosen < 0 && s->avoid) {
		s->avoid = NULL;
		return try_place(s, now_us);
	}
	if (chosen < 0)
		return PLACEMENT_FAILED;
	link = upstream_idle_link(candidates[chosen], s);
	if (!link) {
		/*
		 * A log-in occupies a slot of the upstream, as a statement
		 * does. After a full outage all daemons need connections at
		 * once, so open one at a time: the first ones can run
		 * statements while the next is opened.
		 */
		if (!has_opening_link(candidates[chosen]))
			open_link_for(candidates[chosen], s->account, now_us);
		return s->account ? PLACEMENT_UNCONNECTED : PLACEMENT_FAILED;
	}
	g_queue_unlink(&s->service->waiting, &s->waiting);
	histogram_add(&s->entry->wait_times, now_us - s->arrived_us);
	s->attempts++;
	g_free(s->last_upstream);
	s->last_upstream = g_strdup(candidates[chosen]->id);
	link_bind(link, s);
	request_run_on_link(s);
	return PLACED;
}

static struct urgency urgency_of(const struct session *s, int64_t now_us)
{
	int64_t since_us = s->asked_us;

	if (s->tx == TX_OPEN)
		since_us = MIN(since_us, s->tx_begun_us);

	return (struct urgency){
		.priority = s->route->priority,
		.remaining_us = since_us + s->route->target_us - now_us,
		.cost_us = s->service->cost_us[s->route->rule],
	};
}

bool service_is_first_in_line(const struct session *s, int64_t now_us)
{
	struct urgency own = urgency_of(s, now_us);
	GList *node;

	for (node = s->service->waiting.head; node; node = node->next) {
		const struct session *other = node->data;
		struct urgency urgency = urgency_of(other, now_us);

		if (other != s && other->needs_primary == s->needs_primary &&
		    urgency_before(&urgency, &own))
			return false;
	}
	return true;
}

/* The most urgent session that this dispatch has not examined yet. */
static struct session *most_urgent(const struct service *svc, bool try_primary,
				   bool try_replicas, int64_t now_us)
{
	struct session *best = NULL;
	struct urgency best_urgency = { 0 };
	GList *node;

	for (node = svc->waiting.head; node; node = node->next) {
		struct session *s = node->data;
		struct urgency urgency;

		if (s->last_dispatch == svc->dispatch_number ||
		    !(s->needs_primary ? try_primary : try_replicas))
			continue;
		urgency = urgency_of(s, now_us);
		if (best && !urgency_before(&urgency, &best_urgency))
			continue;
		best = s;
		best_urgency = urgency;
	}
	return best;
}

void service_dispatch(struct service *svc)
{
	int64_t now_us = clock_now_us();
	bool try_primary = true;
	unsigned failed_placements = 0;
	unsigned nr_unconnected = 0;
	enum placement_result result;
	struct session *s;

	if (svc->dispatching)
		return;
	svc->dispatching = true;
	svc->dispatch_number++;
	/* Handovers and surveys go before callers: a primary is handed over
	 * because it is overloaded, and nobody writes until a survey is over. */
	handover_proceed(svc->entry);
	surveys_proceed(svc->entry, now_us);
	while ((s = most_urgent(svc, try_primary,
				failed_placements < MAX_FAILED_PLACEMENTS,
				now_us))) {
		bool needs_primary = s->needs_primary;

		s->last_dispatch = svc->dispatch_number;
		result = try_place(s, now_us);
		if (result == PLACED || (result == PLACEMENT_UNCONNECTED &&
					 nr_unconnected++ < MAX_UNCONNECTED))
			continue;
		if (needs_primary)
			try_primary = false;
		else
			failed_placements++;
	}
	service_relay_unreachable(svc, now_us);
	svc->dispatching = false;
}

void services_dispatch(struct entry *entry)
{
	struct service *svc;
	GHashTableIter it;

	g_hash_table_iter_init(&it, entry->services);
	while (g_hash_table_iter_next(&it, NULL, (void **)&svc))
		service_dispatch(svc);
}
