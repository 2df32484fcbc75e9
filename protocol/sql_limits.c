#include "sql_walk.h"

#include <string.h>

/*
 * Depth counted for a keyword that nests. A BETWEEN adds six messages to the
 * path through the parse tree, an ordinary token at most two.
 */
#define NESTING_KEYWORD_DEPTH 4

/**
 * struct level - nesting level of an open parenthesis or bracket
 * @chain: depth from keywords that nest without parentheses and across commas,
 *         AND and OR: joins, set operations, BETWEEN and CASE
 * @element: tokens since the last one that ends an expression
 * @longest: maximum of @element so far
 * @deepest: maximum depth of the levels closed inside this one
 */
struct level {
	unsigned chain;
	unsigned element;
	unsigned longest;
	unsigned deepest;
};

/**
 * struct depth_scan - state of one pass over the tokens of a text
 * @levels: stack of struct level; the first is the statement itself
 * @after_dot: the next token is a column name, even if it is a keyword
 * @depth: maximum depth of the completed statements
 */
struct depth_scan {
	GArray *levels;
	bool after_dot;
	unsigned depth;
};

static struct level *level_at(const struct depth_scan *scan, guint i)
{
	return &g_array_index(scan->levels, struct level, i);
}

static struct level *top_level(const struct depth_scan *scan)
{
	return level_at(scan, scan->levels->len - 1);
}

static unsigned level_depth(const struct level *level)
{
	return level->chain + MAX(level->longest, level->element) +
	       level->deepest + 1;
}

static void end_element(struct level *level)
{
	level->longest = MAX(level->longest, level->element);
	level->element = 0;
}

static void open_level(struct depth_scan *scan)
{
	struct level level = { 0 };

	top_level(scan)->element++;
	g_array_append_val(scan->levels, level);
}

static void close_level(struct depth_scan *scan)
{
	unsigned depth = level_depth(top_level(scan));

	if (scan->levels->len == 1)
		return;
	g_array_set_size(scan->levels, scan->levels->len - 1);
	top_level(scan)->deepest = MAX(top_level(scan)->deepest, depth);
}

static void end_statement(struct depth_scan *scan)
{
	unsigned depth = 0;
	guint i;

	for (i = 0; i < scan->levels->len; i++)
		depth += level_depth(level_at(scan, i));
	scan->depth = MAX(scan->depth, depth);
	g_array_set_size(scan->levels, 0);
	g_array_set_size(scan->levels, 1);
}

static void process_token(struct depth_scan *scan, PgQuery__Token token)
{
	struct level *top = top_level(scan);

	switch (token) {
	case PG_QUERY__TOKEN__ASCII_40: /* ( */
	case PG_QUERY__TOKEN__ASCII_91: /* [ */
		open_level(scan);
		break;
	case PG_QUERY__TOKEN__ASCII_41: /* ) */
	case PG_QUERY__TOKEN__ASCII_93: /* ] */
		close_level(scan);
		break;
	case PG_QUERY__TOKEN__JOIN:
	case PG_QUERY__TOKEN__UNION:
	case PG_QUERY__TOKEN__INTERSECT:
	case PG_QUERY__TOKEN__EXCEPT:
	case PG_QUERY__TOKEN__BETWEEN:
	case PG_QUERY__TOKEN__CASE:
		top->chain += NESTING_KEYWORD_DEPTH;
		end_element(top);
		break;
	case PG_QUERY__TOKEN__AND:
	case PG_QUERY__TOKEN__OR:
		if (scan->after_dot)
			top->element++;
		else
			end_element(top);
		break;
	case PG_QUERY__TOKEN__ASCII_44: /* , */
		end_element(top);
		break;
	case PG_QUERY__TOKEN__ASCII_59: /* ; */
		end_element(top);
		if (scan->levels->len == 1)
			end_statement(scan);
		break;
	default:
		top->element++;
	}
	scan->after_dot = token == PG_QUERY__TOKEN__ASCII_46;
}

bool sql_is_comment(PgQuery__Token token)
{
	return token == PG_QUERY__TOKEN__SQL_COMMENT ||
	       token == PG_QUERY__TOKEN__C_COMMENT;
}

static unsigned scan_depth(const PgQuery__ScanResult *result)
{
	struct depth_scan scan = { 0 };
	size_t i;

	scan.levels = g_array_new(FALSE, TRUE, sizeof(struct level));
	g_array_set_size(scan.levels, 1);
	for (i = 0; i < result->n_tokens; i++)
		if (!sql_is_comment(result->tokens[i]->token))
			process_token(&scan, result->tokens[i]->token);
	end_statement(&scan);
	g_array_free(scan.levels, TRUE);
	return scan.depth;
}

PgQuery__ScanResult *sql_scan(const char *sql)
{
	PgQueryScanResult result = pg_query_scan(sql);
	PgQuery__ScanResult *scan = NULL;

	if (!result.error)
		scan = pg_query__scan_result__unpack(
			NULL, result.pbuf.len,
			(const uint8_t *)result.pbuf.data);
	pg_query_free_scan_result(result);
	return scan;
}

bool sql_is_too_deep(const PgQuery__ScanResult *scan)
{
	return scan_depth(scan) > SQL_DEPTH_MAX;
}

static bool is_refused_keyword(PgQuery__Token token)
{
	switch (token) {
	case PG_QUERY__TOKEN__ABORT_P:
	case PG_QUERY__TOKEN__BEGIN_P:
	case PG_QUERY__TOKEN__COMMIT:
	case PG_QUERY__TOKEN__COPY:
	case PG_QUERY__TOKEN__DEALLOCATE:
	case PG_QUERY__TOKEN__DECLARE:
	case PG_QUERY__TOKEN__DISCARD:
	case PG_QUERY__TOKEN__END_P:
	case PG_QUERY__TOKEN__EXECUTE:
	case PG_QUERY__TOKEN__LISTEN:
	case PG_QUERY__TOKEN__LOAD:
	case PG_QUERY__TOKEN__NOTIFY:
	case PG_QUERY__TOKEN__PREPARE:
	case PG_QUERY__TOKEN__RELEASE:
	case PG_QUERY__TOKEN__RESET:
	case PG_QUERY__TOKEN__ROLLBACK:
	case PG_QUERY__TOKEN__SAVEPOINT:
	case PG_QUERY__TOKEN__SET:
	case PG_QUERY__TOKEN__START:
	case PG_QUERY__TOKEN__UNLISTEN:
		return true;
	default:
		return false;
	}
}

bool sql_starts_with_refused_keyword(const PgQuery__ScanResult *scan)
{
	PgQuery__Token token;
	bool at_start = true, refused = false;
	size_t i;

	for (i = 0; i < scan->n_tokens && !refused; i++) {
		token = scan->tokens[i]->token;
		if (sql_is_comment(token))
			continue;
		refused = at_start && is_refused_keyword(token);
		at_start = token == PG_QUERY__TOKEN__ASCII_59;
	}
	return refused;
}
