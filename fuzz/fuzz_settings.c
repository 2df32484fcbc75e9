#include "fuzz.h"
#include "settings.h"

#include <stdlib.h>
#include <unistd.h>

static char path[] = "/tmp/cw-fuzz-settings-XXXXXX";

static void remove_file(void)
{
	unlink(path);
}

static int open_file(void)
{
	int fd = mkstemp(path);

	g_assert_cmpint(fd, >=, 0);
	atexit(remove_file);
	return fd;
}

static void check_loaded(const struct settings *s)
{
	g_assert_nonnull(s->name);
	g_assert_cmpuint(s->control_peers->len, >, 0);
	g_assert_cmpint(s->heartbeat_interval_us * 3, <, s->lease_duration_us);
	g_assert_true(!s->control_id || (s->control_listen && s->data_folder));
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static int fd = -1;
	struct settings s;
	GError *error = NULL;

	if (fd < 0)
		fd = open_file();
	g_assert_cmpint(pwrite(fd, data, size, 0), ==, (ssize_t)size);
	g_assert_cmpint(ftruncate(fd, size), ==, 0);
	settings_init(&s);
	if (settings_load(&s, path, &error)) {
		check_loaded(&s);
		g_assert_true(settings_reload(&s, path, &error));
	} else {
		g_assert_true(g_str_has_prefix(error->message, path));
		g_assert_null(s.name);
		fuzz_check_error(error);
	}
	settings_finish(&s);
	return 0;
}
