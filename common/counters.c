#include "counters.h"

void counter_set_init(struct counter_set *set)
{
	set->counters = g_array_new(FALSE, TRUE, sizeof(struct counter));
}

void counter_set_finish(struct counter_set *set)
{
	g_array_free(set->counters, TRUE);
	set->counters = NULL;
}

static int counter_append(struct counter_set *set, const char *name,
			  const char *help, gboolean gauge)
{
	struct counter c = { .name = name, .help = help, .gauge = gauge };

	g_array_append_val(set->counters, c);
	return set->counters->len - 1;
}

int counter_register(struct counter_set *set, const char *name,
		     const char *help)
{
	return counter_append(set, name, help, FALSE);
}

int counter_register_gauge(struct counter_set *set, const char *name,
			   const char *help)
{
	return counter_append(set, name, help, TRUE);
}

void counter_register_all(struct counter_set *set,
			  const struct counter_spec *specs, size_t nr,
			  int *handles)
{
	size_t i;

	for (i = 0; i < nr; i++)
		handles[i] = counter_append(set, specs[i].name, specs[i].help,
					    specs[i].gauge);
}

void counter_add(struct counter_set *set, int handle, int64_t delta)
{
	g_array_index(set->counters, struct counter, handle).value += delta;
}

void counter_assign(struct counter_set *set, int handle, int64_t value)
{
	g_array_index(set->counters, struct counter, handle).value = value;
}

void counter_set_print(const struct counter_set *set, GString *out)
{
	const struct counter *c;
	guint i;

	for (i = 0; i < set->counters->len; i++) {
		c = &g_array_index(set->counters, struct counter, i);
		g_string_append_printf(out, "# HELP %s %s\n# TYPE %s %s\n",
				       c->name, c->help, c->name,
				       c->gauge ? "gauge" : "counter");
		g_string_append_printf(out, "%s %" G_GINT64_FORMAT "\n",
				       c->name, (gint64)c->value);
	}
}
