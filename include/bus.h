#ifndef BUS_H
#define BUS_H

#include "messages.pb-c.h"
#include <ev.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: ZeroMQ endpoint of one task, encrypted with CURVE.
 *
 * An endpoint binds one ROUTER and opens a DEALER to each peer it addresses.
 * A message sent to a peer is answered on the same DEALER. Every frame is one
 * Envelope of at most BUS_FRAME_MAX bytes; others are counted and dropped.
 * All processes of a deployment share a key pair, and a peer that presents
 * another public key is refused and counted. Sends never block: with a full
 * queue the message is dropped and counted.
 */

#define BUS_FRAME_MAX (1024u * 1024)

/** Identity of the sender of a request, to address its answer. */
struct bus_return_path {
	uint8_t id[64];
	size_t len;
};

/**
 * struct bus_events - what an endpoint reports
 * @request: a message that arrived on the ROUTER
 * @reply: a message that arrived on the DEALER to peer @handle
 */
struct bus_events {
	void (*request)(const struct bus_return_path *from,
			const Wire__Envelope *envelope, void *data);
	void (*reply)(int handle, const Wire__Envelope *envelope, void *data);
};

struct bus_counts {
	uint64_t sent;
	uint64_t received;
	uint64_t bytes_sent;
	uint64_t bytes_received;
	uint64_t dropped;
	uint64_t malformed;
	uint64_t oversized;
	uint64_t refused_keys;
};

struct bus;

/**
 * bus_new() - bind an endpoint
 * @loop: event loop of the owning task
 * @listen: "IP:PORT", NULL for an endpoint that only sends
 * @public_key: Z85 key, NULL for no encryption
 */
struct bus *bus_new(struct ev_loop *loop, const char *listen,
		    const char *public_key, const char *secret_key,
		    const struct bus_events *events, void *data,
		    GError **error);
void bus_free(struct bus *bus);

/**
 * bus_peer() - handle of the peer at "IP:PORT"; connects at first use
 *
 * The handle stays valid until bus_forget().
 */
int bus_peer(struct bus *bus, const char *address, GError **error);
void bus_forget(struct bus *bus, int handle);

void bus_send(struct bus *bus, int handle, const Wire__Envelope *envelope);
void bus_answer(struct bus *bus, const struct bus_return_path *to,
		const Wire__Envelope *envelope);

const struct bus_counts *bus_counts(const struct bus *bus);

/**
 * envelope_unpack() - decode one frame
 * Return: NULL if it is oversized, malformed or has no body; else to be
 *         released with wire__envelope__free_unpacked()
 */
Wire__Envelope *envelope_unpack(const uint8_t *bytes, size_t len);

#endif
