#ifndef READ_BOUND_H
#define READ_BOUND_H

#include "position.h"

/**
 * DOC: The log position that an upstream must hold to answer a read.
 *
 * Pure functions. A sample is the log position of an upstream that proved to be
 * the primary after the sample was requested, so the position covers every
 * commit acknowledged before the request. A read that may miss commits of the
 * last S microseconds needs the oldest sample requested at most S before the
 * read arrived; the older the sample, the more replicas hold its position.
 */

/** Samples kept per service. */
#define READ_SAMPLES_MAX 96
/** Minimum time between two samples that are kept, microseconds. */
#define READ_SAMPLE_INTERVAL_US (40 * 1000ll)

/** The upstream lags by more than the samples can tell. */
#define READ_LAG_UNKNOWN INT64_MAX

/**
 * struct read_sample - position of the primary
 * @requested_us: when the position was requested
 */
struct read_sample {
	int64_t requested_us;
	struct position position;
};

/**
 * struct read_samples - ring buffer of the samples of one service
 * @first: index of the oldest sample
 */
struct read_samples {
	struct read_sample sample[READ_SAMPLES_MAX];
	unsigned first;
	unsigned nr;
};

void read_samples_init(struct read_samples *samples);

/**
 * read_samples_add() - record a position of the primary
 * @requested_us: when the position was requested
 *
 * Drops the sample if its position is unknown (term 0), if it was requested
 * earlier than the newest one or less than READ_SAMPLE_INTERVAL_US after it in
 * the same term, or if its term is older.
 */
void read_samples_add(struct read_samples *samples, int64_t requested_us,
		      struct position position);

/**
 * read_samples_newest_us() - when the newest sample was requested
 * Return: a time in the distant past if there are no samples
 */
int64_t read_samples_newest_us(const struct read_samples *samples);

/**
 * struct read_requirement - position that an upstream must hold for a read
 * @position: term 0 if no position is required
 * @at_us: time at which the primary is known to have held @position
 */
struct read_requirement {
	struct position position;
	int64_t at_us;
};

/**
 * read_bound() - find the position that covers all commits a read must see
 * @arrived_us: when the read, or its transaction, arrived
 * @max_staleness_us: the read must see all commits older than this
 * @own: last commit of the session itself, term 0 if none
 * @need: set on success
 * Return: false if no sample is recent enough; only the primary can answer then
 */
bool read_bound(const struct read_samples *samples, int64_t arrived_us,
		int64_t max_staleness_us, const struct read_requirement *own,
		struct read_requirement *need);

/**
 * read_samples_lag() - how far an upstream lags behind the primary
 * @position: position of the upstream at @now_us
 * Return: lag in microseconds, 0 if it holds the newest sample;
 *         READ_LAG_UNKNOWN if its position is older than all samples, or of
 *         an older term
 */
int64_t read_samples_lag(const struct read_samples *samples,
			 struct position position, int64_t now_us);

#endif
