#include "failover.h"
#include "test_main.h"

#include <string.h>

#define MS 1000ll
#define LEASE_MAX_US (1224 * MS)
#define TERM 5
#define DAEMONS 3
#define REPLICAS 2

/* A fail-over with three daemons and two replicas, all healthy at first. */
struct run {
	struct failover fo;
	struct failover_daemon daemons[DAEMONS];
	struct failover_replica replicas[REPLICAS];
	struct failover_view view;
	int64_t now_us;
	struct failover_decision decision;
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
		.max_lease_us = LEASE_MAX_US,
	};
	r->now_us = 10000 * MS;
}

static enum failover_action next_action(struct run *r)
{
	failover_next(&r->fo, &r->view, r->now_us, &r->decision);
	return r->decision.action;
}

/* Whether the fence is proposed now or after the confirmation time. */
static bool proposes_fence(struct run *r)
{
	if (next_action(r) == FAILOVER_WAIT) {
		r->now_us = r->decision.wake_us;
		next_action(r);
	}
	return r->decision.action == FAILOVER_PROPOSE_STEP &&
	       r->decision.step == FAILOVER_FENCING;
}

static void commit_step(struct run *r, enum failover_step step, int candidate)
{
	failover_step_committed(&r->fo, step, candidate, r->now_us);
}

static void confirm_fences_from(struct run *r, int from)
{
	for (; from < DAEMONS; from++)
		r->daemons[from].fence_confirmed = true;
}

static void answer_all(struct run *r)
{
	int i;

	for (i = 0; i < REPLICAS; i++)
		r->replicas[i].answered = true;
}

/* Brings the run to a committed step. */
static void advance_to(struct run *r, enum failover_step step, int candidate)
{
	commit_step(r, FAILOVER_FENCING, -1);
	if (step == FAILOVER_FENCING)
		return;
	confirm_fences_from(r, 0);
	answer_all(r);
	commit_step(r, FAILOVER_PROMOTING, candidate);
}

/*
 * Guards against a fail-over caused by one isolated VM, and against counting
 * reports of daemons without a lease.
 */
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

/* Guards against counting an old report of a daemon whose link is stalled. */
START_TEST(test_suspicion_expires)
{
	struct run r;

	run_init(&r);
	r.daemons[0].suspects = r.daemons[1].suspects = true;
	r.now_us = 11000 * MS - LEASE_MAX_US + LEASE_MAX_US / 3;
	ck_assert(failover_suspected(&r.view, r.now_us));
	ck_assert(!failover_suspected(&r.view, r.now_us + 1));
	r.daemons[0].lease_expires_us++;
	r.daemons[1].lease_expires_us++;
	ck_assert(failover_suspected(&r.view, r.now_us + 1));
}
END_TEST

/*
 * Guards against a new leader that counts a minority as a majority because the
 * suspecting daemons reach it first.
 */
START_TEST(test_suspicion_of_new_leader)
{
	struct run r;

	run_init(&r);
	r.view.earlier_leases_end_us = r.now_us + 1;
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

/* Guards against a fail-over when lost messages cause a short silence. */
START_TEST(test_suspicion_is_confirmed)
{
	struct run r;
	int i;

	run_init(&r);
	for (i = 0; i < 10; i++) {
		r.daemons[0].suspects = r.daemons[1].suspects = true;
		ck_assert_int_eq(next_action(&r), FAILOVER_WAIT);
		r.now_us = r.decision.wake_us - 1;
		ck_assert_int_eq(next_action(&r), FAILOVER_WAIT);
		r.daemons[0].suspects = false;
		ck_assert_int_eq(next_action(&r), FAILOVER_WAIT);
		r.now_us += 1;
	}
	ck_assert_int_eq(r.fo.step, FAILOVER_NONE);
}
END_TEST

/* Guards against a step that is skipped or takes effect before its commit. */
START_TEST(test_steps_in_order)
{
	struct run r;

	run_init(&r);
	ck_assert_int_eq(next_action(&r), FAILOVER_WAIT);
	r.daemons[0].suspects = r.daemons[1].suspects = true;
	ck_assert(proposes_fence(&r));
	ck_assert_int_eq(next_action(&r), FAILOVER_WAIT);
	commit_step(&r, FAILOVER_FENCING, -1);
	ck_assert_int_eq(next_action(&r), FAILOVER_SEND_FENCES);
	ck_assert_int_eq(next_action(&r), FAILOVER_WAIT);
	ck_assert_int_eq(r.decision.wake_us, r.now_us + 100 * MS);
	confirm_fences_from(&r, 0);
	ck_assert_int_eq(next_action(&r), FAILOVER_QUERY_POSITIONS);
	ck_assert_int_eq(next_action(&r), FAILOVER_WAIT);
	answer_all(&r);
	ck_assert_int_eq(next_action(&r), FAILOVER_PROPOSE_STEP);
	ck_assert_int_eq(r.decision.step, FAILOVER_PROMOTING);
	ck_assert_int_eq(r.decision.candidate, 1);
	ck_assert_int_eq(next_action(&r), FAILOVER_WAIT);
	commit_step(&r, FAILOVER_PROMOTING, 1);
	ck_assert_int_eq(next_action(&r), FAILOVER_PROMOTE);
	ck_assert_int_eq(next_action(&r), FAILOVER_WAIT);
	r.replicas[1].promoted = true;
	r.replicas[1].received.term = TERM + 1;
	ck_assert_int_eq(next_action(&r), FAILOVER_PROPOSE_STEP);
	ck_assert_int_eq(r.decision.step, FAILOVER_DONE);
	commit_step(&r, FAILOVER_DONE, 1);
	ck_assert_uint_eq(r.fo.term, TERM + 1);
	r.daemons[0].suspects = r.daemons[1].suspects = false;
	ck_assert_int_eq(next_action(&r), FAILOVER_REPOINT);
	r.replicas[0].received.term = TERM + 1;
	r.now_us += 5000 * MS;
	ck_assert_int_eq(next_action(&r), FAILOVER_WAIT);
}
END_TEST

/*
 * Guards against repeating a proposal after the primary has recovered, and
 * against not repeating a lost one.
 */
START_TEST(test_abandon_and_propose_again)
{
	struct run r;

	run_init(&r);
	r.daemons[0].suspects = r.daemons[1].suspects = true;
	ck_assert(proposes_fence(&r));
	r.now_us += 500 * MS;
	r.daemons[0].lease_expires_us = r.now_us + LEASE_MAX_US;
	r.daemons[1].lease_expires_us = r.now_us + LEASE_MAX_US;
	ck_assert(proposes_fence(&r));
	r.daemons[0].suspects = false;
	ck_assert_int_eq(next_action(&r), FAILOVER_WAIT);
	ck_assert_int_eq(r.fo.step, FAILOVER_ABANDONED);
	r.daemons[0].suspects = true;
	ck_assert(proposes_fence(&r));
	commit_step(&r, FAILOVER_FENCING, -1);
	r.daemons[0].suspects = false;
	ck_assert_int_eq(next_action(&r), FAILOVER_SEND_FENCES);
	ck_assert_int_eq(r.fo.step, FAILOVER_FENCING);
}
END_TEST

/*
 * Guards against a promotion while a daemon may still acknowledge writes, and
 * against a daemon whose grants are lost that delays it forever.
 */
START_TEST(test_fence_by_expiry)
{
	struct run r;

	run_init(&r);
	commit_step(&r, FAILOVER_FENCING, -1);
	confirm_fences_from(&r, 1);
	r.now_us = 11000 * MS - 1;
	ck_assert_int_eq(next_action(&r), FAILOVER_SEND_FENCES);
	ck_assert_int_eq(r.decision.wake_us, 11000 * MS);
	r.now_us++;
	ck_assert_int_eq(next_action(&r), FAILOVER_QUERY_POSITIONS);

	run_init(&r);
	commit_step(&r, FAILOVER_FENCING, -1);
	confirm_fences_from(&r, 1);
	r.daemons[0].lease_expires_us = 99000 * MS;
	r.now_us += LEASE_MAX_US - 1;
	ck_assert_int_ne(next_action(&r), FAILOVER_QUERY_POSITIONS);
	r.now_us++;
	ck_assert_int_eq(next_action(&r), FAILOVER_QUERY_POSITIONS);

	run_init(&r);
	commit_step(&r, FAILOVER_FENCING, -1);
	confirm_fences_from(&r, 1);
	r.view.earlier_leases_end_us = 20000 * MS;
	r.now_us = 20000 * MS - 1;
	ck_assert_int_ne(next_action(&r), FAILOVER_QUERY_POSITIONS);
	r.now_us++;
	ck_assert_int_eq(next_action(&r), FAILOVER_QUERY_POSITIONS);
}
END_TEST

/* Return: the proposed candidate, -1 if the run waits. */
static int choose_candidate(struct run *r)
{
	int tries;

	for (tries = 0; tries < 3 && next_action(r) != FAILOVER_PROPOSE_STEP;
	     tries++)
		r->now_us += 100 * MS;
	return r->decision.action == FAILOVER_PROPOSE_STEP ?
		       r->decision.candidate :
		       -1;
}

/* Guards against promoting a candidate that lacks an acknowledged write. */
START_TEST(test_candidate_choice)
{
	struct run r;

	/*
	 * All daemons confirmed: a single answering replica qualifies if it
	 * holds the largest acknowledged position.
	 */
	run_init(&r);
	advance_to(&r, FAILOVER_FENCING, -1);
	confirm_fences_from(&r, 0);
	r.replicas[0].answered = true;
	ck_assert_int_eq(choose_candidate(&r), 0);
	run_init(&r);
	advance_to(&r, FAILOVER_FENCING, -1);
	confirm_fences_from(&r, 0);
	answer_all(&r);
	r.daemons[2].acknowledged.lsn = 102;
	ck_assert_int_eq(choose_candidate(&r), -1);
	ck_assert_ptr_nonnull(r.fo.blocked);
	/* One lease expired, one acknowledging replica: both must answer. */
	run_init(&r);
	advance_to(&r, FAILOVER_FENCING, -1);
	confirm_fences_from(&r, 1);
	r.now_us = 11000 * MS;
	r.replicas[1].answered = true;
	ck_assert_int_eq(choose_candidate(&r), -1);
	ck_assert_ptr_nonnull(r.fo.blocked);
	r.replicas[0].answered = true;
	ck_assert_int_eq(choose_candidate(&r), 1);
	/* One is enough if both replicas hold every acknowledged write. */
	run_init(&r);
	advance_to(&r, FAILOVER_FENCING, -1);
	confirm_fences_from(&r, 1);
	r.now_us = 11000 * MS;
	r.view.ack_replicas = 2;
	r.replicas[0].answered = true;
	ck_assert_int_eq(choose_candidate(&r), 0);
	/* A restarted daemon does not know what it acknowledged before. */
	run_init(&r);
	advance_to(&r, FAILOVER_FENCING, -1);
	confirm_fences_from(&r, 0);
	r.daemons[0].acknowledged = (struct position){ 0, 0 };
	r.replicas[1].answered = true;
	ck_assert_int_eq(choose_candidate(&r), -1);
	/* A replica promoted by an abandoned run does not qualify. */
	run_init(&r);
	advance_to(&r, FAILOVER_FENCING, -1);
	confirm_fences_from(&r, 0);
	answer_all(&r);
	r.replicas[1].promoted = true;
	r.replicas[1].received = (struct position){ TERM + 1, 900 };
	ck_assert_int_eq(choose_candidate(&r), 0);
}
END_TEST

/* Guards against a second log of the current term: the term of a replica that
 * still follows an earlier one becomes the current one, and the run never ends. */
START_TEST(test_candidate_of_earlier_term)
{
	struct run r;

	run_init(&r);
	r.daemons[0].acknowledged = (struct position){ 0, 0 };
	r.daemons[1].acknowledged = (struct position){ 0, 0 };
	r.daemons[2].acknowledged = (struct position){ 0, 0 };
	r.replicas[0].received.term = r.replicas[1].received.term = TERM - 1;
	advance_to(&r, FAILOVER_FENCING, -1);
	confirm_fences_from(&r, 0);
	answer_all(&r);
	ck_assert_int_eq(choose_candidate(&r), -1);
	ck_assert_ptr_nonnull(r.fo.blocked);
	/* The operator has made one of them follow the last primary. */
	r.replicas[0].received = (struct position){ TERM, 90 };
	ck_assert_int_eq(choose_candidate(&r), 0);
}
END_TEST

/* Guards against choosing a candidate by answers from before the fence. */
START_TEST(test_positions_queried_after_fence)
{
	struct run r;

	run_init(&r);
	answer_all(&r);
	commit_step(&r, FAILOVER_FENCING, -1);
	ck_assert_int_eq(next_action(&r), FAILOVER_SEND_FENCES);
	confirm_fences_from(&r, 0);
	ck_assert_int_eq(next_action(&r), FAILOVER_QUERY_POSITIONS);
}
END_TEST

/*
 * Guards against a new leader that starts over, or that treats a promotion
 * whose answer was lost as failed.
 */
START_TEST(test_resume)
{
	struct run r;

	run_init(&r);
	failover_resume(&r.fo, FAILOVER_FENCING, TERM, -1, r.now_us);
	ck_assert_int_eq(next_action(&r), FAILOVER_SEND_FENCES);
	run_init(&r);
	failover_resume(&r.fo, FAILOVER_PROMOTING, TERM, 1, r.now_us);
	ck_assert_int_eq(next_action(&r), FAILOVER_PROMOTE);
	ck_assert_int_eq(r.decision.candidate, 1);
	r.now_us += 500 * MS;
	ck_assert_int_eq(next_action(&r), FAILOVER_PROMOTE);
	r.replicas[1].answered = r.replicas[1].promoted = true;
	r.replicas[1].received.term = TERM + 1;
	ck_assert_int_eq(next_action(&r), FAILOVER_PROPOSE_STEP);
	ck_assert_int_eq(r.decision.step, FAILOVER_DONE);
	run_init(&r);
	/* The replicas may still follow the primary of the ended term. */
	failover_resume(&r.fo, FAILOVER_DONE, TERM + 1, 1, r.now_us);
	ck_assert_int_eq(next_action(&r), FAILOVER_QUERY_POSITIONS);
	answer_all(&r);
	ck_assert_int_eq(next_action(&r), FAILOVER_REPOINT);
}
END_TEST

/*
 * Guards against a run that does not continue after its candidate fails, and
 * against another candidate that lacks an acknowledged write.
 */
START_TEST(test_candidate_fails)
{
	struct run r;

	run_init(&r);
	advance_to(&r, FAILOVER_PROMOTING, 1);
	ck_assert_int_eq(next_action(&r), FAILOVER_PROMOTE);
	r.replicas[1].answered = false;
	r.now_us += 2000 * MS - 1;
	ck_assert_int_eq(next_action(&r), FAILOVER_PROMOTE);
	r.now_us++;
	ck_assert_int_eq(next_action(&r), FAILOVER_PROPOSE_STEP);
	ck_assert_int_eq(r.decision.step, FAILOVER_PROMOTING);
	ck_assert_int_eq(r.decision.candidate, 0);

	run_init(&r);
	advance_to(&r, FAILOVER_PROMOTING, 1);
	r.daemons[0].acknowledged.lsn = 101;
	next_action(&r);
	r.replicas[1].answered = false;
	r.now_us += 2000 * MS - 1;
	next_action(&r);
	r.now_us++;
	ck_assert_int_eq(next_action(&r), FAILOVER_QUERY_POSITIONS);
	ck_assert_ptr_nonnull(r.fo.blocked);
	r.replicas[1].answered = true;
	r.now_us += 1000 * MS;
	ck_assert_int_eq(next_action(&r), FAILOVER_PROMOTE);
}
END_TEST

TEST_MAIN("failover", test_suspicion, test_suspicion_expires,
	  test_suspicion_of_new_leader, test_suspicion_is_confirmed,
	  test_steps_in_order, test_abandon_and_propose_again,
	  test_fence_by_expiry, test_candidate_choice,
	  test_candidate_of_earlier_term, test_positions_queried_after_fence,
	  test_resume, test_candidate_fails)
