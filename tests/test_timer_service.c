#include "test_main.h"
#include "timer_service.h"

struct calls {
	int64_t at[16];
	int id[16];
	int nr;
};

struct subscriber {
	struct calls *calls;
	struct timer_service *service;
	int id;
	int cancel;
};

static void record_call(int64_t now_us, void *data)
{
	struct subscriber *s = data;

	s->calls->at[s->calls->nr] = now_us;
	s->calls->id[s->calls->nr++] = s->id;
	timer_cancel(s->service, &s->cancel);
}

/* Timers must run neither early nor late nor out of order. */
START_TEST(test_order)
{
	struct timer_service ts;
	struct calls calls = { .nr = 0 };
	struct subscriber a = { &calls, &ts, 1, TIMER_NONE };
	struct subscriber b = { &calls, &ts, 2, TIMER_NONE };
	struct subscriber c = { &calls, &ts, 3, TIMER_NONE };

	timer_service_init(&ts);
	timer_subscribe(&ts, 30, 0, record_call, &a);
	timer_subscribe(&ts, 10, 0, record_call, &b);
	timer_subscribe(&ts, 10, 0, record_call, &c);
	ck_assert_int_eq(timer_service_next_us(&ts), 10);
	timer_service_advance(&ts, 9);
	ck_assert_int_eq(calls.nr, 0);
	timer_service_advance(&ts, 30);
	ck_assert_int_eq(calls.nr, 3);
	ck_assert_int_eq(calls.id[0], 2);
	ck_assert_int_eq(calls.id[1], 3);
	ck_assert_int_eq(calls.id[2], 1);
	ck_assert(timer_service_next_us(&ts) == INT64_MAX);
	timer_service_finish(&ts);
}
END_TEST

/* A periodic timer must not run repeatedly after the loop was blocked. */
START_TEST(test_late_period_runs_once)
{
	struct timer_service ts;
	struct calls calls = { .nr = 0 };
	struct subscriber a = { &calls, &ts, 1, TIMER_NONE };

	timer_service_init(&ts);
	timer_subscribe(&ts, 10, 10, record_call, &a);
	timer_service_advance(&ts, 55);
	ck_assert_int_eq(calls.nr, 1);
	ck_assert_int_eq(timer_service_next_us(&ts), 65);
	timer_service_finish(&ts);
}
END_TEST

/* A cancelled timer that is already due must not run. */
START_TEST(test_cancel_inside_callback)
{
	struct timer_service ts;
	struct calls calls = { .nr = 0 };
	struct subscriber a = { &calls, &ts, 1, TIMER_NONE };
	struct subscriber b = { &calls, &ts, 2, TIMER_NONE };

	timer_service_init(&ts);
	timer_subscribe(&ts, 10, 0, record_call, &a);
	a.cancel = timer_subscribe(&ts, 10, 10, record_call, &b);
	timer_service_advance(&ts, 100);
	ck_assert_int_eq(calls.nr, 1);
	ck_assert_int_eq(a.cancel, TIMER_NONE);
	timer_service_finish(&ts);
}
END_TEST

TEST_MAIN("timer_service", test_order, test_late_period_runs_once,
	  test_cancel_inside_callback)
