#ifndef UPSTREAM_CONNECTION_H
#define UPSTREAM_CONNECTION_H

#include "position_query.h"
#include "statements.h"
#include "stream.h"

/**
 * DOC: One connection to an upstream.
 *
 * Requests are pipelined as steps; the frames up to the next ReadyForQuery
 * belong to the oldest step. The connection is clean when no step is left,
 * no byte is unread and no transaction is open.
 */

struct caller;
struct request;
struct upstream_home;

enum upstream_state {
	UPSTREAM_CONNECTING,
	UPSTREAM_STARTING,
	UPSTREAM_READY,
	/** given up here; the upstream has not closed its side yet */
	UPSTREAM_CLOSING,
	UPSTREAM_CLOSED,
};

enum upstream_step {
	/** the caller's own statements: relayed */
	STEP_RELAY,
	/** statements of the daemon around them: errors noted, else dropped */
	STEP_HIDDEN,
	/** the position query */
	STEP_POSITION,
};

#define UPSTREAM_STEPS 8

/** enum upstream_end - why a connection was closed */
enum upstream_end {
	/** by this daemon, or after its start-up */
	UPSTREAM_ENDED,
	/** the upstream's system refused it: nobody listens */
	UPSTREAM_REFUSED,
	/** the upstream refused its start-up, and is alive */
	UPSTREAM_REJECTED,
	/** before the start-up was done, for another reason */
	UPSTREAM_BROKEN,
};

/**
 * struct upstream_connection - one connection
 * @request: what runs on it, NULL if idle
 * @holder: caller whose open transaction it holds, NULL if none
 * @doomed: close it instead of reusing it
 * @peer_closed: the upstream closed its side
 * @probe: whether it is the probe connection
 * @passing: bytes of a large frame still to be relayed
 * @transaction: 'I', 'T' or 'E' as of the last ReadyForQuery
 * @asked_us: when the position query was sent
 * @linger_timer: longest time in UPSTREAM_CLOSING
 * @parsed: statements prepared here
 */
struct upstream_connection {
	struct upstream_home *home;
	struct stream stream;
	enum upstream_state state;
	struct request *request;
	struct caller *holder;
	struct admission *admitted_by;
	bool doomed;
	bool peer_closed;
	bool probe;
	size_t passing;
	char transaction;
	uint32_t pid;
	uint32_t secret;
	enum upstream_step steps[UPSTREAM_STEPS];
	unsigned first_step;
	unsigned nr_steps;
	int64_t asked_us;
	int linger_timer;
	bool has_row;
	struct position_row row;
	struct parsed_statements parsed;
};

/** upstream_connection_open() - NULL if the socket cannot be created */
struct upstream_connection *upstream_connection_open(struct upstream_home *home,
						     bool probe);

/**
 * upstream_connection_close() - close; its request, if any, is not told
 *
 * The connection counts against the share until the upstream has closed its
 * side as well, or for connection_linger: an upstream that hangs still holds
 * it.
 */
void upstream_connection_close(struct upstream_connection *conn,
			       enum upstream_end end);

/** upstream_connection_free() - close without waiting for the upstream */
void upstream_connection_free(struct upstream_connection *conn);

/** upstream_connection_lose() - close; its request is told */
void upstream_connection_lose(struct upstream_connection *conn,
			      enum upstream_end end);

void upstream_connection_step(struct upstream_connection *conn,
			      enum upstream_step step);
/** upstream_connection_query() - send a simple query as a step */
void upstream_connection_query(struct upstream_connection *conn,
			       enum upstream_step step, const char *sql);
/** upstream_connection_position() - send the position query as a step */
void upstream_connection_position(struct upstream_connection *conn);

/** upstream_connection_resume() - the caller's output has room again */
void upstream_connection_resume(struct upstream_connection *conn);

bool upstream_connection_is_clean(const struct upstream_connection *conn);

#endif
