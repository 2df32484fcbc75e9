#ifndef CHANNEL_H
#define CHANNEL_H

#include "messages.pb-c.h"
#include "stream.h"

/**
 * DOC: Messages between our processes over one TCP connection.
 *
 * A frame is its length, four bytes in network order, and one Envelope.
 * Either side sends at any time. A peer that stops reading or answering is
 * given up by the TCP user timeout; what was not sent is then lost.
 */

/** Largest frame, bytes: a log entry or snapshot chunk with its head. */
#define CHANNEL_FRAME_MAX (2u * 1024 * 1024)
/** Output that may wait for a slow peer, bytes; later messages are dropped. */
#define CHANNEL_QUEUE_MAX (8u * 1024 * 1024)
/** Unacknowledged data ends a connection after this time, milliseconds. */
#define CHANNEL_USER_TIMEOUT_MS 1500

/** Time between two attempts to connect, microseconds: after a stop of
 * everything an election and the first callers wait for the connections. */
#define CHANNEL_RETRY_US (40 * 1000ll)
/**
 * Time for one attempt, microseconds: a VM without power swallows the opening
 * packet, which the system sends again only after 1 s. Ten round trips inside
 * a region.
 */
#define CHANNEL_CONNECT_US (50 * 1000ll)
/** Time for one attempt in CHANNEL_CONNECT_LONG_IN: for distant regions. */
#define CHANNEL_CONNECT_LONG_US (400 * 1000ll)
#define CHANNEL_CONNECT_LONG_IN 8

struct channel;

/**
 * struct channel_events - what a channel reports
 * @opened: the connection attempt succeeded; may be NULL
 * @message: an envelope arrived; it is freed after the call
 * @closed: the connection is over and already closed
 */
struct channel_events {
	void (*opened)(struct channel *ch);
	void (*message)(struct channel *ch, const Wire__Envelope *envelope);
	void (*closed)(struct channel *ch);
};

/**
 * struct channel - one connection
 * @attempts: attempts to connect since the last one that succeeded
 * @dropped: messages that were not sent
 * @malformed: frames that could not be decoded
 */
struct channel {
	struct stream stream;
	const struct channel_events *events;
	void *data;
	unsigned attempts;
	uint64_t dropped;
	uint64_t malformed;
};

/**
 * channel_dial() - connect unless connected; to be called again and again
 * @ip: IPv4 address, host order
 * @next_us: earliest next attempt, kept by the caller; 0 at first
 *
 * An attempt that takes longer than CHANNEL_CONNECT_US, for some of them
 * CHANNEL_CONNECT_LONG_US, is begun anew.
 */
void channel_dial(struct channel *ch, struct ev_loop *loop, uint32_t ip,
		  uint16_t port, const struct channel_events *events,
		  void *data, int64_t *next_us);
void channel_accept(struct channel *ch, struct ev_loop *loop, int fd,
		    const struct channel_events *events, void *data);
/** channel_send() - send or queue; dropped when closed or full */
void channel_send(struct channel *ch, const Wire__Envelope *envelope);
/** channel_close() - without a report; idempotent */
void channel_close(struct channel *ch);

static inline bool channel_is_open(const struct channel *ch)
{
	return stream_is_open(&ch->stream) && !ch->stream.connecting;
}

#endif
