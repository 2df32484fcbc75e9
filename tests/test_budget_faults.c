#include "budget.h"
#include "test_main.h"

#include <gsl/gsl_rng.h>

/*
 * Simulates daemons that open connections, crash, restart and are cut off from
 * control, with delayed and lost messages. A tick is 10 ms. A restarted daemon
 * becomes a new process, since connections of the old one may still be open at
 * the upstream.
 */

#define SEEDS 200
#define DAEMONS 6
#define PROCESSES_MAX 64
#define LEASE_TICKS 120
#define LINGER_TICKS 400
#define FAULT_TICKS 3000
#define RECOVERY_TICKS 1500
#define SENT_TIMES 64

struct heartbeat {
	int due;
	unsigned sequence, applied, open, wanted;
};

struct grant {
	int due;
	unsigned sequence, limit;
};

/* One daemon process: its state, and what the leader knows about it. */
struct process {
	bool running;
	int cut_off_until;
	unsigned open, wanted, limit, sequence, applied;
	int sent_at[SENT_TIMES];
	int lease_until;
	/* Connections that the upstream has yet to close, and when it does. */
	unsigned lingering;
	int linger_until;
	GQueue heartbeats, grants;
	/* State recorded by the leader. */
	int heard, lease_expires;
	unsigned answered, changed_at, seen_applied, seen_open, seen_wanted;
};

static gsl_rng *rng;
static struct process processes[PROCESSES_MAX];
static struct budget_share shares[PROCESSES_MAX];
static unsigned nr_processes, budget;
static int process_of[DAEMONS];
static bool steady;

static unsigned random_below(unsigned n)
{
	return gsl_rng_uniform_int(rng, n);
}

static void start_process(unsigned daemon, int now)
{
	struct process *e = &processes[nr_processes];

	memset(e, 0, sizeof(*e));
	e->running = true;
	e->wanted = 1 + random_below(8);
	e->lease_until = e->lease_expires = e->heard = now - 1;
	process_of[daemon] = nr_processes++;
}

static void stop_process(struct process *e, int now)
{
	e->running = false;
	/* A process that exits closes its sockets; the sockets of a lost VM are
	 * closed by the keepalive of the upstream. */
	e->lingering = random_below(2) ? e->open : 0;
	e->linger_until = now + random_below(LINGER_TICKS / 2);
	e->open = 0;
	g_queue_clear_full(&e->grants, g_free);
}

static void send_heartbeat(struct process *e, int now)
{
	struct heartbeat *hb = g_new(struct heartbeat, 1);

	e->sequence++;
	e->sent_at[e->sequence % SENT_TIMES] = now;
	*hb = (struct heartbeat){ now + 1 + random_below(6), e->sequence,
				  e->applied, e->open, e->wanted };
	if (now < e->cut_off_until || !random_below(10))
		g_free(hb);
	else
		g_queue_push_tail(&e->heartbeats, hb);
}

/* Grants may arrive out of order: older ones are ignored. */
static void receive_grants(struct process *e, int now)
{
	struct grant *gr;
	GList *link = e->grants.head, *next;

	for (; link; link = next) {
		next = link->next;
		gr = link->data;
		if (gr->due > now)
			continue;
		if (gr->sequence > e->applied &&
		    e->sequence - gr->sequence < SENT_TIMES) {
			e->applied = gr->sequence;
			e->limit = gr->limit;
			e->lease_until = e->sent_at[gr->sequence % SENT_TIMES] +
					 LEASE_TICKS;
		}
		g_free(gr);
		g_queue_delete_link(&e->grants, link);
	}
}

static void run_daemon(struct process *e, int now)
{
	unsigned allowed;

	receive_grants(e, now);
	allowed = MIN(e->limit, MAX(e->wanted, 1));
	/* A daemon without a lease closes its connections after half of
	 * LINGER_TICKS; the other half allows for the keepalive if it is lost
	 * just then. */
	if (now > e->lease_until + LINGER_TICKS / 2)
		e->open = 0;
	else if (now <= e->lease_until && e->open < allowed)
		e->open += 1 + random_below(allowed - e->open);
	else if (e->open > e->limit && random_below(3))
		e->open--;
	if (!steady && !random_below(100))
		e->wanted = random_below(3) ? 1 : 1 + random_below(12);
	if (now % 10 == 0)
		send_heartbeat(e, now);
}

static void leader_receive(unsigned i, int now)
{
	struct process *e = &processes[i];
	struct heartbeat *hb;
	struct grant *gr;

	while ((hb = g_queue_peek_head(&e->heartbeats)) && hb->due <= now) {
		g_queue_pop_head(&e->heartbeats);
		e->heard = now;
		e->lease_expires = now + LEASE_TICKS + 3;
		e->answered = hb->sequence;
		e->seen_applied = hb->applied;
		e->seen_open = hb->open;
		e->seen_wanted = hb->wanted;
		gr = g_new(struct grant, 1);
		*gr = (struct grant){ now + 1 + random_below(6), hb->sequence,
				      shares[i].target };
		if (now < e->cut_off_until || !random_below(10) || !e->running)
			g_free(gr);
		else
			g_queue_push_tail(&e->grants, gr);
		g_free(hb);
	}
}

static unsigned sum_of_shares(void)
{
	unsigned sum = 0, i;

	for (i = 0; i < nr_processes; i++)
		sum += shares[i].connections;
	return sum;
}

static void leader_plan(int now)
{
	struct budget_demand demands[PROCESSES_MAX];
	struct budget_change changes[PROCESSES_MAX];
	struct process *e;
	unsigned i, nr;

	for (i = 0; i < nr_processes; i++) {
		e = &processes[i];
		demands[i] = (struct budget_demand){
			.open = e->seen_applied > e->changed_at ?
					e->seen_open :
					shares[i].connections,
			.wanted = e->seen_wanted,
			.alive = now <= e->lease_expires,
			.presumed_closed = now >
					   e->lease_expires + LINGER_TICKS,
		};
	}
	nr = budget_plan(budget, shares, demands, nr_processes, changes);
	for (i = 0; i < nr; i++) {
		shares[changes[i].daemon] = changes[i].share;
		processes[changes[i].daemon].changed_at =
			processes[changes[i].daemon].answered;
		ck_assert_uint_le(sum_of_shares(), budget);
	}
}

static void inject_faults(int now)
{
	unsigned d = random_below(DAEMONS);
	struct process *e = &processes[process_of[d]];

	if (!random_below(150))
		e->cut_off_until = now + random_below(1200);
	if (!random_below(400) && nr_processes < PROCESSES_MAX) {
		stop_process(e, now);
		start_process(d, now);
	}
}

static void check_upstream(int now)
{
	unsigned open = 0, i;

	for (i = 0; i < nr_processes; i++) {
		if (now >= processes[i].linger_until)
			processes[i].lingering = 0;
		open += processes[i].open + processes[i].lingering;
	}
	ck_assert_uint_le(open, budget);
}

static void run_ticks(int from, int to, bool with_faults)
{
	unsigned i;
	int now;

	for (now = from; now < to; now++) {
		if (with_faults)
			inject_faults(now);
		for (i = 0; i < nr_processes; i++) {
			leader_receive(i, now);
			if (processes[i].running)
				run_daemon(&processes[i], now);
		}
		if (now % 7 == 0)
			leader_plan(now);
		check_upstream(now);
	}
}

/* After a time without faults every live daemon has its equal share of the
 * budget: no connections are lost permanently. */
static void check_recovered(void)
{
	unsigned i, lowest_unsatisfied = budget, highest = 0;
	struct process *e;

	for (i = 0; i < nr_processes; i++) {
		e = &processes[i];
		if (!e->running) {
			ck_assert_uint_eq(shares[i].connections, 0);
			continue;
		}
		ck_assert_uint_ge(shares[i].connections, 1);
		highest = MAX(highest, shares[i].connections);
		if (shares[i].connections < e->seen_wanted)
			lowest_unsatisfied =
				MIN(lowest_unsatisfied, shares[i].connections);
	}
	if (lowest_unsatisfied < budget)
		ck_assert_uint_le(highest, lowest_unsatisfied + 1);
}

static void run_until_recovered(void)
{
	unsigned i;

	for (i = 0; i < nr_processes; i++)
		processes[i].cut_off_until = 0;
	steady = true;
	run_ticks(FAULT_TICKS, FAULT_TICKS + RECOVERY_TICKS, false);
	check_recovered();
	for (i = 0; i < nr_processes; i++) {
		g_queue_clear_full(&processes[i].heartbeats, g_free);
		g_queue_clear_full(&processes[i].grants, g_free);
	}
}

/* Guards against more connections than the database accepts, including those
 * of lost daemons that it has yet to close, and against lost shares. */
START_TEST(test_budget_under_faults)
{
	unsigned seed, d;

	rng = gsl_rng_alloc(gsl_rng_mt19937);
	for (seed = 0; seed < SEEDS; seed++) {
		gsl_rng_set(rng, seed);
		budget = 8 + random_below(24);
		nr_processes = 0;
		steady = false;
		memset(shares, 0, sizeof(shares));
		for (d = 0; d < DAEMONS; d++)
			start_process(d, 0);
		run_ticks(0, FAULT_TICKS, true);
		run_until_recovered();
	}
	gsl_rng_free(rng);
}
END_TEST

TEST_MAIN("budget_faults", test_budget_under_faults)
