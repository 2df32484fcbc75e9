#include "bus.h"
#include "test_main.h"

#include <arpa/inet.h>
#include <string.h>
#include <unistd.h>
#include <zmq.h>

/* Generous bound on the wait for an event; a test fails when it is reached. */
#define BOUND_S 30.
#define BURST 500

/**
 * struct end - one endpoint and what it was told
 * @answer: whether requests are answered
 * @forget: whether a reply's handler forgets the peer
 */
struct end {
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

static void send_heartbeat(struct end *end, int handle, uint64_t sequence)
{
	Wire__Heartbeat hb = WIRE__HEARTBEAT__INIT;
	Wire__Envelope env = WIRE__ENVELOPE__INIT;

	hb.daemon = "entry-1";
	hb.sequence = sequence;
	env.body_case = WIRE__ENVELOPE__BODY_HEARTBEAT;
	env.heartbeat = &hb;
	bus_send(end->bus, handle, &env);
}

static void on_request(const struct bus_return_path *from,
		       const Wire__Envelope *envelope, void *data)
{
	struct end *end = data;
	Wire__LeaseGrant grant = WIRE__LEASE_GRANT__INIT;
	Wire__Envelope env = WIRE__ENVELOPE__INIT;

	end->requests++;
	if (envelope->body_case == WIRE__ENVELOPE__BODY_HEARTBEAT)
		end->last_sequence = envelope->heartbeat->sequence;
	grant.sequence = end->last_sequence;
	env.body_case = WIRE__ENVELOPE__BODY_LEASE_GRANT;
	env.lease_grant = &grant;
	if (end->answer)
		bus_answer(end->bus, from, &env);
}

static void on_reply(int handle, const Wire__Envelope *envelope, void *data)
{
	struct end *end = data;

	end->replies++;
	end->last_sequence = envelope->lease_grant->sequence;
	if (end->forget)
		bus_forget(end->bus, handle);
}

static const struct bus_events events = { on_request, on_reply };

static void open_end(struct end *end, const char *listen, bool answer)
{
	GError *error = NULL;

	*end = (struct end){ .answer = answer };
	end->bus = bus_new(loop, listen, keys.public_key, keys.secret_key,
			   &events, end, &error);
	ck_assert_msg(end->bus != NULL, "%s", error ? error->message : "");
}

/* An address of loopback that was free a moment ago. */
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

static void on_tick(struct ev_loop *l, ev_timer *timer, int revents)
{
}

/* Runs the loop until the condition holds; fails at the bound. */
#define run_until(condition)                                      \
	do {                                                      \
		ev_tstamp end_at = ev_time() + BOUND_S;           \
		ev_timer tick;                                    \
		ev_timer_init(&tick, on_tick, 0.01, 0.01);        \
		ev_timer_start(loop, &tick);                      \
		while (!(condition)) {                            \
			ck_assert_msg(ev_time() < end_at,         \
				      #condition " not reached"); \
			ev_run(loop, EVRUN_ONCE);                 \
		}                                                 \
		ev_timer_stop(loop, &tick);                       \
	} while (0)

static void *raw_dealer(void *context, const char *address,
			const struct keys *own, const char *server)
{
	g_autofree char *endpoint = g_strdup_printf("tcp://%s", address);
	void *dealer = zmq_socket(context, ZMQ_DEALER);
	int linger = 0;

	zmq_setsockopt(dealer, ZMQ_LINGER, &linger, sizeof(linger));
	if (own) {
		zmq_setsockopt(dealer, ZMQ_CURVE_PUBLICKEY, own->public_key,
			       41);
		zmq_setsockopt(dealer, ZMQ_CURVE_SECRETKEY, own->secret_key,
			       41);
		zmq_setsockopt(dealer, ZMQ_CURVE_SERVERKEY, server, 41);
	}
	ck_assert(!zmq_connect(dealer, endpoint));
	ck_assert_int_eq(zmq_send(dealer, "\x0a\x00", 2, 0), 2);
	return dealer;
}

/* Guards against an endpoint that misses an edge or loses part of a burst. */
START_TEST(test_request_and_answer)
{
	g_autofree char *address = free_address();
	struct end server, client;
	int handle, i;

	open_end(&server, address, true);
	open_end(&client, NULL, false);
	handle = bus_peer(client.bus, address, NULL);
	ck_assert_int_ge(handle, 0);
	ck_assert_int_eq(bus_peer(client.bus, address, NULL), handle);
	for (i = 1; i <= BURST; i++)
		send_heartbeat(&client, handle, i);
	run_until(client.replies == BURST);
	ck_assert_uint_eq(server.requests, BURST);
	ck_assert_uint_eq(client.last_sequence, BURST);
	ck_assert_uint_eq(bus_counts(client.bus)->sent, BURST);
	ck_assert_uint_eq(bus_counts(server.bus)->received, BURST);
	ck_assert_uint_eq(bus_counts(server.bus)->bytes_received,
			  bus_counts(client.bus)->bytes_sent);
	ck_assert_uint_eq(bus_counts(server.bus)->refused_keys, 0);
	bus_free(client.bus);
	bus_free(server.bus);
}
END_TEST

/* Guards against a peer outside of the deployment being let in, and against
 * its attempts costing the others an answer. */
START_TEST(test_refused_keys)
{
	g_autofree char *address = free_address();
	struct keys other;
	void *context = zmq_ctx_new();
	struct end server, client;
	const struct bus_counts *counts;
	void *dealers[3];
	uint64_t before;
	int handle, i;

	zmq_curve_keypair(other.public_key, other.secret_key);
	open_end(&server, address, true);
	open_end(&client, NULL, false);
	counts = bus_counts(server.bus);
	handle = bus_peer(client.bus, address, NULL);
	for (i = 0; i < 3; i++) {
		before = counts->refused_keys;
		if (i == 0)
			dealers[i] = raw_dealer(context, address, NULL, NULL);
		else if (i == 1)
			dealers[i] = raw_dealer(context, address, &other,
						keys.public_key);
		else
			dealers[i] = raw_dealer(context, address, &keys,
						other.public_key);
		send_heartbeat(&client, handle, i);
		run_until(counts->refused_keys > before &&
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

/* Guards against a frame that is no envelope reaching a task or ending the
 * connection of its sender. */
START_TEST(test_bad_frames)
{
	g_autofree char *address = free_address();
	g_autofree uint8_t *big = g_malloc0(BUS_FRAME_MAX + 1);
	void *context = zmq_ctx_new(), *raw;
	struct end server, client;
	const struct bus_counts *counts;
	int handle, i;

	open_end(&server, address, true);
	open_end(&client, NULL, false);
	counts = bus_counts(server.bus);
	handle = bus_peer(client.bus, address, NULL);
	raw = raw_dealer(context, address, &keys, keys.public_key);
	/* A heartbeat cut off in its first field. */
	zmq_send(raw, "\x0a\x09\x0a\x07", 4, 0);
	/* A message whose body has a field number that no version uses. */
	zmq_send(raw, "\x9a\x06\x00", 3, 0);
	zmq_send(raw, "", 0, 0);
	zmq_send(raw, "\x0a\x00", 2, ZMQ_SNDMORE);
	zmq_send(raw, "\x0a\x00", 2, 0);
	zmq_send(raw, big, BUS_FRAME_MAX + 1, 0);
	zmq_send(raw, "\x0a\x00", 2, 0);
	for (i = 1; i <= BURST; i++)
		send_heartbeat(&client, handle, i);
	run_until(client.replies == BURST && counts->received == BURST + 7);
	ck_assert_uint_eq(counts->malformed, 4);
	ck_assert_uint_eq(counts->oversized, 1);
	ck_assert_uint_eq(server.requests, BURST + 2);
	zmq_close(raw);
	zmq_ctx_term(context);
	bus_free(client.bus);
	bus_free(server.bus);
}
END_TEST

/* Guards against a peer that is gone being given up, and against its queue
 * holding up another peer or growing without bound. */
START_TEST(test_peer_returns)
{
	g_autofree char *address = free_address();
	g_autofree char *healthy_address = free_address();
	struct end server, healthy, client;
	int handle, healthy_handle, i;

	open_end(&server, address, true);
	open_end(&healthy, healthy_address, false);
	open_end(&client, NULL, false);
	handle = bus_peer(client.bus, address, NULL);
	healthy_handle = bus_peer(client.bus, healthy_address, NULL);
	send_heartbeat(&client, handle, 1);
	run_until(client.replies == 1);
	bus_free(server.bus);
	for (i = 0; i < 5000; i++)
		send_heartbeat(&client, handle, 2);
	ck_assert_uint_gt(bus_counts(client.bus)->dropped, 0);
	for (i = 1; i <= BURST; i++)
		send_heartbeat(&client, healthy_handle, i);
	run_until(healthy.requests == BURST);
	ck_assert_uint_eq(healthy.last_sequence, BURST);
	open_end(&server, address, true);
	client.last_sequence = 0;
	/* What waited in the queue comes first; until then 3 may be dropped. */
	run_until((send_heartbeat(&client, handle, 3),
		   client.last_sequence == 3));
	bus_free(client.bus);
	bus_free(healthy.bus);
	bus_free(server.bus);
}
END_TEST

/* Guards against use of a peer after its reply's handler has forgotten it,
 * and against a slot's next peer being taken for the last one. */
START_TEST(test_forget_in_handler)
{
	g_autofree char *address = free_address();
	struct end server, client;
	int handle, i;

	open_end(&server, address, true);
	open_end(&client, NULL, false);
	client.forget = true;
	handle = bus_peer(client.bus, address, NULL);
	for (i = 0; i < 10; i++)
		send_heartbeat(&client, handle, 1);
	run_until(client.replies == 1 && server.requests == 10);
	send_heartbeat(&client, handle, 1);
	ck_assert_uint_eq(bus_counts(client.bus)->dropped, 1);
	client.forget = false;
	ck_assert_int_eq(bus_peer(client.bus, address, NULL), handle);
	send_heartbeat(&client, handle, 2);
	run_until(client.last_sequence == 2);
	ck_assert_uint_eq(client.replies, 2);
	bus_free(client.bus);
	bus_free(server.bus);
}
END_TEST

/* Guards against a set-up error without a remedy. */
START_TEST(test_set_up_errors)
{
	GError *error = NULL;
	struct end end;

	ck_assert(!bus_new(loop, NULL, "short", keys.secret_key, &events, &end,
			   &error));
	ck_assert(strstr(error->message, "bus_public_key"));
	g_clear_error(&error);
	ck_assert(!bus_new(loop, "no-address", keys.public_key, keys.secret_key,
			   &events, &end, &error));
	ck_assert(strstr(error->message, "IP:PORT"));
	g_clear_error(&error);
	open_end(&end, NULL, false);
	ck_assert_int_eq(bus_peer(end.bus, "nowhere", &error), -1);
	ck_assert(strstr(error->message, "IP:PORT"));
	g_clear_error(&error);
	bus_free(end.bus);
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
