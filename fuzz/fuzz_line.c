#include "fuzz.h"
#include "platform/line.h"

/* A statement that was read is sent on as one line, with its text unchanged. */
static void check_query(const char *line)
{
	struct link_command command = { .verb = LINK_FORWARD };
	struct statement st;
	struct pg_buffer out;
	size_t len, whole;

	if (!line_parse_query(line, &st))
		return;
	command.statement = &st;
	command.name = "alias";
	pg_buffer_init(&out);
	line_append_command(&out, &command);
	g_assert_cmpint(line_find_next(&out, 0, &len, &whole), ==,
			LINE_COMPLETE);
	g_assert_cmpuint(whole, ==, pg_buffer_length(&out));
	if (st.verb != STATEMENT_EXECUTE)
		g_assert_true(
			!memcmp(pg_buffer_head(&out), line, strlen(line)));
	pg_buffer_finish(&out);
	statement_clear(&st);
}

static void check_answers(struct pg_buffer *in)
{
	struct line_reader reader = { 0 };
	struct statement_answer answer;
	struct upstream_status status;

	while (line_parse_answer(&reader, in, &answer) == LINE_COMPLETE) {
		g_assert_cmpuint(answer.len, <=, pg_buffer_length(in));
		g_assert_false(answer.refusal && answer.result);
		line_parse_status(&answer, &status);
		line_consume_answer(&reader, in);
	}
	g_free(reader.detail);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct pg_buffer in;
	char *database = NULL, *key = NULL;
	size_t at = 0, len, whole;

	pg_buffer_init(&in);
	pg_buffer_append(&in, data, size);
	while (size && line_find_next(&in, at, &len, &whole) == LINE_COMPLETE) {
		char *line =
			g_strndup((const char *)pg_buffer_head(&in) + at, len);

		if (line_parse_start(line, &database, &key)) {
			g_free(database);
			g_free(key);
		}
		check_query(line);
		g_free(line);
		at += whole;
	}
	if (size)
		check_answers(&in);
	pg_buffer_finish(&in);
	return 0;
}
