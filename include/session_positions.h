#ifndef SESSION_POSITIONS_H
#define SESSION_POSITIONS_H

#include "position.h"
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Log positions of the sessions' last writes, for read-your-writes.
 *
 * Each session has up to three owner daemons that store its positions. The
 * position of a write is stored by a majority of the owners before the write is
 * acknowledged. A read that carries no position asks the owners for it and
 * needs the answers of a majority. Each answer states for how long back the
 * owner's record is complete, so that after a loss of records reads go to
 * fresher upstreams, never to stale ones.
 */

/** Maximum number of owners of a session. */
#define SESSION_OWNERS 3
/** Maximum number of positions that an owner stores. */
#define SESSION_CAPACITY 65536
/** How long an owner keeps a position. */
#define SESSION_RETENTION_US (30 * 1000000ll)
/**
 * SESSION_MEMBERS_GRACE_US - how long a replaced member list may be in use
 *
 * A daemon that has not received a new list uses the old one until its lease
 * ends. With the default lease this is 1.2 s after the new list was committed,
 * plus 2% for the different rates of the clocks, and another 2% for the clock
 * that measures this period.
 *
 * During this period after a daemon has received a new list,
 * - the record of an owner does not count as complete, since another daemon
 *   may still store positions at the owners of the old list;
 * - a daemon acknowledges a write only after it has been stored by a majority
 *   of the owners according to the new list, and by a majority of the owners
 *   according to each list replaced during the period, all under the new
 *   version. Otherwise a daemon with the old list could read from a majority of
 *   owners that have not received the new list. A daemon that has just started
 *   and knows no earlier list waits until the period is over.
 */
#define SESSION_MEMBERS_GRACE_US 1250000ll

/**
 * struct session_answer - answer of an owner to a lookup
 * @found: whether a position is stored
 * @pos: the stored position
 * @complete_for_us: the record holds all positions stored since this long ago
 */
struct session_answer {
	bool found;
	struct position pos;
	int64_t complete_for_us;
};

/**
 * struct session_positions - positions stored by one owner
 * @entries: struct entry by session and cluster
 * @entries_by_age: the entries, least recently stored first
 * @capacity: maximum number of entries
 * @retention_us: entries that were stored longer ago are removed
 * @complete_since_us: all positions stored since this time are held
 * @members_version: version of the member list in use
 */
struct session_positions {
	GHashTable *entries;
	GQueue *entries_by_age;
	unsigned capacity;
	int64_t retention_us;
	int64_t complete_since_us;
	uint64_t members_version;
};

void session_positions_init(struct session_positions *sp, unsigned capacity,
			    int64_t retention_us, int64_t now_us);
void session_positions_finish(struct session_positions *sp);

/**
 * session_positions_change_members() - switch to a new member list
 * @grace_us: SESSION_MEMBERS_GRACE_US, or more for a longer lease
 *
 * A new list may change which daemons own a session, so the record counts as
 * incomplete until @grace_us have passed.
 */
void session_positions_change_members(struct session_positions *sp,
				      uint64_t version, int64_t now_us,
				      int64_t grace_us);

/**
 * session_positions_store() - store a position unless a larger one is stored
 * @version: version of the member list that the sender uses
 * Return: false if @version is not the version in use here
 */
bool session_positions_store(struct session_positions *sp, uint64_t session,
			     uint64_t cluster, struct position pos,
			     uint64_t version, int64_t now_us);
/**
 * session_positions_lookup() - find the position of a session in a cluster
 * @version: version of the member list that the sender uses
 * Return: false if @version is not the version in use here
 */
bool session_positions_lookup(struct session_positions *sp, uint64_t session,
			      uint64_t cluster, uint64_t version,
			      int64_t now_us, struct session_answer *answer);

/** session_hash() - hash of a session's name: the one set, or the user name */
uint64_t session_hash(const char *text);
/** session_cluster_hash() - hash of a service and cluster name */
uint64_t session_cluster_hash(const char *service, const char *cluster);

/** struct session_member - a daemon that may own sessions */
struct session_member {
	const char *name;
	const char *availability_zone;
};

/**
 * session_select_owners() - choose the owners of a session
 * @owners: receives up to SESSION_OWNERS indices into @members
 * Return: number of owners
 *
 * Uses rendezvous hashing. The owners are in different availability zones where
 * possible.
 */
unsigned session_select_owners(const struct session_member *members,
			       unsigned nr, uint64_t session, unsigned *owners);

/**
 * struct session_quorum - answers of the owners to one request
 * @needed: answers that make a majority
 * @answered: answers received
 * @refused: owners that refused or failed to answer
 * @asked: owners that were asked
 * @merged: largest position and shortest completeness of the answers
 */
struct session_quorum {
	unsigned needed;
	unsigned answered;
	unsigned refused;
	unsigned asked;
	struct session_answer merged;
};

void session_quorum_init(struct session_quorum *quorum, unsigned asked);
void session_quorum_add_answer(struct session_quorum *quorum,
			       const struct session_answer *answer);
void session_quorum_add_refusal(struct session_quorum *quorum);
bool session_quorum_reached(const struct session_quorum *quorum);
bool session_quorum_failed(const struct session_quorum *quorum);

#endif
