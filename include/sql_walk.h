#ifndef SQL_WALK_H
#define SQL_WALK_H

#include "sql_classify.h"
#include <pg_query.h>
#include <pg_query/pg_query.pb-c.h>

/**
 * DOC: Parts of the classification, shared by the files of sql_classify.h.
 */

/**
 * Bounds on what is handed to the parser, which works in the caller's thread.
 * libpg-query recurses once per level of the parse tree without a check of
 * its own: "SELECT 1+1+...+1" with 10,000 terms overflows a stack of 8 MiB
 * and one with 800 terms a stack of 1 MiB. Parsing takes about 1 ms per KiB
 * at worst.
 */
#define SQL_TEXT_MAX (64u * 1024)
#define SQL_DEPTH_MAX 500

/** sql_scan() - tokens of a text, NULL if it cannot be split into tokens */
PgQuery__ScanResult *sql_scan(const char *sql);
bool sql_is_comment(PgQuery__Token token);

/** sql_is_too_deep() - whether the parse tree may exceed SQL_DEPTH_MAX */
bool sql_is_too_deep(const PgQuery__ScanResult *scan);

/**
 * sql_starts_refused() - whether a statement starts with a word that pooling
 * forbids; used for texts that do not parse
 */
bool sql_starts_refused(const PgQuery__ScanResult *scan);

/** First byte of a shape; no SQL starts with it. */
#define SQL_SHAPE_MARK '\x02'

/**
 * sql_shape() - a text with its constants taken out, to be cached
 * Return: NULL if the class may depend on the constants, or if there are
 *         none; else to be freed
 *
 * Texts of one shape differ in white space, comments and the values of
 * constants only, and have the same class.
 */
char *sql_shape(const char *sql, const PgQuery__ScanResult *scan);

/** sql_classify_text() - verdict without the cache; @scan may be NULL */
void sql_classify_text(const char *sql, const PgQuery__ScanResult *scan,
		       struct sql_class *out);

/**
 * struct sql_walk - findings in one parse tree
 * @plain_read: no node that could have an effect was found
 * @remedy: set when the statement has to be refused
 */
struct sql_walk {
	bool plain_read;
	const char *remedy;
};

void sql_walk(struct sql_walk *walk, const PgQuery__Node *node);

/** sql_constant_contains() - whether a text constant contains @text */
bool sql_constant_contains(const PgQuery__Node *node, const char *text);

void sql_refuse(struct sql_class *out, const char *sqlstate,
		const char *remedy);
/** sql_refuse_kind() - refuse with the SQLSTATE of "feature not supported" */
void sql_refuse_kind(struct sql_class *out, const char *remedy);

/** sql_classify_statement() - verdict on one statement; @out is zeroed */
void sql_classify_statement(const PgQuery__Node *stmt, struct sql_class *out);

/** Whether a built-in has no effects and the same result on every replica. */
bool sql_function_is_plain(const char *name);
bool sql_operator_is_plain(const char *name);
bool sql_type_is_plain(const char *name);

/** Messages of refusals that more than one file reports. */
extern const char sql_remedy_set[];
extern const char sql_remedy_temporary[];

#endif
