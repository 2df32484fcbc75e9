#ifndef HOSTILE_CONTROL_PEER_H
#define HOSTILE_CONTROL_PEER_H

#include "hostile.h"
#include "messages.pb-c.h"

/**
 * DOC: A control daemon that is the only member of its group, the requests of
 * ordinary clients to it, and crowds that send what they are told to.
 */

/** Largest configuration that a deployment sends, bytes. */
#define CONFIG_BYTES 262144
/** Port of the metrics; all processes have the same one. */
#define METRICS_PORT 9190

/**
 * struct control_peer - the daemon under test
 * @ip: its address, which no other test uses
 * @http: port of the operators' API and of heartbeats
 * @internal: port for messages between the processes of a deployment
 */
struct control_peer {
	struct hostile_process process;
	const char *ip;
	uint16_t http;
	uint16_t internal;
};

/** control_peer_start() - start it and wait until it accepts configurations */
void control_peer_start(struct control_peer *peer, const char *ip,
			unsigned max_fds);
/** control_peer_connect() - connect with the smallest receive buffer */
int control_peer_connect(const struct control_peer *peer, uint16_t port);
/** control_peer_crowd() - connections, -1 for each that was refused */
int *control_peer_crowd(const struct control_peer *peer, uint16_t port,
			unsigned nr);
void control_peer_crowd_free(int *fds, unsigned nr);
/** control_peer_push() - send until @len bytes are sent, or none are taken for
 * 300 ms. Return: bytes sent */
size_t control_peer_push(int fd, const void *data, size_t len);
/** control_peer_send_envelope() - send one frame. Return: whether it was sent */
bool control_peer_send_envelope(int fd, const Wire__Envelope *envelope);
/** control_peer_send_watch() - send the report of an entry daemon */
bool control_peer_send_watch(int fd, const char *daemon, const char *zone);

/** control_peer_config() - a configuration of CONFIG_BYTES, to be freed */
char *control_peer_config(unsigned version);
/** control_peer_put() - a request that offers it. Return: to be freed */
GString *control_peer_put(unsigned version);

/**
 * control_peer_check() - fail unless a configuration, a heartbeat, the metrics
 *                        and the report of an entry daemon are answered
 *
 * An ordinary client that is refused tries again.
 */
void control_peer_check(struct control_peer *peer);
/** control_peer_finish() - check the bounds, then end the daemon */
void control_peer_finish(struct control_peer *peer, unsigned long max_kb,
			 unsigned max_fds);

#endif
