#ifndef UPSTREAM_POOL_H
#define UPSTREAM_POOL_H

#include "proxy.h"
#include "request.h"
#include "upstream_connection.h"

/**
 * DOC: Connections to one upstream, and the requests that wait for one.
 *
 * A home never holds more connections than the control leader granted, the
 * probe connection included. Waiting requests are queued per pool, and the
 * pools that share an upstream take turns.
 */

/**
 * struct pool_queue - waiting requests of one pool at one upstream
 * @slots: of the database
 * @connections: of all daemons together at the database
 * @shared: whether several tenants use the pool
 */
struct pool_queue {
	const char *pool;
	unsigned slots;
	unsigned connections;
	bool shared;
	struct admission admission;
};

/**
 * struct upstream_home - one upstream
 * @handle: in the directory; also the index in struct proxy.homes
 * @idle: clean connections, last used at the tail
 * @busy: connections that run or hold a request
 * @opening: connections not ready yet, the probe connection aside
 * @closing: connections given up that the upstream has not closed yet
 * @open: all connections, those in @closing included
 * @share: connections granted
 * @rejected: refused a start-up since the last one that succeeded
 * @suspect: misses probes or refuses connections
 * @position_wanted: ask for the position again once it has answered
 * @refused: consecutive refused connections of the probe
 * @late: ticks for which the probe connection has owed an answer
 * @received_us: when bytes last came on any connection
 * @retry_us: no new connection before this time, after a failed one
 */
struct upstream_home {
	struct proxy *proxy;
	int handle;
	char *name;
	struct upstream_connection *probe;
	GQueue idle;
	GQueue busy;
	GQueue opening;
	GQueue closing;
	unsigned open;
	unsigned share;
	unsigned refused;
	unsigned late;
	int64_t received_us;
	int64_t retry_us;
	GPtrArray *queues;
	unsigned turn;
	int probe_timer;
	int wake_timer;
	bool suspect;
	bool rejected;
	bool position_wanted;
};

/** upstream_home_at() - home of a directory handle, created at first use */
struct upstream_home *upstream_home_at(struct proxy *proxy, int handle);
void upstream_home_free(struct upstream_home *home);

/** upstream_home_limit() - connections that may be open now */
unsigned upstream_home_limit(const struct upstream_home *home);
/** upstream_home_surrender() - close every connection */
void upstream_home_surrender(struct upstream_home *home);
void upstream_home_share(struct upstream_home *home, unsigned connections);

/** upstream_home_enqueue() - false if refused; @verdict tells why */
bool upstream_home_enqueue(struct upstream_home *home, struct request *req,
			   enum admission_verdict *verdict);
/** upstream_home_cost() - expected wait of a new request, microseconds */
int64_t upstream_home_cost(const struct upstream_home *home);
void upstream_home_remove(struct upstream_home *home, struct request *req);

/** upstream_home_dispatch() - run what can run, open what is needed */
void upstream_home_dispatch(struct upstream_home *home);

/** upstream_home_ready() - a connection finished its start-up */
void upstream_home_ready(struct upstream_home *home,
			 struct upstream_connection *conn);

/** upstream_home_release() - take back a connection, or close it */
void upstream_home_release(struct upstream_home *home,
			   struct upstream_connection *conn);

/** upstream_home_gone() - @conn is given up; it still counts as open */
void upstream_home_gone(struct upstream_home *home,
			struct upstream_connection *conn,
			enum upstream_end end);

/** upstream_home_closed() - the upstream has closed its side, too */
void upstream_home_closed(struct upstream_home *home,
			  struct upstream_connection *conn);

/** upstream_home_wanted() - connections that could be used now */
unsigned upstream_home_wanted(const struct upstream_home *home);

/** upstream_probe_start() - probe the upstream every probe_interval_us */
void upstream_probe_start(struct upstream_home *home);
void upstream_probe_ready(struct upstream_home *home);
/** upstream_probe_lost() - the probe connection is closed */
void upstream_probe_lost(struct upstream_home *home, enum upstream_end end);
/** upstream_home_probed() - the position query on it was answered */
void upstream_home_probed(struct upstream_home *home, bool has_position);
/** upstream_probe_ask() - ask for the position now, for waiting commits */
void upstream_probe_ask(struct upstream_home *home);

/** upstream_home_avoid() - it fails or leaves: move what can be moved */
void upstream_home_avoid(struct upstream_home *home);

/** upstream_home_requeue() - route every waiting request anew */
void upstream_home_requeue(struct upstream_home *home);

#endif
