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

static void on_end(struct ev_loop *l, ev_timer *w, int revents)
{
	ev_break(l, EVBREAK_ALL);
}

static void run_for(double seconds)
{
	ev_timer timer;

	ev_timer_init(&timer, on_end, seconds, 0.);
	ev_timer_start(loop, &timer);
	ev_run(loop, 0);
	ev_timer_stop(loop, &timer);
}

static void free_stream(void *data)
{
	struct stream *s = data;

	stream_close(s);
	memset(s, 0x5a, sizeof(*s));
	g_free(s);
}

static void ignore_closed(int err, void *data)
{
}

/* Guards against a stream that is used after its owner freed it while input
 * was being reported: entry daemons crashed when a connection to an upstream
 * broke in the middle of an answer. */
START_TEST(test_freed_while_reading)
{
	static const struct stream_events events = { .input = free_stream,
						     .closed = ignore_closed };
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

static unsigned messages;
static unsigned closes;

static void on_message(struct channel *ch, const Wire__Envelope *envelope)
{
	ck_assert_int_eq(envelope->body_case, WIRE__ENVELOPE__BODY_JOIN);
	ck_assert(envelope->join->id == 77);
	messages++;
}

static void on_closed(struct channel *ch)
{
	closes++;
}

static const struct channel_events channel_events = { .message = on_message,
						      .closed = on_closed };

/* Guards against lost or merged frames, and a frame of any length that is
 * believed. */
START_TEST(test_channel)
{
	static const uint8_t huge[] = { 0x7f, 0xff, 0xff, 0xff };
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
	ck_assert_uint_eq(messages, 100);
	pg_buffer_append(&a.stream.out, huge, sizeof(huge));
	stream_flush(&a.stream);
	run_for(0.05);
	ck_assert_uint_eq(b.malformed, 1);
	ck_assert(!channel_is_open(&b));
	ck_assert_uint_eq(closes, 2);
	channel_close(&a);
	ev_loop_destroy(loop);
}
END_TEST

static void ignore_message(struct channel *ch, const Wire__Envelope *envelope)
{
}

static void ignore_end(struct channel *ch)
{
}

static const struct channel_events dial_events = { .message = ignore_message,
						   .closed = ignore_end };

/* A listener on loopback whose queue is full swallows opening packets, as a
 * VM without power does. */
static int full_listener(uint16_t *port, int *fillers, unsigned nr)
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
		fillers[i] = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		connect(fillers[i], (struct sockaddr *)&addr, len);
	}
	*port = ntohs(addr.sin_port);
	return fd;
}

/*
 * Guards against a peer that is back and not noticed: its first opening
 * packets were swallowed. Service is to begin 150 ms after the VMs return; half
 * of it is left for a connection.
 */
START_TEST(test_channel_redials)
{
	struct channel ch = { .stream.fd = -1 };
	int64_t next_us = 0;
	int64_t back_us;
	int fillers[4];
	uint16_t port;
	unsigned i;
	int fd;

	loop = ev_loop_new(EVBACKEND_EPOLL);
	fd = full_listener(&port, fillers, G_N_ELEMENTS(fillers));
	run_for(0.02);
	for (i = 0; i < 12; i++) {
		channel_dial(&ch, loop, INADDR_LOOPBACK, port, &dial_events,
			     NULL, &next_us);
		run_for(0.01);
	}
	ck_assert(!channel_is_open(&ch));
	for (i = 0; i < G_N_ELEMENTS(fillers); i++)
		close(fillers[i]);
	while ((i = (unsigned)accept(fd, NULL, NULL)) != (unsigned)-1)
		close((int)i);
	back_us = clock_now_us();
	while (!channel_is_open(&ch) && clock_now_us() - back_us < 2000000) {
		channel_dial(&ch, loop, INADDR_LOOPBACK, port, &dial_events,
			     NULL, &next_us);
		run_for(0.01);
	}
	ck_assert_int_le(clock_now_us() - back_us, 75000);
	channel_close(&ch);
	close(fd);
	ev_loop_destroy(loop);
}
END_TEST

/* More connections than one poll of libev returns at first. */
#define BUSY_PEERS 300

static unsigned inputs;
static unsigned inputs_at_tick;

static void on_peer_input(struct ev_loop *l, ev_io *w, int revents)
{
	char byte;

	ck_assert_int_eq(read(w->fd, &byte, 1), 1);
	inputs++;
}

static void on_judge(int64_t now_us, void *data)
{
	if (!inputs_at_tick)
		inputs_at_tick = inputs;
	ev_break(loop, EVBREAK_ALL);
}

static void on_held_up(struct ev_loop *l, ev_timer *w, int revents)
{
	usleep(200000);
}

/*
 * Guards against peers that are taken for silent since this process itself
 * did not run: their answers have arrived, but timers run before they are read.
 */
START_TEST(test_input_before_timers)
{
	struct timer_service service;
	struct event_timers timers;
	ev_io peer[BUSY_PEERS];
	int fds[BUSY_PEERS][2];
	ev_timer held_up;
	unsigned i;

	loop = ev_loop_new(EVBACKEND_EPOLL);
	timer_service_init(&service);
	event_timers_init(&timers, loop, &service);
	timer_subscribe(&service, clock_now_us() + 50000, 0, on_judge, NULL);
	for (i = 0; i < BUSY_PEERS; i++) {
		ck_assert_int_eq(socketpair(AF_UNIX, SOCK_STREAM, 0, fds[i]),
				 0);
		ev_io_init(&peer[i], on_peer_input, fds[i][0], EV_READ);
		ev_io_start(loop, &peer[i]);
	}
	run_for(0.01);
	for (i = 0; i < BUSY_PEERS; i++)
		ck_assert_int_eq(write(fds[i][1], "x", 1), 1);
	ev_timer_init(&held_up, on_held_up, 0., 0.);
	ev_set_priority(&held_up, EV_MAXPRI);
	ev_timer_start(loop, &held_up);
	ev_run(loop, 0);
	ck_assert_uint_eq(inputs_at_tick, BUSY_PEERS);
	for (i = 0; i < BUSY_PEERS; i++) {
		ev_io_stop(loop, &peer[i]);
		close(fds[i][0]);
		close(fds[i][1]);
	}
	event_timers_finish(&timers);
	timer_service_finish(&service);
	ev_loop_destroy(loop);
}
END_TEST

static struct http_exchange *kept;
static bool dropped;

static void on_dropped(struct http_exchange *ex)
{
	dropped = true;
}

static void on_request(struct http_exchange *ex, void *data)
{
	if (!strcmp(ex->path, "/later")) {
		kept = ex;
		ex->dropped = on_dropped;
		return;
	}
	if (ex->too_long)
		http_answer_text(ex, 413, "");
	else
		http_answer(ex, strcmp(ex->body->str, "in") ? 400 : 200,
			    "text/plain", "out", 3, NULL);
}

static void on_done(long status, void *data)
{
	*(long *)data = status;
}

/* Guards against answers that come late, bodies beyond the limit and callers
 * that leave before their answer. */
START_TEST(test_http)
{
	static const char *const headers[] = { "X-Test: 1", NULL };
	long now = -1, later = -1, too_long = -1, gone = -1;
	struct http_client *client;
	struct http_server *server;
	GError *error = NULL;

	loop = ev_loop_new(EVBACKEND_EPOLL);
	client = http_client_new(loop);
	server = http_server_new(loop, "127.0.0.1:39173", 8, on_request, NULL,
				 &error);
	ck_assert_msg(server, "%s", error ? error->message : "");
	http_client_post(client, "http://127.0.0.1:39173/now", headers, "in",
			 1000, on_done, &now);
	http_client_post(client, "http://127.0.0.1:39173/later", headers, "in",
			 1000, on_done, &later);
	http_client_post(client, "http://127.0.0.1:39173/now", headers,
			 "longer than that", 1000, on_done, &too_long);
	run_for(0.2);
	ck_assert_int_eq(now, 200);
	ck_assert_int_eq(too_long, 413);
	ck_assert_int_eq(later, -1);
	http_answer_text(kept, 503, "late");
	run_for(0.2);
	ck_assert_int_eq(later, 503);
	http_client_post(client, "http://127.0.0.1:39173/later", headers, "in",
			 100, on_done, &gone);
	run_for(0.4);
	ck_assert_int_eq(gone, 0);
	http_answer_text(kept, 200, "nobody");
	run_for(0.1);
	http_client_free(client);
	http_server_free(server);
	ev_loop_destroy(loop);
}
END_TEST

/* Guards against a reader of the log that stops and thereby stops us, and
 * against lines that are lost without a count. */
START_TEST(test_log_reader_stops)
{
	char buf[65536];
	GString *text = g_string_new(NULL);
	uint64_t left_out;
	int fds[2];
	ssize_t n;
	int i;

	ck_assert_int_eq(pipe(fds), 0);
	event_log_to(fds[1]);
	event_log_init("tester");
	for (i = 0; i < 20000; i++) {
		event_log("line", "{s:i}", "number", i);
		event_log_flush();
	}
	left_out = event_log_left_out();
	ck_assert_uint_gt(left_out, 10000);
	fcntl(fds[0], F_SETFL, O_NONBLOCK);
	while ((n = read(fds[0], buf, sizeof(buf))) > 0) {
		g_string_append_len(text, buf, n);
		event_log_flush();
	}
	ck_assert(g_str_has_prefix(text->str, "{\"t\":"));
	ck_assert_ptr_nonnull(strstr(text->str, "\"process\":\"tester\""));
	ck_assert_ptr_nonnull(strstr(text->str, "\"number\":0}\n"));
	/* The next line that goes out is preceded by the count. */
	g_usleep(100000);
	event_log("after", "");
	event_log_flush();
	n = read(fds[0], buf, sizeof(buf) - 1);
	ck_assert_int_gt(n, 0);
	buf[n] = 0;
	ck_assert_ptr_nonnull(strstr(buf, "lines_left_out"));
	g_string_free(text, TRUE);
	event_log_to(STDOUT_FILENO);
	close(fds[0]);
	close(fds[1]);
}
END_TEST

TEST_MAIN("transport", test_freed_while_reading, test_channel,
	  test_channel_redials, test_input_before_timers, test_http,
	  test_log_reader_stops)
