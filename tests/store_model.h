#ifndef STORE_MODEL_H
#define STORE_MODEL_H

#include "error.h"
#include "fake_files.h"

#include <check.h>

/*
 * Reference model of the store: all records ever appended, and how many of them
 * were acknowledged as durable. The recovered log must equal a replay of the
 * first n records, where n is at least the number of acknowledged records.
 */

/* Entry kind that marks a snapshot in the model's list of records. */
#define MODEL_SNAPSHOT 99
/* Records of a scenario without faults, including snapshots. */
#define MODEL_RECORDS 26

struct model {
	struct raft_entry records[256];
	unsigned nr;
	unsigned nr_acknowledged;
	struct raft_hard_state hs;
	struct raft_hard_state hs_acknowledged;
	uint64_t snapshot[2];
	uint64_t snapshot_acknowledged[2];
};

static inline void model_fill_data(uint8_t *data, size_t len, uint64_t index,
				   uint64_t term)
{
	size_t i;

	for (i = 0; i < len; i++)
		data[i] = (uint8_t)(index * 7 + term * 31 + i);
}

static inline size_t model_entry_len(uint64_t index, uint64_t term)
{
	return (index * 37 + term * 11) % 90;
}

static inline bool model_append(struct model *m, struct store *s,
				uint64_t index, uint64_t term, unsigned nr)
{
	struct raft_entry e[8] = { 0 };
	uint8_t data[8][90];
	unsigned i;

	for (i = 0; i < nr; i++) {
		e[i].index = index + i;
		e[i].term = term;
		e[i].kind = RAFT_ENTRY_DATA;
		e[i].len = model_entry_len(e[i].index, term);
		e[i].data = data[i];
		model_fill_data(data[i], e[i].len, e[i].index, term);
		m->records[m->nr++] = e[i];
	}
	return store_append(s, e, nr, NULL);
}

static inline bool model_sync(struct model *m, struct store *s)
{
	if (!store_sync(s, NULL))
		return false;
	m->nr_acknowledged = m->nr;
	return true;
}

static inline bool model_hard_state(struct model *m, struct store *s,
				    uint64_t term, uint64_t vote)
{
	m->hs = (struct raft_hard_state){ term, vote, vote + 5 };
	if (!store_save_hard_state(s, &m->hs, NULL))
		return false;
	m->hs_acknowledged = m->hs;
	return true;
}

static inline bool model_snapshot(struct model *m, struct store *s,
				  uint64_t index, uint64_t term)
{
	struct raft_members members = { .member = { { 1, true } }, .nr = 1 };
	uint8_t bytes[300];

	model_fill_data(bytes, sizeof(bytes), index, term);
	m->snapshot[0] = index;
	m->snapshot[1] = term;
	m->records[m->nr++] = (struct raft_entry){ .index = index,
						   .term = term,
						   .kind = MODEL_SNAPSHOT };
	if (!store_save_snapshot(s, index, term, &members, bytes, sizeof(bytes),
				 NULL))
		return false;
	memcpy(m->snapshot_acknowledged, m->snapshot, sizeof(m->snapshot));
	m->nr_acknowledged = m->nr;
	return true;
}

/* Whether a replay of the first @nr records yields the recovered log. */
static inline bool model_matches(const struct model *m, unsigned nr,
				 const struct raft_recovered *rec)
{
	const struct raft_entry *log[256] = { 0 };
	uint64_t last = 0;
	uint64_t base = rec->snapshot_index;
	uint64_t i;
	unsigned k;

	for (k = 0; k < nr; k++) {
		const struct raft_entry *e = &m->records[k];

		/* A snapshot whose last entry is in the log keeps its end. */
		if (e->kind == MODEL_SNAPSHOT && e->index <= last &&
		    log[e->index]->term == e->term)
			continue;
		last = e->index;
		log[last] = e;
	}
	if (base && (base > last || log[base]->term != rec->snapshot_term))
		last = base;
	if (last - base != rec->nr_entries)
		return false;
	for (i = 0; i < rec->nr_entries; i++) {
		const struct raft_entry *e = &rec->entries[i];
		uint8_t data[90];

		if (e->index != base + 1 + i ||
		    e->term != log[e->index]->term ||
		    e->kind != RAFT_ENTRY_DATA ||
		    e->len != model_entry_len(e->index, e->term))
			return false;
		model_fill_data(data, e->len, e->index, e->term);
		if (e->len && memcmp(data, e->data, e->len))
			return false;
	}
	return true;
}

/* Checks that the recovered state is one that the model allows. */
static inline void model_check(const struct model *m,
			       const struct raft_recovered *rec)
{
	uint8_t bytes[300];
	bool equal = false;
	unsigned k;

	ck_assert(
		!memcmp(&rec->hard_state, &m->hs, sizeof(m->hs)) ||
		!memcmp(&rec->hard_state, &m->hs_acknowledged, sizeof(m->hs)));
	ck_assert(rec->snapshot_index == m->snapshot[0] ||
		  rec->snapshot_index == m->snapshot_acknowledged[0]);
	if (rec->snapshot_index) {
		model_fill_data(bytes, sizeof(bytes), rec->snapshot_index,
				rec->snapshot_term);
		ck_assert_uint_eq(rec->snapshot_len, sizeof(bytes));
		ck_assert_mem_eq(rec->snapshot, bytes, sizeof(bytes));
		ck_assert_uint_eq(rec->members.nr, 1);
	}
	for (k = m->nr_acknowledged; k <= m->nr && !equal; k++)
		equal = model_matches(m, k, rec);
	ck_assert(equal);
}

/* Appends and replaces entries, syncs, votes and snapshots until an error. */
static inline void model_scenario(struct model *m, struct store *s)
{
	if (!model_hard_state(m, s, 1, 2) || !model_append(m, s, 1, 1, 3) ||
	    !model_sync(m, s) || !model_append(m, s, 4, 1, 2) ||
	    !model_append(m, s, 6, 1, 1) || !model_append(m, s, 7, 1, 4) ||
	    !model_sync(m, s) || !model_hard_state(m, s, 2, 3) ||
	    !model_append(m, s, 5, 2, 3) || !model_append(m, s, 8, 2, 1) ||
	    !model_sync(m, s) || !model_snapshot(m, s, 6, 2) ||
	    !model_append(m, s, 9, 2, 2) || !model_sync(m, s) ||
	    !model_append(m, s, 9, 3, 1) || !model_hard_state(m, s, 4, 0) ||
	    !model_append(m, s, 10, 3, 2) || !model_sync(m, s) ||
	    !model_append(m, s, 12, 3, 3))
		return;
	/* A snapshot from a leader whose log lacks entries 9 to 14. */
	if (!model_snapshot(m, s, 12, 5) || !model_append(m, s, 13, 5, 2))
		return;
	model_sync(m, s);
}

#endif
