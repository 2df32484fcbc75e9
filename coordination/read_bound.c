#include "read_bound.h"

#include <string.h>

void read_samples_init(struct read_samples *samples)
{
	memset(samples, 0, sizeof(*samples));
}

static struct read_sample *sample_at(const struct read_samples *samples,
				     unsigned i)
{
	return (struct read_sample *)&samples
		->sample[(samples->first + i) % READ_SAMPLES_MAX];
}

int64_t read_samples_newest_us(const struct read_samples *samples)
{
	if (!samples->nr)
		return INT64_MIN / 2;
	return sample_at(samples, samples->nr - 1)->requested_us;
}

void read_samples_add(struct read_samples *samples, int64_t requested_us,
		      struct position position)
{
	struct read_sample *last;

	if (!position.term)
		return;
	if (samples->nr) {
		last = sample_at(samples, samples->nr - 1);
		if (requested_us <
			    last->requested_us + READ_SAMPLE_INTERVAL_US &&
		    position.term == last->position.term)
			return;
		if (requested_us < last->requested_us ||
		    position.term < last->position.term)
			return;
	}
	if (samples->nr == READ_SAMPLES_MAX) {
		samples->first = (samples->first + 1) % READ_SAMPLES_MAX;
		samples->nr--;
	}
	*sample_at(samples, samples->nr++) =
		(struct read_sample){ requested_us, position };
}

bool read_bound(const struct read_samples *samples, int64_t arrived_us,
		int64_t max_staleness_us, const struct read_requirement *own,
		struct read_requirement *need)
{
	unsigned i;

	for (i = 0; i < samples->nr; i++) {
		const struct read_sample *s = sample_at(samples, i);

		if (s->requested_us < arrived_us - max_staleness_us)
			continue;
		*need = (struct read_requirement){ s->position,
						   s->requested_us };
		/*
		 * If the session committed in an older term than the sample,
		 * those of its commits that survived the change of primary are
		 * in the log before the sample.
		 */
		if (position_compare(own->position, s->position) > 0)
			*need = *own;
		return true;
	}
	return false;
}

int64_t read_samples_lag(const struct read_samples *samples,
			 struct position position, int64_t now_us)
{
	unsigned i;

	for (i = samples->nr; i-- > 0;) {
		const struct read_sample *s = sample_at(samples, i);

		if (position_compare(s->position, position) > 0)
			continue;
		/* It holds the newest sample, so no lag is known. */
		if (i == samples->nr - 1)
			return 0;
		return now_us - sample_at(samples, i + 1)->requested_us;
	}
	return samples->nr ? READ_LAG_UNKNOWN : 0;
}
