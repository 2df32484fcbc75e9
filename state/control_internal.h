#ifndef CONTROL_INTERNAL_H
#define CONTROL_INTERNAL_H

#include "control_state.h"

/* Members of the agreed state that its three files share. */

void control_member_free(void *member);
void control_cluster_free(void *cluster);
struct control_cluster *control_cluster_new(const char *service,
					    const char *name);
struct control_member *control_member_new(const Wire__Member *wire);

void control_share_assign(struct control_state *state, const char *daemon,
			  const char *upstream, unsigned connections,
			  unsigned target);

/** control_audit_add() - append a record; the oldest goes at the bound */
void control_audit_add(struct control_state *state, const char *operator_name,
		       const char *request_id, uint64_t base_version,
		       const char *verdict, const char *detail,
		       uint64_t time_s);

/** control_audit_winner() - who made the tables that are in force */
const Wire__AuditRecord *
control_audit_winner(const struct control_state *state);

/** control_verdict_add() - remember a verdict; the oldest goes at the bound */
const Wire__ApplyVerdict *
control_verdict_add(struct control_state *state, const char *request_id,
		    Wire__ApplyVerdict__Verdict verdict, const char *winner,
		    const char *message);
void control_verdict_insert(struct control_state *state,
			    Wire__ApplyVerdict *verdict);

void control_audit_free(void *record);
void control_verdict_free(void *verdict);

#endif
