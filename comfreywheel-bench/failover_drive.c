#include "failover_world.h"

#include <string.h>

/*
 * The leader's driver of failover.h: builds the view from heartbeats and
 * answers, and carries out what is ordered.
 */
#define ACK_REPLICAS 1
/* Orders carried out at once before the next event. */
#define ORDERS_MAX 4

static struct control_cluster *cluster_of(struct control_vm *vm,
					  unsigned cluster)
{
	return control_state_cluster(&vm->state, WORLD_SERVICE,
				     world_cluster_name(cluster));
}

static int replica_index(const struct control_vm *vm, unsigned cluster,
			 int node)
{
	int i;

	for (i = 0; i < WORLD_REPLICATION - 1; i++)
		if (vm->replica_node[cluster][i] == node)
			return i;
	return -1;
}

/* The replicas of a run are all databases but the primary at its begin. */
static void list_replicas(struct control_vm *vm, unsigned cluster)
{
	int primary = atoi(cluster_of(vm, cluster)->primary), node;
	unsigned i, nr = 0;

	memset(vm->replicas[cluster], 0, sizeof(vm->replicas[cluster]));
	for (i = 0; i < WORLD_REPLICATION; i++) {
		node = world_database_node(vm->world, cluster, i);
		if (node != primary && nr < WORLD_REPLICATION - 1)
			vm->replica_node[cluster][nr++] = node;
	}
}

void world_begin_runs(struct control_vm *vm)
{
	int64_t now = world_clock(vm->world, vm->node);
	struct control_cluster *c;
	unsigned i;
	int candidate;

	for (i = 0; i < vm->world->config.clusters; i++) {
		c = cluster_of(vm, i);
		if (!c)
			continue;
		list_replicas(vm, i);
		candidate = *c->candidate ?
				    replica_index(vm, i, atoi(c->candidate)) :
				    -1;
		failover_resume(&vm->runs[i], (enum failover_step)c->step,
				c->term, candidate, now);
	}
}

void world_step_applied(struct control_vm *vm, unsigned cluster, int step)
{
	struct world_times *t = &vm->world->times[cluster];
	struct control_cluster *c = cluster_of(vm, cluster);
	int64_t now = world_clock(vm->world, vm->node);
	int candidate = -1;

	if (step == FAILOVER_PROMOTING && t->promoting_us < 0)
		t->promoting_us = vm->world->now_us;
	if (step == FAILOVER_DONE && t->done_us < 0)
		t->done_us = vm->world->now_us;
	if (!vm->leads)
		return;
	if (vm->world->on_step)
		vm->world->on_step(vm->world, vm->node,
				   *c->candidate ? atoi(c->candidate) : -1,
				   step);
	if (step == FAILOVER_NONE) {
		list_replicas(vm, cluster);
		failover_init(&vm->runs[cluster], c->term);
		return;
	}
	if (step == FAILOVER_FENCING) {
		vm->world->fences++;
		list_replicas(vm, cluster);
	}
	if (*c->candidate)
		candidate = replica_index(vm, cluster, atoi(c->candidate));
	failover_step_committed(&vm->runs[cluster], (enum failover_step)step,
				candidate, now);
	/* A DONE that an earlier leader proposed names the new term. */
	if (step == FAILOVER_DONE)
		vm->runs[cluster].term = c->term;
}

static void view_daemon(struct control_vm *vm, unsigned cluster, int node,
			struct failover_daemon *d)
{
	int64_t now = world_clock(vm->world, vm->node);
	const struct world_report *r = &vm->views[node].reports[cluster];
	bool current = r->term == cluster_of(vm, cluster)->term;
	char name[16];

	g_snprintf(name, sizeof(name), "%d", node);
	d->name = "daemon";
	d->live = lease_table_is_live(&vm->leases, name, now);
	d->lease_expires_us = lease_table_expires_us(&vm->leases, name);
	d->uses_cluster = true;
	d->suspects = current && r->suspect;
	d->fence_confirmed = current && r->confirmed;
	d->acknowledged = r->acknowledged;
}

static void propose_step(struct control_vm *vm, unsigned cluster,
			 const struct failover_decision *order)
{
	const struct failover *fo = &vm->runs[cluster];
	Wire__FailoverStep step = WIRE__FAILOVER_STEP__INIT;
	Wire__LogEntry entry = WIRE__LOG_ENTRY__INIT;
	char candidate[16] = "";
	size_t len;
	g_autofree uint8_t *bytes = NULL;

	if (order->candidate >= 0)
		g_snprintf(candidate, sizeof(candidate), "%d",
			   vm->replica_node[cluster][order->candidate]);
	step.service = WORLD_SERVICE;
	step.cluster = (char *)world_cluster_name(cluster);
	step.step = (Wire__FailoverStep__Step)order->step;
	step.old_term = fo->term;
	step.candidate = candidate;
	step.new_term = fo->new_term;
	step.switch_lsn = vm->switch_lsn[cluster];
	entry.body_case = WIRE__LOG_ENTRY__BODY_FAILOVER;
	entry.failover = &step;
	len = wire__log_entry__get_packed_size(&entry);
	bytes = g_malloc(len);
	wire__log_entry__pack(&entry, bytes);
	raft_propose(vm->raft, bytes, len, NULL, NULL);
}

static void send_fences(struct control_vm *vm, unsigned cluster,
			const struct failover_daemon *daemons)
{
	struct letter l = { .from = vm->node,
			    .kind = LETTER_FENCE,
			    .about = cluster };
	unsigned i;

	l.reports[0].term = vm->runs[cluster].term;
	for (i = 0; i < vm->world->config.daemons; i++) {
		l.to = i;
		if (!daemons[i].fence_confirmed)
			world_post(vm->world, &l);
	}
}

/* Answers carry the number of the run, so that late ones do not count. */
static void to_replicas(struct control_vm *vm, unsigned cluster,
			enum letter_kind kind, int only)
{
	struct letter l = { .from = vm->node,
			    .kind = kind,
			    .about = cluster,
			    .write = vm->runs[cluster].started_us };
	int i;

	if (kind == LETTER_REPOINT)
		l.about = atoi(cluster_of(vm, cluster)->primary);
	for (i = 0; i < WORLD_REPLICATION - 1; i++) {
		l.to = vm->replica_node[cluster][i];
		if (only < 0 || only == i)
			world_post(vm->world, &l);
	}
}

static void carry_out(struct control_vm *vm, unsigned cluster,
		      const struct failover_decision *order,
		      const struct failover_daemon *daemons)
{
	switch (order->action) {
	case FAILOVER_PROPOSE_STEP:
		if (order->step == FAILOVER_FENCING &&
		    vm->world->times[cluster].suspected_us < 0)
			vm->world->times[cluster].suspected_us =
				vm->world->now_us;
		propose_step(vm, cluster, order);
		break;
	case FAILOVER_SEND_FENCES:
		send_fences(vm, cluster, daemons);
		break;
	case FAILOVER_QUERY_POSITIONS:
		to_replicas(vm, cluster, LETTER_ASK, -1);
		break;
	case FAILOVER_PROMOTE:
		vm->replicas[cluster][order->candidate].answered = false;
		to_replicas(vm, cluster, LETTER_PROMOTE, order->candidate);
		break;
	case FAILOVER_REPOINT:
		to_replicas(vm, cluster, LETTER_REPOINT, -1);
		to_replicas(vm, cluster, LETTER_ASK, -1);
		break;
	case FAILOVER_WAIT:
		break;
	}
}

/* Between fail-overs daemons report what an operator made a replica again. */
static void doubt_promoted(struct control_vm *vm, unsigned cluster)
{
	enum failover_step step = vm->runs[cluster].step;
	struct failover_replica *r;
	unsigned i;

	if (step == FAILOVER_FENCING || step == FAILOVER_PROMOTING)
		return;
	for (i = 0; i < WORLD_REPLICATION - 1; i++) {
		r = &vm->replicas[cluster][i];
		r->answered = r->answered && !r->promoted;
	}
}

void world_drive(struct control_vm *vm, unsigned cluster)
{
	struct world_times *t = &vm->world->times[cluster];
	unsigned nr = vm->world->config.daemons, i;
	g_autofree struct failover_daemon *daemons =
		g_new0(struct failover_daemon, nr);
	struct failover *fo = &vm->runs[cluster];
	struct failover_view view = {
		.daemons = daemons,
		.nr_daemons = nr,
		.replicas = vm->replicas[cluster],
		.nr_replicas = WORLD_REPLICATION - 1,
		.ack_replicas = ACK_REPLICAS,
		.earlier_leases_end_us =
			lease_table_earlier_leases_end_us(&vm->leases),
		.max_lease_us = lease_table_max_lease_us(&vm->leases),
	};
	struct failover_decision order;

	if (!vm->leads || !cluster_of(vm, cluster))
		return;
	doubt_promoted(vm, cluster);
	for (i = 0; i < nr; i++)
		view_daemon(vm, cluster, i, &daemons[i]);
	for (i = 0; i < ORDERS_MAX; i++) {
		failover_next(fo, &view, world_clock(vm->world, vm->node),
			      &order);
		if (fo->step == FAILOVER_FENCING && fo->fenced_us >= 0 &&
		    t->fenced_us < 0)
			t->fenced_us = vm->world->now_us;
		if (order.action == FAILOVER_WAIT)
			return;
		carry_out(vm, cluster, &order, daemons);
	}
}

void world_take_position(struct control_vm *vm, const struct letter *l)
{
	unsigned cluster = l->about;
	int at = replica_index(vm, cluster, l->from);
	struct failover_replica *r;

	if (at < 0 || l->write != (uint64_t)vm->runs[cluster].started_us)
		return;
	r = &vm->replicas[cluster][at];
	r->name = "replica";
	r->answered = true;
	r->promoted = l->promoted;
	r->received = l->position;
	if (l->promoted)
		vm->switch_lsn[cluster] = l->timeline;
	world_drive(vm, cluster);
}
