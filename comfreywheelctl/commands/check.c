#include "ctl.h"

static int check(struct ctl *ctl, const char *routes, const char *pools)
{
	GError *error = NULL;
	struct tables tables;
	int code = CTL_OK;

	tables_init(&tables);
	if (!ctl_read_tables(&tables, routes, pools, &error))
		code = ctl_fail_gerror(ctl, CTL_REFUSED, error);
	else if (ctl->json)
		ctl_print(ctl, json_pack("{s:s, s:i, s:i}", "verdict", "right",
					 "routes", (int)tables.routes->len,
					 "pools", (int)tables.pools->len));
	else
		fprintf(ctl->streams->out, "%u routes and %u pools are valid\n",
			tables.routes->len, tables.pools->len);
	tables_finish(&tables);
	return code;
}

int command_check(struct ctl *ctl, int argc, char **argv)
{
	return ctl_run_with_table_files(ctl, argc, argv, CTL_TARGET_NONE,
					check);
}
