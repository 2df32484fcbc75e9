#include "fuzz.h"
#include "sql_classify.h"

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
	g_assert_nonnull(strstr(verdict->remedy, "; "));
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
	g_assert_true(classifier.bytes <= CACHE_BYTES ||
		      classifier.by_use->length == 1);
	g_free(sql);
	return 0;
}
