#include "ini_reader.h"
#include "settings.h"

#include <arpa/inet.h>
#include <string.h>

/* "route ", the longest section prefix, and a name fit INI_SECTION_NAME_MAX. */
#define NAME_MAX_LEN 40
#define PORT_DIGITS_MAX 5

static void replace_text(char **target, char *value)
{
	g_free(*target);
	*target = value;
}

static bool parse_text(const char *text, const struct ini_field *field,
		       void *target)
{
	replace_text(target, g_strdup(text));
	return true;
}

void ini_print_text(const void *target, GString *out)
{
	const char *text = *(char *const *)target;

	g_string_append(out, text ? text : "");
}

void ini_release_text(void *target)
{
	replace_text(target, NULL);
}

bool ini_is_name(const char *text)
{
	size_t len = strspn(text, "abcdefghijklmnopqrstuvwxyz"
				  "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_");

	return len && len <= NAME_MAX_LEN && !text[len];
}

static bool parse_name(const char *text, const struct ini_field *field,
		       void *target)
{
	return ini_is_name(text) && parse_text(text, field, target);
}

static bool is_host(const char *text, size_t len)
{
	unsigned char bytes[sizeof(struct in6_addr)];
	char host[INET6_ADDRSTRLEN + 2];

	if (len >= sizeof(host))
		return false;
	memcpy(host, text, len);
	host[len] = '\0';
	if (inet_pton(AF_INET, host, bytes) == 1)
		return true;
	if (len < 2 || host[0] != '[' || host[len - 1] != ']')
		return false;
	host[len - 1] = '\0';
	return inet_pton(AF_INET6, host + 1, bytes) == 1;
}

bool ini_is_address(const char *text)
{
	const char *colon = strrchr(text, ':');
	guint64 port;
	size_t digits;

	if (!colon || !is_host(text, colon - text))
		return false;
	digits = strspn(colon + 1, "0123456789");
	if (!digits || digits > PORT_DIGITS_MAX || colon[1 + digits])
		return false;
	port = g_ascii_strtoull(colon + 1, NULL, 10);
	return port && port <= UINT16_MAX;
}

static bool parse_address(const char *text, const struct ini_field *field,
			  void *target)
{
	return ini_is_address(text) && parse_text(text, field, target);
}

static bool parse_number(const char *text, const struct ini_field *field,
			 guint64 *value)
{
	return g_ascii_string_to_unsigned(text, 10, field->min, field->max,
					  value, NULL);
}

static bool parse_unsigned(const char *text, const struct ini_field *field,
			   void *target)
{
	guint64 value;

	if (!parse_number(text, field, &value) || value > UINT_MAX)
		return false;
	*(unsigned *)target = value;
	return true;
}

static void print_unsigned(const void *target, GString *out)
{
	g_string_append_printf(out, "%u", *(const unsigned *)target);
}

static bool parse_uint64(const char *text, const struct ini_field *field,
			 void *target)
{
	guint64 value;

	if (!parse_number(text, field, &value))
		return false;
	*(uint64_t *)target = value;
	return true;
}

static void print_uint64(const void *target, GString *out)
{
	g_string_append_printf(out, "%" G_GUINT64_FORMAT,
			       *(const uint64_t *)target);
}

static bool parse_duration(const char *text, const struct ini_field *field,
			   void *target)
{
	int64_t us;

	if (!duration_parse(text, &us))
		return false;
	if ((uint64_t)us < field->min || (uint64_t)us > field->max)
		return false;
	*(int64_t *)target = us;
	return true;
}

static void print_duration(const void *target, GString *out)
{
	int64_t us = *(const int64_t *)target;

	if (us % 1000)
		g_string_append_printf(out, "%" G_GINT64_FORMAT "us", us);
	else if (us % 1000000)
		g_string_append_printf(out, "%" G_GINT64_FORMAT "ms",
				       us / 1000);
	else
		g_string_append_printf(out, "%" G_GINT64_FORMAT "s",
				       us / 1000000);
}

static const struct {
	const char *name;
	uint64_t bytes;
} size_units[] = {
	{ "MiB", 1024 * 1024 },
	{ "KiB", 1024 },
};

static bool parse_size(const char *text, const struct ini_field *field,
		       void *target)
{
	const char *unit = text + strspn(text, "0123456789");
	g_autofree char *digits = g_strndup(text, unit - text);
	guint64 value;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(size_units); i++) {
		if (strcmp(unit, size_units[i].name))
			continue;
		if (!g_ascii_string_to_unsigned(
			    digits, 10, 0, G_MAXUINT64 / size_units[i].bytes,
			    &value, NULL))
			return false;
		value *= size_units[i].bytes;
		if (value < field->min || value > field->max)
			return false;
		*(uint64_t *)target = value;
		return true;
	}
	return false;
}

static void print_size(const void *target, GString *out)
{
	uint64_t bytes = *(const uint64_t *)target;
	size_t i = bytes % size_units[0].bytes ? 1 : 0;

	g_string_append_printf(out, "%" G_GUINT64_FORMAT "%s",
			       (guint64)(bytes / size_units[i].bytes),
			       size_units[i].name);
}

char **ini_split_list(const char *text)
{
	char **items = g_strsplit(text, ",", -1);
	size_t i;

	for (i = 0; items[i]; i++) {
		if (*g_strstrip(items[i]))
			continue;
		g_strfreev(items);
		return NULL;
	}
	return items;
}

char **ini_split_unique(const char *text, bool (*valid)(const char *item))
{
	char **items = ini_split_list(text);
	size_t i, k;

	for (i = 0; items && items[i]; i++) {
		for (k = 0; k < i && strcmp(items[k], items[i]); k++)
			;
		if (k == i && valid(items[i]))
			continue;
		g_strfreev(items);
		return NULL;
	}
	return items;
}

static bool parse_names(const char *text, const struct ini_field *field,
			void *target)
{
	char **items = ini_split_unique(text, ini_is_name);

	if (!items)
		return false;
	ini_release_list(target);
	*(char ***)target = items;
	return true;
}

void ini_print_list(const void *target, GString *out)
{
	char *const *items = *(char **const *)target;
	size_t i;

	for (i = 0; items && items[i]; i++)
		g_string_append_printf(out, "%s%s", i ? ", " : "", items[i]);
}

void ini_release_list(void *target)
{
	g_strfreev(*(char ***)target);
	*(char ***)target = NULL;
}

const struct ini_type ini_text = {
	.expected = "a text",
	.parse = parse_text,
	.print = ini_print_text,
	.release = ini_release_text,
};

const struct ini_type ini_name = {
	.expected = "1 to 40 letters, digits, \"-\" or \"_\"",
	.parse = parse_name,
	.print = ini_print_text,
	.release = ini_release_text,
};

const struct ini_type ini_address = {
	.expected = "IP:PORT with a port from 1 to 65535",
	.parse = parse_address,
	.print = ini_print_text,
	.release = ini_release_text,
};

const struct ini_type ini_unsigned = {
	.expected = "a whole number",
	.parse = parse_unsigned,
	.print = print_unsigned,
};

const struct ini_type ini_uint64 = {
	.expected = "a whole number",
	.parse = parse_uint64,
	.print = print_uint64,
};

const struct ini_type ini_duration = {
	.expected = "a duration with its unit, such as 250ms or 4s,",
	.parse = parse_duration,
	.print = print_duration,
};

const struct ini_type ini_size = {
	.expected = "a size with its unit, such as 512KiB or 64MiB,",
	.parse = parse_size,
	.print = print_size,
};

const struct ini_type ini_names = {
	.expected = "different names separated by commas, each of 1 to 40 "
		    "letters, digits, \"-\" or \"_\"",
	.parse = parse_names,
	.print = ini_print_list,
	.release = ini_release_list,
};
