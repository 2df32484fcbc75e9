#include "pg_frame.h"
#include "test_main.h"

#include <string.h>

/* Guards against a frame processed before it is complete. */
START_TEST(test_every_prefix_is_incomplete)
{
	struct pg_buffer buf;
	struct pg_frame f;
	size_t i, len;

	pg_buffer_init(&buf);
	pg_put_query(&buf, "SELECT 1");
	len = pg_buffer_length(&buf);
	for (i = 0; i < len; i++)
		ck_assert_int_eq(pg_frame_peek(pg_buffer_head(&buf), i,
					       PG_FRAME_MAX_BYTES, &f),
				 PG_FRAME_INCOMPLETE);
	ck_assert_int_eq(pg_frame_peek(pg_buffer_head(&buf), len,
				       PG_FRAME_MAX_BYTES, &f),
			 PG_FRAME_READY);
	ck_assert_int_eq(f.type, 'Q');
	ck_assert_str_eq((const char *)f.payload, "SELECT 1");
	pg_buffer_finish(&buf);
}
END_TEST

/* Guards against lengths that cause an endless wait or an overrun. */
START_TEST(test_bad_lengths)
{
	const uint8_t small[] = { 'Q', 0, 0, 0, 3, 0 };
	const uint8_t large[] = { 'Q', 0x7f, 0xff, 0xff, 0xff };
	const uint8_t startup[] = { 0, 0, 0, 7, 0, 0, 0 };
	struct pg_frame f;

	ck_assert_int_eq(pg_frame_peek(small, sizeof(small), PG_FRAME_MAX_BYTES,
				       &f),
			 PG_FRAME_INVALID);
	ck_assert_int_eq(pg_frame_peek(large, sizeof(large), PG_FRAME_MAX_BYTES,
				       &f),
			 PG_FRAME_INVALID);
	ck_assert_int_eq(pg_frame_peek_startup(startup, sizeof(startup), &f),
			 PG_FRAME_INVALID);
}
END_TEST

/* Guards against reads past the end of a payload. */
START_TEST(test_reader_bounds)
{
	const uint8_t bytes[] = { 0, 1, 'a', 'b' };
	struct pg_reader r;

	pg_reader_init(&r, bytes, sizeof(bytes));
	ck_assert_uint_eq(pg_read_u16(&r), 1);
	ck_assert_str_eq(pg_read_string(&r), "");
	ck_assert(r.failed);
	ck_assert_uint_eq(pg_read_u32(&r), 0);
	ck_assert_ptr_null(pg_read_bytes(&r, 1));
}
END_TEST

/* Guards against bytes lost when the buffer grows or is compacted. */
START_TEST(test_buffer_keeps_bytes)
{
	struct pg_buffer buf;
	uint8_t next_in = 0, next_out = 0, chunk[97];
	size_t i, round;

	pg_buffer_init(&buf);
	for (round = 0; round < 500; round++) {
		for (i = 0; i < sizeof(chunk); i++)
			chunk[i] = next_in++;
		pg_buffer_append(&buf, chunk, sizeof(chunk));
		for (i = 0; i < round % 120 && pg_buffer_length(&buf); i++) {
			ck_assert_uint_eq(*pg_buffer_head(&buf), next_out++);
			pg_buffer_consume(&buf, 1);
		}
	}
	while (pg_buffer_length(&buf)) {
		ck_assert_uint_eq(*pg_buffer_head(&buf), next_out++);
		pg_buffer_consume(&buf, 1);
	}
	ck_assert_uint_eq(next_in, next_out);
	pg_buffer_finish(&buf);
}
END_TEST

/* Guards against an ErrorResponse whose fields cannot be read back. */
START_TEST(test_error_fields)
{
	struct pg_buffer buf;
	struct pg_frame f;

	pg_buffer_init(&buf);
	pg_put_error(&buf, "ERROR", "0A000", "not supported", "do without");
	ck_assert_int_eq(pg_frame_peek(pg_buffer_head(&buf),
				       pg_buffer_length(&buf),
				       PG_FRAME_MAX_BYTES, &f),
			 PG_FRAME_READY);
	ck_assert_str_eq(pg_error_field(f.payload, f.payload_len, 'C'),
			 "0A000");
	ck_assert_str_eq(pg_error_field(f.payload, f.payload_len, 'H'),
			 "do without");
	ck_assert_ptr_null(pg_error_field(f.payload, f.payload_len, 'W'));
	ck_assert_ptr_null(pg_error_field(f.payload, 3, 'C'));
	pg_buffer_finish(&buf);
}
END_TEST

TEST_MAIN("pg_frame", test_every_prefix_is_incomplete, test_bad_lengths,
	  test_reader_bounds, test_buffer_keeps_bytes, test_error_fields)
