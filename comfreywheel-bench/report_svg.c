#include "report.h"

#include <glib.h>
#include <math.h>

#define WIDTH 640
#define HEIGHT 320
#define LEFT 70
#define RIGHT 170
#define TOP 40
#define BOTTOM 50
#define TICKS 5
#define BAR_HEIGHT 28

static const char *const colours[] = { "#1b6ca8", "#c0392b", "#2e8b57",
				       "#8e44ad", "#b7950b" };

static const char *colour(unsigned i)
{
	return colours[i % G_N_ELEMENTS(colours)];
}

static void open_svg(FILE *out, const char *title, int height)
{
	fprintf(out,
		"<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" "
		"height=\"%d\" font-family=\"sans-serif\" font-size=\"12\">\n"
		"<text x=\"%d\" y=\"20\" font-size=\"15\">%s</text>\n",
		WIDTH, height, LEFT, title);
}

static double max_of(const struct series *series, unsigned nr, int want_x)
{
	double max = 0;
	unsigned s, i;

	for (s = 0; s < nr; s++)
		for (i = 0; i < series[s].nr; i++)
			max = fmax(max,
				   want_x ? series[s].x[i] : series[s].y[i]);
	return max > 0 ? max * 1.05 : 1;
}

static double x_at(double x, double max)
{
	return LEFT + x / max * (WIDTH - LEFT - RIGHT);
}

static double y_at(double y, double max)
{
	return HEIGHT - BOTTOM - y / max * (HEIGHT - TOP - BOTTOM);
}

static void axes(FILE *out, const char *x_label, const char *y_label,
		 double max_x, double max_y)
{
	double value;
	int i;

	for (i = 0; i <= TICKS; i++) {
		value = max_y * i / TICKS;
		fprintf(out,
			"<line x1=\"%d\" y1=\"%.1f\" x2=\"%d\" y2=\"%.1f\" "
			"stroke=\"#ddd\"/>\n"
			"<text x=\"%d\" y=\"%.1f\" text-anchor=\"end\">%.3g"
			"</text>\n",
			LEFT, y_at(value, max_y), WIDTH - RIGHT,
			y_at(value, max_y), LEFT - 6, y_at(value, max_y) + 4,
			value);
		value = max_x * i / TICKS;
		fprintf(out,
			"<text x=\"%.1f\" y=\"%d\" text-anchor=\"middle\">"
			"%.3g</text>\n",
			x_at(value, max_x), HEIGHT - BOTTOM + 18, value);
	}
	fprintf(out,
		"<text x=\"%d\" y=\"%d\">%s</text>\n"
		"<text x=\"6\" y=\"%d\">%s</text>\n",
		LEFT + 120, HEIGHT - 10, x_label, TOP - 6, y_label);
}

void svg_plot(FILE *out, const char *title, const char *x_label,
	      const char *y_label, const struct series *series, unsigned nr)
{
	double max_x = max_of(series, nr, 1), max_y = max_of(series, nr, 0);
	unsigned s, i;

	open_svg(out, title, HEIGHT);
	axes(out, x_label, y_label, max_x, max_y);
	for (s = 0; s < nr; s++) {
		fprintf(out,
			"<polyline fill=\"none\" stroke=\"%s\" "
			"stroke-width=\"2\" points=\"",
			colour(s));
		for (i = 0; i < series[s].nr; i++)
			fprintf(out, "%.1f,%.1f ", x_at(series[s].x[i], max_x),
				y_at(series[s].y[i], max_y));
		fprintf(out,
			"\"/>\n<text x=\"%d\" y=\"%u\" fill=\"%s\">%s</text>\n",
			WIDTH - RIGHT + 10, TOP + 18 * s, colour(s),
			series[s].name);
	}
	fprintf(out, "</svg>\n");
}

void svg_bars(FILE *out, const char *title, const char *const *names,
	      const double *values, unsigned nr, double max)
{
	unsigned i, y;

	open_svg(out, title, TOP + BAR_HEIGHT * nr + 10);
	for (i = 0; i < nr; i++) {
		y = TOP + BAR_HEIGHT * i;
		fprintf(out,
			"<text x=\"6\" y=\"%u\">%s</text>\n"
			"<rect x=\"%d\" y=\"%u\" width=\"%.1f\" height=\"%d\" "
			"fill=\"%s\"/>\n"
			"<text x=\"%.1f\" y=\"%u\">%.4f</text>\n",
			y + 16, names[i], LEFT, y,
			values[i] / max * (WIDTH - LEFT - RIGHT),
			BAR_HEIGHT - 8, colour(i), x_at(values[i], max) + 6,
			y + 16, values[i]);
	}
	fprintf(out, "</svg>\n");
}
