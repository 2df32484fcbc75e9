#include "internal.h"

#include "clock.h"

#include <string.h>

/* Time for which a home that declined a statement is not used. */
#define DECLINED_PAUSE_US (1000 * 1000ll)
/* Upper limit of a daemon's share of the connections to one upstream. */
#define MAX_SHARE 4

/* The link whose roster is used: the control leader's, else any fresh one. */
static const struct control_link *roster_source(const struct entry *entry)
{
	const struct control_link *fallback = NULL;
	guint i;

	for (i = 0; i < entry->control->len; i++) {
		const struct control_link *link = entry->control->pdata[i];

		if (!link->fresh || !g_hash_table_size(link->roster))
			continue;
		if (link->ip == entry->leader_ip)
			return link;
		fallback = fallback ? fallback : link;
	}
	return fallback;
}

struct roster_entry *
roster_entry_new(const char *name, const char *availability_zone, uint32_t ip)
{
	struct roster_entry *daemon = g_new0(struct roster_entry, 1);

	daemon->name = g_strdup(name);
	daemon->availability_zone = g_strdup(availability_zone);
	daemon->ip = ip;
	return daemon;
}

void roster_entry_free(void *data)
{
	struct roster_entry *daemon = data;

	g_free(daemon->name);
	g_free(daemon->availability_zone);
	g_free(daemon);
}

/* Copies the roster, as its link may go away while the home sets are in use. */
static void copy_roster(struct entry *entry, const struct control_link *from)
{
	struct roster_entry *daemon;
	GHashTableIter it;

	g_ptr_array_set_size(entry->home_set_daemons, 0);
	g_hash_table_iter_init(&it, from->roster);
	while (g_hash_table_iter_next(&it, NULL, (void **)&daemon))
		g_ptr_array_add(entry->home_set_daemons,
				roster_entry_new(daemon->name,
						 daemon->availability_zone,
						 daemon->ip));
}

static void update_plan(struct entry *entry)
{
	const struct control_link *source = roster_source(entry);
	struct entry_pool *pool;
	struct home_daemon *daemons;
	struct home_service *services;
	GHashTableIter it;
	unsigned nr = 0;
	guint i;

	if (!source || !entry->table)
		return;
	entry->home_sets_outdated = false;
	copy_roster(entry, source);
	daemons = g_new(struct home_daemon, entry->home_set_daemons->len + 1);
	services = g_new(struct home_service,
			 g_hash_table_size(entry->table->pools) + 1);
	for (i = 0; i < entry->home_set_daemons->len; i++) {
		const struct roster_entry *daemon =
			entry->home_set_daemons->pdata[i];

		daemons[i] = (struct home_daemon){ daemon->name,
						   daemon->availability_zone,
						   daemon->ip };
	}
	g_hash_table_iter_init(&it, entry->table->pools);
	while (g_hash_table_iter_next(&it, NULL, (void **)&pool))
		services[nr++] = (struct home_service){ pool->service,
							pool->max_connections };
	g_hash_table_destroy(entry->home_sets);
	entry->home_sets =
		home_plan(daemons, entry->home_set_daemons->len, services, nr);
	g_free(daemons);
	g_free(services);
}

static const struct roster_entry *
home_daemon_at(const struct entry *entry, const struct home_set *set, guint i)
{
	return entry->home_set_daemons
		->pdata[g_array_index(set->daemons, unsigned, i)];
}

bool home_is_local(struct entry *entry, const char *service)
{
	const struct home_set *set =
		g_hash_table_lookup(entry->home_sets, service);
	guint i;

	if (!set || set->all_daemons || !set->daemons->len)
		return true;
	for (i = 0; i < set->daemons->len; i++)
		if (home_daemon_at(entry, set, i)->ip == entry->config.ip)
			return true;
	return false;
}

unsigned home_share(struct entry *entry, const struct entry_pool *pool)
{
	const struct home_set *set =
		g_hash_table_lookup(entry->home_sets, pool->service);
	unsigned homes = MAX(entry->home_set_daemons->len, 1);

	if (set && !set->all_daemons)
		homes = MAX(set->daemons->len, 1);
	return CLAMP(pool->max_connections / homes, 1, MAX_SHARE);
}

static void on_message(struct channel *ch, const Wire__Envelope *envelope)
{
	struct home_link *home = ch->data;

	if (envelope->body_case == WIRE__ENVELOPE__BODY_RELAY_ANSWER)
		relay_answered(home, envelope->relay_answer);
	else
		ch->malformed++;
}

static void on_closed(struct channel *ch)
{
	struct home_link *home = ch->data;

	home->next_connect_us = clock_now_us() + CHANNEL_RETRY_INTERVAL_US;
	relay_home_lost(home);
}

static const struct channel_events home_events = {
	.message = on_message,
	.closed = on_closed,
};

static void connect_home(struct home_link *home)
{
	channel_connect(&home->channel, home->entry->loop, home->ip,
			home->entry->config.port, &home_events, home,
			&home->next_connect_us);
}

static struct home_link *get_home_link(struct entry *entry, uint32_t ip)
{
	struct home_link *home =
		g_hash_table_lookup(entry->homes, GUINT_TO_POINTER(ip));

	if (home)
		return home;
	home = g_new0(struct home_link, 1);
	home->entry = entry;
	home->ip = ip;
	home->channel.stream.fd = -1;
	home->declined_at_us = INT64_MIN / 2;
	home->sessions = g_hash_table_new(g_int64_hash, g_int64_equal);
	g_hash_table_insert(entry->homes, GUINT_TO_POINTER(ip), home);
	connect_home(home);
	return home;
}

static void home_link_free(void *data)
{
	struct home_link *home = data;

	channel_close(&home->channel);
	g_hash_table_destroy(home->sessions);
	g_free(home);
}

/* The usable home with the fewest sessions of this daemon, either among those
 * in its own availability zone or among those in other zones. */
static struct home_link *least_used(struct entry *entry,
				    const struct home_set *set, bool own_zone,
				    const struct home_link *avoid,
				    int64_t now_us)
{
	struct home_link *best = NULL;
	guint offset = entry_random(entry);
	guint i;

	for (i = 0; i < set->daemons->len; i++) {
		const struct roster_entry *daemon = home_daemon_at(
			entry, set, (i + offset) % set->daemons->len);
		bool in_own_zone = !strcmp(daemon->availability_zone,
					   entry->config.availability_zone);
		struct home_link *home;

		if (in_own_zone != own_zone)
			continue;
		home = get_home_link(entry, daemon->ip);
		if (home == avoid || !channel_is_open(&home->channel) ||
		    now_us - home->declined_at_us < DECLINED_PAUSE_US)
			continue;
		if (!best || g_hash_table_size(home->sessions) <
				     g_hash_table_size(best->sessions))
			best = home;
	}
	return best;
}

struct home_link *home_choose(struct entry *entry, const char *service,
			      const struct home_link *avoid)
{
	const struct home_set *set =
		g_hash_table_lookup(entry->home_sets, service);
	int64_t now_us = clock_now_us();
	struct home_link *home;

	if (!set || !set->daemons->len)
		return NULL;
	home = least_used(entry, set, true, avoid, now_us);
	return home ? home : least_used(entry, set, false, avoid, now_us);
}

/* Keeps connections open to the homes in this daemon's availability zone. */
static void connect_own_zone(struct entry *entry)
{
	struct home_set *set;
	GHashTableIter it;

	g_hash_table_iter_init(&it, entry->home_sets);
	while (g_hash_table_iter_next(&it, NULL, (void **)&set)) {
		guint i;

		for (i = 0; !set->all_daemons && i < set->daemons->len; i++) {
			const struct roster_entry *daemon =
				home_daemon_at(entry, set, i);

			if (daemon->ip != entry->config.ip &&
			    !strcmp(daemon->availability_zone,
				    entry->config.availability_zone))
				connect_home(get_home_link(entry, daemon->ip));
		}
	}
}

void homes_tick(struct entry *entry)
{
	if (entry->home_sets_outdated)
		update_plan(entry);
	connect_own_zone(entry);
}

void homes_init(struct entry *entry)
{
	entry->home_sets = home_plan(NULL, 0, NULL, 0);
	entry->home_set_daemons =
		g_ptr_array_new_with_free_func(roster_entry_free);
	entry->homes = g_hash_table_new_full(NULL, NULL, NULL, home_link_free);
}

void homes_finish(struct entry *entry)
{
	g_hash_table_destroy(entry->homes);
	g_hash_table_destroy(entry->home_sets);
	g_ptr_array_free(entry->home_set_daemons, TRUE);
}
