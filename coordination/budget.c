#include "budget.h"

#include <string.h>

/* A daemon needs one connection to probe, and another to run statements. */
#define PROBE_CONNECTIONS 1
#define WORKING_CONNECTIONS 2

struct plan {
	unsigned budget;
	const struct budget_demand *demands;
	unsigned nr;
	/* Planned shares, and the size that each should reach in the end. */
	struct budget_share *shares;
	unsigned *desired;
};

static unsigned demand_of(const struct plan *plan, unsigned i)
{
	return MAX(plan->demands[i].wanted, PROBE_CONNECTIONS);
}

static unsigned sum_of_shares(const struct plan *plan)
{
	unsigned sum = 0, i;

	for (i = 0; i < plan->nr; i++)
		sum += plan->shares[i].connections;
	return sum;
}

/* Frees connections that daemons have closed or can no longer hold. */
static void release_unused(struct plan *plan)
{
	struct budget_share *share;
	unsigned i;

	for (i = 0; i < plan->nr; i++) {
		share = &plan->shares[i];
		if (!plan->demands[i].alive) {
			if (plan->demands[i].presumed_closed)
				*share = (struct budget_share){ 0, 0 };
			continue;
		}
		if (share->target < share->connections &&
		    plan->demands[i].open <= share->target)
			share->connections = share->target;
	}
}

/* Total demand of the live daemons if none gets more than @level. */
static unsigned sum_at_level(const struct plan *plan, unsigned level)
{
	unsigned sum = 0, i;

	for (i = 0; i < plan->nr; i++)
		if (plan->demands[i].alive)
			sum += MIN(demand_of(plan, i), level);
	return sum;
}

/*
 * Divides @available equally, up to the demand of each daemon. The remainder
 * goes first to daemons that already hold more, to avoid needless moves.
 */
static void divide_equally(struct plan *plan, unsigned available)
{
	unsigned level = 0, remainder, pass, i;

	while (level < available && sum_at_level(plan, level + 1) <= available)
		level++;
	remainder = available - sum_at_level(plan, level);
	for (i = 0; i < plan->nr; i++)
		plan->desired[i] = plan->demands[i].alive ?
					   MIN(demand_of(plan, i), level) :
					   plan->shares[i].connections;
	for (pass = 0; pass < 2; pass++) {
		for (i = 0; i < plan->nr && remainder; i++) {
			if (!plan->demands[i].alive ||
			    plan->desired[i] != level ||
			    demand_of(plan, i) <= level ||
			    (!pass && plan->shares[i].connections <= level))
				continue;
			plan->desired[i]++;
			remainder--;
		}
	}
}

/*
 * Reserves one connection, so that a daemon that has only its probe connection
 * can serve a first request without waiting for another daemon to shrink.
 * Nothing is reserved if the budget does not exceed what the daemons need for
 * a probe and a working connection each.
 */
static void choose_desired(struct plan *plan)
{
	unsigned held_by_dead = 0, basic_demand, available, i;

	for (i = 0; i < plan->nr; i++)
		if (!plan->demands[i].alive)
			held_by_dead += plan->shares[i].connections;
	available = plan->budget > held_by_dead ? plan->budget - held_by_dead :
						  0;
	basic_demand = sum_at_level(plan, WORKING_CONNECTIONS);
	divide_equally(plan,
		       available > basic_demand ? available - 1 : available);
}

static unsigned missing_connections(const struct plan *plan, unsigned i)
{
	unsigned connections = plan->shares[i].connections;

	if (!plan->demands[i].alive || plan->desired[i] <= connections)
		return 0;
	return plan->desired[i] - connections;
}

/* If demand rises again, first withdraws the request to shrink. */
static void cancel_shrinking(struct plan *plan)
{
	struct budget_share *share;
	unsigned i;

	for (i = 0; i < plan->nr; i++) {
		share = &plan->shares[i];
		if (plan->demands[i].alive && plan->desired[i] > share->target)
			share->target =
				MIN(plan->desired[i], share->connections);
	}
}

/* Grows the smallest share first, one connection at a time. */
static void grow(struct plan *plan)
{
	unsigned sum = sum_of_shares(plan), i, best;

	while (sum < plan->budget) {
		best = plan->nr;
		for (i = 0; i < plan->nr; i++)
			if (missing_connections(plan, i) &&
			    (best == plan->nr ||
			     plan->shares[i].connections <
				     plan->shares[best].connections))
				best = i;
		if (best == plan->nr)
			return;
		plan->shares[best].connections++;
		plan->shares[best].target = plan->shares[best].connections;
		sum++;
	}
}

/*
 * Lowers targets only by what other daemons lack, plus the reserved connection:
 * idle connections stay open and warm as long as no other daemon needs them.
 */
static void shrink(struct plan *plan)
{
	unsigned sum = sum_of_shares(plan), shortfall = 0, pending_release = 0,
		 i, reduction;
	unsigned total = 0;
	struct budget_share *share;

	for (i = 0; i < plan->nr; i++) {
		shortfall += missing_connections(plan, i);
		total += plan->desired[i];
		pending_release +=
			plan->shares[i].connections - plan->shares[i].target;
	}
	if (sum > plan->budget)
		shortfall += sum - plan->budget;
	if (sum >= plan->budget && total < plan->budget)
		shortfall++;
	shortfall -= MIN(shortfall, pending_release);
	for (i = 0; i < plan->nr && shortfall; i++) {
		share = &plan->shares[i];
		if (!plan->demands[i].alive ||
		    share->target <= plan->desired[i])
			continue;
		reduction = MIN(share->target - plan->desired[i], shortfall);
		share->target -= reduction;
		shortfall -= reduction;
	}
}

static bool has_fewer_connections(const struct budget_share *a,
				  const struct budget_share *b)
{
	return a->connections < b->connections;
}

/* Lists changes that free connections before those that use them. */
static unsigned list_changes(const struct plan *plan,
			     const struct budget_share *before,
			     struct budget_change *changes)
{
	unsigned nr_changes = 0, i;
	int freeing;

	for (freeing = 1; freeing >= 0; freeing--) {
		for (i = 0; i < plan->nr; i++) {
			if (has_fewer_connections(&plan->shares[i],
						  &before[i]) != freeing)
				continue;
			if (plan->shares[i].connections ==
				    before[i].connections &&
			    plan->shares[i].target == before[i].target)
				continue;
			changes[nr_changes++] =
				(struct budget_change){ i, plan->shares[i] };
		}
	}
	return nr_changes;
}

unsigned budget_plan(unsigned budget, const struct budget_share *shares,
		     const struct budget_demand *demands, unsigned nr,
		     struct budget_change *changes)
{
	struct plan plan = { budget, demands, nr, NULL, NULL };
	unsigned nr_changes;

	plan.shares = g_new(struct budget_share, nr);
	plan.desired = g_new0(unsigned, nr);
	if (nr)
		memcpy(plan.shares, shares, nr * sizeof(*shares));
	release_unused(&plan);
	choose_desired(&plan);
	cancel_shrinking(&plan);
	grow(&plan);
	shrink(&plan);
	nr_changes = list_changes(&plan, shares, changes);
	g_free(plan.shares);
	g_free(plan.desired);
	return nr_changes;
}
