#include "tables_fields.h"

#include <fnmatch.h>
#include <string.h>

struct check {
	struct tables *tables;
	const struct ini_document *routes;
	const struct ini_document *pools;
	GError **error;
};

static bool check_present(const struct check *c)
{
	const struct tables *t = c->tables;

	/* The state before the first change has two empty texts. */
	if (!t->routes->len && !t->pools->len)
		return true;
	if (!t->routes->len)
		return ini_refuse(c->routes, 1, c->error,
				  "the table has no route; add [route NAME] "
				  "for each service that callers use");
	if (!t->pools->len)
		return ini_refuse(c->pools, 1, c->error,
				  "the table has no pool; add [pool NAME] for "
				  "each pool that routes name");
	return true;
}

static bool join_route(const struct check *c, struct route *route)
{
	const struct pool *pool;
	guint i;

	for (i = 0; i < c->tables->pools->len; i++) {
		pool = tables_pool_at(c->tables, i);
		if (strcmp(pool->name, route->pool_name))
			continue;
		route->pool = i;
		if (!strcmp(pool->service, route->service))
			return true;
		return ini_refuse(c->routes, route->line, c->error,
				  "route \"%s\" has the service \"%s\" but "
				  "its pool \"%s\" has \"%s\"; name the same "
				  "service in both or another pool",
				  route->name, route->service, pool->name,
				  pool->service);
	}
	return ini_refuse(c->routes, route->line, c->error,
			  "route \"%s\" names the pool \"%s\", which does not "
			  "exist; add [pool %s] to the pools or name another",
			  route->name, route->pool_name, route->pool_name);
}

static bool check_used(const struct check *c, guint pool)
{
	const struct pool *p = tables_pool_at(c->tables, pool);
	guint i;

	for (i = 0; i < c->tables->routes->len; i++)
		if (tables_route_at(c->tables, i)->pool == pool)
			return true;
	return ini_refuse(c->pools, p->line, c->error,
			  "no route uses the pool \"%s\"; add a route to it "
			  "or remove it",
			  p->name);
}

/*
 * Whether @earlier matches every name that @later matches. Shown only for
 * equal patterns and where @earlier has no wildcard but "*": its literal
 * characters then stand for themselves in @later.
 */
static bool covers(const char *earlier, const char *later)
{
	if (!strcmp(earlier, later))
		return true;
	return !strpbrk(earlier, "?[") && !fnmatch(earlier, later, 0);
}

static bool pattern_covered(const struct tables *tables, guint route,
			    const char *pattern)
{
	const struct route *r = tables_route_at(tables, route);
	const struct route *earlier;
	guint i;
	size_t k;

	for (i = 0; i < route; i++) {
		earlier = tables_route_at(tables, i);
		if (strcmp(earlier->service, r->service))
			continue;
		for (k = 0; earlier->callers[k]; k++)
			if (covers(earlier->callers[k], pattern))
				return true;
	}
	return false;
}

static bool check_reachable(const struct check *c, guint route)
{
	const struct route *r = tables_route_at(c->tables, route);
	size_t i;

	for (i = 0; r->callers[i]; i++)
		if (!pattern_covered(c->tables, route, r->callers[i]))
			return true;
	return ini_refuse(c->routes, r->line, c->error,
			  "route \"%s\" never decides, since earlier routes "
			  "to \"%s\" match all of its callers; move it up or "
			  "remove it",
			  r->name, r->service);
}

static bool check_weight(const struct check *c, guint route)
{
	const struct route *r = tables_route_at(c->tables, route);
	const struct route *other;
	guint i;

	for (i = 0; i < route; i++) {
		other = tables_route_at(c->tables, i);
		if (other->pool != r->pool || strcmp(other->tenant, r->tenant))
			continue;
		if (other->weight != r->weight)
			return ini_refuse(c->routes, r->line, c->error,
					  "tenant \"%s\" has the weight %u "
					  "here and %u in route \"%s\" to the "
					  "same pool; give one weight",
					  r->tenant, r->weight, other->weight,
					  other->name);
	}
	return true;
}

static bool has_cluster(const struct pool *pool, const char *service,
			const char *cluster)
{
	return !strcmp(pool->service, service) &&
	       g_strv_contains((const gchar *const *)pool->clusters, cluster);
}

static bool check_same_database(const struct check *c, const struct pool *pool,
				const struct pool *other, const char *cluster)
{
	const char *key = NULL;

	if (pool->max_connections != other->max_connections)
		key = "max_connections";
	else if (pool->slots != other->slots)
		key = "slots";
	if (!key)
		return true;
	return ini_refuse(c->pools, pool->line, c->error,
			  "pools \"%s\" and \"%s\" share the cluster \"%s\" "
			  "but differ in %s; give the databases' value in both",
			  other->name, pool->name, cluster, key);
}

/* Pools up to @pool together stay within what one database accepts. */
static bool check_budget(const struct check *c, guint pool, const char *cluster)
{
	const struct pool *p = tables_pool_at(c->tables, pool), *other;
	unsigned sum = p->connections;
	guint i;

	for (i = 0; i < pool; i++) {
		other = tables_pool_at(c->tables, i);
		if (!has_cluster(other, p->service, cluster))
			continue;
		if (!check_same_database(c, p, other, cluster))
			return false;
		sum += other->connections;
	}
	if (sum <= p->max_connections)
		return true;
	return ini_refuse(c->pools, p->line, c->error,
			  "the pools of cluster \"%s\" have %u connections "
			  "together, more than its max_connections of %u; "
			  "lower \"connections\" of one of them",
			  cluster, sum, p->max_connections);
}

bool tables_check(struct tables *tables, const struct ini_document *routes,
		  const struct ini_document *pools, GError **error)
{
	const struct check c = { tables, routes, pools, error };
	char **cluster;
	guint i;

	if (!check_present(&c))
		return false;
	for (i = 0; i < tables->routes->len; i++)
		if (!join_route(&c, tables_route_at(tables, i)) ||
		    !check_reachable(&c, i) || !check_weight(&c, i))
			return false;
	for (i = 0; i < tables->pools->len; i++) {
		if (!check_used(&c, i))
			return false;
		cluster = tables_pool_at(tables, i)->clusters;
		for (; *cluster; cluster++)
			if (!check_budget(&c, i, *cluster))
				return false;
	}
	return true;
}
