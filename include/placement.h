#ifndef PLACEMENT_H
#define PLACEMENT_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Which upstream of a service runs the next request.
 *
 * Pure. Answers the load in which two slots a database are nearly always
 * busy and each daemon sees only its own part: the expected wait is the time
 * that statements took there of late times the statements already sent.
 */

/** Extra weight of the primary for reads, percent: writes can go nowhere else. */
#define PLACEMENT_PRIMARY_PERCENT 300
/** Weight of crossing between zones, microseconds: bytes there cost money. */
#define PLACEMENT_ZONE_US (4 * 1000ll)
/** Weight of opening a connection first, microseconds. */
#define PLACEMENT_OPEN_US (12 * 1000ll)

/**
 * struct placement_option - one upstream
 * @primary: whether it leads the service
 * @far: whether it is in another availability zone
 * @usable: whether it may be sent this request at all
 * @idle: open connections that are free
 * @busy: connections with a request, or that are being opened for one
 * @room: connections that may still be opened
 * @latency_us: time that a statement took there of late
 */
struct placement_option {
	bool primary;
	bool far;
	bool usable;
	unsigned idle;
	unsigned busy;
	unsigned room;
	int64_t latency_us;
};

/**
 * placement_choose() - the upstream with the least expected wait
 * @random: to break ties
 * Return: index of an option with an idle connection or room for one, -1 if
 *         none has
 */
int placement_choose(const struct placement_option *options, unsigned nr,
		     uint32_t random);

#endif
