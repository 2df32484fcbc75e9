#ifndef PLACEMENT_H
#define PLACEMENT_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Choice of the upstream that runs the next request of a service.
 *
 * Pure functions. For databases with two slots each that are nearly always
 * busy, where each daemon sees only its own statements: the expected wait is
 * the recent statement latency times the number of statements already sent.
 */

/** Factor on the cost of the primary, percent: only it can run writes. */
#define PLACEMENT_PRIMARY_COST_PERCENT 300
/** Added cost of another zone, microseconds: its traffic is billed. */
#define PLACEMENT_CROSS_ZONE_COST_US (4 * 1000ll)
/** Added cost of opening a connection, microseconds. */
#define PLACEMENT_CONNECT_COST_US (12 * 1000ll)

/**
 * struct placement_option - one upstream
 * @primary: whether it is the primary of the service
 * @other_zone: whether it is in another availability zone
 * @usable: whether it may run this request
 * @idle: open connections without a request
 * @busy: connections that run a request or are being opened for one
 * @openable: connections that may still be opened
 * @latency_us: recent statement latency
 */
struct placement_option {
	bool primary;
	bool other_zone;
	bool usable;
	unsigned idle;
	unsigned busy;
	unsigned openable;
	int64_t latency_us;
};

/**
 * placement_choose() - choose the upstream with the lowest expected wait
 * @random: breaks ties
 * Return: index of an option that has an idle connection or may open one, -1
 *         if there is none
 */
int placement_choose(const struct placement_option *options, unsigned nr,
		     uint32_t random);

#endif
