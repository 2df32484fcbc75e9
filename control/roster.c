#include "internal.h"

#include "event_log.h"

#include <jansson.h>

/* A daemon that is gone is told of for so long, microseconds. */
#define KEEP_US (60 * 1000000ll)
/* A daemon that is only remembered counts as there for so long: after a stop
 * of everything the others come back one after the other. */
#define REMEMBER_US (2500 * 1000ll)
/* A daemon that is not heard may be served elsewhere for so long. */
#define UNHEARD_US (10 * 1000000ll)

static void entry_free(void *data)
{
	struct control_daemon_entry *one = data;

	g_free(one->name);
	g_free(one->availability_zone);
	g_clear_pointer(&one->used, g_hash_table_unref);
	g_free(one);
}

GHashTable *control_roster_new(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, NULL, entry_free);
}

static void changed(struct control_node *node, struct control_daemon_entry *one,
		    bool gone, int64_t now_us)
{
	one->gone = gone;
	one->drained = false;
	one->changed_us = now_us;
	/* Not urgent: it goes out with the next answer to each daemon. */
	one->revision = ++node->roster_revision;
	event_log("daemon_changed", "{s:s, s:b}", "daemon", one->name, "gone",
		  (int)gone);
}

static void note(struct control_node *node,
		 const struct control_watcher *watcher, int64_t now_us)
{
	struct control_daemon_entry *one =
		g_hash_table_lookup(node->roster, watcher->name);

	if (one && !one->gone && one->ip == watcher->ip) {
		one->remembered = false;
		return;
	}
	if (!one) {
		one = g_new0(struct control_daemon_entry, 1);
		one->name = g_strdup(watcher->name);
		g_hash_table_insert(node->roster, one->name, one);
	}
	g_free(one->availability_zone);
	one->availability_zone = g_strdup(watcher->availability_zone);
	one->ip = watcher->ip;
	one->remembered = false;
	changed(node, one, false, now_us);
}

void control_roster_remember(struct control_node *node,
			     const Wire__RosterEntry *in, int64_t now_us)
{
	struct control_daemon_entry *one;

	if (in->gone || g_hash_table_contains(node->roster, in->daemon))
		return;
	one = g_new0(struct control_daemon_entry, 1);
	one->name = g_strdup(in->daemon);
	one->availability_zone = g_strdup(in->availability_zone);
	one->ip = in->ip;
	one->remembered = true;
	g_hash_table_insert(node->roster, one->name, one);
	changed(node, one, false, now_us);
}

void control_roster_note(struct control_node *node,
			 const struct control_watcher *watcher, int64_t now_us)
{
	struct control_daemon_entry *one =
		g_hash_table_lookup(node->roster, watcher->name);

	if (!watcher->draining)
		note(node, watcher, now_us);
	else if (one && !one->gone)
		changed(node, one, true, now_us);
	if (one && watcher->draining)
		one->drained = true;
}

void control_roster_used(struct control_node *node, const char *daemon,
			 GHashTable *reports)
{
	struct control_daemon_entry *one =
		g_hash_table_lookup(node->roster, daemon);
	const struct control_report *report;
	GHashTableIter it;
	char *id;

	if (!one)
		return;
	g_clear_pointer(&one->used, g_hash_table_unref);
	one->used =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_hash_table_iter_init(&it, reports);
	while (g_hash_table_iter_next(&it, (void **)&id, (void **)&report))
		if (!report->failing_us)
			g_hash_table_add(one->used, g_strdup(id));
}

unsigned control_roster_unheard(const struct control_node *node, const char *id,
				int64_t now_us)
{
	struct control_daemon_entry *one;
	GHashTableIter it;
	unsigned nr = 0;

	g_hash_table_iter_init(&it, node->roster);
	while (g_hash_table_iter_next(&it, NULL, (void **)&one)) {
		bool gone = one->gone && !one->drained &&
			    now_us - one->changed_us < UNHEARD_US;

		if (one->remembered ||
		    (gone &&
		     (!one->used || g_hash_table_contains(one->used, id))))
			nr++;
	}
	return nr;
}

/* Names of the daemons that are heard and take work. */
static GHashTable *present(const struct control_node *node, int64_t now_us)
{
	GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);
	guint i;

	for (i = 0; i < node->watchers->len; i++) {
		const struct control_watcher *w = node->watchers->pdata[i];

		if (w->name && !w->draining && control_watcher_heard(w, now_us))
			g_hash_table_add(names, w->name);
	}
	return names;
}

void control_roster_update(struct control_node *node, int64_t now_us)
{
	GHashTable *names = present(node, now_us);
	struct control_daemon_entry *one;
	GHashTableIter it;

	g_hash_table_iter_init(&it, node->roster);
	while (g_hash_table_iter_next(&it, NULL, (void **)&one)) {
		if (one->gone && now_us - one->changed_us > KEEP_US)
			g_hash_table_iter_remove(&it);
		else if (one->remembered &&
			 now_us - one->changed_us < REMEMBER_US)
			continue;
		else if (!one->gone && !g_hash_table_contains(names, one->name))
			changed(node, one, true, now_us);
	}
	g_hash_table_destroy(names);
}

void control_roster_fill(const struct control_node *node, uint64_t since,
			 Wire__View *view)
{
	struct control_daemon_entry *one;
	GHashTableIter it;

	view->roster =
		g_new(Wire__RosterEntry *, g_hash_table_size(node->roster) + 1);
	g_hash_table_iter_init(&it, node->roster);
	while (g_hash_table_iter_next(&it, NULL, (void **)&one)) {
		Wire__RosterEntry *out;

		if (one->revision <= since)
			continue;
		out = g_new(Wire__RosterEntry, 1);
		wire__roster_entry__init(out);
		out->daemon = one->name;
		out->availability_zone = one->availability_zone;
		out->ip = one->ip;
		out->gone = one->gone;
		view->roster[view->n_roster++] = out;
	}
}
