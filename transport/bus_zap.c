#include "bus_internal.h"
#include "clock.h"
#include "error.h"
#include "log.h"

#include <netinet/in.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
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
			zap->counts->refused_keys++;
		send_zap_reply(zap, parts, accepted);
	}
}

/* Part of the descriptors of the process that peers of one endpoint may take:
 * a process has two endpoints, and its own work needs the rest. */
#define ACCEPT_SHARE 4
/* Time between two log lines about refused connections. */
#define LOG_INTERVAL_US (10 * 1000000ll)

static unsigned accept_limit(void)
{
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit) ||
	    limit.rlim_cur / ACCEPT_SHARE > UINT_MAX)
		return UINT_MAX;
	return limit.rlim_cur / ACCEPT_SHARE;
}

/* The I/O thread may have closed the descriptor, and something else may have
 * got its number since. */
static bool is_bound_to(int fd, const char *address)
{
	const char *colon = strrchr(address, ':');
	struct sockaddr_storage addr = { 0 };
	const struct sockaddr_in *v4 = (const struct sockaddr_in *)&addr;
	const struct sockaddr_in6 *v6 = (const struct sockaddr_in6 *)&addr;
	socklen_t len = sizeof(addr);
	uint16_t port;

	if (!colon || getsockname(fd, (struct sockaddr *)&addr, &len))
		return false;
	if (addr.ss_family != AF_INET && addr.ss_family != AF_INET6)
		return false;
	port = addr.ss_family == AF_INET ? v4->sin_port : v6->sin6_port;
	return ntohs(port) == g_ascii_strtoull(colon + 1, NULL, 10);
}

static gboolean is_gone(gpointer fd, gpointer value, gpointer address)
{
	return !is_bound_to(GPOINTER_TO_INT(fd), address);
}

static void log_refused(struct bus_zap *zap, const char *address)
{
	int64_t now = clock_now_us();

	if (zap->logged_us && now - zap->logged_us < LOG_INTERVAL_US)
		return;
	zap->logged_us = now;
	log_warning("peers are refused at %s: more than %u are connected; "
		    "keep strangers away with a packet filter, or raise the "
		    "limit on open files",
		    address, zap->max_accepted);
}

/*
 * libzmq accepts without a limit. A connection that is shut down here reads as
 * closed by its peer, and libzmq closes the descriptor. The newest is refused,
 * so that peers which are connected stay so.
 */
static void accepted(struct bus_zap *zap, int fd, const char *address)
{
	g_hash_table_add(zap->accepted, GINT_TO_POINTER(fd));
	if (g_hash_table_size(zap->accepted) <= zap->max_accepted)
		return;
	/* An end that libzmq did not report must not count for good. */
	g_hash_table_foreach_remove(zap->accepted, is_gone, (gpointer)address);
	if (g_hash_table_size(zap->accepted) <= zap->max_accepted ||
	    !is_bound_to(fd, address))
		return;
	zap->counts->refused_connections++;
	log_refused(zap, address);
	shutdown(fd, SHUT_RDWR);
}

static void take_event(struct bus_zap *zap, const uint8_t *event,
		       const char *address)
{
	uint16_t kind;
	int32_t value;

	memcpy(&kind, event, sizeof(kind));
	memcpy(&value, event + sizeof(kind), sizeof(value));
	switch (kind) {
	case ZMQ_EVENT_ACCEPTED:
		accepted(zap, value, address);
		return;
	case ZMQ_EVENT_DISCONNECTED:
		g_hash_table_remove(zap->accepted, GINT_TO_POINTER(value));
		return;
	default:
		zap->counts->refused_keys++;
		return;
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
	char address[ZAP_PART_MAX_BYTES];
	uint8_t event[6];
	int len;

	while (zmq_recv(zap->monitor, event, sizeof(event), ZMQ_DONTWAIT) >=
	       0) {
		len = zmq_recv(zap->monitor, address, sizeof(address) - 1,
			       ZMQ_DONTWAIT);
		address[CLAMP(len, 0, (int)sizeof(address) - 1)] = 0;
		take_event(zap, event, address);
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
		   void *router, const char *public_key,
		   struct bus_counts *counts, GError **error)
{
	int linger = 0, unlimited = 0;

	*zap = (struct bus_zap){ .loop = loop, .counts = counts };
	zap->accepted = g_hash_table_new(NULL, NULL);
	zap->max_accepted = accept_limit();
	zap->rep = zmq_socket(context, ZMQ_REP);
	zap->monitor = zmq_socket(context, ZMQ_PAIR);
	if (!zap->rep || !zap->monitor || !zmq_z85_decode(zap->key, public_key))
		return set_start_error(zap, error);
	zmq_setsockopt(zap->rep, ZMQ_LINGER, &linger, sizeof(linger));
	zmq_setsockopt(zap->monitor, ZMQ_LINGER, &linger, sizeof(linger));
	/* A full queue would block the I/O thread; it holds what was not read
	 * since the last turn of the loop. */
	zmq_setsockopt(zap->monitor, ZMQ_RCVHWM, &unlimited, sizeof(unlimited));
	if (zmq_bind(zap->rep, ZAP_ADDRESS) ||
	    zmq_socket_monitor(router, MONITOR_ADDRESS,
			       ZMQ_EVENT_ACCEPTED | ZMQ_EVENT_DISCONNECTED |
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
	g_clear_pointer(&zap->accepted, g_hash_table_destroy);
}
