#ifndef FAILOVER_INTERNAL_H
#define FAILOVER_INTERNAL_H

#include "failover.h"

/**
 * failover_fenced() - whether no daemon can acknowledge writes of the term
 * @wake_us: lowered to the next lease expiry that matters
 */
bool failover_fenced(const struct failover *fo,
		     const struct failover_view *view, int64_t now_us,
		     int64_t *wake_us);

/** failover_all_answered() - whether every known replica answered */
bool failover_all_answered(const struct failover_view *view);

/**
 * failover_choose() - replica that holds every acknowledged write
 * @blocked: set to the reason and its remedy if there is none
 * Return: index, -1 if none may be promoted now
 */
int failover_choose(const struct failover_view *view, const char **blocked);

#endif
