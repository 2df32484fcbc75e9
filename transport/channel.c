#include "channel.h"

#include "clock.h"
#include "event_log.h"
#include "net.h"

#include <arpa/inet.h>
#include <jansson.h>
#include <string.h>

/* Length of the envelope, bytes, in network byte order. */
#define FRAME_HEADER_LEN 4u

static void close_and_notify(struct channel *ch)
{
	stream_close(&ch->stream);
	ch->events->closed(ch);
}

static void on_opened(void *data)
{
	struct channel *ch = data;

	ch->attempts = 0;
	stream_flush(&ch->stream);
	if (ch->events->opened)
		ch->events->opened(ch);
}

/*
 * Reads one frame from the input buffer and reports its envelope.
 * Return: false if the frame is incomplete or the channel was closed
 */
static bool process_frame(struct channel *ch)
{
	struct pg_buffer *in = &ch->stream.in;
	Wire__Envelope *envelope;
	uint32_t len;

	if (pg_buffer_length(in) < FRAME_HEADER_LEN)
		return false;
	memcpy(&len, pg_buffer_head(in), FRAME_HEADER_LEN);
	len = ntohl(len);
	if (!len || len > CHANNEL_FRAME_MAX_BYTES) {
		ch->malformed++;
		close_and_notify(ch);
		return false;
	}
	if (pg_buffer_length(in) < FRAME_HEADER_LEN + len)
		return false;
	envelope = wire__envelope__unpack(
		NULL, len, pg_buffer_head(in) + FRAME_HEADER_LEN);
	pg_buffer_consume(in, FRAME_HEADER_LEN + len);
	if (!envelope) {
		ch->malformed++;
		return true;
	}
	ch->events->message(ch, envelope);
	wire__envelope__free_unpacked(envelope, NULL);
	return stream_is_open(&ch->stream);
}

static void on_input(void *data)
{
	struct channel *ch = data;

	while (process_frame(ch))
		;
}

static void on_closed(int err, void *data)
{
	close_and_notify(data);
}

static const struct stream_events stream_events = {
	.opened = on_opened,
	.input = on_input,
	.closed = on_closed,
};

static void attach_socket(struct channel *ch, struct ev_loop *loop, int fd,
			  bool connecting, const struct channel_events *events,
			  void *data)
{
	net_set_user_timeout(fd, CHANNEL_USER_TIMEOUT_MS);
	ch->events = events;
	ch->data = data;
	ch->dropped = 0;
	ch->malformed = 0;
	stream_init(&ch->stream, loop, fd, connecting, &stream_events, ch);
}

static int64_t connect_timeout_us(const struct channel *ch)
{
	return ch->attempts % CHANNEL_CONNECT_LONG_EVERY ?
		       CHANNEL_CONNECT_TIMEOUT_US :
		       CHANNEL_CONNECT_LONG_TIMEOUT_US;
}

void channel_connect(struct channel *ch, struct ev_loop *loop, uint32_t ip,
		     uint16_t port, const struct channel_events *events,
		     void *data, int64_t *next_us)
{
	struct stream *stream = &ch->stream;
	int64_t now_us = clock_now_us();
	char host[NET_IP_TEXT_SIZE];
	int fd;

	if (stream_is_open(stream) && stream->connecting &&
	    now_us >= *next_us - CHANNEL_RETRY_INTERVAL_US +
			      connect_timeout_us(ch))
		channel_close(ch);
	if (stream_is_open(stream) || now_us < *next_us)
		return;
	*next_us = now_us + CHANNEL_RETRY_INTERVAL_US;
	ch->attempts++;
	net_format_ip(ip, host);
	fd = net_connect(host, port);
	if (fd >= 0)
		attach_socket(ch, loop, fd, true, events, data);
	else
		event_log("peer_unreachable", "{s:s}", "address", host);
}

void channel_accept(struct channel *ch, struct ev_loop *loop, int fd,
		    const struct channel_events *events, void *data)
{
	attach_socket(ch, loop, fd, false, events, data);
}

void channel_send(struct channel *ch, const Wire__Envelope *envelope)
{
	size_t len = wire__envelope__get_packed_size(envelope);
	struct pg_buffer *out = &ch->stream.out;
	uint32_t header = htonl((uint32_t)len);
	uint8_t *dest;

	if (!stream_is_open(&ch->stream) || len > CHANNEL_FRAME_MAX_BYTES ||
	    pg_buffer_length(out) + len > CHANNEL_QUEUE_MAX_BYTES) {
		ch->dropped++;
		return;
	}
	pg_buffer_append(out, &header, FRAME_HEADER_LEN);
	dest = pg_buffer_reserve(out, len);
	wire__envelope__pack(envelope, dest);
	pg_buffer_commit(out, len);
	stream_flush(&ch->stream);
}

void channel_close(struct channel *ch)
{
	stream_close(&ch->stream);
}
