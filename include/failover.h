#ifndef FAILOVER_H
#define FAILOVER_H

#include "position.h"
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Fail-over of one cluster, run by the control leader.
 *
 * A state machine without I/O. Its driver passes in the reports of daemons and
 * the answers of upstreams, and carries out the single action that
 * failover_next() returns. A step takes effect only once it is committed to the
 * Raft log, so a new leader continues from the last committed step.
 *
 * Requirements on the driver, without which a fail-over is not safe:
 * - A leader grants leases only after it has applied an entry of its own Raft
 *   term, and only to members in the replicated state. Each grant names the
 *   fenced clusters. So a grant sent after the fence was committed cannot
 *   prolong writes of the term.
 * - The view lists every member of the replicated state, live or not.
 * - Suspicions and confirmations that belong to another term than the current
 *   one are ignored.
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
	/** propose the entry for @step; PROMOTING names @candidate in it */
	FAILOVER_PROPOSE_STEP,
	/** send the fence to every daemon that has not confirmed it */
	FAILOVER_SEND_FENCES,
	/** ask every replica for its received position */
	FAILOVER_QUERY_POSITIONS,
	/** run pg_promote on the candidate */
	FAILOVER_PROMOTE,
	/** make the other replicas follow the new primary and ask them again */
	FAILOVER_REPOINT,
};

/**
 * struct failover_daemon - the leader's view of one daemon
 * @live: whether its lease, as the leader records it, has not ended
 * @lease_expires_us: when its lease has certainly ended
 * @uses_cluster: whether it serves the cluster
 * @suspects: whether it reports the primary as unreachable
 * @fence_confirmed: whether it confirmed that it ended the term
 * @acknowledged: with @fence_confirmed, largest position that it acknowledged;
 *                term 0 if it does not know it, as after a restart
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
 * struct failover_replica - the leader's view of one replica
 * @answered: whether it answered a position query of this run and has answered
 *            all later ones; the driver clears it when a run begins and when a
 *            query or a promotion fails
 * @promoted: whether it reports to be a primary. Its log has then diverged, so
 *            it is never chosen and only counts as the result of a promotion
 * @received: position up to which it received the log; its new term once it is
 *            promoted
 */
struct failover_replica {
	const char *name;
	bool answered;
	bool promoted;
	struct position received;
};

/**
 * struct failover_view - input of the state machine for one cluster
 * @ack_replicas: replicas that hold a write before it is acknowledged
 */
struct failover_view {
	const struct failover_daemon *daemons;
	unsigned nr_daemons;
	const struct failover_replica *replicas;
	unsigned nr_replicas;
	unsigned ack_replicas;
	/** when all leases of earlier leaders have ended, see lease_table */
	int64_t earlier_leases_end_us;
	/** longest time that a lease granted now can last, see lease_table */
	int64_t max_lease_us;
};

/**
 * struct failover - state of one cluster's fail-over; unset times are -1
 * @step: last committed step
 * @term: term to end; after DONE the term that the candidate reported
 * @candidate: index into the replicas of the view, -1 for none
 * @started_us: when the fence was committed or the run resumed
 * @suspected_us: since when enough daemons report the primary as unreachable
 * @fenced_us: when the last daemon confirmed the fence or its lease ended
 * @candidate_answered_us: when the candidate last answered
 * @proposed_step: step that was last proposed, at @last_proposal_us
 * @blocked: why no candidate can be chosen and what to do about it, or NULL
 */
struct failover {
	enum failover_step step;
	uint32_t term;
	uint32_t new_term;
	int candidate;
	int64_t started_us;
	int64_t suspected_us;
	int64_t fenced_us;
	int64_t candidate_answered_us;
	int64_t last_fence_us;
	int64_t last_query_us;
	int64_t last_promote_us;
	int64_t last_repoint_us;
	enum failover_step proposed_step;
	int proposed_candidate;
	int64_t last_proposal_us;
	const char *blocked;
};

/**
 * struct failover_decision - what the driver must do next
 * @wake_us: when to call failover_next() again if nothing else happens,
 *           INT64_MAX for never
 */
struct failover_decision {
	enum failover_action action;
	enum failover_step step;
	int candidate;
	int64_t wake_us;
};

void failover_init(struct failover *fo, uint32_t term);

/** failover_resume() - continue from the step committed to the Raft log */
void failover_resume(struct failover *fo, enum failover_step step,
		     uint32_t term, int candidate, int64_t now_us);

/**
 * failover_suspected() - whether enough daemons report the primary as
 * unreachable
 *
 * This takes a majority of the daemons that use the cluster and may hold a
 * lease, and at least two unless a single daemon uses the cluster. A report
 * counts for a third of a lease after the heartbeat that carried it. A new
 * leader does not know the leases of earlier leaders, so until these have ended
 * the majority is one of all daemons that use the cluster.
 */
bool failover_suspected(const struct failover_view *view, int64_t now_us);

/** failover_next() - determine what the driver must do now */
void failover_next(struct failover *fo, const struct failover_view *view,
		   int64_t now_us, struct failover_decision *decision);

/** failover_step_committed() - enter @step, whose entry has been committed */
void failover_step_committed(struct failover *fo, enum failover_step step,
			     int candidate, int64_t now_us);

#endif
