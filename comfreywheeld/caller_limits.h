#ifndef CALLER_LIMITS_H
#define CALLER_LIMITS_H

#include "caller.h"

/**
 * DOC: Limits on callers: applies the decisions of connection_limits.h.
 *
 * What a caller holds is counted after each of its events, and for all callers
 * four times a second. Callers are closed by that timer only, since a caller
 * must not be closed while its own events are handled.
 */

/** Bookkeeping for one frame of a batch, bytes: the entries in struct request
 * and in struct parsed_statements, as malloc() rounds them. */
#define BATCH_FRAME_COST 96u
/** Largest answer that the daemon itself gives to one batch, bytes. */
#define LOCAL_ANSWER_MAX (1024u * 1024)

/** caller_limits_init() - read the limit on descriptors */
void caller_limits_init(struct proxy *proxy);

/** caller_limits_accept() - Return: whether to keep a connection that was
 * accepted; otherwise it is closed */
bool caller_limits_accept(struct proxy *proxy, int fd);
/** caller_limits_opened() - count a new caller, refuse it or make room */
void caller_limits_opened(struct caller *caller);
/** caller_limits_started() - it left startup; idempotent */
void caller_limits_started(struct caller *caller);
/** caller_limits_closed() - stop counting it */
void caller_limits_closed(struct caller *caller);

/** caller_limits_pace() - count what it holds; read on or pause
 * @ahead: it sent enough ahead of its answers */
void caller_limits_pace(struct caller *caller, bool ahead);

/** caller_limits_statements_full() - no more statements can be kept by name */
bool caller_limits_statements_full(struct proxy *proxy);

/** caller_limits_sweep() - close callers that are late or hold too much */
void caller_limits_sweep(struct proxy *proxy, int64_t now_us);

/** caller_limits_note() - count, and log at most once in 10 s for each @which */
void caller_limits_note(struct proxy *proxy, enum proxy_counter which,
			const char *event, const char *remedy);

#endif
