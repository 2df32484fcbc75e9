#include "sql_walk.h"

#include <string.h>

/* Statements whose constants cannot change their class. */
static bool may_have_shape(PgQuery__Token first)
{
	switch (first) {
	case PG_QUERY__TOKEN__SELECT:
	case PG_QUERY__TOKEN__INSERT:
	case PG_QUERY__TOKEN__UPDATE:
	case PG_QUERY__TOKEN__DELETE_P:
	case PG_QUERY__TOKEN__VALUES:
	case PG_QUERY__TOKEN__WITH:
		return true;
	default:
		return false;
	}
}

/* The class depends on constants beside these names, see sql_walk.c. */
static bool depends_on_constants(const char *sql)
{
	return strcasestr(sql, "set_config") || strcasestr(sql, "pg_temp");
}

static char constant_mark(PgQuery__Token token)
{
	switch (token) {
	case PG_QUERY__TOKEN__SCONST:
		return 'S';
	case PG_QUERY__TOKEN__ICONST:
		return 'I';
	case PG_QUERY__TOKEN__FCONST:
		return 'F';
	default:
		return 0;
	}
}

/*
 * With UESCAPE a constant says how a name is spelled, FLOAT(n) does not parse
 * for every n, and a semicolon may begin another statement.
 */
static bool bars_shape(PgQuery__Token token)
{
	switch (token) {
	case PG_QUERY__TOKEN__UIDENT:
	case PG_QUERY__TOKEN__USCONST:
	case PG_QUERY__TOKEN__UESCAPE:
	case PG_QUERY__TOKEN__FLOAT_P:
	case PG_QUERY__TOKEN__ASCII_59: /* ; */
		return true;
	default:
		return false;
	}
}

/* Adds one token; false if the text has no shape. */
static bool add_token(GString *shape, const char *sql,
		      const PgQuery__ScanToken *token)
{
	char mark = constant_mark(token->token);

	if (bars_shape(token->token))
		return false;
	if (mark) {
		g_string_append_c(shape, SQL_SHAPE_MARK);
		g_string_append_c(shape, mark);
	} else {
		g_string_append_len(shape, sql + token->start,
				    token->end - token->start);
	}
	g_string_append_c(shape, ' ');
	return true;
}

static const PgQuery__ScanToken *first_token(const PgQuery__ScanResult *scan)
{
	size_t i;

	for (i = 0; i < scan->n_tokens; i++)
		if (!sql_is_comment(scan->tokens[i]->token))
			return scan->tokens[i];
	return NULL;
}

char *sql_shape(const char *sql, const PgQuery__ScanResult *scan)
{
	const PgQuery__ScanToken *first = first_token(scan);
	bool has_shape, has_constants = false;
	GString *shape;
	size_t i;

	if (!first || !may_have_shape(first->token) ||
	    depends_on_constants(sql))
		return NULL;
	shape = g_string_sized_new(strlen(sql) + 2);
	g_string_append_c(shape, SQL_SHAPE_MARK);
	has_shape = true;
	for (i = 0; has_shape && i < scan->n_tokens; i++) {
		if (sql_is_comment(scan->tokens[i]->token))
			continue;
		has_shape = add_token(shape, sql, scan->tokens[i]);
		has_constants |= constant_mark(scan->tokens[i]->token) != 0;
	}
	return g_string_free(shape, !has_shape || !has_constants);
}
