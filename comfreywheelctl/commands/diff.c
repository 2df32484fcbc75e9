#include "ctl.h"

static void print_diff(const struct ctl *ctl, const struct tables *in_force,
		       const struct tables *files)
{
	GString *text = g_string_new(NULL);
	json_t *lines = json_array();
	char **split_lines;
	size_t i;

	tables_diff(in_force, files, text);
	if (ctl->json) {
		split_lines = g_strsplit(text->str, "\n", -1);
		for (i = 0; split_lines[i]; i++)
			if (*split_lines[i])
				json_array_append_new(
					lines, json_string(split_lines[i]));
		g_strfreev(split_lines);
		ctl_print(ctl, json_pack("{s:I, s:O}", "version",
					 (json_int_t)in_force->version,
					 "changes", lines));
	} else {
		fputs(text->len ? text->str : "no difference\n",
		      ctl->streams->out);
	}
	json_decref(lines);
	g_string_free(text, TRUE);
}

static int diff(struct ctl *ctl, const char *routes, const char *pools)
{
	struct tables in_force, files;
	GError *error = NULL;
	json_t *json = NULL;
	int code = CTL_OK;

	tables_init(&in_force);
	tables_init(&files);
	if (!ctl_read_tables(&files, routes, pools, &error))
		code = ctl_fail_gerror(ctl, CTL_REFUSED, error);
	else
		json = ctl_query(ctl, ctl->daemon, "tables", NULL, &code);
	if (json && !ctl_tables_from_json(&in_force, json, &error))
		code = ctl_fail_gerror(ctl, CTL_REFUSED, error);
	else if (json)
		print_diff(ctl, &in_force, &files);
	json_decref(json);
	tables_finish(&in_force);
	tables_finish(&files);
	return code;
}

int command_diff(struct ctl *ctl, int argc, char **argv)
{
	return ctl_run_with_table_files(ctl, argc, argv, CTL_TARGET_EITHER,
					diff);
}
