#include "internal.h"

#include "clock.h"
#include "event_log.h"
#include "net.h"

#include <errno.h>
#include <jansson.h>
#include <unistd.h>

/* Interval of checks of members, watchers and primaries, microseconds. */
#define MAINTENANCE_INTERVAL_US (100 * 1000ll)

static const struct counter_spec counter_specs[CONTROL_NR_COUNTERS] = {
	{ "control_elections_total", "Elections won by this VM" },
	{ "control_member_changes_total", "Changes of the group begun here" },
	{ "control_configs_total", "Configurations that came into force" },
	{ "control_puts_total", "Configurations offered" },
	{ "control_puts_unclear_total", "Offers that got no clear answer" },
	{ "control_sightings_total", "Announcements of upstreams taken" },
	{ "control_promotions_total", "Orders to lead a service" },
	{ "control_promotions_refused_total", "Orders refused" },
	{ "control_promotions_unclear_total", "Orders without an answer" },
	{ "control_views_total", "Views sent to entry daemons" },
	{ "control_quota_tokens_total",
	  "Operations allowed beyond the daemons' shares of limits" },
	{ "control_quota_refused_total", "The same refused" },
	{ "control_store_failures_total", "Failures of the store" },
	{ "control_limited_total", "Times a limit on channels took effect" },
	{ "control_watchers_refused_total", "Internal connections refused" },
	{ "control_roster_refused_total", "Entry daemons not listed" },
	{ "control_sightings_refused_total", "Announcements refused" },
	{ "control_reports_refused_total", "Reports on upstreams dropped" },
	{ "control_channels_closed_total",
	  "Internal connections closed for others or for a half frame" },
	{ "control_channels_paused_total",
	  "Times an internal connection waited for memory" },
	{ "control_channel_bytes", "Half frames and unread output", true },
	{ "control_term", "Raft term", true },
	{ "control_config_version", "Version held", true },
	{ "control_watchers", "Entry daemons heard of late", true },
};

static void on_accept(struct ev_loop *loop, ev_io *w, int revents)
{
	struct control_node *node = w->data;
	int fd;

	while ((fd = net_accept(w->fd)) >= 0)
		control_watchers_accept(node, fd);
	/* The listener is readable for as long as descriptors lack, so it waits
	 * for the next tick. */
	if (errno == EMFILE || errno == ENFILE)
		ev_io_stop(loop, w);
}

/*
 * A leader sends no configuration before it has a lease. Daemons that connected
 * earlier still wait for theirs, so they get a view once the lease is valid.
 */
static void update_lease(struct control_node *node)
{
	bool has_lease = node->lead_term && control_knows_leader(node);

	if (has_lease && !node->had_lease)
		node->views_due = true;
	control_quota_update(node, has_lease);
	node->had_lease = has_lease;
}

/* Syncs and answers once for everything received in one loop iteration. */
static void on_prepare(struct ev_loop *loop, ev_prepare *w, int revents)
{
	struct control_node *node = w->data;

	control_storage_flush(node);
	if (node->group_due) {
		control_group_tick(node, clock_now_us());
		control_storage_flush(node);
	}
	if (node->puts->len)
		control_puts_complete(node, clock_now_us());
	update_lease(node);
	if (node->views_due)
		control_watchers_send_views(node);
}

static void reopen_store(struct control_node *node, int64_t now_us)
{
	GError *error = NULL;

	if (node->raft || now_us < node->store_retry_us)
		return;
	node->store_retry_us = now_us + CONTROL_STORE_RETRY_INTERVAL_US;
	if (!control_storage_open(node, &error))
		raft_disk_fail(&node->disk, error);
}

static void on_tick(int64_t now_us, void *data)
{
	struct control_node *node = data;

	control_peers_connect(node);
	reopen_store(node, now_us);
	if (!node->raft)
		return;
	raft_tick(node->raft, now_us);
	control_leadership_update(node);
}

/* An upstream whose announcements do not arrive may still serve callers. */
static bool keep_sighting(const struct sighting *upstream, void *data)
{
	return !upstream->gone && control_upstream_answers(data, upstream->id);
}

static void on_maintenance(int64_t now_us, void *data)
{
	struct control_node *node = data;

	ev_io_start(node->loop, &node->listener);
	control_limits_tick(node, now_us);
	control_peers_tick(node, now_us);
	control_watchers_tick(node, now_us);
	control_quota_expire(node, now_us);
	control_group_tick(node, now_us);
	control_promotions_tick(node, now_us);
	sightings_expire(&node->sightings, now_us, keep_sighting, node);
	control_sightings_save(node, now_us);
	counter_assign(&node->counters, node->counter[CONTROL_COUNT_VERSION],
		       (int64_t)node->reg.version);
	if (node->raft)
		counter_assign(&node->counters,
			       node->counter[CONTROL_COUNT_TERM],
			       (int64_t)raft_term(node->raft));
}

void control_add_seeds(struct control_node *node, const GArray *seeds)
{
	guint i;

	for (i = 0; i < seeds->len; i++)
		control_peer(node, g_array_index(seeds, uint32_t, i));
}

static bool listen_for_peers(struct control_node *node, GError **error)
{
	int fd = net_listen_ip(node->config.ip, node->config.port, error);

	if (fd < 0)
		return false;
	ev_io_init(&node->listener, on_accept, fd, EV_READ);
	node->listener.data = node;
	ev_io_start(node->loop, &node->listener);
	return true;
}

struct control_node *control_node_new(struct ev_loop *loop,
				      struct timer_service *timers,
				      const struct control_config *config,
				      const struct control_ops *ops, void *data,
				      GError **error)
{
	struct control_node *node = g_new0(struct control_node, 1);
	int64_t now_us = clock_now_us();

	node->started_us = now_us;
	node->loop = loop;
	node->timers = timers;
	node->config = *config;
	node->config.seeds = g_array_copy(config->seeds);
	node->folder = g_strdup(config->folder);
	node->ops = ops;
	node->data = data;
	node->disk.on_failure = control_storage_on_failure;
	node->disk.data = node;
	node->peers = g_ptr_array_new();
	node->watchers = g_ptr_array_new();
	node->puts = g_ptr_array_new();
	control_limits_init(node);
	node->roster = control_roster_new();
	control_quota_init(node);
	node->promotion_states = g_hash_table_new_full(
		g_str_hash, g_str_equal, NULL, control_promotion_state_free);
	node->successions = g_hash_table_new_full(
		g_str_hash, g_str_equal, g_free, control_succession_free);
	sightings_init(&node->sightings);
	primary_register_init(&node->primaries);
	config_register_init(&node->reg);
	counter_set_init(&node->counters);
	counter_register_all(&node->counters, counter_specs,
			     CONTROL_NR_COUNTERS, node->counter);
	if (!listen_for_peers(node, error)) {
		control_node_free(node);
		return NULL;
	}
	ev_prepare_init(&node->prepare, on_prepare);
	node->prepare.data = node;
	ev_prepare_start(loop, &node->prepare);
	reopen_store(node, now_us);
	control_sightings_load(node);
	control_add_seeds(node, config->seeds);
	node->tick_timer = timer_subscribe(
		timers, now_us, CONTROL_TICK_INTERVAL_US, on_tick, node);
	node->maintenance_timer = timer_subscribe(
		timers, now_us, MAINTENANCE_INTERVAL_US, on_maintenance, node);
	return node;
}

void control_node_free(struct control_node *node)
{
	if (node->listener.data) {
		ev_io_stop(node->loop, &node->listener);
		close(node->listener.fd);
		ev_prepare_stop(node->loop, &node->prepare);
		timer_cancel(node->timers, &node->tick_timer);
		timer_cancel(node->timers, &node->maintenance_timer);
	}
	control_storage_close(node);
	control_peers_free(node);
	control_watchers_free(node);
	g_ptr_array_free(node->puts, TRUE);
	g_hash_table_destroy(node->promotion_states);
	g_hash_table_destroy(node->successions);
	g_hash_table_destroy(node->roster);
	control_quota_finish(node);
	sightings_finish(&node->sightings);
	primary_register_finish(&node->primaries);
	config_register_finish(&node->reg);
	counter_set_finish(&node->counters);
	g_clear_pointer(&node->deflated_document, g_bytes_unref);
	g_array_free(node->config.seeds, TRUE);
	g_free(node->folder);
	g_free(node);
}

bool control_add_announcement(struct control_node *node,
			      const struct sighting *upstream)
{
	enum sighting_merge_result result;
	const struct sighting *stored;

	if (control_is_foreign(node, upstream))
		return true;
	if (!control_admit_sighting(node, upstream))
		return false;
	result = sightings_merge(&node->sightings, upstream);
	stored = sightings_find(&node->sightings, upstream->id);
	control_count(node, CONTROL_COUNT_SIGHTINGS, 1);
	if (result == SIGHTING_STALE)
		return true;
	control_broadcast_sighting(node, stored);
	if (result != SIGHTING_CHANGED)
		return true;
	node->views_due = true;
	event_log("upstream_changed", "{s:s, s:s, s:s, s:b, s:b, s:b, s:I}",
		  "upstream", stored->id, "service", stored->service, "address",
		  stored->address, "primary", (int)stored->primary, "leaving",
		  (int)stored->leaving, "gone", (int)stored->gone, "sequence",
		  (json_int_t)stored->sequence);
	return true;
}

const struct sightings *control_sightings(const struct control_node *node)
{
	return &node->sightings;
}

bool control_stop(struct control_node *node)
{
	if (!node->stopping) {
		node->stopping = true;
		node->stop_started_us = clock_now_us();
		control_peers_tick(node, node->stop_started_us);
		node->group_due = true;
	}
	return node->puts->len > 0 || !control_group_is_left(node);
}

void control_print_counters(struct control_node *node, GString *out)
{
	counter_set_print(&node->counters, out);
}
