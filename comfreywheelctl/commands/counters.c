#include "ctl.h"

int command_counters(struct ctl *ctl, int argc, char **argv)
{
	struct ctl_arg_table table;
	int code;

	ctl_arg_table_init(&table, CTL_TARGET_DAEMON);
	code = ctl_arg_table_parse(&table, ctl, argc, argv);
	if (code < 0)
		code = ctl_run_query(ctl, ctl->daemon, "counters", NULL);
	ctl_arg_table_finish(&table);
	return code;
}
