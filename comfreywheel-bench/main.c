#include "experiment.h"

#include "capacity.h"
#include "load.h"
#include "report.h"

#include <argtable2.h>
#include <stdlib.h>
#include <string.h>

/* Fewer seeds leave the rare faults of a run unseen. */
#define DEFAULT_SEEDS 200

static int run_capacity(unsigned seeds, FILE *out)
{
	return capacity_experiment(out);
}

static const struct experiment experiments[] = {
	{ "replica-share", "share of reads at replicas, against an oracle",
	  replica_share_experiment },
	{ "read-your-writes", "violations with roaming sessions and faults",
	  read_your_writes_experiment },
	{ "executions", "executions of a non-idempotent request",
	  executions_experiment },
	{ "overload", "goodput at 0.5 to 2 times capacity",
	  overload_experiment },
	{ "tenants", "a quiet tenant beside a flooding one",
	  tenants_experiment },
	{ "retry-storm", "attempts per request while an upstream fails",
	  retry_storm_experiment },
	{ "connection-budget", "connections open under faults",
	  connection_budget_experiment },
	{ "failover", "time without writes after a primary fails",
	  failover_experiment },
	{ "capacity", "slopes behind docs/CAPACITY.md", run_capacity },
};

static int run(const char *name, unsigned seeds)
{
	bool all = !strcmp(name, "all");
	int missed = 0, found = 0;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(experiments); i++) {
		if (!all && strcmp(name, experiments[i].name))
			continue;
		found = 1;
		printf("# %s, %u seeds\n", experiments[i].name, seeds);
		missed |= experiments[i].run(seeds, stdout) != 0;
		fflush(stdout);
	}
	if (found)
		return missed ? EXIT_FAILURE : EXIT_SUCCESS;
	fprintf(stderr,
		"comfreywheel-bench: no experiment %s; --help lists them\n",
		name);
	return EXIT_FAILURE;
}

static void print_help(void **table)
{
	size_t i;

	printf("Usage: comfreywheel-bench");
	arg_print_syntax(stdout, table, "\n");
	arg_print_glossary(stdout, table, "  %-20s %s\n");
	printf("Experiments:\n  %-20s %s\n", "all", "every one of these");
	for (i = 0; i < G_N_ELEMENTS(experiments); i++)
		printf("  %-20s %s\n", experiments[i].name,
		       experiments[i].purpose);
	printf("  %-20s %s\n", "load",
	       "load on a running daemon; see load --help");
	printf("  %-20s %s\n", "report", "plots; see report --help");
}

static int run_experiments(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this text");
	struct arg_int *seeds = arg_int0(NULL, "seeds", "N", "runs, 200");
	struct arg_str *name =
		arg_str1(NULL, NULL, "EXPERIMENT", "experiment, or all");
	struct arg_end *end = arg_end(3);
	void *table[] = { help, seeds, name, end };
	int errors, status = EXIT_FAILURE;

	seeds->ival[0] = DEFAULT_SEEDS;
	errors = arg_parse(argc, argv, table);
	if (help->count) {
		print_help(table);
		status = EXIT_SUCCESS;
	} else if (errors || seeds->ival[0] < 1) {
		arg_print_errors(stderr, end, "comfreywheel-bench");
		fprintf(stderr, "comfreywheel-bench: see --help\n");
	} else {
		status = run(name->sval[0], seeds->ival[0]);
	}
	arg_freetable(table, G_N_ELEMENTS(table));
	return status;
}

int main(int argc, char **argv)
{
	if (argc > 1 && !strcmp(argv[1], "load"))
		return load_main(argc - 1, argv + 1);
	if (argc > 1 && !strcmp(argv[1], "report"))
		return report_main(argc - 1, argv + 1);
	return run_experiments(argc, argv);
}
