#include "send_window.h"
#include "urgency.h"
#include "test_main.h"

#include <gsl/gsl_randist.h>

#define MS 1000ll

/* Guards against a window that does not shrink when the upstream is slow or
 * refuses statements, or that never grows again. */
START_TEST(test_window_adapts)
{
	struct send_window w;
	int64_t now_us = 0;
	int i;

	send_window_init(&w);
	ck_assert(send_window_allows(&w, SEND_WINDOW_INITIAL - 1));
	ck_assert(!send_window_allows(&w, SEND_WINDOW_INITIAL));
	for (i = 0; i < 200; i++)
		send_window_answered(&w, 10 * MS, now_us += 10 * MS);
	ck_assert(send_window_allows(&w, 8));
	for (i = 0; i < 200; i++)
		send_window_answered(&w, 60 * MS, now_us += 10 * MS);
	ck_assert(send_window_allows(&w, 0));
	ck_assert(!send_window_allows(&w, 1));
	for (i = 0; i < 200; i++)
		send_window_answered(&w, 10 * MS, now_us += 10 * MS);
	ck_assert(send_window_allows(&w, 5));
	for (i = 0; i < 20; i++)
		send_window_refused(&w, now_us += 100 * MS);
	ck_assert(!send_window_allows(&w, 1));
}
END_TEST

/* Guards against simultaneous refusals that each reduce the window. */
START_TEST(test_simultaneous_refusals)
{
	struct send_window w;
	double before;
	int i;

	send_window_init(&w);
	send_window_answered(&w, 10 * MS, 0);
	before = w.size;
	for (i = 0; i < 10; i++)
		send_window_refused(&w, MS);
	ck_assert(w.size > before / 2);
}
END_TEST

static struct urgency make_urgency(unsigned priority, int64_t left,
				   int64_t cost)
{
	return (struct urgency){ priority, left * MS, cost * MS };
}

/* Guards against serving statements that will miss their deadline before those
 * that can still meet it. */
START_TEST(test_order)
{
	struct urgency late = make_urgency(0, 1, 5);
	struct urgency cheap = make_urgency(1, 100, 3);
	struct urgency expensive = make_urgency(1, 50, 15);
	struct urgency expensive_urgent = make_urgency(1, 20, 15);
	struct urgency low_priority = make_urgency(2, 20, 3);

	ck_assert(!urgency_meets_deadline(&late));
	ck_assert(urgency_before(&cheap, &late));
	ck_assert(urgency_before(&cheap, &expensive));
	ck_assert(urgency_before(&expensive, &low_priority));
	ck_assert(urgency_before(&expensive_urgent, &expensive));
	ck_assert(!urgency_before(&expensive, &expensive));
}
END_TEST

struct job {
	int64_t arrived_us;
	bool expensive;
	bool taken;
};

/*
 * Simulates one upstream at twice its capacity, with a queue in the given
 * order. Returns the number of clients served within 200 ms.
 */
static unsigned simulate(bool by_urgency)
{
	static struct job jobs[4000];
	gsl_rng *rng = gsl_rng_alloc(gsl_rng_mt19937);
	unsigned arrived = 0, served = 0, i;
	int64_t now_us = 0, next_us = 0, wait_us = 200 * MS;

	for (;;) {
		struct job *best = NULL;
		struct urgency best_urgency = { 0 };

		while (next_us <= now_us && arrived < 4000) {
			jobs[arrived++] = (struct job){
				next_us, gsl_rng_uniform(rng) < 0.5, false
			};
			next_us += (int64_t)gsl_ran_exponential(rng, 5 * MS);
		}
		for (i = 0; i < arrived; i++) {
			struct urgency u = {
				.remaining_us =
					jobs[i].arrived_us + wait_us - now_us,
				.cost_us = (jobs[i].expensive ? 15 : 5) * MS,
			};

			/* Clients give up after one second. */
			if (jobs[i].taken || u.remaining_us < -800 * MS)
				continue;
			if (best &&
			    (!by_urgency || !urgency_before(&u, &best_urgency)))
				continue;
			best = &jobs[i];
			best_urgency = u;
		}
		if (!best && arrived == 4000)
			break;
		if (!best) {
			now_us = next_us;
			continue;
		}
		best->taken = true;
		now_us += (best->expensive ? 15 : 5) * MS;
		served += now_us <= best->arrived_us + wait_us;
	}
	gsl_rng_free(rng);
	return served;
}

/* Guards against an order that serves hardly any client in time under overload,
 * as first come, first served does. */
START_TEST(test_overload)
{
	unsigned naive = simulate(false);
	unsigned urgent = simulate(true);

	ck_assert_uint_lt(naive, 400);
	/* The cheap half of the jobs takes half of the capacity. */
	ck_assert_uint_gt(urgent, 2000);
}
END_TEST

TEST_MAIN("send_window", test_window_adapts, test_simultaneous_refusals,
	  test_order, test_overload)
