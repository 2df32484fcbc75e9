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

/**
 * enum sql_limit - result of the check made before parsing
 * @SQL_LIMIT_LEXICAL: the text cannot be split into tokens
 * @SQL_LIMIT_DEPTH: the parse tree may be deeper than SQL_DEPTH_MAX
 */
enum sql_limit {
	SQL_LIMIT_OK,
	SQL_LIMIT_LEXICAL,
	SQL_LIMIT_DEPTH,
};

/** sql_limit_check() - bound the depth of a text's parse tree by its tokens */
enum sql_limit sql_limit_check(const char *sql);

/**
 * sql_starts_refused() - whether a statement starts with a word that pooling
 * forbids; used for texts that do not parse
 */
bool sql_starts_refused(const char *sql);

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
