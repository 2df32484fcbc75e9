#include "internal.h"

#include "clock.h"
#include "drain_policy.h"
#include "event_log.h"

/* New connections are accepted for this long after the request to stop. */
#define STOP_ACCEPT_US (3000 * 1000ll)

static const struct counter_spec counter_specs[ENTRY_NR_COUNTERS] = {
	{ "entry_sessions_total", "Callers that connected" },
	{ "entry_statements_total", "Statements for an upstream" },
	{ "entry_done_total", "Statements answered with success" },
	{ "entry_refused_total", "Statements refused that did not run" },
	{ "entry_failed_total", "Statements that ran and failed" },
	{ "entry_unknown_total", "Statements of unknown outcome" },
	{ "entry_retries_total", "Further attempts" },
	{ "entry_primary_reads_total", "Single reads that the primary ran" },
	{ "entry_replica_reads_total", "Single reads that any upstream ran" },
	{ "entry_behind_total", "Reads refused by a replica that lags" },
	{ "entry_not_primary_total", "Work refused as only the primary does" },
	{ "entry_links_opened_total", "Connections opened to upstreams" },
	{ "entry_links_refused_total", "Log-ins that upstreams refused" },
	{ "entry_links_broken_total", "Connections that broke" },
	{ "entry_answers_lost_total", "Answers given up as lost" },
	{ "entry_samples_total", "Positions asked of primaries" },
	{ "entry_views_total", "Views received from control VMs" },
	{ "entry_relayed_total", "Statements sent to a home daemon" },
	{ "entry_relays_lost_total", "Sessions whose home daemon was lost" },
	{ "entry_guests_total", "Statements taken for other daemons" },
	{ "entry_unknown_keys_total", "Refusals of a key of no account" },
	{ "entry_quota_requests_total", "Requests for more of a limit" },
	{ "entry_quota_refused_total", "Operations beyond a limit" },
	{ "entry_sessions_revoked_total", "Sessions whose key was dropped" },
	{ "entry_links_evicted_total",
	  "Connections closed for those of other accounts" },
	{ "entry_clients_paused_total", "Clients not read for lack of memory" },
	{ "entry_connections_no_memory_total",
	  "Connections refused for lack of memory" },
	{ "entry_statements_no_memory_total",
	  "Statements refused for lack of memory" },
	{ "entry_closed_no_memory_total",
	  "Connections closed that held most for the longest" },
	{ "entry_session_state_refused_total",
	  "Values and prepared statements above session_kb" },
	{ "entry_answers_too_large_total", "Answers above answer_kb" },
	{ "entry_connections_refused_total", "Callers above connections" },
	{ "entry_starting_refused_total",
	  "Callers above connections_starting" },
	{ "entry_per_address_refused_total",
	  "Callers above connections_per_address" },
	{ "entry_relays_refused_total", "Daemons above connections_relay" },
	{ "entry_startup_overdue_total", "Callers closed after startup_ms" },
	{ "entry_message_overdue_total", "Clients closed after message_ms" },
	{ "entry_answer_overdue_total", "Callers closed after answer_ms" },
	{ "entry_held_bytes", "Memory that clients take", true },
	{ "entry_waiting", "Statements that wait for a connection", true },
	{ "entry_open_sessions", "Callers connected", true },
	{ "entry_config_version", "Version in force", true },
};

uint32_t entry_random(struct entry *entry)
{
	entry->random = entry->random * 1664525u + 1013904223u;
	return entry->random >> 8;
}

/* Control reports only changes, so an old sighting may still be valid. */
static bool keeps_sighting(const struct sighting *sighting, void *data)
{
	return !sighting->gone;
}

static void on_tick(int64_t now_us, void *data)
{
	struct entry *entry = data;

	entry->last_tick_us = now_us;
	watch_connect(entry);
	homes_tick(entry);
	handover_tick(entry, now_us);
	relay_clients_tick(entry, now_us);
	upstreams_tick(entry, now_us);
	sessions_tick(entry, now_us);
	services_log_summaries(entry, now_us);
	quotas_log(entry, now_us);
	limits_log(entry, now_us);
	sightings_expire(&entry->sightings, now_us, keeps_sighting, NULL);
	if (!entry->was_ready && entry_ready(entry)) {
		entry->was_ready = true;
		event_log_always("ready", "");
	}
}

struct entry *entry_new(struct ev_loop *loop, struct timer_service *timers,
			const struct entry_config *config, GError **error)
{
	struct entry *entry = g_new0(struct entry, 1);
	int64_t now_us = clock_now_us();

	entry->loop = loop;
	entry->timers = timers;
	entry->config = *config;
	entry->report_timer = TIMER_NONE;
	entry->close_timer = TIMER_NONE;
	entry->handover.timer = TIMER_NONE;
	entry->leader_last_reachable_us = now_us;
	entry->random = g_random_int();
	entry->control = g_ptr_array_new();
	entry->services = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						service_free);
	entry->known_upstreams =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
				      (GDestroyNotify)upstream_destroy);
	surveys_init(entry);
	g_queue_init(&entry->sessions);
	sightings_init(&entry->sightings);
	counter_set_init(&entry->counters);
	counter_register_all(&entry->counters, counter_specs, ENTRY_NR_COUNTERS,
			     entry->counter);
	homes_init(entry);
	quotas_init(entry);
	g_queue_init(&entry->relay_clients);
	entry_add_seeds(entry, config->seeds);
	if (!relay_clients_listen(entry, error)) {
		entry->tick_timer = entry->watch_timer = TIMER_NONE;
		entry_free(entry);
		return NULL;
	}
	entry->last_tick_us = now_us;
	entry->tick_timer = timer_subscribe(
		timers, now_us, ENTRY_TICK_INTERVAL_US, on_tick, entry);
	entry->watch_timer = timer_subscribe(
		timers, now_us, ENTRY_REPORT_INTERVAL_US, watch_tick, entry);
	return entry;
}

void entry_free(struct entry *entry)
{
	timer_cancel(entry->timers, &entry->tick_timer);
	timer_cancel(entry->timers, &entry->watch_timer);
	timer_cancel(entry->timers, &entry->report_timer);
	timer_cancel(entry->timers, &entry->close_timer);
	relay_clients_close(entry);
	watch_stop(entry);
	homes_finish(entry);
	quotas_finish(entry);
	handover_finish(entry);
	g_hash_table_destroy(entry->known_upstreams);
	surveys_finish(entry);
	g_hash_table_destroy(entry->services);
	sightings_finish(&entry->sightings);
	entry_table_unref(entry->table);
	counter_set_finish(&entry->counters);
	g_free(entry);
}

bool entry_ready(const struct entry *entry)
{
	return entry->table && entry->fresh && !entry->drain_started_us &&
	       g_hash_table_size(entry->known_upstreams) > 0;
}

void entry_drain(struct entry *entry)
{
	if (entry->drain_started_us)
		return;
	entry->drain_started_us = clock_now_us();
	watch_report_at(entry, entry->drain_started_us);
	event_log_always("draining", "");
}

bool entry_listens(const struct entry *entry)
{
	return !entry->drain_started_us ||
	       clock_now_us() - entry->drain_started_us < STOP_ACCEPT_US;
}

bool entry_drained(const struct entry *entry)
{
	int64_t since_us = clock_now_us() - entry->drain_started_us;

	if (!entry->drain_started_us)
		return false;
	if (drain_is_over(since_us, entry->config.grace_us))
		return true;
	return !entry_listens(entry) && !entry->sessions.length;
}

static void print_gauges(struct entry *entry)
{
	struct service *svc;
	GHashTableIter it;
	int64_t waiting = 0;

	g_hash_table_iter_init(&it, entry->services);
	while (g_hash_table_iter_next(&it, NULL, (void **)&svc))
		waiting += svc->waiting.length;
	counter_assign(&entry->counters, entry->counter[ENTRY_COUNT_WAITING],
		       waiting);
	counter_assign(&entry->counters, entry->counter[ENTRY_COUNT_HELD_BYTES],
		       (int64_t)entry->usage.held_bytes);
	counter_assign(&entry->counters,
		       entry->counter[ENTRY_COUNT_OPEN_SESSIONS],
		       entry->sessions.length);
}

void entry_print_metrics(struct entry *entry, GString *out)
{
	print_gauges(entry);
	counter_set_print(&entry->counters, out);
	quotas_print(entry, out);
	histogram_print(&entry->wait_times, "entry_wait_seconds", "", out);
	histogram_print(&entry->upstream_times, "entry_upstream_seconds", "",
			out);
	histogram_print(&entry->answer_times[READ_AT_PRIMARY],
			"entry_answer_seconds", "route=\"primary\"", out);
	histogram_print(&entry->answer_times[READ_OWN_WRITES],
			"entry_answer_seconds", "route=\"own_writes\"", out);
	histogram_print(&entry->answer_times[READ_BOUNDED],
			"entry_answer_seconds", "route=\"bounded\"", out);
	g_string_append_printf(out, "log_lines_left_out_total %lu\n",
			       (unsigned long)event_log_dropped_lines());
}
