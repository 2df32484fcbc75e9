#include "caller_query.h"

#include "upstream_connection.h"

#include <string.h>

static void start(struct caller *caller, const uint8_t *data, size_t len)
{
	struct request *req = &caller->request;
	GError *error = NULL;

	if (!caller_resolve(caller, &error)) {
		caller_error(caller, "28000", error->message, NULL);
		g_error_free(error);
		pg_buffer_finish(&req->bytes);
		request_init(req, caller);
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

static void put_row_description(struct pg_buffer *out, const char *name)
{
	size_t begin = pg_begin(out, 'T');

	pg_put_u16(out, 1);
	pg_put_string(out, name);
	pg_put_u32(out, 0);
	pg_put_u16(out, 0);
	pg_put_u32(out, 25);
	pg_put_u16(out, UINT16_MAX);
	pg_put_u32(out, UINT32_MAX);
	pg_put_u16(out, 0);
	pg_end(out, begin);
}

static void put_row(struct pg_buffer *out, const char *value)
{
	size_t begin = pg_begin(out, 'D');

	pg_put_u16(out, 1);
	pg_put_u32(out, strlen(value));
	pg_buffer_append(out, value, strlen(value));
	pg_end(out, begin);
}

static void answer_show(struct caller *caller, const struct sql_class *class)
{
	char *value = caller_settings_show(&caller->settings, class->name);

	if (!value) {
		caller_error(caller, "42704", "there is no such setting",
			     "Use session, position, max_age, repeatable, "
			     "request_id or deadline after the prefix "
			     "comfreywheel.");
		return;
	}
	put_row_description(caller_out(caller), class->name);
	put_row(caller_out(caller), value);
	complete(caller, "SHOW");
	g_free(value);
}

static void answer_set(struct caller *caller, const struct sql_class *class)
{
	GError *error = NULL;

	if (caller_settings_assign(
		    &caller->settings, class->name,
		    class->value_is_default ? NULL : class->value, &error)) {
		complete(caller, "SET");
		return;
	}
	caller_error(caller, "22023", error->message, NULL);
	g_error_free(error);
}

void caller_local(struct caller *caller, const struct sql_class *class)
{
	if (class->kind == SQL_PRODUCT_SHOW)
		answer_show(caller, class);
	else
		answer_set(caller, class);
}

static void answer_empty(struct caller *caller)
{
	struct pg_buffer *out = caller_out(caller);

	pg_end(out, pg_begin(out, 'I'));
	pg_put_ready(out, caller->transaction);
	proxy_count(caller->proxy, COUNT_LOCAL_ANSWERS);
}

static void refuse(struct caller *caller, const struct sql_class *class)
{
	proxy_count(caller->proxy, COUNT_REFUSED_STATEMENTS);
	if (class->kind == SQL_SCRIPT) {
		caller_error(caller, "0A000",
			     "BEGIN and COMMIT cannot share one query with "
			     "other statements",
			     "Send each of them as a query of its own.");
		return;
	}
	caller_error(caller, class->sqlstate,
		     "this statement does not work on pooled connections",
		     class->remedy);
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

static void fill(struct caller *caller, const struct sql_class *class)
{
	struct request *req = &caller->request;
	bool open = caller->transaction != 'I';

	req->read = class->kind == SQL_READ || class->kind == SQL_SET_LOCAL ||
		    class->kind == SQL_SAVEPOINT;
	req->begins = class->kind == SQL_BEGIN;
	req->begins_read_only = req->begins && class->read_only;
	if (req->begins_read_only)
		req->read = true;
	req->ends = class->kind == SQL_COMMIT || class->kind == SQL_ROLLBACK;
	if (open)
		req->writes = class->kind == SQL_COMMIT && caller->wrote;
	else
		req->writes = class->kind == SQL_WRITE;
	if (req->ends)
		req->read = !req->writes;
	req->identified = req->writes && !open && caller->settings.request_id;
}

static void simple_query(struct caller *caller, const struct pg_frame *frame,
			 const uint8_t *data)
{
	const struct sql_class *class;
	struct pg_reader r;
	const char *sql;

	pg_reader_init(&r, frame->payload, frame->payload_len);
	sql = pg_read_string(&r);
	if (r.failed) {
		caller_fatal(caller, "08P01", "malformed query frame", NULL);
		return;
	}
	class = sql_classify(&caller->proxy->classifier, sql);
	if (class->kind == SQL_PRODUCT_SET || class->kind == SQL_PRODUCT_SHOW) {
		caller_local(caller, class);
		return;
	}
	if (class->kind == SQL_EMPTY) {
		answer_empty(caller);
		return;
	}
	if (class->kind == SQL_REFUSED || class->kind == SQL_SCRIPT) {
		refuse(caller, class);
		return;
	}
	if (caller->transaction != 'I' && !caller->held) {
		after_loss(caller, class);
		return;
	}
	if (caller->transaction == 'I' &&
	    (class->kind == SQL_COMMIT || class->kind == SQL_ROLLBACK)) {
		complete(caller,
			 class->kind == SQL_COMMIT ? "COMMIT" : "ROLLBACK");
		return;
	}
	fill(caller, class);
	start(caller, data, frame->frame_len);
}

void caller_frame(struct caller *caller, const struct pg_frame *frame,
		  const uint8_t *data)
{
	switch (frame->type) {
	case 'Q':
		simple_query(caller, frame, data);
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
