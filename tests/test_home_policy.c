#include "home_policy.h"
#include "test_main.h"

#define SERVICES 8
#define ZONES 3

static struct home_daemon daemons[120];
static struct home_service services[SERVICES];
static char names[120][16];
static char service_names[SERVICES][16];
static const char *const zones[ZONES] = { "west", "central", "east" };

static void setup(unsigned nr, unsigned connections)
{
	unsigned i;

	for (i = 0; i < nr; i++) {
		g_snprintf(names[i], sizeof(names[i]), "front-%u", i);
		daemons[i] = (struct home_daemon){ names[i], zones[i % ZONES],
						   i + 1 };
	}
	for (i = 0; i < SERVICES; i++) {
		g_snprintf(service_names[i], sizeof(service_names[i]), "s%u",
			   i);
		services[i] =
			(struct home_service){ service_names[i], connections };
	}
}

static bool is_home(const struct home_set *set, const char *name,
		    const struct home_daemon *roster)
{
	guint i;

	for (i = 0; i < set->daemons->len; i++)
		if (!g_strcmp0(roster[g_array_index(set->daemons, unsigned, i)]
				       .name,
			       name))
			return true;
	return false;
}

/* Guards against relaying when each daemon can have its own connections. */
START_TEST(test_all_daemons_connect)
{
	GHashTable *plan;
	const struct home_set *set;

	setup(9, 8 * HOME_DIRECT_CONNECTIONS);
	plan = home_plan(daemons, 8, services, SERVICES);
	set = g_hash_table_lookup(plan, "s0");
	ck_assert(set->all_daemons);
	g_hash_table_destroy(plan);
	plan = home_plan(daemons, 9, services, SERVICES);
	set = g_hash_table_lookup(plan, "s0");
	ck_assert(!set->all_daemons);
	g_hash_table_destroy(plan);
}
END_TEST

/* Guards against more homes than connections, against a zone without a home,
 * and against services that are concentrated on few daemons. */
START_TEST(test_balance)
{
	GHashTable *plan;
	unsigned services_of[120] = { 0 };
	unsigned i, j;

	setup(87, 26);
	plan = home_plan(daemons, 87, services, SERVICES);
	for (i = 0; i < SERVICES; i++) {
		const struct home_set *set =
			g_hash_table_lookup(plan, service_names[i]);
		unsigned homes_in_zone[ZONES] = { 0 };

		ck_assert_uint_ge(set->daemons->len, ZONES);
		ck_assert_uint_le(set->daemons->len, 26);
		for (j = 0; j < set->daemons->len; j++) {
			unsigned d = g_array_index(set->daemons, unsigned, j);

			services_of[d]++;
			homes_in_zone[d % ZONES]++;
		}
		for (j = 0; j < ZONES; j++)
			ck_assert_uint_eq(homes_in_zone[j],
					  set->daemons->len / ZONES);
	}
	for (i = 0; i < 87; i++)
		ck_assert_uint_le(services_of[i], 1);
	g_hash_table_destroy(plan);
}
END_TEST

/*
 * Guards against a queue at each of a few daemons before one upstream: with as
 * many services as daemons in a zone, each daemon is home to one.
 */
START_TEST(test_small_fleet)
{
	unsigned services_of[9] = { 0 };
	GHashTable *plan;
	unsigned i, j;

	setup(9, 22);
	plan = home_plan(daemons, 9, services, 3);
	for (i = 0; i < 3; i++) {
		const struct home_set *set =
			g_hash_table_lookup(plan, service_names[i]);

		ck_assert(!set->all_daemons);
		ck_assert_uint_eq(set->daemons->len, ZONES);
		for (j = 0; j < set->daemons->len; j++)
			services_of[g_array_index(set->daemons, unsigned, j)]++;
	}
	for (i = 0; i < 9; i++)
		ck_assert_uint_eq(services_of[i], 1);
	g_hash_table_destroy(plan);
}
END_TEST

/* Guards against daemons that compute different plans from the same roster. */
START_TEST(test_roster_order_is_irrelevant)
{
	struct home_daemon reversed[87];
	GHashTable *a, *b;
	unsigned i, j;

	setup(87, 26);
	for (i = 0; i < 87; i++)
		reversed[i] = daemons[86 - i];
	a = home_plan(daemons, 87, services, SERVICES);
	b = home_plan(reversed, 87, services, SERVICES);
	for (i = 0; i < SERVICES; i++) {
		const struct home_set *x =
			g_hash_table_lookup(a, service_names[i]);
		const struct home_set *y =
			g_hash_table_lookup(b, service_names[i]);

		ck_assert_uint_eq(x->daemons->len, y->daemons->len);
		for (j = 0; j < 87; j++)
			ck_assert(is_home(x, names[j], daemons) ==
				  is_home(y, names[j], reversed));
	}
	g_hash_table_destroy(a);
	g_hash_table_destroy(b);
}
END_TEST

/* Guards against moving most services when one daemon leaves. */
START_TEST(test_few_moves)
{
	unsigned moved = 0, kept = 0;
	GHashTable *a, *b;
	unsigned i, j;

	setup(87, 26);
	a = home_plan(daemons, 87, services, SERVICES);
	b = home_plan(daemons, 86, services, SERVICES);
	for (i = 0; i < SERVICES; i++) {
		const struct home_set *x =
			g_hash_table_lookup(a, service_names[i]);
		const struct home_set *y =
			g_hash_table_lookup(b, service_names[i]);

		for (j = 0; j < 86; j++) {
			if (!is_home(x, names[j], daemons))
				continue;
			if (is_home(y, names[j], daemons))
				kept++;
			else
				moved++;
		}
	}
	ck_assert_uint_gt(kept, 10 * moved);
	g_hash_table_destroy(a);
	g_hash_table_destroy(b);
}
END_TEST

/* Guards against failing without daemons or services, or on one connection. */
START_TEST(test_empty_and_minimal_input)
{
	const struct home_set *set;
	GHashTable *plan = home_plan(NULL, 0, NULL, 0);

	ck_assert_uint_eq(g_hash_table_size(plan), 0);
	g_hash_table_destroy(plan);
	setup(30, 1);
	plan = home_plan(daemons, 30, services, SERVICES);
	set = g_hash_table_lookup(plan, "s3");
	ck_assert_uint_eq(set->daemons->len, ZONES);
	g_hash_table_destroy(plan);
}
END_TEST

TEST_MAIN("home_policy", test_all_daemons_connect, test_small_fleet,
	  test_balance, test_roster_order_is_irrelevant, test_few_moves,
	  test_empty_and_minimal_input)
