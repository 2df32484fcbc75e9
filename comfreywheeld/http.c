#include "http.h"

#include "announce.h"
#include "announcement.h"
#include "error.h"
#include "net.h"

#include <microhttpd.h>
#include <string.h>
#include <unistd.h>

#define CONNECTIONS_MAX 256
/* Time an idle HTTP connection is kept, seconds. */
#define CONNECTION_TIMEOUT_S 15

struct http {
	struct proxy *proxy;
	struct MHD_Daemon *daemon;
	ev_io watcher;
	ev_timer timeout;
	ev_prepare prepare;
};

/* Body of one request, gathered over several calls. */
struct http_body {
	GString *text;
	bool too_long;
};

static enum MHD_Result answer(struct MHD_Connection *conn, unsigned status,
			      const char *type, const char *text, size_t len)
{
	struct MHD_Response *response = MHD_create_response_from_buffer(
		len, (void *)text, MHD_RESPMEM_MUST_COPY);
	enum MHD_Result result;

	MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE, type);
	result = MHD_queue_response(conn, status, response);
	MHD_destroy_response(response);
	return result;
}

static enum MHD_Result answer_text(struct MHD_Connection *conn, unsigned status,
				   const char *text)
{
	return answer(conn, status, "text/plain; charset=utf-8", text,
		      strlen(text));
}

static enum MHD_Result metrics(struct http *http, struct MHD_Connection *conn)
{
	GString *out = g_string_new(NULL);
	enum MHD_Result result;

	metrics_print(http->proxy, out);
	result = answer(conn, MHD_HTTP_OK, "text/plain; version=0.0.4",
			out->str, out->len);
	g_string_free(out, TRUE);
	return result;
}

static enum MHD_Result malformed(struct http *http, struct MHD_Connection *conn,
				 const char *text)
{
	proxy_count(http->proxy, COUNT_ANNOUNCEMENTS_MALFORMED);
	return answer_text(conn, MHD_HTTP_BAD_REQUEST, text);
}

static enum MHD_Result announced(struct http *http, struct MHD_Connection *conn,
				 const struct http_body *body)
{
	GError *error = NULL;
	Wire__Announcement *ann;
	enum MHD_Result result;
	const char *refusal;

	if (body->too_long)
		return malformed(http, conn, "announcement is too long\n");
	ann = announcement_parse(body->text->str, body->text->len, &error);
	if (!ann) {
		result = malformed(http, conn, error->message);
		g_error_free(error);
		return result;
	}
	refusal = announce_take(http->proxy, ann);
	if (refusal) {
		wire__announcement__free_unpacked(ann, NULL);
		return answer_text(conn, MHD_HTTP_CONFLICT, refusal);
	}
	announce_relay(http->proxy->announce, ann);
	return answer_text(conn, MHD_HTTP_OK, "accepted\n");
}

static enum MHD_Result gather(struct http_body *body, const char *data,
			      size_t *len)
{
	if (body->text->len + *len > ANNOUNCEMENT_MAX)
		body->too_long = true;
	else
		g_string_append_len(body->text, data, *len);
	*len = 0;
	return MHD_YES;
}

static enum MHD_Result on_request(void *cls, struct MHD_Connection *conn,
				  const char *url, const char *method,
				  const char *version, const char *data,
				  size_t *len, void **state)
{
	struct http *http = cls;
	struct http_body *body = *state;

	if (!body) {
		body = g_new0(struct http_body, 1);
		body->text = g_string_new(NULL);
		*state = body;
		return MHD_YES;
	}
	if (*len)
		return gather(body, data, len);
	if (!strcmp(url, "/announce") && !strcmp(method, "POST"))
		return announced(http, conn, body);
	if (!strcmp(url, "/metrics") && !strcmp(method, "GET"))
		return metrics(http, conn);
	return answer_text(conn, MHD_HTTP_NOT_FOUND,
			   "use POST /announce or GET /metrics\n");
}

static void on_completed(void *cls, struct MHD_Connection *conn, void **state,
			 enum MHD_RequestTerminationCode code)
{
	struct http_body *body = *state;

	if (!body)
		return;
	g_string_free(body->text, TRUE);
	g_free(body);
	*state = NULL;
}

static void on_ready(struct ev_loop *loop, ev_io *w, int revents)
{
	struct http *http = w->data;

	MHD_run(http->daemon);
}

static void on_timeout(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct http *http = w->data;

	MHD_run(http->daemon);
}

/* libmicrohttpd tells before each wait how long it may take. */
static void on_prepare(struct ev_loop *loop, ev_prepare *w, int revents)
{
	struct http *http = w->data;
	MHD_UNSIGNED_LONG_LONG ms;

	ev_timer_stop(loop, &http->timeout);
	if (MHD_get_timeout(http->daemon, &ms) != MHD_YES)
		return;
	ev_timer_set(&http->timeout, ms / 1e3, 0.);
	ev_timer_start(loop, &http->timeout);
}

static void watch(struct http *http)
{
	struct ev_loop *loop = http->proxy->loop;
	const union MHD_DaemonInfo *info =
		MHD_get_daemon_info(http->daemon, MHD_DAEMON_INFO_EPOLL_FD);

	ev_io_init(&http->watcher, on_ready, info->epoll_fd, EV_READ);
	ev_timer_init(&http->timeout, on_timeout, 0., 0.);
	ev_prepare_init(&http->prepare, on_prepare);
	http->watcher.data = http;
	http->timeout.data = http;
	http->prepare.data = http;
	ev_io_start(loop, &http->watcher);
	ev_prepare_start(loop, &http->prepare);
}

struct http *http_new(struct proxy *proxy, GError **error)
{
	int fd = net_listen(proxy->settings->admin_listen, error);
	struct http *http;

	if (fd < 0)
		return NULL;
	http = g_new0(struct http, 1);
	http->proxy = proxy;
	http->daemon = MHD_start_daemon(
		MHD_USE_EPOLL, 0, NULL, NULL, on_request, http,
		MHD_OPTION_LISTEN_SOCKET, fd, MHD_OPTION_CONNECTION_LIMIT,
		(unsigned)CONNECTIONS_MAX, MHD_OPTION_CONNECTION_TIMEOUT,
		(unsigned)CONNECTION_TIMEOUT_S, MHD_OPTION_NOTIFY_COMPLETED,
		on_completed, NULL, MHD_OPTION_END);
	if (!http->daemon) {
		g_set_error(error, CW_ERROR, CW_ERROR_IO,
			    "cannot serve HTTP on %s; check the limit of open "
			    "files",
			    proxy->settings->admin_listen);
		close(fd);
		g_free(http);
		return NULL;
	}
	watch(http);
	return http;
}

void http_free(struct http *http)
{
	ev_io_stop(http->proxy->loop, &http->watcher);
	ev_timer_stop(http->proxy->loop, &http->timeout);
	ev_prepare_stop(http->proxy->loop, &http->prepare);
	MHD_stop_daemon(http->daemon);
	g_free(http);
}
