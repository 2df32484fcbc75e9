#include "upstream_connection.h"

#include "caller.h"
#include "net.h"
#include "upstream_pool.h"
#include "upstream_startup.h"

#include <errno.h>
#include <string.h>

/* A frame above this is relayed piecewise, bytes. */
#define WHOLE_FRAME_MAX (16u * 1024)
/* Largest frame an upstream may send; PostgreSQL's own limit is 1 GiB. */
#define UPSTREAM_FRAME_MAX (1024u * 1024 * 1024)

static struct proxy *proxy_of(const struct upstream_connection *conn)
{
	return conn->home->proxy;
}

/* The holder learns of it with its next statement. */
static void caller_lost_transaction(struct upstream_connection *conn)
{
	struct caller *holder = conn->holder;

	conn->holder = NULL;
	if (!holder || holder->held != conn)
		return;
	holder->held = NULL;
	holder->transaction = 'E';
}

static bool is_live(const struct upstream_connection *conn)
{
	return conn->state < UPSTREAM_CLOSING;
}

void upstream_connection_free(struct upstream_connection *conn)
{
	struct upstream_home *home = conn->home;

	if (conn->state == UPSTREAM_CLOSED)
		return;
	conn->state = UPSTREAM_CLOSED;
	timer_cancel(&home->proxy->timers, &conn->linger_timer);
	stream_close(&conn->stream);
	parsed_statements_finish(&conn->parsed);
	proxy_count(home->proxy, COUNT_UPSTREAM_CLOSED);
	upstream_home_closed(home, conn);
	proxy_discard(home->proxy, conn);
}

static void on_linger(int64_t now_us, void *data)
{
	struct upstream_connection *conn = data;

	conn->linger_timer = TIMER_NONE;
	upstream_connection_free(conn);
}

static void begin_closing(struct upstream_connection *conn)
{
	struct proxy *proxy = proxy_of(conn);
	struct pg_buffer *out = &conn->stream.out;

	if (conn->state == UPSTREAM_READY)
		pg_frame_end(out, pg_frame_begin(out, 'X'));
	conn->state = UPSTREAM_CLOSING;
	conn->linger_timer = timer_subscribe(
		&proxy->timers,
		proxy_now() + proxy->settings->connection_linger_us, 0,
		on_linger, conn);
	stream_shutdown_output(&conn->stream);
}

void upstream_connection_close(struct upstream_connection *conn,
			       enum upstream_end end)
{
	struct upstream_home *home = conn->home;
	bool established = conn->state == UPSTREAM_READY ||
			   conn->state == UPSTREAM_STARTING;

	if (!is_live(conn))
		return;
	caller_lost_transaction(conn);
	conn->request = NULL;
	if (established && !conn->peer_closed)
		begin_closing(conn);
	else
		conn->state = UPSTREAM_CLOSING;
	upstream_home_gone(home, conn, end);
	if (!established || conn->peer_closed)
		upstream_connection_free(conn);
}

void upstream_connection_lose(struct upstream_connection *conn,
			      enum upstream_end end)
{
	struct request *req = conn->request;

	conn->request = NULL;
	upstream_connection_close(conn, end);
	if (req)
		request_lost(req);
}

static void position_frame(struct upstream_connection *conn,
			   const struct pg_frame *frame)
{
	if (frame->type == 'D')
		conn->has_row = position_row_parse(
			frame->payload, frame->payload_len, &conn->row);
}

static void position_done(struct upstream_connection *conn)
{
	struct upstream_home *home = conn->home;
	struct proxy *proxy = home->proxy;
	int64_t now = proxy_now();

	if (conn->has_row)
		directory_record_position(
			&proxy->directory, home->handle, conn->row.in_recovery,
			conn->row.received, conn->row.replayed, conn->asked_us,
			now, control_client_may_write(proxy->control, now));
	if (conn->probe)
		upstream_home_probed(home, conn->has_row);
	else if (conn->request)
		request_position(conn->request,
				 conn->has_row && !conn->row.in_recovery ?
					 &conn->row.received :
					 NULL);
}

static void step_frame(struct upstream_connection *conn,
		       const struct pg_frame *frame)
{
	struct request *req = conn->request;
	const char *code;

	switch (conn->steps[conn->first_step]) {
	case STEP_POSITION:
		position_frame(conn, frame);
		return;
	case STEP_HIDDEN:
		if (frame->type != 'E' || !req)
			return;
		code = pg_error_field(frame->payload, frame->payload_len, 'C');
		request_hidden_error(req, code ? code : "");
		return;
	case STEP_RELAY:
		if (parsed_statements_answer(&conn->parsed, frame->type) && req)
			request_frame(req, frame);
		return;
	}
}

static void step_done(struct upstream_connection *conn, char status)
{
	enum upstream_step step = conn->steps[conn->first_step];

	conn->first_step = (conn->first_step + 1) % UPSTREAM_STEPS;
	conn->nr_steps--;
	conn->transaction = status;
	if (step == STEP_RELAY)
		parsed_statements_synced(&conn->parsed);
	if (step == STEP_POSITION)
		position_done(conn);
	else if (step == STEP_RELAY && conn->request)
		request_relayed(conn->request, status);
	if (conn->state == UPSTREAM_READY && !conn->nr_steps && conn->request)
		request_steps_done(conn->request);
}

/* The upstream closes the connection; the request may run elsewhere. */
static bool is_fatal(const struct pg_frame *frame)
{
	const char *severity;

	if (frame->type != 'E')
		return false;
	severity = pg_error_field(frame->payload, frame->payload_len, 'V');
	return severity &&
	       (!strcmp(severity, "FATAL") || !strcmp(severity, "PANIC"));
}

/* Return: false if the connection cannot go on. */
static bool take_frame(struct upstream_connection *conn,
		       const struct pg_frame *frame)
{
	if (conn->state == UPSTREAM_STARTING) {
		upstream_startup_frame(conn, frame);
		return true;
	}
	if (!conn->nr_steps)
		return frame->type == 'S' || frame->type == 'N';
	if (is_fatal(frame))
		return false;
	step_frame(conn, frame);
	return true;
}

/* The frame is consumed first: what follows may hand the connection on. */
static bool take_ready(struct upstream_connection *conn,
		       const struct pg_frame *frame)
{
	char status = frame->payload_len ? (char)frame->payload[0] : 'E';

	pg_buffer_consume(&conn->stream.in, frame->frame_len);
	if (conn->state == UPSTREAM_STARTING) {
		conn->state = UPSTREAM_READY;
		conn->transaction = status;
		proxy_count(proxy_of(conn), COUNT_UPSTREAM_OPENED);
		upstream_home_ready(conn->home, conn);
		return true;
	}
	if (!conn->nr_steps)
		return false;
	step_done(conn, status);
	return true;
}

static bool pass_large(struct upstream_connection *conn)
{
	struct pg_buffer *in = &conn->stream.in;
	size_t len = MIN(pg_buffer_length(in), conn->passing);

	if (conn->request)
		request_relay_more(conn->request, pg_buffer_head(in), len);
	pg_buffer_consume(in, len);
	conn->passing -= len;
	return !conn->passing;
}

static bool relays(const struct upstream_connection *conn)
{
	return conn->state == UPSTREAM_READY && conn->nr_steps &&
	       conn->steps[conn->first_step] == STEP_RELAY;
}

static bool starts_large(struct upstream_connection *conn,
			 const struct pg_frame *frame)
{
	if (frame->frame_len <= WHOLE_FRAME_MAX || !relays(conn) ||
	    (frame->type != 'D' && frame->type != 'T'))
		return false;
	if (conn->request)
		request_relay_header(conn->request);
	conn->passing = frame->frame_len;
	return true;
}

static bool must_pause(struct upstream_connection *conn)
{
	if (!conn->request || !relays(conn))
		return false;
	if (!stream_above_high_water(&conn->request->caller->stream))
		return false;
	stream_pause(&conn->stream, true);
	return true;
}

/* Return: true if there may be more to take. */
static bool take_one(struct upstream_connection *conn)
{
	struct pg_buffer *in = &conn->stream.in;
	struct pg_frame frame;
	bool taken;

	if (conn->passing)
		return pass_large(conn);
	switch (pg_frame_peek(pg_buffer_head(in), pg_buffer_length(in),
			      UPSTREAM_FRAME_MAX, &frame)) {
	case PG_FRAME_INCOMPLETE:
		if (frame.frame_len && starts_large(conn, &frame))
			return true;
		if (frame.frame_len <= PG_FRAME_MAX_BYTES)
			return false;
		upstream_connection_lose(conn, UPSTREAM_ENDED);
		return false;
	case PG_FRAME_INVALID:
		upstream_connection_lose(conn, UPSTREAM_ENDED);
		return false;
	case PG_FRAME_READY:
		break;
	}
	if (starts_large(conn, &frame))
		return true;
	if (frame.type == 'Z') {
		taken = take_ready(conn, &frame);
		frame.frame_len = 0;
	} else {
		taken = take_frame(conn, &frame);
	}
	if (!taken) {
		upstream_connection_lose(conn, UPSTREAM_ENDED);
		return false;
	}
	if (is_live(conn))
		pg_buffer_consume(in, frame.frame_len);
	return true;
}

static void on_input(void *data)
{
	struct upstream_connection *conn = data;

	conn->home->received_us = proxy_now();
	while (is_live(conn) && pg_buffer_length(&conn->stream.in)) {
		if (must_pause(conn))
			return;
		if (!take_one(conn))
			break;
	}
	if (conn->state == UPSTREAM_CLOSING)
		pg_buffer_consume(&conn->stream.in,
				  pg_buffer_length(&conn->stream.in));
	else if (is_live(conn) && conn->request)
		stream_flush(&conn->request->caller->stream);
}

static void on_opened(void *data)
{
	struct upstream_connection *conn = data;
	struct proxy *proxy = proxy_of(conn);
	const struct upstream *up =
		directory_upstream_at(&proxy->directory, conn->home->handle);

	conn->state = UPSTREAM_STARTING;
	pg_put_startup(&conn->stream.out, proxy->settings->upstream_user,
		       up->database, "comfreywheeld");
	stream_flush(&conn->stream);
}

static void on_closed(int err, void *data)
{
	struct upstream_connection *conn = data;

	conn->peer_closed = true;
	if (conn->state == UPSTREAM_CLOSING)
		upstream_connection_free(conn);
	else if (conn->state == UPSTREAM_READY)
		upstream_connection_lose(conn, UPSTREAM_ENDED);
	else if (conn->state == UPSTREAM_CONNECTING && err == ECONNREFUSED)
		upstream_connection_lose(conn, UPSTREAM_REFUSED);
	else
		upstream_connection_lose(conn, UPSTREAM_BROKEN);
}

/* A flushed batch waits until the upstream has taken its beginning. */
static void on_drained(void *data)
{
	struct upstream_connection *conn = data;

	if (conn->request && conn->request->open)
		caller_input(conn->request->caller);
}

static const struct stream_events connection_events = {
	.opened = on_opened,
	.input = on_input,
	.drained = on_drained,
	.closed = on_closed,
};

struct upstream_connection *upstream_connection_open(struct upstream_home *home,
						     bool probe)
{
	struct proxy *proxy = home->proxy;
	const struct upstream *up =
		directory_upstream_at(&proxy->directory, home->handle);
	struct upstream_connection *conn;
	int fd = net_connect(up->address, up->port);

	if (fd < 0)
		return NULL;
	conn = g_new0(struct upstream_connection, 1);
	conn->home = home;
	conn->probe = probe;
	conn->state = UPSTREAM_CONNECTING;
	conn->transaction = 'I';
	conn->linger_timer = TIMER_NONE;
	parsed_statements_init(&conn->parsed);
	stream_init(&conn->stream, proxy->loop, fd, true, &connection_events,
		    conn);
	return conn;
}

void upstream_connection_step(struct upstream_connection *conn,
			      enum upstream_step step)
{
	conn->steps[(conn->first_step + conn->nr_steps) % UPSTREAM_STEPS] =
		step;
	conn->nr_steps++;
}

void upstream_connection_query(struct upstream_connection *conn,
			       enum upstream_step step, const char *sql)
{
	upstream_connection_step(conn, step);
	pg_put_query(&conn->stream.out, sql);
}

void upstream_connection_position(struct upstream_connection *conn)
{
	conn->asked_us = proxy_now();
	conn->has_row = false;
	proxy_count(proxy_of(conn), COUNT_POSITION_QUERIES);
	upstream_connection_query(conn, STEP_POSITION, position_query_text);
}

void upstream_connection_resume(struct upstream_connection *conn)
{
	if (!is_live(conn) || !conn->stream.paused)
		return;
	stream_pause(&conn->stream, false);
	on_input(conn);
}

bool upstream_connection_is_clean(const struct upstream_connection *conn)
{
	return conn->state == UPSTREAM_READY && !conn->doomed &&
	       !conn->nr_steps && !conn->passing && conn->transaction == 'I' &&
	       !pg_buffer_length(&conn->stream.in) &&
	       !pg_buffer_length(&conn->stream.out);
}
