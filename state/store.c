#include "store_internal.h"

#include <errno.h>
#include <string.h>

#define TYPE_IDENTITY "cwident\1"
#define TYPE_HARD_STATE "cwhard\0\1"
#define TYPE_SNAPSHOT "cwsnap\0\1"

/* Lengths of the hard state (term, vote and leader), bytes; version 1 of the
 * file has no leader. */
#define HARD_STATE_LEN 24u
#define HARD_STATE_V1_LEN 16u

static void clear_entry(void *entry)
{
	g_free(((struct raft_entry *)entry)->data);
}

static bool write_checked_file(struct store *store, const char *name,
			       const char type[8], GByteArray *payload,
			       GError **error)
{
	GByteArray *file = store_file_wrap(type, store->identity, payload);
	bool ok = store_files_replace(&store->files, name, file, error);

	g_byte_array_free(file, TRUE);
	g_byte_array_free(payload, TRUE);
	store->failed = store->failed || !ok;
	return ok;
}

/*
 * Reads a file and verifies its checksum. @payload is set to its content, owned
 * by @file, or to NULL if the file is absent.
 */
static bool read_checked_file(struct store *store, const char *name,
			      const char type[8], GByteArray **file,
			      const uint8_t **payload, size_t *len,
			      GError **error)
{
	GError *failure = NULL;

	*payload = NULL;
	*file = store_files_read(&store->files, name, &failure);
	if (!*file) {
		if (!failure)
			return true;
		g_propagate_error(error, failure);
		return false;
	}
	*payload = store_file_unwrap(type, store->identity, *file, name, len,
				     error);
	if (*payload)
		return true;
	g_byte_array_free(*file, TRUE);
	*file = NULL;
	return false;
}

static bool write_hard_state(struct store *store,
			     const struct raft_hard_state *hs, GError **error)
{
	GByteArray *payload = g_byte_array_new();

	store_put_u64(payload, hs->term);
	store_put_u64(payload, hs->voted_for);
	store_put_u64(payload, hs->leader);
	return write_checked_file(store, "hard-state", TYPE_HARD_STATE, payload,
				  error);
}

static bool read_hard_state(struct store *store, struct raft_recovered *rec,
			    bool *found, GError **error)
{
	const uint8_t *payload;
	GByteArray *file;
	bool valid_len;
	size_t len;

	if (!read_checked_file(store, "hard-state", TYPE_HARD_STATE, &file,
			       &payload, &len, error))
		return false;
	*found = payload;
	if (!payload)
		return true;
	valid_len = len == HARD_STATE_LEN || len == HARD_STATE_V1_LEN;
	if (valid_len) {
		rec->hard_state.term = store_get_u64(payload);
		rec->hard_state.voted_for = store_get_u64(payload + 8);
		rec->hard_state.leader = len == HARD_STATE_LEN ?
						 store_get_u64(payload + 16) :
						 RAFT_LEADER_UNKNOWN;
	}
	g_byte_array_free(file, TRUE);
	return valid_len || store_corruption_error(error, "hard-state",
						   "its length is wrong");
}

static bool read_snapshot(struct store *store, struct raft_recovered *rec,
			  GError **error)
{
	const uint8_t *payload;
	GByteArray *file;
	size_t len;

	if (!read_checked_file(store, "snapshot", TYPE_SNAPSHOT, &file,
			       &payload, &len, error))
		return false;
	if (!payload)
		return true;
	store->snapshot = g_byte_array_free_to_bytes(file);
	return store_snapshot_unpack(payload, len, rec) ||
	       store_corruption_error(error, "snapshot",
				      "its content is malformed");
}

/*
 * Removes the entries that the snapshot covers, or all entries if the log does
 * not hold the snapshot's last entry.
 */
static bool trim_to_snapshot(struct store *store,
			     const struct raft_recovered *rec, GError **error)
{
	uint64_t index = rec->snapshot_index;
	uint64_t nr;

	if (store->base_index > index)
		return store_corruption_error(
			error, "snapshot",
			"the log starts after its last entry");
	nr = index - store->base_index;
	if (!nr) {
		if (store->base_term != rec->snapshot_term)
			return store_corruption_error(
				error, "snapshot",
				"its term differs from the log's");
		return true;
	}
	if (nr <= store->entries->len &&
	    g_array_index(store->entries, struct raft_entry, nr - 1).term ==
		    rec->snapshot_term)
		g_array_remove_range(store->entries, 0, (guint)nr);
	else
		g_array_set_size(store->entries, 0);
	store->base_index = index;
	store->base_term = rec->snapshot_term;
	return true;
}

/* Appends the records of @entries to @out and adds their @entry_locations. */
static void encode_entries(struct store *store, GByteArray *out, off_t start,
			   const struct raft_entry *entries, size_t nr,
			   off_t synced_end, GArray *entry_locations)
{
	size_t i;

	for (i = 0; i < nr; i++) {
		off_t offset = start + out->len;
		struct store_entry_location slot = {
			.term = entries[i].term,
			.data_offset = offset + STORE_RECORD_HEADER_LEN,
			.len = (uint32_t)entries[i].len,
			.kind = (uint8_t)entries[i].kind,
			.data_checksum = store_data_checksum(&entries[i]),
		};

		store_record_put(out, &entries[i], entries[i].kind, offset,
				 synced_end, store->identity);
		g_array_append_val(entry_locations, slot);
	}
}

static bool write_sync_mark(struct store *store, GError **error)
{
	struct raft_entry none = { 0 };
	GByteArray *out = g_byte_array_new();
	bool ok;

	store_record_put(out, &none, STORE_SYNC_MARK, store->end,
			 store->synced_end, store->identity);
	ok = store_files_write(&store->files, store->log_fd, out->data,
			       out->len, store->end, error);
	store->end += out->len;
	store->failed = store->failed || !ok;
	g_byte_array_free(out, TRUE);
	return ok;
}

/*
 * Writes a new log file with @entries and replaces the old one by it. Recovery
 * does this as well: it removes an incomplete last record without changing the
 * old file, and does not rely on pages of a file whose sync may have failed.
 */
static bool rewrite_log(struct store *store, const struct raft_entry *entries,
			size_t nr, GError **error)
{
	GByteArray *out = g_byte_array_new();
	int fd = store_files_create(&store->files, "log", error);
	bool ok = fd >= 0;

	g_array_set_size(store->entry_locations, 0);
	store_log_header_put(out, store->identity, store->base_index,
			     store->base_term);
	encode_entries(store, out, 0, entries, nr, 0, store->entry_locations);
	ok = ok &&
	     store_files_write(&store->files, fd, out->data, out->len, 0,
			       error) &&
	     store_files_publish(&store->files, fd, "log", error);
	if (ok) {
		if (store->log_fd >= 0)
			store->files.ops->close(store->log_fd,
						store->files.data);
		store->log_fd = fd;
		store->end = store->synced_end = out->len;
		ok = write_sync_mark(store, error);
	} else if (fd >= 0) {
		store->files.ops->close(fd, store->files.data);
	}
	g_byte_array_free(out, TRUE);
	store->failed = store->failed || !ok;
	return ok;
}

/*
 * The identity is written last: a folder without it has never acknowledged a
 * write, so an interrupted creation can be repeated.
 */
static bool create_files(struct store *store, const struct raft_recovered *rec,
			 GError **error)
{
	return write_hard_state(store, &rec->hard_state, error) &&
	       rewrite_log(store, NULL, 0, error) &&
	       write_checked_file(store, "identity", TYPE_IDENTITY,
				  g_byte_array_new(), error);
}

static bool recover_files(struct store *store, struct raft_recovered *rec,
			  GError **error)
{
	const uint8_t *identity;
	GByteArray *file;
	GByteArray *log;
	GError *failure = NULL;
	bool hard_state;
	bool ok;
	size_t len;

	if (!read_checked_file(store, "identity", TYPE_IDENTITY, &file,
			       &identity, &len, error))
		return false;
	if (file)
		g_byte_array_free(file, TRUE);
	if (!read_hard_state(store, rec, &hard_state, error) ||
	    !read_snapshot(store, rec, error))
		return false;
	log = store_files_read(&store->files, "log", &failure);
	if (failure) {
		g_propagate_error(error, failure);
		return false;
	}
	ok = !log || store_record_scan(store, log, error);
	if (log)
		g_byte_array_free(log, TRUE);
	if (!ok)
		return false;
	if (identity) {
		if (!log || !hard_state)
			return store_corruption_error(error,
						      store->files.folder,
						      "a file is missing");
		return trim_to_snapshot(store, rec, error) &&
		       rewrite_log(store, (void *)store->entries->data,
				   store->entries->len, error);
	}
	if (store->snapshot || store->entries->len || store->base_index ||
	    rec->hard_state.term)
		return store_corruption_error(error, "identity",
					      "it is missing");
	return create_files(store, rec, error);
}

struct store *store_open(const char *folder, const struct store_file_ops *ops,
			 void *data, uint64_t identity,
			 struct raft_recovered *recovered, GError **error)
{
	struct store *store = g_new0(struct store, 1);

	memset(recovered, 0, sizeof(*recovered));
	store->files.ops = ops;
	store->files.data = data;
	store->files.folder = g_strdup(folder);
	store->identity = identity;
	store->log_fd = -1;
	store->entry_locations =
		g_array_new(FALSE, FALSE, sizeof(struct store_entry_location));
	store->entries = g_array_new(FALSE, FALSE, sizeof(struct raft_entry));
	g_array_set_clear_func(store->entries, clear_entry);
	if (!store_files_open(&store->files, error) ||
	    !recover_files(store, recovered, error)) {
		store_close(store);
		return NULL;
	}
	recovered->entries = (void *)store->entries->data;
	recovered->nr_entries = store->entries->len;
	return store;
}

void store_close(struct store *store)
{
	if (!store)
		return;
	if (store->log_fd >= 0)
		store->files.ops->close(store->log_fd, store->files.data);
	store_files_finish(&store->files);
	g_array_free(store->entry_locations, TRUE);
	g_array_free(store->entries, TRUE);
	if (store->snapshot)
		g_bytes_unref(store->snapshot);
	g_free(store);
}

static bool check_writable(const struct store *store, GError **error)
{
	if (!store->failed)
		return true;
	g_set_error(error, CW_ERROR, CW_ERROR_IO,
		    "%s: writes are refused after an earlier error; free space "
		    "or replace the disk, then restart",
		    store->files.folder);
	return false;
}

bool store_save_hard_state(struct store *store,
			   const struct raft_hard_state *hs, GError **error)
{
	return check_writable(store, error) &&
	       write_hard_state(store, hs, error);
}

bool store_append(struct store *store, const struct raft_entry *entries,
		  size_t nr, GError **error)
{
	GByteArray *out;
	uint64_t ordinal;
	bool ok;

	if (!check_writable(store, error))
		return false;
	if (!nr)
		return true;
	ordinal = entries[0].index - store->base_index;
	g_assert(entries[0].index > store->base_index &&
		 ordinal <= store->entry_locations->len + 1);
	g_array_set_size(store->entry_locations, (guint)ordinal - 1);
	out = g_byte_array_new();
	encode_entries(store, out, store->end, entries, nr, store->synced_end,
		       store->entry_locations);
	ok = store_files_write(&store->files, store->log_fd, out->data,
			       out->len, store->end, error);
	store->end += out->len;
	store->failed = !ok;
	g_byte_array_free(out, TRUE);
	return ok;
}

bool store_sync(struct store *store, GError **error)
{
	if (!check_writable(store, error))
		return false;
	if (store->files.ops->fsync(store->log_fd, store->files.data)) {
		store->failed = true;
		return store_io_error(error, "syncing", "log");
	}
	store->synced_end = store->end;
	/*
	 * From the mark, recovery knows that the records before it were synced,
	 * so that damage to them is an error. The mark itself becomes durable
	 * with the next sync; a power failure before that may lose it, but no
	 * entry.
	 */
	return write_sync_mark(store, error);
}

static bool read_entry(struct store *store,
		       const struct store_entry_location *slot,
		       const struct raft_entry *entry, GError **error)
{
	ssize_t n = 0;

	errno = EIO;
	if (slot->len)
		n = store->files.ops->pread(store->log_fd, entry->data,
					    slot->len, slot->data_offset,
					    store->files.data);
	if (n != (ssize_t)slot->len)
		return store_io_error(error, "reading", "log");
	return store_data_checksum(entry) == slot->data_checksum ||
	       store_corruption_error(error, "log", "an entry changed on disk");
}

/* Reads the entries after @index back from the log file. */
static bool read_entries(struct store *store, uint64_t index, GArray *out,
			 GError **error)
{
	uint64_t i;

	for (i = index - store->base_index; i < store->entry_locations->len;
	     i++) {
		const struct store_entry_location *slot = &g_array_index(
			store->entry_locations, struct store_entry_location, i);
		struct raft_entry entry = {
			.index = store->base_index + i + 1,
			.term = slot->term,
			.kind = slot->kind,
			.len = slot->len,
			.data = g_malloc(slot->len),
		};

		g_array_append_val(out, entry);
		if (!read_entry(store, slot, &entry, error)) {
			store->failed = true;
			return false;
		}
	}
	return true;
}

bool store_save_snapshot(struct store *store, uint64_t index, uint64_t term,
			 const struct raft_members *members,
			 const uint8_t *bytes, size_t len, GError **error)
{
	uint64_t ordinal = index - store->base_index;
	GArray *kept;
	bool ok;

	if (!check_writable(store, error))
		return false;
	g_assert(index > store->base_index);
	kept = g_array_new(FALSE, FALSE, sizeof(struct raft_entry));
	g_array_set_clear_func(kept, clear_entry);
	ok = ordinal > store->entry_locations->len ||
	     g_array_index(store->entry_locations, struct store_entry_location,
			   ordinal - 1)
			     .term != term ||
	     read_entries(store, index, kept, error);
	ok = ok && write_checked_file(store, "snapshot", TYPE_SNAPSHOT,
				      store_snapshot_pack(index, term, members,
							  bytes, len),
				      error);
	if (ok) {
		store->base_index = index;
		store->base_term = term;
		ok = rewrite_log(store, (void *)kept->data, kept->len, error);
	}
	g_array_free(kept, TRUE);
	return ok;
}
