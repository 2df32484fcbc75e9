#include "proxy.h"

#include "control_task.h"
#include "log.h"
#include "users.h"

#include <argtable2.h>
#include <malloc.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#define PROGRAM "comfreywheeld"
/* Exit status of a command line or settings file that cannot be used. */
#define EXIT_USAGE 2
/*
 * Allocations from this size on are mapped, so that freeing them returns the
 * memory. By default glibc raises the threshold to the largest allocation freed
 * so far, and the heap then keeps up to twice 32 MiB.
 */
#define MAPPED_ALLOCATION_BYTES (128 * 1024)

static int run(struct settings *settings, const char *path)
{
	struct control_task *control = NULL;
	GError *error = NULL;
	int status;

	log_init(PROGRAM, settings->log_level);
	mallopt(M_MMAP_THRESHOLD, MAPPED_ALLOCATION_BYTES);
	signal(SIGPIPE, SIG_IGN);
	/* A limit on file sizes is handled like a full disk. */
	signal(SIGXFSZ, SIG_IGN);
	if (settings->control_listen) {
		control = control_task_start(settings, &error);
		if (!control) {
			log_error("%s", error->message);
			g_error_free(error);
			return EXIT_FAILURE;
		}
	}
	status = proxy_run(settings, path, &error);
	if (error) {
		log_error("%s", error->message);
		g_error_free(error);
	}
	if (control)
		control_task_stop(control);
	return status;
}

static int check_users(const struct settings *settings)
{
	GHashTable *users = NULL;
	GError *error = NULL;

	if (!users_load(settings->users_file, &users, &error)) {
		fprintf(stderr, "%s: %s\n", PROGRAM, error->message);
		g_error_free(error);
		return EXIT_USAGE;
	}
	if (users)
		g_hash_table_destroy(users);
	return EXIT_SUCCESS;
}

static int load_and_run(const char *path, bool check_only)
{
	struct settings settings;
	GError *error = NULL;
	int status = EXIT_SUCCESS;

	settings_init(&settings);
	if (!settings_load(&settings, path, &error)) {
		fprintf(stderr, "%s: %s\n", PROGRAM, error->message);
		g_error_free(error);
		status = EXIT_USAGE;
	} else if (check_only) {
		status = check_users(&settings);
		if (status == EXIT_SUCCESS)
			printf("%s: settings are valid\n", path);
	} else {
		status = run(&settings, path);
	}
	settings_finish(&settings);
	return status;
}

int main(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_lit *version =
		arg_lit0(NULL, "version", "print the version");
	struct arg_lit *check =
		arg_lit0(NULL, "check", "validate the settings and exit");
	struct arg_file *path =
		arg_file0(NULL, NULL, "SETTINGS_FILE", "settings of this VM");
	struct arg_end *end = arg_end(4);
	void *table[] = { help, version, check, path, end };
	int errors = arg_parse(argc, argv, table);
	int status = EXIT_USAGE;

	if (help->count) {
		printf("usage: %s", PROGRAM);
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-20s %s\n");
		status = EXIT_SUCCESS;
	} else if (version->count) {
		printf("%s %s\n", PROGRAM, PROGRAM_VERSION);
		status = EXIT_SUCCESS;
	} else if (errors) {
		arg_print_errors(stderr, end, PROGRAM);
	} else if (!path->count) {
		fprintf(stderr,
			"%s: no settings file; give its name, or --help\n",
			PROGRAM);
	} else {
		status = load_and_run(path->filename[0], check->count);
	}
	arg_freetable(table, sizeof(table) / sizeof(*table));
	return status;
}
