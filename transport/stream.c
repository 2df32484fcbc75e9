#include "stream.h"

#include "clock.h"

#include <errno.h>
#include <sys/socket.h>
#include <unistd.h>

/* Size of one read from the socket. */
#define READ_SIZE_BYTES (16u * 1024)

void stream_update_account(struct stream *s)
{
	size_t now = s->in.size + s->out.size;

	if (!s->account)
		return;
	*s->account += now - s->accounted;
	s->accounted = now;
}

void stream_set_account(struct stream *s, size_t *account)
{
	s->account = account;
	stream_update_account(s);
}

static ssize_t receive_input(struct stream *s)
{
	uint8_t *dest = pg_buffer_reserve(&s->in, READ_SIZE_BYTES);

	if (s->layer)
		return s->layer->receive(s, dest, READ_SIZE_BYTES);
	return recv(s->fd, dest, READ_SIZE_BYTES, 0);
}

static ssize_t transmit_output(struct stream *s)
{
	const uint8_t *data = pg_buffer_head(&s->out);
	size_t len = pg_buffer_length(&s->out);

	if (s->layer)
		return s->layer->transmit(s, data, len);
	return send(s->fd, data, len, MSG_NOSIGNAL);
}

/*
 * Schedules a read of bytes that the layer has already decrypted: the kernel
 * does not report the socket as readable for them.
 */
static void schedule_pending_read(struct stream *s)
{
	if (stream_is_open(s) && !s->paused && s->layer && s->layer->pending(s))
		ev_feed_event(s->loop, &s->reader, EV_READ);
}

static void on_readable(struct ev_loop *loop, ev_io *w, int revents)
{
	struct stream *s = w->data;
	ssize_t n = receive_input(s);
	bool layered;

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n <= 0) {
		ev_io_stop(loop, w);
		s->events->closed(n < 0 ? errno : 0, s->data);
		return;
	}
	pg_buffer_commit(&s->in, n);
	stream_update_account(s);
	layered = s->layer;
	s->events->input(s->data);
	/* The owner of a stream without a layer may have freed it in @input. */
	if (layered)
		schedule_pending_read(s);
}

static void shutdown_output(struct stream *s)
{
	if (s->layer)
		s->layer->shutdown_output(s);
	shutdown(s->fd, SHUT_WR);
}

/*
 * Writes as much output as the socket accepts.
 * Return: errno of a failed write, 0 otherwise
 */
static int write_output(struct stream *s)
{
	ssize_t n;

	while (pg_buffer_length(&s->out)) {
		n = transmit_output(s);
		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && errno == EAGAIN)
			break;
		if (n < 0)
			return errno;
		pg_buffer_consume(&s->out, n);
		s->stalled_since_us = 0;
	}
	stream_update_account(s);
	if (!pg_buffer_length(&s->out) && s->shutdown_requested)
		shutdown_output(s);
	if (!pg_buffer_length(&s->out))
		s->stalled_since_us = 0;
	else if (!s->stalled_since_us)
		s->stalled_since_us = clock_now_us();
	return 0;
}

static bool complete_connect(struct stream *s)
{
	socklen_t len = sizeof(int);
	int err = 0;

	if (getsockopt(s->fd, SOL_SOCKET, SO_ERROR, &err, &len) < 0)
		err = errno;
	if (err) {
		ev_io_stop(s->loop, &s->writer);
		s->events->closed(err, s->data);
		return false;
	}
	s->connecting = false;
	if (!s->paused)
		ev_io_start(s->loop, &s->reader);
	s->events->opened(s->data);
	return stream_is_open(s);
}

static void on_writable(struct ev_loop *loop, ev_io *w, int revents)
{
	struct stream *s = w->data;
	int err;

	if (s->connecting && !complete_connect(s))
		return;
	err = write_output(s);
	if (err) {
		ev_io_stop(loop, w);
		s->events->closed(err, s->data);
		return;
	}
	if (!pg_buffer_length(&s->out)) {
		ev_io_stop(loop, w);
		/* A handshake blocked on a write continues with a read. */
		if (s->layer && !s->paused)
			ev_feed_event(loop, &s->reader, EV_READ);
	}
	if (s->above_high_water &&
	    pg_buffer_length(&s->out) < STREAM_LOW_WATER_BYTES) {
		s->above_high_water = false;
		if (s->events->drained)
			s->events->drained(s->data);
	}
}

void stream_init(struct stream *s, struct ev_loop *loop, int fd,
		 bool connecting, const struct stream_events *events,
		 void *data)
{
	s->loop = loop;
	s->fd = fd;
	s->layer = NULL;
	s->layer_state = NULL;
	s->events = events;
	s->data = data;
	s->connecting = connecting;
	s->paused = false;
	s->above_high_water = false;
	s->shutdown_requested = false;
	s->stalled_since_us = 0;
	s->account = NULL;
	s->accounted = 0;
	pg_buffer_init(&s->in);
	pg_buffer_init(&s->out);
	ev_io_init(&s->reader, on_readable, fd, EV_READ);
	ev_io_init(&s->writer, on_writable, fd, EV_WRITE);
	s->reader.data = s;
	s->writer.data = s;
	ev_io_start(loop, connecting ? &s->writer : &s->reader);
}

void stream_flush(struct stream *s)
{
	if (!stream_is_open(s) || s->connecting || !pg_buffer_length(&s->out))
		return;
	/* A failed write is reported by on_writable(), not to this caller. */
	if (write_output(s) || pg_buffer_length(&s->out))
		ev_io_start(s->loop, &s->writer);
}

void stream_pause(struct stream *s, bool paused)
{
	stream_update_account(s);
	if (!stream_is_open(s) || s->paused == paused)
		return;
	s->paused = paused;
	if (s->connecting)
		return;
	if (paused)
		ev_io_stop(s->loop, &s->reader);
	else
		ev_io_start(s->loop, &s->reader);
	schedule_pending_read(s);
}

bool stream_above_high_water(struct stream *s)
{
	if (pg_buffer_length(&s->out) <= STREAM_HIGH_WATER_BYTES)
		return false;
	stream_flush(s);
	if (pg_buffer_length(&s->out) <= STREAM_HIGH_WATER_BYTES)
		return false;
	s->above_high_water = true;
	return true;
}

void stream_shutdown_output(struct stream *s)
{
	if (!stream_is_open(s) || s->shutdown_requested)
		return;
	s->shutdown_requested = true;
	stream_pause(s, false);
	if (pg_buffer_length(&s->out))
		stream_flush(s);
	else
		shutdown_output(s);
}

void stream_close(struct stream *s)
{
	if (!stream_is_open(s))
		return;
	ev_io_stop(s->loop, &s->reader);
	ev_io_stop(s->loop, &s->writer);
	if (s->layer)
		s->layer->finish(s);
	close(s->fd);
	s->fd = -1;
	pg_buffer_finish(&s->in);
	pg_buffer_finish(&s->out);
	stream_update_account(s);
}
