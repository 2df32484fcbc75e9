#include "ini_reader.h"

#include <ini.h>
#include <stdarg.h>
#include <string.h>

struct reader {
	struct ini_document *doc;
	const char *cursor;
	int line;
	struct ini_section *section;
	GError *error;
};

bool ini_set_error(const struct ini_document *doc, int line, GError **error,
		   const char *fmt, ...)
{
	va_list ap;
	char *text;

	va_start(ap, fmt);
	text = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	g_set_error(error, CW_ERROR, doc->kind, "%s:%d: %s", doc->file, line,
		    text);
	g_free(text);
	return false;
}

static void clear_entry(void *data)
{
	struct ini_entry *entry = data;

	g_free(entry->key);
	g_free(entry->value);
}

static void free_section(void *data)
{
	struct ini_section *section = data;

	g_free(section->name);
	g_array_free(section->entries, TRUE);
	g_free(section);
}

struct ini_section *ini_document_section(const struct ini_document *doc,
					 const char *name)
{
	struct ini_section *section;
	guint i;

	for (i = 0; i < doc->sections->len; i++) {
		section = g_ptr_array_index(doc->sections, i);
		if (!strcmp(section->name, name))
			return section;
	}
	return NULL;
}

struct ini_entry *ini_section_entry(const struct ini_section *section,
				    const char *key)
{
	struct ini_entry *entry;
	guint i;

	for (i = 0; section && i < section->entries->len; i++) {
		entry = &g_array_index(section->entries, struct ini_entry, i);
		if (!strcmp(entry->key, key))
			return entry;
	}
	return NULL;
}

/* Takes ownership of @name. */
static bool add_section(struct reader *r, char *name)
{
	struct ini_section *section = ini_document_section(r->doc, name);

	if (section) {
		ini_set_error(r->doc, r->line, &r->error,
			      "section [%s] repeats the one in line %d; rename "
			      "or remove one of them",
			      name, section->line);
		g_free(name);
		return false;
	}
	section = g_new0(struct ini_section, 1);
	section->name = name;
	section->line = r->line;
	section->entries = g_array_new(FALSE, TRUE, sizeof(struct ini_entry));
	g_array_set_clear_func(section->entries, clear_entry);
	g_ptr_array_add(r->doc->sections, section);
	r->section = section;
	return true;
}

/* inih does not report sections without keys, so headings are parsed here. */
static bool parse_heading(struct reader *r, const char *line)
{
	const char *close = strchr(line, ']');
	char *name;

	if (!close || close[1 + strspn(close + 1, " \t\r\n")])
		return ini_set_error(r->doc, r->line, &r->error,
				     "the heading is not complete; write "
				     "[SECTION] and nothing else on its line");
	name = g_strstrip(g_strndup(line + 1, close - line - 1));
	if (!*name || close - line - 1 > INI_SECTION_NAME_MAX) {
		g_free(name);
		return ini_set_error(r->doc, r->line, &r->error,
				     "the heading has no name or one of more "
				     "than %d bytes; shorten it",
				     INI_SECTION_NAME_MAX);
	}
	return add_section(r, name);
}

static char *read_line(char *buf, int size, void *data)
{
	struct reader *r = data;
	const char *start = r->cursor, *end;
	size_t len;

	if (r->error || !*r->cursor)
		return NULL;
	r->line++;
	end = strchr(r->cursor, '\n');
	len = end ? (size_t)(end + 1 - r->cursor) : strlen(r->cursor);
	if (len + 1 > (size_t)size) {
		ini_set_error(r->doc, r->line, &r->error,
			      "the line has more than %d bytes; shorten it",
			      size - 2);
		return NULL;
	}
	memcpy(buf, r->cursor, len);
	buf[len] = '\0';
	r->cursor += len;
	if (r->line == 1 && g_str_has_prefix(start, "\xef\xbb\xbf"))
		start += strlen("\xef\xbb\xbf");
	start += strspn(start, " \t");
	if (*start == '[' &&
	    !parse_heading(r, buf + (len - (r->cursor - start))))
		return NULL;
	return buf;
}

static int add_entry(void *data, const char *section, const char *key,
		     const char *value)
{
	struct reader *r = data;
	struct ini_entry *entry;
	const struct ini_entry *existing;
	guint nr;

	if (!r->section)
		return ini_set_error(
			r->doc, r->line, &r->error,
			"key \"%s\" stands before the first section; "
			"move it below a heading",
			key);
	if (!*key || !*value)
		return ini_set_error(
			r->doc, r->line, &r->error,
			"key \"%s\" has no %s; write KEY = VALUE or "
			"remove the line",
			key, *key ? "value" : "name");
	existing = ini_section_entry(r->section, key);
	if (existing)
		return ini_set_error(r->doc, r->line, &r->error,
				     "key \"%s\" repeats the one in line "
				     "%d; remove one of them",
				     key, existing->line);
	nr = r->section->entries->len;
	g_array_set_size(r->section->entries, nr + 1);
	entry = &g_array_index(r->section->entries, struct ini_entry, nr);
	entry->key = g_strdup(key);
	entry->value = g_strdup(value);
	entry->line = r->line;
	return 1;
}

/* By default inih truncates lines at 200 bytes and values at " ;". */
static void configure_inih(void)
{
	static gsize done;

	if (!g_once_init_enter(&done))
		return;
	ini_max_line = INI_LINE_MAX;
	ini_allow_multiline = false;
	ini_allow_inline_comments = false;
	ini_stop_on_first_error = true;
	g_once_init_leave(&done, 1);
}

char *ini_read_file(enum cw_error_kind kind, const char *file, GError **error)
{
	GError *io = NULL;
	gsize len;
	char *text;

	if (!g_file_get_contents(file, &text, &len, &io)) {
		g_set_error(error, CW_ERROR, kind,
			    "%s:0: the file cannot be read (%s); check its "
			    "path and permissions",
			    file, io->message);
		g_error_free(io);
		return NULL;
	}
	if (strlen(text) == len)
		return text;
	g_set_error(error, CW_ERROR, kind,
		    "%s:0: the file holds zero bytes; save it as text", file);
	g_free(text);
	return NULL;
}

bool ini_document_parse(struct ini_document *doc, enum cw_error_kind kind,
			const char *file, const char *text, GError **error)
{
	struct reader r = { .doc = doc, .cursor = text };
	int rc;

	configure_inih();
	doc->file = g_strdup(file);
	doc->kind = kind;
	doc->sections = g_ptr_array_new_with_free_func(free_section);
	rc = ini_parse_stream(read_line, &r, add_entry, &r);
	if (!rc && !r.error)
		return true;
	if (!r.error)
		ini_set_error(doc, rc > 0 ? rc : r.line, &r.error,
			      "the line is no heading, entry or comment; write "
			      "KEY = VALUE, [SECTION] or # COMMENT");
	g_propagate_error(error, r.error);
	ini_document_finish(doc);
	return false;
}

void ini_document_finish(struct ini_document *doc)
{
	g_free(doc->file);
	if (doc->sections)
		g_ptr_array_free(doc->sections, TRUE);
	memset(doc, 0, sizeof(*doc));
}
