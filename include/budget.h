#ifndef BUDGET_H
#define BUDGET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Division of a database's connections between daemons.
 *
 * The sum of the recorded shares of an upstream never exceeds its budget. A
 * share grows only from unassigned connections. It shrinks in two steps: the
 * daemon is given a lower target, then the share is reduced once the daemon
 * has confirmed that it closed the connections. This module computes the
 * changes; each is committed as an entry of the replicated log.
 */

/**
 * struct budget_share - connections one daemon may hold to one upstream
 * @connections: recorded share; counts against the budget
 * @target: share that the daemon is asked to shrink to; equal to
 *          @connections if it is not asked to shrink
 */
struct budget_share {
	unsigned connections;
	unsigned target;
};

/**
 * struct budget_demand - state of one daemon, from its heartbeat
 * @open: connections open or being opened, from a heartbeat sent after the
 *        daemon applied the recorded target; until then the recorded share,
 *        since the daemon may still open that many
 * @wanted: connections it could use now, including the probe connection
 * @alive: whether its lease is valid
 * @presumed_closed: whether its lease expired long enough ago for all its
 *                   connections to be closed: the time a daemon keeps
 *                   connections without a lease, plus the keepalive time of
 *                   the upstream
 */
struct budget_demand {
	unsigned open;
	unsigned wanted;
	bool alive;
	bool presumed_closed;
};

/** struct budget_change - new share of the daemon with index @daemon */
struct budget_change {
	unsigned daemon;
	struct budget_share share;
};

/**
 * budget_plan() - compute the next share changes for one upstream
 * @budget: connections that the database accepts
 * @shares: recorded shares, indexed by daemon
 * @demands: indexed by daemon
 * @nr: number of daemons
 * @changes: receives at most @nr changes
 * Return: number of changes
 *
 * If the changes are applied in order, the sum of shares stays within @budget
 * after each of them.
 */
unsigned budget_plan(unsigned budget, const struct budget_share *shares,
		     const struct budget_demand *demands, unsigned nr,
		     struct budget_change *changes);

#endif
