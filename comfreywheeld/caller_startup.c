#include "caller.h"

#include "caller_auth.h"
#include "caller_limits.h"
#include "cancel.h"
#include "tls.h"

#include <string.h>

#define PRODUCT_PREFIX "comfreywheel."
#define PROTOCOL_MAJOR_3 3
/* Requests for encryption answered on one connection; libpq sends two. */
#define NEGOTIATIONS_MAX 4

/* Reported until an upstream has reported its own values. */
static const char *const default_parameters[][2] = {
	{ "server_version", "15.0" },
	{ "server_encoding", "UTF8" },
	{ "client_encoding", "UTF8" },
	{ "DateStyle", "ISO, MDY" },
	{ "IntervalStyle", "postgres" },
	{ "TimeZone", "UTC" },
	{ "integer_datetimes", "on" },
	{ "standard_conforming_strings", "on" },
};

static void put_parameters(struct caller *caller)
{
	const char *name, *value;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(default_parameters); i++) {
		name = default_parameters[i][0];
		value = g_hash_table_lookup(caller->proxy->parameters, name);
		pg_put_parameter_status(caller_out(caller), name,
					value ? value :
						default_parameters[i][1]);
	}
}

static void put_cancel_key(struct caller *caller)
{
	struct pg_buffer *out = caller_out(caller);
	size_t begin = pg_frame_begin(out, 'K');

	/* Identity 0 would look like no key to some callers. */
	pg_put_u32(out, caller->index + 1);
	pg_put_u32(out, caller->secret);
	pg_frame_end(out, begin);
}

void caller_put_authentication(struct caller *caller, uint32_t kind,
			       const char *text, size_t len)
{
	struct pg_buffer *out = caller_out(caller);
	size_t begin = pg_frame_begin(out, 'R');

	pg_put_u32(out, kind);
	pg_buffer_append(out, text, len);
	pg_frame_end(out, begin);
}

void caller_logged_in(struct caller *caller)
{
	GError *error = NULL;

	timer_cancel(&caller->proxy->timers, &caller->login_timer);
	if (!caller_resolve(caller, &error)) {
		proxy_count(caller->proxy, COUNT_CALLERS_REJECTED_LOGIN);
		caller_fatal(caller,
			     g_error_matches(error, CW_ERROR,
					     CW_ERROR_UNAVAILABLE) ?
				     "57P03" :
				     "28000",
			     error->message, NULL);
		g_error_free(error);
		return;
	}
	caller_put_authentication(caller, 0, NULL, 0);
	put_parameters(caller);
	put_cancel_key(caller);
	pg_put_ready(caller_out(caller), 'I');
	caller_limits_started(caller);
	caller->state = CALLER_READY;
}

static bool assign(struct caller *caller, const char *name, const char *value)
{
	GError *error = NULL;

	if (!g_str_has_prefix(name, PRODUCT_PREFIX) ||
	    caller_settings_assign(&caller->settings, name, value, &error))
		return true;
	caller_fatal(caller, "22023", error->message, NULL);
	g_error_free(error);
	return false;
}

/* "-c name=value" and "--name=value", blanks escaped by a backslash. */
static bool assign_options(struct caller *caller, const char *options)
{
	char **argv = NULL;
	char *at, *equals;
	int i, argc;
	bool ok = true;

	if (!*options)
		return true;
	if (!g_shell_parse_argv(options, &argc, &argv, NULL)) {
		caller_fatal(caller, "22023", "malformed start-up options",
			     "Write them as -c name=value.");
		return false;
	}
	for (i = 0; ok && i < argc; i++) {
		at = argv[i];
		if (!strcmp(at, "-c"))
			continue;
		if (g_str_has_prefix(at, "-c") || g_str_has_prefix(at, "--"))
			at += 2;
		equals = strchr(at, '=');
		if (!equals)
			continue;
		*equals = 0;
		ok = assign(caller, at, equals + 1);
	}
	g_strfreev(argv);
	return ok;
}

static bool take_parameter(struct caller *caller, const char *name,
			   const char *value)
{
	if (!strcmp(name, "user")) {
		g_free(caller->user);
		caller->user = g_strdup(value);
		return true;
	}
	if (!strcmp(name, "database")) {
		g_free(caller->database);
		caller->database = g_strdup(value);
		return true;
	}
	if (!strcmp(name, "options"))
		return assign_options(caller, value);
	return assign(caller, name, value);
}

static bool take_parameters(struct caller *caller, struct pg_reader *r)
{
	const char *name, *value;

	for (;;) {
		name = pg_read_string(r);
		if (r->failed) {
			caller_fatal(caller, "08P01",
				     "malformed start-up packet", NULL);
			return false;
		}
		if (!*name)
			break;
		value = pg_read_string(r);
		if (!r->failed && !take_parameter(caller, name, value))
			return false;
	}
	if (caller->user && *caller->user)
		return true;
	caller_fatal(caller, "28000", "the start-up packet names no user",
		     "State a user.");
	return false;
}

/* Minor versions above 0 are answered with what is supported here. */
static void negotiate(struct caller *caller, uint32_t version)
{
	struct pg_buffer *out = caller_out(caller);
	size_t begin;

	if (version == PG_PROTOCOL_3_0)
		return;
	begin = pg_frame_begin(out, 'v');
	pg_put_u32(out, PG_PROTOCOL_3_0);
	pg_put_u32(out, 0);
	pg_frame_end(out, begin);
}

static void start_session(struct caller *caller, uint32_t version,
			  struct pg_reader *r)
{
	if (version >> 16 != PROTOCOL_MAJOR_3) {
		caller_fatal(caller, "0A000", "unsupported protocol version",
			     "Use version 3 of the PostgreSQL protocol.");
		return;
	}
	negotiate(caller, version);
	if (!take_parameters(caller, r))
		return;
	if (!caller->database)
		caller->database = g_strdup(caller->user);
	if (caller->proxy->draining) {
		caller_fatal(caller, "57P03", "this daemon is shutting down",
			     "Connect again to reach another daemon.");
		return;
	}
	if (caller->proxy->users)
		caller_auth_start(caller);
	else
		caller_logged_in(caller);
}

/*
 * Bytes behind the request would be taken for the encrypted part, although
 * anybody on the way could have added them.
 */
static void answer_ssl(struct caller *caller, const struct pg_frame *frame)
{
	struct stream *s = &caller->stream;

	if (!caller->proxy->tls || s->layer) {
		pg_put_u8(caller_out(caller), 'N');
		return;
	}
	if (pg_buffer_length(&s->in) != frame->frame_len) {
		caller_close(caller);
		return;
	}
	pg_put_u8(caller_out(caller), 'S');
	stream_flush(s);
	if (pg_buffer_length(&s->out) || !tls_start(s, caller->proxy->tls))
		caller_close(caller);
}

static void startup_packet(struct caller *caller, const struct pg_frame *frame)
{
	struct pg_reader r;
	uint32_t version, pid, secret;

	pg_reader_init(&r, frame->payload, frame->payload_len);
	version = pg_read_u32(&r);
	if ((version == PG_SSL_REQUEST_CODE ||
	     version == PG_GSSENC_REQUEST_CODE) &&
	    ++caller->negotiations > NEGOTIATIONS_MAX) {
		caller_fatal(caller, "08P01",
			     "too many requests for encryption",
			     "Send the start-up packet after two at most.");
		return;
	}
	switch (version) {
	case PG_CANCEL_REQUEST_CODE:
		pid = pg_read_u32(&r);
		secret = pg_read_u32(&r);
		if (!r.failed)
			cancel_request(caller->proxy, pid, secret);
		caller_close(caller);
		return;
	case PG_SSL_REQUEST_CODE:
		answer_ssl(caller, frame);
		return;
	case PG_GSSENC_REQUEST_CODE:
		pg_put_u8(caller_out(caller), 'N');
		return;
	default:
		start_session(caller, version, &r);
		return;
	}
}

static void invalid(struct caller *caller)
{
	caller_fatal(caller, "08P01", "invalid start-up packet",
		     "Connect with a client for PostgreSQL's protocol 3.");
}

static bool take_startup(struct caller *caller)
{
	struct pg_buffer *in = &caller->stream.in;
	struct pg_frame frame;

	switch (pg_frame_peek_startup(pg_buffer_head(in), pg_buffer_length(in),
				      &frame)) {
	case PG_FRAME_INCOMPLETE:
		return false;
	case PG_FRAME_INVALID:
		invalid(caller);
		return false;
	case PG_FRAME_READY:
		break;
	}
	startup_packet(caller, &frame);
	if (caller->state != CALLER_CLOSED)
		pg_buffer_consume(in, frame.frame_len);
	return caller->state == CALLER_STARTUP;
}

void caller_startup(struct caller *caller)
{
	while (caller->state == CALLER_STARTUP && take_startup(caller))
		;
	while ((caller->state == CALLER_AUTH_FIRST ||
		caller->state == CALLER_AUTH_FINAL) &&
	       caller_auth_input(caller))
		;
}
