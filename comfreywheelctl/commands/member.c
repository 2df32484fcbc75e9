#include "ctl.h"
#include "ini_reader.h"

#include <string.h>

#define ARGUMENTS_MAX 2

static bool is_identity(const char *text)
{
	return g_ascii_string_to_unsigned(text, 10, 1, G_MAXUINT64, NULL, NULL);
}

static bool is_member(const char *text)
{
	return ini_is_name(text);
}

/* What each action takes, checked here to save the operator a round trip. */
static const struct action {
	const char *name;
	const char *query;
	const char *usage;
	bool (*check[ARGUMENTS_MAX])(const char *text);
} actions[] = {
	{ "list", "members", "no argument" },
	{ "add",
	  "member-add",
	  "ID IP:PORT of the new control VM",
	  { is_identity, ini_is_address } },
	{ "promote",
	  "member-promote",
	  "ID of a control VM that was added",
	  { is_identity } },
	{ "remove",
	  "member-remove",
	  "ID of a control VM or NAME of a daemon",
	  { is_member } },
};

static int run(struct ctl *ctl, const struct action *action,
	       const struct arg_str *words)
{
	char *arguments[ARGUMENTS_MAX + 1] = { NULL };
	int i, wanted = 0;

	while (wanted < ARGUMENTS_MAX && action->check[wanted])
		wanted++;
	if (words->count - 1 != wanted)
		return ctl_fail(ctl, CTL_USAGE, "member %s takes %s",
				action->name, action->usage);
	for (i = 0; i < wanted; i++) {
		arguments[i] = (char *)words->sval[i + 1];
		if (!action->check[i](arguments[i]))
			return ctl_fail(ctl, CTL_USAGE,
					"\"%s\" cannot be used; give %s",
					arguments[i], action->usage);
	}
	if (!wanted)
		return ctl_run_query(ctl, NULL, action->query, arguments);
	return ctl_run_change(ctl, NULL, action->query, arguments);
}

int command_member(struct ctl *ctl, int argc, char **argv)
{
	struct arg_str *words = arg_strn(NULL, NULL, "list|add|promote|remove",
					 1, ARGUMENTS_MAX + 1,
					 "and the arguments of the action");
	struct ctl_table table;
	size_t i;
	int code;

	ctl_table_init(&table, CTL_CONTROL);
	ctl_table_add(&table, words);
	code = ctl_table_parse(&table, ctl, argc, argv);
	for (i = 0; code < 0 && i < G_N_ELEMENTS(actions); i++)
		if (!strcmp(words->sval[0], actions[i].name))
			code = run(ctl, &actions[i], words);
	if (code < 0)
		code = ctl_fail(ctl, CTL_USAGE,
				"there is no action \"%s\"; use list, add, "
				"promote or remove",
				words->sval[0]);
	ctl_table_finish(&table);
	return code;
}
