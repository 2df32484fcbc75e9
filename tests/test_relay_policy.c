#include "relay_policy.h"
#include "test_main.h"

/* Guards against statements that wait for an upstream that only other daemons
 * reach, and against relaying what this daemon can run soon. */
START_TEST(test_unreachable)
{
	struct relay_option options[2] = { { .full = true }, { 0 } };

	ck_assert(relay_needed(options, 1, 0));
	ck_assert(!relay_needed(options, 2, 0));
	options[1].failing = true;
	ck_assert(relay_needed(options, 2, 1));
	options[0].connected = true;
	ck_assert(!relay_needed(options, 2, 1));
	options[0].failing = true;
	ck_assert(relay_needed(options, 2, 2));
}
END_TEST

/* Guards against relaying between daemons of which none knows the primary yet,
 * as during a promotion. */
START_TEST(test_unknown_primary)
{
	ck_assert(!relay_needed(NULL, 0, 0));
	ck_assert(relay_needed(NULL, 0, 1));
}
END_TEST

TEST_MAIN("relay_policy", test_unreachable, test_unknown_primary)
