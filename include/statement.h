#ifndef STATEMENT_H
#define STATEMENT_H

#include "position.h"

/**
 * DOC: Statements and their answers, independent of the wire protocol.
 */

enum statement_verb {
	STATEMENT_BEGIN,
	STATEMENT_BEGIN_READ,
	STATEMENT_COMMIT,
	STATEMENT_ROLLBACK,
	STATEMENT_READ,
	STATEMENT_WRITE,
	STATEMENT_SET,
	STATEMENT_PREPARE,
	STATEMENT_EXECUTE,
	STATEMENT_DEALLOCATE,
	STATEMENT_UNKNOWN,
};

/**
 * struct statement - a statement from a caller
 * @buffer: memory of the strings below
 * @id: request identifier chosen by the caller
 * @text: the statement as received, to be sent to the upstream
 * @name: name of a session value or of a prepared statement
 * @value: the session value, the shape of a prepared statement or the
 *         arguments of STATEMENT_EXECUTE
 * @writes: whether a prepared statement writes
 */
struct statement {
	enum statement_verb verb;
	char *buffer;
	const char *id;
	const char *text;
	const char *name;
	const char *value;
	bool writes;
};

static inline void statement_clear(struct statement *st)
{
	g_free(st->buffer);
	*st = (struct statement){ 0 };
}

/**
 * enum refusal - why a statement returned no result
 *
 * Values up to REFUSAL_LAST_NO_EFFECT mean that the statement had no effect.
 * With the values after it, it may or may not have taken effect.
 */
enum refusal {
	REFUSAL_NONE,
	/** overloaded; retry later */
	REFUSAL_BUSY,
	/** the transaction was rolled back */
	REFUSAL_ABORTED,
	/** the upstream's log does not include the required position */
	REFUSAL_BEHIND,
	/** the statement requires the primary */
	REFUSAL_NOT_PRIMARY,
	/** the address belongs to a different upstream */
	REFUSAL_WRONG_UPSTREAM,
	/** connection limit reached */
	REFUSAL_TOO_MANY_CONNECTIONS,
	REFUSAL_NO_STATEMENT,
	REFUSAL_NO_DATABASE,
	/** the caller's key belongs to no account */
	REFUSAL_UNKNOWN_KEY,
	REFUSAL_MALFORMED,
	REFUSAL_LAST_NO_EFFECT = REFUSAL_MALFORMED,
	/** execution failed */
	REFUSAL_FAILED,
	REFUSAL_TIMEOUT,
	/** the answer to a commit was lost, so its outcome is unknown */
	REFUSAL_IN_DOUBT,
	REFUSAL_NR,
};

/** refusal_text() - short description, in static storage */
const char *refusal_text(enum refusal refusal);

/** refusal_had_no_effect() - whether the statement certainly had no effect */
static inline bool refusal_had_no_effect(enum refusal refusal)
{
	return refusal <= REFUSAL_LAST_NO_EFFECT;
}

enum session_state {
	SESSION_IDLE,
	SESSION_IN_TRANSACTION,
	SESSION_FAILED_TRANSACTION,
};

/**
 * struct statement_answer - answer to a statement
 * @refusal: REFUSAL_NONE on success
 * @detail: error message, NULL for none
 * @result: rows and signature as sent by the upstream; NULL for the empty
 *          result of a statement that the proxy answers itself
 * @len: size of @result in bytes
 * @oversized: whether the result was dropped as it was too large; @refusal is
 *             REFUSAL_FAILED then, and another attempt would end the same way
 * @state: session state after the statement
 * @position: log position of the upstream, term 0 if unknown
 */
struct statement_answer {
	enum refusal refusal;
	const char *detail;
	const uint8_t *result;
	size_t len;
	bool oversized;
	enum session_state state;
	struct position position;
};

#endif
