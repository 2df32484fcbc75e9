#ifndef NET_H
#define NET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Non-blocking TCP sockets by IP address.
 */

/**
 * net_split() - split "IP:PORT", an IPv6 address in brackets
 * @host: room for 64 bytes
 */
bool net_split(const char *address, char *host, uint16_t *port);

/** Room for an IPv4 address in dotted form, bytes. */
#define NET_IP_TEXT 16

/**
 * net_ip_text() - an IPv4 address in dotted form
 * @ip: host order
 * @text: room for NET_IP_TEXT bytes
 */
void net_ip_text(uint32_t ip, char *text);

/** net_listen() - Return: listening socket, or -1 with CW_ERROR_IO */
int net_listen(const char *address, GError **error);
/** net_listen_ip() - as net_listen(), at an IPv4 address in host order */
int net_listen_ip(uint32_t ip, uint16_t port, GError **error);

/** net_accept() - Return: non-blocking socket, or -1 if none is waiting */
int net_accept(int listener);

/**
 * net_connect() - start to connect
 * Return: socket whose connection is under way, or -1
 */
int net_connect(const char *host, uint16_t port);

/**
 * net_set_user_timeout() - give up a connection whose peer is silent
 * @ms: how long sent data may stay unacknowledged; an idle connection is
 *      probed after the same time
 */
void net_set_user_timeout(int fd, unsigned ms);

#endif
