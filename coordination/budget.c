#include "budget.h"

#include <string.h>

/* The probe connection, and one more to run statements on. */
#define FLOOR 1
#define WORKING 2

struct plan {
	unsigned budget;
	const struct budget_demand *demands;
	unsigned nr;
	/* Shares as they will be, and what each should come to. */
	struct budget_share *shares;
	unsigned *desired;
};

static unsigned wanted(const struct plan *plan, unsigned i)
{
	return MAX(plan->demands[i].wanted, FLOOR);
}

static unsigned sum_of_shares(const struct plan *plan)
{
	unsigned sum = 0, i;

	for (i = 0; i < plan->nr; i++)
		sum += plan->shares[i].connections;
	return sum;
}

/* Frees what the daemons of the recorded shares can no longer use. */
static void release(struct plan *plan)
{
	struct budget_share *share;
	unsigned i;

	for (i = 0; i < plan->nr; i++) {
		share = &plan->shares[i];
		if (!plan->demands[i].alive) {
			if (plan->demands[i].gone)
				*share = (struct budget_share){ 0, 0 };
			continue;
		}
		if (share->target < share->connections &&
		    plan->demands[i].open <= share->target)
			share->connections = share->target;
	}
}

/* Sum of what live daemons get when none gets more than @level. */
static unsigned sum_at_level(const struct plan *plan, unsigned level)
{
	unsigned sum = 0, i;

	for (i = 0; i < plan->nr; i++)
		if (plan->demands[i].alive)
			sum += MIN(wanted(plan, i), level);
	return sum;
}

/*
 * Equal shares up to the demand. The remainder of the division goes to the
 * daemons that hold more already, so that nothing moves without need.
 */
static void fill(struct plan *plan, unsigned available)
{
	unsigned level = 0, left, pass, i;

	while (level < available && sum_at_level(plan, level + 1) <= available)
		level++;
	left = available - sum_at_level(plan, level);
	for (i = 0; i < plan->nr; i++)
		plan->desired[i] = plan->demands[i].alive ?
					   MIN(wanted(plan, i), level) :
					   plan->shares[i].connections;
	for (pass = 0; pass < 2; pass++) {
		for (i = 0; i < plan->nr && left; i++) {
			if (!plan->demands[i].alive ||
			    plan->desired[i] != level ||
			    wanted(plan, i) <= level ||
			    (!pass && plan->shares[i].connections <= level))
				continue;
			plan->desired[i]++;
			left--;
		}
	}
}

/*
 * One connection stays free, so that a daemon with its probe connection only
 * gets one for a first request without waiting for another daemon to shrink.
 * A budget that does not even reach for the working connections keeps none.
 */
static void choose_desired(struct plan *plan)
{
	unsigned fixed = 0, working, available, i;

	for (i = 0; i < plan->nr; i++)
		if (!plan->demands[i].alive)
			fixed += plan->shares[i].connections;
	available = plan->budget > fixed ? plan->budget - fixed : 0;
	working = sum_at_level(plan, WORKING);
	fill(plan, available > working ? available - 1 : available);
}

static unsigned growth(const struct plan *plan, unsigned i)
{
	unsigned connections = plan->shares[i].connections;

	if (!plan->demands[i].alive || plan->desired[i] <= connections)
		return 0;
	return plan->desired[i] - connections;
}

/* A rising demand first takes back what the daemon was asked to close. */
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

/* Grows the smallest shares first, one connection at a time. */
static void grow(struct plan *plan)
{
	unsigned sum = sum_of_shares(plan), i, best;

	while (sum < plan->budget) {
		best = plan->nr;
		for (i = 0; i < plan->nr; i++)
			if (growth(plan, i) &&
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
 * Asks for connections back only as far as others lack them, and to keep the
 * free one: an idle share is a warm spare as long as nobody needs it.
 */
static void shrink(struct plan *plan)
{
	unsigned sum = sum_of_shares(plan), lacking = 0, coming = 0, i, take;
	unsigned total = 0;
	struct budget_share *share;

	for (i = 0; i < plan->nr; i++) {
		lacking += growth(plan, i);
		total += plan->desired[i];
		coming += plan->shares[i].connections - plan->shares[i].target;
	}
	if (sum > plan->budget)
		lacking += sum - plan->budget;
	if (sum >= plan->budget && total < plan->budget)
		lacking++;
	lacking -= MIN(lacking, coming);
	for (i = 0; i < plan->nr && lacking; i++) {
		share = &plan->shares[i];
		if (!plan->demands[i].alive ||
		    share->target <= plan->desired[i])
			continue;
		take = MIN(share->target - plan->desired[i], lacking);
		share->target -= take;
		lacking -= take;
	}
}

static bool is_smaller(const struct budget_share *a,
		       const struct budget_share *b)
{
	return a->connections < b->connections;
}

/* Changes that free connections come before those that use them. */
static unsigned list_changes(const struct plan *plan,
			     const struct budget_share *before,
			     struct budget_change *changes)
{
	unsigned nr_changes = 0, i;
	int freeing;

	for (freeing = 1; freeing >= 0; freeing--) {
		for (i = 0; i < plan->nr; i++) {
			if (is_smaller(&plan->shares[i], &before[i]) != freeing)
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
	release(&plan);
	choose_desired(&plan);
	cancel_shrinking(&plan);
	grow(&plan);
	shrink(&plan);
	nr_changes = list_changes(&plan, shares, changes);
	g_free(plan.shares);
	g_free(plan.desired);
	return nr_changes;
}
