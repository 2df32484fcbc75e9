#include "internal.h"

#include "clock.h"
#include "event_log.h"

#include <jansson.h>
#include <string.h>

/* Interval of the log lines of each limit. */
#define LIMIT_LOG_INTERVAL_US (1000 * 1000ll)
/* An id may be as long as a message; a log line has this much of it, bytes. */
#define LOGGED_ID_BYTES 128
/* Allocations of a session value or prepared statement other than its texts,
 * with the share of the table, bytes: measured with many small ones. */
#define ITEM_BYTES 160u

static const struct {
	const char *name;
	enum entry_counter counter;
} limit_names[CLIENT_LIMIT_NR] = {
	[CLIENT_LIMIT_PAUSED] = { "paused", ENTRY_COUNT_CLIENTS_PAUSED },
	[CLIENT_LIMIT_CONNECTION_MEMORY] = { "connection_memory",
					     ENTRY_COUNT_CONNECTIONS_NO_MEMORY },
	[CLIENT_LIMIT_STATEMENT_MEMORY] = { "statement_memory",
					    ENTRY_COUNT_STATEMENTS_NO_MEMORY },
	[CLIENT_LIMIT_CLOSED_MEMORY] = { "closed_memory",
					 ENTRY_COUNT_CLOSED_NO_MEMORY },
	[CLIENT_LIMIT_SESSION_STATE] = { "session_kb",
					 ENTRY_COUNT_SESSION_STATE_REFUSED },
	[CLIENT_LIMIT_ANSWER_SIZE] = { "answer_kb",
				       ENTRY_COUNT_ANSWERS_TOO_LARGE },
	[CLIENT_LIMIT_CONNECTIONS] = { "connections",
				       ENTRY_COUNT_CONNECTIONS_REFUSED },
	[CLIENT_LIMIT_STARTING] = { "connections_starting",
				    ENTRY_COUNT_STARTING_REFUSED },
	[CLIENT_LIMIT_PER_ADDRESS] = { "connections_per_address",
				       ENTRY_COUNT_PER_ADDRESS_REFUSED },
	[CLIENT_LIMIT_RELAYS] = { "connections_relay",
				  ENTRY_COUNT_RELAYS_REFUSED },
	[CLIENT_LIMIT_STARTUP_TIME] = { "startup_ms",
					ENTRY_COUNT_STARTUP_OVERDUE },
	[CLIENT_LIMIT_MESSAGE_TIME] = { "message_ms",
					ENTRY_COUNT_MESSAGE_OVERDUE },
	[CLIENT_LIMIT_ANSWER_TIME] = { "answer_ms",
				       ENTRY_COUNT_ANSWER_OVERDUE },
};

const struct client_limits *entry_limits(const struct entry *entry)
{
	return &entry->config.limits;
}

struct client_usage *entry_usage(struct entry *entry)
{
	return &entry->usage;
}

void entry_note_limit(struct entry *entry, enum client_limit limit)
{
	entry->limit_hits[limit]++;
	entry_count(entry, limit_names[limit].counter, 1);
}

void limits_log(struct entry *entry, int64_t now_us)
{
	size_t i;

	if (now_us - entry->limits_logged_us < LIMIT_LOG_INTERVAL_US)
		return;
	entry->limits_logged_us = now_us;
	for (i = 0; i < CLIENT_LIMIT_NR; i++) {
		if (!entry->limit_hits[i])
			continue;
		event_log("client_limit", "{s:s, s:I, s:I, s:i}", "limit",
			  limit_names[i].name, "times",
			  (json_int_t)entry->limit_hits[i], "held_bytes",
			  (json_int_t)entry->usage.held_bytes, "connections",
			  (int)entry->usage.connections);
		entry->limit_hits[i] = 0;
	}
}

/* Replaces what is counted as @held by @bytes. */
static void recount(struct entry *entry, size_t *held, size_t bytes)
{
	entry->usage.held_bytes += bytes - *held;
	*held = bytes;
}

size_t limits_item_bytes(const char *name, const char *value)
{
	return ITEM_BYTES + strlen(name) + strlen(value);
}

size_t limits_log_length(const char *id)
{
	size_t len = strnlen(id, LOGGED_ID_BYTES);

	/* A character is logged whole or not at all. */
	while (len && id[len] && ((unsigned char)id[len] & 0xc0) == 0x80)
		len--;
	return len;
}

void session_count_state(struct session *s, size_t bytes)
{
	recount(s->entry, &s->state_bytes, bytes);
}

void session_count_statement(struct session *s)
{
	const struct statement *st = &s->statement;

	/* The texts are held whole and split into words. */
	recount(s->entry, &s->statement_bytes,
		st->buffer ? 2 * (strlen(st->id) + strlen(st->text)) : 0);
}

void link_count_state(struct link *link, size_t bytes)
{
	recount(link->upstream->entry, &link->state_bytes, bytes);
}

bool session_takes_state(struct session *s, size_t bytes)
{
	struct entry *entry = s->entry;

	if (client_limits_takes_state(&entry->config.limits, &entry->usage,
				      s->state_bytes, bytes))
		return true;
	entry_note_limit(entry, CLIENT_LIMIT_SESSION_STATE);
	return false;
}

size_t session_held_bytes(const struct session *s)
{
	return s->state_bytes + s->statement_bytes;
}

struct entry *link_entry(const struct link *link)
{
	return link->upstream->entry;
}
