#include "internal.h"

#include "clock.h"
#include "event_log.h"

#include <jansson.h>
#include <string.h>
#include <sys/resource.h>

/* Defaults; see docs/OPERATIONS.md. A view with all sightings and the roster
 * must fit into a frame of 2 MiB beside a configuration: 2,000 sightings of 410
 * bytes, 2,000 roster entries of 270 bytes and 262,144 bytes are 1.6 MB. */
#define MAX_WATCHERS 1400
#define MAX_ROSTER 2000
#define MAX_SIGHTINGS 2000
#define MAX_REPORTS 250000
/* A control VM has 256 MB; buffers that grow take up to twice this. */
#define MAX_CHANNEL_BYTES (24u * 1024 * 1024)
#define HALF_FRAME_US (10 * 1000000ll)
/* Part of the descriptors for accepted internal connections. */
#define WATCHER_SIXTEENTHS 7
/* Least time between two log lines about limits, microseconds. */
#define REPORT_INTERVAL_US (1000 * 1000ll)
/* An upstream heard within this time is not given up for another one,
 * microseconds: two heartbeats of 1,200 ms and some delay. */
#define SIGHTING_IN_USE_US (3000 * 1000ll)

static void use_default(unsigned *limit, unsigned value)
{
	if (!*limit)
		*limit = value;
}

void control_limits_init(struct control_node *node)
{
	struct control_config *config = &node->config;
	struct rlimit fds = { .rlim_cur = MAX_WATCHERS };
	struct server_limits limits = { .body_us = HALF_FRAME_US };

	getrlimit(RLIMIT_NOFILE, &fds);
	use_default(&config->max_watchers,
		    server_limits_share(fds.rlim_cur, WATCHER_SIXTEENTHS,
					MAX_WATCHERS));
	use_default(&config->max_roster, MAX_ROSTER);
	use_default(&config->max_sightings, MAX_SIGHTINGS);
	use_default(&config->max_reports, MAX_REPORTS);
	if (!config->max_channel_bytes)
		config->max_channel_bytes = MAX_CHANNEL_BYTES;
	limits.max_bytes = config->max_channel_bytes;
	channel_group_init(&node->watcher_channels, &limits);
}

bool control_name_is_valid(const char *name)
{
	return strlen(name) <= CONTROL_NAME_MAX_BYTES;
}

void control_note_limit(struct control_node *node, enum control_counter counter,
			const char *what)
{
	int64_t now_us = clock_now_us();

	control_count(node, counter, 1);
	if (now_us - node->limit_logged_us < REPORT_INTERVAL_US)
		return;
	node->limit_logged_us = now_us;
	event_log("limit_reached", "{s:s, s:i, s:i, s:i, s:I}", "what", what,
		  "watchers", (int)node->watchers->len, "roster",
		  (int)g_hash_table_size(node->roster), "sightings",
		  (int)g_hash_table_size(node->sightings.by_id), "bytes",
		  (json_int_t)node->watcher_channels.bytes);
}

/* The channels count for themselves; a line and the metrics follow here. */
void control_limits_tick(struct control_node *node, int64_t now_us)
{
	struct channel_group *group = &node->watcher_channels;
	uint64_t events;

	channel_group_check(group, now_us);
	counter_assign(&node->counters,
		       node->counter[CONTROL_COUNT_CHANNELS_CLOSED],
		       (int64_t)(group->closed + group->timed_out));
	counter_assign(&node->counters,
		       node->counter[CONTROL_COUNT_CHANNELS_PAUSED],
		       (int64_t)group->paused);
	counter_assign(&node->counters,
		       node->counter[CONTROL_COUNT_CHANNEL_BYTES],
		       (int64_t)group->bytes);
	events = group->closed + group->timed_out + group->paused;
	if (events != node->group_events)
		control_note_limit(node, CONTROL_COUNT_LIMITED, "channels");
	node->group_events = events;
}

/* An announcement may name a service that nobody uses. */
bool control_service_is_configured(const struct control_node *node,
				   const char *service)
{
	return !node->reg.document ||
	       node->ops->has_service(node->reg.document, service, node->data);
}

bool control_is_foreign(const struct control_node *node,
			const struct sighting *upstream)
{
	const struct sighting *known =
		sightings_find(&node->sightings, upstream->id);

	if (!known || !strcmp(known->service, upstream->service) ||
	    !control_service_is_configured(node, known->service))
		return false;
	if (known->born_ms != upstream->born_ms &&
	    control_service_is_configured(node, upstream->service))
		return false;
	event_log("announcement_ignored", "{s:s, s:s, s:s}", "upstream",
		  upstream->id, "service", upstream->service, "known_service",
		  known->service);
	return true;
}

static struct table_use sighting_use(const struct control_node *node,
				     const struct sighting *s, int64_t now_us)
{
	const struct appointment *a =
		g_hash_table_lookup(node->sightings.appointments, s->service);

	return (struct table_use){
		.gone = s->gone,
		.used_us = s->heard_us,
		.in_use =
			(a && !strcmp(a->id, s->id)) ||
			(!s->gone && now_us - s->heard_us < SIGHTING_IN_USE_US),
	};
}

/* Return: false if every upstream was heard lately or answers a daemon. */
static bool remove_sighting(struct control_node *node)
{
	guint nr = g_hash_table_size(node->sightings.by_id);
	struct table_use *uses = g_new(struct table_use, nr);
	struct sighting **list = g_new(struct sighting *, nr);
	int64_t now_us = clock_now_us();
	GHashTableIter it;
	guint i = 0;
	int victim;

	g_hash_table_iter_init(&it, node->sightings.by_id);
	while (g_hash_table_iter_next(&it, NULL, (void **)&list[i])) {
		uses[i] = sighting_use(node, list[i], now_us);
		i++;
	}
	while ((victim = table_limits_victim(uses, nr)) >= 0) {
		if (uses[victim].gone ||
		    !control_upstream_answers(node, list[victim]->id))
			break;
		uses[victim].in_use = true;
	}
	if (victim >= 0)
		sightings_remove(&node->sightings, list[victim]->id);
	g_free(uses);
	g_free(list);
	return victim >= 0;
}

bool control_admit_sighting(struct control_node *node,
			    const struct sighting *upstream)
{
	if (!control_name_is_valid(upstream->id) ||
	    !control_name_is_valid(upstream->service) ||
	    !control_name_is_valid(upstream->address) ||
	    !control_name_is_valid(upstream->availability_zone)) {
		control_note_limit(node, CONTROL_COUNT_SIGHTINGS_REFUSED,
				   "length of a name");
		return false;
	}
	if (sightings_find(&node->sightings, upstream->id) ||
	    g_hash_table_size(node->sightings.by_id) <
		    node->config.max_sightings ||
	    remove_sighting(node))
		return true;
	control_note_limit(node, CONTROL_COUNT_SIGHTINGS_REFUSED, "sightings");
	return false;
}
