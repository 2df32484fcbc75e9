#ifndef QUOTA_SHARES_H
#define QUOTA_SHARES_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Division of the limits of client accounts between daemons.
 *
 * The limit of an account holds over all daemons, and the load is more than it
 * allows, at many daemons at once. Each daemon that runs operations of the
 * account holds a share of it, a fraction in parts per million, as a lease; the
 * control leader holds the rest and gives single tokens of it on request. The
 * sum never exceeds the whole, also while daemons restart or are cut off and
 * while the leader changes:
 *
 * - A daemon is never given more than it said that it wanted. All control VMs
 *   get its reports, so a new leader knows what it may hold at most.
 * - A share shrinks in two steps: the daemon is told, and the difference is free
 *   once it has reported that it applied that.
 * - A daemon that is not heard keeps its shares until its lease has ended.
 *
 * Not covered: a daemon whose last reports reached none but the leader, if that
 * leader is then replaced.
 */

/** A whole limit, the unit of shares. */
#define QUOTA_SHARE_ONE 1000000u
/** Time for which a daemon uses shares after its report, microseconds. It is
 * longer than the loss of a control majority that a deployment bears. */
#define QUOTA_LEASE_US (20 * 1000000ll)
/** Time after an election in which no share grows: daemons report meanwhile. */
#define QUOTA_SETTLE_US (1000 * 1000ll)
/** Least and most part of a limit that daemons hold together, parts per million.
 * The more there is, the less of it goes unused where it is divided. */
#define QUOTA_HELD_MIN (QUOTA_SHARE_ONE * 3 / 4)
#define QUOTA_HELD_MAX (QUOTA_SHARE_ONE * 7 / 8)
/** Most of a limit that daemons hold while there is not enough of it. */
#define QUOTA_HELD_SATURATED (QUOTA_SHARE_ONE / 4)
/** Depth of the bucket of a limit that daemons would hold as a whole. */
#define QUOTA_HELD_DEPTH 128.0

/**
 * struct quota_tolerance - by how much a limit may be exceeded
 * @window_us: time over which it is judged
 * @overage: part of rate x window + burst
 * @slack: operations
 */
struct quota_tolerance {
	int64_t window_us;
	double overage;
	double slack;
};

/**
 * struct quota_limit - token bucket of a whole limit
 * @rate_per_s: operations per second, 0 if there is no limit
 * @depth: operations
 * @initial: operations that a leader may allow in addition after its election
 */
struct quota_limit {
	double rate_per_s;
	double depth;
	double initial;
};

/**
 * quota_limit() - the token bucket that keeps to a limit
 *
 * Judged over a window, burst adds burst / window to the rate that an account
 * may sustain, so the bucket fills at the sum and its depth is the tolerance. A
 * part of that is left for operations that are sent twice. Without a window the
 * bucket has the rate and the burst of the limit.
 */
struct quota_limit quota_limit(double rate_per_s, double burst,
			       const struct quota_tolerance *tolerance);

/**
 * quota_kept() - tokens that an operation leaves for more urgent ones
 * @priority: of its route, 0 for the most urgent
 * @depth: of the bucket
 *
 * Where an account asks for more than its limit, its urgent routes are served
 * first. A small bucket is used to the last token.
 */
double quota_kept(unsigned priority, double depth);

/** struct quota_item - share of one account, parts per million */
struct quota_item {
	const char *account;
	uint32_t share;
	uint32_t wanted;
};

/**
 * struct quota_report - what a daemon reports
 * @incarnation: differs for each start of the daemon
 * @term: term of the leader whose shares it applied last
 * @number: number of those shares
 */
struct quota_report {
	const char *daemon;
	uint64_t incarnation;
	uint64_t term;
	uint64_t number;
	const struct quota_item *items;
	unsigned nr_items;
};

/**
 * struct quota_shares - what a control VM knows of the shares
 * @term: term in which this VM leads, 0 if it does not
 * @led_us: since when it does
 * @nr_unheard: daemons known to be there that have not reported yet
 * @daemons: name to struct quota_daemon
 * @counted: account to the sum of what daemons may hold
 * @refused_us: account to int64_t, when the leader last refused an operation
 */
struct quota_shares {
	uint64_t term;
	int64_t led_us;
	unsigned nr_unheard;
	GHashTable *daemons;
	GHashTable *counted;
	GHashTable *refused_us;
};

void quota_shares_init(struct quota_shares *q);
void quota_shares_finish(struct quota_shares *q);
/** quota_shares_lead() - this VM leads in @term; 0 if it does not lead */
void quota_shares_lead(struct quota_shares *q, uint64_t term, int64_t now_us);
/** quota_shares_report() - a daemon reported; needed on every control VM */
void quota_shares_report(struct quota_shares *q,
			 const struct quota_report *report, int64_t now_us);
/**
 * quota_shares_decide() - as the leader, decide what a daemon holds from now on
 * @depth: depth of the bucket of the whole limit of an account, 0 if it has none
 * @out: receives struct quota_item, the accounts with a share; the names are
 *       valid until the next report
 * Return: number of the decision; the daemon must be sent it
 */
uint64_t quota_shares_decide(struct quota_shares *q, const char *daemon,
			     double (*depth)(const char *account, void *data),
			     void *data, GArray *out, int64_t now_us);
/** quota_shares_own() - what the leader itself may use of a limit */
uint32_t quota_shares_own(const struct quota_shares *q, const char *account);
/** quota_shares_refused() - the leader had too few tokens for the account */
void quota_shares_refused(struct quota_shares *q, const char *account,
			  int64_t now_us);
/** quota_shares_expire() - forget daemons whose lease has ended */
void quota_shares_expire(struct quota_shares *q, int64_t now_us);

#endif
