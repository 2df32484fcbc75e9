#include "directory_fixture.h"
#include "test_main.h"

static struct upstream_directory dir;

static struct upstream *at(int handle)
{
	return directory_upstream_at(&dir, handle);
}

/* Guards against an upstream moving to another cluster under the same name. */
START_TEST(test_contradiction_is_refused)
{
	struct upstream_announcement ann = fixture_announcement("a");

	fixture_cluster(&dir, 0);
	ann.cluster = "east";
	ck_assert_int_eq(directory_record_announcement(&dir, &ann, 0, SECOND),
			 UPSTREAM_NONE);
	ann = fixture_announcement("a");
	ann.database = "other";
	ck_assert_int_eq(directory_record_announcement(&dir, &ann, 0, SECOND),
			 UPSTREAM_NONE);
	ck_assert_int_eq(at(1)->announced_us, 0);
	ck_assert_int_eq(dir.upstreams->len, 3);
	directory_finish(&dir);
}
END_TEST

/* Guards against a relayed announcement undoing a newer "leaving". */
START_TEST(test_stale_relay_is_refused)
{
	struct upstream_announcement ann = fixture_announcement("a");

	fixture_cluster(&dir, 0);
	ann.leaving = true;
	ck_assert_int_eq(
		directory_record_announcement(&dir, &ann, 0, 4 * SECOND), 1);
	ann.leaving = false;
	ck_assert_int_eq(directory_record_announcement(&dir, &ann, 2 * SECOND,
						       5 * SECOND),
			 UPSTREAM_NONE);
	ck_assert(at(1)->leaving);
	ann.name = ann.database = "new";
	ck_assert_int_eq(directory_record_announcement(&dir, &ann, 16 * SECOND,
						       20 * SECOND),
			 UPSTREAM_NONE);
	ck_assert_int_eq(directory_find_upstream(&dir, "new"), UPSTREAM_NONE);
	directory_finish(&dir);
}
END_TEST

/* Guards against an upstream becoming primary by its own announcement. */
START_TEST(test_only_the_leader_names_the_primary)
{
	struct upstream_announcement ann = fixture_announcement("a");

	fixture_cluster(&dir, 0);
	ann.primary = true;
	directory_record_announcement(&dir, &ann, 0, SECOND);
	ck_assert_int_eq(directory_cluster_at(&dir, 0)->primary, 0);
	directory_set_primary(&dir, 0, "p", 1, true);
	ck_assert_int_eq(directory_cluster_at(&dir, 0)->primary, UPSTREAM_NONE);
	directory_set_primary(&dir, 0, "c", 2, false);
	ck_assert_int_eq(directory_cluster_at(&dir, 0)->primary, UPSTREAM_NONE);
	directory_set_primary(&dir, 0, "p", 1, false);
	ck_assert_uint_eq(directory_cluster_at(&dir, 0)->term, 2);
	ann = fixture_announcement("c");
	ck_assert_int_eq(directory_record_announcement(&dir, &ann, 0, SECOND),
			 3);
	ck_assert_int_eq(directory_cluster_at(&dir, 0)->primary, 3);
	directory_finish(&dir);
}
END_TEST

/* Guards against freshness being measured from the arrival of an answer. */
START_TEST(test_newest_held_sample_gives_freshness)
{
	fixture_cluster(&dir, 0);
	fixture_note_position(&dir, 0, 100, 10 * MS, 12 * MS);
	fixture_note_position(&dir, 0, 200, 20 * MS, 22 * MS);
	fixture_note_position(&dir, 0, 300, 30 * MS, 32 * MS);
	fixture_note_position(&dir, 1, 250, 40 * MS, 41 * MS);
	ck_assert_int_eq(at(1)->fresh_as_of_us, 20 * MS);
	fixture_note_position(&dir, 1, 300, 50 * MS, 51 * MS);
	ck_assert_int_eq(at(1)->fresh_as_of_us, 30 * MS);
	/* An idle primary keeps a caught-up replica fresh. */
	fixture_note_position(&dir, 0, 300, 90 * MS, 91 * MS);
	ck_assert_int_eq(at(1)->fresh_as_of_us, 90 * MS);
	ck_assert_int_eq(at(2)->fresh_as_of_us, INT64_MIN);
	/* A late answer to an earlier query does not prove later freshness. */
	fixture_note_position(&dir, 0, 300, 60 * MS, 95 * MS);
	fixture_note_position(&dir, 2, 300, 96 * MS, 97 * MS);
	ck_assert_int_eq(at(2)->fresh_as_of_us, 90 * MS);
	directory_finish(&dir);
}
END_TEST

/* Guards against freshness being proved by a primary that was replaced. */
START_TEST(test_samples_need_lease_and_primary)
{
	struct position pos = { 1, 100 };

	fixture_cluster(&dir, 0);
	fixture_note_position(&dir, 1, 100, 0, 1);
	directory_record_position(&dir, 0, false, pos, pos, 10, 20, false);
	ck_assert_int_eq(at(1)->fresh_as_of_us, INT64_MIN);
	directory_record_position(&dir, 2, false, pos, pos, 10, 20, true);
	ck_assert_int_eq(at(1)->fresh_as_of_us, INT64_MIN);
	directory_record_position(&dir, 0, true, pos, pos, 30, 40, true);
	ck_assert_int_eq(at(1)->fresh_as_of_us, INT64_MIN);
	directory_set_primary(&dir, 0, "p", 2, false);
	directory_record_position(&dir, 0, false, pos, pos, 50, 60, true);
	ck_assert_int_eq(at(1)->fresh_as_of_us, INT64_MIN);
	pos.term = 2;
	directory_record_position(&dir, 0, false, pos, pos, 70, 80, true);
	ck_assert_int_eq(at(0)->fresh_as_of_us, 70);
	directory_finish(&dir);
}
END_TEST

/*
 * Guards against an outdated answer from a slow connection undoing progress,
 * and against a rebuilt database keeping its earlier freshness.
 */
START_TEST(test_crossed_answers_and_rebuild)
{
	struct position received = { 1, 160 }, older = { 1, 155 };
	struct position replayed = { 1, 150 };

	fixture_cluster(&dir, 0);
	fixture_note_position(&dir, 0, 100, 0, 1);
	directory_record_position(&dir, 1, true, received, replayed, 10, 20,
				  true);
	directory_record_position(&dir, 1, true, older, replayed, 8, 25, true);
	ck_assert_uint_eq(at(1)->received.lsn, 160);
	fixture_note_position(&dir, 1, 120, 5, 30);
	ck_assert_uint_eq(at(1)->replayed.lsn, 150);
	ck_assert_int_eq(at(1)->fresh_as_of_us, 0);
	fixture_note_position(&dir, 1, 50, 40, 50);
	ck_assert_uint_eq(at(1)->replayed.lsn, 50);
	ck_assert_int_eq(at(1)->fresh_as_of_us, INT64_MIN);
	directory_finish(&dir);
}
END_TEST

/*
 * Guards against samples that do not reach back far enough for a replica
 * seconds behind, or are too coarse for one milliseconds behind.
 */
START_TEST(test_samples_reach_back)
{
	int64_t now;

	fixture_cluster(&dir, 0);
	for (now = 0; now <= 20 * SECOND; now += MS)
		fixture_note_position(&dir, 0, 1000 + now, now, now);
	now = 20 * SECOND;
	fixture_note_position(&dir, 1, 1000 + now - 9 * SECOND, now, now);
	ck_assert_int_ge(at(1)->fresh_as_of_us, now - 11 * SECOND);
	fixture_note_position(&dir, 2, 1000 + now - 10 * MS, now, now);
	ck_assert_int_ge(at(2)->fresh_as_of_us, now - 13 * MS);
	directory_finish(&dir);
}
END_TEST

/* Guards against reads from a former primary with log past its term's end. */
START_TEST(test_divergence)
{
	struct cluster *cl;

	fixture_cluster(&dir, 0);
	fixture_note_position(&dir, 1, 500, 0, 1);
	cl = directory_cluster_at(&dir, 0);
	ck_assert(!directory_has_diverged(&dir, 1));
	term_history_add(&cl->history, 1, 450);
	ck_assert(directory_has_diverged(&dir, 1));
	directory_set_primary(&dir, 0, "p", 2, false);
	fixture_note_position(&dir, 1, 460, 10, 20);
	ck_assert(!directory_has_diverged(&dir, 1));
	directory_finish(&dir);
}
END_TEST

/* Guards against using an upstream that no longer announces or answers. */
START_TEST(test_expiry_and_probes)
{
	fixture_cluster(&dir, 0);
	ck_assert(directory_is_current(&dir, 1, 15 * SECOND));
	ck_assert(!directory_is_current(&dir, 1, 15 * SECOND + 1));
	directory_record_probe(&dir, 1, false, SECOND);
	directory_record_probe(&dir, 1, false, SECOND);
	ck_assert(at(1)->reachable);
	directory_record_probe(&dir, 1, false, SECOND);
	ck_assert(!at(1)->reachable);
	directory_record_probe(&dir, 1, true, 20 * SECOND);
	ck_assert(at(1)->reachable);
	ck_assert_int_eq(at(1)->ramp_start_us, 20 * SECOND);
	ck_assert(directory_is_current(&dir, 1, 30 * SECOND));
	directory_finish(&dir);
}
END_TEST

TEST_MAIN("upstream_directory", test_contradiction_is_refused,
	  test_stale_relay_is_refused, test_only_the_leader_names_the_primary,
	  test_newest_held_sample_gives_freshness,
	  test_samples_need_lease_and_primary, test_crossed_answers_and_rebuild,
	  test_samples_reach_back, test_divergence, test_expiry_and_probes)
