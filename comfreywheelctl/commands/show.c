#include "ctl.h"

static int show(struct ctl *ctl)
{
	GError *error = NULL;
	struct tables tables;
	int code = CTL_OK;
	json_t *json;

	json = ctl_query(ctl, ctl->daemon, "tables", NULL, &code);
	if (!json)
		return code;
	if (ctl->json) {
		ctl_print(ctl, json);
		return code;
	}
	tables_init(&tables);
	if (!ctl_tables_from_json(&tables, json, &error))
		code = ctl_fail_gerror(ctl, CTL_REFUSED, error);
	else
		fprintf(ctl->streams->out,
			"# version %" G_GUINT64_FORMAT "\n# routes\n%s\n"
			"# pools\n%s",
			tables.version, tables.routes_text, tables.pools_text);
	tables_finish(&tables);
	json_decref(json);
	return code;
}

int command_show(struct ctl *ctl, int argc, char **argv)
{
	struct ctl_arg_table table;
	int code;

	ctl_arg_table_init(&table, CTL_TARGET_EITHER);
	code = ctl_arg_table_parse(&table, ctl, argc, argv);
	if (code < 0)
		code = show(ctl);
	ctl_arg_table_finish(&table);
	return code;
}
