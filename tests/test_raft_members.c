#include "raft_sim.h"
#include "test_main.h"

static void promote_learner(struct sim *sim, uint64_t id)
{
	int64_t until = sim->now_us + 5000000;

	while (!sim_change_member(sim, id, true, true) && sim->now_us < until)
		sim_run(sim, 10000);
	sim_commit_entry(sim);
	ck_assert(raft_is_voter(
		raft_current_members(sim_wait_for_leader(sim)->raft), id));
}

/* Guards against counting a learner in a commit or an election. */
START_TEST(test_learner_does_not_count)
{
	struct sim *sim = sim_new(21, 3);
	struct sim_node *leader = sim_wait_for_leader(sim);
	uint64_t before;
	uint64_t index;

	ck_assert(sim_change_member(sim, 4, true, false));
	sim_start(sim, 4);
	sim_commit_entry(sim);
	sim_run(sim, 500000);
	ck_assert_uint_ge(raft_match_index(leader->raft, 4),
			  raft_commit_index(leader->raft));
	before = raft_commit_index(leader->raft);
	sim_isolate(sim, leader->id % 3 + 1, true);
	sim_isolate(sim, (leader->id + 1) % 3 + 1, true);
	ck_assert(sim_propose(sim, leader, &index));
	sim_run(sim, 100000);
	ck_assert_uint_eq(raft_commit_index(leader->raft), before);
	sim_run(sim, 2000000);
	ck_assert(!sim_leader(sim));
	sim_free(sim);
}
END_TEST

/* Guards against the promotion of a learner that has not caught up. */
START_TEST(test_learner_catches_up_first)
{
	struct sim *sim = sim_new(22, 3);
	unsigned i;

	for (i = 0; i < 250; i++)
		sim_commit_entry(sim);
	ck_assert(sim_change_member(sim, 4, true, false));
	sim_commit_entry(sim);
	ck_assert(!sim_change_member(sim, 4, true, true));
	sim_start(sim, 4);
	promote_learner(sim, 4);
	sim_free(sim);
}
END_TEST

/* Guards against changes after which two majorities need not intersect. */
START_TEST(test_one_change_at_a_time)
{
	struct sim *sim = sim_new(23, 3);
	struct sim_node *leader = sim_wait_for_leader(sim);
	struct raft_members m = *raft_current_members(leader->raft);
	GError *error = NULL;

	m.member[m.nr++] = (struct raft_member){ 4, false };
	m.member[m.nr++] = (struct raft_member){ 5, false };
	ck_assert(!raft_change_members(leader->raft, &m, &error));
	ck_assert(g_error_matches(error, CW_ERROR, CW_ERROR_USAGE));
	g_clear_error(&error);
	m.nr--;
	m.member[3].voter = true;
	ck_assert(!raft_change_members(leader->raft, &m, &error));
	ck_assert(g_error_matches(error, CW_ERROR, CW_ERROR_USAGE));
	g_clear_error(&error);
	m.member[3].voter = false;
	ck_assert(raft_change_members(leader->raft, &m, NULL));
	m.member[m.nr++] = (struct raft_member){ 5, false };
	ck_assert(!raft_change_members(leader->raft, &m, &error));
	ck_assert(g_error_matches(error, CW_ERROR, CW_ERROR_CONFLICT));
	g_clear_error(&error);
	sim_commit_entry(sim);
	ck_assert(raft_change_members(leader->raft, &m, NULL));
	sim_free(sim);
}
END_TEST

/*
 * Guards against data loss when a second disk is lost right after the first
 * lost node was replaced.
 */
START_TEST(test_second_loss_after_repair)
{
	uint32_t seed;

	for (seed = 1; seed <= 20; seed++) {
		struct sim *sim = sim_new(seed, 3);
		uint64_t lost = sim_wait_for_leader(sim)->id % 3 + 1;
		uint64_t index;
		struct sim_node *leader;
		unsigned i;

		for (i = 0; i < 150; i++)
			sim_commit_entry(sim);
		sim_wipe_disk(sim, lost);
		ck_assert(sim_change_member(sim, 4, true, false));
		sim_start(sim, 4);
		promote_learner(sim, 4);
		ck_assert(sim_change_member(sim, lost, false, false));
		index = sim_commit_entry(sim);
		leader = sim_wait_for_leader(sim);
		sim_wipe_disk(sim, leader->id);
		ck_assert_uint_ge(
			raft_commit_index(sim_wait_for_leader(sim)->raft),
			index);
		sim_commit_entry(sim);
		sim_free(sim);
	}
}
END_TEST

/*
 * Guards against a deadlock: the leader fails after it committed the promotion
 * of a learner that has not received the entry, and the majority needs the
 * learner's vote.
 */
START_TEST(test_promoted_learner_votes)
{
	struct sim *sim = sim_new(25, 3);
	struct sim_node *leader = sim_wait_for_leader(sim);

	ck_assert(sim_change_member(sim, 4, true, false));
	sim_start(sim, 4);
	sim_commit_entry(sim);
	sim_run(sim, 500000);
	sim->link_cut[leader->id][4] = true;
	ck_assert(sim_change_member(sim, 4, true, true));
	sim_commit_entry(sim);
	ck_assert(!raft_is_voter(raft_current_members(sim->node[4].raft), 4));
	sim_crash(sim, leader->id);
	sim_commit_entry(sim);
	sim_free(sim);
}
END_TEST

/*
 * Guards against a node that lost its disk and then votes or acknowledges
 * under its old identity: a committed entry that it had synced would be lost.
 */
START_TEST(test_wiped_disk)
{
	uint32_t seed;

	for (seed = 1; seed <= 20; seed++) {
		struct sim *sim = sim_new(seed, 3);
		struct sim_node *leader = sim_wait_for_leader(sim);
		uint64_t wiped = leader->id % 3 + 1;
		uint64_t behind = (leader->id + 1) % 3 + 1;
		uint64_t index;

		sim_isolate(sim, behind, true);
		index = sim_commit_entry(sim);
		sim_wipe_disk(sim, wiped);
		sim_start(sim, wiped);
		sim_run(sim, 300000);
		ck_assert_uint_eq(sim->node[wiped].disk.hs.term, 0);
		sim_crash(sim, leader->id);
		sim_isolate(sim, behind, false);
		sim_run(sim, 3000000);
		ck_assert(!sim_leader(sim));
		ck_assert_uint_eq(sim->node[wiped].disk.hs.voted_for, 0);
		ck_assert_uint_eq(raft_log_last(&sim->node[wiped].raft->log),
				  0);
		/* The group recovers with the node that holds the entry. */
		sim_start(sim, leader->id);
		ck_assert_uint_ge(
			raft_log_last(&sim_wait_for_leader(sim)->raft->log),
			index);
		sim_free(sim);
	}
}
END_TEST

/*
 * Guards against a removed leader that does not step down, and a removed node
 * that disrupts the others with elections.
 */
START_TEST(test_remove_leader)
{
	struct sim *sim = sim_new(27, 3);
	struct sim_node *old = sim_wait_for_leader(sim);
	uint64_t term;

	ck_assert(sim_change_member(sim, old->id, false, false));
	sim_run(sim, 1500000);
	ck_assert(!raft_is_leader(old->raft));
	sim_commit_entry(sim);
	ck_assert_uint_ne(sim_wait_for_leader(sim)->id, old->id);
	term = raft_term(sim_wait_for_leader(sim)->raft);
	sim_run(sim, 3000000);
	ck_assert_uint_eq(raft_term(sim_wait_for_leader(sim)->raft), term);
	sim_free(sim);
}
END_TEST

/*
 * Guards against a deadlock found by raft_faults with seeds from 1001 on: with
 * two voters, the leader appends its own removal and steps down before it is
 * committed; the other voter's log is too short to win an election.
 */
START_TEST(test_interrupted_removal_of_leader)
{
	struct sim *sim = sim_new(28, 3);
	struct sim_node *old = sim_wait_for_leader(sim);

	ck_assert(sim_change_member(sim, old->id % 3 + 1, false, false));
	sim_commit_entry(sim);
	old = sim_wait_for_leader(sim);
	sim_isolate(sim, old->id, true);
	ck_assert(sim_change_member(sim, old->id, false, false));
	sim_sync(old);
	sim_run(sim, 1000000);
	ck_assert(!sim_leader(sim));
	sim_isolate(sim, old->id, false);
	sim_commit_entry(sim);
	sim_run(sim, 1000000);
	ck_assert_uint_ne(sim_wait_for_leader(sim)->id, old->id);
	sim_free(sim);
}
END_TEST

TEST_MAIN("raft_members", test_learner_does_not_count,
	  test_learner_catches_up_first, test_one_change_at_a_time,
	  test_second_loss_after_repair, test_promoted_learner_votes,
	  test_wiped_disk, test_remove_leader,
	  test_interrupted_removal_of_leader)
