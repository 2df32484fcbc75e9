#ifndef CANCEL_H
#define CANCEL_H

#include "proxy.h"

/**
 * DOC: Cancel requests of callers.
 *
 * A request that waits in the daemon ends at once. For one at an upstream the
 * upstream's own cancel request goes out on a fresh connection, which the
 * upstream does not count as a session; the connection of the request is
 * closed when its answer has come, so that a late cancel hits nobody else.
 */

/** cancel_request() - identity and key as the caller was told */
void cancel_request(struct proxy *proxy, uint32_t pid, uint32_t secret);

struct upstream_connection;

/** cancel_send() - cancel what runs on @conn, which is not reused after it */
void cancel_send(struct proxy *proxy, struct upstream_connection *conn);

/** cancel_finish() - give up the connections under way */
void cancel_finish(struct proxy *proxy);

#endif
