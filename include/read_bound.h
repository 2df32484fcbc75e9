#ifndef READ_BOUND_H
#define READ_BOUND_H

#include "position.h"

/**
 * DOC: The position that an upstream must hold to answer a read.
 *
 * Pure. A sample is the log position of an upstream that showed itself to be
 * the primary after the sample was asked for, so it covers every commit that
 * was acknowledged before. A read that may miss commits of the last S
 * microseconds is safe at the oldest sample asked for within S before the
 * read arrived; the older the sample, the more replicas hold it.
 */

#define READ_SAMPLES 96
/** Least time between two samples that are kept, microseconds. */
#define READ_SAMPLE_GAP_US (40 * 1000ll)

#define READ_LAG_UNKNOWN INT64_MAX

struct read_sample {
	int64_t asked_us;
	struct position position;
};

/**
 * struct read_samples - samples of one service, oldest first
 */
struct read_samples {
	struct read_sample sample[READ_SAMPLES];
	unsigned first;
	unsigned nr;
};

void read_samples_init(struct read_samples *samples);

/**
 * read_samples_add() - the primary was at @position after @asked_us
 *
 * Samples that were asked for earlier than the newest are dropped.
 */
void read_samples_add(struct read_samples *samples, int64_t asked_us,
		      struct position position);

/** read_samples_newest_us() - when the newest was asked for; long ago if none */
int64_t read_samples_newest_us(const struct read_samples *samples);

/**
 * struct read_need - what an upstream must hold
 * @position: term 0 for nothing
 * @at_us: when the primary is known to have been at @position
 */
struct read_need {
	struct position position;
	int64_t at_us;
};

/**
 * read_bound() - position that covers what a read must see
 * @arrived_us: when the read, or its transaction, arrived
 * @max_staleness_us: commits older than this must be seen
 * @own: the session's own last commit, term 0 for none
 * @need: set on success
 * Return: false when no sample proves enough; the primary can answer then
 */
bool read_bound(const struct read_samples *samples, int64_t arrived_us,
		int64_t max_staleness_us, const struct read_need *own,
		struct read_need *need);

/**
 * read_samples_lag() - how far an upstream is behind the primary
 * @position: of the upstream, at @now_us
 * Return: microseconds, at least; READ_LAG_UNKNOWN if it is further behind
 *         than the samples reach or of an older term
 */
int64_t read_samples_lag(const struct read_samples *samples,
			 struct position position, int64_t now_us);

#endif
