#include "standin.h"

#include <stdio.h>
#include <string.h>

static const char *const fault_names[FAULT_NR] = {
	[FAULT_STALL] = "stall_ms",
	[FAULT_DROP_BEFORE_COMMIT] = "drop_before_commit",
	[FAULT_DROP_AFTER_COMMIT] = "drop_after_commit",
	[FAULT_SLOW_ANSWERS] = "slow_answers",
	[FAULT_LAG] = "lag_ms",
	[FAULT_CUT_REPLICATION] = "cut_replication",
	[FAULT_LEAVING] = "leaving",
	[FAULT_REFUSE] = "refuse_connections",
};

static void result_lsn(sqlite3_context *ctx, uint64_t lsn)
{
	char buf[POSITION_TEXT_SIZE];

	g_snprintf(buf, sizeof(buf), "%X/%X", (unsigned)(lsn >> 32),
		   (unsigned)lsn);
	sqlite3_result_text(ctx, buf, -1, SQLITE_TRANSIENT);
}

static void in_recovery(sqlite3_context *ctx, int nr, sqlite3_value **args)
{
	const struct standin *s = sqlite3_user_data(ctx);

	sqlite3_result_int(ctx, s->in_recovery);
}

static void current_wal_lsn(sqlite3_context *ctx, int nr, sqlite3_value **args)
{
	const struct standin *s = sqlite3_user_data(ctx);

	if (s->in_recovery)
		sqlite3_result_error(ctx, "recovery is in progress", -1);
	else
		result_lsn(ctx, s->written);
}

static void receive_lsn(sqlite3_context *ctx, int nr, sqlite3_value **args)
{
	const struct standin *s = sqlite3_user_data(ctx);

	result_lsn(ctx, s->written);
}

static void replay_lsn(sqlite3_context *ctx, int nr, sqlite3_value **args)
{
	const struct standin *s = sqlite3_user_data(ctx);

	result_lsn(ctx, s->replayed);
}

static void walfile_name(sqlite3_context *ctx, int nr, sqlite3_value **args)
{
	const struct standin *s = sqlite3_user_data(ctx);
	const char *text = (const char *)sqlite3_value_text(args[0]);
	char buf[32];
	uint64_t lsn;

	if (s->in_recovery || !text || !lsn_parse(text, strlen(text), &lsn)) {
		sqlite3_result_error(ctx, "recovery is in progress", -1);
		return;
	}
	g_snprintf(buf, sizeof(buf), "%08X%08X%08X", s->term,
		   (unsigned)(lsn >> 32), (unsigned)(lsn & UINT32_MAX) >> 24);
	sqlite3_result_text(ctx, buf, -1, SQLITE_TRANSIENT);
}

static void to_hex(sqlite3_context *ctx, int nr, sqlite3_value **args)
{
	char buf[32];

	g_snprintf(buf, sizeof(buf), "%llx", sqlite3_value_int64(args[0]));
	sqlite3_result_text(ctx, buf, -1, SQLITE_TRANSIENT);
}

static void received_tli(sqlite3_context *ctx, int nr, sqlite3_value **args)
{
	const struct standin *s = sqlite3_user_data(ctx);

	sqlite3_result_int64(ctx, s->term);
}

static void promote(sqlite3_context *ctx, int nr, sqlite3_value **args)
{
	struct standin *s = sqlite3_user_data(ctx);

	if (!replication_promote(s))
		sqlite3_result_error(ctx, "recovery is not in progress", -1);
	else
		sqlite3_result_int(ctx, 1);
}

static void reload_conf(sqlite3_context *ctx, int nr, sqlite3_value **args)
{
	struct standin *s = sqlite3_user_data(ctx);

	sqlite3_result_int(ctx, 1);
	if (!s->in_recovery || !s->configured_follow)
		return;
	if (g_strcmp0(s->follow, s->configured_follow) == 0)
		return;
	g_free(s->follow);
	s->follow = g_strdup(s->configured_follow);
	replication_unfollow(s);
	replication_follow(s);
}

static void set_fault(sqlite3_context *ctx, int nr, sqlite3_value **args)
{
	struct standin *s = sqlite3_user_data(ctx);
	const char *name = (const char *)sqlite3_value_text(args[0]);
	int i;

	for (i = 0; i < FAULT_NR; i++) {
		if (g_strcmp0(name, fault_names[i]))
			continue;
		s->faults[i] = sqlite3_value_int64(args[1]);
		sqlite3_result_int64(ctx, s->faults[i]);
		if (i == FAULT_CUT_REPLICATION)
			replication_ship_all(s);
		if (i == FAULT_LEAVING)
			announcer_send(s->announcer);
		return;
	}
	sqlite3_result_error(ctx, "no fault of that name", -1);
}

static void peak_connections(sqlite3_context *ctx, int nr, sqlite3_value **args)
{
	const struct standin *s = sqlite3_user_data(ctx);

	sqlite3_result_int(ctx, s->peak_connections);
}

static void statements(sqlite3_context *ctx, int nr, sqlite3_value **args)
{
	const struct standin *s = sqlite3_user_data(ctx);

	sqlite3_result_int64(ctx, s->statements);
}

/* The delay itself is part of the statement's service time. */
static void pg_sleep(sqlite3_context *ctx, int nr, sqlite3_value **args)
{
	sqlite3_result_text(ctx, "", -1, SQLITE_STATIC);
}

static void server_name(sqlite3_context *ctx, int nr, sqlite3_value **args)
{
	const struct standin *s = sqlite3_user_data(ctx);

	sqlite3_result_text(ctx, s->options.name, -1, SQLITE_STATIC);
}

static const struct function {
	const char *name;
	int nr_args;
	void (*run)(sqlite3_context *ctx, int nr, sqlite3_value **args);
} functions[] = {
	{ "pg_is_in_recovery", 0, in_recovery },
	{ "pg_current_wal_lsn", 0, current_wal_lsn },
	{ "pg_last_wal_receive_lsn", 0, receive_lsn },
	{ "pg_last_wal_replay_lsn", 0, replay_lsn },
	{ "pg_walfile_name", 1, walfile_name },
	{ "to_hex", 1, to_hex },
	{ "pg_promote", -1, promote },
	{ "pg_reload_conf", 0, reload_conf },
	{ "standin_received_tli", 0, received_tli },
	{ "standin_fault", 2, set_fault },
	{ "standin_peak_connections", 0, peak_connections },
	{ "standin_statements", 0, statements },
	{ "pg_sleep", 1, pg_sleep },
	{ "standin_name", 0, server_name },
};

void functions_register(struct standin *s, sqlite3 *db)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(functions); i++)
		sqlite3_create_function(db, functions[i].name,
					functions[i].nr_args, SQLITE_UTF8, s,
					functions[i].run, NULL, NULL);
	sqlite3_exec(db,
		     "CREATE TEMP VIEW pg_stat_wal_receiver AS SELECT "
		     "standin_received_tli() AS received_tli",
		     NULL, NULL, NULL);
}
