#ifndef RAFT_DISK_H
#define RAFT_DISK_H

#include "store.h"

/**
 * DOC: What a control VM writes for Raft, and which of it is synced.
 *
 * After the first failure nothing is written any more: what is on the disk
 * is then not known.
 */

/** Syncs in one turn of a loop; committed entries may cause new ones. */
#define RAFT_DISK_SYNCS 8

/**
 * struct raft_disk - the writing side of one node
 * @store: NULL while it is not open
 * @failed: the store cannot be trusted; nothing is to be sent or answered
 * @appended: last entry handed to the store
 * @dirty: whether entries wait for a sync
 * @on_failure: called before @failed is set; the error is freed after it
 */
struct raft_disk {
	struct store *store;
	bool failed;
	uint64_t appended;
	bool dirty;
	void (*on_failure)(const GError *error, void *data);
	void *data;
};

/** raft_disk_fail() - the owner met a failure; takes over @error */
void raft_disk_fail(struct raft_disk *disk, GError *error);

/* These three carry out the callbacks of struct raft_ops. */
void raft_disk_save_hard_state(struct raft_disk *disk,
			       const struct raft_hard_state *hs);
void raft_disk_append(struct raft_disk *disk, const struct raft_entry *entries,
		      size_t nr);
void raft_disk_save_snapshot(struct raft_disk *disk, uint64_t index,
			     uint64_t term, const struct raft_members *members,
			     const uint8_t *bytes, size_t len);

/**
 * raft_disk_sync() - sync what was appended and report it to @raft
 * Return: false if nothing waited or the sync failed
 *
 * To be repeated while it returns true, RAFT_DISK_SYNCS times at the most.
 */
bool raft_disk_sync(struct raft_disk *disk, struct raft *raft);

/**
 * raft_disk_found() - write the first state of a group
 * @rec: members, @snapshot and @snapshot_len are given, the rest is set
 *
 * Until this has returned true the folder counts as empty.
 */
bool raft_disk_found(struct raft_disk *disk, struct raft_recovered *rec,
		     GError **error);

#endif
