#ifndef INI_READER_H
#define INI_READER_H

#include "error.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * DOC: INI texts with the line of every section and key.
 *
 * A line is "[SECTION]", "KEY = VALUE", a comment that starts with "#" or
 * ";", or empty. Values are taken as they stand, without quotes, inline
 * comments or continuation lines. Refused are repeated sections, repeated
 * keys, keys before the first section, empty names or values, lines that
 * are none of these and lines longer than INI_LINE_MAX bytes.
 */

#define INI_LINE_MAX 4096
/** Longest name of a section, bytes; inih cuts longer ones short. */
#define INI_SECTION_MAX 49

struct ini_entry {
	char *key;
	char *value;
	int line;
	bool used;
};

/**
 * struct ini_section - one section
 * @name: text between the brackets
 * @entries: struct ini_entry, in file order
 * @line: line of the heading
 */
struct ini_section {
	char *name;
	GArray *entries;
	int line;
};

/**
 * struct ini_document - a whole text
 * @file: file name for messages
 * @sections: struct ini_section, in file order
 * @kind: kind of the errors reported for this text
 */
struct ini_document {
	char *file;
	GPtrArray *sections;
	enum cw_error_kind kind;
};

bool ini_document_parse(struct ini_document *doc, enum cw_error_kind kind,
			const char *file, const char *text, GError **error);
void ini_document_finish(struct ini_document *doc);

/** ini_document_section() - NULL if there is none of that name */
struct ini_section *ini_document_section(const struct ini_document *doc,
					 const char *name);

/** ini_section_entry() - NULL if @section is NULL or lacks the key */
struct ini_entry *ini_section_entry(const struct ini_section *section,
				    const char *key);

/** ini_read_file() - text of a file; refuses zero bytes; caller frees */
char *ini_read_file(enum cw_error_kind kind, const char *file, GError **error);

/** ini_refuse() - set "FILE:LINE: ..." as the error; returns false */
bool ini_refuse(const struct ini_document *doc, int line, GError **error,
		const char *fmt, ...) __attribute__((format(printf, 4, 5)));

struct ini_field;

/**
 * struct ini_type - how values of one type are read and printed
 * @expected: completes the remedy of an error, "give ..."
 * @parse: false if @text is not such a value; @target is then unchanged
 * @print: the value as parse() would accept it, "" if it is absent
 * @release: frees what parse() allocated; NULL if nothing
 * @secret: keep values out of error messages
 */
struct ini_type {
	const char *expected;
	bool (*parse)(const char *text, const struct ini_field *field,
		      void *target);
	void (*print)(const void *target, GString *out);
	void (*release)(void *target);
	bool secret;
};

enum ini_presence {
	INI_REQUIRED,
	/** the fallback, or 0 and NULL without one, stands for a missing key */
	INI_OPTIONAL,
};

/**
 * struct ini_field - one key and the member of a struct that it sets
 * @offset: offset of the member
 * @min: least value, numbers and durations only
 * @max: largest value; both in the unit of the member
 * @fallback: text of the default
 */
struct ini_field {
	const char *section;
	const char *key;
	const struct ini_type *type;
	size_t offset;
	enum ini_presence presence;
	const char *fallback;
	uint64_t min;
	uint64_t max;
};

/** char *: any text */
extern const struct ini_type ini_text;
/** char *: letters, digits, "-" and "_" */
extern const struct ini_type ini_name;
/** char *: "IP:PORT", an IPv6 address in brackets */
extern const struct ini_type ini_address;
/** unsigned */
extern const struct ini_type ini_unsigned;
/** uint64_t */
extern const struct ini_type ini_uint64;
/** int64_t, microseconds */
extern const struct ini_type ini_duration;
/** char **, NULL terminated: names separated by commas */
extern const struct ini_type ini_names;

/** ini_is_name() - 1 to 40 letters, digits, "-" and "_" */
bool ini_is_name(const char *text);
bool ini_is_address(const char *text);
/** ini_list() - split at commas, strip; NULL if an item is empty */
char **ini_list(const char *text);
/** ini_distinct() - ini_list(), NULL too if one repeats or is not @valid */
char **ini_distinct(const char *text, bool (*valid)(const char *item));
void ini_print_list(const void *target, GString *out);
void ini_release_list(void *target);
void ini_print_text(const void *target, GString *out);
void ini_release_text(void *target);

/**
 * ini_fill() - set members of @base from one section
 * @section: NULL when the section is missing
 * @fields: fields of that section
 *
 * Refuses unknown keys, missing required keys and bad values.
 */
bool ini_fill(const struct ini_document *doc, struct ini_section *section,
	      const struct ini_field *fields, size_t nr, void *base,
	      GError **error);
void ini_release(const struct ini_field *fields, size_t nr, void *base);
/** ini_field_text() - a member in the text form; caller frees */
char *ini_field_text(const struct ini_field *field, const void *base);

#endif
