#include "config_register.h"
#include "sightings.h"
#include "test_main.h"

#include <gsl/gsl_randist.h>
#include <string.h>

static struct sighting make_sighting(const char *id, uint64_t born,
				     uint64_t sequence, bool primary,
				     int64_t at_us)
{
	return (struct sighting){ .id = (char *)id,
				  .service = "s",
				  .address = (char *)(*id == 'x' ? "1:1" : id),
				  .availability_zone = "z",
				  .primary = primary,
				  .born_ms = born,
				  .sequence = sequence,
				  .heard_us = at_us,
				  .claimed_us = at_us };
}

/* Guards against a delayed announcement that overrides a newer one. */
START_TEST(test_order)
{
	struct sighting announcement = make_sighting("a", 5, 2, true, 100);
	struct sightings s;

	sightings_init(&s);
	ck_assert_int_eq(sightings_merge(&s, &announcement), SIGHTING_CHANGED);
	announcement = make_sighting("a", 5, 1, false, 200);
	ck_assert_int_eq(sightings_merge(&s, &announcement), SIGHTING_STALE);
	ck_assert(sightings_find(&s, "a")->primary);
	announcement = make_sighting("a", 5, 3, true, 300);
	ck_assert_int_eq(sightings_merge(&s, &announcement),
			 SIGHTING_UNCHANGED);
	ck_assert_int_eq(sightings_find(&s, "a")->heard_us, 300);
	/* Restarted under the same id: its sequence begins again. */
	announcement = make_sighting("a", 6, 1, false, 400);
	ck_assert_int_eq(sightings_merge(&s, &announcement), SIGHTING_CHANGED);
	announcement = make_sighting("a", 5, 9, true, 500);
	ck_assert_int_eq(sightings_merge(&s, &announcement), SIGHTING_STALE);
	sightings_finish(&s);
}
END_TEST

/* Guards against two upstreams that both count as present at one address. */
START_TEST(test_address_taken)
{
	struct sighting old = make_sighting("x1", 5, 9, true, 300);
	struct sighting young = make_sighting("x2", 6, 1, true, 200);
	struct sightings s;

	sightings_init(&s);
	sightings_merge(&s, &young);
	sightings_merge(&s, &old);
	ck_assert(sightings_find(&s, "x1")->gone);
	ck_assert(!sightings_find(&s, "x2")->gone);
	ck_assert_str_eq(sightings_primary(&s, "s")->id, "x2");
	sightings_finish(&s);
}
END_TEST

/* Guards against a former primary that is taken for the current one. */
START_TEST(test_primary)
{
	struct sighting announcement = make_sighting("a", 5, 1, true, 100);
	struct sightings s;

	sightings_init(&s);
	ck_assert_ptr_null(sightings_primary(&s, "s"));
	sightings_merge(&s, &announcement);
	announcement = make_sighting("b", 5, 1, false, 100);
	sightings_merge(&s, &announcement);
	ck_assert_str_eq(sightings_primary(&s, "s")->id, "a");
	ck_assert(sightings_appoint(&s, "s", "b", 7, 200));
	ck_assert_str_eq(sightings_primary(&s, "s")->id, "b");
	/* An older entry of the agreed log, from a VM that learned it late. */
	ck_assert(!sightings_appoint(&s, "s", "a", 6, 250));
	ck_assert(!sightings_note_found(&s, "s", "a", 150));
	/* b claims the role itself now. */
	announcement = make_sighting("b", 5, 2, true, 300);
	sightings_merge(&s, &announcement);
	announcement = make_sighting("a", 5, 2, true, 400);
	sightings_merge(&s, &announcement);
	ck_assert_str_eq(sightings_primary(&s, "s")->id, "b");
	sightings_finish(&s);
}
END_TEST

static bool forget(const struct sighting *upstream, void *data)
{
	return false;
}

/* Guards against a primary that is remembered after it was forgotten, left, or
 * lost its role. */
START_TEST(test_primary_is_not_outdated)
{
	struct sighting announcement = make_sighting("a", 5, 1, true, 100);
	struct sightings s;

	sightings_init(&s);
	sightings_merge(&s, &announcement);
	ck_assert_str_eq(sightings_primary(&s, "s")->id, "a");
	announcement = make_sighting("a", 5, 2, false, 200);
	sightings_merge(&s, &announcement);
	ck_assert_ptr_null(sightings_primary(&s, "s"));
	ck_assert(sightings_note_found(&s, "s", "a", 300));
	ck_assert_str_eq(sightings_primary(&s, "s")->id, "a");
	sightings_remove(&s, "a");
	ck_assert_ptr_null(sightings_primary(&s, "s"));
	announcement = make_sighting("b", 5, 1, true, 400);
	sightings_merge(&s, &announcement);
	ck_assert_str_eq(sightings_primary(&s, "s")->id, "b");
	sightings_expire(&s, INT64_MAX / 2, forget, NULL);
	ck_assert_ptr_null(sightings_primary(&s, "s"));
	sightings_finish(&s);
}
END_TEST

/* Guards against copies that differ because the same announcements were merged
 * in another order. */
START_TEST(test_any_order)
{
	gsl_rng *rng = gsl_rng_alloc(gsl_rng_mt19937);
	struct sighting announcements[24];
	struct sightings a, b;
	struct sighting *announcement;
	GHashTableIter it;
	unsigned i, round;

	for (i = 0; i < G_N_ELEMENTS(announcements); i++) {
		static const char *const ids[] = { "x1", "x2", "c" };

		announcements[i] = make_sighting(ids[i % 3], 1 + i % 3 + i / 12,
						 1 + i, i % 5 == 0, i * 10);
		announcements[i].leaving = i % 7 == 0;
	}
	sightings_init(&a);
	for (i = 0; i < G_N_ELEMENTS(announcements); i++)
		sightings_merge(&a, &announcements[i]);
	for (round = 0; round < 200; round++) {
		gsl_ran_shuffle(rng, announcements, G_N_ELEMENTS(announcements),
				sizeof(*announcements));
		sightings_init(&b);
		for (i = 0; i < G_N_ELEMENTS(announcements); i++)
			sightings_merge(&b, &announcements[i]);
		g_hash_table_iter_init(&it, a.by_id);
		while (g_hash_table_iter_next(&it, NULL,
					      (void **)&announcement)) {
			const struct sighting *counterpart =
				sightings_find(&b, announcement->id);

			ck_assert(announcement->primary ==
				  counterpart->primary);
			ck_assert(announcement->leaving ==
				  counterpart->leaving);
			ck_assert(announcement->gone == counterpart->gone);
			ck_assert_uint_eq(announcement->sequence,
					  counterpart->sequence);
		}
		sightings_finish(&b);
	}
	sightings_finish(&a);
	gsl_rng_free(rng);
}
END_TEST

/* Guards against an accepted configuration that is replaced by an older version
 * or by another document with the same version. */
START_TEST(test_register)
{
	struct config_register reg, copy;
	GBytes *first = g_bytes_new_static("first", 5);
	GBytes *other = g_bytes_new_static("other", 5);
	uint8_t *bytes;
	size_t len;

	config_register_init(&reg);
	config_register_init(&copy);
	ck_assert(config_register_set_if_newer(&reg, 4, first));
	ck_assert(!config_register_set_if_newer(&reg, 4, other));
	ck_assert(!config_register_set_if_newer(&reg, 3, other));
	ck_assert(g_bytes_equal(reg.document, first));
	bytes = config_change_pack(reg.version, reg.document, &len);
	ck_assert(config_register_apply(&copy, bytes, len));
	ck_assert_uint_eq(copy.version, 4);
	ck_assert(g_bytes_equal(copy.document, first));
	ck_assert(!config_register_apply(&copy, (const uint8_t *)"\xff", 1));
	g_free(bytes);
	g_bytes_unref(first);
	g_bytes_unref(other);
	config_register_finish(&reg);
	config_register_finish(&copy);
}
END_TEST

TEST_MAIN("sightings", test_order, test_address_taken, test_primary,
	  test_any_order, test_register, test_primary_is_not_outdated)
