#ifndef CONNECTION_LIMITS_H
#define CONNECTION_LIMITS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * DOC: Limits on callers that hold memory, descriptors or time.
 *
 * Pure decisions: the caller supplies bytes, counts and times. Memory is shared
 * by all connections. A connection is always read up to CONNECTION_ALLOWANCE;
 * above it, it is paused once half of the budget is in use, and closed once all
 * of it is. While connections are paused, one of them may go on, so that a
 * single large message is served however many others stopped half-way.
 */

/** Bytes that a connection may hold whatever the others hold. */
#define CONNECTION_ALLOWANCE (64u * 1024)

/**
 * struct connection_limits - limits in force; 0 is no limit
 * @budget: bytes held by all connections
 * @max_connections: connections of callers
 * @max_startups: connections that are not logged in yet
 * @max_per_address: connections from one IP address
 * @startup_timeout_us: time to log in
 * @message_timeout_us: time for a message or batch to become complete
 * @transaction_idle_us: time between two requests of a transaction
 * @unread_timeout_us: time that output makes no progress
 */
struct connection_limits {
	size_t budget;
	unsigned max_connections;
	unsigned max_startups;
	unsigned max_per_address;
	int64_t startup_timeout_us;
	int64_t message_timeout_us;
	int64_t transaction_idle_us;
	int64_t unread_timeout_us;
};

enum connection_admission {
	CONNECTION_ADMITTED,
	CONNECTION_REFUSED_COUNT,
	CONNECTION_REFUSED_ADDRESS,
	/** admitted in place of the connection longest in startup */
	CONNECTION_EVICTS_STARTUP,
};

/** connection_admit() - whether to keep a connection that was accepted; the
 * counts are without it */
enum connection_admission
connection_admit(const struct connection_limits *limits, unsigned nr_open,
		 unsigned nr_startups, unsigned nr_of_address);

enum connection_pace {
	CONNECTION_READ,
	CONNECTION_PAUSE,
};

/**
 * connection_pace() - whether to read on from a connection
 * @total: bytes held by all connections
 * @held: bytes held by this one
 * @preferred: it is the one that may go on while others are paused
 */
enum connection_pace connection_pace(const struct connection_limits *limits,
				     size_t total, size_t held, bool preferred);

/** connection_must_shed() - whether a connection must be closed for memory */
bool connection_must_shed(const struct connection_limits *limits, size_t total);

/** connection_weight() - the connection of the largest weight is closed first:
 * it has held the most for the longest */
double connection_weight(size_t held, int64_t held_for_us);

/** enum connection_fault - why a connection is closed for its age */
enum connection_fault {
	CONNECTION_SOUND,
	CONNECTION_STARTUP_LATE,
	CONNECTION_MESSAGE_LATE,
	CONNECTION_TRANSACTION_IDLE,
	CONNECTION_UNREAD,
};

/**
 * struct connection_ages - since when a connection is in a state, 0 if it is
 * not in it
 */
struct connection_ages {
	int64_t startup_us;
	int64_t message_us;
	int64_t transaction_us;
	int64_t unread_us;
};

enum connection_fault
connection_fault_of(const struct connection_limits *limits,
		    const struct connection_ages *ages, int64_t now_us);

/**
 * connection_max() - connections that the descriptors of the process allow
 * @wanted: the setting
 * @descriptors: limit of the process
 * @reserved: kept for upstreams, control and logs; at most half of the limit
 */
unsigned connection_max(unsigned wanted, uint64_t descriptors,
			unsigned reserved);

#endif
