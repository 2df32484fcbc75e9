#include "promotion_policy.h"
#include "test_main.h"

#include <string.h>

static struct promotion_upstream ups[3];
static struct promotion_view view;

/* A primary and two replicas without faults; eight daemons. */
static void setup(void)
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
					.since_request_us = INT64_MAX };
}

/* Guards against a needless change of primary. */
START_TEST(test_not_needed)
{
	setup();
	ck_assert_int_eq(promotion_needed(&view), PROMOTION_NOT_NEEDED);
	/* Cut off only from control: it still serves clients. */
	ups[0].silent_us = PROMOTION_SILENT_AFTER_US * 2;
	ck_assert_int_eq(promotion_needed(&view), PROMOTION_NOT_NEEDED);
	/* One daemon of eight is cut off. */
	ups[0].silent_us = 0;
	ups[0].answered = 7;
	ups[0].failing = 1;
	ck_assert_int_eq(promotion_needed(&view), PROMOTION_NOT_NEEDED);
	/* No daemon uses it, but it is heard. */
	ups[0].answered = 0;
	ups[0].failing = 0;
	ck_assert_int_eq(promotion_needed(&view), PROMOTION_NOT_NEEDED);
}
END_TEST

/* Guards against a lost primary that is not replaced. */
START_TEST(test_needed)
{
	setup();
	ups[0].answered = 0;
	ups[0].failing = 8;
	ck_assert_int_eq(promotion_needed(&view), PROMOTION_UNREACHABLE);
	ups[0].answered = 5;
	ups[0].failing = 3;
	ck_assert_int_eq(promotion_needed(&view), PROMOTION_UNREACHABLE);
	setup();
	ups[0].leaving = true;
	ck_assert_int_eq(promotion_needed(&view), PROMOTION_LEAVING);
	setup();
	ups[0].answered = 0;
	ups[0].silent_us = PROMOTION_SILENT_AFTER_US + 1;
	ck_assert_int_eq(promotion_needed(&view), PROMOTION_SILENT);
	setup();
	view.primary = -1;
	ck_assert_int_eq(promotion_needed(&view), PROMOTION_NO_PRIMARY);
	view.since_request_us = PROMOTION_REQUEST_INTERVAL_US - 1;
	ck_assert_int_eq(promotion_needed(&view), PROMOTION_NOT_NEEDED);
}
END_TEST

/* Guards against a candidate that cannot serve or has a shorter log. */
START_TEST(test_candidate)
{
	setup();
	ck_assert_int_eq(promotion_candidate(&view), 1);
	ups[2].position.lsn = 200;
	ck_assert_int_eq(promotion_candidate(&view), 2);
	ups[2].failing = 1;
	ck_assert_int_eq(promotion_candidate(&view), 1);
	ups[1].leaving = true;
	ck_assert_int_eq(promotion_candidate(&view), 2);
	ups[2].silent_us = PROMOTION_CANDIDATE_MAX_SILENCE_US + 1;
	ck_assert_int_eq(promotion_candidate(&view), -1);
}
END_TEST

static void survey(unsigned i, uint64_t received)
{
	ups[i].surveyed = true;
	ups[i].received = (struct position){ 1, received };
}

/*
 * Guards against losing a commit that only one replica has received: one that
 * was not asked, or one that applies its log late and seems to be behind.
 */
START_TEST(test_synchronous_replicas)
{
	setup();
	view.sync_replicas = 1;
	ck_assert(promotion_needs_survey(&view));
	ck_assert_int_eq(promotion_complete_candidate(&view), -1);
	survey(1, 105);
	ck_assert(promotion_needs_survey(&view));
	ck_assert_int_eq(promotion_complete_candidate(&view), -1);
	survey(2, 110);
	ck_assert(!promotion_needs_survey(&view));
	ck_assert_int_eq(promotion_complete_candidate(&view), 2);
	/* A better connected or more up to date replica lacks commits. */
	ups[2].failing = 8;
	ups[2].leaving = true;
	ups[1].position.lsn = 200;
	ck_assert_int_eq(promotion_complete_candidate(&view), 2);
	survey(1, 110);
	ck_assert_int_eq(promotion_complete_candidate(&view), 1);
	ups[1].diverged = true;
	ck_assert_int_eq(promotion_complete_candidate(&view), 2);
}
END_TEST

/* Guards against a service without a primary that waits for a log whose commits
 * are all on the others. */
START_TEST(test_logs_wanted)
{
	setup();
	ck_assert_uint_eq(promotion_logs_wanted(&view), 3);
	view.sync_replicas = 1;
	ck_assert_uint_eq(promotion_logs_wanted(&view), 2);
	view.sync_replicas = 2;
	ck_assert_uint_eq(promotion_logs_wanted(&view), 1);
	view.sync_replicas = 4;
	ck_assert_uint_eq(promotion_logs_wanted(&view), 0);
	view.sync_replicas = 1;
	view.primary = -1;
	survey(0, 7);
	ck_assert(promotion_needs_survey(&view));
	survey(1, 8);
	ck_assert_int_eq(promotion_complete_candidate(&view), 1);
}
END_TEST

/* Guards against promoting an upstream whose log diverged. */
START_TEST(test_diverged)
{
	setup();
	ups[1].diverged = true;
	ck_assert_int_eq(promotion_candidate(&view), 2);
	ups[2].diverged = true;
	ck_assert_int_eq(promotion_candidate(&view), -1);
}
END_TEST

/* Guards against a change of primary on the report of one daemon while the
 * others are not heard, since the primary may still serve them. */
START_TEST(test_unknown_daemons)
{
	setup();
	ups[0].answered = 0;
	ups[0].failing = 1;
	ups[0].silent_us = PROMOTION_CONFIRMING_SILENCE_US + 1;
	ck_assert_int_eq(promotion_needed(&view), PROMOTION_UNREACHABLE);
	view.silent_daemons = 7;
	ck_assert_int_eq(promotion_needed(&view), PROMOTION_NOT_NEEDED);
	ups[0].silent_us = PROMOTION_SILENT_AFTER_US + 1;
	ck_assert_int_eq(promotion_needed(&view), PROMOTION_SILENT);
}
END_TEST

/* Guards against a change of primary because of lag while one replica does not
 * lag, while the primary fails, or on the reports of few daemons. */
START_TEST(test_lagging)
{
	setup();
	ups[0].saturated = 4;
	ck_assert(!promotion_all_replicas_lag(&view));
	ups[1].lagging = 8;
	ck_assert(!promotion_all_replicas_lag(&view));
	ups[2].lagging = 5;
	ck_assert(promotion_all_replicas_lag(&view));
	/* The primary can run all requests. */
	ups[0].saturated = 3;
	ck_assert(!promotion_all_replicas_lag(&view));
	ups[0].saturated = 8;
	ups[2].lagging = 4;
	ck_assert(!promotion_all_replicas_lag(&view));
	ups[2].lagging = 8;
	ups[0].failing = 1;
	ck_assert(!promotion_all_replicas_lag(&view));
	ups[0].failing = 0;
	view.nr = 1;
	ck_assert(!promotion_all_replicas_lag(&view));
}
END_TEST

/* Guards against a promotion by one log while a copy of which nothing is known
 * any more may hold commits that this log lacks. */
START_TEST(test_lost_copies_count)
{
	setup();
	view.sync_replicas = 1;
	view.nr = 2;
	view.primary = -1;
	ups[0].surveyed = true;
	ck_assert_uint_eq(promotion_logs_wanted(&view), 1);
	ck_assert_int_eq(promotion_complete_candidate(&view), 0);
	view.nr_copies = 3;
	ck_assert_uint_eq(promotion_logs_wanted(&view), 2);
	ck_assert_int_eq(promotion_complete_candidate(&view), -1);
	ups[1].surveyed = true;
	ups[1].received = (struct position){ 1, 7 };
	ck_assert_int_eq(promotion_complete_candidate(&view), 1);
}
END_TEST

static void order_rival(void)
{
	setup();
	ups[0].leading = 1;
	view.sync_replicas = 1;
	view.rival_ordered = true;
	view.rival = 1;
}

/* Guards against losing commits by a request without an answer that is carried
 * out after the primary has recovered. */
START_TEST(test_yields_to_rival)
{
	order_rival();
	ck_assert(promotion_must_yield(&view));
	ck_assert(!promotion_must_confirm(&view));
	view.rival_ordered = false;
	ck_assert(!promotion_must_yield(&view));
	/* Without synchronous replicas a promotion may discard commits. */
	order_rival();
	view.sync_replicas = 0;
	ck_assert(!promotion_must_yield(&view));
	ck_assert(!promotion_must_confirm(&view));
	order_rival();
	ups[1].failing = 1;
	ck_assert(!promotion_must_yield(&view));
	order_rival();
	ups[1].diverged = true;
	ck_assert(!promotion_must_yield(&view));
	/* It may lead already. */
	order_rival();
	ups[0].leading = 0;
	ck_assert(!promotion_must_yield(&view));
}
END_TEST

/* Guards against a request for the primary that is carried out late and undoes
 * what one for another upstream led to, and against an old or useless request
 * that is never outdated. */
START_TEST(test_confirms_primary)
{
	order_rival();
	ck_assert(!promotion_must_confirm(&view));
	view.rival_age_us = PROMOTION_LATE_EFFECT_US - 1;
	ck_assert(!promotion_must_confirm(&view));
	view.rival_age_us = PROMOTION_LATE_EFFECT_US;
	ck_assert(promotion_must_confirm(&view));
	view.rival_ordered = false;
	ck_assert(!promotion_must_confirm(&view));
	/* The upstream has ended. */
	order_rival();
	view.rival = -1;
	view.uptime_us = PROMOTION_STARTUP_WAIT_US;
	ck_assert(promotion_must_confirm(&view));
	ck_assert(!promotion_must_yield(&view));
	/* Or this VM has not heard it yet. */
	view.uptime_us = PROMOTION_STARTUP_WAIT_US - 1;
	ck_assert(!promotion_must_confirm(&view));
	order_rival();
	ups[1].answered = 0;
	ups[1].silent_us = PROMOTION_CANDIDATE_MAX_SILENCE_US + 1;
	ck_assert(promotion_must_confirm(&view));
	/* It answers, perhaps as a replica by now. */
	ups[0].leading = 0;
	ck_assert(!promotion_must_confirm(&view));
	ups[0].leading = 1;
	view.since_request_us = PROMOTION_REQUEST_INTERVAL_US - 1;
	ck_assert(!promotion_must_confirm(&view));
	view.since_request_us = PROMOTION_REQUEST_INTERVAL_US;
	view.primary = -1;
	ck_assert(!promotion_must_confirm(&view));
}
END_TEST

/* Guards against commits that are acknowledged while a request may still make an
 * upstream lead that has not received them. */
START_TEST(test_resume_after_unanswered_request)
{
	setup();
	ck_assert(promotion_may_resume(&view, false));
	view.rival_ordered = true;
	ck_assert(!promotion_may_resume(&view, false));
	ck_assert(!promotion_may_resume(&view, true));
	view.rival_ordered = false;
	view.primary = -1;
	ck_assert(!promotion_may_resume(&view, false));
	/* A request accepted just before the confirmation takes a moment. */
	view.primary = 0;
	view.since_request_us = PROMOTION_REQUEST_INTERVAL_US - 1;
	ck_assert(!promotion_may_resume(&view, true));
	view.since_request_us = PROMOTION_REQUEST_INTERVAL_US;
	ck_assert(promotion_may_resume(&view, true));
}
END_TEST

TEST_MAIN("promotion_policy", test_not_needed, test_needed, test_candidate,
	  test_synchronous_replicas, test_logs_wanted, test_diverged,
	  test_unknown_daemons, test_lagging, test_lost_copies_count,
	  test_yields_to_rival, test_confirms_primary,
	  test_resume_after_unanswered_request)
