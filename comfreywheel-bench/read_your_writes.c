#include "model.h"

#include <math.h>

#define DURATION_US (60 * SECOND)

static int run_user(const struct model_user *user, unsigned seeds, FILE *out)
{
	struct model_counts total = { 0 }, naive = { 0 };
	struct model model;
	char name[64];
	unsigned seed;
	int missed;

	for (seed = 0; seed < seeds; seed++) {
		model_run(&model, user, false, true, seed, DURATION_US);
		total.violations += model.counts.violations;
		total.reads += model.counts.reads;
		total.writes += model.counts.writes;
		total.promotions += model.counts.promotions;
		total.unknown += model.counts.unknown;
		total.at_replicas += model.counts.at_replicas;
		model_run(&model, user, true, true, seed, DURATION_US);
		naive.violations += model.counts.violations;
	}
	g_snprintf(name, sizeof(name), "read-your-writes violations, %s",
		   user->name);
	missed = figure_print(out, name, total.violations, naive.violations,
			      FIGURE_AT_MOST, 0);
	fprintf(out,
		"  %.0f reads, %.0f%% of them at replicas, %.0f writes "
		"acknowledged, %.0f unknown, %.0f changes of primary\n",
		(double)total.reads, 100.0 * total.at_replicas / total.reads,
		(double)total.writes, (double)total.unknown,
		(double)total.promotions);
	return missed;
}

int read_your_writes_experiment(unsigned seeds, FILE *out)
{
	int missed = run_user(&model_lakeshore, seeds, out);

	return run_user(&model_filtrex, seeds, out) || missed;
}
