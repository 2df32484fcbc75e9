#ifndef CONTROL_INTERNAL_H
#define CONTROL_INTERNAL_H

#include "control_state.h"

/* Functions shared by the files that implement control_state.h. */

void control_member_free(void *member);
void control_cluster_free(void *cluster);
struct control_cluster *control_cluster_new(const char *service,
					    const char *name);
struct control_member *control_member_new(const Wire__Member *wire);

/** control_share_set() - set a daemon's share; zeros remove it */
void control_share_set(struct control_state *state, const char *daemon,
		       const char *upstream, unsigned connections,
		       unsigned target);

/** control_audit_add() - append a record; at the limit remove the oldest */
void control_audit_add(struct control_state *state, const char *operator_name,
		       const char *request_id, uint64_t base_version,
		       const char *verdict, const char *detail,
		       uint64_t time_s);

/** control_audit_current_change() - record of the current tables */
const Wire__AuditRecord *
control_audit_current_change(const struct control_state *state);

/** control_verdict_add() - store a verdict; at the limit remove the oldest */
const Wire__ApplyVerdict *
control_verdict_add(struct control_state *state, const char *request_id,
		    Wire__ApplyVerdict__Verdict verdict, const char *winner,
		    const char *message);
/** control_verdict_insert() - as control_verdict_add(); takes @verdict over */
void control_verdict_insert(struct control_state *state,
			    Wire__ApplyVerdict *verdict);

void control_audit_free(void *record);
void control_verdict_free(void *verdict);

#endif
