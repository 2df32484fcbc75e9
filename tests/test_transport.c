#include "channel.h"
#include "clock.h"
#include "event_log.h"
#include "event_timers.h"
#include "http_client.h"
#include "http_server.h"
#include "net.h"
#include "test_main.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

static struct ev_loop *loop;

static void on_run_timeout(struct ev_loop *l, ev_timer *w, int revents)
{
	ev_break(l, EVBREAK_ALL);
}

static void run_for(double seconds)
{
	ev_timer timer;

	ev_timer_init(&timer, on_run_timeout, seconds, 0.);
	ev_timer_start(loop, &timer);
	ev_run(loop, 0);
	ev_timer_stop(loop, &timer);
}

static void close_and_free_stream(void *data)
{
	struct stream *s = data;

	stream_close(s);
	memset(s, 0x5a, sizeof(*s));
	g_free(s);
}

static void ignore_closed(int err, void *data)
{
}

/* Guards against use after free when the owner frees the stream in the input
 * callback: entry daemons crashed when the connection to an upstream failed in
 * the middle of a response. */
START_TEST(test_freed_while_reading)
{
	static const struct stream_events events = {
		.input = close_and_free_stream, .closed = ignore_closed
	};
	struct stream *s = g_new0(struct stream, 1);
	int fds[2];

	loop = ev_loop_new(EVBACKEND_EPOLL);
	ck_assert_int_eq(
		socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, fds), 0);
	stream_init(s, loop, fds[0], false, &events, s);
	ck_assert_int_eq(write(fds[1], "x", 1), 1);
	run_for(0.05);
	ck_assert_int_eq(read(fds[1], &fds, 1), 0);
	close(fds[1]);
	ev_loop_destroy(loop);
}
END_TEST

static unsigned nr_messages;
static unsigned nr_closed;

static void on_message(struct channel *ch, const Wire__Envelope *envelope)
{
	ck_assert_int_eq(envelope->body_case, WIRE__ENVELOPE__BODY_JOIN);
	ck_assert(envelope->join->id == 77);
	nr_messages++;
}

static void on_closed(struct channel *ch)
{
	nr_closed++;
}

static const struct channel_events channel_events = { .message = on_message,
						      .closed = on_closed };

/* Guards against lost or merged frames, and against accepting a frame length
 * above the limit. */
START_TEST(test_channel)
{
	static const uint8_t oversized_header[] = { 0x7f, 0xff, 0xff, 0xff };
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__Join join = WIRE__JOIN__INIT;
	struct channel a, b;
	int fds[2];
	int i;

	loop = ev_loop_new(EVBACKEND_EPOLL);
	ck_assert_int_eq(
		socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, fds), 0);
	channel_accept(&a, loop, fds[0], &channel_events, NULL);
	channel_accept(&b, loop, fds[1], &channel_events, NULL);
	join.id = 77;
	envelope.body_case = WIRE__ENVELOPE__BODY_JOIN;
	envelope.join = &join;
	for (i = 0; i < 100; i++)
		channel_send(&a, &envelope);
	run_for(0.05);
	ck_assert_uint_eq(nr_messages, 100);
	pg_buffer_append(&a.stream.out, oversized_header,
			 sizeof(oversized_header));
	stream_flush(&a.stream);
	run_for(0.05);
	ck_assert_uint_eq(b.malformed, 1);
	ck_assert(!channel_is_open(&b));
	ck_assert_uint_eq(nr_closed, 2);
	channel_close(&a);
	ev_loop_destroy(loop);
}
END_TEST

static void ignore_message(struct channel *ch, const Wire__Envelope *envelope)
{
}

static void ignore_channel_closed(struct channel *ch)
{
}

static const struct channel_events dial_events = {
	.message = ignore_message,
	.closed = ignore_channel_closed
};

/* Listens on loopback with a full backlog: SYN packets get no answer, as from a
 * VM without power. */
static int listen_with_full_backlog(uint16_t *port, int *backlog_fds,
				    unsigned nr)
{
	struct sockaddr_in addr = { .sin_family = AF_INET,
				    .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	socklen_t len = sizeof(addr);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	unsigned i;

	ck_assert_int_eq(bind(fd, (struct sockaddr *)&addr, len), 0);
	ck_assert_int_eq(listen(fd, 0), 0);
	ck_assert_int_eq(getsockname(fd, (struct sockaddr *)&addr, &len), 0);
	for (i = 0; i < nr; i++) {
		backlog_fds[i] =
			socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		connect(backlog_fds[i], (struct sockaddr *)&addr, len);
	}
	*port = ntohs(addr.sin_port);
	return fd;
}

/*
 * Guards against a late reconnect to a restarted peer that did not answer the
 * first SYN packets. Service must resume within 150 ms after the VMs restart;
 * half of that is allowed for the connection.
 */
START_TEST(test_channel_redials)
{
	struct channel ch = { .stream.fd = -1 };
	int64_t next_us = 0;
	int64_t restart_us;
	int backlog_fds[4];
	uint16_t port;
	unsigned i;
	int fd;

	loop = ev_loop_new(EVBACKEND_EPOLL);
	fd = listen_with_full_backlog(&port, backlog_fds,
				      G_N_ELEMENTS(backlog_fds));
	run_for(0.02);
	for (i = 0; i < 12; i++) {
		channel_connect(&ch, loop, INADDR_LOOPBACK, port, &dial_events,
				NULL, &next_us);
		run_for(0.01);
	}
	ck_assert(!channel_is_open(&ch));
	for (i = 0; i < G_N_ELEMENTS(backlog_fds); i++)
		close(backlog_fds[i]);
	while ((i = (unsigned)accept(fd, NULL, NULL)) != (unsigned)-1)
		close((int)i);
	restart_us = clock_now_us();
	while (!channel_is_open(&ch) && clock_now_us() - restart_us < 2000000) {
		channel_connect(&ch, loop, INADDR_LOOPBACK, port, &dial_events,
				NULL, &next_us);
		run_for(0.01);
	}
	ck_assert_int_le(clock_now_us() - restart_us, 75000);
	channel_close(&ch);
	close(fd);
	ev_loop_destroy(loop);
}
END_TEST

/* More connections than the first poll of libev returns events for. */
#define NR_PEERS 300

static unsigned nr_inputs;
static unsigned inputs_at_timeout;

static void on_peer_input(struct ev_loop *l, ev_io *w, int revents)
{
	char byte;

	ck_assert_int_eq(read(w->fd, &byte, 1), 1);
	nr_inputs++;
}

static void on_timeout(int64_t now_us, void *data)
{
	if (!inputs_at_timeout)
		inputs_at_timeout = nr_inputs;
	ev_break(loop, EVBREAK_ALL);
}

static void on_stall_timer(struct ev_loop *l, ev_timer *w, int revents)
{
	usleep(200000);
}

/*
 * Guards against taking peers for failed because this process itself was
 * stalled: their messages have arrived, but timers run before they are read.
 */
START_TEST(test_input_before_timers)
{
	struct timer_service service;
	struct event_timers timers;
	ev_io peer[NR_PEERS];
	int fds[NR_PEERS][2];
	ev_timer stall_timer;
	unsigned i;

	loop = ev_loop_new(EVBACKEND_EPOLL);
	timer_service_init(&service);
	event_timers_init(&timers, loop, &service);
	timer_subscribe(&service, clock_now_us() + 50000, 0, on_timeout, NULL);
	for (i = 0; i < NR_PEERS; i++) {
		ck_assert_int_eq(socketpair(AF_UNIX, SOCK_STREAM, 0, fds[i]),
				 0);
		ev_io_init(&peer[i], on_peer_input, fds[i][0], EV_READ);
		ev_io_start(loop, &peer[i]);
	}
	run_for(0.01);
	for (i = 0; i < NR_PEERS; i++)
		ck_assert_int_eq(write(fds[i][1], "x", 1), 1);
	ev_timer_init(&stall_timer, on_stall_timer, 0., 0.);
	ev_set_priority(&stall_timer, EV_MAXPRI);
	ev_timer_start(loop, &stall_timer);
	ev_run(loop, 0);
	ck_assert_uint_eq(inputs_at_timeout, NR_PEERS);
	for (i = 0; i < NR_PEERS; i++) {
		ev_io_stop(loop, &peer[i]);
		close(fds[i][0]);
		close(fds[i][1]);
	}
	event_timers_finish(&timers);
	timer_service_finish(&service);
	ev_loop_destroy(loop);
}
END_TEST

static struct http_exchange *deferred_request;
static bool disconnected;

static void on_disconnected(struct http_exchange *ex)
{
	disconnected = true;
}

static void on_request(struct http_exchange *ex, void *data)
{
	if (!strcmp(ex->path, "/later")) {
		deferred_request = ex;
		ex->on_disconnect = on_disconnected;
		return;
	}
	if (ex->too_long)
		http_respond_text(ex, 413, "");
	else
		http_respond(ex, strcmp(ex->body->str, "in") ? 400 : 200,
			     "text/plain", "out", 3, NULL);
}

static void on_done(long status, void *data)
{
	*(long *)data = status;
}

/* Guards against faults with deferred responses, request bodies above the limit
 * and clients that disconnect before the response. */
START_TEST(test_http)
{
	static const char *const headers[] = { "X-Test: 1", NULL };
	long immediate = -1, deferred = -1, too_long = -1, timed_out = -1;
	struct http_client *client;
	struct http_server *server;
	GError *error = NULL;

	loop = ev_loop_new(EVBACKEND_EPOLL);
	client = http_client_new(loop);
	server = http_server_new(loop, "127.0.0.1:39173", 8, on_request, NULL,
				 &error);
	ck_assert_msg(server, "%s", error ? error->message : "");
	http_client_post(client, "http://127.0.0.1:39173/now", headers, "in",
			 1000, on_done, &immediate);
	http_client_post(client, "http://127.0.0.1:39173/later", headers, "in",
			 1000, on_done, &deferred);
	http_client_post(client, "http://127.0.0.1:39173/now", headers,
			 "longer than that", 1000, on_done, &too_long);
	run_for(0.2);
	ck_assert_int_eq(immediate, 200);
	ck_assert_int_eq(too_long, 413);
	ck_assert_int_eq(deferred, -1);
	http_respond_text(deferred_request, 503, "late");
	run_for(0.2);
	ck_assert_int_eq(deferred, 503);
	http_client_post(client, "http://127.0.0.1:39173/later", headers, "in",
			 100, on_done, &timed_out);
	run_for(0.4);
	ck_assert_int_eq(timed_out, 0);
	http_respond_text(deferred_request, 200, "nobody");
	run_for(0.1);
	http_client_free(client);
	http_server_free(server);
	ev_loop_destroy(loop);
}
END_TEST

/* Guards against blocking when the reader of the log stops reading, and against
 * dropping lines without counting them. */
START_TEST(test_log_reader_stops)
{
	char buf[65536];
	GString *text = g_string_new(NULL);
	uint64_t nr_left_out;
	int fds[2];
	ssize_t n;
	int i;

	ck_assert_int_eq(pipe(fds), 0);
	event_log_set_fd(fds[1]);
	event_log_init("tester");
	for (i = 0; i < 20000; i++) {
		event_log("line", "{s:i}", "number", i);
		event_log_flush();
	}
	nr_left_out = event_log_dropped_lines();
	ck_assert_uint_gt(nr_left_out, 10000);
	fcntl(fds[0], F_SETFL, O_NONBLOCK);
	while ((n = read(fds[0], buf, sizeof(buf))) > 0) {
		g_string_append_len(text, buf, n);
		event_log_flush();
	}
	ck_assert(g_str_has_prefix(text->str, "{\"t\":"));
	ck_assert_ptr_nonnull(strstr(text->str, "\"process\":\"tester\""));
	ck_assert_ptr_nonnull(strstr(text->str, "\"number\":0}\n"));
	/* The number of dropped lines is logged before the next line. */
	g_usleep(100000);
	event_log("after", "");
	event_log_flush();
	n = read(fds[0], buf, sizeof(buf) - 1);
	ck_assert_int_gt(n, 0);
	buf[n] = 0;
	ck_assert_ptr_nonnull(strstr(buf, "lines_left_out"));
	g_string_free(text, TRUE);
	event_log_set_fd(STDOUT_FILENO);
	close(fds[0]);
	close(fds[1]);
}
END_TEST

TEST_MAIN("transport", test_freed_while_reading, test_channel,
	  test_channel_redials, test_input_before_timers, test_http,
	  test_log_reader_stops)
