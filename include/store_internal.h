#ifndef STORE_INTERNAL_H
#define STORE_INTERNAL_H

#include "error.h"
#include "store.h"

/**
 * DOC: Internal structures of state/store*.c; not for other modules.
 */

/** Length of a log record's header, bytes. */
#define STORE_RECORD_HEADER_LEN 48u
/** Length of the log file's header, bytes. */
#define STORE_LOG_HEADER_LEN 40u
/** Maximum data length of a record, bytes; raft_propose() refuses more. */
#define STORE_DATA_MAX RAFT_ENTRY_MAX_BYTES
/** Kind of a record that holds no entry, only how far the log was synced. */
#define STORE_SYNC_MARK 255u

/**
 * struct store_files - an open folder and the operations on its files
 * @data: context pointer passed to @ops
 */
struct store_files {
	const struct store_file_ops *ops;
	void *data;
	char *folder;
	int folder_fd;
};

/** struct store_entry_location - location of an entry in the log file */
struct store_entry_location {
	uint64_t term;
	off_t data_offset;
	uint32_t len;
	uint8_t kind;
	uint32_t data_checksum;
};

/**
 * struct store - an open store
 * @log_fd: log file
 * @end: length of the log file; records are appended here
 * @synced_end: length of the synced part of the log file
 * @base_index: index of the entry before the first one in the log
 * @base_term: term of the entry at @base_index
 * @entry_locations: struct store_entry_location of each entry after @base_index
 * @failed: an operation failed; all further writes are refused
 * @entries: struct raft_entry returned by store_open()
 * @snapshot: content of the snapshot file found by store_open()
 */
struct store {
	struct store_files files;
	uint64_t identity;
	int log_fd;
	off_t end;
	off_t synced_end;
	uint64_t base_index;
	uint64_t base_term;
	GArray *entry_locations;
	bool failed;
	GArray *entries;
	GBytes *snapshot;
};

/* store_files.c */
bool store_files_open(struct store_files *files, GError **error);
void store_files_finish(struct store_files *files);
/**
 * store_files_read() - read a whole file
 * Return: the content; NULL on error, and without @error if the file is absent
 */
GByteArray *store_files_read(struct store_files *files, const char *name,
			     GError **error);
/**
 * store_files_create() - create the temporary file "NAME.new"
 * Return: file descriptor, open for reading and writing; -1 on error
 */
int store_files_create(struct store_files *files, const char *name,
		       GError **error);
bool store_files_write(struct store_files *files, int fd, const void *bytes,
		       size_t len, off_t offset, GError **error);
/** store_files_publish() - sync @fd, rename "NAME.new" to NAME, sync folder */
bool store_files_publish(struct store_files *files, int fd, const char *name,
			 GError **error);
/** store_files_replace() - durably replace a whole file */
bool store_files_replace(struct store_files *files, const char *name,
			 const GByteArray *bytes, GError **error);
/** store_io_error() - set CW_ERROR_IO from errno; always returns false */
bool store_io_error(GError **error, const char *action, const char *name);
/** store_corruption_error() - set CW_ERROR_CORRUPT; always returns false */
bool store_corruption_error(GError **error, const char *name,
			    const char *problem);

/* store_record.c */
/* Integers are stored in little-endian byte order. */
void store_put_u32(GByteArray *out, uint32_t v);
void store_put_u64(GByteArray *out, uint64_t v);
uint64_t store_get_u64(const uint8_t *bytes);
/** store_data_checksum() - checksum of an entry's data */
uint32_t store_data_checksum(const struct raft_entry *entry);
/** store_log_header_put() - append the header of a log file to @out */
void store_log_header_put(GByteArray *out, uint64_t identity,
			  uint64_t base_index, uint64_t base_term);
/**
 * store_record_put() - append one record to @out
 * @offset: file offset of the record; part of its checksum
 */
void store_record_put(GByteArray *out, const struct raft_entry *entry,
		      unsigned kind, off_t offset, off_t synced_end,
		      uint64_t identity);
/** store_record_scan() - recover the entries from the bytes of a log file */
bool store_record_scan(struct store *store, const GByteArray *log,
		       GError **error);

/* store_snapshot.c */
/** store_file_wrap() - prefix @payload with type, identity and checksum */
GByteArray *store_file_wrap(const char type[8], uint64_t identity,
			    const GByteArray *payload);
/**
 * store_file_unwrap() - check the header and the checksum of a file
 * @len: receives the length of the payload
 * Return: start of the payload inside @file, NULL on error
 */
const uint8_t *store_file_unwrap(const char type[8], uint64_t identity,
				 const GByteArray *file, const char *name,
				 size_t *len, GError **error);
GByteArray *store_snapshot_pack(uint64_t index, uint64_t term,
				const struct raft_members *members,
				const uint8_t *bytes, size_t len);
bool store_snapshot_unpack(const uint8_t *payload, size_t len,
			   struct raft_recovered *recovered);

#endif
