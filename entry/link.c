#include "internal.h"

#include "clock.h"
#include "event_log.h"

#include <jansson.h>
#include <string.h>

/* Number of prepared statements above which a connection is reset. */
#define MAX_PREPARED 256
/* A connection that holds more values and statements of a session is reset once
 * the session no longer uses it, bytes. */
#define MAX_IDLE_STATE_BYTES (64u * 1024)
/* Pause after an upstream refused a connection because its connection
 * limit was reached. */
#define CONNECTIONS_FULL_PAUSE_US (150 * 1000ll)
/* Pause after a different upstream answered at the address. */
#define REPLACED_PAUSE_US (1000 * 1000ll)

bool link_is_for(const struct link *link, const char *account)
{
	return !g_strcmp0(link->account, account);
}

struct link *link_open(struct upstream *upstream)
{
	return link_open_for(upstream, NULL);
}

struct link *link_open_for(struct upstream *upstream, const char *account)
{
	struct entry *entry = upstream->entry;
	struct link *link = g_new0(struct link, 1);

	link->upstream = upstream;
	link->account = g_strdup(account);
	link->opened_or_released_us = clock_now_us();
	link->outstanding =
		g_array_new(FALSE, FALSE, sizeof(enum link_purpose));
	link->values =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	link->prepared =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_ptr_array_add(upstream->links, link);
	link->handle = entry->config.upstream_ops->open(link, upstream->address,
							upstream->service->name,
							account, upstream->id,
							entry->config.data);
	entry_count(entry, ENTRY_COUNT_LINKS_OPENED, 1);
	if (link->handle)
		return link;
	upstream_note_failure(upstream, link->opened_or_released_us);
	link_close(link);
	return NULL;
}

static void link_free(struct link *link)
{
	g_ptr_array_remove(link->upstream->links, link);
	g_array_free(link->outstanding, TRUE);
	link_count_state(link, 0);
	g_hash_table_destroy(link->values);
	g_hash_table_destroy(link->prepared);
	g_free(link->account);
	g_free(link);
}

static bool awaits_handover_answer(const struct link *link)
{
	return link->outstanding->len &&
	       g_array_index(link->outstanding, enum link_purpose, 0) ==
		       LINK_PURPOSE_HANDOVER;
}

void link_close(struct link *link)
{
	struct session *s = link->session;
	struct entry *entry = link->upstream->entry;
	bool handover = awaits_handover_answer(link);

	link->session = NULL;
	survey_link_lost(entry, link);
	if (link->handle)
		entry->config.upstream_ops->close(link->handle);
	link_free(link);
	if (handover)
		handover_link_lost(entry);
	if (s) {
		s->link = NULL;
		request_link_lost(s);
	}
}

bool link_is_idle(const struct link *link)
{
	return link->state == LINK_READY && !link->session &&
	       !link->outstanding->len && !link->in_transaction;
}

void link_bind(struct link *link, struct session *s)
{
	link->session = s;
	link->used = true;
	s->link = link;
}

void link_send(struct link *link, enum link_purpose purpose,
	       const struct link_command *command)
{
	if (!link->outstanding->len)
		link->sent_us = clock_now_us();
	g_array_append_val(link->outstanding, purpose);
	link->upstream->entry->config.upstream_ops->send(link->handle, command);
}

void link_flush(struct link *link)
{
	link->upstream->entry->config.upstream_ops->flush(link->handle);
}

static unsigned reset_link(struct link *link)
{
	struct link_command reset = { .verb = LINK_RESET };

	g_hash_table_remove_all(link->values);
	g_hash_table_remove_all(link->prepared);
	link_count_state(link, 0);
	link_send(link, LINK_PURPOSE_SETUP, &reset);
	return 1;
}

/* A single session value cannot be unset; only a reset removes it. */
static bool has_foreign_value(const struct link *link, const struct session *s)
{
	const char *name;
	GHashTableIter it;

	g_hash_table_iter_init(&it, link->values);
	while (g_hash_table_iter_next(&it, (void **)&name, NULL))
		if (!g_hash_table_contains(s->values, name))
			return true;
	return false;
}

static size_t value_bytes(const struct link *link, const char *name)
{
	const char *value = g_hash_table_lookup(link->values, name);

	return value ? limits_item_bytes(name, value) : 0;
}

static unsigned send_values(struct link *link, const struct session *s)
{
	const char *name, *value;
	GHashTableIter it;
	unsigned nr = 0;

	g_hash_table_iter_init(&it, s->values);
	while (g_hash_table_iter_next(&it, (void **)&name, (void **)&value)) {
		struct link_command set = { .verb = LINK_SET,
					    .name = name,
					    .value = value };

		if (!g_strcmp0(g_hash_table_lookup(link->values, name), value))
			continue;
		link_send(link, LINK_PURPOSE_SETUP, &set);
		link_count_state(link, link->state_bytes -
					       value_bytes(link, name) +
					       limits_item_bytes(name, value));
		g_hash_table_replace(link->values, g_strdup(name),
				     g_strdup(value));
		nr++;
	}
	return nr;
}

static unsigned send_prepare(struct link *link, const struct session *s)
{
	const struct prepared *p =
		g_hash_table_lookup(s->prepared, s->statement.name);
	struct link_command command = { .verb = LINK_PREPARE };

	if (g_hash_table_contains(link->prepared, p->alias))
		return 0;
	command.name = p->alias;
	command.value = p->shape;
	command.writes = p->writes;
	link_send(link, LINK_PURPOSE_SETUP, &command);
	link_count_state(link,
			 link->state_bytes + limits_item_bytes(p->alias, ""));
	g_hash_table_add(link->prepared, g_strdup(p->alias));
	return 1;
}

unsigned link_apply_session(struct link *link, struct session *s)
{
	unsigned nr = 0;

	if (!link->in_transaction &&
	    (has_foreign_value(link, s) ||
	     g_hash_table_size(link->prepared) > MAX_PREPARED))
		nr += reset_link(link);
	nr += send_values(link, s);
	if (s->statement.verb == STATEMENT_EXECUTE)
		nr += send_prepare(link, s);
	return nr;
}

static void send_rollback(struct link *link)
{
	struct link_command command = { .verb = LINK_ROLLBACK };

	link_send(link, LINK_PURPOSE_ROLLBACK, &command);
	link_flush(link);
}

/* Session values of callers that no longer use the connection would otherwise
 * be held once for each connection. Without a budget nothing is reset. */
static void drop_large_state(struct link *link)
{
	if (!link_entry(link)->config.limits.budget_bytes)
		return;
	if (link->state_bytes <= MAX_IDLE_STATE_BYTES || link->in_transaction ||
	    link->outstanding->len || link->state != LINK_READY)
		return;
	reset_link(link);
	link_flush(link);
}

void link_release(struct link *link)
{
	link->session = NULL;
	link->opened_or_released_us = clock_now_us();
	if (link->in_transaction)
		send_rollback(link);
	else
		drop_large_state(link);
}

void link_abandon(struct link *link)
{
	guint i;

	for (i = 0; i < link->outstanding->len; i++)
		if (g_array_index(link->outstanding, enum link_purpose, i) ==
		    LINK_PURPOSE_STATEMENT)
			g_array_index(link->outstanding, enum link_purpose, i) =
				LINK_PURPOSE_ABANDONED;
	link_release(link);
}

void link_request_sample(struct link *link)
{
	struct link_command begin = { .verb = LINK_BEGIN };

	link_send(link, LINK_PURPOSE_SAMPLE, &begin);
	link_flush(link);
}

void link_opened(struct link *link, struct position position)
{
	struct statement_answer answer = { .position = position };
	struct upstream *upstream = link->upstream;

	link->state = LINK_READY;
	link->opened_or_released_us = clock_now_us();
	upstream_note_answer(upstream, &answer, link->opened_or_released_us);
	service_dispatch(upstream->service);
}

static void handle_sample(struct link *link,
			  const struct statement_answer *answer, int64_t now_us)
{
	struct upstream *upstream = link->upstream;

	if (answer->refusal == REFUSAL_NOT_PRIMARY)
		upstream->not_primary_until_us =
			now_us + ENTRY_SAMPLE_INTERVAL_US / 2;
	if (answer->refusal)
		return;
	link->in_transaction = true;
	upstream_confirm_primary(upstream, link->sent_us);
	read_samples_add(&upstream->service->samples, link->sent_us,
			 answer->position);
	entry_count(upstream->entry, ENTRY_COUNT_SAMPLES, 1);
	if (!link->session)
		send_rollback(link);
}

static void note_transaction(struct link *link, enum link_purpose purpose,
			     const struct statement_answer *answer)
{
	link->in_transaction = answer->state != SESSION_IDLE;
	if (purpose == LINK_PURPOSE_ROLLBACK && answer->refusal)
		link->in_transaction = true;
}

void link_replied(struct link *link, const struct statement_answer *answer)
{
	struct upstream *upstream = link->upstream;
	struct service *svc = upstream->service;
	int64_t now_us = clock_now_us();
	enum link_purpose purpose;

	if (!link->outstanding->len) {
		/* Without an outstanding command, the stream is out of sync. */
		event_log("answer_to_nothing", "{s:s}", "upstream",
			  upstream->id);
		link_close(link);
		return;
	}
	purpose = g_array_index(link->outstanding, enum link_purpose, 0);
	g_array_remove_index(link->outstanding, 0);
	upstream_note_answer(upstream, answer, now_us);
	if (purpose == LINK_PURPOSE_STATEMENT ||
	    purpose == LINK_PURPOSE_ABANDONED)
		upstream->newest_answered_us =
			MAX(upstream->newest_answered_us, link->sent_us);
	if (purpose == LINK_PURPOSE_SAMPLE) {
		handle_sample(link, answer, now_us);
		service_dispatch(svc);
		return;
	}
	if (purpose == LINK_PURPOSE_SURVEY) {
		survey_answered(link, answer);
		service_dispatch(svc);
		return;
	}
	if (purpose == LINK_PURPOSE_HANDOVER) {
		handover_answered(upstream->entry, answer);
		service_dispatch(svc);
		return;
	}
	note_transaction(link, purpose, answer);
	if (purpose == LINK_PURPOSE_ROLLBACK && answer->refusal) {
		link_close(link);
		service_dispatch(svc);
		return;
	}
	if (link->session && purpose != LINK_PURPOSE_ROLLBACK &&
	    purpose != LINK_PURPOSE_ABANDONED) {
		request_command_answered(link->session, purpose, answer);
		service_dispatch(svc);
		return;
	}
	if (purpose == LINK_PURPOSE_SETUP && answer->refusal) {
		link_close(link);
		return;
	}
	if (link->outstanding->len)
		return;
	if (link->in_transaction) {
		send_rollback(link);
		return;
	}
	if (!link->session)
		drop_large_state(link);
	service_dispatch(svc);
}

static bool has_other_ready_link(const struct link *link)
{
	const GPtrArray *links = link->upstream->links;
	guint i;

	for (i = 0; i < links->len; i++) {
		const struct link *other = links->pdata[i];

		if (other != link && other->state == LINK_READY)
			return true;
	}
	return false;
}

void link_closed(struct link *link, enum refusal refusal)
{
	struct upstream *upstream = link->upstream;
	int64_t now_us = clock_now_us();
	bool opening = link->state == LINK_OPENING;

	link->handle = NULL;
	if (opening && refusal)
		entry_count(upstream->entry, ENTRY_COUNT_LINKS_REFUSED, 1);
	else
		entry_count(upstream->entry, ENTRY_COUNT_LINKS_BROKEN, 1);
	switch (refusal) {
	case REFUSAL_TOO_MANY_CONNECTIONS:
	case REFUSAL_BUSY:
		upstream->connect_after_us = now_us + CONNECTIONS_FULL_PAUSE_US;
		upstream->connections_full_at_us = now_us;
		break;
	case REFUSAL_WRONG_UPSTREAM:
		event_log("upstream_replaced", "{s:s, s:s}", "upstream",
			  upstream->id, "address", upstream->address);
		upstream->connect_after_us = now_us + REPLACED_PAUSE_US;
		break;
	default:
		/* Other connections tell whether the upstream has failed. */
		if (opening || !has_other_ready_link(link))
			upstream_note_failure(upstream, now_us);
		break;
	}
	link_close(link);
	service_dispatch(upstream->service);
}
