#include "home_policy.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* Planning state of one daemon: the services assigned to it, and its rank. */
struct candidate {
	unsigned daemon;
	unsigned services;
	uint64_t rank;
};

static void home_set_free(void *data)
{
	struct home_set *set = data;

	g_array_free(set->daemons, TRUE);
	g_free(set);
}

static uint64_t rank_of(const char *service, const char *daemon)
{
	return XXH64(daemon, strlen(daemon),
		     XXH64(service, strlen(service), 0));
}

uint64_t home_account_rank(const char *account, const char *daemon)
{
	return rank_of(account, daemon);
}

static int compare_rank(const void *a, const void *b)
{
	const struct candidate *x = a;
	const struct candidate *y = b;

	if (x->rank != y->rank)
		return x->rank < y->rank ? -1 : 1;
	return (x->daemon > y->daemon) - (x->daemon < y->daemon);
}

static int compare_service(const void *a, const void *b)
{
	return strcmp(((const struct home_service *)a)->name,
		      ((const struct home_service *)b)->name);
}

static int compare_name(const void *a, const void *b, void *data)
{
	const struct home_daemon *daemons = data;

	return strcmp(daemons[*(const unsigned *)a].name,
		      daemons[*(const unsigned *)b].name);
}

/* Map of zone name to a GArray of struct candidate, ordered by daemon name. */
static GHashTable *group_by_zone(const struct home_daemon *daemons, unsigned nr)
{
	GHashTable *zones = g_hash_table_new_full(
		g_str_hash, g_str_equal, NULL, (GDestroyNotify)g_array_unref);
	g_autofree unsigned *order = g_new(unsigned, nr);
	unsigned i;

	for (i = 0; i < nr; i++)
		order[i] = i;
	g_qsort_with_data(order, (int)nr, sizeof(*order), compare_name,
			  (void *)daemons);
	for (i = 0; i < nr; i++) {
		const char *zone = daemons[order[i]].availability_zone;
		struct candidate entry = { .daemon = order[i] };
		GArray *list = g_hash_table_lookup(zones, zone);

		if (!list) {
			list = g_array_new(FALSE, FALSE, sizeof(entry));
			g_hash_table_insert(zones, (char *)zone, list);
		}
		g_array_append_val(list, entry);
	}
	return zones;
}

static unsigned divide_round_up(unsigned a, unsigned b)
{
	return (a + b - 1) / b;
}

static unsigned homes_in_zone(const struct home_service *service,
			      unsigned zones, unsigned nr_services,
			      unsigned nr_daemons)
{
	unsigned homes = MIN(service->connections, HOME_CONNECTIONS_MAX) /
			 HOME_CONNECTIONS;

	return MIN(divide_round_up(MAX(homes, 1), zones),
		   divide_round_up(nr_daemons, nr_services));
}

/* Picks the highest ranked daemons below the limit of services per daemon. */
static void choose_homes(GArray *zone, const char *service, unsigned homes,
			 unsigned max_services,
			 const struct home_daemon *daemons, GArray *out)
{
	struct candidate *c = (struct candidate *)(void *)zone->data;
	unsigned i, chosen = 0;

	for (i = 0; i < zone->len; i++)
		c[i].rank = rank_of(service, daemons[c[i].daemon].name);
	qsort(c, zone->len, sizeof(*c), compare_rank);
	for (i = 0; i < zone->len && chosen < homes; i++) {
		if (c[i].services >= max_services)
			continue;
		c[i].services++;
		chosen++;
		g_array_append_val(out, c[i].daemon);
	}
}

static struct home_set *plan_service(GHashTable *zones,
				     const struct home_service *service,
				     unsigned nr_services,
				     const struct home_daemon *daemons,
				     unsigned nr_daemons)
{
	struct home_set *set = g_new0(struct home_set, 1);
	GHashTableIter iter;
	GArray *zone;

	set->daemons = g_array_new(FALSE, FALSE, sizeof(unsigned));
	if (service->connections >= HOME_DIRECT_CONNECTIONS * nr_daemons) {
		set->all_daemons = true;
		return set;
	}
	g_hash_table_iter_init(&iter, zones);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&zone)) {
		unsigned homes = homes_in_zone(service,
					       g_hash_table_size(zones),
					       nr_services, zone->len);

		choose_homes(zone, service->name, homes,
			     divide_round_up(nr_services * homes, zone->len),
			     daemons, set->daemons);
	}
	return set;
}

GHashTable *home_plan(const struct home_daemon *daemons, unsigned nr_daemons,
		      const struct home_service *services, unsigned nr_services)
{
	GHashTable *plan = g_hash_table_new_full(g_str_hash, g_str_equal,
						 g_free, home_set_free);
	GHashTable *zones = group_by_zone(daemons, nr_daemons);
	struct home_service *sorted =
		g_memdup2(services, sizeof(*services) * nr_services);
	unsigned i;

	if (nr_services)
		qsort(sorted, nr_services, sizeof(*sorted), compare_service);
	for (i = 0; i < nr_services && nr_daemons; i++)
		g_hash_table_insert(plan, g_strdup(sorted[i].name),
				    plan_service(zones, &sorted[i], nr_services,
						 daemons, nr_daemons));
	g_free(sorted);
	g_hash_table_destroy(zones);
	return plan;
}
