/* Crowds that hold connections open, in a daemon with few descriptors. */
#include "control_peer.h"

#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Descriptors that the daemon may have, and those it may use: the rest must
 * stay free for peers, the store and logs. */
#define MAX_FDS 64
#define BOUND_FDS 52
#define MAX_KB (40 * 1024)
#define CROWD 120
/* Time between two bytes of a client, milliseconds. */
#define TRICKLE_MS 500

/**
 * struct crowd - clients that connect again whenever they are cut off
 * @text: what each sends, one byte at a time; not used if NULL
 */
struct crowd {
	const struct control_peer *peer;
	uint16_t port;
	const char *text;
	size_t len;
	GThread *thread;
	gint ending;
};

struct client {
	int fd;
	size_t sent;
};

/* Return: whether the daemon has closed the connection. */
static bool is_cut_off(int fd)
{
	char buffer[512];

	return fd < 0 || !recv(fd, buffer, sizeof(buffer), MSG_DONTWAIT);
}

static void act(struct crowd *crowd, struct client *client)
{
	ssize_t n = 0;

	if (is_cut_off(client->fd)) {
		if (client->fd >= 0)
			close(client->fd);
		client->fd = control_peer_connect(crowd->peer, crowd->port);
		client->sent = 0;
	}
	if (client->fd < 0 || !crowd->text)
		return;
	n = hostile_send(client->fd, crowd->text + client->sent % crowd->len,
			 1);
	client->sent += n > 0;
}

static void *run_crowd(void *data)
{
	struct crowd *crowd = data;
	struct client clients[CROWD];
	unsigned i;

	for (i = 0; i < CROWD; i++)
		clients[i] = (struct client){ .fd = -1 };
	while (!g_atomic_int_get(&crowd->ending)) {
		for (i = 0; i < CROWD; i++)
			act(crowd, &clients[i]);
		hostile_sleep_ms(TRICKLE_MS);
	}
	for (i = 0; i < CROWD; i++)
		if (clients[i].fd >= 0)
			close(clients[i].fd);
	return NULL;
}

/* Guards against accepted connections that leave no descriptors or places for
 * ordinary clients, peers, the store and logs. */
static void run(struct control_peer *peer, uint16_t port, const char *text,
		size_t len)
{
	struct crowd crowd = {
		.peer = peer, .port = port, .text = text, .len = len
	};

	crowd.thread = g_thread_new("crowd", run_crowd, &crowd);
	hostile_sleep_ms(4 * TRICKLE_MS);
	control_peer_check(peer);
	hostile_check_bounds(&peer->process, MAX_KB, BOUND_FDS);
	g_atomic_int_set(&crowd.ending, 1);
	g_thread_join(crowd.thread);
	control_peer_check(peer);
	control_peer_finish(peer, MAX_KB, BOUND_FDS);
}

int main(int argc, char **argv)
{
	static const char header[] =
		"POST /comfreywheel/config/put HTTP/1.1\r\nHost: c\r\n"
		"X-Long: 01234567890123456789012345678901234567890123456789";
	static const char frame[] = "\0\0\x40\0";
	struct control_peer peer;
	const char *load = argv[1];

	control_peer_start(&peer, "127.7.2.1", MAX_FDS);
	if (!strcmp(load, "slow_http"))
		run(&peer, peer.http, header, strlen(header));
	else if (!strcmp(load, "silent_http"))
		run(&peer, peer.http, NULL, 0);
	else if (!strcmp(load, "slow_metrics"))
		run(&peer, METRICS_PORT, header, strlen(header));
	else if (!strcmp(load, "slow_frames"))
		run(&peer, peer.internal, frame, 4);
	else if (!strcmp(load, "silent_internal"))
		run(&peer, peer.internal, NULL, 0);
	else
		return 1;
	return 0;
}
