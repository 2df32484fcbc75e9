#include "connection_limits.h"

#include "test_main.h"

#include <glib.h>

#define KIB 1024u
#define MIB (1024u * 1024)
#define SECOND 1000000ll

static const struct connection_limits limits = {
	.budget = 32 * MIB,
	.max_connections = 100,
	.max_startups = 10,
	.max_per_address = 20,
	.startup_timeout_us = 10 * SECOND,
	.message_timeout_us = 60 * SECOND,
	.transaction_idle_us = 30 * SECOND,
	.unread_timeout_us = 5 * SECOND,
};

/* A limit that counts one too few or too many. */
START_TEST(test_admission)
{
	const struct connection_limits none = { 0 };

	ck_assert_int_eq(connection_admit(&limits, 99, 9, 19),
			 CONNECTION_ADMITTED);
	ck_assert_int_eq(connection_admit(&limits, 100, 0, 0),
			 CONNECTION_REFUSED_COUNT);
	ck_assert_int_eq(connection_admit(&limits, 0, 0, 20),
			 CONNECTION_REFUSED_ADDRESS);
	ck_assert_int_eq(connection_admit(&limits, 50, 10, 0),
			 CONNECTION_EVICTS_STARTUP);
	ck_assert_int_eq(connection_admit(&none, 9000, 9000, 9000),
			 CONNECTION_ADMITTED);
}
END_TEST

/* A crowd that keeps an ordinary or a single large message from being read. */
START_TEST(test_pace)
{
	ck_assert_int_eq(connection_pace(&limits, 16 * MIB, 16 * MIB, false),
			 CONNECTION_READ);
	ck_assert_int_eq(connection_pace(&limits, 16 * MIB + 1, MIB, false),
			 CONNECTION_PAUSE);
	ck_assert_int_eq(connection_pace(&limits, 16 * MIB + 1, MIB, true),
			 CONNECTION_READ);
	ck_assert_int_eq(connection_pace(&limits, 64 * MIB, 64 * KIB, false),
			 CONNECTION_READ);
}
END_TEST

/* Paused connections whose memory stays above the budget for good. */
START_TEST(test_shed)
{
	const struct connection_limits none = { 0 };

	ck_assert(!connection_must_shed(&limits, 32 * MIB));
	ck_assert(connection_must_shed(&limits, 32 * MIB + 1));
	ck_assert(!connection_must_shed(&none, SIZE_MAX));
	ck_assert(connection_weight(MIB, 10 * SECOND) >
		  connection_weight(MIB, 9 * SECOND));
	ck_assert(connection_weight(2 * MIB, 0) > connection_weight(MIB, 0));
	ck_assert(connection_weight(MIB, 30 * SECOND) >
		  connection_weight(2 * MIB, 10 * SECOND));
	ck_assert(connection_weight(0, 3600 * SECOND) <
		  connection_weight(1, 0));
}
END_TEST

/* A timeout that ends a connection early, or never. */
START_TEST(test_faults)
{
	const struct {
		struct connection_ages ages;
		int64_t now_us;
		enum connection_fault fault;
	} cases[] = {
		{ { 0 }, 9000 * SECOND, CONNECTION_SOUND },
		{ { .startup_us = 1 }, 10 * SECOND + 1, CONNECTION_SOUND },
		{ { .startup_us = 1 },
		  10 * SECOND + 2,
		  CONNECTION_STARTUP_LATE },
		{ { .message_us = 1 }, 60 * SECOND + 1, CONNECTION_SOUND },
		{ { .message_us = 1 },
		  60 * SECOND + 2,
		  CONNECTION_MESSAGE_LATE },
		{ { .transaction_us = 1 }, 30 * SECOND + 1, CONNECTION_SOUND },
		{ { .transaction_us = 1 },
		  30 * SECOND + 2,
		  CONNECTION_TRANSACTION_IDLE },
		{ { .unread_us = 1 }, 5 * SECOND + 1, CONNECTION_SOUND },
		{ { .unread_us = 1 }, 5 * SECOND + 2, CONNECTION_UNREAD },
	};
	const struct connection_limits none = { 0 };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		ck_assert_int_eq(connection_fault_of(&limits, &cases[i].ages,
						     cases[i].now_us),
				 cases[i].fault);
		ck_assert_int_eq(connection_fault_of(&none, &cases[i].ages,
						     cases[i].now_us),
				 CONNECTION_SOUND);
	}
}
END_TEST

/* Callers that take the last descriptor, or a reserve that leaves none. */
START_TEST(test_descriptors)
{
	ck_assert_uint_eq(connection_max(2500, 4200, 256), 2500);
	ck_assert_uint_eq(connection_max(2500, 1024, 256), 768);
	ck_assert_uint_eq(connection_max(2500, 160, 256), 80);
	ck_assert_uint_eq(connection_max(2500, 0, 256), 1);
	ck_assert_uint_eq(connection_max(100000, UINT64_MAX, 256), 100000);
}
END_TEST

TEST_MAIN("connection_limits", test_admission, test_pace, test_shed,
	  test_faults, test_descriptors)
