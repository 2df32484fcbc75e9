#ifndef HISTOGRAM_H
#define HISTOGRAM_H

#include <glib.h>
#include <stdint.h>

/**
 * DOC: Latency histogram, printed in the text exposition format.
 */

/** Upper bounds double from 0.25 ms to 8.192 s; the last bucket has none. */
#define HISTOGRAM_BUCKETS 17
#define HISTOGRAM_FIRST_BOUND_US 250

struct histogram {
	uint64_t bucket[HISTOGRAM_BUCKETS];
	uint64_t sum_us;
	uint64_t count;
};

void histogram_add(struct histogram *h, int64_t us);
/** histogram_print() - append to @out; @labels: "type=\"read\"" or "" */
void histogram_print(const struct histogram *h, const char *name,
		     const char *labels, GString *out);

#endif
