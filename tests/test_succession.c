#include "succession.h"
#include "test_main.h"

static struct succession s;

static struct position at(uint32_t term, uint64_t number)
{
	return (struct position){ term, number };
}

static void start(const char *primary)
{
	succession_init(&s);
	succession_change(&s, primary, at(1, 50), at(0, 0));
	succession_set_newest_term(&s, 1);
}

/* The promotion of @id at @position, requested by this VM. */
static void promote(const char *id, struct position position,
		    struct position former)
{
	succession_request(&s, id, position, s.newest_term);
	succession_change(&s, id, position, former);
}

/* Guards against a former primary that continued alone behind a partition and
 * is promoted: its commits came back after reads had missed them. */
START_TEST(test_former_primary)
{
	start("a");
	promote("b", at(1, 79), at(1, 80));
	ck_assert(succession_diverged(&s, "a", at(1, 109)));
	ck_assert(!succession_diverged(&s, "a", at(1, 79)));
	succession_set_newest_term(&s, 2);
	ck_assert(succession_diverged(&s, "a", at(1, 109)));
	ck_assert(!succession_diverged(&s, "a", at(1, 79)));
	ck_assert(!succession_diverged(&s, "a", at(2, 85)));
	/* It also replicated to another upstream. */
	ck_assert(succession_diverged(&s, "c", at(1, 109)));
	ck_assert(!succession_diverged(&s, "c", at(2, 85)));
	succession_finish(&s);
}
END_TEST

/* Guards against taking a log for the primary's because no position of it is
 * known. */
START_TEST(test_unknown_position)
{
	start("a");
	promote("b", at(1, 79), at(1, 80));
	ck_assert(succession_diverged(&s, "a", at(0, 0)));
	ck_assert(succession_diverged(&s, "c", at(0, 0)));
	succession_finish(&s);
	/* Nothing is known of any log. */
	succession_init(&s);
	ck_assert(!succession_diverged(&s, "c", at(0, 0)));
	succession_finish(&s);
}
END_TEST

/* Guards against a former primary that is promoted with commits that its
 * successor lacked, after it came back under another id. */
START_TEST(test_former_primary_under_other_id)
{
	start("a");
	promote("b", at(1, 104), at(1, 131));
	succession_set_newest_term(&s, 2);
	ck_assert(succession_diverged(&s, "d", at(0, 0)));
	ck_assert(succession_diverged(&s, "d", at(1, 131)));
	ck_assert(!succession_diverged(&s, "d", at(2, 140)));
	succession_finish(&s);
}
END_TEST

/* Guards against a former primary that is promoted with commits that its
 * successor lacked, after a restart of all control VMs. */
START_TEST(test_restored)
{
	succession_init(&s);
	succession_restore(&s, "b", at(1, 106), 1);
	succession_restore_replaced(&s, "a");
	succession_change(&s, "b", at(0, 0), at(0, 0));
	succession_set_newest_term(&s, 1);
	ck_assert(succession_diverged(&s, "a", at(1, 149)));
	ck_assert(succession_diverged(&s, "d", at(1, 149)));
	ck_assert(!succession_diverged(&s, "c", at(1, 106)));
	succession_finish(&s);
}
END_TEST

/* Guards against a control leader that was not elected yet when the primary
 * changed and promotes the former one. */
START_TEST(test_promotion_of_other_leader)
{
	start("a");
	succession_change(&s, "b", at(1, 79), at(1, 80));
	ck_assert(succession_diverged(&s, "a", at(1, 109)));
	ck_assert(!succession_diverged(&s, "a", at(1, 79)));
	succession_finish(&s);
	/* The new primary has committed already. */
	start("a");
	succession_change(&s, "b", at(2, 83), at(1, 80));
	succession_set_newest_term(&s, 2);
	ck_assert(succession_diverged(&s, "a", at(1, 109)));
	ck_assert(!succession_diverged(&s, "a", at(2, 90)));
	ck_assert(!succession_diverged(&s, "c", at(2, 90)));
	succession_finish(&s);
	/* No position of the new primary was reported before it was lost. */
	start("a");
	succession_change(&s, "b", at(0, 0), at(1, 80));
	ck_assert(succession_diverged(&s, "a", at(1, 109)));
	ck_assert(!succession_diverged(&s, "c", at(1, 79)));
	succession_finish(&s);
}
END_TEST

/* Guards against a former primary that counts as the present one because the
 * answer to the promotion of its successor was lost. */
START_TEST(test_lost_answer)
{
	start("b");
	promote("a", at(1, 79), at(1, 79));
	succession_set_newest_term(&s, 2);
	/* No answer; b says that it is the primary. */
	succession_request(&s, "b", at(2, 90), s.newest_term);
	succession_change(&s, "b", at(2, 90), at(2, 91));
	ck_assert(succession_diverged(&s, "a", at(2, 120)));
	ck_assert(!succession_diverged(&s, "a", at(2, 90)));
	succession_set_newest_term(&s, 3);
	ck_assert(!succession_diverged(&s, "a", at(3, 95)));
	succession_finish(&s);
}
END_TEST

/* Guards against a primary of an old term that lacks the newest one: the log of
 * its predecessor ends in a term that it never held. */
START_TEST(test_successor_lacks_last_term)
{
	start("a");
	promote("b", at(1, 60), at(1, 60));
	succession_set_newest_term(&s, 2);
	promote("c", at(1, 55), at(2, 99));
	ck_assert(succession_diverged(&s, "b", at(2, 99)));
	ck_assert(succession_diverged(&s, "a", at(2, 98)));
	ck_assert(succession_diverged(&s, "a", at(1, 60)));
	ck_assert(!succession_diverged(&s, "a", at(1, 55)));
	succession_set_newest_term(&s, 3);
	ck_assert(!succession_diverged(&s, "b", at(3, 57)));
	succession_finish(&s);
}
END_TEST

/* Guards against a request of long ago that is taken for the promotion that took
 * effect, with the end of the log at that time. */
START_TEST(test_outdated_request)
{
	/* It took effect late, after commits of a further term. */
	start("a");
	succession_request(&s, "b", at(1, 79), s.newest_term);
	succession_set_newest_term(&s, 2);
	succession_change(&s, "b", at(2, 140), at(2, 149));
	ck_assert(succession_diverged(&s, "a", at(2, 150)));
	ck_assert(!succession_diverged(&s, "c", at(2, 139)));
	succession_finish(&s);
	/* The primary changed otherwise in between. */
	start("a");
	succession_request(&s, "b", at(1, 79), s.newest_term);
	succession_change(&s, "c", at(1, 90), at(1, 91));
	succession_change(&s, "b", at(1, 95), at(0, 0));
	ck_assert(succession_diverged(&s, "c", at(1, 120)));
	ck_assert(succession_diverged(&s, "a", at(0, 0)));
	succession_finish(&s);
}
END_TEST

/* Guards against a service without any candidate: the former primary is not
 * reported any more, and its successor has committed before the change is seen. */
START_TEST(test_unknown_former_primary)
{
	start("a");
	succession_set_newest_term(&s, 2);
	succession_change(&s, "b", at(2, 83), at(0, 0));
	ck_assert(!succession_diverged(&s, "c", at(2, 90)));
	ck_assert(succession_diverged(&s, "c", at(1, 109)));
	ck_assert(succession_diverged(&s, "a", at(1, 109)));
	ck_assert(!succession_diverged(&s, "a", at(2, 90)));
	/* Its successor is not reported any more either. */
	succession_note_position(&s, "b", at(2, 140), true);
	succession_change(&s, "c", at(2, 120), at(0, 0));
	ck_assert(succession_diverged(&s, "b", at(2, 140)));
	ck_assert(!succession_diverged(&s, "d", at(2, 120)));
	succession_finish(&s);
}
END_TEST

/* Guards against a service without any candidate: a VM that was away sees the
 * change when the former primary follows the new one already. */
START_TEST(test_change_seen_late)
{
	start("a");
	succession_change(&s, "b", at(2, 83), at(2, 85));
	succession_set_newest_term(&s, 2);
	/* This might be the end of the term that a led. */
	succession_note_position(&s, "b", at(2, 88), false);
	ck_assert(succession_diverged(&s, "c", at(2, 89)));
	ck_assert(!succession_diverged(&s, "c", at(2, 88)));
	succession_note_position(&s, "b", at(2, 88), true);
	ck_assert(succession_diverged(&s, "c", at(2, 89)));
	/* It commits in this term, so the replicas follow it. */
	succession_note_position(&s, "b", at(2, 95), true);
	ck_assert(!succession_diverged(&s, "c", at(2, 97)));
	ck_assert(!succession_diverged(&s, "a", at(2, 97)));
	ck_assert(succession_diverged(&s, "a", at(1, 109)));
	succession_finish(&s);
}
END_TEST

/* Guards against a service without any candidate after a new primary fails
 * before its first commit: its log was longer than known when it was promoted. */
START_TEST(test_longer_log_than_known)
{
	start("a");
	promote("b", at(1, 79), at(1, 80));
	succession_note_position(&s, "b", at(1, 85), false);
	ck_assert(!succession_diverged(&s, "c", at(1, 85)));
	ck_assert(succession_diverged(&s, "a", at(1, 86)));
	succession_note_position(&s, "b", at(2, 86), true);
	ck_assert(succession_diverged(&s, "a", at(1, 86)));
	succession_finish(&s);
	/* It was not known at all. */
	start("a");
	succession_change(&s, "b", at(0, 0), at(1, 80));
	succession_note_position(&s, "b", at(1, 79), true);
	ck_assert(succession_diverged(&s, "c", at(1, 80)));
	ck_assert(!succession_diverged(&s, "c", at(1, 79)));
	succession_finish(&s);
}
END_TEST

/* Guards against a former primary that is promoted with commits that its
 * successor lacked: no daemon reported the successor until long after the change,
 * and its log was longer than known. */
START_TEST(test_late_report_of_primary)
{
	start("a");
	promote("b", at(1, 79), at(1, 80));
	succession_note_position(&s, "b", at(1, 85), true);
	ck_assert(succession_diverged(&s, "a", at(1, 109)));
	ck_assert(!succession_diverged(&s, "c", at(1, 85)));
	succession_finish(&s);
}
END_TEST

/* Guards against a VM that knows of no change and promotes a log of an older
 * term, and against one that finds no candidate although no primary changed. */
START_TEST(test_nothing_known)
{
	start("b");
	succession_set_newest_term(&s, 2);
	ck_assert(succession_diverged(&s, "a", at(1, 109)));
	ck_assert(!succession_diverged(&s, "a", at(2, 80)));
	ck_assert(succession_diverged(&s, "c", at(0, 0)));
	/* The upstream with the newest term is forgotten. */
	succession_set_newest_term(&s, 1);
	ck_assert(!succession_diverged(&s, "a", at(1, 109)));
	succession_finish(&s);
}
END_TEST

/* Guards against an upstream that may not lead although it leads again. */
START_TEST(test_leads_again)
{
	start("a");
	promote("b", at(1, 79), at(1, 80));
	succession_set_newest_term(&s, 2);
	promote("a", at(2, 90), at(2, 95));
	ck_assert(!succession_diverged(&s, "a", at(2, 90)));
	ck_assert(!succession_diverged(&s, "a", at(0, 0)));
	ck_assert(succession_diverged(&s, "b", at(2, 95)));
	succession_finish(&s);
}
END_TEST

TEST_MAIN("succession", test_former_primary, test_unknown_position,
	  test_promotion_of_other_leader, test_lost_answer,
	  test_successor_lacks_last_term, test_outdated_request,
	  test_nothing_known, test_leads_again,
	  test_former_primary_under_other_id, test_restored,
	  test_unknown_former_primary, test_late_report_of_primary,
	  test_change_seen_late, test_longer_log_than_known)
