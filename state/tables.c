#include "tables.h"
#include "tables_fields.h"

#include <fnmatch.h>
#include <string.h>

/* PostgreSQL cuts longer user names. */
#define PATTERN_MAX_LEN 63
#define CONNECTIONS_MAX 100000
/* One connection is the probe's; another one has to serve statements. */
#define CONNECTIONS_MIN 2
#define WEIGHT_MAX 1000
#define ACK_REPLICAS_MAX 8
#define QUEUE_MAX 100000
#define MS UINT64_C(1000)
#define HOUR UINT64_C(3600000000)

static bool is_pattern(const char *text)
{
	const char *at;

	if (strlen(text) > PATTERN_MAX_LEN)
		return false;
	for (at = text; *at; at++)
		if (g_ascii_isspace(*at) || g_ascii_iscntrl(*at) ||
		    *at == '\\' || (*at == '[' && !strchr(at, ']')))
			return false;
	return true;
}

static bool parse_patterns(const char *text, const struct ini_field *field,
			   void *target)
{
	char **items = ini_distinct(text, is_pattern);

	if (!items)
		return false;
	*(char ***)target = items;
	return true;
}

static const struct ini_type type_patterns = {
	.expected = "different patterns of user names separated by commas, "
		    "none of them empty, such as dispatcher-*, foreman-?",
	.parse = parse_patterns,
	.print = ini_print_list,
	.release = ini_release_list,
};

#define ROUTE(key, member, type) \
	"route NAME", key, &type, offsetof(struct route, member)
#define POOL(key, member, type) \
	"pool NAME", key, &type, offsetof(struct pool, member)

const struct ini_field route_fields[] = {
	{ ROUTE("service", service, ini_name) },
	{ ROUTE("callers", callers, type_patterns) },
	{ ROUTE("tenant", tenant, ini_name) },
	{ ROUTE("weight", weight, ini_unsigned), INI_OPTIONAL, "1", 1,
	  WEIGHT_MAX },
	{ ROUTE("pool", pool_name, ini_name) },
};
const size_t nr_route_fields = G_N_ELEMENTS(route_fields);

const struct ini_field pool_fields[] = {
	{ POOL("service", service, ini_name) },
	{ POOL("clusters", clusters, ini_names) },
	{ POOL("slots", slots, ini_unsigned), INI_REQUIRED, NULL, 1,
	  CONNECTIONS_MAX },
	{ POOL("connections", connections, ini_unsigned), INI_REQUIRED, NULL,
	  CONNECTIONS_MIN, CONNECTIONS_MAX },
	{ POOL("max_connections", max_connections, ini_unsigned), INI_REQUIRED,
	  NULL, CONNECTIONS_MIN, CONNECTIONS_MAX },
	{ POOL("ack_replicas", ack_replicas, ini_unsigned), INI_OPTIONAL, "1",
	  0, ACK_REPLICAS_MAX },
	{ POOL("max_replica_lag", max_replica_lag_us, ini_duration),
	  INI_OPTIONAL, "10s", 1 * MS, HOUR },
	{ POOL("max_queue", max_queue, ini_unsigned), INI_OPTIONAL, "200", 1,
	  QUEUE_MAX },
	{ POOL("request_timeout", request_timeout_us, ini_duration),
	  INI_OPTIONAL, "5s", 1 * MS, HOUR },
};
const size_t nr_pool_fields = G_N_ELEMENTS(pool_fields);

static void clear_route(void *data)
{
	struct route *route = data;

	g_free(route->name);
	ini_release(route_fields, nr_route_fields, route);
}

static void clear_pool(void *data)
{
	struct pool *pool = data;

	g_free(pool->name);
	ini_release(pool_fields, nr_pool_fields, pool);
}

void tables_init(struct tables *tables)
{
	memset(tables, 0, sizeof(*tables));
	tables->routes = g_array_new(FALSE, TRUE, sizeof(struct route));
	g_array_set_clear_func(tables->routes, clear_route);
	tables->pools = g_array_new(FALSE, TRUE, sizeof(struct pool));
	g_array_set_clear_func(tables->pools, clear_pool);
	tables->routes_text = g_strdup("");
	tables->pools_text = g_strdup("");
}

void tables_finish(struct tables *tables)
{
	g_array_free(tables->routes, TRUE);
	g_array_free(tables->pools, TRUE);
	g_free(tables->routes_text);
	g_free(tables->pools_text);
	memset(tables, 0, sizeof(*tables));
}

/* The name in "[PREFIX NAME]", NULL if the heading has another form. */
static const char *heading_name(const struct ini_section *section,
				const char *prefix)
{
	size_t len = strlen(prefix);

	if (strncmp(section->name, prefix, len) || section->name[len] != ' ')
		return NULL;
	return ini_is_name(section->name + len + 1) ? section->name + len + 1 :
						      NULL;
}

static bool fill_rows(const struct ini_document *doc, const char *prefix,
		      const struct ini_field *fields, size_t nr, GArray *rows,
		      GError **error)
{
	struct ini_section *section;
	const char *name;
	char *row;
	guint i;

	for (i = 0; i < doc->sections->len; i++) {
		section = g_ptr_array_index(doc->sections, i);
		name = heading_name(section, prefix);
		if (!name)
			return ini_refuse(doc, section->line, error,
					  "[%s] is no heading of this table; "
					  "write [%s NAME], NAME being 1 to 40 "
					  "letters, digits, \"-\" or \"_\"",
					  section->name, prefix);
		g_array_set_size(rows, i + 1);
		row = rows->data + i * g_array_get_element_size(rows);
		if (!ini_fill(doc, section, fields, nr, row, error))
			return false;
	}
	return true;
}

static void name_rows(const struct ini_document *routes,
		      const struct ini_document *pools, struct tables *tables)
{
	const struct ini_section *section;
	guint i;

	for (i = 0; i < tables->routes->len; i++) {
		section = g_ptr_array_index(routes->sections, i);
		tables_route_at(tables, i)->name =
			g_strdup(heading_name(section, "route"));
		tables_route_at(tables, i)->line = section->line;
	}
	for (i = 0; i < tables->pools->len; i++) {
		section = g_ptr_array_index(pools->sections, i);
		tables_pool_at(tables, i)->name =
			g_strdup(heading_name(section, "pool"));
		tables_pool_at(tables, i)->line = section->line;
	}
}

static bool check_text(const char *name, const char *text, GError **error)
{
	const char *end;
	int line = 1;

	if (strlen(text) > TABLES_TEXT_MAX) {
		g_set_error(error, CW_ERROR, CW_ERROR_TABLES,
			    "%s:1: the table has %zu bytes, more than %u; "
			    "merge entries or drop comments",
			    name, strlen(text), TABLES_TEXT_MAX);
		return false;
	}
	if (g_utf8_validate(text, -1, &end))
		return true;
	for (; text < end; text++)
		line += *text == '\n';
	g_set_error(error, CW_ERROR, CW_ERROR_TABLES,
		    "%s:%d: the line is not valid UTF-8; save the file as "
		    "UTF-8 text",
		    name, line);
	return false;
}

static bool parse_documents(struct tables *fresh,
			    const struct ini_document *routes,
			    const struct ini_document *pools, GError **error)
{
	if (!fill_rows(routes, "route", route_fields, nr_route_fields,
		       fresh->routes, error) ||
	    !fill_rows(pools, "pool", pool_fields, nr_pool_fields, fresh->pools,
		       error))
		return false;
	name_rows(routes, pools, fresh);
	return tables_check(fresh, routes, pools, error);
}

static void replace(struct tables *tables, struct tables *fresh,
		    const char *routes_text, const char *pools_text)
{
	fresh->version = tables->version;
	g_free(fresh->routes_text);
	g_free(fresh->pools_text);
	fresh->routes_text = g_strdup(routes_text);
	fresh->pools_text = g_strdup(pools_text);
	tables_finish(tables);
	*tables = *fresh;
}

bool tables_parse(struct tables *tables, const char *routes_name,
		  const char *routes_text, const char *pools_name,
		  const char *pools_text, GError **error)
{
	struct ini_document routes = { 0 }, pools = { 0 };
	struct tables fresh;
	bool ok;

	if (!check_text(routes_name, routes_text, error) ||
	    !check_text(pools_name, pools_text, error))
		return false;
	tables_init(&fresh);
	ok = ini_document_parse(&routes, CW_ERROR_TABLES, routes_name,
				routes_text, error) &&
	     ini_document_parse(&pools, CW_ERROR_TABLES, pools_name, pools_text,
				error) &&
	     parse_documents(&fresh, &routes, &pools, error);
	ini_document_finish(&routes);
	ini_document_finish(&pools);
	if (ok)
		replace(tables, &fresh, routes_text, pools_text);
	else
		tables_finish(&fresh);
	return ok;
}

static bool route_takes(const struct route *route, const char *user,
			const char *service, size_t service_len)
{
	size_t i;

	if (strncmp(route->service, service, service_len) ||
	    route->service[service_len])
		return false;
	for (i = 0; route->callers[i]; i++)
		if (!fnmatch(route->callers[i], user, 0))
			return true;
	return false;
}

/* A caller sees the clusters of its own pool only. */
static const char *pool_cluster(const struct pool *pool, const char *wanted,
				GError **error)
{
	size_t i;

	if (!*wanted && !pool->clusters[1])
		return pool->clusters[0];
	for (i = 0; *wanted && pool->clusters[i]; i++)
		if (!strcmp(pool->clusters[i], wanted + 1))
			return pool->clusters[i];
	if (*wanted)
		g_set_error(error, CW_ERROR, CW_ERROR_TABLES,
			    "service \"%s\" has no cluster \"%s\" for this "
			    "user; ask for SERVICE.CLUSTER with one of its "
			    "clusters",
			    pool->service, wanted + 1);
	else
		g_set_error(error, CW_ERROR, CW_ERROR_TABLES,
			    "service \"%s\" has several clusters; ask for "
			    "\"%s.CLUSTER\" as the database",
			    pool->service, pool->service);
	return NULL;
}

const struct route *tables_route(const struct tables *tables, const char *user,
				 const char *database, const char **cluster,
				 GError **error)
{
	size_t service_len = strcspn(database, ".");
	const struct route *route;
	guint i;

	for (i = 0; i < tables->routes->len; i++) {
		route = tables_route_at(tables, i);
		if (!route_takes(route, user, database, service_len))
			continue;
		*cluster = pool_cluster(tables_pool(tables, route),
					database + service_len, error);
		return *cluster ? route : NULL;
	}
	g_set_error(error, CW_ERROR, CW_ERROR_TABLES,
		    "no route takes user \"%s\" to database \"%s\"; check both "
		    "names or ask the operators for a route",
		    user, database);
	return NULL;
}

const struct pool *tables_pool(const struct tables *tables,
			       const struct route *route)
{
	return tables_pool_at(tables, route->pool);
}
