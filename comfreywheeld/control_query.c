#include "control_core.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

/* Room in a frame for what surrounds the JSON text, bytes. */
#define FRAME_HEAD 1024u
/* Newest records of the audit trail in one answer; they fit a frame. */
#define AUDIT_RECORDS 500u

static const char *step_name(int step)
{
	switch (step) {
	case WIRE__FAILOVER_STEP__STEP__FENCING:
		return "fencing";
	case WIRE__FAILOVER_STEP__STEP__PROMOTING:
		return "promoting";
	case WIRE__FAILOVER_STEP__STEP__DONE:
		return "done";
	case WIRE__FAILOVER_STEP__STEP__ABANDONED:
		return "abandoned";
	default:
		return "none";
	}
}

static const char *address_of(struct control *c, uint64_t id)
{
	const struct control_link *link = control_link(c, id);

	if (id == c->settings->control_id)
		return c->settings->control_listen;
	return link ? link->address : "";
}

static json_t *control_vm_json(struct control *c, const struct raft_member *m)
{
	uint64_t commit = raft_commit_index(c->raft);
	uint64_t match = raft_match_index(c->raft, m->id);
	int64_t heard_us = raft_last_reply_us(c->raft, m->id);
	json_t *json = json_pack(
		"{s:I, s:s, s:s, s:I, s:I}", "id", (json_int_t)m->id, "address",
		address_of(c, m->id), "role", m->voter ? "voter" : "learner",
		"match", (json_int_t)match, "behind",
		(json_int_t)(commit > match ? commit - match : 0));

	/* What a silent VM was known to hold may be lost by now. */
	if (heard_us >= 0)
		json_object_set_new(
			json, "silent_ms",
			json_integer((control_now() - heard_us) / 1000));
	return json;
}

static json_t *control_json(struct control *c)
{
	const struct raft_members *members = raft_current_members(c->raft);
	json_t *array = json_array();
	unsigned i;

	for (i = 0; i < members->nr; i++)
		json_array_append_new(array,
				      control_vm_json(c, &members->member[i]));
	return array;
}

static json_t *daemon_json(struct control *c, const struct control_member *m)
{
	const struct control_daemon *d =
		g_hash_table_lookup(c->daemons, m->daemon);
	int64_t now_us = control_now();
	bool live = lease_table_is_live(&c->leases, m->daemon, now_us);
	json_t *json = json_pack("{s:s, s:s, s:s, s:b}", "daemon", m->daemon,
				 "availability_zone", m->availability_zone,
				 "bus_address", m->bus_address, "live",
				 (int)live);

	if (!d || !d->last)
		return json;
	json_object_set_new(json, "tables_version",
			    json_integer((json_int_t)d->last->tables_version));
	json_object_set_new(json, "draining", json_boolean(d->last->draining));
	json_object_set_new(json, "silent_ms",
			    json_integer((now_us - d->received_us) / 1000));
	return json;
}

static json_t *daemons_json(struct control *c)
{
	json_t *array = json_array();
	guint i;

	for (i = 0; i < c->state.members->len; i++)
		json_array_append_new(
			array, daemon_json(c, c->state.members->pdata[i]));
	return array;
}

static const char *blocked(const struct control *c,
			   const struct control_cluster *cl)
{
	guint i;

	for (i = 0; i < c->runs->len; i++) {
		const struct control_run *run = c->runs->pdata[i];

		if (!strcmp(run->cluster, cl->name) &&
		    !strcmp(run->service, cl->service) && run->fo.blocked)
			return run->fo.blocked;
	}
	return "";
}

static json_t *clusters_json(struct control *c)
{
	json_t *array = json_array();
	guint i;

	for (i = 0; i < c->state.clusters->len; i++) {
		const struct control_cluster *cl = c->state.clusters->pdata[i];

		json_array_append_new(
			array,
			json_pack("{s:s, s:s, s:s, s:I, s:s, s:s, s:s}",
				  "service", cl->service, "cluster", cl->name,
				  "primary", cl->primary, "term",
				  (json_int_t)cl->term, "failover",
				  step_name(cl->step), "candidate",
				  cl->candidate ? cl->candidate : "", "blocked",
				  blocked(c, cl)));
	}
	return array;
}

static json_t *status(struct control *c)
{
	struct control_facts facts = control_facts(c);
	uint64_t version = c->state.tables.version;

	return json_pack(
		"{s:I, s:I, s:I, s:I, s:I, s:b, s:I, s:o, s:o, s:o}", "leader",
		(json_int_t)c->settings->control_id, "raft_term",
		(json_int_t)raft_term(c->raft), "commit",
		(json_int_t)raft_commit_index(c->raft), "applied",
		(json_int_t)raft_applied_index(c->raft), "tables_version",
		(json_int_t)version, "in_force",
		(int)control_view_in_force(&facts, version,
					   c->settings->stale_tables_limit_us),
		"members_version", (json_int_t)c->state.members_version,
		"control", control_json(c), "daemons", daemons_json(c),
		"clusters", clusters_json(c));
}

static json_t *members(struct control *c)
{
	return json_pack("{s:I, s:o, s:o}", "version",
			 (json_int_t)c->state.members_version, "control",
			 control_json(c), "daemons", daemons_json(c));
}

static json_t *record_json(const Wire__AuditRecord *r)
{
	return json_pack("{s:I, s:I, s:I, s:s, s:s, s:s, s:s}", "time_s",
			 (json_int_t)r->time_s, "version",
			 (json_int_t)r->version, "base_version",
			 (json_int_t)r->base_version, "operator",
			 r->operator_name, "request_id", r->request_id,
			 "verdict", r->verdict, "detail", r->detail);
}

static json_t *audit(struct control *c)
{
	guint len = g_queue_get_length(c->state.audit);
	guint i = len > AUDIT_RECORDS ? len - AUDIT_RECORDS : 0;
	const GList *at = g_queue_peek_nth_link(c->state.audit, i);
	json_t *array = json_array();

	for (; at; at = at->next)
		json_array_append_new(array, record_json(at->data));
	return json_pack("{s:I, s:o}", "records_kept", (json_int_t)len,
			 "newest", array);
}

static char *tables_text(struct control *c)
{
	GString *out = g_string_new(NULL);

	tables_print_json(&c->state.tables, out);
	return g_string_free(out, FALSE);
}

/* Takes ownership of @json. */
static char *text_of(json_t *json)
{
	char *text = json ? json_dumps(json, JSON_COMPACT) : NULL;
	char *copy = g_strdup(text);

	json_decref(json);
	free(text);
	return copy;
}

static const struct command {
	const char *name;
	json_t *(*run)(struct control *c);
} commands[] = {
	{ "status", status },
	{ "audit", audit },
	{ "members", members },
};

static char *run_query(struct control *c, const Wire__Query *query,
		       GError **error)
{
	size_t i;

	if (!strcmp(query->command, "tables"))
		return tables_text(c);
	if (g_str_has_prefix(query->command, "member-")) {
		if (!control_member_command(c, query, error))
			return NULL;
		return text_of(json_pack("{s:s}", "proposed", query->command));
	}
	for (i = 0; i < G_N_ELEMENTS(commands); i++)
		if (!strcmp(query->command, commands[i].name))
			return text_of(commands[i].run(c));
	return NULL;
}

void control_query(struct control *c, const struct bus_return_path *from,
		   const Wire__Query *query)
{
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__QueryReply reply = WIRE__QUERY_REPLY__INIT;
	g_autoptr(GError) error = NULL;
	g_autofree char *text = run_query(c, query, &error);

	if (text && strlen(text) + FRAME_HEAD <= BUS_FRAME_MAX) {
		reply.json = text;
	} else {
		reply.failed = true;
		reply.error = error ? error->message :
			      text  ? "the answer is larger than a frame; ask "
				      "for less" :
				      "a control VM does not know this command; "
				      "ask a daemon or use the version of the "
				      "tool that came with it";
	}
	envelope.body_case = WIRE__ENVELOPE__BODY_QUERY_REPLY;
	envelope.query_reply = &reply;
	bus_reply(c->bus, from, &envelope);
}
