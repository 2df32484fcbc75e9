#include "ctl.h"
#include "ini_reader.h"

#include <string.h>

#define MAX_ARGUMENTS 2

static bool is_control_id(const char *text)
{
	return g_ascii_string_to_unsigned(text, 10, 1, G_MAXUINT64, NULL, NULL);
}

static bool is_member_name(const char *text)
{
	return ini_is_name(text);
}

/* Arguments of each action, validated here to save a round trip. */
static const struct action {
	const char *name;
	const char *query;
	const char *usage;
	bool (*check[MAX_ARGUMENTS])(const char *text);
} actions[] = {
	{ "list", "members", "no argument" },
	{ "add",
	  "member-add",
	  "ID IP:PORT of the new control VM",
	  { is_control_id, ini_is_address } },
	{ "promote",
	  "member-promote",
	  "ID of a control VM that was added",
	  { is_control_id } },
	{ "remove",
	  "member-remove",
	  "ID of a control VM or NAME of a daemon",
	  { is_member_name } },
};

static int run_action(struct ctl *ctl, const struct action *action,
		      const struct arg_str *action_args)
{
	char *arguments[MAX_ARGUMENTS + 1] = { NULL };
	int i, nr_expected = 0;

	while (nr_expected < MAX_ARGUMENTS && action->check[nr_expected])
		nr_expected++;
	if (action_args->count - 1 != nr_expected)
		return ctl_fail(ctl, CTL_USAGE, "member %s takes %s",
				action->name, action->usage);
	for (i = 0; i < nr_expected; i++) {
		arguments[i] = (char *)action_args->sval[i + 1];
		if (!action->check[i](arguments[i]))
			return ctl_fail(ctl, CTL_USAGE,
					"\"%s\" is not valid; give %s",
					arguments[i], action->usage);
	}
	if (!nr_expected)
		return ctl_run_query(ctl, NULL, action->query, arguments);
	return ctl_run_change(ctl, NULL, action->query, arguments);
}

int command_member(struct ctl *ctl, int argc, char **argv)
{
	struct arg_str *action_args =
		arg_strn(NULL, NULL, "list|add|promote|remove", 1,
			 MAX_ARGUMENTS + 1, "action and its arguments");
	struct ctl_arg_table table;
	size_t i;
	int code;

	ctl_arg_table_init(&table, CTL_TARGET_CONTROL);
	ctl_arg_table_add(&table, action_args);
	code = ctl_arg_table_parse(&table, ctl, argc, argv);
	for (i = 0; code < 0 && i < G_N_ELEMENTS(actions); i++)
		if (!strcmp(action_args->sval[0], actions[i].name))
			code = run_action(ctl, &actions[i], action_args);
	if (code < 0)
		code = ctl_fail(ctl, CTL_USAGE,
				"unknown action \"%s\"; use list, add, "
				"promote or remove",
				action_args->sval[0]);
	ctl_arg_table_finish(&table);
	return code;
}
