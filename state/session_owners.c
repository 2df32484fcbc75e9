#include "session_positions.h"

#include <string.h>
#include <xxhash.h>

uint64_t session_hash(const char *text)
{
	return XXH3_64bits(text, strlen(text));
}

/* The seed distinguishes "ab" + "c" from "a" + "bc". */
uint64_t session_cluster_hash(const char *service, const char *cluster)
{
	return XXH3_64bits_withSeed(cluster, strlen(cluster),
				    XXH3_64bits(service, strlen(service)));
}

static uint64_t member_score(const struct session_member *member,
			     uint64_t session)
{
	return XXH3_64bits_withSeed(member->name, strlen(member->name),
				    session);
}

struct candidate {
	unsigned index;
	uint64_t score;
};

/* Members with the highest scores so far, best first. */
struct ranking {
	struct candidate best[SESSION_OWNERS];
	unsigned nr;
};

/*
 * Equal scores are ordered by name, so that the result does not depend on the
 * order of the list.
 */
static bool is_better(const struct session_member *members,
		      const struct candidate *a, const struct candidate *b)
{
	if (a->score != b->score)
		return a->score > b->score;
	return strcmp(members[a->index].name, members[b->index].name) < 0;
}

/* Replaces the entry at @slot by @new and moves it up to its rank. */
static void insert_candidate(const struct session_member *members,
			     struct ranking *ranking, unsigned slot,
			     struct candidate new)
{
	for (; slot > 0 && is_better(members, &new, &ranking->best[slot - 1]);
	     slot--)
		ranking->best[slot] = ranking->best[slot - 1];
	ranking->best[slot] = new;
}

static void rank_candidate(const struct session_member *members,
			   struct ranking *ranking, struct candidate new)
{
	if (ranking->nr < SESSION_OWNERS)
		insert_candidate(members, ranking, ranking->nr++, new);
	else if (is_better(members, &new, &ranking->best[ranking->nr - 1]))
		insert_candidate(members, ranking, ranking->nr - 1, new);
}

/* As rank_candidate(), with at most one member of each availability zone. */
static void rank_candidate_by_zone(const struct session_member *members,
				   struct ranking *ranking,
				   struct candidate new)
{
	const char *zone = members[new.index].availability_zone;
	unsigned i;

	for (i = 0; i < ranking->nr; i++) {
		if (strcmp(members[ranking->best[i].index].availability_zone,
			   zone))
			continue;
		if (is_better(members, &new, &ranking->best[i]))
			insert_candidate(members, ranking, i, new);
		return;
	}
	rank_candidate(members, ranking, new);
}

/* Skips most members of a long list early: they enter neither ranking. */
static bool scores_too_low(const struct ranking *ranking, uint64_t score)
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

unsigned session_select_owners(const struct session_member *members,
			       unsigned nr, uint64_t session, unsigned *owners)
{
	struct ranking zone_ranking = { .nr = 0 },
		       overall_ranking = { .nr = 0 };
	struct candidate new;
	unsigned nr_owners = 0, i;

	for (i = 0; i < nr; i++) {
		new = (struct candidate){ i,
					  member_score(&members[i], session) };
		if (scores_too_low(&overall_ranking, new.score) &&
		    scores_too_low(&zone_ranking, new.score))
			continue;
		rank_candidate(members, &overall_ranking, new);
		rank_candidate_by_zone(members, &zone_ranking, new);
	}
	for (i = 0; i < zone_ranking.nr; i++)
		owners[nr_owners++] = zone_ranking.best[i].index;
	for (i = 0; i < overall_ranking.nr && nr_owners < SESSION_OWNERS; i++)
		if (!contains(owners, nr_owners, overall_ranking.best[i].index))
			owners[nr_owners++] = overall_ranking.best[i].index;
	return nr_owners;
}
