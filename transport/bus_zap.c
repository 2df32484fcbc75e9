#include "bus_internal.h"
#include "error.h"

#include <string.h>
#include <zmq.h>

/**
 * DOC: ZeroMQ Authentication Protocol (RFC 27) in the endpoint's event loop.
 */

#define ZAP_ADDRESS "inproc://zeromq.zap.01"
#define MONITOR_ADDRESS "inproc://bus.monitor"
/* Version, request id, domain, address, identity, mechanism, credentials. */
#define ZAP_PARTS 7
#define ZAP_REQUEST_ID 1
#define ZAP_MECHANISM 5
#define ZAP_CREDENTIALS 6
#define ZAP_PART_MAX_BYTES 256

struct zap_part {
	uint8_t bytes[ZAP_PART_MAX_BYTES];
	size_t len;
};

int bus_socket_fd(void *socket)
{
	int fd = -1;
	size_t len = sizeof(fd);

	zmq_getsockopt(socket, ZMQ_FD, &fd, &len);
	return fd;
}

/*
 * Receives one ZAP request; parts above ZAP_PART_MAX_BYTES are truncated,
 * excess parts discarded.
 * Return: number of parts received, 0 if no request is pending
 */
static unsigned receive_zap_request(void *rep, struct zap_part *parts)
{
	unsigned nr_parts = 0;
	zmq_msg_t msg;
	int more = 1;

	while (more) {
		zmq_msg_init(&msg);
		if (zmq_msg_recv(&msg, rep, ZMQ_DONTWAIT) < 0) {
			zmq_msg_close(&msg);
			return 0;
		}
		more = zmq_msg_more(&msg);
		if (nr_parts < ZAP_PARTS) {
			parts[nr_parts].len =
				MIN(zmq_msg_size(&msg), ZAP_PART_MAX_BYTES);
			memcpy(parts[nr_parts].bytes, zmq_msg_data(&msg),
			       parts[nr_parts].len);
		}
		nr_parts++;
		zmq_msg_close(&msg);
	}
	return nr_parts;
}

static bool part_equals(const struct zap_part *part, const void *bytes,
			size_t len)
{
	return part->len == len && !memcmp(part->bytes, bytes, len);
}

static void send_zap_reply(struct bus_zap *zap, const struct zap_part *parts,
			   bool accepted)
{
	const struct zap_part *id = &parts[ZAP_REQUEST_ID];
	const char *status = accepted ? "200" : "400";
	const char *text = accepted ? "OK" : "unknown key";

	zmq_send(zap->rep, "1.0", 3, ZMQ_SNDMORE);
	zmq_send(zap->rep, id->bytes, id->len, ZMQ_SNDMORE);
	zmq_send(zap->rep, status, 3, ZMQ_SNDMORE);
	zmq_send(zap->rep, text, strlen(text), ZMQ_SNDMORE);
	zmq_send(zap->rep, "", 0, ZMQ_SNDMORE);
	zmq_send(zap->rep, "", 0, 0);
}

static void on_zap_request(struct ev_loop *loop, ev_io *io, int events)
{
	struct bus_zap *zap = io->data;
	struct zap_part parts[ZAP_PARTS] = { 0 };
	unsigned nr_parts;
	bool accepted;

	while ((nr_parts = receive_zap_request(zap->rep, parts))) {
		accepted = nr_parts == ZAP_PARTS &&
			   part_equals(&parts[ZAP_MECHANISM], "CURVE", 5) &&
			   part_equals(&parts[ZAP_CREDENTIALS], zap->key,
				       BUS_KEY_SIZE);
		if (!accepted)
			(*zap->refused)++;
		send_zap_reply(zap, parts, accepted);
	}
}

/*
 * Peers without a key or with another server key fail before the ZAP request,
 * so their refusals are counted here. A peer without a key may detect the
 * mismatch first and close the connection; libzmq then reports a failed
 * handshake without detail. It does the same for a connection that is lost
 * during the handshake, which is thus counted as refused too.
 */
static void on_monitor_event(struct ev_loop *loop, ev_io *io, int events)
{
	struct bus_zap *zap = io->data;
	uint8_t event[6], address[ZAP_PART_MAX_BYTES];

	while (zmq_recv(zap->monitor, event, sizeof(event), ZMQ_DONTWAIT) >=
	       0) {
		(*zap->refused)++;
		zmq_recv(zap->monitor, address, sizeof(address), ZMQ_DONTWAIT);
	}
}

static bool set_start_error(struct bus_zap *zap, GError **error)
{
	g_set_error(error, CW_ERROR, CW_ERROR_IO,
		    "bus authentication: %s; check bus_public_key and the "
		    "open file limit",
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
		return set_start_error(zap, error);
	zmq_setsockopt(zap->rep, ZMQ_LINGER, &linger, sizeof(linger));
	zmq_setsockopt(zap->monitor, ZMQ_LINGER, &linger, sizeof(linger));
	if (zmq_bind(zap->rep, ZAP_ADDRESS) ||
	    zmq_socket_monitor(router, MONITOR_ADDRESS,
			       ZMQ_EVENT_HANDSHAKE_FAILED_PROTOCOL |
				       ZMQ_EVENT_HANDSHAKE_FAILED_NO_DETAIL) ||
	    zmq_connect(zap->monitor, MONITOR_ADDRESS))
		return set_start_error(zap, error);
	ev_io_init(&zap->rep_io, on_zap_request, bus_socket_fd(zap->rep),
		   EV_READ);
	ev_io_init(&zap->monitor_io, on_monitor_event,
		   bus_socket_fd(zap->monitor), EV_READ);
	zap->rep_io.data = zap;
	zap->monitor_io.data = zap;
	ev_io_start(loop, &zap->rep_io);
	ev_io_start(loop, &zap->monitor_io);
	/* zmq_bind() and zmq_connect() may have consumed the first edge. */
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
