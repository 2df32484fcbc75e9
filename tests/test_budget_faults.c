#include "budget.h"
#include "test_main.h"

#include <gsl/gsl_rng.h>

/*
 * Daemons with real connections, behind a network that delays and loses
 * messages, that crash, restart and are cut off from control. A tick is
 * 10 ms. A restart is a new entry, since connections of the old process may
 * still be open at the upstream.
 */

#define SEEDS 200
#define DAEMONS 6
#define ENTRIES 64
#define LEASE 120
#define LINGER 400
#define FAULT_TICKS 3000
#define QUIET_TICKS 1500
#define WIRE 64

struct heartbeat {
	int due;
	unsigned sequence, applied, open, wanted;
};

struct grant {
	int due;
	unsigned sequence, limit;
};

/* One process: what it holds, and what it and the leader know. */
struct entry {
	bool running;
	int cut_until;
	unsigned open, wanted, limit, sequence, applied;
	int sent[WIRE];
	int lease_until;
	/* Connections the upstream has not closed yet, and when it will. */
	unsigned lingering;
	int linger_until;
	GQueue heartbeats, grants;
	/* The leader's record. */
	int heard, lease_expires;
	unsigned answered, changed_at, seen_applied, seen_open, seen_wanted;
};

static gsl_rng *rng;
static struct entry entries[ENTRIES];
static struct budget_share shares[ENTRIES];
static unsigned nr_entries, budget;
static int process_of[DAEMONS];
static bool steady;

static unsigned pick(unsigned n)
{
	return gsl_rng_uniform_int(rng, n);
}

static void start(unsigned daemon, int now)
{
	struct entry *e = &entries[nr_entries];

	memset(e, 0, sizeof(*e));
	e->running = true;
	e->wanted = 1 + pick(8);
	e->lease_until = e->lease_expires = e->heard = now - 1;
	process_of[daemon] = nr_entries++;
}

static void stop(struct entry *e, int now)
{
	e->running = false;
	/* A process that ends closes its sockets; a VM that is lost leaves
	 * them to the upstream's keepalive. */
	e->lingering = pick(2) ? e->open : 0;
	e->linger_until = now + pick(LINGER / 2);
	e->open = 0;
	g_queue_clear_full(&e->grants, g_free);
}

static void send_heartbeat(struct entry *e, int now)
{
	struct heartbeat *hb = g_new(struct heartbeat, 1);

	e->sequence++;
	e->sent[e->sequence % WIRE] = now;
	*hb = (struct heartbeat){ now + 1 + pick(6), e->sequence, e->applied,
				  e->open, e->wanted };
	if (now < e->cut_until || !pick(10))
		g_free(hb);
	else
		g_queue_push_tail(&e->heartbeats, hb);
}

/* Grants may cross: only one for a later heartbeat counts. */
static void receive_grants(struct entry *e, int now)
{
	struct grant *gr;
	GList *link = e->grants.head, *next;

	for (; link; link = next) {
		next = link->next;
		gr = link->data;
		if (gr->due > now)
			continue;
		if (gr->sequence > e->applied &&
		    e->sequence - gr->sequence < WIRE) {
			e->applied = gr->sequence;
			e->limit = gr->limit;
			e->lease_until = e->sent[gr->sequence % WIRE] + LEASE;
		}
		g_free(gr);
		g_queue_delete_link(&e->grants, link);
	}
}

static void run_daemon(struct entry *e, int now)
{
	unsigned allowed;

	receive_grants(e, now);
	allowed = MIN(e->limit, MAX(e->wanted, 1));
	/* A daemon without lease closes its connections after half the linger
	 * time; the keepalive has the other half if it is lost just then. */
	if (now > e->lease_until + LINGER / 2)
		e->open = 0;
	else if (now <= e->lease_until && e->open < allowed)
		e->open += 1 + pick(allowed - e->open);
	else if (e->open > e->limit && pick(3))
		e->open--;
	if (!steady && !pick(100))
		e->wanted = pick(3) ? 1 : 1 + pick(12);
	if (now % 10 == 0)
		send_heartbeat(e, now);
}

static void leader_receive(unsigned i, int now)
{
	struct entry *e = &entries[i];
	struct heartbeat *hb;
	struct grant *gr;

	while ((hb = g_queue_peek_head(&e->heartbeats)) && hb->due <= now) {
		g_queue_pop_head(&e->heartbeats);
		e->heard = now;
		e->lease_expires = now + LEASE + 3;
		e->answered = hb->sequence;
		e->seen_applied = hb->applied;
		e->seen_open = hb->open;
		e->seen_wanted = hb->wanted;
		gr = g_new(struct grant, 1);
		*gr = (struct grant){ now + 1 + pick(6), hb->sequence,
				      shares[i].target };
		if (now < e->cut_until || !pick(10) || !e->running)
			g_free(gr);
		else
			g_queue_push_tail(&e->grants, gr);
		g_free(hb);
	}
}

static unsigned sum_of_shares(void)
{
	unsigned sum = 0, i;

	for (i = 0; i < nr_entries; i++)
		sum += shares[i].connections;
	return sum;
}

static void leader_plan(int now)
{
	struct budget_demand demands[ENTRIES];
	struct budget_change changes[ENTRIES];
	struct entry *e;
	unsigned i, nr;

	for (i = 0; i < nr_entries; i++) {
		e = &entries[i];
		demands[i] = (struct budget_demand){
			.open = e->seen_applied > e->changed_at ?
					e->seen_open :
					shares[i].connections,
			.wanted = e->seen_wanted,
			.alive = now <= e->lease_expires,
			.gone = now > e->lease_expires + LINGER,
		};
	}
	nr = budget_plan(budget, shares, demands, nr_entries, changes);
	for (i = 0; i < nr; i++) {
		shares[changes[i].daemon] = changes[i].share;
		entries[changes[i].daemon].changed_at =
			entries[changes[i].daemon].answered;
		ck_assert_uint_le(sum_of_shares(), budget);
	}
}

static void faults(int now)
{
	unsigned d = pick(DAEMONS);
	struct entry *e = &entries[process_of[d]];

	if (!pick(150))
		e->cut_until = now + pick(1200);
	if (!pick(400) && nr_entries < ENTRIES) {
		stop(e, now);
		start(d, now);
	}
}

static void check_upstream(int now)
{
	unsigned open = 0, i;

	for (i = 0; i < nr_entries; i++) {
		if (now >= entries[i].linger_until)
			entries[i].lingering = 0;
		open += entries[i].open + entries[i].lingering;
	}
	ck_assert_uint_le(open, budget);
}

static void run_ticks(int from, int to, bool with_faults)
{
	unsigned i;
	int now;

	for (now = from; now < to; now++) {
		if (with_faults)
			faults(now);
		for (i = 0; i < nr_entries; i++) {
			leader_receive(i, now);
			if (entries[i].running)
				run_daemon(&entries[i], now);
		}
		if (now % 7 == 0)
			leader_plan(now);
		check_upstream(now);
	}
}

/* After a quiet time every live daemon has what an equal share of the budget
 * gives it: nothing is lost for good. */
static void check_recovered(void)
{
	unsigned i, lowest_wanting = budget, highest = 0;
	struct entry *e;

	for (i = 0; i < nr_entries; i++) {
		e = &entries[i];
		if (!e->running) {
			ck_assert_uint_eq(shares[i].connections, 0);
			continue;
		}
		ck_assert_uint_ge(shares[i].connections, 1);
		highest = MAX(highest, shares[i].connections);
		if (shares[i].connections < e->seen_wanted)
			lowest_wanting =
				MIN(lowest_wanting, shares[i].connections);
	}
	if (lowest_wanting < budget)
		ck_assert_uint_le(highest, lowest_wanting + 1);
}

static void settle(void)
{
	unsigned i;

	for (i = 0; i < nr_entries; i++)
		entries[i].cut_until = 0;
	steady = true;
	run_ticks(FAULT_TICKS, FAULT_TICKS + QUIET_TICKS, false);
	check_recovered();
	for (i = 0; i < nr_entries; i++) {
		g_queue_clear_full(&entries[i].heartbeats, g_free);
		g_queue_clear_full(&entries[i].grants, g_free);
	}
}

/* Guards against more connections than the database accepts, counting those
 * of lost daemons that it has not closed yet, and against lost shares. */
START_TEST(test_budget_under_faults)
{
	unsigned run, d;

	rng = gsl_rng_alloc(gsl_rng_mt19937);
	for (run = 0; run < SEEDS; run++) {
		gsl_rng_set(rng, run);
		budget = 8 + pick(24);
		nr_entries = 0;
		steady = false;
		memset(shares, 0, sizeof(shares));
		for (d = 0; d < DAEMONS; d++)
			start(d, 0);
		run_ticks(0, FAULT_TICKS, true);
		settle();
	}
	gsl_rng_free(rng);
}
END_TEST

TEST_MAIN("budget_faults", test_budget_under_faults)
