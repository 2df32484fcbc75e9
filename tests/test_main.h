#ifndef TEST_MAIN_H
#define TEST_MAIN_H

#include <check.h>
#include <stdlib.h>

/**
 * test_run_with_fixture() - run a suite and return the exit code of the test
 *                           program
 * @name: name of the suite
 * @setup: called before each test, or NULL
 * @teardown: called after each test, also after one that failed, or NULL
 * @tests: test functions
 * @nr: number of @tests
 */
static inline int test_run_with_fixture(const char *name, SFun setup,
					SFun teardown,
					const TTest *const *tests, size_t nr)
{
	Suite *suite = suite_create(name);
	TCase *tcase = tcase_create(name);
	SRunner *runner;
	size_t i;
	int failed;

	tcase_set_timeout(tcase, 0);
	tcase_add_checked_fixture(tcase, setup, teardown);
	for (i = 0; i < nr; i++)
		tcase_add_test(tcase, tests[i]);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}

static inline int test_run(const char *name, const TTest *const *tests,
			   size_t nr)
{
	return test_run_with_fixture(name, NULL, NULL, tests, nr);
}

#define TEST_MAIN_WITH_FIXTURE(name, setup, teardown, ...)                    \
	int main(void)                                                        \
	{                                                                     \
		const TTest *const tests[] = { __VA_ARGS__ };                 \
		return test_run_with_fixture(name, setup, teardown, tests,    \
					     sizeof(tests) / sizeof(*tests)); \
	}

#define TEST_MAIN(name, ...) \
	TEST_MAIN_WITH_FIXTURE(name, NULL, NULL, __VA_ARGS__)

#endif
