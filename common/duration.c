#include "settings.h"

#include <string.h>

static const struct {
	const char *name;
	int64_t us;
} units[] = {
	{ "us", 1 },
	{ "ms", 1000 },
	{ "s", INT64_C(1000000) },
	{ "m", INT64_C(60000000) },
	{ "h", INT64_C(3600000000) },
};

bool duration_parse(const char *text, int64_t *us)
{
	const char *unit = text + strspn(text, "0123456789");
	char digits[20];
	size_t i, len = unit - text;
	guint64 value;

	if (!len || len >= sizeof(digits))
		return false;
	memcpy(digits, text, len);
	digits[len] = '\0';
	value = g_ascii_strtoull(digits, NULL, 10);
	for (i = 0; i < G_N_ELEMENTS(units); i++) {
		if (strcmp(unit, units[i].name))
			continue;
		if (value > (guint64)(INT64_MAX / units[i].us))
			return false;
		*us = (int64_t)value * units[i].us;
		return true;
	}
	return false;
}
