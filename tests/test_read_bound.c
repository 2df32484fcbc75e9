#include "read_bound.h"
#include "test_main.h"

#include <gsl/gsl_rng.h>

#define MS 1000ll
#define NONE (&(struct read_requirement){ 0 })
#define OWN(p) (&(struct read_requirement){ .position = p })

static struct read_samples samples;

static struct position make_position(uint32_t term, uint64_t number)
{
	return (struct position){ term, number };
}

/* Guards against using a sample older than the allowed staleness, or a newer
 * one than needed, which fewer replicas hold. */
START_TEST(test_oldest_sufficient_sample)
{
	struct read_requirement needed;

	read_samples_init(&samples);
	ck_assert(!read_bound(&samples, 0, 1500 * MS, NONE, &needed));
	read_samples_add(&samples, 1000 * MS, make_position(3, 10));
	read_samples_add(&samples, 1100 * MS, make_position(3, 20));
	read_samples_add(&samples, 1200 * MS, make_position(3, 30));
	ck_assert(read_bound(&samples, 2500 * MS, 1500 * MS, NONE, &needed));
	ck_assert_uint_eq(needed.position.lsn, 10);
	ck_assert(read_bound(&samples, 2501 * MS, 1500 * MS, NONE, &needed));
	ck_assert_uint_eq(needed.position.lsn, 20);
	ck_assert(!read_bound(&samples, 2701 * MS, 1500 * MS, NONE, &needed));
}
END_TEST

/* Guards against a session that misses its own commit, or that waits for a
 * commit that a change of primary rolled back. */
START_TEST(test_own_commits)
{
	struct read_requirement needed;

	read_samples_init(&samples);
	read_samples_add(&samples, 1000 * MS, make_position(3, 10));
	ck_assert(read_bound(&samples, 1100 * MS, 500 * MS,
			     OWN(make_position(3, 17)), &needed));
	ck_assert_uint_eq(needed.position.lsn, 17);
	read_samples_add(&samples, 1200 * MS, make_position(4, 12));
	ck_assert(read_bound(&samples, 1650 * MS, 500 * MS,
			     OWN(make_position(3, 17)), &needed));
	ck_assert_uint_eq(needed.position.term, 4);
	ck_assert_uint_eq(needed.position.lsn, 12);
}
END_TEST

/* Guards against a late sample of a replaced primary. */
START_TEST(test_older_term)
{
	struct read_requirement needed;

	read_samples_init(&samples);
	read_samples_add(&samples, 1000 * MS, make_position(4, 12));
	read_samples_add(&samples, 1100 * MS, make_position(3, 99));
	ck_assert(read_bound(&samples, 1100 * MS, 500 * MS, NONE, &needed));
	ck_assert_uint_eq(needed.position.term, 4);
	ck_assert_int_eq(read_samples_newest_us(&samples), 1000 * MS);
}
END_TEST

/* Guards against underestimating the lag. */
START_TEST(test_lag)
{
	read_samples_init(&samples);
	ck_assert_int_eq(read_samples_lag(&samples, make_position(3, 1), 0), 0);
	read_samples_add(&samples, 1000 * MS, make_position(3, 10));
	read_samples_add(&samples, 1100 * MS, make_position(3, 20));
	read_samples_add(&samples, 1200 * MS, make_position(3, 30));
	ck_assert_int_eq(
		read_samples_lag(&samples, make_position(3, 30), 1500 * MS), 0);
	ck_assert_int_eq(read_samples_lag(&samples, make_position(3, 25),
					  1500 * MS),
			 300 * MS);
	ck_assert_int_eq(read_samples_lag(&samples, make_position(3, 12),
					  1500 * MS),
			 400 * MS);
	ck_assert_int_eq(read_samples_lag(&samples, make_position(3, 9),
					  1500 * MS),
			 READ_LAG_UNKNOWN);
	ck_assert_int_eq(read_samples_lag(&samples, make_position(2, 99),
					  1500 * MS),
			 READ_LAG_UNKNOWN);
}
END_TEST

/*
 * Guards against a stale read in any order of commits, samples and reads. A log
 * with known acknowledgement times is sampled at random; each bound must cover
 * all commits older than the allowed staleness.
 */
START_TEST(test_random_histories)
{
	gsl_rng *rng = gsl_rng_alloc(gsl_rng_mt19937);
	int64_t acknowledged_us[4000];
	unsigned nr_bounds = 0;
	int seed;

	for (seed = 0; seed < 50; seed++) {
		uint64_t log = 0;
		int64_t now_us = 0;

		gsl_rng_set(rng, seed);
		read_samples_init(&samples);
		while (log < G_N_ELEMENTS(acknowledged_us)) {
			int64_t staleness_us =
				(int64_t)gsl_rng_uniform_int(rng, 3000) * MS;
			struct read_requirement needed;
			int64_t asked_us;

			now_us += (int64_t)gsl_rng_uniform_int(rng, 5000);
			switch (gsl_rng_uniform_int(rng, 3)) {
			case 0:
				acknowledged_us[log++] = now_us;
				break;
			case 1:
				asked_us = now_us;
				now_us +=
					(int64_t)gsl_rng_uniform_int(rng, 3000);
				read_samples_add(&samples, asked_us,
						 make_position(1, log));
				break;
			default:
				if (!read_bound(&samples, now_us, staleness_us,
						NONE, &needed))
					break;
				nr_bounds++;
				if (needed.position.lsn < log)
					ck_assert_int_ge(
						acknowledged_us[needed.position
									.lsn],
						now_us - staleness_us);
				break;
			}
		}
	}
	ck_assert_uint_gt(nr_bounds, 10000);
	gsl_rng_free(rng);
}
END_TEST

TEST_MAIN("read_bound", test_oldest_sufficient_sample, test_own_commits,
	  test_older_term, test_lag, test_random_histories)
