#include "ctl.h"

#include <string.h>

static const struct {
	const char *name;
	const char *help;
	int (*run)(struct ctl *ctl, int argc, char **argv);
} commands[] = {
	{ "apply", "put routes and pools into force", command_apply },
	{ "audit", "list the changes to the tables", command_audit },
	{ "check", "check routes and pools without a server", command_check },
	{ "counters", "print the counters of a daemon", command_counters },
	{ "diff", "compare files with the tables in force", command_diff },
	{ "drain", "shut a daemon down without interrupting requests",
	  command_drain },
	{ "keygen", "generate a key pair for the bus", command_keygen },
	{ "member", "list, add, promote or remove control VMs and daemons",
	  command_member },
	{ "show", "print the tables in force", command_show },
	{ "status", "print the state of the control role or a daemon",
	  command_status },
	{ "user", "generate a line for the users file", command_user },
};

static void print_usage(FILE *stream)
{
	size_t i;

	fprintf(stream, "usage: comfreywheelctl COMMAND [OPTION...]\n\n");
	for (i = 0; i < G_N_ELEMENTS(commands); i++)
		fprintf(stream, "  %-10s%s\n", commands[i].name,
			commands[i].help);
	fprintf(stream,
		"\nRun comfreywheelctl COMMAND --help for its options.\n");
}

int ctl_main(int argc, char **argv, const struct ctl_streams *streams)
{
	struct ctl ctl;
	size_t i;
	int code;

	if (argc > 1 && !strcmp(argv[1], "--version")) {
		fprintf(streams->out, "comfreywheelctl %s\n", PROGRAM_VERSION);
		return CTL_OK;
	}
	if (argc > 1 && !strcmp(argv[1], "--help")) {
		print_usage(streams->out);
		return CTL_OK;
	}
	for (i = 0; argc > 1 && i < G_N_ELEMENTS(commands); i++) {
		if (strcmp(argv[1], commands[i].name))
			continue;
		ctl_init(&ctl, commands[i].name, streams);
		code = commands[i].run(&ctl, argc - 1, argv + 1);
		ctl_finish(&ctl);
		return code;
	}
	print_usage(streams->err);
	return CTL_USAGE;
}
