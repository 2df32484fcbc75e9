#ifndef TLS_H
#define TLS_H

#include "stream.h"

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
void tls_finish(struct stream *s);

/** tls_recv(), tls_send() - as recv() and send(), with errno set */
ssize_t tls_recv(struct stream *s, void *data, size_t len);
ssize_t tls_send(struct stream *s, const void *data, size_t len);

/** tls_end_output() - tell the peer that no more follows */
void tls_end_output(struct stream *s);

/** tls_pending() - whether bytes are decrypted but not read */
bool tls_pending(const struct stream *s);

#endif
