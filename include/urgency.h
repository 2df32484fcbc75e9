#ifndef URGENCY_H
#define URGENCY_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Order of the statements that wait for a connection.
 *
 * Pure. Answers the load in which not all can be served in time: those that
 * still can go first, of these the more important ones, the cheaper ones and
 * then the ones with the least time left. What is late already is served
 * with what is left over.
 */

/**
 * struct urgency - one waiting statement
 * @priority: 0 goes first
 * @left_us: time until the caller wants its answer
 * @cost_us: time that such a statement takes
 */
struct urgency {
	unsigned priority;
	int64_t left_us;
	int64_t cost_us;
};

/** urgency_in_time() - whether it can be answered when its caller wants it */
bool urgency_in_time(const struct urgency *u);

/** urgency_before() - whether @a is to be served before @b */
bool urgency_before(const struct urgency *a, const struct urgency *b);

#endif
