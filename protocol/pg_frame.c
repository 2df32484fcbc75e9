#include "pg_frame.h"

#include <string.h>

/* Minimum allocation, in bytes; most frames fit. */
#define BUFFER_MIN_ALLOC 512u
/* An empty buffer larger than this many bytes is freed. */
#define BUFFER_MAX_RETAINED 4096u
#define HEADER_LEN 5u
#define STARTUP_HEADER_LEN 4u

void pg_buffer_init(struct pg_buffer *buf)
{
	memset(buf, 0, sizeof(*buf));
}

void pg_buffer_finish(struct pg_buffer *buf)
{
	g_free(buf->data);
	pg_buffer_init(buf);
}

size_t pg_buffer_length(const struct pg_buffer *buf)
{
	return buf->end - buf->start;
}

const uint8_t *pg_buffer_head(const struct pg_buffer *buf)
{
	return buf->data + buf->start;
}

uint8_t *pg_buffer_reserve(struct pg_buffer *buf, size_t len)
{
	size_t used = pg_buffer_length(buf);

	if (buf->size - buf->end >= len)
		return buf->data + buf->end;
	if (buf->start) {
		memmove(buf->data, buf->data + buf->start, used);
		buf->start = 0;
		buf->end = used;
	}
	if (buf->size - buf->end < len) {
		buf->size =
			MAX(MAX(buf->size * 2, BUFFER_MIN_ALLOC), used + len);
		buf->data = g_realloc(buf->data, buf->size);
	}
	return buf->data + buf->end;
}

void pg_buffer_commit(struct pg_buffer *buf, size_t len)
{
	buf->end += len;
}

void pg_buffer_append(struct pg_buffer *buf, const void *data, size_t len)
{
	if (!len)
		return;
	memcpy(pg_buffer_reserve(buf, len), data, len);
	buf->end += len;
}

void pg_buffer_consume(struct pg_buffer *buf, size_t len)
{
	buf->start += len;
	if (buf->start < buf->end)
		return;
	buf->start = buf->end = 0;
	if (buf->size > BUFFER_MAX_RETAINED)
		pg_buffer_finish(buf);
}

static uint32_t decode_u32(const uint8_t *p)
{
	return (uint32_t)p[0] << 24 | (uint32_t)p[1] << 16 |
	       (uint32_t)p[2] << 8 | p[3];
}

enum pg_frame_status pg_frame_peek(const uint8_t *data, size_t len, size_t max,
				   struct pg_frame *frame)
{
	uint32_t size;

	memset(frame, 0, sizeof(*frame));
	if (len < HEADER_LEN)
		return PG_FRAME_INCOMPLETE;
	size = decode_u32(data + 1);
	if (size < 4 || (size_t)size + 1 > max)
		return PG_FRAME_INVALID;
	frame->type = data[0];
	frame->frame_len = (size_t)size + 1;
	if (len < frame->frame_len)
		return PG_FRAME_INCOMPLETE;
	frame->payload = data + HEADER_LEN;
	frame->payload_len = size - 4;
	return PG_FRAME_READY;
}

enum pg_frame_status pg_frame_peek_startup(const uint8_t *data, size_t len,
					   struct pg_frame *frame)
{
	uint32_t size;

	memset(frame, 0, sizeof(*frame));
	if (len < STARTUP_HEADER_LEN)
		return PG_FRAME_INCOMPLETE;
	size = decode_u32(data);
	if (size < 8 || size > PG_STARTUP_MAX_BYTES)
		return PG_FRAME_INVALID;
	frame->frame_len = size;
	if (len < size)
		return PG_FRAME_INCOMPLETE;
	frame->payload = data + STARTUP_HEADER_LEN;
	frame->payload_len = size - STARTUP_HEADER_LEN;
	return PG_FRAME_READY;
}

void pg_reader_init(struct pg_reader *r, const uint8_t *data, size_t len)
{
	r->at = data;
	r->end = data + len;
	r->failed = false;
}

const uint8_t *pg_read_bytes(struct pg_reader *r, size_t len)
{
	const uint8_t *at = r->at;

	if (r->failed || (size_t)(r->end - r->at) < len) {
		r->failed = true;
		return NULL;
	}
	r->at += len;
	return at;
}

uint8_t pg_read_u8(struct pg_reader *r)
{
	const uint8_t *p = pg_read_bytes(r, 1);

	return p ? p[0] : 0;
}

uint16_t pg_read_u16(struct pg_reader *r)
{
	const uint8_t *p = pg_read_bytes(r, 2);

	return p ? p[0] << 8 | p[1] : 0;
}

uint32_t pg_read_u32(struct pg_reader *r)
{
	const uint8_t *p = pg_read_bytes(r, 4);

	return p ? decode_u32(p) : 0;
}

const char *pg_read_string(struct pg_reader *r)
{
	const uint8_t *zero;
	const char *s;

	if (r->failed || r->at == r->end)
		goto fail;
	zero = memchr(r->at, 0, r->end - r->at);
	if (!zero)
		goto fail;
	s = (const char *)r->at;
	r->at = zero + 1;
	return s;
fail:
	r->failed = true;
	return "";
}

size_t pg_frame_begin(struct pg_buffer *out, char type)
{
	size_t begin;

	if (type)
		pg_put_u8(out, type);
	begin = pg_buffer_length(out);
	pg_put_u32(out, 0);
	return begin;
}

void pg_frame_end(struct pg_buffer *out, size_t begin)
{
	uint8_t *p = out->data + out->start + begin;
	uint32_t size = pg_buffer_length(out) - begin;

	p[0] = size >> 24;
	p[1] = size >> 16;
	p[2] = size >> 8;
	p[3] = size;
}

void pg_put_u8(struct pg_buffer *out, uint8_t v)
{
	pg_buffer_append(out, &v, 1);
}

void pg_put_u16(struct pg_buffer *out, uint16_t v)
{
	uint8_t p[2] = { v >> 8, v };

	pg_buffer_append(out, p, sizeof(p));
}

void pg_put_u32(struct pg_buffer *out, uint32_t v)
{
	uint8_t p[4] = { v >> 24, v >> 16, v >> 8, v };

	pg_buffer_append(out, p, sizeof(p));
}

void pg_put_string(struct pg_buffer *out, const char *s)
{
	pg_buffer_append(out, s, strlen(s) + 1);
}

void pg_put_query(struct pg_buffer *out, const char *sql)
{
	size_t begin = pg_frame_begin(out, 'Q');

	pg_put_string(out, sql);
	pg_frame_end(out, begin);
}

void pg_put_startup(struct pg_buffer *out, const char *user,
		    const char *database, const char *application_name)
{
	size_t begin = pg_frame_begin(out, 0);

	pg_put_u32(out, PG_PROTOCOL_3_0);
	pg_put_string(out, "user");
	pg_put_string(out, user);
	pg_put_string(out, "database");
	pg_put_string(out, database);
	pg_put_string(out, "application_name");
	pg_put_string(out, application_name);
	pg_put_u8(out, 0);
	pg_frame_end(out, begin);
}

static void put_error_field(struct pg_buffer *out, char field, const char *s)
{
	pg_put_u8(out, field);
	pg_put_string(out, s);
}

void pg_put_error(struct pg_buffer *out, const char *severity,
		  const char *sqlstate, const char *message, const char *hint)
{
	size_t begin = pg_frame_begin(out, 'E');

	put_error_field(out, 'S', severity);
	put_error_field(out, 'V', severity);
	put_error_field(out, 'C', sqlstate);
	put_error_field(out, 'M', message);
	if (hint)
		put_error_field(out, 'H', hint);
	pg_put_u8(out, 0);
	pg_frame_end(out, begin);
}

void pg_put_ready(struct pg_buffer *out, char status)
{
	size_t begin = pg_frame_begin(out, 'Z');

	pg_put_u8(out, status);
	pg_frame_end(out, begin);
}

void pg_put_command_complete(struct pg_buffer *out, const char *tag)
{
	size_t begin = pg_frame_begin(out, 'C');

	pg_put_string(out, tag);
	pg_frame_end(out, begin);
}

void pg_put_parameter_status(struct pg_buffer *out, const char *name,
			     const char *value)
{
	size_t begin = pg_frame_begin(out, 'S');

	pg_put_string(out, name);
	pg_put_string(out, value);
	pg_frame_end(out, begin);
}

const char *pg_error_field(const uint8_t *payload, size_t len, char field)
{
	struct pg_reader r;
	const char *text;
	char type;

	pg_reader_init(&r, payload, len);
	while ((type = pg_read_u8(&r))) {
		text = pg_read_string(&r);
		if (r.failed)
			return NULL;
		if (type == field)
			return text;
	}
	return NULL;
}
