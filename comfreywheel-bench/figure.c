#include "experiment.h"

#include <gsl/gsl_statistics_double.h>
#include <math.h>

int figure_print(FILE *out, const char *name, double ours, double naive,
		 enum figure_target kind, double target)
{
	bool met = kind == FIGURE_AT_MOST ? ours <= target : ours >= target;

	fprintf(out, "%-52s ours %11.4f", name, ours);
	if (isnan(naive))
		fprintf(out, "  naive %11s", "-");
	else
		fprintf(out, "  naive %11.4f", naive);
	if (kind == FIGURE_PLAIN) {
		fprintf(out, "\n");
		return 0;
	}
	fprintf(out, "  target %s %.4f  %s\n",
		kind == FIGURE_AT_MOST ? "<=" : ">=", target,
		met ? "met" : "MISSED");
	return !met;
}

static gint by_value(gconstpointer a, gconstpointer b)
{
	const double *x = a, *y = b;

	return (*x > *y) - (*x < *y);
}

double sample_quantile(GArray *samples, double quantile)
{
	if (!samples->len)
		return 0;
	g_array_sort(samples, by_value);
	return gsl_stats_quantile_from_sorted_data(
		(const double *)(void *)samples->data, 1, samples->len,
		quantile);
}

void sample_add(GArray *samples, double value)
{
	g_array_append_val(samples, value);
}
