#ifndef MODEL_H
#define MODEL_H

#include "experiment.h"
#include "router.h"
#include "session_positions.h"
#include "timer_service.h"

/**
 * DOC: One database cluster behind several daemons, in virtual time.
 *
 * The daemons route by the project's modules and learn by messages with
 * delay and loss; the databases replicate with lag. Sessions send each
 * request through another daemon. Every read is checked against what the
 * database that ran it had replayed.
 */

#define MODEL_DATABASES 3
#define MODEL_DAEMONS 8

/**
 * struct model_user - a user organisation's deployment and workload
 * @between_zones_us: one-way latency
 * @to_callers_us: one-way latency
 * @think_us: mean time between the requests of a session
 * @after_write_us: mean time until the read that follows a write
 */
struct model_user {
	const char *name;
	const char *const *zones;
	unsigned nr_zones;
	int64_t between_zones_us;
	int64_t to_callers_us;
	unsigned sessions;
	int64_t think_us;
	int64_t after_write_us;
	double writes;
};

extern const struct model_user model_lakeshore;
extern const struct model_user model_filtrex;

/** struct model_entry - a stretch of log, written by @at_us */
struct model_entry {
	int64_t at_us;
	uint64_t lsn;
};

/**
 * struct model_database - true state of one database
 * @following: false between a promotion and the time it is repointed
 * @lag_us: present replay lag; @stalled_until_us: replay stands still
 * @applied: entries of the log replayed
 */
struct model_database {
	bool up;
	bool is_primary;
	bool following;
	struct position received;
	struct position replayed;
	int64_t lag_us;
	int64_t stalled_until_us;
	guint received_entries;
	guint applied_entries;
};

struct model_daemon {
	struct model *model;
	unsigned index;
	bool lease_valid;
	/* Version of the member list, when it was taken in, and whether the
	 * version before was known then. */
	uint64_t version;
	int64_t adopted_us;
	bool knows_previous;
	int64_t sticky_until_us;
	struct upstream_directory dir;
	struct router router;
	struct session_positions positions;
};

/** struct model_session - @acknowledged: largest write told to the caller */
struct model_session {
	struct model *model;
	uint64_t id;
	bool has_written;
	struct position acknowledged;
};

struct model_counts {
	uint64_t reads;
	uint64_t at_replicas;
	uint64_t oracle;
	uint64_t violations;
	uint64_t refused;
	uint64_t writes;
	uint64_t unknown;
	uint64_t waits;
	uint64_t promotions;
};

struct model {
	const struct model_user *user;
	bool naive;
	bool faults;
	double loss;
	gsl_rng *rng;
	struct timer_service timers;
	int64_t now_us;
	GArray *log;
	uint32_t term;
	/* Between the loss of a primary and the promotion of the next. */
	bool fenced;
	/* Daemon that alone reaches the isolated primary, or -1. */
	int isolated_with;
	int primary;
	guint switch_entries;
	struct term_history history;
	struct model_database databases[MODEL_DATABASES];
	struct model_daemon daemons[MODEL_DAEMONS];
	struct session_member members[MODEL_DAEMONS];
	uint64_t members_version;
	struct model_session *sessions;
	/* Memory of requests and messages, freed at the end of the run. */
	GPtrArray *garbage;
	struct model_counts counts;
};

/** model_run() - one run of @duration_us after a warm-up of 31 s */
void model_run(struct model *m, const struct model_user *user, bool naive,
	       bool faults, unsigned seed, int64_t duration_us);

/** model_at() - call back at a time of the virtual clock */
void model_at(struct model *m, int64_t at_us, timer_callback callback,
	      void *data);
void *model_alloc(struct model *m, size_t size);
int64_t model_delay(struct model *m);
double model_exponential(struct model *m, double mean);
bool model_chance(struct model *m, double probability);

/** model_session_next() - timer callback: a session sends a request */
void model_session_next(int64_t now_us, void *session);

void model_databases_init(struct model *m);
struct position model_database_write(struct model *m, uint64_t bytes);
/** model_database_advance() - bring one database up to the present */
void model_database_advance(struct model *m, int db);
void model_databases_promote(struct model *m);
/** model_reaches() - whether a daemon can talk to a database now */
bool model_reaches(const struct model *m, unsigned daemon, int db);
bool model_database_holds(struct model *m, int db, struct position needed);

void model_daemons_init(struct model *m);
void model_daemons_finish(struct model *m);
/** model_daemon_ask() - position query, answered after two delays */
void model_daemon_ask(struct model *m, unsigned daemon, int db);
unsigned model_daemon_owners(struct model *m, uint64_t version,
			     uint64_t session, unsigned *owners);

void model_faults_init(struct model *m);

#endif
