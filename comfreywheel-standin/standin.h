#ifndef STANDIN_H
#define STANDIN_H

#include "event_timers.h"
#include "pg_frame.h"
#include "position.h"
#include "timer_service.h"

#include <ev.h>
#include <glib.h>
#include <sqlite3.h>

/**
 * DOC: A test upstream: one database of a replication group.
 *
 * Speaks the PostgreSQL protocol, executes SQL in SQLite and ships its log of
 * committed statements to replicas. Terms, log positions and promotion go by
 * PostgreSQL's published functions. Faults are set with
 * "SELECT standin_fault('NAME', VALUE)".
 */

/** Bytes of output at which a query pauses until its reader catches up. */
#define STANDIN_OUTPUT_MAX (256u * 1024)

struct standin_options {
	const char *name;
	const char *listen;
	char address[64];
	uint16_t port;
	const char *availability_zone;
	const char *service;
	const char *cluster;
	const char *database;
	const char *data_folder;
	const char *follow;
	const char *announce_to;
	int announce_ms;
	int slots;
	int service_us;
	int max_connections;
	int lag_ms;
};

enum standin_fault {
	/** milliseconds added to every statement */
	FAULT_STALL,
	/** commits whose connection is lost before they are executed */
	FAULT_DROP_BEFORE_COMMIT,
	/** commits whose connection is lost after they were executed */
	FAULT_DROP_AFTER_COMMIT,
	/** statements answered one byte at a time */
	FAULT_SLOW_ANSWERS,
	/** milliseconds between receiving and replaying the log */
	FAULT_LAG,
	/** nonzero: the log is not shipped to replicas */
	FAULT_CUT_REPLICATION,
	/** nonzero: announce as leaving */
	FAULT_LEAVING,
	/** nonzero: new connections are closed at once */
	FAULT_REFUSE,
	FAULT_NR,
};

/**
 * struct standin - one server
 * @term: current term
 * @written: end of the log written (primary) or received (replica)
 * @replayed: end of the log visible to reads
 * @unreplayed: struct log_record not yet replayed, replica only
 * @closed_clients: freed once no handler can hold them any more
 * @statements: executed, without probes and the stand-in's own functions
 * @replay_db: connection that replays and reads the log
 * @link: connection to the primary, replica only
 */
struct standin {
	struct standin_options options;
	struct ev_loop *loop;
	struct timer_service timers;
	struct event_timers event_timers;
	ev_prepare prepare;
	ev_io listener;
	GPtrArray *clients;
	GPtrArray *closed_clients;
	unsigned connections;
	unsigned peak_connections;
	unsigned slots_used;
	GQueue *waiting;
	uint32_t term;
	uint64_t written;
	uint64_t replayed;
	bool in_recovery;
	GQueue *unreplayed;
	sqlite3 *replay_db;
	struct replication_link *link;
	char *follow;
	char *configured_follow;
	uint64_t statements;
	int64_t faults[FAULT_NR];
	struct announcer *announcer;
	uint32_t next_pid;
};

struct log_record {
	uint64_t end;
	uint32_t term;
	char *sql;
	int64_t due_us;
};

enum client_state {
	CLIENT_STARTUP,
	CLIENT_READY,
	CLIENT_REPLICA,
};

struct portal {
	char *sql;
	GPtrArray *values;
};

/**
 * struct client - one connection
 * @db: its own SQLite connection, so that transactions are isolated
 * @busy: a statement waits for a slot, a lock or its reader
 * @holds_slot: whether it counts in slots_used
 * @paused: its statement waits for its reader and executes nothing
 * @sql: text being executed, from @sql_at on
 * @portal: portal being executed, NULL for a simple query
 * @stmt: statement being stepped, NULL between statements
 * @transaction: statements of the open transaction, for the log
 * @shipped: end of the log sent, replica connections only
 */
struct client {
	struct standin *server;
	int fd;
	ev_io reader;
	ev_io writer;
	struct pg_buffer in;
	struct pg_buffer out;
	enum client_state state;
	uint32_t pid;
	uint32_t secret;
	sqlite3 *db;
	bool busy;
	bool holds_slot;
	bool paused;
	bool in_transaction;
	bool failed;
	bool skip_to_sync;
	bool cancelled;
	bool slow;
	bool closed;
	int timer;
	int slow_timer;
	char *sql;
	size_t sql_at;
	struct portal *portal;
	sqlite3_stmt *stmt;
	bool described;
	bool autocommit;
	uint64_t rows;
	int64_t lock_deadline_us;
	GString *transaction;
	GHashTable *statements;
	GHashTable *portals;
	uint64_t shipped;
};

int64_t standin_now(struct standin *s);

/* client.c */
void client_accept(struct standin *s, int fd);
void client_close(struct client *c);
void client_flush(struct client *c);
void client_process(struct client *c);

/* execute.c */
void execute_start(struct client *c, const char *sql, struct portal *portal);
void execute_resume(struct client *c);

/** execute_resume_later() - as execute_resume(), after other clients' turn */
void execute_resume_later(struct client *c);
void execute_describe(struct client *c, const char *sql, bool statement);
void execute_release_slot(struct client *c);

/* functions.c */
void functions_register(struct standin *s, sqlite3 *db);

/* replication.c */
bool replication_open(struct standin *s, GError **error);
void replication_finish(struct standin *s);
/** replication_log() - record a transaction inside its own commit */
bool replication_log(struct standin *s, sqlite3 *db, const char *sql,
		     uint64_t *end);
void replication_committed(struct standin *s, uint64_t end);
/** replication_contains() - whether a log that ends there is part of ours */
bool replication_contains(struct standin *s, uint32_t term, uint64_t end);
void replication_ship(struct client *c);
void replication_ship_all(struct standin *s);
/** replication_follow() - connect to the primary named in @s->follow */
void replication_follow(struct standin *s);
void replication_unfollow(struct standin *s);
bool replication_promote(struct standin *s);

/* announce.c */
struct announcer *announcer_new(struct standin *s);
void announcer_free(struct announcer *a);
/** announcer_send() - announce the current state now */
void announcer_send(struct announcer *a);

#endif
