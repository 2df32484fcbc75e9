#include "entry.h"

static void route_free(void *data)
{
	struct entry_route *route = data;

	g_free(route->database);
	g_free(route->service);
	g_free(route);
}

static void pool_free(void *data)
{
	struct entry_pool *pool = data;

	g_free(pool->service);
	g_free(pool);
}

static void account_free(void *data)
{
	struct entry_account *account = data;

	g_free(account->name);
	g_free(account);
}

struct entry_table *entry_table_new(uint64_t version)
{
	struct entry_table *table = g_new0(struct entry_table, 1);

	table->refs = 1;
	table->version = version;
	table->routes = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					      route_free);
	table->pools =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, pool_free);
	table->accounts = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						account_free);
	table->keys =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return table;
}

struct entry_table *entry_table_ref(struct entry_table *table)
{
	table->refs++;
	return table;
}

void entry_table_unref(struct entry_table *table)
{
	if (!table || --table->refs)
		return;
	g_hash_table_destroy(table->routes);
	g_hash_table_destroy(table->pools);
	g_hash_table_destroy(table->keys);
	g_hash_table_destroy(table->accounts);
	g_free(table);
}

void entry_table_add_route(struct entry_table *table,
			   const struct entry_route *route)
{
	struct entry_route *copy = g_new(struct entry_route, 1);

	*copy = *route;
	g_hash_table_replace(table->routes, copy->database, copy);
}

void entry_table_add_pool(struct entry_table *table,
			  const struct entry_pool *pool)
{
	struct entry_pool *copy = g_new(struct entry_pool, 1);

	*copy = *pool;
	g_hash_table_replace(table->pools, copy->service, copy);
}

struct entry_account *
entry_table_add_account(struct entry_table *table,
			const struct entry_account *account)
{
	struct entry_account *copy = g_new(struct entry_account, 1);

	*copy = *account;
	g_hash_table_replace(table->accounts, copy->name, copy);
	return copy;
}

bool entry_table_add_key(struct entry_table *table, const char *key,
			 struct entry_account *account)
{
	struct entry_account *holder = g_hash_table_lookup(table->keys, key);

	if (holder && holder != account)
		return false;
	g_hash_table_replace(table->keys, g_strdup(key), account);
	return true;
}

const struct entry_account *entry_table_account(const struct entry_table *table,
						const char *key)
{
	return key ? g_hash_table_lookup(table->keys, key) : NULL;
}
