#include "fuzz.h"
#include "sql_walk.h"

/* Small, so that entries are evicted all the time. */
#define CACHE_BYTES (8u * 1024)

static void check_class(const struct sql_class *verdict)
{
	g_assert_cmpint(verdict->kind, <=, SQL_EMPTY);
	g_assert_nonnull(memchr(verdict->name, 0, sizeof(verdict->name)));
	g_assert_nonnull(memchr(verdict->value, 0, sizeof(verdict->value)));
	if (verdict->kind != SQL_REFUSED)
		return;
	g_assert_cmpuint(strlen(verdict->sqlstate), ==, 5);
	g_assert_nonnull(strstr(verdict->error_message, "; "));
}

/* A verdict found by the shape of a text equals that of the text. */
static void check_fresh(const char *sql, enum sql_kind kind)
{
	PgQuery__ScanResult *scan = sql_scan(sql);
	struct sql_class fresh = { 0 };

	sql_classify_text(sql, scan, &fresh);
	check_class(&fresh);
	g_assert_cmpint(fresh.kind, ==, kind);
	if (scan)
		pg_query__scan_result__free_unpacked(scan, NULL);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static struct sql_classifier classifier;
	const struct sql_class *verdict;
	char *sql = fuzz_text(data, size);
	enum sql_kind kind;

	if (!classifier.by_text)
		sql_classifier_init(&classifier, CACHE_BYTES);
	verdict = sql_classify(&classifier, sql);
	check_class(verdict);
	kind = verdict->kind;
	g_assert_cmpint(sql_classify(&classifier, sql)->kind, ==, kind);
	if (*sql != SQL_SHAPE_MARK)
		check_fresh(sql, kind);
	g_assert_true(classifier.bytes <= CACHE_BYTES ||
		      classifier.lru_entries->length == 1);
	g_free(sql);
	return 0;
}
