#ifndef TABLES_FIELDS_H
#define TABLES_FIELDS_H

#include "ini_reader.h"
#include "tables.h"

/**
 * DOC: Definitions of the keys of routes and pools, shared by the files that
 * implement tables.h.
 */

/** Maximum size of one table, bytes; both tables fit in one bus frame. */
#define TABLES_TEXT_MAX (64u * 1024)

extern const struct ini_field route_fields[];
extern const size_t nr_route_fields;
extern const struct ini_field pool_fields[];
extern const size_t nr_pool_fields;

static inline struct route *tables_route_at(const struct tables *tables,
					    guint i)
{
	return &g_array_index(tables->routes, struct route, i);
}

static inline struct pool *tables_pool_at(const struct tables *tables, guint i)
{
	return &g_array_index(tables->pools, struct pool, i);
}

/** tables_check() - link routes to pools and check that they are consistent */
bool tables_check(struct tables *tables, const struct ini_document *routes,
		  const struct ini_document *pools, GError **error);

#endif
