#include "error.h"
#include "log.h"
#include "settings.h"
#include "test_main.h"

#include <glib/gstdio.h>
#include <string.h>
#include <unistd.h>

#define KEY "0123456789012345678901234567890123456789"

static const char base[] = "[daemon]\n"
			   "name = gl-west-1\n"
			   "availability_zone = gl-west\n"
			   "  region = great-lakes\n"
			   "caller_listen = 127.0.0.1:6432\n"
			   "admin_listen = 127.0.0.1:8080\n"
			   "bus_listen = [::1]:7100\n"
			   "data_folder = /var/lib/comfreywheel\n"
			   "log_level = debug\n"
			   "max_callers = 10\n"
			   "drain_timeout = 1m\n"
			   "[control]\n"
			   "id = 1\n"
			   "listen = 127.0.0.1:7001\n"
			   "peers = 1@127.0.0.1:7001, 2@127.0.0.1:7002\n"
			   "lease = 1200ms\n"
			   "heartbeat = 200ms\n"
			   "[bus]\n"
			   "public_key = " KEY "\n"
			   "secret_key = " KEY "\n"
			   "[callers]\n"
			   "users_file = users\n"
			   "[upstreams]\n"
			   "user = proxy\n"
			   "password = two ; words # here\n";

static char *path;

static void write_text(const char *text)
{
	if (!path)
		path = g_strdup_printf("%s/cw-settings-%d.conf",
				       g_get_tmp_dir(), (int)getpid());
	ck_assert(g_file_set_contents(path, text, -1, NULL));
}

static char *edit_base(const char *find, const char *replace)
{
	char **parts = g_strsplit(base, find, 2);
	char *text;

	ck_assert_msg(parts[1] != NULL, "base lacks %s", find);
	text = g_strconcat(parts[0], replace, parts[1], NULL);
	g_strfreev(parts);
	return text;
}

/* Each value must be stored in its own member. */
START_TEST(test_values)
{
	struct settings s;
	GError *error = NULL;

	write_text(base);
	settings_init(&s);
	ck_assert_msg(settings_load(&s, path, &error), "%s",
		      error ? error->message : "");
	ck_assert_str_eq(s.name, "gl-west-1");
	ck_assert_str_eq(s.availability_zone, "gl-west");
	ck_assert_str_eq(s.region, "great-lakes");
	ck_assert_str_eq(s.caller_listen, "127.0.0.1:6432");
	ck_assert_str_eq(s.admin_listen, "127.0.0.1:8080");
	ck_assert_str_eq(s.bus_listen, "[::1]:7100");
	ck_assert_str_eq(s.data_folder, "/var/lib/comfreywheel");
	ck_assert_int_eq(s.log_level, LOG_LEVEL_DEBUG);
	ck_assert_uint_eq(s.max_callers, 10);
	ck_assert_int_eq(s.drain_timeout_us, 60000000);
	ck_assert_uint_eq(s.control_id, 1);
	ck_assert_str_eq(s.control_listen, "127.0.0.1:7001");
	ck_assert_uint_eq(s.control_peers->len, 2);
	ck_assert_uint_eq(
		g_array_index(s.control_peers, struct control_peer, 1).id, 2);
	ck_assert_str_eq(
		g_array_index(s.control_peers, struct control_peer, 1).address,
		"127.0.0.1:7002");
	ck_assert_str_eq(s.bus_secret_key, KEY);
	ck_assert_str_eq(s.users_file, "users");
	ck_assert_str_eq(s.upstream_user, "proxy");
	ck_assert_str_eq(s.upstream_password, "two ; words # here");
	settings_finish(&s);
}
END_TEST

/* The default values must not change by accident. */
START_TEST(test_defaults)
{
	struct settings s;

	settings_init(&s);
	ck_assert_int_eq(s.lease_duration_us, 1200000);
	ck_assert_int_eq(s.heartbeat_interval_us, 200000);
	ck_assert_int_eq(s.probe_interval_us, 100000);
	ck_assert_int_eq(s.stale_tables_limit_us, 4000000);
	ck_assert_int_eq(s.session_wait_us, 20000);
	ck_assert_int_eq(s.connection_linger_us, 10000000);
	ck_assert_int_eq(s.election_timeout_us, 150000);
	ck_assert_int_eq(s.drain_timeout_us, 30000000);
	ck_assert_int_eq(s.caller_write_timeout_us, 30000000);
	ck_assert_uint_eq(s.max_callers, 2500);
	ck_assert_uint_eq(s.memory_budget, 96u * 1024 * 1024);
	ck_assert_uint_eq(s.max_startups, 2500);
	ck_assert_uint_eq(s.max_callers_per_address, 0);
	ck_assert_uint_eq(s.reserved_descriptors, 512);
	ck_assert_uint_eq(s.max_upstreams, 2000);
	ck_assert_int_eq(s.startup_timeout_us, 10000000);
	ck_assert_int_eq(s.message_timeout_us, 60000000);
	ck_assert_int_eq(s.transaction_idle_us, 60000000);
	ck_assert_int_eq(s.log_level, LOG_LEVEL_INFO);
	settings_finish(&s);
}
END_TEST

static const struct invalid_case {
	const char *find;
	const char *replace;
	int line;
	const char *problem;
	const char *remedy;
} invalid_cases[] = {
	{ "[daemon]\n", "name = a\n[daemon]\n", 1, "before the first section",
	  "move it" },
	{ "[daemon]", "[demon]", 1, "section [demon] is not known",
	  "use one of" },
	{ "[bus]", "[control]", 18, "repeats the one in line 12", "rename" },
	{ "[bus]", "[bus", 18, "not complete", "write [SECTION]" },
	{ "[bus]", "[bus] x = 1", 18, "not complete", "write [SECTION]" },
	{ "[bus]", "[]", 18, "no name", "shorten" },
	{ "name = gl-west-1", "name = gl-west-1\nname = b", 3,
	  "repeats the one in line 2", "remove one" },
	{ "name = gl-west-1", "name =", 2, "has no value", "KEY = VALUE" },
	{ "name = gl-west-1", "name", 2, "no heading, entry or comment",
	  "KEY = VALUE" },
	{ "name = gl-west-1", "name = gl-west-1\n  and more", 3,
	  "no heading, entry or comment", "KEY = VALUE" },
	{ "name = gl-west-1\n", "", 1, "lacks the key \"name\"", "give 1 to" },
	{ "name = gl-west-1", "name = gl west", 2, "cannot be the value",
	  "letters, digits" },
	{ "region", "regoin", 4, "not known in [daemon]", "use one of" },
	{ ":6432", "", 5, "cannot be the value", "IP:PORT" },
	{ ":6432", ":0", 5, "cannot be the value", "IP:PORT" },
	{ ":6432", ":65536", 5, "cannot be the value", "IP:PORT" },
	{ "127.0.0.1:6432", "localhost:6432", 5, "cannot be the value",
	  "IP:PORT" },
	{ "debug", "loud", 9, "cannot be the value", "one of: error" },
	{ "max_callers = 10", "max_callers = 0", 10, "cannot be the value",
	  "from 1 to 100000" },
	{ "max_callers = 10", "max_callers = -1", 10, "cannot be the value",
	  "whole number" },
	{ "1m", "60", 11, "cannot be the value", "duration with its unit" },
	{ "1m", "1d", 11, "cannot be the value", "duration with its unit" },
	{ "1m", "9999999999999999h", 11, "cannot be the value", "to 3600000" },
	{ "peers = 1@", "peers = x@", 15, "cannot be the value", "ID@IP:PORT" },
	{ "2@127", "1@127", 15, "cannot be the value", "each control VM once" },
	{ "id = 1", "id = 3", 13, "not among the peers", "add it" },
	{ "id = 1\n", "", 13, "without \"id\"", "give the control identity" },
	{ "listen = 127.0.0.1:7001\n", "", 13, "address of its own",
	  "add listen" },
	{ "data_folder = /var/lib/comfreywheel\n", "", 12, "needs a disk",
	  "add data_folder" },
	{ "heartbeat = 200ms", "heartbeat = 400ms", 17,
	  "not shorter than a third", "shorten" },
	{ "heartbeat = 200ms", "stale_tables_limit = 1s", 17,
	  "shorter than the lease", "lengthen" },
	{ "peers = 1@127.0.0.1:7001, 2@127.0.0.1:7002\n", "", 12,
	  "lacks the key \"peers\"", "ID@IP:PORT" },
	{ "public_key = " KEY "\n", "", 18, "one of public_key", "give both" },
	{ "users_file = users", "tls_key = k", 21, "one of tls_certificate",
	  "give both" },
};

/* Invalid settings must be rejected, with the file, line and remedy. */
START_TEST(test_refusals)
{
	struct settings s;
	GError *error = NULL;
	char *text, *location;
	size_t i;

	settings_init(&s);
	for (i = 0; i < G_N_ELEMENTS(invalid_cases); i++) {
		text = edit_base(invalid_cases[i].find,
				 invalid_cases[i].replace);
		write_text(text);
		ck_assert_msg(!settings_load(&s, path, &error), "accepted: %s",
			      invalid_cases[i].replace);
		ck_assert(g_error_matches(error, CW_ERROR, CW_ERROR_SETTINGS));
		location =
			g_strdup_printf("%s:%d: ", path, invalid_cases[i].line);
		ck_assert_msg(g_str_has_prefix(error->message, location),
			      "%s lacks %s", error->message, location);
		ck_assert_msg(
			strstr(error->message, invalid_cases[i].problem) &&
				strstr(error->message, invalid_cases[i].remedy),
			"%s lacks \"%s\" or \"%s\"", error->message,
			invalid_cases[i].problem, invalid_cases[i].remedy);
		g_clear_error(&error);
		g_free(location);
		g_free(text);
	}
	ck_assert_ptr_null(s.name);
	settings_finish(&s);
}
END_TEST

/* Error messages, which are logged, must not contain secrets. */
START_TEST(test_secret_stays_out_of_errors)
{
	struct settings s;
	GError *error = NULL;
	char *text = edit_base("secret_key = " KEY, "secret_key = hidden");

	write_text(text);
	settings_init(&s);
	ck_assert(!settings_load(&s, path, &error));
	ck_assert_ptr_null(strstr(error->message, "hidden"));
	g_clear_error(&error);
	settings_finish(&s);
	g_free(text);
}
END_TEST

/* inih must not split long lines; too long ones must be rejected. */
START_TEST(test_long_lines)
{
	char *value = g_strnfill(5000, 'a'), *line, *text;
	struct settings s;
	GError *error = NULL;

	value[300] = '\0';
	line = g_strconcat("users_file = ", value, NULL);
	text = edit_base("users_file = users", line);
	write_text(text);
	settings_init(&s);
	ck_assert(settings_load(&s, path, &error));
	ck_assert_str_eq(s.users_file, value);
	g_free(line);
	g_free(text);
	value[300] = 'a';
	line = g_strconcat("users_file = ", value, NULL);
	text = edit_base("users_file = users", line);
	write_text(text);
	ck_assert(!settings_load(&s, path, &error));
	ck_assert_ptr_nonnull(strstr(error->message, ":22: the line has more"));
	g_clear_error(&error);
	settings_finish(&s);
	g_free(line);
	g_free(text);
	g_free(value);
}
END_TEST

/* A reload must apply every setting that may change at run time, and nothing
 * if a setting that requires a restart differs. */
START_TEST(test_reload)
{
	struct settings s;
	GError *error = NULL;
	char *text = edit_base("max_callers = 10", "max_callers = 20");

	write_text(base);
	settings_init(&s);
	ck_assert(settings_load(&s, path, &error));
	write_text(text);
	ck_assert(settings_reload(&s, path, &error));
	ck_assert_uint_eq(s.max_callers, 20);
	g_free(text);
	text = edit_base("max_callers = 10\ndrain_timeout = 1m",
			 "max_callers = 30\ncaller_write_timeout = 1s\n"
			 "memory_budget = 17408KiB\nmax_upstreams = 7");
	write_text(text);
	ck_assert(settings_reload(&s, path, &error));
	ck_assert_uint_eq(s.max_callers, 30);
	ck_assert_int_eq(s.drain_timeout_us, 30000000);
	ck_assert_int_eq(s.caller_write_timeout_us, 1000000);
	ck_assert_uint_eq(s.memory_budget, 17u * 1024 * 1024);
	ck_assert_uint_eq(s.max_upstreams, 7);
	g_free(text);
	text = edit_base("2@127.0.0.1:7002", "2@127.0.0.1:7003");
	write_text(text);
	ck_assert(!settings_reload(&s, path, &error));
	ck_assert_ptr_nonnull(strstr(error->message, ":15: \"peers\" cannot"));
	ck_assert_uint_eq(s.max_callers, 30);
	g_clear_error(&error);
	g_free(text);
	settings_finish(&s);
	g_unlink(path);
}
END_TEST

/* Durations must be read in the right unit. */
START_TEST(test_durations)
{
	int64_t us = 7;

	ck_assert(duration_parse("250ms", &us) && us == 250000);
	ck_assert(duration_parse("3us", &us) && us == 3);
	ck_assert(duration_parse("2h", &us) && us == INT64_C(7200000000));
	ck_assert(duration_parse("0s", &us) && us == 0);
	us = 7;
	ck_assert(!duration_parse("", &us));
	ck_assert(!duration_parse("s", &us));
	ck_assert(!duration_parse("-1s", &us));
	ck_assert(!duration_parse("1.5s", &us));
	ck_assert(!duration_parse("1 s", &us));
	ck_assert(!duration_parse("1S", &us));
	ck_assert(!duration_parse("9223372036854775808us", &us));
	ck_assert(!duration_parse("9223372036855s", &us));
	ck_assert_int_eq(us, 7);
}
END_TEST

TEST_MAIN("settings", test_values, test_defaults, test_refusals,
	  test_secret_stays_out_of_errors, test_long_lines, test_reload,
	  test_durations)
