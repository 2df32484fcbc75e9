#include "comfreywheeld/position_query.h"
#include "comfreywheeld/statements.h"
#include "test_main.h"

#include <string.h>

static void put_row(struct pg_buffer *out, const char *const *columns, int nr)
{
	int i;

	pg_put_u16(out, nr);
	for (i = 0; i < nr; i++) {
		if (!columns[i]) {
			pg_put_u32(out, UINT32_MAX);
			continue;
		}
		pg_put_u32(out, strlen(columns[i]));
		pg_buffer_append(out, columns[i], strlen(columns[i]));
	}
}

static bool parse_row(const char *const *columns, int nr,
		      struct position_row *row)
{
	struct pg_buffer buf;
	bool ok;

	pg_buffer_init(&buf);
	put_row(&buf, columns, nr);
	ok = position_row_parse(pg_buffer_head(&buf), pg_buffer_length(&buf),
				row);
	pg_buffer_finish(&buf);
	return ok;
}

START_TEST(test_position_row)
{
	static const char *const primary[] = { "f", "00000002", "1/A0",
					       "1/A0" };
	static const char *const replica[] = { "t", "1f", "0/20", "0/10" };
	struct position_row row;

	ck_assert(parse_row(primary, 4, &row));
	ck_assert(!row.in_recovery);
	ck_assert_uint_eq(row.received.term, 2);
	ck_assert_uint_eq(row.received.lsn, 0x1000000A0);
	ck_assert(parse_row(replica, 4, &row));
	ck_assert(row.in_recovery);
	ck_assert_uint_eq(row.replayed.term, 31);
	ck_assert_uint_eq(row.received.lsn, 0x20);
	ck_assert_uint_eq(row.replayed.lsn, 0x10);
}
END_TEST

/* Guards against acknowledging a commit by a position that was not told. */
START_TEST(test_position_row_refused)
{
	static const char *const rows[][4] = {
		{ "t", NULL, "0/20", "0/10" },
		{ "t", "1", NULL, "0/10" },
		{ "t", "1", "0/20", NULL },
		{ NULL, "1", "0/20", "0/10" },
		{ "x", "1", "0/20", "0/10" },
		{ "t", "0", "0/20", "0/10" },
		{ "t", "1g", "0/20", "0/10" },
		{ "t", "123456789", "0/2", "0/1" },
		{ "t", "1", "20", "0/10" },
		{ "t", "", "0/20", "0/10" },
	};
	struct position_row row;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++)
		ck_assert_msg(!parse_row(rows[i], 4, &row), "row %zu", i);
	ck_assert(!parse_row(rows[0], 3, &row));
}
END_TEST

START_TEST(test_position_row_truncated)
{
	static const char *const columns[] = { "f", "2", "1/A0", "1/A0" };
	struct position_row row;
	struct pg_buffer buf;
	size_t len;

	pg_buffer_init(&buf);
	put_row(&buf, columns, 4);
	for (len = 0; len < pg_buffer_length(&buf); len++)
		ck_assert(!position_row_parse(pg_buffer_head(&buf), len, &row));
	pg_put_u8(&buf, 0);
	ck_assert(!position_row_parse(pg_buffer_head(&buf),
				      pg_buffer_length(&buf), &row));
	pg_buffer_finish(&buf);
}
END_TEST

/* struct fixture - one upstream connection and one prepared statement */
struct fixture {
	struct statement_table table;
	struct parsed_statements parsed;
	struct statement *st;
	GPtrArray *used;
	struct pg_buffer out;
};

static void setup(struct fixture *f)
{
	static const uint8_t body[] = "SELECT 1\0\0";
	struct sql_class class = { .kind = SQL_READ };

	statement_table_init(&f->table);
	parsed_statements_init(&f->parsed);
	f->st = statement_intern(&f->table, body, sizeof(body), &class);
	f->used = g_ptr_array_new();
	g_ptr_array_add(f->used, f->st);
	pg_buffer_init(&f->out);
}

static void teardown(struct fixture *f)
{
	pg_buffer_finish(&f->out);
	g_ptr_array_free(f->used, TRUE);
	statement_unref(&f->table, f->st);
	ck_assert_uint_eq(g_hash_table_size(f->table.by_body), 0);
	parsed_statements_finish(&f->parsed);
	statement_table_finish(&f->table);
}

/* Forwards one Bind of the statement; returns the types of what is sent. */
static void forward_bind(struct fixture *f, char *types)
{
	char name[STATEMENT_NAME_MAX];
	struct pg_buffer in;
	struct pg_frame frame;
	size_t begin;

	pg_buffer_init(&in);
	begin = pg_frame_begin(&in, 'B');
	pg_put_string(&in, "");
	pg_put_string(&in, statement_name(f->st->id, name));
	pg_frame_end(&in, begin);
	parsed_statements_forward(&f->parsed, f->used, pg_buffer_head(&in),
				  pg_buffer_length(&in), &f->out);
	pg_buffer_finish(&in);
	while (pg_frame_peek(pg_buffer_head(&f->out), pg_buffer_length(&f->out),
			     PG_FRAME_MAX_BYTES, &frame) == PG_FRAME_READY) {
		*types++ = frame.type;
		pg_buffer_consume(&f->out, frame.frame_len);
	}
	*types = 0;
}

/* Guards against a caller that sees answers to frames it did not send. */
START_TEST(test_statement_is_parsed_once)
{
	struct fixture f;
	char types[8];

	setup(&f);
	forward_bind(&f, types);
	ck_assert_str_eq(types, "PB");
	ck_assert(!parsed_statements_answer(&f.parsed, '1'));
	ck_assert(parsed_statements_answer(&f.parsed, '2'));
	parsed_statements_synced(&f.parsed);
	forward_bind(&f, types);
	ck_assert_str_eq(types, "B");
	teardown(&f);
}
END_TEST

/* Guards against binding to a statement whose Parse failed. */
START_TEST(test_failed_parse_is_repeated)
{
	struct fixture f;
	char types[8];

	setup(&f);
	forward_bind(&f, types);
	parsed_statements_synced(&f.parsed);
	forward_bind(&f, types);
	ck_assert_str_eq(types, "PB");
	teardown(&f);
}
END_TEST

/* Guards against unbounded memory at an upstream. */
START_TEST(test_full_connection_starts_over)
{
	struct fixture f;
	char types[STATEMENTS_MAX + 8];
	uint64_t id;

	setup(&f);
	for (id = 1000; id < 1000 + STATEMENTS_MAX; id++)
		g_hash_table_add(f.parsed.ids, g_memdup2(&id, sizeof(id)));
	forward_bind(&f, types);
	ck_assert_uint_eq(strlen(types), STATEMENTS_MAX + 2);
	ck_assert_int_eq(types[0], 'C');
	ck_assert_str_eq(types + STATEMENTS_MAX, "PB");
	ck_assert(!parsed_statements_answer(&f.parsed, '3'));
	ck_assert(!parsed_statements_answer(&f.parsed, '1'));
	ck_assert_uint_eq(g_hash_table_size(f.parsed.ids), 1);
	teardown(&f);
}
END_TEST

START_TEST(test_equal_statements_are_shared)
{
	static const uint8_t body[] = "SELECT 1\0\0";
	static const uint8_t other[] = "SELECT 2\0\0";
	struct sql_class class = { .kind = SQL_READ };
	struct statement *same, *different;
	struct fixture f;

	setup(&f);
	same = statement_intern(&f.table, body, sizeof(body), &class);
	different = statement_intern(&f.table, other, sizeof(other), &class);
	ck_assert_ptr_eq(same, f.st);
	ck_assert_uint_ne(different->id, f.st->id);
	statement_unref(&f.table, same);
	statement_unref(&f.table, different);
	teardown(&f);
}
END_TEST

TEST_MAIN("upstream_protocol", test_position_row, test_position_row_refused,
	  test_position_row_truncated, test_statement_is_parsed_once,
	  test_failed_parse_is_repeated, test_full_connection_starts_over,
	  test_equal_statements_are_shared)
