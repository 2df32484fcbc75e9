#include "internal.h"

#include "clock.h"
#include "event_log.h"

#include <jansson.h>

/* Time in which sessions with a dropped key end, unless settings give one. */
#define REVOKE_DEFAULT_US (5000 * 1000ll)
/* Part of that time that an open transaction may still use. The rest is left
 * for the new configuration to reach this daemon. */
#define REVOKE_TRANSACTION_DIVISOR 3

static int64_t revoke_us(const struct entry *entry)
{
	return entry->config.revoke_us ? entry->config.revoke_us :
					 REVOKE_DEFAULT_US;
}

/* A daemon that hears nothing from control may have missed that a key was
 * dropped. */
static bool may_have_missed_changes(const struct entry *entry)
{
	return entry->config.strict_keys &&
	       clock_now_us() - entry->last_fresh_us > revoke_us(entry);
}

enum refusal account_resolve(struct session *s, const struct entry_table *table,
			     const struct entry_route *route)
{
	const struct entry_account *account;

	s->account = NULL;
	if (!table->has_accounts)
		return REFUSAL_NONE;
	account = entry_table_account(table, s->key);
	if (account && may_have_missed_changes(s->entry))
		return REFUSAL_BUSY;
	if (account)
		s->account = account->name;
	else if (!route->anonymous)
		return REFUSAL_UNKNOWN_KEY;
	return REFUSAL_NONE;
}

static bool is_allowed(const struct session *s, const struct entry_table *table)
{
	const struct entry_route *route =
		g_hash_table_lookup(table->routes, s->database);

	return !table->has_accounts || (route && route->anonymous) ||
	       entry_table_account(table, s->key);
}

void accounts_revoke(struct entry *entry)
{
	int64_t now_us = clock_now_us();
	unsigned nr = 0;
	GList *node;

	for (node = entry->sessions.head; node; node = node->next) {
		struct session *s = node->data;

		if (s->remote_caller || !s->database || s->awaiting_routes ||
		    s->closing)
			continue;
		if (is_allowed(s, entry->table)) {
			s->revoked_us = 0;
		} else if (!s->revoked_us) {
			s->revoked_us = now_us;
			nr++;
		}
	}
	if (!nr)
		return;
	entry_count(entry, ENTRY_COUNT_SESSIONS_REVOKED, nr);
	event_log("sessions_revoked", "{s:i, s:I}", "sessions", (int)nr,
		  "version", (json_int_t)entry->table->version);
}

bool account_must_close(const struct session *s, int64_t now_us)
{
	if (!s->revoked_us || s->closing || s->phase != REQUEST_NONE)
		return false;
	return s->tx != TX_OPEN ||
	       now_us - s->revoked_us >=
		       revoke_us(s->entry) / REVOKE_TRANSACTION_DIVISOR;
}
