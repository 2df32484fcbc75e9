#include "directory_fixture.h"
#include "router.h"
#include "test_main.h"

static struct upstream_directory dir;
static struct router router;
static struct route_decision out;

/* At 100 ms, upstream a has replayed the log up to 200 and so all commits up to
 * 90 ms; upstream b up to 100 and so all commits up to 10 ms. */
static void setup(void)
{
	fixture_cluster(&dir, 0);
	fixture_note_position(&dir, 0, 100, 10 * MS, 10 * MS);
	fixture_note_position(&dir, 0, 200, 90 * MS, 91 * MS);
	fixture_note_position(&dir, 1, 200, 95 * MS, 96 * MS);
	fixture_note_position(&dir, 2, 100, 95 * MS, 96 * MS);
	router_init(&router, "gl-west", 7);
}

static struct route_request read_request(void)
{
	return (struct route_request){
		.read = true,
		.fresh_within_us = INT64_MAX,
		.max_lag_us = 10 * SECOND,
		.lease_valid = true,
		.exclude = UPSTREAM_NONE,
		.deadline_us = 60 * SECOND,
	};
}

static void decide(const struct route_request *req, int64_t now_us)
{
	router_decide(&router, &dir, req, now_us, &out);
}

/* Guards against a read at a replica that lacks a write of the same client. */
START_TEST(test_needed_position)
{
	struct route_request req = read_request();
	int i;

	setup();
	req.has_position = true;
	req.needed = (struct position){ 1, 150 };
	for (i = 0; i < 50; i++) {
		decide(&req, 100 * MS);
		ck_assert_int_eq(out.upstream, 1);
		ck_assert_int_eq(out.reason, ROUTE_REASON_REPLICA);
	}
	req.needed.lsn = 201;
	decide(&req, 100 * MS);
	ck_assert_int_eq(out.upstream, 0);
	ck_assert_int_eq(out.reason, ROUTE_REASON_PRIMARY_POSITION);
	directory_finish(&dir);
}
END_TEST

/* Guards against reading data older than requested, and against ignoring the
 * time since the freshness of a replica was learned. */
START_TEST(test_freshness)
{
	struct route_request req = read_request();
	int i;

	setup();
	req.fresh_within_us = 20 * MS;
	for (i = 0; i < 50; i++) {
		decide(&req, 110 * MS);
		ck_assert_int_eq(out.upstream, 1);
	}
	decide(&req, 110 * MS + 1);
	ck_assert_int_eq(out.upstream, 0);
	req = read_request();
	req.max_lag_us = 95 * MS;
	for (i = 0; i < 50; i++) {
		decide(&req, 106 * MS);
		ck_assert_int_eq(out.upstream, 1);
	}
	directory_finish(&dir);
}
END_TEST

/* Guards against sending new requests to an upstream that is about to stop. */
START_TEST(test_leaving)
{
	struct route_request req = read_request();
	int i;

	setup();
	directory_upstream_at(&dir, 1)->leaving = true;
	for (i = 0; i < 50; i++) {
		decide(&req, 100 * MS);
		ck_assert_int_eq(out.upstream, 2);
	}
	directory_upstream_at(&dir, 0)->leaving = true;
	req.read = false;
	decide(&req, 100 * MS);
	ck_assert_int_eq(out.action, ROUTE_WAIT);
	directory_finish(&dir);
}
END_TEST

/* Guards against reads at replicas that cannot or must not serve them. */
START_TEST(test_ineligible_replicas)
{
	struct route_request req = read_request();

	setup();
	req.exclude = 1;
	directory_upstream_at(&dir, 2)->reachable = false;
	decide(&req, 100 * MS);
	ck_assert_int_eq(out.upstream, 0);
	ck_assert_int_eq(out.reason, ROUTE_REASON_PRIMARY_NO_REPLICA);
	directory_upstream_at(&dir, 2)->reachable = true;
	decide(&req, 100 * MS);
	ck_assert_int_eq(out.upstream, 2);
	directory_upstream_at(&dir, 2)->says_primary = true;
	decide(&req, 100 * MS);
	ck_assert_int_eq(out.upstream, 0);
	directory_upstream_at(&dir, 2)->says_primary = false;
	req.max_lag_us = INT64_MAX;
	directory_record_probe(&dir, 0, true, 16 * SECOND);
	decide(&req, 16 * SECOND);
	ck_assert_int_eq(out.upstream, 0);
	term_history_add(&directory_cluster_at(&dir, 0)->history, 1, 90);
	decide(&req, 100 * MS);
	ck_assert_int_eq(out.upstream, 0);
	directory_finish(&dir);
}
END_TEST

/* Guards against a read at an upstream that was promoted late: its log has the
 * primary's term and not the primary's writes, and its announcement is older. */
START_TEST(test_promoted_late)
{
	struct upstream_announcement ann = fixture_announcement("a");
	struct route_request req = read_request();
	struct position pos = { 2, 300 };
	int i;

	setup();
	term_history_add(&directory_cluster_at(&dir, 0)->history, 1, 100);
	directory_set_primary(&dir, 0, "b", 2, false);
	fixture_note_position(&dir, 2, 290, 97 * MS, 98 * MS);
	directory_record_position(&dir, 1, false, pos, pos, 97 * MS, 98 * MS,
				  true);
	directory_record_announcement(&dir, &ann, 0, 99 * MS);
	req.has_position = true;
	req.needed = (struct position){ 2, 290 };
	for (i = 0; i < 50; i++) {
		decide(&req, 100 * MS);
		ck_assert_int_eq(out.upstream, 2);
	}
	directory_record_position(&dir, 1, true, pos, pos, 99 * MS, 100 * MS,
				  true);
	decide(&req, 100 * MS);
	ck_assert_int_eq(out.upstream, 1);
	directory_finish(&dir);
}
END_TEST

/* Guards against the use, without a valid lease, of a primary that may have
 * been replaced. */
START_TEST(test_primary_needs_a_lease)
{
	struct route_request req = read_request();

	setup();
	req.lease_valid = false;
	decide(&req, 100 * MS);
	ck_assert_int_eq(out.reason, ROUTE_REASON_REPLICA);
	req.read = false;
	decide(&req, 100 * MS);
	ck_assert_int_eq(out.action, ROUTE_REFUSE);
	ck_assert_int_eq(out.reason, ROUTE_REASON_NO_LEASE);
	req.read = true;
	req.has_position = true;
	req.needed = (struct position){ 1, 999 };
	decide(&req, 100 * MS);
	ck_assert_int_ne(out.action, ROUTE_TO_UPSTREAM);
	directory_finish(&dir);
}
END_TEST

/* Guards against refusing a write while a failover could still end in time, and
 * against a write that waits past its deadline. */
START_TEST(test_write_waits_for_a_primary)
{
	struct route_request req = read_request();

	setup();
	req.read = false;
	decide(&req, 100 * MS);
	ck_assert_int_eq(out.upstream, 0);
	directory_set_primary(&dir, 0, "p", 1, true);
	decide(&req, 100 * MS);
	ck_assert_int_eq(out.action, ROUTE_WAIT);
	ck_assert_int_eq(out.reason, ROUTE_REASON_WAIT_PRIMARY);
	ck_assert_int_eq(out.wait_until_us, req.deadline_us);
	decide(&req, req.deadline_us);
	ck_assert_int_eq(out.action, ROUTE_REFUSE);
	ck_assert_int_eq(out.reason, ROUTE_REASON_DEADLINE);
	directory_set_primary(&dir, 0, "a", 2, false);
	decide(&req, 200 * MS);
	ck_assert_int_eq(out.upstream, 1);
	directory_upstream_at(&dir, 1)->reachable = false;
	decide(&req, 200 * MS);
	ck_assert_int_eq(out.action, ROUTE_WAIT);
	directory_finish(&dir);
}
END_TEST

/* Guards against waiting for a replica to replay the log when the primary would
 * answer sooner. */
START_TEST(test_waits_for_replay_if_sooner)
{
	struct route_request req = read_request();

	setup();
	req.has_position = true;
	req.needed = (struct position){ 1, 210 };
	fixture_note_position(&dir, 0, 210, 99 * MS, 100 * MS);
	req.primary_wait_us = 10 * MS;
	decide(&req, 101 * MS);
	ck_assert_int_eq(out.action, ROUTE_WAIT);
	ck_assert_int_eq(out.reason, ROUTE_REASON_WAIT_REPLAY);
	/* Upstream a lagged by 6 ms; the primary had the position at 99 ms. */
	ck_assert_int_eq(out.wait_until_us, 105 * MS);
	decide(&req, 105 * MS);
	ck_assert_int_eq(out.upstream, 0);
	req.primary_wait_us = 3 * MS;
	decide(&req, 101 * MS);
	ck_assert_int_eq(out.upstream, 0);
	req.primary_wait_us = SECOND;
	router.replay_wait_us = 3 * MS;
	decide(&req, 101 * MS);
	ck_assert_int_eq(out.upstream, 0);
	directory_finish(&dir);
}
END_TEST

/* Guards against overloading one replica while another is idle, and against
 * needless traffic between zones. */
START_TEST(test_load_and_zone)
{
	struct route_request req = read_request();
	int i;

	setup();
	g_free(directory_upstream_at(&dir, 1)->availability_zone);
	directory_upstream_at(&dir, 1)->availability_zone = g_strdup("gl-east");
	for (i = 0; i < 50; i++) {
		decide(&req, 100 * MS);
		ck_assert_int_eq(out.upstream, 2);
	}
	directory_upstream_at(&dir, 2)->in_flight = 1;
	for (i = 0; i < 50; i++) {
		decide(&req, 100 * MS);
		ck_assert_int_eq(out.upstream, 1);
	}
	directory_upstream_at(&dir, 1)->in_flight = 2;
	for (i = 0; i < 50; i++) {
		decide(&req, 100 * MS);
		ck_assert_int_eq(out.upstream, 2);
	}
	directory_finish(&dir);
}
END_TEST

/* Guards against a burst of reads at a replica with cold caches. */
START_TEST(test_load_ramp_of_new_replica)
{
	struct route_request req = read_request();
	int i, early = 0, late = 0;

	setup();
	directory_upstream_at(&dir, 1)->ramp_start_us = 0;
	for (i = 0; i < 1000; i++) {
		decide(&req, 500 * MS);
		early += out.upstream == 1;
		decide(&req, 4 * SECOND);
		late += out.upstream == 1;
	}
	ck_assert_int_gt(early, 20);
	ck_assert_int_lt(early, 90);
	ck_assert_int_gt(late, 350);
	directory_upstream_at(&dir, 2)->leaving = true;
	decide(&req, MS * 100);
	ck_assert_int_eq(out.upstream, 1);
	directory_finish(&dir);
}
END_TEST

TEST_MAIN("router", test_needed_position, test_freshness, test_leaving,
	  test_ineligible_replicas, test_promoted_late,
	  test_primary_needs_a_lease, test_write_waits_for_a_primary,
	  test_waits_for_replay_if_sooner, test_load_and_zone,
	  test_load_ramp_of_new_replica)
