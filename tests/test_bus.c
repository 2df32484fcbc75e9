#include "bus.h"
#include "test_main.h"

#include <arpa/inet.h>
#include <string.h>
#include <unistd.h>
#include <zmq.h>

/* A test fails if it waits longer than this for an event, seconds. */
#define WAIT_TIMEOUT_S 30.
#define BURST_MESSAGES 500

/**
 * struct endpoint - a bus endpoint and the messages that it received
 * @answer: whether it replies to requests
 * @forget: whether the reply callback calls bus_disconnect()
 * @last_sequence: sequence number of the last message received
 */
struct endpoint {
	struct bus *bus;
	bool answer;
	bool forget;
	unsigned requests;
	unsigned replies;
	uint64_t last_sequence;
};

struct keys {
	char public_key[41];
	char secret_key[41];
};

static struct ev_loop *loop;
static struct keys keys;

static void send_heartbeat(struct endpoint *endpoint, int handle,
			   uint64_t sequence)
{
	Wire__Heartbeat hb = WIRE__HEARTBEAT__INIT;
	Wire__Envelope env = WIRE__ENVELOPE__INIT;

	hb.daemon = "entry-1";
	hb.sequence = sequence;
	env.body_case = WIRE__ENVELOPE__BODY_HEARTBEAT;
	env.heartbeat = &hb;
	bus_send(endpoint->bus, handle, &env);
}

static void on_request(const struct bus_return_path *from,
		       const Wire__Envelope *envelope, void *data)
{
	struct endpoint *endpoint = data;
	Wire__LeaseGrant grant = WIRE__LEASE_GRANT__INIT;
	Wire__Envelope env = WIRE__ENVELOPE__INIT;

	endpoint->requests++;
	if (envelope->body_case == WIRE__ENVELOPE__BODY_HEARTBEAT)
		endpoint->last_sequence = envelope->heartbeat->sequence;
	grant.sequence = endpoint->last_sequence;
	env.body_case = WIRE__ENVELOPE__BODY_LEASE_GRANT;
	env.lease_grant = &grant;
	if (endpoint->answer)
		bus_reply(endpoint->bus, from, &env);
}

static void on_reply(int handle, const Wire__Envelope *envelope, void *data)
{
	struct endpoint *endpoint = data;

	endpoint->replies++;
	endpoint->last_sequence = envelope->lease_grant->sequence;
	if (endpoint->forget)
		bus_disconnect(endpoint->bus, handle);
}

static const struct bus_events events = { on_request, on_reply };

static void open_endpoint(struct endpoint *endpoint, const char *listen,
			  bool answer)
{
	GError *error = NULL;

	*endpoint = (struct endpoint){ .answer = answer };
	endpoint->bus = bus_new(loop, listen, keys.public_key, keys.secret_key,
				&events, endpoint, &error);
	ck_assert_msg(endpoint->bus != NULL, "%s", error ? error->message : "");
}

/* Return: a loopback address with a port that was unused when it was probed. */
static char *free_address(void)
{
	struct sockaddr_in addr = { .sin_family = AF_INET };
	socklen_t len = sizeof(addr);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	ck_assert(!bind(fd, (struct sockaddr *)&addr, len));
	ck_assert(!getsockname(fd, (struct sockaddr *)&addr, &len));
	close(fd);
	return g_strdup_printf("127.0.0.1:%d", ntohs(addr.sin_port));
}

static void on_wakeup_timer(struct ev_loop *l, ev_timer *timer, int revents)
{
}

/* Runs the loop until the condition holds; fails after WAIT_TIMEOUT_S. */
#define run_until(condition)                                               \
	do {                                                               \
		ev_tstamp deadline = ev_time() + WAIT_TIMEOUT_S;           \
		ev_timer wakeup_timer;                                     \
		ev_timer_init(&wakeup_timer, on_wakeup_timer, 0.01, 0.01); \
		ev_timer_start(loop, &wakeup_timer);                       \
		while (!(condition)) {                                     \
			ck_assert_msg(ev_time() < deadline,                \
				      #condition " not reached");          \
			ev_run(loop, EVRUN_ONCE);                          \
		}                                                          \
		ev_timer_stop(loop, &wakeup_timer);                        \
	} while (0)

static void *connect_raw_dealer(void *context, const char *address,
				const struct keys *own_keys, const char *server)
{
	g_autofree char *zmq_address = g_strdup_printf("tcp://%s", address);
	void *dealer = zmq_socket(context, ZMQ_DEALER);
	int linger = 0;

	zmq_setsockopt(dealer, ZMQ_LINGER, &linger, sizeof(linger));
	if (own_keys) {
		zmq_setsockopt(dealer, ZMQ_CURVE_PUBLICKEY,
			       own_keys->public_key, 41);
		zmq_setsockopt(dealer, ZMQ_CURVE_SECRETKEY,
			       own_keys->secret_key, 41);
		zmq_setsockopt(dealer, ZMQ_CURVE_SERVERKEY, server, 41);
	}
	ck_assert(!zmq_connect(dealer, zmq_address));
	ck_assert_int_eq(zmq_send(dealer, "\x0a\x00", 2, 0), 2);
	return dealer;
}

/* Guards against missed edges of ZMQ_FD and lost messages in a burst. */
START_TEST(test_request_and_answer)
{
	g_autofree char *address = free_address();
	struct endpoint server, client;
	int handle, i;

	open_endpoint(&server, address, true);
	open_endpoint(&client, NULL, false);
	handle = bus_connect(client.bus, address, NULL);
	ck_assert_int_ge(handle, 0);
	ck_assert_int_eq(bus_connect(client.bus, address, NULL), handle);
	for (i = 1; i <= BURST_MESSAGES; i++)
		send_heartbeat(&client, handle, i);
	run_until(client.replies == BURST_MESSAGES);
	ck_assert_uint_eq(server.requests, BURST_MESSAGES);
	ck_assert_uint_eq(client.last_sequence, BURST_MESSAGES);
	ck_assert_uint_eq(bus_counts(client.bus)->sent, BURST_MESSAGES);
	ck_assert_uint_eq(bus_counts(server.bus)->received, BURST_MESSAGES);
	ck_assert_uint_eq(bus_counts(server.bus)->bytes_received,
			  bus_counts(client.bus)->bytes_sent);
	ck_assert_uint_eq(bus_counts(server.bus)->refused_keys, 0);
	bus_free(client.bus);
	bus_free(server.bus);
}
END_TEST

/* Guards against accepting a peer with foreign or no keys, and against its
 * attempts delaying or losing the replies to other peers. */
START_TEST(test_refused_keys)
{
	g_autofree char *address = free_address();
	struct keys other_keys;
	void *context = zmq_ctx_new();
	struct endpoint server, client;
	const struct bus_counts *counts;
	void *dealers[3];
	uint64_t refused_before;
	int handle, i;

	zmq_curve_keypair(other_keys.public_key, other_keys.secret_key);
	open_endpoint(&server, address, true);
	open_endpoint(&client, NULL, false);
	counts = bus_counts(server.bus);
	handle = bus_connect(client.bus, address, NULL);
	for (i = 0; i < 3; i++) {
		refused_before = counts->refused_keys;
		if (i == 0)
			dealers[i] = connect_raw_dealer(context, address, NULL,
							NULL);
		else if (i == 1)
			dealers[i] = connect_raw_dealer(
				context, address, &other_keys, keys.public_key);
		else
			dealers[i] = connect_raw_dealer(context, address, &keys,
							other_keys.public_key);
		send_heartbeat(&client, handle, i);
		run_until(counts->refused_keys > refused_before &&
			  client.replies == (unsigned)i + 1);
		zmq_close(dealers[i]);
	}
	ck_assert_uint_eq(server.requests, 3);
	ck_assert_uint_eq(counts->received, 3);
	zmq_ctx_term(context);
	bus_free(client.bus);
	bus_free(server.bus);
}
END_TEST

/* Guards against delivering an invalid frame, and against closing the
 * connection of its sender. */
START_TEST(test_bad_frames)
{
	g_autofree char *address = free_address();
	g_autofree uint8_t *oversized_frame = g_malloc0(BUS_FRAME_MAX + 1);
	void *context = zmq_ctx_new(), *raw_socket;
	struct endpoint server, client;
	const struct bus_counts *counts;
	int handle, i;

	open_endpoint(&server, address, true);
	open_endpoint(&client, NULL, false);
	counts = bus_counts(server.bus);
	handle = bus_connect(client.bus, address, NULL);
	raw_socket =
		connect_raw_dealer(context, address, &keys, keys.public_key);
	/* A heartbeat truncated in its first field. */
	zmq_send(raw_socket, "\x0a\x09\x0a\x07", 4, 0);
	/* A body with a field number that no version uses. */
	zmq_send(raw_socket, "\x9a\x06\x00", 3, 0);
	zmq_send(raw_socket, "", 0, 0);
	zmq_send(raw_socket, "\x0a\x00", 2, ZMQ_SNDMORE);
	zmq_send(raw_socket, "\x0a\x00", 2, 0);
	zmq_send(raw_socket, oversized_frame, BUS_FRAME_MAX + 1, 0);
	zmq_send(raw_socket, "\x0a\x00", 2, 0);
	for (i = 1; i <= BURST_MESSAGES; i++)
		send_heartbeat(&client, handle, i);
	run_until(client.replies == BURST_MESSAGES &&
		  counts->received == BURST_MESSAGES + 7);
	ck_assert_uint_eq(counts->malformed, 4);
	ck_assert_uint_eq(counts->oversized, 1);
	ck_assert_uint_eq(server.requests, BURST_MESSAGES + 2);
	zmq_close(raw_socket);
	zmq_ctx_term(context);
	bus_free(client.bus);
	bus_free(server.bus);
}
END_TEST

/* Guards against not reconnecting to a restarted peer, and against the queue
 * of a failed peer growing without bound or blocking other peers. */
START_TEST(test_peer_returns)
{
	g_autofree char *address = free_address();
	g_autofree char *healthy_address = free_address();
	struct endpoint server, healthy, client;
	int handle, healthy_handle, i;

	open_endpoint(&server, address, true);
	open_endpoint(&healthy, healthy_address, false);
	open_endpoint(&client, NULL, false);
	handle = bus_connect(client.bus, address, NULL);
	healthy_handle = bus_connect(client.bus, healthy_address, NULL);
	send_heartbeat(&client, handle, 1);
	run_until(client.replies == 1);
	bus_free(server.bus);
	for (i = 0; i < 5000; i++)
		send_heartbeat(&client, handle, 2);
	ck_assert_uint_gt(bus_counts(client.bus)->dropped, 0);
	for (i = 1; i <= BURST_MESSAGES; i++)
		send_heartbeat(&client, healthy_handle, i);
	run_until(healthy.requests == BURST_MESSAGES);
	ck_assert_uint_eq(healthy.last_sequence, BURST_MESSAGES);
	open_endpoint(&server, address, true);
	client.last_sequence = 0;
	/* Queued messages are sent first; until then, number 3 may be
	 * dropped. */
	run_until((send_heartbeat(&client, handle, 3),
		   client.last_sequence == 3));
	bus_free(client.bus);
	bus_free(healthy.bus);
	bus_free(server.bus);
}
END_TEST

/* Guards against use after free when the reply callback calls bus_disconnect(),
 * and against confusing a peer with an earlier one of the same handle. */
START_TEST(test_forget_in_handler)
{
	g_autofree char *address = free_address();
	struct endpoint server, client;
	int handle, i;

	open_endpoint(&server, address, true);
	open_endpoint(&client, NULL, false);
	client.forget = true;
	handle = bus_connect(client.bus, address, NULL);
	for (i = 0; i < 10; i++)
		send_heartbeat(&client, handle, 1);
	run_until(client.replies == 1 && server.requests == 10);
	send_heartbeat(&client, handle, 1);
	ck_assert_uint_eq(bus_counts(client.bus)->dropped, 1);
	client.forget = false;
	ck_assert_int_eq(bus_connect(client.bus, address, NULL), handle);
	send_heartbeat(&client, handle, 2);
	run_until(client.last_sequence == 2);
	ck_assert_uint_eq(client.replies, 2);
	bus_free(client.bus);
	bus_free(server.bus);
}
END_TEST

/* Guards against setup errors that do not name the setting to correct. */
START_TEST(test_set_up_errors)
{
	GError *error = NULL;
	struct endpoint endpoint;

	ck_assert(!bus_new(loop, NULL, "short", keys.secret_key, &events,
			   &endpoint, &error));
	ck_assert(strstr(error->message, "bus_public_key"));
	g_clear_error(&error);
	ck_assert(!bus_new(loop, "no-address", keys.public_key, keys.secret_key,
			   &events, &endpoint, &error));
	ck_assert(strstr(error->message, "IP:PORT"));
	g_clear_error(&error);
	open_endpoint(&endpoint, NULL, false);
	ck_assert_int_eq(bus_connect(endpoint.bus, "nowhere", &error), -1);
	ck_assert(strstr(error->message, "IP:PORT"));
	g_clear_error(&error);
	bus_free(endpoint.bus);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_request_and_answer, test_refused_keys,
		test_bad_frames,	 test_peer_returns,
		test_forget_in_handler,	 test_set_up_errors,
	};

	loop = ev_loop_new(EVBACKEND_EPOLL);
	zmq_curve_keypair(keys.public_key, keys.secret_key);
	return test_run("bus", tests, G_N_ELEMENTS(tests));
}
