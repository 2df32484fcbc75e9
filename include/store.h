#ifndef STORE_H
#define STORE_H

#include "raft.h"
#include <sys/types.h>

/**
 * DOC: Durable Raft log, hard state and snapshot of one control VM.
 *
 * All files are in one folder. Each log record carries its length and a
 * checksum. Files are replaced atomically, and the file and the folder are
 * synced before a call that guarantees durability returns. After a failed sync
 * the store refuses further writes, since the kernel may have dropped the dirty
 * pages.
 */

/**
 * struct store_file_ops - file operations; tests replace them to inject faults
 */
struct store_file_ops {
	int (*open)(const char *path, int flags, mode_t mode, void *data);
	ssize_t (*pread)(int fd, void *buf, size_t len, off_t off, void *data);
	ssize_t (*pwrite)(int fd, const void *buf, size_t len, off_t off,
			  void *data);
	int (*fsync)(int fd, void *data);
	int (*mkdir)(const char *path, mode_t mode, void *data);
	int (*rename)(const char *from, const char *to, void *data);
	int (*unlink)(const char *path, void *data);
	int (*close)(int fd, void *data);
	off_t (*size)(int fd, void *data);
};

extern const struct store_file_ops store_posix_file_ops;

struct store;

/**
 * store_open() - open or create the folder and recover its content
 * @folder: data folder of the control role; created if missing
 * @ops: file operations
 * @data: context pointer passed to @ops
 * @identity: identity of this node; a folder of another node is refused
 * @recovered: receives the recovered state; its memory is owned by the store
 *
 * An incomplete or damaged record at the end of the log, which was never
 * acknowledged, is cut off. Damage to data that a later record or sync mark
 * lists as synced fails with CW_ERROR_CORRUPT, and no file is changed. The
 * recovered state is synced before the call returns. A new or wiped folder
 * yields no members, so that the node does not vote.
 */
struct store *store_open(const char *folder, const struct store_file_ops *ops,
			 void *data, uint64_t identity,
			 struct raft_recovered *recovered, GError **error);
void store_close(struct store *store);

/**
 * store_replace_file() - durably write a file that is not part of a store
 * @folder: folder of the file; created if missing
 *
 * Replaces the file atomically, and syncs the file and the folder.
 */
bool store_replace_file(const char *folder, const char *name, const char *text,
			GError **error);

bool store_save_hard_state(struct store *store,
			   const struct raft_hard_state *hs, GError **error);
/**
 * store_append() - write entries to the log
 *
 * Existing entries from the index of the first new one on are replaced. The
 * entries are durable after the next store_sync().
 */
bool store_append(struct store *store, const struct raft_entry *entries,
		  size_t nr, GError **error);
/** store_sync() - make all appended entries durable */
bool store_sync(struct store *store, GError **error);
/**
 * store_save_snapshot() - write a durable snapshot and compact the log
 *
 * Removes the log entries up to @index, or all entries if the one at @index is
 * missing or has another term. The remaining entries are synced.
 */
bool store_save_snapshot(struct store *store, uint64_t index, uint64_t term,
			 const struct raft_members *members,
			 const uint8_t *bytes, size_t len, GError **error);

#endif
