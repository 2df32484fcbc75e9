#include "internal.h"

#include "clock.h"
#include "event_log.h"
#include "link_eviction.h"
#include "promotion_policy.h"

#include <jansson.h>
#include <string.h>

/* First and longest pause before the next attempt to connect. */
#define CONNECT_PAUSE_US (50 * 1000ll)
#define CONNECT_PAUSE_MAX_US (800 * 1000ll)
/* Added to PROMOTION_FAILING_AFTER_US, so that the report of a failure is sent
 * after the failure has lasted long enough to count. */
#define REPORT_MARGIN_US (5 * 1000ll)
/*
 * Idle time after which connections are closed. A home daemon keeps half of its
 * share, but at least one; other daemons keep none. When a VM loses power, the
 * upstream keeps its connections for some seconds. Until then other daemons can
 * open only as many new ones as were unused, so idle ones are closed early.
 */
#define SPARE_IDLE_US (300 * 1000ll)
/* Multiple of its share that a daemon may open while others are idle. */
#define SHARE_BURST_FACTOR 2
/* Time for which this daemon stays within its share after an upstream refused a
 * connection because its connection limit was reached. */
#define CONNECTIONS_FULL_VALID_US (2000 * 1000ll)
/* Silence of an upstream after which another connection is probed: one that
 * lost an answer must not make the upstream count as failing. */
#define SILENCE_PROBE_AFTER_US (100 * 1000ll)
/* A primary whose full send window delayed a statement within this time is
 * saturated. */
#define STRAINED_WITHIN_US (100 * 1000ll)
/* Time for which a new link is kept for the session that it was opened for.
 * Otherwise accounts that wait could close each other's links in turn. */
#define FIRST_USE_US (100 * 1000ll)
/* Largest number of links of one upstream considered for eviction. */
#define MAX_EVICTION_OPTIONS 64
/* Interval at which upstreams are probed for the primary. */
#define PROBE_INTERVAL_US (100 * 1000ll)
/* A service that was not used for this long is not sampled. */
#define SERVICE_IDLE_US (5000 * 1000ll)

struct service *service_get(struct entry *entry, const char *name)
{
	struct service *svc = g_hash_table_lookup(entry->services, name);

	if (svc)
		return svc;
	svc = g_new0(struct service, 1);
	svc->entry = entry;
	svc->name = g_strdup(name);
	svc->known_upstreams = g_ptr_array_new();
	svc->last_used_us = INT64_MIN / 2;
	svc->last_probe_us = INT64_MIN / 2;
	read_samples_init(&svc->samples);
	g_queue_init(&svc->waiting);
	g_hash_table_insert(entry->services, svc->name, svc);
	return svc;
}

void service_free(void *data)
{
	struct service *svc = data;

	g_ptr_array_free(svc->known_upstreams, TRUE);
	g_free(svc->name);
	g_free(svc);
}

static struct upstream *upstream_new(struct entry *entry,
				     const struct sighting *sighting)
{
	struct upstream *upstream = g_new0(struct upstream, 1);

	upstream->entry = entry;
	upstream->id = g_strdup(sighting->id);
	upstream->address = g_strdup(sighting->address);
	upstream->service = service_get(entry, sighting->service);
	upstream->links = g_ptr_array_new();
	send_window_init(&upstream->window);
	upstream->last_answer_us = INT64_MIN / 2;
	upstream->lag_at_us = INT64_MIN / 2;
	upstream->behind_at_us = INT64_MIN / 2;
	upstream->connections_full_at_us = INT64_MIN / 2;
	upstream->saturated_at_us = INT64_MIN / 2;
	upstream->log_position_at_us = INT64_MIN / 2;
	upstream->led_us = INT64_MIN / 2;
	g_ptr_array_add(upstream->service->known_upstreams, upstream);
	g_hash_table_insert(entry->known_upstreams, upstream->id, upstream);
	return upstream;
}

static void close_links(struct upstream *upstream)
{
	while (upstream->links->len)
		link_close(upstream->links->pdata[0]);
}

void upstream_destroy(struct upstream *upstream)
{
	close_links(upstream);
	g_ptr_array_remove(upstream->service->known_upstreams, upstream);
	g_ptr_array_free(upstream->links, TRUE);
	g_free(upstream->id);
	g_free(upstream->address);
	g_free(upstream);
}

static void apply_sighting(struct upstream *upstream,
			   const struct sighting *sighting)
{
	if (upstream->revision == sighting->revision)
		return;
	upstream->revision = sighting->revision;
	/* It may have started again without its log. */
	if (upstream->born_ms != sighting->born_ms)
		upstream->log_position = (struct position){ 0 };
	upstream->born_ms = sighting->born_ms;
	if (sighting->leaving && !upstream->leaving)
		event_log("upstream_leaving", "{s:s}", "upstream",
			  upstream->id);
	upstream->other_zone =
		strcmp(sighting->availability_zone,
		       upstream->entry->config.availability_zone) != 0;
	upstream->leaving = sighting->leaving;
	upstream->gone = sighting->gone ||
			 strcmp(upstream->service->name, sighting->service);
	upstream->connect_after_us = 0;
	if (!strcmp(upstream->address, sighting->address))
		return;
	close_links(upstream);
	g_free(upstream->address);
	upstream->address = g_strdup(sighting->address);
}

void upstreams_update(struct entry *entry)
{
	struct sighting *sighting;
	GHashTableIter it;

	g_hash_table_iter_init(&it, entry->sightings.by_id);
	while (g_hash_table_iter_next(&it, NULL, (void **)&sighting)) {
		struct upstream *upstream = g_hash_table_lookup(
			entry->known_upstreams, sighting->id);

		if (!upstream && !sighting->gone)
			upstream = upstream_new(entry, sighting);
		if (upstream)
			apply_sighting(upstream, sighting);
	}
}

struct upstream *upstream_primary(struct service *svc, int64_t now_us)
{
	const struct sighting *sighting =
		sightings_primary(&svc->entry->sightings, svc->name);
	struct upstream *upstream =
		sighting ? g_hash_table_lookup(svc->entry->known_upstreams,
					       sighting->id) :
			   NULL;

	if (!upstream || upstream->gone ||
	    upstream->not_primary_until_us > now_us)
		return NULL;
	return upstream;
}

static unsigned connection_share(const struct upstream *upstream)
{
	const struct entry *entry = upstream->entry;
	const struct entry_pool *pool =
		entry->table ? g_hash_table_lookup(entry->table->pools,
						   upstream->service->name) :
			       NULL;

	return pool ? home_share(upstream->entry, pool) : 1;
}

static bool has_accounts(const struct upstream *upstream)
{
	const struct entry *entry = upstream->entry;

	return entry->table && entry->table->has_accounts;
}

bool upstream_is_full(const struct upstream *upstream, int64_t now_us)
{
	return now_us - upstream->connections_full_at_us <
	       CONNECTIONS_FULL_VALID_US;
}

static bool may_connect(const struct upstream *upstream, int64_t now_us)
{
	return !upstream->gone && !upstream->leaving &&
	       now_us >= upstream->connect_after_us;
}

unsigned upstream_nr_openable_links(const struct upstream *upstream,
				    int64_t now_us)
{
	/* With accounts every daemon keeps its whole share open. */
	unsigned factor = upstream_is_full(upstream, now_us) ||
					  has_accounts(upstream) ?
				  1 :
				  SHARE_BURST_FACTOR;
	unsigned max_links = connection_share(upstream) * factor;

	if (!may_connect(upstream, now_us))
		return 0;
	return upstream->links->len < max_links ?
		       max_links - upstream->links->len :
		       0;
}

/* Whether the session that it was opened for is still to use it. */
static bool is_awaited(const struct link *link)
{
	return !link->used &&
	       clock_now_us() - link->opened_or_released_us < FIRST_USE_US;
}

/* Whether another idle link of the same account precedes it in the list. */
static bool is_spare(const struct upstream *upstream, guint index)
{
	const struct link *link = upstream->links->pdata[index];
	guint i;

	for (i = 0; i < index; i++) {
		const struct link *other = upstream->links->pdata[i];

		if (link_is_idle(other) && link_is_for(other, link->account))
			return true;
	}
	return false;
}

/* Return: an idle link that may be closed for one of @account, NULL if none */
static struct link *eviction_victim(const struct upstream *upstream,
				    const char *account)
{
	struct eviction_option options[MAX_EVICTION_OPTIONS];
	unsigned nr = MIN(upstream->links->len, MAX_EVICTION_OPTIONS);
	unsigned i;
	int chosen;

	for (i = 0; i < nr; i++) {
		const struct link *link = upstream->links->pdata[i];

		options[i] = (struct eviction_option){
			.usable = link_is_idle(link) &&
				  !link_is_for(link, account) &&
				  !is_awaited(link),
			.own = !link->account,
			.spare = is_spare(upstream, i),
			.idle_since_us = link->opened_or_released_us,
		};
	}
	chosen = link_eviction_choose(options, nr);
	return chosen < 0 ? NULL : upstream->links->pdata[chosen];
}

unsigned upstream_nr_openable_for(const struct upstream *upstream,
				  const char *account, int64_t now_us)
{
	unsigned nr = upstream_nr_openable_links(upstream, now_us);

	if (nr || !has_accounts(upstream) || !may_connect(upstream, now_us))
		return nr;
	return eviction_victim(upstream, account) != NULL;
}

void upstream_evict(struct upstream *upstream, const char *account)
{
	struct link *link = eviction_victim(upstream, account);

	if (!link)
		return;
	entry_count(upstream->entry, ENTRY_COUNT_LINKS_EVICTED, 1);
	link_close(link);
}

static bool same_values(const struct link *link, const struct session *s)
{
	const char *name, *value;
	GHashTableIter it;

	if (g_hash_table_size(link->values) != g_hash_table_size(s->values))
		return false;
	g_hash_table_iter_init(&it, s->values);
	while (g_hash_table_iter_next(&it, (void **)&name, (void **)&value))
		if (g_strcmp0(g_hash_table_lookup(link->values, name), value))
			return false;
	return true;
}

struct link *upstream_idle_link(const struct upstream *upstream,
				const struct session *s)
{
	struct link *found = NULL;
	guint i;

	for (i = 0; i < upstream->links->len; i++) {
		struct link *link = upstream->links->pdata[i];

		if (!link_is_idle(link) ||
		    (s && !link_is_for(link, s->account)))
			continue;
		if (!s || same_values(link, s))
			return link;
		if (!found ||
		    link->opened_or_released_us > found->opened_or_released_us)
			found = link;
	}
	return found;
}

bool upstream_has_idle_link(const struct upstream *upstream,
			    const char *account)
{
	guint i;

	for (i = 0; i < upstream->links->len; i++) {
		const struct link *link = upstream->links->pdata[i];

		if (link_is_idle(link) && link_is_for(link, account))
			return true;
	}
	return false;
}

unsigned upstream_nr_busy_links(const struct upstream *upstream)
{
	unsigned nr = 0;
	guint i;

	for (i = 0; i < upstream->links->len; i++)
		nr += !link_is_idle(upstream->links->pdata[i]);
	return nr;
}

/* After a change of primary an upstream discards what its new primary lacks. */
static void note_discarded_log(const struct upstream *upstream,
			       struct position position)
{
	struct position was = upstream->log_position;

	if (position.term == was.term || position.lsn >= was.lsn)
		return;
	event_log("upstream_log_cut", "{s:s, s:s, s:I, s:I, s:I, s:I}",
		  "upstream", upstream->id, "service", upstream->service->name,
		  "was_term", (json_int_t)was.term, "was_position",
		  (json_int_t)was.lsn, "term", (json_int_t)position.term,
		  "position", (json_int_t)position.lsn);
}

void upstream_note_answer(struct upstream *upstream,
			  const struct statement_answer *answer, int64_t now_us)
{
	if (upstream->failing_us)
		event_log("upstream_regained", "{s:s, s:I}", "upstream",
			  upstream->id, "after_us",
			  (json_int_t)(now_us - upstream->failing_us));
	upstream->last_answer_us = now_us;
	upstream->failing_us = 0;
	upstream->failures = 0;
	if (!answer || !answer->position.term)
		return;
	note_discarded_log(upstream, answer->position);
	upstream->log_position = answer->position;
	upstream->log_position_at_us = now_us;
	upstream->lag_us = read_samples_lag(&upstream->service->samples,
					    upstream->log_position, now_us);
	upstream->lag_at_us = now_us;
}

void upstream_note_failure(struct upstream *upstream, int64_t now_us)
{
	int64_t pause = CONNECT_PAUSE_US << MIN(upstream->failures, 4);

	if (!upstream->failing_us) {
		upstream->failing_us = now_us;
		event_log("upstream_lost", "{s:s, s:s, s:I}", "upstream",
			  upstream->id, "service", upstream->service->name,
			  "silent_us",
			  (json_int_t)(now_us - upstream->last_answer_us));
		watch_report_at(upstream->entry,
				now_us + PROMOTION_FAILING_AFTER_US +
					REPORT_MARGIN_US);
	}
	upstream->failures++;
	upstream->connect_after_us = now_us + MIN(pause, CONNECT_PAUSE_MAX_US);
}

unsigned upstream_nr_outstanding(const struct upstream *upstream)
{
	unsigned nr = 0;
	guint i;

	for (i = 0; i < upstream->links->len; i++) {
		const struct link *link = upstream->links->pdata[i];

		nr += link->state == LINK_READY && link->outstanding->len > 0;
	}
	return nr;
}

static void sample_position(struct upstream *upstream, int64_t now_us)
{
	struct link *link = upstream_idle_link(upstream, NULL);

	if (link)
		link_request_sample(link);
	else if (!upstream->links->len &&
		 upstream_nr_openable_links(upstream, now_us))
		link_open(upstream);
}

/*
 * A daemon that control cannot reach is not told of a new primary. Only the
 * current primary begins a read-write transaction, so asking each of the other
 * upstreams to begin one finds it.
 */
static void probe_for_primary(struct service *svc, const struct upstream *known,
			      int64_t now_us)
{
	guint i;

	if (now_us - svc->last_probe_us < PROBE_INTERVAL_US)
		return;
	svc->last_probe_us = now_us;
	for (i = 0; i < svc->known_upstreams->len; i++) {
		struct upstream *upstream = svc->known_upstreams->pdata[i];

		if (upstream != known && !upstream->gone)
			sample_position(upstream, now_us);
	}
}

/* Samples the primary's log position unless a statement did so recently. */
static void sample_primary(struct service *svc, int64_t now_us)
{
	struct upstream *upstream;

	if (now_us - svc->last_used_us > SERVICE_IDLE_US)
		return;
	upstream = upstream_primary(svc, now_us);
	if (!upstream || upstream->failing_us)
		probe_for_primary(svc, upstream, now_us);
	else if (now_us - read_samples_newest_us(&svc->samples) >=
		 ENTRY_SAMPLE_INTERVAL_US)
		sample_position(upstream, now_us);
}

void upstream_confirm_primary(struct upstream *upstream, int64_t asked_us)
{
	struct sightings *sightings = &upstream->entry->sightings;
	struct service *svc = upstream->service;
	const struct sighting *known = sightings_primary(sightings, svc->name);

	upstream->not_primary_until_us = 0;
	upstream->led_us = MAX(upstream->led_us, asked_us);
	if (known && !strcmp(known->id, upstream->id))
		return;
	if (sightings_note_found(sightings, svc->name, upstream->id, asked_us))
		event_log("primary_found", "{s:s, s:s, s:s}", "service",
			  svc->name, "upstream", upstream->id, "was",
			  known ? known->id : "");
}

/*
 * The upstream has answered nothing since the link's oldest outstanding command
 * was sent. A request that can safely run elsewhere is moved. Writes and
 * transactions, which are most of a primary's work, must wait for the answer,
 * but the failure is still reported to control.
 */
static void note_silence(struct link *link, int64_t now_us)
{
	bool movable = link->session &&
		       request_can_run_elsewhere(link->session);

	if (movable || !link->upstream->failing_us)
		upstream_note_failure(link->upstream, now_us);
	if (movable)
		request_leave_silent_upstream(link->session);
}

/* Beginning a transaction takes no slot, so even a saturated upstream answers
 * it at once. */
static void probe_silent(struct upstream *upstream, int64_t now_us)
{
	if (now_us - upstream->probed_us < SILENCE_PROBE_AFTER_US)
		return;
	upstream->probed_us = now_us;
	sample_position(upstream, now_us);
}

/* Return: whether the link was closed, as the answer on it was lost. */
static bool close_if_answer_lost(struct link *link, int64_t now_us)
{
	struct upstream *upstream = link->upstream;
	struct service *svc = upstream->service;
	struct session *s = link->session;
	/* Of an abandoned statement the kind is no longer known. */
	enum read_rule rule = s ? s->route->rule : READ_BOUNDED;

	enum link_purpose oldest =
		g_array_index(link->outstanding, enum link_purpose, 0);

	/* Handovers and surveys have time-outs of their own. */
	if (oldest == LINK_PURPOSE_HANDOVER || oldest == LINK_PURPOSE_SURVEY)
		return false;
	if (!answer_time_is_overdue(&svc->answer_times[rule], link->sent_us,
				    upstream->newest_answered_us, now_us))
		return false;
	if (s && (!request_can_lose_link(s) ||
		  !repeat_budget_take(&svc->repeat_budget)))
		return false;
	event_log("answer_lost", "{s:s, s:s, s:I, s:I, s:b}", "upstream",
		  upstream->id, "service", svc->name, "waited_us",
		  (json_int_t)(now_us - link->sent_us), "overdue_us",
		  (json_int_t)answer_time_overdue_us(&svc->answer_times[rule]),
		  "abandoned", (int)!s);
	entry_count(upstream->entry, ENTRY_COUNT_ANSWERS_LOST, 1);
	link_close(link);
	return true;
}

static void check_link(struct link *link, int64_t now_us)
{
	struct upstream *upstream = link->upstream;
	int64_t waited_us = now_us - link->sent_us;

	if (link->state == LINK_OPENING) {
		if (now_us - link->opened_or_released_us >
		    ENTRY_LOGIN_TIMEOUT_US) {
			upstream_note_failure(upstream, now_us);
			link_close(link);
		}
		return;
	}
	if (!link->session && waited_us > ENTRY_ABANDONED_TIMEOUT_US) {
		upstream_note_failure(upstream, now_us);
		link_close(link);
		return;
	}
	if (link->outstanding->len && close_if_answer_lost(link, now_us))
		return;
	if (link->outstanding->len && waited_us > SILENCE_PROBE_AFTER_US &&
	    upstream->last_answer_us <= link->sent_us)
		probe_silent(upstream, now_us);
	if (link->outstanding->len && waited_us > ENTRY_SILENCE_TIMEOUT_US &&
	    upstream->last_answer_us <= link->sent_us)
		note_silence(link, now_us);
}

static void check_upstream(struct upstream *upstream, int64_t now_us)
{
	bool local = home_is_local(upstream->entry, upstream->service->name);
	unsigned share = connection_share(upstream);
	guint nr_kept = 0;
	guint i;

	/* A connection of each account saves opening one. */
	if (local)
		nr_kept = has_accounts(upstream) ? share : MAX(share / 2, 1);

	for (i = upstream->links->len; i-- > 0;) {
		struct link *link;

		if (i >= upstream->links->len)
			continue;
		link = upstream->links->pdata[i];
		if (!link_is_idle(link))
			check_link(link, now_us);
		else if (upstream->gone || upstream->leaving ||
			 (upstream->links->len > nr_kept &&
			  now_us - link->opened_or_released_us > SPARE_IDLE_US))
			link_close(link);
	}
}

static void log_summary(struct service *svc, int64_t now_us)
{
	struct service_summary *sum = &svc->summary;

	svc->summary_us = now_us;
	if (!sum->done && !sum->not_done)
		return;
	event_log("service_summary",
		  "{s:s, s:i, s:i, s:i, s:i, s:i, s:I, s:I, "
		  "s:i, s:i, s:i, s:i, s:i}",
		  "service", svc->name, "done", (int)sum->done, "writes",
		  (int)sum->writes, "not_done", (int)sum->not_done,
		  "waits_refused", (int)sum->waits_refused, "relayed",
		  (int)sum->relayed, "mean_wait_us",
		  (json_int_t)(sum->waited_us / MAX(sum->done, 1)),
		  "mean_upstream_us",
		  (json_int_t)(sum->upstream_us / MAX(sum->done, 1)), "waiting",
		  (int)svc->waiting.length, "busy",
		  (int)sum->refusals[REFUSAL_BUSY], "behind",
		  (int)sum->refusals[REFUSAL_BEHIND], "not_primary",
		  (int)sum->refusals[REFUSAL_NOT_PRIMARY], "failed",
		  (int)sum->refusals[REFUSAL_FAILED]);
	memset(sum, 0, sizeof(*sum));
}

void services_log_summaries(struct entry *entry, int64_t now_us)
{
	struct service *svc;
	GHashTableIter it;

	g_hash_table_iter_init(&it, entry->services);
	while (g_hash_table_iter_next(&it, NULL, (void **)&svc))
		if (now_us - svc->summary_us >= ENTRY_SUMMARY_INTERVAL_US)
			log_summary(svc, now_us);
}

/* Whether the primary runs all reads, as all replicas lag too far for them, and
 * is saturated by them. */
static bool is_strained(struct service *svc, int64_t now_us)
{
	const struct upstream *primary = upstream_primary(svc, now_us);
	unsigned nr_lagging = 0;
	guint i;

	if (!primary || now_us - primary->saturated_at_us > STRAINED_WITHIN_US)
		return false;
	for (i = 0; i < svc->known_upstreams->len; i++) {
		const struct upstream *upstream =
			svc->known_upstreams->pdata[i];

		if (upstream == primary || upstream->gone || upstream->leaving)
			continue;
		if (upstream->lag_us <= PROMOTION_MAX_LAG_US)
			return false;
		nr_lagging++;
	}
	return nr_lagging > 0;
}

/* Control is told at once, since it hands such a primary over. */
static void report_strain(struct service *svc, int64_t now_us)
{
	bool strained = is_strained(svc, now_us);

	if (strained && !svc->strained)
		watch_report_at(svc->entry, now_us);
	svc->strained = strained;
}

void upstreams_tick(struct entry *entry, int64_t now_us)
{
	struct service *svc;
	struct upstream *upstream;
	GHashTableIter it;

	g_hash_table_iter_init(&it, entry->known_upstreams);
	while (g_hash_table_iter_next(&it, NULL, (void **)&upstream)) {
		check_upstream(upstream, now_us);
		if (!upstream->gone || upstream->links->len)
			continue;
		g_hash_table_iter_remove(&it);
	}
	g_hash_table_iter_init(&it, entry->services);
	while (g_hash_table_iter_next(&it, NULL, (void **)&svc)) {
		sample_primary(svc, now_us);
		report_strain(svc, now_us);
		service_dispatch(svc);
	}
}
