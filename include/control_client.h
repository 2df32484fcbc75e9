#ifndef CONTROL_CLIENT_H
#define CONTROL_CLIENT_H

#include "bus.h"
#include "lease.h"
#include "position.h"
#include "settings.h"
#include "tables.h"
#include "timer_service.h"

/**
 * DOC: A daemon's link to the control VMs: heartbeats, lease, tables.
 *
 * Belongs to the proxy task. Sends a heartbeat to the leader, follows
 * redirects, tries the other control VMs when nobody answers, and reports
 * what the leader says. Versions never step back: an older tables version, an
 * older term of a cluster, the end of a fence without a new term, and a grant
 * older than the last one are ignored and counted.
 */

/**
 * struct control_events - what the proxy is told, and asked
 * @tables: a newer version came into force
 * @cluster: primary and term of a cluster; no writes while @fenced
 * @fence: the term ends now: stop writes, turn commits in flight into
 *         unknown outcomes, return the largest position acknowledged; term 0
 *         if this process cannot tell what its daemon acknowledged in the
 *         term, as after a restart. Called once a term and cluster.
 * @share: connections this daemon may hold at an upstream
 * @members: a newer member list
 * @lease_lost: the lease ran out
 * @fill: add cluster and upstream reports to a heartbeat; what is added is
 *        released with the heartbeat, so allocate it with g_malloc()
 */
struct control_events {
	void (*tables)(const struct tables *tables, void *data);
	void (*cluster)(const Wire__ClusterState *state, void *data);
	struct position (*fence)(const char *service, const char *cluster,
				 uint32_t term, void *data);
	void (*share)(const char *upstream, unsigned connections, void *data);
	void (*members)(Wire__Member *const *members, size_t nr,
			uint64_t version, void *data);
	void (*lease_lost)(void *data);
	void (*fill)(Wire__Heartbeat *heartbeat, void *data);
};

/**
 * struct control_client_counts - what was sent, taken in and ignored
 * @stale: grants, terms, fences and tables that would have stepped back
 * @searches: heartbeats sent to every control VM since none answered
 * @refused_tables: updates that do not pass tables_parse()
 */
struct control_client_counts {
	uint64_t heartbeats;
	uint64_t grants;
	uint64_t redirects;
	uint64_t fences;
	uint64_t stale;
	uint64_t searches;
	uint64_t refused_tables;
};

struct control_client;

/**
 * control_client_new() - start to send heartbeats
 * @bus: endpoint of the proxy task; hand its replies to
 *       control_client_reply()
 */
struct control_client *control_client_new(const struct settings *settings,
					  struct bus *bus,
					  struct timer_service *timers,
					  const struct control_events *events,
					  void *data, int64_t now_us);
void control_client_free(struct control_client *client);

/** control_client_reply() - false if @handle is no control VM's */
bool control_client_reply(struct control_client *client, int handle,
			  const Wire__Envelope *envelope, int64_t now_us);

/** control_client_urgent() - send a heartbeat now, to report a suspect */
void control_client_urgent(struct control_client *client, int64_t now_us);

bool control_client_may_write(const struct control_client *client,
			      int64_t now_us);
/** control_client_may_serve() - within stale_tables_limit of a grant */
bool control_client_may_serve(const struct control_client *client,
			      int64_t now_us);
const struct tables *control_client_tables(const struct control_client *client);
const struct control_client_counts *
control_client_counts(const struct control_client *client);

#endif
