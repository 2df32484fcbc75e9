#include "lease.h"
#include "test_main.h"

#include <gsl/gsl_rng.h>

#define MS 1000ll
#define SEEDS 400
#define RUN_US (20000 * MS)
#define STEP_US (1 * MS)
#define HEARTBEAT_US (100 * MS)
#define IN_FLIGHT 128

/* Guards against a lease that counts from the arrival of its grant. */
START_TEST(test_counts_from_sending)
{
	struct lease lease;
	uint64_t seq;

	lease_init(&lease, 7);
	ck_assert(!lease_valid(&lease, 0));
	ck_assert_int_eq(lease_last_grant_us(&lease), -1);
	seq = lease_heartbeat(&lease, 1000 * MS);
	ck_assert(lease_grant(&lease, 7, seq, LEASE_DURATION_US, 1900 * MS));
	ck_assert(lease_valid(&lease, 1000 * MS + 1188 * MS - 1));
	ck_assert(!lease_valid(&lease, 1000 * MS + 1188 * MS));
	ck_assert_int_eq(lease_last_grant_us(&lease), 1000 * MS);
}
END_TEST

/* Guards against a lost, doubled, reordered or foreign grant extending or
 * shortening a lease. */
START_TEST(test_grant_order)
{
	struct lease lease;
	uint64_t first, second;
	int i;

	lease_init(&lease, 7);
	first = lease_heartbeat(&lease, 0);
	second = lease_heartbeat(&lease, 100 * MS);
	ck_assert(!lease_grant(&lease, 6, second, LEASE_DURATION_US, 110 * MS));
	ck_assert(!lease_grant(&lease, 7, second + 1, LEASE_DURATION_US,
			       110 * MS));
	ck_assert(!lease_grant(&lease, 7, 0, LEASE_DURATION_US, 110 * MS));
	ck_assert(!lease_grant(&lease, 7, second, 0, 110 * MS));
	ck_assert(!lease_grant(&lease, 7, second, INT64_MAX, 110 * MS));
	ck_assert(!lease_valid(&lease, 110 * MS));
	ck_assert(lease_grant(&lease, 7, second, LEASE_DURATION_US, 110 * MS));
	ck_assert(!lease_grant(&lease, 7, second, LEASE_DURATION_US, 900 * MS));
	ck_assert(!lease_grant(&lease, 7, first, LEASE_DURATION_US, 900 * MS));
	ck_assert(!lease_valid(&lease, 1288 * MS));
	/* Its slot in the window is used again by the sixteenth after it. */
	for (i = 0; i < LEASE_WINDOW; i++)
		lease_heartbeat(&lease, 2000 * MS);
	ck_assert(
		!lease_grant(&lease, 7, second, LEASE_DURATION_US, 2001 * MS));
	ck_assert(!lease_valid(&lease, 2001 * MS));
}
END_TEST

/* Guards against a new leader trusting that it knows all leases. */
START_TEST(test_new_leader)
{
	struct lease_table table;

	lease_table_init(&table, LEASE_DURATION_US);
	ck_assert(lease_table_expires(&table, "a") == INT64_MAX);
	lease_table_lead(&table, 0);
	ck_assert_int_eq(lease_table_full_us(&table), 1224 * MS);
	ck_assert_int_eq(lease_table_expires(&table, "a"),
			 1224 * MS + LEASE_HANDOVER_US);
	ck_assert(!lease_table_live(&table, "a", 1));
	lease_table_grant(&table, "a", 5000 * MS);
	lease_table_grant(&table, "a", 4000 * MS);
	ck_assert_int_eq(lease_table_expires(&table, "a"), 6224 * MS);
	ck_assert(lease_table_live(&table, "a", 6224 * MS - 1));
	ck_assert(!lease_table_live(&table, "a", 6224 * MS));
	lease_table_lead(&table, 6000 * MS);
	ck_assert(!lease_table_live(&table, "a", 6001 * MS));
	ck_assert_int_eq(lease_table_expires(&table, "a"),
			 7224 * MS + LEASE_HANDOVER_US);
	lease_table_finish(&table);
}
END_TEST

/**
 * struct letter - a heartbeat or grant on its way
 * @at_us: true time of arrival, -1 for a free place
 * @leader: number of the leader that it is for
 */
struct letter {
	int64_t at_us;
	bool grant;
	int leader;
	uint64_t incarnation;
	uint64_t sequence;
};

/**
 * struct world - one daemon, the current leader and its predecessor
 * @rate: of the clocks of the daemon and of both leaders
 * @new_since_us: true time of the last election
 * @cut_until_us: end of a partition, by direction
 */
struct world {
	gsl_rng *rng;
	struct lease lease;
	struct lease_table tables[2];
	double rate[3];
	int64_t offset[3];
	int leader;
	int64_t new_since_us;
	int64_t cut_until_us[2];
	struct letter letters[IN_FLIGHT];
};

static int64_t clock_of(const struct world *w, int who, int64_t true_us)
{
	return w->offset[who] + (int64_t)(true_us * w->rate[who]);
}

/* Delays are mostly short, at times longer than a lease. */
static void post(struct world *w, struct letter letter, int64_t true_us)
{
	int copies = gsl_rng_uniform(w->rng) < 0.2 ? 2 : 1;
	double spread = gsl_rng_uniform(w->rng) < 0.1 ? 2000. * MS : 5. * MS;
	int i;

	if (gsl_rng_uniform(w->rng) < 0.2 ||
	    true_us < w->cut_until_us[letter.grant])
		return;
	for (i = 0; i < IN_FLIGHT && copies; i++) {
		if (w->letters[i].at_us >= 0)
			continue;
		letter.at_us = true_us + spread * gsl_rng_uniform(w->rng);
		w->letters[i] = letter;
		copies--;
	}
}

static void heartbeat_arrives(struct world *w, struct letter l, int64_t t)
{
	bool leads = l.leader == w->leader ||
		     t < w->new_since_us + LEASE_HANDOVER_US;

	if (!leads)
		return;
	lease_table_grant(&w->tables[l.leader], "d",
			  clock_of(w, 1 + l.leader, t));
	l.grant = true;
	post(w, l, t);
}

static void deliver(struct world *w, int64_t t)
{
	struct letter l;
	int i;

	for (i = 0; i < IN_FLIGHT; i++) {
		l = w->letters[i];
		if (l.at_us < 0 || l.at_us > t)
			continue;
		w->letters[i].at_us = -1;
		if (l.grant)
			lease_grant(&w->lease, l.incarnation, l.sequence,
				    LEASE_DURATION_US, clock_of(w, 0, t));
		else
			heartbeat_arrives(w, l, t);
	}
}

static void step(struct world *w, int64_t t)
{
	struct letter l = { 0 };

	deliver(w, t);
	if (gsl_rng_uniform(w->rng) < 0.0005)
		w->cut_until_us[gsl_rng_uniform_int(w->rng, 2)] =
			t + 4000 * MS * gsl_rng_uniform(w->rng);
	if (gsl_rng_uniform(w->rng) < 0.0003)
		lease_init(&w->lease, w->lease.incarnation + 1);
	if (gsl_rng_uniform(w->rng) < 0.0003 &&
	    t > w->new_since_us + LEASE_HANDOVER_US) {
		w->leader = !w->leader;
		w->new_since_us = t;
		lease_table_lead(&w->tables[w->leader],
				 clock_of(w, 1 + w->leader, t));
	}
	if (t % HEARTBEAT_US)
		return;
	l.incarnation = w->lease.incarnation;
	l.sequence = lease_heartbeat(&w->lease, clock_of(w, 0, t));
	/* The daemon may not have heard of the new leader. */
	l.leader = gsl_rng_uniform(w->rng) < 0.7 ? w->leader : !w->leader;
	post(w, l, t);
}

/* Whether the daemon believes in a lease whose record has ended. */
static bool believes_too_long(const struct world *w, int64_t t)
{
	return lease_valid(&w->lease, clock_of(w, 0, t)) &&
	       lease_table_expires(&w->tables[w->leader], "d") <=
		       clock_of(w, 1 + w->leader, t);
}

/* Return: steps at which the invariant was broken; @valid counts leases. */
static unsigned run(unsigned long seed, double slow, double fast,
		    unsigned *valid)
{
	struct world w = { .rng = gsl_rng_alloc(gsl_rng_mt19937) };
	unsigned broken = 0;
	int64_t t;
	int i;

	gsl_rng_set(w.rng, seed);
	w.rate[0] = slow;
	for (i = 0; i < 2; i++) {
		w.rate[1 + i] = fast;
		lease_table_init(&w.tables[i], LEASE_DURATION_US);
	}
	for (i = 0; i < 3; i++)
		w.offset[i] = gsl_rng_uniform_int(w.rng, 1u << 30);
	for (i = 0; i < IN_FLIGHT; i++)
		w.letters[i].at_us = -1;
	lease_init(&w.lease, 1);
	lease_table_lead(&w.tables[0], clock_of(&w, 1, 0));
	for (t = 0; t < RUN_US; t += STEP_US) {
		step(&w, t);
		broken += believes_too_long(&w, t);
		*valid += lease_valid(&w.lease, clock_of(&w, 0, t));
	}
	for (i = 0; i < 2; i++)
		lease_table_finish(&w.tables[i]);
	gsl_rng_free(w.rng);
	return broken;
}

/* Guards against a daemon that serves after the leader has fenced it by
 * expiry, at the worst clock rates that the bound allows. */
START_TEST(test_never_outlives_the_record)
{
	unsigned valid = 0;
	unsigned long seed;

	for (seed = 1; seed <= SEEDS; seed++)
		ck_assert_msg(!run(seed, 0.99, 1.01, &valid), "seed %lu", seed);
	ck_assert_uint_gt(valid, SEEDS * (RUN_US / STEP_US) / 2);
}
END_TEST

/* Shows that the property fails when the clocks leave their bound. */
START_TEST(test_property_can_fail)
{
	unsigned broken = 0, valid = 0;
	unsigned long seed;

	for (seed = 1; seed <= 20; seed++)
		broken += run(seed, 0.96, 1.04, &valid);
	ck_assert_uint_gt(broken, 0);
}
END_TEST

TEST_MAIN("lease", test_counts_from_sending, test_grant_order, test_new_leader,
	  test_never_outlives_the_record, test_property_can_fail)
