#include "placement.h"

static int64_t expected_cost_us(const struct placement_option *o)
{
	int64_t us = o->latency_us * (1 + (int64_t)o->busy);

	if (o->primary)
		us = us * PLACEMENT_PRIMARY_COST_PERCENT / 100;
	if (o->other_zone)
		us += PLACEMENT_CROSS_ZONE_COST_US;
	if (!o->idle)
		us += PLACEMENT_CONNECT_COST_US;
	return us;
}

int placement_choose(const struct placement_option *options, unsigned nr,
		     uint32_t random)
{
	int64_t best_us = INT64_MAX;
	int best = -1;
	unsigned i;

	for (i = 0; i < nr; i++) {
		unsigned index = (i + random % nr) % nr;
		const struct placement_option *o = &options[index];

		if (!o->usable || (!o->idle && !o->openable))
			continue;
		if (expected_cost_us(o) < best_us) {
			best_us = expected_cost_us(o);
			best = (int)index;
		}
	}
	return best;
}
