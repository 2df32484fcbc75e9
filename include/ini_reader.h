#ifndef INI_READER_H
#define INI_READER_H

#include "error.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * DOC: INI parser that keeps the line number of every section and key.
 *
 * A line is "[SECTION]", "KEY = VALUE", a comment that starts with "#" or
 * ";", or empty. Values are literal: there are no quotes, inline comments or
 * continuation lines. The parser rejects duplicate sections, duplicate keys
 * within a section, keys before the first section, empty names or values,
 * any other kind of line and lines longer than INI_LINE_MAX bytes.
 */

#define INI_LINE_MAX 4096
/** Maximum length of a section name in bytes; inih truncates longer ones. */
#define INI_SECTION_NAME_MAX 49

/**
 * struct ini_entry - a key and its value
 * @line: line number
 * @used: whether ini_load_fields() found a field for the key
 */
struct ini_entry {
	char *key;
	char *value;
	int line;
	bool used;
};

/**
 * struct ini_section - a section
 * @name: text between the brackets
 * @entries: struct ini_entry, in file order
 * @line: line number of the heading
 */
struct ini_section {
	char *name;
	GArray *entries;
	int line;
};

/**
 * struct ini_document - a parsed INI file
 * @file: file name for error messages
 * @sections: struct ini_section, in file order
 * @kind: error code for errors in this file
 */
struct ini_document {
	char *file;
	GPtrArray *sections;
	enum cw_error_kind kind;
};

/** ini_document_parse() - on failure @doc needs no ini_document_finish() */
bool ini_document_parse(struct ini_document *doc, enum cw_error_kind kind,
			const char *file, const char *text, GError **error);
void ini_document_finish(struct ini_document *doc);

/** ini_document_section() - find a section, NULL if there is none */
struct ini_section *ini_document_section(const struct ini_document *doc,
					 const char *name);

/** ini_section_entry() - find a key, NULL if there is none or no section */
struct ini_entry *ini_section_entry(const struct ini_section *section,
				    const char *key);

/** ini_read_file() - read a file without NUL bytes; the caller frees it */
char *ini_read_file(enum cw_error_kind kind, const char *file, GError **error);

/** ini_set_error() - set the error "FILE:LINE: ..." and return false */
bool ini_set_error(const struct ini_document *doc, int line, GError **error,
		   const char *fmt, ...) __attribute__((format(printf, 4, 5)));

struct ini_field;

/**
 * struct ini_type - value type with its parser and printer
 * @expected: description of valid values, follows "give" in error messages
 * @parse: returns false and leaves @target unchanged if @text is invalid
 * @print: appends the value in the form that parse() accepts, "" if unset
 * @release: frees memory allocated by parse(), NULL if there is none
 * @secret: values must not appear in error messages
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
	/** a missing key gets the default or, without one, 0 or NULL */
	INI_OPTIONAL,
};

/**
 * struct ini_field - maps a key to a member of a settings struct
 * @offset: offset of the member in the struct
 * @default_text: default value as text, NULL for none
 * @min: smallest valid number or duration, in the unit of the member
 * @max: largest valid number or duration, in the unit of the member
 */
struct ini_field {
	const char *section;
	const char *key;
	const struct ini_type *type;
	size_t offset;
	enum ini_presence presence;
	const char *default_text;
	uint64_t min;
	uint64_t max;
};

/** char *: any string */
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
/** uint64_t, bytes */
extern const struct ini_type ini_size;
/** char **, NULL-terminated: distinct names separated by commas */
extern const struct ini_type ini_names;

/** ini_is_name() - 1 to 40 letters, digits, "-" and "_" */
bool ini_is_name(const char *text);
bool ini_is_address(const char *text);
/** ini_split_list() - split at commas and strip; NULL if an item is empty */
char **ini_split_list(const char *text);
/**
 * ini_split_unique() - like ini_split_list() for valid, distinct items
 * Return: NULL if an item is empty, invalid or a duplicate
 */
char **ini_split_unique(const char *text, bool (*valid)(const char *item));
void ini_print_list(const void *target, GString *out);
void ini_release_list(void *target);
void ini_print_text(const void *target, GString *out);
void ini_release_text(void *target);

/**
 * ini_load_fields() - set the members of a struct from a section
 * @section: NULL if the section is missing
 * @fields: fields of the section
 * @nr: number of @fields
 * @base: the struct
 *
 * Unknown keys, missing required keys and invalid values are errors.
 */
bool ini_load_fields(const struct ini_document *doc,
		     struct ini_section *section,
		     const struct ini_field *fields, size_t nr, void *base,
		     GError **error);
/** ini_release_fields() - free the members that @fields describe */
void ini_release_fields(const struct ini_field *fields, size_t nr, void *base);
/** ini_field_text() - format a member as text; the caller frees it */
char *ini_field_text(const struct ini_field *field, const void *base);

#endif
