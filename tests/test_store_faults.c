#include "store_model.h"
#include "test_main.h"

/* Power cuts with different luck at each boundary. */
#define LUCK 12

static struct store *open_fake(struct fake_files *fs,
			       struct raft_recovered *rec)
{
	return store_open("data", &fake_ops, fs, 3, rec, NULL);
}

/* After the faults: what was promised is there, and is promised again. */
static void recover_and_free(struct fake_files *fs, const struct model *m)
{
	struct raft_recovered rec;
	struct store *s;
	size_t nr = 0;
	unsigned i;

	for (i = 0; i < 3; i++) {
		fake_power_cut(fs);
		s = open_fake(fs, &rec);
		ck_assert_ptr_nonnull(s);
		model_check(m, &rec);
		ck_assert(!i || rec.nr_entries == nr);
		nr = rec.nr_entries;
		store_close(s);
	}
	fake_free(fs);
}

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

/* Runs the scenario on @fs, whose faults are set; true if none was met. */
static bool run(struct fake_files *fs)
{
	struct raft_recovered rec;
	struct model m = { 0 };
	struct store *s = open_fake(fs, &rec);
	bool whole;

	if (s)
		model_scenario(&m, s);
	whole = s && m.nr && m.promised == m.nr && m.nr == MODEL_RECORDS;
	if (s && !whole)
		refuses_all(s);
	store_close(s);
	recover_and_free(fs, &m);
	return whole;
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
	bool whole = false;

	for (boundary = 0; !whole; boundary++) {
		whole = true;
		for (seed = 1; seed <= LUCK; seed++) {
			struct fake_files *fs =
				fake_new(seed * 1000 + (uint32_t)boundary);

			fs->cut_at = boundary;
			whole = run(fs) && whole;
		}
	}
	ck_assert_int_ge(boundary, 60);
}
END_TEST

/* Guards against the same when each write takes some of its bytes only. */
START_TEST(test_power_cut_with_short_writes)
{
	int boundary;
	bool whole = false;

	for (boundary = 0; !whole; boundary++) {
		struct fake_files *fs = fake_new(77 + (uint32_t)boundary);

		fs->cut_at = boundary;
		fs->short_writes = true;
		whole = run(fs);
	}
	ck_assert_int_ge(boundary, 100);
}
END_TEST

/* Guards against a short write that is taken for a whole one. */
START_TEST(test_short_writes)
{
	uint32_t seed;

	for (seed = 1; seed <= 50; seed++) {
		struct fake_files *fs = fake_new(seed);

		fs->short_writes = true;
		ck_assert(run(fs));
	}
}
END_TEST

/*
 * Guards against writes after a failed sync: the kernel may have dropped the
 * pages, and a second sync would report success.
 */
START_TEST(test_sync_error)
{
	bool whole = false;
	int at;

	for (at = 0; !whole; at++) {
		struct fake_files *fs = fake_new(5);

		fs->sync_error_at = at;
		whole = run(fs);
	}
	ck_assert_int_ge(at, 25);
}
END_TEST

/* Guards against a full disk that loses what was promised before. */
START_TEST(test_full_disk)
{
	bool whole = false;
	long room;

	for (room = 0; !whole; room += 37) {
		struct fake_files *fs = fake_new(6);

		fs->room = room;
		whole = run(fs);
	}
	ck_assert_int_ge(room, 3000);
}
END_TEST

TEST_MAIN("store_faults", test_power_cut, test_power_cut_with_short_writes,
	  test_short_writes, test_sync_error, test_full_disk)
