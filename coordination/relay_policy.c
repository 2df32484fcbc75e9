#include "relay_policy.h"

static bool is_reachable(const struct relay_option *o)
{
	if (o->failing)
		return false;
	return o->connected || !o->full;
}

bool relay_needed(const struct relay_option *options, unsigned nr,
		  unsigned nr_failing)
{
	unsigned i;

	for (i = 0; i < nr; i++)
		if (is_reachable(&options[i]))
			return false;
	return nr > 0 || nr_failing > 0;
}
