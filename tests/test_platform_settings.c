#include "platform/settings.h"
#include "test_main.h"

#include "remove_tree.h"

#include <string.h>

#define NODE                                                              \
	"[node]\nname = e\nzone = z\nip = 127.0.0.1\ninternal_port = 1\n" \
	"seeds = 127.0.0.2:1\ngrace_s = 5\nvm_losses = 1\n[listen]\n"

static bool load(struct platform_settings *s, const char *limits)
{
	g_autofree char *folder = g_dir_make_tmp("cw-settings-XXXXXX", NULL);
	g_autofree char *file = g_build_filename(folder, "settings", NULL);
	g_autofree char *text = g_strconcat(NODE, limits, NULL);
	GError *error = NULL;
	bool ok;

	ck_assert(g_file_set_contents(file, text, -1, NULL));
	ok = platform_settings_load(s, file, &error);
	ck_assert(ok == !error);
	g_clear_error(&error);
	remove_tree(folder);
	return ok;
}

/* Guards against limits in a deployment that does not set any. */
START_TEST(test_without_limits)
{
	static const char *const texts[] = { "", "[limits]\n" };
	struct client_limits none = { 0 };
	struct platform_settings s;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(texts); i++) {
		ck_assert(load(&s, texts[i]));
		ck_assert_uint_eq(s.limits.budget_bytes, none.budget_bytes);
		ck_assert_uint_eq(s.limits.connections, none.connections);
		ck_assert_uint_eq(s.limits.relays, none.relays);
		ck_assert_int_eq(s.limits.startup_us, none.startup_us);
		ck_assert_int_eq(s.limits.message_us, none.message_us);
		ck_assert_int_eq(s.limits.answer_us, none.answer_us);
		platform_settings_finish(&s);
	}
}
END_TEST

/* Guards against a setting in another unit, or stored in the wrong member. */
START_TEST(test_each_limit)
{
	struct platform_settings s;

	ck_assert(load(&s, "[limits]\nmemory_mb = 160\nmax_fds = 4200\n"
			   "session_kb = 3000\nanswer_kb = 4000\n"
			   "connections = 1\nconnections_starting = 2\n"
			   "connections_per_address = 3\n"
			   "connections_relay = 4\nstartup_ms = 500\n"
			   "message_ms = 600\nanswer_ms = 0\n"));
	ck_assert_uint_eq(s.limits.budget_bytes, 80u * 1024 * 1024);
	ck_assert_uint_eq(s.limits.session_bytes, 3000u * 1024);
	ck_assert_uint_eq(s.limits.answer_bytes, 4000u * 1024);
	ck_assert_uint_eq(s.limits.connections, 1);
	ck_assert_uint_eq(s.limits.starting, 2);
	ck_assert_uint_eq(s.limits.per_address, 3);
	ck_assert_uint_eq(s.limits.relays, 4);
	ck_assert_int_eq(s.limits.startup_us, 500000);
	ck_assert_int_eq(s.limits.message_us, 600000);
	ck_assert_int_eq(s.limits.answer_us, 0);
	platform_settings_finish(&s);
}
END_TEST

/* Guards against a mistyped limit that is taken for none. */
START_TEST(test_invalid)
{
	struct platform_settings s;

	ck_assert(!load(&s, "[limits]\nmemory_mb = much\n"));
	platform_settings_finish(&s);
	ck_assert(!load(&s, "[limits]\nstartup_ms = 1\n"));
	platform_settings_finish(&s);
}
END_TEST

TEST_MAIN("platform_settings", test_without_limits, test_each_limit,
	  test_invalid)
