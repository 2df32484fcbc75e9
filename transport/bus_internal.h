#ifndef BUS_INTERNAL_H
#define BUS_INTERNAL_H

#include "bus.h"

/** Z85 text of a CURVE key, with the terminating zero. */
#define BUS_KEY_TEXT 41
#define BUS_KEY_BYTES 32

/**
 * struct bus_zap - decides which public keys may connect to a ROUTER
 * @rep: answers the authentication requests of the context's I/O thread
 * @monitor: reports handshakes that failed before a key was presented
 * @refused: incremented for each refusal
 */
struct bus_zap {
	struct ev_loop *loop;
	void *rep;
	void *monitor;
	ev_io rep_io;
	ev_io monitor_io;
	uint8_t key[BUS_KEY_BYTES];
	uint64_t *refused;
};

/**
 * bus_zap_start() - serve authentication in @context
 * @router: must not be bound yet, else a peer could enter unchecked
 */
bool bus_zap_start(struct bus_zap *zap, struct ev_loop *loop, void *context,
		   void *router, const char *public_key, uint64_t *refused,
		   GError **error);
void bus_zap_stop(struct bus_zap *zap);

/** bus_socket_fd() - descriptor to wait on for the socket's events */
int bus_socket_fd(void *socket);

/**
 * bus_frame_send() - encode and send one envelope without blocking
 * @to: prefixed as a ROUTER needs it, NULL on a DEALER
 */
void bus_frame_send(void *socket, const struct bus_return_path *to,
		    const Wire__Envelope *envelope, struct bus_counts *counts);

/**
 * bus_frame_receive() - next valid envelope, skipping and counting others
 * @from: filled in from a ROUTER's frames, NULL on a DEALER
 * @budget: messages that may still be read, lowered by each
 * Return: NULL when nothing is left to read or @budget is used up
 */
Wire__Envelope *bus_frame_receive(void *socket, struct bus_return_path *from,
				  unsigned *budget, struct bus_counts *counts);

#endif
