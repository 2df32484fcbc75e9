#include "control_view.h"

#include <string.h>

/*
 * Connections to each database that stay free for the control leader, which
 * asks replicas for their position and promotes them.
 */
#define CONTROL_CONNECTIONS 1

static unsigned budget_of(const struct tables *tables,
			  const Wire__UpstreamReport *upstream)
{
	unsigned most = G_MAXUINT;
	unsigned sum = 0;
	guint i;

	for (i = 0; i < tables->pools->len; i++) {
		const struct pool *p =
			&g_array_index(tables->pools, struct pool, i);

		if (strcmp(p->service, upstream->service) ||
		    !g_strv_contains((const gchar *const *)p->clusters,
				     upstream->cluster))
			continue;
		sum += p->connections;
		most = MIN(most, p->max_connections);
	}
	if (!sum)
		return 0;
	return MIN(sum, MAX(most, CONTROL_CONNECTIONS) - CONTROL_CONNECTIONS);
}

static const Wire__UpstreamReport *report_of(const struct control_daemon *d,
					     const char *upstream)
{
	size_t i;

	for (i = 0; d && d->last && i < d->last->n_upstreams; i++)
		if (!strcmp(d->last->upstreams[i]->name, upstream))
			return d->last->upstreams[i];
	return NULL;
}

static int by_name(const void *a, const void *b)
{
	return strcmp(*(char *const *)a, *(char *const *)b);
}

/* Daemons that report the upstream or hold a share of it, by name. */
static GPtrArray *parties(const struct control_facts *facts,
			  const char *upstream)
{
	GHashTable *shares =
		g_hash_table_lookup(facts->state->shares, upstream);
	GPtrArray *names = g_ptr_array_new();
	GHashTableIter it;
	void *name;
	void *p;

	g_hash_table_iter_init(&it, facts->daemons);
	while (g_hash_table_iter_next(&it, &name, &p))
		if (report_of(p, upstream) &&
		    control_state_member(facts->state, name) &&
		    (lease_table_is_live(facts->leases, name, facts->now_us) ||
		     (shares && g_hash_table_contains(shares, name))))
			g_ptr_array_add(names, name);
	if (shares) {
		g_hash_table_iter_init(&it, shares);
		while (g_hash_table_iter_next(&it, &name, NULL))
			if (!g_ptr_array_find_with_equal_func(
				    names, name, g_str_equal, NULL))
				g_ptr_array_add(names, name);
	}
	/* In one order on every run, so that plans do not depend on hashing. */
	g_ptr_array_sort(names, by_name);
	return names;
}

static struct budget_demand demand_of(const struct control_facts *facts,
				      const char *name,
				      const Wire__UpstreamReport *report,
				      const struct budget_share *share,
				      int64_t linger_us)
{
	struct budget_demand d = {
		.open = share->connections,
		.alive =
			lease_table_is_live(facts->leases, name, facts->now_us),
	};

	/* Until it has taken in the target it may open up to its share. */
	if (report && report->share <= share->target)
		d.open = report->open_connections;
	if (report)
		d.wanted = report->wanted_connections;
	d.presumed_closed =
		!d.alive &&
		facts->now_us >
			lease_table_expires_us(facts->leases, name) + linger_us;
	return d;
}

/*
 * A live daemon whose last change it has not taken in yet is left alone: a
 * grant with an earlier, larger share may still be on its way to it.
 */
static bool settled(const Wire__UpstreamReport *report,
		    const struct budget_share *share,
		    const struct budget_demand *demand)
{
	return !demand->alive || !report ||
	       report->share == MIN(share->connections, share->target);
}

/* A daemon without requests wants its probe connection and a warm spare. */
#define IDLE_WANTED 2

/*
 * Warm spares count for nothing where the budget does not reach for all: a
 * daemon with requests would otherwise wait for ever for the spare of one
 * that has none.
 */
static void ration_spares(struct budget_demand *demands, unsigned nr,
			  unsigned budget)
{
	unsigned sum = 0, i;

	for (i = 0; i < nr; i++)
		sum += demands[i].alive ? demands[i].wanted : 0;
	for (i = 0; i < nr && sum > budget; i++)
		if (demands[i].wanted == IDLE_WANTED)
			demands[i].wanted = 1;
}

/*
 * Leaves out the changes of unsettled daemons; what remains of the plan must
 * still stay within the budget.
 */
static void keep_safe(const struct budget_change *changes, unsigned nr,
		      const struct budget_share *shares, const bool *is_settled,
		      unsigned sum, unsigned budget, const GPtrArray *names,
		      GArray *out)
{
	unsigned i;

	for (i = 0; i < nr; i++) {
		const struct budget_change *c = &changes[i];
		unsigned before = shares[c->daemon].connections;
		struct control_share share = { .share = c->share };

		if (!is_settled[c->daemon] ||
		    (c->share.connections > before &&
		     sum - before + c->share.connections > budget))
			continue;
		sum = sum - before + c->share.connections;
		share.daemon = g_strdup(names->pdata[c->daemon]);
		g_array_append_val(out, share);
	}
}

void control_view_shares(const struct control_facts *facts,
			 const Wire__UpstreamReport *upstream,
			 int64_t linger_us, GArray *out)
{
	unsigned budget = budget_of(&facts->state->tables, upstream);
	GPtrArray *names = parties(facts, upstream->name);
	unsigned nr = names->len;
	g_autofree struct budget_share *shares =
		g_new0(struct budget_share, nr);
	g_autofree struct budget_demand *demands =
		g_new0(struct budget_demand, nr);
	g_autofree struct budget_change *changes =
		g_new0(struct budget_change, nr);
	g_autofree bool *is_settled = g_new0(bool, nr);
	unsigned sum = 0;
	unsigned i;

	for (i = 0; i < nr; i++) {
		const char *name = names->pdata[i];
		const Wire__UpstreamReport *report =
			report_of(g_hash_table_lookup(facts->daemons, name),
				  upstream->name);

		control_state_share(facts->state, name, upstream->name,
				    &shares[i].connections, &shares[i].target);
		demands[i] =
			demand_of(facts, name, report, &shares[i], linger_us);
		is_settled[i] = settled(report, &shares[i], &demands[i]);
		sum += shares[i].connections;
	}
	ration_spares(demands, nr, budget);
	nr = budget_plan(budget, shares, demands, nr, changes);
	keep_safe(changes, nr, shares, is_settled, sum, budget, names, out);
	g_ptr_array_free(names, TRUE);
}
