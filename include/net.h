#ifndef NET_H
#define NET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Non-blocking TCP sockets by IP address.
 */

/**
 * net_parse_address() - split "IP:PORT" or "[IPv6]:PORT"
 * @host: buffer of 64 bytes; its content is not checked to be an IP address
 * Return: false if @address does not have this form
 */
bool net_parse_address(const char *address, char *host, uint16_t *port);

/** net_is_address() - whether @address can be connected to: an IP address and a
 * port other than 0 */
bool net_is_address(const char *address);

/** Size of an IPv4 address in dotted form, bytes, with the terminating NUL. */
#define NET_IP_TEXT_SIZE 16

/**
 * net_format_ip() - format an IPv4 address in dotted form
 * @ip: host byte order
 * @text: buffer of NET_IP_TEXT_SIZE bytes
 */
void net_format_ip(uint32_t ip, char *text);

/**
 * net_listen() - listen at "IP:PORT"
 * Return: listening socket, or -1 with @error set: CW_ERROR_SETTINGS if the
 *         address is invalid, CW_ERROR_IO otherwise
 */
int net_listen(const char *address, GError **error);
/** net_listen_ip() - as net_listen(), at an IPv4 address in host byte order */
int net_listen_ip(uint32_t ip, uint16_t port, GError **error);

/** net_accept() - Return: non-blocking socket, or -1 if none is pending */
int net_accept(int listener);

/**
 * net_connect() - start a connection attempt
 * Return: non-blocking socket that is connecting, or -1
 */
int net_connect(const char *host, uint16_t port);

/**
 * net_set_user_timeout() - close a connection whose peer does not respond
 * @ms: time that sent data may stay unacknowledged; keepalive probes are sent
 *      after the same idle time, rounded down to seconds, but at least 1 s
 */
void net_set_user_timeout(int fd, unsigned ms);

#endif
