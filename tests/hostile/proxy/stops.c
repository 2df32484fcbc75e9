#include "crowd.h"

#include "hostile.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define BOUND_KB (96ul * 1024)
/* Of 160: a few stay free for upstreams and operators. */
#define BOUND_FDS 150

/* Connections that send @len bytes and stop. */
static void stop_after(const struct target *t, GArray *fds, unsigned nr,
		       const void *data, size_t len)
{
	unsigned i;

	for (i = 0; i < nr; i++) {
		int fd = caller_connect(t);

		if (fd >= 0)
			push(fd, data, len);
		g_array_append_val(fds, fd);
	}
	hostile_sleep_ms(500);
}

static void startup_stops(const struct target *t, GArray *fds)
{
	GByteArray *out = g_byte_array_new();

	frame_startup(out);
	stop_after(t, fds, 90, out->data, out->len / 2);
	g_byte_array_unref(out);
}

/* Answers of a byte each to requests for encryption, none of them read. */
static void startup_repeats(const struct target *t, GArray *fds)
{
	static const char request[] = { 0, 0, 0, 8, 4, (char)210, 22, 48 };
	GByteArray *out = g_byte_array_new();
	unsigned i;

	for (i = 0; i < 4 * 1024 * 1024; i++)
		g_byte_array_append(out, (const guint8 *)request,
				    sizeof(request));
	stop_after(t, fds, 4, out->data, out->len);
	g_byte_array_unref(out);
}

/* The request for TLS and the beginning of a ClientHello. */
static void tls_stops(const struct target *t, GArray *fds)
{
	static const char request[] = { 0, 0, 0, 8, 4, (char)210, 22, 47 };
	static const char hello[] = { 22, 3, 1, 2, 0, 1, 0, 1, (char)252 };
	unsigned i;

	for (i = 0; i < 90; i++) {
		int fd = caller_connect(t);
		char *answer;

		push(fd, request, sizeof(request));
		answer = hostile_read_until(fd, "S");
		if (!answer) {
			fprintf(stderr, "failed: TLS is not offered\n");
			exit(1);
		}
		g_free(answer);
		push(fd, hello, sizeof(hello));
		g_array_append_val(fds, fd);
	}
	hostile_sleep_ms(500);
}

/* The start-up and half of the first message of SCRAM. */
static void scram_stops(const struct target *t, GArray *fds)
{
	GByteArray *out = g_byte_array_new();

	frame_startup(out);
	frame_header(out, 'p', 60);
	g_byte_array_append(out, (const guint8 *)"SCRAM-SHA-256", 14);
	stop_after(t, fds, 90, out->data, out->len);
	g_byte_array_unref(out);
}

/* Sessions in use up to the limit on descriptors, one of them ordinary. */
static void idle_crowd(const struct target *t, GArray *fds)
{
	int own = caller_open(t);
	char *metrics;
	unsigned i;

	for (i = 0; i < 200; i++) {
		int fd = caller_connect(t);

		g_array_append_val(fds, fd);
		if (fd >= 0) {
			GByteArray *out = g_byte_array_new();

			frame_startup(out);
			push(fd, out->data, out->len);
			g_byte_array_unref(out);
		}
	}
	hostile_sleep_ms(500);
	g_array_append_val(fds, own);
	if (!caller_query(own, "SELECT 41 + 1", "42")) {
		fprintf(stderr, "failed: a session from before the crowd is "
				"not served\n");
		exit(1);
	}
	own = hostile_connect("127.0.0.1", t->admin);
	push(own, "GET /metrics HTTP/1.0\r\n\r\n", 25);
	metrics = hostile_read_until(own, "comfreywheel_callers_open");
	if (!metrics) {
		fprintf(stderr, "failed: no metrics beside the crowd\n");
		exit(1);
	}
	g_free(metrics);
	close(own);
	/* Ordinary callers get in once some of the crowd leave. */
	for (i = 0; i < 150; i++) {
		int *fd = &g_array_index(fds, int, i);

		if (*fd >= 0)
			close(*fd);
		*fd = -1;
	}
}

static void transaction_stops(const struct target *t, GArray *fds)
{
	unsigned i;

	for (i = 0; i < 40; i++) {
		int fd = caller_open(t);
		GByteArray *out = g_byte_array_new();

		frame_text(out, 'Q', "BEGIN");
		push(fd, out->data, out->len);
		g_byte_array_unref(out);
		g_array_append_val(fds, fd);
	}
	hostile_sleep_ms(500);
	/* The crowd holds the connections to the primary. */
	caller_serves(t, "UPDATE probe SET id = id WHERE id < 0");
}

/* Far more rows than the caller reads. */
static void answer_stops(const struct target *t, GArray *fds)
{
	unsigned i;

	for (i = 0; i < 24; i++) {
		int fd = caller_open(t);
		GByteArray *out = g_byte_array_new();

		frame_text(out, 'Q',
			   "WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL SELECT "
			   "i + 1 FROM n WHERE i < 1000000) SELECT i, "
			   "'xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx' FROM n");
		push(fd, out->data, out->len);
		g_byte_array_unref(out);
		g_array_append_val(fds, fd);
	}
	hostile_sleep_ms(1000);
}

static void reconnects(const struct target *t, GArray *fds)
{
	GByteArray *out = g_byte_array_new();
	unsigned i;

	frame_startup(out);
	for (i = 0; i < 3000; i++) {
		int fd = caller_connect(t);

		if (fd < 0)
			continue;
		push(fd, out->data, i % 3 ? out->len : out->len / 2);
		close(fd);
	}
	g_byte_array_unref(out);
}

const struct load stop_loads[] = {
	{ "startup_stops", startup_stops, BOUND_KB, BOUND_FDS },
	{ "startup_repeats", startup_repeats, BOUND_KB, BOUND_FDS },
	{ "tls_stops", tls_stops, BOUND_KB, BOUND_FDS },
	{ "scram_stops", scram_stops, BOUND_KB, BOUND_FDS },
	{ "idle_crowd", idle_crowd, BOUND_KB, BOUND_FDS },
	{ "transaction_stops", transaction_stops, BOUND_KB, BOUND_FDS },
	{ "answer_stops", answer_stops, BOUND_KB, BOUND_FDS },
	{ "reconnects", reconnects, BOUND_KB, BOUND_FDS },
	{ NULL },
};
