#ifndef REPORT_H
#define REPORT_H

#include <stdio.h>

/**
 * DOC: One HTML page with the figures of all experiments and plots.
 */

#define SERIES_POINTS 16

/** struct series - one line of a plot */
struct series {
	const char *name;
	double x[SERIES_POINTS];
	double y[SERIES_POINTS];
	unsigned nr;
};

/** svg_plot() - write a plot of lines with axes from zero */
void svg_plot(FILE *out, const char *title, const char *x_label,
	      const char *y_label, const struct series *series, unsigned nr);

/** svg_bars() - write one horizontal bar per name */
void svg_bars(FILE *out, const char *title, const char *const *names,
	      const double *values, unsigned nr, double max);

int report_main(int argc, char **argv);

#endif
