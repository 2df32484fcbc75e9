#ifndef STREAM_H
#define STREAM_H

#include "pg_frame.h"
#include <ev.h>
#include <sys/types.h>

/**
 * DOC: Buffered non-blocking socket in an event loop.
 *
 * The owner bounds the memory: it pauses reading while its input cannot be
 * forwarded, and monitors the length of @out.
 */

/** High-water mark: the source of the output pauses above it, bytes. */
#define STREAM_HIGH_WATER_BYTES (64u * 1024)
/** Low-water mark: the source of the output resumes below it, bytes. */
#define STREAM_LOW_WATER_BYTES (16u * 1024)

/**
 * struct stream_events - callbacks of a stream
 * @opened: the connection was established
 * @input: bytes were added to @in; the owner may close and free the stream
 *         if it has no layer
 * @drained: the output fell below STREAM_LOW_WATER_BYTES after it was above
 *           STREAM_HIGH_WATER_BYTES; may be NULL
 * @closed: the socket failed with errno @err, or the peer ended its output if
 *          @err is 0. The owner calls stream_close().
 */
struct stream_events {
	void (*opened)(void *data);
	void (*input)(void *data);
	void (*drained)(void *data);
	void (*closed)(int err, void *data);
};

struct stream;

/**
 * struct stream_layer - protocol between a stream and its socket, such as TLS
 * @receive: like recv()
 * @transmit: like send()
 * @shutdown_output: notify the peer of the end of the output
 * @pending: whether received bytes are buffered in the layer
 * @finish: free the state of the layer
 */
struct stream_layer {
	ssize_t (*receive)(struct stream *s, void *data, size_t len);
	ssize_t (*transmit)(struct stream *s, const void *data, size_t len);
	void (*shutdown_output)(struct stream *s);
	bool (*pending)(const struct stream *s);
	void (*finish)(struct stream *s);
};

/**
 * struct stream - one socket
 * @reader: watches for input; inactive while connecting or paused
 * @writer: watches for a completed connection and for space to write
 * @layer: TLS, NULL without encryption
 * @layer_state: owned by the layer
 * @in: input not consumed by the owner
 * @out: output not written yet
 * @above_high_water: whether to call @drained once @out falls below
 *            STREAM_LOW_WATER_BYTES
 * @shutdown_requested: whether to shut down the output once @out is written
 * @stalled_since_us: time since which pending output makes no progress, 0 if
 *                    no output is pending
 * @account: total to which the size of the buffers is added, NULL for none
 * @accounted: what this stream has added to it, bytes
 */
struct stream {
	struct ev_loop *loop;
	int fd;
	ev_io reader;
	ev_io writer;
	const struct stream_layer *layer;
	void *layer_state;
	struct pg_buffer in;
	struct pg_buffer out;
	const struct stream_events *events;
	void *data;
	bool connecting;
	bool paused;
	bool above_high_water;
	bool shutdown_requested;
	int64_t stalled_since_us;
	size_t *account;
	size_t accounted;
};

void stream_init(struct stream *s, struct ev_loop *loop, int fd,
		 bool connecting, const struct stream_events *events,
		 void *data);

/** stream_flush() - write as much as the socket accepts, the rest later */
void stream_flush(struct stream *s);

/** stream_pause() - stop or resume reading */
void stream_pause(struct stream *s, bool paused);

/**
 * stream_above_high_water() - whether the source of the output should pause
 * Return: true if the output exceeds STREAM_HIGH_WATER_BYTES even after a flush
 */
bool stream_above_high_water(struct stream *s);

/**
 * stream_shutdown_output() - shut down the output once it is written
 *
 * Input is still read: closing a socket with unread input sends a reset, and
 * the peer's kernel then discards received data, such as a final error message.
 */
void stream_shutdown_output(struct stream *s);

/** stream_set_account() - count the buffers in @account until the stream is
 * closed */
void stream_set_account(struct stream *s, size_t *account);

/** stream_update_account() - count the buffers again; the stream does so itself
 * when it reads, writes, pauses and closes */
void stream_update_account(struct stream *s);

/** stream_close() - close the socket and free the buffers; idempotent */
void stream_close(struct stream *s);

static inline bool stream_is_open(const struct stream *s)
{
	return s->fd >= 0;
}

#endif
