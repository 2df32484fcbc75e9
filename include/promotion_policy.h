#ifndef PROMOTION_POLICY_H
#define PROMOTION_POLICY_H

#include "position.h"

/**
 * DOC: When to replace the primary of a service, and with which upstream.
 *
 * Pure functions, called by the control leader after every change. Reports of
 * entry daemons about the primary take precedence over its own announcements,
 * because clients reach it through these daemons.
 */

/** A daemon counts as cut off from an upstream that failed it for this long. */
#define PROMOTION_FAILING_AFTER_US (200 * 1000ll)
/**
 * Time without an announcement after which a primary that has not answered any
 * daemon recently is replaced.
 */
#define PROMOTION_SILENT_AFTER_US (4000 * 1000ll)
/**
 * Time without an announcement of the primary that confirms a failure which
 * only one of several daemons reports.
 */
#define PROMOTION_CONFIRMING_SILENCE_US (2000 * 1000ll)
/** Longest time since the last announcement of a candidate for promotion. */
#define PROMOTION_CANDIDATE_MAX_SILENCE_US (3000 * 1000ll)
/** Lag above which a replica can answer only few reads, microseconds. */
#define PROMOTION_MAX_LAG_US (1000 * 1000ll)
/** Time for which all replicas must lag before the primary is replaced. */
#define PROMOTION_LAG_TOLERATED_US (500 * 1000ll)
/** Least time between two promotions because of lag, microseconds. */
#define PROMOTION_LAG_MIN_INTERVAL_US (12 * 1000000ll)
/** Time after which an order without an answer is hardly carried out any more. */
#define PROMOTION_LATE_EFFECT_US (15 * 1000000ll)
/** Time for which an upstream counts as the one that leads after it did what
 * only the present primary does: an entry daemon's sample and its report. */
#define PROMOTION_LED_WITHIN_US (500 * 1000ll)
/** A control VM waits this long after its start for announcements. */
#define PROMOTION_STARTUP_WAIT_US (3000 * 1000ll)
/** Time for a promotion request to take effect before the next one is sent. */
#define PROMOTION_REQUEST_INTERVAL_US (2500 * 1000ll)
/** The primary is unreachable if one in this many daemons is cut off. */
#define PROMOTION_QUORUM_DIVISOR 3

/**
 * struct promotion_upstream - one upstream of the service
 * @leaving: whether it has announced that it will stop
 * @silent_us: time since its last announcement, or since the start of this
 *             control VM if that is less
 * @answered: number of entry daemons that it answered recently
 * @failing: number of entry daemons that it has not answered for
 *           PROMOTION_FAILING_AFTER_US
 * @lagging: number of entry daemons that saw it lag by more than
 *          PROMOTION_MAX_LAG_US
 * @saturated: number of entry daemons that recently held back requests for it
 * @leading: number of entry daemons for which it did, within
 *           PROMOTION_LED_WITHIN_US, what only the present primary does
 * @position: newest position seen on it, up to which it has applied its log
 * @surveyed: whether it has told what it has received, and receives no more
 * @received: end of the log that it has received, if @surveyed
 * @diverged: whether its log may hold commits that the primary does not have,
 *            see succession.h
 */
struct promotion_upstream {
	const char *id;
	bool leaving;
	int64_t silent_us;
	unsigned answered;
	unsigned failing;
	unsigned lagging;
	unsigned saturated;
	unsigned leading;
	struct position position;
	bool surveyed;
	struct position received;
	bool diverged;
};

/**
 * struct promotion_view - state of one service
 * @primary: index into @upstreams, -1 if no primary is known
 * @silent_daemons: number of entry daemons that have recently stopped
 *                  reporting; the primary may still serve them
 * @unannounced_upstreams: number of upstreams without an announcement since the
 *                     start of this control VM
 * @uptime_us: time since this control VM started
 * @since_request_us: time since the last promotion request, INT64_MAX if none
 * @rival_ordered: whether an order to promote another upstream than the primary
 *                 may still be carried out
 * @rival: index of that upstream, -1 if it is not in @upstreams
 * @rival_age_us: time since the last order for it
 * @sync_replicas: number of replicas that must hold a commit before it is
 *                 acknowledged
 * @nr_copies: number of upstreams that may hold such a commit, also of those that
 *             are not in @upstreams any more
 */
struct promotion_view {
	const struct promotion_upstream *upstreams;
	unsigned nr;
	int primary;
	unsigned silent_daemons;
	unsigned unannounced_upstreams;
	int64_t uptime_us;
	int64_t since_request_us;
	bool rival_ordered;
	int rival;
	int64_t rival_age_us;
	unsigned sync_replicas;
	unsigned nr_copies;
};

enum promotion_reason {
	PROMOTION_NOT_NEEDED,
	PROMOTION_LEAVING,
	PROMOTION_UNREACHABLE,
	PROMOTION_SILENT,
	PROMOTION_NO_PRIMARY,
	PROMOTION_REPLICAS_BEHIND,
	PROMOTION_CONFIRMS_PRIMARY,
	PROMOTION_RIVAL_ORDERED,
};

/** promotion_needed() - whether and why to replace the primary now */
enum promotion_reason promotion_needed(const struct promotion_view *view);

/**
 * promotion_candidate() - choose the upstream to promote
 * Return: index, -1 if no upstream qualifies
 *
 * Prefers the upstream that the fewest daemons fail to reach, then the one that
 * has applied most of its log. If the primary does not hand over, what it
 * acknowledged may be elsewhere: see promotion_complete_candidate().
 */
int promotion_candidate(const struct promotion_view *view);

/**
 * promotion_complete_candidate() - choose the upstream that holds every commit
 *                                  that was acknowledged
 * Return: index, -1 if none is known to
 *
 * With synchronous replication each acknowledged commit is on the primary and
 * on @sync_replicas replicas. A replica may have received it long before it has
 * applied it, so only surveyed upstreams count, and there must be enough of
 * them that the others cannot be all that hold the commit.
 */
int promotion_complete_candidate(const struct promotion_view *view);

/**
 * promotion_logs_wanted() - number of upstreams that must be surveyed
 *
 * All copies but as many as replicas hold each commit beside the primary.
 */
unsigned promotion_logs_wanted(const struct promotion_view *view);

/** promotion_needs_survey() - whether fewer upstreams have been surveyed */
bool promotion_needs_survey(const struct promotion_view *view);

/**
 * promotion_all_replicas_lag() - whether the primary is saturated and all
 *                                replicas lag
 *
 * Replicas that apply a backlog of log entries can lag for much longer than its
 * cause lasts, and the primary then has to run every read. Promotion ends
 * this: a replica already holds the entries it has received, so it does not
 * lag once it is the primary, and neither does the former primary as a replica.
 */
bool promotion_all_replicas_lag(const struct promotion_view *view);

/**
 * promotion_must_yield() - whether to hand over to the upstream of a request
 *                          without an answer although the primary has recovered
 *
 * The request may be carried out at any time. Where commits wait for replicas,
 * none may be lost by that, so the primary is stopped and that upstream given all
 * of its log. A request for the primary itself would outdate the first one too,
 * but could be carried out late as well, and undo what it led to.
 */
bool promotion_must_yield(const struct promotion_view *view);

/**
 * promotion_must_confirm() - whether to request the promotion of the primary
 *
 * It changes nothing and outdates earlier requests, whose upstream has ended or
 * that are old. If another upstream led by now it would be replaced, so the
 * primary must have just proved that it leads.
 */
bool promotion_must_confirm(const struct promotion_view *view);

/**
 * promotion_may_resume() - whether upstreams that a survey paused may receive
 *                          again
 * @confirmed: whether the last request was for the upstream that leads
 *
 * Not while a request based on the survey may be carried out, nor while one that
 * was accepted before the confirmation takes effect: what is acknowledged from
 * then on may be missing from the log of that upstream.
 */
bool promotion_may_resume(const struct promotion_view *view, bool confirmed);

/** promotion_reason_text() - the reason in words */
const char *promotion_reason_text(enum promotion_reason reason);

#endif
