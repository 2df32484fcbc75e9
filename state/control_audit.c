#include "control_internal.h"

#include <string.h>

#define AUDIT_ACCEPTED "accepted"

void control_audit_free(void *record)
{
	wire__audit_record__free_unpacked(record, NULL);
}

void control_verdict_free(void *verdict)
{
	wire__apply_verdict__free_unpacked(verdict, NULL);
}

static bool made_current_tables(const struct control_state *state,
				const Wire__AuditRecord *record)
{
	return record->version == state->tables.version &&
	       !strcmp(record->verdict, AUDIT_ACCEPTED);
}

/* Keeps the record of the current tables: a conflict reports its operator. */
static void trim_audit(struct control_state *state)
{
	GList *oldest = state->audit->head;

	if (state->audit->length <= CONTROL_AUDIT_MAX)
		return;
	if (made_current_tables(state, oldest->data))
		oldest = oldest->next;
	control_audit_free(oldest->data);
	g_queue_delete_link(state->audit, oldest);
}

void control_audit_add(struct control_state *state, const char *operator_name,
		       const char *request_id, uint64_t base_version,
		       const char *verdict, const char *detail, uint64_t time_s)
{
	Wire__AuditRecord *record = g_new(Wire__AuditRecord, 1);

	wire__audit_record__init(record);
	record->version = state->tables.version;
	record->base_version = base_version;
	record->operator_name = g_strdup(operator_name);
	record->request_id = g_strdup(request_id);
	record->verdict = g_strdup(verdict);
	record->detail = g_strdup(detail);
	record->time_s = time_s;
	g_queue_push_tail(state->audit, record);
	trim_audit(state);
}

const Wire__AuditRecord *
control_audit_current_change(const struct control_state *state)
{
	GList *link;

	for (link = state->audit->tail; link; link = link->prev)
		if (made_current_tables(state, link->data))
			return link->data;
	return NULL;
}

void control_verdict_insert(struct control_state *state,
			    Wire__ApplyVerdict *verdict)
{
	char *oldest;

	if (g_hash_table_contains(state->verdicts, verdict->request_id)) {
		control_verdict_free(verdict);
		return;
	}
	g_hash_table_insert(state->verdicts, verdict->request_id, verdict);
	g_queue_push_tail(state->verdict_order, verdict->request_id);
	if (state->verdict_order->length <= CONTROL_VERDICTS_MAX)
		return;
	oldest = g_queue_pop_head(state->verdict_order);
	g_hash_table_remove(state->verdicts, oldest);
}

const Wire__ApplyVerdict *
control_verdict_add(struct control_state *state, const char *request_id,
		    Wire__ApplyVerdict__Verdict verdict, const char *winner,
		    const char *message)
{
	Wire__ApplyVerdict *v = g_new(Wire__ApplyVerdict, 1);

	wire__apply_verdict__init(v);
	v->request_id = g_strdup(request_id);
	v->verdict = verdict;
	v->version = state->tables.version;
	v->winner = g_strdup(winner);
	v->message = g_strdup(message);
	control_verdict_insert(state, v);
	return v;
}

const Wire__ApplyVerdict *
control_state_verdict(const struct control_state *state, const char *request_id)
{
	return g_hash_table_lookup(state->verdicts, request_id);
}
