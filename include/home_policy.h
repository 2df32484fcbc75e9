#ifndef HOME_POLICY_H
#define HOME_POLICY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Assignment of services to the entry daemons that connect to them.
 *
 * Pure functions; every daemon computes the same plan from the same roster.
 * A few home daemons in each availability zone hold the connections of a
 * service, and the others relay to a home of their zone. Under overload the
 * statements then wait in few queues that order them by urgency, instead of one
 * of each daemon and a long one at the database, which is first come, first
 * served; and databases that accept fewer connections than there are daemons
 * can be used at all. There are as many homes as give each daemon about one
 * service. Homes are chosen by rendezvous hashing, so that few services move
 * when a daemon joins or leaves. No daemon is a home for more services than
 * its equal share.
 */

/** Connections that each home should have to an upstream. */
#define HOME_CONNECTIONS 3
/** More connections than this, over all homes, only lengthen the queue. */
#define HOME_CONNECTIONS_MAX 24
/** No relays are used if each daemon can have this many connections. */
#define HOME_DIRECT_CONNECTIONS 8

struct home_daemon {
	const char *name;
	const char *availability_zone;
	uint32_t ip;
};

/**
 * struct home_service - one service
 * @connections: connections that each of its upstreams accepts
 */
struct home_service {
	const char *name;
	unsigned connections;
};

/**
 * struct home_set - home daemons of one service
 * @daemons: roster indices (unsigned), by rank within each zone; empty if
 *           @all_daemons
 * @all_daemons: whether each daemon holds its own connections
 */
struct home_set {
	GArray *daemons;
	bool all_daemons;
};

/**
 * home_plan() - choose the home daemons of all services
 * @daemons: roster, in any order
 * @services: in any order
 * Return: map of service name to struct home_set; free it with
 *         g_hash_table_destroy()
 */
GHashTable *home_plan(const struct home_daemon *daemons, unsigned nr_daemons,
		      const struct home_service *services,
		      unsigned nr_services);

/**
 * home_account_rank() - rank of a home daemon for an account
 *
 * Connections belong to one account each. The daemons send what an account asks
 * of a service to its home with the lowest rank, so that few homes need
 * connections for the account.
 */
uint64_t home_account_rank(const char *account, const char *daemon);

#endif
