#include "sql_walk.h"

#include <stdlib.h>
#include <string.h>

const char sql_message_session_setting[] =
	"settings of a session are lost when its connection is shared; use SET "
	"LOCAL inside a transaction, or ALTER ROLE ... SET";
const char sql_message_temporary_object[] =
	"temporary objects are lost when the connection is shared; use a "
	"common table expression or an ordinary table";

static const char message_advisory_lock[] =
	"advisory locks of a session are lost when its connection is shared; "
	"use pg_advisory_xact_lock inside a transaction";
static const char message_notify[] =
	"notifications do not reach callers through shared connections; poll "
	"a table instead";
static const char message_last_value[] =
	"the last value belongs to another caller when the connection is "
	"shared; use INSERT ... RETURNING";

/**
 * struct node_rule - type of parse tree node that may occur in a read
 * @name: protobuf message name of the node
 * @check: additional check, NULL if the type alone is sufficient
 */
struct node_rule {
	const char *name;
	void (*check)(struct sql_walk *walk, const ProtobufCMessage *message);
};

static const char *string_value(const PgQuery__Node *node)
{
	if (node->node_case != PG_QUERY__NODE__NODE_STRING)
		return "";
	return node->string->sval;
}

/* Returns the name without schema pg_catalog, "" for any other schema. */
static const char *built_in_name(PgQuery__Node *const *names, size_t nr)
{
	if (nr == 1)
		return string_value(names[0]);
	if (nr == 2 && !strcmp(string_value(names[0]), "pg_catalog"))
		return string_value(names[1]);
	return "";
}

static void check_operator(struct sql_walk *walk, PgQuery__Node *const *names,
			   size_t nr)
{
	if (nr && !sql_operator_is_replica_safe(built_in_name(names, nr)))
		walk->replica_safe = false;
}

static void check_a_expr(struct sql_walk *walk, const ProtobufCMessage *message)
{
	const PgQuery__AExpr *expr = (const PgQuery__AExpr *)message;

	switch (expr->kind) {
	case PG_QUERY__A__EXPR__KIND__AEXPR_BETWEEN:
	case PG_QUERY__A__EXPR__KIND__AEXPR_NOT_BETWEEN:
	case PG_QUERY__A__EXPR__KIND__AEXPR_BETWEEN_SYM:
	case PG_QUERY__A__EXPR__KIND__AEXPR_NOT_BETWEEN_SYM:
		return;
	default:
		check_operator(walk, expr->name, expr->n_name);
	}
}

static void check_sub_link(struct sql_walk *walk,
			   const ProtobufCMessage *message)
{
	const PgQuery__SubLink *link = (const PgQuery__SubLink *)message;

	check_operator(walk, link->oper_name, link->n_oper_name);
}

static void check_sort_by(struct sql_walk *walk,
			  const ProtobufCMessage *message)
{
	const PgQuery__SortBy *sort = (const PgQuery__SortBy *)message;

	check_operator(walk, sort->use_op, sort->n_use_op);
}

static void check_type_name(struct sql_walk *walk,
			    const ProtobufCMessage *message)
{
	const PgQuery__TypeName *type = (const PgQuery__TypeName *)message;

	if (type->pct_type || type->setof ||
	    !sql_type_is_replica_safe(
		    built_in_name(type->names, type->n_names)))
		walk->replica_safe = false;
}

bool sql_constant_contains(const PgQuery__Node *node, const char *text)
{
	return node->node_case == PG_QUERY__NODE__NODE_A_CONST &&
	       node->a_const->val_case == PG_QUERY__A__CONST__VAL_SVAL &&
	       strstr(node->a_const->sval->sval, text);
}

/* set_config(name, value, true) has the scope of SET LOCAL. */
static bool is_local_set_config(const PgQuery__FuncCall *call)
{
	const PgQuery__Node *last;

	if (call->n_args != 3)
		return false;
	last = call->args[2];
	return last->node_case == PG_QUERY__NODE__NODE_A_CONST &&
	       last->a_const->val_case == PG_QUERY__A__CONST__VAL_BOOLVAL &&
	       last->a_const->boolval->boolval;
}

/*
 * New tables become temporary if pg_temp is the first existing schema of the
 * search path.
 */
static bool mentions_temporary_schema(const PgQuery__FuncCall *call)
{
	size_t i;

	for (i = 0; i < call->n_args; i++)
		if (sql_constant_contains(call->args[i], "pg_temp"))
			return true;
	return false;
}

static const char *set_config_message(const PgQuery__FuncCall *call)
{
	if (!is_local_set_config(call))
		return sql_message_session_setting;
	return mentions_temporary_schema(call) ? sql_message_temporary_object :
						 NULL;
}

static const char *refused_call_message(const PgQuery__FuncCall *call)
{
	const char *name;

	if (!call->n_funcname)
		return NULL;
	name = string_value(call->funcname[call->n_funcname - 1]);
	if (g_str_has_prefix(name, "pg_advisory_") ||
	    g_str_has_prefix(name, "pg_try_advisory_"))
		return strstr(name, "_xact_") ? NULL : message_advisory_lock;
	if (!strcmp(name, "pg_notify"))
		return message_notify;
	if (!strcmp(name, "set_config"))
		return set_config_message(call);
	if (!strcmp(name, "currval") || !strcmp(name, "lastval"))
		return message_last_value;
	return NULL;
}

static void check_func_call(struct sql_walk *walk,
			    const ProtobufCMessage *message)
{
	const PgQuery__FuncCall *call = (const PgQuery__FuncCall *)message;

	if (!walk->error_message)
		walk->error_message = refused_call_message(call);
	if (!sql_function_is_replica_safe(
		    built_in_name(call->funcname, call->n_funcname)))
		walk->replica_safe = false;
}

static void check_range_var(struct sql_walk *walk,
			    const ProtobufCMessage *message)
{
	const PgQuery__RangeVar *var = (const PgQuery__RangeVar *)message;

	if (!walk->error_message &&
	    (!strcmp(var->relpersistence, "t") ||
	     g_str_has_prefix(var->schemaname, "pg_temp")))
		walk->error_message = sql_message_temporary_object;
}

/* An UPDATE of the view pg_settings changes the setting for the session. */
static void check_update(struct sql_walk *walk, const ProtobufCMessage *message)
{
	const PgQuery__UpdateStmt *stmt = (const PgQuery__UpdateStmt *)message;

	walk->replica_safe = false;
	if (!walk->error_message && stmt->relation &&
	    !strcmp(stmt->relation->relname, "pg_settings"))
		walk->error_message = sql_message_session_setting;
}

static void check_string(struct sql_walk *walk, const ProtobufCMessage *message)
{
	const PgQuery__String *string = (const PgQuery__String *)message;

	if (!walk->error_message && g_str_has_prefix(string->sval, "pg_temp"))
		walk->error_message = sql_message_temporary_object;
}

/*
 * Sorted by the short name of the message in protobuf-c. A node type that is
 * not listed makes the statement a write.
 */
static const struct node_rule rules[] = {
	{ "AArrayExpr" },
	{ "AConst" },
	{ "AExpr", check_a_expr },
	{ "AIndices" },
	{ "AIndirection" },
	{ "AStar" },
	{ "Alias" },
	{ "BoolExpr" },
	{ "BooleanTest" },
	{ "CTECycleClause" },
	{ "CTESearchClause" },
	{ "CaseExpr" },
	{ "CaseWhen" },
	{ "CoalesceExpr" },
	{ "CollateClause" },
	{ "ColumnRef" },
	{ "CommonTableExpr" },
	{ "FuncCall", check_func_call },
	{ "GroupingFunc" },
	{ "GroupingSet" },
	{ "Integer" },
	{ "JoinExpr" },
	{ "List" },
	{ "MinMaxExpr" },
	{ "NamedArgExpr" },
	{ "NullTest" },
	{ "ParamRef" },
	{ "RangeFunction" },
	{ "RangeSubselect" },
	{ "RangeVar", check_range_var },
	{ "ResTarget" },
	{ "RowExpr" },
	{ "SQLValueFunction" },
	{ "SelectStmt" },
	{ "SortBy", check_sort_by },
	{ "String", check_string },
	{ "SubLink", check_sub_link },
	{ "TypeCast" },
	{ "TypeName", check_type_name },
	{ "UpdateStmt", check_update },
	{ "WindowDef" },
	{ "WithClause" },
};

static int compare_rule(const void *key, const void *item)
{
	return strcmp(key, ((const struct node_rule *)item)->name);
}

static void walk_message(struct sql_walk *walk,
			 const ProtobufCMessage *message);

static void walk_field(struct sql_walk *walk, const ProtobufCMessage *message,
		       const ProtobufCFieldDescriptor *field)
{
	const char *member = (const char *)message + field->offset;
	ProtobufCMessage *const *items;
	size_t i, nr = 1;

	if (field->label == PROTOBUF_C_LABEL_REPEATED) {
		nr = *(const size_t *)((const char *)message +
				       field->quantifier_offset);
		items = *(ProtobufCMessage *const *const *)member;
	} else {
		items = (ProtobufCMessage *const *)member;
	}
	for (i = 0; i < nr; i++)
		if (items[i])
			walk_message(walk, items[i]);
}

/* The value is embedded in A_Const and is not the name of an object. */
static bool is_constant(const ProtobufCMessage *message)
{
	return !strcmp(message->descriptor->short_name, "AConst");
}

static void walk_message(struct sql_walk *walk, const ProtobufCMessage *message)
{
	const ProtobufCMessageDescriptor *kind = message->descriptor;
	const struct node_rule *rule;
	unsigned i;

	/* Every member of the union in a Node is a pointer to a message. */
	while (!strcmp(kind->short_name, "Node")) {
		message = (const ProtobufCMessage *)((const PgQuery__Node *)
							     message)
				  ->alias;
		if (!message)
			return;
		kind = message->descriptor;
	}
	rule = bsearch(kind->short_name, rules, G_N_ELEMENTS(rules),
		       sizeof(*rules), compare_rule);
	if (!rule)
		walk->replica_safe = false;
	else if (rule->check)
		rule->check(walk, message);
	if (is_constant(message))
		return;
	for (i = 0; i < kind->n_fields; i++)
		if (kind->fields[i].type == PROTOBUF_C_TYPE_MESSAGE)
			walk_field(walk, message, &kind->fields[i]);
}

void sql_walk(struct sql_walk *walk, const PgQuery__Node *node)
{
	if (node)
		walk_message(walk, &node->base);
}
