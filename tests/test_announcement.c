#include "announcement.h"
#include "error.h"
#include "test_main.h"

#include <string.h>

static const char valid_announcement[] =
	"{\"name\":\"west-1\",\"address\":\"127.0.0.1\",\"port\":5432,"
	"\"availability_zone\":\"gl-west\",\"service\":\"grindplan-db\","
	"\"cluster\":\"west\",\"database\":\"plan\",\"term\":3,"
	"\"position\":\"3:0/16B3748\",\"role\":\"primary\","
	"\"leaving\":true,\"later\":[1]}";

/* Guards against a field decoded into the wrong member. */
START_TEST(test_decodes_every_field)
{
	GError *error = NULL;
	Wire__Announcement *ann = announcement_parse(
		valid_announcement, strlen(valid_announcement), &error);

	ck_assert_ptr_nonnull(ann);
	ck_assert_str_eq(ann->name, "west-1");
	ck_assert_str_eq(ann->address, "127.0.0.1");
	ck_assert_uint_eq(ann->port, 5432);
	ck_assert_str_eq(ann->availability_zone, "gl-west");
	ck_assert_str_eq(ann->service, "grindplan-db");
	ck_assert_str_eq(ann->cluster, "west");
	ck_assert_str_eq(ann->database, "plan");
	ck_assert_uint_eq(ann->position->term, 3);
	ck_assert_uint_eq(ann->position->lsn, 0x16B3748);
	ck_assert(ann->primary);
	ck_assert(ann->leaving);
	wire__announcement__free_unpacked(ann, NULL);
}
END_TEST

struct change {
	const char *from;
	const char *to;
	const char *field;
};

static const struct change invalid_changes[] = {
	{ "\"west-1\"", "\"\"", "name" },
	{ "\"west-1\"", "\"a b\"", "name" },
	{ "\"west-1\"", "7", "name" },
	{ "\"west-1\"",
	  "\"0123456789012345678901234567890123456789"
	  "012345678901234567890123\"",
	  "name" },
	{ "\"name\"", "\"nome\"", "name" },
	{ "127.0.0.1", "db.example", "address" },
	{ "5432", "0", "port" },
	{ "5432", "65536", "port" },
	{ "5432", "-1", "port" },
	{ "5432", "\"5432\"", "port" },
	{ "5432", "54.5", "port" },
	{ "\"gl-west\"", "null", "availability_zone" },
	{ "\"term\":3", "\"term\":0", "term" },
	{ "\"term\":3", "\"term\":4294967296", "term" },
	{ "\"term\":3", "\"term\":4", "position" },
	{ "3:0/16B3748", "0/16B3748", "position" },
	{ "3:0/16B3748", "3:0/16B3748x", "position" },
	{ "\"primary\"", "\"leader\"", "role" },
	{ "true", "1", "leaving" },
};

static char *apply_change(const struct change *c)
{
	char **parts = g_strsplit(valid_announcement, c->from, 2);
	char *text;

	ck_assert_ptr_nonnull(parts[1]);
	text = g_strconcat(parts[0], c->to, parts[1], NULL);
	g_strfreev(parts);
	return text;
}

/* Guards against an invalid field that is accepted or misreported. */
START_TEST(test_refuses_wrong_fields)
{
	const struct change *c = &invalid_changes[_i];
	GError *error = NULL;
	char *text = apply_change(c);
	char *quoted = g_strdup_printf("\"%s\"", c->field);

	ck_assert_ptr_null(announcement_parse(text, strlen(text), &error));
	ck_assert(g_error_matches(error, CW_ERROR, CW_ERROR_PROTOCOL));
	ck_assert_ptr_nonnull(strstr(error->message, quoted));
	g_error_free(error);
	g_free(quoted);
	g_free(text);
}
END_TEST

/* Guards against reading past the end and accepting a truncated object. */
START_TEST(test_refuses_truncated_text)
{
	size_t len;

	for (len = 0; len < strlen(valid_announcement); len++)
		ck_assert_ptr_null(
			announcement_parse(valid_announcement, len, NULL));
}
END_TEST

START_TEST(test_refuses_other_json)
{
	static const char *const texts[] = { "[]", "1", "null",
					     "{\"a\":1,\"a\":2}",
					     "{\"name\":\"a\\u0000b\"}" };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(texts); i++)
		ck_assert_ptr_null(
			announcement_parse(texts[i], strlen(texts[i]), NULL));
}
END_TEST

START_TEST(test_refuses_long_text)
{
	char *text = g_strnfill(ANNOUNCEMENT_MAX_BYTES + 1, ' ');

	memcpy(text, valid_announcement, strlen(valid_announcement));
	ck_assert_ptr_null(
		announcement_parse(text, ANNOUNCEMENT_MAX_BYTES + 1, NULL));
	g_free(text);
}
END_TEST

/* Guards against a relayed announcement with a missing or invalid field. */
START_TEST(test_checks_relayed)
{
	Wire__Announcement ann = WIRE__ANNOUNCEMENT__INIT;
	Wire__Position pos = WIRE__POSITION__INIT;

	ann.name = ann.availability_zone = ann.service = "x";
	ann.cluster = ann.database = "x";
	ann.address = "::1";
	ann.port = 1;
	ck_assert(!announcement_check(&ann, NULL));
	pos.term = 1;
	ann.position = &pos;
	ck_assert(announcement_check(&ann, NULL));
	ann.port = 65536;
	ck_assert(!announcement_check(&ann, NULL));
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("announcement");
	TCase *tcase = tcase_create("announcement");
	SRunner *runner;
	int failed;

	tcase_add_test(tcase, test_decodes_every_field);
	tcase_add_loop_test(tcase, test_refuses_wrong_fields, 0,
			    G_N_ELEMENTS(invalid_changes));
	tcase_add_test(tcase, test_refuses_truncated_text);
	tcase_add_test(tcase, test_refuses_other_json);
	tcase_add_test(tcase, test_refuses_long_text);
	tcase_add_test(tcase, test_checks_relayed);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
