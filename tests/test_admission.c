#include "admission.h"
#include "test_main.h"

#define START_US 1000000000ll

static struct admission adm;
static uint64_t request;

static bool accept_all(uint64_t req, void *data)
{
	return true;
}

static bool accept_even(uint64_t req, void *data)
{
	return req % 2 == 0;
}

static void count_expired(uint64_t req, void *data)
{
	unsigned *nr = data;

	(*nr)++;
}

/* Guards against a request that waits behind requests with later deadlines. */
START_TEST(test_earliest_deadline_within_a_tenant)
{
	int a;

	admission_init(&adm, ADMISSION_FAIR, 10, 1);
	a = admission_tenant(&adm, "a", 1);
	admission_enqueue(&adm, a, 1, 300, 0);
	admission_enqueue(&adm, a, 2, 100, 0);
	admission_enqueue(&adm, a, 3, 200, 0);
	ck_assert(admission_next(&adm, 0, accept_all, NULL, &request));
	ck_assert_uint_eq(request, 2);
	admission_next(&adm, 0, accept_all, NULL, &request);
	ck_assert_uint_eq(request, 3);
	admission_next(&adm, 0, accept_all, NULL, &request);
	ck_assert_uint_eq(request, 1);
	ck_assert(!admission_next(&adm, 0, accept_all, NULL, &request));
	admission_finish(&adm);
}
END_TEST

/* Guards against a flooding tenant taking the turns of another one. */
START_TEST(test_shares_by_weight)
{
	unsigned served[2] = { 0, 0 };
	int a, b, i;

	admission_init(&adm, ADMISSION_FAIR, 1000, 1);
	a = admission_tenant(&adm, "a", 3);
	b = admission_tenant(&adm, "b", 1);
	for (i = 0; i < 400; i++) {
		admission_enqueue(&adm, a, i * 2, 1000, 0);
		admission_enqueue(&adm, b, i * 2 + 1, 1000, 0);
	}
	for (i = 0; i < 400; i++) {
		admission_next(&adm, 0, accept_all, NULL, &request);
		served[request % 2]++;
	}
	ck_assert_uint_eq(served[0], 300);
	ck_assert_uint_eq(served[1], 100);
	admission_finish(&adm);
}
END_TEST

/* Guards against a burst from a tenant that accumulated turns while idle. */
START_TEST(test_idle_tenant_accumulates_no_turns)
{
	unsigned consecutive = 0;
	int a, b, i;

	admission_init(&adm, ADMISSION_FAIR, 1000, 1);
	a = admission_tenant(&adm, "a", 1);
	b = admission_tenant(&adm, "b", 1);
	for (i = 0; i < 100; i++)
		admission_enqueue(&adm, a, 2, 1000, 0);
	for (i = 0; i < 50; i++)
		admission_next(&adm, 0, accept_all, NULL, &request);
	for (i = 0; i < 50; i++)
		admission_enqueue(&adm, b, 1, 1000, 0);
	for (i = 0; i < 20; i++) {
		admission_next(&adm, 0, accept_all, NULL, &request);
		consecutive = request == 1 ? consecutive + 1 : 0;
		ck_assert_uint_le(consecutive, 1);
	}
	admission_finish(&adm);
}
END_TEST

/* Guards against a full or blocked queue of one tenant delaying another. */
START_TEST(test_tenants_do_not_block_each_other)
{
	int a, b;

	admission_init(&adm, ADMISSION_FAIR, 2, 1);
	a = admission_tenant(&adm, "a", 1);
	b = admission_tenant(&adm, "b", 1);
	ck_assert_int_eq(a, admission_tenant(&adm, "a", 1));
	admission_enqueue(&adm, a, 1, 100, 0);
	admission_enqueue(&adm, a, 3, 100, 0);
	ck_assert_int_eq(admission_enqueue(&adm, a, 5, 100, 0), ADMISSION_FULL);
	ck_assert_int_eq(admission_enqueue(&adm, b, 2, 100, 0),
			 ADMISSION_QUEUED);
	ck_assert(admission_next(&adm, 0, accept_even, NULL, &request));
	ck_assert_uint_eq(request, 2);
	ck_assert(!admission_next(&adm, 0, accept_even, NULL, &request));
	ck_assert_uint_eq(admission_waiting(&adm), 2);
	admission_finish(&adm);
}
END_TEST

/* Guards against queueing a request that can only time out. */
START_TEST(test_refuses_early)
{
	int a, b;

	admission_init(&adm, ADMISSION_FAIR, 100, 2);
	a = admission_tenant(&adm, "a", 1);
	b = admission_tenant(&adm, "b", 1);
	ck_assert_int_eq(admission_enqueue(&adm, a, 1, 1, 0), ADMISSION_QUEUED);
	admission_remove(&adm, a, 1);
	admission_record_service_time(&adm, 100);
	ck_assert_int_eq(admission_enqueue(&adm, a, 1, 100, 0),
			 ADMISSION_QUEUED);
	ck_assert_int_eq(admission_enqueue(&adm, a, 2, 149, 0),
			 ADMISSION_TOO_LATE);
	ck_assert_int_eq(admission_enqueue(&adm, a, 2, 150, 0),
			 ADMISSION_QUEUED);
	/* The queue of the other tenant only halves the rate of b. */
	ck_assert_int_eq(admission_enqueue(&adm, b, 3, 100, 0),
			 ADMISSION_QUEUED);
	ck_assert_int_eq(admission_enqueue(&adm, b, 4, 199, 0),
			 ADMISSION_TOO_LATE);
	ck_assert_int_eq(admission_enqueue(&adm, b, 4, 200, 0),
			 ADMISSION_QUEUED);
	admission_finish(&adm);
}
END_TEST

/* Guards against running a request that was reported as timed out. */
START_TEST(test_expire_and_remove)
{
	enum admission_order orders[] = { ADMISSION_FAIR, ADMISSION_FIFO };
	unsigned expired, i;
	int a;

	for (i = 0; i < 2; i++) {
		expired = 0;
		admission_init(&adm, orders[i], 100, 1);
		a = admission_tenant(&adm, "a", 1);
		admission_enqueue(&adm, a, 1, 300, 0);
		admission_enqueue(&adm, a, 2, 100, 0);
		admission_enqueue(&adm, a, 3, 200, 0);
		admission_expire(&adm, 99, count_expired, &expired);
		ck_assert_uint_eq(expired, 0);
		admission_expire(&adm, 200, count_expired, &expired);
		ck_assert_uint_eq(expired, 2);
		admission_remove(&adm, a, 7);
		ck_assert_uint_eq(admission_waiting(&adm), 1);
		admission_remove(&adm, a, 1);
		ck_assert_uint_eq(admission_waiting(&adm), 0);
		admission_finish(&adm);
	}
}
END_TEST

/* Guards against a wrong order in the global schedules. */
START_TEST(test_global_orders)
{
	int a, b;

	admission_init(&adm, ADMISSION_FIFO, 100, 1);
	a = admission_tenant(&adm, "a", 1);
	b = admission_tenant(&adm, "b", 1);
	admission_enqueue(&adm, b, 1, 300, 0);
	admission_enqueue(&adm, a, 2, 100, 0);
	admission_next(&adm, 0, accept_all, NULL, &request);
	ck_assert_uint_eq(request, 1);
	admission_finish(&adm);
	admission_init(&adm, ADMISSION_DEADLINE, 100, 1);
	a = admission_tenant(&adm, "a", 1);
	b = admission_tenant(&adm, "b", 1);
	admission_enqueue(&adm, a, 1, 300, 0);
	admission_enqueue(&adm, b, 2, 100, 0);
	admission_next(&adm, 0, accept_all, NULL, &request);
	ck_assert_uint_eq(request, 2);
	admission_finish(&adm);
}
END_TEST

/* Guards against a service time average that follows a single slow request. */
START_TEST(test_service_time)
{
	int i;

	admission_init(&adm, ADMISSION_FAIR, 100, 1);
	for (i = 0; i < 10; i++)
		admission_record_service_time(&adm, 1000);
	ck_assert_int_eq(adm.service_us, 1000);
	admission_record_service_time(&adm, 9000);
	ck_assert_int_eq(adm.service_us, 2000);
	for (i = 0; i < 60; i++)
		admission_record_service_time(&adm, 4000);
	ck_assert_int_ge(adm.service_us, 3900);
	admission_finish(&adm);
}
END_TEST

/* Tenant a floods with 90 requests, b has none; this daemon has 1/8 of 2 slots,
 * and the service time is 1 ms. */
static void setup_limited_flood(int *a, int *b)
{
	int i;

	admission_init(&adm, ADMISSION_FAIR, 100, 2);
	*a = admission_tenant(&adm, "a", 1);
	*b = admission_tenant(&adm, "b", 1);
	for (i = 0; i < 90; i++)
		admission_enqueue(&adm, *a, i, 10 * START_US, START_US);
	admission_record_service_time(&adm, 1000);
	admission_set_limit(&adm, 2, 2, 16);
}

static bool next_at(int64_t now_us)
{
	return admission_next(&adm, now_us, accept_all, NULL, &request);
}

/* Counts the starts of a and b within 100 ms; each is answered at once. */
static void serve(unsigned *served)
{
	int64_t now;

	served[0] = served[1] = 0;
	for (now = START_US; now < START_US + 100000; now += 10)
		while (next_at(now)) {
			served[request >= 100]++;
			admission_record_release(&adm);
		}
}

/* Guards against a queue inside the database, where the requests of a flooding
 * tenant would run before those of all others. */
START_TEST(test_limit_delays_a_queue)
{
	int a, b;

	setup_limited_flood(&a, &b);
	ck_assert(next_at(START_US));
	ck_assert(!next_at(START_US));
	ck_assert(!next_at(START_US + 100000));
	admission_record_release(&adm);
	ck_assert(next_at(START_US));
	admission_record_release(&adm);
	/* 0.25 slots with 6 in flight each: 1.5, or a start every 666 us. */
	ck_assert(!next_at(START_US + 600));
	ck_assert_int_eq(admission_wake_us(&adm, START_US + 600),
			 START_US + 666);
	ck_assert(next_at(START_US + 666));
	admission_set_limit(&adm, 2, 2, 0);
	ck_assert(next_at(START_US + 666));
	admission_finish(&adm);
}
END_TEST

/* Guards against the limit delaying a tenant that uses less than its share. */
START_TEST(test_limit_spares_tenant_below_share)
{
	int a, b, i;

	setup_limited_flood(&a, &b);
	ck_assert(next_at(START_US));
	for (i = 0; i < 4; i++) {
		admission_enqueue(&adm, b, 100 + i, 10 * START_US, START_US);
		ck_assert(next_at(START_US));
		ck_assert_uint_eq(request, 100 + i);
	}
	admission_finish(&adm);
}
END_TEST

/* Guards against a queue in the database when a tenant below its share starts
 * requests, and against idle slots when there is no such tenant. */
START_TEST(test_limit_depends_on_tenant_below_share)
{
	unsigned served[2];
	int a, b;

	setup_limited_flood(&a, &b);
	admission_enqueue(&adm, b, 100, 10 * START_US, START_US);
	serve(served);
	/* One start every 2,222 us. */
	ck_assert_uint_ge(served[0], 44);
	ck_assert_uint_le(served[0], 47);
	admission_finish(&adm);
	setup_limited_flood(&a, &b);
	serve(served);
	ck_assert_uint_eq(served[0], 90);
	admission_finish(&adm);
}
END_TEST

/* Guards against a flooding tenant that passes as one below its share: its
 * starts without delay are bounded. */
START_TEST(test_saved_starts_are_bounded)
{
	unsigned served[2];
	int a, b, i;

	setup_limited_flood(&a, &b);
	for (i = 0; i < 90; i++)
		admission_enqueue(&adm, b, 100, 10 * START_US, START_US);
	serve(served);
	/* 150 starts under the limit in 100 ms, plus the saved starts. */
	ck_assert_uint_ge(served[0], 60);
	ck_assert_uint_ge(served[1], 60);
	ck_assert_uint_le(served[0] + served[1], 160);
	admission_finish(&adm);
}
END_TEST

/* Guards against a tenant that never queues but sends requests in a row. */
START_TEST(test_saved_starts_are_used_up)
{
	unsigned served = 0;
	int64_t now;
	int a, b;

	setup_limited_flood(&a, &b);
	for (now = START_US; now < START_US + 100000; now += 50) {
		admission_enqueue(&adm, b, 100, 10 * START_US, now);
		while (next_at(now)) {
			served += request == 100;
			admission_record_release(&adm);
		}
		admission_remove(&adm, b, 100);
	}
	/* Half of 150 starts under the limit, the saved starts, and turns in
	 * which the other tenant is delayed; 2,000 without a bound. */
	ck_assert_uint_le(served, 100);
	admission_finish(&adm);
}
END_TEST

/* Guards against starting a request that will be answered too late. */
START_TEST(test_expires_what_cannot_be_answered)
{
	unsigned expired = 0;
	int a;

	admission_init(&adm, ADMISSION_FAIR, 100, 1);
	a = admission_tenant(&adm, "a", 1);
	admission_record_service_time(&adm, 100);
	admission_enqueue(&adm, a, 1, 500, 0);
	admission_expire(&adm, 399, count_expired, &expired);
	ck_assert_uint_eq(expired, 0);
	admission_expire(&adm, 400, count_expired, &expired);
	ck_assert_uint_eq(expired, 1);
	admission_finish(&adm);
}
END_TEST

TEST_MAIN("admission", test_earliest_deadline_within_a_tenant,
	  test_shares_by_weight, test_idle_tenant_accumulates_no_turns,
	  test_tenants_do_not_block_each_other, test_refuses_early,
	  test_expire_and_remove, test_global_orders, test_service_time,
	  test_limit_delays_a_queue, test_limit_spares_tenant_below_share,
	  test_limit_depends_on_tenant_below_share,
	  test_saved_starts_are_bounded, test_saved_starts_are_used_up,
	  test_expires_what_cannot_be_answered)
