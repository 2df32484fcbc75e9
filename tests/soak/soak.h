#ifndef SOAK_H
#define SOAK_H

#include "http_client.h"
#include "http_server.h"
#include "position.h"
#include "stream.h"

#include <glib.h>
#include <sys/types.h>

/**
 * DOC: Soak test: runs the real daemons and simulates their environment.
 *
 * One process simulates a database group, callers, the operator and the
 * platform on loopback addresses. It starts the entry and control daemons;
 * kills, stops, pauses and restarts them; closes connections and stalls
 * databases; and checks what callers and databases observe. The seed
 * initializes the random choices.
 */

#define SOAK_CONTROLS 3
#define SOAK_ENTRIES 2
#define SOAK_DATABASES 3
#define SOAK_CLIENTS 10

#define SOAK_PORT_INTERNAL 39310
#define SOAK_PORT_CONTROL 39311
#define SOAK_PORT_CALLERS 39312
#define SOAK_PORT_READY 39313
#define SOAK_PORT_DATABASE 39300
#define SOAK_API "127.3.3.1:39301"

/** struct soak_commit - one committed write in the replication log */
struct soak_commit {
	uint32_t term;
	char *item;
	char *value;
};

struct soak_database;
struct soak_client;

/**
 * struct soak_process - one daemon under test
 * @control: whether it is a control daemon, otherwise an entry daemon
 * @first: whether it has not been started yet
 * @paused: whether it is stopped by SIGSTOP until @resume_us
 * @stopped_us: when SIGTERM was sent, 0 if it was not
 * @start_at_us: when it is to be restarted, 0 while it runs
 */
struct soak_process {
	char *name;
	char *ip;
	char *folder;
	char *settings;
	bool control;
	bool first;
	pid_t pid;
	bool paused;
	int64_t resume_us;
	int64_t stopped_us;
	int64_t start_at_us;
};

/**
 * struct soak - state of one run
 * @ending: whether no new work is started because the time is over
 * @term: term of the last promotion
 * @primary: index of the primary in @databases, -1 after a demotion
 * @log: struct soak_commit, the log of the current primary
 * @index_of: value to its index + 1 in @log
 * @rolled_back: values that a promotion removed from @log
 * @acked: item to the newest value that was acknowledged
 * @refused: values whose writes were refused as not executed
 * @violations: descriptions of violated guarantees
 */
struct soak {
	struct ev_loop *loop;
	uint64_t seed;
	GRand *random;
	int64_t begin_us;
	int64_t end_us;
	bool ending;
	const char *entry_program;
	const char *control_program;
	char *folder;
	struct soak_process processes[SOAK_CONTROLS + SOAK_ENTRIES];
	struct soak_database *databases[SOAK_DATABASES];
	struct soak_client *clients[SOAK_CLIENTS];
	struct http_client *http;
	struct http_server *api;
	uint32_t term;
	int primary;
	GPtrArray *log;
	GHashTable *index_of;
	GHashTable *rolled_back;
	GHashTable *acked;
	GHashTable *refused;
	GPtrArray *violations;
	uint64_t config_version;
	uint64_t config_acked;
	uint64_t config_read;
	bool config_pending;
	unsigned done, not_done, faults, promotions, configs;
	ev_timer timer;
	int64_t next_fault_us;
	int64_t next_config_us;
};

/** soak_violation() - record and print a violated guarantee */
void soak_violation(struct soak *soak, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
/** soak_now() - current time, microseconds */
int64_t soak_now(void);
/**
 * soak_between() - random number in [from, to) from the seeded generator
 */
int64_t soak_between(struct soak *soak, int64_t from, int64_t to);

/* database.c */
/** databases_start() - listen as each simulated database */
void databases_start(struct soak *soak);
void databases_tick(struct soak *soak, int64_t now_us);
/**
 * databases_promote() - make the database with this id the primary
 * Return: false if there is none or it is down
 */
bool databases_promote(struct soak *soak, const char *id);
/** database_crash() - close and refuse connections until @until_us */
void database_crash(struct soak *soak, int index, int64_t until_us);
/** database_silence() - answer nothing until @until_us */
void database_silence(struct soak *soak, int index, int64_t until_us);
/** database_reset() - close all connections */
void database_reset(struct soak *soak, int index);
const char *database_id(const struct soak *soak, int index);

/* client.c */
void clients_start(struct soak *soak);
void clients_tick(struct soak *soak, int64_t now_us);

/* processes.c */
void processes_start(struct soak *soak);
void processes_tick(struct soak *soak, int64_t now_us);
/** processes_fault() - inject a random fault into a random daemon */
void processes_fault(struct soak *soak, int64_t now_us);
bool processes_stop(struct soak *soak);

#endif
