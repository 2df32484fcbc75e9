#include "primary_register.h"
#include "test_main.h"

#include <string.h>

static struct primary_register reg;
static uint64_t next_index;

static void setup(void)
{
	primary_register_init(&reg);
	next_index = 1;
}

static bool apply(Wire__PrimaryChange__Kind kind, const char *id,
		  uint64_t token, uint64_t lsn)
{
	Wire__PrimaryChange change = WIRE__PRIMARY_CHANGE__INIT;
	Wire__Position end = WIRE__POSITION__INIT;

	end.term = 1;
	end.lsn = lsn;
	change.kind = kind;
	change.service = "s";
	change.id = (char *)id;
	change.token = token;
	change.log_end = &end;
	change.newest_term = 1;
	return primary_register_apply(&reg, &change, next_index++, 1000);
}

/* An order that was decided by the logs of b and c. */
static void order_by_survey(const char *id, uint64_t token)
{
	static char *surveyed[] = { "b", "c" };
	Wire__PrimaryChange change = WIRE__PRIMARY_CHANGE__INIT;

	change.kind = WIRE__PRIMARY_CHANGE__KIND__ORDERED;
	change.service = "s";
	change.id = (char *)id;
	change.token = token;
	change.surveyed = surveyed;
	change.n_surveyed = G_N_ELEMENTS(surveyed);
	primary_register_apply(&reg, &change, next_index++, 1000);
}

static void set_copies(void)
{
	static const char *const ids[] = { "a", "b", "c" };
	Wire__PrimaryCopy copies[G_N_ELEMENTS(ids)];
	Wire__PrimaryCopy *list[G_N_ELEMENTS(ids)];
	Wire__PrimaryChange change = WIRE__PRIMARY_CHANGE__INIT;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(ids); i++) {
		wire__primary_copy__init(&copies[i]);
		copies[i].id = copies[i].address = (char *)ids[i];
		list[i] = &copies[i];
	}
	change.kind = WIRE__PRIMARY_CHANGE__KIND__COPIES;
	change.service = "s";
	change.copies = list;
	change.n_copies = G_N_ELEMENTS(ids);
	primary_register_apply(&reg, &change, next_index++, 1000);
}

static bool leads(const char *id, uint64_t token)
{
	return apply(WIRE__PRIMARY_CHANGE__KIND__LEADS, id, token, 0);
}

static void order(const char *id, uint64_t token, uint64_t lsn)
{
	apply(WIRE__PRIMARY_CHANGE__KIND__ORDERED, id, token, lsn);
}

static bool promoted(const char *id, uint64_t token)
{
	return apply(WIRE__PRIMARY_CHANGE__KIND__PROMOTED, id, token, 0);
}

static void refused(const char *id, uint64_t token)
{
	apply(WIRE__PRIMARY_CHANGE__KIND__REFUSED, id, token, 0);
}

static const struct primary_record *record(void)
{
	return primary_register_find(&reg, "s");
}

/* Guards against a primary that follows from whose answer came last. */
START_TEST(test_highest_token_leads)
{
	setup();
	ck_assert_ptr_null(record());
	ck_assert(leads("a", 0));
	order("b", 1, 70);
	order("c", 2, 60);
	ck_assert(promoted("c", 2));
	ck_assert(!promoted("b", 1));
	ck_assert_str_eq(record()->id, "c");
	ck_assert_uint_eq(record()->token, 2);
	ck_assert_uint_eq(record()->base.lsn, 60);
	ck_assert_uint_eq(record()->index, 4);
	ck_assert_uint_eq(record()->replaced->len, 1);
	ck_assert_str_eq(record()->replaced->pdata[0], "a");
	primary_register_finish(&reg);
}
END_TEST

/* Guards against a claim from before a promotion that outweighs it. */
START_TEST(test_outdated_claim)
{
	setup();
	leads("a", 0);
	order("b", 1, 70);
	promoted("b", 1);
	ck_assert(!leads("a", 0));
	ck_assert_str_eq(record()->id, "b");
	/* It came back under another id and still leads. */
	ck_assert(leads("b2", 1));
	ck_assert_str_eq(record()->id, "b2");
	ck_assert_uint_eq(record()->base.lsn, 70);
	primary_register_finish(&reg);
}
END_TEST

/* Guards against an order without an answer that is forgotten before an order
 * with a higher token was carried out. */
START_TEST(test_open_orders)
{
	setup();
	leads("a", 0);
	ck_assert_ptr_null(primary_record_rival(record()));
	order("b", 1, 70);
	order("b", 2, 71);
	order("c", 3, 60);
	ck_assert_str_eq(primary_record_rival(record())->id, "c");
	refused("c", 3);
	ck_assert_str_eq(primary_record_rival(record())->id, "b");
	refused("b", 2);
	ck_assert_uint_eq(primary_record_rival(record())->last_token, 1);
	/* Seen to lead, which says nothing about other orders. */
	ck_assert(leads("b", 0));
	ck_assert_ptr_null(primary_record_rival(record()));
	ck_assert_ptr_nonnull(primary_record_order(record(), "b"));
	order("a", 4, 72);
	ck_assert_str_eq(primary_record_rival(record())->id, "a");
	order("b", 5, 72);
	ck_assert(!promoted("b", 5));
	ck_assert_uint_eq(record()->orders->len, 0);
	primary_register_finish(&reg);
}
END_TEST

/* Guards against copies that are forgotten by a promotion, and against lost ones
 * that cannot be told from the others after a survey without them. */
START_TEST(test_copies)
{
	setup();
	leads("a", 0);
	set_copies();
	order("b", 1, 70);
	promoted("b", 1);
	ck_assert_uint_eq(record()->copies->len, 3);
	order_by_survey("c", 2);
	ck_assert_uint_eq(record()->copies->len, 3);
	promoted("b", 3);
	ck_assert_uint_eq(record()->copies->len, 3);
	order_by_survey("c", 4);
	promoted("c", 4);
	/* c may be the only one that has what a held. */
	ck_assert_uint_eq(record()->copies->len, 3);
	ck_assert(primary_record_copy(record(), "a")->absent);
	ck_assert(!primary_record_copy(record(), "b")->absent);
	ck_assert(!primary_record_copy(record(), "c")->absent);
	primary_register_finish(&reg);
}
END_TEST

/* Guards against a VM with an empty disk that knows less than the others. */
START_TEST(test_snapshot)
{
	Wire__ConfigChange snapshot = WIRE__CONFIG_CHANGE__INIT;
	struct primary_register copy;
	const struct primary_record *held;

	setup();
	leads("a", 0);
	order("b", 1, 70);
	promoted("b", 1);
	set_copies();
	order_by_survey("c", 2);
	order("c", 3, 81);
	primary_register_pack(&reg, &snapshot);
	primary_register_init(&copy);
	primary_register_unpack(&copy, &snapshot, 2000);
	primary_register_clear_packed(&snapshot);
	held = primary_register_find(&copy, "s");
	ck_assert_str_eq(held->id, "b");
	ck_assert_uint_eq(held->token, 1);
	ck_assert_uint_eq(held->index, record()->index);
	ck_assert_uint_eq(held->base.lsn, 70);
	ck_assert_uint_eq(held->ended_term, 1);
	ck_assert_str_eq(held->replaced->pdata[0], "a");
	ck_assert_uint_eq(held->orders->len, 1);
	ck_assert_str_eq(primary_record_rival(held)->id, "c");
	ck_assert_uint_eq(primary_record_rival(held)->first_token, 2);
	ck_assert_uint_eq(primary_record_rival(held)->last_token, 3);
	ck_assert_uint_eq(primary_record_rival(held)->log_end.lsn, 81);
	ck_assert_uint_eq(primary_record_rival(held)->surveyed->len, 2);
	ck_assert_str_eq(primary_record_copy(held, "c")->address, "c");
	primary_register_finish(&copy);
	primary_register_finish(&reg);
}
END_TEST

TEST_MAIN("primary_register", test_highest_token_leads, test_outdated_claim,
	  test_open_orders, test_copies, test_snapshot)
