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
 * read_bound() - position that covers what a read must see
 * @arrived_us: when the read, or its transaction, arrived
 * @max_staleness_us: commits older than this must be seen
 * @own: largest position that the session itself committed, term 0 for none
 * @needed: set on success
 * Return: false when no sample proves enough; the primary can answer then
 */
bool read_bound(const struct read_samples *samples, int64_t arrived_us,
		int64_t max_staleness_us, struct position own,
		struct position *needed);

#endif
