#include "internal.h"

#include "clock.h"
#include "drain_policy.h"
#include "event_log.h"

#include <string.h>

/* Time for which a new caller waits until the routes are known. Callers give
 * up after 2 s. */
#define ROUTES_WAIT_US (1500 * 1000ll)
/* What a caller is told whose statement this daemon does not begin. */
#define STOPPING_TEXT "this daemon is stopping; connect again"

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
	entry->usage.held_bytes += CLIENT_CONNECTION_BYTES;
	entry_count(entry, ENTRY_COUNT_SESSIONS, 1);
	return s;
}

void session_closed(struct session *s)
{
	request_cancel(s);
	entry_table_unref(s->table);
	g_queue_unlink(&s->entry->sessions, &s->list_node);
	statement_clear(&s->statement);
	session_count_statement(s);
	session_count_state(s, 0);
	s->entry->usage.held_bytes -= CLIENT_CONNECTION_BYTES;
	g_hash_table_destroy(s->values);
	g_hash_table_destroy(s->prepared);
	g_free(s->database);
	g_free(s->key);
	g_free(s->last_upstream);
	g_free(s);
}

static void refuse_start(struct session *s, enum refusal refusal,
			 const char *detail)
{
	s->closing = true;
	s->ops->refused(s->handle, refusal, detail);
}

static bool accepts_statements(const struct entry *entry)
{
	return !entry->drain_started_us ||
	       drain_accepts_statement(clock_now_us() - entry->drain_started_us,
				       entry->config.grace_us);
}

/* Why an operation or a session cannot begin. */
static const char *refusal_detail(enum refusal refusal)
{
	switch (refusal) {
	case REFUSAL_NO_DATABASE:
		return "no route for this database";
	case REFUSAL_UNKNOWN_KEY:
		return "the key is not valid; use a key of a client account";
	default:
		return "this daemon has lost control; connect again";
	}
}

static enum refusal check_route(struct session *s, struct entry_table *table,
				const struct entry_route **route)
{
	enum refusal refusal;

	*route = g_hash_table_lookup(table->routes, s->database);
	if (!*route)
		return REFUSAL_NO_DATABASE;
	refusal = account_resolve(s, table, *route);
	if (refusal == REFUSAL_UNKNOWN_KEY)
		entry_count(s->entry, ENTRY_COUNT_UNKNOWN_KEYS, 1);
	return refusal;
}

static void finish_start(struct session *s)
{
	const struct entry_route *route;
	enum refusal refusal;

	s->awaiting_routes = false;
	if (!accepts_statements(s->entry)) {
		refuse_start(s, REFUSAL_BUSY, STOPPING_TEXT);
		return;
	}
	s->asked_us = s->last_active_us;
	s->may_ask_again_us = clock_now_us();
	refusal = check_route(s, s->entry->table, &route);
	s->account = NULL;
	if (refusal)
		refuse_start(s, refusal, refusal_detail(refusal));
	else
		s->ops->started(s->handle);
}

void session_start(struct session *s, const char *database, const char *key)
{
	s->last_active_us = clock_now_us();
	s->database = g_strdup(database);
	s->key = g_strdup(key);
	session_count_state(s, strlen(database) + strlen(s->key));
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
	s->account = NULL;
}

void session_answer(struct session *s, const struct statement_answer *answer)
{
	struct statement_answer out = *answer;

	out.state = session_state(s);
	s->last_active_us = clock_now_us();
	release_route(s);
	statement_clear(&s->statement);
	session_count_statement(s);
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

/*
 * A transaction keeps its route and account even if the configuration changes.
 * Return: whether the statement may begin; otherwise it was answered
 */
static bool resolve_route(struct session *s)
{
	struct entry_table *table = s->entry->table;
	enum refusal refusal;

	if (s->tx != TX_NONE)
		return true;
	refusal = check_route(s, table, &s->route);
	if (refusal) {
		s->route = NULL;
		if (refusal != REFUSAL_NO_DATABASE)
			sessions_close_soon(s);
		answer_locally(s, refusal, refusal_detail(refusal));
		return false;
	}
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
	if (!resolve_route(s))
		return;
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

#define NO_MEMORY_TEXT "this daemon is short of memory; try again"
#define SESSION_FULL_TEXT                                    \
	"the session holds too many values and statements; " \
	"deallocate some or connect again"

void session_refuse_statement(struct session *s)
{
	entry_note_limit(s->entry, CLIENT_LIMIT_STATEMENT_MEMORY);
	answer_locally(s, REFUSAL_BUSY, NO_MEMORY_TEXT);
}

static size_t value_bytes(const struct session *s, const char *name)
{
	const char *value = g_hash_table_lookup(s->values, name);

	return value ? limits_item_bytes(name, value) : 0;
}

static size_t prepared_bytes(const struct session *s, const char *name)
{
	const struct prepared *p = g_hash_table_lookup(s->prepared, name);

	return p ? limits_item_bytes(name, p->shape) : 0;
}

static void handle_set(struct session *s)
{
	const struct statement *st = &s->statement;
	size_t old = value_bytes(s, st->name);
	size_t bytes = limits_item_bytes(st->name, st->value);

	if (bytes > old && !session_takes_state(s, bytes - old)) {
		answer_locally(s, REFUSAL_BUSY, SESSION_FULL_TEXT);
		return;
	}
	session_count_state(s, s->state_bytes - old + bytes);
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

	session_count_state(s, s->state_bytes - prepared_bytes(s, name) +
				       limits_item_bytes(name, shape));
	p->writes = writes;
	p->shape = g_strdup(shape);
	p->alias = g_strdup(alias);
	g_hash_table_replace(s->prepared, g_strdup(name), p);
}

static void handle_prepare(struct session *s)
{
	const struct statement *st = &s->statement;
	g_autofree char *alias = shared_alias(st->writes, st->value);
	size_t old = prepared_bytes(s, st->name);
	size_t bytes = limits_item_bytes(st->name, st->value);

	if (bytes > old && !session_takes_state(s, bytes - old)) {
		answer_locally(s, REFUSAL_BUSY, SESSION_FULL_TEXT);
		return;
	}
	session_add_prepared(s, st->name, alias, st->value, st->writes);
	answer_locally(s, REFUSAL_NONE, NULL);
}

static void handle_deallocate(struct session *s)
{
	session_count_state(s, s->state_bytes -
				       prepared_bytes(s, s->statement.name));
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
	if (resolve_route(s))
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

static void refuse_while_stopping(struct session *s, enum refusal refusal)
{
	event_log("request_not_done", "{s:s%, s:s, s:s, s:i}", "id",
		  s->statement.id, limits_log_length(s->statement.id),
		  "outcome", refusal_text(refusal), "why", STOPPING_TEXT,
		  "in_transaction", (int)s->tx);
	entry_count(s->entry, ENTRY_COUNT_REFUSED, 1);
	sessions_close_soon(s);
	answer_locally(s, refusal, STOPPING_TEXT);
}

bool session_must_end_transaction(const struct session *s,
				  enum statement_verb verb)
{
	const struct entry *entry = s->entry;

	if (!entry->drain_started_us || s->tx != TX_OPEN ||
	    verb == STATEMENT_COMMIT || verb == STATEMENT_ROLLBACK)
		return false;
	return !drain_accepts_in_transaction(clock_now_us() -
						     entry->drain_started_us,
					     entry->config.grace_us);
}

/*
 * A daemon that stops begins no statement that might still be under way when it
 * ends. Return: whether the statement was answered
 */
static bool refuse_if_stopping(struct session *s)
{
	if (s->tx == TX_NONE && !accepts_statements(s->entry)) {
		refuse_while_stopping(s, REFUSAL_BUSY);
		return true;
	}
	if (!session_must_end_transaction(s, s->statement.verb))
		return false;
	session_end_transaction(s, TX_FAILED);
	refuse_while_stopping(s, REFUSAL_ABORTED);
	return true;
}

void session_handle_statement(struct session *s, struct statement *statement)
{
	s->statement = *statement;
	*statement = (struct statement){ 0 };
	session_count_statement(s);
	s->last_active_us = clock_now_us();
	if (refuse_if_stopping(s))
		return;
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

static void stop_session(struct session *s, int64_t now_us)
{
	struct entry *entry = s->entry;
	struct drain_session view = {
		.since_us = now_us - entry->drain_started_us,
		.grace_us = entry->config.grace_us,
		.busy = s->phase != REQUEST_NONE,
		.in_transaction = s->tx == TX_OPEN,
		.remote_caller = s->remote_caller,
		.idle_us = now_us - s->last_active_us,
	};

	if (s->closing)
		return;
	switch (drain_session_action(&view)) {
	case DRAIN_KEEP:
		return;
	case DRAIN_CLOSE:
		if (s->tx == TX_NONE)
			close_session(s);
		return;
	case DRAIN_END_TRANSACTION:
		session_end_transaction(s, TX_FAILED);
		return;
	case DRAIN_GIVE_UP:
		request_give_up(s, STOPPING_TEXT);
		return;
	}
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
		if (can_close(s) || account_must_close(s, now_us))
			close_session(s);
		if (entry->drain_started_us)
			stop_session(s, now_us);
	}
}
