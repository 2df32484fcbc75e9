#ifndef SQL_CLASSIFY_H
#define SQL_CLASSIFY_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * DOC: Classification of statements by libpg-query, cached by text.
 *
 * Only a statement that is shown to be a plain read is a read. Anything that
 * is unknown, does not parse or may have effects is a write.
 */

enum sql_kind {
	SQL_READ,
	SQL_WRITE,
	/** BEGIN, START TRANSACTION; @read_only tells the mode */
	SQL_BEGIN,
	SQL_COMMIT,
	SQL_ROLLBACK,
	/** SAVEPOINT, RELEASE, ROLLBACK TO */
	SQL_SAVEPOINT,
	/** SET, RESET or SHOW of a setting with the prefix "comfreywheel." */
	SQL_PRODUCT_SET,
	SQL_PRODUCT_SHOW,
	/** SET or RESET of any other setting, allowed only as SET LOCAL */
	SQL_SET_LOCAL,
	/** what pooling breaks: COPY, LISTEN, PREPARE, SET, temp tables, ... */
	SQL_REFUSED,
	/** several statements in one simple query with a BEGIN or COMMIT */
	SQL_SCRIPT,
	SQL_EMPTY,
};

/**
 * struct sql_class - verdict on one query text
 * @kind: what it is; of several statements SQL_READ only if all are reads
 * @read_only: SQL_BEGIN with READ ONLY
 * @nr_statements: statements in the text
 * @sqlstate: SQL_REFUSED: SQLSTATE of the refusal
 * @remedy: SQL_REFUSED: message that names the remedy, static storage
 * @name: SQL_PRODUCT_SET, SQL_PRODUCT_SHOW: setting name with prefix
 * @value: SQL_PRODUCT_SET: new value, NULL for the default
 */
struct sql_class {
	enum sql_kind kind;
	bool read_only;
	unsigned nr_statements;
	const char *sqlstate;
	const char *remedy;
	char name[64];
	char value[256];
	bool value_is_default;
};

/**
 * struct sql_classifier - verdicts by text, bounded, least recently used out
 * @hits: verdicts found by the text itself
 * @shape_hits: verdicts found by the text without its constants
 * @misses: texts that were parsed
 */
struct sql_classifier {
	GHashTable *by_text;
	GQueue *by_use;
	size_t bytes;
	size_t max_bytes;
	uint64_t hits;
	uint64_t shape_hits;
	uint64_t misses;
};

void sql_classifier_init(struct sql_classifier *classifier, size_t max_bytes);
void sql_classifier_finish(struct sql_classifier *classifier);

/**
 * sql_classify() - verdict on a query text
 * Return: owned by the classifier, valid until the next call
 */
const struct sql_class *sql_classify(struct sql_classifier *classifier,
				     const char *sql);

#endif
