#include "session_positions.h"
#include "test_main.h"

#include <string.h>
#include <xxhash.h>

#define SECOND 1000000ll

static struct session_positions sp;
static struct session_answer answer;

static struct position pos(uint64_t lsn)
{
	return (struct position){ 1, lsn };
}

/* Sets up an owner whose record is complete since @now_us. */
static void setup(unsigned capacity, int64_t now_us)
{
	session_positions_init(&sp, capacity, 30 * SECOND, now_us);
	session_positions_change_members(&sp, 1, now_us - 2 * SECOND,
					 SESSION_MEMBERS_GRACE_US);
	sp.complete_since_us = now_us;
}

/* Guards against an older write overwriting the position of a newer one. */
START_TEST(test_keeps_the_largest)
{
	setup(8, 0);
	ck_assert(session_positions_store(&sp, 1, 2, pos(20), 1, 10));
	ck_assert(session_positions_store(&sp, 1, 2, pos(10), 1, 20));
	ck_assert(session_positions_lookup(&sp, 1, 2, 1, 30, &answer));
	ck_assert(answer.found);
	ck_assert_uint_eq(answer.pos.lsn, 20);
	ck_assert(session_positions_lookup(&sp, 1, 3, 1, 30, &answer));
	ck_assert(!answer.found);
	ck_assert_int_eq(answer.complete_for_us, 30);
	/* The hash function of the table gives this cluster the same hash. */
	session_positions_lookup(&sp, 1, 2 + (1ull << 32), 1, 30, &answer);
	ck_assert(!answer.found);
	session_positions_finish(&sp);
}
END_TEST

/*
 * Guards against an evicted position being reported as "no write", which would
 * allow stale reads.
 */
START_TEST(test_eviction_shortens_completeness)
{
	setup(2, 0);
	session_positions_store(&sp, 1, 0, pos(1), 1, 10);
	session_positions_store(&sp, 2, 0, pos(2), 1, 20);
	session_positions_store(&sp, 1, 0, pos(3), 1, 30);
	session_positions_store(&sp, 3, 0, pos(4), 1, 40);
	session_positions_lookup(&sp, 2, 0, 1, 50, &answer);
	ck_assert(!answer.found);
	/* Session 2 was stored at 20; all later positions are held. */
	ck_assert_int_eq(answer.complete_for_us, 29);
	session_positions_lookup(&sp, 1, 0, 1, 50, &answer);
	ck_assert(answer.found);
	session_positions_finish(&sp);
}
END_TEST

/* Guards against a record counting as complete beyond its retention time. */
START_TEST(test_retention)
{
	setup(8, 0);
	session_positions_store(&sp, 1, 0, pos(1), 1, SECOND);
	session_positions_lookup(&sp, 1, 0, 1, 31 * SECOND, &answer);
	ck_assert(answer.found);
	ck_assert_int_eq(answer.complete_for_us, 30 * SECOND);
	session_positions_lookup(&sp, 1, 0, 1, 31 * SECOND + 1, &answer);
	ck_assert(!answer.found);
	ck_assert_int_eq(answer.complete_for_us, 30 * SECOND);
	ck_assert_uint_eq(sp.entries_by_age->length, 0);
	session_positions_finish(&sp);
}
END_TEST

/* Guards against owners with different member lists answering one request. */
START_TEST(test_member_version)
{
	setup(8, 0);
	session_positions_store(&sp, 1, 0, pos(1), 1, 10);
	session_positions_change_members(&sp, 2, 20, SESSION_MEMBERS_GRACE_US);
	ck_assert(!session_positions_store(&sp, 1, 0, pos(2), 1, 30));
	ck_assert(!session_positions_lookup(&sp, 1, 0, 1, 30, &answer));
	ck_assert(session_positions_lookup(&sp, 1, 0, 2, 30, &answer));
	ck_assert(answer.found);
	ck_assert_int_eq(answer.complete_for_us, 0);
	session_positions_finish(&sp);
}
END_TEST

/*
 * Guards against an owner with the new member list counting as complete while
 * another daemon may still store positions at the owners of the old list, until
 * its lease ends.
 */
START_TEST(test_member_change_covers_old_leases)
{
	setup(8, 0);
	session_positions_change_members(&sp, 2, 10 * SECOND,
					 SESSION_MEMBERS_GRACE_US);
	session_positions_lookup(&sp, 1, 0, 2, 11 * SECOND, &answer);
	ck_assert_int_eq(answer.complete_for_us, 0);
	session_positions_lookup(&sp, 1, 0, 2, 12 * SECOND, &answer);
	ck_assert_int_le(answer.complete_for_us, 12 * SECOND - 11200000);
	ck_assert_int_gt(answer.complete_for_us, 0);
	session_positions_change_members(&sp, 2, 20 * SECOND,
					 SESSION_MEMBERS_GRACE_US);
	session_positions_lookup(&sp, 1, 0, 2, 20 * SECOND, &answer);
	ck_assert_int_gt(answer.complete_for_us, 8 * SECOND);
	session_positions_finish(&sp);
}
END_TEST

/* Guards against a read majority that may not overlap the write majority. */
START_TEST(test_quorum)
{
	struct session_answer none = { false, { 0, 0 }, 500 };
	struct session_answer old = { true, { 1, 10 }, 900 };
	struct session_answer newer = { true, { 1, 20 }, 700 };
	struct session_quorum quorum;

	session_quorum_init(&quorum, 3);
	session_quorum_add_answer(&quorum, &old);
	ck_assert(!session_quorum_reached(&quorum));
	session_quorum_add_answer(&quorum, &none);
	ck_assert(session_quorum_reached(&quorum));
	session_quorum_add_answer(&quorum, &newer);
	ck_assert(quorum.merged.found);
	ck_assert_uint_eq(quorum.merged.pos.lsn, 20);
	ck_assert_int_eq(quorum.merged.complete_for_us, 500);
	session_quorum_init(&quorum, 3);
	session_quorum_add_refusal(&quorum);
	ck_assert(!session_quorum_failed(&quorum));
	session_quorum_add_refusal(&quorum);
	ck_assert(session_quorum_failed(&quorum));
	session_quorum_init(&quorum, 2);
	session_quorum_add_answer(&quorum, &old);
	ck_assert(!session_quorum_reached(&quorum));
	session_quorum_init(&quorum, 0);
	ck_assert(session_quorum_failed(&quorum));
}
END_TEST

/*
 * Guards against losing more than one owner with one availability zone, and
 * against owners that depend on the order of the list.
 */
START_TEST(test_owners)
{
	struct session_member members[] = { { "d1", "a" }, { "d2", "a" },
					    { "d3", "b" }, { "d4", "b" },
					    { "d5", "c" }, { "d6", "c" } };
	struct session_member reversed[6];
	unsigned owners[SESSION_OWNERS], others[SESSION_OWNERS], i;
	uint64_t session;

	for (i = 0; i < 6; i++)
		reversed[i] = members[5 - i];
	for (session = 0; session < 200; session++) {
		ck_assert_uint_eq(
			session_select_owners(members, 6, session, owners), 3);
		ck_assert_uint_ne(owners[0] / 2, owners[1] / 2);
		ck_assert_uint_ne(owners[0] / 2, owners[2] / 2);
		ck_assert_uint_ne(owners[1] / 2, owners[2] / 2);
		session_select_owners(reversed, 6, session, others);
		for (i = 0; i < 3; i++)
			ck_assert_uint_eq(others[i], 5 - owners[i]);
	}
	ck_assert_uint_eq(session_select_owners(members, 2, 1, owners), 2);
	ck_assert_uint_ne(owners[0], owners[1]);
	ck_assert_uint_eq(session_select_owners(members, 0, 1, owners), 0);
}
END_TEST

/* Guards against a removed member changing the owners of unrelated sessions. */
START_TEST(test_owners_move_little)
{
	struct session_member members[12];
	char names[12][8];
	unsigned before[SESSION_OWNERS], after[SESSION_OWNERS], moved = 0, i;
	uint64_t session;

	for (i = 0; i < 12; i++) {
		g_snprintf(names[i], sizeof(names[i]), "d%u", i);
		members[i] = (struct session_member){ names[i], "a" };
	}
	for (session = 0; session < 1000; session++) {
		session_select_owners(members, 12, session, before);
		session_select_owners(members, 11, session, after);
		for (i = 0; i < 3; i++)
			if (before[i] == 11)
				break;
		if (i == 3)
			for (i = 0; i < 3; i++)
				ck_assert_uint_eq(before[i], after[i]);
		else
			moved++;
	}
	ck_assert_uint_gt(moved, 200);
	ck_assert_uint_lt(moved, 300);
}
END_TEST

/*
 * Chooses owner by owner the remaining member with the highest score, from a
 * zone without an owner if there is one.
 */
static unsigned naive_owners(const struct session_member *members, unsigned nr,
			     const uint64_t *scores, unsigned *owners)
{
	unsigned found, i, k, wanted_new;
	bool used, same;
	int best;

	for (found = 0; found < SESSION_OWNERS && found < nr; found++) {
		best = -1;
		for (wanted_new = 1; best < 0; wanted_new--) {
			for (i = 0; i < nr; i++) {
				used = same = false;
				for (k = 0; k < found; k++) {
					used |= owners[k] == i;
					same |= members[owners[k]]
							.availability_zone ==
						members[i].availability_zone;
				}
				if (!used && !(wanted_new && same) &&
				    (best < 0 || scores[i] > scores[best]))
					best = i;
			}
			if (!wanted_new)
				break;
		}
		owners[found] = best;
	}
	return found;
}

/* Guards against the single-pass choice differing from the definition. */
START_TEST(test_owners_against_definition)
{
	static const char *const zones[] = { "a", "b", "c", "d" };
	struct session_member members[40];
	char names[40][8];
	uint64_t scores[40], session;
	unsigned owners[SESSION_OWNERS], naive[SESSION_OWNERS], nr, i;

	for (session = 0; session < 3000; session++) {
		nr = session % 41;
		for (i = 0; i < nr; i++) {
			g_snprintf(names[i], sizeof(names[i]), "vm%u", i);
			members[i] = (struct session_member){
				names[i],
				zones[(session / 41 * 7 + i * i) %
				      (1 + session % 4)],
			};
			scores[i] = XXH3_64bits_withSeed(
				names[i], strlen(names[i]), session);
		}
		ck_assert_uint_eq(session_select_owners(members, nr, session,
							owners),
				  naive_owners(members, nr, scores, naive));
		for (i = 0; i < MIN(nr, SESSION_OWNERS); i++)
			ck_assert_uint_eq(owners[i], naive[i]);
	}
}
END_TEST

/* Guards against different names that always share one hash. */
START_TEST(test_hashes)
{
	ck_assert(session_cluster_hash("ab", "c") !=
		  session_cluster_hash("a", "bc"));
	ck_assert(session_cluster_hash("a", "b") !=
		  session_cluster_hash("b", "a"));
	ck_assert(session_hash("x") != session_hash("y"));
}
END_TEST

TEST_MAIN("session_positions", test_keeps_the_largest,
	  test_eviction_shortens_completeness, test_retention,
	  test_member_version, test_member_change_covers_old_leases,
	  test_quorum, test_owners, test_owners_move_little,
	  test_owners_against_definition, test_hashes)
