#include "admission.h"
#include "test_main.h"

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

static void count(uint64_t req, void *data)
{
	unsigned *nr = data;

	(*nr)++;
}

/* Guards against a booking that waits behind less urgent ones. */
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

/* Guards against a flooding workshop taking the turns of a quiet one. */
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

/* Guards against credit saved up while idle being spent in a burst. */
START_TEST(test_idle_tenant_saves_nothing)
{
	unsigned run = 0;
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
		run = request == 1 ? run + 1 : 0;
		ck_assert_uint_le(run, 1);
	}
	admission_finish(&adm);
}
END_TEST

/* Guards against one tenant's full queue or blocked head stopping another. */
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

/* Guards against queueing what can only time out. */
START_TEST(test_refuses_early)
{
	int a, b;

	admission_init(&adm, ADMISSION_FAIR, 100, 2);
	a = admission_tenant(&adm, "a", 1);
	b = admission_tenant(&adm, "b", 1);
	ck_assert_int_eq(admission_enqueue(&adm, a, 1, 1, 0), ADMISSION_QUEUED);
	admission_remove(&adm, a, 1);
	admission_note_service(&adm, 100);
	ck_assert_int_eq(admission_enqueue(&adm, a, 1, 100, 0),
			 ADMISSION_QUEUED);
	ck_assert_int_eq(admission_enqueue(&adm, a, 2, 149, 0),
			 ADMISSION_TOO_LATE);
	ck_assert_int_eq(admission_enqueue(&adm, a, 2, 150, 0),
			 ADMISSION_QUEUED);
	/* The other tenant's queue is not in its way but takes half. */
	ck_assert_int_eq(admission_enqueue(&adm, b, 3, 100, 0),
			 ADMISSION_QUEUED);
	ck_assert_int_eq(admission_enqueue(&adm, b, 4, 199, 0),
			 ADMISSION_TOO_LATE);
	ck_assert_int_eq(admission_enqueue(&adm, b, 4, 200, 0),
			 ADMISSION_QUEUED);
	admission_finish(&adm);
}
END_TEST

/* Guards against running a request whose caller was told it timed out. */
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
		admission_expire(&adm, 99, count, &expired);
		ck_assert_uint_eq(expired, 0);
		admission_expire(&adm, 200, count, &expired);
		ck_assert_uint_eq(expired, 2);
		admission_remove(&adm, a, 7);
		ck_assert_uint_eq(admission_waiting(&adm), 1);
		admission_remove(&adm, a, 1);
		ck_assert_uint_eq(admission_waiting(&adm), 0);
		admission_finish(&adm);
	}
}
END_TEST

/* Guards against the comparison schedules being something else. */
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

/* Guards against a service time that follows a single slow request. */
START_TEST(test_service_time)
{
	int i;

	admission_init(&adm, ADMISSION_FAIR, 100, 1);
	for (i = 0; i < 10; i++)
		admission_note_service(&adm, 1000);
	ck_assert_int_eq(adm.service_us, 1000);
	admission_note_service(&adm, 9000);
	ck_assert_int_eq(adm.service_us, 2000);
	for (i = 0; i < 60; i++)
		admission_note_service(&adm, 4000);
	ck_assert_int_ge(adm.service_us, 3900);
	admission_finish(&adm);
}
END_TEST

TEST_MAIN("admission", test_earliest_deadline_within_a_tenant,
	  test_shares_by_weight, test_idle_tenant_saves_nothing,
	  test_tenants_do_not_block_each_other, test_refuses_early,
	  test_expire_and_remove, test_global_orders, test_service_time)
