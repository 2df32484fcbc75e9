#ifndef BUS_QUERIES_H
#define BUS_QUERIES_H

#include "proxy.h"

/**
 * DOC: Queries of the operators' tool to a daemon: status, counters, tables
 * and drain, answered in JSON.
 */

void bus_query(struct proxy *proxy, const struct bus_return_path *from,
	       const Wire__Query *query);

#endif
