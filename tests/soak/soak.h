#ifndef SOAK_H
#define SOAK_H

#include "http_client.h"
#include "http_server.h"
#include "position.h"
#include "stream.h"

#include <glib.h>
#include <sys/types.h>

/**
 * DOC: Fault soak: the real programs as processes, everything else played.
 *
 * One process plays a database group, callers, the operator and the platform
 * on loopback addresses. It starts the entry and control daemons, kills,
 * stops, pauses and restarts them, breaks and silences connections, and
 * checks what callers and databases see. The seed decides the faults.
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

/** struct soak_commit - one committed write */
struct soak_commit {
	uint32_t term;
	char *item;
	char *value;
};

struct soak_database;
struct soak_client;

/**
 * struct soak_process - one daemon under test
 * @stopped_us: when it was told to end, 0 if it was not
 * @start_at_us: when it is to start, 0 while it runs
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
 * struct soak - the whole run
 * @log: struct soak_commit, agreed by the present primary
 * @rolled_back: values that a promotion cut off
 * @acked: item to index + 1 in @log of its newest acknowledged write
 * @refused: values whose writer was told that nothing is kept
 * @violations: broken promises, described
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

void soak_violation(struct soak *soak, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
int64_t soak_now(void);
/** soak_between() - a number of the seed in [from, to) */
int64_t soak_between(struct soak *soak, int64_t from, int64_t to);

/* database.c */
void databases_start(struct soak *soak);
void databases_tick(struct soak *soak, int64_t now_us);
bool databases_promote(struct soak *soak, const char *id);
void database_crash(struct soak *soak, int which, int64_t until_us);
void database_silence(struct soak *soak, int which, int64_t until_us);
void database_reset(struct soak *soak, int which);
const char *database_id(const struct soak *soak, int which);

/* client.c */
void clients_start(struct soak *soak);
void clients_tick(struct soak *soak, int64_t now_us);

/* processes.c */
void processes_start(struct soak *soak);
void processes_tick(struct soak *soak, int64_t now_us);
void processes_fault(struct soak *soak, int64_t now_us);
bool processes_stop(struct soak *soak);

#endif
