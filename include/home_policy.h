#ifndef HOME_POLICY_H
#define HOME_POLICY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Which entry daemons hold the connections of which service.
 *
 * Pure; every daemon comes to the same plan from the same roster. Answers the
 * load in which a database takes fewer connections than there are daemons, or
 * than would keep its queue short: a few home daemons in each availability
 * zone hold them, and the others relay to a home of their zone. Homes are
 * chosen by rendezvous hashing, so a daemon that comes or goes moves few
 * services; no daemon is home to more services than its part.
 */

/** Connections that a home should have to each upstream. */
#define HOME_LINKS 3
/** Connections to one upstream, over all homes, beyond which it only queues. */
#define HOME_LINKS_TOTAL 24
/** A daemon holds its own connections while there are so many for each. */
#define HOME_DIRECT_LINKS 2

struct home_daemon {
	const char *name;
	const char *availability_zone;
	uint32_t ip;
};

/** struct home_service - @connections: that one upstream accepts */
struct home_service {
	const char *name;
	unsigned connections;
};

/**
 * struct home_set - homes of one service
 * @daemons: indices into the roster, unsigned, by rank
 * @everyone: whether each daemon is a home
 */
struct home_set {
	GArray *daemons;
	bool everyone;
};

/**
 * home_plan() - homes of all services
 * @daemons: roster in any order
 * @services: in any order
 * Return: service name to struct home_set; freed by g_hash_table_destroy()
 */
GHashTable *home_plan(const struct home_daemon *daemons, unsigned nr_daemons,
		      const struct home_service *services,
		      unsigned nr_services);

#endif
