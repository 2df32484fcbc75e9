#include "channel.h"
#include "fuzz.h"

#include <sys/socket.h>
#include <unistd.h>

/* Below the size of the seeds, so that the group's limit takes effect. */
#define MAX_HELD_BYTES 20000u

static unsigned nr_messages;
static unsigned nr_closed;

static void on_message(struct channel *ch, const Wire__Envelope *envelope)
{
	nr_messages++;
	channel_send(ch, envelope);
}

static void on_closed(struct channel *ch)
{
	nr_closed++;
}

static const struct channel_events events = {
	.message = on_message,
	.closed = on_closed,
};

/* Frames from outside are read, answered or end the connection, and what a
 * channel is counted with in its group is released. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	const struct server_limits limits = { .max_bytes = MAX_HELD_BYTES,
					      .body_us = 1000000 };
	struct ev_loop *loop = ev_default_loop(EVBACKEND_EPOLL);
	struct channel_group group;
	struct channel ch = { 0 };
	size_t sent = 0;
	int fds[2];

	g_assert(!socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, fds));
	nr_messages = nr_closed = 0;
	channel_group_init(&group, &limits);
	channel_accept(&ch, loop, fds[0], &events, NULL);
	channel_join_group(&ch, &group);
	while (sent < size && !nr_closed) {
		ssize_t n = send(fds[1], data + sent, MIN(size - sent, 97),
				 MSG_NOSIGNAL);

		if (n <= 0)
			break;
		sent += (size_t)n;
		ev_run(loop, EVRUN_NOWAIT);
		channel_group_check(&group, (int64_t)sent);
	}
	g_assert_cmpuint(nr_closed, <=, 1);
	g_assert_cmpuint(nr_messages, <=, size / 4);
	g_assert(!nr_closed == stream_is_open(&ch.stream));
	channel_close(&ch);
	g_assert_cmpuint(group.channels->len, ==, 0);
	g_assert_cmpuint(group.bytes, ==, 0);
	channel_group_finish(&group);
	close(fds[1]);
	return 0;
}
