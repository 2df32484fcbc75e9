#ifndef PROMOTION_POLICY_H
#define PROMOTION_POLICY_H

#include "position.h"

/**
 * DOC: When to put another upstream in charge of a service, and which.
 *
 * Pure. The control leader asks on every change; what entry daemons report of
 * the primary counts more than its own announcements, since callers are
 * served through them.
 */

/** An entry daemon counts as cut off so long after its first failure there. */
#define PROMOTION_FAILING_US (200 * 1000ll)
/** A primary that no daemon has asked of late is lost after this silence. */
#define PROMOTION_SILENT_US (4000 * 1000ll)
/** A silence that confirms a single daemon's report. */
#define PROMOTION_DOUBT_US (2000 * 1000ll)
/** A candidate was heard within this time. */
#define PROMOTION_CANDIDATE_US (3000 * 1000ll)
/** A replica further behind answers few reads, microseconds. */
#define PROMOTION_LAG_US (2000 * 1000ll)
/** Lag of all replicas is borne so long before the primary is changed. */
#define PROMOTION_LAG_BORNE_US (1200 * 1000ll)
/** Time between two changes for the sake of lag, microseconds. */
#define PROMOTION_LAG_AGAIN_US (12 * 1000000ll)
/** A control VM that has just started waits so long for announcements. */
#define PROMOTION_HEAR_US (3000 * 1000ll)
/** Time that an order has to take effect before another may follow. */
#define PROMOTION_SETTLE_US (2500 * 1000ll)
/** One daemon in so many that is cut off from the primary is enough. */
#define PROMOTION_QUORUM_DIVISOR 3

/**
 * struct promotion_upstream - one upstream of the service
 * @silent_us: time since its last announcement, or since this control VM
 *             started if that is less
 * @answered: entry daemons that it answered of late
 * @failing: entry daemons that it has not answered for PROMOTION_FAILING_US
 * @behind: entry daemons that saw it further behind than PROMOTION_LAG_US
 * @saturated: entry daemons that kept work for it back of late
 * @position: newest position seen there
 * @diverged: whether its log went on after it was replaced: as the primary it
 *            would bring back what its successor did not have, and take what
 *            that one acknowledged
 */
struct promotion_upstream {
	const char *id;
	bool leaving;
	int64_t silent_us;
	unsigned answered;
	unsigned failing;
	unsigned behind;
	unsigned saturated;
	struct position position;
	bool diverged;
};

/**
 * struct promotion_view - one service
 * @primary: index into @upstreams, -1 if none is known
 * @unknown: daemons that were heard of late and are not now; they may still be
 *           served by the primary
 * @unheard: upstreams that were not heard since this control VM started
 * @up_us: time since then
 * @since_order_us: time since the last order, INT64_MAX if there was none
 * @sync_replicas: replicas that hold a commit before it is acknowledged
 */
struct promotion_view {
	const struct promotion_upstream *upstreams;
	unsigned nr;
	int primary;
	unsigned unknown;
	unsigned unheard;
	int64_t up_us;
	int64_t since_order_us;
	unsigned sync_replicas;
};

enum promotion_reason {
	PROMOTION_NOT_NEEDED,
	PROMOTION_LEAVING,
	PROMOTION_UNREACHABLE,
	PROMOTION_SILENT,
	PROMOTION_NO_PRIMARY,
	PROMOTION_REPLICAS_BEHIND,
};

/**
 * promotion_diverged() - whether a log went on after it was replaced
 * @position: end of that log
 * @base: end of the successor's log when it was appointed, term 0 if unknown
 * @newest: newest position of any upstream of the service
 */
bool promotion_diverged(struct position position, struct position base,
			struct position newest);

/** promotion_needed() - why the primary is to be replaced now */
enum promotion_reason promotion_needed(const struct promotion_view *view);

/**
 * promotion_candidate() - the upstream to put in charge
 * Return: index, -1 if none is fit
 *
 * The one that fewest daemons miss, then the one that holds most of the log.
 * With synchronous replicas an acknowledged commit is on one of them, so all
 * that are not the primary must be known before one is chosen.
 */
int promotion_candidate(const struct promotion_view *view);

/**
 * promotion_lagging() - whether a saturated primary has no replica to help it
 *
 * Answers the load in which replicas apply the log late, one old entry after
 * the other, for much longer than the cause lasts: the primary then runs every
 * read. A replica holds what it has received, so as the primary it is not
 * behind, and the former primary becomes a replica that is not behind either.
 */
bool promotion_lagging(const struct promotion_view *view);

const char *promotion_reason_text(enum promotion_reason reason);

#endif
