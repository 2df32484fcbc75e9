#include "fuzz.h"
#include "pg_frame.h"

static void read_payload(const struct pg_frame *frame)
{
	static const char fields[] = "SCMHx";
	struct pg_reader r;
	const char *text;
	size_t i;

	for (i = 0; fields[i]; i++) {
		text = pg_error_field(frame->payload, frame->payload_len,
				      fields[i]);
		if (text)
			g_assert_cmpuint(strlen(text), <, frame->payload_len);
	}
	pg_reader_init(&r, frame->payload, frame->payload_len);
	while (!r.failed) {
		text = pg_read_string(&r);
		g_assert_cmpuint(strlen(text), <=, frame->payload_len);
		pg_read_u8(&r);
		pg_read_u16(&r);
		pg_read_bytes(&r, pg_read_u32(&r));
	}
	g_assert_true(r.at <= r.end);
}

static void check_frame(const struct pg_frame *frame, size_t len)
{
	g_assert_cmpuint(frame->frame_len, <=, len);
	g_assert_cmpuint(frame->payload_len, <, frame->frame_len);
	read_payload(frame);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct pg_frame frame;
	size_t at = 0;

	if (pg_frame_peek_startup(data, size, &frame) == PG_FRAME_READY) {
		check_frame(&frame, size);
		at = frame.frame_len;
	}
	while (pg_frame_peek(data + at, size - at, PG_FRAME_MAX_BYTES,
			     &frame) == PG_FRAME_READY) {
		check_frame(&frame, size - at);
		at += frame.frame_len;
	}
	return 0;
}
