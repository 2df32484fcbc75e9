#include "tables_fields.h"

#include <string.h>

/**
 * struct rows - the routes or the pools of one version
 * @kind: "route" or "pool"
 * @fields: keys of a row
 * @nr: number of @fields
 * @rows: struct route or struct pool, both of which start with the name
 */
struct rows {
	const char *kind;
	const struct ini_field *fields;
	size_t nr;
	const GArray *rows;
};

G_STATIC_ASSERT(offsetof(struct route, name) == 0);
G_STATIC_ASSERT(offsetof(struct pool, name) == 0);

static const char *row_at(const struct rows *table, guint i)
{
	return table->rows->data +
	       i * g_array_get_element_size((GArray *)table->rows);
}

static const char *row_name(const struct rows *table, guint i)
{
	return *(char *const *)row_at(table, i);
}

static const char *find_row(const struct rows *table, const char *name)
{
	guint i;

	for (i = 0; i < table->rows->len; i++)
		if (!strcmp(row_name(table, i), name))
			return row_at(table, i);
	return NULL;
}

static void print_row(const struct rows *table, const char *row, GString *out)
{
	char *text;
	size_t i;

	for (i = 0; i < table->nr; i++) {
		text = ini_field_text(&table->fields[i], row);
		g_string_append_printf(out, "%s%s = %s", i ? "; " : "",
				       table->fields[i].key, text);
		g_free(text);
	}
}

static void diff_row(const struct rows *table, const char *name, const char *a,
		     const char *b, GString *out)
{
	char *before, *after;
	size_t i;

	for (i = 0; i < table->nr; i++) {
		before = ini_field_text(&table->fields[i], a);
		after = ini_field_text(&table->fields[i], b);
		if (strcmp(before, after))
			g_string_append_printf(out, "%s %s: %s = %s -> %s\n",
					       table->kind, name,
					       table->fields[i].key, before,
					       after);
		g_free(before);
		g_free(after);
	}
}

/* Names that are in both tables, in the order of @table. */
static char *common_names(const struct rows *table, const struct rows *other)
{
	GString *names = g_string_new(NULL);
	guint i;

	for (i = 0; i < table->rows->len; i++)
		if (find_row(other, row_name(table, i)))
			g_string_append_printf(names, "%s%s",
					       names->len ? ", " : "",
					       row_name(table, i));
	return g_string_free(names, FALSE);
}

/* The first matching route is used, so a different order is a change. */
static void diff_order(const struct rows *a, const struct rows *b, GString *out)
{
	char *before = common_names(a, b), *after = common_names(b, a);

	if (strcmp(before, after))
		g_string_append_printf(out, "%s order: %s -> %s\n", a->kind,
				       before, after);
	g_free(before);
	g_free(after);
}

static void diff_rows(const struct rows *a, const struct rows *b, GString *out)
{
	const char *name, *row;
	guint i;

	for (i = 0; i < a->rows->len; i++) {
		name = row_name(a, i);
		row = find_row(b, name);
		if (row)
			diff_row(a, name, row_at(a, i), row, out);
		else
			g_string_append_printf(out, "%s %s: removed\n", a->kind,
					       name);
	}
	for (i = 0; i < b->rows->len; i++) {
		name = row_name(b, i);
		if (find_row(a, name))
			continue;
		g_string_append_printf(out, "%s %s: added: ", b->kind, name);
		print_row(b, row_at(b, i), out);
		g_string_append_c(out, '\n');
	}
}

void tables_diff(const struct tables *a, const struct tables *b, GString *out)
{
	const struct rows old_routes = { "route", route_fields, nr_route_fields,
					 a->routes };
	const struct rows new_routes = { "route", route_fields, nr_route_fields,
					 b->routes };
	const struct rows old_pools = { "pool", pool_fields, nr_pool_fields,
					a->pools };
	const struct rows new_pools = { "pool", pool_fields, nr_pool_fields,
					b->pools };

	diff_rows(&old_routes, &new_routes, out);
	diff_order(&old_routes, &new_routes, out);
	diff_rows(&old_pools, &new_pools, out);
}
