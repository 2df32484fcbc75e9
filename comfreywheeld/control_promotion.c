#include "control_core.h"
#include "log.h"
#include "net.h"
#include "pg_frame.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Largest frame an upstream may send here, bytes. */
#define ERRAND_FRAME_MAX (64u * 1024)
#define READ_SIZE 4096u
/* PostgreSQL's maintenance database, present in every cluster. */
#define ERRAND_DATABASE "postgres"

/**
 * struct pg_errand - one connection and the statements to run on it
 * @at: statement that runs, -1 during the start-up
 */
struct pg_errand {
	struct ev_loop *loop;
	int fd;
	ev_io io;
	ev_timer timeout;
	struct pg_buffer in;
	struct pg_buffer out;
	char **statements;
	int at;
	bool has_position;
	struct pg_position position;
	char *host;
	pg_errand_done done;
	void *data;
};

void pg_errand_cancel(struct pg_errand *e)
{
	if (!e)
		return;
	ev_io_stop(e->loop, &e->io);
	ev_timer_stop(e->loop, &e->timeout);
	close(e->fd);
	pg_buffer_finish(&e->in);
	pg_buffer_finish(&e->out);
	g_strfreev(e->statements);
	g_free(e->host);
	g_free(e);
}

/* Frees @e before the callback, which may start the next errand. */
static void finish(struct pg_errand *e, bool ok)
{
	struct pg_position position = e->position;
	pg_errand_done done = e->done;
	void *data = e->data;

	pg_errand_cancel(e);
	done(ok, &position, data);
}

static void watch(struct pg_errand *e, int events)
{
	if (e->io.events == events && ev_is_active(&e->io))
		return;
	ev_io_stop(e->loop, &e->io);
	ev_io_set(&e->io, e->fd, events);
	ev_io_start(e->loop, &e->io);
}

/* Return: false if the connection is lost. */
static bool flush(struct pg_errand *e)
{
	while (pg_buffer_length(&e->out)) {
		ssize_t n = send(e->fd, pg_buffer_head(&e->out),
				 pg_buffer_length(&e->out), MSG_NOSIGNAL);

		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
			break;
		if (n < 0)
			return false;
		pg_buffer_consume(&e->out, (size_t)n);
	}
	watch(e, pg_buffer_length(&e->out) ? EV_READ | EV_WRITE : EV_READ);
	return true;
}

static void log_error_frame(const struct pg_errand *e,
			    const struct pg_frame *frame)
{
	const char *text =
		pg_error_field(frame->payload, frame->payload_len, 'M');

	log_warning("upstream at %s refuses \"%s\": %s", e->host,
		    e->at >= 0 ? e->statements[e->at] : "the start-up",
		    text ? text : "no message");
}

enum progress { GO_ON, LOST, COMPLETE };

static enum progress take_frame(struct pg_errand *e,
				const struct pg_frame *frame)
{
	struct pg_reader r;

	switch (frame->type) {
	case 'R':
		pg_reader_init(&r, frame->payload, frame->payload_len);
		if (!pg_read_u32(&r) && !r.failed)
			return GO_ON;
		log_warning("upstream at %s asks the control VM for a login; "
			    "allow it by trust in its pg_hba.conf",
			    e->host);
		return LOST;
	case 'E':
		log_error_frame(e, frame);
		return e->at < 0 ? LOST : GO_ON;
	case 'D':
		if (e->at >= 0 && !e->statements[e->at + 1])
			e->has_position = pg_position_parse(frame->payload,
							    frame->payload_len,
							    &e->position);
		return GO_ON;
	case 'Z':
		e->at++;
		if (!e->statements[e->at])
			return COMPLETE;
		pg_put_query(&e->out, e->statements[e->at]);
		return flush(e) ? GO_ON : LOST;
	default:
		return GO_ON;
	}
}

static enum progress take_frames(struct pg_errand *e)
{
	enum progress progress = GO_ON;
	struct pg_frame frame;

	while (progress == GO_ON) {
		switch (pg_frame_peek(pg_buffer_head(&e->in),
				      pg_buffer_length(&e->in),
				      ERRAND_FRAME_MAX, &frame)) {
		case PG_FRAME_INCOMPLETE:
			return GO_ON;
		case PG_FRAME_INVALID:
			return LOST;
		case PG_FRAME_READY:
			progress = take_frame(e, &frame);
			pg_buffer_consume(&e->in, frame.frame_len);
		}
	}
	return progress;
}

static enum progress receive(struct pg_errand *e)
{
	for (;;) {
		ssize_t n = recv(e->fd, pg_buffer_reserve(&e->in, READ_SIZE),
				 READ_SIZE, 0);
		enum progress progress;

		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
			return GO_ON;
		if (n <= 0)
			return LOST;
		pg_buffer_commit(&e->in, (size_t)n);
		progress = take_frames(e);
		if (progress != GO_ON)
			return progress;
	}
}

static void on_io(struct ev_loop *loop, ev_io *io, int events)
{
	struct pg_errand *e = io->data;
	enum progress progress = GO_ON;

	if ((events & EV_WRITE) && !flush(e))
		progress = LOST;
	if (progress == GO_ON && (events & EV_READ))
		progress = receive(e);
	if (progress != GO_ON)
		finish(e, progress == COMPLETE && e->has_position);
}

static void on_timeout(struct ev_loop *loop, ev_timer *timer, int events)
{
	finish(timer->data, false);
}

struct pg_errand *pg_errand_start(struct control *c, const char *host,
				  uint16_t port, const char *const *statements,
				  double timeout_s, pg_errand_done done,
				  void *data)
{
	int fd = net_connect(host, port);
	struct pg_errand *e;

	if (fd < 0)
		return NULL;
	e = g_new0(struct pg_errand, 1);
	e->loop = c->loop;
	e->fd = fd;
	e->statements = g_strdupv((char **)statements);
	e->at = -1;
	e->host = g_strdup_printf("%s:%u", host, port);
	e->done = done;
	e->data = data;
	pg_buffer_init(&e->in);
	pg_buffer_init(&e->out);
	pg_put_startup(&e->out, c->settings->upstream_user, ERRAND_DATABASE,
		       "comfreywheel-control");
	ev_io_init(&e->io, on_io, fd, EV_READ | EV_WRITE);
	e->io.data = e;
	ev_io_start(e->loop, &e->io);
	ev_timer_init(&e->timeout, on_timeout, timeout_s, 0.);
	e->timeout.data = e;
	ev_timer_start(e->loop, &e->timeout);
	return e;
}
