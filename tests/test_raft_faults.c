#include "raft_sim.h"
#include "test_main.h"

/* Number of seeds for each test, and steps for each seed. */
#define FAULT_SEEDS 200
#define MEMBER_CHANGE_SEEDS 150
#define STEPS_PER_SEED 2500

static void inject_random_fault(struct sim *sim, unsigned nodes)
{
	uint64_t id = (uint64_t)g_rand_int_range(sim->rand, 1, (int)nodes + 1);
	uint64_t other =
		(uint64_t)g_rand_int_range(sim->rand, 1, (int)nodes + 1);

	switch (g_rand_int_range(sim->rand, 0, 7)) {
	case 0:
	case 1:
		if (sim->node[id].raft)
			sim_crash(sim, id);
		else
			sim_start(sim, id);
		return;
	case 2:
		sim_isolate(sim, id, true);
		return;
	case 3:
		sim_isolate(sim, id, false);
		return;
	case 4:
		/* Cuts or restores one direction of a link. */
		sim->link_cut[id][other] = !sim->link_cut[id][other];
		return;
	case 5:
		sim->loss_probability = g_rand_double_range(sim->rand, 0, 0.4);
		return;
	default:
		sim->sync_probability = g_rand_double_range(sim->rand, 0.05, 1);
		return;
	}
}

static void change_random_member(struct sim *sim)
{
	struct sim_node *n = sim_leader(sim);
	uint64_t id = (uint64_t)g_rand_int_range(sim->rand, 1, SIM_NODES + 1);
	struct raft_members m;
	const struct raft_member *known;
	unsigned i;

	if (!n)
		return;
	m = *raft_current_members(n->raft);
	known = raft_member(&m, id);
	if (!known) {
		/* Identities are not reused: nodes 4 to 6 join once each. */
		if (sim->node[id].raft || sim->node[id].disk.index ||
		    sim->node[id].disk.hs.term || m.nr == RAFT_MEMBERS_MAX)
			return;
		m.member[m.nr++] = (struct raft_member){ id, false };
		if (raft_change_members(n->raft, &m, NULL))
			sim_start(sim, id);
		return;
	}
	i = (unsigned)(known - m.member);
	if (!known->voter)
		m.member[i].voter = true;
	else if (g_rand_double(sim->rand) < 0.3)
		m.member[i] = m.member[--m.nr];
	raft_change_members(n->raft, &m, NULL);
}

static void run_seed(uint32_t seed, unsigned voters, bool changes)
{
	struct sim *sim = sim_new(seed, voters);
	unsigned nodes = changes ? SIM_NODES : voters;
	uint64_t index;
	unsigned i;

	sim->snapshot_entries = 20 + seed % 50;
	sim->duplicate_probability = 0.1;
	sim->delay_us = 1000 + seed % 20 * 1000;
	for (i = 0; i < STEPS_PER_SEED; i++) {
		struct sim_node *leader = sim_leader(sim);

		if (leader && g_rand_double(sim->rand) < 0.2)
			sim_propose(sim, leader, &index);
		if (g_rand_double(sim->rand) < 0.012)
			inject_random_fault(sim, nodes);
		if (changes && g_rand_double(sim->rand) < 0.02)
			change_random_member(sim);
		sim_step(sim);
	}
	/* The group must commit again once the faults have ended. */
	memset(sim->link_cut, 0, sizeof(sim->link_cut));
	sim->loss_probability = sim->duplicate_probability = 0;
	sim->sync_probability = 1;
	for (i = 1; i <= nodes; i++)
		if (!sim->node[i].raft && sim->node[i].disk.hs.term)
			sim_start(sim, i);
	sim_commit_entry(sim);
	sim_free(sim);
}

/*
 * Guards against two leaders of one term, diverging logs, lost committed
 * entries and diverging states under crashes, partitions and lossy links.
 */
START_TEST(test_random_faults)
{
	uint32_t seed;

	for (seed = 1; seed <= FAULT_SEEDS; seed++)
		run_seed(seed, seed % 2 ? 3 : 5, false);
}
END_TEST

/* As test_random_faults, while members are added, promoted and removed. */
START_TEST(test_random_faults_and_member_changes)
{
	uint32_t seed;

	for (seed = 1001; seed <= 1000 + MEMBER_CHANGE_SEEDS; seed++)
		run_seed(seed, 3, true);
}
END_TEST

/*
 * Guards against committing an entry of an earlier term by counting replicas
 * (Ongaro 2014, figure 3.7): a majority holds the old entry of a new leader,
 * but it must not be committed before an entry of the leader's own term is.
 */
START_TEST(test_no_commit_of_older_term)
{
	struct sim *sim = sim_new(11, 3);
	struct sim_node *leader = sim_wait_for_leader(sim);
	struct raft *raft = leader->raft;
	uint64_t follower = leader->id % 3 + 1;
	uint64_t before = raft_commit_index(raft);
	struct raft_message reply = {
		.type = RAFT_APPEND_REPLY,
		.from = follower,
		.to = leader->id,
		.accepted = true,
	};
	struct raft_entry old = { .term = raft_term(raft) };
	uint64_t index;

	ck_assert(sim_propose(sim, leader, &index));
	sim_flush(&leader->disk, leader->disk.unsynced->len);
	sim_crash(sim, leader->id);
	sim_start(sim, leader->id);
	raft = leader->raft;
	ck_assert_uint_eq(raft_log_last(&raft->log), index);
	old.index = index;
	/* The node leads a later term whose first entry is not synced yet. */
	raft->hs.term += 1;
	raft->role = RAFT_LEADER;
	raft->leader = leader->id;
	raft_progress_update(raft);
	raft_append_local(raft, RAFT_ENTRY_NOOP, NULL, 0);
	reply.term = raft->hs.term;
	reply.match_index = index;
	raft_receive(raft, &reply, sim->now_us);
	ck_assert_uint_le(raft_commit_index(raft), before);
	reply.match_index = index + 1;
	raft_persisted(raft, index + 1);
	raft_receive(raft, &reply, sim->now_us);
	ck_assert_uint_eq(raft_commit_index(raft), index + 1);
	ck_assert_uint_eq(raft_log_term(&raft->log, index), old.term);
	sim_free(sim);
}
END_TEST

TEST_MAIN("raft_faults", test_random_faults,
	  test_random_faults_and_member_changes, test_no_commit_of_older_term)
