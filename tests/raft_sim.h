#ifndef RAFT_SIM_H
#define RAFT_SIM_H

#include "error.h"
#include "raft_internal.h"

#include <check.h>
#include <string.h>
#include <xxhash.h>

/*
 * Simulates Raft nodes on a network in virtual time: messages are lost,
 * duplicated and reordered, links are cut, and a crash loses any suffix of the
 * unsynced writes. Safety properties of Raft are asserted after every step.
 */

#ifndef SIM_NODES
#define SIM_NODES 6
#endif
#define SIM_STEP_US 1000
#define SIM_ELECTION_US 150000
#define SIM_TERMS 4096

/* A message on the network that arrives at @at_us. */
struct sim_message {
	int64_t at_us;
	struct raft_message msg;
};

/**
 * struct sim_disk - what a node has stored
 * @index: last entry in the snapshot
 * @term: term of that entry
 * @unsynced: written entries that a crash may lose
 */
struct sim_disk {
	struct raft_hard_state hs;
	struct raft_members members;
	uint64_t index;
	uint64_t term;
	GByteArray *snapshot;
	GArray *entries;
	GArray *unsynced;
};

/**
 * struct sim_node - one simulated node
 * @raft: NULL while the node is stopped
 * @hash: hash over all applied entries
 * @applied: index of the last applied entry
 */
struct sim_node {
	struct sim *sim;
	uint64_t id;
	struct raft *raft;
	struct sim_disk disk;
	uint64_t hash;
	uint64_t applied;
};

/**
 * struct sim - the simulated group and its network
 * @loss_probability: probability that a message is lost
 * @duplicate_probability: probability that a message is duplicated
 * @delay_us: longest random part of a message's delay
 * @sync_probability: probability that a node syncs its writes in a step
 * @link_cut: links that lose every message, by sender and receiver
 * @state_hashes: hash of a node after each entry, 0 if none applied it
 * @applied_terms: term of each applied entry
 * @propose_in_apply: entries still to be proposed from inside the callback
 * @started: called before a node is started, as it applies its log again; may
 *           be NULL
 * @applied: called for each entry that a node applies; may be NULL
 */
struct sim {
	struct sim_node node[SIM_NODES + 1];
	GRand *rand;
	GArray *messages;
	int64_t now_us;
	double loss_probability;
	double duplicate_probability;
	int64_t delay_us;
	double sync_probability;
	bool link_cut[SIM_NODES + 1][SIM_NODES + 1];
	uint64_t leader_of_term[SIM_TERMS];
	GArray *state_hashes;
	GArray *applied_terms;
	size_t snapshot_padding;
	uint64_t snapshot_entries;
	uint64_t snapshots_received;
	uint64_t proposals;
	unsigned propose_in_apply;
	void (*started)(struct sim_node *n);
	void (*applied)(struct sim_node *n, const struct raft_entry *e);
};

static inline void sim_clear_entry(void *e)
{
	g_free(((struct raft_entry *)e)->data);
}

static inline GArray *sim_entries(const struct raft_entry *from, size_t nr)
{
	GArray *a = g_array_new(FALSE, FALSE, sizeof(struct raft_entry));
	size_t i;

	g_array_set_clear_func(a, sim_clear_entry);
	for (i = 0; i < nr; i++) {
		struct raft_entry e = from[i];

		e.data = e.len ? g_memdup2(e.data, e.len) : NULL;
		g_array_append_val(a, e);
	}
	return a;
}

static inline void sim_clear_message(void *p)
{
	struct raft_message *m = &((struct sim_message *)p)->msg;
	size_t i;

	for (i = 0; i < m->nr_entries; i++)
		g_free(m->entries[i].data);
	g_free(m->entries);
	g_free((void *)m->snapshot);
}

static inline void sim_enqueue(struct sim *sim, const struct raft_message *msg)
{
	struct sim_message l = { .msg = *msg };
	GArray *copy = sim_entries(msg->entries, msg->nr_entries);

	l.msg.entries = (void *)g_array_free(copy, FALSE);
	l.msg.snapshot = g_memdup2(msg->snapshot, msg->snapshot_len);
	l.at_us = sim->now_us + 200 +
		  g_rand_int_range(sim->rand, 0, (int)sim->delay_us + 1);
	g_array_append_val(sim->messages, l);
}

static inline void sim_send(const struct raft_message *msg, void *data)
{
	struct sim_node *n = data;
	struct sim *sim = n->sim;

	ck_assert_uint_le(msg->snapshot_len, 256 * 1024);
	if (msg->to > SIM_NODES || sim->link_cut[n->id][msg->to] ||
	    g_rand_double(sim->rand) < sim->loss_probability)
		return;
	sim_enqueue(sim, msg);
	if (g_rand_double(sim->rand) < sim->duplicate_probability)
		sim_enqueue(sim, msg);
}

static inline void sim_save_hard_state(const struct raft_hard_state *hs,
				       void *data)
{
	struct sim_node *n = data;

	ck_assert_uint_ge(hs->term, n->disk.hs.term);
	if (hs->term == n->disk.hs.term && n->disk.hs.voted_for)
		ck_assert_uint_eq(hs->voted_for, n->disk.hs.voted_for);
	n->disk.hs = *hs;
}

static inline void sim_append(const struct raft_entry *e, size_t nr, void *data)
{
	struct sim_node *n = data;
	GArray *copy = sim_entries(e, nr);

	g_array_append_vals(n->disk.unsynced, copy->data, copy->len);
	g_array_set_clear_func(copy, NULL);
	g_array_free(copy, TRUE);
}

/* Syncs the first @nr unsynced writes. */
static inline void sim_flush(struct sim_disk *d, unsigned nr)
{
	unsigned i;

	for (i = 0; i < nr; i++) {
		struct raft_entry e =
			g_array_index(d->unsynced, struct raft_entry, i);
		uint64_t at = e.index - d->index - 1;

		if (e.index <= d->index) {
			g_free(e.data);
			continue;
		}
		ck_assert_uint_le(at, d->entries->len);
		g_array_set_size(d->entries, (guint)at);
		g_array_append_val(d->entries, e);
	}
	g_array_set_clear_func(d->unsynced, NULL);
	if (nr)
		g_array_remove_range(d->unsynced, 0, nr);
	g_array_set_clear_func(d->unsynced, sim_clear_entry);
}

static inline void sim_sync(struct sim_node *n)
{
	if (!n->raft)
		return;
	/* Saving a snapshot may have synced the entries already. */
	sim_flush(&n->disk, n->disk.unsynced->len);
	raft_persisted(n->raft, n->disk.index + n->disk.entries->len);
}

static inline void sim_apply(const struct raft_entry *e, void *data)
{
	struct sim_node *n = data;
	struct sim *sim = n->sim;
	uint64_t known;

	ck_assert_uint_eq(e->index, n->applied + 1);
	if (sim->propose_in_apply && raft_is_leader(n->raft))
		for (; sim->propose_in_apply; sim->propose_in_apply--)
			raft_propose(n->raft, (uint8_t *)"more", 4, NULL, NULL);
	ck_assert_uint_eq(e->index, n->applied + 1);
	n->applied = e->index;
	n->hash = XXH64(e->data, e->len, n->hash ^ e->term);
	if (sim->state_hashes->len < e->index) {
		g_array_set_size(sim->state_hashes, (guint)e->index);
		g_array_set_size(sim->applied_terms, (guint)e->index);
	}
	known = g_array_index(sim->state_hashes, uint64_t, e->index - 1);
	/* State machine safety: all nodes apply the same entries in order. */
	if (known)
		ck_assert_uint_eq(known, n->hash);
	g_array_index(sim->state_hashes, uint64_t, e->index - 1) = n->hash;
	g_array_index(sim->applied_terms, uint64_t, e->index - 1) = e->term;
	if (sim->applied)
		sim->applied(n, e);
}

static inline uint8_t *sim_take_snapshot(size_t *len, void *data)
{
	struct sim_node *n = data;
	uint8_t *bytes;
	size_t i;

	*len = 16 + n->sim->snapshot_padding;
	bytes = g_malloc0(*len);
	memcpy(bytes, &n->applied, 8);
	memcpy(bytes + 8, &n->hash, 8);
	for (i = 16; i < *len; i++)
		bytes[i] = (uint8_t)(i / 1000);
	return bytes;
}

static inline void sim_save_snapshot(uint64_t index, uint64_t term,
				     const struct raft_members *members,
				     const uint8_t *bytes, size_t len,
				     void *data)
{
	struct sim_disk *d = &((struct sim_node *)data)->disk;
	uint64_t at = index - d->index;
	bool keep;

	sim_flush(d, d->unsynced->len);
	keep = at <= d->entries->len &&
	       g_array_index(d->entries, struct raft_entry, at - 1).term ==
		       term;
	if (keep)
		g_array_remove_range(d->entries, 0, (guint)at);
	else
		g_array_set_size(d->entries, 0);
	d->index = index;
	d->term = term;
	d->members = *members;
	g_byte_array_set_size(d->snapshot, 0);
	g_byte_array_append(d->snapshot, bytes, (guint)len);
}

static inline void sim_restore_snapshot(const uint8_t *bytes, size_t len,
					void *data)
{
	struct sim_node *n = data;
	size_t i;

	/* The initial snapshot of a group contains no state. */
	if (!len) {
		n->applied = 1;
		n->hash = 0;
		return;
	}
	ck_assert_uint_ge(len, 16);
	for (i = 16; i < len; i++)
		if (bytes[i] != (uint8_t)(i / 1000))
			ck_abort_msg("snapshot differs at byte %zu", i);
	memcpy(&n->applied, bytes, 8);
	memcpy(&n->hash, bytes + 8, 8);
	n->sim->snapshots_received++;
}

static const struct raft_ops sim_ops = {
	.send = sim_send,
	.save_hard_state = sim_save_hard_state,
	.append = sim_append,
	.apply = sim_apply,
	.take_snapshot = sim_take_snapshot,
	.save_snapshot = sim_save_snapshot,
	.restore_snapshot = sim_restore_snapshot,
};

static inline void sim_start(struct sim *sim, uint64_t id)
{
	struct sim_node *n = &sim->node[id];
	struct raft_config config = {
		.id = id,
		.election_timeout_us = SIM_ELECTION_US,
		.heartbeat_interval_us = SIM_ELECTION_US / 3,
		.snapshot_entries = sim->snapshot_entries,
		.seed = g_rand_int(sim->rand),
	};
	struct raft_recovered rec = {
		.hard_state = n->disk.hs,
		.members = n->disk.members,
		.snapshot_index = n->disk.index,
		.snapshot_term = n->disk.term,
		.snapshot = n->disk.snapshot->data,
		.snapshot_len = n->disk.snapshot->len,
		.entries = (void *)n->disk.entries->data,
		.nr_entries = n->disk.entries->len,
	};

	n->applied = n->disk.index;
	n->hash = 0;
	if (sim->started)
		sim->started(n);
	n->raft = raft_new(&config, &rec, &sim_ops, n, sim->now_us);
}

static inline void sim_crash(struct sim *sim, uint64_t id)
{
	struct sim_node *n = &sim->node[id];
	guint nr = n->disk.unsynced->len;

	raft_free(n->raft);
	n->raft = NULL;
	sim_flush(&n->disk,
		  nr ? (unsigned)g_rand_int_range(sim->rand, 0, (int)nr + 1) :
		       0);
	g_array_set_size(n->disk.unsynced, 0);
}

/* Stops a node and loses its disk. */
static inline void sim_wipe_disk(struct sim *sim, uint64_t id)
{
	struct sim_disk *d = &sim->node[id].disk;

	sim_crash(sim, id);
	g_array_set_size(d->entries, 0);
	g_byte_array_set_size(d->snapshot, 0);
	d->index = d->term = 0;
	memset(&d->hs, 0, sizeof(d->hs));
	memset(&d->members, 0, sizeof(d->members));
}

/* Starts the first @voters nodes as a group; the others have empty disks. */
static inline struct sim *sim_new(uint32_t seed, unsigned voters)
{
	struct sim *sim = g_new0(struct sim, 1);
	unsigned i;
	unsigned k;

	sim->rand = g_rand_new_with_seed(seed);
	sim->messages = g_array_new(FALSE, FALSE, sizeof(struct sim_message));
	g_array_set_clear_func(sim->messages, sim_clear_message);
	sim->state_hashes = g_array_new(FALSE, TRUE, sizeof(uint64_t));
	sim->applied_terms = g_array_new(FALSE, TRUE, sizeof(uint64_t));
	sim->delay_us = 3000;
	sim->sync_probability = 0.7;
	sim->snapshot_entries = 100;
	for (i = 1; i <= SIM_NODES; i++) {
		struct sim_node *n = &sim->node[i];

		n->sim = sim;
		n->id = i;
		n->disk.snapshot = g_byte_array_new();
		n->disk.entries = sim_entries(NULL, 0);
		n->disk.unsynced = sim_entries(NULL, 0);
		if (i > voters)
			continue;
		n->disk.index = n->disk.term = n->disk.hs.term = 1;
		n->disk.members.nr = voters;
		for (k = 0; k < voters; k++)
			n->disk.members.member[k] =
				(struct raft_member){ k + 1, true };
	}
	for (i = 1; i <= voters; i++)
		sim_start(sim, i);
	return sim;
}

static inline void sim_free(struct sim *sim)
{
	unsigned i;

	for (i = 1; i <= SIM_NODES; i++) {
		raft_free(sim->node[i].raft);
		g_byte_array_free(sim->node[i].disk.snapshot, TRUE);
		g_array_free(sim->node[i].disk.entries, TRUE);
		g_array_free(sim->node[i].disk.unsynced, TRUE);
	}
	g_array_free(sim->messages, TRUE);
	g_array_free(sim->state_hashes, TRUE);
	g_array_free(sim->applied_terms, TRUE);
	g_rand_free(sim->rand);
	g_free(sim);
}

/* Election safety and leader completeness. */
static inline void sim_check_leader(struct sim *sim, struct sim_node *n)
{
	uint64_t term = raft_term(n->raft);
	uint64_t i;

	ck_assert_uint_lt(term, SIM_TERMS);
	if (sim->leader_of_term[term]) {
		ck_assert_uint_eq(sim->leader_of_term[term], n->id);
		return;
	}
	sim->leader_of_term[term] = n->id;
	ck_assert_uint_ge(raft_log_last(&n->raft->log),
			  sim->applied_terms->len);
	for (i = n->raft->log.base_index + 1; i <= sim->applied_terms->len;
	     i++) {
		uint64_t t = g_array_index(sim->applied_terms, uint64_t, i - 1);

		/* No node applied the entries before the initial snapshot. */
		if (t)
			ck_assert_uint_eq(raft_log_term(&n->raft->log, i), t);
	}
}

/* Log matching: logs are equal up to an entry with equal index and term. */
static inline void sim_check_logs(const struct raft_log *a,
				  const struct raft_log *b)
{
	uint64_t i = MIN(raft_log_last(a), raft_log_last(b));
	uint64_t low = MAX(a->base_index, b->base_index);
	bool equal = false;

	for (; i > low; i--) {
		const struct raft_entry *x = raft_log_get(a, i);
		const struct raft_entry *y = raft_log_get(b, i);

		equal = equal || x->term == y->term;
		if (!equal)
			continue;
		ck_assert_uint_eq(x->term, y->term);
		ck_assert_uint_eq(x->len, y->len);
		if (x->len)
			ck_assert_mem_eq(x->data, y->data, x->len);
	}
}

static inline void sim_check_invariants(struct sim *sim)
{
	unsigned i;
	unsigned k;

	for (i = 1; i <= SIM_NODES; i++) {
		if (!sim->node[i].raft)
			continue;
		if (raft_is_leader(sim->node[i].raft))
			sim_check_leader(sim, &sim->node[i]);
		if (sim->now_us % (64 * SIM_STEP_US))
			continue;
		for (k = i + 1; k <= SIM_NODES; k++)
			if (sim->node[k].raft)
				sim_check_logs(&sim->node[i].raft->log,
					       &sim->node[k].raft->log);
	}
}

static inline void sim_deliver(struct sim *sim)
{
	guint i = 0;

	while (i < sim->messages->len) {
		struct sim_message l =
			g_array_index(sim->messages, struct sim_message, i);
		struct sim_node *to = &sim->node[l.msg.to];

		if (l.at_us > sim->now_us) {
			i++;
			continue;
		}
		if (to->raft && !sim->link_cut[l.msg.from][l.msg.to])
			raft_receive(to->raft, &l.msg, sim->now_us);
		g_array_remove_index_fast(sim->messages, i);
	}
}

static inline void sim_step(struct sim *sim)
{
	unsigned i;

	sim->now_us += SIM_STEP_US;
	sim_deliver(sim);
	for (i = 1; i <= SIM_NODES; i++) {
		if (!sim->node[i].raft)
			continue;
		raft_tick(sim->node[i].raft, sim->now_us);
		if (g_rand_double(sim->rand) < sim->sync_probability)
			sim_sync(&sim->node[i]);
	}
	sim_check_invariants(sim);
}

static inline void sim_run(struct sim *sim, int64_t us)
{
	int64_t until = sim->now_us + us;

	while (sim->now_us < until)
		sim_step(sim);
}

/* The leader of the highest term, or NULL. */
static inline struct sim_node *sim_leader(struct sim *sim)
{
	struct sim_node *best = NULL;
	unsigned i;

	for (i = 1; i <= SIM_NODES; i++) {
		struct sim_node *n = &sim->node[i];

		if (n->raft && raft_is_leader(n->raft) &&
		    (!best || raft_term(n->raft) > raft_term(best->raft)))
			best = n;
	}
	return best;
}

/* Runs until there is a leader that committed an entry of its own term. */
static inline struct sim_node *sim_wait_for_leader(struct sim *sim)
{
	int64_t until = sim->now_us + 5000000;

	while (sim->now_us < until) {
		struct sim_node *n = sim_leader(sim);

		if (n &&
		    raft_log_term(&n->raft->log, raft_commit_index(n->raft)) ==
			    raft_term(n->raft))
			return n;
		sim_step(sim);
	}
	ck_abort_msg("no leader within 5 s of virtual time");
}

static inline bool sim_propose(struct sim *sim, struct sim_node *n,
			       uint64_t *index)
{
	uint64_t value = ++sim->proposals;

	return raft_propose(n->raft, (uint8_t *)&value, sizeof(value), index,
			    NULL);
}

/*
 * Proposes one entry and runs until it is committed; proposes it again if the
 * leader changes.
 */
static inline uint64_t sim_commit_entry(struct sim *sim)
{
	int64_t until = sim->now_us + 10000000;

	while (sim->now_us < until) {
		struct sim_node *n = sim_wait_for_leader(sim);
		uint64_t term = raft_term(n->raft);
		uint64_t index;

		ck_assert(sim_propose(sim, n, &index));
		while (raft_is_leader(n->raft) && raft_term(n->raft) == term &&
		       sim->now_us < until) {
			if (raft_commit_index(n->raft) >= index)
				return index;
			sim_step(sim);
		}
	}
	ck_abort_msg("no commit within 10 s of virtual time");
}

/* Cuts or restores every link between @id and the others. */
static inline void sim_isolate(struct sim *sim, uint64_t id, bool isolated)
{
	unsigned i;

	for (i = 1; i <= SIM_NODES; i++)
		sim->link_cut[id][i] = sim->link_cut[i][id] = isolated;
}

/* Adds or removes member @id, or changes whether it is a voter. */
static inline bool sim_change_member(struct sim *sim, uint64_t id, bool add,
				     bool voter)
{
	struct sim_node *n = sim_wait_for_leader(sim);
	struct raft_members m = *raft_current_members(n->raft);
	unsigned i;
	unsigned nr = 0;

	for (i = 0; i < m.nr; i++)
		if (m.member[i].id != id)
			m.member[nr++] = m.member[i];
	m.nr = nr;
	if (add)
		m.member[m.nr++] = (struct raft_member){ id, voter };
	return raft_change_members(n->raft, &m, NULL);
}

/* The newest undelivered message of @type from @id, or NULL. */
static inline const struct raft_message *
sim_find_undelivered(struct sim *sim, uint64_t id, enum raft_message_type type)
{
	guint i = sim->messages->len;

	while (i-- > 0) {
		struct sim_message *l =
			&g_array_index(sim->messages, struct sim_message, i);

		if (l->msg.from == id && l->msg.type == type)
			return &l->msg;
	}
	return NULL;
}

#endif
