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

struct candidate {
	unsigned index;
	uint64_t score;
};

/* The best members so far, best first. */
struct ranking {
	struct candidate best[SESSION_OWNERS];
	unsigned nr;
};

/* The name decides between equal scores, so that the order of the list does
 * not matter. */
static bool is_better(const struct session_member *members,
		      const struct candidate *a, const struct candidate *b)
{
	if (a->score != b->score)
		return a->score > b->score;
	return strcmp(members[a->index].name, members[b->index].name) < 0;
}

/* Puts @new in the place of entry @at and moves it up to its rank. */
static void place(const struct session_member *members, struct ranking *ranking,
		  unsigned at, struct candidate new)
{
	for (; at > 0 && is_better(members, &new, &ranking->best[at - 1]); at--)
		ranking->best[at] = ranking->best[at - 1];
	ranking->best[at] = new;
}

static void rank(const struct session_member *members, struct ranking *ranking,
		 struct candidate new)
{
	if (ranking->nr < SESSION_OWNERS)
		place(members, ranking, ranking->nr++, new);
	else if (is_better(members, &new, &ranking->best[ranking->nr - 1]))
		place(members, ranking, ranking->nr - 1, new);
}

/* As rank(), with at most one member of each zone. */
static void rank_by_zone(const struct session_member *members,
			 struct ranking *ranking, struct candidate new)
{
	const char *zone = members[new.index].availability_zone;
	unsigned i;

	for (i = 0; i < ranking->nr; i++) {
		if (strcmp(members[ranking->best[i].index].availability_zone,
			   zone))
			continue;
		if (is_better(members, &new, &ranking->best[i]))
			place(members, ranking, i, new);
		return;
	}
	rank(members, ranking, new);
}

/* Most members of a long list score too low for either ranking. */
static bool is_out(const struct ranking *ranking, uint64_t score)
{
	return ranking->nr == SESSION_OWNERS &&
	       score < ranking->best[SESSION_OWNERS - 1].score;
}

static bool contains(const unsigned *owners, unsigned nr, unsigned index)
{
	unsigned i;

	for (i = 0; i < nr; i++)
		if (owners[i] == index)
			return true;
	return false;
}

unsigned session_owners(const struct session_member *members, unsigned nr,
			uint64_t session, unsigned *owners)
{
	struct ranking zones = { .nr = 0 }, any = { .nr = 0 };
	struct candidate new;
	unsigned nr_owners = 0, i;

	for (i = 0; i < nr; i++) {
		new = (struct candidate){ i, score(&members[i], session) };
		if (is_out(&any, new.score) && is_out(&zones, new.score))
			continue;
		rank(members, &any, new);
		rank_by_zone(members, &zones, new);
	}
	for (i = 0; i < zones.nr; i++)
		owners[nr_owners++] = zones.best[i].index;
	for (i = 0; i < any.nr && nr_owners < SESSION_OWNERS; i++)
		if (!contains(owners, nr_owners, any.best[i].index))
			owners[nr_owners++] = any.best[i].index;
	return nr_owners;
}
