#ifndef HTTP_SERVER_H
#define HTTP_SERVER_H

#include <ev.h>
#include <glib.h>
#include <stdbool.h>

/**
 * DOC: HTTP/1.1 server inside an event loop, by libmicrohttpd.
 */

struct http_server;
struct MHD_Connection;

/**
 * struct http_exchange - one request and its answer
 * @method: "GET", "POST", ...
 * @path: path without the query
 * @body: whole body, cut at the limit of the server
 * @too_long: whether the body was longer than the limit
 * @owner: for the handler, to find the exchange again
 * @dropped: called when the peer went away before the answer; may be NULL
 */
struct http_exchange {
	struct http_server *server;
	struct MHD_Connection *connection;
	char *method;
	char *path;
	GString *body;
	bool too_long;
	bool answered;
	bool suspended;
	void *owner;
	void (*dropped)(struct http_exchange *ex);
};

/**
 * http_handler - answers a request, at once or later
 *
 * Calls http_answer() before it returns or keeps @ex and calls it later.
 */
typedef void (*http_handler)(struct http_exchange *ex, void *data);

/**
 * http_server_new() - listen
 * @address: "IP:PORT"
 * @body_max: largest body kept, bytes
 */
struct http_server *http_server_new(struct ev_loop *loop, const char *address,
				    size_t body_max, http_handler handler,
				    void *data, GError **error);
void http_server_free(struct http_server *server);

/**
 * http_answer() - answer an exchange once; it is not valid afterwards
 * @type: content type, NULL for none
 * @location: target of a redirect, NULL for none
 */
void http_answer(struct http_exchange *ex, unsigned status, const char *type,
		 const char *body, size_t len, const char *location);

/** http_answer_text() - a plain text answer */
void http_answer_text(struct http_exchange *ex, unsigned status,
		      const char *text);

#endif
