#ifndef CTL_H
#define CTL_H

#include "messages.pb-c.h"
#include "settings.h"
#include "tables.h"
#include <argtable2.h>
#include <jansson.h>
#include <stdio.h>

/**
 * DOC: Command line tool for operators, with one handler per command.
 */

/** enum ctl_exit - exit status, documented in comfreywheelctl(1) */
enum ctl_exit {
	CTL_OK = 0,
	CTL_REFUSED = 1,
	CTL_USAGE = 2,
	CTL_CONFLICT = 3,
	CTL_UNAVAILABLE = 4,
	CTL_UNKNOWN = 5,
};

/** struct ctl_streams - standard streams, which the tests replace */
struct ctl_streams {
	FILE *in;
	FILE *out;
	FILE *err;
};

/**
 * struct ctl - context of one invocation
 * @command: name of the command
 * @streams: input, output and error stream
 * @json: whether --json was given
 * @control: control VMs, as struct control_peer; id is 0 if not given
 * @daemon: "IP:PORT" of a daemon's bus endpoint, NULL if none was given
 * @public_key: Z85 public key of the bus, NULL for no encryption
 * @secret_key: Z85 secret key of the bus, NULL for no encryption
 * @timeout_us: timeout of the whole command
 */
struct ctl {
	const char *command;
	const struct ctl_streams *streams;
	bool json;
	GArray *control;
	char *daemon;
	char *public_key;
	char *secret_key;
	int64_t timeout_us;
};

/**
 * struct ctl_options - options that several commands share
 *
 * Every command has @help, @json and @end. The others are NULL in commands
 * that do not use them.
 */
struct ctl_options {
	struct arg_lit *help;
	struct arg_lit *json;
	struct arg_str *control;
	struct arg_str *daemon;
	struct arg_file *public_key_file;
	struct arg_file *secret_key_file;
	struct arg_file *settings;
	struct arg_str *timeout;
	struct arg_end *end;
};

#define CTL_ARG_TABLE_MAX 20

/**
 * struct ctl_arg_table - argtable2 argument table of one command
 * @argv: entries, of which @nr are used
 */
struct ctl_arg_table {
	struct ctl_options common;
	void *argv[CTL_ARG_TABLE_MAX];
	size_t nr;
};

/** enum ctl_target - the processes that a command sends requests to */
enum ctl_target {
	/** none */
	CTL_TARGET_NONE,
	CTL_TARGET_CONTROL,
	CTL_TARGET_DAEMON,
	/** a daemon if --daemon was given, otherwise the control VMs */
	CTL_TARGET_EITHER,
};

/** ctl_arg_table_init() - add the shared options that @target calls for */
void ctl_arg_table_init(struct ctl_arg_table *table, enum ctl_target target);
void ctl_arg_table_add(struct ctl_arg_table *table, void *argument);

/**
 * ctl_arg_table_parse() - parse the command line and fill in @ctl
 * Return: -1 if the command should run, else the exit code to return. The
 *         table stays valid in both cases.
 */
int ctl_arg_table_parse(struct ctl_arg_table *table, struct ctl *ctl, int argc,
			char **argv);
void ctl_arg_table_finish(struct ctl_arg_table *table);

void ctl_init(struct ctl *ctl, const char *command,
	      const struct ctl_streams *streams);
void ctl_finish(struct ctl *ctl);

/**
 * ctl_fail() - print "comfreywheelctl COMMAND: TEXT" to the error stream
 * Return: @code
 *
 * With --json, also prints the text and the exit code as JSON.
 */
int ctl_fail(const struct ctl *ctl, enum ctl_exit code, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));
/** ctl_fail_gerror() - ctl_fail() for a GError, which it frees */
int ctl_fail_gerror(const struct ctl *ctl, enum ctl_exit code, GError *error);

/** ctl_print() - print JSON with --json, else indented text; frees @value */
void ctl_print(const struct ctl *ctl, json_t *value);

/**
 * ctl_exchange() - send a request and wait for the reply
 * @timeout_us: timeout of the reply
 * Return: the reply, to be released with wire__envelope__free_unpacked();
 *         NULL on timeout or error
 *
 * Opens a new connection for each request, so that a late reply to an
 * earlier request cannot be taken for the reply to this one.
 */
Wire__Envelope *ctl_exchange(const struct ctl *ctl, const char *address,
			     const Wire__Envelope *envelope, int64_t timeout_us,
			     GError **error);

/** ctl_attempt_timeout_us() - timeout of one of several attempts */
int64_t ctl_attempt_timeout_us(const struct ctl *ctl);

/**
 * struct ctl_control_iter - round-robin iterator over the control VMs
 * @deadline_us: monotonic time at which ctl_control_iter_next() gives up
 * @next: index of the control VM to try next
 * @nr_returned: number of addresses returned so far
 */
struct ctl_control_iter {
	const struct ctl *ctl;
	int64_t deadline_us;
	guint next;
	guint nr_returned;
};

void ctl_control_iter_init(struct ctl_control_iter *iter,
			   const struct ctl *ctl);
/** ctl_control_iter_next() - address to try next, NULL after the deadline */
const char *ctl_control_iter_next(struct ctl_control_iter *iter);
/** ctl_control_iter_redirect() - try the leader next if its address is known */
void ctl_control_iter_redirect(struct ctl_control_iter *iter, uint64_t leader,
			       const char *address);

/**
 * ctl_query() - query a daemon, or the control VMs in turn
 * @daemon: address, NULL for the control VMs
 * @arguments: NULL-terminated, may be NULL
 * @code: set to the exit code on failure
 * Return: the reply, to be released with json_decref(); NULL on failure,
 *         after the error message was printed
 */
json_t *ctl_query(const struct ctl *ctl, const char *daemon,
		  const char *command, char *const *arguments, int *code);

/** ctl_run_query() - print the reply to a query; returns the exit code */
int ctl_run_query(const struct ctl *ctl, const char *daemon,
		  const char *command, char *const *arguments);

/**
 * ctl_run_change() - ctl_run_query() for a command that changes state
 *
 * Queries the status first. If that fails, nothing was changed; if only the
 * command itself gets no reply, the outcome is unknown.
 */
int ctl_run_change(const struct ctl *ctl, const char *daemon,
		   const char *command, char *const *arguments);

/**
 * ctl_read_tables() - read and validate the two table files
 * @tables: initialised by the caller
 * Return: false if a file cannot be read or is not valid
 */
bool ctl_read_tables(struct tables *tables, const char *routes_file,
		     const char *pools_file, GError **error);

/** ctl_run_with_table_files() - run a command that takes the two table files */
int ctl_run_with_table_files(struct ctl *ctl, int argc, char **argv,
			     enum ctl_target target,
			     int (*run)(struct ctl *ctl,
					const char *routes_file,
					const char *pools_file));

/**
 * ctl_tables_from_json() - parse the output of tables_print_json()
 *
 * The texts of @tables are generated from the JSON and have no comments.
 */
bool ctl_tables_from_json(struct tables *tables, const json_t *json,
			  GError **error);

/** ctl_main() - entry point for main() and the tests */
int ctl_main(int argc, char **argv, const struct ctl_streams *streams);

int command_apply(struct ctl *ctl, int argc, char **argv);
int command_audit(struct ctl *ctl, int argc, char **argv);
int command_check(struct ctl *ctl, int argc, char **argv);
int command_counters(struct ctl *ctl, int argc, char **argv);
int command_diff(struct ctl *ctl, int argc, char **argv);
int command_drain(struct ctl *ctl, int argc, char **argv);
int command_keygen(struct ctl *ctl, int argc, char **argv);
int command_member(struct ctl *ctl, int argc, char **argv);
int command_show(struct ctl *ctl, int argc, char **argv);
int command_status(struct ctl *ctl, int argc, char **argv);
int command_user(struct ctl *ctl, int argc, char **argv);

#endif
