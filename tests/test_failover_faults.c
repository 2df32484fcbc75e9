#include "failover_faults.h"
#include "test_main.h"

/*
 * The daemon's lease, fail-over, control state and consensus over the model
 * of comfreywheel-bench. Each run checks: one primary per term and cluster,
 * no acknowledgement from a replaced primary, no acknowledged write lost; and
 * that all daemons write again once the faults are over.
 */

#define HOLD_US (5000 * WORLD_MS)

static struct faults_run make_run(unsigned first, unsigned second,
				  unsigned long seed)
{
	return (struct faults_run){
		.config = { .daemons = 8,
			    .control_vms = 3,
			    .clusters = 2,
			    .zones = 3,
			    .zone_latency_us = 500,
			    .clock_drift = 0.01,
			    .reliable = true,
			    .seed = seed },
		.first = first,
		.second = second,
		.gap_us = (seed * 379 % 1500) * WORLD_MS,
		.hold_us = HOLD_US,
	};
}

static void check(const struct faults_run *run)
{
	char *seen = faults_check(run);

	ck_assert_msg(!seen, "seed %lu, %s, then %s: %s", run->config.seed,
		      fault_name(run->first), fault_name(run->second), seen);
}

/* Guards against a single fault that breaks an invariant or is not overcome. */
START_TEST(test_single_faults)
{
	struct faults_run run;
	unsigned long seed;
	unsigned i;

	for (i = 0; i < faults_nr(); i++)
		for (seed = 1; seed <= 2; seed++) {
			run = make_run(i, 0, seed);
			check(&run);
		}
}
END_TEST

/* Guards against two faults that are each overcome alone. */
START_TEST(test_pairs)
{
	struct faults_run run;
	unsigned i, j;

	for (i = 1; i < faults_nr(); i++)
		for (j = 1; j < faults_nr(); j++) {
			run = make_run(i, j, 1000 + i * faults_nr() + j);
			check(&run);
		}
}
END_TEST

/* Guards against a control VM that was away for an hour disturbing others. */
START_TEST(test_hour_of_silence)
{
	struct faults_run run = make_run(0, 0, 7);
	unsigned i;

	for (i = 0; i < faults_nr(); i++)
		if (!g_strcmp0(fault_name(i), "control VM silent"))
			run.first = i;
	run.config.clusters = 1;
	run.hold_us = 3600ll * G_USEC_PER_SEC;
	check(&run);
}
END_TEST

/* Shows that the invariants can fail: the naive version breaks them. */
START_TEST(test_naive_breaks)
{
	struct faults_run run = make_run(3, 0, 1);
	char *seen;

	run.config.naive = true;
	seen = faults_check(&run);
	ck_assert_ptr_nonnull(seen);
	g_free(seen);
}
END_TEST

TEST_MAIN("failover_faults", test_single_faults, test_pairs,
	  test_hour_of_silence, test_naive_breaks)
