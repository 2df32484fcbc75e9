/* Frames on the port between the processes of a deployment that are unfinished
 * or far too large, whose answers are not read, or that name very many things. */
#include "control_peer.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

/* Bound on the peak memory of the daemon, kB. */
#define MAX_KB (64 * 1024)
#define MAX_FDS 300
#define CROWD 40
/* Largest frame that the daemon takes, bytes. */
#define FRAME_BYTES (2 * 1024 * 1024)
/* Time in which the daemon takes in what waits in the sockets, milliseconds:
 * without it a check came before 40 half frames were read. */
#define SETTLE_MS 2000

struct load {
	const char *name;
	void (*run)(struct control_peer *peer);
};

static void push_header(int fd, uint32_t len)
{
	uint32_t header = htonl(len);

	control_peer_push(fd, &header, sizeof(header));
}

static void push_fill(int fd, size_t len)
{
	g_autofree char *fill = g_malloc0(len);

	control_peer_push(fd, fill, len);
}

static char *long_name(const char *prefix, unsigned nr, size_t len)
{
	return g_strdup_printf("%s%0*u", prefix, (int)(len - strlen(prefix)),
			       nr);
}

static bool send_sighting(int fd, const char *id, unsigned nr)
{
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__Sighting sighting = WIRE__SIGHTING__INIT;
	g_autofree char *address = g_strdup_printf("10.%u.%u.%u:5432", nr >> 16,
						   nr >> 8 & 255, nr & 255);

	sighting.id = (char *)id;
	sighting.service = "s1";
	sighting.address = address;
	sighting.availability_zone = "z1";
	sighting.born_ms = 1;
	sighting.sequence = 1;
	envelope.body_case = WIRE__ENVELOPE__BODY_SIGHTING;
	envelope.sighting = &sighting;
	return control_peer_send_envelope(fd, &envelope);
}

/* Guards against lengths far over the limit. */
static void frames_over(struct control_peer *peer)
{
	static const uint32_t lengths[] = { 0, FRAME_BYTES + 1, 0x7fffffff,
					    0xffffffff };
	int *fds = control_peer_crowd(peer, peer->internal, CROWD);
	unsigned i;

	for (i = 0; i < CROWD; i++) {
		push_header(fds[i], lengths[i % G_N_ELEMENTS(lengths)]);
		push_fill(fds[i], FRAME_BYTES);
	}
	hostile_sleep_ms(SETTLE_MS);
	control_peer_check(peer);
	control_peer_crowd_free(fds, CROWD);
}

/* Guards against memory that grows with the number of half frames. */
static void frames_half(struct control_peer *peer)
{
	int *fds = control_peer_crowd(peer, peer->internal, CROWD);
	unsigned i;

	for (i = 0; i < CROWD; i++) {
		push_header(fds[i], FRAME_BYTES);
		push_fill(fds[i], FRAME_BYTES - 1);
	}
	hostile_sleep_ms(SETTLE_MS);
	control_peer_check(peer);
	control_peer_crowd_free(fds, CROWD);
}

/* Guards against frames that are no message. */
static void frames_malformed(struct control_peer *peer)
{
	int *fds = control_peer_crowd(peer, peer->internal, CROWD);
	g_autofree char *bytes = g_malloc(64 * 1024);
	unsigned i, j;

	memset(bytes, 0x9b, 64 * 1024);
	for (i = 0; i < CROWD; i++) {
		for (j = 0; j < 20; j++) {
			push_header(fds[i], 64 * 1024);
			control_peer_push(fds[i], bytes, 64 * 1024);
		}
	}
	hostile_sleep_ms(SETTLE_MS);
	control_peer_check(peer);
	control_peer_crowd_free(fds, CROWD);
}

/* Guards against views that are queued for a daemon that reads none. */
static void watch_unread(struct control_peer *peer)
{
	int *fds = control_peer_crowd(peer, peer->internal, CROWD);
	unsigned i, j;

	for (i = 0; i < CROWD; i++) {
		g_autofree char *name = g_strdup_printf("unread-%u", i);

		for (j = 0; j < 5000; j++)
			if (!control_peer_send_watch(fds[i], name, "z1"))
				break;
	}
	hostile_sleep_ms(SETTLE_MS);
	control_peer_check(peer);
	control_peer_crowd_free(fds, CROWD);
}

/* Guards against large views that are queued for daemons that read none. */
static void views_unread(struct control_peer *peer)
{
	int *fds = control_peer_crowd(peer, peer->internal, CROWD);
	int sender = control_peer_connect(peer, peer->internal);
	unsigned i;

	for (i = 0; i < CROWD; i++) {
		g_autofree char *name = g_strdup_printf("unread-%u", i);

		control_peer_send_watch(fds[i], name, "z1");
	}
	for (i = 0; i < 3000; i++) {
		g_autofree char *id = long_name("up", i, 1000);

		send_sighting(sender, id, i);
	}
	hostile_sleep_ms(SETTLE_MS);
	control_peer_check(peer);
	close(sender);
	control_peer_crowd_free(fds, CROWD);
}

/* Guards against a roster that grows by name until no view can be sent. */
static void watch_names(struct control_peer *peer)
{
	unsigned i;

	for (i = 0; i < 3000; i++) {
		g_autofree char *name = long_name("daemon", i, 1000);
		int fd = control_peer_connect(peer, peer->internal);

		control_peer_send_watch(fd, name, "z1");
		if (fd >= 0)
			close(fd);
	}
	control_peer_check(peer);
}

/* The same with names of usual length, and long zones. */
static void watch_zones(struct control_peer *peer)
{
	g_autofree char *zone = long_name("zone", 1, 1000);
	unsigned i;

	for (i = 0; i < 3000; i++) {
		g_autofree char *name = long_name("daemon", i, 12);
		int fd = control_peer_connect(peer, peer->internal);

		control_peer_send_watch(fd, name, zone);
		if (fd >= 0)
			close(fd);
	}
	control_peer_check(peer);
}

/* Guards against names of the size of a frame. */
static void watch_long_names(struct control_peer *peer)
{
	unsigned i;

	for (i = 0; i < CROWD; i++) {
		g_autofree char *name = long_name("daemon", i, FRAME_BYTES / 2);
		int fd = control_peer_connect(peer, peer->internal);

		control_peer_send_watch(fd, name, "z1");
		if (fd >= 0)
			close(fd);
	}
	control_peer_check(peer);
}

static void send_reports(int fd, const char *name, unsigned nr)
{
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__Watch watch = WIRE__WATCH__INIT;
	Wire__UpstreamHealth *health = g_new(Wire__UpstreamHealth, nr);
	Wire__UpstreamHealth **list = g_new(Wire__UpstreamHealth *, nr);
	unsigned i;

	for (i = 0; i < nr; i++) {
		wire__upstream_health__init(&health[i]);
		health[i].id = g_strdup_printf("u%u", i);
		list[i] = &health[i];
	}
	watch.daemon = (char *)name;
	watch.availability_zone = "z1";
	watch.upstreams = list;
	watch.n_upstreams = nr;
	envelope.body_case = WIRE__ENVELOPE__BODY_WATCH;
	envelope.watch = &watch;
	control_peer_send_envelope(fd, &envelope);
	for (i = 0; i < nr; i++)
		g_free(health[i].id);
	g_free(health);
	g_free(list);
}

/* Guards against reports about very many upstreams. */
static void watch_reports(struct control_peer *peer)
{
	int *fds = control_peer_crowd(peer, peer->internal, CROWD);
	unsigned i;

	for (i = 0; i < CROWD; i++) {
		g_autofree char *name = g_strdup_printf("reports-%u", i);

		send_reports(fds[i], name, 50000);
	}
	hostile_sleep_ms(SETTLE_MS);
	control_peer_check(peer);
	control_peer_crowd_free(fds, CROWD);
}

/* Guards against sightings that grow by name until no view can be sent. */
static void sightings(struct control_peer *peer)
{
	int fd = control_peer_connect(peer, peer->internal);
	unsigned i;

	for (i = 0; i < 3000; i++) {
		g_autofree char *id = long_name("up", i, 1000);

		send_sighting(fd, id, i);
	}
	hostile_sleep_ms(SETTLE_MS);
	control_peer_check(peer);
	close(fd);
}

/* Sends heartbeats of 6,000 upstreams of @nr_services, with names of legal
 * length. */
static void send_heartbeats(struct control_peer *peer, unsigned nr_services)
{
	g_autofree char *zone = long_name("zone", 1, 128);
	int fd = hostile_connect(peer->ip, peer->http);
	unsigned i;

	for (i = 0; i < 6000; i++) {
		g_autofree char *id = long_name("up", i, 128);
		g_autofree char *service = long_name("s", i % nr_services, 128);
		g_autofree char *body = g_strdup_printf(
			"{\"service\":\"%s\",\"address\":\"10.0.%u.%u:5432\","
			"\"zone\":\"%s\",\"state\":\"ready\",\"db_role\":"
			"\"replica\",\"version\":\"1\",\"sequence\":1,"
			"\"slots\":6,\"cold_remaining_ms\":0}",
			service, i >> 8, i & 255, zone);
		g_autofree char *text = g_strdup_printf(
			"POST /comfreywheel/instances/%s/heartbeat HTTP/1.1\r\n"
			"Host: c\r\nContent-Length: %zu\r\n\r\n%s",
			id, strlen(body), body);

		control_peer_push(fd, text, strlen(text));
		g_free(hostile_read_until(fd, "\r\n\r\n"));
	}
	close(fd);
	control_peer_check(peer);
}

/* The same by heartbeats, all of whose names are of legal length. */
static void heartbeats(struct control_peer *peer)
{
	send_heartbeats(peer, 10);
}

/* Guards against work for each service that grows with the upstreams. */
static void services(struct control_peer *peer)
{
	send_heartbeats(peer, 6000);
}

/* Guards against peers and members that grow by address. */
static void joins(struct control_peer *peer)
{
	int fd = control_peer_connect(peer, peer->internal);
	unsigned i;

	for (i = 0; i < 5000; i++) {
		Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
		Wire__Join join = WIRE__JOIN__INIT;

		join.id = (uint64_t)(0x7f640000 + i + 1) << 32 | (i + 1);
		envelope.body_case = WIRE__ENVELOPE__BODY_JOIN;
		envelope.join = &join;
		if (control_peer_send_envelope(fd, &envelope))
			continue;
		close(fd);
		fd = control_peer_connect(peer, peer->internal);
	}
	hostile_sleep_ms(SETTLE_MS);
	control_peer_check(peer);
	close(fd);
}

/* The same by messages that name many addresses at once. */
static void peers(struct control_peer *peer)
{
	int fd = control_peer_connect(peer, peer->internal);
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__Peers names = WIRE__PEERS__INIT;
	unsigned i;

	names.n_ids = 5000;
	names.ids = g_new(uint64_t, names.n_ids);
	for (i = 0; i < names.n_ids; i++)
		names.ids[i] = (uint64_t)(0x7f640000 + i + 1) << 32 | (i + 1);
	envelope.body_case = WIRE__ENVELOPE__BODY_PEERS;
	envelope.peers = &names;
	for (i = 0; i < 20; i++)
		control_peer_send_envelope(fd, &envelope);
	g_free(names.ids);
	hostile_sleep_ms(SETTLE_MS);
	control_peer_check(peer);
	close(fd);
}

static const struct load loads[] = {
	{ "frames_over", frames_over },
	{ "frames_half", frames_half },
	{ "frames_malformed", frames_malformed },
	{ "watch_unread", watch_unread },
	{ "views_unread", views_unread },
	{ "watch_names", watch_names },
	{ "watch_zones", watch_zones },
	{ "watch_long_names", watch_long_names },
	{ "watch_reports", watch_reports },
	{ "sightings", sightings },
	{ "heartbeats", heartbeats },
	{ "services", services },
	{ "joins", joins },
	{ "peers", peers },
};

int main(int argc, char **argv)
{
	struct control_peer peer;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(loads); i++) {
		if (strcmp(loads[i].name, argv[1]))
			continue;
		control_peer_start(&peer, "127.7.3.1", 0);
		loads[i].run(&peer);
		control_peer_finish(&peer, MAX_KB, MAX_FDS);
		return 0;
	}
	return 1;
}
