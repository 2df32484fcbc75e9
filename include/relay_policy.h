#ifndef RELAY_POLICY_H
#define RELAY_POLICY_H

#include <stdbool.h>

/**
 * DOC: When a daemon relays statements although it connects to the upstreams
 * itself.
 *
 * Pure functions. Two loads need it. After a full outage the upstreams still
 * count the connections of the former processes, so some daemons get none for
 * seconds while others have enough. And a partition can separate a daemon from
 * the primary, but not from other daemons that reach it.
 */

/**
 * struct relay_option - one upstream that may run the statement
 * @connected: whether a connection to it is open
 * @failing: whether it has failed and answered nothing since
 * @full: whether it recently refused a connection because its limit was reached
 */
struct relay_option {
	bool connected;
	bool failing;
	bool full;
};

/**
 * relay_needed() - whether none of the upstreams can be reached from here
 * @options: upstreams that may run the statement; none if it needs the primary
 *           and no primary is known
 * @nr_failing: upstreams of the service that are failing, whether or not they
 *              are among @options
 *
 * An unknown primary alone does not count: during a promotion no daemon knows
 * it. If an upstream is failing as well, that may be the primary, and other
 * daemons may reach it.
 */
bool relay_needed(const struct relay_option *options, unsigned nr,
		  unsigned nr_failing);

#endif
