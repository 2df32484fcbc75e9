#include "internal.h"

#include "clock.h"
#include "event_log.h"

#include <jansson.h>

static const struct prepared *prepared_of(const struct session *s)
{
	if (s->statement.verb != STATEMENT_EXECUTE)
		return NULL;
	return g_hash_table_lookup(s->prepared, s->statement.name);
}

static void fill_values(const struct session *s, Wire__RelayRequest *out)
{
	const char *name, *value;
	GHashTableIter it;

	out->values =
		g_new(Wire__SessionValue *, g_hash_table_size(s->values) + 1);
	g_hash_table_iter_init(&it, s->values);
	while (g_hash_table_iter_next(&it, (void **)&name, (void **)&value)) {
		Wire__SessionValue *item = g_new(Wire__SessionValue, 1);

		wire__session_value__init(item);
		item->name = (char *)name;
		item->value = (char *)value;
		out->values[out->n_values++] = item;
	}
}

static uint64_t age(int64_t at_us, int64_t now_us)
{
	return (uint64_t)MAX(now_us - at_us, 0);
}

static void fill_request(const struct session *s, Wire__RelayRequest *out,
			 Wire__Position *own)
{
	const struct prepared *p = prepared_of(s);
	const struct statement *st = &s->statement;
	int64_t now_us = clock_now_us();

	out->session = s->number;
	out->service = s->route->service;
	out->account = (char *)(s->account ? s->account : "");
	out->rule = s->route->rule;
	out->statement_us = (uint64_t)s->route->statement_us;
	out->target_us = (uint64_t)s->route->target_us;
	out->staleness_us = (uint64_t)s->route->staleness_us;
	out->priority = s->route->priority;
	out->arrived_age_us = age(s->arrived_us, now_us);
	out->asked_age_us = age(s->asked_us, now_us);
	out->transaction_age_us = age(s->tx_begun_us, now_us);
	out->transaction = s->tx;
	out->plain = s->tx_may_write;
	out->begun = s->tx == TX_OPEN && s->home;
	own->term = s->own.position.term;
	own->lsn = s->own.position.lsn;
	out->own = own;
	out->own_age_us = age(s->own.at_us, now_us);
	out->verb = st->verb;
	out->id = (char *)st->id;
	out->text = (char *)st->text;
	fill_values(s, out);
	if (!p)
		return;
	out->name = p->alias;
	out->shape = p->shape;
	out->writes = p->writes;
	out->arguments = (char *)st->value;
}

void relay_start(struct session *s, struct home_link *home)
{
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__RelayRequest request = WIRE__RELAY_REQUEST__INIT;
	Wire__Position own = WIRE__POSITION__INIT;
	size_t i;

	fill_request(s, &request, &own);
	s->phase = REQUEST_RELAYED;
	s->home = home;
	g_hash_table_insert(home->sessions, &s->number, s);
	envelope.body_case = WIRE__ENVELOPE__BODY_RELAY_REQUEST;
	envelope.relay_request = &request;
	channel_send(&home->channel, &envelope);
	entry_count(s->entry, ENTRY_COUNT_RELAYED, 1);
	for (i = 0; i < request.n_values; i++)
		g_free(request.values[i]);
	g_free(request.values);
}

static void detach_from_home(struct session *s)
{
	g_hash_table_remove(s->home->sessions, &s->number);
	s->home = NULL;
}

void relay_end(struct session *s)
{
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__RelayEnd end = WIRE__RELAY_END__INIT;
	struct home_link *home = s->home;

	if (!home)
		return;
	detach_from_home(s);
	end.session = s->number;
	/* An answer that is on its way must not match a later statement. */
	s->number = ++s->entry->last_session_number;
	envelope.body_case = WIRE__ENVELOPE__BODY_RELAY_END;
	envelope.relay_end = &end;
	channel_send(&home->channel, &envelope);
}

static void retry_elsewhere(struct session *s, struct home_link *home)
{
	home_note_declined(home, s->service->name);
	detach_from_home(s);
	if (s->tx == TX_OPEN && s->tx_answered) {
		request_link_lost(s);
		return;
	}
	request_retry(s, REFUSAL_BUSY);
}

static void note_success(struct session *s,
			 const struct statement_answer *answer)
{
	bool commit = s->statement.verb == STATEMENT_COMMIT;
	bool write = request_is_write(s);

	if (s->tx == TX_OPEN) {
		s->tx_answered = true;
		s->tx_wrote = s->tx_wrote || write;
	}
	if ((commit && s->tx_wrote) || (write && s->tx == TX_NONE))
		request_note_commit(s, answer);
}

void relay_answered(struct home_link *home, const Wire__RelayAnswer *in)
{
	struct session *s = g_hash_table_lookup(home->sessions, &in->session);
	struct statement_answer answer = { 0 };
	enum transaction tx = in->transaction;

	/* The request has timed out, or the caller has disconnected. */
	if (!s || s->phase != REQUEST_RELAYED)
		return;
	if (in->elsewhere) {
		retry_elsewhere(s, home);
		return;
	}
	answer.refusal = MIN(in->refusal, REFUSAL_NR - 1);
	answer.detail = in->detail;
	if (in->result.len) {
		answer.result = in->result.data;
		answer.len = in->result.len;
	}
	if (in->position)
		answer.position = (struct position){ in->position->term,
						     in->position->lsn };
	s->last_refusal = answer.refusal;
	if (!answer.refusal)
		note_success(s, &answer);
	if (tx != TX_OPEN)
		detach_from_home(s);
	if (s->tx == TX_OPEN)
		s->tx = tx == TX_NONE ? TX_NONE :
			tx == TX_OPEN ? TX_OPEN :
					TX_FAILED;
	request_complete(s, &answer);
}

/* Losing a home has the same effect on its sessions as losing an upstream. */
void relay_home_lost(struct home_link *home)
{
	GList *sessions = g_hash_table_get_values(home->sessions);
	GList *node;

	if (sessions)
		event_log("home_lost", "{s:I, s:i}", "ip", (json_int_t)home->ip,
			  "sessions", (int)g_hash_table_size(home->sessions));
	g_hash_table_remove_all(home->sessions);
	for (node = sessions; node; node = node->next) {
		struct session *s = node->data;

		s->home = NULL;
		entry_count(home->entry, ENTRY_COUNT_RELAYS_LOST, 1);
		request_link_lost(s);
	}
	g_list_free(sessions);
}
