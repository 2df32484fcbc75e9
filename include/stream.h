#ifndef STREAM_H
#define STREAM_H

#include "pg_frame.h"
#include <ev.h>
#include <sys/types.h>

/**
 * DOC: Buffered non-blocking socket in an event loop.
 *
 * Memory is bounded by the owner: it pauses reading while what it read cannot
 * be passed on, and watches the length of @out.
 */

/** Output above this makes the source pause, bytes. */
#define STREAM_HIGH (64u * 1024)
/** Output below this lets the source go on, bytes. */
#define STREAM_LOW (16u * 1024)

/**
 * struct stream_events - what a stream reports
 * @opened: the connection attempt succeeded
 * @input: bytes were added to @in; the owner may close and free the stream
 *         if nothing is layered on it
 * @drained: output fell below STREAM_LOW after having been above STREAM_HIGH
 * @closed: the peer closed or the socket failed with errno @err; 0 at the
 *          end of the peer's output. The owner calls stream_close().
 */
struct stream_events {
	void (*opened)(void *data);
	void (*input)(void *data);
	void (*drained)(void *data);
	void (*closed)(int err, void *data);
};

struct stream;

/**
 * struct stream_layer - what stands between a stream and its socket
 * @receive: as recv()
 * @transmit: as send()
 * @end_output: tell the peer that no more will come
 * @pending: whether received bytes wait inside the layer
 * @finish: free the layer's state
 */
struct stream_layer {
	ssize_t (*receive)(struct stream *s, void *data, size_t len);
	ssize_t (*transmit)(struct stream *s, const void *data, size_t len);
	void (*end_output)(struct stream *s);
	bool (*pending)(const struct stream *s);
	void (*finish)(struct stream *s);
};

/**
 * struct stream - one socket
 * @layer: TLS, NULL for plain bytes
 * @layer_state: owned by the layer
 * @stalled_since_us: when output last made progress while some is waiting,
 *                    0 if none waits
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
	bool was_high;
	bool finishing;
	int64_t stalled_since_us;
};

void stream_init(struct stream *s, struct ev_loop *loop, int fd,
		 bool connecting, const struct stream_events *events,
		 void *data);

/** stream_flush() - write what the socket takes now, the rest later */
void stream_flush(struct stream *s);

void stream_pause(struct stream *s, bool paused);

/** stream_is_high() - whether the source of the output should pause */
bool stream_is_high(struct stream *s);

/**
 * stream_finish() - end the output once it is written
 *
 * The input is still read. A socket that is closed with input unread makes
 * the peer's system drop what it has received, the last error included.
 */
void stream_finish(struct stream *s);

/** stream_close() - close the socket and free the buffers; idempotent */
void stream_close(struct stream *s);

static inline bool stream_is_open(const struct stream *s)
{
	return s->fd >= 0;
}

#endif
