#ifndef POSITION_H
#define POSITION_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * DOC: Positions in a cluster's log.
 *
 * A position is a term (PostgreSQL: timeline) and a log position (PostgreSQL:
 * LSN, a byte offset). The text form is "TERM:HIGH/LOW", TERM decimal and
 * the LSN in PostgreSQL's hexadecimal notation, such as "3:0/16B3748".
 */

#define POSITION_TEXT_MAX 40

struct position {
	uint32_t term;
	uint64_t lsn;
};

/**
 * struct term_switch - where a term ended
 * @term: the term that ended
 * @end_lsn: log position at which the next term began
 */
struct term_switch {
	uint32_t term;
	uint64_t end_lsn;
};

/**
 * struct term_history - the ends of the past terms of one cluster
 * @switches: struct term_switch, ascending by term
 */
struct term_history {
	GArray *switches;
};

void term_history_init(struct term_history *history);
void term_history_finish(struct term_history *history);

/**
 * term_history_add() - record the end of a term; a repeated term is ignored
 */
void term_history_add(struct term_history *history, uint32_t term,
		      uint64_t end_lsn);

/**
 * position_holds() - whether a log that reached @have contains @needed
 * @history: ends of past terms, may be NULL when none is known
 * @have: position reached
 * @needed: position that must be contained
 *
 * A position past the end of its term was never acknowledged; it counts as
 * held once the end of that term is reached.
 */
bool position_holds(const struct term_history *history, struct position have,
		    struct position needed);

/**
 * position_compare() - order by term, then by log position
 * Return: negative, zero or positive as strcmp()
 */
int position_compare(struct position a, struct position b);

struct position position_max(struct position a, struct position b);

/**
 * lsn_parse() - parse "HIGH/LOW" in hexadecimal
 * @text: @len bytes, need not be terminated
 * Return: false if the text is not an LSN; @lsn is then unchanged
 */
bool lsn_parse(const char *text, size_t len, uint64_t *lsn);

bool position_parse(const char *text, struct position *pos);

/**
 * position_format() - write the text form
 * @buf: at least POSITION_TEXT_MAX bytes
 * Return: @buf
 */
char *position_format(struct position pos, char *buf);

#endif
