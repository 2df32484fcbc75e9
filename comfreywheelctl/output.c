#include "ctl.h"

#include <stdarg.h>

#define INDENT 2

int ctl_fail(const struct ctl *ctl, enum ctl_exit code, const char *fmt, ...)
{
	char *text;
	va_list ap;
	json_t *json;

	va_start(ap, fmt);
	text = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	fprintf(ctl->streams->err, "comfreywheelctl %s: %s\n", ctl->command,
		text);
	if (ctl->json) {
		json = json_pack("{s:s, s:i}", "error", text, "exit_code",
				 (int)code);
		ctl_print(ctl, json);
	}
	g_free(text);
	return code;
}

int ctl_fail_with(const struct ctl *ctl, enum ctl_exit code, GError *error)
{
	ctl_fail(ctl, code, "%s", error->message);
	g_error_free(error);
	return code;
}

static void print_scalar(FILE *to, const json_t *value)
{
	char *text;

	if (json_is_string(value)) {
		fprintf(to, "%s\n", json_string_value(value));
		return;
	}
	text = json_dumps(value, JSON_ENCODE_ANY);
	fprintf(to, "%s\n", text);
	free(text);
}

static void print_value(FILE *to, json_t *value, int indent);

/* Scalars stay on the line of their key, the rest goes below it. */
static void print_member(FILE *to, const char *key, json_t *value, int indent)
{
	fprintf(to, "%*s%s:", indent, "", key);
	if (json_is_object(value) || json_is_array(value)) {
		fputc('\n', to);
		print_value(to, value, indent + INDENT);
		return;
	}
	fputc(' ', to);
	print_scalar(to, value);
}

static void print_value(FILE *to, json_t *value, int indent)
{
	const char *key;
	json_t *item;
	size_t i;

	if (json_is_object(value)) {
		json_object_foreach(value, key, item)
			print_member(to, key, item, indent);
		return;
	}
	if (!json_is_array(value)) {
		fprintf(to, "%*s", indent, "");
		print_scalar(to, value);
		return;
	}
	json_array_foreach(value, i, item)
	{
		if (i && (json_is_object(item) || json_is_array(item)))
			fputc('\n', to);
		print_value(to, item, indent);
	}
}

void ctl_print(const struct ctl *ctl, json_t *value)
{
	if (ctl->json) {
		json_dumpf(value, ctl->streams->out, JSON_INDENT(INDENT));
		fputc('\n', ctl->streams->out);
	} else {
		print_value(ctl->streams->out, value, 0);
	}
	json_decref(value);
}
