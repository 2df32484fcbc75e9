#ifndef TLS_H
#define TLS_H

#include "stream.h"

struct ssl_ctx_st;

/**
 * DOC: TLS towards callers, by OpenSSL on the stream's own socket.
 */

/**
 * tls_context_new() - load a certificate chain and its key
 * @certificate: PEM file, NULL for no TLS: @context is then NULL
 * Return: false with CW_ERROR_SETTINGS
 */
bool tls_context_new(const char *certificate, const char *key,
		     struct ssl_ctx_st **context, GError **error);
void tls_context_free(struct ssl_ctx_st *context);

/** tls_start() - the peer's next bytes are a handshake */
bool tls_start(struct stream *s, struct ssl_ctx_st *context);

#endif
