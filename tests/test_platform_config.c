#include "platform/config.h"
#include "test_main.h"

#include <string.h>

#define SERVICES                                           \
	"\"services\":[{\"name\":\"s1\",\"max_conns\":30," \
	"\"sync_replicas\":1},{\"name\":\"s2\",\"max_conns\":4}]"
#define ROUTE(db, extra)                                             \
	"{\"name\":\"r-" db "\",\"database\":\"" db "\","            \
	"\"path_prefix\":\"/\",\"route_type\":\"read_your_writes\"," \
	"\"service\":\"s1\",\"timeout_ms\":800" extra "}"

static struct entry_table *parse_text(const char *text, uint64_t *version)
{
	GError *error = NULL;
	struct entry_table *table =
		config_parse(text, strlen(text), version, &error);

	ck_assert(!table == !!error);
	g_clear_error(&error);
	return table;
}

/* Guards against a field that is stored in the wrong member. */
START_TEST(test_all_fields)
{
	const struct entry_route *route;
	const struct entry_pool *pool;
	struct entry_table *table;
	uint64_t version;

	table = parse_text(
		"{\"version\":7,\"routes\":[" ROUTE(
			"db1",
			",\"max_staleness_ms\":2500,"
			"\"priority\":2,"
			"\"target_latency_ms\":200,"
			"\"new_field\":[1]") "]," SERVICES
					     ",\"limits\":{\"tx_idle_ms\":3000}}",
		&version);
	ck_assert_ptr_nonnull(table);
	ck_assert_uint_eq(version, 7);
	ck_assert_int_eq(table->transaction_idle_us, 3000000);
	route = g_hash_table_lookup(table->routes, "db1");
	ck_assert_int_eq(route->rule, READ_OWN_WRITES);
	ck_assert_int_eq(route->statement_us, 800000);
	ck_assert_int_eq(route->target_us, 200000);
	ck_assert_int_eq(route->staleness_us, 2500000);
	ck_assert_uint_eq(route->priority, 2);
	ck_assert_str_eq(route->service, "s1");
	pool = g_hash_table_lookup(table->pools, "s1");
	ck_assert_uint_eq(pool->max_connections, 30);
	ck_assert_uint_eq(pool->sync_replicas, 1);
	entry_table_unref(table);
}
END_TEST

#define ACCOUNTS(list) \
	"{\"version\":7,\"routes\":[]," SERVICES ",\"tenants\":" list "}"

/* Guards against callers of one account who are taken for another's. */
START_TEST(test_accounts)
{
	const struct entry_account *account;
	struct entry_table *table;
	uint64_t version;

	table = parse_text(
		ACCOUNTS("[{\"name\":\"a\",\"api_keys\":[\"k1\",\"k2\"],"
			 "\"rate_per_s\":2.5,\"burst\":7,\"priority\":1},"
			 "{\"name\":\"b\",\"api_keys\":[]}]"),
		&version);
	ck_assert_ptr_nonnull(table);
	ck_assert(table->has_accounts);
	account = entry_table_account(table, "k2");
	ck_assert_str_eq(account->name, "a");
	ck_assert_double_eq(account->rate_per_s, 2.5);
	ck_assert_double_eq(account->burst, 7);
	ck_assert_ptr_null(entry_table_account(table, "k3"));
	ck_assert_ptr_null(entry_table_account(table, NULL));
	entry_table_unref(table);
	table = parse_text(
		"{\"version\":7,\"routes\":[" ROUTE(
			"a",
			",\"allow_anonymous\":true") "," ROUTE("b",
							       "") "]," SERVICES
								   "}",
		&version);
	ck_assert(!table->has_accounts);
	ck_assert(
		((struct entry_route *)g_hash_table_lookup(table->routes, "a"))
			->anonymous);
	ck_assert(
		!((struct entry_route *)g_hash_table_lookup(table->routes, "b"))
			 ->anonymous);
	entry_table_unref(table);
}
END_TEST

/* Guards against accounts that cannot be told apart or limited, and against a
 * key in an error, which reaches logs and operators. */
START_TEST(test_refused_accounts)
{
	static const struct {
		const char *text;
		const char *error;
	} cases[] = {
		{ ACCOUNTS("{}"), "tenants: must be a list" },
		{ ACCOUNTS("[{\"api_keys\":[\"secret\"]}]"), "a name" },
		{ ACCOUNTS("[{\"name\":\"a b\"}]"), "blanks" },
		{ ACCOUNTS("[{\"name\":\"a\"},{\"name\":\"a\"}]"),
		  "a: the account is defined more than once" },
		{ ACCOUNTS("[{\"name\":\"a\",\"api_keys\":[\"secret\"]},"
			   "{\"name\":\"b\",\"api_keys\":[\"secret\"]}]"),
		  "b: another account holds" },
		{ ACCOUNTS("[{\"name\":\"a\",\"api_keys\":[5]}]"),
		  "a: a key must be a text" },
		{ ACCOUNTS("[{\"name\":\"a\",\"api_keys\":\"secret\"}]"),
		  "a: api_keys must be a list" },
		{ ACCOUNTS("[{\"name\":\"a\",\"rate_per_s\":0}]"),
		  "a: rate_per_s must be above 0" },
		{ ACCOUNTS("[{\"name\":\"a\",\"rate_per_s\":-3}]"),
		  "a: rate_per_s must be above 0" },
		{ ACCOUNTS("[{\"name\":\"a\",\"rate_per_s\":1,"
			   "\"burst\":1e99}]"),
		  "a: burst is out of range" },
		{ ACCOUNTS("[{\"name\":\"a\",\"burst\":4}]"),
		  "a: burst needs a rate_per_s" },
	};
	uint64_t version;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		GError *error = NULL;

		ck_assert_ptr_null(config_parse(cases[i].text,
						strlen(cases[i].text), &version,
						&error));
		ck_assert_msg(strstr(error->message, cases[i].error), "%s",
			      error->message);
		ck_assert_ptr_null(strstr(error->message, "secret"));
		g_clear_error(&error);
	}
}
END_TEST

/* Guards against accepting an invalid configuration. */
START_TEST(test_refused)
{
	static const char *const texts[] = {
		"",
		"[]",
		("{\"version\":7,\"routes\":[" ROUTE("a", "") "]," SERVICES),
		("{\"routes\":[]," SERVICES "}"),
		("{\"version\":0,\"routes\":[]," SERVICES "}"),
		("{\"version\":\"7\",\"routes\":[]," SERVICES "}"),
		("{\"version\":7,\"routes\":{}," SERVICES "}"),
		"{\"version\":7,\"routes\":[]}",
		("{\"version\":7,\"routes\":[" ROUTE("a", "") "," ROUTE(
			"a", "") "]," SERVICES "}"),
		("{\"version\":7,\"routes\":[" ROUTE("a",
						     "") "],\"services\":[]}"),
		("{\"version\":7,\"routes\":[" ROUTE(
			"a", ",\"priority\":-1") "]," SERVICES "}"),
		("{\"version\":7,\"routes\":[{\"database\":\"a\",\"service\":"
		 "\"s1\",\"route_type\":\"primary\",\"timeout_ms\":0}]," SERVICES
		 "}"),
		("{\"version\":7,\"routes\":[{\"database\":\"a\",\"service\":"
		 "\"s1\",\"route_type\":\"primary\"}]," SERVICES "}"),
		("{\"version\":7,\"routes\":[{\"database\":\"a\",\"service\":"
		 "\"s1\",\"route_type\":\"other\",\"timeout_ms\":5}]," SERVICES
		 "}"),
		("{\"version\":7,\"routes\":[],\"services\":[{\"name\":\"s\"},"
		 "{\"name\":\"s\"}]}"),
	};
	uint64_t version;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(texts); i++)
		ck_assert_msg(!parse_text(texts[i], &version), "%s", texts[i]);
}
END_TEST

TEST_MAIN("platform_config", test_accounts, test_refused_accounts,
	  test_all_fields, test_refused)
