#include "fuzz.h"
#include "platform/config.h"

/* A configuration that is taken names only services that it defines. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	GError *error = NULL;
	struct entry_route *route;
	struct entry_table *table;
	GHashTableIter it;
	uint64_t version;

	table = config_parse((const char *)data, size, &version, &error);
	g_assert_true(!table == !!error);
	g_clear_error(&error);
	if (!table)
		return 0;
	g_assert_cmpuint(version, >, 0);
	g_hash_table_iter_init(&it, table->routes);
	while (g_hash_table_iter_next(&it, NULL, (void **)&route)) {
		g_assert_true(
			g_hash_table_contains(table->pools, route->service));
		g_assert_cmpint(route->statement_us, >, 0);
	}
	entry_table_unref(table);
	return 0;
}
