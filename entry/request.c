#include "internal.h"

#include "clock.h"
#include "event_log.h"

#include <jansson.h>

/* Time for which a statement waits for a connected home before this daemon
 * opens connections of its own, and the polling interval meanwhile. */
#define HOME_WAIT_US (400 * 1000ll)
#define HOME_POLL_INTERVAL_US (30 * 1000ll)
/* Interval at which an operation asks again while the leader does not answer. */
#define QUOTA_POLL_INTERVAL_US (30 * 1000ll)
/* Part of its target that a statement waits for the leader to answer for the
 * limit of its account, percent. */
#define QUOTA_WAIT_PERCENT 60
/* Time added to a statement's time-out for the home daemon's answer. */
#define RELAY_MARGIN_US (60 * 1000ll)
/* Pause after an upstream refused a statement for lack of capacity. */
#define BUSY_PAUSE_US (15 * 1000ll)
/* Time in which a refused caller that wants the same again asks for it. */
#define ASK_AGAIN_WITHIN_US (200 * 1000ll)
/* Pause before an upstream that is not the primary is asked again. */
#define NOT_PRIMARY_PAUSE_US (120 * 1000ll)

bool request_is_write(const struct session *s)
{
	const struct prepared *p;

	switch (s->statement.verb) {
	case STATEMENT_WRITE:
		return true;
	case STATEMENT_EXECUTE:
		p = g_hash_table_lookup(s->prepared, s->statement.name);
		return p && p->writes;
	default:
		return false;
	}
}

static bool has_transaction_link(const struct session *s)
{
	return s->tx == TX_OPEN && s->link && s->link->in_transaction;
}

static void stop_timer(struct session *s)
{
	if (s->timer != TIMER_NONE)
		timer_cancel(s->entry->timers, &s->timer);
}

static void dequeue(struct session *s)
{
	if (s->phase == REQUEST_WAITING)
		g_queue_unlink(&s->service->waiting, &s->waiting);
	else if (s->phase == REQUEST_AWAITING_QUOTA)
		quota_cancel(s);
}

void request_complete(struct session *s, const struct statement_answer *answer)
{
	struct entry *entry = s->entry;
	int64_t now_us = clock_now_us();

	stop_timer(s);
	dequeue(s);
	s->phase = REQUEST_NONE;
	s->may_ask_again_us = now_us;
	if (answer->refusal != REFUSAL_BUSY && s->tx != TX_OPEN)
		s->asked_us = 0;
	if (!answer->refusal) {
		s->close_when_idle = false;
		entry_count(entry, ENTRY_COUNT_DONE, 1);
		histogram_add(&entry->answer_times[s->route->rule],
			      now_us - s->arrived_us);
	} else {
		s->service->summary.not_done++;
		entry_count(entry,
			    refusal_had_no_effect(answer->refusal) ?
				    ENTRY_COUNT_REFUSED :
			    answer->refusal == REFUSAL_FAILED ?
				    ENTRY_COUNT_FAILED :
				    ENTRY_COUNT_UNKNOWN,
			    1);
		event_log("request_not_done",
			  "{s:s%, s:s, s:s, s:s, s:s, s:s, s:i, s:I, s:i, s:I}",
			  "id", s->statement.id,
			  limits_log_length(s->statement.id), "outcome",
			  refusal_text(answer->refusal), "why",
			  answer->detail ? answer->detail : "", "last",
			  refusal_text(s->last_refusal), "service",
			  s->service->name, "upstream",
			  s->last_upstream ? s->last_upstream : "", "attempts",
			  (int)s->attempts, "after_us",
			  (json_int_t)(now_us - s->arrived_us),
			  "in_transaction", (int)s->tx, "config",
			  (json_int_t)s->table->version);
	}
	session_answer(s, answer);
}

static void refuse(struct session *s, enum refusal refusal, const char *detail)
{
	struct statement_answer answer = { .refusal = refusal,
					   .detail = detail };

	request_complete(s, &answer);
}

/* The transaction cannot continue; all of its changes are rolled back. */
static void abort_transaction(struct session *s, const char *detail)
{
	if (s->tx == TX_OPEN)
		session_end_transaction(s, TX_FAILED);
	refuse(s, REFUSAL_ABORTED, detail);
}

static void release_link(struct session *s)
{
	struct link *link = s->link;

	s->link = NULL;
	if (link)
		link_release(link);
}

/* Detaches from a link whose command is still unanswered. */
static void abandon_link(struct session *s)
{
	struct link *link = s->link;

	s->link = NULL;
	if (link)
		link_abandon(link);
}

static void close_link(struct session *s)
{
	struct link *link = s->link;

	s->link = NULL;
	if (!link)
		return;
	link->session = NULL;
	link_close(link);
}

static void on_timeout(int64_t now_us, void *data);

static void start_timer(struct session *s, int64_t at_us)
{
	stop_timer(s);
	s->timer = timer_subscribe(s->entry->timers, at_us, 0, on_timeout, s);
}

static void enqueue(struct session *s)
{
	s->phase = REQUEST_WAITING;
	g_queue_push_tail_link(&s->service->waiting, &s->waiting);
}

static struct wait_limit wait_limit_of(const struct session *s)
{
	return (struct wait_limit){ .arrived_us = s->arrived_us,
				    .target_us = s->route->target_us,
				    .timeout_us = s->route->statement_us };
}

/* Determines which upstreams may run the statement or its transaction. */
static void classify(struct session *s)
{
	bool in_tx = s->tx == TX_OPEN;
	bool reads = in_tx ? !s->tx_may_write : !request_is_write(s);

	s->classified = true;
	s->need = (struct read_requirement){ 0 };
	s->verify_primary = false;
	s->needs_primary = true;
	if (!reads)
		return;
	if (s->route->rule != READ_AT_PRIMARY && s->route->staleness_us > 0 &&
	    read_bound(&s->service->samples,
		       in_tx ? s->tx_begun_us : s->arrived_us,
		       s->route->staleness_us, &s->own, &s->need)) {
		s->needs_primary = false;
		return;
	}
	/* By beginning a transaction the primary proves that it was not
	 * replaced. */
	s->verify_primary = true;
}

static void relay_to_home(struct session *s, struct home_link *home)
{
	start_timer(s,
		    s->arrived_us + s->route->statement_us + RELAY_MARGIN_US);
	s->service->summary.relayed++;
	relay_start(s, home);
}

static void queue_request(struct session *s)
{
	struct wait_limit limit;

	s->service->last_used_us = clock_now_us();
	if (!s->classified)
		classify(s);
	limit = wait_limit_of(s);
	start_timer(s, wait_limit_first_check_us(&limit));
	enqueue(s);
	service_dispatch(s->service);
}

void request_refuse_over_quota(struct session *s, int64_t wait_us)
{
	struct statement_answer answer = { .refusal = REFUSAL_BUSY };
	g_autofree char *detail =
		wait_us >= INT64_MAX / 2 ?
			g_strdup("the limit of the account is not known here "
				 "now") :
			g_strdup_printf("the limit of the account is reached; "
					"retry after %" G_GINT64_FORMAT " ms",
					wait_us / 1000 + 1);

	answer.detail = detail;
	entry_count(s->entry, ENTRY_COUNT_QUOTA_REFUSED, 1);
	if (s->tx == TX_OPEN)
		session_end_transaction(s, TX_FAILED);
	request_complete(s, &answer);
}

void request_run_after_quota(struct session *s, int64_t wait_us)
{
	s->charged = true;
	if (!wait_us) {
		queue_request(s);
		return;
	}
	s->phase = REQUEST_AWAITING_QUOTA;
	start_timer(s, clock_now_us() + wait_us);
}

/* While there is no leader, another daemon would have to wait as well. */
static void await_quota(struct session *s, int64_t now_us)
{
	int64_t limit_us =
		s->arrived_us + s->route->target_us * QUOTA_WAIT_PERCENT / 100;
	bool in_touch = quota_is_in_touch(s->entry);
	int64_t wait_us;

	/* Other daemons were asked in the meantime. */
	wait_us = in_touch || now_us - s->arrived_us < QUOTA_POLL_INTERVAL_US ?
			  -1 :
			  quota_wait_for_share(s);
	if (wait_us >= 0) {
		request_run_after_quota(s, wait_us);
		return;
	}
	if (now_us >= limit_us || (!in_touch && quota_asked_enough(s))) {
		request_refuse_over_quota(s, INT64_MAX);
		return;
	}
	quota_ask_again(s);
	start_timer(s, MIN(now_us + (in_touch ? ENTRY_QUOTA_TIMEOUT_US :
						QUOTA_POLL_INTERVAL_US),
			   limit_us));
}

/* Runs the statement on a connection of this daemon, if the limit of its account
 * allows its operation. */
static void run_here(struct session *s)
{
	int64_t wait_us = 0;

	switch (quota_charge(s, &wait_us)) {
	case QUOTA_ALLOWED:
		request_run_after_quota(s, 0);
		return;
	case QUOTA_ASKED:
		s->phase = REQUEST_AWAITING_QUOTA;
		await_quota(s, clock_now_us());
		return;
	case QUOTA_REFUSED:
		request_refuse_over_quota(s, wait_us);
		return;
	}
}

/* Relays the statement to a home daemon or queues it for a local connection. */
static void route_request(struct session *s)
{
	bool home_elsewhere =
		!s->remote_caller &&
		!home_runs_account(s->entry, s->service->name, s->account);
	struct home_link *home = NULL;

	if (home_elsewhere)
		home = home_choose(s->entry, s->service->name, s->account);
	if (home) {
		s->attempts++;
		relay_to_home(s, home);
		return;
	}
	/* After a restart homes reconnect within some hundred milliseconds. */
	if (home_elsewhere && clock_now_us() - s->arrived_us < HOME_WAIT_US &&
	    !watch_leader_is_unreachable(s->entry, clock_now_us())) {
		s->phase = REQUEST_AWAITING_HOME;
		start_timer(s, clock_now_us() + HOME_POLL_INTERVAL_US);
		return;
	}
	run_here(s);
}

bool request_relay_to_peer(struct session *s)
{
	struct home_link *peer;

	if (s->remote_caller) {
		request_cancel(s);
		s->ops->decline(s->handle);
		return true;
	}
	peer = home_choose_peer(s->entry, s->service->name, s->account);
	if (!peer)
		return false;
	dequeue(s);
	relay_to_home(s, peer);
	return true;
}

void request_refuse_unreachable(struct session *s)
{
	if (s->tx == TX_OPEN)
		session_end_transaction(s, TX_FAILED);
	sessions_close_soon(s);
	refuse(s, REFUSAL_BUSY,
	       "this daemon reaches neither the upstream nor control");
}

void request_retry(struct session *s, enum refusal refusal)
{
	struct wait_limit limit = wait_limit_of(s);

	s->last_refusal = refusal;
	if (s->attempts >= ENTRY_MAX_ATTEMPTS ||
	    clock_now_us() >= wait_limit_unavailable_us(&limit)) {
		refuse(s,
		       refusal_had_no_effect(refusal) ? REFUSAL_BUSY : refusal,
		       "no upstream could run the statement in time");
		return;
	}
	entry_count(s->entry, ENTRY_COUNT_RETRIES, 1);
	route_request(s);
}

/* A caller that was refused and comes back at once asks for the same again, so
 * its target counts from its first attempt. */
static void note_asked(struct session *s, int64_t now_us)
{
	if (s->tx == TX_OPEN && s->tx_answered)
		return;
	if (!s->asked_us || now_us - s->may_ask_again_us > ASK_AGAIN_WITHIN_US)
		s->asked_us = now_us;
}

static void begin_operation(struct session *s)
{
	s->charged = false;
	route_request(s);
}

void request_start(struct session *s)
{
	int64_t now_us = clock_now_us();

	entry_count(s->entry, ENTRY_COUNT_STATEMENTS, 1);
	if (!s->remote_caller) {
		s->arrived_us = now_us;
		note_asked(s, now_us);
	}
	s->attempts = 0;
	s->classified = false;
	g_clear_pointer(&s->last_upstream, g_free);
	s->avoid = NULL;
	s->last_refusal = REFUSAL_NONE;
	if (has_transaction_link(s))
		request_run_on_link(s);
	else if (s->home)
		relay_to_home(s, s->home);
	else
		begin_operation(s);
}

static void send_statement(struct session *s)
{
	struct link_command command = { .verb = LINK_FORWARD,
					.statement = &s->statement };
	struct prepared *p;

	if (s->statement.verb == STATEMENT_EXECUTE) {
		p = g_hash_table_lookup(s->prepared, s->statement.name);
		command.name = p->alias;
	}
	if (!s->link->in_transaction)
		command.min_position = s->need.position;
	s->phase = REQUEST_RUNNING;
	s->statement_sent_us = clock_now_us();
	link_send(s->link, LINK_PURPOSE_STATEMENT, &command);
	link_flush(s->link);
}

static void send_begin(struct session *s)
{
	struct link_command begin = { .verb = LINK_BEGIN };

	if (!s->needs_primary) {
		begin.verb = LINK_BEGIN_READ;
		begin.min_position = s->need.position;
	}
	link_send(s->link, LINK_PURPOSE_BEGIN, &begin);
	s->nr_setup_outstanding++;
}

void request_run_on_link(struct session *s)
{
	start_timer(s, s->arrived_us + s->route->statement_us);
	s->nr_setup_outstanding = link_apply_session(s->link, s);
	if (!s->link->in_transaction && (s->tx == TX_OPEN || s->verify_primary))
		send_begin(s);
	if (!s->nr_setup_outstanding) {
		send_statement(s);
		return;
	}
	s->phase = REQUEST_SETUP;
	link_flush(s->link);
}

/* Ends a statement that an upstream or a home daemon may be running. */
static void time_out_running(struct session *s, const char *detail)
{
	if (s->home && s->tx != TX_OPEN)
		relay_end(s);
	if (s->tx != TX_OPEN) {
		abandon_link(s);
		refuse(s, REFUSAL_TIMEOUT, detail);
	} else if (s->statement.verb == STATEMENT_COMMIT) {
		abandon_link(s);
		session_end_transaction(s, TX_NONE);
		refuse(s, REFUSAL_IN_DOUBT, detail);
	} else {
		close_link(s);
		abort_transaction(s, detail);
	}
}

/* Ends a statement whose connection is still being prepared for it. */
static void end_setup(struct session *s, const char *detail)
{
	abandon_link(s);
	if (s->tx == TX_OPEN)
		abort_transaction(s, detail);
	else
		refuse(s, REFUSAL_BUSY, detail);
}

static void refuse_waiting(struct session *s, const char *detail)
{
	if (s->tx == TX_OPEN)
		session_end_transaction(s, TX_FAILED);
	refuse(s, REFUSAL_BUSY, detail);
}

static void check_waiting(struct session *s, int64_t now_us)
{
	struct wait_limit limit = wait_limit_of(s);
	int64_t next_us;

	limit.first_in_line = service_is_first_in_line(s, now_us);
	next_us = wait_limit_next_check_us(
		&limit, s->service->window_full_at_us, now_us);
	if (next_us) {
		start_timer(s, next_us);
		return;
	}
	s->service->summary.waits_refused++;
	refuse_waiting(s, "no upstream was free in time");
}

static void on_timeout(int64_t now_us, void *data)
{
	struct session *s = data;

	s->timer = TIMER_NONE;
	switch (s->phase) {
	case REQUEST_NONE:
		return;
	case REQUEST_AWAITING_HOME:
		route_request(s);
		return;
	case REQUEST_WAITING:
		check_waiting(s, now_us);
		return;
	case REQUEST_AWAITING_QUOTA:
		if (s->charged)
			queue_request(s);
		else
			await_quota(s, now_us);
		return;
	case REQUEST_SETUP:
		end_setup(s, "the upstream did not answer");
		return;
	case REQUEST_PAUSED:
		/* Resend the statement, unless its time-out has expired. */
		if (now_us < s->arrived_us + s->route->statement_us) {
			request_run_on_link(s);
			return;
		}
		abort_transaction(s, "the upstream had no capacity");
		return;
	case REQUEST_RUNNING:
	case REQUEST_RELAYED:
		break;
	}
	time_out_running(s, s->statement.verb == STATEMENT_COMMIT ?
				    "the upstream did not answer the commit" :
				    "the upstream did not answer");
}

static void note_refusal(struct session *s, enum refusal refusal,
			 int64_t now_us)
{
	struct upstream *upstream = s->link->upstream;

	switch (refusal) {
	case REFUSAL_BUSY:
		upstream->busy_until_us = now_us + BUSY_PAUSE_US;
		send_window_refused(&upstream->window, now_us);
		break;
	case REFUSAL_BEHIND:
		upstream->behind_position = s->need.position;
		upstream->behind_at_us = now_us;
		/* Does not count as an attempt: the statement is not at fault,
		 * and the pause after each of these refusals limits how often
		 * they occur. */
		s->attempts--;
		entry_count(s->entry, ENTRY_COUNT_BEHIND, 1);
		break;
	case REFUSAL_NOT_PRIMARY:
		upstream->not_primary_until_us = now_us + NOT_PRIMARY_PAUSE_US;
		entry_count(s->entry, ENTRY_COUNT_NOT_PRIMARY, 1);
		event_log("not_primary", "{s:s, s:s, s:I}", "upstream",
			  upstream->id, "service", s->service->name, "term",
			  (json_int_t)upstream->log_position.term);
		break;
	case REFUSAL_NO_STATEMENT:
		g_hash_table_remove_all(s->link->prepared);
		break;
	default:
		break;
	}
}

/* Commits and answers in read-write transactions come from the current primary,
 * so their positions are samples. */
static void note_sample(struct session *s, bool from_primary,
			const struct statement_answer *answer)
{
	struct upstream *upstream = s->link->upstream;

	if (!from_primary)
		return;
	upstream->led_us = MAX(upstream->led_us, s->link->sent_us);
	read_samples_add(&s->service->samples, s->link->sent_us,
			 answer->position);
}

/*
 * Other replicas may have reached the position. If the primary itself has not,
 * the commit was lost in a change of primary, so the position is no longer
 * required; instead the primary must prove its role by beginning a transaction.
 */
static void note_behind(struct session *s, const struct upstream *upstream)
{
	if (upstream == upstream_primary(s->service, clock_now_us())) {
		s->needs_primary = true;
		s->verify_primary = true;
	}
}

static void handle_begin_answer(struct session *s,
				const struct statement_answer *answer)
{
	struct upstream *upstream = s->link->upstream;

	if (!answer->refusal) {
		note_sample(s, s->needs_primary, answer);
		return;
	}
	note_refusal(s, answer->refusal, clock_now_us());
	s->avoid = upstream;
	release_link(s);
	if (answer->refusal == REFUSAL_BEHIND)
		note_behind(s, upstream);
	request_retry(s, answer->refusal);
}

void request_note_commit(struct session *s,
			 const struct statement_answer *answer)
{
	if (position_compare(answer->position, s->own.position) <= 0)
		return;
	s->own = (struct read_requirement){ answer->position, clock_now_us() };
}

static void finish_single(struct session *s,
			  const struct statement_answer *answer)
{
	struct statement_answer out = *answer;
	bool write = request_is_write(s);

	note_sample(s, write || s->verify_primary, answer);
	if (write)
		request_note_commit(s, answer);
	entry_count(s->entry,
		    s->needs_primary ? ENTRY_COUNT_PRIMARY_READS :
				       ENTRY_COUNT_REPLICA_READS,
		    !write);
	release_link(s);
	request_complete(s, &out);
}

static void handle_refused_single(struct session *s,
				  const struct statement_answer *answer)
{
	enum refusal refusal = answer->refusal;
	bool write = request_is_write(s);

	note_refusal(s, refusal, clock_now_us());
	s->avoid = s->link->upstream;
	if (refusal == REFUSAL_BEHIND)
		note_behind(s, s->link->upstream);
	release_link(s);
	if (answer->oversized) {
		refuse(s, refusal, answer->detail);
		return;
	}
	if (refusal_had_no_effect(refusal) && refusal != REFUSAL_MALFORMED)
		request_retry(s, refusal);
	else if (!write && refusal != REFUSAL_MALFORMED)
		request_retry(s, REFUSAL_FAILED);
	else
		refuse(s, refusal, answer->detail);
}

static void finish_commit(struct session *s,
			  const struct statement_answer *answer)
{
	struct statement_answer out = *answer;

	if (!answer->refusal) {
		note_sample(s, s->tx_may_write && s->tx_wrote, answer);
		if (s->tx_wrote)
			request_note_commit(s, answer);
	}
	session_end_transaction(s, TX_NONE);
	request_complete(s, &out);
}

static void pause_statement(struct session *s)
{
	s->phase = REQUEST_PAUSED;
	start_timer(s, clock_now_us() + BUSY_PAUSE_US);
}

static void handle_refused_in_transaction(struct session *s,
					  const struct statement_answer *answer)
{
	enum refusal refusal = answer->refusal;
	bool open = answer->state == SESSION_IN_TRANSACTION;

	s->last_refusal = refusal;
	note_refusal(s, refusal, clock_now_us());
	if ((refusal == REFUSAL_BUSY || refusal == REFUSAL_NO_STATEMENT) &&
	    open) {
		s->attempts++;
		pause_statement(s);
		return;
	}
	if (s->statement.verb == STATEMENT_COMMIT) {
		finish_commit(s, answer);
		return;
	}
	abort_transaction(s, refusal_text(refusal));
}

static void finish_in_transaction(struct session *s,
				  const struct statement_answer *answer)
{
	struct statement_answer out = *answer;

	s->tx_answered = true;
	s->tx_wrote = s->tx_wrote || request_is_write(s);
	note_sample(s, s->tx_may_write || s->needs_primary, answer);
	request_complete(s, &out);
}

/* Divisor: weight of a new sample in the moving average of a kind's cost. */
#define COST_DIVISOR 32

/*
 * The cost is the work of one kind of statement, which orders what waits. While
 * statements queue at the upstream, their durations say little about it.
 */
static void note_cost(struct session *s, int64_t duration_us)
{
	int64_t *cost_us = &s->service->cost_us[s->route->rule];

	if (!*cost_us)
		*cost_us = duration_us;
	else if (!send_window_is_queueing(&s->link->upstream->window))
		*cost_us += (duration_us - *cost_us) / COST_DIVISOR;
}

static void note_duration(struct session *s, int64_t now_us)
{
	int64_t duration_us = now_us - s->statement_sent_us;

	answer_time_add(&s->service->answer_times[s->route->rule], duration_us);
	repeat_budget_answered(&s->service->repeat_budget);
	note_cost(s, duration_us);
	send_window_answered(&s->link->upstream->window, duration_us, now_us);
}

static void count_in_summary(struct session *s,
			     const struct statement_answer *answer,
			     int64_t now_us)
{
	struct service_summary *sum = &s->service->summary;

	if (answer->refusal) {
		sum->refusals[answer->refusal]++;
		return;
	}
	sum->done++;
	sum->writes += request_is_write(s) ||
		       s->statement.verb == STATEMENT_COMMIT;
	sum->waited_us += s->statement_sent_us - s->arrived_us;
	sum->upstream_us += now_us - s->statement_sent_us;
}

void request_command_answered(struct session *s, enum link_purpose purpose,
			      const struct statement_answer *answer)
{
	int64_t now_us = clock_now_us();

	if (purpose == LINK_PURPOSE_BEGIN) {
		handle_begin_answer(s, answer);
		/* The session may already be assigned to another upstream. */
		if (answer->refusal)
			return;
	}
	if (purpose == LINK_PURPOSE_SETUP && answer->refusal) {
		event_log("setup_refused", "{s:s, s:s}", "upstream",
			  s->link->upstream->id, "why",
			  refusal_text(answer->refusal));
		close_link(s);
		request_link_lost(s);
		return;
	}
	if (purpose == LINK_PURPOSE_SETUP || purpose == LINK_PURPOSE_BEGIN) {
		if (s->phase == REQUEST_SETUP && s->link &&
		    !--s->nr_setup_outstanding)
			send_statement(s);
		return;
	}
	if (s->phase != REQUEST_RUNNING)
		return;
	histogram_add(&s->entry->upstream_times, now_us - s->statement_sent_us);
	count_in_summary(s, answer, now_us);
	if (!answer->refusal && s->statement.verb != STATEMENT_COMMIT)
		note_duration(s, now_us);
	if (s->tx == TX_OPEN && answer->refusal)
		handle_refused_in_transaction(s, answer);
	else if (s->tx == TX_OPEN && s->statement.verb == STATEMENT_COMMIT)
		finish_commit(s, answer);
	else if (s->tx == TX_OPEN)
		finish_in_transaction(s, answer);
	else if (answer->refusal)
		handle_refused_single(s, answer);
	else
		finish_single(s, answer);
}

void request_link_lost(struct session *s)
{
	bool sent = s->phase == REQUEST_RUNNING || s->phase == REQUEST_RELAYED;

	s->last_refusal = REFUSAL_FAILED;
	if (s->phase == REQUEST_NONE) {
		if (s->tx == TX_OPEN)
			session_end_transaction(s, TX_FAILED);
		return;
	}
	if (s->tx == TX_OPEN) {
		if (sent && s->statement.verb == STATEMENT_COMMIT) {
			session_end_transaction(s, TX_NONE);
			refuse(s, REFUSAL_IN_DOUBT,
			       "the connection to the upstream was lost");
		} else if (s->tx_answered || sent) {
			abort_transaction(
				s, "the connection to the upstream was lost");
		} else {
			request_retry(s, REFUSAL_BUSY);
		}
		return;
	}
	if (!sent)
		request_retry(s, REFUSAL_BUSY);
	else if (request_is_write(s))
		refuse(s, REFUSAL_IN_DOUBT,
		       "the connection to the upstream was lost");
	else
		request_retry(s, REFUSAL_FAILED);
}

bool request_can_lose_link(const struct session *s)
{
	if (s->phase != REQUEST_RUNNING)
		return s->phase == REQUEST_SETUP;
	if (s->tx == TX_OPEN)
		return s->statement.verb != STATEMENT_COMMIT;
	return !request_is_write(s);
}

bool request_can_run_elsewhere(const struct session *s)
{
	return s->tx != TX_OPEN &&
	       (s->phase != REQUEST_RUNNING || !request_is_write(s));
}

/* Safe for reads, even if the silent upstream runs them too, and for writes
 * that were not sent to it yet. */
void request_leave_silent_upstream(struct session *s)
{
	s->avoid = s->link->upstream;
	abandon_link(s);
	request_retry(s, REFUSAL_FAILED);
}

void request_give_up(struct session *s, const char *detail)
{
	if (s->remote_caller && request_can_run_elsewhere(s)) {
		request_cancel(s);
		s->ops->decline(s->handle);
		return;
	}
	switch (s->phase) {
	case REQUEST_NONE:
		return;
	case REQUEST_WAITING:
	case REQUEST_AWAITING_HOME:
	case REQUEST_AWAITING_QUOTA:
		refuse_waiting(s, detail);
		return;
	case REQUEST_SETUP:
		end_setup(s, detail);
		return;
	case REQUEST_PAUSED:
		abort_transaction(s, detail);
		return;
	case REQUEST_RUNNING:
	case REQUEST_RELAYED:
		time_out_running(s, detail);
		return;
	}
}

void request_cancel(struct session *s)
{
	stop_timer(s);
	dequeue(s);
	relay_end(s);
	if (s->link && s->phase != REQUEST_NONE && s->phase != REQUEST_PAUSED)
		abandon_link(s);
	else
		release_link(s);
	s->phase = REQUEST_NONE;
}
