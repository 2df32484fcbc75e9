#include "tables.h"
#include "tables_fields.h"

#include <fnmatch.h>
#include <string.h>

/* PostgreSQL truncates longer user names. */
#define PATTERN_MAX_LEN 63
#define CONNECTIONS_MAX 100000
/* One connection is used by the probe, so statements need another one. */
#define CONNECTIONS_MIN 2
#define WEIGHT_MAX 1000
#define ACK_REPLICAS_MAX 8
#define QUEUE_MAX 100000
#define US_PER_MS UINT64_C(1000)
#define US_PER_HOUR UINT64_C(3600000000)

static bool is_pattern(const char *text)
{
	const char *c;

	if (strlen(text) > PATTERN_MAX_LEN)
		return false;
	for (c = text; *c; c++)
		if (g_ascii_isspace(*c) || g_ascii_iscntrl(*c) || *c == '\\' ||
		    (*c == '[' && !strchr(c, ']')))
			return false;
	return true;
}

static bool parse_patterns(const char *text, const struct ini_field *field,
			   void *target)
{
	char **items = ini_split_unique(text, is_pattern);

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
	  INI_OPTIONAL, "10s", 1 * US_PER_MS, US_PER_HOUR },
	{ POOL("max_queue", max_queue, ini_unsigned), INI_OPTIONAL, "200", 1,
	  QUEUE_MAX },
	{ POOL("request_timeout", request_timeout_us, ini_duration),
	  INI_OPTIONAL, "5s", 1 * US_PER_MS, US_PER_HOUR },
};
const size_t nr_pool_fields = G_N_ELEMENTS(pool_fields);

static void clear_route(void *data)
{
	struct route *route = data;

	g_free(route->name);
	ini_release_fields(route_fields, nr_route_fields, route);
}

static void clear_pool(void *data)
{
	struct pool *pool = data;

	g_free(pool->name);
	ini_release_fields(pool_fields, nr_pool_fields, pool);
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

/* Returns NAME of the section "[PREFIX NAME]", NULL if it has another form. */
static const char *section_name(const struct ini_section *section,
				const char *prefix)
{
	size_t len = strlen(prefix);

	if (strncmp(section->name, prefix, len) || section->name[len] != ' ')
		return NULL;
	return ini_is_name(section->name + len + 1) ? section->name + len + 1 :
						      NULL;
}

static bool parse_sections(const struct ini_document *doc, const char *prefix,
			   const struct ini_field *fields, size_t nr,
			   GArray *rows, GError **error)
{
	struct ini_section *section;
	const char *name;
	char *row;
	guint i;

	for (i = 0; i < doc->sections->len; i++) {
		section = g_ptr_array_index(doc->sections, i);
		name = section_name(section, prefix);
		if (!name)
			return ini_set_error(
				doc, section->line, error,
				"[%s] is no heading of this table; "
				"write [%s NAME], NAME being 1 to 40 "
				"letters, digits, \"-\" or \"_\"",
				section->name, prefix);
		g_array_set_size(rows, i + 1);
		row = rows->data + i * g_array_get_element_size(rows);
		if (!ini_load_fields(doc, section, fields, nr, row, error))
			return false;
	}
	return true;
}

static void set_row_names(const struct ini_document *routes,
			  const struct ini_document *pools,
			  struct tables *tables)
{
	const struct ini_section *section;
	guint i;

	for (i = 0; i < tables->routes->len; i++) {
		section = g_ptr_array_index(routes->sections, i);
		tables_route_at(tables, i)->name =
			g_strdup(section_name(section, "route"));
		tables_route_at(tables, i)->line = section->line;
	}
	for (i = 0; i < tables->pools->len; i++) {
		section = g_ptr_array_index(pools->sections, i);
		tables_pool_at(tables, i)->name =
			g_strdup(section_name(section, "pool"));
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

static bool parse_documents(struct tables *parsed,
			    const struct ini_document *routes,
			    const struct ini_document *pools, GError **error)
{
	if (!parse_sections(routes, "route", route_fields, nr_route_fields,
			    parsed->routes, error) ||
	    !parse_sections(pools, "pool", pool_fields, nr_pool_fields,
			    parsed->pools, error))
		return false;
	set_row_names(routes, pools, parsed);
	return tables_check(parsed, routes, pools, error);
}

static void replace_tables(struct tables *tables, struct tables *parsed,
			   const char *routes_text, const char *pools_text)
{
	parsed->version = tables->version;
	g_free(parsed->routes_text);
	g_free(parsed->pools_text);
	parsed->routes_text = g_strdup(routes_text);
	parsed->pools_text = g_strdup(pools_text);
	tables_finish(tables);
	*tables = *parsed;
}

bool tables_parse(struct tables *tables, const char *routes_name,
		  const char *routes_text, const char *pools_name,
		  const char *pools_text, GError **error)
{
	struct ini_document routes = { 0 }, pools = { 0 };
	struct tables parsed;
	bool ok;

	if (!check_text(routes_name, routes_text, error) ||
	    !check_text(pools_name, pools_text, error))
		return false;
	tables_init(&parsed);
	ok = ini_document_parse(&routes, CW_ERROR_TABLES, routes_name,
				routes_text, error) &&
	     ini_document_parse(&pools, CW_ERROR_TABLES, pools_name, pools_text,
				error) &&
	     parse_documents(&parsed, &routes, &pools, error);
	ini_document_finish(&routes);
	ini_document_finish(&pools);
	if (ok)
		replace_tables(tables, &parsed, routes_text, pools_text);
	else
		tables_finish(&parsed);
	return ok;
}

static bool route_matches(const struct route *route, const char *user,
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

/*
 * Finds the cluster that the database name asks for; @suffix is its part after
 * the service, ".CLUSTER" or "". Only clusters of the route's own pool count.
 */
static const char *find_pool_cluster(const struct pool *pool,
				     const char *suffix, GError **error)
{
	size_t i;

	if (!*suffix && !pool->clusters[1])
		return pool->clusters[0];
	for (i = 0; *suffix && pool->clusters[i]; i++)
		if (!strcmp(pool->clusters[i], suffix + 1))
			return pool->clusters[i];
	if (*suffix)
		g_set_error(error, CW_ERROR, CW_ERROR_TABLES,
			    "service \"%s\" has no cluster \"%s\" for this "
			    "user; ask for SERVICE.CLUSTER with one of its "
			    "clusters",
			    pool->service, suffix + 1);
	else
		g_set_error(error, CW_ERROR, CW_ERROR_TABLES,
			    "service \"%s\" has several clusters; ask for "
			    "\"%s.CLUSTER\" as the database",
			    pool->service, pool->service);
	return NULL;
}

const struct route *tables_find_route(const struct tables *tables,
				      const char *user, const char *database,
				      const char **cluster, GError **error)
{
	size_t service_len = strcspn(database, ".");
	const struct route *route;
	guint i;

	for (i = 0; i < tables->routes->len; i++) {
		route = tables_route_at(tables, i);
		if (!route_matches(route, user, database, service_len))
			continue;
		*cluster = find_pool_cluster(tables_route_pool(tables, route),
					     database + service_len, error);
		return *cluster ? route : NULL;
	}
	g_set_error(error, CW_ERROR, CW_ERROR_TABLES,
		    "no route matches user \"%s\" and database \"%s\"; check "
		    "both names or ask the operators for a route",
		    user, database);
	return NULL;
}

const struct pool *tables_route_pool(const struct tables *tables,
				     const struct route *route)
{
	return tables_pool_at(tables, route->pool);
}
