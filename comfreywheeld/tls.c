#include "tls.h"

#include "error.h"

#include <errno.h>
#include <openssl/err.h>
#include <openssl/ssl.h>

static const char *last_reason(void)
{
	const char *reason = ERR_reason_error_string(ERR_peek_last_error());

	return reason ? reason : "no reason given";
}

bool tls_context_new(const char *certificate, const char *key,
		     SSL_CTX **context, GError **error)
{
	SSL_CTX *ctx;

	*context = NULL;
	if (!certificate)
		return true;
	ctx = SSL_CTX_new(TLS_server_method());
	if (ctx && key && SSL_CTX_set_min_proto_version(ctx, TLS1_2_VERSION) &&
	    SSL_CTX_use_certificate_chain_file(ctx, certificate) == 1 &&
	    SSL_CTX_use_PrivateKey_file(ctx, key, SSL_FILETYPE_PEM) == 1 &&
	    SSL_CTX_check_private_key(ctx) == 1) {
		SSL_CTX_set_mode(ctx,
				 SSL_MODE_ENABLE_PARTIAL_WRITE |
					 SSL_MODE_ACCEPT_MOVING_WRITE_BUFFER |
					 SSL_MODE_RELEASE_BUFFERS);
		*context = ctx;
		return true;
	}
	g_set_error(error, CW_ERROR, CW_ERROR_SETTINGS,
		    "cannot use tls_certificate %s with tls_key %s: %s; give "
		    "a PEM certificate and its PEM key",
		    certificate, key ? key : "(none)", last_reason());
	ERR_clear_error();
	SSL_CTX_free(ctx);
	return false;
}

void tls_context_free(SSL_CTX *context)
{
	SSL_CTX_free(context);
}

static void finish(struct stream *s)
{
	SSL_free(s->layer_state);
	s->layer_state = NULL;
	s->layer = NULL;
}

/* Return: as recv() and send() do, from the result of an SSL call. */
static ssize_t result_of(struct stream *s, int n)
{
	int saved = errno;

	if (n > 0)
		return n;
	switch (SSL_get_error(s->layer_state, n)) {
	case SSL_ERROR_ZERO_RETURN:
		return 0;
	case SSL_ERROR_WANT_WRITE:
		ev_io_start(s->loop, &s->writer);
		errno = EAGAIN;
		break;
	case SSL_ERROR_WANT_READ:
		errno = EAGAIN;
		break;
	case SSL_ERROR_SYSCALL:
		errno = saved ? saved : ECONNRESET;
		break;
	default:
		errno = EPROTO;
		break;
	}
	ERR_clear_error();
	return -1;
}

static ssize_t receive(struct stream *s, void *data, size_t len)
{
	errno = 0;
	return result_of(s, SSL_read(s->layer_state, data, MIN(len, INT_MAX)));
}

static ssize_t transmit(struct stream *s, const void *data, size_t len)
{
	errno = 0;
	return result_of(s, SSL_write(s->layer_state, data, MIN(len, INT_MAX)));
}

static void shutdown_output(struct stream *s)
{
	SSL_shutdown(s->layer_state);
	ERR_clear_error();
}

static bool pending(const struct stream *s)
{
	return SSL_pending(s->layer_state) > 0;
}

static const struct stream_layer layer = {
	.receive = receive,
	.transmit = transmit,
	.shutdown_output = shutdown_output,
	.pending = pending,
	.finish = finish,
};

bool tls_start(struct stream *s, SSL_CTX *context)
{
	SSL *ssl = SSL_new(context);

	if (!ssl || SSL_set_fd(ssl, s->fd) != 1) {
		SSL_free(ssl);
		ERR_clear_error();
		return false;
	}
	SSL_set_accept_state(ssl);
	s->layer_state = ssl;
	s->layer = &layer;
	return true;
}
