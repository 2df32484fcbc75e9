#include "comfreywheeld/caller.h"
#include "error.h"
#include "test_main.h"

#include <string.h>

static void assign(struct caller_settings *set, const char *name,
		   const char *value)
{
	GError *error = NULL;
	char *full = g_strconcat("comfreywheel.", name, NULL);
	bool ok = caller_settings_assign(set, full, value, &error);

	ck_assert_msg(ok, "%s", error ? error->message : "");
	g_free(full);
}

static void shows(const struct caller_settings *set, const char *name,
		  const char *want)
{
	char *full = g_strconcat("comfreywheel.", name, NULL);
	char *value = caller_settings_show(set, full);

	ck_assert_str_eq(value, want);
	g_free(value);
	g_free(full);
}

START_TEST(test_settings_assign_and_show)
{
	struct caller_settings set;

	caller_settings_init(&set);
	assign(&set, "session", "booking desk");
	assign(&set, "position", "3:0/16B3748");
	assign(&set, "max_age", "1500us");
	assign(&set, "deadline", "2s");
	assign(&set, "repeatable", "ON");
	assign(&set, "request_id", "r-1");
	ck_assert(set.has_position && set.position.term == 3);
	ck_assert_int_eq(set.max_age_us, 1500);
	ck_assert_int_eq(set.deadline_us, 2000000);
	ck_assert(set.repeatable);
	shows(&set, "session", "booking desk");
	shows(&set, "position", "3:0/16B3748");
	shows(&set, "max_age", "1500us");
	shows(&set, "deadline", "2000ms");
	shows(&set, "repeatable", "on");
	shows(&set, "request_id", "r-1");
	caller_settings_finish(&set);
}
END_TEST

START_TEST(test_settings_default)
{
	struct caller_settings set;

	caller_settings_init(&set);
	assign(&set, "position", "3:0/1");
	assign(&set, "max_age", "1s");
	assign(&set, "deadline", "1s");
	assign(&set, "repeatable", "on");
	assign(&set, "position", NULL);
	assign(&set, "max_age", NULL);
	assign(&set, "deadline", "");
	assign(&set, "repeatable", NULL);
	ck_assert(!set.has_position && !set.repeatable);
	ck_assert_int_eq(set.max_age_us, INT64_MAX);
	ck_assert_int_eq(set.deadline_us, 0);
	caller_settings_finish(&set);
}
END_TEST

/* Guards against a wrong value that changes a setting without notice. */
START_TEST(test_settings_refuse)
{
	static const char *const bad[][2] = {
		{ "position", "0/16B3748" }, { "position", "3:zz/0" },
		{ "max_age", "5" },	     { "max_age", "0s" },
		{ "max_age", "-1s" },	     { "deadline", "2h" },
		{ "repeatable", "maybe" },   { "sessions", "x" },
	};
	struct caller_settings set;
	GError *error = NULL;
	char *name;
	size_t i;

	caller_settings_init(&set);
	for (i = 0; i < G_N_ELEMENTS(bad); i++) {
		name = g_strconcat("comfreywheel.", bad[i][0], NULL);
		ck_assert_msg(!caller_settings_assign(&set, name, bad[i][1],
						      &error),
			      "%s = %s", name, bad[i][1]);
		ck_assert(g_error_matches(error, CW_ERROR, CW_ERROR_SETTINGS));
		g_clear_error(&error);
		g_free(name);
	}
	ck_assert(!set.has_position && !set.deadline_us && !set.repeatable);
	ck_assert_int_eq(set.max_age_us, INT64_MAX);
	caller_settings_finish(&set);
}
END_TEST

static struct caller test_caller;

static struct request *start(char transaction, bool wrote)
{
	memset(&test_caller, 0, sizeof(test_caller));
	test_caller.transaction = transaction;
	test_caller.wrote = wrote;
	test_caller.request.caller = &test_caller;
	return &test_caller.request;
}

START_TEST(test_read_is_not_withheld)
{
	struct request *req = start('I', false);

	request_classify(req, SQL_READ, false);
	ck_assert(req->read && !req->writes);
}
END_TEST

START_TEST(test_write_alone_is_withheld)
{
	struct request *req = start('I', false);

	request_classify(req, SQL_WRITE, false);
	ck_assert(!req->read && req->writes && !req->identified);
}
END_TEST

/* Guards against a batch that hides its write behind a read. */
START_TEST(test_batch_is_as_strict_as_its_strictest)
{
	struct request *req = start('I', false);

	request_classify(req, SQL_READ, false);
	request_classify(req, SQL_WRITE, false);
	request_classify(req, SQL_READ, false);
	ck_assert(!req->read && req->writes);
}
END_TEST

START_TEST(test_write_in_transaction_waits_for_commit)
{
	struct request *req = start('T', false);

	request_classify(req, SQL_WRITE, false);
	ck_assert(!req->read && !req->writes && req->pending_writes);
}
END_TEST

START_TEST(test_commit_of_writes_is_withheld)
{
	struct request *req = start('T', true);

	request_classify(req, SQL_COMMIT, false);
	ck_assert(!req->read && req->writes && req->ends);
}
END_TEST

START_TEST(test_commit_of_reads_is_not_withheld)
{
	struct request *req = start('T', false);

	request_classify(req, SQL_COMMIT, false);
	ck_assert(!req->writes && req->ends);
}
END_TEST

START_TEST(test_whole_transaction_in_batch)
{
	struct request *req = start('I', false);

	request_classify(req, SQL_BEGIN, false);
	request_classify(req, SQL_WRITE, false);
	ck_assert(!req->writes && req->pending_writes);
	request_classify(req, SQL_COMMIT, false);
	ck_assert(req->writes && !req->read);
}
END_TEST

START_TEST(test_rollback_is_not_withheld)
{
	struct request *req = start('T', true);

	request_classify(req, SQL_ROLLBACK, false);
	ck_assert(!req->writes && req->ends);
}
END_TEST

/* Guards against acknowledging a write that follows a rollback. */
START_TEST(test_write_after_rollback_in_batch)
{
	struct request *req = start('T', true);

	request_classify(req, SQL_ROLLBACK, false);
	request_classify(req, SQL_WRITE, false);
	ck_assert(req->writes && !req->read);
}
END_TEST

START_TEST(test_read_only_transaction_is_a_read)
{
	struct request *req = start('I', false);

	request_classify(req, SQL_BEGIN, true);
	ck_assert(req->read && req->begins_read_only);
	req = start('I', false);
	request_classify(req, SQL_BEGIN, false);
	ck_assert(!req->read && !req->begins_read_only);
}
END_TEST

START_TEST(test_identity_is_for_single_writes)
{
	struct request *req = start('I', false);

	test_caller.settings.request_id = "r-1";
	request_classify(req, SQL_READ, false);
	ck_assert(!req->identified);
	request_classify(req, SQL_WRITE, false);
	ck_assert(req->identified);
	request_classify(req, SQL_COMMIT, false);
	ck_assert(!req->identified);
}
END_TEST

START_TEST(test_identity_is_for_begin_alone)
{
	struct request *req = start('I', false);

	test_caller.settings.request_id = "r-1";
	request_classify(req, SQL_BEGIN, false);
	ck_assert(req->identified && !req->unidentified);
	request_classify(req, SQL_WRITE, false);
	ck_assert(!req->identified && req->unidentified);
	req = start('I', false);
	test_caller.settings.request_id = "r-1";
	request_classify(req, SQL_BEGIN, true);
	ck_assert(!req->identified && !req->unidentified);
}
END_TEST

/* Guards against an identity that is silently not recorded. */
START_TEST(test_script_with_identity_is_refused)
{
	struct request *req = start('I', false);

	test_caller.settings.request_id = "r-1";
	request_classify(req, SQL_SCRIPT, false);
	ck_assert(!req->identified && req->unidentified);
}
END_TEST

TEST_MAIN("caller_protocol", test_settings_assign_and_show,
	  test_settings_default, test_settings_refuse,
	  test_read_is_not_withheld, test_write_alone_is_withheld,
	  test_batch_is_as_strict_as_its_strictest,
	  test_write_in_transaction_waits_for_commit,
	  test_commit_of_writes_is_withheld,
	  test_commit_of_reads_is_not_withheld, test_whole_transaction_in_batch,
	  test_rollback_is_not_withheld, test_write_after_rollback_in_batch,
	  test_read_only_transaction_is_a_read,
	  test_identity_is_for_single_writes, test_identity_is_for_begin_alone,
	  test_script_with_identity_is_refused)
