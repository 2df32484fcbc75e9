#include "request.h"

#include "caller.h"
#include "caller_batch.h"
#include "upstream_pool.h"

#include <string.h>

/* Withheld frames above this are passed on, all but the last, bytes. */
#define HOLD_MAX (32u * 1024)

static struct proxy *proxy_of(const struct request *req)
{
	return req->caller->proxy;
}

static const struct cluster *cluster_of(const struct request *req)
{
	return directory_cluster_at(&proxy_of(req)->directory,
				    req->caller->cluster);
}

/* Whether the answer waits for replicas and session owners. */
static bool is_withheld(const struct request *req)
{
	return (req->writes || req->identified) && !req->flushed;
}

/* The position behind what is sent is to be replicated and stored. */
static bool commits(const struct request *req)
{
	return req->writes && !req->flushed;
}

static void put_identity(struct request *req)
{
	struct upstream_connection *conn = req->conn;
	char *id = req->caller->settings.request_id;
	char **parts = g_strsplit(id, "'", -1);
	char *quoted = g_strjoinv("''", parts);
	char *sql = g_strdup_printf(
		"INSERT INTO comfreywheel_request (id) VALUES ('%s')", quoted);

	if (!req->begins)
		upstream_connection_query(conn, STEP_HIDDEN, "BEGIN");
	upstream_connection_query(conn, STEP_HIDDEN, sql);
	g_free(sql);
	g_free(quoted);
	g_strfreev(parts);
}

static void put_frames(struct request *req)
{
	struct upstream_connection *conn = req->conn;
	const uint8_t *data = pg_buffer_head(&req->bytes);
	size_t len = pg_buffer_length(&req->bytes);

	if (req->extended)
		parsed_statements_forward(&conn->parsed, req->used, data, len,
					  &conn->stream.out);
	else
		pg_buffer_append(&conn->stream.out, data, len);
}

/* The answer to a flushed batch may have been read before its Sync came. */
void request_follow(struct request *req, const struct pg_buffer *frames,
		    char type)
{
	struct upstream_connection *conn = req->conn;

	parsed_statements_forward(&conn->parsed, req->used,
				  pg_buffer_head(frames),
				  pg_buffer_length(frames), &conn->stream.out);
	if (type == 'S') {
		req->open = false;
		if (req->writes) {
			req->stage = STAGE_COMMIT_SENT;
			upstream_connection_position(conn);
		}
	}
	stream_flush(&conn->stream);
}

void request_send(struct request *req)
{
	struct upstream_connection *conn = req->conn;

	req->stage = STAGE_NOT_SENT;
	if (req->identified && !req->begins)
		put_identity(req);
	upstream_connection_step(conn, STEP_RELAY);
	put_frames(req);
	if (req->identified && req->begins)
		put_identity(req);
	else if (req->identified)
		upstream_connection_query(conn, STEP_HIDDEN, "COMMIT");
	if (commits(req))
		upstream_connection_position(conn);
	req->stage = commits(req) ? STAGE_COMMIT_SENT : STAGE_SENT;
	/* What follows a Flush is not kept, so the batch cannot run again. */
	if (req->flushed)
		req->answer_started = true;
	stream_flush(&conn->stream);
}

static bool primary_allowed(struct request *req, int upstream)
{
	return cluster_of(req)->primary == upstream &&
	       proxy_may_write(proxy_of(req), req->caller->cluster);
}

/* Between the choice and now the lease, the primary or the fence moved. */
static bool may_run(struct request *req, int upstream)
{
	struct proxy *proxy = proxy_of(req);

	if (!req->read || !req->has_lookup || req->must_primary ||
	    cluster_of(req)->primary == upstream)
		return primary_allowed(req, upstream);
	return control_client_may_serve(proxy->control, proxy_now());
}

static bool may_continue(struct request *req, struct upstream_connection *conn)
{
	struct caller *caller = req->caller;

	if (!caller->at_primary)
		return control_client_may_serve(caller->proxy->control,
						proxy_now());
	return primary_allowed(req, conn->home->handle);
}

static void count_run(struct request *req, int upstream)
{
	struct proxy *proxy = proxy_of(req);
	bool primary = cluster_of(req)->primary == upstream;

	proxy_count(proxy,
		    primary ? COUNT_REQUESTS_PRIMARY : COUNT_REQUESTS_REPLICA);
	if (req->read && !primary)
		proxy_count(proxy, COUNT_READS_REPLICA);
}

void request_run(struct request *req, struct upstream_connection *conn)
{
	struct caller *caller = req->caller;
	int upstream = conn->home->handle;

	req->home = conn->home;
	if (caller->held && !may_continue(req, conn)) {
		req->state = REQUEST_RUNNING;
		request_refuse(req, "57P03",
			       "did not run: the primary is being replaced or "
			       "this daemon lost its lease",
			       "The transaction was rolled back; run it "
			       "again.");
		return;
	}
	if (!caller->held && !may_run(req, upstream)) {
		req->state = REQUEST_NONE;
		upstream_home_release(conn->home, conn);
		request_decide(req);
		return;
	}
	req->state = REQUEST_RUNNING;
	req->conn = conn;
	req->running_us = proxy_now();
	req->term = cluster_of(req)->term;
	req->attempts++;
	conn->request = req;
	directory_upstream_at(&proxy_of(req)->directory, upstream)->in_flight++;
	count_run(req, upstream);
	request_send(req);
	if (req->open)
		caller_input(caller);
}

/* What is withheld goes on, up to what was appended last. */
static void release_hold(struct request *req)
{
	struct pg_buffer *hold = &req->hold;

	if (!pg_buffer_length(hold))
		return;
	req->answer_started = true;
	pg_buffer_append(caller_out(req->caller), pg_buffer_head(hold),
			 pg_buffer_length(hold));
	pg_buffer_consume(hold, pg_buffer_length(hold));
}

void request_relay_header(struct request *req)
{
	release_hold(req);
	req->answer_started = true;
}

void request_relay_more(struct request *req, const uint8_t *data, size_t len)
{
	pg_buffer_append(caller_out(req->caller), data, len);
}

/* The first error of an identified request may be our own insert's. */
static bool is_hidden(const struct request *req, const struct pg_frame *frame)
{
	return req->hidden_error && frame->type == 'E';
}

void request_frame(struct request *req, const struct pg_frame *frame)
{
	const uint8_t *data =
		frame->payload - (frame->frame_len - frame->payload_len);

	if (is_hidden(req, frame))
		return;
	if (frame->type == '1')
		req->parse_completes++;
	if (frame->type == 'C')
		req->saw_complete = true;
	if (frame->type == 'E')
		req->saw_error = true;
	if (is_withheld(req) && (req->saw_complete || req->saw_error)) {
		if (pg_buffer_length(&req->hold) > HOLD_MAX)
			release_hold(req);
		pg_buffer_append(&req->hold, data, frame->frame_len);
		return;
	}
	req->answer_started = true;
	pg_buffer_append(caller_out(req->caller), data, frame->frame_len);
}

void request_hidden_error(struct request *req, const char *sqlstate)
{
	if (req->final_status && !req->begins)
		req->commit_failed = true;
	else if (!req->hidden_error && !strcmp(sqlstate, "23505"))
		req->identity_seen = true;
	req->hidden_error = true;
}

void request_relayed(struct request *req, char status)
{
	req->final_status = req->identified && !req->begins ? 'I' : status;
}

static void note_transaction(struct request *req)
{
	struct caller *caller = req->caller;
	bool was_open = caller->transaction != 'I';

	caller->transaction = req->final_status;
	if (caller->transaction == 'I') {
		caller->wrote = false;
		caller->read_only = false;
		return;
	}
	if (!was_open) {
		caller->read_only = req->begins_read_only;
		caller->at_primary = req->home->handle ==
				     cluster_of(req)->primary;
	}
	if (req->pending_writes || req->identified)
		caller->wrote = true;
}

/* Hands the connection back, or keeps it for the open transaction. */
static void give_back(struct request *req)
{
	struct caller *caller = req->caller;
	struct upstream_connection *conn = req->conn;
	struct upstream_home *home = conn->home;

	request_detach(req);
	conn->request = NULL;
	if (caller->transaction != 'I') {
		caller->held = conn;
		conn->holder = caller;
		return;
	}
	caller->held = NULL;
	conn->holder = NULL;
	upstream_home_release(home, conn);
}

static void report_identity(struct request *req)
{
	struct pg_buffer *out = caller_out(req->caller);

	pg_buffer_consume(&req->hold, pg_buffer_length(&req->hold));
	if (req->identity_seen)
		pg_put_error(out, "ERROR", "23505",
			     "a request with this comfreywheel.request_id "
			     "already ran",
			     "Do not repeat it; read the data back, or set "
			     "another identity for another request.");
	else if (req->commit_failed)
		pg_put_error(out, "ERROR", "40000",
			     "the request could not be committed and was "
			     "rolled back",
			     "Repeat the request.");
	else
		pg_put_error(out, "ERROR", "55000",
			     "the request identity could not be recorded; "
			     "the request was rolled back",
			     "Create the table comfreywheel_request (id text "
			     "PRIMARY KEY) in the database.");
}

void request_deliver(struct request *req)
{
	struct caller *caller = req->caller;

	if (req->hidden_error)
		report_identity(req);
	if (req->identified)
		caller_settings_assign(&caller->settings,
				       "comfreywheel.request_id", NULL, NULL);
	release_hold(req);
	pg_put_ready(caller_out(caller), caller->transaction);
	request_finish(req);
}

void request_position(struct request *req, const struct position *pos)
{
	req->has_commit = pos != NULL;
	if (pos)
		req->commit = *pos;
}

/*
 * A transaction whose identity was refused is rolled back. The position behind
 * it covers the first run, whose commit may not be safe yet.
 */
static bool undo(struct request *req)
{
	if (!req->begins || !req->hidden_error || req->undone)
		return false;
	req->undone = true;
	req->final_status = 'I';
	upstream_connection_query(req->conn, STEP_HIDDEN, "ROLLBACK");
	upstream_connection_position(req->conn);
	stream_flush(&req->conn->stream);
	return true;
}

/* That it ran already is told once the first run is safe, too. */
static bool must_wait(const struct request *req)
{
	if (req->hidden_error)
		return req->identity_seen;
	return req->writes && req->saw_complete;
}

void request_steps_done(struct request *req)
{
	if (undo(req))
		return;
	req->stage = STAGE_ANSWERED;
	if (req->admission)
		admission_record_service_time(req->admission,
					      proxy_now() - req->running_us);
	if (req->saw_error)
		caller_batch_failed(req->caller);
	note_transaction(req);
	give_back(req);
	if (!must_wait(req)) {
		request_deliver(req);
		return;
	}
	request_wait_commit(req);
}
