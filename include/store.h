#ifndef STORE_H
#define STORE_H

#include "raft.h"
#include <sys/types.h>

/**
 * DOC: Durable log, hard state and snapshot of one control VM.
 *
 * Everything lives in one folder. A record is written with its length and a
 * checksum; files are replaced atomically; file and folder are synced before
 * a call that promises durability returns. After an error of a sync the
 * store refuses further writes, since the kernel may have dropped the pages.
 */

/**
 * struct store_file_ops - file operations, replaced by tests to inject faults
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
 * @data: context pointer of @ops
 * @identity: identity of this node; a folder of another identity is refused
 * @recovered: filled in; its memory is owned by the store
 *
 * A torn tail, never acknowledged, is cut off. Damage before the end of what
 * a later record or mark states to have been synced is CW_ERROR_CORRUPT, and
 * nothing is changed. What is recovered is synced before the call returns. A
 * new or wiped folder gives no members, so that the node does not vote.
 */
struct store *store_open(const char *folder, const struct store_file_ops *ops,
			 void *data, uint64_t identity,
			 struct raft_recovered *recovered, GError **error);
void store_close(struct store *store);

/**
 * store_replace_file() - durable file beside a store
 * @folder: created if missing
 *
 * The file is replaced atomically; it and the folder are synced.
 */
bool store_replace_file(const char *folder, const char *name, const char *text,
			GError **error);

bool store_save_hard_state(struct store *store,
			   const struct raft_hard_state *hs, GError **error);
/** store_append() - write entries, replacing any from the first index on */
bool store_append(struct store *store, const struct raft_entry *entries,
		  size_t nr, GError **error);
/** store_sync() - make every append durable */
bool store_sync(struct store *store, GError **error);
/**
 * store_save_snapshot() - durable snapshot; entries up to @index go
 *
 * All entries go if the one at @index is missing or of another term. Those
 * that stay are synced.
 */
bool store_save_snapshot(struct store *store, uint64_t index, uint64_t term,
			 const struct raft_members *members,
			 const uint8_t *bytes, size_t len, GError **error);

#endif
