#include "error.h"
#include "raft_internal.h"

#include <string.h>

/*
 * Serialised form: one byte for the count, then for each member its identity in
 * 8 bytes, little-endian, and one byte that is 1 for a voter.
 */
#define PACKED_MEMBER_BYTES 9u

const struct raft_member *raft_member(const struct raft_members *members,
				      uint64_t id)
{
	unsigned i;

	for (i = 0; i < members->nr; i++)
		if (members->member[i].id == id)
			return &members->member[i];
	return NULL;
}

bool raft_is_voter(const struct raft_members *members, uint64_t id)
{
	const struct raft_member *m = raft_member(members, id);

	return m && m->voter;
}

static unsigned count_voters(const struct raft_members *members)
{
	unsigned i;
	unsigned nr = 0;

	for (i = 0; i < members->nr; i++)
		nr += members->member[i].voter;
	return nr;
}

unsigned raft_majority(const struct raft_members *members)
{
	return count_voters(members) / 2 + 1;
}

uint8_t *raft_members_pack(const struct raft_members *members, size_t *len)
{
	uint8_t *bytes = g_malloc(1 + PACKED_MEMBER_BYTES * members->nr);
	unsigned i;

	bytes[0] = (uint8_t)members->nr;
	for (i = 0; i < members->nr; i++) {
		uint8_t *at = bytes + 1 + PACKED_MEMBER_BYTES * i;
		uint64_t id = GUINT64_TO_LE(members->member[i].id);

		memcpy(at, &id, sizeof(id));
		at[sizeof(id)] = members->member[i].voter;
	}
	*len = 1 + PACKED_MEMBER_BYTES * members->nr;
	return bytes;
}

bool raft_members_unpack(struct raft_members *members, const uint8_t *bytes,
			 size_t len)
{
	unsigned i;

	if (!len || bytes[0] > RAFT_MEMBERS_MAX ||
	    len != 1 + PACKED_MEMBER_BYTES * bytes[0])
		return false;
	members->nr = bytes[0];
	for (i = 0; i < members->nr; i++) {
		const uint8_t *at = bytes + 1 + PACKED_MEMBER_BYTES * i;
		uint64_t id;

		memcpy(&id, at, sizeof(id));
		members->member[i].id = GUINT64_FROM_LE(id);
		members->member[i].voter = at[sizeof(id)];
	}
	return true;
}

void raft_members_update(struct raft *raft)
{
	uint64_t i;

	for (i = raft_log_last(&raft->log); i > raft->log.base_index; i--) {
		const struct raft_entry *e = raft_log_get(&raft->log, i);

		if (i <= raft->snapshot.index)
			break;
		if (e->kind == RAFT_ENTRY_MEMBERS &&
		    raft_members_unpack(&raft->members, e->data, e->len)) {
			raft->members_index = i;
			return;
		}
	}
	raft->members = raft->snapshot.members;
	raft->members_index = raft->snapshot.index;
}

static bool set_error(GError **error, enum cw_error_kind kind, const char *text)
{
	g_set_error_literal(error, CW_ERROR, kind, text);
	return false;
}

/*
 * Counts the members of @a that are absent from @b or vote in only one of the
 * two; @last is set to the last of them.
 */
static unsigned count_differences(const struct raft_members *a,
				  const struct raft_members *b,
				  const struct raft_member **last)
{
	unsigned i;
	unsigned nr = 0;

	for (i = 0; i < a->nr; i++) {
		const struct raft_member *other =
			raft_member(b, a->member[i].id);

		if (other && other->voter == a->member[i].voter)
			continue;
		*last = &a->member[i];
		nr++;
	}
	return nr;
}

static bool are_members_valid(const struct raft_members *members)
{
	unsigned i;

	if (members->nr > RAFT_MEMBERS_MAX || !count_voters(members))
		return false;
	for (i = 0; i < members->nr; i++)
		if (!members->member[i].id ||
		    raft_member(members, members->member[i].id) !=
			    &members->member[i])
			return false;
	return true;
}

static bool check_change(const struct raft *raft,
			 const struct raft_members *proposed, GError **error)
{
	const struct raft_member *added = NULL;
	const struct raft_member *removed = NULL;
	unsigned nr_added;
	unsigned nr_removed;
	bool known;

	if (!are_members_valid(proposed))
		return set_error(
			error, CW_ERROR_USAGE,
			"a group must have 1 to 7 distinct members and at "
			"least one voter; name another member");
	nr_added = count_differences(proposed, &raft->members, &added);
	nr_removed = count_differences(&raft->members, proposed, &removed);
	if (nr_added > 1 || nr_removed > 1 || nr_added + nr_removed == 0 ||
	    (added && removed && added->id != removed->id))
		return set_error(
			error, CW_ERROR_USAGE,
			"exactly one member must change at a time; split "
			"the change");
	if (!added)
		return true;
	known = raft_member(&raft->members, added->id);
	if (!known && added->voter)
		return set_error(
			error, CW_ERROR_USAGE,
			"a new member must be added as a learner; promote "
			"it when it has caught up");
	if (known && !added->voter)
		return set_error(error, CW_ERROR_USAGE,
				 "a voter cannot become a learner; remove it "
				 "instead");
	if (known && raft_match_index(raft, added->id) < raft->commit)
		return set_error(
			error, CW_ERROR_CONFLICT,
			"the learner has not caught up; promote it later");
	return true;
}

bool raft_change_members(struct raft *raft, const struct raft_members *members,
			 GError **error)
{
	g_autofree uint8_t *bytes = NULL;
	size_t len;

	if (raft->role != RAFT_LEADER)
		return set_error(error, CW_ERROR_UNAVAILABLE,
				 "this control VM is not the leader; send the "
				 "request to the leader");
	/*
	 * Until an entry of its own term is committed, a leader may not know of
	 * a change that is in progress (Ongaro, raft-dev, July 2015).
	 */
	if (raft->members_index > raft->commit ||
	    raft_log_term(&raft->log, raft->commit) != raft->hs.term)
		return set_error(
			error, CW_ERROR_CONFLICT,
			"an earlier change is not committed yet; retry later");
	if (!check_change(raft, members, error))
		return false;
	bytes = raft_members_pack(members, &len);
	raft_append_local(raft, RAFT_ENTRY_MEMBERS, bytes, len);
	return true;
}
