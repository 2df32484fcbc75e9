#ifndef BUS_INTERNAL_H
#define BUS_INTERNAL_H

#include "bus.h"

/** Size of a CURVE key in Z85, bytes, with the terminating NUL. */
#define BUS_KEY_TEXT_SIZE 41
/** Size of a binary CURVE key, bytes. */
#define BUS_KEY_SIZE 32

/**
 * struct bus_zap - ZAP handler that authenticates the peers of a ROUTER
 * @rep: REP socket that receives ZAP requests from the context's I/O thread
 * @monitor: PAIR socket that reports connections, and handshakes which failed
 *           before authentication
 * @key: the only public key accepted
 * @accepted: descriptors of the accepted connections, as keys
 * @max_accepted: number of connections above which new ones are shut down
 * @logged_us: when refused connections were logged last
 * @counts: @refused_keys and @refused_connections are incremented
 */
struct bus_zap {
	struct ev_loop *loop;
	void *rep;
	void *monitor;
	ev_io rep_io;
	ev_io monitor_io;
	uint8_t key[BUS_KEY_SIZE];
	GHashTable *accepted;
	unsigned max_accepted;
	int64_t logged_us;
	struct bus_counts *counts;
};

/**
 * bus_zap_start() - start the ZAP handler of @context
 * @router: must not be bound yet, else a peer could connect unauthenticated
 */
bool bus_zap_start(struct bus_zap *zap, struct ev_loop *loop, void *context,
		   void *router, const char *public_key,
		   struct bus_counts *counts, GError **error);
void bus_zap_stop(struct bus_zap *zap);

/** bus_socket_fd() - file descriptor to poll for the socket's events */
int bus_socket_fd(void *socket);

/**
 * bus_frame_send() - encode and send one envelope without blocking
 * @to: identity of the recipient on a ROUTER, NULL on a DEALER
 */
void bus_frame_send(void *socket, const struct bus_return_path *to,
		    const Wire__Envelope *envelope, struct bus_counts *counts);

/**
 * bus_frame_receive() - receive the next valid envelope
 * @from: set to the sender's identity on a ROUTER, NULL on a DEALER
 * @budget: number of messages that may be read, decremented for each one
 *
 * Messages that are not valid are counted and skipped.
 *
 * Return: NULL when nothing is left to read or @budget is zero
 */
Wire__Envelope *bus_frame_receive(void *socket, struct bus_return_path *from,
				  unsigned *budget, struct bus_counts *counts);

#endif
