#ifndef ENTRY_FIXTURE_H
#define ENTRY_FIXTURE_H

#include "clock.h"
#include "entry/internal.h"
#include "test_main.h"

#include <string.h>

/*
 * Runs sessions against simulated upstreams: every command sent is recorded in
 * order, and the test supplies the answers.
 */

struct sent {
	struct link *link;
	enum link_verb verb;
	struct position min_position;
	char text[64];
};

static struct sent sent[256];
static unsigned nr_sent, nr_replied;
/* Log position that an upstream reports when a connection opens. */
static uint64_t opening_lsn;
static unsigned nr_opened, nr_closed;
static struct statement_answer last_answer;
static char last_result[64];
static unsigned nr_answers, nr_ended, nr_started;

static void *open_connection(struct link *link, const char *address,
			     const char *service, const char *account,
			     const char *id, void *data)
{
	nr_opened++;
	return link;
}

static void send_command(void *handle, const struct link_command *c)
{
	struct sent *s = &sent[nr_sent++];

	ck_assert_uint_lt(nr_sent, G_N_ELEMENTS(sent));
	s->link = handle;
	s->verb = c->verb;
	s->min_position = c->min_position;
	g_snprintf(s->text, sizeof(s->text), "%s",
		   c->verb == LINK_FORWARD ? c->statement->text :
		   c->name		   ? c->name :
					     "");
}

static void flush(void *handle)
{
}

static void close_connection(void *handle)
{
	nr_closed++;
}

/* What an upstream reports in its status: the end of its log, and the term that
 * it leads, 0 for a replica. */
static struct position status_position;
static uint32_t status_leads_term;

static bool read_status(const struct statement_answer *answer,
			struct upstream_status *status)
{
	status->primary = status_leads_term > 0;
	status->term = status_leads_term ? status_leads_term :
					   status_position.term;
	status->received = status_position;
	return true;
}

static const struct upstream_ops upstream_ops = { open_connection, send_command,
						  flush, close_connection,
						  read_status };

static void on_started(void *handle)
{
	nr_started++;
}

static void on_refused(void *handle, enum refusal refusal, const char *detail)
{
	last_answer.refusal = refusal;
	nr_answers++;
}

static void on_answer(void *handle, const struct statement_answer *answer)
{
	last_answer = *answer;
	last_result[0] = 0;
	if (answer->result)
		memcpy(last_result, answer->result, answer->len);
	last_result[answer->len] = 0;
	nr_answers++;
}

static void on_close(void *handle)
{
	nr_ended++;
}

static const struct caller_ops caller_ops = { on_started, on_refused, on_answer,
					      on_close };

static inline void add_route(struct entry_table *table, const char *database,
			     enum read_rule rule)
{
	struct entry_route route = { .database = g_strdup(database),
				     .service = g_strdup("s"),
				     .rule = rule,
				     .statement_us = 800000,
				     .target_us = 100000,
				     .staleness_us = 1500000 };

	entry_table_add_route(table, &route);
}

static inline struct entry_table *make_table(uint64_t version)
{
	struct entry_table *table = entry_table_new(version);
	struct entry_pool pool = { g_strdup("s"), 4, 0 };

	entry_table_add_pool(table, &pool);
	add_route(table, "primary", READ_AT_PRIMARY);
	add_route(table, "own", READ_OWN_WRITES);
	add_route(table, "bounded", READ_BOUNDED);
	return table;
}

static inline void add_sighting_to(struct entry *entry, const char *id,
				   bool primary, bool leaving,
				   uint64_t sequence)
{
	struct sighting sighting = { .id = (char *)id,
				     .service = "s",
				     .address = (char *)id,
				     .availability_zone = "z",
				     .primary = primary,
				     .leaving = leaving,
				     .born_ms = 1,
				     .sequence = sequence,
				     .heard_us = clock_now_us(),
				     .claimed_us = clock_now_us() };

	sightings_merge(&entry->sightings, &sighting);
	upstreams_update(entry);
}

static inline struct session *new_caller_at(struct entry *entry,
					    const char *database)
{
	struct session *s = entry_session_new(entry, &caller_ops, NULL);

	session_start(s, database, "");
	return s;
}

static inline void send_statement(struct session *s, enum statement_verb verb,
				  const char *text, const char *name,
				  const char *value)
{
	struct statement st = { .verb = verb };
	size_t len = strlen(text) + 1;

	st.buffer = g_malloc(len + 64 + 64);
	memcpy(st.buffer, text, len);
	st.id = "id1";
	st.text = st.buffer;
	if (name)
		st.name = strcpy(st.buffer + len, name);
	if (value)
		st.value = strcpy(st.buffer + len + 64 / 2, value);
	st.writes = value && strstr(text, "WRITE");
	session_handle_statement(s, &st);
}

static inline void complete_logins_at(struct entry *entry)
{
	struct upstream *upstream;
	GHashTableIter it;
	guint i;

	g_hash_table_iter_init(&it, entry->known_upstreams);
	while (g_hash_table_iter_next(&it, NULL, (void **)&upstream))
		for (i = 0; i < upstream->links->len; i++) {
			struct link *link = upstream->links->pdata[i];

			if (link->state == LINK_OPENING)
				link_opened(link, (struct position){
							  1, opening_lsn });
		}
}

/* Answers the oldest unanswered command. */
static inline void reply(enum refusal refusal, enum session_state state,
			 uint64_t number, const char *result)
{
	struct statement_answer answer = { .refusal = refusal,
					   .state = state,
					   .position = { 1, number } };

	ck_assert_uint_lt(nr_replied, nr_sent);
	if (result) {
		answer.result = (const uint8_t *)result;
		answer.len = strlen(result);
	}
	link_replied(sent[nr_replied++].link, &answer);
}

static inline void expect_command(enum link_verb verb, const char *text)
{
	ck_assert_uint_lt(nr_replied, nr_sent);
	ck_assert_int_eq(sent[nr_replied].verb, verb);
	if (text)
		ck_assert_str_eq(sent[nr_replied].text, text);
}

static inline void reply_done(void)
{
	reply(REFUSAL_NONE, SESSION_IDLE, 9, NULL);
}

static inline void reply_in_transaction(void)
{
	reply(REFUSAL_NONE, SESSION_IN_TRANSACTION, 9, NULL);
}

/* Starts an entry daemon that knows the routes, and no upstream. */
static inline struct entry *start_entry(struct timer_service *timers,
					uint16_t port)
{
	struct entry_config config = { .name = "e",
				       .availability_zone = "z",
				       .ip = 0x7f000001,
				       .port = port,
				       .seeds = g_array_new(FALSE, FALSE, 4),
				       .grace_us = 6000000,
				       .upstream_ops = &upstream_ops };
	struct entry *entry;

	opening_lsn = 100;
	status_leads_term = 0;
	nr_sent = nr_replied = nr_opened = nr_closed = nr_answers = nr_ended =
		nr_started = 0;
	memset(&last_answer, 0, sizeof(last_answer));
	timer_service_init(timers);
	entry = entry_new(ev_default_loop(0), timers, &config, NULL);
	ck_assert_ptr_nonnull(entry);
	g_array_free(config.seeds, TRUE);
	entry->table = make_table(1);
	entry->fresh = true;
	return entry;
}

static inline void stop_entry(struct entry *entry, struct timer_service *timers)
{
	while (entry->sessions.head)
		session_closed(entry->sessions.head->data);
	entry_free(entry);
	timer_service_finish(timers);
}

#endif
