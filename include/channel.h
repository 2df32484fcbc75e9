#ifndef CHANNEL_H
#define CHANNEL_H

#include "messages.pb-c.h"
#include "server_limits.h"
#include "stream.h"

#include <glib.h>

/**
 * DOC: Messages between processes of a deployment over one TCP connection.
 *
 * A frame is a length, four bytes in network byte order, followed by one
 * Envelope. Either side may send at any time. The TCP user timeout closes the
 * connection to a peer that stops reading or acknowledging; messages that were
 * not sent are then lost.
 */

/** Largest envelope, bytes: a log entry or snapshot chunk and its header. */
#define CHANNEL_FRAME_MAX_BYTES (2u * 1024 * 1024)
/** Most output queued for a slow peer, bytes; further messages are dropped. */
#define CHANNEL_QUEUE_MAX_BYTES (8u * 1024 * 1024)
/** Time after which unacknowledged data closes a connection, milliseconds. */
#define CHANNEL_USER_TIMEOUT_MS 600

/**
 * Least time between the starts of two connection attempts, microseconds. It is
 * short because the election and the first callers after a full outage wait for
 * these connections.
 */
#define CHANNEL_RETRY_INTERVAL_US (40 * 1000ll)
/**
 * Timeout of one connection attempt, microseconds: ten round trips within a
 * region. A new attempt is faster than the kernel, which resends a SYN that a
 * powered-off VM did not answer only after 1 s.
 */
#define CHANNEL_CONNECT_TIMEOUT_US (50 * 1000ll)
/** Timeout of each CHANNEL_CONNECT_LONG_EVERY-th attempt: for far regions. */
#define CHANNEL_CONNECT_LONG_TIMEOUT_US (400 * 1000ll)
#define CHANNEL_CONNECT_LONG_EVERY 8

/** Most memory that one envelope takes when decoded, bytes: empty submessages
 * of two bytes each would take 40 times the size of their frame. */
#define CHANNEL_DECODED_MAX_BYTES (8u * CHANNEL_FRAME_MAX_BYTES)

struct channel;

/**
 * struct channel_group - accepted channels that share limits
 * @limits: @max_bytes applies to half frames and unread output of all channels,
 *          @body_us to a half frame; the others are not used
 * @channels: the open channels
 * @bytes: what they held at the last check
 * @paused: how often a channel had to wait for memory
 * @closed: channels closed for others
 * @timed_out: channels closed because of a half frame
 */
struct channel_group {
	struct server_limits limits;
	GPtrArray *channels;
	size_t bytes;
	uint64_t paused;
	uint64_t closed;
	uint64_t timed_out;
};

/**
 * struct channel_events - callbacks of a channel
 * @opened: the connection was established; may be NULL
 * @message: an envelope arrived; it is freed after the call
 * @closed: the peer closed the connection, or it failed; the socket is already
 *          closed
 */
struct channel_events {
	void (*opened)(struct channel *ch);
	void (*message)(struct channel *ch, const Wire__Envelope *envelope);
	void (*closed)(struct channel *ch);
};

/**
 * struct channel - one connection
 * @attempts: connection attempts since the last successful one
 * @dropped: messages not queued: closed, too large or queue full
 * @malformed: frames that could not be decoded
 * @group: NULL if it has no common limits
 * @holder: what it holds, for @group
 */
struct channel {
	struct stream stream;
	const struct channel_events *events;
	void *data;
	unsigned attempts;
	uint64_t dropped;
	uint64_t malformed;
	struct channel_group *group;
	struct server_holder holder;
};

/**
 * channel_connect() - connect unless connected
 * @ip: IPv4 address, host byte order
 * @next_us: earliest time of the next attempt, stored by the caller; 0 at first
 *
 * To be called periodically. An attempt that takes longer than
 * CHANNEL_CONNECT_TIMEOUT_US, for every CHANNEL_CONNECT_LONG_EVERY-th attempt
 * CHANNEL_CONNECT_LONG_TIMEOUT_US, is aborted and a new one started.
 */
void channel_connect(struct channel *ch, struct ev_loop *loop, uint32_t ip,
		     uint16_t port, const struct channel_events *events,
		     void *data, int64_t *next_us);
/** channel_accept() - open a channel on an accepted socket */
void channel_accept(struct channel *ch, struct ev_loop *loop, int fd,
		    const struct channel_events *events, void *data);
void channel_group_init(struct channel_group *group,
			const struct server_limits *limits);
/** channel_group_finish() - to be called after its channels were closed */
void channel_group_finish(struct channel_group *group);
/** channel_join_group() - apply the limits of @group to an accepted channel */
void channel_join_group(struct channel *ch, struct channel_group *group);
/**
 * channel_group_check() - close channels whose half frame is overdue, and the
 *                         one that has held most for the longest if all
 *                         together hold too much
 *
 * To be called ten times a second. Calls @closed of the channels it closes,
 * which must not free them.
 */
void channel_group_check(struct channel_group *group, int64_t now_us);
/** channel_send() - send or queue a message; dropped if closed or queue full */
void channel_send(struct channel *ch, const Wire__Envelope *envelope);
/** channel_close() - close without calling @closed; idempotent */
void channel_close(struct channel *ch);

/** channel_is_open() - whether the connection is established */
static inline bool channel_is_open(const struct channel *ch)
{
	return stream_is_open(&ch->stream) && !ch->stream.connecting;
}

#endif
