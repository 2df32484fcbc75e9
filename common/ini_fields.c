#include "ini_reader.h"
#include "settings.h"

#define MEMBER(base, field) ((char *)(base) + (field)->offset)

static bool set_value_error(const struct ini_document *doc,
			    const struct ini_field *field,
			    const struct ini_entry *entry, GError **error)
{
	char range[64] = "";

	if (field->max && field->type == &ini_duration)
		g_snprintf(range, sizeof(range),
			   " from %" G_GUINT64_FORMAT "ms to %" G_GUINT64_FORMAT
			   "ms",
			   field->min / 1000, field->max / 1000);
	else if (field->max)
		g_snprintf(range, sizeof(range),
			   " from %" G_GUINT64_FORMAT " to %" G_GUINT64_FORMAT,
			   field->min, field->max);
	return ini_set_error(doc, entry->line, error,
			     "\"%s\" cannot be the value of \"%s\"; give %s%s",
			     field->type->secret ? "..." : entry->value,
			     field->key, field->type->expected, range);
}

static bool load_field(const struct ini_document *doc,
		       struct ini_section *section,
		       const struct ini_field *field, void *base,
		       GError **error)
{
	struct ini_entry *entry = ini_section_entry(section, field->key);
	void *target = MEMBER(base, field);

	if (entry) {
		entry->used = true;
		if (!field->type->parse(entry->value, field, target))
			return set_value_error(doc, field, entry, error);
		return true;
	}
	if (field->presence == INI_REQUIRED)
		return ini_set_error(doc, section ? section->line : 1, error,
				     "[%s] lacks the key \"%s\"; give %s",
				     section ? section->name : field->section,
				     field->key, field->type->expected);
	if (field->default_text)
		field->type->parse(field->default_text, field, target);
	return true;
}

static bool check_unknown_keys(const struct ini_document *doc,
			       const struct ini_section *section,
			       const struct ini_field *fields, size_t nr,
			       GError **error)
{
	const struct ini_entry *entry;
	GString *known;
	guint i;
	size_t k;

	for (i = 0; i < section->entries->len; i++) {
		entry = &g_array_index(section->entries, struct ini_entry, i);
		if (entry->used)
			continue;
		known = g_string_new(NULL);
		for (k = 0; k < nr; k++)
			g_string_append_printf(known, "%s%s", k ? ", " : "",
					       fields[k].key);
		ini_set_error(
			doc, entry->line, error,
			"key \"%s\" is not known in [%s]; remove it or use "
			"one of: %s",
			entry->key, section->name, known->str);
		g_string_free(known, TRUE);
		return false;
	}
	return true;
}

bool ini_load_fields(const struct ini_document *doc,
		     struct ini_section *section,
		     const struct ini_field *fields, size_t nr, void *base,
		     GError **error)
{
	size_t i;

	for (i = 0; i < nr; i++)
		if (!load_field(doc, section, &fields[i], base, error))
			return false;
	return !section || check_unknown_keys(doc, section, fields, nr, error);
}

void ini_release_fields(const struct ini_field *fields, size_t nr, void *base)
{
	size_t i;

	for (i = 0; i < nr; i++)
		if (fields[i].type->release)
			fields[i].type->release(MEMBER(base, &fields[i]));
}

char *ini_field_text(const struct ini_field *field, const void *base)
{
	GString *out = g_string_new(NULL);

	field->type->print((const char *)base + field->offset, out);
	return g_string_free(out, FALSE);
}
