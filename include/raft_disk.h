#ifndef RAFT_DISK_H
#define RAFT_DISK_H

#include "store.h"

/**
 * DOC: Persistence of a control VM's Raft state, and tracking of syncs.
 *
 * Nothing is written after the first failure, because the contents of the disk
 * are unknown from then on.
 */

/**
 * Most syncs in one iteration of an event loop. One may not be enough, because
 * applying committed entries may append new ones.
 */
#define RAFT_DISK_SYNCS_PER_ITERATION 8

/**
 * struct raft_disk - writes the Raft state of one node
 * @store: NULL while it is not open
 * @failed: whether a write failed; the node must not send or answer any more
 * @appended: index of the last entry written to the store
 * @dirty: whether written entries wait for a sync
 * @on_failure: called before @failed is set; the error is freed when it returns
 */
struct raft_disk {
	struct store *store;
	bool failed;
	uint64_t appended;
	bool dirty;
	void (*on_failure)(const GError *error, void *data);
	void *data;
};

/** raft_disk_fail() - report a storage failure; takes ownership of @error */
void raft_disk_fail(struct raft_disk *disk, GError *error);

/* These three implement the callbacks of struct raft_ops. */
void raft_disk_save_hard_state(struct raft_disk *disk,
			       const struct raft_hard_state *hs);
void raft_disk_append(struct raft_disk *disk, const struct raft_entry *entries,
		      size_t nr);
void raft_disk_save_snapshot(struct raft_disk *disk, uint64_t index,
			     uint64_t term, const struct raft_members *members,
			     const uint8_t *bytes, size_t len);

/**
 * raft_disk_sync() - sync the appended entries and report them to @raft
 * Return: false if there was nothing to sync or the sync failed
 *
 * Call it again while it returns true, but not more often than
 * RAFT_DISK_SYNCS_PER_ITERATION.
 */
bool raft_disk_sync(struct raft_disk *disk, struct raft *raft);

/**
 * raft_disk_bootstrap() - write the initial state of a new Raft group
 * @rec: the caller sets members, snapshot and snapshot_len; the rest is set
 *       here
 *
 * The data folder counts as empty until this has returned true.
 */
bool raft_disk_bootstrap(struct raft_disk *disk, struct raft_recovered *rec,
			 GError **error);

#endif
