#include "histogram.h"

void histogram_add(struct histogram *h, int64_t us)
{
	int64_t bound = HISTOGRAM_FIRST_BOUND_US;
	unsigned i;

	us = MAX(us, 0);
	for (i = 0; i < HISTOGRAM_BUCKETS - 1 && us > bound; i++)
		bound *= 2;
	h->bucket[i]++;
	h->sum_us += (uint64_t)us;
	h->count++;
}

void histogram_print(const struct histogram *h, const char *name,
		     const char *labels, GString *out)
{
	const char *comma = *labels ? "," : "";
	int64_t bound = HISTOGRAM_FIRST_BOUND_US;
	uint64_t sum = 0;
	unsigned i;

	for (i = 0; i < HISTOGRAM_BUCKETS - 1; i++, bound *= 2) {
		sum += h->bucket[i];
		g_string_append_printf(out, "%s_bucket{%s%sle=\"%g\"} %lu\n",
				       name, labels, comma, (double)bound / 1e6,
				       sum);
	}
	g_string_append_printf(out, "%s_bucket{%s%sle=\"+Inf\"} %lu\n", name,
			       labels, comma, h->count);
	g_string_append_printf(out, "%s_sum{%s} %g\n", name, labels,
			       (double)h->sum_us / 1e6);
	g_string_append_printf(out, "%s_count{%s} %lu\n", name, labels,
			       h->count);
}
