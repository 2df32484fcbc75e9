#include "failover_world.h"

#include <string.h>

/*
 * The leader's side of heartbeats: members, leases, tables. Tables that were
 * not confirmed are sent again after RESEND_US.
 */
#define RESEND_US (1000 * WORLD_MS)

static const char routes[] = "[route dispatchers]\n"
			     "service = grindplan-db\n"
			     "callers = dispatcher-*\n"
			     "tenant = lakeshore\n"
			     "weight = 4\n"
			     "pool = grindplan\n";
static const char pools[] = "[pool grindplan]\n"
			    "service = grindplan-db\n"
			    "clusters = west, central, east\n"
			    "slots = 2\n"
			    "connections = 16\n"
			    "max_connections = 16\n";

static void add_member(struct control_vm *vm, char *name)
{
	Wire__Member member = WIRE__MEMBER__INIT;
	Wire__MemberChange change = WIRE__MEMBER_CHANGE__INIT;
	Wire__LogEntry entry = WIRE__LOG_ENTRY__INIT;

	member.daemon = name;
	change.member = &member;
	entry.body_case = WIRE__LOG_ENTRY__BODY_MEMBER;
	entry.member = &change;
	world_propose(vm, &entry);
}

static void redirect(struct control_vm *vm, const struct letter *l)
{
	struct letter reply = { .from = vm->node,
				.to = l->from,
				.kind = LETTER_REDIRECT,
				.about = raft_leader(vm->raft) };

	if (reply.about != vm->node - world_control_node(vm->world, 0) + 1)
		world_post(vm->world, &reply);
}

static void push_tables(struct control_vm *vm, int daemon)
{
	struct daemon_view *view = &vm->views[daemon];
	int64_t now = world_clock(vm->world, vm->node);
	struct letter l = { .from = vm->node,
			    .to = daemon,
			    .kind = LETTER_TABLES,
			    .tables_version = vm->state.tables.version };

	if (!view->sequence || view->tables_version >= l.tables_version ||
	    (view->pushed_us && now - view->pushed_us < RESEND_US))
		return;
	view->pushed_us = now;
	world_post(vm->world, &l);
}

void world_push_tables(struct control_vm *vm)
{
	unsigned i;

	for (i = 0; i < vm->world->config.daemons; i++) {
		vm->views[i].pushed_us = 0;
		push_tables(vm, i);
	}
}

bool world_change_tables(struct world *world, const char *request_id,
			 uint64_t base_version)
{
	Wire__TablesChange change = WIRE__TABLES_CHANGE__INIT;
	Wire__LogEntry entry = WIRE__LOG_ENTRY__INIT;
	int leader = world_leader(world);

	if (leader < 0)
		return false;
	change.request_id = (char *)request_id;
	change.base_version = base_version;
	change.routes = (char *)routes;
	change.pools = (char *)pools;
	change.operator_name = "operator";
	entry.body_case = WIRE__LOG_ENTRY__BODY_TABLES;
	entry.tables = &change;
	world_propose(&world->control[leader], &entry);
	return true;
}

void world_take_heartbeat(struct control_vm *vm, const struct letter *l)
{
	struct daemon_view *view = &vm->views[l->from];
	char name[16];
	unsigned i;

	if (!world_may_grant(vm)) {
		redirect(vm, l);
		return;
	}
	g_snprintf(name, sizeof(name), "%d", l->from);
	if (!control_state_member(&vm->state, name)) {
		add_member(vm, name);
		return;
	}
	if (l->incarnation < view->incarnation ||
	    (l->incarnation == view->incarnation && l->write < view->sequence))
		return;
	view->incarnation = l->incarnation;
	view->sequence = l->write;
	view->tables_version = l->tables_version;
	memcpy(view->reports, l->reports, sizeof(view->reports));
	lease_table_grant(&vm->leases, name, world_clock(vm->world, vm->node));
	world_grant(vm, l->from);
	push_tables(vm, l->from);
	for (i = 0; i < vm->world->config.clusters; i++)
		world_drive(vm, i);
}
