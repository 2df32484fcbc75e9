#ifndef HTTP_CLIENT_H
#define HTTP_CLIENT_H

#include <ev.h>
#include <stdbool.h>

/**
 * DOC: HTTP client in an event loop, based on libcurl.
 */

struct http_client;

/**
 * http_done - called when a request is complete
 * @status: HTTP status code, 0 without a complete response
 */
typedef void (*http_done)(long status, void *data);

struct http_client *http_client_new(struct ev_loop *loop);
void http_client_free(struct http_client *client);

/**
 * http_client_post() - send a POST request
 * @headers: NULL-terminated array of "Name: value" lines
 * @timeout_ms: limit for the whole request with its response
 */
void http_client_post(struct http_client *client, const char *url,
		      const char *const *headers, const char *body,
		      long timeout_ms, http_done done, void *data);

#endif
