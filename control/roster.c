#include "internal.h"

#include "event_log.h"

#include <jansson.h>

/* How long the roster lists a daemon after it has gone, microseconds. */
#define GONE_RETENTION_US (60 * 1000000ll)
/* How long a daemon restored from the sightings file counts as present until it
 * reports, microseconds. After a stop of the whole system the daemons come back
 * one after the other. */
#define RESTORED_TIMEOUT_US (2500 * 1000ll)
/* How long an unreachable daemon counts as possibly still served by its
 * upstreams, microseconds. */
#define MAYBE_SERVED_US (10 * 1000000ll)

static void entry_free(void *data)
{
	struct control_roster_entry *entry = data;

	g_free(entry->name);
	g_free(entry->availability_zone);
	g_clear_pointer(&entry->answering_upstreams, g_hash_table_unref);
	g_free(entry);
}

GHashTable *control_roster_new(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, NULL, entry_free);
}

static void set_gone(struct control_node *node,
		     struct control_roster_entry *entry, bool gone,
		     int64_t now_us)
{
	entry->gone = gone;
	entry->drained = false;
	entry->changed_us = now_us;
	/* Not urgent: each daemon gets it with the reply to its next report. */
	entry->revision = ++node->roster_revision;
	event_log("daemon_changed", "{s:s, s:b}", "daemon", entry->name, "gone",
		  (int)gone);
}

static struct table_use entry_use(const struct control_roster_entry *entry,
				  int64_t now_us)
{
	return (struct table_use){
		.gone = entry->gone,
		.used_us = entry->changed_us,
		/* The fence of a service waits for daemons lost lately. */
		.in_use = !entry->gone ||
			  (!entry->drained &&
			   now_us - entry->changed_us < MAYBE_SERVED_US),
	};
}

/* A node whose limits were not set has none. */
static bool is_full(const struct control_node *node)
{
	return node->config.max_roster &&
	       g_hash_table_size(node->roster) >= node->config.max_roster;
}

/* Return: false if the roster is full of daemons that are present or were lost
 * lately. */
static bool make_room(struct control_node *node, int64_t now_us)
{
	guint nr = g_hash_table_size(node->roster);
	struct control_roster_entry **list;
	struct table_use *uses;
	GHashTableIter it;
	guint i = 0;
	int victim;

	if (!is_full(node))
		return true;
	list = g_new(struct control_roster_entry *, nr);
	uses = g_new(struct table_use, nr);
	g_hash_table_iter_init(&it, node->roster);
	while (g_hash_table_iter_next(&it, NULL, (void **)&list[i])) {
		uses[i] = entry_use(list[i], now_us);
		i++;
	}
	victim = table_limits_victim(uses, nr);
	if (victim >= 0)
		g_hash_table_remove(node->roster, list[victim]->name);
	else
		control_note_limit(node, CONTROL_COUNT_ROSTER_REFUSED,
				   "roster");
	g_free(list);
	g_free(uses);
	return victim >= 0;
}

static void mark_present(struct control_node *node,
			 const struct control_watcher *watcher, int64_t now_us)
{
	struct control_roster_entry *entry =
		g_hash_table_lookup(node->roster, watcher->name);

	if (entry && !entry->gone && entry->ip == watcher->ip) {
		entry->is_restored = false;
		return;
	}
	if (!entry && !make_room(node, now_us))
		return;
	if (!entry) {
		entry = g_new0(struct control_roster_entry, 1);
		entry->name = g_strdup(watcher->name);
		g_hash_table_insert(node->roster, entry->name, entry);
	}
	g_free(entry->availability_zone);
	entry->availability_zone = g_strdup(watcher->availability_zone);
	entry->ip = watcher->ip;
	entry->is_restored = false;
	set_gone(node, entry, false, now_us);
}

void control_roster_restore(struct control_node *node,
			    const Wire__RosterEntry *in, int64_t now_us)
{
	struct control_roster_entry *entry;

	if (in->gone || g_hash_table_contains(node->roster, in->daemon) ||
	    is_full(node))
		return;
	entry = g_new0(struct control_roster_entry, 1);
	entry->name = g_strdup(in->daemon);
	entry->availability_zone = g_strdup(in->availability_zone);
	entry->ip = in->ip;
	entry->is_restored = true;
	g_hash_table_insert(node->roster, entry->name, entry);
	set_gone(node, entry, false, now_us);
}

void control_roster_record_report(struct control_node *node,
				  const struct control_watcher *watcher,
				  int64_t now_us)
{
	struct control_roster_entry *entry =
		g_hash_table_lookup(node->roster, watcher->name);

	if (!watcher->draining)
		mark_present(node, watcher, now_us);
	else if (entry && !entry->gone)
		set_gone(node, entry, true, now_us);
	if (entry && watcher->draining)
		entry->drained = true;
}

void control_roster_set_answering(struct control_node *node, const char *daemon,
				  GHashTable *reports)
{
	struct control_roster_entry *entry =
		g_hash_table_lookup(node->roster, daemon);
	const struct control_report *report;
	GHashTableIter it;
	char *id;

	if (!entry)
		return;
	g_clear_pointer(&entry->answering_upstreams, g_hash_table_unref);
	entry->answering_upstreams =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_hash_table_iter_init(&it, reports);
	while (g_hash_table_iter_next(&it, (void **)&id, (void **)&report))
		if (!report->failing_us)
			g_hash_table_add(entry->answering_upstreams,
					 g_strdup(id));
}

unsigned control_roster_count_unreachable(const struct control_node *node,
					  const char *id, int64_t now_us)
{
	struct control_roster_entry *entry;
	GHashTableIter it;
	unsigned nr = 0;

	g_hash_table_iter_init(&it, node->roster);
	while (g_hash_table_iter_next(&it, NULL, (void **)&entry)) {
		bool gone = entry->gone && !entry->drained &&
			    now_us - entry->changed_us < MAYBE_SERVED_US;

		if (entry->is_restored ||
		    (gone &&
		     (!entry->answering_upstreams ||
		      g_hash_table_contains(entry->answering_upstreams, id))))
			nr++;
	}
	return nr;
}

unsigned control_roster_count_restored(const struct control_node *node)
{
	struct control_roster_entry *entry;
	GHashTableIter it;
	unsigned nr = 0;

	g_hash_table_iter_init(&it, node->roster);
	while (g_hash_table_iter_next(&it, NULL, (void **)&entry))
		nr += entry->is_restored && !entry->gone;
	return nr;
}

/* Names of the connected daemons that accept work. */
static GHashTable *present_daemons(const struct control_node *node,
				   int64_t now_us)
{
	GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);
	guint i;

	for (i = 0; i < node->watchers->len; i++) {
		const struct control_watcher *w = node->watchers->pdata[i];

		if (w->name && !w->draining &&
		    control_watcher_is_connected(w, now_us))
			g_hash_table_add(names, w->name);
	}
	return names;
}

void control_roster_expire(struct control_node *node, int64_t now_us)
{
	GHashTable *names = present_daemons(node, now_us);
	struct control_roster_entry *entry;
	GHashTableIter it;

	g_hash_table_iter_init(&it, node->roster);
	while (g_hash_table_iter_next(&it, NULL, (void **)&entry)) {
		if (entry->gone &&
		    now_us - entry->changed_us > GONE_RETENTION_US)
			g_hash_table_iter_remove(&it);
		else if (entry->is_restored &&
			 now_us - entry->changed_us < RESTORED_TIMEOUT_US)
			continue;
		else if (!entry->gone &&
			 !g_hash_table_contains(names, entry->name))
			set_gone(node, entry, true, now_us);
	}
	g_hash_table_destroy(names);
}

void control_roster_fill(const struct control_node *node, uint64_t since,
			 Wire__View *view)
{
	struct control_roster_entry *entry;
	GHashTableIter it;

	view->roster =
		g_new(Wire__RosterEntry *, g_hash_table_size(node->roster) + 1);
	g_hash_table_iter_init(&it, node->roster);
	while (g_hash_table_iter_next(&it, NULL, (void **)&entry)) {
		Wire__RosterEntry *out;

		if (entry->revision <= since)
			continue;
		out = g_new(Wire__RosterEntry, 1);
		wire__roster_entry__init(out);
		out->daemon = entry->name;
		out->availability_zone = entry->availability_zone;
		out->ip = entry->ip;
		out->gone = entry->gone;
		view->roster[view->n_roster++] = out;
	}
}
