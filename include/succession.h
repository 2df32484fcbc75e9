#ifndef SUCCESSION_H
#define SUCCESSION_H

#include "position.h"

/**
 * DOC: Which upstreams led a service, and whether a log may lead it again.
 *
 * Does no I/O. Each control VM keeps one for each service and follows the
 * changes of primary in the agreed log, see primary_register.h, so that a new
 * leader knows of those before its election.
 *
 * A promoted upstream begins the next term with the log that it has. What other
 * logs hold beyond that point is discarded once they follow it. A log that was
 * not cut yet must not lead: reads have missed its commits, which would then be
 * back, and commits of the later terms would be lost.
 */

/**
 * struct succession - the primary of one service and those before it
 * @primary: id of the upstream that leads, NULL if unknown
 * @position: newest known end of its log, term 0 if unknown
 * @settled_position: newest end of its log noted once it was settled, term 0 if
 *                    there is none
 * @seen_us: when the caller saw that it leads
 * @index: index of the entry of the agreed log that the caller saw last
 * @base: end of its log when it was promoted, term 0 if unknown
 * @ended_term: newest term of any log at that time, 0 if unknown
 * @newest_term: newest term of any log
 * @replaced: set of the ids of former primaries
 * @requested: id of the upstream whose promotion was requested since the last
 *             change, NULL if there is none
 * @requested_position: end of its log at that time
 * @requested_term: newest term of any log at that time
 */
struct succession {
	char *primary;
	struct position position;
	struct position settled_position;
	int64_t seen_us;
	uint64_t index;
	struct position base;
	uint32_t ended_term;
	uint32_t newest_term;
	GHashTable *replaced;
	char *requested;
	struct position requested_position;
	uint32_t requested_term;
};

void succession_init(struct succession *s);
void succession_finish(struct succession *s);

/**
 * succession_restore() - continue with what was known before a restart
 * @primary: id of the upstream that led
 * @base: end of its log when it was promoted, term 0 if unknown
 * @ended_term: newest term of any log at that time, 0 if unknown
 */
void succession_restore(struct succession *s, const char *primary,
			struct position base, uint32_t ended_term);

/** succession_restore_replaced() - @id led before the present primary */
void succession_restore_replaced(struct succession *s, const char *id);

/**
 * succession_set_newest_term() - tell the newest term of any log
 *
 * It falls when the upstream that held it is forgotten. Otherwise an upstream
 * that is lost for good could keep all others from leading.
 */
void succession_set_newest_term(struct succession *s, uint32_t term);

/**
 * succession_note_position() - the log of @id ends at @position
 * @settled: whether it has been seen to lead for longer than outdated positions
 *           are reported
 *
 * Remembered for the primary, whose reports may end before it is replaced. A
 * primary extends its log only in the term that it leads, so progress once it
 * is settled shows that this term had not ended before.
 */
void succession_note_position(struct succession *s, const char *id,
			      struct position position, bool settled);

/**
 * succession_request() - the promotion of @id was ordered
 * @position: last known end of its log at that time
 * @newest_term: newest term of any log at that time
 */
void succession_request(struct succession *s, const char *id,
			struct position position, uint32_t newest_term);

/**
 * succession_change() - @id is the primary from now on
 * @position: last known end of its log, term 0 if unknown
 * @former: last known end of the log of the primary before it, term 0 if there
 *          is no newer one than the position noted
 *
 * Does nothing if it was the primary already.
 */
void succession_change(struct succession *s, const char *id,
		       struct position position, struct position former);

/**
 * succession_diverged() - whether the log of @id may hold commits that the
 *                         primary does not have
 * @position: last known end of its log, term 0 if unknown
 */
bool succession_diverged(const struct succession *s, const char *id,
			 struct position position);

#endif
