#ifndef SQL_WALK_H
#define SQL_WALK_H

#include "sql_classify.h"
#include <pg_query.h>
#include <pg_query/pg_query.pb-c.h>

/**
 * DOC: Internal interfaces of the classifier of sql_classify.h.
 */

/**
 * Limits on texts that are parsed, in bytes and in levels of the parse tree.
 * The parser runs on the calling thread, and libpg-query recurses once per
 * level without checking the stack: "SELECT 1+1+...+1" overflows a stack of
 * 8 MiB with 10,000 terms and one of 1 MiB with 800 terms. Parsing takes up to
 * about 1 ms per KiB.
 */
#define SQL_TEXT_MAX_BYTES (64u * 1024)
#define SQL_DEPTH_MAX 500

/** sql_scan() - split a text into tokens; NULL if it has an invalid token */
PgQuery__ScanResult *sql_scan(const char *sql);
bool sql_is_comment(PgQuery__Token token);

/** sql_is_too_deep() - whether the parse tree may exceed SQL_DEPTH_MAX */
bool sql_is_too_deep(const PgQuery__ScanResult *scan);

/**
 * sql_starts_with_refused_keyword() - whether a statement starts with a keyword
 * that is refused on pooled connections; used for texts that do not parse
 */
bool sql_starts_with_refused_keyword(const PgQuery__ScanResult *scan);

/** First byte of a shape and of its placeholders; no SQL starts with it. */
#define SQL_SHAPE_MARK '\x02'

/**
 * sql_shape() - normalize a text for the cache
 * Return: text without comments and with placeholders for its constants, to be
 *         freed with g_free(); NULL if the class may depend on the constants or
 *         if there are none
 *
 * Texts with the same shape differ only in white space, comments and the values
 * of constants, and have the same class.
 */
char *sql_shape(const char *sql, const PgQuery__ScanResult *scan);

/** sql_classify_text() - classify without the cache; @scan may be NULL */
void sql_classify_text(const char *sql, const PgQuery__ScanResult *scan,
		       struct sql_class *out);

/**
 * struct sql_walk - result of walking one parse tree
 * @replica_safe: no node with a possible side effect was found
 * @error_message: error message if the statement is refused, else NULL
 */
struct sql_walk {
	bool replica_safe;
	const char *error_message;
};

void sql_walk(struct sql_walk *walk, const PgQuery__Node *node);

/** sql_constant_contains() - whether a string constant contains @text */
bool sql_constant_contains(const PgQuery__Node *node, const char *text);

void sql_refuse(struct sql_class *out, const char *sqlstate,
		const char *error_message);
/** sql_refuse_unsupported() - refuse with SQLSTATE feature_not_supported */
void sql_refuse_unsupported(struct sql_class *out, const char *error_message);

/** sql_classify_statement() - classify one statement; @out must be zeroed */
void sql_classify_statement(const PgQuery__Node *stmt, struct sql_class *out);

/**
 * Whether a built-in has no side effects and gives the same result on every
 * replica. @name has no schema.
 */
bool sql_function_is_replica_safe(const char *name);
bool sql_operator_is_replica_safe(const char *name);
bool sql_type_is_replica_safe(const char *name);

/** Error messages used by more than one file. */
extern const char sql_message_session_setting[];
extern const char sql_message_temporary_object[];

#endif
