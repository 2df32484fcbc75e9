#ifndef STATEMENT_H
#define STATEMENT_H

#include "position.h"

/**
 * DOC: Statements and answers, whatever protocol carries them.
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
 * struct statement - one statement of a caller
 * @buffer: owns the texts
 * @id: the caller's name for this request
 * @text: the statement as it came, for the upstream
 * @name: of a value or a prepared statement
 * @value: of a value; shape of a prepared statement; arguments of an execute
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
 * enum refusal - why a statement has no result
 *
 * Up to REFUSAL_LAST_NOT_RUN nothing of the attempt is kept; the rest
 * promises nothing.
 */
enum refusal {
	REFUSAL_NONE,
	/** too much work; come back later */
	REFUSAL_BUSY,
	/** the transaction was rolled back */
	REFUSAL_ABORTED,
	/** the log there lacks a position that was asked for */
	REFUSAL_BEHIND,
	/** only the primary does that */
	REFUSAL_NOT_PRIMARY,
	/** the address belongs to another upstream */
	REFUSAL_WRONG_UPSTREAM,
	/** no more connections */
	REFUSAL_TOO_MANY,
	REFUSAL_NO_STATEMENT,
	REFUSAL_NO_DATABASE,
	REFUSAL_MALFORMED,
	REFUSAL_LAST_NOT_RUN = REFUSAL_MALFORMED,
	/** ran and failed */
	REFUSAL_FAILED,
	REFUSAL_TIMEOUT,
	/** a commit whose answer was lost */
	REFUSAL_IN_DOUBT,
	REFUSAL_NR,
};

const char *refusal_text(enum refusal refusal);

static inline bool refusal_not_run(enum refusal refusal)
{
	return refusal <= REFUSAL_LAST_NOT_RUN;
}

enum session_state {
	SESSION_IDLE,
	SESSION_IN_TRANSACTION,
	SESSION_FAILED_TRANSACTION,
};

/**
 * struct statement_answer - an answer, from an upstream or to a caller
 * @refusal: REFUSAL_NONE for a success
 * @detail: text of a refusal, NULL for none
 * @result: rows and signature as the upstream sent them, NULL for the empty
 *          result of a statement that is answered here
 * @state: state afterwards
 * @position: log position of the upstream, term 0 if it has none
 */
struct statement_answer {
	enum refusal refusal;
	const char *detail;
	const uint8_t *result;
	size_t len;
	enum session_state state;
	struct position position;
};

#endif
