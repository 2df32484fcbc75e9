#ifndef TOKEN_BUCKET_H
#define TOKEN_BUCKET_H

#include <stdint.h>

/**
 * DOC: A token bucket whose rate and depth may change.
 *
 * A change never adds tokens, so what is taken from a bucket in any time T is
 * at most its depth at the start plus its rate integrated over T.
 */

/**
 * struct token_bucket - a token bucket
 * @rate_per_s: tokens added per second
 * @depth: most tokens that it holds
 * @tokens: tokens at @at_us
 */
struct token_bucket {
	double rate_per_s;
	double depth;
	double tokens;
	int64_t at_us;
};

/** token_bucket_init() - an empty bucket that is not filled yet */
void token_bucket_init(struct token_bucket *b, int64_t now_us);
/** token_bucket_set() - change rate and depth from @now_us on */
void token_bucket_set(struct token_bucket *b, double rate_per_s, double depth,
		      int64_t now_us);
/** token_bucket_take() - Return: tokens taken, at most @nr */
unsigned token_bucket_take(struct token_bucket *b, unsigned nr, int64_t now_us);
/** token_bucket_take_above() - the same, leaving @kept tokens */
unsigned token_bucket_take_above(struct token_bucket *b, unsigned nr,
				 double kept, int64_t now_us);
/**
 * token_bucket_reserve() - take tokens that are there within @max_wait_us
 * @wait_us: set to the time until the first one is there, INT64_MAX for never
 * @interval_us: set to the time between any two that are not there yet
 * Return: tokens taken, at most @nr
 */
unsigned token_bucket_reserve(struct token_bucket *b, unsigned nr,
			      int64_t max_wait_us, int64_t now_us,
			      int64_t *wait_us, int64_t *interval_us);
/** token_bucket_wait_us() - time until a token is there, INT64_MAX for never */
int64_t token_bucket_wait_us(struct token_bucket *b, int64_t now_us);

#endif
