#ifndef CONTROL_NODE_H
#define CONTROL_NODE_H

#include "channel.h"
#include "config_register.h"
#include "counters.h"
#include "quota_shares.h"
#include "raft.h"
#include "sightings.h"
#include "store.h"
#include "timer_service.h"

/**
 * DOC: A member of the control group, a Raft cluster that discovers its
 * members and adds and removes them automatically.
 *
 * The group replicates one configuration document, and its leader appoints the
 * primary of each service. Members are identified by the identities described
 * in group_policy.h. The identity contains the IPv4 address; all members use
 * the same port.
 */

/**
 * struct control_config - start-up parameters of a control VM
 * @name: name of the daemon
 * @ip: IPv4 address of this VM, host order
 * @port: port on which every control VM accepts peers and entry daemons
 * @folder: data folder
 * @bootstrap: whether to create a new group out of the seeds
 * @seeds: uint32_t IPv4 addresses of control VMs, host order
 * @voters: number of voters, once enough VMs have joined
 * @quota: by how much the limits of accounts may be exceeded
 * @max_watchers: most accepted connections, 0 for the default, which follows
 *                from the descriptors of the process
 * @max_roster: most entry daemons in the roster, 0 for the default
 * @max_sightings: most upstreams, 0 for the default
 * @max_reports: most reports on upstreams of all entry daemons together, 0 for
 *               the default
 * @max_channel_bytes: bytes of half frames and unread output of all accepted
 *                     connections together, 0 for the default
 * @file_ops: file operations of the store, NULL for those of the system
 * @file_data: passed to @file_ops
 */
struct control_config {
	const char *name;
	uint32_t ip;
	uint16_t port;
	const char *folder;
	bool bootstrap;
	GArray *seeds;
	unsigned voters;
	struct quota_tolerance quota;
	unsigned max_watchers;
	unsigned max_roster;
	unsigned max_sightings;
	unsigned max_reports;
	size_t max_channel_bytes;
	const struct store_file_ops *file_ops;
	void *file_data;
};

enum promotion_result {
	PROMOTION_DONE,
	/** a request with a newer token came first, or the upstream is down */
	PROMOTION_REFUSED,
	/** no answer: the promotion may still take effect */
	PROMOTION_OUTCOME_UNKNOWN,
};

struct control_node;

/**
 * struct control_ops - callbacks that the platform provides
 * @promote: start to promote upstream @id to primary of @service; @token is
 *           the fencing token, higher than those of all earlier requests. The
 *           result goes to control_promotion_answered()
 * @has_service: whether the configuration in @document has @service
 * @sync_replicas: number of replicas that must hold a commit before it is
 *                 acknowledged, according to the configuration in @document
 * @account_limit: limit of a client account, operations per second and at once;
 *                 may be NULL. Return: false if it has none
 */
struct control_ops {
	void (*promote)(const char *service, const char *id, uint64_t token,
			void *data);
	bool (*has_service)(GBytes *document, const char *service, void *data);
	unsigned (*sync_replicas)(GBytes *document, const char *service,
				  void *data);
	bool (*account_limit)(GBytes *document, const char *account,
			      double *rate_per_s, double *burst, void *data);
};

enum config_put_outcome {
	/** committed, or not newer than the committed version */
	CONFIG_ACCEPTED,
	/** this VM is not the leader */
	CONFIG_NOT_LEADER,
	/** no leader is known, or the proposal may still be committed */
	CONFIG_OUTCOME_UNKNOWN,
};

typedef void (*config_put_callback)(enum config_put_outcome outcome,
				    void *data);

struct control_node *control_node_new(struct ev_loop *loop,
				      struct timer_service *timers,
				      const struct control_config *config,
				      const struct control_ops *ops, void *data,
				      GError **error);
void control_node_free(struct control_node *node);

/** control_add_seeds() - add addresses of possible control VMs as peers */
void control_add_seeds(struct control_node *node, const GArray *seeds);

/**
 * control_add_announcement() - an upstream sent an announcement to this VM
 * Return: false if it is a further upstream and there are too many
 *
 * One that moves a known upstream to another service is ignored: it comes from
 * another writer.
 */
bool control_add_announcement(struct control_node *node,
			      const struct sighting *upstream);

/** control_sightings() - the latest announcement of each upstream */
const struct sightings *control_sightings(const struct control_node *node);

/**
 * control_promotion_answered() - report the result of a promotion request
 * @token: fencing token of the request
 */
void control_promotion_answered(struct control_node *node, const char *service,
				const char *id, uint64_t token,
				enum promotion_result result);

/**
 * control_config_put() - propose a validated configuration to the group
 * @done: called exactly once, possibly before this function returns, unless
 *        control_config_put_cancel() is called first
 */
void control_config_put(struct control_node *node, uint64_t version,
			GBytes *document, config_put_callback done, void *data);
/** control_config_put_cancel() - drop the put whose callback has this @data */
void control_config_put_cancel(struct control_node *node, void *data);

/**
 * control_config_get() - read the newest committed configuration
 * @version: version that this VM holds, 0 if there is none
 * @is_newest: whether this VM is the leader with a valid lease, so that the
 *        configuration is known to be the newest
 * Return: NULL unless *@is_newest, and if there is no configuration
 */
GBytes *control_config_get(struct control_node *node, uint64_t *version,
			   bool *is_newest);

/**
 * control_leader_ip() - address of the leader
 * Return: 0 if it is unknown or this VM itself, or after control_stop()
 */
uint32_t control_leader_ip(const struct control_node *node);

/**
 * control_stop() - accept no more configurations and start no more promotions,
 *                  and ask for another VM to take this one's place in the group
 * Return: whether a configuration still waits for a majority, or another VM is
 *         about to take the place
 */
bool control_stop(struct control_node *node);

void control_print_counters(struct control_node *node, GString *out);

#endif
