#include "lease.h"
#include "test_main.h"

#include <gsl/gsl_rng.h>

#define MS 1000ll
#define SEEDS 400
#define RUN_US (20000 * MS)
#define STEP_US (1 * MS)
#define HEARTBEAT_US (100 * MS)
#define MAX_IN_FLIGHT 128

/* Guards against counting a lease from the arrival of its grant. */
START_TEST(test_lease_counts_from_sending)
{
	struct lease lease;
	uint64_t seq;

	lease_init(&lease, 7);
	ck_assert(!lease_valid(&lease, 0));
	ck_assert_int_eq(lease_last_granted_heartbeat_us(&lease), -1);
	seq = lease_record_heartbeat(&lease, 1000 * MS);
	ck_assert(lease_grant(&lease, 7, seq, LEASE_DURATION_US, 1900 * MS));
	ck_assert(lease_valid(&lease, 1000 * MS + 1188 * MS - 1));
	ck_assert(!lease_valid(&lease, 1000 * MS + 1188 * MS));
	ck_assert_int_eq(lease_last_granted_heartbeat_us(&lease), 1000 * MS);
}
END_TEST

/*
 * Guards against a lease that is extended or shortened by a duplicate, a
 * reordered or an invalid grant, or by one for another incarnation.
 */
START_TEST(test_grant_order)
{
	struct lease lease;
	uint64_t first, second;
	int i;

	lease_init(&lease, 7);
	first = lease_record_heartbeat(&lease, 0);
	second = lease_record_heartbeat(&lease, 100 * MS);
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
	/* The sixteenth heartbeat after it reuses its slot in the window. */
	for (i = 0; i < LEASE_HEARTBEAT_WINDOW; i++)
		lease_record_heartbeat(&lease, 2000 * MS);
	ck_assert(
		!lease_grant(&lease, 7, second, LEASE_DURATION_US, 2001 * MS));
	ck_assert(!lease_valid(&lease, 2001 * MS));
}
END_TEST

/* Guards against a new leader that ignores leases of earlier leaders. */
START_TEST(test_new_leader)
{
	struct lease_table table;

	lease_table_init(&table, LEASE_DURATION_US);
	ck_assert(lease_table_expires_us(&table, "a") == INT64_MAX);
	lease_table_become_leader(&table, 0);
	ck_assert_int_eq(lease_table_max_lease_us(&table), 1224 * MS);
	ck_assert_int_eq(lease_table_expires_us(&table, "a"),
			 1224 * MS + LEASE_LEADER_OVERLAP_US);
	ck_assert(!lease_table_is_live(&table, "a", 1));
	lease_table_grant(&table, "a", 5000 * MS);
	lease_table_grant(&table, "a", 4000 * MS);
	ck_assert_int_eq(lease_table_expires_us(&table, "a"), 6224 * MS);
	ck_assert(lease_table_is_live(&table, "a", 6224 * MS - 1));
	ck_assert(!lease_table_is_live(&table, "a", 6224 * MS));
	lease_table_become_leader(&table, 6000 * MS);
	ck_assert(!lease_table_is_live(&table, "a", 6001 * MS));
	ck_assert_int_eq(lease_table_expires_us(&table, "a"),
			 7224 * MS + LEASE_LEADER_OVERLAP_US);
	lease_table_finish(&table);
}
END_TEST

/**
 * struct message - a heartbeat or grant that has not arrived yet
 * @at_us: true time of arrival, -1 for an unused slot
 * @grant: whether it is a grant and not a heartbeat
 * @leader: number of the leader that it is sent to or comes from
 */
struct message {
	int64_t at_us;
	bool grant;
	int leader;
	uint64_t incarnation;
	uint64_t sequence;
};

/**
 * struct lease_sim - simulation of one daemon, the current leader and the
 * previous one
 * @rate: clock rates of the daemon and of both leaders
 * @offset: clock offsets of the daemon and of both leaders
 * @leader: number of the current leader, 0 or 1
 * @elected_us: true time of the last election
 * @cut_until_us: end of a partition, for heartbeats and for grants
 */
struct lease_sim {
	gsl_rng *rng;
	struct lease lease;
	struct lease_table tables[2];
	double rate[3];
	int64_t offset[3];
	int leader;
	int64_t elected_us;
	int64_t cut_until_us[2];
	struct message messages[MAX_IN_FLIGHT];
};

static int64_t local_time_us(const struct lease_sim *w, int who,
			     int64_t true_us)
{
	return w->offset[who] + (int64_t)(true_us * w->rate[who]);
}

/* Most delays are short; some are longer than a lease. */
static void send_message(struct lease_sim *w, struct message message,
			 int64_t true_us)
{
	int copies = gsl_rng_uniform(w->rng) < 0.2 ? 2 : 1;
	double spread = gsl_rng_uniform(w->rng) < 0.1 ? 2000. * MS : 5. * MS;
	int i;

	if (gsl_rng_uniform(w->rng) < 0.2 ||
	    true_us < w->cut_until_us[message.grant])
		return;
	for (i = 0; i < MAX_IN_FLIGHT && copies; i++) {
		if (w->messages[i].at_us >= 0)
			continue;
		message.at_us = true_us + spread * gsl_rng_uniform(w->rng);
		w->messages[i] = message;
		copies--;
	}
}

static void heartbeat_arrives(struct lease_sim *w, struct message l, int64_t t)
{
	bool may_grant = l.leader == w->leader ||
			 t < w->elected_us + LEASE_LEADER_OVERLAP_US;

	if (!may_grant)
		return;
	lease_table_grant(&w->tables[l.leader], "d",
			  local_time_us(w, 1 + l.leader, t));
	l.grant = true;
	send_message(w, l, t);
}

static void deliver(struct lease_sim *w, int64_t t)
{
	struct message l;
	int i;

	for (i = 0; i < MAX_IN_FLIGHT; i++) {
		l = w->messages[i];
		if (l.at_us < 0 || l.at_us > t)
			continue;
		w->messages[i].at_us = -1;
		if (l.grant)
			lease_grant(&w->lease, l.incarnation, l.sequence,
				    LEASE_DURATION_US, local_time_us(w, 0, t));
		else
			heartbeat_arrives(w, l, t);
	}
}

static void step(struct lease_sim *w, int64_t t)
{
	struct message l = { 0 };

	deliver(w, t);
	if (gsl_rng_uniform(w->rng) < 0.0005)
		w->cut_until_us[gsl_rng_uniform_int(w->rng, 2)] =
			t + 4000 * MS * gsl_rng_uniform(w->rng);
	if (gsl_rng_uniform(w->rng) < 0.0003)
		lease_init(&w->lease, w->lease.incarnation + 1);
	if (gsl_rng_uniform(w->rng) < 0.0003 &&
	    t > w->elected_us + LEASE_LEADER_OVERLAP_US) {
		w->leader = !w->leader;
		w->elected_us = t;
		lease_table_become_leader(&w->tables[w->leader],
					  local_time_us(w, 1 + w->leader, t));
	}
	if (t % HEARTBEAT_US)
		return;
	l.incarnation = w->lease.incarnation;
	l.sequence = lease_record_heartbeat(&w->lease, local_time_us(w, 0, t));
	/* The daemon may not know the new leader yet. */
	l.leader = gsl_rng_uniform(w->rng) < 0.7 ? w->leader : !w->leader;
	send_message(w, l, t);
}

/* Whether the daemon's lease is valid after the leader's record ended. */
static bool outlives_record(const struct lease_sim *w, int64_t t)
{
	return lease_valid(&w->lease, local_time_us(w, 0, t)) &&
	       lease_table_expires_us(&w->tables[w->leader], "d") <=
		       local_time_us(w, 1 + w->leader, t);
}

/*
 * Return: number of steps in which the lease outlived its record; @valid is
 * increased by the number of steps with a valid lease.
 */
static unsigned run(unsigned long seed, double slow, double fast,
		    unsigned *valid)
{
	struct lease_sim w = { .rng = gsl_rng_alloc(gsl_rng_mt19937) };
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
	for (i = 0; i < MAX_IN_FLIGHT; i++)
		w.messages[i].at_us = -1;
	lease_init(&w.lease, 1);
	lease_table_become_leader(&w.tables[0], local_time_us(&w, 1, 0));
	for (t = 0; t < RUN_US; t += STEP_US) {
		step(&w, t);
		broken += outlives_record(&w, t);
		*valid += lease_valid(&w.lease, local_time_us(&w, 0, t));
	}
	for (i = 0; i < 2; i++)
		lease_table_finish(&w.tables[i]);
	gsl_rng_free(w.rng);
	return broken;
}

/*
 * Guards against a daemon that holds its lease after the leader's record of it
 * ended, at the most different clock rates within the bound.
 */
START_TEST(test_never_outlives_the_record)
{
	unsigned valid = 0;
	unsigned long seed;

	for (seed = 1; seed <= SEEDS; seed++)
		ck_assert_msg(!run(seed, 0.99, 1.01, &valid), "seed %lu", seed);
	ck_assert_uint_gt(valid, SEEDS * (RUN_US / STEP_US) / 2);
}
END_TEST

/* Checks that the test detects violations: the clocks exceed their bound. */
START_TEST(test_property_can_fail)
{
	unsigned broken = 0, valid = 0;
	unsigned long seed;

	for (seed = 1; seed <= 20; seed++)
		broken += run(seed, 0.96, 1.04, &valid);
	ck_assert_uint_gt(broken, 0);
}
END_TEST

TEST_MAIN("lease", test_lease_counts_from_sending, test_grant_order,
	  test_new_leader, test_never_outlives_the_record,
	  test_property_can_fail)
