#include "sql_classify.h"
#include "sql_walk.h"
#include "test_main.h"

#include <dlfcn.h>
#include <gsl/gsl_rng.h>
#include <jansson.h>
#include <pthread.h>
#include <string.h>
#include <xxhash.h>

#define CACHE_BYTES (1024u * 1024)

static const struct expectation {
	const char *sql;
	enum sql_kind kind;
} expectations[] = {
	/* plain reads */
	{ "SELECT 1", SQL_READ },
	{ "select * from bookings where id = $1", SQL_READ },
	{ "SELECT a, count(*) FROM t GROUP BY a HAVING count(*) > 1",
	  SQL_READ },
	{ "SELECT pg_catalog.lower(a) FROM t ORDER BY 1 LIMIT 10", SQL_READ },
	{ "/* x */ -- y\nSELECT 1", SQL_READ },
	{ "(SELECT 1) UNION ALL (SELECT 2)", SQL_READ },
	{ "WITH r AS (SELECT 1 AS a) SELECT a FROM r", SQL_READ },
	{ "WITH RECURSIVE r(n) AS (VALUES (1) UNION ALL SELECT n + 1 FROM r "
	  "WHERE n < 5) SELECT sum(n) FROM r",
	  SQL_READ },
	{ "VALUES (1, 'a'), (2, 'b')", SQL_READ },
	{ "TABLE bookings", SQL_READ },
	{ "SELECT a::int, b::varchar(3)[], interval '1 day' FROM t", SQL_READ },
	{ "SELECT CASE WHEN a > 1 THEN 'x' ELSE 'y' END FROM t", SQL_READ },
	{ "SELECT coalesce(a, b), greatest(a, b), nullif(a, b) FROM t",
	  SQL_READ },
	{ "SELECT a FROM t WHERE b IN (1, 2) AND c BETWEEN 1 AND 2 AND d LIKE "
	  "'x%' OR e IS NULL AND NOT f SIMILAR TO 'y'",
	  SQL_READ },
	{ "SELECT row_number() OVER (PARTITION BY a ORDER BY b) FROM t",
	  SQL_READ },
	{ "SELECT a FROM t JOIN u USING (a) LEFT JOIN v ON t.b = v.b",
	  SQL_READ },
	{ "SELECT * FROM generate_series(1, 3) AS g(n)", SQL_READ },
	{ "SELECT now(), current_date, current_user", SQL_READ },
	{ "SELECT data -> 'a' ->> 'b' FROM t WHERE data @> '{}'::jsonb",
	  SQL_READ },
	{ "SELECT a FROM t WHERE EXISTS (SELECT 1 FROM u WHERE u.b = ANY (t.c))",
	  SQL_READ },
	{ "SELECT abs(a), width_bucket(a, 1, 2, 3), pow(2, 3) FROM t",
	  SQL_READ },
	{ "SELECT a AT TIME ZONE 'utc', extract(year FROM b) FROM t",
	  SQL_READ },
	{ "SELECT a FROM t GROUP BY ROLLUP (a) ORDER BY grouping(a)",
	  SQL_READ },
	{ "SELECT 1.5, B'1', true FROM t WHERE a = 'pg_temp'", SQL_READ },
	{ "SELECT 1; SELECT 2", SQL_READ },
	{ "SHOW server_version", SQL_READ },
	{ "EXPLAIN SELECT 1", SQL_READ },
	{ "EXPLAIN (ANALYZE, BUFFERS) SELECT a FROM t", SQL_READ },
	/* writes and possible writes */
	{ "INSERT INTO t VALUES (1)", SQL_WRITE },
	{ "UPDATE t SET a = 1", SQL_WRITE },
	{ "DELETE FROM t WHERE a = 1", SQL_WRITE },
	{ "MERGE INTO t USING u ON t.a = u.a WHEN MATCHED THEN DELETE",
	  SQL_WRITE },
	{ "INSERT INTO t SELECT * FROM u ON CONFLICT DO NOTHING RETURNING a",
	  SQL_WRITE },
	{ "WITH d AS (DELETE FROM t RETURNING a) SELECT a FROM d", SQL_WRITE },
	{ "SELECT (WITH d AS (SELECT 1 FROM t FOR SHARE) SELECT 1 FROM d)",
	  SQL_WRITE },
	{ "SELECT a FROM t FOR UPDATE", SQL_WRITE },
	{ "SELECT a FROM t FOR NO KEY UPDATE SKIP LOCKED", SQL_WRITE },
	{ "SELECT a FROM t FOR SHARE", SQL_WRITE },
	{ "SELECT a FROM t FOR KEY SHARE NOWAIT", SQL_WRITE },
	{ "SELECT a FROM (SELECT a FROM t FOR UPDATE) u", SQL_WRITE },
	{ "SELECT a INTO u FROM t", SQL_WRITE },
	{ "CREATE TABLE u AS SELECT a FROM t", SQL_WRITE },
	{ "SELECT nextval('s')", SQL_WRITE },
	{ "SELECT setval('s', 1)", SQL_WRITE },
	{ "SELECT random()", SQL_WRITE },
	{ "SELECT gen_random_uuid()", SQL_WRITE },
	{ "SELECT book_slot(1)", SQL_WRITE },
	{ "SELECT public.lower('A')", SQL_WRITE },
	{ "SELECT a FROM t WHERE book_slot(a)", SQL_WRITE },
	{ "SELECT a FROM t ORDER BY book_slot(a)", SQL_WRITE },
	{ "SELECT count(*) FILTER (WHERE book_slot(a)) FROM t", SQL_WRITE },
	{ "SELECT sum(a) OVER (ORDER BY book_slot(a)) FROM t", SQL_WRITE },
	{ "SELECT * FROM book_slot(1)", SQL_WRITE },
	{ "SELECT a FROM t LIMIT (SELECT nextval('s'))", SQL_WRITE },
	{ "SELECT a OPERATOR(public.+) 1 FROM t", SQL_WRITE },
	{ "SELECT a <&&&> 1 FROM t", SQL_WRITE },
	{ "SELECT a FROM t ORDER BY a USING <&&&>", SQL_WRITE },
	{ "SELECT a <&&&> ANY (SELECT 1) FROM t", SQL_WRITE },
	{ "SELECT 'x'::my_type", SQL_WRITE },
	{ "SELECT query_to_xml('DELETE FROM t', true, true, '')", SQL_WRITE },
	{ "SELECT lo_unlink(1)", SQL_WRITE },
	{ "SELECT pg_sleep(1)", SQL_WRITE },
	{ "SELECT pg_is_in_recovery()", SQL_WRITE },
	{ "SELECT set_config('a.b', 'c', true)", SQL_WRITE },
	{ "SELECT pg_advisory_xact_lock(1)", SQL_WRITE },
	{ "SELECT * FROM t TABLESAMPLE my_method (1)", SQL_WRITE },
	{ "EXPLAIN ANALYZE DELETE FROM t", SQL_WRITE },
	{ "EXPLAIN (ANALYZE) INSERT INTO t VALUES (1)", SQL_WRITE },
	{ "EXPLAIN ANALYZE SELECT book_slot(1)", SQL_WRITE },
	{ "SELECT 1; DELETE FROM t", SQL_WRITE },
	{ "CREATE TABLE t (a int)", SQL_WRITE },
	{ "CREATE INDEX ON t (a)", SQL_WRITE },
	{ "ALTER TABLE t ADD b int", SQL_WRITE },
	{ "DROP TABLE t", SQL_WRITE },
	{ "TRUNCATE t", SQL_WRITE },
	{ "CREATE VIEW v AS SELECT 1", SQL_WRITE },
	{ "REFRESH MATERIALIZED VIEW v", SQL_WRITE },
	{ "GRANT SELECT ON t TO u", SQL_WRITE },
	{ "COMMENT ON TABLE t IS 'x'", SQL_WRITE },
	{ "VACUUM t", SQL_WRITE },
	{ "ANALYZE t", SQL_WRITE },
	{ "LOCK TABLE t", SQL_WRITE },
	{ "CALL book(1)", SQL_WRITE },
	{ "DO $$ BEGIN PERFORM 1; END $$", SQL_WRITE },
	{ "DECLARE c CURSOR FOR SELECT 1", SQL_WRITE },
	{ "FETCH ALL FROM c", SQL_WRITE },
	{ "CLOSE c", SQL_WRITE },
	{ "SET CONSTRAINTS ALL DEFERRED", SQL_WRITE },
	{ "SHOW transaction_read_only", SQL_WRITE },
	{ "SHOW ALL", SQL_WRITE },
	{ "SELEC 1", SQL_WRITE },
	{ "SELECT 1 FRM t", SQL_WRITE },
	/* transactions */
	{ "BEGIN", SQL_BEGIN },
	{ "START TRANSACTION ISOLATION LEVEL SERIALIZABLE", SQL_BEGIN },
	{ "COMMIT", SQL_COMMIT },
	{ "END", SQL_COMMIT },
	{ "ROLLBACK", SQL_ROLLBACK },
	{ "ABORT", SQL_ROLLBACK },
	{ "SAVEPOINT a", SQL_SAVEPOINT },
	{ "RELEASE a", SQL_SAVEPOINT },
	{ "ROLLBACK TO a", SQL_SAVEPOINT },
	{ "BEGIN; SELECT 1; COMMIT", SQL_SCRIPT },
	{ "SELECT 1; COMMIT", SQL_SCRIPT },
	{ "SET LOCAL work_mem = '1MB'", SQL_SET_LOCAL },
	{ "SET TRANSACTION READ ONLY", SQL_SET_LOCAL },
	{ "SET LOCAL ROLE u", SQL_SET_LOCAL },
	{ "SET comfreywheel.session = 's1'", SQL_PROXY_SET },
	{ "RESET comfreywheel.session", SQL_PROXY_SET },
	{ "SHOW comfreywheel.position", SQL_PROXY_SHOW },
	{ "", SQL_EMPTY },
	{ " ; -- nothing\n;", SQL_EMPTY },
	/* unsafe on pooled connections */
	{ "COPY t FROM STDIN", SQL_REFUSED },
	{ "COPY (SELECT 1) TO STDOUT", SQL_REFUSED },
	{ "LISTEN a", SQL_REFUSED },
	{ "UNLISTEN *", SQL_REFUSED },
	{ "NOTIFY a", SQL_REFUSED },
	{ "SELECT pg_notify('a', 'b')", SQL_REFUSED },
	{ "PREPARE p AS SELECT 1", SQL_REFUSED },
	{ "EXECUTE p", SQL_REFUSED },
	{ "EXPLAIN EXECUTE p", SQL_REFUSED },
	{ "DEALLOCATE ALL", SQL_REFUSED },
	{ "SET work_mem = '1MB'", SQL_REFUSED },
	{ "SET SESSION CHARACTERISTICS AS TRANSACTION READ ONLY", SQL_REFUSED },
	{ "SET TIME ZONE 'utc'", SQL_REFUSED },
	{ "SET ROLE u", SQL_REFUSED },
	{ "RESET ALL", SQL_REFUSED },
	{ "SET TRANSACTION SNAPSHOT 'x'", SQL_REFUSED },
	{ "SELECT set_config('a.b', 'c', false)", SQL_REFUSED },
	{ "SELECT pg_catalog.set_config('a.b', 'c', $1)", SQL_REFUSED },
	{ "SET LOCAL comfreywheel.session = 's1'", SQL_REFUSED },
	{ "DECLARE c CURSOR WITH HOLD FOR SELECT 1", SQL_REFUSED },
	{ "CREATE TEMP TABLE t (a int)", SQL_REFUSED },
	{ "CREATE TEMP TABLE u AS SELECT 1", SQL_REFUSED },
	{ "CREATE TEMP VIEW v AS SELECT 1", SQL_REFUSED },
	{ "CREATE TEMP SEQUENCE s", SQL_REFUSED },
	{ "CREATE TABLE pg_temp.t (a int)", SQL_REFUSED },
	{ "CREATE FUNCTION pg_temp.f() RETURNS int LANGUAGE sql AS 'SELECT 1'",
	  SQL_REFUSED },
	{ "SELECT 1 INTO TEMP t", SQL_REFUSED },
	{ "SELECT pg_advisory_lock(1)", SQL_REFUSED },
	{ "SELECT pg_try_advisory_lock_shared(1)", SQL_REFUSED },
	{ "INSERT INTO t SELECT pg_advisory_unlock(1)", SQL_REFUSED },
	{ "DELETE FROM t WHERE pg_catalog.pg_advisory_lock(1) IS NULL",
	  SQL_REFUSED },
	{ "SELECT currval('s')", SQL_REFUSED },
	{ "INSERT INTO t VALUES (lastval())", SQL_REFUSED },
	{ "UPDATE pg_catalog.pg_settings SET setting = '1' WHERE name = 'x'",
	  SQL_REFUSED },
	{ "SET LOCAL search_path = public, pg_temp", SQL_REFUSED },
	{ "SELECT set_config('search_path', 'pg_temp', true)", SQL_REFUSED },
	{ "LOAD 'x'", SQL_REFUSED },
	{ "DISCARD ALL", SQL_REFUSED },
	{ "PREPARE TRANSACTION 'x'", SQL_REFUSED },
	{ "COMMIT PREPARED 'x'", SQL_REFUSED },
	{ "ROLLBACK PREPARED 'x'", SQL_REFUSED },
	{ "COMMIT AND CHAIN", SQL_REFUSED },
	{ "SELECT 1; LISTEN a", SQL_REFUSED },
	{ "SELECT 1; SET comfreywheel.session = 's'", SQL_REFUSED },
	{ "SELEC 1; SET a = 1", SQL_REFUSED },
	{ "/* x */ COPY t FRM 'x'", SQL_REFUSED },
	{ "SELECT 'open; SET a = 1", SQL_REFUSED },
};

/* Guards against statements with side effects sent to a replica, and against
 * connection state that leaks to another caller. */
START_TEST(test_expectations)
{
	struct sql_classifier c;
	const struct sql_class *class;
	size_t i;

	sql_classifier_init(&c, CACHE_BYTES);
	for (i = 0; i < G_N_ELEMENTS(expectations); i++) {
		class = sql_classify(&c, expectations[i].sql);
		ck_assert_msg(class->kind == expectations[i].kind,
			      "%s: kind %d, expected %d", expectations[i].sql,
			      class->kind, expectations[i].kind);
		if (class->kind != SQL_REFUSED)
			continue;
		ck_assert_uint_eq(strlen(class->sqlstate), 5);
		ck_assert_msg(strchr(class->error_message, ';') != NULL,
			      "%s has no remedy", expectations[i].sql);
	}
	ck_assert_str_eq(sql_classify(&c, "LISTEN a")->sqlstate, "0A000");
	ck_assert_str_eq(sql_classify(&c, "SELECT 1; CPY; COPY t")->sqlstate,
			 "42601");
	sql_classifier_finish(&c);
}
END_TEST

/* Classifies by the first keyword; skips comments and parentheses. */
static bool keyword_is_read(const char *sql)
{
	static const char *const words[] = { "select", "values", "table",
					     "with",   "show",	 "explain" };
	char word[16] = "";
	size_t i, n = 0;

	for (;;) {
		sql += strspn(sql, " \n(");
		if (g_str_has_prefix(sql, "--"))
			sql += strcspn(sql, "\n");
		else if (g_str_has_prefix(sql, "/*"))
			sql = strstr(sql, "*/") + 2;
		else
			break;
	}
	while (n < sizeof(word) - 1 && g_ascii_isalpha(sql[n])) {
		word[n] = g_ascii_tolower(sql[n]);
		n++;
	}
	for (i = 0; i < G_N_ELEMENTS(words); i++)
		if (!strcmp(word, words[i]))
			return true;
	return false;
}

/* Guards against a statement classified as a read although its first keyword
 * already shows that it is unsafe on a replica. */
START_TEST(test_naive_differential)
{
	unsigned stricter = 0, reads = 0;
	struct sql_classifier c;
	bool naive, ours;
	size_t i;

	sql_classifier_init(&c, CACHE_BYTES);
	ck_assert_uint_ge(G_N_ELEMENTS(expectations), 80);
	for (i = 0; i < G_N_ELEMENTS(expectations); i++) {
		naive = keyword_is_read(expectations[i].sql);
		ours = sql_classify(&c, expectations[i].sql)->kind == SQL_READ;
		ck_assert_msg(naive || !ours, "naive is safer on %s",
			      expectations[i].sql);
		stricter += naive && !ours;
		reads += ours;
	}
	ck_assert_uint_ge(reads, 25);
	ck_assert_uint_ge(stricter, 40);
	sql_classifier_finish(&c);
}
END_TEST

static bool is_effect_key(const char *key)
{
	static const char *const harmless[] = { "SelectStmt", "ExplainStmt",
						"VariableShowStmt" };
	size_t i;

	if (!strcmp(key, "lockingClause") || !strcmp(key, "intoClause"))
		return true;
	for (i = 0; i < G_N_ELEMENTS(harmless); i++)
		if (!strcmp(key, harmless[i]))
			return false;
	return g_str_has_suffix(key, "Stmt");
}

/* Checks the last part of a function name and ignores the schema. */
static bool is_effect_call(const json_t *funcname)
{
	const json_t *last =
		json_array_get(funcname, json_array_size(funcname) - 1);
	const char *name = json_string_value(
		json_object_get(json_object_get(last, "String"), "sval"));

	return !strcmp(name, "nextval") || !strcmp(name, "setval") ||
	       !strcmp(name, "book_slot") || !strcmp(name, "lo_unlink");
}

/* Whether a parse tree in libpg-query's JSON form has a side effect. */
static bool json_shows_effect(const json_t *value)
{
	const char *key;
	json_t *item;
	size_t i;

	if (json_is_array(value)) {
		json_array_foreach(
			value, i,
			item) if (json_shows_effect(item)) return true;
		return false;
	}
	json_object_foreach((json_t *)value, key, item)
	{
		if (is_effect_key(key) || json_shows_effect(item))
			return true;
		if (!strcmp(key, "funcname") && is_effect_call(item))
			return true;
	}
	return false;
}

static bool tree_shows_effect(const char *sql)
{
	PgQueryParseResult parsed = pg_query_parse(sql);
	bool shows = true;
	json_t *tree;

	if (!parsed.error) {
		tree = json_loads(parsed.parse_tree, 0, NULL);
		ck_assert_ptr_nonnull(tree);
		shows = json_shows_effect(tree);
		json_decref(tree);
	}
	pg_query_free_parse_result(parsed);
	return shows;
}

static const char *const write_seeds[] = {
	"INSERT INTO t (a, b) VALUES (1, 'SELECT')",
	"UPDATE t SET a = (SELECT 1) WHERE b = 'x'",
	"DELETE FROM t WHERE a = 1 -- SELECT",
	"WITH d AS (DELETE FROM t RETURNING a) SELECT a FROM d",
	"WITH s AS (SELECT 1) INSERT INTO t SELECT * FROM s",
	"SELECT a FROM t WHERE b = 'x' FOR UPDATE",
	"SELECT a INTO u FROM t WHERE a = 1",
	"SELECT nextval('s'), setval('s', 1), book_slot(2)",
	"EXPLAIN ANALYZE DELETE FROM t WHERE a = 1",
	"SELECT 1; DELETE FROM t; SELECT 2",
	"SELECT a FROM (SELECT lo_unlink(1) AS a) u",
};

static void mutate(gsl_rng *rng, GString *text)
{
	static const char *const parts[] = { "SELECT ", "--", "/*", "*/", "'",
					     ";",	"(",  ")",  " ",  "\"",
					     "FOR ",	"$$", "\n", "E'", "1" };
	size_t at = gsl_rng_uniform_int(rng, text->len + 1);
	size_t len = gsl_rng_uniform_int(rng, 8);

	switch (gsl_rng_uniform_int(rng, 3)) {
	case 0:
		g_string_erase(text, at, MIN(len, text->len - at));
		break;
	case 1:
		g_string_insert(
			text, at,
			parts[gsl_rng_uniform_int(rng, G_N_ELEMENTS(parts))]);
		break;
	default:
		if (at < text->len)
			text->str[at] = 32 + gsl_rng_uniform_int(rng, 95);
	}
}

static struct sql_class classify_uncached(const char *sql)
{
	PgQuery__ScanResult *scan = sql_scan(sql);
	struct sql_class class = { 0 };

	if (*sql == SQL_SHAPE_MARK)
		sql_refuse(&class, "42601", "");
	else
		sql_classify_text(sql, scan, &class);
	if (scan)
		pg_query__scan_result__free_unpacked(scan, NULL);
	return class;
}

static bool same_class(const struct sql_class *a, const struct sql_class *b)
{
	return a->kind == b->kind && a->read_only == b->read_only &&
	       a->nr_statements == b->nr_statements &&
	       !g_strcmp0(a->sqlstate, b->sqlstate) &&
	       !strcmp(a->name, b->name) && !strcmp(a->value, b->value);
}

/* Guards against a mutated write that is classified as a read although its
 * parse tree in JSON form has a side effect, and against texts with the same
 * shape but different classes. */
START_TEST(test_mutated_writes)
{
	gsl_rng *rng = gsl_rng_alloc(gsl_rng_mt19937);
	unsigned round, reads = 0, steps;
	struct sql_class cached, fresh;
	struct sql_classifier c;
	GString *text = g_string_new(NULL);

	gsl_rng_set(rng, 1);
	sql_classifier_init(&c, CACHE_BYTES);
	for (round = 0; round < 20000; round++) {
		g_string_assign(text,
				write_seeds[round % G_N_ELEMENTS(write_seeds)]);
		for (steps = 1 + gsl_rng_uniform_int(rng, 4); steps; steps--)
			mutate(rng, text);
		cached = *sql_classify(&c, text->str);
		fresh = classify_uncached(text->str);
		ck_assert_msg(same_class(&cached, &fresh),
			      "kind %d by shape, %d by itself: %s", cached.kind,
			      fresh.kind, text->str);
		if (cached.kind != SQL_READ)
			continue;
		reads++;
		ck_assert_msg(!tree_shows_effect(text->str),
			      "classed as a read: %s", text->str);
	}
	ck_assert_uint_gt(reads, 50);
	ck_assert_uint_gt(c.shape_hits, 300);
	g_string_free(text, TRUE);
	sql_classifier_finish(&c);
	gsl_rng_free(rng);
}
END_TEST

/* Guards against a wrong transaction mode or setting value. */
START_TEST(test_details)
{
	const struct sql_class *v;
	struct sql_classifier c;
	char *long_value = g_strnfill(256, 'v'), *sql;

	sql_classifier_init(&c, CACHE_BYTES);
	ck_assert(sql_classify(&c, "BEGIN READ ONLY")->read_only);
	ck_assert(!sql_classify(&c, "BEGIN")->read_only);
	ck_assert(!sql_classify(&c, "BEGIN READ WRITE")->read_only);
	ck_assert(!sql_classify(&c, "BEGIN READ ONLY, READ WRITE")->read_only);
	ck_assert_uint_eq(sql_classify(&c, "SELECT 1; SELECT 2")->nr_statements,
			  2);
	v = sql_classify(&c,
			 "SET SESSION Comfreywheel.\"Position\" = '3:0/1A'");
	ck_assert_str_eq(v->name, "comfreywheel.position");
	ck_assert_str_eq(v->value, "3:0/1A");
	ck_assert(!v->value_is_default);
	ck_assert_str_eq(
		sql_classify(&c, "SET comfreywheel.repeatable = on")->value,
		"on");
	ck_assert_str_eq(sql_classify(&c, "SET comfreywheel.x = -7")->value,
			 "-7");
	ck_assert(sql_classify(&c, "SET comfreywheel.x TO DEFAULT")
			  ->value_is_default);
	ck_assert(sql_classify(&c, "RESET comfreywheel.x")->value_is_default);
	sql = g_strdup_printf("SET comfreywheel.x = '%s'", long_value);
	ck_assert_str_eq(sql_classify(&c, sql)->sqlstate, "22023");
	g_free(sql);
	ck_assert_str_eq(
		sql_classify(&c, "SET comfreywheel.x = 1, 2")->sqlstate,
		"22023");
	sql = g_strdup_printf("SHOW comfreywheel.%.60s", long_value);
	ck_assert_str_eq(sql_classify(&c, sql)->sqlstate, "22023");
	g_free(sql);
	g_free(long_value);
	sql_classifier_finish(&c);
}
END_TEST

/* Guards against unbounded cache growth and eviction of entries in use. */
START_TEST(test_cache)
{
	struct sql_classifier c;
	char sql[64];
	unsigned i;

	sql_classifier_init(&c, 16 * 1024);
	for (i = 0; i < 1000; i++) {
		sql_classify(&c, "SELECT a FROM used_often");
		g_snprintf(sql, sizeof(sql), "SELECT a%u FROM t", i);
		ck_assert_int_eq(sql_classify(&c, sql)->kind, SQL_READ);
		ck_assert_uint_le(c.bytes, c.max_bytes);
		ck_assert_uint_eq(c.lru_entries->length,
				  g_hash_table_size(c.by_text));
	}
	ck_assert_uint_eq(c.misses, 1001);
	ck_assert_uint_eq(c.hits, 999);
	sql_classify(&c, "SELECT a0 FROM t");
	ck_assert_uint_eq(c.misses, 1002);
	ck_assert_uint_eq(c.shape_hits, 0);
	sql_classifier_finish(&c);
	sql_classifier_init(&c, 1);
	ck_assert_int_eq(sql_classify(&c, "SELECT 1")->kind, SQL_READ);
	ck_assert_int_eq(sql_classify(&c, "DELETE FROM t")->kind, SQL_WRITE);
	ck_assert_uint_eq(c.lru_entries->length, 1);
	sql_classifier_finish(&c);
}
END_TEST

static const struct pair {
	const char *first;
	const char *second;
	bool one_shape;
	enum sql_kind kind;
} pairs[] = {
	{ "SELECT a FROM t WHERE b = 1 AND c = 'x'",
	  "SELECT a  FROM t /* y */ WHERE b = 22 AND c = 'it''s' -- z", true,
	  SQL_READ },
	{ "UPDATE t SET a = 1.5 WHERE b = 'x'",
	  "UPDATE t SET a = 2e3 WHERE b = $$y$$", true, SQL_WRITE },
	{ "SELECT 1", "SELECT '1'", false, SQL_READ },
	{ "SELECT 1", "SELECT 1.5", false, SQL_READ },
	{ "SELECT 1", "SELECT 1; DELETE FROM t", false, SQL_WRITE },
	{ "SELECT 1 -- x FOR UPDATE", "SELECT 1 -- x\nFOR UPDATE", false,
	  SQL_WRITE },
	{ "SELECT a FROM t WHERE b = 'x'", "SELECT a FROM t WHERE b = \"x\"",
	  false, SQL_READ },
	{ "SELECT set_config('a.b', 'c', true)",
	  "SELECT set_config('search_path', 'pg_temp', true)", false,
	  SQL_REFUSED },
	{ "SET LOCAL search_path = 'a'", "SET LOCAL search_path = 'pg_temp'",
	  false, SQL_REFUSED },
	{ "SELECT U&\"d!0061t\" UESCAPE '!' FROM t",
	  "SELECT U&\"d!0061t\" UESCAPE '?' FROM t", false, SQL_READ },
	{ "SELECT a::float(24) FROM t", "SELECT a::float(99) FROM t", false,
	  SQL_WRITE },
	{ "SET comfreywheel.x = 'a'", "SET comfreywheel.x = 'b'", false,
	  SQL_PROXY_SET },
	{ "SELECT 1 + 2", "\x02SELECT \x02I + \x02I ", false, SQL_REFUSED },
};

/* Guards against a cached class used for a text that differs in more than the
 * values of its constants. */
START_TEST(test_shapes)
{
	struct sql_classifier c;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(pairs); i++) {
		sql_classifier_init(&c, CACHE_BYTES);
		sql_classify(&c, pairs[i].first);
		ck_assert_msg(sql_classify(&c, pairs[i].second)->kind ==
				      pairs[i].kind,
			      "%s", pairs[i].second);
		ck_assert_msg(c.shape_hits == pairs[i].one_shape, "%s",
			      pairs[i].second);
		sql_classify(&c, pairs[i].first);
		ck_assert_uint_eq(c.hits, 1);
		sql_classifier_finish(&c);
	}
}
END_TEST

/* The text is @before, @nr times @repeat, @middle, and @nr times @after. */
static const struct nesting {
	const char *before;
	const char *repeat;
	const char *middle;
	const char *after;
} nestings[] = {
	{ "SELECT ", "1+", "1", "" },
	{ "SELECT ", "NOT ", "true", "" },
	{ "SELECT ", "- ", "a", "" },
	{ "SELECT ", "f(", "1", ")" },
	{ "SELECT ", "(SELECT ", "1", ")" },
	{ "SELECT ", "ARRAY[", "1", "]" },
	{ "SELECT ", "CASE WHEN a OR b THEN ", "1", " END" },
	{ "SELECT ", "CASE WHEN x.end THEN ", "1", " END" },
	{ "SELECT ", "", "1", "::int" },
	{ "SELECT ", "", "a", " IS NULL" },
	{ "SELECT ", "x.and + ", "1", "" },
	{ "SELECT ", "x./**/or + ", "1", "" },
	{ "SELECT ", "a BETWEEN 1 AND NOT ", "b", "" },
	{ "", "SELECT a, b FROM t UNION ", "SELECT 1, 2", "" },
	{ "SELECT 1 FROM a ", "", "", " JOIN b ON a.c = b.c AND a.d" },
	{ "", "(SELECT 1 AS end FROM ", "t", ")" },
	{ "WITH a AS (SELECT 1) SELECT ", "(WITH b AS (SELECT 1) SELECT ", "1",
	  ")" },
};

static char *build_nested_text(const struct nesting *n, unsigned nr)
{
	GString *text = g_string_new(n->before);
	unsigned i;

	for (i = 0; i < nr; i++)
		g_string_append(text, n->repeat);
	g_string_append(text, n->middle);
	for (i = 0; i < nr; i++)
		g_string_append(text, n->after);
	return g_string_free(text, FALSE);
}

static void *classify_nestings(void *data)
{
	unsigned *refused = data, nr;
	struct sql_classifier c;
	size_t i;
	char *sql;

	sql_classifier_init(&c, CACHE_BYTES);
	for (i = 0; i < G_N_ELEMENTS(nestings); i++)
		for (nr = 10; nr <= 2500; nr += nr < 600 ? 37 : 600) {
			sql = build_nested_text(&nestings[i], nr);
			if (sql_classify(&c, sql)->kind == SQL_REFUSED)
				refused[i]++;
			g_free(sql);
		}
	sql_classifier_finish(&c);
	return NULL;
}

/* Guards against texts whose parse tree overflows the stack: libpg-query
 * recurses without a limit, and a sum of 20 KiB crashed the process. */
START_TEST(test_deep_texts)
{
	unsigned refused[G_N_ELEMENTS(nestings)] = { 0 };
	pthread_attr_t attr;
	pthread_t thread;
	size_t i;

	pthread_attr_init(&attr);
	ck_assert_int_eq(pthread_attr_setstacksize(&attr, 2 * 1024 * 1024), 0);
	ck_assert_int_eq(
		pthread_create(&thread, &attr, classify_nestings, refused), 0);
	pthread_join(thread, NULL);
	pthread_attr_destroy(&attr);
	for (i = 0; i < G_N_ELEMENTS(nestings); i++)
		ck_assert_msg(refused[i] >= 3, "accepted: %s %s",
			      nestings[i].repeat, nestings[i].after);
}
END_TEST

/* Guards against ordinary long statements refused as too deep. */
START_TEST(test_long_texts)
{
	GString *text = g_string_new("INSERT INTO t VALUES (0, 'a', -1)");
	struct sql_classifier c;
	size_t bytes;
	unsigned i;

	sql_classifier_init(&c, CACHE_BYTES);
	for (i = 0; i < 2000; i++)
		g_string_append_printf(text, ", (%u, 'b', -1::int)", i);
	ck_assert_int_eq(sql_classify(&c, text->str)->kind, SQL_WRITE);
	g_string_assign(text, "SELECT a FROM t WHERE a = 0");
	for (i = 0; i < 2000; i++)
		g_string_append_printf(text, " OR a = %u AND b <> 2", i);
	ck_assert_int_eq(sql_classify(&c, text->str)->kind, SQL_READ);
	g_string_truncate(text, 0);
	for (i = 0; i < 200; i++)
		g_string_append(text, "SELECT 1 FROM a JOIN b ON a.c = b.c;");
	ck_assert_int_eq(sql_classify(&c, text->str)->kind, SQL_READ);
	g_string_set_size(text, SQL_TEXT_MAX_BYTES + 1);
	memset(text->str, ' ', text->len);
	bytes = c.bytes;
	ck_assert_str_eq(sql_classify(&c, text->str)->sqlstate, "54000");
	ck_assert_uint_eq(c.bytes, bytes);
	g_string_free(text, TRUE);
	sql_classifier_finish(&c);
}
END_TEST

static const char *library_of(void *function)
{
	Dl_info info;

	ck_assert_int_ne(dladdr(function, &info), 0);
	return info.dli_fname;
}

/* Guards against a link order in which the copies of protobuf-c and xxhash in
 * libpg-query replace the libraries that the code is compiled against. */
START_TEST(test_link_order)
{
	ck_assert_ptr_nonnull(
		strstr(library_of(dlsym(RTLD_DEFAULT, "protobuf_c_message_"
						      "unpack")),
		       "libprotobuf-c"));
	ck_assert_ptr_nonnull(
		strstr(library_of(dlsym(RTLD_DEFAULT, "XXH64")), "libxxhash"));
}
END_TEST

TEST_MAIN("sql_classify", test_expectations, test_naive_differential,
	  test_mutated_writes, test_details, test_cache, test_shapes,
	  test_deep_texts, test_long_texts, test_link_order)
