#include "server_limits.h"
#include "test_main.h"

#define NOW_US (1000 * SERVER_EVICT_MIN_AGE_US)
#define OLD_US (NOW_US - 4 * SERVER_EVICT_MIN_AGE_US)

static const struct server_limits limits = {
	.max_connections = 4,
	.max_bytes = 1000,
	.header_us = 10,
	.body_us = 20,
	.answer_us = 30,
};

/* Guards against ports that together take the descriptors of the rest. */
START_TEST(test_share)
{
	unsigned usable = 64 - SERVER_RESERVED_FDS;

	ck_assert_uint_le(server_limits_share(64, 7, 1280) * 2 +
				  server_limits_share(64, 2, 64),
			  usable);
	ck_assert_uint_eq(server_limits_share(4096, 7, 1280), 1280);
	ck_assert_uint_eq(server_limits_share(4096, 7, 1400), 1400);
	ck_assert_uint_eq(server_limits_share(0, 7, 1280), 1);
	ck_assert_uint_eq(server_limits_share(SERVER_RESERVED_FDS, 7, 9), 1);
	ck_assert_uint_eq(server_limits_share(UINT64_MAX, 7, 1280), 1280);
}
END_TEST

/* Guards against refusal before back-pressure, and against either while there
 * is room. */
START_TEST(test_order)
{
	ck_assert_int_eq(server_limits_read(&limits, 0, 1000), SERVER_READ);
	ck_assert_int_eq(server_limits_read(&limits, 1, 1000), SERVER_PAUSE);
	ck_assert_int_eq(server_limits_begin(&limits, 0, 1000,
					     SERVER_MAX_PAUSED),
			 SERVER_READ);
	ck_assert_int_eq(server_limits_begin(&limits, 1, 1000,
					     SERVER_MAX_PAUSED - 1),
			 SERVER_PAUSE);
	ck_assert_int_eq(server_limits_begin(&limits, 1, 1000,
					     SERVER_MAX_PAUSED),
			 SERVER_REFUSE);
}
END_TEST

/* Guards against a request that is cut off while it is being handled. */
START_TEST(test_overdue)
{
	struct server_holder h = { .phase = SERVER_HEADER };

	ck_assert(!server_limits_is_overdue(&limits, &h, 10));
	ck_assert(server_limits_is_overdue(&limits, &h, 11));
	h.phase = SERVER_BODY;
	ck_assert(!server_limits_is_overdue(&limits, &h, 20));
	ck_assert(server_limits_is_overdue(&limits, &h, 21));
	h.phase = SERVER_ANSWER;
	ck_assert(!server_limits_is_overdue(&limits, &h, 30));
	ck_assert(server_limits_is_overdue(&limits, &h, 31));
	h.phase = SERVER_HANDLER;
	ck_assert(!server_limits_is_overdue(&limits, &h, NOW_US));
}
END_TEST

/* Guards against closing an ordinary client: one that is being served, or that
 * has only just connected. */
START_TEST(test_victim)
{
	struct server_holder h[] = {
		{ SERVER_HANDLER, 900000, 0 },
		{ SERVER_BODY, 900000, NOW_US - SERVER_EVICT_MIN_AGE_US + 1 },
		{ SERVER_HEADER, 0, OLD_US },
		{ SERVER_BODY, 5000, OLD_US },
		{ SERVER_ANSWER, 20000, OLD_US },
	};

	ck_assert_int_eq(server_limits_victim(h, 5, NOW_US), 4);
	ck_assert_int_eq(server_limits_victim(h, 4, NOW_US), 3);
	ck_assert_int_eq(server_limits_victim(h, 3, NOW_US), 2);
	ck_assert_int_eq(server_limits_victim(h, 2, NOW_US), -1);
	ck_assert_int_eq(server_limits_victim(h, 0, NOW_US), -1);
}
END_TEST

/* Guards against giving up an entry that is in use for one that is new. */
START_TEST(test_table)
{
	struct table_use uses[] = {
		{ .in_use = true, .gone = true, .used_us = 1 },
		{ .in_use = true, .used_us = 2 },
		{ .used_us = 4 },
		{ .used_us = 3 },
		{ .gone = true, .used_us = 6 },
		{ .gone = true, .used_us = 5 },
	};

	ck_assert_int_eq(table_limits_victim(uses, 6), 5);
	ck_assert_int_eq(table_limits_victim(uses, 5), 4);
	ck_assert_int_eq(table_limits_victim(uses, 4), 3);
	ck_assert_int_eq(table_limits_victim(uses, 3), 2);
	ck_assert_int_eq(table_limits_victim(uses, 2), -1);
	ck_assert_int_eq(table_limits_victim(uses, 0), -1);
}
END_TEST

TEST_MAIN("server_limits", test_share, test_order, test_overdue, test_victim,
	  test_table)
