#include "request.h"

#include "caller.h"
#include "caller_batch.h"
#include "cancel.h"
#include "commit_wait.h"
#include "upstream_pool.h"

#include <string.h>

static struct proxy *proxy_of(const struct request *req)
{
	return req->caller->proxy;
}

void request_init(struct request *req, struct caller *caller)
{
	memset(req, 0, sizeof(*req));
	req->caller = caller;
	req->deadline_timer = TIMER_NONE;
	req->wake_timer = TIMER_NONE;
	req->exclude = UPSTREAM_NONE;
	req->fresh_within_us = INT64_MAX;
}

uint64_t request_handle(const struct request *req)
{
	return (uint64_t)req->caller->generation << 32 | req->caller->index;
}

struct request *request_by_handle(struct proxy *proxy, uint64_t handle)
{
	guint index = handle & UINT32_MAX;
	struct caller *caller;

	if (index >= proxy->callers->len)
		return NULL;
	caller = proxy->callers->pdata[index];
	if (!caller || caller->generation != handle >> 32)
		return NULL;
	return &caller->request;
}

void request_leave(struct request *req)
{
	struct proxy *proxy = proxy_of(req);

	request_unpark(req);
	if (req->state == REQUEST_QUEUED)
		upstream_home_remove(req->home, req);
	if (req->state == REQUEST_COMMIT_WAIT)
		commit_wait_remove(proxy->commits, req);
	if (req->lookup)
		session_client_cancel(proxy->sessions, req->lookup);
	if (req->store)
		session_client_cancel(proxy->sessions, req->store);
	req->lookup = 0;
	req->store = 0;
}

static void release_statements(struct request *req)
{
	guint i;

	for (i = 0; req->used && i < req->used->len; i++)
		statement_unref(&proxy_of(req)->statements,
				req->used->pdata[i]);
	if (req->used)
		g_ptr_array_free(req->used, TRUE);
	if (req->new_names)
		g_ptr_array_free(req->new_names, TRUE);
}

void request_clear(struct request *req)
{
	request_leave(req);
	release_statements(req);
	timer_cancel(&proxy_of(req)->timers, &req->deadline_timer);
	pg_buffer_finish(&req->bytes);
	pg_buffer_finish(&req->hold);
	request_init(req, req->caller);
}

void request_finish(struct request *req)
{
	struct caller *caller = req->caller;

	request_clear(req);
	caller_batch_ended(caller);
	caller_answered(caller);
}

void request_detach(struct request *req)
{
	if (!req->conn)
		return;
	directory_upstream_at(&proxy_of(req)->directory, req->home->handle)
		->in_flight--;
	req->conn = NULL;
}

/* Takes the upstream connection away from the request and closes it. */
static void abandon_connection(struct request *req)
{
	struct upstream_connection *conn = req->conn;
	struct caller *caller = req->caller;

	if (!conn)
		conn = caller->held;
	request_detach(req);
	if (caller->held == conn)
		caller->held = NULL;
	if (!conn)
		return;
	/* Nobody waits for the rest, so the upstream need not compute it. */
	if (conn->nr_steps && !conn->home->suspect)
		cancel_send(caller->proxy, conn);
	conn->request = NULL;
	conn->holder = NULL;
	conn->doomed = true;
	upstream_connection_close(conn, UPSTREAM_ENDED);
}

/* The transaction, if one was open, is lost with its connection. */
static void note_lost_transaction(struct caller *caller)
{
	if (caller->transaction != 'I' && !caller->held)
		caller->transaction = 'E';
}

void request_abandon(struct request *req)
{
	struct caller *caller = req->caller;

	request_leave(req);
	abandon_connection(req);
	note_lost_transaction(caller);
	req->state = REQUEST_NONE;
	request_finish(req);
}

void request_drop(struct request *req)
{
	abandon_connection(req);
	request_clear(req);
}

static void on_deadline(int64_t now_us, void *data)
{
	struct request *req = data;

	req->deadline_timer = TIMER_NONE;
	proxy_count(proxy_of(req), COUNT_REFUSED_DEADLINE);
	if (req->state == REQUEST_COMMIT_WAIT) {
		request_outcome_unknown(
			req, "the write was not confirmed by enough replicas "
			     "and session owners before the deadline");
		return;
	}
	if (req->state == REQUEST_RUNNING && !req->read) {
		request_outcome_unknown(
			req, "the upstream did not answer before the deadline");
		return;
	}
	request_refuse(req, req->state == REQUEST_RUNNING ? "57014" : "57P03",
		       "the deadline passed before the request could run",
		       "Repeat the request, or state a later deadline with "
		       "comfreywheel.deadline.");
}

void request_start(struct request *req)
{
	struct caller *caller = req->caller;
	struct proxy *proxy = caller->proxy;
	int64_t timeout = caller->settings.deadline_us;

	proxy_count(proxy, COUNT_REQUESTS);
	if (req->read)
		proxy_count(proxy, COUNT_READS);
	if (!timeout)
		timeout = caller->route.request_timeout_us;
	req->started_us = proxy_now();
	req->deadline_us = req->started_us + timeout;
	req->stage = STAGE_QUEUED;
	req->deadline_timer = timer_subscribe(&proxy->timers, req->deadline_us,
					      0, on_deadline, req);
	if (caller->held) {
		request_run(req, caller->held);
		return;
	}
	retry_budget_record_request(&proxy->retries);
	request_decide(req);
}

void request_refuse(struct request *req, const char *sqlstate,
		    const char *message, const char *hint)
{
	struct caller *caller = req->caller;

	request_leave(req);
	abandon_connection(req);
	note_lost_transaction(caller);
	req->state = REQUEST_NONE;
	caller_batch_failed(caller);
	pg_put_error(caller_out(caller), "ERROR", sqlstate, message, hint);
	if (req->open)
		caller->skip_to_sync = true;
	else
		pg_put_ready(caller_out(caller), caller->transaction);
	request_finish(req);
}

void request_outcome_unknown(struct request *req, const char *why)
{
	if (!req->writes) {
		proxy_count(proxy_of(req), COUNT_OUTCOME_FAILED);
		request_refuse(req, outcome_sqlstate(OUTCOME_FAILED), why,
			       "The transaction was rolled back; run it "
			       "again.");
		return;
	}
	proxy_count(proxy_of(req), COUNT_OUTCOME_UNKNOWN);
	req->caller->transaction = 'I';
	request_refuse(req, outcome_sqlstate(OUTCOME_UNKNOWN), why,
		       "The outcome is unknown: read the data back before "
		       "repeating the write, or use "
		       "comfreywheel.request_id.");
}

static bool may_retry(struct request *req, enum outcome outcome)
{
	struct caller *caller = req->caller;
	struct proxy *proxy = caller->proxy;
	struct retry_request retry = {
		.idempotent = !req->writes || req->identified ||
			      caller->settings.repeatable,
		.answer_started = req->answer_started,
		.in_transaction = caller->transaction != 'I',
		.outcome = outcome,
		.attempts = req->attempts,
		.deadline_us = req->deadline_us,
		.expected_us = 0,
	};

	if (retry_allowed(&proxy->retries, &retry, proxy_now()))
		return true;
	proxy_count(proxy, COUNT_RETRIES_DENIED);
	return false;
}

static void run_again(struct request *req)
{
	proxy_count(proxy_of(req), COUNT_RETRIES);
	pg_buffer_consume(&req->hold, pg_buffer_length(&req->hold));
	req->saw_complete = req->saw_error = false;
	req->hidden_error = req->identity_seen = req->commit_failed = false;
	req->has_commit = req->stored = req->acknowledged = false;
	req->undone = false;
	req->parse_completes = 0;
	req->final_status = 0;
	req->state = REQUEST_NONE;
	req->stage = STAGE_QUEUED;
	request_decide(req);
}

void request_lost(struct request *req)
{
	struct caller *caller = req->caller;
	bool in_transaction = caller->transaction != 'I';
	enum outcome outcome;

	req->exclude = req->home ? req->home->handle : UPSTREAM_NONE;
	request_detach(req);
	caller->held = NULL;
	outcome = outcome_after_loss(req->stage,
				     !req->writes && !req->pending_writes,
				     in_transaction);
	if (!in_transaction && may_retry(req, outcome)) {
		run_again(req);
		return;
	}
	if (outcome == OUTCOME_UNKNOWN) {
		request_outcome_unknown(req,
					"the upstream's connection was lost");
		return;
	}
	if (outcome == OUTCOME_FAILED)
		proxy_count(caller->proxy, COUNT_OUTCOME_FAILED);
	request_refuse(req, outcome_sqlstate(outcome),
		       "the upstream's connection was lost",
		       in_transaction ?
			       "The transaction was rolled back; run it "
			       "again." :
			       "Repeat the request.");
}

void request_move(struct request *req)
{
	struct upstream_connection *conn = req->conn;
	struct caller *caller = req->caller;

	/*
	 * Once only: a read that itself blocks an upstream would otherwise
	 * block one after another.
	 */
	if (!conn || !req->read || req->answer_started || req->attempts > 1 ||
	    caller->transaction != 'I' || caller->held)
		return;
	if (!may_retry(req, OUTCOME_FAILED))
		return;
	req->exclude = conn->home->handle;
	abandon_connection(req);
	run_again(req);
}

void request_cancel(struct request *req)
{
	if (req->state == REQUEST_COMMIT_WAIT) {
		request_outcome_unknown(req, "canceled while the write waited "
					     "for replicas");
		return;
	}
	request_refuse(req, "57014", "canceled on the caller's request",
		       "The request did not run; repeat it if it is needed.");
}
