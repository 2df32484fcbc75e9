#ifndef COMMIT_WAIT_H
#define COMMIT_WAIT_H

#include "request.h"

/**
 * DOC: Commits that wait until enough replicas have received them.
 *
 * One position query per replica is in flight at a time and answers all
 * waiting commits of its cluster.
 */

struct commit_wait;

struct commit_wait *commit_wait_new(struct proxy *proxy);
void commit_wait_free(struct commit_wait *cw);

/** commit_wait_add() - request_committed() follows, maybe at once */
void commit_wait_add(struct commit_wait *cw, struct request *req);
void commit_wait_remove(struct commit_wait *cw, struct request *req);

/** commit_wait_ask() - reads lack a replica: learn what replicas replayed */
void commit_wait_ask(struct commit_wait *cw, int cluster);

/** commit_wait_news() - an upstream reported its position */
void commit_wait_news(struct commit_wait *cw, int upstream);

/** commit_wait_fence() - every waiting commit of @cluster is unknown */
void commit_wait_fence(struct commit_wait *cw, int cluster, const char *why);

#endif
