#include "peer_table.h"

static bool may_give_up(const struct peer_use *entry)
{
	return !entry->connected && !entry->needed;
}

int peer_table_victim(const struct peer_use *entries, unsigned nr)
{
	int victim = -1;
	unsigned i;

	for (i = 0; i < nr; i++)
		if (may_give_up(&entries[i]) &&
		    (victim < 0 ||
		     entries[i].last_used_us < entries[victim].last_used_us))
			victim = (int)i;
	return victim;
}

bool peer_is_forgotten(const struct peer_use *entries, unsigned nr,
		       unsigned index, int64_t now_us)
{
	unsigned connected = 0;
	unsigned i;

	for (i = 0; i < nr; i++)
		connected += entries[i].connected;
	return connected && may_give_up(&entries[index]) &&
	       now_us - entries[index].last_used_us > PEER_FORGET_AFTER_US;
}
