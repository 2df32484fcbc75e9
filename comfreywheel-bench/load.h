#ifndef LOAD_H
#define LOAD_H

#include "experiment.h"

#include <ev.h>
#include <libpq-fe.h>

/**
 * DOC: Load on a running daemon, or directly on a test upstream.
 *
 * The only part of this program that opens sockets and reads a clock. Each
 * target named on the command line is measured by itself, one after another,
 * with the same settings.
 */

/**
 * struct load_settings - what to send
 * @connections: connections to one target
 * @rate: statements per second, 0 for a closed loop
 * @reads: part of the statements that are reads
 * @requests: statements in all
 * @timeout_s: longest time for one target
 */
struct load_settings {
	unsigned connections;
	double rate;
	double reads;
	unsigned requests;
	double timeout_s;
	unsigned seed;
	const char *read_sql;
	const char *write_sql;
};

/**
 * struct load_result - what one target answered
 * @latencies_ms: of statements that succeeded; with a rate, from the time at
 *                which the statement was due
 * @errors: SQLSTATE or "connection" to count
 */
struct load_result {
	GArray *latencies_ms;
	GHashTable *errors;
	unsigned failed;
	double seconds;
};

struct load;

enum load_state {
	LOAD_CONNECTING,
	LOAD_IDLE,
	LOAD_BUSY,
	LOAD_CLOSED,
};

struct load_connection {
	struct load *load;
	PGconn *pg;
	ev_io io;
	enum load_state state;
	double due;
	bool failed;
	char sqlstate[6];
};

/**
 * struct load - one target under load
 * @due: statements that are due, by time, with no idle connection
 */
struct load {
	const struct load_settings *settings;
	const char *conninfo;
	struct ev_loop *loop;
	struct load_connection *connections;
	GArray *due;
	gsl_rng *rng;
	struct load_result *result;
	unsigned sent;
	unsigned finished;
	double next_due;
	ev_timer tick;
	ev_timer limit;
};

int load_main(int argc, char **argv);

/** load_run() - measure one target; false if no connection was made */
bool load_run(const struct load_settings *settings, const char *conninfo,
	      struct load_result *result);

void load_result_init(struct load_result *result);
void load_result_finish(struct load_result *result);
void load_result_error(struct load_result *result, const char *sqlstate);
void load_result_print(const struct load_result *result, const char *target,
		       FILE *out);

/** load_connection_open() - start to connect; load_more() once ready */
void load_connection_open(struct load_connection *conn);
void load_connection_send(struct load_connection *conn, const char *sql,
			  double due);
void load_connection_close(struct load_connection *conn);

/** load_more() - a connection is idle: send what is due */
void load_more(struct load_connection *conn);
/** load_statement_ended() - @sqlstate NULL if it succeeded */
void load_statement_ended(struct load_connection *conn, const char *sqlstate);

#endif
