#include "raft_internal.h"

#include <xxhash.h>

/*
 * A pre-vote is repeated after a random time between the election timeout
 * divided by this and twice that.
 */
#define PRE_VOTE_RETRY_DIVISOR 4
/*
 * A node that granted a pre-vote refuses all other candidates for the election
 * timeout divided by this: time for a sync and a few round trips.
 */
#define PRE_VOTE_EXCLUSIVE_DIVISOR 8

/*
 * Sets a random timeout, uniform between @min_us and twice that. The sequence
 * of timeouts depends only on the seed and the identity of the node.
 */
static void set_election_timeout(struct raft *raft, int64_t min_us)
{
	uint64_t count = raft->nr_election_timeouts++;
	uint64_t hash = XXH64(&count, sizeof(count),
			      raft->config.seed ^ raft->config.id << 32);

	raft->election_deadline_us = raft->now_us + min_us +
				     (int64_t)(hash % ((uint64_t)min_us + 1));
}

void raft_reset_deadline(struct raft *raft)
{
	set_election_timeout(raft, raft->config.election_timeout_us);
}

bool raft_heard_leader_recently(const struct raft *raft)
{
	if (raft->role == RAFT_LEADER)
		return true;
	return raft->now_us - raft->last_contact_us <
	       raft->config.election_timeout_us;
}

/*
 * The leader's lease is valid only because the nodes that heard the leader
 * refuse their votes to others, even after a restart. So the leader's identity
 * is saved, unless the saved vote names it already.
 */
void raft_record_leader_contact(struct raft *raft, uint64_t leader)
{
	raft->last_contact_us = raft->now_us;
	raft->lease_leader = leader;
	raft->lease_term = raft->hs.term;
	raft->lease_restored = false;
	raft_reset_deadline(raft);
	if (raft->hs.voted_for == leader || raft->hs.leader == leader)
		return;
	raft->hs.leader = leader;
	raft->ops.save_hard_state(&raft->hs, raft->data);
}

static void release_leader_lease(struct raft *raft)
{
	raft->lease_leader = 0;
	raft->lease_restored = false;
	raft->last_contact_us = raft->now_us - raft->config.election_timeout_us;
}

/*
 * A leader that requests votes in a later term has stepped down and cannot lead
 * its old term again, so its lease has ended and this node may vote.
 */
void raft_release_ended_lease(struct raft *raft, const struct raft_message *msg)
{
	if (msg->from != raft->lease_leader || msg->term <= raft->lease_term)
		return;
	release_leader_lease(raft);
	if (raft->leader == msg->from)
		raft->leader = 0;
	/* Campaign soon: the former leader's log may be too short to win. */
	if (raft->role == RAFT_FOLLOWER)
		set_election_timeout(raft, raft->config.election_timeout_us /
						   PRE_VOTE_RETRY_DIVISOR);
}

void raft_release_removed_leader(struct raft *raft,
				 const struct raft_entry *entry)
{
	if (!raft->lease_leader || entry->term != raft->lease_term ||
	    raft_member(&raft->applied_members, raft->lease_leader))
		return;
	if (raft->leader == raft->lease_leader)
		raft->leader = 0;
	release_leader_lease(raft);
	if (raft->role == RAFT_FOLLOWER)
		set_election_timeout(raft, raft->config.election_timeout_us /
						   PRE_VOTE_RETRY_DIVISOR / 2);
}

/*
 * Only the leader's identity is stored, not the time at which it was last
 * heard, so the time of the start is taken for it. A node that was the leader
 * itself has no other leader's lease to respect and campaigns at once.
 */
void raft_restore_leader_lease(struct raft *raft)
{
	const struct raft_hard_state *hs = &raft->hs;

	raft->last_contact_us = raft->now_us;
	raft_reset_deadline(raft);
	raft->lease_leader = hs->leader ? hs->leader : hs->voted_for;
	raft->lease_term = hs->term;
	raft->lease_restored = true;
	if (raft->lease_leader != raft->config.id)
		return;
	release_leader_lease(raft);
	raft->election_deadline_us = raft->now_us;
}

uint64_t raft_restored_leader(const struct raft *raft)
{
	return raft->lease_restored ? raft->lease_leader : 0;
}

void raft_restored_leader_ended(struct raft *raft, int64_t now_us)
{
	if (!raft->lease_restored)
		return;
	raft->now_us = MAX(raft->now_us, now_us);
	release_leader_lease(raft);
	if (raft->role == RAFT_FOLLOWER)
		set_election_timeout(raft, raft->config.election_timeout_us /
						   PRE_VOTE_RETRY_DIVISOR / 2);
}

static void count_vote(struct raft *raft, uint64_t id)
{
	unsigned i;

	if (!raft_is_voter(&raft->members, id))
		return;
	for (i = 0; i < raft->nr_votes; i++)
		if (raft->votes[i] == id)
			return;
	if (raft->nr_votes < RAFT_MEMBERS_MAX)
		raft->votes[raft->nr_votes++] = id;
}

static bool has_majority(const struct raft *raft)
{
	return raft->nr_votes >= raft_majority(&raft->members);
}

static void request_vote(struct raft *raft, enum raft_message_type type,
			 uint64_t term, uint64_t id)
{
	struct raft_message msg = {
		.type = type,
		.to = id,
		.term = term,
		.log_index = raft_log_last(&raft->log),
		.log_term = raft_log_last_term(&raft->log),
	};

	if (id != raft->config.id && raft_is_voter(&raft->members, id))
		raft_send(raft, &msg);
}

static void request_votes(struct raft *raft, enum raft_message_type type,
			  uint64_t term)
{
	unsigned i;

	for (i = 0; i < raft->members.nr; i++)
		request_vote(raft, type, term, raft->members.member[i].id);
}

void raft_peer_connected(struct raft *raft, uint64_t id, int64_t now_us)
{
	raft->now_us = MAX(raft->now_us, now_us);
	if (raft->role == RAFT_PRE_CANDIDATE)
		request_vote(raft, RAFT_PRE_VOTE, raft->hs.term + 1, id);
}

static void become_leader(struct raft *raft)
{
	raft->role = RAFT_LEADER;
	raft->leader = raft->config.id;
	raft->became_leader_us = raft->now_us;
	raft->nr_progress = 0;
	raft->round = 0;
	raft_progress_update(raft);
	/* An entry of its own term lets the leader commit the older ones. */
	raft_append_local(raft, RAFT_ENTRY_NOOP, NULL, 0);
	raft_send_heartbeats(raft);
}

static void start_election(struct raft *raft)
{
	raft->role = RAFT_CANDIDATE;
	raft_reset_deadline(raft);
	raft->hs.term++;
	raft->hs.voted_for = raft->config.id;
	raft->hs.leader = 0;
	raft->ops.save_hard_state(&raft->hs, raft->data);
	raft->matched = 0;
	raft->leader_commit = 0;
	raft->nr_votes = 0;
	count_vote(raft, raft->config.id);
	if (has_majority(raft))
		become_leader(raft);
	else
		request_votes(raft, RAFT_VOTE, raft->hs.term);
}

/*
 * Asks the voters whether an election could be won before the term is raised,
 * so that a node that was isolated does not depose the leader when it returns.
 */
void raft_start_pre_vote(struct raft *raft)
{
	raft->role = RAFT_PRE_CANDIDATE;
	raft->leader = 0;
	raft->nr_votes = 0;
	/*
	 * A node that has just started refuses its vote for an election
	 * timeout. A short retry interval keeps the others from waiting a whole
	 * timeout more after all nodes were stopped.
	 */
	set_election_timeout(raft, raft->config.election_timeout_us /
					   PRE_VOTE_RETRY_DIVISOR);
	count_vote(raft, raft->config.id);
	if (has_majority(raft))
		start_election(raft);
	else
		request_votes(raft, RAFT_PRE_VOTE, raft->hs.term + 1);
}

static bool is_log_up_to_date(const struct raft *raft,
			      const struct raft_message *msg)
{
	uint64_t term = raft_log_last_term(&raft->log);

	if (msg->log_term != term)
		return msg->log_term > term;
	return msg->log_index >= raft_log_last(&raft->log);
}

/*
 * Grants one candidate at a time: two candidates that both win the pre-vote
 * would split the votes.
 */
static bool is_pre_vote_granted_to_other(const struct raft *raft,
					 uint64_t candidate)
{
	return raft->pre_vote_granted_to &&
	       raft->pre_vote_granted_to != candidate &&
	       raft->now_us - raft->pre_vote_granted_us <
		       raft->config.election_timeout_us /
			       PRE_VOTE_EXCLUSIVE_DIVISOR;
}

void raft_handle_vote(struct raft *raft, const struct raft_message *msg)
{
	bool pre_vote = msg->type == RAFT_PRE_VOTE;
	struct raft_message reply = {
		.type = pre_vote ? RAFT_PRE_VOTE_REPLY : RAFT_VOTE_REPLY,
		.to = msg->from,
	};
	bool grant = is_log_up_to_date(raft, msg) &&
		     !raft_heard_leader_recently(raft) && raft->members.nr;

	if (pre_vote)
		grant = grant && msg->term > raft->hs.term &&
			!is_pre_vote_granted_to_other(raft, msg->from);
	else
		grant = grant && (!raft->hs.voted_for ||
				  raft->hs.voted_for == msg->from);
	reply.accepted = grant;
	reply.term = pre_vote && grant ? msg->term : raft->hs.term;
	if (grant && pre_vote) {
		raft->pre_vote_granted_to = msg->from;
		raft->pre_vote_granted_us = raft->now_us;
	}
	if (grant && !pre_vote) {
		raft->hs.voted_for = msg->from;
		raft->ops.save_hard_state(&raft->hs, raft->data);
		raft_reset_deadline(raft);
	}
	raft_send(raft, &reply);
}

void raft_handle_vote_reply(struct raft *raft, const struct raft_message *msg)
{
	if (!msg->accepted)
		return;
	if (msg->type == RAFT_PRE_VOTE_REPLY) {
		if (raft->role != RAFT_PRE_CANDIDATE ||
		    msg->term != raft->hs.term + 1)
			return;
		count_vote(raft, msg->from);
		if (has_majority(raft))
			start_election(raft);
		return;
	}
	if (raft->role != RAFT_CANDIDATE || msg->term != raft->hs.term)
		return;
	count_vote(raft, msg->from);
	if (has_majority(raft))
		become_leader(raft);
}
