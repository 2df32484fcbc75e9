#include "ctl.h"

#include <stdarg.h>

#define INDENT_WIDTH 2

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

int ctl_fail_gerror(const struct ctl *ctl, enum ctl_exit code, GError *error)
{
	ctl_fail(ctl, code, "%s", error->message);
	g_error_free(error);
	return code;
}

static void print_scalar(FILE *stream, const json_t *value)
{
	char *text;

	if (json_is_string(value)) {
		fprintf(stream, "%s\n", json_string_value(value));
		return;
	}
	text = json_dumps(value, JSON_ENCODE_ANY);
	fprintf(stream, "%s\n", text);
	free(text);
}

static bool has_only_scalars(json_t *object)
{
	const char *key;
	json_t *item;

	json_object_foreach(object, key,
			    item) if (json_is_object(item) ||
				      json_is_array(item)) return false;
	return json_is_object(object);
}

static bool is_array_of_rows(json_t *array)
{
	json_t *row;
	size_t i;

	json_array_foreach(array, i,
			   row) if (!has_only_scalars(row)) return false;
	return json_array_size(array) > 0;
}

static char *cell_text(const json_t *value)
{
	char *text, *copy;

	if (!value || (json_is_string(value) && !json_string_length(value)))
		return g_strdup("-");
	if (json_is_string(value))
		return g_strdup(json_string_value(value));
	text = json_dumps(value, JSON_ENCODE_ANY);
	copy = g_strdup(text);
	free(text);
	return copy;
}

/* Returns the keys of all rows, because some rows may lack some keys. */
static GPtrArray *column_names(json_t *rows)
{
	GPtrArray *names = g_ptr_array_new();
	const char *key;
	json_t *row, *item;
	size_t i;

	json_array_foreach(rows, i, row) json_object_foreach(
		row, key,
		item) if (!g_ptr_array_find_with_equal_func(names, key,
							    g_str_equal, NULL))
		g_ptr_array_add(names, (void *)key);
	return names;
}

static int column_width(json_t *rows, const char *name)
{
	glong width = g_utf8_strlen(name, -1);
	json_t *row;
	char *text;
	size_t i;

	json_array_foreach(rows, i, row)
	{
		text = cell_text(json_object_get(row, name));
		width = MAX(width, g_utf8_strlen(text, -1));
		g_free(text);
	}
	return width;
}

/* Does not pad the last column, so that lines have no trailing spaces. */
static void print_cell(FILE *stream, const char *text, int width, bool last)
{
	int padding = width - (int)g_utf8_strlen(text, -1);

	fprintf(stream, "%s%*s", text, last ? 0 : padding + INDENT_WIDTH, "");
	if (last)
		fputc('\n', stream);
}

static void print_row(FILE *stream, json_t *row, const GPtrArray *names,
		      const int *widths, int indent)
{
	const char *name;
	char *text;
	guint column;

	fprintf(stream, "%*s", indent, "");
	for (column = 0; column < names->len; column++) {
		name = names->pdata[column];
		text = row ? cell_text(json_object_get(row, name)) :
			     g_strdup(name);
		print_cell(stream, text, widths[column],
			   column + 1 == names->len);
		g_free(text);
	}
}

static void print_table(FILE *stream, json_t *rows, int indent)
{
	GPtrArray *names = column_names(rows);
	int *widths = g_new0(int, names->len);
	json_t *row;
	size_t i;
	guint column;

	for (column = 0; column < names->len; column++)
		widths[column] = column_width(rows, names->pdata[column]);
	print_row(stream, NULL, names, widths, indent);
	json_array_foreach(rows, i, row)
		print_row(stream, row, names, widths, indent);
	g_free(widths);
	g_ptr_array_free(names, TRUE);
}

static void print_value(FILE *stream, json_t *value, int indent);

/* Prints a scalar after its key, and an object or array on the next lines. */
static void print_member(FILE *stream, const char *key, json_t *value,
			 int indent)
{
	fprintf(stream, "%*s%s:", indent, "", key);
	if (json_is_object(value) || json_is_array(value)) {
		fputc('\n', stream);
		print_value(stream, value, indent + INDENT_WIDTH);
		return;
	}
	fputc(' ', stream);
	print_scalar(stream, value);
}

static void print_value(FILE *stream, json_t *value, int indent)
{
	const char *key;
	json_t *item;
	size_t i;

	if (json_is_object(value)) {
		json_object_foreach(value, key, item)
			print_member(stream, key, item, indent);
		return;
	}
	if (!json_is_array(value)) {
		fprintf(stream, "%*s", indent, "");
		print_scalar(stream, value);
		return;
	}
	if (is_array_of_rows(value)) {
		print_table(stream, value, indent);
		return;
	}
	json_array_foreach(value, i, item)
	{
		if (i && (json_is_object(item) || json_is_array(item)))
			fputc('\n', stream);
		print_value(stream, item, indent);
	}
}

void ctl_print(const struct ctl *ctl, json_t *value)
{
	if (ctl->json) {
		json_dumpf(value, ctl->streams->out, JSON_INDENT(INDENT_WIDTH));
		fputc('\n', ctl->streams->out);
	} else {
		print_value(ctl->streams->out, value, 0);
	}
	json_decref(value);
}
