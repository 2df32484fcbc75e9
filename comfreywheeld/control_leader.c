#include "control_core.h"
#include "log.h"

#include <string.h>
#include <xxhash.h>

/* Daemons that are remembered; further ones are not answered. */
#define DAEMONS_MAX 4096
/* A change of the member list or of tables that was lost is sent again. */
#define RESEND_US 1000000ll

void control_redirect(struct control *c, const struct bus_return_path *from)
{
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__Redirect redirect = WIRE__REDIRECT__INIT;

	redirect.leader = raft_leader(c->raft);
	redirect.address = (char *)control_leader_address(c);
	envelope.body_case = WIRE__ENVELOPE__BODY_REDIRECT;
	envelope.redirect = &redirect;
	bus_reply(c->bus, from, &envelope);
}

static bool is_registered(const struct control *c, const Wire__Heartbeat *hb)
{
	const struct control_member *m =
		control_state_member(&c->state, hb->daemon);

	return m && !strcmp(m->availability_zone, hb->availability_zone) &&
	       !strcmp(m->bus_address, hb->bus_address);
}

static void register_daemon(struct control *c, struct control_daemon *d)
{
	Wire__LogEntry entry = WIRE__LOG_ENTRY__INIT;
	Wire__MemberChange change = WIRE__MEMBER_CHANGE__INIT;
	Wire__Member member = WIRE__MEMBER__INIT;
	int64_t now_us = control_now();

	if (now_us - d->proposed_us < RESEND_US)
		return;
	d->proposed_us = now_us;
	member.daemon = d->last->daemon;
	member.availability_zone = d->last->availability_zone;
	member.bus_address = d->last->bus_address;
	change.member = &member;
	entry.body_case = WIRE__LOG_ENTRY__BODY_MEMBER;
	entry.member = &change;
	if (control_propose(c, &entry, NULL, NULL))
		log_notice("daemon %s at %s joins", member.daemon,
			   member.bus_address);
}

/* Clusters whose fail-over depends on what this heartbeat says. */
static void wake_runs(struct control *c, const Wire__Heartbeat *hb)
{
	size_t i;

	for (i = 0; i < hb->n_clusters; i++)
		if (hb->clusters[i]->suspect ||
		    hb->clusters[i]->fence_confirmed)
			control_failover_wake(c, hb->clusters[i]->service,
					      hb->clusters[i]->cluster);
}

static bool reports(const Wire__Heartbeat *hb, const struct control_cluster *cl)
{
	size_t i;

	for (i = 0; i < hb->n_clusters; i++)
		if (!strcmp(hb->clusters[i]->cluster, cl->name) &&
		    !strcmp(hb->clusters[i]->service, cl->service))
			return true;
	return false;
}

static bool is_fenced(const struct control_cluster *cl)
{
	return cl->step == WIRE__FAILOVER_STEP__STEP__FENCING ||
	       cl->step == WIRE__FAILOVER_STEP__STEP__PROMOTING;
}

static Wire__ClusterState *cluster_state(const struct control_cluster *cl)
{
	Wire__ClusterState *state = g_new(Wire__ClusterState, 1);
	const GArray *switches = cl->history.switches;
	guint i;

	wire__cluster_state__init(state);
	state->service = g_strdup(cl->service);
	state->cluster = g_strdup(cl->name);
	state->term = cl->term;
	state->primary = g_strdup(cl->primary);
	state->fenced = is_fenced(cl);
	state->n_switches = switches->len;
	state->switches = g_new(Wire__Position *, switches->len);
	for (i = 0; i < switches->len; i++) {
		const struct term_switch *s =
			&g_array_index(switches, struct term_switch, i);

		state->switches[i] = g_new(Wire__Position, 1);
		wire__position__init(state->switches[i]);
		state->switches[i]->term = s->term;
		state->switches[i]->lsn = s->end_lsn;
	}
	return state;
}

/* Fenced clusters go to every daemon, the others to those that use them. */
static void add_clusters(const struct control *c, const Wire__Heartbeat *hb,
			 Wire__LeaseGrant *grant)
{
	guint i;

	grant->clusters = g_new(Wire__ClusterState *, c->state.clusters->len);
	for (i = 0; i < c->state.clusters->len; i++) {
		const struct control_cluster *cl = c->state.clusters->pdata[i];

		if (is_fenced(cl) || reports(hb, cl))
			grant->clusters[grant->n_clusters++] =
				cluster_state(cl);
	}
}

static void add_shares(const struct control *c, const Wire__Heartbeat *hb,
		       Wire__LeaseGrant *grant)
{
	size_t i;

	grant->shares = g_new(Wire__Share *, hb->n_upstreams);
	for (i = 0; i < hb->n_upstreams; i++) {
		Wire__Share *share = g_new(Wire__Share, 1);
		unsigned connections;
		unsigned target;

		control_state_share(&c->state, hb->daemon,
				    hb->upstreams[i]->name, &connections,
				    &target);
		wire__share__init(share);
		share->upstream = g_strdup(hb->upstreams[i]->name);
		share->connections = MIN(connections, target);
		grant->shares[grant->n_shares++] = share;
	}
}

static void add_members(const struct control *c, const Wire__Heartbeat *hb,
			Wire__LeaseGrant *grant)
{
	guint i;

	grant->members_version = c->state.members_version;
	if (hb->members_version >= c->state.members_version)
		return;
	grant->members = g_new(Wire__Member *, c->state.members->len);
	for (i = 0; i < c->state.members->len; i++) {
		const struct control_member *m = c->state.members->pdata[i];
		Wire__Member *member = g_new(Wire__Member, 1);

		wire__member__init(member);
		member->daemon = g_strdup(m->daemon);
		member->availability_zone = g_strdup(m->availability_zone);
		member->bus_address = g_strdup(m->bus_address);
		grant->members[grant->n_members++] = member;
	}
}

static void push_tables(struct control *c, struct control_daemon *d)
{
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__TablesUpdate update = WIRE__TABLES_UPDATE__INIT;
	const struct tables *tables = &c->state.tables;
	int64_t now_us = control_now();

	if (d->last->tables_version >= tables->version ||
	    (d->pushed_version == tables->version &&
	     now_us - d->pushed_us < RESEND_US))
		return;
	d->pushed_version = tables->version;
	d->pushed_us = now_us;
	update.version = tables->version;
	update.routes = tables->routes_text;
	update.pools = tables->pools_text;
	envelope.body_case = WIRE__ENVELOPE__BODY_TABLES_UPDATE;
	envelope.tables_update = &update;
	bus_reply(c->bus, &d->from, &envelope);
}

void control_push_tables(struct control *c)
{
	GHashTableIter it;
	void *p;

	g_hash_table_iter_init(&it, c->daemons);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct control_daemon *d = p;

		if (d->last)
			push_tables(c, d);
	}
}

/* Leaves out what the daemon said it has. */
static void trim_grant(Wire__LeaseGrant *grant, const Wire__Heartbeat *hb)
{
	Wire__LeaseGrant state = WIRE__LEASE_GRANT__INIT;
	uint8_t *bytes;
	size_t i, len;

	state.n_clusters = grant->n_clusters;
	state.clusters = grant->clusters;
	state.n_shares = grant->n_shares;
	state.shares = grant->shares;
	len = wire__lease_grant__get_packed_size(&state);
	bytes = g_malloc(len);
	wire__lease_grant__pack(&state, bytes);
	grant->state_hash = XXH64(bytes, len, 0);
	g_free(bytes);
	if (grant->state_hash != hb->state_hash)
		return;
	for (i = 0; i < grant->n_clusters; i++)
		wire__cluster_state__free_unpacked(grant->clusters[i], NULL);
	for (i = 0; i < grant->n_shares; i++)
		wire__share__free_unpacked(grant->shares[i], NULL);
	grant->n_clusters = grant->n_shares = 0;
	grant->unchanged = true;
}

/* Released as protobuf-c releases an unpacked message: all is allocated. */
static void grant_lease(struct control *c, struct control_daemon *d)
{
	Wire__LeaseGrant *grant = g_new(Wire__LeaseGrant, 1);
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	const Wire__Heartbeat *hb = d->last;

	wire__lease_grant__init(grant);
	grant->sequence = hb->sequence;
	grant->incarnation = hb->incarnation;
	grant->duration_us = (uint64_t)c->leases.duration_us;
	grant->tables_version = c->state.tables.version;
	grant->raft_term = c->lead_term;
	add_clusters(c, hb, grant);
	add_shares(c, hb, grant);
	add_members(c, hb, grant);
	trim_grant(grant, hb);
	lease_table_grant(&c->leases, d->name, d->received_us);
	d->granted_us = control_now();
	d->grant_due = false;
	envelope.body_case = WIRE__ENVELOPE__BODY_LEASE_GRANT;
	envelope.lease_grant = grant;
	bus_reply(c->bus, &d->from, &envelope);
	wire__lease_grant__free_unpacked(grant, NULL);
	push_tables(c, d);
}

static void try_grant(struct control *c, struct control_daemon *d)
{
	if (!d->grant_due || !d->last)
		return;
	/* A lease would have ended already. */
	if (control_now() - d->received_us >= c->leases.duration_us)
		d->grant_due = false;
	else if (control_state_member(&c->state, d->name))
		grant_lease(c, d);
}

void control_grant_due(struct control *c)
{
	GHashTableIter it;
	void *p;

	if (!control_confirmed(c))
		return;
	g_hash_table_iter_init(&it, c->daemons);
	while (g_hash_table_iter_next(&it, NULL, &p))
		try_grant(c, p);
}

void control_regrant(struct control *c)
{
	GHashTableIter it;
	void *p;

	g_hash_table_iter_init(&it, c->daemons);
	while (g_hash_table_iter_next(&it, NULL, &p))
		((struct control_daemon *)p)->grant_due = true;
}

static bool confirmed_fence(const struct control_daemon *d,
			    const struct control_run *run)
{
	size_t i;

	for (i = 0; i < d->last->n_clusters; i++) {
		const Wire__ClusterReport *r = d->last->clusters[i];

		if (!strcmp(r->cluster, run->cluster) &&
		    !strcmp(r->service, run->service))
			return r->term == run->fo.term && r->fence_confirmed;
	}
	return false;
}

void control_send_fences(struct control *c, const struct control_run *run)
{
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__Fence fence = WIRE__FENCE__INIT;
	GHashTableIter it;
	void *p;

	fence.service = run->service;
	fence.cluster = run->cluster;
	fence.term = run->fo.term;
	envelope.body_case = WIRE__ENVELOPE__BODY_FENCE;
	envelope.fence = &fence;
	g_hash_table_iter_init(&it, c->daemons);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct control_daemon *d = p;

		if (d->last && !confirmed_fence(d, run))
			bus_reply(c->bus, &d->from, &envelope);
	}
}

void control_heartbeat(struct control *c, const struct bus_return_path *from,
		       const Wire__Heartbeat *hb)
{
	struct control_daemon *d;

	if (!raft_is_leader(c->raft)) {
		control_redirect(c, from);
		return;
	}
	if (!*hb->daemon)
		return;
	d = g_hash_table_lookup(c->daemons, hb->daemon);
	if (!d) {
		if (g_hash_table_size(c->daemons) >= DAEMONS_MAX)
			return;
		d = control_daemon_new(hb->daemon);
		g_hash_table_insert(c->daemons, d->name, d);
	}
	switch (control_daemon_hear(d, hb, control_now())) {
	case CONTROL_HEARD_NEW:
		break;
	case CONTROL_HEARD_OLD:
		return;
	case CONTROL_HEARD_TOO_LITTLE:
		control_redirect(c, from);
		return;
	}
	d->from = *from;
	d->grant_due = true;
	if (!c->ready)
		return;
	if (!is_registered(c, d->last))
		register_daemon(c, d);
	wake_runs(c, d->last);
	if (control_confirmed(c))
		try_grant(c, d);
}
