#include "caller_auth.h"

#include <openssl/rand.h>
#include <string.h>

/* Kinds of authentication frames. */
#define AUTH_SASL 10
#define AUTH_SASL_CONTINUE 11
#define AUTH_SASL_FINAL 12
#define NONCE_BYTES 18
/* Largest login frame accepted, bytes. */
#define AUTH_FRAME_MAX 4096u

void caller_auth_start(struct caller *caller)
{
	static const char mechanisms[] = SCRAM_MECHANISM "\0";
	unsigned char random[NONCE_BYTES];
	char *nonce;

	if (RAND_bytes(random, sizeof(random)) != 1) {
		caller_fatal(caller, "XX000", "no random numbers for a login",
			     "Connect again.");
		return;
	}
	nonce = g_base64_encode(random, sizeof(random));
	scram_server_init(&caller->scram,
			  g_hash_table_lookup(caller->proxy->users,
					      caller->user),
			  caller->user, nonce);
	g_free(nonce);
	caller->state = CALLER_AUTH_FIRST;
	caller_put_authentication(caller, AUTH_SASL, mechanisms,
				  sizeof(mechanisms));
}

static void reject(struct caller *caller, GError *error)
{
	proxy_count(caller->proxy, COUNT_CALLERS_REJECTED_LOGIN);
	scram_server_finish(&caller->scram);
	caller_fatal(caller, "28P01", "password authentication failed",
		     "Check user and password; the users file of the daemon "
		     "names who may connect.");
	g_clear_error(&error);
}

static void first(struct caller *caller, const struct pg_frame *frame)
{
	GError *error = NULL;
	const uint8_t *data;
	struct pg_reader r;
	const char *mechanism;
	uint32_t len;
	char *reply;

	pg_reader_init(&r, frame->payload, frame->payload_len);
	mechanism = pg_read_string(&r);
	len = pg_read_u32(&r);
	data = pg_read_bytes(&r, len);
	if (r.failed || strcmp(mechanism, SCRAM_MECHANISM) ||
	    !scram_server_first(&caller->scram, (const char *)data, len, &reply,
				&error)) {
		reject(caller, error);
		return;
	}
	caller->state = CALLER_AUTH_FINAL;
	caller_put_authentication(caller, AUTH_SASL_CONTINUE, reply,
				  strlen(reply));
	g_free(reply);
}

static void final(struct caller *caller, const struct pg_frame *frame)
{
	GError *error = NULL;
	char *reply;

	if (!scram_server_final(&caller->scram, (const char *)frame->payload,
				frame->payload_len, &reply, &error)) {
		reject(caller, error);
		return;
	}
	scram_server_finish(&caller->scram);
	caller_put_authentication(caller, AUTH_SASL_FINAL, reply,
				  strlen(reply));
	g_free(reply);
	caller->state = CALLER_STARTUP;
	caller_logged_in(caller);
}

bool caller_auth_input(struct caller *caller)
{
	struct pg_buffer *in = &caller->stream.in;
	struct pg_frame frame;
	enum pg_frame_status status = pg_frame_peek(pg_buffer_head(in),
						    pg_buffer_length(in),
						    AUTH_FRAME_MAX, &frame);

	if (status == PG_FRAME_INCOMPLETE)
		return false;
	if (status == PG_FRAME_INVALID || frame.type != 'p')
		reject(caller, NULL);
	else if (caller->state == CALLER_AUTH_FIRST)
		first(caller, &frame);
	else
		final(caller, &frame);
	if (caller->state != CALLER_CLOSED && status == PG_FRAME_READY)
		pg_buffer_consume(in, frame.frame_len);
	return caller->state < CALLER_READY;
}
