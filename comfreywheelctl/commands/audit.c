#include "ctl.h"

int command_audit(struct ctl *ctl, int argc, char **argv)
{
	struct ctl_arg_table table;
	int code;

	ctl_arg_table_init(&table, CTL_TARGET_CONTROL);
	code = ctl_arg_table_parse(&table, ctl, argc, argv);
	if (code < 0)
		code = ctl_run_query(ctl, NULL, "audit", NULL);
	ctl_arg_table_finish(&table);
	return code;
}
