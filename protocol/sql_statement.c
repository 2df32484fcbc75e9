#include "sql_walk.h"

#include <string.h>

#define SQLSTATE_NOT_SUPPORTED "0A000"
#define SQLSTATE_INVALID_PARAMETER_VALUE "22023"

#define SETTING_PREFIX "comfreywheel."

void sql_refuse(struct sql_class *out, const char *sqlstate,
		const char *error_message)
{
	out->kind = SQL_REFUSED;
	out->sqlstate = sqlstate;
	out->error_message = error_message;
}

void sql_refuse_unsupported(struct sql_class *out, const char *error_message)
{
	sql_refuse(out, SQLSTATE_NOT_SUPPORTED, error_message);
}

/*
 * Returns the error message for a statement that keeps state in one connection
 * or, like COPY, at both of its ends; NULL if the statement is supported.
 */
static const char *unsupported_statement_message(const PgQuery__Node *stmt)
{
	switch (stmt->node_case) {
	case PG_QUERY__NODE__NODE_COPY_STMT:
		return "COPY is not supported; use INSERT with several rows, "
		       "or SELECT";
	case PG_QUERY__NODE__NODE_LISTEN_STMT:
	case PG_QUERY__NODE__NODE_UNLISTEN_STMT:
	case PG_QUERY__NODE__NODE_NOTIFY_STMT:
		return "notifications do not reach callers through shared "
		       "connections; poll a table instead";
	case PG_QUERY__NODE__NODE_PREPARE_STMT:
	case PG_QUERY__NODE__NODE_EXECUTE_STMT:
	case PG_QUERY__NODE__NODE_DEALLOCATE_STMT:
		return "prepared statements in SQL are lost when the "
		       "connection is shared; use protocol-level ones";
	case PG_QUERY__NODE__NODE_LOAD_STMT:
		return "a library loaded into one connection is missing in "
		       "the others; set shared_preload_libraries";
	case PG_QUERY__NODE__NODE_DISCARD_STMT:
		return "DISCARD would reset a connection that others share; "
		       "remove it";
	default:
		return NULL;
	}
}

static void classify_by_walk(const PgQuery__Node *stmt, struct sql_class *out)
{
	struct sql_walk walk = { .replica_safe = true };

	sql_walk(&walk, stmt);
	if (walk.error_message)
		sql_refuse_unsupported(out, walk.error_message);
	else
		out->kind = walk.replica_safe ? SQL_READ : SQL_WRITE;
}

static bool option_is_set(const PgQuery__DefElem *option)
{
	const PgQuery__Node *arg = option->arg;

	return arg && arg->node_case == PG_QUERY__NODE__NODE_A_CONST &&
	       arg->a_const->val_case == PG_QUERY__A__CONST__VAL_IVAL &&
	       arg->a_const->ival->ival;
}

/* READ ONLY and READ WRITE together count as READ WRITE. */
static bool is_read_only(const PgQuery__TransactionStmt *stmt)
{
	const PgQuery__DefElem *option;
	bool read_only = false;
	size_t i;

	for (i = 0; i < stmt->n_options; i++) {
		if (stmt->options[i]->node_case !=
		    PG_QUERY__NODE__NODE_DEF_ELEM)
			return false;
		option = stmt->options[i]->def_elem;
		if (strcmp(option->defname, "transaction_read_only"))
			continue;
		if (!option_is_set(option))
			return false;
		read_only = true;
	}
	return read_only;
}

static void classify_transaction(const PgQuery__TransactionStmt *stmt,
				 struct sql_class *out)
{
	if (stmt->chain) {
		sql_refuse_unsupported(out,
				       "AND CHAIN is not supported; end the "
				       "transaction and send BEGIN");
		return;
	}
	switch (stmt->kind) {
	case PG_QUERY__TRANSACTION_STMT_KIND__TRANS_STMT_BEGIN:
	case PG_QUERY__TRANSACTION_STMT_KIND__TRANS_STMT_START:
		out->kind = SQL_BEGIN;
		out->read_only = is_read_only(stmt);
		break;
	case PG_QUERY__TRANSACTION_STMT_KIND__TRANS_STMT_COMMIT:
		out->kind = SQL_COMMIT;
		break;
	case PG_QUERY__TRANSACTION_STMT_KIND__TRANS_STMT_ROLLBACK:
		out->kind = SQL_ROLLBACK;
		break;
	case PG_QUERY__TRANSACTION_STMT_KIND__TRANS_STMT_SAVEPOINT:
	case PG_QUERY__TRANSACTION_STMT_KIND__TRANS_STMT_RELEASE:
	case PG_QUERY__TRANSACTION_STMT_KIND__TRANS_STMT_ROLLBACK_TO:
		out->kind = SQL_SAVEPOINT;
		break;
	default:
		sql_refuse_unsupported(
			out, "two-phase commit is not supported; commit "
			     "each database separately");
	}
}

static bool is_proxy_setting(const char *name)
{
	return !g_ascii_strncasecmp(name, SETTING_PREFIX,
				    strlen(SETTING_PREFIX));
}

/* Setting names are case-insensitive in PostgreSQL. */
static bool copy_setting_name(const char *name, struct sql_class *out)
{
	char *lower;

	if (strlen(name) >= sizeof(out->name)) {
		sql_refuse(out, SQLSTATE_INVALID_PARAMETER_VALUE,
			   "there is no setting of this name; see "
			   "comfreywheeld(8) for the settings of callers");
		return false;
	}
	lower = g_ascii_strdown(name, -1);
	g_strlcpy(out->name, lower, sizeof(out->name));
	g_free(lower);
	return true;
}

static bool copy_setting_value(const PgQuery__Node *arg, struct sql_class *out)
{
	size_t len, size = sizeof(out->value);

	if (arg->node_case != PG_QUERY__NODE__NODE_A_CONST)
		return false;
	switch (arg->a_const->val_case) {
	case PG_QUERY__A__CONST__VAL_SVAL:
		len = g_strlcpy(out->value, arg->a_const->sval->sval, size);
		break;
	case PG_QUERY__A__CONST__VAL_FVAL:
		len = g_strlcpy(out->value, arg->a_const->fval->fval, size);
		break;
	case PG_QUERY__A__CONST__VAL_IVAL:
		len = g_snprintf(out->value, size, "%d",
				 arg->a_const->ival->ival);
		break;
	default:
		return false;
	}
	return len < size;
}

static void classify_proxy_set(const PgQuery__VariableSetStmt *stmt,
			       struct sql_class *out)
{
	if (!copy_setting_name(stmt->name, out))
		return;
	if (stmt->is_local) {
		sql_refuse_unsupported(out,
				       "settings of comfreywheel belong to the "
				       "session; use SET without LOCAL");
		return;
	}
	if (stmt->kind != PG_QUERY__VARIABLE_SET_KIND__VAR_SET_VALUE) {
		out->value_is_default = true;
	} else if (stmt->n_args != 1 ||
		   !copy_setting_value(stmt->args[0], out)) {
		sql_refuse(
			out, SQLSTATE_INVALID_PARAMETER_VALUE,
			"the value is not one string or number of at most 255 "
			"bytes; shorten it or put it in quotes");
		return;
	}
	out->kind = SQL_PROXY_SET;
}

static bool mentions_temporary_schema(const PgQuery__VariableSetStmt *stmt)
{
	size_t i;

	for (i = 0; i < stmt->n_args; i++)
		if (sql_constant_contains(stmt->args[i], "pg_temp"))
			return true;
	return false;
}

static void classify_set(const PgQuery__VariableSetStmt *stmt,
			 struct sql_class *out)
{
	bool multi = stmt->kind == PG_QUERY__VARIABLE_SET_KIND__VAR_SET_MULTI;

	if (is_proxy_setting(stmt->name))
		classify_proxy_set(stmt, out);
	else if (multi && !strcmp(stmt->name, "TRANSACTION SNAPSHOT"))
		sql_refuse_unsupported(
			out, "a snapshot belongs to one database; read "
			     "inside one transaction instead");
	else if (mentions_temporary_schema(stmt))
		sql_refuse_unsupported(out, sql_message_temporary_object);
	else if (stmt->is_local ||
		 (multi && !strcmp(stmt->name, "TRANSACTION")))
		out->kind = SQL_SET_LOCAL;
	else
		sql_refuse_unsupported(out, sql_message_session_setting);
}

/* Their values differ between primary and replica; the primary answers. */
static bool depends_on_role(const char *setting)
{
	return !strcmp(setting, "transaction_read_only") ||
	       !strcmp(setting, "default_transaction_read_only") ||
	       !strcmp(setting, "in_hot_standby") || !strcmp(setting, "all");
}

static void classify_show(const PgQuery__VariableShowStmt *stmt,
			  struct sql_class *out)
{
	if (!is_proxy_setting(stmt->name))
		out->kind = depends_on_role(stmt->name) ? SQL_WRITE : SQL_READ;
	else if (copy_setting_name(stmt->name, out))
		out->kind = SQL_PROXY_SHOW;
}

/*
 * EXPLAIN ANALYZE executes the statement. Without ANALYZE a write is still
 * classified as a write, because it may wait.
 */
static void classify_explain(const PgQuery__ExplainStmt *stmt,
			     struct sql_class *out)
{
	const char *error_message = unsupported_statement_message(stmt->query);

	if (error_message)
		sql_refuse_unsupported(out, error_message);
	else
		classify_by_walk(stmt->query, out);
}

/* Flag in DeclareCursorStmt.options, from PostgreSQL's parsenodes.h. */
#define CURSOR_OPT_HOLD 0x0020

static void classify_cursor(const PgQuery__DeclareCursorStmt *stmt,
			    struct sql_class *out)
{
	if (stmt->options & CURSOR_OPT_HOLD) {
		sql_refuse_unsupported(out,
				       "cursors WITH HOLD are lost when the "
				       "connection is shared; remove WITH HOLD "
				       "and stay in one transaction");
		return;
	}
	classify_by_walk(stmt->query, out);
	if (out->kind == SQL_READ)
		out->kind = SQL_WRITE;
}

void sql_classify_statement(const PgQuery__Node *stmt, struct sql_class *out)
{
	const char *error_message = unsupported_statement_message(stmt);

	if (error_message) {
		sql_refuse_unsupported(out, error_message);
		return;
	}
	switch (stmt->node_case) {
	case PG_QUERY__NODE__NODE_TRANSACTION_STMT:
		classify_transaction(stmt->transaction_stmt, out);
		break;
	case PG_QUERY__NODE__NODE_VARIABLE_SET_STMT:
		classify_set(stmt->variable_set_stmt, out);
		break;
	case PG_QUERY__NODE__NODE_VARIABLE_SHOW_STMT:
		classify_show(stmt->variable_show_stmt, out);
		break;
	case PG_QUERY__NODE__NODE_EXPLAIN_STMT:
		classify_explain(stmt->explain_stmt, out);
		break;
	case PG_QUERY__NODE__NODE_DECLARE_CURSOR_STMT:
		classify_cursor(stmt->declare_cursor_stmt, out);
		break;
	default:
		classify_by_walk(stmt, out);
	}
}
