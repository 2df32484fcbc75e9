#include "channel.h"

#include "clock.h"
#include "event_log.h"
#include "net.h"

#include <arpa/inet.h>
#include <jansson.h>
#include <string.h>

/* Length of the envelope, bytes, in network byte order. */
#define FRAME_HEADER_LEN 4u

static void leave_group(struct channel *ch)
{
	if (!stream_is_open(&ch->stream) || !ch->group)
		return;
	g_ptr_array_remove_fast(ch->group->channels, ch);
	ch->group->bytes -= MIN(ch->group->bytes, ch->holder.bytes);
	ch->group = NULL;
}

static void close_and_notify(struct channel *ch)
{
	leave_group(ch);
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

/* Memory that one envelope may still take. */
struct decode_budget {
	size_t left;
};

static void *budget_alloc(void *data, size_t size)
{
	struct decode_budget *budget = data;

	if (size > budget->left)
		return NULL;
	budget->left -= size;
	/* NULL would count as a failure, also for an empty field. */
	return g_try_malloc(MAX(size, 1));
}

static void budget_free(void *data, void *pointer)
{
	g_free(pointer);
}

/*
 * Reads one frame from the input buffer and reports its envelope.
 * Return: false if the frame is incomplete or the channel was closed
 */
static bool process_frame(struct channel *ch)
{
	struct pg_buffer *in = &ch->stream.in;
	struct decode_budget budget = { CHANNEL_DECODED_MAX_BYTES };
	ProtobufCAllocator allocator = { budget_alloc, budget_free, &budget };
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
		&allocator, len, pg_buffer_head(in) + FRAME_HEADER_LEN);
	pg_buffer_consume(in, FRAME_HEADER_LEN + len);
	if (!envelope) {
		ch->malformed++;
		return true;
	}
	ch->events->message(ch, envelope);
	wire__envelope__free_unpacked(envelope, &allocator);
	ch->holder.since_us = 0;
	return stream_is_open(&ch->stream);
}

/* Determines anew what the channel holds; the output is written later without
 * a notice. */
static void update_holder(struct channel *ch, int64_t now_us)
{
	struct server_holder *holder = &ch->holder;
	bool half = pg_buffer_length(&ch->stream.in);
	bool unread = pg_buffer_length(&ch->stream.out);
	size_t bytes = (half ? ch->stream.in.size : 0) +
		       (unread ? ch->stream.out.size : 0);

	ch->group->bytes += bytes - holder->bytes;
	holder->bytes = bytes;
	if (!half && !unread)
		holder->since_us = 0;
	else if (!holder->since_us)
		holder->since_us = now_us;
	/* Idle channels hold nothing worth closing them for. */
	holder->phase = half   ? SERVER_BODY :
			unread ? SERVER_ANSWER :
				 SERVER_HANDLER;
}

static void limit_input(struct channel *ch)
{
	update_holder(ch, clock_now_us());
	if (ch->holder.phase != SERVER_BODY || ch->stream.paused ||
	    server_limits_read(&ch->group->limits, ch->group->bytes, 0) ==
		    SERVER_READ)
		return;
	ch->group->paused++;
	stream_pause(&ch->stream, true);
}

static void on_input(void *data)
{
	struct channel *ch = data;

	while (process_frame(ch))
		;
	/* The owner frees no channel of a group in its callbacks. */
	if (ch->group)
		limit_input(ch);
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
	ch->group = NULL;
	memset(&ch->holder, 0, sizeof(ch->holder));
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

void channel_group_init(struct channel_group *group,
			const struct server_limits *limits)
{
	memset(group, 0, sizeof(*group));
	group->limits = *limits;
	group->channels = g_ptr_array_new();
}

void channel_group_finish(struct channel_group *group)
{
	g_ptr_array_free(group->channels, TRUE);
}

void channel_join_group(struct channel *ch, struct channel_group *group)
{
	ch->group = group;
	ch->holder.phase = SERVER_HANDLER;
	g_ptr_array_add(group->channels, ch);
}

static void close_overdue(struct channel_group *group, int64_t now_us)
{
	guint i = group->channels->len;

	/* From the last one on, as the last one takes the place of each. */
	while (i-- > 0) {
		struct channel *ch = group->channels->pdata[i];

		update_holder(ch, now_us);
		if (ch->holder.phase != SERVER_BODY ||
		    !server_limits_is_overdue(&group->limits, &ch->holder,
					      now_us))
			continue;
		group->timed_out++;
		close_and_notify(ch);
	}
}

/* Return: false if no channel may be closed. */
static bool close_largest(struct channel_group *group, int64_t now_us)
{
	guint nr = group->channels->len;
	struct server_holder *holders = g_new(struct server_holder, nr + 1);
	int victim;
	guint i;

	for (i = 0; i < nr; i++)
		holders[i] =
			((struct channel *)group->channels->pdata[i])->holder;
	victim = server_limits_victim(holders, nr, now_us);
	g_free(holders);
	if (victim < 0)
		return false;
	group->closed++;
	close_and_notify(group->channels->pdata[victim]);
	return true;
}

void channel_group_check(struct channel_group *group, int64_t now_us)
{
	guint i;

	close_overdue(group, now_us);
	while (group->bytes > group->limits.max_bytes &&
	       close_largest(group, now_us))
		;
	if (group->bytes > group->limits.max_bytes)
		return;
	for (i = 0; i < group->channels->len; i++)
		stream_pause(
			&((struct channel *)group->channels->pdata[i])->stream,
			false);
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
	if (ch->group)
		update_holder(ch, clock_now_us());
}

void channel_close(struct channel *ch)
{
	leave_group(ch);
	stream_close(&ch->stream);
}
