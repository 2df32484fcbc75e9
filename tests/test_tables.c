#include "error.h"
#include "tables.h"
#include "test_main.h"

#include <gsl/gsl_rng.h>
#include <jansson.h>
#include <string.h>

static const char base_routes[] = "# who reaches what\n"
				  "[route dispatchers]\n"
				  "service = grindplan-db\n"
				  "callers = dispatcher-*, foreman-?\n"
				  "tenant = lakeshore\n"
				  "weight = 4\n"
				  "pool = grindplan\n"
				  "\n"
				  "[route railroads]\n"
				  "service = grindplan-db\n"
				  "callers = *\n"
				  "tenant = railroads\n"
				  "pool = reports\n";

static const char base_pools[] = "[pool grindplan]\n"
				 "service = grindplan-db\n"
				 "clusters = west, central\n"
				 "slots = 2\n"
				 "connections = 10\n"
				 "max_connections = 16\n"
				 "max_replica_lag = 250ms\n"
				 "[pool reports]\n"
				 "service = grindplan-db\n"
				 "clusters = west\n"
				 "slots = 2\n"
				 "connections = 6\n"
				 "max_connections = 16\n";

static char *edited(const char *base, const char *find, const char *replace)
{
	char **parts = g_strsplit(base, find, 2);
	char *text;

	ck_assert_msg(parts[0] && parts[1], "base lacks %s", find);
	text = g_strconcat(parts[0], replace, parts[1], NULL);
	g_strfreev(parts);
	return text;
}

static bool parse(struct tables *t, const char *routes, const char *pools,
		  GError **error)
{
	return tables_parse(t, "r.ini", routes, "p.ini", pools, error);
}

/* Guards against values stored in the wrong member, and wrong defaults. */
START_TEST(test_values)
{
	const struct route *route;
	const struct pool *pool;
	GError *error = NULL;
	struct tables t;

	tables_init(&t);
	ck_assert(parse(&t, base_routes, base_pools, &error));
	ck_assert_uint_eq(t.routes->len, 2);
	ck_assert_uint_eq(t.pools->len, 2);
	route = &g_array_index(t.routes, struct route, 0);
	ck_assert_str_eq(route->name, "dispatchers");
	ck_assert_str_eq(route->service, "grindplan-db");
	ck_assert_str_eq(route->callers[1], "foreman-?");
	ck_assert_ptr_null(route->callers[2]);
	ck_assert_str_eq(route->tenant, "lakeshore");
	ck_assert_uint_eq(route->weight, 4);
	ck_assert_int_eq(route->line, 2);
	ck_assert_uint_eq((&g_array_index(t.routes, struct route, 1))->weight,
			  1);
	pool = tables_route_pool(&t, route);
	ck_assert_str_eq(pool->name, "grindplan");
	ck_assert_str_eq(pool->clusters[1], "central");
	ck_assert_uint_eq(pool->slots, 2);
	ck_assert_uint_eq(pool->connections, 10);
	ck_assert_uint_eq(pool->max_connections, 16);
	ck_assert_uint_eq(pool->ack_replicas, 1);
	ck_assert_int_eq(pool->max_replica_lag_us, 250000);
	ck_assert_uint_eq(pool->max_queue, 200);
	ck_assert_int_eq(pool->request_timeout_us, 5000000);
	ck_assert_str_eq(t.routes_text, base_routes);
	ck_assert_str_eq(t.pools_text, base_pools);
	tables_finish(&t);
}
END_TEST

/*
 * struct refusal - an edit that makes the tables invalid
 * @in_pools: whether the edit is made to the pools file
 * @place: file and line of the error message
 * @says: part of the error message
 * @remedy: part of the remedy in the error message
 */
static const struct refusal {
	bool in_pools;
	const char *find;
	const char *replace;
	const char *place;
	const char *says;
	const char *remedy;
} refusals[] = {
	/* references by name */
	{ false, "pool = grindplan", "pool = grind",
	  "r.ini:2: ", "does not exist", "add [pool grind]" },
	{ false, "pool = reports", "pool = grindplan",
	  "p.ini:8: ", "no route uses the pool \"reports\"", "add a route" },
	{ true, "service = grindplan-db", "service = other-db", "r.ini:2: ",
	  "has the service \"grindplan-db\"", "name the same service" },
	/* connection limits */
	{ true, "connections = 6", "connections = 7",
	  "p.ini:8: ", "17 connections together", "lower \"connections\"" },
	{ true, "connections = 10", "connections = 17",
	  "p.ini:1: ", "17 connections together", "lower \"connections\"" },
	{ true, "max_connections = 16", "max_connections = 20", "p.ini:8: ",
	  "differ in max_connections", "give the databases' value" },
	{ true, "slots = 2", "slots = 3", "p.ini:8: ", "differ in slots",
	  "give the databases' value" },
	{ true, "connections = 6", "connections = 1",
	  "p.ini:12: ", "cannot be the value", "from 2 to" },
	{ true, "slots = 2", "slots = 0", "p.ini:4: ", "cannot be the value",
	  "from 1 to" },
	/* names */
	{ false, "[route railroads]", "[route dispatchers]",
	  "r.ini:9: ", "repeats the one in line 2", "rename" },
	{ true, "[pool reports]", "[pool grindplan]",
	  "p.ini:8: ", "repeats the one in line 1", "rename" },
	{ false, "[route railroads]", "[route  railroads]",
	  "r.ini:9: ", "no heading of this table", "write [route NAME]" },
	{ false, "[route railroads]", "[pool railroads]",
	  "r.ini:9: ", "no heading of this table", "write [route NAME]" },
	{ true, "[pool reports]", "[reports]",
	  "p.ini:8: ", "no heading of this table", "write [pool NAME]" },
	{ true, "[pool reports]",
	  "[pool r123456789012345678901234567890123456789o]",
	  "p.ini:8: ", "no heading of this table", "1 to 40" },
	{ true, "clusters = west, central", "clusters = west, west",
	  "p.ini:3: ", "cannot be the value", "different names" },
	{ true, "clusters = west, central", "clusters = west central",
	  "p.ini:3: ", "cannot be the value", "different names" },
	{ false, "service = grindplan-db", "service = grindplan.db",
	  "r.ini:3: ", "cannot be the value", "letters, digits" },
	/* keys */
	{ false, "weight = 4", "wieght = 4", "r.ini:6: ", "not known",
	  "use one of: service, callers" },
	{ false, "weight = 4", "weight = 4\nweight = 4",
	  "r.ini:7: ", "repeats the one in line 6", "remove one" },
	{ false, "tenant = lakeshore\n", "",
	  "r.ini:2: ", "lacks the key \"tenant\"", "give 1 to 40" },
	{ true, "slots = 2\n", "", "p.ini:1: ", "lacks the key \"slots\"",
	  "give a whole number" },
	{ false, "# who", "who", "r.ini:1: ", "no heading, entry or comment",
	  "KEY = VALUE" },
	/* values */
	{ false, "weight = 4", "weight = 1001",
	  "r.ini:6: ", "cannot be the value", "from 1 to 1000" },
	{ false, "weight = 4", "weight = 4.5",
	  "r.ini:6: ", "cannot be the value", "whole number" },
	{ true, "250ms", "250", "p.ini:7: ", "cannot be the value",
	  "duration with its unit" },
	{ true, "250ms", "250msec", "p.ini:7: ", "cannot be the value",
	  "duration with its unit" },
	{ true, "max_replica_lag = 250ms", "request_timeout = 0s",
	  "p.ini:7: ", "cannot be the value", "from 1ms" },
	{ true, "max_replica_lag = 250ms", "ack_replicas = 9",
	  "p.ini:7: ", "cannot be the value", "from 0 to 8" },
	{ true, "max_replica_lag = 250ms", "max_queue = 0",
	  "p.ini:7: ", "cannot be the value", "from 1 to" },
	/* callers */
	{ false, "callers = *", "callers =", "r.ini:11: ", "has no value",
	  "KEY = VALUE" },
	{ false, "callers = *", "callers = ,",
	  "r.ini:11: ", "cannot be the value", "none of them empty" },
	{ false, ", foreman-?", ", , foreman-?",
	  "r.ini:4: ", "cannot be the value", "none of them empty" },
	{ false, "foreman-?", "dispatcher-*",
	  "r.ini:4: ", "cannot be the value", "different patterns" },
	{ false, "foreman-?", "foreman-[ab", "r.ini:4: ", "cannot be the value",
	  "patterns" },
	{ false, "callers = *", "callers = dispatcher-*, dispatcher-9?",
	  "r.ini:9: ", "never decides", "move it up" },
	{ false, "callers = dispatcher-*, foreman-?", "callers = *",
	  "r.ini:9: ", "never decides", "move it up" },
	{ false, "tenant = railroads\npool = reports",
	  "tenant = lakeshore\npool = grindplan",
	  "r.ini:9: ", "has the weight 1 here and 4", "give one weight" },
	{ false, "lakeshore", "\xff", "r.ini:5: ", "not valid UTF-8",
	  "save the file" },
};

/*
 * Guards against invalid tables being accepted, an error message without file,
 * line or remedy, and a refused change that modifies the tables.
 */
START_TEST(test_refusals)
{
	GError *error = NULL;
	struct tables t;
	char *text;
	size_t i;

	tables_init(&t);
	t.version = 7;
	ck_assert(parse(&t, base_routes, base_pools, &error));
	for (i = 0; i < G_N_ELEMENTS(refusals); i++) {
		const struct refusal *r = &refusals[i];

		text = edited(r->in_pools ? base_pools : base_routes, r->find,
			      r->replace);
		ck_assert_msg(!parse(&t, r->in_pools ? base_routes : text,
				     r->in_pools ? text : base_pools, &error),
			      "accepted: %s", r->replace);
		ck_assert(g_error_matches(error, CW_ERROR, CW_ERROR_TABLES));
		ck_assert_msg(g_str_has_prefix(error->message, r->place),
			      "%s lacks %s", error->message, r->place);
		ck_assert_msg(strstr(error->message, r->says) &&
				      strstr(error->message, r->remedy),
			      "%s lacks \"%s\" or \"%s\"", error->message,
			      r->says, r->remedy);
		g_clear_error(&error);
		g_free(text);
		ck_assert_uint_eq(t.version, 7);
		ck_assert_uint_eq(t.routes->len, 2);
		ck_assert_str_eq(t.routes_text, base_routes);
	}
	tables_finish(&t);
}
END_TEST

/* Valid tables that are similar to refused ones. */
static const struct acceptance {
	const char *routes;
	const char *pools;
} acceptances[] = {
	/* the same callers and cluster name in different services */
	{ "[route a]\nservice = s\ncallers = *\ntenant = t\npool = p\n"
	  "[route b]\nservice = u\ncallers = *\ntenant = t\nweight = 2\n"
	  "pool = q\n",
	  "[pool p]\nservice = s\nclusters = c\nslots = 1\nconnections = 4\n"
	  "max_connections = 4\n"
	  "[pool q]\nservice = u\nclusters = c\nslots = 2\nconnections = 9\n"
	  "max_connections = 9\n" },
	/* pools of one service without a common cluster; "y" has two routes */
	{ "[route a]\nservice = s\ncallers = x, y\ntenant = t\npool = p\n"
	  "[route b]\nservice = s\ncallers = y, z\ntenant = t\npool = q\n",
	  "[pool p]\nservice = s\nclusters = c, d\nslots = 1\n"
	  "connections = 4\nmax_connections = 4\n"
	  "[pool q]\nservice = s\nclusters = e\nslots = 2\nconnections = 9\n"
	  "max_connections = 9\n" },
};

/* Guards against refusing valid tables. */
START_TEST(test_acceptances)
{
	GError *error = NULL;
	struct tables t;
	size_t i;

	tables_init(&t);
	for (i = 0; i < G_N_ELEMENTS(acceptances); i++)
		ck_assert_msg(parse(&t, acceptances[i].routes,
				    acceptances[i].pools, &error),
			      "%s", error ? error->message : "");
	tables_finish(&t);
}
END_TEST

/*
 * Guards against truncated files that would remove all routes or pools, and
 * against tables that do not fit in one bus frame.
 */
START_TEST(test_whole_texts)
{
	char *comment = g_strnfill(1000, '#'), *long_text;
	GString *text = g_string_new(base_routes);
	GError *error = NULL;
	struct tables t;

	tables_init(&t);
	ck_assert(parse(&t, "", "", &error));
	ck_assert(!parse(&t, "# all gone\n", base_pools, &error));
	ck_assert_ptr_nonnull(strstr(error->message, "r.ini:1: the table has "
						     "no route"));
	g_clear_error(&error);
	ck_assert(!parse(&t, base_routes, "", &error));
	ck_assert_ptr_nonnull(strstr(error->message, "p.ini:1: the table has "
						     "no pool"));
	g_clear_error(&error);
	while (text->len <= 64 * 1024)
		g_string_append_printf(text, "%s\n", comment);
	long_text = g_strndup(text->str, 64 * 1024);
	ck_assert(parse(&t, long_text, base_pools, &error));
	ck_assert(!parse(&t, text->str, base_pools, &error));
	ck_assert_ptr_nonnull(
		strstr(error->message, "r.ini:1: the table has "));
	g_clear_error(&error);
	g_free(long_text);
	g_free(comment);
	g_string_free(text, TRUE);
	tables_finish(&t);
}
END_TEST

static const struct join {
	const char *user;
	const char *database;
	const char *route;
	const char *cluster;
	const char *says;
} joins[] = {
	{ "dispatcher-1", "grindplan-db.west", "dispatchers", "west" },
	{ "dispatcher-1", "grindplan-db.central", "dispatchers", "central" },
	{ "foreman-1", "grindplan-db.west", "dispatchers", "west" },
	{ "foreman-12", "grindplan-db.west", "railroads", "west" },
	{ "bnsf", "grindplan-db", "railroads", "west" },
	{ "bnsf", "grindplan-db.central", NULL, NULL, "has no cluster" },
	{ "dispatcher-1", "grindplan-db", NULL, NULL, "several clusters" },
	{ "dispatcher-1", "grindplan-db.", NULL, NULL, "has no cluster" },
	{ "dispatcher-1", "grindplan-dbx.west", NULL, NULL,
	  "no route matches" },
	{ "dispatcher-1", "grindplan", NULL, NULL, "no route matches" },
	{ "dispatcher-1", "", NULL, NULL, "no route matches" },
};

/* Guards against callers reaching a service or cluster they may not use. */
START_TEST(test_join)
{
	const struct route *route;
	GError *error = NULL;
	const char *cluster;
	struct tables t;
	size_t i;

	tables_init(&t);
	ck_assert(parse(&t, base_routes, base_pools, &error));
	for (i = 0; i < G_N_ELEMENTS(joins); i++) {
		route = tables_find_route(&t, joins[i].user, joins[i].database,
					  &cluster, &error);
		if (joins[i].route) {
			ck_assert_msg(route != NULL, "%s to %s", joins[i].user,
				      joins[i].database);
			ck_assert_str_eq(route->name, joins[i].route);
			ck_assert_str_eq(cluster, joins[i].cluster);
			continue;
		}
		ck_assert_ptr_null(route);
		ck_assert(g_error_matches(error, CW_ERROR, CW_ERROR_TABLES));
		ck_assert_msg(strstr(error->message, joins[i].says) != NULL,
			      "%s", error->message);
		g_clear_error(&error);
	}
	tables_finish(&t);
}
END_TEST

static char *diff(const char *routes, const char *pools)
{
	GString *out = g_string_new(NULL);
	GError *error = NULL;
	struct tables a, b;

	tables_init(&a);
	tables_init(&b);
	ck_assert(parse(&a, base_routes, base_pools, &error));
	ck_assert_msg(parse(&b, routes, pools, &error), "%s",
		      error ? error->message : "");
	tables_diff(&a, &b, out);
	tables_finish(&a);
	tables_finish(&b);
	return g_string_free(out, FALSE);
}

/* Guards against a change that is not shown to the operator. */
START_TEST(test_diff)
{
	char *pools = edited(base_pools, "connections = 6", "connections = 5");
	char *routes = edited(base_routes, "[route railroads]", "[route r2]");
	char *text = diff(base_routes, base_pools);

	ck_assert_str_eq(text, "");
	g_free(text);
	text = diff(routes, pools);
	ck_assert_str_eq(text,
			 "route railroads: removed\n"
			 "route r2: added: service = grindplan-db; callers = "
			 "*; tenant = railroads; weight = 1; pool = reports\n"
			 "pool reports: connections = 6 -> 5\n");
	g_free(text);
	g_free(routes);
	routes = g_strconcat(strstr(base_routes, "[route railroads]"),
			     strstr(base_routes, "[route dispatchers]"), NULL);
	*strstr(strstr(routes, "pool = grindplan"), "[route railroads]") = '\0';
	g_free(pools);
	pools = edited(routes, "callers = *", "callers = up-*");
	text = diff(pools, base_pools);
	ck_assert_str_eq(text,
			 "route railroads: callers = * -> up-*\n"
			 "route order: dispatchers, railroads -> railroads, "
			 "dispatchers\n");
	g_free(text);
	g_free(routes);
	g_free(pools);
}
END_TEST

/* Guards against JSON that other programs cannot read. */
START_TEST(test_json)
{
	GString *out = g_string_new(NULL);
	json_t *object, *route, *pool;
	struct tables t;

	tables_init(&t);
	t.version = 12;
	ck_assert(parse(&t, base_routes, base_pools, NULL));
	tables_print_json(&t, out);
	object = json_loads(out->str, 0, NULL);
	ck_assert_ptr_nonnull(object);
	ck_assert_int_eq(json_integer_value(json_object_get(object, "version")),
			 12);
	route = json_array_get(json_object_get(object, "routes"), 0);
	ck_assert_str_eq(json_string_value(json_object_get(route, "name")),
			 "dispatchers");
	ck_assert_uint_eq(json_array_size(json_object_get(route, "callers")),
			  2);
	pool = json_array_get(json_object_get(object, "pools"), 0);
	ck_assert_str_eq(
		json_string_value(json_object_get(pool, "max_replica_lag")),
		"250ms");
	json_decref(object);
	g_string_free(out, TRUE);
	tables_finish(&t);
}
END_TEST

static bool two_routes(struct tables *t, const char *first, const char *second)
{
	char *routes = g_strdup_printf("[route a]\nservice = s\ncallers = %s\n"
				       "tenant = t\npool = p\n[route b]\n"
				       "service = s\ncallers = %s\n"
				       "tenant = t\npool = p\n",
				       first, second);
	bool ok = parse(t, routes,
			"[pool p]\nservice = s\nclusters = c\nslots = 1\n"
			"connections = 2\nmax_connections = 2\n",
			NULL);

	g_free(routes);
	return ok;
}

static void random_pattern(gsl_rng *rng, char *pattern)
{
	unsigned n = 1 + gsl_rng_uniform_int(rng, 3);

	while (n--)
		*pattern++ = "ab*?"[gsl_rng_uniform_int(rng, 4)];
	*pattern = '\0';
}

/* Whether any of the 1092 names of 1 to 6 letters gets the second route. */
static bool second_is_reached(const struct tables *t)
{
	const struct route *route;
	const char *cluster;
	unsigned length, i, n, k;
	char user[7];

	for (length = 1, n = 3; length <= 6; length++, n *= 3)
		for (i = 0; i < n; i++) {
			unsigned rest = i;

			for (k = 0; k < length; k++, rest /= 3)
				user[k] = "xab"[rest % 3];
			user[k] = '\0';
			route = tables_find_route(t, user, "s", &cluster, NULL);
			if (route && !strcmp(route->name, "b"))
				return true;
		}
	return false;
}

/*
 * Guards against refusing a route as unreachable although a user gets it. The
 * pattern "zz" makes the second route valid, so that its other pattern can be
 * tried with all user names.
 */
START_TEST(test_reachability_differential)
{
	gsl_rng *rng = gsl_rng_alloc(gsl_rng_mt19937);
	char first[4], second[4], with_zz[8];
	unsigned round, refused = 0;
	struct tables t;

	gsl_rng_set(rng, 1);
	tables_init(&t);
	for (round = 0; round < 500; round++) {
		random_pattern(rng, first);
		random_pattern(rng, second);
		if (two_routes(&t, first, second))
			continue;
		g_snprintf(with_zz, sizeof(with_zz), "%s, zz", second);
		if (!two_routes(&t, first, with_zz))
			continue;
		refused++;
		ck_assert_msg(!second_is_reached(&t), "%s is behind %s", second,
			      first);
	}
	ck_assert_uint_gt(refused, 30);
	tables_finish(&t);
	gsl_rng_free(rng);
}
END_TEST

TEST_MAIN("tables", test_values, test_refusals, test_acceptances,
	  test_whole_texts, test_join, test_diff, test_json,
	  test_reachability_differential)
