#ifndef PG_FRAME_H
#define PG_FRAME_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * DOC: Framing of the PostgreSQL protocol, version 3.
 *
 * A frame is one type byte (absent in the start-up packet), a 32-bit length
 * in network order that counts itself, and the payload. The same module
 * serves callers and upstreams. Source: PostgreSQL documentation, chapter
 * "Frontend/Backend Protocol".
 */

#define PG_PROTOCOL_3_0 196608u
#define PG_CANCEL_CODE 80877102u
#define PG_SSL_CODE 80877103u
#define PG_GSS_CODE 80877104u

/** Largest start-up packet accepted, bytes; PostgreSQL uses the same. */
#define PG_STARTUP_MAX 10000u
/** Largest frame a caller may send, bytes. */
#define PG_FRAME_MAX (16u * 1024 * 1024)

/**
 * struct pg_buffer - growable byte queue
 * @data: storage
 * @start: offset of the first unread byte
 * @end: offset past the last byte
 * @size: bytes allocated
 */
struct pg_buffer {
	uint8_t *data;
	size_t start;
	size_t end;
	size_t size;
};

void pg_buffer_init(struct pg_buffer *buf);
void pg_buffer_finish(struct pg_buffer *buf);
size_t pg_buffer_length(const struct pg_buffer *buf);
const uint8_t *pg_buffer_head(const struct pg_buffer *buf);
void pg_buffer_append(struct pg_buffer *buf, const void *data, size_t len);
/** pg_buffer_reserve() - room for @len bytes, to be read into directly */
uint8_t *pg_buffer_reserve(struct pg_buffer *buf, size_t len);
/** pg_buffer_commit() - count @len bytes written after a reserve */
void pg_buffer_commit(struct pg_buffer *buf, size_t len);
/** pg_buffer_consume() - drop @len bytes; frees storage when it is empty */
void pg_buffer_consume(struct pg_buffer *buf, size_t len);

/**
 * struct pg_frame - one frame inside a buffer
 * @type: type byte, 0 for a start-up packet
 * @payload: first byte after the length
 * @payload_len: bytes of payload
 * @frame_len: bytes of the whole frame
 */
struct pg_frame {
	char type;
	const uint8_t *payload;
	size_t payload_len;
	size_t frame_len;
};

enum pg_frame_status {
	PG_FRAME_READY,
	PG_FRAME_INCOMPLETE,
	PG_FRAME_INVALID,
};

/**
 * pg_frame_peek() - look at the first frame of @len bytes
 * @max: largest frame accepted, bytes
 * @frame: set when the status is PG_FRAME_READY; when only the header is
 *         there, @type and @frame_len are set and the status is incomplete
 */
enum pg_frame_status pg_frame_peek(const uint8_t *data, size_t len, size_t max,
				   struct pg_frame *frame);
enum pg_frame_status pg_frame_peek_startup(const uint8_t *data, size_t len,
					   struct pg_frame *frame);

/**
 * struct pg_reader - bounds-checked reader of one payload
 * @failed: set by the first read past the end; later reads return 0 or ""
 */
struct pg_reader {
	const uint8_t *at;
	const uint8_t *end;
	bool failed;
};

void pg_reader_init(struct pg_reader *r, const uint8_t *data, size_t len);
uint8_t pg_read_u8(struct pg_reader *r);
uint16_t pg_read_u16(struct pg_reader *r);
uint32_t pg_read_u32(struct pg_reader *r);
/** pg_read_string() - a zero-terminated string; "" and @failed on error */
const char *pg_read_string(struct pg_reader *r);
const uint8_t *pg_read_bytes(struct pg_reader *r, size_t len);

/** pg_begin() - start a frame of @type; pg_end() fills in its length */
size_t pg_begin(struct pg_buffer *out, char type);
void pg_end(struct pg_buffer *out, size_t begin);
void pg_put_u8(struct pg_buffer *out, uint8_t v);
void pg_put_u16(struct pg_buffer *out, uint16_t v);
void pg_put_u32(struct pg_buffer *out, uint32_t v);
void pg_put_string(struct pg_buffer *out, const char *s);

/** Whole messages used by the daemon, the stand-in and the tests. */
void pg_put_query(struct pg_buffer *out, const char *sql);
void pg_put_startup(struct pg_buffer *out, const char *user,
		    const char *database, const char *application_name);
void pg_put_error(struct pg_buffer *out, const char *severity,
		  const char *sqlstate, const char *message, const char *hint);
void pg_put_ready(struct pg_buffer *out, char status);
void pg_put_command_complete(struct pg_buffer *out, const char *tag);
void pg_put_parameter_status(struct pg_buffer *out, const char *name,
			     const char *value);

/**
 * pg_error_field() - one field of an ErrorResponse or NoticeResponse
 * @field: field type, such as 'C' for the SQLSTATE or 'M' for the message
 * Return: the text inside the payload, NULL if absent or malformed
 */
const char *pg_error_field(const uint8_t *payload, size_t len, char field);

#endif
