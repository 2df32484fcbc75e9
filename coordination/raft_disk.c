#include "raft_disk.h"

void raft_disk_fail(struct raft_disk *disk, GError *error)
{
	disk->on_failure(error, disk->data);
	disk->failed = true;
	g_error_free(error);
}

void raft_disk_save_hard_state(struct raft_disk *disk,
			       const struct raft_hard_state *hs)
{
	GError *error = NULL;

	if (!disk->failed && !store_save_hard_state(disk->store, hs, &error))
		raft_disk_fail(disk, error);
}

void raft_disk_append(struct raft_disk *disk, const struct raft_entry *entries,
		      size_t nr)
{
	GError *error = NULL;

	if (disk->failed)
		return;
	if (!store_append(disk->store, entries, nr, &error)) {
		raft_disk_fail(disk, error);
		return;
	}
	disk->appended = entries[nr - 1].index;
	disk->dirty = true;
}

void raft_disk_save_snapshot(struct raft_disk *disk, uint64_t index,
			     uint64_t term, const struct raft_members *members,
			     const uint8_t *bytes, size_t len)
{
	GError *error = NULL;

	if (!disk->failed && !store_save_snapshot(disk->store, index, term,
						  members, bytes, len, &error))
		raft_disk_fail(disk, error);
}

bool raft_disk_sync(struct raft_disk *disk, struct raft *raft)
{
	uint64_t last_index = disk->appended;
	GError *error = NULL;

	if (!disk->dirty || disk->failed)
		return false;
	disk->dirty = false;
	if (!store_sync(disk->store, &error)) {
		raft_disk_fail(disk, error);
		return false;
	}
	raft_persisted(raft, last_index);
	return true;
}

bool raft_disk_bootstrap(struct raft_disk *disk, struct raft_recovered *rec,
			 GError **error)
{
	rec->hard_state = (struct raft_hard_state){ .term = 1 };
	rec->snapshot_index = 1;
	rec->snapshot_term = 1;
	return store_save_hard_state(disk->store, &rec->hard_state, error) &&
	       store_save_snapshot(disk->store, 1, 1, &rec->members,
				   rec->snapshot, rec->snapshot_len, error);
}
