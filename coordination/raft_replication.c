#include "raft_internal.h"

#include <string.h>

struct raft_progress *raft_progress(struct raft *raft, uint64_t id)
{
	unsigned i;

	for (i = 0; i < raft->nr_progress; i++)
		if (raft->progress[i].id == id)
			return &raft->progress[i];
	return NULL;
}

/* Existing records are kept; a new member starts as probing. */
void raft_progress_update(struct raft *raft)
{
	struct raft_progress old[RAFT_MEMBERS_MAX];
	unsigned nr_old = raft->nr_progress;
	unsigned i;
	unsigned k;

	memcpy(old, raft->progress, sizeof(old));
	raft->nr_progress = 0;
	for (i = 0; i < raft->members.nr; i++) {
		uint64_t id = raft->members.member[i].id;
		struct raft_progress *pr = &raft->progress[raft->nr_progress];

		if (id == raft->config.id)
			continue;
		*pr = (struct raft_progress){
			.id = id,
			.next = raft_log_last(&raft->log) + 1,
			.last_contact_us = raft->now_us,
			.probing = true,
		};
		for (k = 0; k < nr_old; k++)
			if (old[k].id == id)
				*pr = old[k];
		raft->nr_progress++;
	}
}

static void send_append(struct raft *raft, struct raft_progress *pr,
			size_t nr_entries)
{
	struct raft_message msg = {
		.type = RAFT_APPEND,
		.to = pr->id,
		.log_index = pr->next - 1,
		.log_term = raft_log_term(&raft->log, pr->next - 1),
		.commit = raft->commit,
		.accepted = raft_is_voter(&raft->members, pr->id),
		.round = raft->round,
		.entries = raft_log_get(&raft->log, pr->next),
		.nr_entries = nr_entries,
	};

	if (pr->snapshot_index)
		msg.log_index = msg.log_term = 0;
	raft_send(raft, &msg);
}

/* Number of entries from @from on that go into one append. */
static size_t batch_length(const struct raft *raft, uint64_t from)
{
	size_t bytes = 0;
	size_t nr = 0;

	while (nr < RAFT_APPEND_ENTRIES_MAX) {
		const struct raft_entry *e =
			raft_log_get(&raft->log, from + nr);

		if (!e || (nr && bytes + e->len > RAFT_CHUNK_MAX_BYTES))
			break;
		bytes += e->len;
		nr++;
	}
	return nr;
}

void raft_send_entries(struct raft *raft, struct raft_progress *pr)
{
	for (;;) {
		size_t nr;

		if (pr->snapshot_index)
			return;
		if (pr->next - 1 < raft->log.base_index) {
			raft_send_snapshot(raft, pr);
			return;
		}
		if (pr->probing ? pr->paused :
				  pr->nr_inflight == RAFT_INFLIGHT_APPENDS_MAX)
			return;
		nr = batch_length(raft, pr->next);
		if (!nr && !pr->probing)
			return;
		send_append(raft, pr, nr);
		if (pr->probing) {
			pr->paused = true;
			return;
		}
		pr->next += nr;
		pr->inflight[pr->nr_inflight++] = pr->next - 1;
	}
}

uint64_t raft_append_local(struct raft *raft, enum raft_entry_kind kind,
			   const uint8_t *bytes, size_t len)
{
	struct raft_entry entry = {
		.index = raft_log_last(&raft->log) + 1,
		.term = raft->hs.term,
		.kind = kind,
		.data = (uint8_t *)bytes,
		.len = len,
	};
	unsigned i;

	raft_log_add(&raft->log, &entry);
	raft->ops.append(&entry, 1, raft->data);
	if (kind == RAFT_ENTRY_MEMBERS) {
		raft_members_update(raft);
		raft_progress_update(raft);
	}
	for (i = 0; i < raft->nr_progress; i++)
		raft_send_entries(raft, &raft->progress[i]);
	return entry.index;
}

/*
 * The empty append of a heartbeat names the last entry sent. If an earlier
 * append was lost, the follower refuses the heartbeat and the leader resends.
 */
void raft_send_heartbeats(struct raft *raft)
{
	unsigned i;

	raft->round++;
	raft->round_sent_us[raft->round % RAFT_ROUND_HISTORY] = raft->now_us;
	raft->next_heartbeat_us =
		raft->now_us + raft->config.heartbeat_interval_us;
	for (i = 0; i < raft->nr_progress; i++) {
		struct raft_progress *pr = &raft->progress[i];

		if (!pr->snapshot_index && pr->next - 1 < raft->log.base_index)
			raft_send_snapshot(raft, pr);
		if (pr->snapshot_index &&
		    raft->now_us - pr->snapshot_sent_us >=
			    raft->config.election_timeout_us)
			raft_send_snapshot(raft, pr);
		pr->paused = false;
		if (pr->probing && !pr->snapshot_index)
			raft_send_entries(raft, pr);
		else
			send_append(raft, pr, 0);
	}
}

static void drop_acknowledged(struct raft_progress *pr)
{
	unsigned nr_acked = 0;

	while (nr_acked < pr->nr_inflight &&
	       pr->inflight[nr_acked] <= pr->match)
		nr_acked++;
	pr->nr_inflight -= nr_acked;
	memmove(pr->inflight, pr->inflight + nr_acked,
		pr->nr_inflight * sizeof(*pr->inflight));
}

static void advance_match(struct raft *raft, struct raft_progress *pr,
			  uint64_t match)
{
	pr->match = MAX(pr->match, match);
	if (pr->snapshot_index && pr->match >= pr->snapshot_index)
		pr->snapshot_index = 0;
	if (pr->probing && pr->match + 1 >= pr->next) {
		pr->probing = false;
		pr->nr_inflight = 0;
	}
	pr->next = MAX(pr->next, pr->match + 1);
	drop_acknowledged(pr);
	raft_advance_commit(raft);
	raft_apply_committed(raft);
}

void raft_handle_append_reply(struct raft *raft, const struct raft_message *msg)
{
	struct raft_progress *pr = raft_progress(raft, msg->from);

	if (raft->role != RAFT_LEADER || !pr ||
	    msg->match_index > raft_log_last(&raft->log))
		return;
	pr->last_contact_us = raft->now_us;
	pr->round = MAX(pr->round, MIN(msg->round, raft->round));
	if (msg->accepted) {
		advance_match(raft, pr, msg->match_index);
	} else {
		if (pr->snapshot_index || msg->log_index <= pr->match ||
		    msg->log_index >= pr->next)
			return;
		pr->next = MAX(pr->match + 1,
			       MIN(msg->log_index, msg->match_index + 1));
		pr->probing = true;
		pr->paused = false;
		pr->nr_inflight = 0;
	}
	/* Applied entries may have ended leadership or changed the members. */
	pr = raft_progress(raft, msg->from);
	if (raft->role == RAFT_LEADER && pr)
		raft_send_entries(raft, pr);
}

uint64_t raft_match_index(const struct raft *raft, uint64_t id)
{
	unsigned i;

	if (id == raft->config.id)
		return raft->persisted;
	for (i = 0; i < raft->nr_progress; i++)
		if (raft->progress[i].id == id)
			return raft->progress[i].match;
	return 0;
}

int64_t raft_last_reply_us(const struct raft *raft, uint64_t id)
{
	unsigned i;

	for (i = 0; raft->role == RAFT_LEADER && i < raft->nr_progress; i++)
		if (raft->progress[i].id == id)
			return raft->progress[i].last_contact_us;
	return -1;
}

static int compare_descending(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a;
	uint64_t y = *(const uint64_t *)b;

	return x < y ? 1 : x > y ? -1 : 0;
}

/*
 * The largest match index, or with @rounds the largest heartbeat round, that a
 * majority of the voters has reached.
 */
static uint64_t majority_reached(const struct raft *raft, bool rounds)
{
	uint64_t value[RAFT_MEMBERS_MAX] = { 0 };
	unsigned nr = 0;
	unsigned i;
	unsigned k;

	for (i = 0; i < raft->members.nr; i++) {
		uint64_t id = raft->members.member[i].id;

		if (!raft->members.member[i].voter)
			continue;
		if (!rounds)
			value[nr] = raft_match_index(raft, id);
		else if (id == raft->config.id)
			value[nr] = raft->round;
		for (k = 0; rounds && k < raft->nr_progress; k++)
			if (raft->progress[k].id == id)
				value[nr] = raft->progress[k].round;
		nr++;
	}
	qsort(value, nr, sizeof(*value), compare_descending);
	return value[raft_majority(&raft->members) - 1];
}

/*
 * Only an entry of the current term is committed by counting replicas; older
 * entries are committed along with it. An older entry can still be replaced
 * although a majority holds it (Ongaro 2014, figure 3.7).
 */
void raft_advance_commit(struct raft *raft)
{
	uint64_t index = majority_reached(raft, false);
	unsigned i;

	if (index <= raft->commit ||
	    raft_log_term(&raft->log, index) != raft->hs.term)
		return;
	raft->commit = index;
	/* Otherwise idle followers would learn of it a heartbeat later. */
	for (i = 0; i < raft->nr_progress; i++)
		if (!raft->progress[i].probing &&
		    raft->progress[i].match >= index &&
		    !raft->progress[i].nr_inflight)
			send_append(raft, &raft->progress[i], 0);
	/* A follower that learns of this commit may elect another leader. */
	if (raft_members_committed(raft) &&
	    !raft_member(&raft->members, raft->config.id))
		raft_become_follower(raft, raft->hs.term, 0);
}

bool raft_quorum_is_active(const struct raft *raft)
{
	unsigned heard = 0;
	unsigned i;

	if (raft_is_voter(&raft->members, raft->config.id))
		heard++;
	for (i = 0; i < raft->nr_progress; i++)
		if (raft_is_voter(&raft->members, raft->progress[i].id) &&
		    raft->now_us - raft->progress[i].last_contact_us <
			    raft->config.election_timeout_us)
			heard++;
	return heard >= raft_majority(&raft->members);
}

int64_t raft_lease_until_us(const struct raft *raft)
{
	uint64_t round;

	if (raft->role != RAFT_LEADER)
		return -1;
	round = majority_reached(raft, true);
	if (!round || raft->round - round >= RAFT_ROUND_HISTORY)
		return -1;
	return raft->round_sent_us[round % RAFT_ROUND_HISTORY] +
	       raft->config.election_timeout_us *
		       (1000 - RAFT_CLOCK_MARGIN_PERMILLE) / 1000;
}
