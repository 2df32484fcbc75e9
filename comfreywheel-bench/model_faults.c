#include "model.h"

#define RESTART_US (7 * SECOND)
/* A daemon that does not reach control tries again after this time. */
#define ASK_CONTROL_US (100 * MS)
#define MEMBERS_US (9 * SECOND)
#define FAILOVER_US (20 * SECOND)
#define LEASE_US (1200 * MS)
/* Fenced by expiry or confirmation, then promoted. */
#define PROMOTE_US (1300 * MS)
#define HEAL_US (5 * SECOND)

static const char *const database_names[] = { "db0", "db1", "db2" };

static double between(struct model *m, double low, double high)
{
	return low + (high - low) * gsl_rng_uniform(m->rng);
}

static void adopt_members(int64_t now_us, void *data)
{
	struct model_daemon *d = data;

	if (d->version != d->model->members_version) {
		d->knows_previous = d->version != 0;
		d->adopted_us = now_us;
	}
	d->version = d->model->members_version;
	session_positions_change_members(&d->positions, d->version, now_us,
					 SESSION_MEMBERS_GRACE_US);
}

/* A daemon with a lease hears of a new list before its lease ends. */
static void change_members(int64_t now_us, void *data)
{
	struct model *m = data;
	unsigned i;

	m->members_version++;
	for (i = 0; i < MODEL_DAEMONS; i++)
		if (m->daemons[i].lease_valid)
			model_at(m, now_us + between(m, 0, LEASE_US),
				 adopt_members, &m->daemons[i]);
	model_at(m, now_us + model_exponential(m, MEMBERS_US), change_members,
		 m);
}

static void restarted(int64_t now_us, void *data)
{
	struct model_daemon *d = data;
	struct model *m = d->model;

	/* Isolated with the former primary, it is told nothing. */
	if (m->isolated_with == (int)d->index) {
		model_at(m, now_us + ASK_CONTROL_US, restarted, d);
		return;
	}
	d->lease_valid = true;
	adopt_members(now_us, d);
}

/* The owner loses its table and refuses until it knows the member list. */
static void restart(int64_t now_us, void *data)
{
	struct model *m = data;
	struct model_daemon *d =
		&m->daemons[gsl_rng_uniform_int(m->rng, MODEL_DAEMONS)];
	unsigned capacity = d->positions.capacity;

	if (d->lease_valid) {
		session_positions_finish(&d->positions);
		session_positions_init(&d->positions, capacity,
				       SESSION_RETENTION_US, now_us);
		d->lease_valid = false;
		d->version = 0;
		model_at(m, now_us + between(m, 50 * MS, 500 * MS), restarted,
			 d);
	}
	model_at(m, now_us + model_exponential(m, RESTART_US), restart, m);
}

static void lose_lease(int64_t now_us, void *data)
{
	struct model_daemon *d = data;

	d->lease_valid = false;
}

static void fence(int64_t now_us, void *data)
{
	struct model_daemon *d = data;
	struct cluster *cl = directory_cluster_at(&d->dir, 0);

	directory_set_primary(&d->dir, 0, cl->primary_name, cl->term, true);
}

static void learn_primary(int64_t now_us, void *data)
{
	struct model_daemon *d = data;
	struct model *m = d->model;
	struct cluster *cl = directory_cluster_at(&d->dir, 0);
	struct term_switch *sw;
	guint i;

	for (i = 0; i < m->history.switches->len; i++) {
		sw = &g_array_index(m->history.switches, struct term_switch, i);
		term_history_add(&cl->history, sw->term, sw->end_lsn);
	}
	directory_set_primary(&d->dir, 0, database_names[m->primary], m->term,
			      m->fenced);
}

static void repoint(int64_t now_us, void *data)
{
	struct model *m = data;
	struct model_database *db;
	int i;

	for (i = 0; i < MODEL_DATABASES; i++) {
		db = &m->databases[i];
		if (!db->is_primary && db->up &&
		    db->received_entries <= m->switch_entries)
			db->following = true;
	}
}

static void promote(int64_t now_us, void *data)
{
	struct model *m = data;
	unsigned i;

	model_databases_promote(m);
	m->fenced = false;
	for (i = 0; i < MODEL_DAEMONS; i++)
		if (m->daemons[i].lease_valid)
			model_at(m, now_us + between(m, 5 * MS, 300 * MS),
				 learn_primary, &m->daemons[i]);
	model_at(m, now_us + between(m, 200 * MS, SECOND), repoint, m);
}

/* The former primary is rewound to the end of its term; daemons that were
 * cut off hear of the new primary and then get a lease. */
static void heal(int64_t now_us, void *data)
{
	struct model *m = data;
	struct model_database *db;
	struct model_daemon *d;
	guint i;

	for (i = 0; i < MODEL_DATABASES; i++) {
		db = &m->databases[i];
		if ((int)i == m->primary || db->following)
			continue;
		db->up = db->following = true;
		db->is_primary = false;
		db->received_entries =
			MIN(db->received_entries, m->switch_entries);
		db->applied_entries =
			MIN(db->applied_entries, m->switch_entries);
	}
	m->isolated_with = -1;
	for (i = 0; i < MODEL_DAEMONS; i++) {
		d = &m->daemons[i];
		learn_primary(now_us, d);
		if (d->version)
			restarted(now_us, d);
	}
}

/* The primary crashes, or is isolated with one daemon on its side. */
static void fail_primary(int64_t now_us, void *data)
{
	struct model *m = data;
	struct model_database *db = &m->databases[m->primary];
	struct model_daemon *d;
	unsigned i;

	model_database_advance(m, m->primary);
	db->following = false;
	if (model_chance(m, 0.5))
		db->up = false;
	else
		m->isolated_with = gsl_rng_uniform_int(m->rng, MODEL_DAEMONS);
	m->fenced = true;
	for (i = 0; i < MODEL_DAEMONS; i++) {
		d = &m->daemons[i];
		if ((int)i == m->isolated_with)
			model_at(m, now_us + LEASE_US, lose_lease, d);
		else
			model_at(m, now_us + between(m, 300 * MS, 600 * MS),
				 fence, d);
	}
	model_at(m, now_us + PROMOTE_US, promote, m);
	model_at(m, now_us + HEAL_US, heal, m);
	model_at(m, now_us + 2 * HEAL_US + model_exponential(m, FAILOVER_US),
		 fail_primary, m);
}

void model_faults_init(struct model *m)
{
	m->loss = gsl_rng_uniform(m->rng) * 0.2;
	model_at(m, model_exponential(m, RESTART_US), restart, m);
	model_at(m, model_exponential(m, MEMBERS_US), change_members, m);
	model_at(m, model_exponential(m, FAILOVER_US), fail_primary, m);
}
