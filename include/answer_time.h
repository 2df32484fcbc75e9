#ifndef ANSWER_TIME_H
#define ANSWER_TIME_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: When the answer to a statement is overdue.
 *
 * Pure functions. A network or a database can lose single answers while the
 * upstream goes on answering others. The caller would then wait until its
 * time-out, and the connection would be lost to other statements as well. An
 * answer counts as lost if it takes much longer than usual and statements that
 * were sent much later have been answered.
 */

/** Limits of the time after which an answer can be overdue, microseconds. */
#define ANSWER_OVERDUE_MIN_US (60 * 1000ll)
#define ANSWER_OVERDUE_MAX_US (600 * 1000ll)
/** Deviations above the mean after which an answer can be overdue. */
#define ANSWER_OVERDUE_DEVIATIONS 4
/** Repeated statements per hundred answered ones, and at most at once. */
#define ANSWER_REPEAT_PERCENT 5
#define ANSWER_REPEAT_BURST 10

/**
 * struct answer_time - answer times of one kind of statement
 * @mean_us: moving average, 0 before the first answer
 * @deviation_us: moving average of the distance from @mean_us
 */
struct answer_time {
	int64_t mean_us;
	int64_t deviation_us;
};

/** answer_time_add() - record that an answer took @us */
void answer_time_add(struct answer_time *t, int64_t us);
/** answer_time_overdue_us() - time after which an answer can be overdue */
int64_t answer_time_overdue_us(const struct answer_time *t);
/**
 * answer_time_is_overdue() - whether an answer must have been lost
 * @sent_us: when the statement was sent
 * @newest_us: when the newest of the statements that the same upstream has
 *             answered was sent
 */
bool answer_time_is_overdue(const struct answer_time *t, int64_t sent_us,
			    int64_t newest_us, int64_t now_us);

/**
 * struct repeat_budget - limits how many statements are sent a second time
 * @hundredths: repetitions left, times 100
 */
struct repeat_budget {
	unsigned hundredths;
};

void repeat_budget_answered(struct repeat_budget *b);
/** repeat_budget_take() - Return: false if no repetition is left */
bool repeat_budget_take(struct repeat_budget *b);

#endif
