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
 * An endpoint binds one ROUTER socket and connects one DEALER socket to each
 * peer it sends to. Replies arrive on the DEALER that sent the request. Each
 * frame holds one Envelope of at most BUS_FRAME_MAX bytes; other frames are
 * counted and dropped. All processes of a deployment share one key pair; peers
 * that present another public key are refused and counted. Sends never block:
 * messages are dropped and counted while the queue is full.
 */

/** Largest frame, bytes. */
#define BUS_FRAME_MAX (1024u * 1024)

/** ZeroMQ identity of the sender of a request, needed to reply to it. */
struct bus_return_path {
	uint8_t id[64];
	size_t len;
};

/**
 * struct bus_events - callbacks of an endpoint; each may be NULL
 * @request: a message arrived on the ROUTER
 * @reply: a message arrived on the DEALER connected to peer @handle
 */
struct bus_events {
	void (*request)(const struct bus_return_path *from,
			const Wire__Envelope *envelope, void *data);
	void (*reply)(int handle, const Wire__Envelope *envelope, void *data);
};

/**
 * struct bus_counts - counters of an endpoint since bus_new()
 * @sent: messages queued for sending
 * @received: messages received, with those that were not valid
 * @bytes_sent: payload of @sent
 * @bytes_received: payload of @received
 * @dropped: messages not sent: no such peer, or its queue was full
 * @malformed: messages received that are not one valid Envelope
 * @oversized: messages above BUS_FRAME_MAX, sent or received
 * @refused_keys: connections refused by authentication
 * @refused_connections: connections above the limit of the endpoint
 */
struct bus_counts {
	uint64_t sent;
	uint64_t received;
	uint64_t bytes_sent;
	uint64_t bytes_received;
	uint64_t dropped;
	uint64_t malformed;
	uint64_t oversized;
	uint64_t refused_keys;
	uint64_t refused_connections;
};

struct bus;

/**
 * bus_new() - create an endpoint
 * @loop: event loop of the owning task
 * @listen: "IP:PORT" to bind, NULL for an endpoint without a ROUTER
 * @public_key: in Z85, NULL for no encryption
 * @secret_key: in Z85, ignored without a public key
 * Return: NULL with @error set if the keys or @listen cannot be used
 */
struct bus *bus_new(struct ev_loop *loop, const char *listen,
		    const char *public_key, const char *secret_key,
		    const struct bus_events *events, void *data,
		    GError **error);
void bus_free(struct bus *bus);

/**
 * bus_connect() - get a handle for a peer, connecting to it on first use
 * @address: "IP:PORT"
 * Return: handle, valid until bus_disconnect(); -1 with @error set on failure
 */
int bus_connect(struct bus *bus, const char *address, GError **error);
/** bus_disconnect() - close the connection to a peer and free its handle */
void bus_disconnect(struct bus *bus, int handle);

/** bus_send() - send a message to a peer */
void bus_send(struct bus *bus, int handle, const Wire__Envelope *envelope);
/** bus_reply() - reply to a request */
void bus_reply(struct bus *bus, const struct bus_return_path *to,
	       const Wire__Envelope *envelope);

const struct bus_counts *bus_counts(const struct bus *bus);

/**
 * envelope_unpack() - decode one frame
 * Return: NULL if the frame is oversized, malformed or has no body; otherwise
 *         an envelope to free with wire__envelope__free_unpacked()
 */
Wire__Envelope *envelope_unpack(const uint8_t *bytes, size_t len);

#endif
