#include "store_model.h"
#include "test_main.h"

/* Power failures simulated at each operation, each with another random seed. */
#define SEEDS_PER_OPERATION 12

static struct store *open_fake(struct fake_files *fs,
			       struct raft_recovered *rec)
{
	return store_open("data", &fake_ops, fs, 3, rec, NULL);
}

/*
 * Opens the store after each of several power failures: acknowledged data must
 * be there, and what was recovered once must be recovered again.
 */
static void check_recovery(struct fake_files *fs, const struct model *m)
{
	struct raft_recovered rec;
	struct store *s;
	size_t nr = 0;
	unsigned i;

	for (i = 0; i < 3; i++) {
		fake_power_failure(fs);
		s = open_fake(fs, &rec);
		ck_assert_ptr_nonnull(s);
		model_check(m, &rec);
		ck_assert(!i || rec.nr_entries == nr);
		nr = rec.nr_entries;
		store_close(s);
	}
	fake_free(fs);
}

static void assert_writes_refused(struct store *s)
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
 * Runs the scenario on @fs with its injected faults, and checks the recovery.
 * Returns true if no fault occurred.
 */
static bool run_scenario(struct fake_files *fs)
{
	struct raft_recovered rec;
	struct model m = { 0 };
	struct store *s = open_fake(fs, &rec);
	bool no_fault;

	if (s)
		model_scenario(&m, s);
	no_fault = s && m.nr && m.nr_acknowledged == m.nr &&
		   m.nr == MODEL_RECORDS;
	if (s && !no_fault)
		assert_writes_refused(s);
	store_close(s);
	check_recovery(fs, &m);
	return no_fault;
}

/*
 * Guards against losing acknowledged data in a power failure at any operation
 * that changes something: writes of records, votes and snapshots, also halfway
 * through a snapshot, renames, and the creation of the folder.
 */
START_TEST(test_power_cut)
{
	int boundary;
	uint32_t seed;
	bool no_fault = false;

	for (boundary = 0; !no_fault; boundary++) {
		no_fault = true;
		for (seed = 1; seed <= SEEDS_PER_OPERATION; seed++) {
			struct fake_files *fs =
				fake_new(seed * 1000 + (uint32_t)boundary);

			fs->ops_until_power_failure = boundary;
			no_fault = run_scenario(fs) && no_fault;
		}
	}
	ck_assert_int_ge(boundary, 60);
}
END_TEST

/* Guards against losing acknowledged data in a power failure when each write
 * stores only part of its bytes. */
START_TEST(test_power_cut_with_short_writes)
{
	int boundary;
	bool no_fault = false;

	for (boundary = 0; !no_fault; boundary++) {
		struct fake_files *fs = fake_new(77 + (uint32_t)boundary);

		fs->ops_until_power_failure = boundary;
		fs->short_writes = true;
		no_fault = run_scenario(fs);
	}
	ck_assert_int_ge(boundary, 100);
}
END_TEST

/* Guards against a short write being taken for a complete one. */
START_TEST(test_short_writes)
{
	uint32_t seed;

	for (seed = 1; seed <= 50; seed++) {
		struct fake_files *fs = fake_new(seed);

		fs->short_writes = true;
		ck_assert(run_scenario(fs));
	}
}
END_TEST

/*
 * Guards against writes after a failed sync: the kernel may have dropped the
 * dirty pages, and a second sync would then report success.
 */
START_TEST(test_sync_error)
{
	bool no_fault = false;
	int at;

	for (at = 0; !no_fault; at++) {
		struct fake_files *fs = fake_new(5);

		fs->syncs_until_error = at;
		no_fault = run_scenario(fs);
	}
	ck_assert_int_ge(at, 25);
}
END_TEST

/* Guards against losing acknowledged data when the disk is full. */
START_TEST(test_full_disk)
{
	bool no_fault = false;
	long bytes_left;

	for (bytes_left = 0; !no_fault; bytes_left += 37) {
		struct fake_files *fs = fake_new(6);

		fs->bytes_left = bytes_left;
		no_fault = run_scenario(fs);
	}
	ck_assert_int_ge(bytes_left, 3000);
}
END_TEST

TEST_MAIN("store_faults", test_power_cut, test_power_cut_with_short_writes,
	  test_short_writes, test_sync_error, test_full_disk)
