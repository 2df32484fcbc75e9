#include "failover_world.h"

#include <stdarg.h>

/* Latency varies by up to this part of its least value. */
#define JITTER 0.5
/* Linux' least retransmission timeout, doubled at each further loss. */
#define RETRANSMIT_US (200 * WORLD_MS)
/* A VM sends one gigabit a second. */
#define BYTES_PER_US 125
/* Part of the messages that arrive twice on a link that is not reliable. */
#define DOUBLED 0.05

static bool before(const struct event *a, const struct event *b)
{
	if (a->at_us != b->at_us)
		return a->at_us < b->at_us;
	return a->sequence < b->sequence;
}

static struct event *event_at(struct world *world, guint i)
{
	return &g_array_index(world->events, struct event, i);
}

static void swap(struct world *world, guint i, guint j)
{
	struct event e = *event_at(world, i);

	*event_at(world, i) = *event_at(world, j);
	*event_at(world, j) = e;
}

static void push(struct world *world, struct event event)
{
	guint i = world->events->len, parent;

	event.sequence = world->sequence++;
	g_array_append_val(world->events, event);
	while (i && (parent = (i - 1) / 2,
		     before(event_at(world, i), event_at(world, parent)))) {
		swap(world, i, parent);
		i = parent;
	}
}

static struct event pop(struct world *world)
{
	struct event first = *event_at(world, 0);
	guint i = 0, child, len = world->events->len - 1;

	swap(world, 0, len);
	g_array_set_size(world->events, len);
	while ((child = 2 * i + 1) < len) {
		if (child + 1 < len &&
		    before(event_at(world, child + 1), event_at(world, child)))
			child++;
		if (before(event_at(world, i), event_at(world, child)))
			break;
		swap(world, i, child);
		i = child;
	}
	return first;
}

double world_uniform(struct world *world)
{
	return gsl_rng_uniform(world->rng);
}

void world_after(struct world *world, int64_t delay_us, int node,
		 void (*run)(struct world *, int, void *), void *data)
{
	push(world, (struct event){ .at_us = world->now_us + delay_us,
				    .run = run,
				    .node = node,
				    .data = data });
}

int world_control_node(const struct world *world, unsigned vm)
{
	return world->config.daemons + vm;
}

int world_database_node(const struct world *world, unsigned cluster,
			unsigned database)
{
	return world->config.daemons + world->config.control_vms +
	       cluster * WORLD_REPLICATION + database;
}

struct database *world_database(struct world *world, int node)
{
	return &world->databases[node - world_database_node(world, 0, 0)];
}

int world_zone(const struct world *world, int node)
{
	int databases = world_database_node(world, 0, 0);

	if (node >= databases)
		return ((node - databases) / WORLD_REPLICATION + node -
			databases) %
		       world->config.zones;
	if (node >= world_control_node(world, 0))
		node -= world_control_node(world, 0);
	return node % world->config.zones;
}

int64_t world_clock(const struct world *world, int node)
{
	return world->clock_offset[node] +
	       (int64_t)(world->now_us * world->clock_rate[node]);
}

void world_cut(struct world *world, int a, int b, bool cut)
{
	world->cut[a * world->nr_nodes + b] = cut;
}

void world_isolate(struct world *world, int node, int friend, bool cut)
{
	int other;

	for (other = 0; other < world->nr_nodes; other++) {
		if (other == node || other == friend)
			continue;
		world_cut(world, node, other, cut);
		world_cut(world, other, node, cut);
	}
}

void world_break(struct world *world, const char *fmt, ...)
{
	va_list ap;

	if (world->violation)
		return;
	va_start(ap, fmt);
	world->violation = g_strdup_vprintf(fmt, ap);
	va_end(ap);
}

static void letter_free(struct letter *l)
{
	size_t i;

	if (l->raft) {
		for (i = 0; i < l->raft->nr_entries; i++)
			g_free(l->raft->entries[i].data);
		g_free(l->raft->entries);
		g_free((void *)l->raft->snapshot);
		g_free(l->raft);
	}
	g_free(l);
}

static void arrive(struct world *world, int node, void *data)
{
	struct letter *l = data;

	if (world->cut[l->from * world->nr_nodes + node])
		;
	else if (node < world_control_node(world, 0))
		world_daemon_receive(world, l);
	else if (node >= world_database_node(world, 0, 0))
		world_database_receive(world, l);
	else if (world->config.naive)
		world_naive_receive(world, l);
	else
		world_control_receive(world, l);
	letter_free(l);
}

static struct raft_message *copy_raft(const struct raft_message *from)
{
	struct raft_message *m = g_memdup2(from, sizeof(*from));
	size_t i;

	m->entries = g_memdup2(from->entries,
			       from->nr_entries * sizeof(*from->entries));
	for (i = 0; i < from->nr_entries; i++)
		m->entries[i].data =
			g_memdup2(from->entries[i].data, from->entries[i].len);
	m->snapshot = g_memdup2(from->snapshot, from->snapshot_len);
	return m;
}

static void send_copy(struct world *world, const struct letter *letter,
		      int64_t delay_us)
{
	struct letter *l = g_memdup2(letter, sizeof(*letter));
	int64_t *last =
		&world->last_arrival_us[l->from * world->nr_nodes + l->to];
	int64_t at_us = world->now_us + delay_us;

	if (letter->raft)
		l->raft = copy_raft(letter->raft);
	if (world->config.reliable)
		at_us = MAX(at_us, *last);
	*last = at_us;
	world_after(world, at_us - world->now_us, l->to, arrive, l);
}

/*
 * A reliable link is a TCP connection: a loss delays a message and all those
 * behind it. Otherwise messages are lost, doubled and reordered.
 */
void world_post(struct world *world, const struct letter *letter)
{
	const struct world_config *c = &world->config;
	bool far = world_zone(world, letter->from) !=
		   world_zone(world, letter->to);
	int64_t delay_us = far ? c->zone_latency_us : c->zone_latency_us / 4;
	int64_t timeout_us = RETRANSMIT_US;

	world->messages++;
	if (world->cut[letter->from * world->nr_nodes + letter->to])
		return;
	delay_us += delay_us * JITTER * world_uniform(world);
	if (letter->kind == LETTER_TABLES) {
		world->sending_until_us =
			MAX(world->sending_until_us, world->now_us) +
			c->tables_bytes / BYTES_PER_US;
		delay_us += world->sending_until_us - world->now_us;
	}
	while (c->reliable && world_uniform(world) < c->loss) {
		delay_us += timeout_us;
		timeout_us *= 2;
	}
	if (!c->reliable && world_uniform(world) < c->loss)
		return;
	if (!c->reliable && c->loss > 0 && world_uniform(world) < DOUBLED)
		send_copy(world, letter, delay_us * 20);
	send_copy(world, letter, delay_us);
}

void world_run(struct world *world, int64_t until_us)
{
	struct event e;

	while (world->events->len && !world->violation &&
	       event_at(world, 0)->at_us <= until_us) {
		e = pop(world);
		world->now_us = e.at_us;
		e.run(world, e.node, e.data);
	}
	world->now_us = until_us;
}

static void start_clocks(struct world *world)
{
	double drift = world->config.clock_drift;
	int i;

	for (i = 0; i < world->nr_nodes; i++) {
		world->clock_rate[i] =
			1 + drift * (2 * world_uniform(world) - 1);
		world->clock_offset[i] = 1000000000ll * world_uniform(world);
	}
}

void world_reset_times(struct world *world)
{
	unsigned i;

	for (i = 0; i < WORLD_CLUSTERS_MAX; i++)
		world->times[i] = (struct world_times){ -1, -1, -1, -1 };
}

struct world *world_new(const struct world_config *config)
{
	struct world *world = g_new0(struct world, 1);
	size_t pairs;
	unsigned i;

	world->config = *config;
	world->rng = gsl_rng_alloc(gsl_rng_mt19937);
	gsl_rng_set(world->rng, config->seed);
	world->events = g_array_new(FALSE, FALSE, sizeof(struct event));
	world->acked = g_array_new(FALSE, FALSE, sizeof(struct world_acked));
	world->nr_nodes = world_database_node(world, config->clusters, 0);
	pairs = (size_t)world->nr_nodes * world->nr_nodes;
	world->cut = g_new0(bool, pairs);
	world->last_arrival_us = g_new0(int64_t, pairs);
	world->clock_rate = g_new0(double, world->nr_nodes);
	world->clock_offset = g_new0(int64_t, world->nr_nodes);
	world->daemons = g_new0(struct daemon, config->daemons);
	start_clocks(world);
	world_reset_times(world);
	world_databases_start(world);
	if (config->naive)
		world_naive_start(world);
	for (i = 0; !config->naive && i < config->control_vms; i++)
		world_control_start(world, i);
	for (i = 0; i < config->daemons; i++)
		world_daemon_start(world, i, 1);
	return world;
}

void world_free(struct world *world)
{
	struct event e;
	unsigned i;

	while (world->events->len) {
		e = pop(world);
		if (e.run == arrive)
			letter_free(e.data);
		else
			g_free(e.data);
	}
	for (i = 0; !world->config.naive && i < world->config.control_vms; i++)
		world_control_stop(world, i);
	for (i = 0; i < world->config.control_vms; i++)
		if (world->control[i].entries)
			g_array_free(world->control[i].entries, TRUE);
	gsl_rng_free(world->rng);
	g_array_free(world->events, TRUE);
	g_array_free(world->acked, TRUE);
	g_free(world->cut);
	g_free(world->last_arrival_us);
	g_free(world->clock_rate);
	g_free(world->clock_offset);
	g_free(world->daemons);
	g_free(world->violation);
	g_free(world);
}
