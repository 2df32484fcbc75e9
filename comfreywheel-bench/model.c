#include "model.h"

#include <gsl/gsl_randist.h>
#include <string.h>

static const char *const lakeshore_zones[] = { "gl-west", "gl-central",
					       "gl-east" };
static const char *const filtrex_zones[] = { "olten", "aarau", "zofingen",
					     "langenthal" };

const struct model_user model_lakeshore = {
	.name = "lakeshore",
	.zones = lakeshore_zones,
	.nr_zones = G_N_ELEMENTS(lakeshore_zones),
	.between_zones_us = 500,
	.to_callers_us = MS,
	.sessions = 40,
	.think_us = 2 * SECOND,
	.after_write_us = 300 * MS,
	.writes = 0.05,
};

const struct model_user model_filtrex = {
	.name = "filtrex",
	.zones = filtrex_zones,
	.nr_zones = G_N_ELEMENTS(filtrex_zones),
	.between_zones_us = 1500,
	.to_callers_us = 3 * MS,
	.sessions = 40,
	.think_us = SECOND,
	.after_write_us = 50 * MS,
	.writes = 0.3,
};

void *model_alloc(struct model *m, size_t size)
{
	void *memory = g_malloc0(size);

	g_ptr_array_add(m->garbage, memory);
	return memory;
}

void model_at(struct model *m, int64_t at_us, timer_callback callback,
	      void *data)
{
	timer_subscribe(&m->timers, at_us, 0, callback, data);
}

int64_t model_delay(struct model *m)
{
	return m->user->between_zones_us +
	       model_exponential(m, m->user->between_zones_us / 5.0);
}

double model_exponential(struct model *m, double mean)
{
	return gsl_ran_exponential(m->rng, mean);
}

bool model_chance(struct model *m, double probability)
{
	return gsl_rng_uniform(m->rng) < probability;
}

static void start_sessions(struct model *m)
{
	unsigned i;

	m->sessions = model_alloc(m, m->user->sessions * sizeof(*m->sessions));
	for (i = 0; i < m->user->sessions; i++) {
		m->sessions[i].id = i + 1;
		m->sessions[i].model = m;
		model_at(m, model_exponential(m, m->user->think_us),
			 model_session_next, &m->sessions[i]);
	}
}

void model_run(struct model *m, const struct model_user *user, bool naive,
	       bool faults, unsigned seed, int64_t duration_us)
{
	memset(m, 0, sizeof(*m));
	m->user = user;
	m->naive = naive;
	m->faults = faults;
	m->isolated_with = -1;
	m->rng = gsl_rng_alloc(gsl_rng_mt19937);
	gsl_rng_set(m->rng, seed);
	m->garbage = g_ptr_array_new_with_free_func(g_free);
	timer_service_init(&m->timers);
	model_databases_init(m);
	model_daemons_init(m);
	if (faults)
		model_faults_init(m);
	start_sessions(m);
	while (m->now_us < duration_us) {
		m->now_us = timer_service_next_us(&m->timers);
		timer_service_advance(&m->timers, m->now_us);
	}
	model_daemons_finish(m);
	term_history_finish(&m->history);
	g_array_free(m->log, TRUE);
	timer_service_finish(&m->timers);
	g_ptr_array_free(m->garbage, TRUE);
	gsl_rng_free(m->rng);
}
