#ifndef HTTP_CLIENT_H
#define HTTP_CLIENT_H

#include <ev.h>
#include <stdbool.h>

/**
 * DOC: HTTP requests inside an event loop, by libcurl.
 */

struct http_client;

/**
 * http_done - result of a request
 * @status: HTTP status, 0 when no whole answer came
 */
typedef void (*http_done)(long status, void *data);

struct http_client *http_client_new(struct ev_loop *loop);
void http_client_free(struct http_client *client);

/**
 * http_client_post() - send a request
 * @headers: "Name: value" texts, NULL terminated
 * @timeout_ms: for the whole request
 */
void http_client_post(struct http_client *client, const char *url,
		      const char *const *headers, const char *body,
		      long timeout_ms, http_done done, void *data);

#endif
