#ifndef COUNTERS_H
#define COUNTERS_H

#include <glib.h>
#include <stdint.h>

/**
 * DOC: Counters and gauges of one task.
 *
 * Only the task that owns a set updates it. Updates refer to a counter by its
 * integer handle; the name is used only for printing.
 */

/**
 * struct counter - a counter or gauge
 * @name: metric name in the text exposition format, static storage
 * @help: one-line help text, static storage
 * @value: current value
 * @gauge: a gauge, whose value may decrease, rather than a counter
 */
struct counter {
	const char *name;
	const char *help;
	int64_t value;
	gboolean gauge;
};

struct counter_set {
	GArray *counters;
};

void counter_set_init(struct counter_set *set);
void counter_set_finish(struct counter_set *set);

/**
 * counter_register() - add a counter that starts at 0
 * Return: its handle, valid until counter_set_finish()
 */
int counter_register(struct counter_set *set, const char *name,
		     const char *help);
int counter_register_gauge(struct counter_set *set, const char *name,
			   const char *help);

/** struct counter_spec - definition of a counter, see struct counter */
struct counter_spec {
	const char *name;
	const char *help;
	gboolean gauge;
};

/** counter_register_all() - register @nr counters and store their @handles */
void counter_register_all(struct counter_set *set,
			  const struct counter_spec *specs, size_t nr,
			  int *handles);

void counter_add(struct counter_set *set, int handle, int64_t delta);
void counter_assign(struct counter_set *set, int handle, int64_t value);

/**
 * counter_set_print() - print all counters in the text exposition format
 * @set: counters to print
 * @out: string to append "# HELP", "# TYPE" and value lines to
 */
void counter_set_print(const struct counter_set *set, GString *out);

#endif
