#include "internal.h"

#include "clock.h"
#include "event_log.h"
#include "net.h"

#include <jansson.h>
#include <string.h>
#include <unistd.h>

/**
 * struct remote_session - a session whose caller is connected to another daemon
 * @number: number of the session at that daemon
 * @route: its route according to that daemon
 * @account: its account according to that daemon, "" for none
 */
struct remote_session {
	struct relay_client *link;
	uint64_t number;
	struct session *session;
	struct entry_route route;
	char *account;
};

static void send_answer(struct relay_client *link, Wire__RelayAnswer *answer)
{
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;

	if (link->closed)
		return;
	envelope.body_case = WIRE__ENVELOPE__BODY_RELAY_ANSWER;
	envelope.relay_answer = answer;
	channel_send(&link->channel, &envelope);
}

static void remote_free(void *data)
{
	struct remote_session *remote = data;

	session_closed(remote->session);
	g_free(remote->route.service);
	g_free(remote->account);
	g_free(remote);
}

static void on_answer(void *handle, const struct statement_answer *in)
{
	static const enum transaction states[] = {
		[SESSION_IDLE] = TX_NONE,
		[SESSION_IN_TRANSACTION] = TX_OPEN,
		[SESSION_FAILED_TRANSACTION] = TX_FAILED,
	};
	struct remote_session *remote = handle;
	Wire__RelayAnswer out = WIRE__RELAY_ANSWER__INIT;
	Wire__Position position = WIRE__POSITION__INIT;

	out.session = remote->number;
	out.refusal = in->refusal;
	out.detail = (char *)(in->detail ? in->detail : "");
	out.result.data = (uint8_t *)in->result;
	out.result.len = in->result ? in->len : 0;
	out.transaction = states[in->state];
	position.term = in->position.term;
	position.lsn = in->position.lsn;
	out.position = &position;
	send_answer(remote->link, &out);
	/* The other daemon owns the session and may send the next statement to
	 * another home. */
	if (out.transaction != TX_OPEN)
		g_hash_table_remove(remote->link->relayed_sessions,
				    &remote->number);
}

/* The other daemon starts and closes the session, so these are no-ops. */
static void on_started(void *handle)
{
}

static void on_refused(void *handle, enum refusal refusal, const char *detail)
{
}

static void on_close(void *handle)
{
}

static void decline_request(struct relay_client *link, uint64_t number)
{
	Wire__RelayAnswer out = WIRE__RELAY_ANSWER__INIT;

	out.session = number;
	out.refusal = REFUSAL_BUSY;
	out.elsewhere = true;
	send_answer(link, &out);
}

static void on_decline(void *handle)
{
	struct remote_session *remote = handle;

	decline_request(remote->link, remote->number);
	g_hash_table_remove(remote->link->relayed_sessions, &remote->number);
}

static const struct caller_ops remote_ops = {
	.started = on_started,
	.refused = on_refused,
	.answer = on_answer,
	.close = on_close,
	.decline = on_decline,
};

static struct remote_session *remote_new(struct relay_client *link,
					 uint64_t number)
{
	struct remote_session *remote = g_new0(struct remote_session, 1);

	remote->link = link;
	remote->number = number;
	remote->session = entry_session_new(link->entry, &remote_ops, remote);
	remote->session->remote_caller = true;
	remote->session->database = g_strdup("");
	g_hash_table_insert(link->relayed_sessions, &remote->number, remote);
	entry_count(link->entry, ENTRY_COUNT_RELAYS_RECEIVED, 1);
	return remote;
}

static void apply_route(struct remote_session *remote,
			const Wire__RelayRequest *in)
{
	struct session *s = remote->session;

	g_free(remote->route.service);
	remote->route = (struct entry_route){
		.service = g_strdup(in->service),
		.rule = MIN(in->rule, READ_BOUNDED),
		.statement_us = (int64_t)in->statement_us,
		.target_us = (int64_t)in->target_us,
		.staleness_us = (int64_t)in->staleness_us,
		.priority = in->priority,
	};
	entry_table_unref(s->table);
	s->table = entry_table_ref(s->entry->table);
	s->route = &remote->route;
	g_free(remote->account);
	remote->account = g_strdup(in->account);
	s->account = *remote->account ? remote->account : NULL;
	s->service = service_get(s->entry, in->service);
}

static void apply_session(struct remote_session *remote,
			  const Wire__RelayRequest *in, int64_t now_us)
{
	struct session *s = remote->session;
	size_t bytes = 0, i;

	g_hash_table_remove_all(s->values);
	g_hash_table_remove_all(s->prepared);
	for (i = 0; i < in->n_values; i++) {
		g_hash_table_replace(s->values, g_strdup(in->values[i]->name),
				     g_strdup(in->values[i]->value));
		bytes += limits_item_bytes(in->values[i]->name,
					   in->values[i]->value);
	}
	session_count_state(s, bytes);
	if (in->own)
		s->own = (struct read_requirement){
			{ in->own->term, in->own->lsn },
			now_us - (int64_t)in->own_age_us
		};
	if (s->tx == TX_NONE && in->transaction == TX_OPEN) {
		s->tx = TX_OPEN;
		s->tx_may_write = in->plain;
		s->tx_answered = false;
		s->tx_wrote = false;
		s->tx_begun_us = now_us - (int64_t)in->transaction_age_us;
	}
}

static void copy_statement(struct session *s, const Wire__RelayRequest *in)
{
	struct statement *st = &s->statement;
	GString *buffer = g_string_new(NULL);
	size_t text_at, name_at, value_at;

	g_string_append_len(buffer, in->id, strlen(in->id) + 1);
	text_at = buffer->len;
	g_string_append_len(buffer, in->text, strlen(in->text) + 1);
	name_at = buffer->len;
	g_string_append_len(buffer, in->name, strlen(in->name) + 1);
	value_at = buffer->len;
	g_string_append_len(buffer, in->arguments, strlen(in->arguments) + 1);
	statement_clear(st);
	st->verb = in->verb;
	st->buffer = g_string_free(buffer, FALSE);
	st->id = st->buffer;
	st->text = st->buffer + text_at;
	st->name = st->buffer + name_at;
	st->value = st->buffer + value_at;
	session_count_statement(s);
	if (st->verb == STATEMENT_EXECUTE)
		session_add_prepared(s, in->name, in->name, in->shape,
				     in->writes);
}

static void answer_aborted(struct relay_client *link,
			   const Wire__RelayRequest *in)
{
	Wire__RelayAnswer out = WIRE__RELAY_ANSWER__INIT;

	out.session = in->session;
	out.refusal = REFUSAL_ABORTED;
	out.detail = "the transaction was aborted";
	out.transaction = in->verb == STATEMENT_COMMIT ? TX_NONE : TX_FAILED;
	g_hash_table_remove(link->relayed_sessions, &in->session);
	send_answer(link, &out);
}

static bool is_data_verb(uint32_t verb)
{
	return verb == STATEMENT_READ || verb == STATEMENT_WRITE ||
	       verb == STATEMENT_EXECUTE || verb == STATEMENT_COMMIT;
}

/* Includes the session that a request may create. */
static size_t request_bytes(const Wire__RelayRequest *in)
{
	size_t i, bytes = CLIENT_CONNECTION_BYTES + strlen(in->text) +
			  strlen(in->arguments) + strlen(in->shape) +
			  strlen(in->id);

	for (i = 0; i < in->n_values; i++)
		bytes += strlen(in->values[i]->name) +
			 strlen(in->values[i]->value);
	return bytes;
}

/*
 * Whether this daemon begins a statement: it does so only for a service of the
 * configuration, as each name that is used takes memory for good.
 */
static bool takes_request(struct entry *entry, const Wire__RelayRequest *in)
{
	if (!g_hash_table_contains(entry->table->pools, in->service))
		return false;
	if (client_limits_takes_message(&entry->config.limits, &entry->usage,
					request_bytes(in)))
		return true;
	entry_note_limit(entry, CLIENT_LIMIT_STATEMENT_MEMORY);
	return false;
}

static void handle_request(struct relay_client *link,
			   const Wire__RelayRequest *in)
{
	struct entry *entry = link->entry;
	struct remote_session *remote =
		g_hash_table_lookup(link->relayed_sessions, &in->session);
	int64_t now_us = clock_now_us();
	struct session *s;

	if (!is_data_verb(in->verb)) {
		link->channel.malformed++;
		return;
	}
	/* The transaction was aborted here in the meantime. */
	if ((in->begun && !remote) ||
	    (remote &&
	     (remote->session->phase != REQUEST_NONE ||
	      remote->session->tx == TX_FAILED ||
	      session_must_end_transaction(remote->session, in->verb)))) {
		answer_aborted(link, in);
		return;
	}
	/* An open transaction may finish here while this daemon is draining. */
	if (!entry->table || ((!remote || remote->session->tx != TX_OPEN) &&
			      entry->drain_started_us)) {
		decline_request(link, in->session);
		return;
	}
	if ((!remote || remote->session->tx != TX_OPEN) &&
	    !takes_request(entry, in)) {
		decline_request(link, in->session);
		return;
	}
	link->served = true;
	if (!remote)
		remote = remote_new(link, in->session);
	s = remote->session;
	if (s->tx == TX_NONE)
		apply_route(remote, in);
	apply_session(remote, in, now_us);
	copy_statement(s, in);
	s->last_active_us = now_us;
	s->arrived_us = now_us - (int64_t)in->arrived_age_us;
	s->asked_us =
		now_us - (int64_t)MAX(in->asked_age_us, in->arrived_age_us);
	request_start(s);
}

static void handle_end(struct relay_client *link, const Wire__RelayEnd *in)
{
	struct remote_session *remote =
		g_hash_table_lookup(link->relayed_sessions, &in->session);

	if (remote)
		g_hash_table_remove(link->relayed_sessions, &in->session);
}

static void on_message(struct channel *ch, const Wire__Envelope *envelope)
{
	struct relay_client *link = ch->data;

	link->partial_us = 0;
	switch (envelope->body_case) {
	case WIRE__ENVELOPE__BODY_RELAY_REQUEST:
		handle_request(link, envelope->relay_request);
		return;
	case WIRE__ENVELOPE__BODY_RELAY_END:
		handle_end(link, envelope->relay_end);
		return;
	case WIRE__ENVELOPE__BODY_QUOTA_REQUEST:
		quota_forward(link, envelope->quota_request);
		return;
	default:
		ch->malformed++;
		return;
	}
}

static void on_closed(struct channel *ch)
{
	struct relay_client *link = ch->data;

	/* The channel may still be in use; the next tick frees the link. */
	link->closed = true;
	quotas_forget(link);
	g_hash_table_remove_all(link->relayed_sessions);
}

static const struct channel_events link_events = {
	.message = on_message,
	.closed = on_closed,
};

static void relay_client_free(struct relay_client *link)
{
	link->closed = true;
	quotas_forget(link);
	g_hash_table_destroy(link->relayed_sessions);
	channel_close(&link->channel);
	g_queue_unlink(&link->entry->relay_clients, &link->list_node);
	g_free(link);
}

/* Memory of the connection and of the sessions that are relayed on it. */
static size_t held_bytes(const struct relay_client *link)
{
	size_t bytes = link->channel.stream.accounted;
	struct remote_session *remote;
	GHashTableIter it;

	g_hash_table_iter_init(&it, link->relayed_sessions);
	while (g_hash_table_iter_next(&it, NULL, (void **)&remote))
		bytes += CLIENT_CONNECTION_BYTES +
			 session_held_bytes(remote->session);
	return bytes;
}

static uint64_t weight_of(const struct relay_client *link, int64_t now_us)
{
	if (link->closed)
		return 0;
	return client_limits_weight(
		&link->entry->config.limits, &link->entry->usage,
		held_bytes(link), link->large_us ? now_us - link->large_us : 0);
}

bool entry_close_relay(struct entry *entry, uint64_t weight)
{
	struct relay_client *heaviest = NULL;
	int64_t now_us = clock_now_us();
	GList *node;

	for (node = entry->relay_clients.head; node; node = node->next) {
		if (weight_of(node->data, now_us) <= weight)
			continue;
		heaviest = node->data;
		weight = weight_of(heaviest, now_us);
	}
	if (!heaviest)
		return false;
	entry_note_limit(entry, CLIENT_LIMIT_CLOSED_MEMORY);
	relay_client_free(heaviest);
	return true;
}

/* Closes the oldest connection on which no daemon has relayed anything, as it
 * may belong to none. Return: whether there was one */
static bool close_unused(struct entry *entry)
{
	GList *node;

	for (node = entry->relay_clients.head; node; node = node->next) {
		struct relay_client *link = node->data;

		if (link->served && !link->closed)
			continue;
		relay_client_free(link);
		return true;
	}
	return false;
}

/* Return: whether there is room for one more connection */
static bool make_room(struct entry *entry)
{
	unsigned max = entry->config.limits.relays;

	if (!max || entry->relay_clients.length < max)
		return true;
	entry_note_limit(entry, CLIENT_LIMIT_RELAYS);
	return close_unused(entry);
}

static void on_accept(struct ev_loop *loop, ev_io *w, int revents)
{
	struct entry *entry = w->data;
	int fd;

	while ((fd = net_accept(w->fd)) >= 0) {
		struct relay_client *link;

		if (!make_room(entry)) {
			close(fd);
			continue;
		}
		link = g_new0(struct relay_client, 1);
		link->entry = entry;
		link->list_node.data = link;
		link->relayed_sessions = g_hash_table_new_full(
			g_int64_hash, g_int64_equal, NULL, remote_free);
		g_queue_push_tail_link(&entry->relay_clients, &link->list_node);
		channel_accept(&link->channel, loop, fd, &link_events, link);
		stream_set_account(&link->channel.stream,
				   &entry->usage.held_bytes);
	}
}

bool relay_clients_listen(struct entry *entry, GError **error)
{
	int fd = net_listen_ip(entry->config.ip, entry->config.port, error);

	if (fd < 0)
		return false;
	ev_io_init(&entry->listener, on_accept, fd, EV_READ);
	entry->listener.data = entry;
	ev_io_start(entry->loop, &entry->listener);
	return true;
}

/* Return: whether the connection owes the rest of a frame for too long */
static bool is_overdue(struct relay_client *link, int64_t now_us)
{
	const struct client_limits *limits = &link->entry->config.limits;
	struct stream *stream = &link->channel.stream;
	struct client_ages ages = { 0 };
	enum client_limit limit;

	stream_update_account(stream);
	if (!pg_buffer_length(&stream->in))
		link->partial_us = 0;
	else if (!link->partial_us)
		link->partial_us = now_us;
	if (held_bytes(link) <=
	    client_limits_small_bytes(limits, &link->entry->usage))
		link->large_us = 0;
	else if (!link->large_us)
		link->large_us = now_us;
	ages.message_us = link->partial_us;
	limit = client_limits_overdue(limits, &ages, now_us);
	if (limit)
		entry_note_limit(link->entry, limit);
	return limit != CLIENT_LIMIT_NONE;
}

void relay_clients_tick(struct entry *entry, int64_t now_us)
{
	GList *node, *next;

	for (node = entry->relay_clients.head; node; node = next) {
		struct relay_client *link = node->data;

		next = node->next;
		if (link->closed || is_overdue(link, now_us))
			relay_client_free(link);
	}
}

void relay_clients_close(struct entry *entry)
{
	while (entry->relay_clients.head)
		relay_client_free(entry->relay_clients.head->data);
	if (!entry->listener.data)
		return;
	ev_io_stop(entry->loop, &entry->listener);
	close(entry->listener.fd);
}
