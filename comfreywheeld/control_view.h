#ifndef CONTROL_VIEW_H
#define CONTROL_VIEW_H

#include "budget.h"
#include "bus.h"
#include "control_state.h"
#include "failover.h"
#include "lease.h"
#include "raft_wire.h"

/**
 * DOC: What the control leader derives from heartbeats and the agreed state.
 *
 * Pure functions; the control task carries out what they find.
 */

/**
 * struct control_daemon - what this leader heard of one daemon
 * @last: newest heartbeat, NULL before the first
 * @from: where to answer
 * @received_us: when @last arrived
 * @granted_us: when the last grant was sent, -1 for never
 * @grant_due: whether @last waits for its answer
 * @pushed_version: tables last sent, at @pushed_us
 * @proposed_us: when its registration was last proposed
 */
struct control_daemon {
	char *name;
	Wire__Heartbeat *last;
	struct bus_return_path from;
	int64_t received_us;
	int64_t granted_us;
	bool grant_due;
	uint64_t pushed_version;
	int64_t pushed_us;
	int64_t proposed_us;
};

struct control_daemon *control_daemon_new(const char *name);
void control_daemon_free(void *daemon);
/**
 * enum control_heard - what became of a heartbeat
 * @CONTROL_HEARD_OLD: older than the last one, or of no use
 * @CONTROL_HEARD_TOO_LITTLE: partial, and nothing is known to complete it
 */
enum control_heard {
	CONTROL_HEARD_NEW,
	CONTROL_HEARD_OLD,
	CONTROL_HEARD_TOO_LITTLE,
};

/** control_daemon_hear() - take a heartbeat in */
enum control_heard control_daemon_hear(struct control_daemon *daemon,
				       const Wire__Heartbeat *heartbeat,
				       int64_t now_us);

/** struct control_facts - all that decisions depend on */
struct control_facts {
	const struct control_state *state;
	GHashTable *daemons;
	const struct lease_table *leases;
	int64_t now_us;
};

/**
 * control_view_in_force() - whether every member holds @version
 * @stale_us: time without a grant after which a daemon serves nothing
 */
bool control_view_in_force(const struct control_facts *facts, uint64_t version,
			   int64_t stale_us);

/**
 * control_view_daemons() - every member, as the fail-over of @term sees it
 * @out: receives struct failover_daemon; names belong to the agreed state
 */
void control_view_daemons(const struct control_facts *facts,
			  const char *service, const char *cluster,
			  uint32_t term, GArray *out);

/** control_view_ack_replicas() - least value of the pools with the cluster */
unsigned control_view_ack_replicas(const struct tables *tables,
				   const char *service, const char *cluster);

/** struct control_upstream - an upstream and who reported it last */
struct control_upstream {
	const Wire__UpstreamReport *report;
	int64_t received_us;
};

/**
 * control_view_upstreams() - newest report of each upstream
 * @service: NULL for all clusters
 * Return: name to struct control_upstream; owned by the caller
 */
GHashTable *control_view_upstreams(const struct control_facts *facts,
				   const char *service, const char *cluster);

/**
 * control_view_found() - the primary of a cluster without a record
 * Return: the one reachable upstream that announces itself as the primary of
 *         the highest announced term; NULL if there is none or several
 */
const Wire__UpstreamReport *control_view_found(GHashTable *upstreams);

/**
 * control_view_replicates() - whether an upstream counts as a replica
 *
 * Not the primary of the agreed state, nor a former one that still announces
 * itself as primary of an ended term: it holds no write of the current one.
 */
bool control_view_replicates(const struct control_cluster *cluster,
			     const Wire__UpstreamReport *report);

/** struct control_share - one share to propose */
struct control_share {
	char *daemon;
	struct budget_share share;
};

/**
 * control_view_shares() - share changes of one upstream, safe in this order
 * @out: receives struct control_share, names to be freed by the caller
 */
void control_view_shares(const struct control_facts *facts,
			 const Wire__UpstreamReport *upstream,
			 int64_t linger_us, GArray *out);

/**
 * struct pg_position - answer to the position query
 * @term: 0 if a replica has no running receiver
 */
struct pg_position {
	bool in_recovery;
	uint32_t term;
	uint64_t received;
};

/** pg_position_parse() - decode a DataRow payload; false if malformed */
bool pg_position_parse(const uint8_t *payload, size_t len,
		       struct pg_position *position);

#endif
