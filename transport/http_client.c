#include "http_client.h"

#include <curl/curl.h>
#include <glib.h>

struct http_client {
	struct ev_loop *loop;
	CURLM *multi;
	ev_timer timer;
};

struct http_call {
	http_done done;
	void *data;
	struct curl_slist *headers;
};

struct http_socket {
	struct http_client *client;
	ev_io io;
};

static size_t discard(char *data, size_t size, size_t nr, void *user)
{
	return size * nr;
}

static void finish(struct http_client *client, CURLMsg *msg)
{
	CURL *easy = msg->easy_handle;
	bool whole = msg->data.result == CURLE_OK;
	struct http_call *call = NULL;
	long status = 0;

	curl_easy_getinfo(easy, CURLINFO_PRIVATE, (char **)&call);
	if (whole)
		curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	curl_multi_remove_handle(client->multi, easy);
	curl_easy_cleanup(easy);
	call->done(status, call->data);
	curl_slist_free_all(call->headers);
	g_free(call);
}

static void collect(struct http_client *client)
{
	CURLMsg *msg;
	int left;

	while ((msg = curl_multi_info_read(client->multi, &left)))
		if (msg->msg == CURLMSG_DONE)
			finish(client, msg);
}

static void on_socket(struct ev_loop *loop, ev_io *w, int revents)
{
	struct http_socket *socket = w->data;
	struct http_client *client = socket->client;
	int running;
	int what = (revents & EV_READ ? CURL_CSELECT_IN : 0) |
		   (revents & EV_WRITE ? CURL_CSELECT_OUT : 0);

	curl_multi_socket_action(client->multi, w->fd, what, &running);
	collect(client);
}

static void on_timer(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct http_client *client = w->data;
	int running;

	curl_multi_socket_action(client->multi, CURL_SOCKET_TIMEOUT, 0,
				 &running);
	collect(client);
}

static int watch_socket(CURL *easy, curl_socket_t fd, int what, void *user,
			void *assigned)
{
	struct http_client *client = user;
	struct http_socket *socket = assigned;
	int events = (what & CURL_POLL_IN ? EV_READ : 0) |
		     (what & CURL_POLL_OUT ? EV_WRITE : 0);

	if (what == CURL_POLL_REMOVE) {
		if (socket)
			ev_io_stop(client->loop, &socket->io);
		g_free(socket);
		return 0;
	}
	if (!socket) {
		socket = g_new0(struct http_socket, 1);
		socket->client = client;
		ev_init(&socket->io, on_socket);
		socket->io.data = socket;
		curl_multi_assign(client->multi, fd, socket);
	}
	ev_io_stop(client->loop, &socket->io);
	ev_io_set(&socket->io, fd, events);
	ev_io_start(client->loop, &socket->io);
	return 0;
}

static int watch_time(CURLM *multi, long ms, void *user)
{
	struct http_client *client = user;

	ev_timer_stop(client->loop, &client->timer);
	if (ms < 0)
		return 0;
	ev_timer_set(&client->timer, (double)ms / 1e3, 0.);
	ev_timer_start(client->loop, &client->timer);
	return 0;
}

struct http_client *http_client_new(struct ev_loop *loop)
{
	struct http_client *client = g_new0(struct http_client, 1);

	curl_global_init(CURL_GLOBAL_NOTHING);
	client->loop = loop;
	client->multi = curl_multi_init();
	ev_init(&client->timer, on_timer);
	client->timer.data = client;
	curl_multi_setopt(client->multi, CURLMOPT_SOCKETFUNCTION, watch_socket);
	curl_multi_setopt(client->multi, CURLMOPT_SOCKETDATA, client);
	curl_multi_setopt(client->multi, CURLMOPT_TIMERFUNCTION, watch_time);
	curl_multi_setopt(client->multi, CURLMOPT_TIMERDATA, client);
	return client;
}

void http_client_free(struct http_client *client)
{
	ev_timer_stop(client->loop, &client->timer);
	curl_multi_cleanup(client->multi);
	curl_global_cleanup();
	g_free(client);
}

void http_client_post(struct http_client *client, const char *url,
		      const char *const *headers, const char *body,
		      long timeout_ms, http_done done, void *data)
{
	struct http_call *call = g_new0(struct http_call, 1);
	CURL *easy = curl_easy_init();

	call->done = done;
	call->data = data;
	for (; *headers; headers++)
		call->headers = curl_slist_append(call->headers, *headers);
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_COPYPOSTFIELDS, body);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, call->headers);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, discard);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, timeout_ms);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(easy, CURLOPT_PRIVATE, call);
	curl_multi_add_handle(client->multi, easy);
}
