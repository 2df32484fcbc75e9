#include "ctl.h"

static int check(struct ctl *ctl, const char *routes, const char *pools)
{
	GError *error = NULL;
	struct tables tables;
	int code = CTL_OK;

	tables_init(&tables);
	if (!ctl_read_tables(&tables, routes, pools, &error))
		code = ctl_fail_with(ctl, CTL_REFUSED, error);
	else if (ctl->json)
		ctl_print(ctl, json_pack("{s:s, s:i, s:i}", "verdict", "right",
					 "routes", (int)tables.routes->len,
					 "pools", (int)tables.pools->len));
	else
		fprintf(ctl->streams->out, "%u routes and %u pools are right\n",
			tables.routes->len, tables.pools->len);
	tables_finish(&tables);
	return code;
}

int command_check(struct ctl *ctl, int argc, char **argv)
{
	struct arg_file *routes = arg_file1(NULL, NULL, "ROUTES", NULL);
	struct arg_file *pools = arg_file1(NULL, NULL, "POOLS", NULL);
	struct ctl_table table;
	int code;

	ctl_table_init(&table, CTL_LOCAL);
	ctl_table_add(&table, routes);
	ctl_table_add(&table, pools);
	code = ctl_table_parse(&table, ctl, argc, argv);
	if (code < 0)
		code = check(ctl, routes->filename[0], pools->filename[0]);
	ctl_table_finish(&table);
	return code;
}
