#include "crowd.h"

#include "hostile.h"

#include <string.h>
#include <unistd.h>

#define BOUND_KB (96ul * 1024)
/* Of 160: a few stay free for upstreams and operators. */
#define BOUND_FDS 150

static void stop_after(uint16_t port, GArray *fds, unsigned nr,
		       const void *data, size_t len)
{
	unsigned i;

	for (i = 0; i < nr; i++) {
		int fd = hostile_connect("127.0.0.1", port);

		if (fd >= 0)
			push(fd, data, len);
		g_array_append_val(fds, fd);
	}
}

static void http_halves(const struct target *t, GArray *fds)
{
	static const char half[] = "POST /announce HTTP/1.1\r\nHost: x\r\nCont";

	stop_after(t->admin, fds, 90, half, strlen(half));
	hostile_sleep_ms(500);
}

static void http_bodies(const struct target *t, GArray *fds)
{
	static const char head[] = "POST /announce HTTP/1.1\r\nHost: x\r\n"
				   "Content-Length: 1073741824\r\n\r\n";
	g_autofree char *body = g_strnfill(4 * 1024 * 1024, 'x');
	g_autofree char *text = g_strconcat(head, body, NULL);
	g_autofree char *header =
		g_strconcat("GET /metrics HTTP/1.1\r\nX: ", body, NULL);

	stop_after(t->admin, fds, 24, text, strlen(text));
	stop_after(t->admin, fds, 24, header, strlen(header));
	hostile_sleep_ms(500);
}

/*
 * Every name is a new upstream, one in four of the cluster that callers use.
 * The fields are as long as they may be.
 */
static void many_names(const struct target *t, GArray *fds)
{
	g_autofree char *pad = g_strnfill(50, 'x');
	unsigned i;

	for (i = 0; i < 16000; i++) {
		g_autofree char *cluster =
			i % 4 ? g_strdup_printf("ghost-%u%s", i, pad) :
				g_strdup("west");
		g_autofree char *body = g_strdup_printf(
			"{\"name\":\"ghost-%u%s\",\"address\":\"127.0.0.1\","
			"\"port\":%u,\"availability_zone\":\"gl-west\","
			"\"service\":\"grindplan-db\",\"cluster\":\"%s\","
			"\"database\":\"%s\",\"role\":\"replica\",\"term\":1,"
			"\"position\":\"1:0/1\"}",
			i, pad, t->admin, cluster, pad);
		g_autofree char *text = g_strdup_printf(
			"POST /announce HTTP/1.0\r\nContent-Length: %zu\r\n"
			"\r\n%s",
			strlen(body), body);
		int fd = hostile_connect("127.0.0.1", t->admin);

		if (fd < 0)
			continue;
		push(fd, text, strlen(text));
		g_free(hostile_read_until(fd, "\r\n\r\n"));
		close(fd);
	}
	hostile_sleep_ms(1000);
}

static void bus_silence(const struct target *t, GArray *fds)
{
	stop_after(t->bus, fds, 60, "", 0);
	stop_after(t->control, fds, 60, "", 0);
	hostile_sleep_ms(500);
}

/* A greeting of ZMTP 3 followed by junk, and junk alone. */
static void bus_junk(const struct target *t, GArray *fds)
{
	char greeting[64] = { (char)0xff, 0, 0, 0, 0, 0, 0, 0, 1, 0x7f, 3, 0 };
	char junk[64 * 1024];
	unsigned i;

	memcpy(greeting + 12, "CURVE", 5);
	memset(junk, 0xee, sizeof(junk));
	stop_after(t->bus, fds, 20, junk, sizeof(junk));
	stop_after(t->control, fds, 20, junk, sizeof(junk));
	for (i = 0; i < 40; i++) {
		int fd = hostile_connect("127.0.0.1",
					 i % 2 ? t->bus : t->control);

		if (fd < 0)
			continue;
		push(fd, greeting, sizeof(greeting));
		junk[0] = i % 3 ? 0x06 : 0x04;
		push(fd, junk, sizeof(junk));
		g_array_append_val(fds, fd);
	}
	hostile_sleep_ms(500);
}

const struct load port_loads[] = {
	{ "http_halves", http_halves, BOUND_KB, BOUND_FDS },
	{ "http_bodies", http_bodies, BOUND_KB, BOUND_FDS },
	{ "many_names", many_names, BOUND_KB, BOUND_FDS },
	{ "bus_silence", bus_silence, BOUND_KB, BOUND_FDS },
	{ "bus_junk", bus_junk, BOUND_KB, BOUND_FDS },
	{ NULL },
};
