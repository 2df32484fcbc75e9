#ifndef BUDGET_H
#define BUDGET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Shares of a database's connections among daemons.
 *
 * The sum of the recorded shares of an upstream never exceeds its budget. A
 * share grows only from what is free; it shrinks by a target first, and by
 * the daemon's confirmation that it closed the connections second. Every
 * change is an entry of the agreed log; this module computes the changes.
 */

/**
 * struct budget_share - what one daemon may hold at one upstream
 * @connections: recorded share; counts against the budget
 * @target: what the daemon is asked to shrink to; equal to @connections if
 *          nothing is asked
 */
struct budget_share {
	unsigned connections;
	unsigned target;
};

/**
 * struct budget_demand - one daemon's view, from its heartbeat
 * @open: connections open or being opened, by a heartbeat that was sent
 *        after the daemon had taken in the recorded target; the recorded
 *        connections until then, since it may still open as many
 * @wanted: connections it could use now, the probe connection included
 * @alive: whether its lease is live
 * @gone: whether it lost its lease long enough ago for its connections to
 *        have been closed: the time a daemon keeps connections without a
 *        lease, plus the keepalive time of the upstream
 */
struct budget_demand {
	unsigned open;
	unsigned wanted;
	bool alive;
	bool gone;
};

struct budget_change {
	unsigned daemon;
	struct budget_share share;
};

/**
 * budget_plan() - next changes for one upstream
 * @budget: connections of the database
 * @shares: recorded shares, by daemon
 * @demands: by daemon
 * @nr: daemons
 * @changes: receives at most @nr changes
 * Return: number of changes
 *
 * With every change applied in order the sum of shares stays within @budget.
 */
unsigned budget_plan(unsigned budget, const struct budget_share *shares,
		     const struct budget_demand *demands, unsigned nr,
		     struct budget_change *changes);

#endif
