#ifndef PG_FRAME_H
#define PG_FRAME_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * DOC: Framing of the PostgreSQL wire protocol, version 3.
 *
 * A frame is one type byte (absent in the start-up packet), a 32-bit length
 * in network byte order that includes itself, and the payload. The module is
 * used for both callers and upstreams. See chapter "Frontend/Backend Protocol"
 * of the PostgreSQL documentation.
 */

#define PG_PROTOCOL_3_0 196608u
#define PG_CANCEL_REQUEST_CODE 80877102u
#define PG_SSL_REQUEST_CODE 80877103u
#define PG_GSSENC_REQUEST_CODE 80877104u

/** Maximum size of a start-up packet, in bytes, as in PostgreSQL. */
#define PG_STARTUP_MAX_BYTES 10000u
/** Maximum size of a frame from a caller, in bytes. */
#define PG_FRAME_MAX_BYTES (16u * 1024 * 1024)

/**
 * struct pg_buffer - growable byte queue
 * @data: allocated memory
 * @start: offset of the first unread byte
 * @end: offset past the last byte
 * @size: allocated size, in bytes
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
/** pg_buffer_reserve() - return space to which @len bytes can be written */
uint8_t *pg_buffer_reserve(struct pg_buffer *buf, size_t len);
/** pg_buffer_commit() - append @len bytes written to reserved space */
void pg_buffer_commit(struct pg_buffer *buf, size_t len);
/** pg_buffer_consume() - drop @len bytes; an emptied large buffer is freed */
void pg_buffer_consume(struct pg_buffer *buf, size_t len);

/**
 * struct pg_frame - one frame inside a buffer
 * @type: type byte, 0 for a start-up packet
 * @payload: first byte after the length
 * @payload_len: length of the payload, in bytes
 * @frame_len: length of the whole frame, in bytes
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
 * pg_frame_peek() - parse the first frame in @len bytes without consuming it
 * @max: maximum size of the frame, in bytes
 * @frame: set if PG_FRAME_READY is returned; if only the header is complete,
 *         @type and @frame_len are set and PG_FRAME_INCOMPLETE is returned
 */
enum pg_frame_status pg_frame_peek(const uint8_t *data, size_t len, size_t max,
				   struct pg_frame *frame);
enum pg_frame_status pg_frame_peek_startup(const uint8_t *data, size_t len,
					   struct pg_frame *frame);

/**
 * struct pg_reader - bounds-checked reader of one payload
 * @at: next byte to read
 * @end: end of the payload
 * @failed: set by the first read past the end; later reads return 0, NULL or ""
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
/** pg_read_string() - read a NUL-terminated string; "" on error */
const char *pg_read_string(struct pg_reader *r);
const uint8_t *pg_read_bytes(struct pg_reader *r, size_t len);

/** pg_frame_begin() - start a frame of @type; pg_frame_end() fills in its
 * length */
size_t pg_frame_begin(struct pg_buffer *out, char type);
void pg_frame_end(struct pg_buffer *out, size_t begin);
void pg_put_u8(struct pg_buffer *out, uint8_t v);
void pg_put_u16(struct pg_buffer *out, uint16_t v);
void pg_put_u32(struct pg_buffer *out, uint32_t v);
void pg_put_string(struct pg_buffer *out, const char *s);

/* Complete messages. */
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
 * pg_error_field() - find a field of an ErrorResponse or NoticeResponse
 * @field: field type, such as 'C' for the SQLSTATE or 'M' for the message
 * Return: field value inside @payload, NULL if absent or malformed
 */
const char *pg_error_field(const uint8_t *payload, size_t len, char field);

#endif
