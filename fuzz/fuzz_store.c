#include "fake_files.h"
#include "fuzz.h"
#include "store_internal.h"

/*
 * Recovery of arbitrary file content. The first byte selects the file, the
 * second whether its checksum is made right, so that the code behind the
 * checksum is reached. Recovery must not crash, and what it accepts must be
 * recovered again unchanged.
 */

#define IDENTITY 3

static const char *const names[] = { "data/identity", "data/hard-state",
				     "data/snapshot", "data/log" };
static const char *const types[] = { "cwident\1", "cwhard\0\1", "cwsnap\0\1" };

static void put_file(struct fake_files *fs, const char *name,
		     const uint8_t *bytes, size_t len)
{
	int fd;

	g_hash_table_remove(fs->names, name);
	fd = fake_open(name, O_CREAT, 0600, fs);
	if (len)
		fake_pwrite(fd, bytes, len, 0, fs);
	fake_fsync(fd, fs);
	fake_close(fd, fs);
	fd = fake_open("data", O_DIRECTORY, 0, fs);
	fake_fsync(fd, fs);
	fake_close(fd, fs);
}

/* A log of valid records whose indexes, terms and kinds come from the input. */
static GByteArray *make_log(const uint8_t *data, size_t size)
{
	GByteArray *log = g_byte_array_new();

	store_log_header_put(log, IDENTITY, 1, 1);
	while (size >= 4) {
		struct raft_entry e = {
			.index = data[0],
			.term = data[1],
			.data = (uint8_t *)data + 4,
			.len = MIN(data[3], size - 4),
		};

		store_record_put(log, &e, data[2], log->len, log->len,
				 IDENTITY);
		data += 4 + e.len;
		size -= 4 + e.len;
	}
	if (size)
		g_byte_array_append(log, data, (guint)size);
	return log;
}

static void put_input(struct fake_files *fs, const uint8_t *data, size_t size)
{
	unsigned which = data[0] % G_N_ELEMENTS(names);
	GByteArray *payload;
	GByteArray *file;

	if (!(data[1] & 1)) {
		put_file(fs, names[which], data + 2, size - 2);
		return;
	}
	if (which < G_N_ELEMENTS(types)) {
		payload = g_byte_array_new();
		g_byte_array_append(payload, data + 2, (guint)(size - 2));
		file = store_file_wrap(types[which], IDENTITY, payload);
		g_byte_array_free(payload, TRUE);
	} else {
		file = make_log(data + 2, size - 2);
		/* The last record may be cut anywhere. */
		g_byte_array_set_size(file,
				      file->len - MIN(data[1] >> 1, file->len));
	}
	put_file(fs, names[which], file->data, file->len);
	g_byte_array_free(file, TRUE);
}

static void check_again(struct fake_files *fs,
			const struct raft_recovered *first, struct store *store)
{
	struct raft_recovered again;
	struct store *other;

	fake_power_failure(fs);
	other = store_open("data", &fake_ops, fs, IDENTITY, &again, NULL);
	if (!other || again.nr_entries != first->nr_entries ||
	    again.snapshot_index != first->snapshot_index ||
	    again.hard_state.term != first->hard_state.term)
		abort();
	store_close(other);
	/* Its descriptors ended with the power cut. */
	memset(fs->fd, 0, sizeof(fs->fd));
	store_close(store);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct raft_recovered rec;
	struct fake_files *fs;
	struct raft_members members = { .member = { { 1, true } }, .nr = 1 };
	struct store *store;

	if (size < 2)
		return 0;
	fs = fake_new(1);
	store = store_open("data", &fake_ops, fs, IDENTITY, &rec, NULL);
	store_save_snapshot(store, 1, 1, &members, NULL, 0, NULL);
	store_close(store);
	put_input(fs, data, size);
	store = store_open("data", &fake_ops, fs, IDENTITY, &rec, NULL);
	if (store)
		check_again(fs, &rec, store);
	fake_free(fs);
	return 0;
}
