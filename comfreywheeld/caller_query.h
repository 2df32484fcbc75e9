#ifndef CALLER_QUERY_H
#define CALLER_QUERY_H

#include "caller.h"

/**
 * DOC: Turns a caller's frames into requests.
 */

/** caller_frame() - take one frame; @data is the whole frame */
void caller_frame(struct caller *caller, const struct pg_frame *frame,
		  const uint8_t *data);

/** caller_refusal() - message to the SQLSTATE of a refused statement */
const char *caller_refusal(const struct sql_class *class);

/** caller_start() - run the classified request; @data is appended to it */
void caller_start(struct caller *caller, const uint8_t *data, size_t len);

/** caller_local() - answer a statement that concerns the daemon alone */
void caller_local(struct caller *caller, const struct sql_class *class);

#endif
