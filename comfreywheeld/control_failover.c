#include "control_core.h"
#include "log.h"

#include <string.h>

/* Orders of one cluster carried out in one tick. */
#define ORDERS_MAX 8
/* Time between looks at a cluster that nothing happens to. */
#define IDLE_LOOK_US 1000000ll
/*
 * Time for the announcements of a new cluster to arrive from all its
 * databases, so that a former primary is not recorded as the current one.
 */
#define FOUND_WAIT_US 1000000ll

void control_run_free(void *data)
{
	struct control_run *run = data;

	g_ptr_array_free(run->replicas, TRUE);
	g_free(run->service);
	g_free(run->cluster);
	g_free(run->primary_address);
	g_free(run);
}

void control_run_wake(struct control_run *run)
{
	run->wake_us = 0;
}

static struct control_run *find_run(struct control *c, const char *service,
				    const char *cluster)
{
	guint i;

	for (i = 0; i < c->runs->len; i++) {
		struct control_run *run = c->runs->pdata[i];

		if (!strcmp(run->cluster, cluster) &&
		    !strcmp(run->service, service))
			return run;
	}
	return NULL;
}

static struct control_run *add_run(struct control *c,
				   const struct control_cluster *cl)
{
	struct control_run *run = g_new0(struct control_run, 1);

	run->control = c;
	run->service = g_strdup(cl->service);
	run->cluster = g_strdup(cl->name);
	run->replicas = g_ptr_array_new_with_free_func(control_replica_free);
	failover_init(&run->fo, cl->term);
	g_ptr_array_add(c->runs, run);
	return run;
}

static int candidate_of(struct control_run *run, const char *name)
{
	return name && *name ? control_replica_index(run, name) : -1;
}

/* A new leader goes on from the recorded step. */
void control_failover_load(struct control *c)
{
	guint i;

	control_failover_unload(c);
	c->runs_loaded = true;
	for (i = 0; i < c->state.clusters->len; i++) {
		const struct control_cluster *cl = c->state.clusters->pdata[i];
		struct control_run *run = add_run(c, cl);

		if (cl->step != WIRE__FAILOVER_STEP__STEP__NONE)
			failover_resume(&run->fo, (enum failover_step)cl->step,
					cl->term,
					candidate_of(run, cl->candidate),
					control_now());
	}
}

void control_failover_unload(struct control *c)
{
	g_ptr_array_set_size(c->runs, 0);
	g_hash_table_remove_all(c->found_us);
	c->runs_loaded = false;
}

void control_failover_wake(struct control *c, const char *service,
			   const char *cluster)
{
	struct control_run *run = find_run(c, service, cluster);

	if (run)
		control_run_wake(run);
}

/*
 * Forgets what replicas answered before. Called once the step is FENCING, in
 * which reports of daemons no longer count as answers: they were read before
 * the fence, and later writes may have been acknowledged since.
 */
static void begin(struct control_run *run)
{
	g_ptr_array_set_size(run->replicas, 0);
	control_replicas_update(run);
}

void control_failover_applied(struct control *c, const Wire__FailoverStep *step)
{
	const struct control_cluster *cl =
		control_state_cluster(&c->state, step->service, step->cluster);
	struct control_run *run = find_run(c, step->service, step->cluster);
	enum failover_step now = (enum failover_step)step->step;
	int candidate;

	/* An entry that did not follow from the recorded step changed nothing. */
	if (!cl || !run || cl->step != (int)step->step ||
	    cl->old_term != step->old_term ||
	    strcmp(cl->candidate ? cl->candidate : "", step->candidate))
		return;
	candidate = candidate_of(run, step->candidate);
	log_notice("fail-over of %s.%s: step %s, term %u, candidate %s",
		   run->service, run->cluster,
		   now == FAILOVER_FENCING   ? "fencing" :
		   now == FAILOVER_PROMOTING ? "promoting" :
		   now == FAILOVER_DONE	     ? "done" :
					       "abandoned",
		   step->old_term, *step->candidate ? step->candidate : "none");
	failover_step_committed(&run->fo, now, candidate, control_now());
	if (now == FAILOVER_FENCING)
		begin(run);
	if (now == FAILOVER_DONE) {
		run->fo.term = cl->term;
		g_clear_pointer(&run->primary_address, g_free);
	}
	control_run_wake(run);
	control_regrant(c);
}

void control_failover_found(struct control *c, const Wire__ClusterFound *found)
{
	const struct control_cluster *cl = control_state_cluster(
		&c->state, found->service, found->cluster);

	if (!cl || find_run(c, cl->service, cl->name))
		return;
	log_notice("cluster %s.%s: primary %s, term %u", cl->service, cl->name,
		   cl->primary, cl->term);
	if (c->runs_loaded)
		add_run(c, cl);
	control_regrant(c);
}

static void record(struct control_run *run,
		   const struct failover_decision *order)
{
	Wire__LogEntry entry = WIRE__LOG_ENTRY__INIT;
	Wire__FailoverStep step = WIRE__FAILOVER_STEP__INIT;
	const struct control_replica *r = NULL;

	if (order->candidate >= 0 &&
	    (guint)order->candidate < run->replicas->len)
		r = run->replicas->pdata[order->candidate];
	step.service = run->service;
	step.cluster = run->cluster;
	step.step = (Wire__FailoverStep__Step)order->step;
	step.old_term = run->fo.term;
	step.time_s = (uint64_t)g_get_real_time() / G_USEC_PER_SEC;
	if (r && order->step != FAILOVER_FENCING)
		step.candidate = r->name;
	if (r && order->step == FAILOVER_DONE) {
		step.new_term = run->fo.new_term;
		/*
		 * A larger position than the true end of the term is safe:
		 * readers then ask for more, never for less. A new leader may
		 * know the position after the promotion only.
		 */
		step.switch_lsn = r->before ? r->before : r->received.lsn;
	}
	entry.body_case = WIRE__LOG_ENTRY__BODY_FAILOVER;
	entry.failover = &step;
	control_propose(run->control, &entry, NULL, NULL);
}

static void carry_out(struct control_run *run,
		      const struct failover_decision *order)
{
	switch (order->action) {
	case FAILOVER_WAIT:
		return;
	case FAILOVER_PROPOSE_STEP:
		record(run, order);
		return;
	case FAILOVER_SEND_FENCES:
		control_send_fences(run->control, run);
		return;
	case FAILOVER_QUERY_POSITIONS:
		control_replicas_ask(run);
		return;
	case FAILOVER_PROMOTE:
		control_replica_promote(run->replicas->pdata[order->candidate]);
		return;
	case FAILOVER_REPOINT:
		control_replicas_repoint(run);
		return;
	}
}

static GArray *replica_views(const struct control_run *run)
{
	GArray *views =
		g_array_new(FALSE, FALSE, sizeof(struct failover_replica));
	guint i;

	for (i = 0; i < run->replicas->len; i++) {
		const struct control_replica *r = run->replicas->pdata[i];
		struct failover_replica view = {
			.name = r->name,
			.answered = r->answered,
			.promoted = r->promoted,
			.received = r->received,
		};

		g_array_append_val(views, view);
	}
	return views;
}

static void next(struct control_run *run, const struct control_facts *facts,
		 struct failover_decision *order)
{
	const struct tables *tables = &run->control->state.tables;
	GArray *daemons =
		g_array_new(FALSE, FALSE, sizeof(struct failover_daemon));
	GArray *replicas = replica_views(run);
	struct failover_view view = {
		.ack_replicas = control_view_ack_replicas(tables, run->service,
							  run->cluster),
		.earlier_leases_end_us =
			lease_table_earlier_leases_end_us(facts->leases),
		.max_lease_us = lease_table_max_lease_us(facts->leases),
	};

	control_view_daemons(facts, run->service, run->cluster, run->fo.term,
			     daemons);
	view.daemons = (void *)daemons->data;
	view.nr_daemons = daemons->len;
	view.replicas = (void *)replicas->data;
	view.nr_replicas = replicas->len;
	failover_next(&run->fo, &view, facts->now_us, order);
	g_array_free(daemons, TRUE);
	g_array_free(replicas, TRUE);
}

static void log_block(struct control_run *run)
{
	if (run->fo.blocked && run->fo.blocked != run->logged_block)
		log_warning("fail-over of %s.%s waits: %s", run->service,
			    run->cluster, run->fo.blocked);
	run->logged_block = run->fo.blocked;
}

static void look(struct control_run *run)
{
	struct control_facts facts = control_facts(run->control);
	struct failover_decision order = { .action = FAILOVER_WAIT };
	unsigned i;

	control_replicas_update(run);
	run->wake_us = facts.now_us + IDLE_LOOK_US;
	for (i = 0; i < ORDERS_MAX; i++) {
		next(run, &facts, &order);
		if (order.action == FAILOVER_WAIT)
			break;
		carry_out(run, &order);
		/* What was ordered changes the view when it completes. */
		if (order.action == FAILOVER_PROPOSE_STEP)
			break;
	}
	if (order.wake_us < run->wake_us)
		run->wake_us = order.wake_us;
	log_block(run);
}

void control_failover_tick(struct control *c)
{
	int64_t now_us = control_now();
	guint i;

	if (!control_confirmed(c))
		return;
	for (i = 0; i < c->runs->len; i++) {
		struct control_run *run = c->runs->pdata[i];

		if (now_us >= run->wake_us)
			look(run);
	}
}

static void propose_found(struct control *c, const Wire__UpstreamReport *r)
{
	Wire__LogEntry entry = WIRE__LOG_ENTRY__INIT;
	Wire__ClusterFound found = WIRE__CLUSTER_FOUND__INIT;

	found.service = r->service;
	found.cluster = r->cluster;
	found.primary = r->name;
	found.term = r->term;
	entry.body_case = WIRE__LOG_ENTRY__BODY_CLUSTER_FOUND;
	entry.cluster_found = &found;
	control_propose(c, &entry, NULL, NULL);
}

/* Whether an unrecorded cluster has been known for long enough. */
static bool has_waited(struct control *c, const Wire__UpstreamReport *r,
		       int64_t now_us)
{
	char *key = g_strdup_printf("%s\n%s", r->service, r->cluster);
	int64_t *first_us = g_hash_table_lookup(c->found_us, key);

	if (first_us) {
		g_free(key);
		return now_us - *first_us >= FOUND_WAIT_US;
	}
	first_us = g_new(int64_t, 1);
	*first_us = now_us;
	g_hash_table_insert(c->found_us, key, first_us);
	return false;
}

void control_failover_discover(struct control *c)
{
	struct control_facts facts = control_facts(c);
	GHashTable *upstreams = control_view_upstreams(&facts, NULL, NULL);
	GHashTableIter it;
	void *p;

	g_hash_table_iter_init(&it, upstreams);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const Wire__UpstreamReport *r =
			((const struct control_upstream *)p)->report;
		const Wire__UpstreamReport *primary;
		GHashTable *cluster;

		/* Looked at once, when the iteration meets its primary. */
		if (!r->primary || !*r->cluster ||
		    control_state_cluster(&c->state, r->service, r->cluster) ||
		    !has_waited(c, r, facts.now_us))
			continue;
		cluster =
			control_view_upstreams(&facts, r->service, r->cluster);
		primary = control_view_found(cluster);
		g_hash_table_destroy(cluster);
		if (primary && !strcmp(primary->name, r->name))
			propose_found(c, primary);
	}
	g_hash_table_destroy(upstreams);
}
