#ifndef TABLES_H
#define TABLES_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Routes and pools, the two tables that operators edit.
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
 * A caller connects to the database "SERVICE.CLUSTER", or "SERVICE" if the pool
 * has a single cluster. The first route whose service and caller patterns match
 * is used. A route refers to its pool by name, and both have the same service.
 */

/**
 * struct route - which callers may use which service
 * @callers: shell patterns of user names, NULL terminated
 * @tenant: unit of fair queueing
 * @weight: weight of the tenant in fair queueing, 1 to 1000
 * @pool_name: name of the pool
 * @pool: index of the pool in struct tables.pools
 * @line: line number in the routes file
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
 * struct pool - clusters of a service and limits for their databases
 * @clusters: cluster names, NULL terminated
 * @slots: statements that one database executes concurrently
 * @connections: connections to one database that all daemons together may open
 * @max_connections: connections that one database accepts; limits the sum of
 *                   @connections of all pools that share a cluster
 * @ack_replicas: replicas that must have received a write before it is
 *                acknowledged
 * @max_replica_lag_us: replicas with a larger lag are removed from the read set
 * @max_queue: maximum number of waiting requests per tenant and daemon
 * @request_timeout_us: timeout of a request that does not set one
 * @line: line number in the pools file
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
 * struct tables - one version of both tables, with routes linked to pools
 * @routes: struct route, in file order
 * @pools: struct pool, in file order
 * @routes_text: unmodified text of the routes file
 * @pools_text: unmodified text of the pools file
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
 * tables_parse() - parse and check both tables, and link routes to pools
 * @routes_name: name of the routes file in error messages
 * @pools_name: name of the pools file in error messages
 *
 * On error @tables is unchanged, and the error is CW_ERROR_TABLES with the
 * message "FILE:LINE: PROBLEM; REMEDY".
 */
bool tables_parse(struct tables *tables, const char *routes_name,
		  const char *routes_text, const char *pools_name,
		  const char *pools_text, GError **error);

/**
 * tables_find_route() - find the route and cluster of a caller
 * @database: database name of the start-up packet
 * @cluster: receives the name of the cluster, owned by @tables
 * Return: the route, NULL with CW_ERROR_TABLES if no route or cluster matches
 */
const struct route *tables_find_route(const struct tables *tables,
				      const char *user, const char *database,
				      const char **cluster, GError **error);

/** tables_route_pool() - pool of a route */
const struct pool *tables_route_pool(const struct tables *tables,
				     const struct route *route);

/**
 * tables_diff() - append one line per difference between two versions
 * @a: old version
 * @b: new version
 * @out: string to append to; unchanged if the versions are equal
 */
void tables_diff(const struct tables *a, const struct tables *b, GString *out);

/** tables_print_json() - append both tables to @out as a JSON object */
void tables_print_json(const struct tables *tables, GString *out);

#endif
