#include "lease.h"

#define THOUSANDTHS 1000

void lease_table_init(struct lease_table *table, int64_t duration_us)
{
	table->expires_by_daemon =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	table->duration_us = duration_us;
	table->leader_since_us = INT64_MAX;
}

void lease_table_finish(struct lease_table *table)
{
	g_hash_table_destroy(table->expires_by_daemon);
	table->expires_by_daemon = NULL;
}

void lease_table_become_leader(struct lease_table *table, int64_t now_us)
{
	g_hash_table_remove_all(table->expires_by_daemon);
	table->leader_since_us = now_us;
}

int64_t lease_table_max_lease_us(const struct lease_table *table)
{
	return table->duration_us +
	       table->duration_us * LEASE_LEADER_MARGIN_PERMILLE / THOUSANDTHS;
}

int64_t lease_table_earlier_leases_end_us(const struct lease_table *table)
{
	if (table->leader_since_us == INT64_MAX)
		return INT64_MAX;
	return table->leader_since_us + lease_table_max_lease_us(table) +
	       LEASE_LEADER_OVERLAP_US;
}

static int64_t recorded_end_us(const struct lease_table *table,
			       const char *daemon)
{
	const int64_t *end =
		g_hash_table_lookup(table->expires_by_daemon, daemon);

	return end ? *end : INT64_MIN;
}

void lease_table_grant(struct lease_table *table, const char *daemon,
		       int64_t received_us)
{
	int64_t end_us = received_us + lease_table_max_lease_us(table);
	int64_t *end = g_hash_table_lookup(table->expires_by_daemon, daemon);

	if (!end) {
		end = g_new(int64_t, 1);
		*end = end_us;
		g_hash_table_insert(table->expires_by_daemon, g_strdup(daemon),
				    end);
	}
	*end = MAX(*end, end_us);
}

bool lease_table_is_live(const struct lease_table *table, const char *daemon,
			 int64_t now_us)
{
	return now_us < recorded_end_us(table, daemon);
}

int64_t lease_table_expires_us(const struct lease_table *table,
			       const char *daemon)
{
	return MAX(recorded_end_us(table, daemon),
		   lease_table_earlier_leases_end_us(table));
}
