#ifndef URGENCY_H
#define URGENCY_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Order of the statements that wait for a connection.
 *
 * Pure functions. Under overload not all statements can meet their deadline.
 * Those that still can come first: by priority, then the cheaper ones, then
 * those with the least time left. Statements that will miss their deadline use
 * only the remaining capacity.
 */

/**
 * struct urgency - one waiting statement
 * @priority: 0 goes first
 * @remaining_us: time until the deadline of its client
 * @cost_us: expected execution time
 */
struct urgency {
	unsigned priority;
	int64_t remaining_us;
	int64_t cost_us;
};

/** urgency_meets_deadline() - whether it can be answered by its deadline */
bool urgency_meets_deadline(const struct urgency *u);

/** urgency_before() - whether @a should be served before @b */
bool urgency_before(const struct urgency *a, const struct urgency *b);

#endif
