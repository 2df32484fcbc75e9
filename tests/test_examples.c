#include "settings.h"
#include "tables.h"
#include "test_main.h"

#include <string.h>

/**
 * struct organisation - an example folder and the sizes that it must state
 */
static const struct organisation {
	const char *folder;
	const char *settings;
	const char *zone;
	const char *service;
	unsigned routes;
	unsigned clusters;
	unsigned slots;
	unsigned connections;
	const char *user;
	const char *database;
	const char *tenant;
	bool control;
} organisations[] = {
	{ "lakeshore", "gl-west-1.conf", "gl-west", "grindplan-db", 3, 3, 2, 16,
	  "dispatcher-1", "grindplan-db.west", "dispatch", true },
	{ "filtrex", "olten-1.conf", "olten", "werkstatt-db", 4, 3, 2, 30,
	  "jura-depot-3", "werkstatt-db.sued", "jura", false },
};

static char *example(const char *folder, const char *file)
{
	const char *root = g_getenv("EXAMPLES_DIR");

	ck_assert_ptr_nonnull(root);
	return g_build_filename(root, folder, file, NULL);
}

static void read_tables(const struct organisation *org, struct tables *tables)
{
	char *names[] = { example(org->folder, "routes.ini"),
			  example(org->folder, "pools.ini") };
	GError *error = NULL;
	char *texts[2];
	size_t i;

	for (i = 0; i < 2; i++)
		ck_assert(g_file_get_contents(names[i], &texts[i], NULL, NULL));
	ck_assert_msg(tables_parse(tables, names[0], texts[0], names[1],
				   texts[1], &error),
		      "%s", error ? error->message : "");
	for (i = 0; i < 2; i++) {
		g_free(names[i]);
		g_free(texts[i]);
	}
}

/* Guards against examples that are refused or state other sizes than the
 * deployments have. */
START_TEST(test_tables)
{
	const struct organisation *org;
	const struct route *route;
	const struct pool *pool;
	const char *cluster;
	struct tables tables;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(organisations); i++) {
		org = &organisations[i];
		tables_init(&tables);
		read_tables(org, &tables);
		ck_assert_uint_eq(tables.routes->len, org->routes);
		route = tables_find_route(&tables, org->user, org->database,
					  &cluster, NULL);
		ck_assert_ptr_nonnull(route);
		ck_assert_str_eq(route->tenant, org->tenant);
		pool = tables_route_pool(&tables, route);
		ck_assert_str_eq(pool->service, org->service);
		ck_assert_uint_eq(g_strv_length(pool->clusters), org->clusters);
		ck_assert_uint_eq(pool->slots, org->slots);
		ck_assert_uint_eq(pool->connections, org->connections);
		ck_assert_uint_eq(pool->max_connections, org->connections);
		ck_assert_ptr_null(tables_find_route(
			&tables, "stranger", org->database, &cluster, NULL));
		tables_finish(&tables);
	}
}
END_TEST

/* Guards against settings in the examples that a daemon refuses. */
START_TEST(test_settings)
{
	const struct organisation *org;
	struct settings settings;
	GError *error = NULL;
	char *path;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(organisations); i++) {
		org = &organisations[i];
		path = example(org->folder, org->settings);
		settings_init(&settings);
		ck_assert_msg(settings_load(&settings, path, &error), "%s",
			      error ? error->message : "");
		ck_assert_str_eq(settings.availability_zone, org->zone);
		ck_assert_uint_eq(settings.control_peers->len, 3);
		ck_assert_int_eq(settings.control_id != 0, org->control);
		settings_finish(&settings);
		g_free(path);
	}
}
END_TEST

TEST_MAIN("examples", test_tables, test_settings)
