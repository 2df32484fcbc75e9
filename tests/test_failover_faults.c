#include "failover_faults.h"
#include "test_main.h"

/*
 * Runs leases, fail-over, control state and Raft in the simulation of
 * comfreywheel-bench. Each run checks that there is one primary per term and
 * cluster, that a replaced primary acknowledges nothing, that no acknowledged
 * write is lost, and that all daemons can write again after the faults.
 */

#define HOLD_US (5000 * WORLD_MS)
/* Time in which a late order has been carried out. */
#define AFTER_LATE_US (7000 * WORLD_MS)

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

static void run_faults(const struct faults_run *run)
{
	char *violation = faults_check(run);

	ck_assert_msg(!violation, "seed %lu, %s, then %s: %s", run->config.seed,
		      fault_name(run->first), fault_name(run->second),
		      violation);
}

/* Guards against a single fault that breaks an invariant or blocks writes. */
START_TEST(test_single_faults)
{
	struct faults_run run;
	unsigned long seed;
	unsigned i;

	for (i = 0; i < faults_nr(); i++)
		for (seed = 1; seed <= 2; seed++) {
			run = make_run(i, 0, seed);
			run_faults(&run);
		}
}
END_TEST

/* Guards against pairs of faults that break an invariant or block writes. */
START_TEST(test_fault_pairs)
{
	struct faults_run run;
	unsigned i, j;

	for (i = 1; i < faults_nr(); i++)
		for (j = 1; j < faults_nr(); j++) {
			run = make_run(i, j, 1000 + i * faults_nr() + j);
			run_faults(&run);
		}
}
END_TEST

/* Guards against a later fail-over that counts on the log of an upstream whose
 * promotion was given up and carried out all the same. */
START_TEST(test_faults_after_late_promotion)
{
	struct faults_run run;
	unsigned i, j;

	for (i = 0; i < faults_nr(); i++) {
		if (!g_str_has_prefix(fault_name(i), "promotion carried out"))
			continue;
		for (j = 1; j < faults_nr(); j++) {
			run = make_run(i, j, 2000 + i * faults_nr() + j);
			run.gap_us += AFTER_LATE_US;
			run_faults(&run);
		}
	}
}
END_TEST

/* Guards against disruption by a control VM that was silent for an hour. */
START_TEST(test_control_vm_silent_for_hour)
{
	struct faults_run run = make_run(0, 0, 7);
	unsigned i;

	for (i = 0; i < faults_nr(); i++)
		if (!g_strcmp0(fault_name(i), "control VM silent"))
			run.first = i;
	run.config.clusters = 1;
	run.hold_us = 3600ll * G_USEC_PER_SEC;
	run_faults(&run);
}
END_TEST

/* Checks that violations are detected: the naive version causes one. */
START_TEST(test_naive_breaks_invariants)
{
	struct faults_run run = make_run(3, 0, 1);
	char *violation;

	run.config.naive = true;
	violation = faults_check(&run);
	ck_assert_ptr_nonnull(violation);
	g_free(violation);
}
END_TEST

TEST_MAIN("failover_faults", test_single_faults, test_fault_pairs,
	  test_faults_after_late_promotion, test_control_vm_silent_for_hour,
	  test_naive_breaks_invariants)
