#ifndef CONTROL_CORE_H
#define CONTROL_CORE_H

#include "bus.h"
#include "control_state.h"
#include "control_view.h"
#include "failover.h"
#include "lease.h"
#include "raft_disk.h"
#include "settings.h"

/**
 * DOC: Inner structures of the control task, comfreywheeld/control_*.c.
 */

/** Period of ticks, s and us: a tenth of the least election timeout. */
#define CONTROL_TICK_S 0.01
/** Time between the passes for slow matters, such as new clusters. */
#define CONTROL_PASS_US 250000ll
/** Requests that wait for a majority to confirm this leader. */
#define CONTROL_WAITING_MAX 256

/** struct control_link - another control VM */
struct control_link {
	uint64_t id;
	char *address;
	int handle;
	/** when it last said that its folder is empty, 0 for never */
	int64_t empty_us;
	bool has_data;
};

/** struct control_request - a request that waits for confirmation */
struct control_request {
	struct bus_return_path from;
	Wire__Envelope *envelope;
	int64_t received_us;
};

/** struct control_waiter - a tool that waits for a verdict */
struct control_waiter {
	struct bus_return_path from;
	char *request_id;
};

struct pg_errand;

/**
 * struct control_replica - a replica of one cluster, as asked by this leader
 * @answered, @promoted, @received: see struct failover_replica
 * @before: last position received before it was promoted
 * @known_term: term that daemons last read from it
 * @errand: question or order on its way, NULL for none
 */
struct control_replica {
	struct control_run *run;
	char *name;
	char *address;
	uint16_t port;
	bool answered;
	bool promoted;
	struct position received;
	uint64_t before;
	uint32_t known_term;
	struct pg_errand *errand;
};

/**
 * struct control_run - the fail-over of one cluster
 * @primary_address: of the primary of the agreed state, NULL if unknown
 */
struct control_run {
	struct control *control;
	char *service;
	char *cluster;
	struct failover fo;
	char *primary_address;
	uint16_t primary_port;
	GPtrArray *replicas;
	int64_t wake_us;
	const char *logged_block;
};

/**
 * struct control - the task
 * @disk: once it failed nothing is sent or answered
 * @lead_term: Raft term this node leads, 0 if it does not
 * @ready: whether an entry of @lead_term was applied here
 * @runs_loaded: whether @runs were taken from the agreed state
 * @daemons: name to struct control_daemon
 * @found_us: when a cluster without a record was first seen, by its key
 */
struct control {
	const struct settings *settings;
	GThread *thread;
	struct ev_loop *loop;
	ev_async stop;
	ev_timer tick;
	ev_prepare prepare;
	struct bus *bus;
	struct raft_disk disk;
	struct raft *raft;
	struct control_state state;
	struct lease_table leases;
	uint64_t lead_term;
	bool ready;
	bool runs_loaded;
	GPtrArray *links;
	GHashTable *daemons;
	GQueue requests;
	GPtrArray *waiters;
	GPtrArray *runs;
	GHashTable *found_us;
	int64_t next_pass_us;
	int64_t next_reopen_us;
	bool pausing;
	int64_t next_budget_us;
	uint64_t last_share_index;
	int64_t next_bootstrap_us;
	int64_t group_seen_us;
	bool warned_wiped;
};

/* control_task.c */
int64_t control_now(void);
/** control_leads() - whether no other node can lead at this moment */
bool control_leads(const struct control *control);
/** control_confirmed() - whether it leads a group that may promise something */
bool control_confirmed(const struct control *control);
struct control_facts control_facts(const struct control *control);

/* control_raft.c */
bool control_raft_open(struct control *control, GError **error);
/**
 * control_raft_reopen() - open the store again after a failure
 * Return: false if the disk still fails; @error may be unset if that was
 *         reported already
 */
bool control_raft_reopen(struct control *control, GError **error);
void control_raft_message(struct control *control,
			  const Wire__RaftMessage *wire);
void control_raft_tick(struct control *control);
/** control_raft_flush() - sync what was appended and report it */
void control_raft_flush(struct control *control);
/** control_raft_start() - (re)start the agreement from what is stored */
void control_raft_start(struct control *control,
			const struct raft_recovered *recovered);

/* control_members.c */
/** control_is_member() - whether @id is in the newest membership */
bool control_is_member(const struct control *control, uint64_t id);
struct control_link *control_link(struct control *control, uint64_t id);
/** control_leader_address() - "" if it is not known */
const char *control_leader_address(struct control *control);
void control_link_set(struct control *control, uint64_t id,
		      const char *address);
void control_link_free(void *link);
/** control_bootstrap() - found the group once every VM is known empty */
void control_bootstrap(struct control *control);
void control_bootstrap_reply(struct control *control, int handle,
			     const Wire__QueryReply *reply);
bool control_bootstrap_query(struct control *control,
			     const struct bus_return_path *from,
			     const Wire__Query *query);
void control_promote_learners(struct control *control);
void control_drop_absent(struct control *control);
bool control_member_command(struct control *control, const Wire__Query *query,
			    GError **error);

/* control_leader.c */
void control_heartbeat(struct control *control,
		       const struct bus_return_path *from,
		       const Wire__Heartbeat *heartbeat);
void control_redirect(struct control *control,
		      const struct bus_return_path *from);
/** control_grant_due() - answer the heartbeats that wait for a grant */
void control_grant_due(struct control *control);
/** control_regrant() - tell every daemon the agreed state anew */
void control_regrant(struct control *control);
void control_push_tables(struct control *control);
void control_send_fences(struct control *control,
			 const struct control_run *run);

/* control_proposals.c */
bool control_propose(struct control *control, const Wire__LogEntry *entry,
		     uint64_t *index, GError **error);
void control_applied(struct control *control, const struct raft_entry *entry);
void control_apply_request(struct control *control,
			   const struct bus_return_path *from,
			   const Wire__ApplyRequest *request);
void control_waiter_free(void *waiter);
/** control_request() - handle now, or once this leader is confirmed */
void control_request(struct control *control,
		     const struct bus_return_path *from,
		     const Wire__Envelope *envelope);
void control_requests_run(struct control *control);
void control_requests_drop(struct control *control);

/* control_query.c */
void control_query(struct control *control, const struct bus_return_path *from,
		   const Wire__Query *query);

/* control_failover.c */
void control_run_free(void *run);
void control_failover_load(struct control *control);
void control_failover_unload(struct control *control);
void control_failover_tick(struct control *control);
/** control_failover_wake() - look at a cluster at the next tick */
void control_failover_wake(struct control *control, const char *service,
			   const char *cluster);
/** control_failover_applied() - a step may have been recorded */
void control_failover_applied(struct control *control,
			      const Wire__FailoverStep *step);
void control_failover_found(struct control *control,
			    const Wire__ClusterFound *found);
void control_failover_discover(struct control *control);
void control_run_wake(struct control_run *run);

/* control_replicas.c */
/** control_replica_index() - its place; added if it is new */
int control_replica_index(struct control_run *run, const char *name);
void control_replica_free(void *replica);
void control_replicas_update(struct control_run *run);
void control_replicas_ask(struct control_run *run);
void control_replica_promote(struct control_replica *replica);
void control_replicas_repoint(struct control_run *run);

/* control_budget.c */
void control_budget(struct control *control);

/* control_promotion.c */
typedef void (*pg_errand_done)(bool ok, const struct pg_position *position,
			       void *data);
/**
 * pg_errand_start() - run statements in order on a connection of their own
 * @statements: NULL terminated; the last is the position query. An error of
 *              another one is logged, and the next is run
 * @done: called once, unless the errand is cancelled
 * Return: NULL if no connection can be started
 */
struct pg_errand *pg_errand_start(struct control *control, const char *host,
				  uint16_t port, const char *const *statements,
				  double timeout_s, pg_errand_done done,
				  void *data);
void pg_errand_cancel(struct pg_errand *errand);

#endif
