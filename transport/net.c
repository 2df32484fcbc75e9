#include "net.h"

#include "error.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Callers of a failed daemon reconnect all at once via the load balancer. */
#define LISTEN_BACKLOG 1024
/* Size of the host buffer of net_parse_address(), bytes. */
#define HOST_SIZE 64

bool net_parse_address(const char *address, char *host, uint16_t *port)
{
	const char *colon = strrchr(address, ':');
	size_t len = colon ? (size_t)(colon - address) : 0;
	guint64 value;
	char *end;

	if (!len || len >= HOST_SIZE || !g_ascii_isdigit(colon[1]))
		return false;
	value = g_ascii_strtoull(colon + 1, &end, 10);
	if (*end || value > UINT16_MAX)
		return false;
	if (address[0] == '[' && address[len - 1] == ']') {
		address++;
		len -= 2;
	}
	memcpy(host, address, len);
	host[len] = 0;
	*port = value;
	return true;
}

void net_format_ip(uint32_t ip, char *text)
{
	struct in_addr addr = { .s_addr = htonl(ip) };

	inet_ntop(AF_INET, &addr, text, NET_IP_TEXT_SIZE);
}

static bool parse_ip(const char *host, uint16_t port,
		     struct sockaddr_storage *ss, socklen_t *len)
{
	struct sockaddr_in *v4 = (struct sockaddr_in *)ss;
	struct sockaddr_in6 *v6 = (struct sockaddr_in6 *)ss;

	memset(ss, 0, sizeof(*ss));
	if (inet_pton(AF_INET, host, &v4->sin_addr) == 1) {
		v4->sin_family = AF_INET;
		v4->sin_port = htons(port);
		*len = sizeof(*v4);
		return true;
	}
	if (inet_pton(AF_INET6, host, &v6->sin6_addr) == 1) {
		v6->sin6_family = AF_INET6;
		v6->sin6_port = htons(port);
		*len = sizeof(*v6);
		return true;
	}
	return false;
}

bool net_is_address(const char *address)
{
	struct sockaddr_storage ss;
	char host[HOST_SIZE];
	socklen_t len;
	uint16_t port;

	return net_parse_address(address, host, &port) && port &&
	       parse_ip(host, port, &ss, &len);
}

/* Nagle's algorithm would delay small messages by up to 40 ms. */
static void disable_nagle(int fd)
{
	int enable = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enable, sizeof(enable));
}

int net_listen(const char *address, GError **error)
{
	struct sockaddr_storage ss;
	socklen_t len;
	char host[HOST_SIZE];
	uint16_t port;
	int fd, enable = 1;

	if (!net_parse_address(address, host, &port) ||
	    !parse_ip(host, port, &ss, &len)) {
		g_set_error(error, CW_ERROR, CW_ERROR_SETTINGS,
			    "invalid address %s; use an IP address and a "
			    "port, such as 127.0.0.1:5432",
			    address);
		return -1;
	}
	fd = socket(ss.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC,
		    0);
	if (fd >= 0)
		setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enable,
			   sizeof(enable));
	if (fd < 0 || bind(fd, (struct sockaddr *)&ss, len) < 0 ||
	    listen(fd, LISTEN_BACKLOG) < 0) {
		g_set_error(error, CW_ERROR, CW_ERROR_IO,
			    "cannot listen on %s: %s; free the port or "
			    "change the address in the settings",
			    address, g_strerror(errno));
		if (fd >= 0)
			close(fd);
		return -1;
	}
	return fd;
}

int net_listen_ip(uint32_t ip, uint16_t port, GError **error)
{
	char host[NET_IP_TEXT_SIZE];
	g_autofree char *address = NULL;

	net_format_ip(ip, host);
	address = g_strdup_printf("%s:%u", host, port);
	return net_listen(address, error);
}

int net_accept(int listener)
{
	int fd = accept4(listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

	if (fd >= 0)
		disable_nagle(fd);
	return fd;
}

int net_connect(const char *host, uint16_t port)
{
	struct sockaddr_storage ss;
	socklen_t len;
	int fd;

	if (!parse_ip(host, port, &ss, &len))
		return -1;
	fd = socket(ss.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC,
		    0);
	if (fd < 0)
		return -1;
	disable_nagle(fd);
	if (connect(fd, (struct sockaddr *)&ss, len) < 0 &&
	    errno != EINPROGRESS) {
		close(fd);
		return -1;
	}
	return fd;
}

void net_set_user_timeout(int fd, unsigned ms)
{
	int enable = 1;
	int keepalive_s = MAX(ms / 1000, 1);
	int max_probes = 2;

	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof(ms));
	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &enable, sizeof(enable));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &keepalive_s,
		   sizeof(keepalive_s));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &keepalive_s,
		   sizeof(keepalive_s));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &max_probes,
		   sizeof(max_probes));
}
