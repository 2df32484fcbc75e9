#include "promotion_policy.h"
#include "test_main.h"

#include <string.h>

static struct promotion_upstream ups[3];
static struct promotion_view view;

/* A primary and two replicas, all of them well; eight daemons. */
static void start(void)
{
	unsigned i;

	memset(ups, 0, sizeof(ups));
	for (i = 0; i < 3; i++) {
		ups[i].id = i == 0 ? "a" : i == 1 ? "b" : "c";
		ups[i].answered = 8;
		ups[i].position = (struct position){ 1, 100 - i };
	}
	view = (struct promotion_view){ .upstreams = ups,
					.nr = 3,
					.since_order_us = INT64_MAX };
}

/* Guards against a change of primary that nothing calls for. */
START_TEST(test_calm)
{
	start();
	ck_assert_int_eq(promotion_needed(&view), PROMOTION_NOT_NEEDED);
	/* Cut off from control only: callers are served. */
	ups[0].silent_us = PROMOTION_SILENT_US * 2;
	ck_assert_int_eq(promotion_needed(&view), PROMOTION_NOT_NEEDED);
	/* One daemon of eight is cut off. */
	ups[0].silent_us = 0;
	ups[0].answered = 7;
	ups[0].failing = 1;
	ck_assert_int_eq(promotion_needed(&view), PROMOTION_NOT_NEEDED);
	/* Nobody uses it, and it is heard. */
	ups[0].answered = 0;
	ups[0].failing = 0;
	ck_assert_int_eq(promotion_needed(&view), PROMOTION_NOT_NEEDED);
}
END_TEST

/* Guards against a lost primary that is not replaced. */
START_TEST(test_needed)
{
	start();
	ups[0].answered = 0;
	ups[0].failing = 8;
	ck_assert_int_eq(promotion_needed(&view), PROMOTION_UNREACHABLE);
	ups[0].answered = 5;
	ups[0].failing = 3;
	ck_assert_int_eq(promotion_needed(&view), PROMOTION_UNREACHABLE);
	start();
	ups[0].leaving = true;
	ck_assert_int_eq(promotion_needed(&view), PROMOTION_LEAVING);
	start();
	ups[0].answered = 0;
	ups[0].silent_us = PROMOTION_SILENT_US + 1;
	ck_assert_int_eq(promotion_needed(&view), PROMOTION_SILENT);
	start();
	view.primary = -1;
	ck_assert_int_eq(promotion_needed(&view), PROMOTION_NO_PRIMARY);
	view.since_order_us = PROMOTION_SETTLE_US - 1;
	ck_assert_int_eq(promotion_needed(&view), PROMOTION_NOT_NEEDED);
}
END_TEST

/* Guards against a candidate that cannot serve or has less of the log. */
START_TEST(test_candidate)
{
	start();
	ck_assert_int_eq(promotion_candidate(&view), 1);
	ups[2].position.lsn = 200;
	ck_assert_int_eq(promotion_candidate(&view), 2);
	ups[2].failing = 1;
	ck_assert_int_eq(promotion_candidate(&view), 1);
	ups[1].leaving = true;
	ck_assert_int_eq(promotion_candidate(&view), 2);
	ups[2].silent_us = PROMOTION_CANDIDATE_US + 1;
	ck_assert_int_eq(promotion_candidate(&view), -1);
}
END_TEST

/* Guards against losing a commit that only an unheard replica holds. */
START_TEST(test_synchronous)
{
	start();
	view.sync_replicas = 1;
	ck_assert_int_eq(promotion_candidate(&view), 1);
	ups[2].position.term = 0;
	ck_assert_int_eq(promotion_candidate(&view), -1);
	view.sync_replicas = 2;
	ck_assert_int_eq(promotion_candidate(&view), 1);
}
END_TEST

static struct position at(uint32_t term, uint64_t number)
{
	return (struct position){ term, number };
}

/* Guards against the appointment of a former primary that went on alone behind
 * a partition: its commits came back, and reads in between had missed them. */
START_TEST(test_diverged)
{
	/* Replaced at 1.79 while it went on to 1.109. */
	ck_assert(promotion_diverged(at(1, 109), at(1, 79), at(1, 109)));
	ck_assert(promotion_diverged(at(1, 109), at(1, 79), at(2, 90)));
	ck_assert(!promotion_diverged(at(1, 79), at(1, 79), at(2, 90)));
	ck_assert(!promotion_diverged(at(2, 85), at(1, 79), at(2, 90)));
	/* A new leader knows no switch. */
	ck_assert(promotion_diverged(at(1, 109), at(0, 0), at(2, 90)));
	ck_assert(!promotion_diverged(at(2, 80), at(0, 0), at(2, 90)));
	ck_assert(!promotion_diverged(at(0, 0), at(1, 79), at(2, 90)));
	start();
	ups[1].diverged = true;
	ck_assert_int_eq(promotion_candidate(&view), 2);
	ups[2].diverged = true;
	ck_assert_int_eq(promotion_candidate(&view), -1);
}
END_TEST

/* Guards against a change of primary on the word of one daemon while the others
 * are only not heard, since they may be served by it. */
START_TEST(test_unknown_daemons)
{
	start();
	ups[0].answered = 0;
	ups[0].failing = 1;
	ups[0].silent_us = PROMOTION_DOUBT_US + 1;
	ck_assert_int_eq(promotion_needed(&view), PROMOTION_UNREACHABLE);
	view.unknown = 7;
	ck_assert_int_eq(promotion_needed(&view), PROMOTION_NOT_NEEDED);
	ups[0].silent_us = PROMOTION_SILENT_US + 1;
	ck_assert_int_eq(promotion_needed(&view), PROMOTION_SILENT);
}
END_TEST

/* Guards against a change of primary for the sake of lag while a replica is
 * well, while the primary is not, or on the word of few. */
START_TEST(test_lagging)
{
	start();
	ups[0].saturated = 4;
	ck_assert(!promotion_lagging(&view));
	ups[1].behind = 8;
	ck_assert(!promotion_lagging(&view));
	ups[2].behind = 5;
	ck_assert(promotion_lagging(&view));
	/* It can do the work of all. */
	ups[0].saturated = 3;
	ck_assert(!promotion_lagging(&view));
	ups[0].saturated = 8;
	ups[2].behind = 4;
	ck_assert(!promotion_lagging(&view));
	ups[2].behind = 8;
	ups[0].failing = 1;
	ck_assert(!promotion_lagging(&view));
	ups[0].failing = 0;
	view.nr = 1;
	ck_assert(!promotion_lagging(&view));
}
END_TEST

TEST_MAIN("promotion_policy", test_calm, test_needed, test_candidate,
	  test_synchronous, test_diverged, test_unknown_daemons, test_lagging)
