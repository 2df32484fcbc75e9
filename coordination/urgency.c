#include "urgency.h"

/* Costs that differ by less than this ratio are equal, percent. */
#define SIMILAR_COST_PERCENT 130

bool urgency_meets_deadline(const struct urgency *u)
{
	return u->remaining_us >= u->cost_us;
}

static bool is_cheaper(const struct urgency *a, const struct urgency *b)
{
	return a->cost_us * SIMILAR_COST_PERCENT < b->cost_us * 100;
}

bool urgency_before(const struct urgency *a, const struct urgency *b)
{
	bool a_in_time = urgency_meets_deadline(a);

	if (a_in_time != urgency_meets_deadline(b))
		return a_in_time;
	if (a->priority != b->priority)
		return a->priority < b->priority;
	if (is_cheaper(a, b) || is_cheaper(b, a))
		return is_cheaper(a, b);
	return a->remaining_us < b->remaining_us;
}
