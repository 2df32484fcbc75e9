#include "tables_fields.h"

#include <jansson.h>

static json_t *list_json(char *const *items)
{
	json_t *array = json_array();

	for (; *items; items++)
		json_array_append_new(array, json_string(*items));
	return array;
}

/* Durations are strings as in the files; numbers and lists are JSON types. */
static json_t *field_json(const struct ini_field *field, const char *row)
{
	json_t *value;
	char *text;

	if (field->type == &ini_unsigned)
		return json_integer(*(const unsigned *)(row + field->offset));
	if (field->type->release == ini_release_list)
		return list_json(*(char **const *)(row + field->offset));
	text = ini_field_text(field, row);
	value = json_string(text);
	g_free(text);
	return value;
}

static json_t *row_json(const char *name, const void *row,
			const struct ini_field *fields, size_t nr)
{
	json_t *object = json_object();
	size_t i;

	json_object_set_new(object, "name", json_string(name));
	for (i = 0; i < nr; i++)
		json_object_set_new(object, fields[i].key,
				    field_json(&fields[i], row));
	return object;
}

void tables_print_json(const struct tables *tables, GString *out)
{
	json_t *object = json_object(), *routes = json_array();
	json_t *pools = json_array();
	const struct route *route;
	const struct pool *pool;
	char *text;
	guint i;

	for (i = 0; i < tables->routes->len; i++) {
		route = tables_route_at(tables, i);
		json_array_append_new(routes,
				      row_json(route->name, route, route_fields,
					       nr_route_fields));
	}
	for (i = 0; i < tables->pools->len; i++) {
		pool = tables_pool_at(tables, i);
		json_array_append_new(pools,
				      row_json(pool->name, pool, pool_fields,
					       nr_pool_fields));
	}
	json_object_set_new(object, "version", json_integer(tables->version));
	json_object_set_new(object, "routes", routes);
	json_object_set_new(object, "pools", pools);
	text = json_dumps(object, JSON_COMPACT);
	g_string_append(out, text);
	free(text);
	json_decref(object);
}
