#include "caller_query.h"

#include "caller_batch.h"
#include "drain.h"

#include <string.h>

void caller_start(struct caller *caller, const uint8_t *data, size_t len)
{
	struct request *req = &caller->request;
	GError *error = NULL;

	if (!caller_resolve(caller, &error)) {
		caller_error(caller, "28000", error->message, NULL);
		g_error_free(error);
		request_clear(req);
		return;
	}
	if (req->unidentified) {
		caller_error(caller, "0A000",
			     "comfreywheel.request_id does not work with "
			     "BEGIN and other statements in one request",
			     "Send BEGIN as a request of its own, or RESET "
			     "comfreywheel.request_id.");
		request_clear(req);
		return;
	}
	pg_buffer_append(&req->bytes, data, len);
	caller->busy = true;
	request_start(req);
}

static void complete(struct caller *caller, const char *tag)
{
	pg_put_command_complete(caller_out(caller), tag);
	pg_put_ready(caller_out(caller), caller->transaction);
	proxy_count(caller->proxy, COUNT_LOCAL_ANSWERS);
}

static void answer_empty(struct caller *caller)
{
	struct pg_buffer *out = caller_out(caller);

	pg_frame_end(out, pg_frame_begin(out, 'I'));
	pg_put_ready(out, caller->transaction);
	proxy_count(caller->proxy, COUNT_LOCAL_ANSWERS);
}

const char *caller_refusal(const struct sql_class *class)
{
	if (!strcmp(class->sqlstate, "0A000"))
		return "this statement does not work on pooled connections";
	if (!strncmp(class->sqlstate, "54", 2))
		return "this statement is too large to be classified";
	return "this statement cannot be read";
}

static void refuse(struct caller *caller, const struct sql_class *class)
{
	proxy_count(caller->proxy, COUNT_REFUSED_STATEMENTS);
	caller_error(caller, class->sqlstate, caller_refusal(class),
		     class->error_message);
}

/* The connection of the open transaction is gone, and the work rolled back. */
static void after_loss(struct caller *caller, const struct sql_class *class)
{
	if (class->kind == SQL_COMMIT || class->kind == SQL_ROLLBACK) {
		caller->transaction = 'I';
		caller->wrote = false;
		caller->read_only = false;
		complete(caller, "ROLLBACK");
		return;
	}
	caller_error(caller, "25P02",
		     "the transaction was rolled back because its upstream "
		     "connection was lost",
		     "Send ROLLBACK and run the transaction again.");
}

/* Return: true if the statement needs no upstream, and is answered. */
static bool answer_here(struct caller *caller, const struct sql_class *class)
{
	bool commit = class->kind == SQL_COMMIT;

	switch (class->kind) {
	case SQL_PROXY_SET:
	case SQL_PROXY_SHOW:
		caller_local(caller, class);
		return true;
	case SQL_EMPTY:
		answer_empty(caller);
		return true;
	case SQL_REFUSED:
		refuse(caller, class);
		return true;
	default:
		break;
	}
	if (caller->transaction != 'I' && !caller->held) {
		after_loss(caller, class);
		return true;
	}
	if (caller->transaction == 'I' &&
	    (commit || class->kind == SQL_ROLLBACK)) {
		complete(caller, commit ? "COMMIT" : "ROLLBACK");
		return true;
	}
	return false;
}

static void simple_query(struct caller *caller, const struct pg_frame *frame,
			 const uint8_t *data)
{
	const struct sql_class *class;
	struct pg_reader r;
	const char *sql;

	if (caller->request.open) {
		caller_fatal(caller, "08P01",
			     "a simple query inside a flushed batch",
			     "Send Sync first.");
		return;
	}
	/* A simple query ends a batch that has no Sync. */
	request_clear(&caller->request);
	caller->skip_to_sync = false;
	pg_reader_init(&r, frame->payload, frame->payload_len);
	sql = pg_read_string(&r);
	if (r.failed) {
		caller_fatal(caller, "08P01", "malformed query frame", NULL);
		return;
	}
	class = sql_classify(&caller->proxy->classifier, sql);
	if (answer_here(caller, class))
		return;
	request_classify(&caller->request, class->kind, class->read_only);
	caller_start(caller, data, frame->frame_len);
}

/* A request that comes while the daemon drains; what runs goes on. */
static bool is_too_late(const struct caller *caller, char type)
{
	return caller->proxy->draining && caller->transaction == 'I' &&
	       !caller->request.open && type != 'X';
}

void caller_frame(struct caller *caller, const struct pg_frame *frame,
		  const uint8_t *data)
{
	if (is_too_late(caller, frame->type)) {
		drain_dismiss(caller);
		return;
	}
	switch (frame->type) {
	case 'Q':
		simple_query(caller, frame, data);
		return;
	case 'P':
	case 'B':
	case 'D':
	case 'E':
	case 'C':
	case 'H':
	case 'S':
		caller_batch_frame(caller, frame, data);
		return;
	case 'X':
		caller_close(caller);
		return;
	default:
		caller_fatal(caller, "08P01", "unexpected frame type",
			     "Use simple queries or the extended query "
			     "protocol.");
		return;
	}
}
