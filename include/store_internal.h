#ifndef STORE_INTERNAL_H
#define STORE_INTERNAL_H

#include "error.h"
#include "store.h"

/**
 * DOC: Inner structures of state/store*.c; not for other modules.
 */

/** Bytes of a log record before its data. */
#define STORE_RECORD_HEAD 48u
/** Bytes of the log's own head. */
#define STORE_LOG_HEAD 40u
/** Largest data of one record, bytes; raft_propose() refuses more. */
#define STORE_DATA_MAX RAFT_ENTRY_MAX
/** Kind of a record that only states how far the log was synced. */
#define STORE_MARK 255u

/** struct store_files - the folder and how to reach it */
struct store_files {
	const struct store_file_ops *ops;
	void *data;
	char *folder;
	int folder_fd;
};

/** struct store_slot - where a live entry lies in the log file */
struct store_slot {
	uint64_t term;
	off_t data_offset;
	uint32_t len;
	uint8_t kind;
	uint32_t sum;
};

/**
 * struct store - an open folder
 * @log_fd: log file, appended to at @end
 * @synced_end: length of the log that was synced
 * @base_index: entry before the first live one
 * @slots: struct store_slot of the live entries
 * @failed: an operation failed; no write is accepted any more
 * @entries: struct raft_entry handed out by store_open()
 */
struct store {
	struct store_files files;
	uint64_t identity;
	int log_fd;
	off_t end;
	off_t synced_end;
	uint64_t base_index;
	uint64_t base_term;
	GArray *slots;
	bool failed;
	GArray *entries;
	GBytes *snapshot;
};

/* store_files.c */
bool store_files_open(struct store_files *files, GError **error);
void store_files_finish(struct store_files *files);
/** store_files_read() - whole content; NULL without @error if absent */
GByteArray *store_files_read(struct store_files *files, const char *name,
			     GError **error);
/** store_files_create() - new file "NAME.new", open for writing */
int store_files_create(struct store_files *files, const char *name,
		       GError **error);
bool store_files_write(struct store_files *files, int fd, const void *bytes,
		       size_t len, off_t at, GError **error);
/** store_files_publish() - sync @fd, rename "NAME.new" to NAME, sync folder */
bool store_files_publish(struct store_files *files, int fd, const char *name,
			 GError **error);
bool store_files_replace(struct store_files *files, const char *name,
			 const GByteArray *bytes, GError **error);
bool store_error(GError **error, const char *what, const char *name);
bool store_corrupt(GError **error, const char *name, const char *what);

/* store_record.c */
void store_put_u32(GByteArray *out, uint32_t v);
void store_put_u64(GByteArray *out, uint64_t v);
uint64_t store_get_u64(const uint8_t *at);
/** store_data_sum() - checksum of an entry's data */
uint32_t store_data_sum(const struct raft_entry *entry);
void store_log_head(GByteArray *out, uint64_t identity, uint64_t base_index,
		    uint64_t base_term);
/**
 * store_record_put() - append one record
 * @at: file offset at which the record will lie; part of its checksum
 */
void store_record_put(GByteArray *out, const struct raft_entry *entry,
		      unsigned kind, off_t at, off_t synced_end,
		      uint64_t identity);
/** store_record_scan() - recover @store's entries from the log's bytes */
bool store_record_scan(struct store *store, const GByteArray *log,
		       GError **error);

/* store_snapshot.c */
/** store_seal() - frame @payload with type, identity and checksum */
GByteArray *store_seal(const char type[8], uint64_t identity,
		       const GByteArray *payload);
/**
 * store_unseal() - check a sealed file
 * Return: the payload's first byte inside @file, NULL on error
 */
const uint8_t *store_unseal(const char type[8], uint64_t identity,
			    const GByteArray *file, const char *name,
			    size_t *len, GError **error);
GByteArray *store_snapshot_pack(uint64_t index, uint64_t term,
				const struct raft_members *members,
				const uint8_t *bytes, size_t len);
bool store_snapshot_unpack(const uint8_t *payload, size_t len,
			   struct raft_recovered *recovered);

#endif
