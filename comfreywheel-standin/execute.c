#include "execute.h"

#include <string.h>

#define PG_OID_BOOL 16
#define PG_OID_TEXT 25
/* How long a statement waits for another session's lock. */
#define LOCK_TIMEOUT_US 5000000
#define LOCK_RETRY_US 1000
#define COMMAND_TAG_MAX 64

static void finish(struct client *c)
{
	c->busy = false;
	c->portal = NULL;
	execute_release_slot(c);
	client_process(c);
}

static void fail(struct client *c, const char *sqlstate, const char *text)
{
	sqlite3_finalize(c->stmt);
	c->stmt = NULL;
	if (c->autocommit)
		sqlite3_exec(c->db, "ROLLBACK", NULL, NULL, NULL);
	c->autocommit = false;
	if (c->in_transaction)
		c->failed = true;
	pg_put_error(&c->out, "ERROR", sqlstate, text, NULL);
	if (c->portal)
		c->skip_to_sync = true;
	else
		pg_put_ready(&c->out, c->in_transaction ? 'E' : 'I');
	finish(c);
}

static const char *sqlstate_of(sqlite3 *db)
{
	int code = sqlite3_extended_errcode(db);
	const char *text = sqlite3_errmsg(db);

	if (code == SQLITE_CONSTRAINT_UNIQUE ||
	    code == SQLITE_CONSTRAINT_PRIMARYKEY ||
	    code == SQLITE_CONSTRAINT_ROWID)
		return "23505";
	if ((code & 0xff) == SQLITE_CONSTRAINT)
		return "23000";
	if (g_str_has_prefix(text, "no such table"))
		return "42P01";
	if ((code & 0xff) == SQLITE_ERROR)
		return "42601";
	return "XX000";
}

static void on_slot_time(int64_t now_us, void *data)
{
	struct client *c = data;

	c->timer = TIMER_NONE;
	execute_resume(c);
}

/*
 * A reader that takes all that is written must not keep the others waiting
 * until the end of its answer.
 */
void execute_resume_later(struct client *c)
{
	struct standin *s = c->server;

	c->timer =
		timer_subscribe(&s->timers, standin_now(s), 0, on_slot_time, c);
}

/* Sleeping inside SQLite would stop the whole event loop. */
static int64_t sleep_us(const char *sql)
{
	const char *call = strstr(sql, "pg_sleep(");

	return call ? g_ascii_strtod(call + strlen("pg_sleep("), NULL) * 1e6 :
		      0;
}

static void take_slot(struct client *c)
{
	struct standin *s = c->server;
	int64_t delay = s->options.service_us + s->faults[FAULT_STALL] * 1000 +
			sleep_us(c->sql);

	s->slots_used++;
	c->holds_slot = true;
	c->timer = timer_subscribe(&s->timers, standin_now(s) + delay, 0,
				   on_slot_time, c);
}

void execute_release_slot(struct client *c)
{
	struct standin *s = c->server;

	if (!c->holds_slot)
		return;
	c->holds_slot = false;
	s->slots_used--;
	if (!g_queue_is_empty(s->waiting))
		take_slot(g_queue_pop_head(s->waiting));
}

static void want_slot(struct client *c)
{
	struct standin *s = c->server;

	if ((int)s->slots_used < s->options.slots)
		take_slot(c);
	else
		g_queue_push_tail(s->waiting, c);
}

static void on_lock_retry(int64_t now_us, void *data)
{
	struct client *c = data;

	c->timer = TIMER_NONE;
	want_slot(c);
}

void execute_start(struct client *c, const char *sql, struct portal *portal)
{
	struct standin *s = c->server;

	c->busy = true;
	if (!strstr(sql, "pg_is_in_recovery") && !strstr(sql, "standin_"))
		s->statements++;
	g_free(c->sql);
	c->sql = g_strdup(sql);
	c->sql_at = 0;
	c->portal = portal;
	c->rows = 0;
	c->cancelled = false;
	c->lock_deadline_us = standin_now(s) + LOCK_TIMEOUT_US;
	if (s->faults[FAULT_SLOW_ANSWERS] > 0) {
		s->faults[FAULT_SLOW_ANSWERS]--;
		c->slow = true;
	}
	want_slot(c);
}

static unsigned column_oid(const char *name)
{
	if (g_str_has_prefix(name, "pg_is_in_recovery") ||
	    g_str_has_prefix(name, "pg_promote") ||
	    g_str_has_prefix(name, "pg_reload_conf"))
		return PG_OID_BOOL;
	return PG_OID_TEXT;
}

static void put_row_description(struct client *c, sqlite3_stmt *stmt)
{
	size_t begin = pg_frame_begin(&c->out, 'T');
	int i, nr = sqlite3_column_count(stmt);
	const char *name;
	char *shown;

	pg_put_u16(&c->out, nr);
	for (i = 0; i < nr; i++) {
		name = sqlite3_column_name(stmt, i);
		shown = g_strndup(name, strcspn(name, "("));
		pg_put_string(&c->out, shown);
		g_free(shown);
		pg_put_u32(&c->out, 0);
		pg_put_u16(&c->out, 0);
		pg_put_u32(&c->out, column_oid(name));
		pg_put_u16(&c->out, (uint16_t)-1);
		pg_put_u32(&c->out, (uint32_t)-1);
		pg_put_u16(&c->out, 0);
	}
	pg_frame_end(&c->out, begin);
}

static void put_data_row(struct client *c, sqlite3_stmt *stmt)
{
	size_t begin = pg_frame_begin(&c->out, 'D');
	int i, nr = sqlite3_column_count(stmt);
	const char *text;

	pg_put_u16(&c->out, nr);
	for (i = 0; i < nr; i++) {
		text = (const char *)sqlite3_column_text(stmt, i);
		if (!text) {
			pg_put_u32(&c->out, (uint32_t)-1);
			continue;
		}
		if (column_oid(sqlite3_column_name(stmt, i)) == PG_OID_BOOL)
			text = strcmp(text, "0") ? "t" : "f";
		pg_put_u32(&c->out, strlen(text));
		pg_buffer_append(&c->out, text, strlen(text));
	}
	pg_frame_end(&c->out, begin);
}

/* "CREATE TABLE" and the like have tags of two words. */
static const char *utility_tag(const char *sql, char *buf)
{
	size_t len = strcspn(sql, " \t\r\n;(");
	size_t second = len + strspn(sql + len, " \t\r\n");
	char *upper;

	if (!g_ascii_strncasecmp(sql, "CREATE", len) ||
	    !g_ascii_strncasecmp(sql, "DROP", len) ||
	    !g_ascii_strncasecmp(sql, "ALTER", len))
		len = second + strcspn(sql + second, " \t\r\n;(");
	upper = g_ascii_strup(sql, len);
	g_strlcpy(buf, upper, COMMAND_TAG_MAX);
	g_free(upper);
	return buf;
}

static const char *command_tag(struct client *c, const char *sql, char *buf)
{
	static const char *const counted[] = { "SELECT", "UPDATE", "DELETE" };
	long long changed = sqlite3_changes(c->db);
	size_t i;

	sql += strspn(sql, " \t\r\n");
	if (!g_ascii_strncasecmp(sql, "INSERT", 6)) {
		g_snprintf(buf, COMMAND_TAG_MAX, "INSERT 0 %lld", changed);
		return buf;
	}
	for (i = 0; i < G_N_ELEMENTS(counted); i++) {
		if (g_ascii_strncasecmp(sql, counted[i], strlen(counted[i])))
			continue;
		g_snprintf(buf, COMMAND_TAG_MAX, "%s %lld", counted[i],
			   i ? changed : (long long)c->rows);
		return buf;
	}
	if (!g_ascii_strncasecmp(sql, "WITH", 4) ||
	    !g_ascii_strncasecmp(sql, "VALUES", 6)) {
		g_snprintf(buf, COMMAND_TAG_MAX, "SELECT %llu",
			   (unsigned long long)c->rows);
		return buf;
	}
	return utility_tag(sql, buf);
}

static void bind_portal(struct client *c)
{
	char name[16];
	guint i;
	int at;

	for (i = 0; c->portal && i < c->portal->values->len; i++) {
		g_snprintf(name, sizeof(name), "$%u", i + 1);
		at = sqlite3_bind_parameter_index(c->stmt, name);
		if (at)
			sqlite3_bind_text(c->stmt, at,
					  g_ptr_array_index(c->portal->values,
							    i),
					  -1, SQLITE_TRANSIENT);
	}
}

/* Steps a read; pauses when its reader does not keep up. */
static enum step run_rows(struct client *c)
{
	int rc;

	while ((rc = sqlite3_step(c->stmt)) == SQLITE_ROW) {
		put_data_row(c, c->stmt);
		c->rows++;
		if (pg_buffer_length(&c->out) > STANDIN_OUTPUT_MAX &&
		    sqlite3_stmt_readonly(c->stmt))
			return STEP_PAUSED;
	}
	if (rc == SQLITE_BUSY)
		return STEP_LOCKED;
	return rc == SQLITE_DONE ? STEP_DONE : STEP_FAILED;
}

static enum step run_write(struct client *c)
{
	size_t mark = pg_buffer_length(&c->out);
	char *sql;
	enum step step;

	if (!c->in_transaction) {
		if (sqlite3_exec(c->db, "BEGIN IMMEDIATE", NULL, NULL, NULL))
			return STEP_LOCKED;
		c->autocommit = true;
		g_string_truncate(c->transaction, 0);
	}
	step = run_rows(c);
	if (step == STEP_DONE) {
		sql = sqlite3_expanded_sql(c->stmt);
		g_string_append_printf(c->transaction, "%s;\n", sql);
		sqlite3_free(sql);
		sqlite3_reset(c->stmt);
		if (c->autocommit)
			step = transaction_commit(c);
	}
	if (step == STEP_CLOSED)
		return step;
	if (step != STEP_DONE)
		c->out.end = c->out.start + mark;
	else
		c->autocommit = false;
	return step;
}

static enum step complete(struct client *c)
{
	char tag[COMMAND_TAG_MAX];

	pg_put_command_complete(&c->out,
				command_tag(c, sqlite3_sql(c->stmt), tag));
	sqlite3_finalize(c->stmt);
	c->stmt = NULL;
	return STEP_DONE;
}

static enum step run_statement(struct client *c, const char *text)
{
	const char *tail;
	enum step step;

	if (!c->stmt) {
		if (sqlite3_prepare_v2(c->db, text, -1, &c->stmt, &tail))
			return STEP_FAILED;
		if (!c->stmt) {
			c->sql_at = strlen(c->sql);
			return STEP_DONE;
		}
		bind_portal(c);
		c->rows = 0;
		c->described = c->portal || !sqlite3_column_count(c->stmt);
	}
	if (!c->described)
		put_row_description(c, c->stmt);
	c->described = true;
	step = sqlite3_stmt_readonly(c->stmt) ? run_rows(c) : run_write(c);
	if (step != STEP_DONE)
		return step;
	c->sql_at += strlen(sqlite3_sql(c->stmt));
	return complete(c);
}

static enum step run_next(struct client *c)
{
	const char *text = c->sql + c->sql_at;
	const struct command *command = transaction_command(text);
	enum step step;

	if (!command) {
		if (c->failed)
			return STEP_FAILED;
		return run_statement(c, text);
	}
	step = command->run(c, text);
	if (step == STEP_DONE)
		c->sql_at += strcspn(text, ";");
	return step;
}

static void retry_lock(struct client *c)
{
	struct standin *s = c->server;

	sqlite3_finalize(c->stmt);
	c->stmt = NULL;
	if (standin_now(s) > c->lock_deadline_us) {
		fail(c, "55P03", "could not obtain the write lock");
		return;
	}
	c->timer = timer_subscribe(&s->timers, standin_now(s) + LOCK_RETRY_US,
				   0, on_lock_retry, c);
	execute_release_slot(c);
}

static void report_failure(struct client *c)
{
	char *text;

	if (c->failed) {
		fail(c, "25P02",
		     "current transaction is aborted, commands ignored until "
		     "end of transaction block");
		return;
	}
	text = g_strdup(sqlite3_errmsg(c->db));
	fail(c, sqlstate_of(c->db), text);
	g_free(text);
}

static bool refused_on_replica(struct client *c)
{
	return c->server->in_recovery && c->stmt &&
	       !sqlite3_stmt_readonly(c->stmt);
}

static void end_of_text(struct client *c)
{
	size_t begin;

	if (!c->sql[strspn(c->sql, " \t\r\n;")]) {
		begin = pg_frame_begin(&c->out, 'I');
		pg_frame_end(&c->out, begin);
	}
	if (!c->portal)
		pg_put_ready(&c->out, c->failed		? 'E' :
				      c->in_transaction ? 'T' :
							  'I');
	finish(c);
}

/* Looks ahead, so that a replica refuses a write before it runs. */
static bool replica_refuses(struct client *c)
{
	const char *text = c->sql + c->sql_at;
	bool refused;

	if (c->stmt || !c->server->in_recovery || transaction_command(text))
		return false;
	if (sqlite3_prepare_v2(c->db, text, -1, &c->stmt, NULL))
		return false;
	refused = refused_on_replica(c);
	sqlite3_finalize(c->stmt);
	c->stmt = NULL;
	return refused;
}

void execute_resume(struct client *c)
{
	enum step step;

	for (;;) {
		c->sql_at += strspn(c->sql + c->sql_at, " \t\r\n;");
		if (c->cancelled) {
			fail(c, "57014",
			     "canceling statement due to user request");
			return;
		}
		if (!c->sql[c->sql_at] && !c->stmt) {
			end_of_text(c);
			return;
		}
		if (replica_refuses(c)) {
			fail(c, "25006",
			     "cannot write in a read-only transaction");
			return;
		}
		step = run_next(c);
		if (step == STEP_CLOSED)
			return;
		if (step == STEP_PAUSED) {
			c->paused = true;
			execute_release_slot(c);
			client_flush(c);
			return;
		}
		if (step == STEP_LOCKED) {
			retry_lock(c);
			return;
		}
		if (step == STEP_FAILED) {
			report_failure(c);
			return;
		}
	}
}

void execute_describe(struct client *c, const char *sql, bool statement)
{
	sqlite3_stmt *stmt = NULL;
	size_t begin;
	int i, nr;

	if (!transaction_command(sql) &&
	    sqlite3_prepare_v2(c->db, sql, -1, &stmt, NULL)) {
		pg_put_error(&c->out, "ERROR", sqlstate_of(c->db),
			     sqlite3_errmsg(c->db), NULL);
		c->skip_to_sync = true;
		return;
	}
	if (statement) {
		nr = stmt ? sqlite3_bind_parameter_count(stmt) : 0;
		begin = pg_frame_begin(&c->out, 't');
		pg_put_u16(&c->out, nr);
		for (i = 0; i < nr; i++)
			pg_put_u32(&c->out, PG_OID_TEXT);
		pg_frame_end(&c->out, begin);
	}
	if (stmt && sqlite3_column_count(stmt)) {
		put_row_description(c, stmt);
	} else {
		begin = pg_frame_begin(&c->out, 'n');
		pg_frame_end(&c->out, begin);
	}
	sqlite3_finalize(stmt);
}
