#include "budget.h"
#include "experiment.h"

#include <math.h>
#include <string.h>

/*
 * Daemons that open connections by the shares the leader records, in ticks
 * of 10 ms. Messages take a tick or two; processes crash and restart and are
 * cut off from control, and the upstream notices a lost VM late.
 */

#define TICK_MS 10
#define DAEMONS 8
#define ENTRIES 128
#define CONNECTIONS 16
#define LEASE 120
#define LINGER 400
#define HEARTBEAT 10
#define TICKS 6000

enum policy {
	/** asks for a working connection before there is a request */
	POLICY_WARM,
	/** asks for one when a request comes */
	POLICY_ON_DEMAND,
	/** equal static shares, no record of lost daemons */
	POLICY_STATIC,
};

/* One process. Heartbeats are further apart than a round trip takes, so one
 * message of each kind is on its way at most. */
struct process {
	bool running;
	int cut_until;
	int started;
	int lease_until;
	unsigned open;
	unsigned busy;
	unsigned limit;
	unsigned lingering;
	int linger_until;
	int first_wanted;
	unsigned sequence;
	unsigned applied;
	int sent;
	int heartbeat_due;
	int grant_due;
	unsigned sent_open;
	unsigned sent_wanted;
	unsigned sent_applied;
	unsigned granted;
	/* The leader's record; @changed_at: last grant before the change. */
	int heard;
	unsigned answered;
	unsigned changed_at;
	unsigned seen_open;
	unsigned seen_wanted;
	unsigned seen_applied;
};

struct budget_world {
	gsl_rng *rng;
	enum policy policy;
	struct process processes[ENTRIES];
	struct budget_share shares[ENTRIES];
	unsigned nr;
	int current[DAEMONS];
	unsigned exceeded;
	unsigned most;
	GArray *first_ms;
	GArray *start_ms;
};

static unsigned pick(struct budget_world *w, unsigned n)
{
	return gsl_rng_uniform_int(w->rng, n);
}

static void start(struct budget_world *w, unsigned daemon, int now)
{
	struct process *p = &w->processes[w->nr];

	*p = (struct process){
		.running = true,
		.started = now,
		.heard = now - 2 * LEASE,
		.lease_until = now - 1,
		.first_wanted = -1,
	};
	w->current[daemon] = w->nr++;
}

static void crash(struct budget_world *w, struct process *p, int now)
{
	p->running = false;
	p->lingering = pick(w, 2) ? p->open : 0;
	p->linger_until = now + pick(w, LINGER / 2);
	p->open = 0;
}

static void faults(struct budget_world *w, int now)
{
	unsigned d = pick(w, DAEMONS);
	struct process *p = &w->processes[w->current[d]];

	if (!pick(w, 300))
		p->cut_until = now + pick(w, 1500);
	if (!pick(w, 500) && w->nr < ENTRIES) {
		crash(w, p, now);
		start(w, d, now);
	}
}

/* Statements that want to run at once; the probe connection comes on top. */
static void change_demand(struct budget_world *w, struct process *p, int now)
{
	if (pick(w, 150))
		return;
	p->busy = pick(w, 3) ? 0 : 1 + pick(w, 10);
	if (p->busy && p->open && p->first_wanted < 0)
		p->first_wanted = now;
}

static unsigned wanted(const struct budget_world *w, const struct process *p)
{
	unsigned working = p->busy;

	if (w->policy == POLICY_WARM)
		working = MAX(working, 1);
	return 1 + working;
}

/* Time until a request finds a connection besides the probe connection; only
 * daemons in touch with control count. */
static void note_first(struct budget_world *w, struct process *p, int now)
{
	if (!p->busy || now > p->lease_until) {
		p->first_wanted = -1;
	} else if (p->first_wanted >= 0 && p->open >= 2) {
		sample_add(w->first_ms, (now - p->first_wanted) * TICK_MS);
		p->first_wanted = -1;
	}
}

/* Opening takes a tick: what is asked for now is there in the next one. */
static void run_process(struct budget_world *w, struct process *p, int now)
{
	unsigned before = p->open, target;

	change_demand(w, p, now);
	note_first(w, p, now);
	target = MIN(p->limit, wanted(w, p));
	if (now > p->lease_until + LINGER / 2)
		p->open = 0;
	else if (now <= p->lease_until && p->open < target)
		p->open = target;
	else if (p->open > p->limit)
		p->open--;
	if (!before && p->open && p->started) {
		sample_add(w->start_ms, (now - p->started) * TICK_MS);
		p->started = 0;
	}
}

/* The naive version holds an equal part whatever happens, and a restarted
 * daemon opens it again while the old connections linger. */
static void run_static(struct budget_world *w, struct process *p, int now)
{
	p->limit = CONNECTIONS / DAEMONS;
	p->lease_until = now;
	run_process(w, p, now);
}

static bool lost(struct budget_world *w, const struct process *p, int now)
{
	return now < p->cut_until || !pick(w, 10);
}

static void send_heartbeat(struct budget_world *w, struct process *p, int now)
{
	if (now % HEARTBEAT)
		return;
	p->sequence++;
	p->sent = now;
	p->sent_open = p->open;
	p->sent_wanted = wanted(w, p);
	p->sent_applied = p->applied;
	p->heartbeat_due = lost(w, p, now) ? 0 : now + 1 + pick(w, 3);
	p->grant_due = 0;
}

static void leader_receives(struct budget_world *w, unsigned i, int now)
{
	struct process *p = &w->processes[i];

	if (!p->heartbeat_due || now < p->heartbeat_due)
		return;
	p->heartbeat_due = 0;
	p->heard = now;
	p->answered = p->sequence;
	p->seen_open = p->sent_open;
	p->seen_wanted = p->sent_wanted;
	p->seen_applied = p->sent_applied;
	p->granted = w->shares[i].target;
	p->grant_due = lost(w, p, now) ? 0 : now + 1 + pick(w, 3);
}

static void receive_grant(struct process *p, int now)
{
	if (!p->grant_due || now < p->grant_due)
		return;
	p->grant_due = 0;
	p->applied = p->sequence;
	p->limit = p->granted;
	p->lease_until = p->sent + LEASE;
}

static void plan(struct budget_world *w, int now)
{
	struct budget_demand demands[ENTRIES];
	struct budget_change changes[ENTRIES];
	struct process *p;
	unsigned i, nr;

	for (i = 0; i < w->nr; i++) {
		p = &w->processes[i];
		demands[i] = (struct budget_demand){
			.open = p->seen_applied > p->changed_at ?
					p->seen_open :
					w->shares[i].connections,
			.wanted = p->seen_wanted,
			.alive = now <= p->heard + LEASE + 3,
			.presumed_closed = now > p->heard + LEASE + 3 + LINGER,
		};
	}
	nr = budget_plan(CONNECTIONS, w->shares, demands, w->nr, changes);
	for (i = 0; i < nr; i++) {
		p = &w->processes[changes[i].daemon];
		w->shares[changes[i].daemon] = changes[i].share;
		p->changed_at = p->answered;
	}
}

static void count(struct budget_world *w, int now)
{
	unsigned open = 0, i;

	for (i = 0; i < w->nr; i++) {
		if (now >= w->processes[i].linger_until)
			w->processes[i].lingering = 0;
		open += w->processes[i].open + w->processes[i].lingering;
	}
	w->most = MAX(w->most, open);
	w->exceeded += open > CONNECTIONS;
}

static void step(struct budget_world *w, int now)
{
	struct process *p;
	unsigned i;

	faults(w, now);
	for (i = 0; i < w->nr; i++) {
		p = &w->processes[i];
		leader_receives(w, i, now);
		if (!p->running)
			continue;
		if (w->policy == POLICY_STATIC) {
			run_static(w, p, now);
			continue;
		}
		receive_grant(p, now);
		run_process(w, p, now);
		send_heartbeat(w, p, now);
	}
	plan(w, now);
	count(w, now);
}

/* struct outcome - of all runs of one policy */
struct budget_outcome {
	unsigned most;
	unsigned exceeded;
	double first_p50_ms;
	double first_p99_ms;
	double start_p99_ms;
};

static void run(enum policy policy, unsigned seeds, struct budget_outcome *oc)
{
	struct budget_world *w = g_new0(struct budget_world, 1);
	GArray *first_ms = g_array_new(FALSE, FALSE, sizeof(double));
	GArray *start_ms = g_array_new(FALSE, FALSE, sizeof(double));
	gsl_rng *rng = gsl_rng_alloc(gsl_rng_mt19937);
	unsigned seed, d;
	int now;

	*oc = (struct budget_outcome){ 0 };
	for (seed = 0; seed < seeds; seed++) {
		memset(w, 0, sizeof(*w));
		gsl_rng_set(rng, seed);
		w->rng = rng;
		w->policy = policy;
		w->first_ms = first_ms;
		w->start_ms = start_ms;
		for (d = 0; d < DAEMONS; d++)
			start(w, d, 0);
		for (now = 1; now < TICKS; now++)
			step(w, now);
		oc->most = MAX(oc->most, w->most);
		oc->exceeded += w->exceeded;
	}
	oc->first_p50_ms = sample_quantile(first_ms, 0.5);
	oc->first_p99_ms = sample_quantile(first_ms, 0.99);
	oc->start_p99_ms = sample_quantile(start_ms, 0.99);
	g_array_free(first_ms, TRUE);
	g_array_free(start_ms, TRUE);
	gsl_rng_free(rng);
	g_free(w);
}

int connection_budget_experiment(unsigned seeds, FILE *out)
{
	struct budget_outcome warm, demand, naive;
	int missed;

	run(POLICY_WARM, seeds, &warm);
	run(POLICY_ON_DEMAND, seeds, &demand);
	run(POLICY_STATIC, seeds, &naive);
	missed = figure_print(out, "ticks with the budget exceeded, warm",
			      warm.exceeded, naive.exceeded, FIGURE_AT_MOST, 0);
	missed |= figure_print(out, "ticks with the budget exceeded, on demand",
			       demand.exceeded, naive.exceeded, FIGURE_AT_MOST,
			       0);
	missed |= figure_print(out, "most connections open, of 16",
			       MAX(warm.most, demand.most), naive.most,
			       FIGURE_AT_MOST, CONNECTIONS);
	fprintf(out, "  warm spares (ours) beside connecting on demand "
		     "(naive), ms:\n");
	figure_print(out, "first request of an idle daemon, p50",
		     warm.first_p50_ms, demand.first_p50_ms, FIGURE_PLAIN, 0);
	figure_print(out, "first request of an idle daemon, p99",
		     warm.first_p99_ms, demand.first_p99_ms, FIGURE_PLAIN, 0);
	figure_print(out, "first connection after a restart, p99",
		     warm.start_p99_ms, demand.start_p99_ms, FIGURE_PLAIN, 0);
	return missed;
}
