#ifndef CONTROL_STATE_H
#define CONTROL_STATE_H

#include "messages.pb-c.h"
#include "position.h"
#include "tables.h"

/**
 * DOC: Replicated state of the control group, a deterministic function of the
 * committed log.
 */

/** Maximum number of audit records. */
#define CONTROL_AUDIT_MAX 10000
/** Maximum number of request identities whose verdict is remembered. */
#define CONTROL_VERDICTS_MAX 4096

/** struct control_member - one registered daemon */
struct control_member {
	char *daemon;
	char *availability_zone;
	char *bus_address;
};

/**
 * struct control_cluster - recorded state of one replication group
 * @primary: upstream name of the primary
 * @term: term of @primary
 * @history: ends of the earlier terms
 * @step: last recorded step of the fail-over, a Wire__FailoverStep__Step
 * @old_term: term that the fail-over ends
 * @candidate: upstream that the fail-over promotes, "" if none
 */
struct control_cluster {
	char *service;
	char *name;
	char *primary;
	uint32_t term;
	struct term_history history;
	int step;
	uint32_t old_term;
	char *candidate;
};

/**
 * struct control_state - state replicated to all control VMs
 * @members_version: incremented by every change of @members
 * @members: struct control_member, in order of registration
 * @clusters: struct control_cluster, in order of discovery
 * @shares: upstream name to GHashTable of daemon name to Wire__ShareChange
 * @audit: Wire__AuditRecord, oldest first
 * @verdicts: request identity to Wire__ApplyVerdict
 * @verdict_order: request identities, oldest first, owned by @verdicts
 */
struct control_state {
	struct tables tables;
	uint64_t members_version;
	GPtrArray *members;
	GPtrArray *clusters;
	GHashTable *shares;
	GQueue *audit;
	GHashTable *verdicts;
	GQueue *verdict_order;
};

void control_state_init(struct control_state *state);
void control_state_finish(struct control_state *state);

/**
 * control_state_apply() - apply one committed entry
 * @verdict: receives the verdict on a tables change, NULL for other entries;
 *           owned by the state; may be NULL
 *
 * A repeated request identity returns the first verdict and changes nothing. An
 * entry that cannot be decoded, or a fail-over step that may not follow the
 * recorded one, changes nothing. A recorded fencing step is never withdrawn,
 * since daemons may have confirmed it.
 *
 * A tables change whose base version is not the current one is a conflict. One
 * whose tables do not pass tables_parse() is refused. Accepted, conflicting and
 * refused changes are all audited.
 */
void control_state_apply(struct control_state *state, const uint8_t *bytes,
			 size_t len, const Wire__ApplyVerdict **verdict);

/** control_state_verdict() - verdict on an earlier request, NULL if unknown */
const Wire__ApplyVerdict *
control_state_verdict(const struct control_state *state,
		      const char *request_id);

/** control_state_pack() - serialise the state; free the result with g_free() */
uint8_t *control_state_pack(const struct control_state *state, size_t *len);
/** control_state_unpack() - replace @state; left unchanged on error */
bool control_state_unpack(struct control_state *state, const uint8_t *bytes,
			  size_t len, GError **error);

/** control_state_cluster() - find a cluster; NULL if not recorded */
struct control_cluster *control_state_cluster(const struct control_state *state,
					      const char *service,
					      const char *cluster);
/** control_state_member() - find a member; NULL if not registered */
const struct control_member *
control_state_member(const struct control_state *state, const char *daemon);
/** control_state_share() - a daemon's share of an upstream, zeros if none */
void control_state_share(const struct control_state *state, const char *daemon,
			 const char *upstream, unsigned *connections,
			 unsigned *target);
/** control_state_share_sum() - total connections of all daemons' shares */
unsigned control_state_share_sum(const struct control_state *state,
				 const char *upstream);

#endif
