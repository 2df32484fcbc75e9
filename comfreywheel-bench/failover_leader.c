#include "failover_world.h"

#include <string.h>

/*
 * A control VM: consensus, control state, leases. Entries are synced to disk
 * within SYNC_LEAST_US and SYNC_SPREAD_US more.
 */
#define ELECTION_US (150 * WORLD_MS)
#define RAFT_HEARTBEAT_US (50 * WORLD_MS)
#define TICK_US (10 * WORLD_MS)
#define SYNC_LEAST_US (500)
#define SYNC_SPREAD_US (2500)

/** struct synced - a write to disk under way */
struct synced {
	struct raft *raft;
	uint64_t index;
};

const char *world_cluster_name(unsigned cluster)
{
	static const char *const names[] = { "c0", "c1", "c2" };

	return names[cluster];
}

static void on_send(const struct raft_message *msg, void *data)
{
	struct control_vm *vm = data;
	struct letter l = {
		.from = vm->node,
		.to = world_control_node(vm->world, msg->to - 1),
		.kind = LETTER_RAFT,
		.raft = (struct raft_message *)msg,
	};

	world_post(vm->world, &l);
}

static void on_hard_state(const struct raft_hard_state *hs, void *data)
{
	struct control_vm *vm = data;

	vm->hard_state = *hs;
}

static void on_synced(struct world *world, int node, void *data)
{
	struct control_vm *vm =
		&world->control[node - world_control_node(world, 0)];
	struct synced *s = data;

	if (vm->up && vm->raft == s->raft)
		raft_persisted(vm->raft, s->index);
	g_free(s);
}

static void entry_clear(void *data)
{
	g_free(((struct raft_entry *)data)->data);
}

/* Entries count as written at once; a crash model of the disk is in the
 * store's own tests. */
static void on_append(const struct raft_entry *entries, size_t nr, void *data)
{
	struct control_vm *vm = data;
	struct synced *s = g_new0(struct synced, 1);
	struct raft_entry e;
	size_t i;

	if (nr && entries[0].index <= vm->entries->len)
		g_array_set_size(vm->entries, entries[0].index - 1);
	for (i = 0; i < nr; i++) {
		e = entries[i];
		e.data = g_memdup2(e.data, e.len);
		g_array_append_val(vm->entries, e);
	}
	s->raft = vm->raft;
	s->index = nr ? entries[nr - 1].index : 0;
	world_after(vm->world,
		    SYNC_LEAST_US + SYNC_SPREAD_US * world_uniform(vm->world),
		    vm->node, on_synced, s);
}

void world_propose(struct control_vm *vm, Wire__LogEntry *entry)
{
	size_t len = wire__log_entry__get_packed_size(entry);
	g_autofree uint8_t *bytes = g_malloc(len);

	wire__log_entry__pack(entry, bytes);
	raft_propose(vm->raft, bytes, len, NULL, NULL);
}

static void propose_clusters(struct control_vm *vm)
{
	Wire__ClusterFound found = WIRE__CLUSTER_FOUND__INIT;
	Wire__LogEntry entry = WIRE__LOG_ENTRY__INIT;
	char primary[16];
	unsigned i;

	entry.body_case = WIRE__LOG_ENTRY__BODY_CLUSTER_FOUND;
	entry.cluster_found = &found;
	found.service = WORLD_SERVICE;
	found.term = 1;
	found.primary = primary;
	for (i = 0; i < vm->world->config.clusters; i++) {
		found.cluster = (char *)world_cluster_name(i);
		g_snprintf(primary, sizeof(primary), "%d",
			   world_database_node(vm->world, i, 0));
		if (!control_state_cluster(&vm->state, WORLD_SERVICE,
					   found.cluster))
			world_propose(vm, &entry);
	}
}

static void become_leader(struct control_vm *vm)
{
	vm->leads = true;
	lease_table_become_leader(&vm->leases,
				  world_clock(vm->world, vm->node));
	memset(vm->views, 0, vm->world->config.daemons * sizeof(*vm->views));
	propose_clusters(vm);
	world_begin_runs(vm);
}

bool world_may_grant(const struct control_vm *vm)
{
	return vm->leads && raft_is_leader(vm->raft) &&
	       world_clock(vm->world, vm->node) < raft_lease_until_us(vm->raft);
}

void world_grant(struct control_vm *vm, int daemon)
{
	const struct daemon_view *view = &vm->views[daemon];
	const struct control_cluster *c;
	struct letter l = {
		.from = vm->node,
		.to = daemon,
		.kind = LETTER_GRANT,
		.incarnation = view->incarnation,
		.write = view->sequence,
		.timeline = raft_term(vm->raft),
	};
	unsigned i;

	for (i = 0; i < vm->world->config.clusters; i++) {
		c = control_state_cluster(&vm->state, WORLD_SERVICE,
					  world_cluster_name(i));
		if (!c)
			continue;
		l.reports[i].term = c->term;
		l.reports[i].primary = atoi(c->primary);
		l.reports[i].fenced = c->step == FAILOVER_FENCING ||
				      c->step == FAILOVER_PROMOTING;
	}
	world_post(vm->world, &l);
}

static void note_step(struct control_vm *vm, unsigned cluster, int step,
		      uint32_t term)
{
	const struct control_cluster *c = control_state_cluster(
		&vm->state, WORLD_SERVICE, world_cluster_name(cluster));
	unsigned i;

	if (c->term != term)
		world_check_served(vm->world, cluster, c->term,
				   atoi(c->primary));
	if (term && c->step == step && c->step != FAILOVER_PROMOTING)
		return;
	world_step_applied(vm, cluster, c->step);
	/* The others would learn of it at their next heartbeat only. */
	for (i = 0; c->step == FAILOVER_DONE && world_may_grant(vm) &&
		    i < vm->world->config.daemons;
	     i++)
		if (vm->views[i].sequence)
			world_grant(vm, i);
}

static void on_apply(const struct raft_entry *entry, void *data)
{
	struct control_vm *vm = data;
	const struct control_cluster *c;
	int steps[WORLD_CLUSTERS_MAX] = { 0 };
	uint32_t terms[WORLD_CLUSTERS_MAX] = { 0 };
	uint64_t version;
	unsigned i;

	if (entry->kind == RAFT_ENTRY_NOOP && raft_is_leader(vm->raft) &&
	    entry->term == raft_term(vm->raft))
		become_leader(vm);
	if (entry->kind != RAFT_ENTRY_DATA)
		return;
	for (i = 0; i < vm->world->config.clusters; i++) {
		c = control_state_cluster(&vm->state, WORLD_SERVICE,
					  world_cluster_name(i));
		steps[i] = c ? c->step : 0;
		terms[i] = c ? c->term : 0;
	}
	version = vm->state.tables.version;
	control_state_apply(&vm->state, entry->data, entry->len, NULL);
	if (vm->leads && vm->state.tables.version != version)
		world_push_tables(vm);
	for (i = 0; i < vm->world->config.clusters; i++) {
		c = control_state_cluster(&vm->state, WORLD_SERVICE,
					  world_cluster_name(i));
		if (c)
			note_step(vm, i, steps[i], terms[i]);
	}
}

static const struct raft_ops ops = {
	.send = on_send,
	.save_hard_state = on_hard_state,
	.append = on_append,
	.apply = on_apply,
};

static void on_tick(struct world *world, int node, void *data)
{
	struct control_vm *vm =
		&world->control[node - world_control_node(world, 0)];
	const struct synced *s = data;
	unsigned i;

	if (!vm->up || vm->raft != s->raft) {
		g_free(data);
		return;
	}
	raft_tick(vm->raft, world_clock(world, node));
	if (!raft_is_leader(vm->raft))
		vm->leads = false;
	for (i = 0; vm->leads && i < world->config.clusters; i++)
		world_drive(vm, i);
	world_after(world, TICK_US, node, on_tick, data);
}

void world_control_start(struct world *world, unsigned nr)
{
	struct control_vm *vm = &world->control[nr];
	struct raft_config config = {
		.id = nr + 1,
		.election_timeout_us = ELECTION_US,
		.heartbeat_interval_us = RAFT_HEARTBEAT_US,
		.snapshot_entries = UINT64_MAX,
		.seed = world->config.seed,
	};
	struct raft_recovered recovered = { 0 };
	struct synced *s = g_new0(struct synced, 1);
	unsigned i;

	vm->world = world;
	vm->node = world_control_node(world, nr);
	vm->up = true;
	if (!vm->entries) {
		vm->entries =
			g_array_new(FALSE, FALSE, sizeof(struct raft_entry));
		g_array_set_clear_func(vm->entries, entry_clear);
	}
	control_state_init(&vm->state);
	lease_table_init(&vm->leases, LEASE_DURATION_US);
	vm->views = g_new0(struct daemon_view, world->config.daemons);
	for (i = 0; i < world->config.control_vms; i++)
		recovered.members.member[i] =
			(struct raft_member){ .id = i + 1, .voter = true };
	recovered.members.nr = world->config.control_vms;
	recovered.hard_state = vm->hard_state;
	recovered.entries = (struct raft_entry *)vm->entries->data;
	recovered.nr_entries = vm->entries->len;
	vm->raft = raft_new(&config, &recovered, &ops, vm,
			    world_clock(world, vm->node));
	s->raft = vm->raft;
	world_after(world, TICK_US * world_uniform(world), vm->node, on_tick,
		    s);
}

void world_control_stop(struct world *world, unsigned nr)
{
	struct control_vm *vm = &world->control[nr];

	if (!vm->up)
		return;
	vm->up = false;
	vm->leads = false;
	raft_free(vm->raft);
	vm->raft = NULL;
	control_state_finish(&vm->state);
	lease_table_finish(&vm->leases);
	g_free(vm->views);
}

int world_leader(const struct world *world)
{
	unsigned i;

	for (i = 0; i < world->config.control_vms; i++)
		if (world->control[i].up && world_may_grant(&world->control[i]))
			return i;
	return -1;
}

void world_control_receive(struct world *world, const struct letter *l)
{
	struct control_vm *vm =
		&world->control[l->to - world_control_node(world, 0)];

	if (!vm->up)
		return;
	switch (l->kind) {
	case LETTER_RAFT:
		raft_receive(vm->raft, l->raft, world_clock(world, vm->node));
		break;
	case LETTER_HEARTBEAT:
		world_take_heartbeat(vm, l);
		break;
	case LETTER_POSITION:
		if (vm->leads)
			world_take_position(vm, l);
		break;
	default:
		break;
	}
}
