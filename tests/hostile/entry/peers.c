#include "peers.h"

#include "channel.h"
#include "hostile.h"
#include "net.h"

#include <stdio.h>
#include <string.h>
#include <zlib.h>

#define DOCUMENT                                                            \
	"{\"version\":1,\"routes\":[{\"name\":\"a\",\"database\":\"db\","   \
	"\"path_prefix\":\"/\",\"route_type\":\"primary\",\"timeout_ms\":"  \
	"5000,\"service\":\"svc\"}],\"services\":[{\"name\":\"svc\","       \
	"\"max_conns\":8,\"sync_replicas\":0}],\"limits\":{\"tx_idle_ms\":" \
	"3000}}"

/**
 * struct peers - listeners of the thread
 * @document: the configuration, deflated
 * @sequence: number of the last announcement of the upstream
 */
struct peers {
	struct ev_loop *loop;
	ev_io control;
	ev_io upstream;
	char upstream_address[32];
	uint8_t document[1024];
	size_t document_len;
	uint64_t sequence;
};

/**
 * struct watcher - connection of the entry daemon to the control VM
 */
struct watcher {
	struct peers *peers;
	struct channel channel;
};

/**
 * struct db_session - connection of the entry daemon to the upstream
 * @rows_left: rows of the current answer that were not written yet
 * @in_answer: whether the current answer lacks its end
 */
struct db_session {
	struct stream stream;
	unsigned rows_left;
	bool in_answer;
	bool in_tx;
};

static void send_view(struct watcher *watcher)
{
	struct peers *peers = watcher->peers;
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__View view = WIRE__VIEW__INIT;
	Wire__Sighting sighting = WIRE__SIGHTING__INIT;
	Wire__Sighting *sightings[] = { &sighting };

	sighting.id = "p";
	sighting.service = "svc";
	sighting.address = peers->upstream_address;
	sighting.availability_zone = "z1";
	sighting.primary = true;
	sighting.born_ms = 1;
	sighting.sequence = ++peers->sequence;
	view.fresh = true;
	view.config_version = 1;
	view.config.data = peers->document;
	view.config.len = peers->document_len;
	view.config_len = strlen(DOCUMENT);
	view.n_sightings = G_N_ELEMENTS(sightings);
	view.sightings = sightings;
	envelope.body_case = WIRE__ENVELOPE__BODY_VIEW;
	envelope.view = &view;
	channel_send(&watcher->channel, &envelope);
}

static void on_message(struct channel *ch, const Wire__Envelope *envelope)
{
	if (envelope->body_case == WIRE__ENVELOPE__BODY_WATCH)
		send_view(ch->data);
}

/* The channel may still be in use, so the watcher is not freed. */
static void on_channel_closed(struct channel *ch)
{
}

static const struct channel_events watcher_events = {
	.message = on_message,
	.closed = on_channel_closed,
};

static void on_watcher(struct ev_loop *loop, ev_io *w, int revents)
{
	int fd;

	while ((fd = net_accept(w->fd)) >= 0) {
		struct watcher *watcher = g_new0(struct watcher, 1);

		watcher->peers = w->data;
		channel_accept(&watcher->channel, loop, fd, &watcher_events,
			       watcher);
	}
}

static void append(struct db_session *s, const char *text)
{
	pg_buffer_append(&s->stream.out, text, strlen(text));
}

static void append_ready(struct db_session *s)
{
	append(s, s->in_tx ? "READY T 1.1\r\n" : "READY I 1.1\r\n");
}

/* Writes rows while the entry daemon reads them. */
static void continue_answer(struct db_session *s)
{
	g_autofree char *row = NULL;

	if (!s->in_answer)
		return;
	row = g_strnfill(PEERS_ROW_BYTES, 'r');
	memcpy(row, "ROW ", 4);
	memcpy(row + PEERS_ROW_BYTES - 2, "\r\n", 2);
	while (s->rows_left && !stream_above_high_water(&s->stream)) {
		pg_buffer_append(&s->stream.out, row, PEERS_ROW_BYTES);
		s->rows_left--;
	}
	if (s->rows_left)
		return;
	s->in_answer = false;
	append(s, "DONE rows\r\n");
	append_ready(s);
	stream_flush(&s->stream);
}

static void answer_query(struct db_session *s, const char *text)
{
	unsigned rows = 0;

	if (sscanf(text, "READ rows %u", &rows) == 1) {
		s->rows_left = rows;
		s->in_answer = true;
		continue_answer(s);
		return;
	}
	if (g_str_has_prefix(text, "READ never"))
		return;
	if (g_str_has_prefix(text, "BEGIN"))
		s->in_tx = true;
	if (!strcmp(text, "COMMIT") || !strcmp(text, "ROLLBACK"))
		s->in_tx = false;
	if (!strcmp(text, "STATUS"))
		append(s, "ROW primary 1 1.1 0 0 1 1\r\n");
	append(s, "DONE done\r\n");
	append_ready(s);
}

static void process_line(struct db_session *s, const char *line)
{
	const char *text = strchr(line, ' ');

	text = text ? strchr(text + 1, ' ') : NULL;
	if (g_str_has_prefix(line, "START "))
		append_ready(s);
	else if (text && g_str_has_prefix(line, "QUERY "))
		answer_query(s, text + 1);
}

static void on_input(void *data)
{
	struct db_session *s = data;
	struct pg_buffer *in = &s->stream.in;

	while (pg_buffer_length(in)) {
		const char *from = (const char *)pg_buffer_head(in);
		const char *end = memchr(from, '\n', pg_buffer_length(in));
		g_autofree char *line = NULL;

		if (!end)
			break;
		line = g_strndup(from, end - from - 1);
		pg_buffer_consume(in, end - from + 1);
		process_line(s, line);
	}
	stream_flush(&s->stream);
}

static void on_closed(int err, void *data)
{
	struct db_session *s = data;

	stream_close(&s->stream);
	g_free(s);
}

static void on_drained(void *data)
{
	continue_answer(data);
}

static const struct stream_events db_events = {
	.input = on_input,
	.drained = on_drained,
	.closed = on_closed,
};

static void on_db_connection(struct ev_loop *loop, ev_io *w, int revents)
{
	int fd;

	while ((fd = net_accept(w->fd)) >= 0) {
		struct db_session *s = g_new0(struct db_session, 1);

		stream_init(&s->stream, loop, fd, false, &db_events, s);
	}
}

static void listen_on(struct peers *peers, ev_io *w, const char *ip,
		      uint16_t port,
		      void (*accept)(struct ev_loop *, ev_io *, int))
{
	g_autofree char *address = g_strdup_printf("%s:%u", ip, port);
	GError *error = NULL;
	int fd = net_listen(address, &error);

	if (fd < 0)
		g_error("%s", error->message);
	ev_io_init(w, accept, fd, EV_READ);
	w->data = peers;
	ev_io_start(peers->loop, w);
}

static void *run(void *data)
{
	struct peers *peers = data;

	ev_run(peers->loop, 0);
	return NULL;
}

void peers_start(uint16_t internal_port)
{
	struct peers *peers = g_new0(struct peers, 1);
	uint16_t port = hostile_free_port(PEERS_UPSTREAM_IP);
	uLongf len = sizeof(peers->document);

	peers->loop = ev_loop_new(EVBACKEND_EPOLL);
	g_assert(compress(peers->document, &len, (const Bytef *)DOCUMENT,
			  strlen(DOCUMENT)) == Z_OK);
	peers->document_len = len;
	g_snprintf(peers->upstream_address, sizeof(peers->upstream_address),
		   "%s:%u", PEERS_UPSTREAM_IP, port);
	listen_on(peers, &peers->control, PEERS_CONTROL_IP, internal_port,
		  on_watcher);
	listen_on(peers, &peers->upstream, PEERS_UPSTREAM_IP, port,
		  on_db_connection);
	g_thread_unref(g_thread_new("peers", run, peers));
}
