#ifndef FAILOVER_WORLD_H
#define FAILOVER_WORLD_H

#include "control_state.h"
#include "failover.h"
#include "lease.h"
#include "raft.h"

#include <gsl/gsl_rng.h>

/**
 * DOC: Daemons, control VMs and databases on a fake network, in virtual time.
 *
 * The daemon's own pure modules (lease, fail-over, control state, consensus)
 * run unchanged; what connects them, and the databases, are small models.
 * Nodes are numbered: daemons, then control VMs, then databases by cluster.
 * The invariants are checked at each event that could break them.
 */

#define WORLD_CONTROL_MAX 7
#define WORLD_CLUSTERS_MAX 3
/** Databases of a cluster: one primary and two replicas. */
#define WORLD_REPLICATION 3
#define WORLD_TERMS_MAX 64
#define WORLD_LINEAGE_MAX 16
#define WORLD_PENDING_MAX 64
#define WORLD_MS 1000ll
#define WORLD_SERVICE "service"

enum letter_kind {
	LETTER_HEARTBEAT,
	LETTER_GRANT,
	LETTER_REDIRECT,
	LETTER_FENCE,
	LETTER_RAFT,
	LETTER_PROBE,
	LETTER_PROBE_REPLY,
	LETTER_WRITE,
	LETTER_WRITE_DONE,
	LETTER_ASK,
	LETTER_POSITION,
	LETTER_PROMOTE,
	LETTER_REPOINT,
	LETTER_WAL,
	LETTER_NAIVE_PRIMARY,
	LETTER_TABLES,
};

/** struct world_report - what a daemon says of a cluster, or is told */
struct world_report {
	uint32_t term;
	int primary;
	bool fenced;
	bool suspect;
	bool confirmed;
	struct position acknowledged;
};

/**
 * struct letter - one message
 * @about: cluster, or database in messages about one
 * @write: number of a write, of a probe or of a heartbeat
 * @timeline: identity of a database's history, unlike its term never reused
 */
struct letter {
	int from;
	int to;
	enum letter_kind kind;
	int about;
	uint64_t incarnation;
	uint64_t write;
	uint64_t timeline;
	struct position position;
	bool promoted;
	uint64_t tables_version;
	struct world_report reports[WORLD_CLUSTERS_MAX];
	struct raft_message *raft;
};

/** struct world_lineage - part of a log: up to @end_lsn of a timeline */
struct world_lineage {
	uint64_t timeline;
	uint64_t end_lsn;
};

/**
 * struct database - one upstream
 * @refuses: while not up, whether its VM still refuses connections
 * @upstream: node that it replicates from
 * @lag_us: extra delay of its replication
 * @order_delay_us: time after which it carries out an order to promote
 */
struct database {
	bool up;
	bool refuses;
	bool primary;
	int upstream;
	uint32_t term;
	uint64_t timeline;
	uint64_t lsn;
	struct world_lineage lineage[WORLD_LINEAGE_MAX];
	unsigned nr_lineage;
	int64_t lag_us;
	int64_t promoting_until_us;
	int64_t order_delay_us;
};

/** struct world_write - a write whose answer is withheld */
struct world_write {
	uint64_t number;
	uint32_t term;
	uint64_t timeline;
	struct position position;
	unsigned received_mask;
};

/**
 * struct daemon_cluster - what a daemon knows of one cluster
 * @wrote_us: when it last acknowledged a write
 * @first_us: when it first did so in the current term, 0 for not yet
 */
struct daemon_cluster {
	struct world_report known;
	uint64_t next_probe;
	uint64_t answered_probe;
	unsigned refused;
	unsigned missed;
	struct world_write pending[WORLD_PENDING_MAX];
	unsigned nr_pending;
	int64_t wrote_us;
	int64_t first_us;
};

struct daemon {
	bool up;
	struct lease lease;
	int leader;
	uint64_t raft_term;
	uint64_t last_sequence;
	int64_t answered_us;
	uint64_t tables_version;
	struct daemon_cluster cluster[WORLD_CLUSTERS_MAX];
};

/** struct daemon_view - what a leader heard of one daemon */
struct daemon_view {
	uint64_t incarnation;
	uint64_t sequence;
	uint64_t tables_version;
	int64_t pushed_us;
	struct world_report reports[WORLD_CLUSTERS_MAX];
};

/**
 * struct control_vm - one VM with the control role
 * @entries: struct raft_entry, its log on disk
 * @leads: whether an entry of its own term was applied, so it may act
 * @replica_node: databases of the cluster but the primary at a run's begin
 * @switch_lsn: where the candidate says that the old term ended
 */
struct control_vm {
	struct world *world;
	int node;
	bool up;
	struct raft *raft;
	struct raft_hard_state hard_state;
	GArray *entries;
	struct control_state state;
	struct lease_table leases;
	bool leads;
	struct daemon_view *views;
	struct failover runs[WORLD_CLUSTERS_MAX];
	struct failover_replica replicas[WORLD_CLUSTERS_MAX]
					[WORLD_REPLICATION - 1];
	int replica_node[WORLD_CLUSTERS_MAX][WORLD_REPLICATION - 1];
	uint64_t switch_lsn[WORLD_CLUSTERS_MAX];
};

/**
 * struct world_acked - an acknowledged write
 */
struct world_acked {
	int cluster;
	uint64_t timeline;
	uint64_t lsn;
};

/** enum world_trap - what dies when a step is recorded */
enum world_trap {
	TRAP_LEADER,
	TRAP_CANDIDATE,
	TRAP_ANSWER,
	TRAP_LATE_ORDER,
};

/** struct world_times - when the last fail-over of a cluster got where */
struct world_times {
	int64_t suspected_us;
	int64_t fenced_us;
	int64_t promoting_us;
	int64_t done_us;
};

/**
 * struct world_config
 * @zone_latency_us: one way between zones, a quarter of it within one
 * @clock_drift: largest difference of a clock's rate from 1
 * @loss: part of the messages that is lost
 * @reliable: whether a loss delays, as on a TCP connection
 * @replication_lag_us: log that a lost primary had not yet sent
 * @tables_bytes: size of both tables, which leave a VM one after the other
 */
struct world_config {
	unsigned daemons;
	unsigned control_vms;
	unsigned clusters;
	unsigned zones;
	int64_t zone_latency_us;
	double clock_drift;
	double loss;
	bool reliable;
	bool naive;
	int64_t tables_bytes;
	int64_t replication_lag_us;
	unsigned long seed;
};

struct event {
	int64_t at_us;
	uint64_t sequence;
	void (*run)(struct world *world, int node, void *data);
	int node;
	void *data;
};

/**
 * struct world - the whole model
 * @cut: whether messages from one node to another are dropped
 * @last_arrival_us: per pair, so that a reliable link keeps its order
 * @violation: text of the first broken invariant, NULL for none
 * @on_step: called on a leader when a step is recorded, may be NULL
 */
struct world {
	struct world_config config;
	gsl_rng *rng;
	int64_t now_us;
	uint64_t sequence;
	GArray *events;
	int nr_nodes;
	bool *cut;
	int64_t *last_arrival_us;
	double *clock_rate;
	int64_t *clock_offset;
	struct daemon *daemons;
	struct control_vm control[WORLD_CONTROL_MAX];
	struct database databases[WORLD_CLUSTERS_MAX * WORLD_REPLICATION];
	uint64_t next_timeline;
	uint64_t next_write;
	GArray *acked;
	int served[WORLD_CLUSTERS_MAX][WORLD_TERMS_MAX];
	uint32_t newest_term[WORLD_CLUSTERS_MAX];
	int newest_node[WORLD_CLUSTERS_MAX];
	struct world_times times[WORLD_CLUSTERS_MAX];
	unsigned fences;
	uint64_t acks;
	uint64_t unknown;
	uint64_t messages;
	int64_t sending_until_us;
	char *violation;
	enum world_trap trap;
	int trap_step;
	int64_t trap_delay_us;
	void (*on_step)(struct world *world, int leader, int candidate,
			int step);
	int naive_primary[WORLD_CLUSTERS_MAX];
	int naive_candidate[WORLD_CLUSTERS_MAX];
	uint32_t naive_term[WORLD_CLUSTERS_MAX];
	struct position naive_position[WORLD_CLUSTERS_MAX];
	int64_t naive_heard_us[WORLD_CLUSTERS_MAX];
};

struct world *world_new(const struct world_config *config);
void world_free(struct world *world);
/** world_run() - until @until_us, or until an invariant is broken */
void world_run(struct world *world, int64_t until_us);

/** world_reset_times() - before a fault whose parts are measured */
void world_reset_times(struct world *world);

int world_control_node(const struct world *world, unsigned vm);
int world_database_node(const struct world *world, unsigned cluster,
			unsigned database);
/** world_cut() - drop what @a sends to @b */
void world_cut(struct world *world, int a, int b, bool cut);
/** world_isolate() - separate @node from all but @friend, -1 for none */
void world_isolate(struct world *world, int node, int friend, bool cut);
int world_zone(const struct world *world, int node);

int64_t world_clock(const struct world *world, int node);
void world_after(struct world *world, int64_t delay_us, int node,
		 void (*run)(struct world *, int, void *), void *data);
void world_post(struct world *world, const struct letter *letter);
double world_uniform(struct world *world);
/** world_break() - note the first broken invariant */
void world_break(struct world *world, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/* Databases. */
void world_databases_start(struct world *world);
void world_database_receive(struct world *world, const struct letter *l);
/** world_holds() - whether a database's log contains a write */
bool world_holds(const struct database *db, uint64_t timeline, uint64_t lsn);
struct database *world_database(struct world *world, int node);

/* Daemons. */
void world_daemon_start(struct world *world, int node, uint64_t incarnation);
void world_daemon_receive(struct world *world, const struct letter *l);

/* Control VMs. */
void world_control_start(struct world *world, unsigned vm);
void world_control_stop(struct world *world, unsigned vm);
void world_control_receive(struct world *world, const struct letter *l);
/** world_may_grant() - whether it leads and no other one can */
bool world_may_grant(const struct control_vm *vm);
void world_grant(struct control_vm *vm, int daemon);
void world_propose(struct control_vm *vm, Wire__LogEntry *entry);
void world_take_heartbeat(struct control_vm *vm, const struct letter *l);
void world_push_tables(struct control_vm *vm);
/** world_leader() - control VM that leads, or -1 */
int world_leader(const struct world *world);

/**
 * world_change_tables() - an operator applies tables
 * @request_id: the same if the change is sent again
 * Return: false if no control VM leads
 */
bool world_change_tables(struct world *world, const char *request_id,
			 uint64_t base_version);

/** world_drive() - let a leader's run of a cluster act */
void world_drive(struct control_vm *vm, unsigned cluster);
void world_take_position(struct control_vm *vm, const struct letter *l);
/** world_begin_runs() - take up what is recorded, as a new leader */
void world_begin_runs(struct control_vm *vm);
/** world_step_applied() - a recorded step changed the agreed state */
void world_step_applied(struct control_vm *vm, unsigned cluster, int step);
const char *world_cluster_name(unsigned cluster);

/* The naive version: one coordinator, a fixed timeout, no fencing. */
void world_naive_start(struct world *world);
void world_naive_receive(struct world *world, const struct letter *l);

/* Invariants. */
void world_check_served(struct world *world, unsigned cluster, uint32_t term,
			int node);
void world_check_ack(struct world *world, unsigned cluster,
		     const struct world_write *write);
void world_check_end(struct world *world);

#endif
