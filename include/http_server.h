#ifndef HTTP_SERVER_H
#define HTTP_SERVER_H

#include <ev.h>
#include <glib.h>
#include <stdbool.h>

/**
 * DOC: HTTP/1.1 server in an event loop, based on libmicrohttpd.
 */

struct http_server;
struct MHD_Connection;

/**
 * struct http_exchange - one request and its response
 * @method: "GET", "POST", ...
 * @path: path without the query string
 * @body: request body; incomplete if @too_long
 * @too_long: whether the body exceeded the limit of the server
 * @answered: whether the response was queued
 * @suspended: whether the connection is suspended until the response
 * @owner: opaque pointer of the handler
 * @on_disconnect: the client disconnected before the response; may be NULL
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
	void (*on_disconnect)(struct http_exchange *ex);
};

/**
 * http_handler - handles a request
 *
 * Either calls http_respond() before it returns, or keeps @ex and calls
 * http_respond() later.
 */
typedef void (*http_handler)(struct http_exchange *ex, void *data);

/**
 * http_server_new() - start a server
 * @address: "IP:PORT" to listen on
 * @body_max: largest request body accepted, bytes
 * Return: NULL with @error set on failure
 */
struct http_server *http_server_new(struct ev_loop *loop, const char *address,
				    size_t body_max, http_handler handler,
				    void *data, GError **error);
void http_server_free(struct http_server *server);

/**
 * http_respond() - send the response; @ex must not be used afterwards
 * @type: Content-Type, NULL for none
 * @location: Location of a redirect, NULL for none
 */
void http_respond(struct http_exchange *ex, unsigned status, const char *type,
		  const char *body, size_t len, const char *location);

/** http_respond_text() - send a plain text response */
void http_respond_text(struct http_exchange *ex, unsigned status,
		       const char *text);

#endif
