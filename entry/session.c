#include "internal.h"

#include "clock.h"
#include "event_log.h"

#include <string.h>

/* Time for which a new caller waits until the routes are known. Callers give
 * up after 2 s. */
#define ROUTES_WAIT_US (1500 * 1000ll)
/* Idle time after which a session may be closed while draining. */
#define STOP_IDLE_US (150 * 1000ll)
/* Time in which the balancer stops sending new callers: two of its checks. */
#define STOP_BALANCER_US (2200 * 1000ll)
/* Percentage of the grace period in which open transactions may finish. */
#define STOP_TRANSACTION_PERCENT 55

static void prepared_free(void *data)
{
	struct prepared *p = data;

	g_free(p->shape);
	g_free(p->alias);
	g_free(p);
}

struct session *entry_session_new(struct entry *entry,
				  const struct caller_ops *ops, void *handle)
{
	struct session *s = g_new0(struct session, 1);

	s->entry = entry;
	s->ops = ops;
	s->handle = handle;
	s->timer = TIMER_NONE;
	s->number = ++entry->last_session_number;
	s->last_active_us = clock_now_us();
	s->list_node.data = s;
	s->waiting.data = s;
	s->values =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	s->prepared = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					    prepared_free);
	g_queue_push_tail_link(&entry->sessions, &s->list_node);
	entry_count(entry, ENTRY_COUNT_SESSIONS, 1);
	return s;
}

void session_closed(struct session *s)
{
	request_cancel(s);
	entry_table_unref(s->table);
	g_queue_unlink(&s->entry->sessions, &s->list_node);
	statement_clear(&s->statement);
	g_hash_table_destroy(s->values);
	g_hash_table_destroy(s->prepared);
	g_free(s->database);
	g_free(s->last_upstream);
	g_free(s);
}

static void refuse_start(struct session *s, enum refusal refusal,
			 const char *detail)
{
	s->closing = true;
	s->ops->refused(s->handle, refusal, detail);
}

static void finish_start(struct session *s)
{
	s->awaiting_routes = false;
	s->asked_us = s->last_active_us;
	s->may_ask_again_us = clock_now_us();
	if (g_hash_table_contains(s->entry->table->routes, s->database))
		s->ops->started(s->handle);
	else
		refuse_start(s, REFUSAL_NO_DATABASE,
			     "no route for this database");
}

void session_start(struct session *s, const char *database)
{
	s->last_active_us = clock_now_us();
	s->database = g_strdup(database);
	/* A daemon that has just started receives its routes shortly. */
	s->awaiting_routes = true;
	if (s->entry->table)
		finish_start(s);
}

enum session_state session_state(const struct session *s)
{
	static const enum session_state states[] = {
		[TX_NONE] = SESSION_IDLE,
		[TX_OPEN] = SESSION_IN_TRANSACTION,
		[TX_FAILED] = SESSION_FAILED_TRANSACTION,
	};

	return states[s->tx];
}

static void release_route(struct session *s)
{
	if (s->tx != TX_NONE || s->remote_caller)
		return;
	g_clear_pointer(&s->table, entry_table_unref);
	s->route = NULL;
	s->service = NULL;
}

void session_answer(struct session *s, const struct statement_answer *answer)
{
	struct statement_answer out = *answer;

	out.state = session_state(s);
	s->last_active_us = clock_now_us();
	release_route(s);
	statement_clear(&s->statement);
	s->ops->answer(s->handle, &out);
}

static void answer_locally(struct session *s, enum refusal refusal,
			   const char *detail)
{
	struct statement_answer answer = { .refusal = refusal,
					   .detail = detail };

	session_answer(s, &answer);
}

void session_end_transaction(struct session *s, enum transaction to)
{
	struct link *link = s->link;

	s->tx = to;
	s->link = NULL;
	if (link)
		link_release(link);
	relay_end(s);
}

/* A transaction keeps its route even if the configuration changes. */
static bool resolve_route(struct session *s)
{
	struct entry_table *table = s->entry->table;

	if (s->tx != TX_NONE)
		return true;
	s->route = g_hash_table_lookup(table->routes, s->database);
	if (!s->route)
		return false;
	s->table = entry_table_ref(table);
	s->service = service_get(s->entry, s->route->service);
	return true;
}

static void handle_begin(struct session *s, bool may_write)
{
	if (s->tx != TX_NONE) {
		answer_locally(s, REFUSAL_MALFORMED,
			       "a transaction is already open");
		return;
	}
	if (!resolve_route(s)) {
		answer_locally(s, REFUSAL_NO_DATABASE,
			       "no route for this database");
		return;
	}
	s->tx = TX_OPEN;
	s->tx_may_write = may_write;
	s->tx_answered = false;
	s->tx_wrote = false;
	s->tx_begun_us = clock_now_us();
	answer_locally(s, REFUSAL_NONE, NULL);
}

static void handle_rollback(struct session *s)
{
	if (s->tx == TX_NONE) {
		answer_locally(s, REFUSAL_MALFORMED, "no transaction is open");
		return;
	}
	session_end_transaction(s, TX_NONE);
	answer_locally(s, REFUSAL_NONE, NULL);
}

static void handle_set(struct session *s)
{
	g_hash_table_replace(s->values, g_strdup(s->statement.name),
			     g_strdup(s->statement.value));
	answer_locally(s, REFUSAL_NONE, NULL);
}

/* Callers may use the same name for different statements. A name derived from
 * the content avoids conflicts, and sessions can share it. */
static char *shared_alias(bool writes, const char *shape)
{
	g_autofree char *digest =
		g_compute_checksum_for_string(G_CHECKSUM_MD5, shape, -1);

	return g_strdup_printf("%c%.16s", writes ? 'w' : 'r', digest);
}

void session_add_prepared(struct session *s, const char *name,
			  const char *alias, const char *shape, bool writes)
{
	struct prepared *p = g_new0(struct prepared, 1);

	p->writes = writes;
	p->shape = g_strdup(shape);
	p->alias = g_strdup(alias);
	g_hash_table_replace(s->prepared, g_strdup(name), p);
}

static void handle_prepare(struct session *s)
{
	const struct statement *st = &s->statement;
	g_autofree char *alias = shared_alias(st->writes, st->value);

	session_add_prepared(s, st->name, alias, st->value, st->writes);
	answer_locally(s, REFUSAL_NONE, NULL);
}

static void handle_deallocate(struct session *s)
{
	if (g_hash_table_remove(s->prepared, s->statement.name))
		answer_locally(s, REFUSAL_NONE, NULL);
	else
		answer_locally(s, REFUSAL_NO_STATEMENT,
			       "no such prepared statement");
}

static void run_statement(struct session *s)
{
	if (s->statement.verb == STATEMENT_EXECUTE &&
	    !g_hash_table_contains(s->prepared, s->statement.name)) {
		answer_locally(s, REFUSAL_NO_STATEMENT,
			       "no such prepared statement");
		return;
	}
	if (!resolve_route(s)) {
		answer_locally(s, REFUSAL_NO_DATABASE,
			       "no route for this database");
		return;
	}
	request_start(s);
}

static void handle_commit(struct session *s)
{
	if (s->tx == TX_NONE)
		answer_locally(s, REFUSAL_MALFORMED, "no transaction is open");
	else
		run_statement(s);
}

/* In a failed transaction only commit and rollback are accepted, and both roll
 * back. */
static void handle_in_failed_transaction(struct session *s)
{
	switch (s->statement.verb) {
	case STATEMENT_ROLLBACK:
		handle_rollback(s);
		return;
	case STATEMENT_COMMIT:
		session_end_transaction(s, TX_NONE);
		answer_locally(
			s, REFUSAL_ABORTED,
			"the transaction had failed and was rolled back");
		return;
	default:
		answer_locally(s, REFUSAL_MALFORMED,
			       "the transaction has failed and must be ended");
		return;
	}
}

void session_handle_statement(struct session *s, struct statement *statement)
{
	s->statement = *statement;
	*statement = (struct statement){ 0 };
	s->last_active_us = clock_now_us();
	if (s->tx == TX_FAILED) {
		handle_in_failed_transaction(s);
		return;
	}
	switch (s->statement.verb) {
	case STATEMENT_BEGIN:
		handle_begin(s, true);
		return;
	case STATEMENT_BEGIN_READ:
		handle_begin(s, false);
		return;
	case STATEMENT_COMMIT:
		handle_commit(s);
		return;
	case STATEMENT_ROLLBACK:
		handle_rollback(s);
		return;
	case STATEMENT_SET:
		handle_set(s);
		return;
	case STATEMENT_PREPARE:
		handle_prepare(s);
		return;
	case STATEMENT_DEALLOCATE:
		handle_deallocate(s);
		return;
	case STATEMENT_READ:
	case STATEMENT_WRITE:
	case STATEMENT_EXECUTE:
		run_statement(s);
		return;
	case STATEMENT_UNKNOWN:
		break;
	}
	answer_locally(s, REFUSAL_MALFORMED, "unknown statement");
}

static void end_idle_transaction(struct session *s, int64_t now_us)
{
	if (s->tx != TX_OPEN || s->phase != REQUEST_NONE ||
	    !s->table->transaction_idle_us ||
	    now_us - s->last_active_us < s->table->transaction_idle_us)
		return;
	event_log("transaction_idle", "{s:s}", "database", s->database);
	session_end_transaction(s, TX_FAILED);
}

static void close_session(struct session *s)
{
	s->closing = true;
	s->ops->close(s->handle);
}

/* While draining, closes idle sessions first and in the end all of them. */
static void stop_session(struct session *s, int64_t now_us)
{
	struct entry *entry = s->entry;
	int64_t since_us = now_us - entry->drain_started_us;
	int64_t limit_us =
		entry->config.grace_us * STOP_TRANSACTION_PERCENT / 100;

	if (s->phase != REQUEST_NONE || s->closing)
		return;
	if (s->tx == TX_OPEN && since_us > limit_us)
		session_end_transaction(s, TX_FAILED);
	if (!s->remote_caller && s->tx == TX_NONE &&
	    since_us > STOP_BALANCER_US &&
	    (now_us - s->last_active_us > STOP_IDLE_US || since_us > limit_us))
		close_session(s);
}

static void check_start(struct session *s, int64_t now_us)
{
	if (s->entry->table) {
		finish_start(s);
	} else if (now_us - s->last_active_us > ROUTES_WAIT_US) {
		s->awaiting_routes = false;
		refuse_start(s, REFUSAL_BUSY, "the routes are not loaded yet");
	}
}

static bool can_close(const struct session *s)
{
	return s->close_when_idle && !s->closing && s->tx == TX_NONE &&
	       s->phase == REQUEST_NONE;
}

static void on_close_timer(int64_t now_us, void *data)
{
	struct entry *entry = data;
	GList *node, *next;

	entry->close_timer = TIMER_NONE;
	for (node = entry->sessions.head; node; node = next) {
		next = node->next;
		if (can_close(node->data))
			close_session(node->data);
	}
}

void sessions_close_soon(struct session *s)
{
	struct entry *entry = s->entry;

	if (s->remote_caller)
		return;
	s->close_when_idle = true;
	if (entry->close_timer == TIMER_NONE)
		entry->close_timer = timer_subscribe(entry->timers,
						     clock_now_us(), 0,
						     on_close_timer, entry);
}

void sessions_tick(struct entry *entry, int64_t now_us)
{
	GList *node, *next;

	for (node = entry->sessions.head; node; node = next) {
		struct session *s = node->data;

		next = node->next;
		if (s->awaiting_routes)
			check_start(s, now_us);
		end_idle_transaction(s, now_us);
		if (can_close(s))
			close_session(s);
		if (entry->drain_started_us)
			stop_session(s, now_us);
	}
}
