/* Clients that behave, as many as the largest deployment has: the limits must
 * not affect them. */
#include "control_peer.h"

#include <arpa/inet.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#define NR_DAEMONS 1000
#define NR_UPSTREAMS 1000
#define NR_ORDERS 8
/* Memory of a control VM, kB, less what the system needs. */
#define MAX_KB (200 * 1024)
#define MAX_FDS 2100
/* Time between two reports of an entry daemon, milliseconds. */
#define REPORT_MS 800

/**
 * struct daemon - an entry daemon
 * @read: bytes of a frame that has not come whole
 * @has_config: whether a view brought the configuration
 */
struct daemon {
	int fd;
	char name[16];
	GByteArray *read;
	bool has_config;
};

/* The counters tell which limit took effect. */
static void print_metrics(const struct control_peer *peer)
{
	static const char get[] = "GET /metrics HTTP/1.1\r\nHost: c\r\n\r\n";
	int fd = hostile_connect(peer->ip, METRICS_PORT);
	g_autofree char *text = NULL;

	control_peer_push(fd, get, sizeof(get) - 1);
	text = hostile_read_until(fd, "\ncontrol_http_bytes ");
	fprintf(stderr, "%s\n", text ? text : "no metrics");
	close(fd);
}

static void fail(struct control_peer *peer, const char *what)
{
	print_metrics(peer);
	fprintf(stderr, "failed: %s\n", what);
	hostile_stop(&peer->process);
	_exit(1);
}

/* Guards against limits that affect eight orders in progress at once. */
static void orders(struct control_peer *peer)
{
	int *fds = control_peer_crowd(peer, peer->http, NR_ORDERS);
	GString *put = control_peer_put(1000);
	size_t at, len;
	unsigned i;

	for (at = 0; at < put->len; at += len) {
		len = MIN(8192, put->len - at);
		for (i = 0; i < NR_ORDERS; i++)
			if (control_peer_push(fds[i], put->str + at, len) < len)
				fail(peer, "an order was not taken whole");
	}
	for (i = 0; i < NR_ORDERS; i++) {
		g_autofree char *answer =
			hostile_read_until(fds[i], "\r\n\r\n");

		if (!answer || !g_str_has_prefix(answer, "HTTP/1.1 200"))
			fail(peer, "an order was refused");
	}
	control_peer_crowd_free(fds, NR_ORDERS);
	g_string_free(put, TRUE);
}

/* A configuration of full size that does not deflate to less than half. */
static GString *large_put(void)
{
	GString *config = g_string_new(NULL);
	GString *put = g_string_new(NULL);
	GRand *rand = g_rand_new_with_seed(1);

	g_string_printf(config,
			"{\"version\":5000,\"routes\":[{\"name\":\"r1\","
			"\"database\":\"db1\",\"path_prefix\":\"/\","
			"\"route_type\":\"read_your_writes\",\"service\":"
			"\"s1\",\"timeout_ms\":800}],\"services\":[{\"name\":"
			"\"s1\",\"max_conns\":30}],\"padding\":\"");
	while (config->len < CONFIG_BYTES - 2)
		g_string_append_c(config,
				  (char)g_rand_int_range(rand, 'A', 'Z' + 1));
	g_string_append(config, "\"}");
	g_string_printf(put,
			"POST /comfreywheel/config/put HTTP/1.1\r\nHost: c\r\n"
			"Content-Length: %zu\r\n\r\n%s",
			config->len, config->str);
	g_string_free(config, TRUE);
	g_rand_free(rand);
	return put;
}

static void take_frames(struct daemon *d)
{
	Wire__Envelope *envelope;
	uint32_t len;

	while (d->read->len >= 4) {
		memcpy(&len, d->read->data, 4);
		len = ntohl(len);
		if (d->read->len - 4 < len)
			return;
		envelope = wire__envelope__unpack(NULL, len, d->read->data + 4);
		if (envelope &&
		    envelope->body_case == WIRE__ENVELOPE__BODY_VIEW &&
		    envelope->view->config_version == 5000 &&
		    envelope->view->config_len)
			d->has_config = true;
		if (envelope)
			wire__envelope__free_unpacked(envelope, NULL);
		g_byte_array_remove_range(d->read, 0, len + 4);
	}
}

/* Return: false if the daemon was cut off. */
static bool take_input(struct daemon *d)
{
	static uint8_t buffer[64 * 1024];
	ssize_t n;

	while ((n = recv(d->fd, buffer, sizeof(buffer), MSG_DONTWAIT)) > 0)
		g_byte_array_append(d->read, buffer, (guint)n);
	take_frames(d);
	return n < 0;
}

static unsigned count_informed(const struct daemon *daemons)
{
	unsigned nr = 0;
	unsigned i;

	for (i = 0; i < NR_DAEMONS; i++)
		nr += daemons[i].has_config;
	return nr;
}

static void report_all(struct control_peer *peer, struct daemon *daemons)
{
	int64_t end_us = g_get_monotonic_time() + REPORT_MS * 1000;
	unsigned i;

	for (i = 0; i < NR_DAEMONS; i++)
		if (!control_peer_send_watch(daemons[i].fd, daemons[i].name,
					     "z1"))
			fail(peer, "a report was not taken");
	while (g_get_monotonic_time() < end_us) {
		for (i = 0; i < NR_DAEMONS; i++)
			if (!take_input(&daemons[i]))
				fail(peer, "an entry daemon was cut off");
		hostile_sleep_ms(5);
	}
}

static void heartbeats(struct control_peer *peer, const int *fds)
{
	unsigned i;

	for (i = 0; i < NR_UPSTREAMS; i++) {
		g_autofree char *answer = NULL;
		g_autofree char *body = g_strdup_printf(
			"{\"service\":\"s%u\",\"address\":\"10.0.%u.%u:5432\","
			"\"zone\":\"z1\",\"state\":\"ready\",\"db_role\":"
			"\"replica\",\"version\":\"1\",\"sequence\":1,"
			"\"slots\":6,\"cold_remaining_ms\":0}",
			i % 8, i >> 8, i & 255);
		g_autofree char *text = g_strdup_printf(
			"POST /comfreywheel/instances/up%u/heartbeat HTTP/1.1"
			"\r\nHost: c\r\nContent-Length: %zu\r\n\r\n%s",
			i, strlen(body), body);

		control_peer_push(fds[i], text, strlen(text));
		answer = hostile_read_until(fds[i], "\r\n\r\n");
		if (!answer || !g_str_has_prefix(answer, "HTTP/1.1 200"))
			fail(peer, "a heartbeat was refused");
	}
}

/* Guards against limits that affect 1,000 entry daemons, of which all get a
 * configuration at once, or 1,000 upstreams that stay connected. */
static void size(struct control_peer *peer)
{
	int64_t end_us = g_get_monotonic_time() + HOSTILE_PATIENCE_US;
	struct daemon *daemons = g_new0(struct daemon, NR_DAEMONS);
	int *fds = control_peer_crowd(peer, peer->http, NR_UPSTREAMS);
	GString *put = large_put();
	g_autofree char *answer = NULL;
	unsigned i;
	int fd;

	for (i = 0; i < NR_DAEMONS; i++) {
		struct daemon *d = &daemons[i];

		d->fd = hostile_connect(peer->ip, peer->internal);
		d->read = g_byte_array_new();
		snprintf(d->name, sizeof(d->name), "daemon-%u", i);
	}
	/* Daemons that report late count as lost, so this comes first. */
	heartbeats(peer, fds);
	for (i = 0; i < 3; i++)
		report_all(peer, daemons);
	fd = hostile_connect(peer->ip, peer->http);
	control_peer_push(fd, put->str, put->len);
	answer = hostile_read_until(fd, "\r\n\r\n");
	if (!answer || !g_str_has_prefix(answer, "HTTP/1.1 200"))
		fail(peer, "the configuration was refused");
	while (count_informed(daemons) < NR_DAEMONS &&
	       g_get_monotonic_time() < end_us)
		report_all(peer, daemons);
	printf("%u daemons have the configuration\n", count_informed(daemons));
	if (count_informed(daemons) < NR_DAEMONS)
		fail(peer, "a daemon got no configuration");
	hostile_check_bounds(&peer->process, MAX_KB, MAX_FDS);
	for (i = 0; i < NR_DAEMONS; i++) {
		close(daemons[i].fd);
		g_byte_array_free(daemons[i].read, TRUE);
	}
	g_free(daemons);
	close(fd);
	control_peer_crowd_free(fds, NR_UPSTREAMS);
	g_string_free(put, TRUE);
}

int main(int argc, char **argv)
{
	struct rlimit fds;
	struct control_peer peer;

	getrlimit(RLIMIT_NOFILE, &fds);
	fds.rlim_cur = MIN(fds.rlim_max, 4096);
	setrlimit(RLIMIT_NOFILE, &fds);
	control_peer_start(&peer, "127.7.4.1", 4096);
	if (!strcmp(argv[1], "orders"))
		orders(&peer);
	else if (!strcmp(argv[1], "size"))
		size(&peer);
	else
		return 1;
	control_peer_check(&peer);
	control_peer_finish(&peer, MAX_KB, MAX_FDS);
	return 0;
}
