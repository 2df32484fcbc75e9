#ifndef CONTROL_CLIENT_INTERNAL_H
#define CONTROL_CLIENT_INTERNAL_H

#include "control_client.h"

/* Control VMs a daemon may be told of. */
#define CONTROL_VMS_MAX 16

/**
 * struct control_vm - a control VM that the daemon knows
 * @heard_us: when it was added or last heard
 */
struct control_vm {
	uint64_t id;
	int handle;
	int64_t heard_us;
};

/**
 * struct known_cluster - newest state heard of a cluster
 * @told: whether the proxy was told of the primary
 * @acknowledged: what the proxy answered to the fence of @term
 */
struct known_cluster {
	char *service;
	char *cluster;
	char *primary;
	uint32_t term;
	bool told;
	bool fenced;
	struct position acknowledged;
};

/**
 * struct control_delta - which reports the leader has
 * @sent: report key to struct sent_report
 * @needs_full: until a grant answers a heartbeat with all reports
 * @full_sequence: last heartbeat with all reports, sent at @full_us
 * @answered_sequence: last heartbeat the leader answered
 */
struct control_delta {
	GHashTable *sent;
	bool needs_full;
	uint64_t full_sequence;
	int64_t full_us;
	uint64_t answered_sequence;
};

void control_delta_init(struct control_delta *delta);
void control_delta_finish(struct control_delta *delta);

/**
 * control_delta_trim() - leave out the reports that the leader has
 * @all: send all reports whatever the leader has
 * @urgent: report changes of demand and positions now, not once a second
 */
void control_delta_trim(struct control_delta *delta, Wire__Heartbeat *hb,
			bool all, bool urgent, int64_t now_us);

/** control_delta_release() - free the reports of a heartbeat, not itself */
void control_delta_release(Wire__Heartbeat *hb);

/** control_delta_answered() - a grant answered heartbeat @sequence */
void control_delta_answered(struct control_delta *delta, uint64_t sequence);

struct control_client {
	const struct settings *settings;
	struct bus *bus;
	struct timer_service *timers;
	struct control_events events;
	void *data;
	struct lease lease;
	struct tables tables;
	uint64_t members_version;
	struct control_vm vms[CONTROL_VMS_MAX];
	unsigned nr_vms;
	unsigned leader;
	uint64_t raft_term;
	uint64_t last_sequence;
	int64_t answered_us;
	int64_t redirected_us;
	GHashTable *clusters;
	GHashTable *shares;
	int64_t sent_us;
	struct control_delta delta;
	uint64_t state_hash;
	int heartbeat_timer;
	int soon_timer;
	int lease_timer;
	struct control_client_counts counts;
};

void control_known_free(void *known);

/** control_known() - the state of a cluster, created when first asked for */
struct known_cluster *control_known(struct control_client *client,
				    const char *service, const char *cluster);

/** control_begin_fence() - tell the proxy that the term ends */
void control_begin_fence(struct control_client *client,
			 struct known_cluster *known);

/**
 * control_confirm_fences() - add the confirmations to a heartbeat
 *
 * Also for clusters the proxy does not use: the leader waits for all.
 */
void control_confirm_fences(struct control_client *client, Wire__Heartbeat *hb);

void control_merge_cluster(struct control_client *client,
			   const Wire__ClusterState *state);
void control_merge_share(struct control_client *client,
			 const Wire__Share *share);

#endif
