#ifndef EXECUTE_H
#define EXECUTE_H

#include "standin.h"

/**
 * enum step - what became of one step of an execution
 * @STEP_PAUSED: goes on when the reader has caught up
 * @STEP_LOCKED: goes on when another session gives up the write lock
 * @STEP_CLOSED: a fault took the connection down
 */
enum step {
	STEP_DONE,
	STEP_PAUSED,
	STEP_LOCKED,
	STEP_FAILED,
	STEP_CLOSED,
};

/** struct command - a statement that SQLite does not know as PostgreSQL does */
struct command {
	const char *prefix;
	enum step (*run)(struct client *c, const char *text);
};

/** transaction_command() - command that starts with @text, or NULL */
const struct command *transaction_command(const char *text);

/** transaction_commit() - log and commit what the transaction wrote */
enum step transaction_commit(struct client *c);

#endif
