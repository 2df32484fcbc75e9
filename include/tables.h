#ifndef TABLES_H
#define TABLES_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: The two tables that operators edit: routes and pools.
 *
 * Routes file:
 *
 *	[route dispatchers]
 *	service = grindplan-db
 *	callers = dispatcher-*, foreman-*
 *	tenant = lakeshore
 *	weight = 4
 *	pool = grindplan
 *
 * Pools file:
 *
 *	[pool grindplan]
 *	service = grindplan-db
 *	clusters = west, central, east
 *	slots = 2
 *	connections = 16
 *	max_connections = 16
 *	ack_replicas = 1
 *	max_replica_lag = 10s
 *	max_queue = 200
 *	request_timeout = 5s
 *
 * A caller asks for database "SERVICE.CLUSTER", or "SERVICE" when the pool
 * has a single cluster. The first route whose service and caller patterns
 * match decides. Routes join pools by name, and both name the service.
 */

/**
 * struct route - which callers reach which service
 * @callers: shell patterns of user names, NULL terminated
 * @tenant: unit of fair queueing
 * @weight: share of the tenant, 1 to 1000
 * @pool: index into struct tables.pools
 * @line: line in the routes file
 */
struct route {
	char *name;
	char *service;
	char **callers;
	char *tenant;
	unsigned weight;
	char *pool_name;
	unsigned pool;
	int line;
};

/**
 * struct pool - connections and upstreams of a service
 * @clusters: cluster names, NULL terminated
 * @slots: statements one database executes at once
 * @connections: connections all daemons together may open to one database
 * @max_connections: connections one database accepts; the pools that share a
 *                   cluster may not exceed it together
 * @ack_replicas: replicas that must have received a write before its answer
 * @max_replica_lag_us: replicas further behind leave the read set
 * @max_queue: waiting requests per tenant and daemon
 * @request_timeout_us: deadline of a request that states none
 */
struct pool {
	char *name;
	char *service;
	char **clusters;
	unsigned slots;
	unsigned connections;
	unsigned max_connections;
	unsigned ack_replicas;
	int64_t max_replica_lag_us;
	unsigned max_queue;
	int64_t request_timeout_us;
	int line;
};

/**
 * struct tables - both tables of one version, joined
 * @routes: struct route, in file order
 * @pools: struct pool, in file order
 * @routes_text: the routes file as given
 * @pools_text: the pools file as given
 */
struct tables {
	uint64_t version;
	GArray *routes;
	GArray *pools;
	char *routes_text;
	char *pools_text;
};

void tables_init(struct tables *tables);
void tables_finish(struct tables *tables);

/**
 * tables_parse() - parse, check and join both tables
 * @routes_name: file name used in messages
 *
 * Checked as a whole: nothing of @tables changes unless all is right. Each
 * refusal is CW_ERROR_TABLES with "FILE:LINE: what is wrong; remedy".
 */
bool tables_parse(struct tables *tables, const char *routes_name,
		  const char *routes_text, const char *pools_name,
		  const char *pools_text, GError **error);

/**
 * tables_route() - the route of a caller
 * @database: database name of the start-up packet
 * @cluster: set to the cluster's name, owned by @tables
 * Return: the route, NULL with a typed error if no route fits
 */
const struct route *tables_route(const struct tables *tables, const char *user,
				 const char *database, const char **cluster,
				 GError **error);

const struct pool *tables_pool(const struct tables *tables,
			       const struct route *route);

/** tables_diff() - what changes from @a to @b, a line each; "" if nothing */
void tables_diff(const struct tables *a, const struct tables *b, GString *out);

/** tables_print_json() - both tables as a JSON object */
void tables_print_json(const struct tables *tables, GString *out);

#endif
