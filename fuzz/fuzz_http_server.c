#include "fuzz.h"
#include "http_server.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#define IP "127.7.9.1"
#define PORT 39174
#define BODY_MAX_BYTES 512
/* Rounds of the loop in which a connection that was reset is released. */
#define MAX_ROUNDS 1000

static struct ev_loop *loop;
static struct http_server *server;
static unsigned nr_open;

static void on_disconnect(struct http_exchange *ex)
{
	nr_open--;
}

/* Answers at once, or never where the path ends in "later". */
static void on_request(struct http_exchange *ex, void *data)
{
	g_assert_cmpuint(ex->body->len, <=, BODY_MAX_BYTES);
	if (g_str_has_suffix(ex->path, "later")) {
		ex->on_disconnect = on_disconnect;
		nr_open++;
		return;
	}
	http_respond(ex, ex->too_long ? 413 : 200, "text/plain", ex->body->str,
		     ex->body->len, NULL);
}

static void start(void)
{
	GError *error = NULL;
	g_autofree char *address = g_strdup_printf(IP ":%d", PORT);

	loop = ev_default_loop(EVBACKEND_EPOLL);
	server = http_server_new(loop, address, BODY_MAX_BYTES, on_request,
				 NULL, &error);
	g_assert_no_error(error);
}

static int connect_to_server(void)
{
	struct sockaddr_in addr = { .sin_family = AF_INET,
				    .sin_port = htons(PORT) };
	/* Closing resets the connection, so that no port stays in use. */
	struct linger linger = { 1, 0 };
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	inet_pton(AF_INET, IP, &addr.sin_addr);
	g_assert(!connect(fd, (struct sockaddr *)&addr, sizeof(addr)));
	setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
	return fd;
}

/* A request from outside is answered or ends the connection, and what the
 * server holds for it is released. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	size_t sent = 0;
	unsigned i;
	int fd;

	if (!server)
		start();
	fd = connect_to_server();
	ev_run(loop, EVRUN_NOWAIT);
	while (sent < size) {
		ssize_t n = send(fd, data + sent, MIN(size - sent, 211),
				 MSG_NOSIGNAL | MSG_DONTWAIT);

		if (n <= 0)
			break;
		sent += (size_t)n;
		ev_run(loop, EVRUN_NOWAIT);
	}
	close(fd);
	for (i = 0; i < MAX_ROUNDS && http_server_stats(server)->bytes; i++)
		ev_run(loop, EVRUN_NOWAIT);
	/* libmicrohttpd does not watch a connection that awaits its answer. */
	g_assert(nr_open || !http_server_stats(server)->bytes);
	return 0;
}
