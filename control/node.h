#ifndef CONTROL_NODE_H
#define CONTROL_NODE_H

#include "channel.h"
#include "config_register.h"
#include "counters.h"
#include "raft.h"
#include "sightings.h"
#include "store.h"
#include "timer_service.h"

/**
 * DOC: A control VM of a group that finds its members by itself.
 *
 * The group agrees on one configuration and its leader appoints primaries.
 * Members are told apart by the identities of group_policy.h; the address of
 * a member follows from its identity, and the port is the same everywhere.
 */

/**
 * struct control_config - start-up values
 * @name: name of the daemon
 * @ip: own IPv4 address, host order
 * @port: port on which control VMs listen for each other and for watchers
 * @folder: data folder
 * @bootstrap: whether the whole system starts for the first time
 * @seeds: IPv4 addresses, host order, uint32_t
 * @voters: members that vote once enough VMs are there
 */
struct control_config {
	const char *name;
	uint32_t ip;
	uint16_t port;
	const char *folder;
	bool bootstrap;
	GArray *seeds;
	unsigned voters;
};

enum promotion_result {
	PROMOTION_DONE,
	/** another control VM has ordered since, or the upstream is down */
	PROMOTION_REFUSED,
	/** no answer: it may still be carried out */
	PROMOTION_UNCLEAR,
};

struct control_node;

/**
 * struct control_ops - what the surroundings do for the node
 * @promote: order @id to lead @service; answered by control_promoted()
 * @sync_replicas: how many replicas hold a commit before its
 *                 acknowledgement, by the configuration in force
 */
struct control_ops {
	void (*promote)(const char *service, const char *id, uint64_t token,
			void *data);
	unsigned (*sync_replicas)(GBytes *document, const char *service,
				  void *data);
};

enum config_outcome {
	/** stored, or older than what is stored */
	CONFIG_ACCEPTED,
	/** ask the leader */
	CONFIG_ELSEWHERE,
	/** unknown whether it will be stored */
	CONFIG_UNCLEAR,
};

typedef void (*config_done)(enum config_outcome outcome, void *data);

struct control_node *control_node_new(struct ev_loop *loop,
				      struct timer_service *timers,
				      const struct control_config *config,
				      const struct control_ops *ops, void *data,
				      GError **error);
void control_node_free(struct control_node *node);

/** control_seeds() - other addresses at which control VMs may be found */
void control_seeds(struct control_node *node, const GArray *seeds);

/** control_sighting() - an upstream announced itself here */
void control_sighting(struct control_node *node, const struct sighting *one);

/** control_sightings() - what is known of all upstreams */
const struct sightings *control_sightings(const struct control_node *node);

/** control_promoted() - result of an order */
void control_promoted(struct control_node *node, const char *service,
		      const char *id, enum promotion_result result);

/**
 * control_config_put() - store a configuration that was checked
 * @done: called once, perhaps at once
 */
void control_config_put(struct control_node *node, uint64_t version,
			GBytes *document, config_done done, void *data);
/** control_config_forget() - the caller of a put went away */
void control_config_forget(struct control_node *node, void *data);

/**
 * control_config_get() - the newest configuration
 * Return: NULL when this VM cannot be sure; *@version is 0 if there is none
 */
GBytes *control_config_get(struct control_node *node, uint64_t *version,
			   bool *sure);

/** control_leader_ip() - address of the leader, 0 if unknown or this VM */
uint32_t control_leader_ip(const struct control_node *node);

/** control_stop() - take no more orders; Return: whether any is pending */
bool control_stop(struct control_node *node);

void control_print_counters(struct control_node *node, GString *out);

#endif
