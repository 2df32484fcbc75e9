#include "model.h"

#include <gsl/gsl_randist.h>
#include <math.h>

/* Time a stretch of log takes to a replica besides the network. */
#define SHIP_US 300
#define LAG_MEDIAN_US 4000.0
#define LAG_SIGMA 0.8
#define LAG_CHANGE_US (200 * MS)
/* A replica stands still for seconds about twice a minute. */
#define STALL_CHANCE 0.007
#define STALL_MAX_US (8 * SECOND)
/* Log written without a caller's request, such as by vacuuming. */
#define BACKGROUND_US (200 * MS)

static struct model_entry *entry_at(const struct model *m, guint i)
{
	return &g_array_index(m->log, struct model_entry, i);
}

struct position model_database_write(struct model *m, uint64_t bytes)
{
	struct model_entry entry = { m->now_us, bytes };

	if (m->log->len)
		entry.lsn += entry_at(m, m->log->len - 1)->lsn;
	g_array_append_val(m->log, entry);
	model_database_advance(m, m->primary);
	return m->databases[m->primary].replayed;
}

/* Entries written by @until_us, counted on from @from. */
static guint entries_by(const struct model *m, guint from, int64_t until_us)
{
	while (from < m->log->len && entry_at(m, from)->at_us <= until_us)
		from++;
	return from;
}

static void set_position(const struct model *m, struct position *pos,
			 guint entries)
{
	if (entries)
		*pos = (struct position){ m->term,
					  entry_at(m, entries - 1)->lsn };
}

void model_database_advance(struct model *m, int db)
{
	struct model_database *d = &m->databases[db];

	if (!d->up || !d->following)
		return;
	if (d->is_primary) {
		d->received_entries = d->applied_entries = m->log->len;
	} else {
		d->received_entries =
			entries_by(m, d->received_entries, m->now_us - SHIP_US);
		if (m->now_us >= d->stalled_until_us)
			d->applied_entries = entries_by(m, d->applied_entries,
							m->now_us - d->lag_us);
		d->received_entries =
			MAX(d->received_entries, d->applied_entries);
	}
	set_position(m, &d->received, d->received_entries);
	set_position(m, &d->replayed, d->applied_entries);
}

bool model_reaches(const struct model *m, unsigned daemon, int db)
{
	if (!m->databases[db].up)
		return false;
	return m->isolated_with < 0 || !m->databases[db].is_primary ||
	       db == m->primary || (int)daemon == m->isolated_with;
}

bool model_database_holds(struct model *m, int db, struct position needed)
{
	model_database_advance(m, db);
	return position_covers(&m->history, m->databases[db].replayed, needed);
}

static void change_lag(int64_t now_us, void *data)
{
	struct model *m = data;
	struct model_database *d;
	int i;

	for (i = 0; i < MODEL_DATABASES; i++) {
		d = &m->databases[i];
		model_database_advance(m, i);
		d->lag_us = gsl_ran_lognormal(m->rng, log(LAG_MEDIAN_US),
					      LAG_SIGMA);
		d->lag_us = MAX(d->lag_us, SHIP_US);
		if (model_chance(m, STALL_CHANCE))
			d->stalled_until_us =
				now_us + gsl_rng_uniform(m->rng) * STALL_MAX_US;
	}
	model_at(m, now_us + LAG_CHANGE_US, change_lag, m);
}

static void write_background(int64_t now_us, void *data)
{
	struct model *m = data;

	if (m->databases[m->primary].up && !m->fenced)
		model_database_write(m, 64);
	model_at(m, now_us + model_exponential(m, BACKGROUND_US),
		 write_background, m);
}

void model_databases_init(struct model *m)
{
	int i;

	m->log = g_array_new(FALSE, FALSE, sizeof(struct model_entry));
	term_history_init(&m->history);
	m->term = 1;
	for (i = 0; i < MODEL_DATABASES; i++)
		m->databases[i] = (struct model_database){
			.up = true,
			.following = true,
			.is_primary = i == 0,
			.lag_us = LAG_MEDIAN_US,
		};
	m->now_us = -SECOND;
	model_database_write(m, 1000);
	m->now_us = 0;
	change_lag(0, m);
	write_background(0, m);
}

/* The replica that received most becomes primary; the log ends there. */
void model_databases_promote(struct model *m)
{
	struct model_database *d;
	int best = -1, i;

	for (i = 0; i < MODEL_DATABASES; i++) {
		d = &m->databases[i];
		model_database_advance(m, i);
		if (d->is_primary || !d->up || !d->following)
			continue;
		if (best < 0 ||
		    d->received_entries > m->databases[best].received_entries)
			best = i;
	}
	if (best < 0)
		return;
	for (i = 0; i < MODEL_DATABASES; i++)
		m->databases[i].following = i == best;
	m->primary = best;
	m->switch_entries = m->databases[best].received_entries;
	d = &m->databases[best];
	d->is_primary = true;
	g_array_set_size(m->log, d->received_entries);
	term_history_add(&m->history, m->term, d->received.lsn);
	m->term++;
	m->counts.promotions++;
	model_database_advance(m, best);
}
