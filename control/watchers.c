#include "internal.h"

#include "clock.h"
#include "event_log.h"
#include "sighting_wire.h"

#include <jansson.h>
#include <string.h>
#include <unistd.h>
#include <zlib.h>

static void watcher_free(struct control_watcher *watcher)
{
	channel_close(&watcher->channel);
	watcher->node->nr_reports -= g_hash_table_size(watcher->reports);
	g_hash_table_destroy(watcher->reports);
	g_free(watcher->name);
	g_free(watcher->availability_zone);
	g_free(watcher);
}

bool control_watcher_is_connected(const struct control_watcher *watcher,
				  int64_t now_us)
{
	return now_us - watcher->heard_us < CONTROL_WATCHER_TIMEOUT_US;
}

static unsigned count_daemons(const struct control_node *node)
{
	unsigned nr = 0;
	guint i;

	for (i = 0; i < node->watchers->len; i++)
		nr += ((struct control_watcher *)node->watchers->pdata[i])
			      ->name != NULL;
	return nr;
}

/* The committed configuration document, deflated once for all watchers. */
static GBytes *deflated_config(struct control_node *node)
{
	const uint8_t *content;
	uint8_t *deflated;
	uLongf size;
	gsize len;

	if (node->deflated_document &&
	    node->deflated_version == node->reg.version)
		return node->deflated_document;
	content = g_bytes_get_data(node->reg.document, &len);
	size = compressBound(len);
	deflated = g_malloc(size);
	if (compress2(deflated, &size, content, len, Z_BEST_SPEED) != Z_OK)
		size = 0;
	g_clear_pointer(&node->deflated_document, g_bytes_unref);
	node->deflated_document = g_bytes_new_take(deflated, size);
	node->deflated_version = node->reg.version;
	return node->deflated_document;
}

static void add_config(struct control_watcher *watcher, Wire__View *view,
		       bool is_reply)
{
	struct control_node *node = watcher->node;
	GBytes *deflated_document;

	view->config_version = node->reg.version;
	/*
	 * A VM that may have missed changes sends no configuration. The leader
	 * sends a change at once, other VMs only in reply to a daemon that does
	 * not have it yet.
	 */
	if (!view->fresh || !node->reg.document ||
	    watcher->config_version >= node->reg.version ||
	    (!is_reply && !node->lead_term))
		return;
	/* Back-pressure: the daemon gets it with the reply to a later report. */
	if (node->watcher_channels.bytes > node->config.max_channel_bytes / 2)
		return;
	deflated_document = deflated_config(node);
	view->config.data = (uint8_t *)g_bytes_get_data(deflated_document,
							&view->config.len);
	view->config_len = (uint32_t)g_bytes_get_size(node->reg.document);
	/* The connection delivers the configuration or breaks, so the daemon
	 * counts as having it. */
	watcher->config_version = node->reg.version;
}

void control_view_fill(struct control_node *node, uint64_t since,
		       Wire__View *view)
{
	const struct sightings *s = &node->sightings;
	int64_t now_us = clock_now_us();
	struct appointment *a;
	struct sighting *upstream;
	GHashTableIter it;

	view->sightings =
		g_new(Wire__Sighting *, g_hash_table_size(s->by_id) + 1);
	g_hash_table_iter_init(&it, s->by_id);
	while (g_hash_table_iter_next(&it, NULL, (void **)&upstream)) {
		Wire__Sighting *out;

		if (upstream->revision <= since)
			continue;
		out = g_new(Wire__Sighting, 1);
		sighting_pack(upstream, now_us, out);
		view->sightings[view->n_sightings++] = out;
	}
	view->primaries = g_new(Wire__ServicePrimary *,
				g_hash_table_size(s->appointments) + 1);
	g_hash_table_iter_init(&it, s->appointments);
	while (g_hash_table_iter_next(&it, NULL, (void **)&a)) {
		Wire__ServicePrimary *out = g_new(Wire__ServicePrimary, 1);

		wire__service_primary__init(out);
		out->service = a->service;
		out->id = a->id;
		out->age_us = (uint64_t)MAX(now_us - a->at_us, 0);
		out->index = a->index;
		view->primaries[view->n_primaries++] = out;
	}
}

void control_view_clear(Wire__View *view)
{
	size_t i;

	for (i = 0; i < view->n_sightings; i++)
		g_free(view->sightings[i]);
	for (i = 0; i < view->n_primaries; i++)
		g_free(view->primaries[i]);
	for (i = 0; i < view->n_roster; i++)
		g_free(view->roster[i]);
	g_free(view->sightings);
	g_free(view->primaries);
	for (i = 0; i < view->n_handovers; i++)
		g_free(view->handovers[i]);
	g_free(view->roster);
	g_free(view->handovers);
	for (i = 0; i < view->n_surveys; i++)
		g_free(view->surveys[i]);
	g_free(view->surveys);
	for (i = 0; i < view->n_quotas; i++)
		g_free(view->quotas[i]);
	g_free(view->quotas);
}

/* @answered: report that the view answers, NULL if it is sent unasked */
static void send_view(struct control_watcher *watcher,
		      const Wire__Watch *answered)
{
	struct control_node *node = watcher->node;
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__View view = WIRE__VIEW__INIT;
	uint64_t member_ids[RAFT_MEMBERS_MAX + 1];
	size_t i;

	view.fresh = control_knows_leader(node);
	view.control = member_ids;
	member_ids[view.n_control++] = node->id;
	if (node->raft) {
		const struct raft_members *m = raft_current_members(node->raft);

		view.leader = raft_leader(node->raft);
		for (i = 0; i < m->nr; i++)
			member_ids[view.n_control++] = m->member[i].id;
	}
	add_config(watcher, &view, answered != NULL);
	control_view_fill(node, watcher->sent_revision, &view);
	/* Every control VM keeps the roster; a daemon needs it from one. */
	if (node->lead_term || watcher->roster_wanted) {
		control_roster_fill(node, watcher->sent_roster_revision, &view);
		watcher->sent_roster_revision = node->roster_revision;
	}
	control_handovers_fill(node, watcher->name, &view);
	control_surveys_fill(node, watcher->name, &view);
	control_quota_fill(node, answered, &view);
	watcher->sent_revision = node->sightings.revision;
	envelope.body_case = WIRE__ENVELOPE__BODY_VIEW;
	envelope.view = &view;
	channel_send(&watcher->channel, &envelope);
	control_count(node, CONTROL_COUNT_VIEWS, 1);
	control_view_clear(&view);
}

static void store_reports(struct control_watcher *watcher,
			  const Wire__Watch *watch)
{
	struct control_node *node = watcher->node;
	int64_t now_us = clock_now_us();
	size_t i;

	node->nr_reports -= g_hash_table_size(watcher->reports);
	g_hash_table_remove_all(watcher->reports);
	for (i = 0; i < watch->n_upstreams; i++) {
		const Wire__UpstreamHealth *in = watch->upstreams[i];
		struct control_report *report;

		if (i >= CONTROL_WATCH_MAX_REPORTS ||
		    !control_name_is_valid(in->id) ||
		    node->nr_reports + g_hash_table_size(watcher->reports) >=
			    node->config.max_reports) {
			control_note_limit(node, CONTROL_COUNT_REPORTS_REFUSED,
					   "reports");
			break;
		}
		report = g_new0(struct control_report, 1);
		report->failing_us = (int64_t)in->failing_us;
		report->lag_us = (int64_t)in->lag_us;
		report->saturated = in->saturated;
		report->led_us = in->led_age_us ?
					 now_us - (int64_t)in->led_age_us :
					 INT64_MIN / 2;
		report->at_us = now_us;
		if (in->position)
			report->position =
				(struct position){ in->position->term,
						   in->position->lsn };
		g_hash_table_insert(watcher->reports, g_strdup(in->id), report);
	}
	node->nr_reports += g_hash_table_size(watcher->reports);
}

static void handle_watch(struct control_watcher *watcher,
			 const Wire__Watch *watch)
{
	struct control_node *node = watcher->node;
	size_t i;

	if (!control_name_is_valid(watch->daemon) ||
	    !control_name_is_valid(watch->availability_zone)) {
		control_note_limit(node, CONTROL_COUNT_WATCHERS_REFUSED,
				   "length of a name");
		return;
	}
	if (!watcher->name) {
		watcher->name = g_strdup(watch->daemon);
		watcher->availability_zone = g_strdup(watch->availability_zone);
		event_log("watcher_joined", "{s:s}", "daemon", watcher->name);
	}
	watcher->heard_us = clock_now_us();
	watcher->ip = watch->ip;
	watcher->draining = watch->draining;
	watcher->roster_wanted = watch->roster_wanted;
	control_roster_record_report(node, watcher, watcher->heard_us);
	/* The daemon may have a newer configuration from another control VM. */
	watcher->config_version =
		MAX(watcher->config_version, watch->config_version);
	store_reports(watcher, watch);
	for (i = 0; i < watch->n_handovers; i++)
		control_handover_finished(node, watch->handovers[i]);
	for (i = 0; i < watch->n_surveys; i++)
		control_survey_finished(node, watch->surveys[i]);
	control_quota_report(node, watch);
	/* A daemon that does not read gets its next view once it has. */
	if (!stream_above_high_water(&watcher->channel.stream))
		send_view(watcher, watch);
}

static void on_message(struct channel *ch, const Wire__Envelope *envelope)
{
	struct control_watcher *watcher = ch->data;

	watcher->heard_us = clock_now_us();
	watcher->has_sent = true;
	if (envelope->body_case == WIRE__ENVELOPE__BODY_WATCH)
		handle_watch(watcher, envelope->watch);
	else if (envelope->body_case == WIRE__ENVELOPE__BODY_QUOTA_REQUEST)
		control_quota_request(watcher->node, ch,
				      envelope->quota_request);
	else
		control_handle_message(watcher->node, ch, envelope);
}

static void on_closed(struct channel *ch)
{
	struct control_watcher *watcher = ch->data;

	/* The channel may still be in use, so the next tick frees the
	 * watcher. */
	watcher->heard_us = INT64_MIN / 2;
	if (watcher->name)
		event_log("watcher_left", "{s:s}", "daemon", watcher->name);
}

static const struct channel_events watcher_events = {
	.message = on_message,
	.closed = on_closed,
};

static void remove_watcher(struct control_node *node, guint index)
{
	struct control_watcher *watcher =
		g_ptr_array_remove_index_fast(node->watchers, index);

	if (watcher->name)
		control_roster_set_answering(node, watcher->name,
					     watcher->reports);
	watcher_free(watcher);
}

/*
 * Closes the connection that has sent no whole message for the longest, or one
 * that has ended already. Entry daemons send their first message at once, and
 * control VMs connect again when they have something to say.
 */
static bool make_room(struct control_node *node)
{
	guint nr = node->watchers->len;
	struct server_holder *holders;
	guint i;
	int victim;

	if (nr < node->config.max_watchers)
		return true;
	holders = g_new(struct server_holder, nr);
	for (i = 0; i < nr; i++) {
		const struct control_watcher *w = node->watchers->pdata[i];
		bool open = channel_is_open(&w->channel);

		holders[i] = (struct server_holder){
			.phase = w->has_sent && open ? SERVER_HANDLER :
						       SERVER_HEADER,
			.bytes = w->channel.holder.bytes,
			.since_us = open ? w->accepted_us : INT32_MIN,
		};
	}
	victim = server_limits_victim(holders, nr, clock_now_us());
	g_free(holders);
	if (victim < 0)
		return false;
	remove_watcher(node, (guint)victim);
	return true;
}

void control_watchers_accept(struct control_node *node, int fd)
{
	struct control_watcher *watcher;

	if (node->watchers->len >= node->config.max_watchers)
		control_note_limit(node, CONTROL_COUNT_WATCHERS_REFUSED,
				   "watchers");
	if (!make_room(node)) {
		close(fd);
		return;
	}
	watcher = g_new0(struct control_watcher, 1);
	watcher->node = node;
	watcher->heard_us = clock_now_us();
	watcher->accepted_us = watcher->heard_us;
	watcher->reports =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_ptr_array_add(node->watchers, watcher);
	channel_accept(&watcher->channel, node->loop, fd, &watcher_events,
		       watcher);
	channel_join_group(&watcher->channel, &node->watcher_channels);
}

void control_watchers_tick(struct control_node *node, int64_t now_us)
{
	guint i = 0;

	while (i < node->watchers->len) {
		struct control_watcher *watcher = node->watchers->pdata[i];
		bool is_daemon = watcher->name != NULL;

		if (now_us - watcher->heard_us <
		    (is_daemon ? CONTROL_WATCHER_TIMEOUT_US :
				 4 * CONTROL_WATCHER_TIMEOUT_US)) {
			i++;
			continue;
		}
		remove_watcher(node, i);
	}
	control_roster_expire(node, now_us);
	counter_assign(&node->counters, node->counter[CONTROL_COUNT_WATCHERS],
		       count_daemons(node));
}

void control_watchers_send_views(struct control_node *node)
{
	guint i;

	node->views_due = false;
	for (i = 0; i < node->watchers->len; i++) {
		struct control_watcher *watcher = node->watchers->pdata[i];

		if (watcher->name && channel_is_open(&watcher->channel) &&
		    !stream_above_high_water(&watcher->channel.stream))
			send_view(watcher, NULL);
	}
}

void control_watchers_free(struct control_node *node)
{
	guint i;

	for (i = 0; i < node->watchers->len; i++)
		watcher_free(node->watchers->pdata[i]);
	g_ptr_array_free(node->watchers, TRUE);
	channel_group_finish(&node->watcher_channels);
}
