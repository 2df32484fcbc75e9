#ifndef SQL_CLASSIFY_H
#define SQL_CLASSIFY_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * DOC: Classification of SQL statements with libpg-query, cached by text.
 *
 * A statement is a read only if it is known to have no side effects and the
 * same result on a replica. Any other statement that is not refused is a write,
 * also one that is unknown or does not parse.
 */

enum sql_kind {
	SQL_READ,
	SQL_WRITE,
	/** BEGIN, START TRANSACTION; see @read_only of struct sql_class */
	SQL_BEGIN,
	SQL_COMMIT,
	SQL_ROLLBACK,
	/** SAVEPOINT, RELEASE, ROLLBACK TO */
	SQL_SAVEPOINT,
	/** SET or RESET of a setting with the prefix "comfreywheel." */
	SQL_PROXY_SET,
	/** SHOW of a setting with the prefix "comfreywheel." */
	SQL_PROXY_SHOW,
	/** SET or RESET of any other setting, allowed only as SET LOCAL */
	SQL_SET_LOCAL,
	/** unsafe on pooled connections: COPY, LISTEN, PREPARE, SET, ... */
	SQL_REFUSED,
	/** several statements with transaction control in one query */
	SQL_SCRIPT,
	SQL_EMPTY,
};

/**
 * struct sql_class - classification of one query text
 * @kind: kind of statement; SQL_READ for several statements only if all are
 *        reads
 * @read_only: SQL_BEGIN with READ ONLY
 * @nr_statements: number of statements in the text
 * @sqlstate: SQL_REFUSED: SQLSTATE of the error
 * @error_message: SQL_REFUSED: error message "CAUSE; REMEDY", static storage
 * @name: SQL_PROXY_SET, SQL_PROXY_SHOW: setting name with prefix
 * @value: SQL_PROXY_SET: new value
 * @value_is_default: SQL_PROXY_SET: reset to the default; @value is unused
 */
struct sql_class {
	enum sql_kind kind;
	bool read_only;
	unsigned nr_statements;
	const char *sqlstate;
	const char *error_message;
	char name[64];
	char value[256];
	bool value_is_default;
};

/**
 * struct sql_classifier - bounded LRU cache of classifications by query text
 * @by_text: struct cache_entry by query text or shape, see sql_shape()
 * @lru_entries: the entries, most recently used first
 * @bytes: memory used by the entries
 * @max_bytes: limit of @bytes
 * @hits: lookups that found the text itself
 * @shape_hits: lookups that found the shape of the text
 * @misses: texts that were parsed
 */
struct sql_classifier {
	GHashTable *by_text;
	GQueue *lru_entries;
	size_t bytes;
	size_t max_bytes;
	uint64_t hits;
	uint64_t shape_hits;
	uint64_t misses;
};

void sql_classifier_init(struct sql_classifier *classifier, size_t max_bytes);
void sql_classifier_finish(struct sql_classifier *classifier);

/**
 * sql_classify() - classify a query text
 * Return: classification owned by @classifier, valid until the next call
 */
const struct sql_class *sql_classify(struct sql_classifier *classifier,
				     const char *sql);

#endif
