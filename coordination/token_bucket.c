#include "token_bucket.h"

void token_bucket_init(struct token_bucket *b, int64_t now_us)
{
	*b = (struct token_bucket){ .at_us = now_us };
}

static void refill(struct token_bucket *b, int64_t now_us)
{
	if (now_us > b->at_us) {
		b->tokens += b->rate_per_s * (double)(now_us - b->at_us) / 1e6;
		b->at_us = now_us;
	}
	if (b->tokens > b->depth)
		b->tokens = b->depth;
}

void token_bucket_set(struct token_bucket *b, double rate_per_s, double depth,
		      int64_t now_us)
{
	refill(b, now_us);
	b->rate_per_s = rate_per_s;
	b->depth = depth;
	refill(b, now_us);
}

unsigned token_bucket_take_above(struct token_bucket *b, unsigned nr,
				 double kept, int64_t now_us)
{
	double usable;
	unsigned taken;

	refill(b, now_us);
	usable = b->tokens - kept;
	if (usable < 1)
		return 0;
	taken = usable < (double)nr ? (unsigned)usable : nr;
	b->tokens -= (double)taken;
	return taken;
}

unsigned token_bucket_take(struct token_bucket *b, unsigned nr, int64_t now_us)
{
	return token_bucket_take_above(b, nr, 0, now_us);
}

int64_t token_bucket_wait_us(struct token_bucket *b, int64_t now_us)
{
	refill(b, now_us);
	if (b->tokens >= 1)
		return 0;
	if (b->rate_per_s <= 0 || b->depth < 1)
		return INT64_MAX;
	return (int64_t)((1 - b->tokens) * 1e6 / b->rate_per_s) + 1;
}

unsigned token_bucket_reserve(struct token_bucket *b, unsigned nr,
			      int64_t max_wait_us, int64_t now_us,
			      int64_t *wait_us, int64_t *interval_us)
{
	double usable;
	unsigned taken;

	*wait_us = token_bucket_wait_us(b, now_us);
	*interval_us = 0;
	if (*wait_us == INT64_MAX)
		return 0;
	if (b->rate_per_s > 0)
		*interval_us = (int64_t)(1e6 / b->rate_per_s);
	usable = b->tokens + b->rate_per_s * (double)max_wait_us / 1e6;
	if (usable < 1)
		return 0;
	taken = usable < (double)nr ? (unsigned)usable : nr;
	b->tokens -= (double)taken;
	return taken;
}
