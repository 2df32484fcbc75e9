#include "failover_world.h"

#include <string.h>

#define HEARTBEAT_US (200 * WORLD_MS)
#define PROBE_US (100 * WORLD_MS)
#define WRITE_US (40 * WORLD_MS)
#define MISSED_PROBES 3
#define REFUSED_PROBES 2
/* Missed probes before the connection for probes is opened anew. */
#define REOPEN_MISSED 5
/* Replicas that must have received a write before it is acknowledged. */
#define ACK_REPLICAS 1

static bool may_write(struct world *world, int node, unsigned cluster)
{
	const struct daemon *d = &world->daemons[node];
	const struct world_report *known = &d->cluster[cluster].known;

	if (!d->up || !known->term)
		return false;
	return world->config.naive ||
	       (!known->fenced &&
		lease_valid(&d->lease, world_clock(world, node)));
}

static void send_heartbeat(struct world *world, int node)
{
	struct daemon *d = &world->daemons[node];
	int64_t now = world_clock(world, node);
	bool search = now - d->answered_us > 2 * HEARTBEAT_US;
	struct letter l = {
		.from = node,
		.kind = LETTER_HEARTBEAT,
		.incarnation = d->lease.incarnation,
		.tables_version = d->tables_version,
	};
	unsigned i;

	for (i = 0; i < world->config.clusters; i++)
		l.reports[i] = d->cluster[i].known;
	l.write = lease_record_heartbeat(&d->lease, now);
	for (i = 0; i < world->config.control_vms; i++) {
		l.to = world_control_node(world, i);
		if (search || (int)i == d->leader)
			world_post(world, &l);
	}
}

/* Timers of an earlier incarnation end by themselves. */
static bool is_current(struct world *world, int node, const void *data)
{
	const uint64_t *incarnation = data;

	return world->daemons[node].up &&
	       world->daemons[node].lease.incarnation == *incarnation;
}

static void on_heartbeat(struct world *world, int node, void *data)
{
	if (!is_current(world, node, data)) {
		g_free(data);
		return;
	}
	send_heartbeat(world, node);
	world_after(world, HEARTBEAT_US, node, on_heartbeat, data);
}

static void probe(struct world *world, int node, unsigned cluster)
{
	struct daemon_cluster *c = &world->daemons[node].cluster[cluster];
	struct letter l = { .from = node,
			    .to = c->known.primary,
			    .kind = LETTER_PROBE,
			    .about = cluster };
	bool suspected = c->known.suspect;

	if (!c->known.term)
		return;
	/* One probe at a time, as the daemon has one connection for them. */
	if (c->answered_probe == c->next_probe) {
		l.write = ++c->next_probe;
		world_post(world, &l);
		return;
	}
	c->missed++;
	c->known.suspect = c->missed >= MISSED_PROBES;
	if (c->known.suspect && !suspected)
		send_heartbeat(world, node);
	if (c->missed % REOPEN_MISSED == 0)
		c->answered_probe = c->next_probe;
	/* Where links lose for good, this stands for a retransmission. */
	l.write = c->next_probe;
	if (!world->config.reliable)
		world_post(world, &l);
}

/* Asks the replicas again for writes that wait for them. */
static void ask_replicas(struct world *world, int node, unsigned cluster,
			 const struct world_write *w)
{
	const struct daemon_cluster *c = &world->daemons[node].cluster[cluster];
	struct letter l = { .from = node,
			    .kind = LETTER_ASK,
			    .about = cluster,
			    .write = w->number };
	unsigned i;

	for (i = 0; i < WORLD_REPLICATION; i++) {
		l.to = world_database_node(world, cluster, i);
		if (l.to != c->known.primary)
			world_post(world, &l);
	}
}

static void on_probe(struct world *world, int node, void *data)
{
	unsigned i;

	if (!is_current(world, node, data)) {
		g_free(data);
		return;
	}
	for (i = 0; !world->config.naive && i < world->config.clusters; i++)
		probe(world, node, i);
	world_after(world, PROBE_US, node, on_probe, data);
}

static void drop_pending(struct world *world, struct daemon_cluster *c)
{
	world->unknown += c->nr_pending;
	c->nr_pending = 0;
}

static void write_cluster(struct world *world, int node, unsigned cluster)
{
	struct daemon_cluster *c = &world->daemons[node].cluster[cluster];
	struct letter l = { .from = node,
			    .to = c->known.primary,
			    .kind = LETTER_WRITE,
			    .about = cluster };
	unsigned i;

	if (!may_write(world, node, cluster)) {
		drop_pending(world, c);
		return;
	}
	/* A write that no replica confirms keeps its caller waiting. */
	if (c->nr_pending < WORLD_PENDING_MAX) {
		l.write = ++world->next_write;
		l.position.term = c->known.term;
		world_post(world, &l);
	}
	for (i = 0; i < c->nr_pending; i++)
		ask_replicas(world, node, cluster, &c->pending[i]);
}

static void on_write(struct world *world, int node, void *data)
{
	unsigned i;

	if (!is_current(world, node, data)) {
		g_free(data);
		return;
	}
	for (i = 0; i < world->config.clusters; i++)
		write_cluster(world, node, i);
	world_after(world, WRITE_US, node, on_write, data);
}

static void start_timer(struct world *world, int node, int64_t period_us,
			void (*run)(struct world *, int, void *))
{
	uint64_t incarnation = world->daemons[node].lease.incarnation;

	world_after(world, period_us * world_uniform(world), node, run,
		    g_memdup2(&incarnation, sizeof(incarnation)));
}

void world_daemon_start(struct world *world, int node, uint64_t incarnation)
{
	struct daemon *d = &world->daemons[node];

	memset(d, 0, sizeof(*d));
	d->up = true;
	lease_init(&d->lease, incarnation);
	d->answered_us = INT64_MIN / 2;
	start_timer(world, node, HEARTBEAT_US, on_heartbeat);
	start_timer(world, node, PROBE_US, on_probe);
	start_timer(world, node, WRITE_US, on_write);
}

static void begin_fence(struct world *world, struct daemon_cluster *c)
{
	c->known.fenced = true;
	c->known.confirmed = true;
	c->known.suspect = false;
	drop_pending(world, c);
}

/* Merges in the order (term, fenced), as control_client.c does. */
static void merge(struct world *world, int node, unsigned cluster,
		  const struct world_report *told)
{
	struct daemon_cluster *c = &world->daemons[node].cluster[cluster];
	struct world_report *known = &c->known;

	if (!told->term || told->term < known->term)
		return;
	if (told->term > known->term) {
		drop_pending(world, c);
		/* It saw the term begin, so it knows all it acknowledged. */
		known->acknowledged =
			(struct position){ known->term ? told->term : 0, 0 };
		known->term = told->term;
		known->primary = told->primary;
		known->fenced = known->suspect = known->confirmed = false;
		c->refused = c->missed = 0;
		c->first_us = 0;
		c->answered_probe = c->next_probe;
		world_check_served(world, cluster, told->term, told->primary);
	}
	if (told->fenced && !known->fenced)
		begin_fence(world, c);
}

static void take_grant(struct world *world, const struct letter *l)
{
	struct daemon *d = &world->daemons[l->to];
	int64_t now = world_clock(world, l->to);
	uint64_t raft_term = l->timeline;
	unsigned i;

	if (l->incarnation != d->lease.incarnation ||
	    raft_term < d->raft_term ||
	    (raft_term == d->raft_term && l->write < d->last_sequence))
		return;
	d->raft_term = raft_term;
	d->last_sequence = l->write;
	d->leader = l->from - world_control_node(world, 0);
	d->answered_us = now;
	for (i = 0; i < world->config.clusters; i++)
		merge(world, l->to, i, &l->reports[i]);
	lease_grant(&d->lease, l->incarnation, l->write, LEASE_DURATION_US,
		    now);
}

static void take_fence(struct world *world, const struct letter *l)
{
	struct daemon *d = &world->daemons[l->to];
	struct daemon_cluster *c = &d->cluster[l->about];

	if (l->reports[0].term != c->known.term)
		return;
	if (!c->known.fenced)
		begin_fence(world, c);
	d->leader = l->from - world_control_node(world, 0);
	send_heartbeat(world, l->to);
}

static void acknowledge(struct world *world, int node, unsigned cluster,
			unsigned at)
{
	struct daemon_cluster *c = &world->daemons[node].cluster[cluster];
	struct world_write w = c->pending[at];

	c->pending[at] = c->pending[--c->nr_pending];
	if (!may_write(world, node, cluster)) {
		world->unknown++;
		return;
	}
	c->known.acknowledged = position_max(c->known.acknowledged, w.position);
	c->wrote_us = world->now_us;
	if (!c->first_us)
		c->first_us = world->now_us;
	world_check_ack(world, cluster, &w);
}

static void take_done(struct world *world, const struct letter *l)
{
	struct daemon_cluster *c = &world->daemons[l->to].cluster[l->about];
	struct world_write w = {
		.number = l->write,
		.term = l->position.term,
		.timeline = l->timeline,
		.position = l->position,
	};

	if (l->from != c->known.primary || c->known.term != w.term ||
	    c->nr_pending == WORLD_PENDING_MAX)
		return;
	c->pending[c->nr_pending++] = w;
	if (world->config.naive)
		acknowledge(world, l->to, l->about, c->nr_pending - 1);
	else
		ask_replicas(world, l->to, l->about, &w);
}

static void take_position(struct world *world, const struct letter *l)
{
	struct daemon_cluster *c = &world->daemons[l->to].cluster[l->about];
	struct world_write *w;
	unsigned i;

	if (l->promoted || l->from == c->known.primary)
		return;
	for (i = 0; i < c->nr_pending; i++) {
		w = &c->pending[i];
		if (w->term != l->position.term ||
		    w->position.lsn > l->position.lsn)
			continue;
		w->received_mask |= 1u << (l->from % WORLD_REPLICATION);
		if (__builtin_popcount(w->received_mask) < ACK_REPLICAS)
			continue;
		acknowledge(world, l->to, l->about, i);
		i--;
	}
}

static void take_probe(struct world *world, const struct letter *l)
{
	struct daemon_cluster *c = &world->daemons[l->to].cluster[l->about];

	if (l->from != c->known.primary || l->write != c->next_probe)
		return;
	c->refused = l->promoted ? 0 : c->refused + 1;
	c->answered_probe = l->write;
	c->missed = 0;
	/* The leader must not act on a suspicion that has ended. */
	if (l->promoted && c->known.suspect) {
		c->known.suspect = false;
		send_heartbeat(world, l->to);
	}
	if (c->refused < REFUSED_PROBES || c->known.suspect)
		return;
	c->known.suspect = true;
	send_heartbeat(world, l->to);
}

void world_daemon_receive(struct world *world, const struct letter *l)
{
	struct daemon *d = &world->daemons[l->to];

	if (!d->up)
		return;
	switch (l->kind) {
	case LETTER_GRANT:
		take_grant(world, l);
		break;
	case LETTER_NAIVE_PRIMARY:
		merge(world, l->to, l->about, &l->reports[0]);
		break;
	case LETTER_REDIRECT:
		if (l->about && d->leader != l->about - 1) {
			d->leader = l->about - 1;
			send_heartbeat(world, l->to);
		}
		break;
	case LETTER_TABLES:
		if (l->tables_version <= d->tables_version)
			break;
		d->tables_version = l->tables_version;
		send_heartbeat(world, l->to);
		break;
	case LETTER_FENCE:
		take_fence(world, l);
		break;
	case LETTER_PROBE_REPLY:
		take_probe(world, l);
		break;
	case LETTER_WRITE_DONE:
		take_done(world, l);
		break;
	case LETTER_POSITION:
		take_position(world, l);
		break;
	default:
		break;
	}
}
