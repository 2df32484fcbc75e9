#ifndef DRAIN_H
#define DRAIN_H

#include "proxy.h"

/**
 * DOC: Signals and the graceful shutdown.
 *
 * SIGHUP reads the settings again. SIGTERM and SIGINT drain: no caller is
 * accepted, each request in flight gets its whole answer, a new request is
 * refused, callers that stay idle are closed, and the process ends when no
 * caller is left or after drain_timeout.
 */

void drain_watch_signals(struct proxy *proxy);
void drain_unwatch_signals(struct proxy *proxy);

/** drain_start() - start to drain; a second call changes nothing */
void drain_start(struct proxy *proxy);

struct caller;

/** drain_dismiss() - the caller's next request does not run here */
void drain_dismiss(struct caller *caller);

/** drain_check() - a caller became idle or left */
void drain_check(struct proxy *proxy);

#endif
