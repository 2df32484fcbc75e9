#include "http_server.h"

#include "error.h"
#include "net.h"

#include <microhttpd.h>
#include <string.h>
#include <unistd.h>

#define MAX_CONNECTIONS 256
/* Time after which an idle connection is closed, seconds. */
#define IDLE_TIMEOUT_S 15

struct http_server {
	struct ev_loop *loop;
	struct MHD_Daemon *daemon;
	size_t body_max;
	http_handler handler;
	void *data;
	ev_io epoll_watcher;
	ev_timer timeout;
	ev_prepare prepare;
};

void http_respond(struct http_exchange *ex, unsigned status, const char *type,
		  const char *body, size_t len, const char *location)
{
	struct MHD_Connection *conn = ex->connection;
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
	ex->answered = true;
	MHD_queue_response(conn, status, response);
	MHD_destroy_response(response);
	if (!ex->suspended)
		return;
	MHD_resume_connection(conn);
	/* The epoll descriptor does not signal resumed connections. */
	ev_feed_event(ex->server->loop, &ex->server->epoll_watcher, EV_READ);
}

void http_respond_text(struct http_exchange *ex, unsigned status,
		       const char *text)
{
	http_respond(ex, status, "text/plain; charset=utf-8", text,
		     strlen(text), NULL);
}

/* Appends to the body; a chunk beyond the limit is discarded. */
static void append_body(struct http_exchange *ex, const char *data, size_t *len)
{
	if (ex->body->len + *len > ex->server->body_max)
		ex->too_long = true;
	else
		g_string_append_len(ex->body, data, *len);
	*len = 0;
}

static enum MHD_Result on_request(void *cls, struct MHD_Connection *conn,
				  const char *url, const char *method,
				  const char *version, const char *data,
				  size_t *len, void **exchange)
{
	struct http_server *server = cls;
	struct http_exchange *ex = *exchange;

	if (!ex) {
		ex = g_new0(struct http_exchange, 1);
		ex->server = server;
		ex->connection = conn;
		ex->method = g_strdup(method);
		ex->path = g_strdup(url);
		ex->body = g_string_new(NULL);
		*exchange = ex;
		return MHD_YES;
	}
	if (*len) {
		append_body(ex, data, len);
		return MHD_YES;
	}
	if (ex->answered)
		return MHD_YES;
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
	g_string_free(ex->body, TRUE);
	g_free(ex->method);
	g_free(ex->path);
	g_free(ex);
	*exchange = NULL;
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
	server->epoll_watcher.data = server;
	server->timeout.data = server;
	server->prepare.data = server;
	ev_io_start(server->loop, &server->epoll_watcher);
	ev_prepare_start(server->loop, &server->prepare);
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
	server->body_max = body_max;
	server->handler = handler;
	server->data = data;
	server->daemon = MHD_start_daemon(
		MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL,
		on_request, server, MHD_OPTION_LISTEN_SOCKET, fd,
		MHD_OPTION_CONNECTION_LIMIT, (unsigned)MAX_CONNECTIONS,
		MHD_OPTION_CONNECTION_TIMEOUT, (unsigned)IDLE_TIMEOUT_S,
		MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL,
		MHD_OPTION_END);
	if (!server->daemon) {
		g_set_error(error, CW_ERROR, CW_ERROR_IO,
			    "cannot start HTTP server on %s; check the open "
			    "file limit",
			    address);
		close(fd);
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
	MHD_stop_daemon(server->daemon);
	g_free(server);
}
