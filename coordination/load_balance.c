#include "load_balance.h"

/* Random bits for each of the two draws. */
#define DRAW_BITS (LOAD_BALANCE_RANDOM_BITS / 2)
/* Weights are fractions of this. */
#define WEIGHT_ONE 1024
/* Half-lives after which nothing is left of WEIGHT_ONE. */
#define MAX_HALVINGS 10

/**
 * struct costs - what the costs of all options have in common
 * @mean_us: mean latency of the usable options
 * @lowest_us: lowest cost
 */
struct costs {
	int64_t mean_us;
	int64_t lowest_us;
};

static int64_t at_least(int64_t us, int64_t least_us)
{
	return us < least_us ? least_us : us;
}

static bool can_run(const struct load_balance_option *o)
{
	return o->usable && (o->idle || o->openable);
}

/* Halves with each half-life, linearly in between: no rounding that differs
 * between machines. */
static int64_t age_weight(const struct load_balance_option *o)
{
	int64_t half_life_us =
		LOAD_BALANCE_HALF_LIFE_STATEMENTS *
		at_least(o->base_latency_us, LOAD_BALANCE_MIN_LATENCY_US);
	int64_t age_us = at_least(o->age_us, 0);
	int64_t halvings = age_us / half_life_us;
	int64_t weight;

	if (halvings >= MAX_HALVINGS)
		return 0;
	weight = WEIGHT_ONE >> halvings;
	return weight - weight * (age_us % half_life_us) / (2 * half_life_us);
}

/* Weighted by age too, or an old estimate would return to a mean that it has
 * distorted itself. */
static int64_t mean_latency_us(const struct load_balance_option *options,
			       unsigned nr)
{
	int64_t sum_us = 0;
	int64_t total = 0;
	unsigned i;

	for (i = 0; i < nr; i++) {
		const struct load_balance_option *o = &options[i];
		int64_t weight = age_weight(o) + 1;

		if (!o->usable || !o->latency_us)
			continue;
		sum_us += o->latency_us * weight;
		total += weight;
	}
	return total ? sum_us / total : 0;
}

int64_t load_balance_latency_us(const struct load_balance_option *o,
				int64_t mean_us)
{
	int64_t us = mean_us;

	if (o->latency_us)
		us += (o->latency_us - mean_us) * age_weight(o) / WEIGHT_ONE;
	us = at_least(us, LOAD_BALANCE_MIN_LATENCY_US);
	return at_least(us, o->oldest_us);
}

static int64_t cost_us(const struct load_balance_option *o, int64_t mean_us)
{
	int64_t us = load_balance_latency_us(o, mean_us);

	us *= 1 + (int64_t)o->busy;
	if (o->primary)
		us = us * LOAD_BALANCE_PRIMARY_COST_PERCENT / 100;
	if (o->other_zone)
		us += LOAD_BALANCE_CROSS_ZONE_COST_US;
	if (!o->idle)
		us += LOAD_BALANCE_CONNECT_COST_US;
	return us;
}

/* The eighth power of lowest to own cost. With a uniform draw of two out of
 * three, the best is not among them one time in three, and zones and slots
 * count for less. */
static int64_t draw_weight(const struct load_balance_option *o,
			   const struct costs *costs)
{
	int64_t weight =
		costs->lowest_us * WEIGHT_ONE / cost_us(o, costs->mean_us);
	int squarings;

	for (squarings = 0; squarings < 3; squarings++)
		weight = weight * weight / WEIGHT_ONE;
	return weight + 1;
}

/* Return: index of an option other than @except, -1 if there is none */
static int draw(const struct load_balance_option *options, unsigned nr,
		const struct costs *costs, int except, uint32_t bits)
{
	int64_t total = 0;
	int64_t left;
	int drawn = -1;
	unsigned i;

	for (i = 0; i < nr; i++)
		if (can_run(&options[i]) && (int)i != except)
			total += draw_weight(&options[i], costs);
	left = total * (bits & ((1u << DRAW_BITS) - 1)) >> DRAW_BITS;
	for (i = 0; i < nr && left >= 0; i++) {
		if (!can_run(&options[i]) || (int)i == except)
			continue;
		drawn = (int)i;
		left -= draw_weight(&options[i], costs);
	}
	return drawn;
}

int load_balance_choose(const struct load_balance_option *options, unsigned nr,
			uint32_t random)
{
	struct costs costs = { mean_latency_us(options, nr), INT64_MAX };
	int first, second;
	unsigned i;

	for (i = 0; i < nr; i++) {
		int64_t us = cost_us(&options[i], costs.mean_us);

		if (can_run(&options[i]) && us < costs.lowest_us)
			costs.lowest_us = us;
	}
	first = draw(options, nr, &costs, -1, random);
	if (first < 0)
		return -1;
	second = draw(options, nr, &costs, first, random >> DRAW_BITS);
	if (second < 0)
		return first;
	return cost_us(&options[second], costs.mean_us) <
			       cost_us(&options[first], costs.mean_us) ?
		       second :
		       first;
}
