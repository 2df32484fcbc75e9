#include "position.h"
#include "test_main.h"

#include <string.h>

/* A replica on an older term must not be taken for up to date. */
START_TEST(test_coverage_across_terms)
{
	struct term_history h;
	struct position have = { 2, 150 };

	term_history_init(&h);
	term_history_add(&h, 1, 100);
	ck_assert(position_covers(&h, have, (struct position){ 2, 150 }));
	ck_assert(!position_covers(&h, have, (struct position){ 2, 151 }));
	ck_assert(!position_covers(&h, have, (struct position){ 3, 1 }));
	ck_assert(position_covers(&h, have, (struct position){ 1, 100 }));
	have.lsn = 90;
	ck_assert(!position_covers(&h, have, (struct position){ 1, 95 }));
	term_history_finish(&h);
}
END_TEST

/* Waiting for a write that was lost in a failover must not last forever. */
START_TEST(test_lost_write_is_covered)
{
	struct term_history h;
	struct position have = { 3, 100 };

	term_history_init(&h);
	term_history_add(&h, 2, 100);
	ck_assert(position_covers(&h, have, (struct position){ 2, 500 }));
	have.lsn = 99;
	ck_assert(!position_covers(&h, have, (struct position){ 2, 500 }));
	term_history_finish(&h);
}
END_TEST

/* Term switches may be recorded out of order or repeatedly. */
START_TEST(test_history_order)
{
	struct term_history h;
	struct position have = { 4, 120 };

	term_history_init(&h);
	term_history_add(&h, 3, 110);
	term_history_add(&h, 1, 100);
	term_history_add(&h, 1, 999);
	ck_assert_int_eq(h.switches->len, 2);
	ck_assert(position_covers(&h, have, (struct position){ 2, 200 }));
	term_history_finish(&h);
}
END_TEST

/* Invalid text must not be parsed as a position. */
START_TEST(test_text)
{
	char buf[POSITION_TEXT_SIZE];
	struct position pos = { 9, 9 };

	ck_assert(position_parse("3:0/16B3748", &pos));
	ck_assert_uint_eq(pos.term, 3);
	ck_assert_uint_eq(pos.lsn, 0x16B3748);
	ck_assert_str_eq(position_format(pos, buf), "3:0/16B3748");
	ck_assert(position_parse("4294967295:FFFFFFFF/FFFFFFFF", &pos));
	ck_assert_int_lt(strlen(position_format(pos, buf)), POSITION_TEXT_SIZE);
	ck_assert(!position_parse("", &pos));
	ck_assert(!position_parse("0/16", &pos));
	ck_assert(!position_parse("-1:0/16", &pos));
	ck_assert(!position_parse("4294967296:0/1", &pos));
	ck_assert(!position_parse("1:/1", &pos));
	ck_assert(!position_parse("1:0/1x", &pos));
	ck_assert(!position_parse("1:123456789/1", &pos));
}
END_TEST

TEST_MAIN("position", test_coverage_across_terms, test_lost_write_is_covered,
	  test_history_order, test_text)
