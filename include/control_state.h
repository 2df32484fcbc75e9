#ifndef CONTROL_STATE_H
#define CONTROL_STATE_H

#include "messages.pb-c.h"
#include "position.h"
#include "tables.h"

/**
 * DOC: The agreed state: a deterministic function of the agreed log.
 */

#define CONTROL_AUDIT_MAX 10000
#define CONTROL_VERDICTS_MAX 4096

struct control_member {
	char *daemon;
	char *availability_zone;
	char *bus_address;
};

/**
 * struct control_cluster - one replication group as agreed
 * @step: last recorded step of the fail-over, Wire FailoverStep
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
 * struct control_state - what all control VMs agree on
 * @members: struct control_member, in order of registration
 * @clusters: struct control_cluster, in order of first sight
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
 * @verdict: for a tables change: the verdict, also of a resend; may be NULL;
 *           owned by the state
 *
 * A request identity that was seen returns its first verdict and changes
 * nothing. An entry that does not decode, or a fail-over step that does not
 * follow from the recorded one, changes nothing. A recorded fence is never
 * taken back, since daemons may have confirmed it. A base version that is not the current one is a conflict. Tables
 * that do not pass tables_parse() are refused. All three are audited.
 */
void control_state_apply(struct control_state *state, const uint8_t *bytes,
			 size_t len, const Wire__ApplyVerdict **verdict);

/** control_state_verdict() - verdict of a request seen before, or NULL */
const Wire__ApplyVerdict *
control_state_verdict(const struct control_state *state,
		      const char *request_id);

uint8_t *control_state_pack(const struct control_state *state, size_t *len);
bool control_state_unpack(struct control_state *state, const uint8_t *bytes,
			  size_t len, GError **error);

struct control_cluster *control_state_cluster(const struct control_state *state,
					      const char *service,
					      const char *cluster);
/** control_state_member() - NULL if the daemon is no member */
const struct control_member *
control_state_member(const struct control_state *state, const char *daemon);
/** control_state_share() - recorded share, 0 connections if none */
void control_state_share(const struct control_state *state, const char *daemon,
			 const char *upstream, unsigned *connections,
			 unsigned *target);
/** control_state_share_sum() - all daemons' shares of one upstream */
unsigned control_state_share_sum(const struct control_state *state,
				 const char *upstream);

#endif
