#include "platform/line.h"
#include "test_main.h"

#include <string.h>

static struct pg_buffer in;

static void append_input(const char *text)
{
	pg_buffer_append(&in, text, strlen(text));
}

static char *take_output(struct pg_buffer *out)
{
	char *text = g_strndup((const char *)pg_buffer_head(out),
			       pg_buffer_length(out));

	pg_buffer_consume(out, pg_buffer_length(out));
	return text;
}

/*
 * Guards against a line that two parsers end at different bytes: a bare CR, LF
 * or NUL could be taken for the end of the line.
 */
START_TEST(test_lines)
{
	static const char *const invalid[] = { "A\n", "A\rB\r\n", "\n" };
	size_t len, len_with_crlf, i;

	pg_buffer_init(&in);
	append_input("START a");
	ck_assert_int_eq(line_find_next(&in, 0, &len, &len_with_crlf),
			 LINE_INCOMPLETE);
	append_input(" b\r\nX");
	ck_assert_int_eq(line_find_next(&in, 0, &len, &len_with_crlf),
			 LINE_COMPLETE);
	ck_assert_uint_eq(len, 9);
	ck_assert_uint_eq(len_with_crlf, 11);
	for (i = 0; i < G_N_ELEMENTS(invalid); i++) {
		pg_buffer_consume(&in, pg_buffer_length(&in));
		append_input(invalid[i]);
		ck_assert_int_eq(line_find_next(&in, 0, &len, &len_with_crlf),
				 LINE_INVALID);
	}
	pg_buffer_consume(&in, pg_buffer_length(&in));
	pg_buffer_append(&in, "A\0B\r\n", 5);
	ck_assert_int_eq(line_find_next(&in, 0, &len, &len_with_crlf),
			 LINE_INVALID);
	pg_buffer_finish(&in);
}
END_TEST

/* Guards against unbounded memory use by a line that never ends. */
START_TEST(test_endless_line)
{
	size_t len, len_with_crlf;
	uint8_t *buffer;

	pg_buffer_init(&in);
	buffer = pg_buffer_reserve(&in, LINE_MAX_BYTES + 1);
	memset(buffer, 'x', LINE_MAX_BYTES + 1);
	pg_buffer_commit(&in, LINE_MAX_BYTES + 1);
	ck_assert_int_eq(line_find_next(&in, 0, &len, &len_with_crlf),
			 LINE_INVALID);
	pg_buffer_finish(&in);
}
END_TEST

/* Guards against a statement that is parsed as another one. */
START_TEST(test_statements)
{
	static const struct {
		const char *line;
		enum statement_verb verb;
		const char *name;
		const char *value;
	} cases[] = {
		{ "QUERY 1f BEGIN", STATEMENT_BEGIN },
		{ "QUERY 1f BEGIN READ", STATEMENT_BEGIN_READ },
		{ "QUERY 1f BEGIN WRITE", STATEMENT_UNKNOWN },
		{ "QUERY 1f COMMIT", STATEMENT_COMMIT },
		{ "QUERY 1f COMMIT x", STATEMENT_UNKNOWN },
		{ "QUERY 1f ROLLBACK", STATEMENT_ROLLBACK },
		{ "QUERY 1f READ 1a4", STATEMENT_READ },
		{ "QUERY 1f READ", STATEMENT_UNKNOWN },
		{ "QUERY 1f WRITE 1a4 some data", STATEMENT_WRITE },
		{ "QUERY 1f SET zone a b c", STATEMENT_SET, "zone", "a b c" },
		{ "QUERY 1f PREPARE s1 WRITE q2 c", STATEMENT_PREPARE, "s1",
		  "q2 c" },
		{ "QUERY 1f PREPARE s1 DROP q2c", STATEMENT_UNKNOWN },
		{ "QUERY 1f EXEC s1 1a4 data", STATEMENT_EXECUTE, "s1",
		  "1a4 data" },
		{ "QUERY 1f DEALLOC s1", STATEMENT_DEALLOCATE, "s1" },
		{ "QUERY 1f STATUS", STATEMENT_UNKNOWN },
		{ "QUERY 1f PAUSE 7", STATEMENT_UNKNOWN },
		{ "QUERY 1f AFTER 3.1 READ 1a4", STATEMENT_UNKNOWN },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct statement st;

		ck_assert(line_parse_query(cases[i].line, &st));
		ck_assert_int_eq(st.verb, cases[i].verb);
		ck_assert_str_eq(st.id, "1f");
		ck_assert_str_eq(st.text, cases[i].line + strlen("QUERY 1f "));
		if (cases[i].name)
			ck_assert_str_eq(st.name, cases[i].name);
		if (cases[i].value)
			ck_assert_str_eq(st.value, cases[i].value);
		statement_clear(&st);
	}
}
END_TEST

/*
 * Guards against malformed lines, and against a caller that uses the id "-",
 * which is reserved for commands of the daemon itself.
 */
START_TEST(test_bad_queries)
{
	static const char *const lines[] = { "QUERY",	  "QUERY 1",
					     "QUERY  x",  "QUERY - READ 1",
					     "START a b", "QUERYX 1 READ 1" };
	struct statement st;
	char *database, *key;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(lines); i++)
		ck_assert(!line_parse_query(lines[i], &st));
	ck_assert(!line_parse_start("START", &database, &key));
	ck_assert(!line_parse_start("START ", &database, &key));
	ck_assert(!line_parse_start("QUERY 1 READ 2", &database, &key));
	ck_assert(line_parse_start("START lepu270 u3f1", &database, &key));
	ck_assert_str_eq(key, "u3f1");
	ck_assert_str_eq(database, "lepu270");
	g_free(database);
	g_free(key);
}
END_TEST

/*
 * Guards against a command whose text is altered, that lacks its minimum
 * position, or that uses the caller's name of a prepared statement instead of
 * the name on the upstream connection.
 */
START_TEST(test_commands)
{
	struct statement read, execute;
	struct link_command command = { .verb = LINK_FORWARD };
	struct pg_buffer out;
	char *text;

	pg_buffer_init(&out);
	ck_assert(line_parse_query("QUERY 5c READ 1a4", &read));
	ck_assert(line_parse_query("QUERY 5d EXEC s1 1a4 x y", &execute));
	command.statement = &read;
	line_append_command(&out, &command);
	command.min_position = (struct position){ 3, 1207 };
	line_append_command(&out, &command);
	command.min_position.term = 0;
	command.statement = &execute;
	command.name = "wab";
	line_append_command(&out, &command);
	command = (struct link_command){ .verb = LINK_BEGIN_READ,
					 .min_position = { 3, 9 } };
	line_append_command(&out, &command);
	command = (struct link_command){ .verb = LINK_PREPARE,
					 .name = "wab",
					 .value = "q2c",
					 .writes = true };
	line_append_command(&out, &command);
	text = take_output(&out);
	ck_assert_str_eq(text, "QUERY 5c READ 1a4\r\n"
			       "QUERY 5c AFTER 3.1207 READ 1a4\r\n"
			       "QUERY 5d EXEC wab 1a4 x y\r\n"
			       "QUERY - AFTER 3.9 BEGIN READ\r\n"
			       "QUERY - PREPARE wab WRITE q2c\r\n");
	g_free(text);
	statement_clear(&read);
	statement_clear(&execute);
	pg_buffer_finish(&out);
}
END_TEST

/*
 * Guards against an answer that is forwarded before it is complete or together
 * with bytes that do not belong to it: every proper prefix is incomplete.
 */
START_TEST(test_answers)
{
	static const char input[] = "ROW a b\r\nROW c\r\nDONE 7.1f\r\n"
				    "READY T 3.1209\r\n";
	struct line_reader reader = { 0 };
	struct statement_answer answer;
	size_t i;

	pg_buffer_init(&in);
	for (i = 0; i + 1 < sizeof(input) - 1; i++) {
		pg_buffer_append(&in, &input[i], 1);
		ck_assert_int_eq(line_parse_answer(&reader, &in, &answer),
				 LINE_INCOMPLETE);
	}
	append_input("\n");
	ck_assert_int_eq(line_parse_answer(&reader, &in, &answer),
			 LINE_COMPLETE);
	ck_assert_int_eq(answer.refusal, REFUSAL_NONE);
	ck_assert_int_eq(answer.state, SESSION_IN_TRANSACTION);
	ck_assert_uint_eq(answer.position.term, 3);
	ck_assert_uint_eq(answer.position.lsn, 1209);
	ck_assert_uint_eq(answer.len,
			  strlen("ROW a b\r\nROW c\r\nDONE 7.1f\r\n"));
	line_consume_answer(&reader, &in);
	ck_assert_uint_eq(pg_buffer_length(&in), 0);
	append_input("ERR LAGGING too old\r\nREADY I 3.7\r\n");
	ck_assert_int_eq(line_parse_answer(&reader, &in, &answer),
			 LINE_COMPLETE);
	ck_assert_int_eq(answer.refusal, REFUSAL_BEHIND);
	ck_assert_ptr_null(answer.result);
	line_consume_answer(&reader, &in);
	append_input("DONE 1\r\nDONE 2\r\nREADY I -\r\n");
	ck_assert_int_eq(line_parse_answer(&reader, &in, &answer),
			 LINE_INVALID);
	pg_buffer_finish(&in);
}
END_TEST

/* Guards against a received position that is read from another field. */
START_TEST(test_status)
{
	static const char row[] =
		"ROW replica 4 3.1209 0 12 2 17\r\nDONE -\r\n";
	struct statement_answer answer = { .result = (const uint8_t *)row,
					   .len = sizeof(row) - 1 };
	struct upstream_status status;

	ck_assert(line_parse_status(&answer, &status));
	ck_assert(!status.primary);
	ck_assert_uint_eq(status.term, 4);
	ck_assert_uint_eq(status.received.term, 3);
	ck_assert_uint_eq(status.received.lsn, 1209);
	answer.len = 10;
	ck_assert(!line_parse_status(&answer, &status));
	answer.result = NULL;
	ck_assert(!line_parse_status(&answer, &status));
}
END_TEST

/*
 * Guards against an error code, unknown or ambiguous, that is taken for proof
 * that the statement was not executed, which would allow a retry.
 */
START_TEST(test_codes)
{
	enum refusal r;

	for (r = REFUSAL_BUSY; r < REFUSAL_NR; r++)
		ck_assert_int_eq(line_parse_refusal(line_refusal_code(r)), r);
	ck_assert(!refusal_had_no_effect(line_parse_refusal("NEWCODE")));
	ck_assert(!refusal_had_no_effect(line_parse_refusal("TIMEOUT")));
	ck_assert(!refusal_had_no_effect(line_parse_refusal("INDOUBT")));
	ck_assert(!refusal_had_no_effect(line_parse_refusal("FAILED")));
	ck_assert(refusal_had_no_effect(line_parse_refusal("BUSY")));
}
END_TEST

/* Guards against a malformed position that is accepted or misread. */
START_TEST(test_positions)
{
	struct position p;

	ck_assert(line_parse_position("3.1207", &p));
	ck_assert_uint_eq(p.term, 3);
	ck_assert_uint_eq(p.lsn, 1207);
	ck_assert(!line_parse_position("-", &p));
	ck_assert_uint_eq(p.term, 0);
	ck_assert(!line_parse_position("3", &p));
	ck_assert(!line_parse_position("3.", &p));
	ck_assert(!line_parse_position("3.4x", &p));
	ck_assert(!line_parse_position("4294967296.1", &p));
}
END_TEST

TEST_MAIN("line", test_lines, test_endless_line, test_statements,
	  test_bad_queries, test_commands, test_answers, test_status,
	  test_codes, test_positions)
