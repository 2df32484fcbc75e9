#include "upstream_startup.h"

#include "log.h"
#include "upstream_pool.h"

#include <string.h>

/* Kind of an authentication request that asks for SASL. */
#define AUTH_SASL 10

static void start_up_failed(struct upstream_connection *conn,
			    enum upstream_end end, const char *why)
{
	struct upstream_home *home = conn->home;

	proxy_count(home->proxy, COUNT_UPSTREAM_FAILED);
	if (!home->rejected)
		log_warning("upstream %s refuses the start-up: %s", home->name,
			    why);
	home->rejected = true;
	upstream_connection_lose(conn, end);
}

static const char *authentication_remedy(uint32_t kind)
{
	if (kind == AUTH_SASL)
		return "it asks for SCRAM; allow this VM by trust in its "
		       "pg_hba.conf";
	return "it asks for an unsupported login; allow this VM by trust in "
	       "its pg_hba.conf";
}

static void note_parameter(struct upstream_connection *conn,
			   const struct pg_frame *frame)
{
	struct pg_reader r;
	const char *name, *value;

	pg_reader_init(&r, frame->payload, frame->payload_len);
	name = pg_read_string(&r);
	value = pg_read_string(&r);
	if (!r.failed)
		g_hash_table_replace(conn->home->proxy->parameters,
				     g_strdup(name), g_strdup(value));
}

static const char *error_text(const struct pg_frame *frame)
{
	const char *text =
		pg_error_field(frame->payload, frame->payload_len, 'M');

	return text ? text : "an error without a message";
}

/* "Cannot connect now": starting, stopping or in crash recovery. */
static enum upstream_end error_end(const struct pg_frame *frame)
{
	const char *code =
		pg_error_field(frame->payload, frame->payload_len, 'C');

	return code && !strcmp(code, "57P03") ? UPSTREAM_BROKEN :
						UPSTREAM_REJECTED;
}

void upstream_startup_frame(struct upstream_connection *conn,
			    const struct pg_frame *frame)
{
	struct pg_reader r;
	uint32_t kind;

	pg_reader_init(&r, frame->payload, frame->payload_len);
	switch (frame->type) {
	case 'R':
		kind = pg_read_u32(&r);
		if (kind)
			start_up_failed(conn, UPSTREAM_REJECTED,
					authentication_remedy(kind));
		return;
	case 'S':
		note_parameter(conn, frame);
		return;
	case 'K':
		conn->pid = pg_read_u32(&r);
		conn->secret = pg_read_u32(&r);
		return;
	case 'E':
		start_up_failed(conn, error_end(frame), error_text(frame));
		return;
	default:
		return;
	}
}
