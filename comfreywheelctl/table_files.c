#include "ctl.h"
#include "error.h"
#include "ini_reader.h"

#include <string.h>

bool ctl_read_tables(struct tables *tables, const char *routes_file,
		     const char *pools_file, GError **error)
{
	char *routes = ini_read_file(CW_ERROR_TABLES, routes_file, error),
	     *pools = NULL;
	bool ok;

	if (routes)
		pools = ini_read_file(CW_ERROR_TABLES, pools_file, error);
	ok = pools && tables_parse(tables, routes_file, routes, pools_file,
				   pools, error);
	/* Tables may be empty only until the first change. */
	if (ok && !tables->routes->len) {
		g_set_error(error, CW_ERROR, CW_ERROR_TABLES,
			    "%s:1: both files are empty; name files with "
			    "routes and pools",
			    routes_file);
		ok = false;
	}
	g_free(routes);
	g_free(pools);
	return ok;
}

int ctl_run_with_table_files(struct ctl *ctl, int argc, char **argv,
			     enum ctl_target target,
			     int (*run)(struct ctl *ctl,
					const char *routes_file,
					const char *pools_file))
{
	struct arg_file *routes = arg_file1(NULL, NULL, "ROUTES", NULL);
	struct arg_file *pools = arg_file1(NULL, NULL, "POOLS", NULL);
	struct ctl_arg_table table;
	int code;

	ctl_arg_table_init(&table, target);
	ctl_arg_table_add(&table, routes);
	ctl_arg_table_add(&table, pools);
	code = ctl_arg_table_parse(&table, ctl, argc, argv);
	if (code < 0)
		code = run(ctl, routes->filename[0], pools->filename[0]);
	ctl_arg_table_finish(&table);
	return code;
}

static void append_setting(GString *out, const char *key, json_t *value)
{
	json_t *item;
	size_t i;

	g_string_append_printf(out, "%s = ", key);
	if (json_is_integer(value))
		g_string_append_printf(out, "%" JSON_INTEGER_FORMAT,
				       json_integer_value(value));
	else if (json_is_string(value))
		g_string_append(out, json_string_value(value));
	json_array_foreach(value, i, item) g_string_append_printf(
		out, "%s%s", i ? ", " : "", json_string_value(item));
	g_string_append_c(out, '\n');
}

static char *format_sections(const json_t *rows, const char *kind)
{
	GString *out = g_string_new(NULL);
	const char *key, *name;
	json_t *row, *value;
	size_t i;

	json_array_foreach(rows, i, row)
	{
		name = json_string_value(json_object_get(row, "name"));
		g_string_append_printf(out, "%s[%s %s]\n", i ? "\n" : "", kind,
				       name ? name : "");
		json_object_foreach(row, key, value) if (strcmp(key, "name"))
			append_setting(out, key, value);
	}
	return g_string_free(out, FALSE);
}

bool ctl_tables_from_json(struct tables *tables, const json_t *json,
			  GError **error)
{
	char *routes =
		format_sections(json_object_get(json, "routes"), "route");
	char *pools = format_sections(json_object_get(json, "pools"), "pool");
	bool ok = tables_parse(tables, "routes in force", routes,
			       "pools in force", pools, error);

	if (ok)
		tables->version =
			json_integer_value(json_object_get(json, "version"));
	g_free(routes);
	g_free(pools);
	return ok;
}
