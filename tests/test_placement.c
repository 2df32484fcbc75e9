#include "placement.h"
#include "test_main.h"

#include <glib.h>
#include <string.h>

#define HOMES 10
#define UPSTREAMS 3
#define SLOTS 2
#define SECONDS 20
#define LATENCY_PARTS 8

/*
 * One service in virtual time: a primary and two replicas with two slots each,
 * first come, first served, before ten daemons that see their own part only.
 * Statements of both users' sheets at 1.4 times the usual load: what only the
 * primary runs takes 1.5 of its slots, reads take 3.1 slots, and the replicas
 * have four.
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
/* Ends of a daemon's statements that were not answered when last looked at. */
static GArray *out[HOMES][UPSTREAMS];

static unsigned count_out(unsigned home, unsigned upstream, int64_t now_us)
{
	GArray *ends = out[home][upstream];
	guint i = 0;

	while (i < ends->len) {
		if (g_array_index(ends, int64_t, i) <= now_us)
			g_array_remove_index_fast(ends, i);
		else
			i++;
	}
	return ends->len;
}

/* Return: time until the statement starts. */
static int64_t run(unsigned home, unsigned upstream, int64_t work_us,
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
	g_array_append_val(out[home][upstream], end_us);
	*latency += (end_us - now_us - *latency) / LATENCY_PARTS;
	return start_us - now_us;
}

static unsigned place_read(unsigned home, bool by_role, int64_t now_us,
			   GRand *rand)
{
	struct placement_option options[UPSTREAMS];
	unsigned i;

	for (i = 0; i < UPSTREAMS; i++)
		options[i] = (struct placement_option){
			.primary = by_role && !i,
			.usable = true,
			.idle = 1,
			.busy = count_out(home, i, now_us),
			.latency_us = latency_us[home][i],
		};
	return (unsigned)placement_choose(options, UPSTREAMS, g_rand_int(rand));
}

static struct outcome play(uint32_t seed, bool by_role)
{
	GRand *rand = g_rand_new_with_seed(seed);
	struct outcome o = { 0 };
	int64_t now_us = 0;
	unsigned i, k;

	memset(free_us, 0, sizeof(free_us));
	for (i = 0; i < HOMES; i++)
		for (k = 0; k < UPSTREAMS; k++) {
			latency_us[i][k] = READ_WORK_US;
			out[i][k] = g_array_new(FALSE, FALSE, sizeof(int64_t));
		}
	while (now_us < SECONDS * 1000000ll) {
		unsigned home = g_rand_int_range(rand, 0, HOMES);
		double work = g_rand_double_range(rand, 0.5, 1.5);

		now_us += (int64_t)(g_rand_double_range(rand, 0, 2) * 1e6 /
				    (PRIMARY_PER_S + READS_PER_S));
		if (g_rand_int_range(rand, 0, PRIMARY_PER_S + READS_PER_S) <
		    PRIMARY_PER_S) {
			o.primary_work++;
			o.waited_us += run(home, 0,
					   (int64_t)(work * PRIMARY_WORK_US),
					   now_us);
			continue;
		}
		k = place_read(home, by_role, now_us, rand);
		o.reads++;
		o.reads_at_primary += !k;
		run(home, k, (int64_t)(work * READ_WORK_US), now_us);
	}
	for (i = 0; i < HOMES; i++)
		for (k = 0; k < UPSTREAMS; k++)
			g_array_free(out[i][k], TRUE);
	g_rand_free(rand);
	return o;
}

/*
 * Guards against reads that crowd out what only the primary can run, although
 * the replicas have room for all of them: it is to wait at most half as long as
 * where reads do not tell the primary from a replica.
 */
START_TEST(test_reads_leave_the_primary)
{
	uint32_t seed;

	for (seed = 1; seed <= 20; seed++) {
		struct outcome o = play(seed, true);
		struct outcome naive = play(seed, false);

		ck_assert_uint_le(o.reads_at_primary * 10, o.reads);
		ck_assert_int_le(o.waited_us / o.primary_work * 2,
				 naive.waited_us / naive.primary_work);
	}
}
END_TEST

/* Guards against reads that nobody runs while only the primary can. */
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
