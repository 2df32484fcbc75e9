#include "internal.h"

#include "clock.h"
#include "event_log.h"
#include "promotion_policy.h"

#include <jansson.h>
#include <string.h>

/* First and longest pause before the next attempt to connect. */
#define CONNECT_PAUSE_US (50 * 1000ll)
#define CONNECT_PAUSE_MAX_US (800 * 1000ll)
/* Margin that puts a report after the time from which a failure counts. */
#define REPORT_MARGIN_US (5 * 1000ll)
/*
 * Idle time after which connections are closed. A home keeps half of its share,
 * but at least one; other daemons keep none. An upstream holds the connections
 * of a VM that lost power for some seconds; meanwhile it accepts only as many
 * new ones as were not in use.
 */
#define SPARE_IDLE_US (300 * 1000ll)
/* Multiple of its share that a daemon may open while others are idle. */
#define SHARE_BURST_FACTOR 2
/* Time after an upstream refused a connection as full in which this daemon
 * stays within its share. */
#define FULL_VALID_US (2000 * 1000ll)
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
	svc->hosts = g_ptr_array_new();
	svc->used_us = INT64_MIN / 2;
	svc->sought_us = INT64_MIN / 2;
	read_samples_init(&svc->samples);
	g_queue_init(&svc->waiting);
	g_hash_table_insert(entry->services, svc->name, svc);
	return svc;
}

void service_free(void *data)
{
	struct service *svc = data;

	g_ptr_array_free(svc->hosts, TRUE);
	g_free(svc->name);
	g_free(svc);
}

static struct host *host_new(struct entry *entry,
			     const struct sighting *sighting)
{
	struct host *host = g_new0(struct host, 1);

	host->entry = entry;
	host->id = g_strdup(sighting->id);
	host->address = g_strdup(sighting->address);
	host->service = service_get(entry, sighting->service);
	host->links = g_ptr_array_new();
	send_window_init(&host->window);
	host->answered_us = INT64_MIN / 2;
	host->lag_at_us = INT64_MIN / 2;
	host->lacked_at_us = INT64_MIN / 2;
	host->full_at_us = INT64_MIN / 2;
	host->saturated_us = INT64_MIN / 2;
	host->seen_us = INT64_MIN / 2;
	g_ptr_array_add(host->service->hosts, host);
	g_hash_table_insert(entry->hosts, host->id, host);
	return host;
}

static void close_links(struct host *host)
{
	while (host->links->len)
		link_close(host->links->pdata[0]);
}

void host_free(struct host *host)
{
	close_links(host);
	g_ptr_array_remove(host->service->hosts, host);
	g_ptr_array_free(host->links, TRUE);
	g_free(host->id);
	g_free(host->address);
	g_free(host);
}

static void apply_sighting(struct host *host, const struct sighting *sighting)
{
	if (host->revision == sighting->revision)
		return;
	host->revision = sighting->revision;
	if (sighting->leaving && !host->leaving)
		event_log("upstream_leaving", "{s:s}", "upstream", host->id);
	host->other_zone = strcmp(sighting->availability_zone,
				  host->entry->config.availability_zone) != 0;
	host->leaving = sighting->leaving;
	host->gone = sighting->gone ||
		     strcmp(host->service->name, sighting->service);
	host->connect_after_us = 0;
	if (!strcmp(host->address, sighting->address))
		return;
	close_links(host);
	g_free(host->address);
	host->address = g_strdup(sighting->address);
}

void hosts_update(struct entry *entry)
{
	struct sighting *sighting;
	GHashTableIter it;

	g_hash_table_iter_init(&it, entry->sightings.by_id);
	while (g_hash_table_iter_next(&it, NULL, (void **)&sighting)) {
		struct host *host =
			g_hash_table_lookup(entry->hosts, sighting->id);

		if (!host && !sighting->gone)
			host = host_new(entry, sighting);
		if (host)
			apply_sighting(host, sighting);
	}
}

struct host *host_primary(struct service *svc, int64_t now_us)
{
	const struct sighting *sighting =
		sightings_primary(&svc->entry->sightings, svc->name);
	struct host *host = sighting ? g_hash_table_lookup(svc->entry->hosts,
							   sighting->id) :
				       NULL;

	if (!host || host->gone || host->not_primary_until_us > now_us)
		return NULL;
	return host;
}

static unsigned connection_share(const struct host *host)
{
	const struct entry *entry = host->entry;
	const struct entry_pool *pool =
		entry->table ? g_hash_table_lookup(entry->table->pools,
						   host->service->name) :
			       NULL;

	return pool ? home_share(host->entry, pool) : 1;
}

unsigned host_room(const struct host *host, int64_t now_us)
{
	bool full = now_us - host->full_at_us < FULL_VALID_US;
	unsigned max_links =
		connection_share(host) * (full ? 1 : SHARE_BURST_FACTOR);

	if (host->gone || host->leaving || now_us < host->connect_after_us)
		return 0;
	return host->links->len < max_links ? max_links - host->links->len : 0;
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

struct link *host_idle_link(const struct host *host, const struct session *s)
{
	struct link *found = NULL;
	guint i;

	for (i = 0; i < host->links->len; i++) {
		struct link *link = host->links->pdata[i];

		if (!link_is_idle(link))
			continue;
		if (!s || same_values(link, s))
			return link;
		if (!found || link->since_us > found->since_us)
			found = link;
	}
	return found;
}

unsigned host_busy(const struct host *host)
{
	unsigned nr = 0;
	guint i;

	for (i = 0; i < host->links->len; i++)
		nr += !link_is_idle(host->links->pdata[i]);
	return nr;
}

void host_answered(struct host *host, const struct statement_answer *answer,
		   int64_t now_us)
{
	if (host->failing_us)
		event_log("upstream_regained", "{s:s, s:I}", "upstream",
			  host->id, "after_us",
			  (json_int_t)(now_us - host->failing_us));
	host->answered_us = now_us;
	host->failing_us = 0;
	host->failures = 0;
	if (!answer || !answer->position.term)
		return;
	host->seen = answer->position;
	host->seen_us = now_us;
	host->lag_us =
		read_samples_lag(&host->service->samples, host->seen, now_us);
	host->lag_at_us = now_us;
}

void host_failed(struct host *host, int64_t now_us)
{
	int64_t pause = CONNECT_PAUSE_US << MIN(host->failures, 4);

	if (!host->failing_us) {
		host->failing_us = now_us;
		event_log("upstream_lost", "{s:s, s:s, s:I}", "upstream",
			  host->id, "service", host->service->name, "silent_us",
			  (json_int_t)(now_us - host->answered_us));
		watch_soon(host->entry, now_us + PROMOTION_FAILING_AFTER_US +
						REPORT_MARGIN_US);
	}
	host->failures++;
	host->connect_after_us = now_us + MIN(pause, CONNECT_PAUSE_MAX_US);
}

unsigned host_out(const struct host *host)
{
	unsigned nr = 0;
	guint i;

	for (i = 0; i < host->links->len; i++) {
		const struct link *link = host->links->pdata[i];

		nr += link->state == LINK_READY && link->steps->len > 0;
	}
	return nr;
}

static void sample_position(struct host *host, int64_t now_us)
{
	struct link *link = host_idle_link(host, NULL);

	if (link)
		link_sample(link);
	else if (!host->links->len && host_room(host, now_us))
		link_open(host);
}

/*
 * A daemon that control cannot reach does not hear of a new primary. Only the
 * current primary begins a read-write transaction, so asking each of the other
 * upstreams to begin one finds it.
 */
static void probe_for_primary(struct service *svc, const struct host *known,
			      int64_t now_us)
{
	guint i;

	if (now_us - svc->sought_us < PROBE_INTERVAL_US)
		return;
	svc->sought_us = now_us;
	for (i = 0; i < svc->hosts->len; i++) {
		struct host *host = svc->hosts->pdata[i];

		if (host != known && !host->gone)
			sample_position(host, now_us);
	}
}

/* Samples the primary's log position unless a statement did so recently. */
static void sample_primary(struct service *svc, int64_t now_us)
{
	struct host *host;

	if (now_us - svc->used_us > SERVICE_IDLE_US)
		return;
	host = host_primary(svc, now_us);
	if (!host || host->failing_us)
		probe_for_primary(svc, host, now_us);
	else if (now_us - read_samples_newest_us(&svc->samples) >=
		 ENTRY_SAMPLE_US)
		sample_position(host, now_us);
}

void host_leads(struct host *host, int64_t asked_us)
{
	struct sightings *sightings = &host->entry->sightings;
	struct service *svc = host->service;
	const struct sighting *known = sightings_primary(sightings, svc->name);

	host->not_primary_until_us = 0;
	if (known && !strcmp(known->id, host->id))
		return;
	if (sightings_appoint(sightings, svc->name, host->id, asked_us))
		event_log("primary_found", "{s:s, s:s, s:s}", "service",
			  svc->name, "upstream", host->id, "was",
			  known ? known->id : "");
}

/*
 * The upstream has answered nothing since the link's oldest outstanding command
 * was sent. A request that can safely run elsewhere is moved. Writes and
 * transactions, which are most of a primary's work, must wait for the answer,
 * but the failure is reported to control all the same.
 */
static void note_silence(struct link *link, int64_t now_us)
{
	bool movable = link->session && request_is_movable(link->session);

	if (movable || !link->host->failing_us)
		host_failed(link->host, now_us);
	if (movable)
		request_silent(link->session);
}

static void check_link(struct link *link, int64_t now_us)
{
	struct host *host = link->host;
	int64_t waited_us = now_us - link->sent_us;

	if (link->state == LINK_OPENING) {
		if (now_us - link->since_us > ENTRY_LOGIN_US) {
			host_failed(host, now_us);
			link_close(link);
		}
		return;
	}
	if (!link->session && waited_us > ENTRY_ABANDON_US) {
		host_failed(host, now_us);
		link_close(link);
		return;
	}
	if (link->steps->len && waited_us > ENTRY_SILENT_US &&
	    host->answered_us <= link->sent_us)
		note_silence(link, now_us);
}

static void check_upstream(struct host *host, int64_t now_us)
{
	bool local = home_is_local(host->entry, host->service->name);
	guint nr_kept = local ? MAX(connection_share(host) / 2, 1) : 0;
	guint i;

	for (i = host->links->len; i-- > 0;) {
		struct link *link;

		if (i >= host->links->len)
			continue;
		link = host->links->pdata[i];
		if (!link_is_idle(link))
			check_link(link, now_us);
		else if (host->gone || host->leaving ||
			 (host->links->len > nr_kept &&
			  now_us - link->since_us > SPARE_IDLE_US))
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
		  "{s:s, s:i, s:i, s:i, s:I, s:I, s:i, s:i, s:i, s:i, s:i}",
		  "service", svc->name, "done", (int)sum->done, "writes",
		  (int)sum->writes, "not_done", (int)sum->not_done,
		  "mean_wait_us",
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

void services_summarize(struct entry *entry, int64_t now_us)
{
	struct service *svc;
	GHashTableIter it;

	g_hash_table_iter_init(&it, entry->services);
	while (g_hash_table_iter_next(&it, NULL, (void **)&svc))
		if (now_us - svc->summary_us >= ENTRY_SUMMARY_US)
			log_summary(svc, now_us);
}

void hosts_tick(struct entry *entry, int64_t now_us)
{
	struct service *svc;
	struct host *host;
	GHashTableIter it;

	g_hash_table_iter_init(&it, entry->hosts);
	while (g_hash_table_iter_next(&it, NULL, (void **)&host)) {
		check_upstream(host, now_us);
		if (!host->gone || host->links->len)
			continue;
		g_hash_table_iter_remove(&it);
	}
	g_hash_table_iter_init(&it, entry->services);
	while (g_hash_table_iter_next(&it, NULL, (void **)&svc)) {
		sample_primary(svc, now_us);
		service_dispatch(svc);
	}
}
