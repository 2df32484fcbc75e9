#ifndef ENTRY_H
#define ENTRY_H

#include "quota_shares.h"
#include "client_limits.h"
#include "sightings.h"
#include "statement.h"
#include "timer_service.h"

#include <ev.h>

/**
 * DOC: The entry daemon: maps caller sessions to upstream connections.
 *
 * This layer is independent of any wire format. A caller protocol
 * (struct caller_ops) passes statements in and receives the answers. An
 * upstream protocol (struct upstream_ops) opens links and reports what the
 * upstreams reply. Routing, limits, retries and recovery happen in between.
 */

enum read_rule {
	/** reads see every acknowledged commit */
	READ_AT_PRIMARY,
	/** reads see the session's own commits and others that are old
	 * enough */
	READ_OWN_WRITES,
	/** reads see commits that are older than entry_route.staleness_us */
	READ_BOUNDED,
};

/**
 * struct entry_route - how statements for one database are served
 * @service: name of the service that runs the database
 * @rule: consistency that reads require
 * @statement_us: time-out of one statement
 * @target_us: target latency, from arrival to answer
 * @priority: 0 is served first
 * @staleness_us: reads must see commits older than this, 0 sends every read
 *                to the primary
 * @anonymous: whether callers without an account may use it
 */
struct entry_route {
	char *database;
	char *service;
	enum read_rule rule;
	int64_t statement_us;
	int64_t target_us;
	unsigned priority;
	int64_t staleness_us;
	bool anonymous;
};

/**
 * struct entry_account - a client account
 * @rate_per_s: operations per second over all daemons, 0 for no limit
 * @burst: operations beyond @rate_per_s at once
 */
struct entry_account {
	char *name;
	double rate_per_s;
	double burst;
};

/**
 * struct entry_pool - connection limits of one service
 * @max_connections: connections that one upstream accepts
 * @sync_replicas: replicas that hold a commit before it is acknowledged
 */
struct entry_pool {
	char *service;
	unsigned max_connections;
	unsigned sync_replicas;
};

/**
 * struct entry_table - routes and pools of one configuration version
 * @refs: reference count; transactions keep the table that they began with
 * @routes: database to struct entry_route
 * @pools: service to struct entry_pool
 * @accounts: name to struct entry_account
 * @keys: key to the struct entry_account that holds it
 * @has_accounts: whether callers are identified by their keys
 * @transaction_idle_us: idle time after which an open transaction is aborted,
 *                       0 for no limit
 */
struct entry_table {
	int refs;
	uint64_t version;
	GHashTable *routes;
	GHashTable *pools;
	GHashTable *accounts;
	GHashTable *keys;
	bool has_accounts;
	int64_t transaction_idle_us;
};

struct entry_table *entry_table_new(uint64_t version);
struct entry_table *entry_table_ref(struct entry_table *table);
void entry_table_unref(struct entry_table *table);
/** entry_table_add_route() - takes ownership of @route's strings */
void entry_table_add_route(struct entry_table *table,
			   const struct entry_route *route);
/** entry_table_add_pool() - takes ownership of @pool's strings */
void entry_table_add_pool(struct entry_table *table,
			  const struct entry_pool *pool);

/** entry_table_add_account() - takes ownership of @account's strings */
struct entry_account *
entry_table_add_account(struct entry_table *table,
			const struct entry_account *account);
/**
 * entry_table_add_key() - record that @account holds @key
 * Return: false if another account holds it
 */
bool entry_table_add_key(struct entry_table *table, const char *key,
			 struct entry_account *account);
/**
 * entry_table_account() - the account that holds @key, NULL for none
 * @key: as the caller sent it, may be NULL
 */
const struct entry_account *entry_table_account(const struct entry_table *table,
						const char *key);

/**
 * struct caller_ops - callbacks of a caller protocol
 * @started: the session may send statements
 * @refused: the session cannot start; report the error and close
 * @answer: answers the outstanding statement
 * @close: asks the protocol to close the caller's connection
 * @decline: the statement did not run; another daemon may run it. Called only
 *           for callers of other daemons
 *
 * @handle is the protocol's own object for the caller's connection.
 */
struct caller_ops {
	void (*started)(void *handle);
	void (*refused)(void *handle, enum refusal refusal, const char *detail);
	void (*answer)(void *handle, const struct statement_answer *answer);
	void (*close)(void *handle);
	void (*decline)(void *handle);
};

enum link_verb {
	LINK_BEGIN,
	LINK_BEGIN_READ,
	LINK_ROLLBACK,
	LINK_RESET,
	LINK_SET,
	LINK_PREPARE,
	/** queries the end of its log, see upstream_ops.read_status */
	LINK_STATUS,
	/** demotes a primary whose term is below @min_position.term to a
	 * replica */
	LINK_DEMOTE,
	/** has a replica receive nothing more, if @min_position.term is above
	 * the newest term */
	LINK_PAUSE,
	/** has a replica receive again */
	LINK_RESUME,
	/** forwards a caller's statement */
	LINK_FORWARD,
};

/**
 * struct link_command - one command to an upstream
 * @min_position: log position that the upstream must have reached,
 *         term 0 for none
 * @name: name of a session value or prepared statement
 * @value: session value, or the text of a prepared statement
 * @writes: whether the prepared statement writes
 * @statement: statement to forward; an execute runs the prepared statement
 *             @name
 */
struct link_command {
	enum link_verb verb;
	struct position min_position;
	const char *name;
	const char *value;
	bool writes;
	const struct statement *statement;
};

struct link;

/**
 * struct upstream_status - role and log position of an upstream
 * @primary: whether it is a primary
 * @term: the term that it leads or follows, which its log shows only once
 *        something was committed in it
 * @received: end of the log that it received, whether replayed or not
 */
struct upstream_status {
	bool primary;
	uint32_t term;
	struct position received;
};

/**
 * struct upstream_ops - operations of an upstream protocol
 * @open: connects and logs in as @account, NULL for the proxy itself, then
 *        calls link_opened() or link_closed().
 *        Return: the connection's handle, NULL if no socket could be opened
 * @send: queues one command; each is answered by one link_replied()
 * @flush: writes the queued commands
 * @close: closes the connection without calling link_closed()
 * @read_status: decodes the answer to LINK_STATUS, LINK_DEMOTE, LINK_PAUSE or
 *               LINK_RESUME.
 *               Return: false if it is malformed
 */
struct upstream_ops {
	void *(*open)(struct link *link, const char *address,
		      const char *service, const char *account, const char *id,
		      void *data);
	void (*send)(void *handle, const struct link_command *command);
	void (*flush)(void *handle);
	void (*close)(void *handle);
	bool (*read_status)(const struct statement_answer *answer,
			    struct upstream_status *status);
};

/** link_opened() - logged in; the upstream's log is at @position */
void link_opened(struct link *link, struct position position);
/** link_replied() - the upstream answered the oldest outstanding command */
void link_replied(struct link *link, const struct statement_answer *answer);
/**
 * link_closed() - the connection was refused or broke
 * @refusal: why the log-in was refused, REFUSAL_NONE if the connection broke
 */
void link_closed(struct link *link, enum refusal refusal);

/**
 * struct entry_config - start-up configuration
 * @name: name of this daemon
 * @ip: own IPv4 address, host order, on which other daemons connect to relay
 *      statements
 * @port: port for connections between daemons, the same on every VM
 * @seeds: uint32_t IPv4 addresses of control VMs
 * @grace_us: time between the request to stop and the kill
 * @revoke_us: time in which sessions with a key that was dropped are closed,
 *             0 for the default
 * @strict_keys: whether a daemon without a fresh view for @revoke_us begins no
 *               operation of an account
 * @quota: by how much the limits of accounts may be exceeded
 * @balance_reads: reads that several upstreams may run go to the cheaper of two
 *                 drawn at random, not to the one with the lowest expected
 *                 wait
 * @decode: parses a configuration document; NULL if it is invalid
 * @limits: limits on clients
 * @data: passed to upstream_ops.open
 */
struct entry_config {
	const char *name;
	const char *availability_zone;
	uint32_t ip;
	uint16_t port;
	GArray *seeds;
	int64_t grace_us;
	int64_t revoke_us;
	bool strict_keys;
	struct quota_tolerance quota;
	bool balance_reads;
	const struct upstream_ops *upstream_ops;
	struct entry_table *(*decode)(GBytes *document);
	struct client_limits limits;
	void *data;
};

struct entry;
struct session;

/** entry_new() - Return: NULL if it cannot listen on the daemon port */
struct entry *entry_new(struct ev_loop *loop, struct timer_service *timers,
			const struct entry_config *config, GError **error);
void entry_free(struct entry *entry);

/** entry_ready() - whether the balancer should send new callers here */
bool entry_ready(const struct entry *entry);
/** entry_add_seeds() - add control VMs by their uint32_t IPv4 addresses */
void entry_add_seeds(struct entry *entry, const GArray *seeds);

/** entry_drain() - stop gracefully: let callers finish, then close them */
void entry_drain(struct entry *entry);
/** entry_drained() - whether the process may exit: no caller is left, or the
 * grace period is almost over */
bool entry_drained(const struct entry *entry);
/** entry_listens() - whether new connections are still accepted */
bool entry_listens(const struct entry *entry);

/** entry_limits() - limits on clients */
const struct client_limits *entry_limits(const struct entry *entry);
/** entry_usage() - what clients take; protocols add what their buffers hold */
struct client_usage *entry_usage(struct entry *entry);
/** entry_note_limit() - count and log that a limit was applied */
void entry_note_limit(struct entry *entry, enum client_limit limit);
/** link_entry() - the daemon that a link belongs to */
struct entry *link_entry(const struct link *link);
/**
 * entry_close_relay() - close the relaying daemon's connection that has held
 *                       most for the longest
 * @weight: least weight, see client_limits_weight()
 * Return: false if none weighs more
 */
bool entry_close_relay(struct entry *entry, uint64_t weight);

void entry_print_metrics(struct entry *entry, GString *out);

/** entry_session_new() - a caller connected */
struct session *entry_session_new(struct entry *entry,
				  const struct caller_ops *ops, void *handle);
/**
 * session_start() - the caller chose its database
 * @key: identifies its account
 */
void session_start(struct session *s, const char *database, const char *key);
/**
 * session_handle_statement() - handle one statement; none may be outstanding
 * @statement: its buffer changes owner, and it is cleared
 */
void session_handle_statement(struct session *s, struct statement *statement);
/** session_refuse_statement() - answer BUSY to a statement that is not handled
 * for lack of memory; none may be outstanding */
void session_refuse_statement(struct session *s);
/** session_held_bytes() - values, prepared statements and the statement that is
 * under way */
size_t session_held_bytes(const struct session *s);
/** session_closed() - the caller's connection closed; frees the session */
void session_closed(struct session *s);

#endif
