#ifndef LOAD_BALANCE_H
#define LOAD_BALANCE_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Choice of the upstream for a read that several upstreams may run.
 *
 * Pure functions. Many daemons choose at the same moment, each by slightly old
 * measurements of its own statements. Each takes the cheaper of two upstreams
 * that it draws at random, so that daemons with the same measurements do not
 * all choose the same upstream. See docs/design/even-load.md.
 */

/** Factor on the cost of the primary, percent: only it can run writes. */
#define LOAD_BALANCE_PRIMARY_COST_PERCENT 300
/** Added cost of another zone, microseconds: its traffic is billed. */
#define LOAD_BALANCE_CROSS_ZONE_COST_US (4 * 1000ll)
/** Added cost of opening a connection, microseconds. */
#define LOAD_BALANCE_CONNECT_COST_US (12 * 1000ll)
/** Least latency assumed, also if none is known, microseconds. */
#define LOAD_BALANCE_MIN_LATENCY_US (2 * 1000ll)
/**
 * Half-life of a measured latency, in statement times without queueing. With
 * 24 and many daemons, reads waited longer while an upstream was slow; with 40,
 * an outdated estimate was kept for longer.
 */
#define LOAD_BALANCE_HALF_LIFE_STATEMENTS 32
/** Random bits that one choice uses. */
#define LOAD_BALANCE_RANDOM_BITS 24

/**
 * struct load_balance_option - one upstream
 * @primary: whether it is the primary of the service
 * @other_zone: whether it is in another availability zone
 * @usable: whether it may run this request
 * @idle: open connections without a request
 * @busy: own statements in flight, and connections being opened for one
 * @openable: connections that may still be opened
 * @latency_us: moving average of the statement latency, 0 if not known
 * @base_latency_us: lowest recent value of @latency_us, 0 if not known
 * @age_us: time since the last answer to an own statement
 * @oldest_us: time for which the oldest own statement is in flight, 0 if none
 */
struct load_balance_option {
	bool primary;
	bool other_zone;
	bool usable;
	unsigned idle;
	unsigned busy;
	unsigned openable;
	int64_t latency_us;
	int64_t base_latency_us;
	int64_t age_us;
	int64_t oldest_us;
};

/**
 * load_balance_latency_us() - latency expected of an upstream now
 * @mean_us: mean latency of the usable upstreams of the service
 * Return: the measured latency, moved towards @mean_us by its age, and at least
 *         the time for which a statement has been in flight
 */
int64_t load_balance_latency_us(const struct load_balance_option *option,
				int64_t mean_us);

/**
 * load_balance_choose() - choose the cheaper of two options drawn at random
 * @random: LOAD_BALANCE_RANDOM_BITS random bits
 * Return: index of an option that has an idle connection or may open one, -1
 *         if there is none
 */
int load_balance_choose(const struct load_balance_option *options, unsigned nr,
			uint32_t random);

#endif
