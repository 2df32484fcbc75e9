#include "session_positions.h"

#include <string.h>
#include <xxhash.h>

uint64_t session_hash(const char *text)
{
	return XXH3_64bits(text, strlen(text));
}

/* The seed keeps "ab" + "c" apart from "a" + "bc". */
uint64_t cluster_hash(const char *service, const char *cluster)
{
	return XXH3_64bits_withSeed(cluster, strlen(cluster),
				    XXH3_64bits(service, strlen(service)));
}

static uint64_t score(const struct session_member *member, uint64_t session)
{
	return XXH3_64bits_withSeed(member->name, strlen(member->name),
				    session);
}

static bool taken(const struct session_member *members, const unsigned *owners,
		  unsigned nr, unsigned candidate, bool distinct_zone)
{
	unsigned i;

	for (i = 0; i < nr; i++) {
		if (owners[i] == candidate)
			return true;
		if (distinct_zone &&
		    !strcmp(members[owners[i]].availability_zone,
			    members[candidate].availability_zone))
			return true;
	}
	return false;
}

/* Highest score wins; the name decides between equal scores, so that the
 * order of the list does not matter. */
static bool find_best(const struct session_member *members, unsigned nr,
		      uint64_t session, const unsigned *owners,
		      unsigned nr_owners, bool distinct_zone, unsigned *best)
{
	uint64_t best_score = 0, current;
	bool found = false;
	unsigned i;

	for (i = 0; i < nr; i++) {
		if (taken(members, owners, nr_owners, i, distinct_zone))
			continue;
		current = score(&members[i], session);
		if (found &&
		    (current < best_score ||
		     (current == best_score &&
		      strcmp(members[i].name, members[*best].name) >= 0)))
			continue;
		best_score = current;
		*best = i;
		found = true;
	}
	return found;
}

unsigned session_owners(const struct session_member *members, unsigned nr,
			uint64_t session, unsigned *owners)
{
	unsigned nr_owners = 0;

	while (nr_owners < SESSION_OWNERS &&
	       (find_best(members, nr, session, owners, nr_owners, true,
			  &owners[nr_owners]) ||
		find_best(members, nr, session, owners, nr_owners, false,
			  &owners[nr_owners])))
		nr_owners++;
	return nr_owners;
}
