#include "caller_batch.h"
#include "caller_limits.h"
#include "caller_query.h"

#include <string.h>

static void put_empty(struct pg_buffer *out, char type)
{
	pg_frame_end(out, pg_frame_begin(out, type));
}

static void put_row_description(struct pg_buffer *out, const char *name)
{
	size_t begin = pg_frame_begin(out, 'T');

	pg_put_u16(out, 1);
	pg_put_string(out, name);
	pg_put_u32(out, 0);
	pg_put_u16(out, 0);
	/* Type text, of variable length, without a modifier. */
	pg_put_u32(out, 25);
	pg_put_u16(out, UINT16_MAX);
	pg_put_u32(out, UINT32_MAX);
	pg_put_u16(out, 0);
	pg_frame_end(out, begin);
}

static void put_row(struct pg_buffer *out, const char *value)
{
	size_t begin = pg_frame_begin(out, 'D');

	pg_put_u16(out, 1);
	pg_put_u32(out, strlen(value));
	pg_buffer_append(out, value, strlen(value));
	pg_frame_end(out, begin);
}

/* Return: false after an error was answered. */
static bool show(struct caller *caller, const struct sql_class *class)
{
	char *value = caller_settings_show(&caller->settings, class->name);

	if (!value) {
		pg_put_error(caller_out(caller), "ERROR", "42704",
			     "there is no such setting",
			     "Use session, position, max_age, repeatable, "
			     "request_id or deadline after the prefix "
			     "comfreywheel.");
		return false;
	}
	put_row(caller_out(caller), value);
	pg_put_command_complete(caller_out(caller), "SHOW");
	g_free(value);
	return true;
}

static bool set(struct caller *caller, const struct sql_class *class)
{
	GError *error = NULL;

	if (caller_settings_assign(
		    &caller->settings, class->name,
		    class->value_is_default ? NULL : class->value, &error)) {
		pg_put_command_complete(caller_out(caller), "SET");
		return true;
	}
	pg_put_error(caller_out(caller), "ERROR", "22023", error->message,
		     NULL);
	g_error_free(error);
	return false;
}

static bool end_lost_transaction(struct caller *caller)
{
	caller->transaction = 'I';
	caller->wrote = false;
	caller->read_only = false;
	pg_put_command_complete(caller_out(caller), "ROLLBACK");
	return true;
}

static bool execute(struct caller *caller, const struct sql_class *class)
{
	proxy_count(caller->proxy, COUNT_LOCAL_ANSWERS);
	switch (class->kind) {
	case SQL_PROXY_SHOW:
		return show(caller, class);
	case SQL_PROXY_SET:
		return set(caller, class);
	default:
		return end_lost_transaction(caller);
	}
}

void caller_local(struct caller *caller, const struct sql_class *class)
{
	if (class->kind == SQL_PROXY_SHOW && caller_settings_knows(class->name))
		put_row_description(caller_out(caller), class->name);
	execute(caller, class);
	pg_put_ready(caller_out(caller), caller->transaction);
}

static void describe(struct caller *caller, const struct sql_class *class,
		     bool statement)
{
	struct pg_buffer *out = caller_out(caller);
	size_t begin;

	if (statement) {
		begin = pg_frame_begin(out, 't');
		pg_put_u16(out, 0);
		pg_frame_end(out, begin);
	}
	if (class->kind == SQL_PROXY_SHOW)
		put_row_description(out, class->name);
	else
		put_empty(out, 'n');
}

/* Class of the statement used last: a local batch runs one at a time. */
static const struct sql_class *class_of(struct caller *caller, guint used)
{
	const struct statement *st = caller->request.used->pdata[used];

	return sql_classify(&caller->proxy->classifier,
			    g_bytes_get_data(st->body, NULL));
}

/* Return: false if the rest of the batch is to be dropped. */
static bool answer_frame(struct caller *caller, const struct pg_frame *frame,
			 guint *used)
{
	struct pg_buffer *out = caller_out(caller);
	bool named = frame->payload_len && frame->payload[0] == 'S';

	if (!*used && (frame->type == 'E' || (frame->type == 'D' && !named))) {
		pg_put_error(out, "ERROR", "34000", "portal does not exist",
			     "Bind a statement first.");
		return false;
	}
	switch (frame->type) {
	case 'P':
		caller->request.parse_completes++;
		++*used;
		put_empty(out, '1');
		return true;
	case 'B':
		++*used;
		put_empty(out, '2');
		return true;
	case 'D':
		if (named)
			++*used;
		describe(caller, class_of(caller, *used - 1), named);
		return true;
	case 'E':
		return execute(caller, class_of(caller, *used - 1));
	case 'C':
		put_empty(out, '3');
		return true;
	default:
		return true;
	}
}

void caller_batch_local(struct caller *caller)
{
	struct request *req = &caller->request;
	const uint8_t *at = pg_buffer_head(&req->bytes);
	size_t left = pg_buffer_length(&req->bytes);
	struct pg_frame frame;
	guint used = 0;

	/* A short frame may ask for a long answer. */
	while (left && pg_frame_peek(at, left, PG_FRAME_MAX_BYTES, &frame) ==
			       PG_FRAME_READY) {
		if (!answer_frame(caller, &frame, &used)) {
			caller_batch_failed(caller);
			break;
		}
		if (pg_buffer_length(caller_out(caller)) > LOCAL_ANSWER_MAX) {
			pg_put_error(caller_out(caller), "ERROR", "54000",
				     "the answer of the batch is too large",
				     "Send fewer SHOW statements before Sync.");
			caller_batch_failed(caller);
			break;
		}
		at += frame.frame_len;
		left -= frame.frame_len;
	}
	request_clear(req);
	pg_put_ready(caller_out(caller), caller->transaction);
}
