#ifndef UPSTREAM_STARTUP_H
#define UPSTREAM_STARTUP_H

#include "upstream_connection.h"

/**
 * DOC: Start-up of a connection to an upstream, up to ReadyForQuery.
 */

/** upstream_startup_frame() - take one frame; may close the connection */
void upstream_startup_frame(struct upstream_connection *conn,
			    const struct pg_frame *frame);

#endif
