#include "report.h"

#include "experiment.h"
#include "model.h"
#include "overload.h"

#include <argtable2.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define DEFAULT_SEEDS 20
#define SHARE_US (60 * SECOND)

struct part {
	const char *name;
	int (*run)(unsigned seeds, FILE *out);
};

static const struct part parts[] = {
	{ "Replica share", replica_share_experiment },
	{ "Read-your-writes", read_your_writes_experiment },
	{ "Executions", executions_experiment },
	{ "Overload", overload_experiment },
	{ "Tenants", tenants_experiment },
	{ "Retry storm", retry_storm_experiment },
	{ "Connection budget", connection_budget_experiment },
	{ "Failover gap", failover_experiment },
};

static void write_escaped(FILE *out, const char *text)
{
	char *escaped = g_markup_escape_text(text, -1);

	fputs(escaped, out);
	g_free(escaped);
}

static int write_part(const struct part *part, unsigned seeds, FILE *out)
{
	char *text = NULL;
	size_t len = 0;
	FILE *memory = open_memstream(&text, &len);
	int missed;

	if (!memory)
		return 1;
	missed = part->run(seeds, memory);
	fclose(memory);
	fprintf(out, "<h2>%s</h2>\n<pre>", part->name);
	write_escaped(out, text);
	fprintf(out, "</pre>\n");
	free(text);
	return missed;
}

static void plot_share(unsigned seeds, FILE *out)
{
	static const char *const names[] = { "oracle", "ours", "naive" };
	uint64_t reads[2] = { 0, 0 }, at[2] = { 0, 0 }, oracle = 0;
	double values[3];
	struct model model;
	unsigned seed;
	int naive;

	for (seed = 0; seed < seeds; seed++) {
		for (naive = 0; naive < 2; naive++) {
			model_run(&model, &model_lakeshore, naive, false, seed,
				  SHARE_US);
			reads[naive] += model.counts.reads;
			at[naive] += model.counts.at_replicas;
			oracle += naive ? 0 : model.counts.oracle;
		}
	}
	values[0] = (double)oracle / reads[0];
	values[1] = (double)at[0] / reads[0];
	values[2] = (double)at[1] / reads[1];
	svg_bars(out, "Share of reads at replicas, Lakeshore", names, values, 3,
		 1);
}

static void plot_overload(unsigned seeds, FILE *out)
{
	static const double loads[] = { 0.25, 0.5, 0.75, 0.9, 1.0,
					1.2,  1.5, 2.0,	 2.5 };
	struct series goodput[OVERLOAD_SCHEDULES];
	struct series latency[OVERLOAD_SCHEDULES];
	unsigned s, i;
	double p99_ms;

	for (s = 0; s < OVERLOAD_SCHEDULES; s++) {
		goodput[s] = (struct series){ .name = overload_name(s) };
		latency[s] = (struct series){ .name = overload_name(s) };
		for (i = 0; i < G_N_ELEMENTS(loads); i++) {
			goodput[s].x[i] = latency[s].x[i] = loads[i];
			goodput[s].y[i] =
				overload_mean(s, loads[i], seeds, &p99_ms);
			latency[s].y[i] = p99_ms;
		}
		goodput[s].nr = latency[s].nr = G_N_ELEMENTS(loads);
	}
	svg_plot(out, "Goodput against load", "load / capacity",
		 "goodput / capacity", goodput, OVERLOAD_SCHEDULES);
	svg_plot(out, "Latency of answered requests against load",
		 "load / capacity", "p99, ms", latency, OVERLOAD_SCHEDULES);
}

static int write_page(unsigned seeds, FILE *out)
{
	int missed = 0;
	size_t i;

	fprintf(out,
		"<!DOCTYPE html>\n<html lang=\"en\"><head>"
		"<meta charset=\"utf-8\"><title>comfreywheel</title></head>\n"
		"<body style=\"font-family:sans-serif;max-width:60em\">\n"
		"<h1>comfreywheel: measurements in virtual time</h1>\n"
		"<p>%u seeds; ours beside the naive version on the same "
		"seeds.</p>\n",
		seeds);
	plot_share(seeds, out);
	plot_overload(seeds, out);
	for (i = 0; i < G_N_ELEMENTS(parts); i++)
		missed |= write_part(&parts[i], seeds, out) != 0;
	fprintf(out, "</body></html>\n");
	return missed;
}

static int report(unsigned seeds, const char *path)
{
	FILE *out = fopen(path, "w");
	int missed;

	if (!out) {
		fprintf(stderr,
			"comfreywheel-bench: cannot write %s: %s; name a file "
			"in a folder that can be written\n",
			path, strerror(errno));
		return EXIT_FAILURE;
	}
	missed = write_page(seeds, out);
	if (fclose(out)) {
		fprintf(stderr,
			"comfreywheel-bench: cannot write %s: %s; free some "
			"space\n",
			path, strerror(errno));
		return EXIT_FAILURE;
	}
	return missed ? EXIT_FAILURE : EXIT_SUCCESS;
}

int report_main(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this text");
	struct arg_int *seeds = arg_int0(NULL, "seeds", "N", "runs, 20");
	struct arg_file *html =
		arg_file1(NULL, "html", "FILE", "page to write");
	struct arg_end *end = arg_end(3);
	void *table[] = { help, seeds, html, end };
	int errors, status = EXIT_FAILURE;

	seeds->ival[0] = DEFAULT_SEEDS;
	errors = arg_parse(argc, argv, table);
	if (help->count) {
		printf("Usage: comfreywheel-bench report");
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-20s %s\n");
		status = EXIT_SUCCESS;
	} else if (errors || seeds->ival[0] < 1) {
		arg_print_errors(stderr, end, "comfreywheel-bench report");
	} else {
		status = report(seeds->ival[0], html->filename[0]);
	}
	arg_freetable(table, G_N_ELEMENTS(table));
	return status;
}
