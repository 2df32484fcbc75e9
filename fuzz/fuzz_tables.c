#include "fuzz.h"
#include "tables.h"

#include <jansson.h>

static void check_json(const struct tables *tables)
{
	GString *out = g_string_new(NULL);
	json_t *json;

	tables_print_json(tables, out);
	json = json_loads(out->str, 0, NULL);
	g_assert_nonnull(json);
	g_assert_cmpuint(json_array_size(json_object_get(json, "routes")), ==,
			 tables->routes->len);
	json_decref(json);
	g_string_free(out, TRUE);
}

static void check_parsed(const struct tables *tables)
{
	GString *out = g_string_new(NULL);
	const struct route *route;
	const char *cluster;
	GError *error = NULL;

	tables_diff(tables, tables, out);
	g_assert_cmpuint(out->len, ==, 0);
	g_string_free(out, TRUE);
	check_json(tables);
	route = tables_find_route(tables, "user-1", "s.c", &cluster, &error);
	if (route)
		g_assert_cmpstr(tables_route_pool(tables, route)->service, ==,
				"s");
	else
		fuzz_check_error(error);
}

/* The pools start behind the first line that is "%". */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	char *routes = fuzz_text(data, size);
	char *pools = strstr(routes, "\n%\n");
	struct tables tables;
	GError *error = NULL;

	if (pools) {
		pools[1] = '\0';
		pools += strlen("\n%\n");
	}
	tables_init(&tables);
	if (tables_parse(&tables, "routes", routes, "pools", pools ? pools : "",
			 &error))
		check_parsed(&tables);
	else
		fuzz_check_error(error);
	tables_finish(&tables);
	g_free(routes);
	return 0;
}
