#include "control_peer.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Time between two attempts of an ordinary client, milliseconds. */
#define RETRY_MS 200
/* Small, so that what is not read stays with the sender, bytes. */
#define RECEIVE_BUFFER_BYTES 2048
/* Time without progress after which a sender stops, milliseconds. */
#define PUSH_PATIENCE_MS 300

static unsigned next_version = 1;

int control_peer_connect(const struct control_peer *peer, uint16_t port)
{
	struct sockaddr_in addr = { .sin_family = AF_INET,
				    .sin_port = htons(port) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int size = RECEIVE_BUFFER_BYTES;

	if (fd < 0)
		return -1;
	inet_pton(AF_INET, peer->ip, &addr.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	if (connect(fd, (struct sockaddr *)&addr, sizeof(addr))) {
		close(fd);
		return -1;
	}
	fcntl(fd, F_SETFL, O_NONBLOCK);
	return fd;
}

int *control_peer_crowd(const struct control_peer *peer, uint16_t port,
			unsigned nr)
{
	int *fds = g_new(int, nr);
	unsigned i;

	for (i = 0; i < nr; i++)
		fds[i] = control_peer_connect(peer, port);
	return fds;
}

void control_peer_crowd_free(int *fds, unsigned nr)
{
	unsigned i;

	for (i = 0; i < nr; i++)
		if (fds[i] >= 0)
			close(fds[i]);
	g_free(fds);
}

size_t control_peer_push(int fd, const void *data, size_t len)
{
	const char *bytes = data;
	size_t sent = 0;

	while (fd >= 0 && sent < len) {
		struct pollfd pfd = { .fd = fd, .events = POLLOUT };
		ssize_t n;

		if (poll(&pfd, 1, PUSH_PATIENCE_MS) <= 0)
			break;
		n = hostile_send(fd, bytes + sent, len - sent);
		if (n < 0)
			break;
		sent += (size_t)n;
	}
	return sent;
}

bool control_peer_send_envelope(int fd, const Wire__Envelope *envelope)
{
	size_t len = wire__envelope__get_packed_size(envelope);
	g_autofree uint8_t *frame = g_malloc(len + 4);
	uint32_t header = htonl((uint32_t)len);

	memcpy(frame, &header, 4);
	wire__envelope__pack(envelope, frame + 4);
	return control_peer_push(fd, frame, len + 4) == len + 4;
}

bool control_peer_send_watch(int fd, const char *daemon, const char *zone)
{
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__Watch watch = WIRE__WATCH__INIT;

	watch.daemon = (char *)daemon;
	watch.availability_zone = (char *)zone;
	envelope.body_case = WIRE__ENVELOPE__BODY_WATCH;
	envelope.watch = &watch;
	return control_peer_send_envelope(fd, &envelope);
}

char *control_peer_config(unsigned version)
{
	char *text = g_malloc(CONFIG_BYTES + 1);
	int len = snprintf(
		text, CONFIG_BYTES,
		"{\"version\":%u,\"routes\":[{\"name\":\"r1\",\"database\":"
		"\"db1\",\"path_prefix\":\"/\",\"route_type\":"
		"\"read_your_writes\",\"service\":\"s1\",\"timeout_ms\":800}],"
		"\"services\":[{\"name\":\"s1\",\"max_conns\":30}]}",
		version);

	memset(text + len, ' ', CONFIG_BYTES - len);
	text[CONFIG_BYTES] = 0;
	return text;
}

GString *control_peer_put(unsigned version)
{
	g_autofree char *config = control_peer_config(version);
	GString *text = g_string_new(NULL);

	g_string_printf(text,
			"POST /comfreywheel/config/put HTTP/1.1\r\nHost: c\r\n"
			"Content-Length: %d\r\n\r\n",
			CONFIG_BYTES);
	g_string_append_len(text, config, CONFIG_BYTES);
	return text;
}

static bool ask_http(struct control_peer *peer, uint16_t port,
		     const GString *request)
{
	int fd = hostile_connect(peer->ip, port);
	g_autofree char *answer = NULL;

	if (fd < 0)
		return false;
	if (control_peer_push(fd, request->str, request->len) == request->len)
		answer = hostile_read_until(fd, "\r\n\r\n");
	close(fd);
	return answer && g_str_has_prefix(answer, "HTTP/1.1 200");
}

static bool put_config(struct control_peer *peer)
{
	GString *request = control_peer_put(next_version++);
	bool ok = ask_http(peer, peer->http, request);

	g_string_free(request, TRUE);
	return ok;
}

static bool send_heartbeat(struct control_peer *peer)
{
	static unsigned sequence;
	g_autofree char *body = g_strdup_printf(
		"{\"service\":\"s1\",\"address\":\"127.0.0.1:9\",\"zone\":"
		"\"z1\",\"state\":\"ready\",\"db_role\":\"replica\","
		"\"version\":\"1\",\"sequence\":%u,\"slots\":6,"
		"\"cold_remaining_ms\":0}",
		++sequence);
	GString *request = g_string_new(NULL);
	bool ok;

	g_string_printf(request,
			"POST /comfreywheel/instances/ordinary/heartbeat "
			"HTTP/1.1\r\nHost: c\r\nContent-Length: %zu\r\n\r\n%s",
			strlen(body), body);
	ok = ask_http(peer, peer->http, request);
	g_string_free(request, TRUE);
	return ok;
}

static bool read_metrics(struct control_peer *peer)
{
	GString *request =
		g_string_new("GET /metrics HTTP/1.1\r\nHost: c\r\n\r\n");
	bool ok = ask_http(peer, METRICS_PORT, request);

	g_string_free(request, TRUE);
	return ok;
}

static bool has_ordinary_upstream(const Wire__View *view)
{
	size_t i;

	for (i = 0; i < view->n_sightings; i++)
		if (!strcmp(view->sightings[i]->id, "ordinary"))
			return true;
	return false;
}

/* Return: whether @read has one whole frame with a View. A view of what changed
 * later would hide that the first one, with all upstreams, was never sent. */
static bool is_view(const GByteArray *read)
{
	Wire__Envelope *envelope;
	uint32_t len;
	bool ok;

	if (read->len < 4)
		return false;
	memcpy(&len, read->data, 4);
	len = ntohl(len);
	if (read->len - 4 < len)
		return false;
	envelope = wire__envelope__unpack(NULL, len, read->data + 4);
	ok = envelope && envelope->body_case == WIRE__ENVELOPE__BODY_VIEW &&
	     has_ordinary_upstream(envelope->view);
	if (envelope)
		wire__envelope__free_unpacked(envelope, NULL);
	return ok;
}

/* The first message that an entry daemon receives is a view. */
static bool send_report(struct control_peer *peer)
{
	int64_t end_us = g_get_monotonic_time() + HOSTILE_PATIENCE_US / 10;
	int fd = hostile_connect(peer->ip, peer->internal);
	GByteArray *read = g_byte_array_new();
	bool ok = fd >= 0 && control_peer_send_watch(fd, "ordinary", "z1");

	while (ok && !is_view(read)) {
		struct pollfd pfd = { .fd = fd, .events = POLLIN };
		uint8_t buffer[16 * 1024];
		ssize_t n;

		poll(&pfd, 1, 100);
		n = recv(fd, buffer, sizeof(buffer), 0);
		if (n > 0)
			g_byte_array_append(read, buffer, (guint)n);
		ok = n > 0 || (n < 0 && errno == EAGAIN);
		ok = ok && g_get_monotonic_time() < end_us;
	}
	g_byte_array_free(read, TRUE);
	if (fd >= 0)
		close(fd);
	return ok;
}

static void await(struct control_peer *peer, const char *what,
		  bool (*request)(struct control_peer *peer))
{
	int64_t end_us = g_get_monotonic_time() + HOSTILE_PATIENCE_US;

	do {
		hostile_check_alive(&peer->process);
		if (request(peer))
			return;
		hostile_sleep_ms(RETRY_MS);
	} while (g_get_monotonic_time() < end_us);
	fprintf(stderr, "failed: no answer to %s\n", what);
	hostile_stop(&peer->process);
	_exit(1);
}

void control_peer_check(struct control_peer *peer)
{
	await(peer, "a heartbeat", send_heartbeat);
	await(peer, "a configuration", put_config);
	await(peer, "a request for the metrics", read_metrics);
	await(peer, "a report", send_report);
}

void control_peer_start(struct control_peer *peer, const char *ip,
			unsigned max_fds)
{
	g_autofree char *settings = NULL;

	peer->ip = ip;
	peer->http = hostile_free_port(ip);
	do
		peer->internal = hostile_free_port(ip);
	while (peer->internal == peer->http);
	settings = g_strdup_printf(
		"[node]\nname = control-1\nzone = z1\nip = %s\n"
		"internal_port = %u\nseeds = %s:%u\nbootstrap = true\n"
		"grace_s = 6\nvm_losses = 0\ndata_folder = @FOLDER@/data\n"
		"platform_api = 127.0.0.1:9\n[listen]\ncontrol = %s:%u\n",
		ip, peer->internal, ip, peer->http, ip, peer->http);
	hostile_start(&peer->process, g_getenv("CONTROL_PROGRAM"), settings,
		      max_fds);
	hostile_await_listener(&peer->process, ip, peer->http);
	await(peer, "the first configuration", put_config);
	printf("at the start: peak %lu kB, %u descriptors\n",
	       hostile_peak_kb(&peer->process),
	       hostile_open_fds(&peer->process));
}

void control_peer_finish(struct control_peer *peer, unsigned long max_kb,
			 unsigned max_fds)
{
	hostile_check_bounds(&peer->process, max_kb, max_fds);
	hostile_stop(&peer->process);
}
