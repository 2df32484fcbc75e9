#include "execute.h"

#include <stdlib.h>
#include <string.h>

/* Returns STEP_CLOSED when a fault takes the connection down. */
static enum step lose_connection(struct client *c, enum standin_fault fault)
{
	if (c->server->faults[fault] <= 0)
		return STEP_DONE;
	c->server->faults[fault]--;
	client_close(c);
	return STEP_CLOSED;
}

enum step transaction_commit(struct client *c)
{
	struct standin *s = c->server;
	uint64_t end = 0;

	if (!c->transaction->len)
		return sqlite3_exec(c->db, "COMMIT", NULL, NULL, NULL) ?
			       STEP_FAILED :
			       STEP_DONE;
	if (lose_connection(c, FAULT_DROP_BEFORE_COMMIT) == STEP_CLOSED)
		return STEP_CLOSED;
	if (!replication_log(s, c->db, c->transaction->str, &end) ||
	    sqlite3_exec(c->db, "COMMIT", NULL, NULL, NULL))
		return STEP_FAILED;
	g_string_truncate(c->transaction, 0);
	replication_committed(s, end);
	return lose_connection(c, FAULT_DROP_AFTER_COMMIT);
}

static enum step run_begin(struct client *c, const char *text)
{
	bool read_only = c->server->in_recovery ||
			 strcasestr(text, "READ ONLY") != NULL;
	int rc;

	if (!c->in_transaction) {
		rc = sqlite3_exec(c->db,
				  read_only ? "BEGIN" : "BEGIN IMMEDIATE", NULL,
				  NULL, NULL);
		if (rc == SQLITE_BUSY)
			return STEP_LOCKED;
		if (rc)
			return STEP_FAILED;
	}
	c->in_transaction = true;
	g_string_truncate(c->transaction, 0);
	pg_put_command_complete(&c->out, "BEGIN");
	return STEP_DONE;
}

static enum step run_rollback(struct client *c, const char *text)
{
	if (c->in_transaction)
		sqlite3_exec(c->db, "ROLLBACK", NULL, NULL, NULL);
	c->in_transaction = c->failed = false;
	g_string_truncate(c->transaction, 0);
	pg_put_command_complete(&c->out, "ROLLBACK");
	return STEP_DONE;
}

static enum step run_commit(struct client *c, const char *text)
{
	enum step step;

	if (c->failed)
		return run_rollback(c, text);
	if (c->in_transaction) {
		step = transaction_commit(c);
		if (step != STEP_DONE)
			return step;
	}
	c->in_transaction = false;
	pg_put_command_complete(&c->out, "COMMIT");
	return STEP_DONE;
}

static enum step run_set(struct client *c, const char *text)
{
	pg_put_command_complete(&c->out, "SET");
	return STEP_DONE;
}

static enum step run_discard(struct client *c, const char *text)
{
	pg_put_command_complete(&c->out, "DISCARD ALL");
	return STEP_DONE;
}

static enum step run_alter_system(struct client *c, const char *text)
{
	struct standin *s = c->server;
	const char *host = strstr(text, "host=");
	const char *port = strstr(text, "port=");

	if (!host || !port)
		return STEP_FAILED;
	host += strlen("host=");
	g_free(s->configured_follow);
	s->configured_follow = g_strdup_printf("%.*s:%d",
					       (int)strcspn(host, " '"), host,
					       atoi(port + strlen("port=")));
	pg_put_command_complete(&c->out, "ALTER SYSTEM");
	return STEP_DONE;
}

static const struct command commands[] = {
	{ "BEGIN", run_begin },
	{ "START TRANSACTION", run_begin },
	{ "COMMIT", run_commit },
	{ "END", run_commit },
	{ "ROLLBACK TO", NULL },
	{ "ROLLBACK", run_rollback },
	{ "ABORT", run_rollback },
	{ "SET ", run_set },
	{ "RESET ", run_set },
	{ "DISCARD ALL", run_discard },
	{ "ALTER SYSTEM SET primary_conninfo", run_alter_system },
};

const struct command *transaction_command(const char *text)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(commands); i++) {
		if (!g_ascii_strncasecmp(text, commands[i].prefix,
					 strlen(commands[i].prefix)))
			return commands[i].run ? &commands[i] : NULL;
	}
	return NULL;
}
