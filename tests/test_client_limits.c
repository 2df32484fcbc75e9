#include "client_limits.h"
#include "test_main.h"

#define MIB (1024u * 1024)

/* Guards against defaults that affect a deployment without settings, or refuse
 * the callers that an entry daemon of the smallest size is to serve. */
START_TEST(test_defaults)
{
	struct client_usage usage = { .connections = 2500, .starting = 2500 };
	struct client_limits limits;

	client_limits_set_defaults(&limits, 0, 0);
	usage.held_bytes = SIZE_MAX / 2;
	ck_assert_int_eq(client_limits_admit(&limits, &usage, 2500),
			 CLIENT_LIMIT_NONE);
	ck_assert(client_limits_may_read(&limits, &usage, 100 * MIB));
	ck_assert(client_limits_takes_message(&limits, &usage, MIB));
	ck_assert(client_limits_takes_state(&limits, &usage, MIB, MIB));
	ck_assert(client_limits_takes_answer(&limits, &usage, 100 * MIB));
	ck_assert(!client_limits_must_close(&limits, &usage, INT64_MAX));

	client_limits_set_defaults(&limits, 160, 4200);
	usage.held_bytes = 2500 * CLIENT_CONNECTION_BYTES;
	ck_assert_int_eq(client_limits_admit(&limits, &usage, 2500),
			 CLIENT_LIMIT_NONE);
	ck_assert(client_limits_takes_message(&limits, &usage, MIB));
	ck_assert(client_limits_takes_state(&limits, &usage, 0, MIB + 256));
	/* Each of 600 daemons may relay to this one. */
	ck_assert_uint_ge(limits.relays, 600);
	ck_assert_int_gt(limits.startup_us, 2000000);
	/* Descriptors remain for others than callers. */
	ck_assert_uint_lt(limits.connections, 3200);
}
END_TEST

/* Guards against an order other than to stop reading, to refuse and to close. */
START_TEST(test_order)
{
	struct client_usage usage = { 0 };
	struct client_limits limits;
	size_t paused = 0, refused = 0, statement = 0, closed = 0;

	client_limits_set_defaults(&limits, 64, 0);
	for (usage.held_bytes = 0; usage.held_bytes < limits.budget_bytes;
	     usage.held_bytes += 65536) {
		if (!paused && !client_limits_may_read(&limits, &usage, MIB))
			paused = usage.held_bytes;
		if (!refused && client_limits_admit(&limits, &usage, 0) !=
					CLIENT_LIMIT_NONE)
			refused = usage.held_bytes;
		if (!statement &&
		    !client_limits_takes_message(&limits, &usage, 10000))
			statement = usage.held_bytes;
		if (!closed && client_limits_must_close(&limits, &usage, 0))
			closed = usage.held_bytes;
	}
	ck_assert_uint_gt(paused, 0);
	ck_assert_uint_lt(paused, refused);
	ck_assert_uint_lt(refused, closed);
	ck_assert_uint_lt(paused, statement);
	ck_assert_uint_lt(statement, closed);
	ck_assert_uint_lt(closed, limits.budget_bytes);
	usage.held_bytes = limits.budget_bytes;
	ck_assert(client_limits_may_read(&limits, &usage, 1000));
	ck_assert(client_limits_takes_message(&limits, &usage, 20));
	ck_assert(!client_limits_takes_message(&limits, &usage, MIB));
}
END_TEST

/* Guards against clients that stay paused for good because each of them holds
 * half a message. */
START_TEST(test_paused_for_long)
{
	struct client_usage usage = { 0 };
	struct client_limits limits;

	client_limits_set_defaults(&limits, 64, 0);
	usage.held_bytes = limits.budget_bytes * 6 / 10;
	ck_assert(!client_limits_must_close(&limits, &usage,
					    CLIENT_PAUSE_MAX_US));
	ck_assert(client_limits_must_close(&limits, &usage,
					   CLIENT_PAUSE_MAX_US + 1));
	usage.held_bytes = limits.budget_bytes * 3 / 10;
	ck_assert(client_limits_may_resume(&limits, &usage));
	ck_assert(!client_limits_must_close(&limits, &usage,
					    CLIENT_PAUSE_MAX_US + 1));
}
END_TEST

/* Guards against closing a client that holds little, or one that has just come
 * instead of one that has held as much for longer. */
START_TEST(test_weight)
{
	struct client_limits l;
	struct client_usage u = { .connections = 10 };

	client_limits_set_defaults(&l, 64, 0);
	ck_assert_uint_eq(
		client_limits_weight(&l, &u, CLIENT_SMALL_BYTES, INT32_MAX), 0);
	ck_assert_uint_gt(client_limits_weight(&l, &u, MIB, 0), 0);
	ck_assert_uint_gt(client_limits_weight(&l, &u, MIB, 2000000),
			  client_limits_weight(&l, &u, MIB, 1000000));
	ck_assert_uint_gt(client_limits_weight(&l, &u, 2 * MIB, 1000000),
			  client_limits_weight(&l, &u, MIB, 1000000));
}
END_TEST

/* Guards against very many clients of which each holds too little to be paused
 * or closed, while all together hold more than the budget. */
START_TEST(test_many_small)
{
	struct client_usage usage = { .connections = 2888 };
	struct client_limits limits;
	size_t held;

	client_limits_set_defaults(&limits, 160, 4200);
	held = client_limits_small_bytes(&limits, &usage);
	ck_assert_uint_lt(held * usage.connections, limits.budget_bytes);
	usage.held_bytes = limits.budget_bytes;
	ck_assert(client_limits_may_read(&limits, &usage, held));
	ck_assert(!client_limits_may_read(&limits, &usage, held + 1));
	ck_assert_uint_gt(client_limits_weight(&limits, &usage, held + 1024, 0),
			  0);
	/* A client between statements holds less. */
	ck_assert_uint_gt(held, 2 * CLIENT_CONNECTION_BYTES);
}
END_TEST

/* Guards against a limit on counts that is checked against another count. */
START_TEST(test_counts)
{
	struct client_limits limits = { .connections = 10,
					.starting = 5,
					.per_address = 3 };
	struct client_usage usage = { .connections = 9, .starting = 4 };

	ck_assert_int_eq(client_limits_admit(&limits, &usage, 2),
			 CLIENT_LIMIT_NONE);
	ck_assert_int_eq(client_limits_admit(&limits, &usage, 3),
			 CLIENT_LIMIT_PER_ADDRESS);
	usage.starting = 5;
	ck_assert_int_eq(client_limits_admit(&limits, &usage, 2),
			 CLIENT_LIMIT_STARTING);
	usage.connections = 10;
	ck_assert_int_eq(client_limits_admit(&limits, &usage, 2),
			 CLIENT_LIMIT_CONNECTIONS);
}
END_TEST

/* Guards against a time that counts for a client that owes nothing. */
START_TEST(test_overdue)
{
	struct client_limits limits = { .startup_us = 10,
					.message_us = 20,
					.answer_us = 30 };
	struct client_ages ages = { 0 };

	ck_assert_int_eq(client_limits_overdue(&limits, &ages, 1000),
			 CLIENT_LIMIT_NONE);
	ages.answer_us = 970;
	ck_assert_int_eq(client_limits_overdue(&limits, &ages, 1000),
			 CLIENT_LIMIT_NONE);
	ck_assert_int_eq(client_limits_overdue(&limits, &ages, 1001),
			 CLIENT_LIMIT_ANSWER_TIME);
	ages.message_us = 979;
	ck_assert_int_eq(client_limits_overdue(&limits, &ages, 1000),
			 CLIENT_LIMIT_MESSAGE_TIME);
	ages.startup_us = 989;
	ck_assert_int_eq(client_limits_overdue(&limits, &ages, 1000),
			 CLIENT_LIMIT_STARTUP_TIME);
	limits = (struct client_limits){ 0 };
	ck_assert_int_eq(client_limits_overdue(&limits, &ages, 1000),
			 CLIENT_LIMIT_NONE);
}
END_TEST

TEST_MAIN("client_limits", test_defaults, test_order, test_paused_for_long,
	  test_weight, test_many_small, test_counts, test_overdue)
