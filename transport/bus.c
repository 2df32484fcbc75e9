#include "bus_internal.h"
#include "error.h"

#include <string.h>
#include <zmq.h>

/*
 * A peer that misses heartbeats for BUS_HEARTBEAT_TIMEOUT_MS is disconnected
 * and reconnected to, instead of waiting for TCP's own timeout.
 */
#define BUS_HEARTBEAT_MS 500
#define BUS_HEARTBEAT_TIMEOUT_MS 1500
/* A peer that does not finish its handshake holds a descriptor for as long. */
#define BUS_HANDSHAKE_MS 10000
#define BUS_RECONNECT_MS 50
#define BUS_RECONNECT_MAX_MS 1000
/* Messages queued per peer and direction; further ones are dropped. */
#define BUS_QUEUE_MAX_MESSAGES 1024
/*
 * libzmq closes the connection on frames above this size, bytes. The limit
 * exceeds BUS_FRAME_MAX, so that somewhat oversized frames still reach the
 * codec, which counts them and keeps the connection open.
 */
#define BUS_WIRE_FRAME_MAX (2ll * BUS_FRAME_MAX)
/* A daemon may connect to 600 others; the default of libzmq is 1023. */
#define BUS_SOCKETS_MAX 4096
/* Messages read from one socket before other watchers of the loop run. */
#define BUS_READ_BATCH_MESSAGES 256

/**
 * struct bus_dealer - DEALER socket connected to one peer
 * @generation: unique number that detects the reuse of a handle
 * @recheck: whether @handle is in the recheck_handles of @bus
 */
struct bus_dealer {
	struct bus *bus;
	int handle;
	uint64_t generation;
	char *address;
	void *dealer;
	ev_io io;
	bool recheck;
};

struct bus {
	struct ev_loop *loop;
	void *context;
	void *router;
	ev_io router_io;
	bool router_recheck;
	struct bus_zap zap;
	bool encrypted;
	char public_key[BUS_KEY_TEXT_SIZE];
	char secret_key[BUS_KEY_TEXT_SIZE];
	struct bus_events events;
	void *data;
	GPtrArray *peers;
	GArray *recheck_handles;
	ev_timer recheck_timer;
	uint64_t last_generation;
	struct bus_counts counts;
};

/*
 * ZMQ_FD is edge-triggered, and zmq_send() consumes edges too. Each socket is
 * therefore read again after a send and after a full batch.
 */
static void start_recheck_timer(struct bus *bus)
{
	if (ev_is_active(&bus->recheck_timer))
		return;
	ev_timer_set(&bus->recheck_timer, 0., 0.);
	ev_timer_start(bus->loop, &bus->recheck_timer);
}

static void schedule_router_recheck(struct bus *bus)
{
	bus->router_recheck = true;
	start_recheck_timer(bus);
}

static void schedule_peer_recheck(struct bus_dealer *peer)
{
	if (!peer->recheck)
		g_array_append_val(peer->bus->recheck_handles, peer->handle);
	peer->recheck = true;
	start_recheck_timer(peer->bus);
}

static struct bus_dealer *find_peer(const struct bus *bus, int handle)
{
	if (handle < 0 || (guint)handle >= bus->peers->len)
		return NULL;
	return g_ptr_array_index(bus->peers, handle);
}

static void read_router(struct bus *bus)
{
	unsigned budget = BUS_READ_BATCH_MESSAGES;
	struct bus_return_path from;
	Wire__Envelope *envelope;

	while ((envelope = bus_frame_receive(bus->router, &from, &budget,
					     &bus->counts))) {
		if (bus->events.request)
			bus->events.request(&from, envelope, bus->data);
		wire__envelope__free_unpacked(envelope, NULL);
	}
	if (!budget)
		schedule_router_recheck(bus);
}

/* The reply callback may free the peer, so it is looked up after each call. */
static void read_peer(struct bus *bus, int handle)
{
	struct bus_dealer *peer = find_peer(bus, handle);
	unsigned budget = BUS_READ_BATCH_MESSAGES;
	uint64_t generation = peer->generation;
	Wire__Envelope *envelope;

	while (peer && peer->generation == generation) {
		envelope = bus_frame_receive(peer->dealer, NULL, &budget,
					     &bus->counts);
		if (!envelope)
			break;
		if (bus->events.reply)
			bus->events.reply(handle, envelope, bus->data);
		wire__envelope__free_unpacked(envelope, NULL);
		peer = find_peer(bus, handle);
	}
	if (!budget && peer && peer->generation == generation)
		schedule_peer_recheck(peer);
}

static void on_router_readable(struct ev_loop *loop, ev_io *io, int events)
{
	read_router(io->data);
}

static void on_peer_readable(struct ev_loop *loop, ev_io *io, int events)
{
	struct bus_dealer *peer = io->data;

	read_peer(peer->bus, peer->handle);
}

static void on_recheck_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct bus *bus = timer->data;
	GArray *handles = bus->recheck_handles;
	struct bus_dealer *peer;
	guint i;

	bus->recheck_handles = g_array_new(FALSE, FALSE, sizeof(int));
	if (bus->router_recheck) {
		bus->router_recheck = false;
		read_router(bus);
	}
	for (i = 0; i < handles->len; i++) {
		peer = find_peer(bus, g_array_index(handles, int, i));
		if (!peer || !peer->recheck)
			continue;
		peer->recheck = false;
		read_peer(bus, peer->handle);
	}
	g_array_free(handles, TRUE);
}

static bool set_int_option(void *socket, int option, int value)
{
	return !zmq_setsockopt(socket, option, &value, sizeof(value));
}

static bool set_common_options(const struct bus *bus, void *socket)
{
	int64_t frame_max = BUS_WIRE_FRAME_MAX;

	if (!set_int_option(socket, ZMQ_LINGER, 0) ||
	    !set_int_option(socket, ZMQ_SNDHWM, BUS_QUEUE_MAX_MESSAGES) ||
	    !set_int_option(socket, ZMQ_RCVHWM, BUS_QUEUE_MAX_MESSAGES) ||
	    !set_int_option(socket, ZMQ_HANDSHAKE_IVL, BUS_HANDSHAKE_MS) ||
	    !set_int_option(socket, ZMQ_HEARTBEAT_IVL, BUS_HEARTBEAT_MS) ||
	    !set_int_option(socket, ZMQ_HEARTBEAT_TIMEOUT,
			    BUS_HEARTBEAT_TIMEOUT_MS) ||
	    !set_int_option(socket, ZMQ_HEARTBEAT_TTL,
			    BUS_HEARTBEAT_TIMEOUT_MS) ||
	    zmq_setsockopt(socket, ZMQ_MAXMSGSIZE, &frame_max,
			   sizeof(frame_max)))
		return false;
	return !bus->encrypted ||
	       !zmq_setsockopt(socket, ZMQ_CURVE_SECRETKEY, bus->secret_key,
			       BUS_KEY_TEXT_SIZE);
}

static bool set_zmq_error(GError **error, const char *action,
			  const char *address, const char *remedy)
{
	g_set_error(error, CW_ERROR, CW_ERROR_IO, "bus: cannot %s %s: %s; %s",
		    action, address, zmq_strerror(zmq_errno()), remedy);
	return false;
}

static bool bind_router(struct bus *bus, const char *listen, GError **error)
{
	g_autofree char *endpoint = g_strdup_printf("tcp://%s", listen);

	bus->router = zmq_socket(bus->context, ZMQ_ROUTER);
	if (!bus->router || !set_common_options(bus, bus->router) ||
	    !set_int_option(bus->router, ZMQ_ROUTER_MANDATORY, 1) ||
	    (bus->encrypted &&
	     !set_int_option(bus->router, ZMQ_CURVE_SERVER, 1)))
		return set_zmq_error(
			error, "set up", listen,
			"check bus_secret_key and the open file limit");
	if (bus->encrypted &&
	    !bus_zap_start(&bus->zap, bus->loop, bus->context, bus->router,
			   bus->public_key, &bus->counts, error))
		return false;
	if (zmq_bind(bus->router, endpoint))
		return set_zmq_error(
			error, "listen on", listen,
			"use an IP:PORT of this VM that is not in use");
	ev_io_init(&bus->router_io, on_router_readable,
		   bus_socket_fd(bus->router), EV_READ);
	bus->router_io.data = bus;
	ev_io_start(bus->loop, &bus->router_io);
	schedule_router_recheck(bus);
	return true;
}

static bool copy_keys(struct bus *bus, const char *public_key,
		      const char *secret_key, GError **error)
{
	bus->encrypted = public_key != NULL;
	if (!bus->encrypted)
		return true;
	if (!secret_key || strlen(public_key) != BUS_KEY_TEXT_SIZE - 1 ||
	    strlen(secret_key) != BUS_KEY_TEXT_SIZE - 1) {
		g_set_error(
			error, CW_ERROR, CW_ERROR_SETTINGS,
			"bus: keys must be 40 Z85 characters each; set "
			"bus_public_key and bus_secret_key to one key pair");
		return false;
	}
	memcpy(bus->public_key, public_key, BUS_KEY_TEXT_SIZE);
	memcpy(bus->secret_key, secret_key, BUS_KEY_TEXT_SIZE);
	return true;
}

struct bus *bus_new(struct ev_loop *loop, const char *listen,
		    const char *public_key, const char *secret_key,
		    const struct bus_events *events, void *data, GError **error)
{
	struct bus *bus = g_new0(struct bus, 1);

	bus->loop = loop;
	bus->events = *events;
	bus->data = data;
	bus->peers = g_ptr_array_new();
	bus->recheck_handles = g_array_new(FALSE, FALSE, sizeof(int));
	bus->context = zmq_ctx_new();
	zmq_ctx_set(bus->context, ZMQ_MAX_SOCKETS, BUS_SOCKETS_MAX);
	ev_timer_init(&bus->recheck_timer, on_recheck_timer, 0., 0.);
	bus->recheck_timer.data = bus;
	if (!copy_keys(bus, public_key, secret_key, error) ||
	    (listen && !bind_router(bus, listen, error))) {
		bus_free(bus);
		return NULL;
	}
	return bus;
}

void bus_free(struct bus *bus)
{
	guint i;

	if (!bus)
		return;
	for (i = 0; i < bus->peers->len; i++)
		bus_disconnect(bus, i);
	ev_timer_stop(bus->loop, &bus->recheck_timer);
	if (ev_is_active(&bus->router_io))
		ev_io_stop(bus->loop, &bus->router_io);
	if (bus->router)
		zmq_close(bus->router);
	bus_zap_stop(&bus->zap);
	zmq_ctx_term(bus->context);
	g_ptr_array_free(bus->peers, TRUE);
	g_array_free(bus->recheck_handles, TRUE);
	g_free(bus);
}

static void *connect_dealer(struct bus *bus, const char *address)
{
	g_autofree char *endpoint = g_strdup_printf("tcp://%s", address);
	void *dealer = zmq_socket(bus->context, ZMQ_DEALER);
	bool ok = dealer && set_common_options(bus, dealer) &&
		  set_int_option(dealer, ZMQ_RECONNECT_IVL, BUS_RECONNECT_MS) &&
		  set_int_option(dealer, ZMQ_RECONNECT_IVL_MAX,
				 BUS_RECONNECT_MAX_MS);

	if (ok && bus->encrypted)
		ok = !zmq_setsockopt(dealer, ZMQ_CURVE_PUBLICKEY,
				     bus->public_key, BUS_KEY_TEXT_SIZE) &&
		     !zmq_setsockopt(dealer, ZMQ_CURVE_SERVERKEY,
				     bus->public_key, BUS_KEY_TEXT_SIZE);
	if (ok && !zmq_connect(dealer, endpoint))
		return dealer;
	if (dealer)
		zmq_close(dealer);
	return NULL;
}

/*
 * Finds the first free slot, so that handles stay small as peers are replaced.
 * *@existing is the handle of the peer already connected to @address, else -1.
 */
static int find_slot(struct bus *bus, const char *address, int *existing)
{
	struct bus_dealer *peer;
	int slot = -1;
	guint i;

	*existing = -1;
	for (i = 0; i < bus->peers->len; i++) {
		peer = g_ptr_array_index(bus->peers, i);
		if (!peer && slot < 0)
			slot = i;
		if (peer && !strcmp(peer->address, address))
			*existing = i;
	}
	if (slot < 0 && *existing < 0) {
		g_ptr_array_add(bus->peers, NULL);
		slot = bus->peers->len - 1;
	}
	return slot;
}

int bus_connect(struct bus *bus, const char *address, GError **error)
{
	struct bus_dealer *peer;
	int existing, slot;
	void *dealer;

	slot = find_slot(bus, address, &existing);
	if (existing >= 0)
		return existing;
	dealer = connect_dealer(bus, address);
	if (!dealer) {
		set_zmq_error(error, "connect to", address,
			      "use an address of the form IP:PORT");
		return -1;
	}
	peer = g_new0(struct bus_dealer, 1);
	peer->bus = bus;
	peer->handle = slot;
	peer->generation = ++bus->last_generation;
	peer->address = g_strdup(address);
	peer->dealer = dealer;
	ev_io_init(&peer->io, on_peer_readable, bus_socket_fd(dealer), EV_READ);
	peer->io.data = peer;
	ev_io_start(bus->loop, &peer->io);
	g_ptr_array_index(bus->peers, slot) = peer;
	schedule_peer_recheck(peer);
	return slot;
}

void bus_disconnect(struct bus *bus, int handle)
{
	struct bus_dealer *peer = find_peer(bus, handle);

	if (!peer)
		return;
	ev_io_stop(bus->loop, &peer->io);
	zmq_close(peer->dealer);
	g_ptr_array_index(bus->peers, handle) = NULL;
	g_free(peer->address);
	g_free(peer);
}

void bus_send(struct bus *bus, int handle, const Wire__Envelope *envelope)
{
	struct bus_dealer *peer = find_peer(bus, handle);

	if (!peer) {
		bus->counts.dropped++;
		return;
	}
	bus_frame_send(peer->dealer, NULL, envelope, &bus->counts);
	schedule_peer_recheck(peer);
}

void bus_reply(struct bus *bus, const struct bus_return_path *to,
	       const Wire__Envelope *envelope)
{
	if (!bus->router) {
		bus->counts.dropped++;
		return;
	}
	bus_frame_send(bus->router, to, envelope, &bus->counts);
	schedule_router_recheck(bus);
}

const struct bus_counts *bus_counts(const struct bus *bus)
{
	return &bus->counts;
}
