#ifndef FAILOVER_INTERNAL_H
#define FAILOVER_INTERNAL_H

#include "failover.h"

/**
 * failover_fenced() - whether no daemon can acknowledge writes of the term any
 * more
 * @wake_us: lowered to the next relevant lease expiry
 */
bool failover_fenced(const struct failover *fo,
		     const struct failover_view *view, int64_t now_us,
		     int64_t *wake_us);

/** failover_all_answered() - whether every replica of the view answered */
bool failover_all_answered(const struct failover_view *view);

/**
 * failover_choose_candidate() - choose a replica with every acknowledged write
 * @term: the term that ends; a replica of an earlier one does not qualify
 * @blocked: set to the reason and what to do if none qualifies, else NULL
 * Return: index of the replica, -1 if none may be promoted now
 */
int failover_choose_candidate(const struct failover_view *view, uint32_t term,
			      const char **blocked);

#endif
