#include "raft_sim.h"
#include "test_main.h"

/* Guards against a group without a leader, and lost or reordered entries. */
START_TEST(test_replicates)
{
	struct sim *sim = sim_new(1, 3);
	uint64_t index = 0;
	unsigned i;

	for (i = 0; i < 50; i++)
		index = sim_commit_entry(sim);
	sim_run(sim, 200000);
	for (i = 1; i <= 3; i++)
		ck_assert_uint_ge(raft_applied_index(sim->node[i].raft), index);
	sim_free(sim);
}
END_TEST

/* Guards against counting nodes for a commit that have not synced the entry. */
START_TEST(test_unsynced_does_not_count)
{
	struct sim *sim = sim_new(2, 3);
	struct sim_node *leader = sim_wait_for_leader(sim);
	uint64_t before = raft_commit_index(leader->raft);
	uint64_t index;

	sim->sync_probability = 0;
	ck_assert(sim_propose(sim, leader, &index));
	sim_run(sim, 500000);
	ck_assert(raft_is_leader(leader->raft));
	ck_assert_uint_eq(raft_commit_index(leader->raft), before);
	/* Two followers that synced are a majority without the leader. */
	sim_sync(&sim->node[leader->id % 3 + 1]);
	sim_run(sim, 20000);
	ck_assert_uint_eq(raft_commit_index(leader->raft), before);
	sim_sync(&sim->node[(leader->id + 1) % 3 + 1]);
	sim_run(sim, 20000);
	ck_assert_uint_eq(raft_commit_index(leader->raft), index);
	ck_assert_uint_eq(raft_applied_index(leader->raft), before);
	sim_free(sim);
}
END_TEST

/* Guards against a node that deposes the leader when its isolation ends. */
START_TEST(test_returning_node_does_not_depose_leader)
{
	uint32_t seed;

	for (seed = 1; seed <= 20; seed++) {
		struct sim *sim = sim_new(seed, 3);
		struct sim_node *leader = sim_wait_for_leader(sim);
		uint64_t term = raft_term(leader->raft);
		uint64_t isolated = leader->id % 3 + 1;
		unsigned i;

		sim_isolate(sim, isolated, true);
		for (i = 0; i < 30; i++) {
			sim_commit_entry(sim);
			sim_run(sim, 100000);
		}
		sim_isolate(sim, isolated, false);
		sim_run(sim, 2000000);
		ck_assert(raft_is_leader(leader->raft));
		ck_assert_uint_eq(raft_term(leader->raft), term);
		ck_assert_uint_eq(raft_term(sim->node[isolated].raft), term);
		ck_assert_uint_eq(raft_commit_index(sim->node[isolated].raft),
				  raft_commit_index(leader->raft));
		sim_free(sim);
	}
}
END_TEST

/* Guards against commits and leases of a leader in a minority partition. */
START_TEST(test_isolated_leader)
{
	struct sim *sim = sim_new(3, 5);
	struct sim_node *old = sim_wait_for_leader(sim);
	uint64_t before = raft_commit_index(old->raft);
	uint64_t partner_id = old->id % 5 + 1;
	int64_t cut_us;
	unsigned i;
	uint64_t index;

	sim_run(sim, 100000);
	ck_assert_int_gt(raft_lease_until_us(old->raft), sim->now_us);
	for (i = 1; i <= 5; i++)
		if (i != old->id && i != partner_id)
			sim->link_cut[i][old->id] = sim->link_cut[old->id][i] =
				sim->link_cut[i][partner_id] =
					sim->link_cut[partner_id][i] = true;
	cut_us = sim->now_us;
	ck_assert(sim_propose(sim, old, &index));
	while (raft_is_leader(old->raft) && sim->now_us < cut_us + 1000000) {
		struct sim_node *other = sim_leader(sim);

		ck_assert(other == old ||
			  raft_lease_until_us(old->raft) <= sim->now_us);
		/* The lease counts from a heartbeat sent before the cut. */
		ck_assert_int_lt(raft_lease_until_us(old->raft),
				 cut_us + SIM_ELECTION_US);
		sim_step(sim);
	}
	/* Check-quorum: it steps down within an election timeout and 10 ms. */
	ck_assert_int_le(sim->now_us - cut_us, SIM_ELECTION_US + 10000);
	ck_assert_uint_eq(raft_commit_index(old->raft), before);
	ck_assert_uint_ne(sim_wait_for_leader(sim)->id, old->id);
	index = sim_commit_entry(sim);
	memset(sim->link_cut, 0, sizeof(sim->link_cut));
	sim_run(sim, 1000000);
	ck_assert_uint_ge(raft_commit_index(old->raft), index);
	sim_free(sim);
}
END_TEST

/*
 * Guards against a lease that is still valid after another leader obtained one,
 * on lossy links and across restarts, with clocks of equal rate.
 */
START_TEST(test_lease_is_exclusive)
{
	uint32_t seed;

	for (seed = 1; seed <= 40; seed++) {
		struct sim *sim = sim_new(seed, 3);
		unsigned step;

		sim->loss_probability = 0.15;
		for (step = 0; step < 6000; step++) {
			unsigned nr_leases = 0;
			unsigned i;

			if (step % 700 == 699) {
				uint64_t id = step / 700 % 3 + 1;

				sim_crash(sim, id);
				sim_start(sim, id);
			}
			if (step % 400 == 0)
				sim_isolate(sim, step / 800 % 3 + 1,
					    step / 400 % 2);
			sim_step(sim);
			for (i = 1; i <= 3; i++)
				nr_leases +=
					raft_lease_until_us(sim->node[i].raft) >
					sim->now_us;
			ck_assert_uint_le(nr_leases, 1);
		}
		sim_free(sim);
	}
}
END_TEST

/* Guards against a follower that never receives a snapshot it needs. */
START_TEST(test_snapshot_to_late_node)
{
	struct sim *sim = sim_new(4, 3);
	uint64_t isolated = sim_wait_for_leader(sim)->id % 3 + 1;
	uint64_t index = 0;
	uint64_t before;
	unsigned i;

	sim->snapshot_padding = 600 * 1024;
	sim->loss_probability = 0.05;
	sim->duplicate_probability = 0.5;
	sim_isolate(sim, isolated, true);
	for (i = 0; i < 600; i++)
		index = sim_commit_entry(sim);
	before = sim->snapshots_received;
	sim_isolate(sim, isolated, false);
	sim_run(sim, 3000000);
	ck_assert_uint_gt(sim->snapshots_received, before);
	ck_assert_uint_ge(raft_applied_index(sim->node[isolated].raft), index);
	sim_crash(sim, isolated);
	sim_start(sim, isolated);
	sim_run(sim, 1000000);
	ck_assert_uint_ge(raft_applied_index(sim->node[isolated].raft), index);
	sim_free(sim);
}
END_TEST

/* Guards against unbounded appends to a follower that does not reply. */
START_TEST(test_flow_control)
{
	struct sim *sim = sim_new(5, 3);
	struct sim_node *leader = sim_wait_for_leader(sim);
	uint64_t slow = leader->id % 3 + 1;
	GError *error = NULL;
	size_t sent = 0;
	uint64_t index;
	unsigned i;

	sim_run(sim, 100000);
	sim->link_cut[slow][leader->id] = true;
	for (i = 0; i < 2000; i++)
		ck_assert(sim_propose(sim, leader, &index));
	for (i = 0; i < sim->messages->len; i++) {
		struct sim_message *l =
			&g_array_index(sim->messages, struct sim_message, i);

		if (l->msg.to == slow)
			sent += l->msg.nr_entries;
	}
	ck_assert_uint_le(sent,
			  RAFT_INFLIGHT_APPENDS_MAX * RAFT_APPEND_ENTRIES_MAX);
	/* The rest follows in batches once replies arrive. */
	sim->link_cut[slow][leader->id] = false;
	sim_run(sim, 1000000);
	ck_assert_uint_eq(raft_commit_index(sim->node[slow].raft), index);
	while (raft_propose(leader->raft, (uint8_t *)"x", 1, NULL, &error))
		;
	ck_assert(g_error_matches(error, CW_ERROR, CW_ERROR_LIMIT));
	g_clear_error(&error);
	sim_free(sim);
}
END_TEST

/* Guards against reallocation of the log while an entry is applied. */
START_TEST(test_propose_while_applying)
{
	struct sim *sim = sim_new(13, 3);
	uint64_t index;

	sim_wait_for_leader(sim);
	sim->propose_in_apply = 2000;
	index = sim_commit_entry(sim);
	sim_run(sim, 1000000);
	ck_assert_uint_ge(raft_applied_index(sim_wait_for_leader(sim)->raft),
			  index + 2000);
	sim_free(sim);
}
END_TEST

/*
 * Guards against equal election timeouts on two nodes, and against timeouts
 * that depend on more than the seed.
 */
START_TEST(test_seeded_jitter)
{
	struct sim *a = sim_new(6, 3);
	struct sim *b = sim_new(6, 3);

	ck_assert_int_eq(a->node[1].raft->election_deadline_us,
			 b->node[1].raft->election_deadline_us);
	ck_assert_int_ne(a->node[1].raft->election_deadline_us,
			 a->node[2].raft->election_deadline_us);
	ck_assert_uint_eq(sim_wait_for_leader(a)->id,
			  sim_wait_for_leader(b)->id);
	ck_assert_int_eq(a->now_us, b->now_us);
	sim_free(a);
	sim_free(b);
}
END_TEST

/* Guards against accepting malformed messages from the network. */
START_TEST(test_malformed_messages)
{
	struct sim *sim = sim_new(7, 3);
	struct sim_node *leader = sim_wait_for_leader(sim);
	struct sim_node *f = &sim->node[leader->id % 3 + 1];
	uint64_t last = raft_log_last(&f->raft->log);
	uint8_t bad_members[] = { 9, 1 };
	struct raft_entry e = { .index = last + 5, .term = 1 };
	struct raft_message msg = {
		.type = RAFT_APPEND,
		.from = leader->id,
		.to = f->id,
		.term = raft_term(leader->raft),
		.log_index = last,
		.log_term = raft_log_last_term(&f->raft->log),
		.accepted = true,
		.entries = &e,
		.nr_entries = 1,
	};

	raft_receive(f->raft, &msg, sim->now_us);
	ck_assert_uint_eq(raft_log_last(&f->raft->log), last);
	e.index = last + 1;
	e.term = msg.term;
	e.kind = RAFT_ENTRY_MEMBERS;
	e.data = bad_members;
	e.len = sizeof(bad_members);
	raft_receive(f->raft, &msg, sim->now_us);
	ck_assert_uint_eq(raft_log_last(&f->raft->log), last);
	msg.type = RAFT_SNAPSHOT;
	msg.log_index = last + 100;
	msg.snapshot_done = true;
	raft_receive(f->raft, &msg, sim->now_us);
	ck_assert_uint_eq(f->raft->snapshot.index, 1);
	sim_free(sim);
}
END_TEST

static struct raft_message vote_request(uint64_t from, uint64_t to,
					uint64_t term)
{
	return (struct raft_message){
		.type = RAFT_VOTE,
		.from = from,
		.to = to,
		.term = term,
		.log_index = 1000,
		.log_term = term - 1,
	};
}

/* Guards against a second vote in the same term after a restart. */
START_TEST(test_vote_survives_restart)
{
	struct sim *sim = sim_new(8, 3);
	struct raft_message msg = vote_request(2, 1, 50);

	sim_crash(sim, 2);
	sim_crash(sim, 3);
	sim->now_us += 2 * SIM_ELECTION_US;
	raft_receive(sim->node[1].raft, &msg, sim->now_us);
	ck_assert(sim_find_undelivered(sim, 1, RAFT_VOTE_REPLY)->accepted);
	sim_crash(sim, 1);
	sim_start(sim, 1);
	g_array_set_size(sim->messages, 0);
	sim->now_us += 2 * SIM_ELECTION_US;
	msg = vote_request(3, 1, 50);
	raft_receive(sim->node[1].raft, &msg, sim->now_us);
	ck_assert(!sim_find_undelivered(sim, 1, RAFT_VOTE_REPLY)->accepted);
	sim_free(sim);
}
END_TEST

/*
 * Guards against a restart that violates the leader's lease: a follower that
 * heard the leader shortly before must refuse its vote to other nodes as if it
 * had not restarted.
 */
START_TEST(test_restart_respects_lease)
{
	struct sim *sim = sim_new(9, 3);
	uint64_t id = sim_wait_for_leader(sim)->id % 3 + 1;
	struct raft_message msg = vote_request(id % 3 + 1, id, 50);

	ck_assert_uint_ne(msg.from, sim_wait_for_leader(sim)->id);
	sim_crash(sim, id);
	sim_start(sim, id);
	sim->now_us += SIM_ELECTION_US - 1;
	raft_receive(sim->node[id].raft, &msg, sim->now_us);
	ck_assert_uint_lt(raft_term(sim->node[id].raft), 50);
	sim->now_us += 1;
	raft_receive(sim->node[id].raft, &msg, sim->now_us);
	ck_assert_uint_eq(raft_term(sim->node[id].raft), 50);
	ck_assert(sim_find_undelivered(sim, id, RAFT_VOTE_REPLY)->accepted);
	sim_free(sim);
}
END_TEST

/*
 * Guards against waiting for a leader that lost its disk, and against ending
 * the lease of a leader that was heard since the start.
 */
START_TEST(test_leader_without_disk)
{
	struct sim *sim = sim_new(9, 3);
	uint64_t leader = sim_wait_for_leader(sim)->id;
	uint64_t id = leader % 3 + 1;
	struct raft_message msg = vote_request(id % 3 + 1, id, 50);
	struct raft *raft = sim->node[id].raft;

	ck_assert_uint_eq(raft_restored_leader(raft), 0);
	raft_restored_leader_ended(raft, sim->now_us);
	raft_receive(raft, &msg, sim->now_us);
	ck_assert_uint_lt(raft_term(raft), 50);
	sim_crash(sim, id);
	sim_start(sim, id);
	raft = sim->node[id].raft;
	ck_assert_uint_eq(raft_restored_leader(raft), leader);
	raft_receive(raft, &msg, sim->now_us);
	ck_assert_uint_lt(raft_term(raft), 50);
	raft_restored_leader_ended(raft, sim->now_us);
	raft_receive(raft, &msg, sim->now_us);
	ck_assert_uint_eq(raft_term(raft), 50);
	sim_free(sim);
}
END_TEST

static void stop_all(struct sim *sim)
{
	unsigned i;

	for (i = 1; i <= 5; i++)
		sim_crash(sim, i);
	sim_run(sim, 500000);
}

/* Return: the node that was the leader when all were stopped. */
static uint64_t stop_all_under_leader(struct sim *sim)
{
	uint64_t leader;

	sim_wait_for_leader(sim);
	sim_run(sim, SIM_ELECTION_US);
	leader = sim_leader(sim)->id;
	stop_all(sim);
	return leader;
}

/*
 * Guards against waiting for an election timeout after all nodes were stopped.
 * The former leader requests votes as soon as it starts, which shows that no
 * lease of its term is valid. Service must resume within 150 ms, of which
 * 50 ms are left for the election.
 */
START_TEST(test_stop_of_all_needs_no_timeout)
{
	uint32_t seed;

	for (seed = 1; seed <= 200; seed++) {
		struct sim *sim = sim_new(seed, 5);
		uint64_t leader = stop_all_under_leader(sim);
		int64_t back_us;
		unsigned i;

		for (i = 1; i <= 5; i++) {
			if (i == leader)
				continue;
			sim_start(sim, i);
			sim_run(sim, 10000);
		}
		ck_assert_ptr_null(sim_leader(sim));
		sim_start(sim, leader);
		back_us = sim->now_us;
		sim_wait_for_leader(sim);
		ck_assert_int_le(sim->now_us - back_us, 50000);
		sim_free(sim);
	}
}
END_TEST

/*
 * Guards against a split vote when three of five nodes are running: the former
 * leader and a second node both send a pre-vote request to the third when it
 * starts, both win the pre-vote, and neither wins the election.
 */
START_TEST(test_third_node_decides)
{
	uint32_t seed;

	for (seed = 1; seed <= 200; seed++) {
		struct sim *sim = sim_new(seed, 5);
		uint64_t leader = stop_all_under_leader(sim);
		int64_t back_us;
		unsigned i;

		sim_start(sim, leader);
		sim_start(sim, leader % 5 + 1);
		sim_run(sim, 200000);
		sim_start(sim, (leader + 1) % 5 + 1);
		back_us = sim->now_us;
		for (i = 1; i <= 5; i++)
			if (sim->node[i].raft)
				raft_peer_connected(sim->node[i].raft,
						    (leader + 1) % 5 + 1,
						    sim->now_us);
		sim_wait_for_leader(sim);
		ck_assert_int_le(sim->now_us - back_us, 50000);
		sim_free(sim);
	}
}
END_TEST

/*
 * Guards against an early vote for the wrong node: after a node voted for one
 * candidate and then followed another leader of the same term, only that
 * leader's own vote request may be granted before the election timeout.
 */
START_TEST(test_only_leader_heard_gets_early_vote)
{
	struct sim *sim = sim_new(14, 3);
	struct raft_message msg = vote_request(2, 1, 50);
	struct raft_message append = {
		.type = RAFT_APPEND,
		.from = 3,
		.to = 1,
		.term = 50,
		.log_index = 1,
		.log_term = 1,
		.accepted = true,
	};

	sim_crash(sim, 2);
	sim_crash(sim, 3);
	sim->now_us += 2 * SIM_ELECTION_US;
	raft_receive(sim->node[1].raft, &msg, sim->now_us);
	ck_assert(sim_find_undelivered(sim, 1, RAFT_VOTE_REPLY)->accepted);
	raft_receive(sim->node[1].raft, &append, sim->now_us);
	sim_crash(sim, 1);
	sim_start(sim, 1);
	g_array_set_size(sim->messages, 0);
	msg = vote_request(2, 1, 51);
	msg.type = RAFT_PRE_VOTE;
	raft_receive(sim->node[1].raft, &msg, sim->now_us);
	ck_assert(!sim_find_undelivered(sim, 1, RAFT_PRE_VOTE_REPLY)->accepted);
	/* The leader itself may be granted a vote before the timeout. */
	g_array_set_size(sim->messages, 0);
	msg.from = 3;
	raft_receive(sim->node[1].raft, &msg, sim->now_us);
	ck_assert(sim_find_undelivered(sim, 1, RAFT_PRE_VOTE_REPLY)->accepted);
	sim_free(sim);
}
END_TEST

/*
 * Guards against an early vote after an upgrade: the older storage layout does
 * not record the leader, which may differ from the candidate voted for.
 */
START_TEST(test_upgrade_respects_lease)
{
	struct sim *sim = sim_new(16, 3);
	struct raft_message msg = vote_request(2, 1, 51);

	sim_crash(sim, 1);
	sim->node[1].disk.hs =
		(struct raft_hard_state){ 50, 2, RAFT_LEADER_UNKNOWN };
	sim_start(sim, 1);
	msg.type = RAFT_PRE_VOTE;
	raft_receive(sim->node[1].raft, &msg, sim->now_us);
	ck_assert(!sim_find_undelivered(sim, 1, RAFT_PRE_VOTE_REPLY)->accepted);
	sim_free(sim);
}
END_TEST

/*
 * Guards against a pre-vote request that the leader sent before its election,
 * and that arrives late, being taken as a sign that it has stepped down.
 */
START_TEST(test_late_pre_vote_of_leader)
{
	struct sim *sim = sim_new(17, 3);
	struct sim_node *leader = sim_wait_for_leader(sim);
	uint64_t id = leader->id % 3 + 1;
	struct raft_message late =
		vote_request(leader->id, id, raft_term(leader->raft));
	struct raft_message other = vote_request(id % 3 + 1, id, 50);

	late.type = other.type = RAFT_PRE_VOTE;
	raft_receive(sim->node[id].raft, &late, sim->now_us);
	raft_receive(sim->node[id].raft, &other, sim->now_us);
	ck_assert(
		!sim_find_undelivered(sim, id, RAFT_PRE_VOTE_REPLY)->accepted);
	sim_free(sim);
}
END_TEST

/*
 * Guards against two leases at once while any number of nodes stop and start
 * at any time and links are cut.
 */
START_TEST(test_lease_is_exclusive_over_stops)
{
	uint32_t seed;

	for (seed = 1; seed <= 60; seed++) {
		struct sim *sim = sim_new(seed, 5);
		unsigned step;

		sim->loss_probability = 0.05;
		sim->delay_us = 30000;
		for (step = 0; step < 6000; step++) {
			unsigned nr_leases = 0;
			unsigned i;

			for (i = 1; i <= 5; i++) {
				struct sim_node *n = &sim->node[i];
				double p = g_rand_double(sim->rand);

				if (n->raft && p < 0.002)
					sim_crash(sim, i);
				else if (!n->raft && p < 0.02)
					sim_start(sim, i);
			}
			if (step % 300 == 0)
				sim_isolate(sim, 1 + step / 600 % 5,
					    step / 300 % 2);
			sim_step(sim);
			for (i = 1; i <= 5; i++)
				nr_leases +=
					sim->node[i].raft &&
					raft_lease_until_us(sim->node[i].raft) >
						sim->now_us;
			ck_assert_uint_le(nr_leases, 1);
		}
		sim_free(sim);
	}
}
END_TEST

/* Guards against not repeating a pre-vote lost before its peer connected. */
START_TEST(test_pre_vote_repeated_on_connection)
{
	struct sim *sim = sim_new(15, 3);
	struct sim_node *n = &sim->node[1];

	sim_crash(sim, 2);
	sim_crash(sim, 3);
	sim_run(sim, 3 * SIM_ELECTION_US);
	g_array_set_size(sim->messages, 0);
	raft_peer_connected(n->raft, 2, sim->now_us);
	ck_assert_uint_eq(sim_find_undelivered(sim, 1, RAFT_PRE_VOTE)->to, 2);
	g_array_set_size(sim->messages, 0);
	raft_peer_connected(n->raft, 5, sim->now_us);
	ck_assert_uint_eq(sim->messages->len, 0);
	sim_free(sim);
}
END_TEST

/* Guards against a node that grants a pre-vote or vote without members. */
START_TEST(test_empty_node_does_not_vote)
{
	struct sim *sim = sim_new(10, 3);
	struct raft_message msg = vote_request(1, 4, 50);

	sim_start(sim, 4);
	sim->now_us += 3 * SIM_ELECTION_US;
	raft_receive(sim->node[4].raft, &msg, sim->now_us);
	msg.type = RAFT_PRE_VOTE;
	raft_receive(sim->node[4].raft, &msg, sim->now_us);
	ck_assert(!sim_find_undelivered(sim, 4, RAFT_VOTE_REPLY));
	ck_assert(!sim_find_undelivered(sim, 4, RAFT_PRE_VOTE_REPLY)->accepted);
	ck_assert_uint_eq(sim->node[4].disk.hs.term, 0);
	sim_free(sim);
}
END_TEST

/*
 * Guards against acknowledging unsynced entries that replaced synced entries
 * of the same indexes.
 */
START_TEST(test_replaced_entries_are_unsynced)
{
	struct sim *sim = sim_new(12, 3);
	struct raft_entry e[] = {
		{ .index = 2, .term = 5 },
		{ .index = 3, .term = 5 },
	};
	struct raft_message msg = {
		.type = RAFT_APPEND,
		.from = 2,
		.to = 1,
		.term = 5,
		.log_index = 1,
		.log_term = 1,
		.accepted = true,
		.entries = e,
		.nr_entries = 2,
	};

	raft_receive(sim->node[1].raft, &msg, sim->now_us);
	sim_sync(&sim->node[1]);
	ck_assert_uint_eq(
		sim_find_undelivered(sim, 1, RAFT_APPEND_REPLY)->match_index,
		3);
	msg.from = 3;
	msg.term = e[0].term = e[1].term = 6;
	raft_receive(sim->node[1].raft, &msg, sim->now_us);
	ck_assert_uint_eq(
		sim_find_undelivered(sim, 1, RAFT_APPEND_REPLY)->match_index,
		1);
	sim_sync(&sim->node[1]);
	ck_assert_uint_eq(
		sim_find_undelivered(sim, 1, RAFT_APPEND_REPLY)->match_index,
		3);
	sim_free(sim);
}
END_TEST

/*
 * Guards against slow elections when VMs start one after the other: running
 * nodes send pre-vote requests too early, are refused by a node that has just
 * started and may be bound by a lease, and wait for whole timeouts again. Such
 * a node refuses for one timeout, and a pre-vote is repeated after half a
 * timeout at most, so an election may take longer only after a split vote.
 */
START_TEST(test_staggered_restart)
{
	unsigned in_time = 0;
	uint32_t seed;

	for (seed = 1; seed <= 200; seed++) {
		struct sim *sim = sim_new(seed, 5);
		int64_t back_us;
		unsigned i;

		sim_wait_for_leader(sim);
		stop_all(sim);
		for (i = 1; i <= 3; i++) {
			sim_run(sim, g_rand_int_range(sim->rand, 0,
						      SIM_ELECTION_US));
			sim_start(sim, i);
		}
		back_us = sim->now_us;
		sim_wait_for_leader(sim);
		in_time += sim->now_us - back_us <= SIM_ELECTION_US * 3 / 2;
		sim_free(sim);
	}
	ck_assert_uint_ge(in_time, 180);
}
END_TEST

TEST_MAIN("raft", test_staggered_restart, test_replicates,
	  test_unsynced_does_not_count,
	  test_returning_node_does_not_depose_leader, test_isolated_leader,
	  test_lease_is_exclusive, test_snapshot_to_late_node,
	  test_flow_control, test_propose_while_applying, test_seeded_jitter,
	  test_malformed_messages, test_vote_survives_restart,
	  test_restart_respects_lease, test_leader_without_disk,
	  test_empty_node_does_not_vote, test_replaced_entries_are_unsynced,
	  test_third_node_decides, test_stop_of_all_needs_no_timeout,
	  test_only_leader_heard_gets_early_vote, test_upgrade_respects_lease,
	  test_late_pre_vote_of_leader, test_lease_is_exclusive_over_stops,
	  test_pre_vote_repeated_on_connection)
