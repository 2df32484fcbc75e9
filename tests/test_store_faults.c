#include "store_model.h"
#include "test_main.h"

/* Power cuts with different luck at each boundary. */
#define LUCK 12

static struct store *open_fake(struct fake_files *fs,
			       struct raft_recovered *rec)
{
	return store_open("data", &fake_ops, fs, 3, rec, NULL);
}

/* Runs the scenario with the power cut after @boundary operations. */
static bool cut_once(int boundary, uint32_t seed, bool short_writes)
{
	struct fake_files *fs = fake_new(seed);
	struct raft_recovered rec;
	struct model m = { 0 };
	struct store *s;
	bool reached;
	unsigned i;

	fs->cut_at = boundary;
	fs->short_writes = short_writes;
	s = open_fake(fs, &rec);
	if (s)
		model_scenario(&m, s);
	reached = fs->cut_at != 0;
	store_close(s);
	fake_power_cut(fs);
	s = open_fake(fs, &rec);
	ck_assert_ptr_nonnull(s);
	model_check(&m, &rec);
	/* What was recovered is promised from then on. */
	for (i = 0; i < 2; i++) {
		size_t nr = rec.nr_entries;
		uint64_t index = rec.snapshot_index;

		store_close(s);
		fake_power_cut(fs);
		s = open_fake(fs, &rec);
		ck_assert_ptr_nonnull(s);
		ck_assert_uint_eq(rec.nr_entries, nr);
		ck_assert_uint_eq(rec.snapshot_index, index);
	}
	store_close(s);
	fake_free(fs);
	return reached;
}

/*
 * Guards against a promise that a power cut breaks, at every operation that
 * changes something: records, votes, snapshots, renames, a snapshot cut half
 * way, and the first creation of the folder.
 */
START_TEST(test_power_cut)
{
	int boundary;
	uint32_t seed;

	for (boundary = 0;; boundary++) {
		bool done = true;

		for (seed = 1; seed <= LUCK; seed++)
			done = cut_once(boundary, seed * 1000 + boundary,
					false) &&
			       done;
		if (done)
			break;
	}
	ck_assert_int_ge(boundary, 60);
}
END_TEST

/* Guards against the same when each write takes some of its bytes only. */
START_TEST(test_power_cut_with_short_writes)
{
	int boundary;

	for (boundary = 0;; boundary++)
		if (cut_once(boundary, 77 + boundary, true))
			break;
	ck_assert_int_ge(boundary, 100);
}
END_TEST

/* Guards against a short write that is taken for a whole one. */
START_TEST(test_short_writes)
{
	uint32_t seed;

	for (seed = 1; seed <= 50; seed++) {
		struct fake_files *fs = fake_new(seed);
		struct raft_recovered rec;
		struct model m = { 0 };
		struct store *s;

		fs->short_writes = true;
		s = open_fake(fs, &rec);
		model_scenario(&m, s);
		ck_assert_uint_eq(m.nr, m.promised);
		store_close(s);
		fake_power_cut(fs);
		s = open_fake(fs, &rec);
		ck_assert_ptr_nonnull(s);
		model_check(&m, &rec);
		store_close(s);
		fake_free(fs);
	}
}
END_TEST

static void refuses_all(struct store *s)
{
	struct raft_hard_state hs = { 9, 9 };
	struct raft_entry e = { .index = 20, .term = 9 };
	struct raft_members members = { .nr = 0 };
	GError *error = NULL;

	ck_assert(!store_append(s, &e, 1, &error));
	ck_assert(g_error_matches(error, CW_ERROR, CW_ERROR_IO));
	g_clear_error(&error);
	ck_assert(!store_sync(s, NULL));
	ck_assert(!store_save_hard_state(s, &hs, NULL));
	ck_assert(!store_save_snapshot(s, 20, 9, &members, NULL, 0, NULL));
}

/*
 * Guards against writes after a failed sync: the kernel may have dropped the
 * pages, and a second sync would report success.
 */
START_TEST(test_sync_error)
{
	int at;

	for (at = 0;; at++) {
		struct fake_files *fs = fake_new(5);
		struct raft_recovered rec;
		struct model m = { 0 };
		struct store *s;
		bool failed;

		fs->sync_error_at = at;
		s = open_fake(fs, &rec);
		if (s)
			model_scenario(&m, s);
		failed = fs->sync_error_at < 0;
		if (failed && s)
			refuses_all(s);
		store_close(s);
		fake_power_cut(fs);
		s = open_fake(fs, &rec);
		ck_assert_ptr_nonnull(s);
		model_check(&m, &rec);
		store_close(s);
		fake_free(fs);
		if (!failed)
			break;
	}
	ck_assert_int_ge(at, 25);
}
END_TEST

/* Guards against a full disk that loses what was promised before. */
START_TEST(test_full_disk)
{
	long room;

	for (room = 0;; room += 37) {
		struct fake_files *fs = fake_new(6);
		struct raft_recovered rec;
		struct model m = { 0 };
		struct store *s;
		bool full;

		fs->room = room;
		s = open_fake(fs, &rec);
		if (s)
			model_scenario(&m, s);
		full = !fs->room;
		if (full && s)
			refuses_all(s);
		store_close(s);
		fake_power_cut(fs);
		s = open_fake(fs, &rec);
		ck_assert_ptr_nonnull(s);
		model_check(&m, &rec);
		store_close(s);
		fake_free(fs);
		if (!full)
			break;
	}
	ck_assert_int_ge(room, 3000);
}
END_TEST

TEST_MAIN("store_faults", test_power_cut, test_power_cut_with_short_writes,
	  test_short_writes, test_sync_error, test_full_disk)
