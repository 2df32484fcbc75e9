#include "answer_time.h"

/* Divisors: weights of a new sample in the moving averages. */
#define MEAN_DIVISOR 16
#define DEVIATION_DIVISOR 8

void answer_time_add(struct answer_time *t, int64_t us)
{
	int64_t distance_us = us - t->mean_us;

	if (!t->mean_us) {
		*t = (struct answer_time){ us, us / 2 };
		return;
	}
	if (distance_us < 0)
		distance_us = -distance_us;
	t->deviation_us += (distance_us - t->deviation_us) / DEVIATION_DIVISOR;
	t->mean_us += (us - t->mean_us) / MEAN_DIVISOR;
}

int64_t answer_time_overdue_us(const struct answer_time *t)
{
	int64_t us = t->mean_us + ANSWER_OVERDUE_DEVIATIONS * t->deviation_us;

	if (!t->mean_us || us > ANSWER_OVERDUE_MAX_US)
		return ANSWER_OVERDUE_MAX_US;
	return us < ANSWER_OVERDUE_MIN_US ? ANSWER_OVERDUE_MIN_US : us;
}

bool answer_time_is_overdue(const struct answer_time *t, int64_t sent_us,
			    int64_t newest_us, int64_t now_us)
{
	int64_t overdue_us = answer_time_overdue_us(t);

	return now_us - sent_us > overdue_us &&
	       newest_us - sent_us > overdue_us / 2;
}

void repeat_budget_answered(struct repeat_budget *b)
{
	if (b->hundredths < ANSWER_REPEAT_BURST * 100)
		b->hundredths += ANSWER_REPEAT_PERCENT;
}

bool repeat_budget_take(struct repeat_budget *b)
{
	if (b->hundredths < 100)
		return false;
	b->hundredths -= 100;
	return true;
}
