#include "internal.h"

#include "clock.h"
#include "event_log.h"
#include "peer_table.h"
#include "sighting_wire.h"

#include <jansson.h>
#include <zlib.h>

/* Largest number of control VMs to connect to. */
#define MAX_CONTROL_LINKS 9
/* An upstream is reported as saturated if its full send window delayed a
 * statement within this time. */
#define SATURATED_US (400 * 1000ll)
/* Time since its last answer for which an upstream is reported as answering. */
#define ANSWERED_RECENTLY_US (1500 * 1000ll)
/* Largest replication lag that is reported. */
#define MAX_LAG_US (3600 * 1000000ll)
/* Time after which the leader counts as unreachable and all control VMs
 * are asked for the roster. */
#define LEADER_TIMEOUT_US (2 * ENTRY_REPORT_INTERVAL_US)
/* Largest configuration document, uncompressed, in bytes. */
#define MAX_DOCUMENT_BYTES (4u * 1024 * 1024)

static void apply_config(struct entry *entry, const Wire__View *view)
{
	struct entry_table *table;
	uLongf len = view->config_len;
	uint8_t *bytes;
	GBytes *document;

	if (!view->config.len || len > MAX_DOCUMENT_BYTES ||
	    (entry->table && view->config_version <= entry->table->version))
		return;
	bytes = g_malloc(MAX(len, 1));
	if (uncompress(bytes, &len, view->config.data, view->config.len) !=
	    Z_OK) {
		event_log("config_unreadable", "{s:I}", "version",
			  (json_int_t)view->config_version);
		g_free(bytes);
		return;
	}
	document = g_bytes_new_take(bytes, len);
	table = entry->config.decode(document);
	g_bytes_unref(document);
	if (!table) {
		event_log("config_unreadable", "{s:I}", "version",
			  (json_int_t)view->config_version);
		return;
	}
	event_log("config_in_force", "{s:I, s:I, s:i}", "version",
		  (json_int_t)table->version, "was",
		  (json_int_t)(entry->table ? entry->table->version : 0),
		  "routes", (int)g_hash_table_size(table->routes));
	entry_table_unref(entry->table);
	entry->table = table;
	accounts_revoke(entry);
	quotas_update(entry);
	entry->home_sets_outdated = true;
	counter_assign(&entry->counters,
		       entry->counter[ENTRY_COUNT_CONFIG_VERSION],
		       (int64_t)table->version);
}

static void apply_sighting(struct entry *entry, const Wire__Sighting *in,
			   int64_t now_us)
{
	struct sighting sighting;

	sighting_unpack(in, now_us, &sighting);
	sightings_merge(&entry->sightings, &sighting);
}

static void apply_primary(struct entry *entry, const Wire__ServicePrimary *in,
			  int64_t now_us)
{
	struct upstream *upstream;

	if (!sightings_appoint(&entry->sightings, in->service, in->id,
			       in->index, now_us - (int64_t)in->age_us))
		return;
	upstream = g_hash_table_lookup(entry->known_upstreams, in->id);
	if (upstream)
		upstream->not_primary_until_us = 0;
	event_log("primary_appointed", "{s:s, s:s, s:I}", "service",
		  in->service, "upstream", in->id, "age_us",
		  (json_int_t)in->age_us);
}

static struct control_link *get_control_link(struct entry *entry, uint32_t ip);
static void note_listed(struct entry *entry, uint32_t ip);

static void apply_roster(struct control_link *link, const Wire__View *view)
{
	size_t i;

	for (i = 0; i < view->n_roster; i++) {
		const Wire__RosterEntry *in = view->roster[i];
		struct roster_entry *daemon;

		g_hash_table_remove(link->roster, in->daemon);
		if (in->gone)
			continue;
		daemon = roster_entry_new(in->daemon, in->availability_zone,
					  in->ip);
		g_hash_table_insert(link->roster, daemon->name, daemon);
	}
	if (view->n_roster)
		link->entry->home_sets_outdated = true;
}

static void apply_view(struct control_link *link, const Wire__View *view)
{
	struct entry *entry = link->entry;
	uint64_t revision = entry->sightings.revision;
	int64_t now_us = clock_now_us();
	size_t i;

	entry_count(entry, ENTRY_COUNT_VIEWS, 1);
	link->fresh = view->fresh;
	for (i = 0; i < view->n_control; i++)
		note_listed(entry, (uint32_t)(view->control[i] >> 32));
	if (view->fresh) {
		/* A new leader decides about limits once daemons reported. */
		if (entry->leader_ip != (uint32_t)(view->leader >> 32) &&
		    entry->table && entry->table->has_accounts)
			watch_report_at(entry, now_us);
		entry->fresh = true;
		entry->last_fresh_us = now_us;
		entry->leader_ip = (uint32_t)(view->leader >> 32);
	}
	apply_roster(link, view);
	apply_config(entry, view);
	quotas_apply(entry, view);
	for (i = 0; i < view->n_sightings; i++)
		apply_sighting(entry, view->sightings[i], now_us);
	for (i = 0; i < view->n_primaries; i++)
		apply_primary(entry, view->primaries[i], now_us);
	if (entry->sightings.revision != revision)
		upstreams_update(entry);
	for (i = 0; i < view->n_handovers; i++)
		handover_start(entry, view->handovers[i]);
	for (i = 0; i < view->n_surveys; i++)
		survey_start(entry, view->surveys[i]);
}

static void send_report(struct control_link *link);

static void on_opened(struct channel *ch)
{
	struct control_link *link = ch->data;

	event_log("control_regained", "{s:I}", "ip", (json_int_t)link->ip);
	send_report(link);
}

static void on_message(struct channel *ch, const Wire__Envelope *envelope)
{
	struct control_link *link = ch->data;

	if (envelope->body_case == WIRE__ENVELOPE__BODY_VIEW)
		apply_view(link, envelope->view);
	else if (envelope->body_case == WIRE__ENVELOPE__BODY_QUOTA_GRANT)
		quotas_granted(link->entry, envelope->quota_grant);
	else
		ch->malformed++;
}

static void on_closed(struct channel *ch)
{
	struct control_link *link = ch->data;

	link->last_used_us = clock_now_us();
	link->next_connect_us = link->last_used_us + CHANNEL_RETRY_INTERVAL_US;
	if (link->fresh)
		event_log("control_lost", "{s:I}", "ip", (json_int_t)link->ip);
	link->fresh = false;
	/* Control sends the whole roster again on the next connection. */
	g_hash_table_remove_all(link->roster);
	link->entry->home_sets_outdated = true;
}

static const struct channel_events control_events = {
	.opened = on_opened,
	.message = on_message,
	.closed = on_closed,
};

static void control_link_free(struct control_link *link)
{
	channel_close(&link->channel);
	g_hash_table_destroy(link->roster);
	g_free(link);
}

static struct peer_use use_of(const struct control_link *link)
{
	return (struct peer_use){
		.connected = channel_is_open(&link->channel),
		.last_used_us = link->last_used_us,
	};
}

static void remove_control_link(struct entry *entry, guint index)
{
	struct control_link *link =
		g_ptr_array_remove_index_fast(entry->control, index);

	event_log("control_forgotten", "{s:I}", "ip", (json_int_t)link->ip);
	control_link_free(link);
}

/* Return: false if every place is taken by a VM that is connected. */
static bool make_room(struct entry *entry)
{
	struct peer_use entries[MAX_CONTROL_LINKS];
	guint i;
	int victim;

	if (entry->control->len < MAX_CONTROL_LINKS)
		return true;
	for (i = 0; i < entry->control->len; i++)
		entries[i] = use_of(entry->control->pdata[i]);
	victim = peer_table_victim(entries, entry->control->len);
	if (victim < 0)
		return false;
	remove_control_link(entry, (guint)victim);
	return true;
}

/* Return: NULL if there is no room. */
static struct control_link *get_control_link(struct entry *entry, uint32_t ip)
{
	struct control_link *link;
	guint i;

	for (i = 0; i < entry->control->len; i++) {
		link = entry->control->pdata[i];
		if (link->ip == ip)
			return link;
	}
	if (!ip || !make_room(entry))
		return NULL;
	link = g_new0(struct control_link, 1);
	link->entry = entry;
	link->ip = ip;
	link->last_used_us = clock_now_us();
	link->channel.stream.fd = -1;
	link->roster = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					     roster_entry_free);
	g_ptr_array_add(entry->control, link);
	return link;
}

static void note_listed(struct entry *entry, uint32_t ip)
{
	struct control_link *link = get_control_link(entry, ip);

	if (link)
		link->last_used_us = clock_now_us();
}

/* Reports the upstreams that are failing or answered recently. */
static void fill_health(struct entry *entry, Wire__Watch *watch, int64_t now_us)
{
	struct upstream *upstream;
	GHashTableIter it;

	watch->upstreams = g_new(Wire__UpstreamHealth *,
				 g_hash_table_size(entry->known_upstreams) + 1);
	g_hash_table_iter_init(&it, entry->known_upstreams);
	while (g_hash_table_iter_next(&it, NULL, (void **)&upstream)) {
		Wire__UpstreamHealth *out;

		if (upstream->gone ||
		    (!upstream->failing_us &&
		     now_us - upstream->last_answer_us > ANSWERED_RECENTLY_US))
			continue;
		out = g_new(Wire__UpstreamHealth, 1);
		wire__upstream_health__init(out);
		out->id = upstream->id;
		if (upstream->failing_us)
			out->failing_us =
				(uint64_t)(now_us - upstream->failing_us) + 1;
		out->position = g_new(Wire__Position, 1);
		wire__position__init(out->position);
		out->position->term = upstream->log_position.term;
		out->position->lsn = upstream->log_position.lsn;
		out->saturated = now_us - upstream->saturated_at_us <
				 SATURATED_US;
		out->lag_us = (uint64_t)MIN(upstream->lag_us, MAX_LAG_US);
		if (now_us - upstream->led_us <= ANSWERED_RECENTLY_US)
			out->led_age_us =
				(uint64_t)(now_us - upstream->led_us) + 1;
		watch->upstreams[watch->n_upstreams++] = out;
	}
}

bool watch_leader_is_unreachable(struct entry *entry, int64_t now_us)
{
	guint i;

	for (i = 0; i < entry->control->len; i++) {
		const struct control_link *link = entry->control->pdata[i];

		if (link->fresh && link->ip == entry->leader_ip)
			entry->leader_last_reachable_us = now_us;
	}
	return now_us - entry->leader_last_reachable_us > LEADER_TIMEOUT_US;
}

static void send_report(struct control_link *link)
{
	struct entry *entry = link->entry;
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__Watch watch = WIRE__WATCH__INIT;
	Wire__HandoverResult result = WIRE__HANDOVER_RESULT__INIT;
	Wire__HandoverResult *results = &result;
	size_t i;

	watch.daemon = (char *)entry->config.name;
	watch.availability_zone = (char *)entry->config.availability_zone;
	watch.ip = entry->config.ip;
	watch.draining = entry->drain_started_us != 0;
	watch.roster_wanted =
		watch_leader_is_unreachable(entry, clock_now_us());
	watch.config_version = entry->table ? entry->table->version : 0;
	fill_health(entry, &watch, clock_now_us());
	if (entry->handover.phase == HANDOVER_DONE &&
	    clock_now_us() < entry->handover.expires_us) {
		result.number = entry->handover.number;
		result.complete = entry->handover.complete;
		watch.handovers = &results;
		watch.n_handovers = 1;
	}
	surveys_fill(entry, &watch);
	quotas_fill(entry, &watch);
	envelope.body_case = WIRE__ENVELOPE__BODY_WATCH;
	envelope.watch = &watch;
	channel_send(&link->channel, &envelope);
	surveys_clear(&watch);
	quotas_clear(&watch);
	for (i = 0; i < watch.n_upstreams; i++) {
		g_free(watch.upstreams[i]->position);
		g_free(watch.upstreams[i]);
	}
	g_free(watch.upstreams);
}

void entry_add_seeds(struct entry *entry, const GArray *seeds)
{
	guint i;

	for (i = 0; i < seeds->len; i++)
		get_control_link(entry, g_array_index(seeds, uint32_t, i));
}

static void connect_control(struct control_link *link)
{
	channel_connect(&link->channel, link->entry->loop, link->ip,
			link->entry->config.port, &control_events, link,
			&link->next_connect_us);
}

void watch_connect(struct entry *entry)
{
	guint i;

	for (i = 0; i < entry->control->len; i++)
		connect_control(entry->control->pdata[i]);
}

static void forget_control(struct entry *entry, int64_t now_us)
{
	struct peer_use entries[MAX_CONTROL_LINKS];
	guint nr = entry->control->len;
	guint i;

	for (i = 0; i < nr; i++)
		entries[i] = use_of(entry->control->pdata[i]);
	/* From the last one on, as the last one takes the place of each. */
	while (i-- > 0)
		if (peer_is_forgotten(entries, nr, i, now_us))
			remove_control_link(entry, i);
}

void watch_tick(int64_t now_us, void *data)
{
	struct entry *entry = data;
	guint i;

	forget_control(entry, now_us);
	for (i = 0; i < entry->control->len; i++) {
		struct control_link *link = entry->control->pdata[i];

		if (channel_is_open(&link->channel))
			send_report(link);
	}
}

static void on_report(int64_t now_us, void *data)
{
	struct entry *entry = data;

	entry->report_timer = TIMER_NONE;
	watch_tick(now_us, entry);
}

void watch_report_at(struct entry *entry, int64_t at_us)
{
	if (entry->report_timer == TIMER_NONE)
		entry->report_timer = timer_subscribe(entry->timers, at_us, 0,
						      on_report, entry);
}

void watch_stop(struct entry *entry)
{
	guint i;

	for (i = 0; i < entry->control->len; i++)
		control_link_free(entry->control->pdata[i]);
	g_ptr_array_free(entry->control, TRUE);
}
