#include "bus_internal.h"
#include "error.h"

#include <string.h>
#include <zmq.h>

/*
 * A dead peer is noticed within BUS_HEARTBEAT_TIMEOUT_MS, so that the
 * connection is made anew instead of waiting for TCP's own timeout.
 */
#define BUS_HEARTBEAT_MS 500
#define BUS_HEARTBEAT_TIMEOUT_MS 1500
#define BUS_RECONNECT_MS 50
#define BUS_RECONNECT_MAX_MS 1000
/* Messages queued per peer and direction before further ones are dropped. */
#define BUS_HIGH_WATER 1024
/*
 * Frames up to this size reach the codec, which counts them as oversized and
 * keeps the connection; the library closes the connection on larger ones.
 */
#define BUS_WIRE_MAX (2ll * BUS_FRAME_MAX)
/* A daemon may hold a DEALER to each of 600 others; the default is 1023. */
#define BUS_SOCKETS_MAX 4096
/* Messages read from one socket before other watchers get their turn. */
#define BUS_READ_BATCH 256

/**
 * struct bus_peer - one DEALER
 * @serial: tells a slot's successive peers apart
 * @recheck: whether the socket is on the recheck list
 */
struct bus_peer {
	struct bus *bus;
	int handle;
	uint64_t serial;
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
	char public_key[BUS_KEY_TEXT];
	char secret_key[BUS_KEY_TEXT];
	struct bus_events events;
	void *data;
	GPtrArray *peers;
	GArray *rechecks;
	ev_timer recheck_timer;
	uint64_t next_serial;
	struct bus_counts counts;
};

/*
 * The descriptor signals an edge only, and a send consumes it as well; so a
 * socket is looked at once more after each send and after a full batch.
 */
static void schedule_recheck(struct bus *bus)
{
	if (ev_is_active(&bus->recheck_timer))
		return;
	ev_timer_set(&bus->recheck_timer, 0., 0.);
	ev_timer_start(bus->loop, &bus->recheck_timer);
}

static void recheck_router(struct bus *bus)
{
	bus->router_recheck = true;
	schedule_recheck(bus);
}

static void recheck_peer(struct bus_peer *peer)
{
	if (!peer->recheck)
		g_array_append_val(peer->bus->rechecks, peer->handle);
	peer->recheck = true;
	schedule_recheck(peer->bus);
}

static struct bus_peer *peer_at(const struct bus *bus, int handle)
{
	if (handle < 0 || (guint)handle >= bus->peers->len)
		return NULL;
	return g_ptr_array_index(bus->peers, handle);
}

static void read_router(struct bus *bus)
{
	unsigned budget = BUS_READ_BATCH;
	struct bus_return_path from;
	Wire__Envelope *envelope;

	while ((envelope = bus_frame_receive(bus->router, &from, &budget,
					     &bus->counts))) {
		if (bus->events.request)
			bus->events.request(&from, envelope, bus->data);
		wire__envelope__free_unpacked(envelope, NULL);
	}
	if (!budget)
		recheck_router(bus);
}

/* A reply's handler may forget the peer, so it is looked up each time. */
static void read_peer(struct bus *bus, int handle)
{
	struct bus_peer *peer = peer_at(bus, handle);
	unsigned budget = BUS_READ_BATCH;
	uint64_t serial = peer->serial;
	Wire__Envelope *envelope;

	while (peer && peer->serial == serial) {
		envelope = bus_frame_receive(peer->dealer, NULL, &budget,
					     &bus->counts);
		if (!envelope)
			break;
		if (bus->events.reply)
			bus->events.reply(handle, envelope, bus->data);
		wire__envelope__free_unpacked(envelope, NULL);
		peer = peer_at(bus, handle);
	}
	if (!budget && peer && peer->serial == serial)
		recheck_peer(peer);
}

static void on_router(struct ev_loop *loop, ev_io *io, int events)
{
	read_router(io->data);
}

static void on_peer(struct ev_loop *loop, ev_io *io, int events)
{
	struct bus_peer *peer = io->data;

	read_peer(peer->bus, peer->handle);
}

static void on_recheck(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct bus *bus = timer->data;
	GArray *handles = bus->rechecks;
	struct bus_peer *peer;
	guint i;

	bus->rechecks = g_array_new(FALSE, FALSE, sizeof(int));
	if (bus->router_recheck) {
		bus->router_recheck = false;
		read_router(bus);
	}
	for (i = 0; i < handles->len; i++) {
		peer = peer_at(bus, g_array_index(handles, int, i));
		if (!peer || !peer->recheck)
			continue;
		peer->recheck = false;
		read_peer(bus, peer->handle);
	}
	g_array_free(handles, TRUE);
}

static bool set_int(void *socket, int option, int value)
{
	return !zmq_setsockopt(socket, option, &value, sizeof(value));
}

static bool set_common_options(const struct bus *bus, void *socket)
{
	int64_t wire_max = BUS_WIRE_MAX;

	if (!set_int(socket, ZMQ_LINGER, 0) ||
	    !set_int(socket, ZMQ_SNDHWM, BUS_HIGH_WATER) ||
	    !set_int(socket, ZMQ_RCVHWM, BUS_HIGH_WATER) ||
	    !set_int(socket, ZMQ_HEARTBEAT_IVL, BUS_HEARTBEAT_MS) ||
	    !set_int(socket, ZMQ_HEARTBEAT_TIMEOUT, BUS_HEARTBEAT_TIMEOUT_MS) ||
	    !set_int(socket, ZMQ_HEARTBEAT_TTL, BUS_HEARTBEAT_TIMEOUT_MS) ||
	    zmq_setsockopt(socket, ZMQ_MAXMSGSIZE, &wire_max, sizeof(wire_max)))
		return false;
	return !bus->encrypted ||
	       !zmq_setsockopt(socket, ZMQ_CURVE_SECRETKEY, bus->secret_key,
			       BUS_KEY_TEXT);
}

static bool fail(GError **error, const char *what, const char *address,
		 const char *remedy)
{
	g_set_error(error, CW_ERROR, CW_ERROR_IO, "bus: cannot %s %s: %s; %s",
		    what, address, zmq_strerror(zmq_errno()), remedy);
	return false;
}

static bool bind_router(struct bus *bus, const char *listen, GError **error)
{
	g_autofree char *endpoint = g_strdup_printf("tcp://%s", listen);

	bus->router = zmq_socket(bus->context, ZMQ_ROUTER);
	if (!bus->router || !set_common_options(bus, bus->router) ||
	    !set_int(bus->router, ZMQ_ROUTER_MANDATORY, 1) ||
	    (bus->encrypted && !set_int(bus->router, ZMQ_CURVE_SERVER, 1)))
		return fail(error, "set up", listen,
			    "check bus_secret_key and the open files limit");
	if (bus->encrypted &&
	    !bus_zap_start(&bus->zap, bus->loop, bus->context, bus->router,
			   bus->public_key, &bus->counts.refused_keys, error))
		return false;
	if (zmq_bind(bus->router, endpoint))
		return fail(error, "listen on", listen,
			    "use a free IP:PORT of this VM");
	ev_io_init(&bus->router_io, on_router, bus_socket_fd(bus->router),
		   EV_READ);
	bus->router_io.data = bus;
	ev_io_start(bus->loop, &bus->router_io);
	recheck_router(bus);
	return true;
}

static bool take_keys(struct bus *bus, const char *public_key,
		      const char *secret_key, GError **error)
{
	bus->encrypted = public_key != NULL;
	if (!bus->encrypted)
		return true;
	if (!secret_key || strlen(public_key) != BUS_KEY_TEXT - 1 ||
	    strlen(secret_key) != BUS_KEY_TEXT - 1) {
		g_set_error(error, CW_ERROR, CW_ERROR_SETTINGS,
			    "bus: a key is not 40 characters of Z85; set "
			    "bus_public_key and bus_secret_key to one pair");
		return false;
	}
	memcpy(bus->public_key, public_key, BUS_KEY_TEXT);
	memcpy(bus->secret_key, secret_key, BUS_KEY_TEXT);
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
	bus->rechecks = g_array_new(FALSE, FALSE, sizeof(int));
	bus->context = zmq_ctx_new();
	zmq_ctx_set(bus->context, ZMQ_MAX_SOCKETS, BUS_SOCKETS_MAX);
	ev_timer_init(&bus->recheck_timer, on_recheck, 0., 0.);
	bus->recheck_timer.data = bus;
	if (!take_keys(bus, public_key, secret_key, error) ||
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
		bus_forget(bus, i);
	ev_timer_stop(bus->loop, &bus->recheck_timer);
	if (ev_is_active(&bus->router_io))
		ev_io_stop(bus->loop, &bus->router_io);
	if (bus->router)
		zmq_close(bus->router);
	bus_zap_stop(&bus->zap);
	zmq_ctx_term(bus->context);
	g_ptr_array_free(bus->peers, TRUE);
	g_array_free(bus->rechecks, TRUE);
	g_free(bus);
}

static void *connect_dealer(struct bus *bus, const char *address)
{
	g_autofree char *endpoint = g_strdup_printf("tcp://%s", address);
	void *dealer = zmq_socket(bus->context, ZMQ_DEALER);
	bool ok = dealer && set_common_options(bus, dealer) &&
		  set_int(dealer, ZMQ_RECONNECT_IVL, BUS_RECONNECT_MS) &&
		  set_int(dealer, ZMQ_RECONNECT_IVL_MAX, BUS_RECONNECT_MAX_MS);

	if (ok && bus->encrypted)
		ok = !zmq_setsockopt(dealer, ZMQ_CURVE_PUBLICKEY,
				     bus->public_key, BUS_KEY_TEXT) &&
		     !zmq_setsockopt(dealer, ZMQ_CURVE_SERVERKEY,
				     bus->public_key, BUS_KEY_TEXT);
	if (ok && !zmq_connect(dealer, endpoint))
		return dealer;
	if (dealer)
		zmq_close(dealer);
	return NULL;
}

/* First free slot, so that handles stay small while peers come and go. */
static int free_slot(struct bus *bus, const char *address, int *known)
{
	struct bus_peer *peer;
	int slot = -1;
	guint i;

	*known = -1;
	for (i = 0; i < bus->peers->len; i++) {
		peer = g_ptr_array_index(bus->peers, i);
		if (!peer && slot < 0)
			slot = i;
		if (peer && !strcmp(peer->address, address))
			*known = i;
	}
	if (slot < 0 && *known < 0) {
		g_ptr_array_add(bus->peers, NULL);
		slot = bus->peers->len - 1;
	}
	return slot;
}

int bus_peer(struct bus *bus, const char *address, GError **error)
{
	struct bus_peer *peer;
	int known, slot;
	void *dealer;

	slot = free_slot(bus, address, &known);
	if (known >= 0)
		return known;
	dealer = connect_dealer(bus, address);
	if (!dealer) {
		fail(error, "connect to", address,
		     "use an address of the form IP:PORT");
		return -1;
	}
	peer = g_new0(struct bus_peer, 1);
	peer->bus = bus;
	peer->handle = slot;
	peer->serial = ++bus->next_serial;
	peer->address = g_strdup(address);
	peer->dealer = dealer;
	ev_io_init(&peer->io, on_peer, bus_socket_fd(dealer), EV_READ);
	peer->io.data = peer;
	ev_io_start(bus->loop, &peer->io);
	g_ptr_array_index(bus->peers, slot) = peer;
	recheck_peer(peer);
	return slot;
}

void bus_forget(struct bus *bus, int handle)
{
	struct bus_peer *peer = peer_at(bus, handle);

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
	struct bus_peer *peer = peer_at(bus, handle);

	if (!peer) {
		bus->counts.dropped++;
		return;
	}
	bus_frame_send(peer->dealer, NULL, envelope, &bus->counts);
	recheck_peer(peer);
}

void bus_answer(struct bus *bus, const struct bus_return_path *to,
		const Wire__Envelope *envelope)
{
	if (!bus->router) {
		bus->counts.dropped++;
		return;
	}
	bus_frame_send(bus->router, to, envelope, &bus->counts);
	recheck_router(bus);
}

const struct bus_counts *bus_counts(const struct bus *bus)
{
	return &bus->counts;
}
