#include "internal.h"

#include "clock.h"

#include <string.h>

/* Time for which a daemon that declined a statement of a service gets no
 * statements of that service. */
#define DECLINED_PAUSE_US (200 * 1000ll)
/* Largest number of other daemons in each part of the fleet, own availability
 * zone and the others, to which this one relays what it cannot run itself. */
#define MAX_PEERS 4
/* Upper limit of a daemon's share of the connections to one upstream. */
#define MAX_SHARE 6
/* The same if each connection serves one account only. */
#define MAX_ACCOUNTS_SHARE 24

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

static int compare_by_ip(const void *a, const void *b)
{
	const struct roster_entry *x = *(struct roster_entry *const *)a;
	const struct roster_entry *y = *(struct roster_entry *const *)b;

	return (x->ip > y->ip) - (x->ip < y->ip);
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
	g_ptr_array_sort(entry->home_set_daemons, compare_by_ip);
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
	quotas_homes_changed(entry);
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
	bool accounts = entry->table && entry->table->has_accounts;

	if (set && !set->all_daemons)
		homes = MAX(set->daemons->len, 1);
	return CLAMP(pool->max_connections / homes, 1,
		     accounts ? MAX_ACCOUNTS_SHARE : MAX_SHARE);
}

static void on_message(struct channel *ch, const Wire__Envelope *envelope)
{
	struct home_link *home = ch->data;

	if (envelope->body_case == WIRE__ENVELOPE__BODY_RELAY_ANSWER)
		relay_answered(home, envelope->relay_answer);
	else if (envelope->body_case == WIRE__ENVELOPE__BODY_QUOTA_GRANT)
		quotas_granted(home->entry, envelope->quota_grant);
	else
		ch->malformed++;
}

static void on_closed(struct channel *ch)
{
	struct home_link *home = ch->data;

	home->next_connect_us = clock_now_us() + CHANNEL_RETRY_INTERVAL_US;
	relay_home_lost(home);
}

static void on_opened(struct channel *ch)
{
	const struct home_link *home = ch->data;

	services_dispatch(home->entry);
}

static const struct channel_events home_events = {
	.opened = on_opened,
	.message = on_message,
	.closed = on_closed,
};

static void connect_home(struct home_link *home)
{
	channel_connect(&home->channel, home->entry->loop, home->ip,
			home->entry->config.port, &home_events, home,
			&home->next_connect_us);
	if (stream_is_open(&home->channel.stream))
		stream_set_account(&home->channel.stream,
				   &home->entry->usage.held_bytes);
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
	home->declined_at_us =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	home->sessions = g_hash_table_new(g_int64_hash, g_int64_equal);
	g_hash_table_insert(entry->homes, GUINT_TO_POINTER(ip), home);
	connect_home(home);
	return home;
}

static void home_link_free(void *data)
{
	struct home_link *home = data;

	channel_close(&home->channel);
	g_hash_table_destroy(home->declined_at_us);
	g_hash_table_destroy(home->sessions);
	g_free(home);
}

void home_note_declined(struct home_link *home, const char *service)
{
	int64_t now_us = clock_now_us();

	g_hash_table_replace(home->declined_at_us, g_strdup(service),
			     g_memdup2(&now_us, sizeof(now_us)));
}

static bool has_declined(const struct home_link *home, const char *service,
			 int64_t now_us)
{
	const int64_t *at_us =
		g_hash_table_lookup(home->declined_at_us, service);

	return at_us && now_us - *at_us < DECLINED_PAUSE_US;
}

static bool is_in_own_zone(const struct entry *entry,
			   const struct roster_entry *daemon)
{
	return !strcmp(daemon->availability_zone,
		       entry->config.availability_zone);
}

/* Replaces *@best by the link to @daemon if that is usable and has fewer
 * sessions of this daemon. */
static void choose_less_used(struct entry *entry, const char *service,
			     const struct roster_entry *daemon, int64_t now_us,
			     struct home_link **best)
{
	struct home_link *home = get_home_link(entry, daemon->ip);

	if (!channel_is_open(&home->channel)) {
		connect_home(home);
		return;
	}
	if (has_declined(home, service, now_us))
		return;
	if (!*best || g_hash_table_size(home->sessions) <
			      g_hash_table_size((*best)->sessions))
		*best = home;
}

/* The usable home with the fewest sessions of this daemon, either among those
 * in its own availability zone or among those in other zones. */
static struct home_link *least_used_home(struct entry *entry,
					 const char *service,
					 const struct home_set *set,
					 bool own_zone, int64_t now_us)
{
	struct home_link *best = NULL;
	guint offset = entry_random(entry);
	guint i;

	for (i = 0; i < set->daemons->len; i++) {
		const struct roster_entry *daemon = home_daemon_at(
			entry, set, (i + offset) % set->daemons->len);

		if (daemon->ip != entry->config.ip &&
		    is_in_own_zone(entry, daemon) == own_zone)
			choose_less_used(entry, service, daemon, now_us, &best);
	}
	return best;
}

/* Whether statements of an account go to one home of its own. */
static bool is_divided_by_account(const struct home_set *set,
				  const char *account)
{
	return account && set && !set->all_daemons && set->daemons->len;
}

/* Replaces *@best by @daemon's link if that can be used. Return: whether it
 * did */
static bool take_if_usable(struct entry *entry, const char *service,
			   const struct roster_entry *daemon, int64_t now_us,
			   struct home_link **best)
{
	struct home_link *home = get_home_link(entry, daemon->ip);

	if (!channel_is_open(&home->channel)) {
		connect_home(home);
		return false;
	}
	if (has_declined(home, service, now_us))
		return false;
	*best = home;
	return true;
}

struct ranked_home {
	uint64_t rank;
	/* NULL for this daemon */
	struct home_link *link;
};

/*
 * The home of the account: the one with the lowest rank among this daemon and
 * those that are connected. Homes in other zones count as well: fewer homes need
 * connections of the account then.
 * Return: false if there is none
 */
static bool home_of_account(struct entry *entry, const char *service,
			    const char *account, const struct home_set *set,
			    bool with_this_daemon, struct ranked_home *out)
{
	int64_t now_us = clock_now_us();
	bool found = false;
	guint i;

	for (i = 0; i < set->daemons->len; i++) {
		const struct roster_entry *daemon =
			home_daemon_at(entry, set, i);
		uint64_t rank = home_account_rank(account, daemon->name);
		struct home_link *link = NULL;
		bool usable = with_this_daemon;

		if (found && rank >= out->rank)
			continue;
		if (daemon->ip != entry->config.ip)
			usable = take_if_usable(entry, service, daemon, now_us,
						&link);
		if (!usable)
			continue;
		*out = (struct ranked_home){ rank, link };
		found = true;
	}
	return found;
}

static const struct roster_entry *first_home(const struct entry *entry,
					     const struct home_set *set,
					     const char *account)
{
	const struct roster_entry *first = NULL;
	uint64_t first_rank = UINT64_MAX;
	guint i;

	for (i = 0; i < set->daemons->len; i++) {
		const struct roster_entry *daemon =
			home_daemon_at(entry, set, i);
		uint64_t rank = home_account_rank(account, daemon->name);

		if (rank < first_rank) {
			first_rank = rank;
			first = daemon;
		}
	}
	return first;
}

GPtrArray *home_holders(struct entry *entry, const char *account)
{
	GPtrArray *holders = g_ptr_array_new();
	struct home_set *set;
	GHashTableIter it;

	g_hash_table_iter_init(&it, entry->home_sets);
	while (g_hash_table_iter_next(&it, NULL, (void **)&set)) {
		const struct roster_entry *daemon =
			set->all_daemons ? NULL :
					   first_home(entry, set, account);
		struct home_link *home =
			daemon ? g_hash_table_lookup(
					 entry->homes,
					 GUINT_TO_POINTER(daemon->ip)) :
				 NULL;

		if (home && channel_is_open(&home->channel))
			g_ptr_array_add(holders, home);
	}
	return holders;
}

unsigned home_nr_services(struct entry *entry, const char *account)
{
	struct home_set *set;
	GHashTableIter it;
	unsigned nr = 0;

	g_hash_table_iter_init(&it, entry->home_sets);
	while (g_hash_table_iter_next(&it, NULL, (void **)&set)) {
		const struct roster_entry *daemon =
			set->all_daemons ? NULL :
					   first_home(entry, set, account);

		nr += daemon && daemon->ip == entry->config.ip;
	}
	return nr;
}

bool home_runs_account(struct entry *entry, const char *service,
		       const char *account)
{
	const struct home_set *set =
		g_hash_table_lookup(entry->home_sets, service);
	struct ranked_home home;

	if (!home_is_local(entry, service))
		return false;
	return !is_divided_by_account(set, account) ||
	       !home_of_account(entry, service, account, set, true, &home) ||
	       !home.link;
}

struct home_link *home_choose(struct entry *entry, const char *service,
			      const char *account)
{
	const struct home_set *set =
		g_hash_table_lookup(entry->home_sets, service);
	int64_t now_us = clock_now_us();
	struct ranked_home ranked;
	struct home_link *home;

	if (!set || !set->daemons->len)
		return NULL;
	if (is_divided_by_account(set, account))
		return home_of_account(entry, service, account, set, false,
				       &ranked) ?
			       ranked.link :
			       NULL;
	home = least_used_home(entry, service, set, true, now_us);
	return home ? home :
		      least_used_home(entry, service, set, false, now_us);
}

/* Like least_used_home(), among the daemons that follow this one in the order
 * of the roster, so that each daemon has other peers. */
static struct home_link *least_used_peer(struct entry *entry,
					 const char *service, bool own_zone,
					 int64_t now_us)
{
	const GPtrArray *roster = entry->home_set_daemons;
	struct home_link *best = NULL;
	unsigned nr_peers = 0;
	guint i, first = 0;

	for (i = 0; i < roster->len; i++)
		if (((struct roster_entry *)roster->pdata[i])->ip <=
		    entry->config.ip)
			first = i + 1;
	for (i = 0; i < roster->len && nr_peers < MAX_PEERS; i++) {
		const struct roster_entry *daemon =
			roster->pdata[(first + i) % roster->len];

		if (daemon->ip == entry->config.ip ||
		    is_in_own_zone(entry, daemon) != own_zone)
			continue;
		nr_peers++;
		choose_less_used(entry, service, daemon, now_us, &best);
	}
	return best;
}

struct home_link *home_choose_peer(struct entry *entry, const char *service,
				   const char *account)
{
	const struct home_set *set =
		g_hash_table_lookup(entry->home_sets, service);
	int64_t now_us = clock_now_us();
	struct home_link *peer;

	if (!set || !set->all_daemons)
		return home_choose(entry, service, account);
	peer = least_used_peer(entry, service, true, now_us);
	return peer ? peer : least_used_peer(entry, service, false, now_us);
}

/*
 * Keeps connections open to the homes in this daemon's availability zone. Those
 * in other zones are dialled on first use: with a hundred daemons that dialled
 * all homes at once, none got its connections before their time-outs.
 */
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
			    is_in_own_zone(entry, daemon))
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
