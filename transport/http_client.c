#include "http_client.h"

#include <curl/curl.h>
#include <glib.h>

/**
 * struct http_client - libcurl multi handle in an event loop
 * @timer: expires at the timeout that libcurl asks for
 */
struct http_client {
	struct ev_loop *loop;
	CURLM *multi;
	ev_timer timer;
};

/** struct http_request - a request in progress */
struct http_request {
	http_done done;
	void *data;
	struct curl_slist *headers;
};

/** struct http_socket - watcher of a socket that libcurl uses */
struct http_socket {
	struct http_client *client;
	ev_io io;
};

static size_t discard_body(char *data, size_t size, size_t nr, void *user)
{
	return size * nr;
}

static void complete_request(struct http_client *client, CURLMsg *msg)
{
	CURL *easy = msg->easy_handle;
	bool succeeded = msg->data.result == CURLE_OK;
	struct http_request *request = NULL;
	long status = 0;

	curl_easy_getinfo(easy, CURLINFO_PRIVATE, (char **)&request);
	if (succeeded)
		curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	curl_multi_remove_handle(client->multi, easy);
	curl_easy_cleanup(easy);
	request->done(status, request->data);
	curl_slist_free_all(request->headers);
	g_free(request);
}

static void complete_finished_requests(struct http_client *client)
{
	CURLMsg *msg;
	int nr_queued;

	while ((msg = curl_multi_info_read(client->multi, &nr_queued)))
		if (msg->msg == CURLMSG_DONE)
			complete_request(client, msg);
}

static void on_socket(struct ev_loop *loop, ev_io *w, int revents)
{
	struct http_socket *socket = w->data;
	struct http_client *client = socket->client;
	int running;
	int action = (revents & EV_READ ? CURL_CSELECT_IN : 0) |
		     (revents & EV_WRITE ? CURL_CSELECT_OUT : 0);

	curl_multi_socket_action(client->multi, w->fd, action, &running);
	complete_finished_requests(client);
}

static void on_timer(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct http_client *client = w->data;
	int running;

	curl_multi_socket_action(client->multi, CURL_SOCKET_TIMEOUT, 0,
				 &running);
	complete_finished_requests(client);
}

/* CURLMOPT_SOCKETFUNCTION: starts, changes or stops the watcher of a socket. */
static int on_watch_socket(CURL *easy, curl_socket_t fd, int action, void *user,
			   void *socket_data)
{
	struct http_client *client = user;
	struct http_socket *socket = socket_data;
	int events = (action & CURL_POLL_IN ? EV_READ : 0) |
		     (action & CURL_POLL_OUT ? EV_WRITE : 0);

	if (action == CURL_POLL_REMOVE) {
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

/* CURLMOPT_TIMERFUNCTION: sets the timer; a negative delay stops it. */
static int on_set_timeout(CURLM *multi, long delay_ms, void *user)
{
	struct http_client *client = user;

	ev_timer_stop(client->loop, &client->timer);
	if (delay_ms < 0)
		return 0;
	ev_timer_set(&client->timer, (double)delay_ms / 1e3, 0.);
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
	curl_multi_setopt(client->multi, CURLMOPT_SOCKETFUNCTION,
			  on_watch_socket);
	curl_multi_setopt(client->multi, CURLMOPT_SOCKETDATA, client);
	curl_multi_setopt(client->multi, CURLMOPT_TIMERFUNCTION,
			  on_set_timeout);
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
	struct http_request *request = g_new0(struct http_request, 1);
	CURL *easy = curl_easy_init();

	request->done = done;
	request->data = data;
	for (; *headers; headers++)
		request->headers =
			curl_slist_append(request->headers, *headers);
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_COPYPOSTFIELDS, body);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, request->headers);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, discard_body);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, timeout_ms);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(easy, CURLOPT_PRIVATE, request);
	curl_multi_add_handle(client->multi, easy);
}
