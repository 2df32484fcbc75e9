#include "sql_walk.h"

#include <string.h>

/* Whether constants cannot change the class of such a statement. */
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

/* Constants next to these names affect the class, see sql_walk.c. */
static bool class_depends_on_constants(const char *sql)
{
	return strcasestr(sql, "set_config") || strcasestr(sql, "pg_temp");
}

static char placeholder_type(PgQuery__Token token)
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
 * With UESCAPE a constant is part of the spelling of a name, FLOAT(n) does not
 * parse for every n, and another statement may follow a semicolon.
 */
static bool prevents_shape(PgQuery__Token token)
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

/* Returns false if the token keeps the text from having a shape. */
static bool append_token(GString *shape, const char *sql,
			 const PgQuery__ScanToken *token)
{
	char type = placeholder_type(token->token);

	if (prevents_shape(token->token))
		return false;
	if (type) {
		g_string_append_c(shape, SQL_SHAPE_MARK);
		g_string_append_c(shape, type);
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
	    class_depends_on_constants(sql))
		return NULL;
	shape = g_string_sized_new(strlen(sql) + 2);
	g_string_append_c(shape, SQL_SHAPE_MARK);
	has_shape = true;
	for (i = 0; has_shape && i < scan->n_tokens; i++) {
		if (sql_is_comment(scan->tokens[i]->token))
			continue;
		has_shape = append_token(shape, sql, scan->tokens[i]);
		has_constants |= placeholder_type(scan->tokens[i]->token) != 0;
	}
	return g_string_free(shape, !has_shape || !has_constants);
}
