#ifndef EXPERIMENT_H
#define EXPERIMENT_H

#include <glib.h>
#include <gsl/gsl_rng.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

/**
 * DOC: Experiments in virtual time, and their figures.
 */

#define MS 1000ll
#define SECOND 1000000ll

/**
 * struct experiment - an entry of the handler table
 * @run: runs @seeds times and prints one line per figure; 0 if every target
 *       is met, 1 if one is missed
 */
struct experiment {
	const char *name;
	const char *purpose;
	int (*run)(unsigned seeds, FILE *out);
};

enum figure_target {
	FIGURE_AT_MOST,
	FIGURE_AT_LEAST,
	/** printed for information, without a verdict */
	FIGURE_PLAIN,
};

/**
 * figure_print() - one line: name, ours, naive, target, verdict
 * @naive: figure of the naive version on the same seeds, NAN if none
 * Return: 1 if the target is missed, else 0
 */
int figure_print(FILE *out, const char *name, double ours, double naive,
		 enum figure_target kind, double target);

/** sample_quantile() - of doubles; sorts @samples; 0 if there are none */
double sample_quantile(GArray *samples, double quantile);
void sample_add(GArray *samples, double value);

int replica_share_experiment(unsigned seeds, FILE *out);
int read_your_writes_experiment(unsigned seeds, FILE *out);
int executions_experiment(unsigned seeds, FILE *out);
int overload_experiment(unsigned seeds, FILE *out);
int tenants_experiment(unsigned seeds, FILE *out);
int retry_storm_experiment(unsigned seeds, FILE *out);
int connection_budget_experiment(unsigned seeds, FILE *out);
/* In failover_experiment.c; listed when that file exists. */
int failover_experiment(unsigned seeds, FILE *out);

#endif
