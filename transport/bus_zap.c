#include "bus_internal.h"
#include "error.h"

#include <string.h>
#include <zmq.h>

/**
 * DOC: ZeroMQ authentication (RFC 27) within the endpoint's own loop.
 */

#define ZAP_ADDRESS "inproc://zeromq.zap.01"
#define MONITOR_ADDRESS "inproc://bus.monitor"
/* Version, request id, domain, address, identity, mechanism, credentials. */
#define ZAP_PARTS 7
#define ZAP_REQUEST_ID 1
#define ZAP_MECHANISM 5
#define ZAP_CREDENTIALS 6
#define ZAP_PART_MAX 256

struct zap_part {
	uint8_t bytes[ZAP_PART_MAX];
	size_t len;
};

int bus_socket_fd(void *socket)
{
	int fd = -1;
	size_t len = sizeof(fd);

	zmq_getsockopt(socket, ZMQ_FD, &fd, &len);
	return fd;
}

/* Return: parts received, 0 when no request waits; longer ones are cut off. */
static unsigned zap_receive(void *rep, struct zap_part *parts)
{
	unsigned nr = 0;
	zmq_msg_t msg;
	int more = 1;

	while (more) {
		zmq_msg_init(&msg);
		if (zmq_msg_recv(&msg, rep, ZMQ_DONTWAIT) < 0) {
			zmq_msg_close(&msg);
			return 0;
		}
		more = zmq_msg_more(&msg);
		if (nr < ZAP_PARTS) {
			parts[nr].len = MIN(zmq_msg_size(&msg), ZAP_PART_MAX);
			memcpy(parts[nr].bytes, zmq_msg_data(&msg),
			       parts[nr].len);
		}
		nr++;
		zmq_msg_close(&msg);
	}
	return nr;
}

static bool part_is(const struct zap_part *part, const void *bytes, size_t len)
{
	return part->len == len && !memcmp(part->bytes, bytes, len);
}

static void zap_answer(struct bus_zap *zap, const struct zap_part *parts,
		       bool let_in)
{
	const struct zap_part *id = &parts[ZAP_REQUEST_ID];
	const char *status = let_in ? "200" : "400";
	const char *text = let_in ? "OK" : "unknown key";

	zmq_send(zap->rep, "1.0", 3, ZMQ_SNDMORE);
	zmq_send(zap->rep, id->bytes, id->len, ZMQ_SNDMORE);
	zmq_send(zap->rep, status, 3, ZMQ_SNDMORE);
	zmq_send(zap->rep, text, strlen(text), ZMQ_SNDMORE);
	zmq_send(zap->rep, "", 0, ZMQ_SNDMORE);
	zmq_send(zap->rep, "", 0, 0);
}

static void zap_serve(struct ev_loop *loop, ev_io *io, int events)
{
	struct bus_zap *zap = io->data;
	struct zap_part parts[ZAP_PARTS] = { 0 };
	unsigned nr;
	bool let_in;

	while ((nr = zap_receive(zap->rep, parts))) {
		let_in = nr == ZAP_PARTS &&
			 part_is(&parts[ZAP_MECHANISM], "CURVE", 5) &&
			 part_is(&parts[ZAP_CREDENTIALS], zap->key,
				 BUS_KEY_BYTES);
		if (!let_in)
			(*zap->refused)++;
		zap_answer(zap, parts, let_in);
	}
}

/*
 * A peer without a key, or with another server key, fails before a key is
 * shown to the authentication, so these refusals come from the monitor. A
 * peer without a key may notice the mismatch first and close; that is
 * reported as a handshake that ended without detail, as is a connection that
 * breaks off within its handshake, and both are counted as refused.
 */
static void monitor_serve(struct ev_loop *loop, ev_io *io, int events)
{
	struct bus_zap *zap = io->data;
	uint8_t event[6], address[ZAP_PART_MAX];

	while (zmq_recv(zap->monitor, event, sizeof(event), ZMQ_DONTWAIT) >=
	       0) {
		(*zap->refused)++;
		zmq_recv(zap->monitor, address, sizeof(address), ZMQ_DONTWAIT);
	}
}

static bool zap_fail(struct bus_zap *zap, GError **error)
{
	g_set_error(error, CW_ERROR, CW_ERROR_IO,
		    "bus authentication: %s; check bus_public_key, and raise "
		    "the limit of open files if it is reached",
		    zmq_strerror(zmq_errno()));
	bus_zap_stop(zap);
	return false;
}

bool bus_zap_start(struct bus_zap *zap, struct ev_loop *loop, void *context,
		   void *router, const char *public_key, uint64_t *refused,
		   GError **error)
{
	int linger = 0;

	*zap = (struct bus_zap){ .loop = loop, .refused = refused };
	zap->rep = zmq_socket(context, ZMQ_REP);
	zap->monitor = zmq_socket(context, ZMQ_PAIR);
	if (!zap->rep || !zap->monitor || !zmq_z85_decode(zap->key, public_key))
		return zap_fail(zap, error);
	zmq_setsockopt(zap->rep, ZMQ_LINGER, &linger, sizeof(linger));
	zmq_setsockopt(zap->monitor, ZMQ_LINGER, &linger, sizeof(linger));
	if (zmq_bind(zap->rep, ZAP_ADDRESS) ||
	    zmq_socket_monitor(router, MONITOR_ADDRESS,
			       ZMQ_EVENT_HANDSHAKE_FAILED_PROTOCOL |
				       ZMQ_EVENT_HANDSHAKE_FAILED_NO_DETAIL) ||
	    zmq_connect(zap->monitor, MONITOR_ADDRESS))
		return zap_fail(zap, error);
	ev_io_init(&zap->rep_io, zap_serve, bus_socket_fd(zap->rep), EV_READ);
	ev_io_init(&zap->monitor_io, monitor_serve, bus_socket_fd(zap->monitor),
		   EV_READ);
	zap->rep_io.data = zap;
	zap->monitor_io.data = zap;
	ev_io_start(loop, &zap->rep_io);
	ev_io_start(loop, &zap->monitor_io);
	/* Binding and connecting may have consumed the first edge. */
	ev_feed_event(loop, &zap->rep_io, EV_READ);
	ev_feed_event(loop, &zap->monitor_io, EV_READ);
	return true;
}

void bus_zap_stop(struct bus_zap *zap)
{
	if (ev_is_active(&zap->rep_io))
		ev_io_stop(zap->loop, &zap->rep_io);
	if (ev_is_active(&zap->monitor_io))
		ev_io_stop(zap->loop, &zap->monitor_io);
	if (zap->rep)
		zmq_close(zap->rep);
	if (zap->monitor)
		zmq_close(zap->monitor);
	zap->rep = NULL;
	zap->monitor = NULL;
}
