#ifndef CTL_H
#define CTL_H

#include "messages.pb-c.h"
#include "settings.h"
#include "tables.h"
#include <argtable2.h>
#include <jansson.h>
#include <stdio.h>

/**
 * DOC: The operators' tool: a handler per command behind a table.
 */

/** Exit codes, as documented in comfreywheelctl(1). */
enum ctl_exit {
	CTL_OK = 0,
	CTL_REFUSED = 1,
	CTL_USAGE = 2,
	CTL_CONFLICT = 3,
	CTL_UNAVAILABLE = 4,
	CTL_UNKNOWN = 5,
};

struct ctl_streams {
	FILE *in;
	FILE *out;
	FILE *err;
};

/**
 * struct ctl - one run of the tool
 * @command: name of the command
 * @streams: where it reads and writes
 * @json: whether to print JSON
 * @control: struct control_peer; id 0 where only the address is known
 * @daemon: "IP:PORT" of a daemon's bus endpoint, NULL if none was given
 * @public_key: Z85 key of the deployment, NULL for no encryption
 * @timeout_us: longest time for the whole command
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
 * struct ctl_options - options that every command has
 * @client: options of commands that talk to a process
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

#define CTL_TABLE_MAX 20

/**
 * struct ctl_table - argument table of one command
 * @argv: entries for argtable2, of which @nr are used
 */
struct ctl_table {
	struct ctl_options common;
	void *argv[CTL_TABLE_MAX];
	size_t nr;
};

enum ctl_reach {
	/** talks to nobody */
	CTL_LOCAL,
	CTL_CONTROL,
	CTL_DAEMON,
	/** a daemon if one is named, the control VMs else */
	CTL_EITHER,
};

void ctl_table_init(struct ctl_table *table, enum ctl_reach reach);
void ctl_table_add(struct ctl_table *table, void *argument);

/**
 * ctl_table_parse() - parse the command line and fill in @ctl
 * Return: -1 to go on, else the exit code; the table stays valid
 */
int ctl_table_parse(struct ctl_table *table, struct ctl *ctl, int argc,
		    char **argv);
void ctl_table_finish(struct ctl_table *table);

void ctl_init(struct ctl *ctl, const char *command,
	      const struct ctl_streams *streams);
void ctl_finish(struct ctl *ctl);

/** ctl_fail() - print "comfreywheelctl COMMAND: TEXT"; returns @code */
int ctl_fail(const struct ctl *ctl, enum ctl_exit code, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));
/** ctl_fail_with() - the same for a GError, which it frees */
int ctl_fail_with(const struct ctl *ctl, enum ctl_exit code, GError *error);

/** ctl_print() - JSON with --json, indented lines without; frees @value */
void ctl_print(const struct ctl *ctl, json_t *value);

/**
 * ctl_exchange() - send one message and wait for its answer
 * @timeout_us: longest wait
 * Return: NULL if nothing came; else to be released with
 *         wire__envelope__free_unpacked()
 *
 * Each exchange has a connection of its own, so that an answer cannot be
 * that of an earlier request.
 */
Wire__Envelope *ctl_exchange(const struct ctl *ctl, const char *address,
			     const Wire__Envelope *envelope, int64_t timeout_us,
			     GError **error);

/** ctl_attempt_us() - time for one of several attempts */
int64_t ctl_attempt_us(const struct ctl *ctl);

/**
 * struct ctl_rounds - goes through the control VMs until one decides
 * @deadline_us: monotonic time at which ctl_rounds_next() gives up
 * @next: index of the control VM to ask next
 */
struct ctl_rounds {
	const struct ctl *ctl;
	int64_t deadline_us;
	guint next;
	guint asked;
};

void ctl_rounds_init(struct ctl_rounds *rounds, const struct ctl *ctl);
/** ctl_rounds_next() - address to ask, NULL when the time is over */
const char *ctl_rounds_next(struct ctl_rounds *rounds);
/** ctl_rounds_redirect() - ask the leader next, if its address is known */
void ctl_rounds_redirect(struct ctl_rounds *rounds, uint64_t leader,
			 const char *address);

/**
 * ctl_query() - ask a daemon, or the control VMs one after the other
 * @daemon: address, NULL for the control VMs
 * @arguments: NULL terminated, may be NULL
 * @code: exit code on failure
 * Return: JSON to be released, NULL on failure, which has been reported
 */
json_t *ctl_query(const struct ctl *ctl, const char *daemon,
		  const char *command, char *const *arguments, int *code);

/** ctl_run_query() - query and print; returns the exit code */
int ctl_run_query(const struct ctl *ctl, const char *daemon,
		  const char *command, char *const *arguments);

/**
 * ctl_run_change() - ctl_run_query() for a command that changes something
 *
 * Asks for the status first, so that a lost answer afterwards is an unknown
 * outcome, whereas no answer before it means that nothing was changed.
 */
int ctl_run_change(const struct ctl *ctl, const char *daemon,
		   const char *command, char *const *arguments);

/**
 * ctl_read_tables() - read and check two files
 * @tables: initialised; the texts are in it afterwards
 * Return: false if a file cannot be read or is refused
 */
bool ctl_read_tables(struct tables *tables, const char *routes_file,
		     const char *pools_file, GError **error);

/** ctl_run_files() - a command whose arguments are the two table files */
int ctl_run_files(struct ctl *ctl, int argc, char **argv, enum ctl_reach reach,
		  int (*run)(struct ctl *ctl, const char *routes_file,
			     const char *pools_file));

/**
 * ctl_tables_from_json() - tables from what tables_print_json() wrote
 *
 * The texts are written anew, so they lack comments.
 */
bool ctl_tables_from_json(struct tables *tables, const json_t *json,
			  GError **error);

/** ctl_main() - the whole tool, for main() and the tests */
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
