#include "control_core.h"
#include "log.h"

#include <inttypes.h>
#include <string.h>

/* Waiting time after which a request is dropped; the tool asks again. */
#define REQUEST_WAIT_US 2000000ll
#define WAITERS_MAX 256

bool control_propose(struct control *c, const Wire__LogEntry *entry,
		     uint64_t *index, GError **error)
{
	size_t len = wire__log_entry__get_packed_size(entry);
	g_autofree uint8_t *bytes = g_malloc(len);

	wire__log_entry__pack(entry, bytes);
	return raft_propose(c->raft, bytes, len, index, error);
}

void control_waiter_free(void *data)
{
	struct control_waiter *w = data;

	g_free(w->request_id);
	g_free(w);
}

static void answer(struct control *c, const struct bus_return_path *to,
		   Wire__ApplyVerdict *verdict)
{
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;

	envelope.body_case = WIRE__ENVELOPE__BODY_APPLY_VERDICT;
	envelope.apply_verdict = verdict;
	bus_reply(c->bus, to, &envelope);
}

static void answer_verdict(struct control *c, const struct bus_return_path *to,
			   const Wire__ApplyVerdict *verdict)
{
	struct control_facts facts = control_facts(c);
	Wire__ApplyVerdict copy = *verdict;

	copy.in_force =
		verdict->verdict == WIRE__APPLY_VERDICT__VERDICT__ACCEPTED &&
		control_view_in_force(&facts, verdict->version,
				      c->settings->stale_tables_limit_us);
	answer(c, to, &copy);
}

static void answer_not_leader(struct control *c,
			      const struct bus_return_path *to,
			      const Wire__ApplyRequest *request)
{
	Wire__ApplyVerdict verdict = WIRE__APPLY_VERDICT__INIT;

	verdict.request_id = request->request_id;
	verdict.verdict = WIRE__APPLY_VERDICT__VERDICT__NOT_LEADER;
	verdict.leader = raft_leader(c->raft);
	verdict.leader_address = (char *)control_leader_address(c);
	verdict.message = "this control VM does not lead; ask the leader";
	answer(c, to, &verdict);
}

static bool is_awaited(const struct control *c, const char *request_id)
{
	guint i;

	for (i = 0; i < c->waiters->len; i++)
		if (!strcmp(((struct control_waiter *)c->waiters->pdata[i])
				    ->request_id,
			    request_id))
			return true;
	return false;
}

static bool propose_tables(struct control *c, const Wire__ApplyRequest *request,
			   GError **error)
{
	Wire__LogEntry entry = WIRE__LOG_ENTRY__INIT;
	Wire__TablesChange change = WIRE__TABLES_CHANGE__INIT;

	change.request_id = request->request_id;
	change.base_version = request->base_version;
	change.routes = request->routes;
	change.pools = request->pools;
	change.operator_name = request->operator_name;
	change.time_s = (uint64_t)g_get_real_time() / G_USEC_PER_SEC;
	entry.body_case = WIRE__LOG_ENTRY__BODY_TABLES;
	entry.tables = &change;
	return control_propose(c, &entry, NULL, error);
}

/* Refused before it is in the log; a resend is refused for the same reason. */
static void refuse_large(struct control *c, const struct bus_return_path *from,
			 const Wire__ApplyRequest *request)
{
	Wire__ApplyVerdict verdict = WIRE__APPLY_VERDICT__INIT;

	verdict.request_id = request->request_id;
	verdict.verdict = WIRE__APPLY_VERDICT__VERDICT__REFUSED;
	verdict.version = c->state.tables.version;
	verdict.message = "both tables together are larger than a log entry "
			  "may be; split the service or shorten them";
	answer(c, from, &verdict);
}

void control_apply_request(struct control *c,
			   const struct bus_return_path *from,
			   const Wire__ApplyRequest *request)
{
	const Wire__ApplyVerdict *seen =
		control_state_verdict(&c->state, request->request_id);
	struct control_waiter *w;
	GError *error = NULL;

	if (seen) {
		answer_verdict(c, from, seen);
		return;
	}
	if (wire__apply_request__get_packed_size(request) + 32 >
	    RAFT_ENTRY_MAX_BYTES) {
		refuse_large(c, from, request);
		return;
	}
	if (c->waiters->len >= WAITERS_MAX)
		return;
	if (!is_awaited(c, request->request_id) &&
	    !propose_tables(c, request, &error)) {
		log_warning("change %s is not proposed: %s",
			    request->request_id, error->message);
		g_error_free(error);
		answer_not_leader(c, from, request);
		return;
	}
	w = g_new(struct control_waiter, 1);
	w->from = *from;
	w->request_id = g_strdup(request->request_id);
	g_ptr_array_add(c->waiters, w);
}

static void answer_waiters(struct control *c, const Wire__ApplyVerdict *verdict)
{
	guint i = 0;

	while (i < c->waiters->len) {
		struct control_waiter *w = c->waiters->pdata[i];

		if (strcmp(w->request_id, verdict->request_id)) {
			i++;
			continue;
		}
		answer_verdict(c, &w->from, verdict);
		g_ptr_array_remove_index_fast(c->waiters, i);
	}
}

static void after_apply(struct control *c, const struct raft_entry *entry,
			const Wire__ApplyVerdict *verdict)
{
	Wire__LogEntry *e =
		wire__log_entry__unpack(NULL, entry->len, entry->data);

	if (!e)
		return;
	if (e->body_case == WIRE__LOG_ENTRY__BODY_FAILOVER)
		control_failover_applied(c, e->failover);
	if (e->body_case == WIRE__LOG_ENTRY__BODY_CLUSTER_FOUND)
		control_failover_found(c, e->cluster_found);
	if (verdict) {
		control_push_tables(c);
		answer_waiters(c, verdict);
	}
	wire__log_entry__free_unpacked(e, NULL);
}

void control_applied(struct control *c, const struct raft_entry *entry)
{
	const Wire__ApplyVerdict *verdict = NULL;
	uint64_t version = c->state.tables.version;

	if (entry->kind == RAFT_ENTRY_DATA)
		control_state_apply(&c->state, entry->data, entry->len,
				    &verdict);
	if (c->state.tables.version != version)
		log_notice("tables version %" PRIu64 " is accepted",
			   c->state.tables.version);
	if (c->lead_term && entry->term == c->lead_term &&
	    raft_is_leader(c->raft))
		c->ready = true;
	if (c->ready && entry->kind == RAFT_ENTRY_DATA)
		after_apply(c, entry, verdict);
}

static void serve(struct control *c, const struct bus_return_path *from,
		  const Wire__Envelope *envelope)
{
	if (envelope->body_case == WIRE__ENVELOPE__BODY_APPLY_REQUEST)
		control_apply_request(c, from, envelope->apply_request);
	else
		control_query(c, from, envelope->query);
}

/* A founding group may be completed by an operator, but promises nothing. */
static bool may_serve(const struct control *c, const Wire__Envelope *envelope)
{
	if (envelope->body_case == WIRE__ENVELOPE__BODY_QUERY)
		return control_leads(c);
	return control_confirmed(c);
}

static void request_free(struct control_request *r)
{
	wire__envelope__free_unpacked(r->envelope, NULL);
	g_free(r);
}

static void defer(struct control *c, const struct bus_return_path *from,
		  const Wire__Envelope *envelope)
{
	size_t len = wire__envelope__get_packed_size(envelope);
	g_autofree uint8_t *bytes = g_malloc(len);
	struct control_request *r;

	if (g_queue_get_length(&c->requests) >= CONTROL_WAITING_MAX)
		return;
	r = g_new(struct control_request, 1);
	r->from = *from;
	r->received_us = control_now();
	wire__envelope__pack(envelope, bytes);
	r->envelope = wire__envelope__unpack(NULL, len, bytes);
	g_queue_push_tail(&c->requests, r);
}

static void refuse(struct control *c, const struct bus_return_path *from,
		   const Wire__Envelope *envelope)
{
	if (envelope->body_case == WIRE__ENVELOPE__BODY_APPLY_REQUEST)
		answer_not_leader(c, from, envelope->apply_request);
	else
		control_redirect(c, from);
}

void control_request(struct control *c, const struct bus_return_path *from,
		     const Wire__Envelope *envelope)
{
	if (!raft_is_leader(c->raft))
		refuse(c, from, envelope);
	else if (may_serve(c, envelope))
		serve(c, from, envelope);
	else
		defer(c, from, envelope);
}

void control_requests_run(struct control *c)
{
	int64_t now_us = control_now();
	guint nr = g_queue_get_length(&c->requests);

	while (nr-- > 0) {
		struct control_request *r = g_queue_pop_head(&c->requests);

		if (!raft_is_leader(c->raft)) {
			refuse(c, &r->from, r->envelope);
		} else if (may_serve(c, r->envelope)) {
			serve(c, &r->from, r->envelope);
		} else if (now_us - r->received_us < REQUEST_WAIT_US) {
			g_queue_push_tail(&c->requests, r);
			continue;
		}
		request_free(r);
	}
}

void control_requests_drop(struct control *c)
{
	struct control_request *r;

	while ((r = g_queue_pop_head(&c->requests)))
		request_free(r);
}
