#ifndef CONTROL_INTERNAL_H
#define CONTROL_INTERNAL_H

#include "group_policy.h"
#include "node.h"
#include "position.h"
#include "raft_disk.h"

#include <ev.h>

/** Least election timeout, microseconds: some round trips between regions. */
#define CONTROL_ELECTION_US (300 * 1000ll)
/** Time between the leader's empty appends, microseconds. */
#define CONTROL_HEARTBEAT_US (75 * 1000ll)
/** Time between ticks of the state machine, microseconds. */
#define CONTROL_TICK_US (25 * 1000ll)
/** Applied entries between snapshots: a document may be 256 KiB. */
#define CONTROL_SNAPSHOT_ENTRIES 32
/** Time between attempts to open a store that failed, microseconds. */
#define CONTROL_STORE_RETRY_US (500 * 1000ll)
/** Time a put may wait for a majority, microseconds. */
#define CONTROL_PUT_US (2500 * 1000ll)
/** A watcher that is silent for so long is gone, microseconds. */
#define CONTROL_WATCHER_US (2500 * 1000ll)

/** Least time between two saves of the announcements, microseconds. */
#define CONTROL_SAVE_US (300 * 1000ll)

enum control_counter {
	CONTROL_COUNT_ELECTIONS,
	CONTROL_COUNT_MEMBER_CHANGES,
	CONTROL_COUNT_CONFIGS,
	CONTROL_COUNT_PUTS,
	CONTROL_COUNT_PUTS_UNCLEAR,
	CONTROL_COUNT_SIGHTINGS,
	CONTROL_COUNT_PROMOTIONS,
	CONTROL_COUNT_PROMOTIONS_REFUSED,
	CONTROL_COUNT_PROMOTIONS_UNCLEAR,
	CONTROL_COUNT_VIEWS,
	CONTROL_COUNT_STORE_FAILURES,
	CONTROL_COUNT_TERM,
	CONTROL_COUNT_VERSION,
	CONTROL_COUNT_WATCHERS,
	CONTROL_NR_COUNTERS,
};

/**
 * struct control_peer - the connection to another control VM
 * @waiting_id: identity under which it asked in, 0 if it did not
 * @waiting_us: when it last asked
 */
struct control_peer {
	struct control_node *node;
	uint32_t ip;
	struct channel channel;
	int64_t retry_us;
	uint64_t waiting_id;
	int64_t waiting_us;
};

/**
 * struct control_watcher - a connection that was accepted
 * @name: entry daemon at the other end, NULL until it says so
 * @ip: address at which it takes relayed statements
 * @draining: whether it takes no new work
 * @roster_wanted: whether it asks for the roster of a VM that does not lead
 * @reports: upstream id to struct control_report
 */
struct control_watcher {
	struct control_node *node;
	struct channel channel;
	char *name;
	char *availability_zone;
	uint32_t ip;
	bool draining;
	bool roster_wanted;
	int64_t heard_us;
	uint64_t config_version;
	uint64_t sent_revision;
	uint64_t sent_roster;
	GHashTable *reports;
};

/**
 * struct control_daemon_entry - an entry daemon that is or was heard
 * @drained: whether it said that it leaves
 * @used: upstreams of its last report that answered it, NULL if it never
 *        reported
 * @remembered: read back after a restart and not heard since
 * @revision: value of the node's roster_revision at its last change
 */
struct control_daemon_entry {
	char *name;
	char *availability_zone;
	uint32_t ip;
	bool gone;
	bool remembered;
	bool drained;
	GHashTable *used;
	int64_t changed_us;
	uint64_t revision;
};

struct control_report {
	int64_t failing_us;
	int64_t lag_us;
	bool saturated;
	struct position position;
	int64_t at_us;
};

/** struct control_put - a configuration that waits for a majority */
struct control_put {
	uint64_t version;
	int64_t until_us;
	config_done done;
	void *data;
};

/**
 * struct control_order - what this leader last ordered for a service
 * @id: upstream that was to lead
 * @unclear: orders in a row that got no answer
 * @pending: whether the platform has not answered yet
 * @handover: number of the handover under way, 0 for none
 * @executor: daemon that carries it out
 * @from: primary that it stops
 * @until_us: when the handover is given up
 * @head: upstream that this leader appointed last, NULL for none
 * @ordered: end of the log of @id when the order was given
 * @base: end of the log of @head when it was appointed
 * @behind_since_us: since when all replicas have been behind, 0 if not
 */
struct control_order {
	char *service;
	char *id;
	uint64_t handover;
	char *executor;
	char *from;
	int64_t until_us;
	int64_t behind_since_us;
	int64_t relieved_us;
	char *head;
	struct position ordered;
	struct position base;
	int64_t at_us;
	unsigned unclear;
	bool pending;
};

/**
 * struct control_node - state of a control VM
 * @raft: NULL while the disk cannot be used
 * @lead_term: term in which this VM leads, 0 otherwise
 * @settled: whether an entry of @lead_term was applied
 * @packed: deflated document of @packed_version
 * @roster: name to struct control_daemon_entry
 * @orders: service to struct control_order
 * @views_due: whether watchers are to be told
 * @lease_seen: whether this VM led with a lease at the last turn of the loop
 */
struct control_node {
	struct ev_loop *loop;
	struct timer_service *timers;
	struct control_config config;
	const struct control_ops *ops;
	void *data;
	char *folder;
	uint64_t id;
	struct raft_disk disk;
	struct raft *raft;
	int64_t store_retry_us;
	uint64_t lead_term;
	bool settled;
	uint64_t leader_seen;
	struct config_register reg;
	GBytes *packed;
	uint64_t packed_version;
	struct sightings sightings;
	GPtrArray *peers;
	GPtrArray *watchers;
	GHashTable *roster;
	uint64_t roster_revision;
	GPtrArray *puts;
	GHashTable *orders;
	uint64_t saved_revision;
	uint64_t saved_roster;
	int64_t save_after_us;
	int64_t save_again_us;
	int64_t started_us;
	uint64_t last_handover;
	bool views_due;
	bool lease_seen;
	bool stopping;
	ev_io listener;
	ev_prepare prepare;
	int tick_timer;
	int slow_timer;
	struct counter_set counters;
	int counter[CONTROL_NR_COUNTERS];
};

static inline void control_count(struct control_node *node,
				 enum control_counter which, int64_t n)
{
	counter_add(&node->counters, node->counter[which], n);
}

/* storage.c */
bool control_storage_open(struct control_node *node, GError **error);
void control_storage_close(struct control_node *node);
/** control_storage_on_failure() - report a failure of the disk */
void control_storage_on_failure(const GError *error, void *data);
void control_storage_flush(struct control_node *node);
void control_lead_update(struct control_node *node);

/* peers.c */
struct control_peer *control_peer(struct control_node *node, uint32_t ip);
void control_peers_tick(struct control_node *node, int64_t now_us);
void control_peers_connect(struct control_node *node);
void control_peers_free(struct control_node *node);
void control_send_raft(struct control_node *node,
		       const struct raft_message *msg);
/** control_take_sighting() - ages count from @now_us */
void control_take_sighting(struct control_node *node, const Wire__Sighting *in,
			   int64_t now_us);
void control_tell_peers(struct control_node *node, const struct sighting *one);
/** control_message() - a message that any process may send */
void control_message(struct control_node *node, struct channel *from,
		     const Wire__Envelope *envelope);

/* group.c */
void control_group_tick(struct control_node *node, int64_t now_us);
/** control_fresh() - whether a leader with a majority was heard of late */
bool control_fresh(const struct control_node *node);

/* watchers.c */
/** control_watcher_heard() - whether it reported of late */
bool control_watcher_heard(const struct control_watcher *watcher,
			   int64_t now_us);
void control_watchers_accept(struct control_node *node, int fd);
void control_watchers_tick(struct control_node *node, int64_t now_us);
void control_watchers_tell(struct control_node *node);
/** control_view_fill() - what changed after revision @since */
void control_view_fill(struct control_node *node, uint64_t since,
		       Wire__View *view);
void control_view_clear(Wire__View *view);
void control_watchers_free(struct control_node *node);

/* memory.c */
void control_memory_save(struct control_node *node, int64_t now_us);
void control_memory_load(struct control_node *node);

/* roster.c */
GHashTable *control_roster_new(void);
/** control_roster_note() - a daemon reported */
void control_roster_note(struct control_node *node,
			 const struct control_watcher *watcher, int64_t now_us);
/** control_roster_used() - what @daemon reported last, by upstream */
void control_roster_used(struct control_node *node, const char *daemon,
			 GHashTable *reports);
/**
 * control_roster_unheard() - daemons that may still be served by an upstream
 * @id: the upstream
 *
 * They took work of late, do not report now and did not say that they leave.
 * One whose last report did not name the upstream as answering is not counted:
 * with home daemons, most daemons ask only the upstreams of few services.
 */
unsigned control_roster_unheard(const struct control_node *node, const char *id,
				int64_t now_us);
/** control_roster_update() - find the daemons that are gone */
void control_roster_update(struct control_node *node, int64_t now_us);
/** control_roster_remember() - a daemon that took work before a restart */
void control_roster_remember(struct control_node *node,
			     const Wire__RosterEntry *in, int64_t now_us);
void control_roster_fill(const struct control_node *node, uint64_t since,
			 Wire__View *view);

/* configs.c */
void control_puts_settle(struct control_node *node, int64_t now_us);

/* promotions.c */
void control_promotions_tick(struct control_node *node, int64_t now_us);
void control_order_free(void *data);
/** control_is_answered() - whether an upstream answers a daemon that is heard */
bool control_is_answered(const struct control_node *node, const char *id);
/**
 * control_executor() - the daemon to hand a primary over
 * Return: the one heard last of those that both upstreams answer, NULL if none
 *
 * One that was lost with its VM counts as heard for CONTROL_WATCHER_US, and a
 * handover that nobody carries out costs its whole time.
 */
const struct control_watcher *control_executor(const struct control_node *node,
					       const char *from, const char *to,
					       int64_t now_us);
/** control_handovers_fill() - what @daemon is to carry out */
void control_handovers_fill(const struct control_node *node, const char *daemon,
			    Wire__View *view);
void control_handover_result(struct control_node *node,
			     const Wire__HandoverResult *result);

#endif
