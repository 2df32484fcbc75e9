#include "model.h"

#include <math.h>

#define DURATION_US (60 * SECOND)
#define TARGET 0.97

struct share {
	uint64_t reads;
	uint64_t at_replicas;
	uint64_t oracle;
	uint64_t waits;
	double worst;
};

static void add_run(struct share *share, const struct model_counts *counts)
{
	share->reads += counts->reads;
	share->at_replicas += counts->at_replicas;
	share->oracle += counts->oracle;
	share->waits += counts->waits;
	share->worst = fmin(share->worst, (double)counts->at_replicas /
						  fmax(counts->oracle, 1));
}

int replica_share_experiment(unsigned seeds, FILE *out)
{
	struct share ours = { .worst = 1 }, naive = { .worst = 1 };
	double share, naive_share, oracle;
	struct model model;
	unsigned seed;
	int missed = 0;

	for (seed = 0; seed < seeds; seed++) {
		model_run(&model, &model_lakeshore, false, false, seed,
			  DURATION_US);
		add_run(&ours, &model.counts);
		model_run(&model, &model_lakeshore, true, false, seed,
			  DURATION_US);
		add_run(&naive, &model.counts);
	}
	share = (double)ours.at_replicas / ours.reads;
	oracle = (double)ours.oracle / ours.reads;
	naive_share = (double)naive.at_replicas / naive.reads;
	missed |= figure_print(out, "replica share, part of the oracle's",
			       share / oracle, naive_share / oracle,
			       FIGURE_AT_LEAST, TARGET);
	missed |= figure_print(out, "replica share of reads", share,
			       naive_share, FIGURE_AT_LEAST, naive_share);
	figure_print(out, "replica share of reads, oracle", oracle, NAN,
		     FIGURE_PLAIN, 0);
	figure_print(out, "replica share, worst run against the oracle",
		     ours.worst, naive.worst, FIGURE_PLAIN, 0);
	figure_print(out, "waits for replay per 1,000 reads",
		     1000.0 * ours.waits / ours.reads, NAN, FIGURE_PLAIN, 0);
	return missed;
}
