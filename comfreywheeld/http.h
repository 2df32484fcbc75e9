#ifndef HTTP_H
#define HTTP_H

#include "http_server.h"
#include "proxy.h"

/**
 * DOC: HTTP on admin_listen: POST /announce and GET /metrics.
 */

struct http_server *http_new(struct proxy *proxy, GError **error);

/** metrics_print() - all counters in the text exposition format */
void metrics_print(struct proxy *proxy, GString *out);

typedef void (*metrics_each_fn)(const char *name, uint64_t value, void *data);
/** metrics_bus() - call @each with every counter of the bus */
void metrics_bus(const struct bus_counts *counts, metrics_each_fn each,
		 void *data);

#endif
