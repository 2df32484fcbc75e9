#include "tables_fields.h"

#include <fnmatch.h>
#include <string.h>

struct check_context {
	struct tables *tables;
	const struct ini_document *routes;
	const struct ini_document *pools;
	GError **error;
};

static bool check_not_empty(const struct check_context *ctx)
{
	const struct tables *t = ctx->tables;

	/* Both tables are empty before the first change. */
	if (!t->routes->len && !t->pools->len)
		return true;
	if (!t->routes->len)
		return ini_set_error(ctx->routes, 1, ctx->error,
				     "the table has no route; add [route NAME] "
				     "for each service that callers use");
	if (!t->pools->len)
		return ini_set_error(
			ctx->pools, 1, ctx->error,
			"the table has no pool; add [pool NAME] for "
			"each pool that routes name");
	return true;
}

static bool resolve_route_pool(const struct check_context *ctx,
			       struct route *route)
{
	const struct pool *pool;
	guint i;

	for (i = 0; i < ctx->tables->pools->len; i++) {
		pool = tables_pool_at(ctx->tables, i);
		if (strcmp(pool->name, route->pool_name))
			continue;
		route->pool = i;
		if (!strcmp(pool->service, route->service))
			return true;
		return ini_set_error(
			ctx->routes, route->line, ctx->error,
			"route \"%s\" has the service \"%s\" but "
			"its pool \"%s\" has \"%s\"; name the same "
			"service in both or another pool",
			route->name, route->service, pool->name, pool->service);
	}
	return ini_set_error(
		ctx->routes, route->line, ctx->error,
		"route \"%s\" names the pool \"%s\", which does not "
		"exist; add [pool %s] to the pools or name another",
		route->name, route->pool_name, route->pool_name);
}

static bool check_pool_is_used(const struct check_context *ctx, guint pool)
{
	const struct pool *p = tables_pool_at(ctx->tables, pool);
	guint i;

	for (i = 0; i < ctx->tables->routes->len; i++)
		if (tables_route_at(ctx->tables, i)->pool == pool)
			return true;
	return ini_set_error(ctx->pools, p->line, ctx->error,
			     "no route uses the pool \"%s\"; add a route to it "
			     "or remove it",
			     p->name);
}

/*
 * Whether @earlier is known to match every name that @later matches: if the
 * patterns are equal, or if @earlier has no wildcard other than "*" and matches
 * the text of @later. The second case assumes that the literal characters of
 * @earlier match literal characters of @later.
 */
static bool pattern_covers(const char *earlier, const char *later)
{
	if (!strcmp(earlier, later))
		return true;
	return !strpbrk(earlier, "?[") && !fnmatch(earlier, later, 0);
}

static bool is_covered_by_earlier_route(const struct tables *tables,
					guint route, const char *pattern)
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
			if (pattern_covers(earlier->callers[k], pattern))
				return true;
	}
	return false;
}

static bool check_reachable(const struct check_context *ctx, guint route)
{
	const struct route *r = tables_route_at(ctx->tables, route);
	size_t i;

	for (i = 0; r->callers[i]; i++)
		if (!is_covered_by_earlier_route(ctx->tables, route,
						 r->callers[i]))
			return true;
	return ini_set_error(
		ctx->routes, r->line, ctx->error,
		"route \"%s\" never decides, since earlier routes "
		"to \"%s\" match all of its callers; move it up or "
		"remove it",
		r->name, r->service);
}

static bool check_weight(const struct check_context *ctx, guint route)
{
	const struct route *r = tables_route_at(ctx->tables, route);
	const struct route *other;
	guint i;

	for (i = 0; i < route; i++) {
		other = tables_route_at(ctx->tables, i);
		if (other->pool != r->pool || strcmp(other->tenant, r->tenant))
			continue;
		if (other->weight != r->weight)
			return ini_set_error(
				ctx->routes, r->line, ctx->error,
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

static bool check_shared_cluster(const struct check_context *ctx,
				 const struct pool *pool,
				 const struct pool *other, const char *cluster)
{
	const char *key = NULL;

	if (pool->max_connections != other->max_connections)
		key = "max_connections";
	else if (pool->slots != other->slots)
		key = "slots";
	if (!key)
		return true;
	return ini_set_error(
		ctx->pools, pool->line, ctx->error,
		"pools \"%s\" and \"%s\" share the cluster \"%s\" "
		"but differ in %s; give the databases' value in both",
		other->name, pool->name, cluster, key);
}

/*
 * Checks that the pools up to @pool which share @cluster do not exceed the
 * connection limit of one database together.
 */
static bool check_connection_limit(const struct check_context *ctx, guint pool,
				   const char *cluster)
{
	const struct pool *p = tables_pool_at(ctx->tables, pool), *other;
	unsigned total = p->connections;
	guint i;

	for (i = 0; i < pool; i++) {
		other = tables_pool_at(ctx->tables, i);
		if (!has_cluster(other, p->service, cluster))
			continue;
		if (!check_shared_cluster(ctx, p, other, cluster))
			return false;
		total += other->connections;
	}
	if (total <= p->max_connections)
		return true;
	return ini_set_error(ctx->pools, p->line, ctx->error,
			     "the pools of cluster \"%s\" have %u connections "
			     "together, more than its max_connections of %u; "
			     "lower \"connections\" of one of them",
			     cluster, total, p->max_connections);
}

bool tables_check(struct tables *tables, const struct ini_document *routes,
		  const struct ini_document *pools, GError **error)
{
	const struct check_context ctx = { tables, routes, pools, error };
	char **cluster;
	guint i;

	if (!check_not_empty(&ctx))
		return false;
	for (i = 0; i < tables->routes->len; i++)
		if (!resolve_route_pool(&ctx, tables_route_at(tables, i)) ||
		    !check_reachable(&ctx, i) || !check_weight(&ctx, i))
			return false;
	for (i = 0; i < tables->pools->len; i++) {
		if (!check_pool_is_used(&ctx, i))
			return false;
		cluster = tables_pool_at(tables, i)->clusters;
		for (; *cluster; cluster++)
			if (!check_connection_limit(&ctx, i, *cluster))
				return false;
	}
	return true;
}
