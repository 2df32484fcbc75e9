#ifndef CALLER_H
#define CALLER_H

#include "caller_settings.h"
#include "request.h"
#include "scram.h"
#include "error.h"
#include "stream.h"

/**
 * DOC: One caller connection.
 */

enum caller_state {
	CALLER_STARTUP,
	CALLER_AUTH_FIRST,
	CALLER_AUTH_FINAL,
	CALLER_READY,
	/** the output is written, then the peer is expected to close */
	CALLER_CLOSING,
	CALLER_CLOSED,
};

/**
 * struct caller_route - what the tables in force say of a caller
 * @version: version of the tables, 0 before the first
 * @pool: interned, as is @tenant
 * @shared: whether several tenants use the pool
 *
 * A copy, since a request outlives the tables it was started under.
 */
struct caller_route {
	uint64_t version;
	const char *pool;
	const char *tenant;
	unsigned weight;
	unsigned slots;
	unsigned connections;
	bool shared;
	unsigned max_queue;
	unsigned ack_replicas;
	int64_t max_replica_lag_us;
	int64_t request_timeout_us;
};

/**
 * struct caller - one connection
 * @index: handle; @generation distinguishes reuse of the handle
 * @secret: cancel key
 * @transaction: 'I', 'T' or 'E', as the caller was told
 * @held: connection of the open transaction; NULL with 'E' if it was lost
 * @wrote: the open transaction may have written
 * @read_only: the open transaction was begun READ ONLY
 * @at_primary: the open transaction began at the primary
 * @skip_to_sync: an extended batch failed; its rest is dropped
 * @statements: struct statement by the caller's name for it
 * @busy: a request is under way
 * @in_input: caller_input() runs further up the stack
 * @idle_since_us: when the last request ended, or the drain began
 * @closing_us: when the state became CALLER_CLOSING
 * @cluster: directory handle
 * @accepted_us: when the connection was accepted
 * @address: IP address, as a key
 * @in_startup: counted as not logged in yet
 * @negotiations: requests for encryption answered
 * @held_bytes: bytes counted against the memory budget
 * @held_since_us: since when that is not 0
 * @message_since_us: since when a message or batch is incomplete, 0 if none is
 * @paused: not read since memory is short
 */
struct caller {
	struct proxy *proxy;
	unsigned index;
	uint32_t generation;
	uint32_t secret;
	struct stream stream;
	enum caller_state state;
	char *user;
	char *database;
	struct scram_server scram;
	struct caller_settings settings;
	struct caller_route route;
	int cluster;
	char transaction;
	struct upstream_connection *held;
	bool wrote;
	bool read_only;
	bool at_primary;
	bool skip_to_sync;
	bool busy;
	bool in_input;
	GHashTable *statements;
	size_t statement_bytes;
	struct request request;
	int login_timer;
	int64_t closing_us;
	int64_t idle_since_us;
	int64_t accepted_us;
	char *address;
	bool in_startup;
	unsigned negotiations;
	size_t held_bytes;
	int64_t held_since_us;
	int64_t message_since_us;
	bool paused;
};

void caller_accept(struct proxy *proxy, int fd);
void caller_close(struct caller *caller);

/** caller_startup() - consume start-up and login frames */
void caller_startup(struct caller *caller);
void caller_login_timeout(int64_t now_us, void *data);

/** caller_input() - take the next request, if none is under way */
void caller_input(struct caller *caller);

/** caller_resolve() - bring route and pool up to the tables in force */
bool caller_resolve(struct caller *caller, GError **error);

/** caller_answered() - the request ended; go on with what was sent ahead */
void caller_answered(struct caller *caller);

/** caller_fatal() - send an error and close once it is written */
void caller_fatal(struct caller *caller, const char *sqlstate,
		  const char *message, const char *hint);

/** caller_error() - error and ReadyForQuery for a simple query */
void caller_error(struct caller *caller, const char *sqlstate,
		  const char *message, const char *hint);

struct pg_buffer *caller_out(struct caller *caller);

#endif
