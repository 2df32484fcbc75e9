#include "link_eviction.h"

static bool is_missed_less(const struct eviction_option *a,
			   const struct eviction_option *b)
{
	if (a->own != b->own)
		return a->own;
	if (a->spare != b->spare)
		return a->spare;
	return a->idle_since_us < b->idle_since_us;
}

int link_eviction_choose(const struct eviction_option *options, unsigned nr)
{
	int best = -1;
	unsigned i;

	for (i = 0; i < nr; i++)
		if (options[i].usable &&
		    (best < 0 || is_missed_less(&options[i], &options[best])))
			best = (int)i;
	return best;
}
