#ifndef COUNTERS_H
#define COUNTERS_H

#include <glib.h>
#include <stdint.h>

/**
 * DOC: Counters of one task.
 *
 * A set belongs to one task and is changed by that task only. A counter is
 * addressed by a small handle; the name is used when it is printed.
 */

/**
 * struct counter - one named value
 * @name: name in the text exposition, static storage
 * @help: one line of help, static storage
 * @value: current value
 * @gauge: whether the value may fall
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
 * counter_register() - add a counter
 * Return: its handle, valid until counter_set_finish()
 */
int counter_register(struct counter_set *set, const char *name,
		     const char *help);
int counter_register_gauge(struct counter_set *set, const char *name,
			   const char *help);

/** struct counter_spec - a counter to register, see struct counter */
struct counter_spec {
	const char *name;
	const char *help;
	gboolean gauge;
};

/** counter_register_all() - register @nr counters; @handles: room for @nr */
void counter_register_all(struct counter_set *set,
			  const struct counter_spec *specs, size_t nr,
			  int *handles);

void counter_add(struct counter_set *set, int handle, int64_t delta);
void counter_assign(struct counter_set *set, int handle, int64_t value);

/**
 * counter_set_print() - append the text exposition format
 * @set: the counters
 * @out: receives "# HELP", "# TYPE" and value lines
 */
void counter_set_print(const struct counter_set *set, GString *out);

#endif
