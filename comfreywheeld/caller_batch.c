#include "caller_batch.h"

#include "caller_limits.h"
#include "caller_query.h"
#include "upstream_connection.h"

#include <string.h>

/* Unnamed statements of at most this many bytes are kept even if the memory
 * for statements is in use: drivers that run one twice have short ones. */
#define UNNAMED_SMALL_BYTES 4096u

static struct statement_table *table_of(const struct caller *caller)
{
	return &caller->proxy->statements;
}

void caller_statements_init(struct caller *caller)
{
	caller->statements =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

/* Names count as well: a caller may choose long ones. */
static void forget_name(struct caller *caller, const char *name,
			const struct statement *st)
{
	size_t len = strlen(name);

	caller->statement_bytes -= g_bytes_get_size(st->body) + len;
	table_of(caller)->bytes -= len;
}

static void drop_statement(struct caller *caller, const char *name)
{
	struct statement *st = g_hash_table_lookup(caller->statements, name);

	if (!st)
		return;
	forget_name(caller, name, st);
	g_hash_table_remove(caller->statements, name);
	statement_unref(table_of(caller), st);
}

void caller_statements_finish(struct caller *caller)
{
	GHashTableIter iter;
	gpointer name, st;

	g_hash_table_iter_init(&iter, caller->statements);
	while (g_hash_table_iter_next(&iter, &name, &st)) {
		forget_name(caller, name, st);
		statement_unref(table_of(caller), st);
	}
	g_hash_table_destroy(caller->statements);
}

void caller_batch_ended(struct caller *caller)
{
	const struct statement *st =
		g_hash_table_lookup(caller->statements, "");
	struct proxy *proxy = caller->proxy;

	if (!st)
		return;
	if (caller->statement_bytes > STATEMENTS_BYTES_MAX ||
	    (g_bytes_get_size(st->body) > UNNAMED_SMALL_BYTES &&
	     caller_limits_statements_full(proxy)))
		drop_statement(caller, "");
}

void caller_batch_failed(struct caller *caller)
{
	struct request *req = &caller->request;
	guint i;

	for (i = req->parse_completes;
	     req->new_names && i < req->new_names->len; i++)
		drop_statement(caller, req->new_names->pdata[i]);
}

/* The batch does not run; what follows up to Sync is dropped. */
static bool fail(struct caller *caller, const char *sqlstate,
		 const char *message, const char *hint)
{
	struct request *req = &caller->request;

	caller_batch_failed(caller);
	pg_put_error(caller_out(caller), "ERROR", sqlstate, message, hint);
	caller->skip_to_sync = true;
	if (req->flushed)
		request_abandon(req);
	else
		request_clear(req);
	return false;
}

static bool malformed(struct caller *caller)
{
	return fail(caller, "08P01", "malformed frame",
		    "Send frames as the protocol describes them.");
}

static bool is_local(enum sql_kind kind)
{
	return kind == SQL_PROXY_SET || kind == SQL_PROXY_SHOW;
}

static void use(struct request *req, struct statement *st)
{
	if (!req->used)
		req->used = g_ptr_array_new();
	g_ptr_array_add(req->used, statement_ref(st));
	if (is_local(st->kind))
		req->has_local = true;
	else
		req->has_remote = true;
}

/* Notes the statement that a Bind or a Describe names, and its new name. */
static bool name_used(struct caller *caller, const char *name, char *renamed)
{
	struct request *req = &caller->request;
	struct statement *st = g_hash_table_lookup(caller->statements, name);

	if (!st)
		return fail(caller, "26000",
			    "prepared statement does not exist",
			    "Prepare it again on this connection.");
	use(req, st);
	if (!*name && req->unnamed_parsed)
		renamed[0] = 0;
	else
		statement_name(st->id, renamed);
	return true;
}

static bool remember(struct caller *caller, const char *name,
		     struct statement *st)
{
	struct request *req = &caller->request;
	size_t bytes = g_bytes_get_size(st->body) + strlen(name);

	if (*name && g_hash_table_contains(caller->statements, name)) {
		statement_unref(table_of(caller), st);
		return fail(caller, "42P05",
			    "prepared statement already exists",
			    "Close it first, or use another name.");
	}
	drop_statement(caller, name);
	if (*name && caller_limits_statements_full(caller->proxy)) {
		statement_unref(table_of(caller), st);
		return fail(caller, "53200",
			    "this daemon has no memory left for prepared "
			    "statements",
			    "Use unnamed statements, or raise memory_budget.");
	}
	if (g_hash_table_size(caller->statements) >= STATEMENTS_MAX ||
	    (*name && caller->statement_bytes + bytes > STATEMENTS_BYTES_MAX)) {
		statement_unref(table_of(caller), st);
		return fail(caller, "53400", "too many prepared statements",
			    "Close statements that are no longer used.");
	}
	g_hash_table_insert(caller->statements, g_strdup(name), st);
	caller->statement_bytes += bytes;
	table_of(caller)->bytes += strlen(name);
	if (!req->new_names)
		req->new_names = g_ptr_array_new_with_free_func(g_free);
	g_ptr_array_add(req->new_names, g_strdup(name));
	use(req, st);
	return true;
}

static bool take_parse(struct caller *caller, const struct pg_frame *frame,
		       struct pg_buffer *out)
{
	const struct sql_class *class;
	char renamed[STATEMENT_NAME_MAX] = "";
	const char *name, *sql;
	struct statement *st;
	struct pg_reader r;
	const uint8_t *body;
	size_t begin;

	pg_reader_init(&r, frame->payload, frame->payload_len);
	name = pg_read_string(&r);
	body = r.at;
	sql = pg_read_string(&r);
	if (r.failed)
		return malformed(caller);
	class = sql_classify(&caller->proxy->classifier, sql);
	if (class->kind == SQL_REFUSED) {
		proxy_count(caller->proxy, COUNT_REFUSED_STATEMENTS);
		return fail(caller, class->sqlstate, caller_refusal(class),
			    class->error_message);
	}
	st = statement_intern(table_of(caller), body,
			      frame->payload + frame->payload_len - body,
			      class);
	if (!remember(caller, name, st))
		return false;
	if (*name)
		statement_name(st->id, renamed);
	else
		caller->request.unnamed_parsed = true;
	begin = pg_frame_begin(out, 'P');
	pg_put_string(out, renamed);
	pg_buffer_append(out, body, frame->payload + frame->payload_len - body);
	pg_frame_end(out, begin);
	return true;
}

static bool take_bind(struct caller *caller, const struct pg_frame *frame,
		      struct pg_buffer *out)
{
	struct request *req = &caller->request;
	char renamed[STATEMENT_NAME_MAX];
	const char *portal, *name;
	struct statement *st;
	struct pg_reader r;
	size_t begin;

	pg_reader_init(&r, frame->payload, frame->payload_len);
	portal = pg_read_string(&r);
	name = pg_read_string(&r);
	if (r.failed)
		return malformed(caller);
	if (!name_used(caller, name, renamed))
		return false;
	st = g_hash_table_lookup(caller->statements, name);
	req->binds++;
	request_classify(req, st->kind, st->read_only);
	begin = pg_frame_begin(out, 'B');
	pg_put_string(out, portal);
	pg_put_string(out, renamed);
	pg_buffer_append(out, r.at, r.end - r.at);
	pg_frame_end(out, begin);
	return true;
}

/*
 * Describe and Close name a statement by the caller's name for it. A closed
 * one stays prepared on upstream connections, for others.
 */
static bool take_target(struct caller *caller, const struct pg_frame *frame,
			const uint8_t *data, struct pg_buffer *out)
{
	char renamed[STATEMENT_NAME_MAX];
	const char *name, *target = renamed;
	struct pg_reader r;
	size_t begin;

	pg_reader_init(&r, frame->payload, frame->payload_len);
	if (pg_read_u8(&r) != 'S') {
		pg_buffer_append(out, data, frame->frame_len);
		return true;
	}
	name = pg_read_string(&r);
	if (r.failed)
		return malformed(caller);
	if (frame->type == 'C') {
		drop_statement(caller, name);
		target = STATEMENT_NAME_ABSENT;
	} else if (!name_used(caller, name, renamed)) {
		return false;
	}
	begin = pg_frame_begin(out, frame->type);
	pg_put_u8(out, 'S');
	pg_put_string(out, target);
	pg_frame_end(out, begin);
	return true;
}

static bool take(struct caller *caller, const struct pg_frame *frame,
		 const uint8_t *data, struct pg_buffer *out)
{
	switch (frame->type) {
	case 'P':
		return take_parse(caller, frame, out);
	case 'B':
		return take_bind(caller, frame, out);
	case 'D':
	case 'C':
		return take_target(caller, frame, data, out);
	default:
		pg_buffer_append(out, data, frame->frame_len);
		return true;
	}
}

/* Many small frames take more memory than their bytes. */
static bool has_room(const struct request *req, const struct pg_frame *frame)
{
	return pg_buffer_length(&req->bytes) + frame->frame_len +
		       (size_t)req->frames * BATCH_FRAME_COST <=
	       PG_FRAME_MAX_BYTES;
}

static bool too_large(struct caller *caller)
{
	return fail(caller, "54000", "the batch is too large",
		    "Send Sync after at most 16 MiB, 96 bytes more for each "
		    "message.");
}

static void answer_sync(struct caller *caller)
{
	caller->skip_to_sync = false;
	pg_put_ready(caller_out(caller), caller->transaction);
}

/* What the batch needs to be run, or why it is not. */
static void run_batch(struct caller *caller, const uint8_t *data, size_t len)
{
	struct request *req = &caller->request;
	bool lost = caller->transaction != 'I' && !caller->held;

	if (!req->statements)
		request_classify(req, SQL_READ, false);
	if (req->has_local && req->has_remote) {
		fail(caller, "0A000",
		     "a batch cannot mix settings of comfreywheel with other "
		     "statements",
		     "Send SET and SHOW in a batch of their own.");
	} else if (req->has_local || (lost && req->ends && req->binds == 1)) {
		pg_buffer_append(&req->bytes, data, len);
		caller_batch_local(caller);
		return;
	} else if (lost) {
		fail(caller, "25P02",
		     "the transaction was rolled back because its upstream "
		     "connection was lost",
		     "Send ROLLBACK and run the transaction again.");
	} else {
		caller_start(caller, data, len);
		return;
	}
	answer_sync(caller);
}

static void end_batch(struct caller *caller, const struct pg_frame *frame,
		      const uint8_t *data)
{
	struct request *req = &caller->request;

	req->extended = true;
	if (!pg_buffer_length(&req->bytes)) {
		request_clear(req);
		answer_sync(caller);
		return;
	}
	run_batch(caller, data, frame->frame_len);
}

/* The rest of the batch is unknown, so it runs where writes may run. */
static void flush_batch(struct caller *caller, const struct pg_frame *frame,
			const uint8_t *data)
{
	struct request *req = &caller->request;
	bool lost = caller->transaction != 'I' && !caller->held;

	if (!pg_buffer_length(&req->bytes))
		return;
	if (req->has_local || lost || caller->settings.request_id) {
		fail(caller, "0A000", "this batch cannot be flushed",
		     "Send Sync instead of Flush.");
		return;
	}
	request_classify(req, SQL_READ, false);
	req->extended = true;
	req->flushed = true;
	req->open = true;
	req->read = false;
	caller_start(caller, data, frame->frame_len);
}

/* A frame behind a Flush: the request runs already. */
static void follow(struct caller *caller, const struct pg_frame *frame,
		   const uint8_t *data)
{
	struct request *req = &caller->request;
	struct pg_buffer out;

	if (!has_room(req, frame)) {
		too_large(caller);
		return;
	}
	req->frames++;
	pg_buffer_init(&out);
	if (take(caller, frame, data, &out)) {
		if (req->has_local)
			fail(caller, "0A000", "this batch cannot be flushed",
			     "Send SET and SHOW in a batch of their own.");
		else
			request_follow(req, &out, frame->type);
	}
	pg_buffer_finish(&out);
}

void caller_batch_frame(struct caller *caller, const struct pg_frame *frame,
			const uint8_t *data)
{
	struct request *req = &caller->request;

	if (caller->skip_to_sync) {
		if (frame->type == 'S')
			answer_sync(caller);
		return;
	}
	if (req->open) {
		follow(caller, frame, data);
		return;
	}
	if (frame->type == 'S') {
		end_batch(caller, frame, data);
		return;
	}
	if (frame->type == 'H') {
		flush_batch(caller, frame, data);
		return;
	}
	if (!has_room(req, frame)) {
		too_large(caller);
		return;
	}
	req->frames++;
	take(caller, frame, data, &req->bytes);
}
