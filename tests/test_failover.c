#include "failover.h"
#include "test_main.h"

#include <string.h>

#define MS 1000ll
#define FULL_US (1224 * MS)
#define TERM 5
#define DAEMONS 3
#define REPLICAS 2

/* One run over three daemons and two replicas, all healthy at first. */
struct run {
	struct failover fo;
	struct failover_daemon daemons[DAEMONS];
	struct failover_replica replicas[REPLICAS];
	struct failover_view view;
	int64_t now_us;
	struct failover_order order;
};

static void run_init(struct run *r)
{
	int i;

	memset(r, 0, sizeof(*r));
	failover_init(&r->fo, TERM);
	for (i = 0; i < DAEMONS; i++)
		r->daemons[i] = (struct failover_daemon){
			.name = "entry",
			.live = true,
			.uses_cluster = true,
			.lease_expires_us = 11000 * MS,
			.acknowledged = { TERM, 100 },
		};
	for (i = 0; i < REPLICAS; i++)
		r->replicas[i] = (struct failover_replica){
			.name = "replica",
			.received = { TERM, 100 + i },
		};
	r->view = (struct failover_view){
		.daemons = r->daemons,
		.nr_daemons = DAEMONS,
		.replicas = r->replicas,
		.nr_replicas = REPLICAS,
		.ack_replicas = 1,
		.lease_full_us = FULL_US,
	};
	r->now_us = 10000 * MS;
}

static enum failover_action next(struct run *r)
{
	failover_next(&r->fo, &r->view, r->now_us, &r->order);
	return r->order.action;
}

/* Whether the fence is proposed, at the latest after the confirmation. */
static bool proposes_fence(struct run *r)
{
	if (next(r) == FAILOVER_WAIT) {
		r->now_us = r->order.wake_us;
		next(r);
	}
	return r->order.action == FAILOVER_RECORD &&
	       r->order.step == FAILOVER_FENCING;
}

static void recorded(struct run *r, enum failover_step step, int candidate)
{
	failover_recorded(&r->fo, step, candidate, r->now_us);
}

static void confirm(struct run *r, int from)
{
	for (; from < DAEMONS; from++)
		r->daemons[from].fence_confirmed = true;
}

static void answer(struct run *r)
{
	int i;

	for (i = 0; i < REPLICAS; i++)
		r->replicas[i].answered = true;
}

/* Takes the run to the recorded step. */
static void take_to(struct run *r, enum failover_step step, int candidate)
{
	recorded(r, FAILOVER_FENCING, -1);
	if (step == FAILOVER_FENCING)
		return;
	confirm(r, 0);
	answer(r);
	recorded(r, FAILOVER_PROMOTING, candidate);
}

/* Guards against a fail-over because of one isolated VM, and against reports
 * of daemons that are gone. */
START_TEST(test_suspicion)
{
	struct run r;

	run_init(&r);
	r.daemons[0].suspects = true;
	ck_assert(!failover_suspected(&r.view, r.now_us));
	r.daemons[1].suspects = true;
	ck_assert(failover_suspected(&r.view, r.now_us));
	r.daemons[1].live = false;
	ck_assert(!failover_suspected(&r.view, r.now_us));
	r.daemons[2].live = false;
	ck_assert(!failover_suspected(&r.view, r.now_us));
	r.daemons[1].uses_cluster = r.daemons[2].uses_cluster = false;
	ck_assert(failover_suspected(&r.view, r.now_us));
	r.daemons[0].live = false;
	ck_assert(!failover_suspected(&r.view, r.now_us));
}
END_TEST

/* Guards against the last word of a daemon whose link is stalled. */
START_TEST(test_suspicion_grows_old)
{
	struct run r;

	run_init(&r);
	r.daemons[0].suspects = r.daemons[1].suspects = true;
	r.now_us = 11000 * MS - FULL_US + FULL_US / 3;
	ck_assert(failover_suspected(&r.view, r.now_us));
	ck_assert(!failover_suspected(&r.view, r.now_us + 1));
	r.daemons[0].lease_expires_us++;
	r.daemons[1].lease_expires_us++;
	ck_assert(failover_suspected(&r.view, r.now_us + 1));
}
END_TEST

/* Guards against a new leader that hears the suspicious daemons first. */
START_TEST(test_suspicion_of_new_leader)
{
	struct run r;

	run_init(&r);
	r.view.leases_known_us = r.now_us + 1;
	r.daemons[0].suspects = true;
	r.daemons[1].live = r.daemons[2].live = false;
	r.daemons[2].uses_cluster = false;
	ck_assert(!failover_suspected(&r.view, r.now_us));
	r.daemons[1].live = r.daemons[1].suspects = true;
	ck_assert(failover_suspected(&r.view, r.now_us));
	r.daemons[2].uses_cluster = true;
	ck_assert(failover_suspected(&r.view, r.now_us));
	r.daemons[1].suspects = false;
	ck_assert(!failover_suspected(&r.view, r.now_us));
}
END_TEST

/* Guards against a fail-over because of a silence that lost messages cause. */
START_TEST(test_suspicion_is_confirmed)
{
	struct run r;
	int i;

	run_init(&r);
	for (i = 0; i < 10; i++) {
		r.daemons[0].suspects = r.daemons[1].suspects = true;
		ck_assert_int_eq(next(&r), FAILOVER_WAIT);
		r.now_us = r.order.wake_us - 1;
		ck_assert_int_eq(next(&r), FAILOVER_WAIT);
		r.daemons[0].suspects = false;
		ck_assert_int_eq(next(&r), FAILOVER_WAIT);
		r.now_us += 1;
	}
	ck_assert_int_eq(r.fo.step, FAILOVER_NONE);
}
END_TEST

/* Guards against a step that is skipped, or acted on before it is recorded. */
START_TEST(test_order_of_steps)
{
	struct run r;

	run_init(&r);
	ck_assert_int_eq(next(&r), FAILOVER_WAIT);
	r.daemons[0].suspects = r.daemons[1].suspects = true;
	ck_assert(proposes_fence(&r));
	ck_assert_int_eq(next(&r), FAILOVER_WAIT);
	recorded(&r, FAILOVER_FENCING, -1);
	ck_assert_int_eq(next(&r), FAILOVER_SEND_FENCES);
	ck_assert_int_eq(next(&r), FAILOVER_WAIT);
	ck_assert_int_eq(r.order.wake_us, r.now_us + 100 * MS);
	confirm(&r, 0);
	ck_assert_int_eq(next(&r), FAILOVER_ASK_POSITIONS);
	ck_assert_int_eq(next(&r), FAILOVER_WAIT);
	answer(&r);
	ck_assert_int_eq(next(&r), FAILOVER_RECORD);
	ck_assert_int_eq(r.order.step, FAILOVER_PROMOTING);
	ck_assert_int_eq(r.order.candidate, 1);
	ck_assert_int_eq(next(&r), FAILOVER_WAIT);
	recorded(&r, FAILOVER_PROMOTING, 1);
	ck_assert_int_eq(next(&r), FAILOVER_PROMOTE);
	ck_assert_int_eq(next(&r), FAILOVER_WAIT);
	r.replicas[1].promoted = true;
	r.replicas[1].received.term = TERM + 1;
	ck_assert_int_eq(next(&r), FAILOVER_RECORD);
	ck_assert_int_eq(r.order.step, FAILOVER_DONE);
	recorded(&r, FAILOVER_DONE, 1);
	ck_assert_uint_eq(r.fo.term, TERM + 1);
	r.daemons[0].suspects = r.daemons[1].suspects = false;
	ck_assert_int_eq(next(&r), FAILOVER_REPOINT);
	r.replicas[0].received.term = TERM + 1;
	r.now_us += 5000 * MS;
	ck_assert_int_eq(next(&r), FAILOVER_WAIT);
}
END_TEST

/* Guards against a proposal that goes on after the primary has recovered, and
 * against a lost proposal that is never made again. */
START_TEST(test_abandon_and_propose_again)
{
	struct run r;

	run_init(&r);
	r.daemons[0].suspects = r.daemons[1].suspects = true;
	ck_assert(proposes_fence(&r));
	r.now_us += 500 * MS;
	r.daemons[0].lease_expires_us = r.now_us + FULL_US;
	r.daemons[1].lease_expires_us = r.now_us + FULL_US;
	ck_assert(proposes_fence(&r));
	r.daemons[0].suspects = false;
	ck_assert_int_eq(next(&r), FAILOVER_WAIT);
	ck_assert_int_eq(r.fo.step, FAILOVER_ABANDONED);
	r.daemons[0].suspects = true;
	ck_assert(proposes_fence(&r));
	recorded(&r, FAILOVER_FENCING, -1);
	r.daemons[0].suspects = false;
	ck_assert_int_eq(next(&r), FAILOVER_SEND_FENCES);
	ck_assert_int_eq(r.fo.step, FAILOVER_FENCING);
}
END_TEST

/* Guards against a promotion while a daemon may still acknowledge writes, and
 * against a daemon whose grants are lost holding it up for ever. */
START_TEST(test_fence_by_expiry)
{
	struct run r;

	run_init(&r);
	recorded(&r, FAILOVER_FENCING, -1);
	confirm(&r, 1);
	r.now_us = 11000 * MS - 1;
	ck_assert_int_eq(next(&r), FAILOVER_SEND_FENCES);
	ck_assert_int_eq(r.order.wake_us, 11000 * MS);
	r.now_us++;
	ck_assert_int_eq(next(&r), FAILOVER_ASK_POSITIONS);

	run_init(&r);
	recorded(&r, FAILOVER_FENCING, -1);
	confirm(&r, 1);
	r.daemons[0].lease_expires_us = 99000 * MS;
	r.now_us += FULL_US - 1;
	ck_assert_int_ne(next(&r), FAILOVER_ASK_POSITIONS);
	r.now_us++;
	ck_assert_int_eq(next(&r), FAILOVER_ASK_POSITIONS);

	run_init(&r);
	recorded(&r, FAILOVER_FENCING, -1);
	confirm(&r, 1);
	r.view.leases_known_us = 20000 * MS;
	r.now_us = 20000 * MS - 1;
	ck_assert_int_ne(next(&r), FAILOVER_ASK_POSITIONS);
	r.now_us++;
	ck_assert_int_eq(next(&r), FAILOVER_ASK_POSITIONS);
}
END_TEST

/* Return: the candidate that is to be recorded, -1 if the run waits. */
static int choice(struct run *r)
{
	int tries;

	for (tries = 0; tries < 3 && next(r) != FAILOVER_RECORD; tries++)
		r->now_us += 100 * MS;
	return r->order.action == FAILOVER_RECORD ? r->order.candidate : -1;
}

/* Guards against a candidate that lacks an acknowledged write. */
START_TEST(test_choice)
{
	struct run r;

	/* All confirmed: one replica that holds the largest position is
	 * enough, a replica that does not is not. */
	run_init(&r);
	take_to(&r, FAILOVER_FENCING, -1);
	confirm(&r, 0);
	r.replicas[0].answered = true;
	ck_assert_int_eq(choice(&r), 0);
	run_init(&r);
	take_to(&r, FAILOVER_FENCING, -1);
	confirm(&r, 0);
	answer(&r);
	r.daemons[2].acknowledged.lsn = 102;
	ck_assert_int_eq(choice(&r), -1);
	ck_assert_ptr_nonnull(r.fo.blocked);
	/* One expired: both must answer with one acknowledging replica. */
	run_init(&r);
	take_to(&r, FAILOVER_FENCING, -1);
	confirm(&r, 1);
	r.now_us = 11000 * MS;
	r.replicas[1].answered = true;
	ck_assert_int_eq(choice(&r), -1);
	ck_assert_ptr_nonnull(r.fo.blocked);
	r.replicas[0].answered = true;
	ck_assert_int_eq(choice(&r), 1);
	/* One is enough if every write is on both. */
	run_init(&r);
	take_to(&r, FAILOVER_FENCING, -1);
	confirm(&r, 1);
	r.now_us = 11000 * MS;
	r.view.ack_replicas = 2;
	r.replicas[0].answered = true;
	ck_assert_int_eq(choice(&r), 0);
	/* A daemon that restarted cannot tell what it acknowledged before. */
	run_init(&r);
	take_to(&r, FAILOVER_FENCING, -1);
	confirm(&r, 0);
	r.daemons[0].acknowledged = (struct position){ 0, 0 };
	r.replicas[1].answered = true;
	ck_assert_int_eq(choice(&r), -1);
	/* The log of an earlier promotion that came to nothing is no proof. */
	run_init(&r);
	take_to(&r, FAILOVER_FENCING, -1);
	confirm(&r, 0);
	answer(&r);
	r.replicas[1].promoted = true;
	r.replicas[1].received = (struct position){ TERM + 1, 900 };
	ck_assert_int_eq(choice(&r), 0);
}
END_TEST

/* Guards against answers from before the fence deciding the choice. */
START_TEST(test_asks_after_the_fence)
{
	struct run r;

	run_init(&r);
	answer(&r);
	recorded(&r, FAILOVER_FENCING, -1);
	ck_assert_int_eq(next(&r), FAILOVER_SEND_FENCES);
	confirm(&r, 0);
	ck_assert_int_eq(next(&r), FAILOVER_ASK_POSITIONS);
}
END_TEST

/* Guards against a new leader that starts over, or that takes a promotion
 * whose answer was lost for one that failed. */
START_TEST(test_resume)
{
	struct run r;

	run_init(&r);
	failover_resume(&r.fo, FAILOVER_FENCING, TERM, -1, r.now_us);
	ck_assert_int_eq(next(&r), FAILOVER_SEND_FENCES);
	run_init(&r);
	failover_resume(&r.fo, FAILOVER_PROMOTING, TERM, 1, r.now_us);
	ck_assert_int_eq(next(&r), FAILOVER_PROMOTE);
	ck_assert_int_eq(r.order.candidate, 1);
	r.now_us += 500 * MS;
	ck_assert_int_eq(next(&r), FAILOVER_PROMOTE);
	r.replicas[1].answered = r.replicas[1].promoted = true;
	r.replicas[1].received.term = TERM + 1;
	ck_assert_int_eq(next(&r), FAILOVER_RECORD);
	ck_assert_int_eq(r.order.step, FAILOVER_DONE);
	run_init(&r);
	/* The replicas may still follow the ended term. */
	failover_resume(&r.fo, FAILOVER_DONE, TERM + 1, 1, r.now_us);
	ck_assert_int_eq(next(&r), FAILOVER_ASK_POSITIONS);
	answer(&r);
	ck_assert_int_eq(next(&r), FAILOVER_REPOINT);
}
END_TEST

/* Guards against a run that ends with its candidate, and against another one
 * that lacks an acknowledged write taking its place. */
START_TEST(test_candidate_dies)
{
	struct run r;

	run_init(&r);
	take_to(&r, FAILOVER_PROMOTING, 1);
	ck_assert_int_eq(next(&r), FAILOVER_PROMOTE);
	r.replicas[1].answered = false;
	r.now_us += 2000 * MS - 1;
	ck_assert_int_eq(next(&r), FAILOVER_PROMOTE);
	r.now_us++;
	ck_assert_int_eq(next(&r), FAILOVER_RECORD);
	ck_assert_int_eq(r.order.step, FAILOVER_PROMOTING);
	ck_assert_int_eq(r.order.candidate, 0);

	run_init(&r);
	take_to(&r, FAILOVER_PROMOTING, 1);
	r.daemons[0].acknowledged.lsn = 101;
	next(&r);
	r.replicas[1].answered = false;
	r.now_us += 2000 * MS - 1;
	next(&r);
	r.now_us++;
	ck_assert_int_eq(next(&r), FAILOVER_ASK_POSITIONS);
	ck_assert_ptr_nonnull(r.fo.blocked);
	r.replicas[1].answered = true;
	r.now_us += 1000 * MS;
	ck_assert_int_eq(next(&r), FAILOVER_PROMOTE);
}
END_TEST

TEST_MAIN("failover", test_suspicion, test_suspicion_grows_old,
	  test_suspicion_of_new_leader, test_suspicion_is_confirmed,
	  test_order_of_steps, test_abandon_and_propose_again,
	  test_fence_by_expiry, test_choice, test_asks_after_the_fence,
	  test_resume, test_candidate_dies)
