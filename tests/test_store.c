#include "store_model.h"
#include "store_internal.h"
#include "test_main.h"

#include <glib/gstdio.h>

static struct store *open_fake(struct fake_files *fs, uint64_t identity,
			       struct raft_recovered *rec, GError **error)
{
	return store_open("data", &fake_ops, fs, identity, rec, error);
}

/* Guards against losing data across restarts, with real files. */
START_TEST(test_restart_on_disk)
{
	g_autofree char *parent = g_dir_make_tmp("cw-store-XXXXXX", NULL);
	g_autofree char *folder = g_build_filename(parent, "raft", NULL);
	const char *names[] = { "identity", "hard-state", "snapshot", "log" };
	struct model m = { 0 };
	struct raft_recovered rec;
	struct store *s;
	unsigned i;

	s = store_open(folder, &store_posix_file_ops, NULL, 7, &rec, NULL);
	ck_assert_ptr_nonnull(s);
	model_scenario(&m, s);
	ck_assert_uint_eq(m.nr_acknowledged, m.nr);
	store_close(s);
	for (i = 0; i < 3; i++) {
		s = store_open(folder, &store_posix_file_ops, NULL, 7, &rec,
			       NULL);
		ck_assert_ptr_nonnull(s);
		model_check(&m, &rec);
		ck_assert(model_append(&m, s, 15 + i, 6, 1));
		ck_assert(model_sync(&m, s));
		store_close(s);
	}
	for (i = 0; i < G_N_ELEMENTS(names); i++) {
		g_autofree char *path =
			g_build_filename(folder, names[i], NULL);

		ck_assert_int_eq(g_unlink(path), 0);
	}
	ck_assert_int_eq(g_rmdir(folder), 0);
	ck_assert_int_eq(g_rmdir(parent), 0);
}
END_TEST

/* Guards against taking a wiped or another node's folder for this node's. */
START_TEST(test_identity)
{
	struct fake_files *fs = fake_new(1);
	struct raft_recovered rec;
	struct model m = { 0 };
	GError *error = NULL;
	struct store *s = open_fake(fs, 3, &rec, NULL);

	ck_assert_ptr_nonnull(s);
	ck_assert_uint_eq(rec.members.nr, 0);
	ck_assert_uint_eq(rec.hard_state.term, 0);
	ck_assert_uint_eq(rec.nr_entries, 0);
	model_scenario(&m, s);
	store_close(s);
	ck_assert_ptr_null(open_fake(fs, 4, &rec, &error));
	ck_assert(g_error_matches(error, CW_ERROR, CW_ERROR_SETTINGS));
	g_clear_error(&error);
	fake_free(fs);
}
END_TEST

/* Guards against a folder with a missing file being taken for a new one. */
START_TEST(test_missing_file)
{
	const char *names[] = { "data/identity", "data/hard-state",
				"data/snapshot", "data/log" };
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(names); i++) {
		struct fake_files *fs = fake_new(2);
		struct raft_recovered rec;
		struct model m = { 0 };
		GError *error = NULL;
		struct store *s = open_fake(fs, 3, &rec, NULL);

		model_scenario(&m, s);
		store_close(s);
		g_hash_table_remove(fs->names, names[i]);
		ck_assert_ptr_null(open_fake(fs, 3, &rec, &error));
		ck_assert(g_error_matches(error, CW_ERROR, CW_ERROR_CORRUPT));
		g_clear_error(&error);
		fake_free(fs);
	}
}
END_TEST

/* Copies the folder and flips one bit of the file @name. */
static struct fake_files *copy_with_flipped_bit(const struct fake_files *from,
						const char *name, guint at,
						unsigned bit)
{
	struct fake_files *fs = fake_new(1);
	GHashTableIter it;
	void *path;
	void *p;

	g_hash_table_iter_init(&it, from->names);
	while (g_hash_table_iter_next(&it, &path, &p)) {
		GByteArray *c = ((struct fake_file *)p)->content;
		int fd = fake_open(path, O_CREAT, 0600, fs);

		fake_pwrite(fd, c->data, c->len, 0, fs);
		fake_close(fd, fs);
	}
	p = g_hash_table_lookup(fs->names, name);
	((struct fake_file *)p)->content->data[at] ^= (uint8_t)(1u << bit);
	return fs;
}

/*
 * Guards against damage to synced data, up to the last synced record, being
 * taken for an incomplete write: each flipped bit is either reported or changes
 * nothing that was acknowledged.
 */
START_TEST(test_bit_flips)
{
	const char *names[] = { "data/identity", "data/hard-state",
				"data/snapshot", "data/log" };
	struct fake_files *fs = fake_new(3);
	struct raft_recovered rec;
	struct model m = { 0 };
	struct store *s = open_fake(fs, 3, &rec, NULL);
	unsigned i;
	guint at;

	model_scenario(&m, s);
	ck_assert_uint_eq(m.nr_acknowledged, m.nr);
	store_close(s);
	for (i = 0; i < G_N_ELEMENTS(names); i++) {
		struct fake_file *f = g_hash_table_lookup(fs->names, names[i]);
		/* No later record shows that the last sync mark was synced. */
		guint covered = f->content->len -
				(i == 3 ? STORE_RECORD_HEADER_LEN : 0);

		for (at = 0; at < f->content->len; at++) {
			struct fake_files *bad =
				copy_with_flipped_bit(fs, names[i], at, at % 8);
			GError *error = NULL;

			s = open_fake(bad, 3, &rec, &error);
			ck_assert(!s == (at < covered));
			if (s)
				model_check(&m, &rec);
			else
				ck_assert(g_error_matches(error, CW_ERROR,
							  CW_ERROR_CORRUPT));
			store_close(s);
			g_clear_error(&error);
			fake_free(bad);
		}
	}
	fake_free(fs);
}
END_TEST

/* Guards against changing the files of a folder that is refused. */
START_TEST(test_corrupt_folder_is_unchanged)
{
	struct fake_files *fs = fake_new(4);
	struct raft_recovered rec;
	struct model m = { 0 };
	struct store *s = open_fake(fs, 3, &rec, NULL);
	struct fake_file *log;
	g_autofree uint8_t *before = NULL;

	model_scenario(&m, s);
	store_close(s);
	log = g_hash_table_lookup(fs->names, "data/log");
	log->content->data[STORE_LOG_HEADER_LEN + STORE_RECORD_HEADER_LEN] ^= 1;
	before = g_memdup2(log->content->data, log->content->len);
	ck_assert_ptr_null(open_fake(fs, 3, &rec, NULL));
	ck_assert_ptr_eq(g_hash_table_lookup(fs->names, "data/log"), log);
	ck_assert_mem_eq(before, log->content->data, log->content->len);
	fake_free(fs);
}
END_TEST

/*
 * Guards against refusing a hard state of version 1, which has no leader, and
 * against taking its leader for known.
 */
START_TEST(test_hard_state_without_leader)
{
	struct fake_files *fs = fake_new(5);
	struct raft_recovered rec;
	struct model m = { 0 };
	struct store *s = open_fake(fs, 3, &rec, NULL);
	GByteArray *payload = g_byte_array_new();
	struct fake_file *file;
	GByteArray *sealed;

	model_scenario(&m, s);
	store_close(s);
	store_put_u64(payload, 4);
	store_put_u64(payload, 7);
	sealed = store_file_wrap("cwhard\0\1", 3, payload);
	file = g_hash_table_lookup(fs->names, "data/hard-state");
	g_byte_array_set_size(file->content, 0);
	g_byte_array_append(file->content, sealed->data, sealed->len);
	s = open_fake(fs, 3, &rec, NULL);
	ck_assert_ptr_nonnull(s);
	ck_assert_uint_eq(rec.hard_state.term, 4);
	ck_assert_uint_eq(rec.hard_state.voted_for, 7);
	ck_assert(rec.hard_state.leader == RAFT_LEADER_UNKNOWN);
	store_close(s);
	g_byte_array_free(payload, TRUE);
	g_byte_array_free(sealed, TRUE);
	fake_free(fs);
}
END_TEST

TEST_MAIN("store", test_hard_state_without_leader, test_restart_on_disk,
	  test_identity, test_missing_file, test_bit_flips,
	  test_corrupt_folder_is_unchanged)
