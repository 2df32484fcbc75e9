#ifndef LEASE_H
#define LEASE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Leases: a daemon's own lease, and the leader's record of all leases.
 *
 * A daemon counts its lease from the time at which it sent the heartbeat and
 * shortens it by a margin for clock drift. The leader counts from the time at
 * which it received the heartbeat and adds a margin. So the leader's record
 * ends after the daemon's lease as long as the two clock rates differ by less
 * than the sum of the margins.
 */

#define LEASE_DURATION_US 1200000ll
/** Part of the duration by which a daemon shortens its lease, thousandths. */
#define LEASE_DAEMON_MARGIN_PERMILLE 10
/** Part of the duration that the leader adds to its record, thousandths. */
#define LEASE_LEADER_MARGIN_PERMILLE 20

/**
 * A leader that lost its majority may still grant leases until its quorum
 * check makes it step down, at most two election timeouts of 150 ms after its
 * successor was elected. A new leader adds this time to the leases that earlier
 * leaders may have granted.
 */
#define LEASE_LEADER_OVERLAP_US 300000ll

/** Latest heartbeats for which a grant is still accepted. */
#define LEASE_HEARTBEAT_WINDOW 16

/**
 * struct lease - a daemon's own lease
 * @until_us: end of the lease
 * @last_granted_sent_us: send time of the last granted heartbeat, or -1
 * @incarnation: changes with each start of the daemon
 * @sent_us: send time of a heartbeat, by its sequence modulo the array size
 */
struct lease {
	int64_t until_us;
	int64_t last_granted_sent_us;
	uint64_t incarnation;
	uint64_t next_sequence;
	int64_t sent_us[LEASE_HEARTBEAT_WINDOW];
};

void lease_init(struct lease *lease, uint64_t incarnation);
/**
 * lease_record_heartbeat() - record that a heartbeat is sent now
 * Return: its sequence
 */
uint64_t lease_record_heartbeat(struct lease *lease, int64_t now_us);
/**
 * lease_grant() - extend the lease by a grant that arrived
 * Return: false if the grant is stale, invalid or for another incarnation
 */
bool lease_grant(struct lease *lease, uint64_t incarnation, uint64_t sequence,
		 int64_t duration_us, int64_t now_us);
bool lease_valid(const struct lease *lease, int64_t now_us);
/**
 * lease_last_granted_heartbeat_us() - send time of the last granted heartbeat
 * Return: -1 if none was granted
 */
int64_t lease_last_granted_heartbeat_us(const struct lease *lease);

/**
 * struct lease_table - the leader's record of the leases of all daemons
 * @expires_by_daemon: maps a daemon's name to the end of its lease, int64_t
 * @leader_since_us: INT64_MAX while this node does not lead
 */
struct lease_table {
	GHashTable *expires_by_daemon;
	int64_t duration_us;
	int64_t leader_since_us;
};

void lease_table_init(struct lease_table *table, int64_t duration_us);
void lease_table_finish(struct lease_table *table);
/**
 * lease_table_become_leader() - start an empty record as the new leader
 *
 * It does not know the leases that earlier leaders granted.
 */
void lease_table_become_leader(struct lease_table *table, int64_t now_us);
void lease_table_grant(struct lease_table *table, const char *daemon,
		       int64_t received_us);
/** lease_table_is_live() - whether a daemon's recorded lease is valid */
bool lease_table_is_live(const struct lease_table *table, const char *daemon,
			 int64_t now_us);
/**
 * lease_table_max_lease_us() - duration of a lease as recorded here
 *
 * Counts from the receipt of the heartbeat that the lease is granted for.
 */
int64_t lease_table_max_lease_us(const struct lease_table *table);
/**
 * lease_table_earlier_leases_end_us() - end of all leases of earlier leaders
 */
int64_t lease_table_earlier_leases_end_us(const struct lease_table *table);
/**
 * lease_table_expires_us() - time at which a daemon's lease has certainly ended
 *
 * Allows for a lease granted by an earlier leader.
 * Return: at least lease_table_earlier_leases_end_us()
 */
int64_t lease_table_expires_us(const struct lease_table *table,
			       const char *daemon);

#endif
