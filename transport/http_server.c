#include "http_server.h"

#include "clock.h"
#include "error.h"
#include "net.h"

#include <errno.h>
#include <microhttpd.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

/* Time after which an idle connection is closed, seconds. */
#define IDLE_TIMEOUT_S 15
/* Defaults of the limits. A server without bodies has few clients. */
#define MAX_CONNECTIONS 256
#define MAX_CONNECTIONS_NO_BODY 64
#define MAX_BYTES (6u * 1024 * 1024)
#define MAX_PART_US (15 * 1000000ll)
/* Accepted connections between two searches for connections that have ended. */
#define REAP_INTERVAL 32
/* Interval of checks of the timeouts, seconds. */
#define SWEEP_INTERVAL_S 0.1
/* Least time between two calls of the callback of limits, microseconds. */
#define REPORT_INTERVAL_US (1000 * 1000ll)
/* The limit of libmicrohttpd is never reached before our own. */
#define LIBRARY_MAX_CONNECTIONS 65536u

/**
 * struct http_connection - what one accepted connection holds
 * @paused: whether it is suspended until memory is released
 * @closing: whether its socket was shut down
 */
struct http_connection {
	struct http_server *server;
	struct MHD_Connection *mhd;
	int fd;
	struct server_holder holder;
	bool paused;
	bool closing;
};

/**
 * struct http_server - see http_server.h
 * @sweep: active while there are connections or accepting has failed
 * @connections: struct http_connection
 */
struct http_server {
	struct ev_loop *loop;
	struct MHD_Daemon *daemon;
	size_t body_max;
	http_handler handler;
	void *data;
	int fd;
	ev_io listener;
	ev_io epoll_watcher;
	ev_timer timeout;
	ev_timer sweep;
	ev_prepare prepare;
	struct server_limits limits;
	struct http_server_stats stats;
	http_limited_callback on_limited;
	void *limited_data;
	int64_t reported_us;
	GPtrArray *connections;
	unsigned nr_paused;
	unsigned nr_accepted;
};

static struct http_connection *connection_of(struct MHD_Connection *mhd)
{
	return MHD_get_connection_info(mhd, MHD_CONNECTION_INFO_SOCKET_CONTEXT)
		->socket_context;
}

/* The epoll descriptor does not signal resumed and added connections. */
static void run_soon(struct http_server *server)
{
	ev_feed_event(server->loop, &server->epoll_watcher, EV_READ);
}

static void report(struct http_server *server)
{
	int64_t now_us = clock_now_us();

	if (!server->on_limited ||
	    now_us - server->reported_us < REPORT_INTERVAL_US)
		return;
	server->reported_us = now_us;
	server->on_limited(&server->stats, server->limited_data);
}

static void enter_phase(struct http_connection *conn, enum server_phase phase,
			size_t bytes)
{
	conn->server->stats.bytes += bytes - conn->holder.bytes;
	conn->holder.phase = phase;
	conn->holder.bytes = bytes;
	conn->holder.since_us = clock_now_us();
}

static void set_paused(struct http_connection *conn, bool paused)
{
	if (conn->paused == paused)
		return;
	conn->paused = paused;
	if (paused) {
		conn->server->nr_paused++;
		MHD_suspend_connection(conn->mhd);
		return;
	}
	conn->server->nr_paused--;
	MHD_resume_connection(conn->mhd);
	run_soon(conn->server);
}

static void resume_all(struct http_server *server)
{
	guint i;

	for (i = 0; server->nr_paused && i < server->connections->len; i++)
		set_paused(server->connections->pdata[i], false);
}

/* libmicrohttpd closes the connection once it finds the socket shut down. */
static void close_connection(struct http_connection *conn)
{
	conn->closing = true;
	shutdown(conn->fd, SHUT_RDWR);
	set_paused(conn, false);
	run_soon(conn->server);
}

/*
 * Closes a connection to make room, or to release memory.
 * Return: false if no connection may be closed
 */
static bool evict(struct http_server *server, bool for_memory)
{
	guint nr = server->connections->len;
	struct server_holder *holders = g_new(struct server_holder, nr);
	int victim;
	guint i;

	for (i = 0; i < nr; i++) {
		const struct http_connection *conn =
			server->connections->pdata[i];

		holders[i] = conn->holder;
		if (conn->closing || (for_memory && !conn->holder.bytes))
			holders[i].phase = SERVER_HANDLER;
	}
	victim = server_limits_victim(holders, nr, clock_now_us());
	g_free(holders);
	if (victim < 0)
		return false;
	server->stats.closed++;
	close_connection(server->connections->pdata[victim]);
	return true;
}

static void start_answer(struct http_exchange *ex, unsigned status,
			 struct MHD_Response *response, size_t copied)
{
	struct MHD_Connection *mhd = ex->connection;

	ex->answered = true;
	enter_phase(connection_of(mhd), SERVER_ANSWER, ex->body->len + copied);
	MHD_queue_response(mhd, status, response);
	MHD_destroy_response(response);
	if (!ex->suspended)
		return;
	MHD_resume_connection(mhd);
	run_soon(ex->server);
}

void http_respond(struct http_exchange *ex, unsigned status, const char *type,
		  const char *body, size_t len, const char *location)
{
	struct MHD_Response *response;

	if (ex->answered)
		return;
	response = MHD_create_response_from_buffer(len, (void *)body,
						   MHD_RESPMEM_MUST_COPY);
	if (type)
		MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE,
					type);
	if (location)
		MHD_add_response_header(response, MHD_HTTP_HEADER_LOCATION,
					location);
	start_answer(ex, status, response, len);
}

static void unref_bytes(void *bytes)
{
	g_bytes_unref(bytes);
}

void http_respond_bytes(struct http_exchange *ex, unsigned status,
			const char *type, GBytes *body)
{
	struct MHD_Response *response;
	gsize len;
	void *data;

	if (ex->answered)
		return;
	data = (void *)g_bytes_get_data(body, &len);
	response = MHD_create_response_from_buffer_with_free_callback_cls(
		len, data, unref_bytes, g_bytes_ref(body));
	MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE, type);
	start_answer(ex, status, response, 0);
}

void http_respond_text(struct http_exchange *ex, unsigned status,
		       const char *text)
{
	http_respond(ex, status, "text/plain; charset=utf-8", text,
		     strlen(text), NULL);
}

static void drop_body(struct http_exchange *ex)
{
	ex->too_long = true;
	g_string_free(ex->body, TRUE);
	ex->body = g_string_new(NULL);
}

/*
 * Appends to the body; a chunk beyond the limit is discarded, and a body beyond
 * it is not kept. If the server holds too much, the connection waits with the
 * chunk unread.
 */
static void append_body(struct http_exchange *ex, const char *data, size_t *len)
{
	struct http_server *server = ex->server;
	struct http_connection *conn = connection_of(ex->connection);
	int64_t since_us = conn->holder.since_us;

	if (!ex->too_long && ex->body->len + *len > server->body_max)
		drop_body(ex);
	if (!ex->too_long &&
	    server_limits_read(&server->limits, server->stats.bytes, *len) !=
		    SERVER_READ) {
		server->stats.paused++;
		report(server);
		set_paused(conn, true);
		return;
	}
	if (!ex->too_long)
		g_string_append_len(ex->body, data, *len);
	*len = 0;
	enter_phase(conn, SERVER_BODY, ex->body->len);
	/* The time for a body counts from its start. */
	conn->holder.since_us = since_us;
}

/* Return: bytes of the body that the header states, 0 if it states none. */
static size_t stated_length(struct MHD_Connection *mhd)
{
	const char *text = MHD_lookup_connection_value(
		mhd, MHD_HEADER_KIND, MHD_HTTP_HEADER_CONTENT_LENGTH);

	return text ? g_ascii_strtoull(text, NULL, 10) : 0;
}

static bool has_body(struct MHD_Connection *mhd)
{
	return stated_length(mhd) ||
	       MHD_lookup_connection_value(mhd, MHD_HEADER_KIND,
					   MHD_HTTP_HEADER_TRANSFER_ENCODING);
}

static void begin_request(struct http_exchange *ex)
{
	struct http_server *server = ex->server;
	size_t len = stated_length(ex->connection);

	enter_phase(connection_of(ex->connection), SERVER_BODY, 0);
	if (len > server->body_max)
		ex->too_long = true;
	if (ex->too_long || !has_body(ex->connection) ||
	    server_limits_begin(&server->limits, server->stats.bytes, len,
				server->nr_paused) != SERVER_REFUSE)
		return;
	server->stats.refused++;
	report(server);
	http_respond_text(ex, 503, "busy; try again later\n");
}

static enum MHD_Result on_request(void *cls, struct MHD_Connection *conn,
				  const char *url, const char *method,
				  const char *version, const char *data,
				  size_t *len, void **exchange)
{
	struct http_server *server = cls;
	struct http_exchange *ex = *exchange;

	if (connection_of(conn)->closing)
		return MHD_NO;
	if (!ex) {
		ex = g_new0(struct http_exchange, 1);
		ex->server = server;
		ex->connection = conn;
		ex->method = g_strdup(method);
		ex->path = g_strdup(url);
		ex->body = g_string_new(NULL);
		*exchange = ex;
		begin_request(ex);
		return MHD_YES;
	}
	if (*len && ex->answered) {
		*len = 0;
		return MHD_YES;
	}
	if (*len) {
		append_body(ex, data, len);
		return MHD_YES;
	}
	if (ex->answered)
		return MHD_YES;
	enter_phase(connection_of(conn), SERVER_HANDLER, ex->body->len);
	server->handler(ex, server->data);
	if (!ex->answered) {
		ex->suspended = true;
		MHD_suspend_connection(conn);
	}
	return MHD_YES;
}

static void on_completed(void *cls, struct MHD_Connection *conn,
			 void **exchange, enum MHD_RequestTerminationCode code)
{
	struct http_exchange *ex = *exchange;

	if (!ex)
		return;
	if (!ex->answered && ex->on_disconnect)
		ex->on_disconnect(ex);
	enter_phase(connection_of(conn), SERVER_HEADER, 0);
	resume_all(ex->server);
	g_string_free(ex->body, TRUE);
	g_free(ex->method);
	g_free(ex->path);
	g_free(ex);
	*exchange = NULL;
}

static void connection_free(struct http_connection *conn)
{
	enter_phase(conn, SERVER_HEADER, 0);
	conn->server->nr_paused -= conn->paused;
	g_ptr_array_remove_fast(conn->server->connections, conn);
	g_free(conn);
}

static void on_connection(void *cls, struct MHD_Connection *mhd, void **context,
			  enum MHD_ConnectionNotificationCode code)
{
	struct http_server *server = cls;
	struct http_connection *conn = *context;

	if (code == MHD_CONNECTION_NOTIFY_CLOSED) {
		if (conn)
			connection_free(conn);
		*context = NULL;
		return;
	}
	conn = g_new0(struct http_connection, 1);
	conn->server = server;
	conn->mhd = mhd;
	conn->fd =
		MHD_get_connection_info(mhd, MHD_CONNECTION_INFO_CONNECTION_FD)
			->connect_fd;
	enter_phase(conn, SERVER_HEADER, 0);
	g_ptr_array_add(server->connections, conn);
	*context = conn;
}

/* Before a connection exists, only the socket can carry the refusal. */
static void refuse(struct http_server *server, int fd)
{
	static const char text[] = "HTTP/1.1 503 Service Unavailable\r\n"
				   "Connection: close\r\nContent-Length: 0\r\n"
				   "\r\n";

	server->stats.refused++;
	report(server);
	if (send(fd, text, sizeof(text) - 1, MSG_NOSIGNAL | MSG_DONTWAIT) < 0)
		server->stats.closed++;
	close(fd);
}

/* Whether the client has closed its side and all that it sent was read. */
static bool has_ended(const struct http_connection *conn)
{
	char byte;

	return !conn->closing && !conn->paused &&
	       (conn->holder.phase == SERVER_HEADER ||
		conn->holder.phase == SERVER_BODY) &&
	       !recv(conn->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
}

/*
 * libmicrohttpd watches for edges. If a client sends part of a request and
 * closes at once, both make one edge, the read takes the bytes only, and the
 * connection stays until its timeout.
 */
static void reap(struct http_server *server)
{
	guint i;

	for (i = 0; i < server->connections->len; i++)
		if (has_ended(server->connections->pdata[i]))
			close_connection(server->connections->pdata[i]);
}

static void add_connection(struct http_server *server, int fd)
{
	struct sockaddr_storage addr;
	socklen_t len = sizeof(addr);

	if (getpeername(fd, (struct sockaddr *)&addr, &len) < 0) {
		close(fd);
		return;
	}
	if (++server->nr_accepted % REAP_INTERVAL == 0) {
		reap(server);
		MHD_run(server->daemon);
	}
	if (server->connections->len >= server->limits.max_connections &&
	    evict(server, false)) {
		report(server);
		MHD_run(server->daemon);
	}
	if (server->connections->len >= server->limits.max_connections) {
		refuse(server, fd);
		return;
	}
	MHD_add_connection(server->daemon, fd, (struct sockaddr *)&addr, len);
	run_soon(server);
}

static void on_accept(struct ev_loop *loop, ev_io *w, int revents)
{
	struct http_server *server = w->data;
	int fd;

	while ((fd = net_accept(w->fd)) >= 0)
		add_connection(server, fd);
	/* A listener is readable for as long as descriptors lack, so it waits
	 * for the next sweep. */
	if (errno == EMFILE || errno == ENFILE)
		ev_io_stop(loop, w);
	if (!ev_is_active(&server->sweep))
		ev_timer_again(loop, &server->sweep);
}

static void on_sweep(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct http_server *server = w->data;
	int64_t now_us = clock_now_us();
	guint i;

	ev_io_start(loop, &server->listener);
	reap(server);
	for (i = 0; i < server->connections->len; i++) {
		struct http_connection *conn = server->connections->pdata[i];

		if (conn->closing ||
		    !server_limits_is_overdue(&server->limits, &conn->holder,
					      now_us))
			continue;
		server->stats.timed_out++;
		report(server);
		close_connection(conn);
	}
	if (server->nr_paused && evict(server, true))
		report(server);
	if (!server->connections->len)
		ev_timer_stop(loop, w);
}

static void on_epoll_ready(struct ev_loop *loop, ev_io *w, int revents)
{
	struct http_server *server = w->data;

	MHD_run(server->daemon);
}

static void on_timeout(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct http_server *server = w->data;

	MHD_run(server->daemon);
}

/* Sets the timer to the timeout of libmicrohttpd before the loop blocks. */
static void on_prepare(struct ev_loop *loop, ev_prepare *w, int revents)
{
	struct http_server *server = w->data;
	MHD_UNSIGNED_LONG_LONG timeout_ms;

	ev_timer_stop(loop, &server->timeout);
	if (MHD_get_timeout(server->daemon, &timeout_ms) != MHD_YES)
		return;
	ev_timer_set(&server->timeout, timeout_ms / 1e3, 0.);
	ev_timer_start(loop, &server->timeout);
}

static void start_watchers(struct http_server *server)
{
	const union MHD_DaemonInfo *info =
		MHD_get_daemon_info(server->daemon, MHD_DAEMON_INFO_EPOLL_FD);

	ev_io_init(&server->epoll_watcher, on_epoll_ready, info->epoll_fd,
		   EV_READ);
	ev_timer_init(&server->timeout, on_timeout, 0., 0.);
	ev_prepare_init(&server->prepare, on_prepare);
	ev_timer_init(&server->sweep, on_sweep, 0., SWEEP_INTERVAL_S);
	ev_io_init(&server->listener, on_accept, server->fd, EV_READ);
	server->sweep.data = server;
	server->listener.data = server;
	ev_io_start(server->loop, &server->listener);
	server->epoll_watcher.data = server;
	server->timeout.data = server;
	server->prepare.data = server;
	ev_io_start(server->loop, &server->epoll_watcher);
	ev_prepare_start(server->loop, &server->prepare);
}

static struct server_limits default_limits(size_t body_max)
{
	struct rlimit fds = { .rlim_cur = MAX_CONNECTIONS };

	getrlimit(RLIMIT_NOFILE, &fds);
	return (struct server_limits){
		.max_connections =
			body_max ? server_limits_share(fds.rlim_cur, 7,
						       MAX_CONNECTIONS) :
				   server_limits_share(fds.rlim_cur, 2,
						       MAX_CONNECTIONS_NO_BODY),
		.max_bytes = MAX(MAX_BYTES, body_max),
		.header_us = MAX_PART_US,
		.body_us = MAX_PART_US,
		.answer_us = MAX_PART_US,
	};
}

void http_server_set_limits(struct http_server *server,
			    const struct server_limits *limits)
{
	server->limits = *limits;
	server->limits.max_bytes = MAX(limits->max_bytes, server->body_max);
}

void http_server_on_limited(struct http_server *server,
			    http_limited_callback on_limited, void *data)
{
	server->on_limited = on_limited;
	server->limited_data = data;
}

const struct http_server_stats *
http_server_stats(const struct http_server *server)
{
	return &server->stats;
}

struct http_server *http_server_new(struct ev_loop *loop, const char *address,
				    size_t body_max, http_handler handler,
				    void *data, GError **error)
{
	int fd = net_listen(address, error);
	struct http_server *server;

	if (fd < 0)
		return NULL;
	server = g_new0(struct http_server, 1);
	server->loop = loop;
	server->fd = fd;
	server->limits = default_limits(body_max);
	server->connections = g_ptr_array_new();
	server->body_max = body_max;
	server->handler = handler;
	server->data = data;
	server->daemon = MHD_start_daemon(
		MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME |
			MHD_USE_NO_LISTEN_SOCKET,
		0, NULL, NULL, on_request, server, MHD_OPTION_CONNECTION_LIMIT,
		LIBRARY_MAX_CONNECTIONS, MHD_OPTION_NOTIFY_CONNECTION,
		on_connection, server, MHD_OPTION_CONNECTION_TIMEOUT,
		(unsigned)IDLE_TIMEOUT_S, MHD_OPTION_NOTIFY_COMPLETED,
		on_completed, NULL, MHD_OPTION_END);
	if (!server->daemon) {
		g_set_error(error, CW_ERROR, CW_ERROR_IO,
			    "cannot start HTTP server on %s; check the open "
			    "file limit",
			    address);
		close(fd);
		g_ptr_array_free(server->connections, TRUE);
		g_free(server);
		return NULL;
	}
	start_watchers(server);
	return server;
}

void http_server_free(struct http_server *server)
{
	if (!server)
		return;
	ev_io_stop(server->loop, &server->epoll_watcher);
	ev_timer_stop(server->loop, &server->timeout);
	ev_prepare_stop(server->loop, &server->prepare);
	ev_timer_stop(server->loop, &server->sweep);
	ev_io_stop(server->loop, &server->listener);
	resume_all(server);
	MHD_stop_daemon(server->daemon);
	close(server->fd);
	g_ptr_array_free(server->connections, TRUE);
	g_free(server);
}
