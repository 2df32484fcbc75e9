#include "group_policy.h"
#include "test_main.h"

#include <string.h>

#define ID(ip, number) ((uint64_t)(ip) << 32 | (number))
#define DARK (GROUP_DARK_US + 1)

static struct group_view view;
static struct group_waiting waiting[8];

static void start(unsigned voters)
{
	unsigned i;

	memset(&view, 0, sizeof(view));
	view.leader = ID(1, 1);
	view.voters_wanted = 5;
	view.waiting = waiting;
	for (i = 0; i < voters; i++)
		view.member[view.nr++] =
			(struct group_member){ ID(i + 1, 1), true, true, 0 };
}

static void waits(uint64_t id)
{
	waiting[view.nr_waiting++] = (struct group_waiting){ id, 0 };
}

static void expect(enum group_action action, uint64_t id)
{
	struct group_change change = group_next_change(&view);

	ck_assert_int_eq(change.action, action);
	ck_assert(change.id == id);
}

/* Guards against a group that never grows beyond its founders. */
START_TEST(test_grows)
{
	start(3);
	expect(GROUP_KEEP, 0);
	waits(ID(4, 77));
	expect(GROUP_ADD, ID(4, 77));
	view.member[view.nr++] =
		(struct group_member){ ID(4, 77), false, false, 0 };
	expect(GROUP_KEEP, 0);
	view.member[3].caught_up = true;
	expect(GROUP_MAKE_VOTER, ID(4, 77));
}
END_TEST

/* Guards against a full group that lets more in while all members answer. */
START_TEST(test_full)
{
	start(5);
	waits(ID(6, 9));
	expect(GROUP_KEEP, 0);
	view.member[4].silent_us = GROUP_DARK_US / 2;
	expect(GROUP_KEEP, 0);
	view.member[4].silent_us = DARK;
	expect(GROUP_ADD, ID(6, 9));
}
END_TEST

/* Guards against removing a voter before its successor holds the log. */
START_TEST(test_replaces)
{
	start(5);
	view.member[4].silent_us = DARK;
	view.member[view.nr++] =
		(struct group_member){ ID(6, 9), false, false, 0 };
	expect(GROUP_KEEP, 0);
	view.member[5].caught_up = true;
	expect(GROUP_REMOVE, ID(5, 1));
	view.member[4] = view.member[--view.nr];
	expect(GROUP_MAKE_VOTER, ID(6, 9));
}
END_TEST

/* Guards against a disk that was lost and counts on as a silent voter. */
START_TEST(test_lost_disk)
{
	start(5);
	view.member[4].silent_us = GROUP_WAITING_US;
	expect(GROUP_KEEP, 0);
	waits(ID(5, 9));
	expect(GROUP_ADD, ID(5, 9));
}
END_TEST

/* Guards against a removal after which the rest has no majority. */
START_TEST(test_two_lost)
{
	start(5);
	view.member[3].silent_us = DARK;
	view.member[4].silent_us = DARK;
	view.member[view.nr++] =
		(struct group_member){ ID(6, 9), false, true, 0 };
	ck_assert_int_eq(group_next_change(&view).action, GROUP_REMOVE);
	view.member[2].silent_us = DARK;
	expect(GROUP_KEEP, 0);
}
END_TEST

/* Guards against a learner that left and blocks every other change. */
START_TEST(test_silent_learner)
{
	start(5);
	view.member[view.nr++] =
		(struct group_member){ ID(6, 9), false, true, DARK };
	expect(GROUP_REMOVE, ID(6, 9));
}
END_TEST

/* Guards against removing the leader itself. */
START_TEST(test_leader_stays)
{
	start(5);
	view.member[0].silent_us = DARK;
	waits(ID(6, 9));
	expect(GROUP_KEEP, 0);
}
END_TEST

TEST_MAIN("group_policy", test_grows, test_full, test_replaces, test_lost_disk,
	  test_two_lost, test_silent_learner, test_leader_stays)
