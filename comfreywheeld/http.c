#include "http.h"

#include "announce.h"
#include "announcement.h"
#include "error.h"

#include <string.h>

static void metrics(struct proxy *proxy, struct http_exchange *ex)
{
	GString *out = g_string_new(NULL);

	metrics_print(proxy, out);
	http_respond(ex, 200, "text/plain; version=0.0.4", out->str, out->len,
		     NULL);
	g_string_free(out, TRUE);
}

static void malformed(struct proxy *proxy, struct http_exchange *ex,
		      const char *text)
{
	proxy_count(proxy, COUNT_ANNOUNCEMENTS_MALFORMED);
	http_respond_text(ex, 400, text);
}

static void announced(struct proxy *proxy, struct http_exchange *ex)
{
	GError *error = NULL;
	Wire__Announcement *ann;
	const char *refusal;

	if (ex->too_long) {
		malformed(proxy, ex, "announcement is too long\n");
		return;
	}
	ann = announcement_parse(ex->body->str, ex->body->len, &error);
	if (!ann) {
		malformed(proxy, ex, error->message);
		g_error_free(error);
		return;
	}
	refusal = announce_take(proxy, ann);
	if (refusal) {
		wire__announcement__free_unpacked(ann, NULL);
		http_respond_text(ex, 409, refusal);
		return;
	}
	announce_relay(proxy->announce, ann);
	http_respond_text(ex, 200, "accepted\n");
}

static void on_request(struct http_exchange *ex, void *data)
{
	struct proxy *proxy = data;

	if (!strcmp(ex->path, "/announce") && !strcmp(ex->method, "POST"))
		announced(proxy, ex);
	else if (!strcmp(ex->path, "/metrics") && !strcmp(ex->method, "GET"))
		metrics(proxy, ex);
	else
		http_respond_text(ex, 404,
				  "use POST /announce or GET /metrics\n");
}

struct http_server *http_new(struct proxy *proxy, GError **error)
{
	return http_server_new(proxy->loop, proxy->settings->admin_listen,
			       ANNOUNCEMENT_MAX_BYTES, on_request, proxy,
			       error);
}
