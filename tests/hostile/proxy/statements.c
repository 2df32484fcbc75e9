#include "crowd.h"

#include "hostile.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define KIB 1024u
#define MIB (1024u * 1024)
/* Memory of the process: it starts below 32 MiB. */
#define BOUND_KB (96ul * 1024)
/* Of 160: a few stay free for upstreams and operators. */
#define BOUND_FDS 150

static int join(const struct target *t, GArray *fds)
{
	int fd = caller_open(t);

	g_array_append_val(fds, fd);
	return fd;
}

/* All of the crowd send the same bytes and read nothing. */
static void crowd(const struct target *t, GArray *fds, unsigned nr,
		  GByteArray *bytes)
{
	unsigned i;

	for (i = 0; i < nr; i++)
		push(join(t, fds), bytes->data, bytes->len);
	g_byte_array_unref(bytes);
	hostile_sleep_ms(1000);
}

static GByteArray *filled(size_t len, char with)
{
	GByteArray *bytes = g_byte_array_new();

	g_byte_array_set_size(bytes, len);
	memset(bytes->data, with, len);
	return bytes;
}

/* A statement of legal size of which the last half does not come. */
static void half_statement(const struct target *t, GArray *fds)
{
	GByteArray *bytes = g_byte_array_new(), *body = filled(8 * MIB, 'x');

	frame_header(bytes, 'Q', 16 * MIB - 1);
	g_byte_array_append(bytes, body->data, body->len);
	g_byte_array_unref(body);
	crowd(t, fds, 24, bytes);
}

static void add_large_query(GByteArray *bytes)
{
	GByteArray *sql = filled(MIB - 64, 'x');

	memcpy(sql->data, "SELECT '", 8);
	memcpy(sql->data + sql->len - 2, "'", 2);
	frame_add(bytes, 'Q', sql->data, sql->len);
	g_byte_array_unref(sql);
}

static void large_statements(const struct target *t, GArray *fds)
{
	GByteArray *bytes = g_byte_array_new();
	unsigned i;

	for (i = 0; i < 6; i++)
		add_large_query(bytes);
	crowd(t, fds, 30, bytes);
}

/* Whole messages of half the largest size, queued for the databases. */
static void large_parameters(const struct target *t, GArray *fds)
{
	GByteArray *bytes = g_byte_array_new(), *body = filled(8 * MIB, 'x');
	/* No names, no formats, one parameter; its length follows. */
	static const guint8 head[] = { 0, 0, 0, 0, 0, 1, 0, 128, 0, 0 };
	static const guint8 tail[] = { 0, 0 };

	frame_parse(bytes, "", "SELECT length($1) FROM (SELECT pg_sleep(1))");
	frame_header(bytes, 'B', 4 + sizeof(head) + body->len + sizeof(tail));
	g_byte_array_append(bytes, head, sizeof(head));
	g_byte_array_append(bytes, body->data, body->len);
	g_byte_array_append(bytes, tail, sizeof(tail));
	frame_execute(bytes, "");
	frame_add(bytes, 'S', NULL, 0);
	g_byte_array_unref(body);
	crowd(t, fds, 24, bytes);
}

/* A limit must not refuse the largest message when nothing else runs. */
static void single_message(const struct target *t, GArray *fds)
{
	GByteArray *bytes = g_byte_array_new();
	GByteArray *body = filled(16 * MIB - 64 * KIB, 'x');
	static const guint8 head[] = { 0, 0, 0, 0, 0, 1, 0, 0xff, 0, 0 };
	static const guint8 tail[] = { 0, 0 };
	int fd = join(t, fds);

	frame_parse(bytes, "", "SELECT length($1)");
	frame_header(bytes, 'B', 4 + sizeof(head) + body->len + sizeof(tail));
	g_byte_array_append(bytes, head, sizeof(head));
	g_byte_array_append(bytes, body->data, body->len);
	g_byte_array_append(bytes, tail, sizeof(tail));
	frame_execute(bytes, "");
	frame_add(bytes, 'S', NULL, 0);
	push(fd, bytes->data, bytes->len);
	g_byte_array_unref(bytes);
	g_byte_array_unref(body);
	if (!caller_answer(fd, "16711680")) {
		fprintf(stderr, "failed: the message is not answered\n");
		exit(1);
	}
}

static void small_pieces(const struct target *t, GArray *fds)
{
	GByteArray *bytes = g_byte_array_new();
	size_t at;
	unsigned i;

	add_large_query(bytes);
	for (i = 0; i < 20; i++)
		join(t, fds);
	for (at = 0; at < bytes->len; at += 512)
		for (i = 0; i < 20; i++)
			push(g_array_index(fds, int, i), bytes->data + at,
			     MIN(512, bytes->len - at));
	g_byte_array_unref(bytes);
	hostile_sleep_ms(1000);
}

/* Lengths that no frame can have, and one without an end. */
static void false_lengths(const struct target *t, GArray *fds)
{
	static const uint32_t lengths[] = {
		0, 3, 0x7fffffff, 0x80000000, 0xffffffff, 0x01000001
	};
	GByteArray *body = filled(MIB, 'x');
	unsigned i;

	for (i = 0; i < 30; i++) {
		GByteArray *head = g_byte_array_new();
		int fd = join(t, fds);

		frame_header(head, "QPB"[i % 3],
			     lengths[i % G_N_ELEMENTS(lengths)]);
		push(fd, head->data, head->len);
		push(fd, body->data, body->len);
		g_byte_array_unref(head);
	}
	g_byte_array_unref(body);
	hostile_sleep_ms(1000);
}

static void simple_pipeline(const struct target *t, GArray *fds)
{
	GByteArray *bytes = g_byte_array_new();
	unsigned i;

	for (i = 0; i < 20000; i++)
		frame_text(bytes, 'Q', "SELECT 1");
	crowd(t, fds, 20, bytes);
}

static void extended_pipeline(const struct target *t, GArray *fds)
{
	GByteArray *bytes = g_byte_array_new();
	unsigned i;

	for (i = 0; i < 5000; i++) {
		frame_parse(bytes, "", "SELECT 1");
		frame_bind(bytes, "", "");
		frame_execute(bytes, "");
		frame_add(bytes, 'S', NULL, 0);
	}
	crowd(t, fds, 20, bytes);
}

/* The batch takes a hundred bytes of bookkeeping for each ten that come. */
static void endless_batch(const struct target *t, GArray *fds)
{
	GByteArray *bytes = g_byte_array_new();
	unsigned i;

	for (i = 0; i < 250000; i++)
		frame_parse(bytes, "", "");
	crowd(t, fds, 20, bytes);
}

/* Each Bind looks for its statement among all Parse frames before it. */
static void many_parses(const struct target *t, GArray *fds)
{
	GByteArray *bytes = g_byte_array_new();
	unsigned i;

	for (i = 0; i < 400000; i++)
		frame_parse(bytes, "", "SELECT 1");
	frame_parse(bytes, "s", "SELECT 2");
	for (i = 0; i < 200000; i++)
		frame_bind(bytes, "", "s");
	frame_add(bytes, 'S', NULL, 0);
	crowd(t, fds, 1, bytes);
}

/* Frames behind a Flush go on to an upstream that is busy. */
static void flushed_batch(const struct target *t, GArray *fds)
{
	GByteArray *bytes = g_byte_array_new();
	unsigned i;

	frame_parse(bytes, "", "SELECT pg_sleep(30)");
	frame_bind(bytes, "", "");
	frame_execute(bytes, "");
	frame_add(bytes, 'H', NULL, 0);
	for (i = 0; i < 1500000; i++)
		frame_bind(bytes, "", "");
	crowd(t, fds, 4, bytes);
}

/* A short frame asks for an answer of 300 bytes, again and again. */
static void local_answers(const struct target *t, GArray *fds)
{
	GByteArray *bytes = g_byte_array_new();
	g_autofree char *name = g_strnfill(250, 'x');
	g_autofree char *set =
		g_strdup_printf("SET comfreywheel.session = '%s'", name);
	unsigned i;

	frame_text(bytes, 'Q', set);
	frame_parse(bytes, "", "SHOW comfreywheel.session");
	frame_bind(bytes, "", "");
	for (i = 0; i < 1000000; i++)
		frame_execute(bytes, "");
	frame_add(bytes, 'S', NULL, 0);
	crowd(t, fds, 1, bytes);
}

static void many_statements(const struct target *t, GArray *fds)
{
	GByteArray *bytes = g_byte_array_new();
	g_autofree char *pad = g_strnfill(3000, 'x');
	unsigned i;

	for (i = 0; i < 2000; i++) {
		g_autofree char *name = g_strdup_printf("s%u", i);
		g_autofree char *sql =
			g_strdup_printf("SELECT %u, '%s'", i, pad);

		frame_parse(bytes, name, sql);
		frame_bind(bytes, name, name);
		frame_add(bytes, 'S', NULL, 0);
	}
	crowd(t, fds, 20, bytes);
}

/* Names of statements are kept, too. */
static void long_names(const struct target *t, GArray *fds)
{
	GByteArray *bytes = g_byte_array_new();
	unsigned i;

	for (i = 0; i < 100; i++) {
		g_autofree char *pad = g_strnfill(MIB - 64, 'x');
		g_autofree char *name = g_strdup_printf("%u%s", i, pad);

		frame_parse(bytes, name, "SELECT 1");
		frame_add(bytes, 'S', NULL, 0);
	}
	crowd(t, fds, 3, bytes);
}

static void many_settings(const struct target *t, GArray *fds)
{
	GByteArray *bytes = g_byte_array_new();
	unsigned i;

	for (i = 0; i < 5000; i++) {
		g_autofree char *set = g_strdup_printf(
			"SET comfreywheel.session = 's%u-%u'", i, i);
		g_autofree char *other =
			g_strdup_printf("SET comfreywheel.unknown_%u = 'x'", i);

		frame_text(bytes, 'Q', set);
		frame_text(bytes, 'Q', other);
	}
	crowd(t, fds, 20, bytes);
}

const struct load statement_loads[] = {
	{ "half_statement", half_statement, BOUND_KB, BOUND_FDS },
	{ "large_statements", large_statements, BOUND_KB, BOUND_FDS },
	{ "large_parameters", large_parameters, BOUND_KB, BOUND_FDS },
	{ "single_message", single_message, BOUND_KB, BOUND_FDS },
	{ "small_pieces", small_pieces, BOUND_KB, BOUND_FDS },
	{ "false_lengths", false_lengths, BOUND_KB, BOUND_FDS },
	{ "simple_pipeline", simple_pipeline, BOUND_KB, BOUND_FDS },
	{ "extended_pipeline", extended_pipeline, BOUND_KB, BOUND_FDS },
	{ "endless_batch", endless_batch, BOUND_KB, BOUND_FDS },
	{ "many_parses", many_parses, 2 * BOUND_KB, BOUND_FDS },
	{ "flushed_batch", flushed_batch, BOUND_KB, BOUND_FDS },
	{ "local_answers", local_answers, BOUND_KB, BOUND_FDS },
	{ "many_statements", many_statements, BOUND_KB, BOUND_FDS },
	{ "long_names", long_names, BOUND_KB, BOUND_FDS },
	{ "many_settings", many_settings, BOUND_KB, BOUND_FDS },
	{ NULL },
};
