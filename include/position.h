#ifndef POSITION_H
#define POSITION_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * DOC: Positions in the write-ahead log of a database cluster.
 *
 * A position consists of a term (PostgreSQL: timeline) and an LSN (log sequence
 * number, a byte offset). Its text form is "TERM:HIGH/LOW" with a decimal term
 * and the LSN in PostgreSQL's hexadecimal notation, such as "3:0/16B3748".
 */

/** Buffer size for the text form, with the terminating NUL. */
#define POSITION_TEXT_SIZE 40

struct position {
	uint32_t term;
	uint64_t lsn;
};

/**
 * struct term_switch - end of a term
 * @term: the term that ended
 * @end_lsn: LSN at which the next term began
 */
struct term_switch {
	uint32_t term;
	uint64_t end_lsn;
};

/**
 * struct term_history - where each past term of a cluster ended
 * @switches: struct term_switch, sorted by term
 */
struct term_history {
	GArray *switches;
};

void term_history_init(struct term_history *history);
void term_history_finish(struct term_history *history);

/**
 * term_history_add() - record the end of a term; a known term is ignored
 */
void term_history_add(struct term_history *history, uint32_t term,
		      uint64_t end_lsn);

/**
 * position_covers() - whether a log up to @have includes @needed
 * @history: ends of past terms, NULL if none is known
 * @have: position up to which the log was received
 * @needed: position that must be included
 *
 * A position past the end of its term was never acknowledged; it counts as
 * included once the log has reached the end of that term.
 */
bool position_covers(const struct term_history *history, struct position have,
		     struct position needed);

/**
 * position_compare() - order by term, then by LSN
 * Return: negative, zero or positive, like strcmp()
 */
int position_compare(struct position a, struct position b);

struct position position_max(struct position a, struct position b);

/**
 * lsn_parse() - parse "HIGH/LOW" in hexadecimal
 * @text: @len bytes, not necessarily NUL-terminated
 * Return: false if the text is not an LSN; @lsn is unchanged in this case
 */
bool lsn_parse(const char *text, size_t len, uint64_t *lsn);

/** position_parse() - parse the text form; false if @text is invalid */
bool position_parse(const char *text, struct position *pos);

/**
 * position_format() - write the text form
 * @buf: at least POSITION_TEXT_SIZE bytes
 * Return: @buf
 */
char *position_format(struct position pos, char *buf);

#endif
