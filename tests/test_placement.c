#include "placement.h"
#include "test_main.h"

#include <glib.h>
#include <string.h>

#define HOMES 10
#define UPSTREAMS 3
#define SLOTS 2
#define SECONDS 20
#define LATENCY_WEIGHT_DIVISOR 8

/*
 * Simulates one service: a primary and two replicas with two slots each, first
 * come, first served, and ten daemons that see only their own statements. The
 * load is the mix of both users at 1.4 times its usual rate: statements that
 * need the primary use 1.5 slots and reads 3.1; the replicas have four.
 */
#define PRIMARY_PER_S 266
#define READS_PER_S 290
#define PRIMARY_WORK_US 5600
#define READ_WORK_US 10700

struct outcome {
	unsigned reads;
	unsigned reads_at_primary;
	unsigned primary_work;
	int64_t waited_us;
};

static int64_t free_us[UPSTREAMS][SLOTS];
static int64_t latency_us[HOMES][UPSTREAMS];
/* End times of the statements in flight, of which some may have passed. */
static GArray *in_flight_ends[HOMES][UPSTREAMS];

static unsigned count_in_flight(unsigned home, unsigned upstream,
				int64_t now_us)
{
	GArray *ends = in_flight_ends[home][upstream];
	guint i = 0;

	while (i < ends->len) {
		if (g_array_index(ends, int64_t, i) <= now_us)
			g_array_remove_index_fast(ends, i);
		else
			i++;
	}
	return ends->len;
}

/* Runs a statement and returns how long it waited for a slot. */
static int64_t run_statement(unsigned home, unsigned upstream, int64_t work_us,
			     int64_t now_us)
{
	int64_t *slot = free_us[upstream];
	int64_t *latency = &latency_us[home][upstream];
	int64_t start_us, end_us;

	if (slot[1] < slot[0])
		slot = &slot[1];
	start_us = MAX(now_us, *slot);
	end_us = start_us + work_us;
	*slot = end_us;
	g_array_append_val(in_flight_ends[home][upstream], end_us);
	*latency += (end_us - now_us - *latency) / LATENCY_WEIGHT_DIVISOR;
	return start_us - now_us;
}

static unsigned place_read(unsigned home, bool consider_primary, int64_t now_us,
			   GRand *rand)
{
	struct placement_option options[UPSTREAMS];
	unsigned i;

	for (i = 0; i < UPSTREAMS; i++)
		options[i] = (struct placement_option){
			.primary = consider_primary && !i,
			.usable = true,
			.idle = 1,
			.busy = count_in_flight(home, i, now_us),
			.latency_us = latency_us[home][i],
		};
	return (unsigned)placement_choose(options, UPSTREAMS, g_rand_int(rand));
}

static struct outcome simulate(uint32_t seed, bool consider_primary)
{
	GRand *rand = g_rand_new_with_seed(seed);
	struct outcome o = { 0 };
	int64_t now_us = 0;
	unsigned i, k;

	memset(free_us, 0, sizeof(free_us));
	for (i = 0; i < HOMES; i++)
		for (k = 0; k < UPSTREAMS; k++) {
			latency_us[i][k] = READ_WORK_US;
			in_flight_ends[i][k] =
				g_array_new(FALSE, FALSE, sizeof(int64_t));
		}
	while (now_us < SECONDS * 1000000ll) {
		unsigned home = g_rand_int_range(rand, 0, HOMES);
		double work = g_rand_double_range(rand, 0.5, 1.5);

		now_us += (int64_t)(g_rand_double_range(rand, 0, 2) * 1e6 /
				    (PRIMARY_PER_S + READS_PER_S));
		if (g_rand_int_range(rand, 0, PRIMARY_PER_S + READS_PER_S) <
		    PRIMARY_PER_S) {
			o.primary_work++;
			o.waited_us += run_statement(
				home, 0, (int64_t)(work * PRIMARY_WORK_US),
				now_us);
			continue;
		}
		k = place_read(home, consider_primary, now_us, rand);
		o.reads++;
		o.reads_at_primary += !k;
		run_statement(home, k, (int64_t)(work * READ_WORK_US), now_us);
	}
	for (i = 0; i < HOMES; i++)
		for (k = 0; k < UPSTREAMS; k++)
			g_array_free(in_flight_ends[i][k], TRUE);
	g_rand_free(rand);
	return o;
}

/*
 * Guards against reads that delay statements only the primary can run, although
 * the replicas could serve them all: those statements must wait at most half as
 * long as if reads were placed without regard to the primary.
 */
START_TEST(test_reads_leave_the_primary)
{
	uint32_t seed;

	for (seed = 1; seed <= 20; seed++) {
		struct outcome o = simulate(seed, true);
		struct outcome naive = simulate(seed, false);

		ck_assert_uint_le(o.reads_at_primary * 10, o.reads);
		ck_assert_int_le(o.waited_us / o.primary_work * 2,
				 naive.waited_us / naive.primary_work);
	}
}
END_TEST

/* Guards against refusing reads when only the primary is usable. */
START_TEST(test_primary_alone)
{
	struct placement_option options[2] = {
		{ .primary = true,
		  .usable = true,
		  .idle = 1,
		  .busy = 3,
		  .latency_us = 50000 },
		{ .usable = false, .idle = 1, .latency_us = 1000 },
	};

	ck_assert_int_eq(placement_choose(options, 2, 0), 0);
	ck_assert_int_eq(placement_choose(options, 2, 1), 0);
}
END_TEST

TEST_MAIN("placement", test_reads_leave_the_primary, test_primary_alone)
