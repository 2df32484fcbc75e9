#ifndef FAILOVER_H
#define FAILOVER_H

#include "position.h"
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Fail-over of one cluster, driven by the control leader.
 *
 * A pure state machine. The driver feeds it what daemons report and what
 * upstreams answer, and carries out the single action that
 * failover_next() asks for. A step is acted on only after it is committed to
 * the agreed log, so a new leader continues from the recorded step.
 *
 * What the driver must keep for this to be safe:
 * - A leader grants leases only after an entry of its own Raft term is
 *   applied, only to members that are in the agreed state, and each grant
 *   says which clusters are fenced. So a grant sent after the fence was
 *   recorded cannot prolong writes of the term.
 * - The view lists every member of the agreed state, live or not.
 * - Suspicions and confirmations of another term than the current one do not
 *   count.
 */

enum failover_step {
	FAILOVER_NONE,
	FAILOVER_FENCING,
	FAILOVER_PROMOTING,
	FAILOVER_DONE,
	FAILOVER_ABANDONED,
};

enum failover_action {
	FAILOVER_WAIT,
	/** propose the entry that records @step; @candidate with PROMOTING */
	FAILOVER_RECORD,
	/** send a fence to every daemon that has not confirmed */
	FAILOVER_SEND_FENCES,
	/** ask every replica for its received position */
	FAILOVER_ASK_POSITIONS,
	/** run pg_promote on the candidate */
	FAILOVER_PROMOTE,
	/** point the other replicas to the new primary and ask them again */
	FAILOVER_REPOINT,
};

/**
 * struct failover_daemon - what the leader knows of one daemon
 * @lease_expires_us: when its lease has surely ended
 * @uses_cluster: whether it serves the cluster
 * @suspects: whether it reports the primary as unreachable
 * @fence_confirmed: whether it confirmed the end of the term
 * @acknowledged: with @fence_confirmed, largest position it acknowledged;
 *                term 0 if it cannot tell, as after a restart
 */
struct failover_daemon {
	const char *name;
	bool live;
	int64_t lease_expires_us;
	bool uses_cluster;
	bool suspects;
	bool fence_confirmed;
	struct position acknowledged;
};

/**
 * struct failover_replica - what the leader knows of one replica
 * @answered: whether it answered a question of this run and has not failed to
 *            answer since; cleared by the driver when a run begins and when a
 *            question or a promotion fails
 * @promoted: whether it says that it is a primary. Its log is its own then:
 *            it is never chosen, only taken as the result of a promotion
 * @received: log received; once it is promoted, its new term
 */
struct failover_replica {
	const char *name;
	bool answered;
	bool promoted;
	struct position received;
};

struct failover_view {
	const struct failover_daemon *daemons;
	unsigned nr_daemons;
	const struct failover_replica *replicas;
	unsigned nr_replicas;
	unsigned ack_replicas;
	/** earliest time at which expiry may be relied on, see lease_table */
	int64_t leases_known_us;
	/** longest a lease granted now can last, see lease_table */
	int64_t lease_full_us;
};

/**
 * struct failover - one cluster's run; times are -1 when not reached
 * @step: last recorded step
 * @term: term that ends; after DONE the term read back from the candidate
 * @candidate: index into the replicas of the view, -1 for none
 * @started_us: when the fence was recorded or the run resumed
 * @suspected_us: when enough daemons first reported the primary
 * @fenced_us: when the last daemon confirmed or expired
 * @seen_us: when the candidate last answered
 * @recording: step that was ordered to be recorded, at @last_record_us
 * @blocked: why the run waits and the remedy, NULL if it does not
 */
struct failover {
	enum failover_step step;
	uint32_t term;
	uint32_t new_term;
	int candidate;
	int64_t started_us;
	int64_t suspected_us;
	int64_t fenced_us;
	int64_t seen_us;
	int64_t last_fence_us;
	int64_t last_ask_us;
	int64_t last_promote_us;
	int64_t last_repoint_us;
	enum failover_step recording;
	int recording_candidate;
	int64_t last_record_us;
	const char *blocked;
};

/**
 * struct failover_order - the single thing to do next
 * @wake_us: when to ask again if nothing else happens, INT64_MAX for never
 */
struct failover_order {
	enum failover_action action;
	enum failover_step step;
	int candidate;
	int64_t wake_us;
};

void failover_init(struct failover *fo, uint32_t term);

/** failover_resume() - take up the step recorded in the agreed log */
void failover_resume(struct failover *fo, enum failover_step step,
		     uint32_t term, int candidate, int64_t now_us);

/**
 * failover_suspected() - whether enough daemons report the primary
 *
 * A majority of the daemons that use the cluster and may hold a lease, and at
 * least two unless a single daemon uses it. A report counts for a third of a
 * lease after the heartbeat that made it. A new leader has not heard of all
 * leases, so until these have ended every daemon counts in the whole.
 */
bool failover_suspected(const struct failover_view *view, int64_t now_us);

/** failover_next() - what to do now */
void failover_next(struct failover *fo, const struct failover_view *view,
		   int64_t now_us, struct failover_order *order);

/** failover_recorded() - the entry of @step was committed and changed @step */
void failover_recorded(struct failover *fo, enum failover_step step,
		       int candidate, int64_t now_us);

#endif
