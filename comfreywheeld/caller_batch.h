#ifndef CALLER_BATCH_H
#define CALLER_BATCH_H

#include "caller.h"

/**
 * DOC: Batches of the extended query protocol.
 *
 * Frames are gathered up to Sync and run as one request, since what a batch
 * contains decides where it may run. A Flush sends what was gathered to the
 * primary, and the rest of the batch follows as it arrives.
 */

/** caller_batch_frame() - take Parse, Bind, Describe, Execute, ... */
void caller_batch_frame(struct caller *caller, const struct pg_frame *frame,
			const uint8_t *data);

/** caller_batch_failed() - forget statements that were not parsed after all */
void caller_batch_failed(struct caller *caller);

/** caller_batch_ended() - a large unnamed statement is not kept */
void caller_batch_ended(struct caller *caller);

/** caller_batch_local() - answer a batch that concerns the daemon alone */
void caller_batch_local(struct caller *caller);

/** struct caller_statements - by name; "" is the unnamed statement */
void caller_statements_init(struct caller *caller);
void caller_statements_finish(struct caller *caller);

#endif
