#ifndef HTTP_SERVER_H
#define HTTP_SERVER_H

#include "server_limits.h"

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
 * struct http_server_stats - what the limits of a server have cost, since its
 *                            start
 * @paused: bodies that waited for memory
 * @refused: requests and connections answered with 503
 * @closed: connections closed for others
 * @timed_out: connections closed because a header, a body or the reading of an
 *             answer took too long
 * @bytes: bytes held now
 */
struct http_server_stats {
	uint64_t paused;
	uint64_t refused;
	uint64_t closed;
	uint64_t timed_out;
	size_t bytes;
};

/**
 * http_limited_callback - a limit took effect
 *
 * Called at most once a second.
 */
typedef void (*http_limited_callback)(const struct http_server_stats *stats,
				      void *data);

/**
 * http_server_set_limits() - replace the limits of a server
 *
 * Without it, a server has limits that follow from the descriptors of the
 * process. @max_bytes is at least the largest body.
 */
void http_server_set_limits(struct http_server *server,
			    const struct server_limits *limits);
/** http_server_on_limited() - have @on_limited called when limits take effect */
void http_server_on_limited(struct http_server *server,
			    http_limited_callback on_limited, void *data);
const struct http_server_stats *
http_server_stats(const struct http_server *server);

/**
 * http_respond() - send the response; @ex must not be used afterwards
 * @type: Content-Type, NULL for none
 * @location: Location of a redirect, NULL for none
 */
void http_respond(struct http_exchange *ex, unsigned status, const char *type,
		  const char *body, size_t len, const char *location);

/**
 * http_respond_bytes() - send a response whose body is shared, not copied
 * @type: Content-Type
 */
void http_respond_bytes(struct http_exchange *ex, unsigned status,
			const char *type, GBytes *body);

/** http_respond_text() - send a plain text response */
void http_respond_text(struct http_exchange *ex, unsigned status,
		       const char *text);

#endif
