/* Requests to the operators' API and to the metrics port that are unfinished,
 * far too large, or whose answers are not read. */
#include "control_peer.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

/* Bound on the peak memory of the daemon, kB. */
#define MAX_KB (40 * 1024)
/* Bound on its descriptors in a load that does not limit them. */
#define MAX_FDS 300
#define PUT_HEADER "POST /comfreywheel/config/put HTTP/1.1\r\nHost: c\r\n"
#define CROWD 100
#define PIECE_BYTES 8192

struct load {
	const char *name;
	void (*run)(struct control_peer *peer);
};

static void push_text(int fd, const char *text)
{
	control_peer_push(fd, text, strlen(text));
}

static void push_fill(int fd, size_t len)
{
	g_autofree char *fill = g_malloc(len);

	memset(fill, ' ', len);
	control_peer_push(fd, fill, len);
}

/* Guards against memory that grows with the number of bodies in progress. */
static void bodies_whole(struct control_peer *peer)
{
	int *fds = control_peer_crowd(peer, peer->http, CROWD);
	unsigned i;

	for (i = 0; i < CROWD; i++) {
		GString *put = control_peer_put(1000 + i);

		control_peer_push(fds[i], put->str, put->len);
		g_string_free(put, TRUE);
	}
	control_peer_check(peer);
	control_peer_crowd_free(fds, CROWD);
}

/* The same in small pieces, all but the last one of each body. */
static void bodies_pieces(struct control_peer *peer)
{
	int *fds = control_peer_crowd(peer, peer->http, CROWD);
	GString *put = control_peer_put(1);
	size_t at;
	unsigned i;

	for (at = 0; at + PIECE_BYTES < put->len; at += PIECE_BYTES)
		for (i = 0; i < CROWD; i++)
			control_peer_push(fds[i], put->str + at, PIECE_BYTES);
	control_peer_check(peer);
	control_peer_crowd_free(fds, CROWD);
	g_string_free(put, TRUE);
}

/* Guards against bodies above a configuration's size that are kept. */
static void bodies_over(struct control_peer *peer)
{
	int *fds = control_peer_crowd(peer, peer->http, CROWD);
	unsigned i;

	for (i = 0; i < CROWD; i++) {
		push_text(fds[i], PUT_HEADER "Content-Length: 786432\r\n\r\n");
		push_fill(fds[i], 786431);
	}
	control_peer_check(peer);
	control_peer_crowd_free(fds, CROWD);
}

/* Guards against memory that is reserved by a stated length. */
static void bodies_lying(struct control_peer *peer)
{
	static const char *const lengths[] = {
		"1000000000000",	"2147483648", "-1", "10",
		"18446744073709551615", "0x10",	      "",   "10, 20",
	};
	int *fds = control_peer_crowd(peer, peer->http, CROWD);
	unsigned i;

	for (i = 0; i < CROWD; i++) {
		g_autofree char *header =
			g_strdup_printf(PUT_HEADER "Content-Length: %s\r\n\r\n",
					lengths[i % G_N_ELEMENTS(lengths)]);

		push_text(fds[i], header);
		push_fill(fds[i], 1024 * 1024);
	}
	control_peer_check(peer);
	control_peer_crowd_free(fds, CROWD);
}

/* Guards against chunked bodies without an end. */
static void bodies_chunked(struct control_peer *peer)
{
	int *fds = control_peer_crowd(peer, peer->http, CROWD);
	unsigned i, j;

	for (i = 0; i < CROWD; i++)
		push_text(fds[i],
			  PUT_HEADER "Transfer-Encoding: chunked\r\n\r\n");
	for (j = 0; j < 24; j++) {
		for (i = 0; i < CROWD; i++) {
			push_text(fds[i], "8000\r\n");
			push_fill(fds[i], 0x8000);
			push_text(fds[i], "\r\n");
		}
	}
	control_peer_check(peer);
	control_peer_crowd_free(fds, CROWD);
}

/* Guards against headers without an end. */
static void headers_endless(struct control_peer *peer)
{
	int *fds = control_peer_crowd(peer, peer->http, CROWD);
	unsigned i, j;

	for (i = 0; i < CROWD; i++)
		push_text(fds[i], PUT_HEADER);
	for (j = 0; j < 1000; j++)
		for (i = 0; i < CROWD; i++)
			push_text(fds[i],
				  "X-Long: 0123456789012345678901234567"
				  "89012345678901234567890123456789\r\n");
	control_peer_check(peer);
	control_peer_crowd_free(fds, CROWD);
}

/* Guards against answers that are queued for a client that reads none. */
static void pipelined(struct control_peer *peer)
{
	static const char get[] =
		"GET /comfreywheel/config/get HTTP/1.1\r\nHost: c\r\n\r\n";
	int *fds = control_peer_crowd(peer, peer->http, CROWD);
	GString *text = g_string_new(NULL);
	unsigned i;

	for (i = 0; i < 2000; i++)
		g_string_append(text, get);
	for (i = 0; i < CROWD; i++)
		control_peer_push(fds[i], text->str, text->len);
	control_peer_check(peer);
	control_peer_crowd_free(fds, CROWD);
	g_string_free(text, TRUE);
}

/* Guards against one copy of the configuration for each unread answer. */
static void unread_config(struct control_peer *peer)
{
	int *fds = control_peer_crowd(peer, peer->http, CROWD);
	unsigned i;

	for (i = 0; i < CROWD; i++)
		push_text(fds[i], "GET /comfreywheel/config/get HTTP/1.1\r\n"
				  "Host: c\r\n\r\n");
	control_peer_check(peer);
	control_peer_crowd_free(fds, CROWD);
}

/* Guards against state that is kept for connections that have ended. */
static void reconnects(struct control_peer *peer)
{
	GString *put = control_peer_put(1);
	unsigned i;

	for (i = 0; i < 3000; i++) {
		int fd = control_peer_connect(peer, peer->http);

		if (i % 3)
			control_peer_push(fd, put->str,
					  i % 3 == 1 ? 20 : 20000);
		if (fd >= 0)
			close(fd);
	}
	g_string_free(put, TRUE);
	control_peer_check(peer);
}

static const struct load loads[] = {
	{ "bodies_whole", bodies_whole },
	{ "bodies_pieces", bodies_pieces },
	{ "bodies_over", bodies_over },
	{ "bodies_lying", bodies_lying },
	{ "bodies_chunked", bodies_chunked },
	{ "headers_endless", headers_endless },
	{ "pipelined", pipelined },
	{ "unread_config", unread_config },
	{ "reconnects", reconnects },
};

int main(int argc, char **argv)
{
	struct control_peer peer;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(loads); i++) {
		if (strcmp(loads[i].name, argv[1]))
			continue;
		control_peer_start(&peer, "127.7.1.1", 0);
		loads[i].run(&peer);
		control_peer_finish(&peer, MAX_KB, MAX_FDS);
		return 0;
	}
	return 1;
}
