#ifndef STATEMENTS_H
#define STATEMENTS_H

#include "pg_frame.h"
#include "sql_classify.h"

/**
 * DOC: Prepared statements of callers on shared upstream connections.
 *
 * Statements of equal text and parameter types share one entry with an
 * identity, whichever caller prepared them. Towards an upstream a statement
 * is named after its identity, and is parsed on a connection the first time
 * it is needed there; answers to frames that the daemon adds are not passed
 * on. The unnamed statement keeps its empty name inside a batch.
 */

/** Statements kept per caller, and prepared per upstream connection. */
#define STATEMENTS_MAX 256
/** Bytes of statement text kept per caller. */
#define STATEMENTS_BYTES_MAX (1024u * 1024)
#define STATEMENT_NAME_MAX 24
/** Closing a name that is never prepared is answered like any other. */
#define STATEMENT_NAME_ABSENT "cw_absent"

/**
 * struct statement - a statement text with its parameter types
 * @body: Parse payload behind the statement name
 */
struct statement {
	unsigned refs;
	uint64_t id;
	GBytes *body;
	enum sql_kind kind;
	bool read_only;
};

/**
 * struct statement_table - statements of all callers
 * @bytes: of the bodies, each counted once, and of names given to them
 */
struct statement_table {
	GHashTable *by_body;
	uint64_t next_id;
	size_t bytes;
};

void statement_table_init(struct statement_table *table);
void statement_table_finish(struct statement_table *table);

/** statement_intern() - Return: a reference, for statement_unref() */
struct statement *statement_intern(struct statement_table *table,
				   const uint8_t *body, size_t len,
				   const struct sql_class *class);
struct statement *statement_ref(struct statement *st);
void statement_unref(struct statement_table *table, struct statement *st);

/** statement_name() - name towards upstreams; returns @buf */
char *statement_name(uint64_t id, char *buf);

/**
 * struct parsed_statements - what is prepared on one upstream connection
 * @ids: identities, as keys
 * @parses: Parse frames whose ParseComplete is to come, in order
 * @pending: how many of @parses have an identity, by identity; a search in the
 *           queue would take quadratic time in the frames of a batch
 * @closes: Close frames whose CloseComplete is to come, in order
 */
struct parsed_statements {
	GHashTable *ids;
	GHashTable *pending;
	GQueue parses;
	GQueue closes;
};

void parsed_statements_init(struct parsed_statements *parsed);
void parsed_statements_finish(struct parsed_statements *parsed);

/**
 * parsed_statements_forward() - write frames of a batch for a connection
 * @used: struct statement, those the frames may name
 * @out: receives the frames and what must precede them
 */
void parsed_statements_forward(struct parsed_statements *parsed,
			       const GPtrArray *used, const uint8_t *data,
			       size_t len, struct pg_buffer *out);

/** parsed_statements_answer() - false if the answer is not the caller's */
bool parsed_statements_answer(struct parsed_statements *parsed, char type);

/** parsed_statements_synced() - ReadyForQuery: nothing more is to come */
void parsed_statements_synced(struct parsed_statements *parsed);

#endif
