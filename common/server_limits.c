#include "server_limits.h"

/* What a connection costs besides the bytes it holds: its structures and the
 * buffers of the kernel. Without it, connections that hold nothing would never
 * be chosen. */
#define CONNECTION_COST_BYTES 4096

unsigned server_limits_share(uint64_t max_fds, unsigned sixteenths,
			     unsigned max)
{
	uint64_t usable = max_fds > SERVER_RESERVED_FDS ?
				  max_fds - SERVER_RESERVED_FDS :
				  0;
	/* More descriptors than this would overflow the multiplication. */
	uint64_t share = usable > UINT32_MAX ? max : usable * sixteenths / 16;

	if (share > max)
		return max;
	return share ? (unsigned)share : 1;
}

enum server_verdict server_limits_read(const struct server_limits *limits,
				       size_t held, size_t len)
{
	return held + len > limits->max_bytes ? SERVER_PAUSE : SERVER_READ;
}

enum server_verdict server_limits_begin(const struct server_limits *limits,
					size_t held, size_t len,
					unsigned nr_paused)
{
	if (server_limits_read(limits, held, len) == SERVER_READ)
		return SERVER_READ;
	return nr_paused < SERVER_MAX_PAUSED ? SERVER_PAUSE : SERVER_REFUSE;
}

bool server_limits_is_overdue(const struct server_limits *limits,
			      const struct server_holder *holder,
			      int64_t now_us)
{
	int64_t age_us = now_us - holder->since_us;

	switch (holder->phase) {
	case SERVER_HEADER:
		return age_us > limits->header_us;
	case SERVER_BODY:
		return age_us > limits->body_us;
	case SERVER_ANSWER:
		return age_us > limits->answer_us;
	case SERVER_HANDLER:
		break;
	}
	return false;
}

int server_limits_victim(const struct server_holder *holders, unsigned nr,
			 int64_t now_us)
{
	double most = 0;
	int victim = -1;
	unsigned i;

	for (i = 0; i < nr; i++) {
		const struct server_holder *h = &holders[i];
		int64_t age_us = now_us - h->since_us;
		double cost = ((double)h->bytes + CONNECTION_COST_BYTES) *
			      (double)age_us;

		if (h->phase == SERVER_HANDLER ||
		    age_us < SERVER_EVICT_MIN_AGE_US || cost <= most)
			continue;
		most = cost;
		victim = (int)i;
	}
	return victim;
}

static bool is_less_useful(const struct table_use *a, const struct table_use *b)
{
	if (a->gone != b->gone)
		return a->gone;
	return a->used_us < b->used_us;
}

int table_limits_victim(const struct table_use *entries, unsigned nr)
{
	int victim = -1;
	unsigned i;

	for (i = 0; i < nr; i++)
		if (!entries[i].in_use &&
		    (victim < 0 ||
		     is_less_useful(&entries[i], &entries[victim])))
			victim = (int)i;
	return victim;
}
