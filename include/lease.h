#ifndef LEASE_H
#define LEASE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Leases: a daemon's own, and the leader's record of all.
 *
 * A daemon's lease counts from the time it sent the heartbeat and is cut by
 * the clock-rate bound; the leader's record counts from the time it received
 * the heartbeat and is extended by it. So the leader's record ends last as
 * long as two clocks differ in rate by less than the bounds together.
 */

#define LEASE_DURATION_US 1200000ll
/** Part of the duration the daemon gives up, thousandths. */
#define LEASE_DAEMON_MARGIN 10
/** Part of the duration the leader adds, thousandths. */
#define LEASE_LEADER_MARGIN 20

/**
 * A leader that lost its majority may still grant until its quorum check ends
 * its leadership, at most two election timeouts of 150 ms after its successor
 * was elected. A new leader adds this to the leases it does not know of.
 */
#define LEASE_HANDOVER_US 300000ll

/** Heartbeats whose grants are still accepted. */
#define LEASE_WINDOW 16

/** struct lease - a daemon's own lease */
struct lease {
	int64_t until_us;
	int64_t granted_us;
	uint64_t incarnation;
	uint64_t next_sequence;
	int64_t sent_us[LEASE_WINDOW];
};

void lease_init(struct lease *lease, uint64_t incarnation);
/** lease_heartbeat() - a heartbeat leaves now; returns its sequence */
uint64_t lease_heartbeat(struct lease *lease, int64_t now_us);
/** lease_grant() - a grant arrived; false if it is stale or not for us */
bool lease_grant(struct lease *lease, uint64_t incarnation, uint64_t sequence,
		 int64_t duration_us, int64_t now_us);
bool lease_valid(const struct lease *lease, int64_t now_us);
/** lease_last_grant_us() - send time of the last granted heartbeat, or -1 */
int64_t lease_last_grant_us(const struct lease *lease);

/**
 * struct lease_table - the leader's record of all daemons' leases
 * @by_daemon: name to the time, int64_t, at which its lease has ended
 * @leader_since_us: INT64_MAX while this node does not lead
 */
struct lease_table {
	GHashTable *by_daemon;
	int64_t duration_us;
	int64_t leader_since_us;
};

void lease_table_init(struct lease_table *table, int64_t duration_us);
void lease_table_finish(struct lease_table *table);
/** lease_table_lead() - this node became leader; earlier leases are unknown */
void lease_table_lead(struct lease_table *table, int64_t now_us);
void lease_table_grant(struct lease_table *table, const char *daemon,
		       int64_t received_us);
bool lease_table_live(const struct lease_table *table, const char *daemon,
		      int64_t now_us);
/** lease_table_full_us() - longest a lease granted now can last here */
int64_t lease_table_full_us(const struct lease_table *table);
/**
 * lease_table_known_us() - when leases granted by earlier leaders have ended
 */
int64_t lease_table_known_us(const struct lease_table *table);
/**
 * lease_table_expires() - when a daemon's lease has surely ended
 * Return: never before lease_table_known_us()
 */
int64_t lease_table_expires(const struct lease_table *table,
			    const char *daemon);

#endif
