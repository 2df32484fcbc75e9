#ifndef SESSION_POSITIONS_H
#define SESSION_POSITIONS_H

#include "position.h"
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Positions of sessions, kept by three owner daemons each.
 *
 * A write is stored at a majority of the owners before it is acknowledged; a
 * read that carries no position asks them and needs a majority of answers.
 * Each answer tells how far back the owner's memory is complete, so a lost
 * memory makes reads go to fresher upstreams and never to stale ones.
 */

#define SESSION_OWNERS 3
#define SESSION_CAPACITY 65536
#define SESSION_RETENTION_US (30 * 1000000ll)
/**
 * SESSION_MEMBERS_GRACE_US - for how long an older member list may be in use
 *
 * A daemon that has not heard of a new list uses the old one until its lease
 * ends: with the default lease 1.2 s after the list was agreed, plus 2% for clocks of different
 * rates and as much again for the clock that measures this time.
 *
 * For this long after taking in a list,
 * - an owner's record does not count as complete, since another daemon may
 *   still store by the old list;
 * - a daemon acknowledges a write only after a majority of the owners by the
 *   new list and a majority of the owners by each list replaced in that time
 *   have stored it, all under the new version. Otherwise a daemon with the
 *   old list could read from a majority of owners that has not heard of the
 *   new one. A daemon that knows no earlier list, having just started, waits
 *   until the time is over.
 */
#define SESSION_MEMBERS_GRACE_US 1250000ll

struct session_answer {
	bool found;
	struct position pos;
	int64_t complete_for_us;
};

/** struct session_positions - the memory of one owner */
struct session_positions {
	GHashTable *entries;
	GQueue *by_age;
	unsigned capacity;
	int64_t retention_us;
	int64_t complete_since_us;
	uint64_t members_version;
};

void session_positions_init(struct session_positions *sp, unsigned capacity,
			    int64_t retention_us, int64_t now_us);
void session_positions_finish(struct session_positions *sp);

/**
 * session_positions_members() - a new member list moves owners
 * @grace_us: SESSION_MEMBERS_GRACE_US, or more for a longer lease
 */
void session_positions_members(struct session_positions *sp, uint64_t version,
			       int64_t now_us, int64_t grace_us);

/** session_positions_store() - false if @version is not ours */
bool session_positions_store(struct session_positions *sp, uint64_t session,
			     uint64_t cluster, struct position pos,
			     uint64_t version, int64_t now_us);
bool session_positions_lookup(struct session_positions *sp, uint64_t session,
			      uint64_t cluster, uint64_t version,
			      int64_t now_us, struct session_answer *answer);

/** session_hash() - identity of a session; text is user or stated session */
uint64_t session_hash(const char *text);
uint64_t cluster_hash(const char *service, const char *cluster);

struct session_member {
	const char *name;
	const char *availability_zone;
};

/**
 * session_owners() - rendezvous hashing, distinct zones where possible
 * @owners: receives up to SESSION_OWNERS indices into @members
 * Return: number of owners
 */
unsigned session_owners(const struct session_member *members, unsigned nr,
			uint64_t session, unsigned *owners);

/**
 * struct session_quorum - collects the owners' answers to one request
 */
struct session_quorum {
	unsigned needed;
	unsigned answered;
	unsigned refused;
	unsigned asked;
	struct session_answer merged;
};

void session_quorum_init(struct session_quorum *quorum, unsigned asked);
void session_quorum_answer(struct session_quorum *quorum,
			   const struct session_answer *answer);
void session_quorum_refusal(struct session_quorum *quorum);
bool session_quorum_reached(const struct session_quorum *quorum);
bool session_quorum_failed(const struct session_quorum *quorum);

#endif
