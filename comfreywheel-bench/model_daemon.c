#include "model.h"

#define ANNOUNCE_US (5 * SECOND)
#define PROBE_US (100 * MS)
#define EXPIRY_US (15 * SECOND)
/* The tables of owners are complete at the start of a run. */
#define UP_SINCE_US (-40 * SECOND)
#define FAULT_CAPACITY 24

static const char *const database_names[] = { "db0", "db1", "db2" };
static const char *const daemon_names[] = { "vm0", "vm1", "vm2", "vm3",
					    "vm4", "vm5", "vm6", "vm7" };

struct question {
	struct model_daemon *daemon;
	int db;
	int64_t asked_us;
	bool answered;
	bool in_recovery;
	struct position received;
	struct position replayed;
};

static void question_answered(int64_t now_us, void *data)
{
	struct question *q = data;
	struct model_daemon *d = q->daemon;

	directory_record_probe(&d->dir, q->db, q->answered, now_us);
	if (q->answered)
		directory_record_position(&d->dir, q->db, q->in_recovery,
					  q->received, q->replayed, q->asked_us,
					  now_us, d->lease_valid);
}

static void question_arrives(int64_t now_us, void *data)
{
	struct question *q = data;
	struct model *m = q->daemon->model;
	struct model_database *db = &m->databases[q->db];

	if (model_reaches(m, q->daemon->index, q->db) &&
	    !model_chance(m, m->loss)) {
		model_database_advance(m, q->db);
		q->answered = true;
		q->in_recovery = !db->is_primary;
		q->received = db->received;
		q->replayed = db->replayed;
	}
	model_at(m, now_us + model_delay(m), question_answered, q);
}

void model_daemon_ask(struct model *m, unsigned daemon, int db)
{
	struct question *q = model_alloc(m, sizeof(*q));

	q->daemon = &m->daemons[daemon];
	q->db = db;
	q->asked_us = m->now_us;
	model_at(m, m->now_us + model_delay(m), question_arrives, q);
}

static void probe(int64_t now_us, void *data)
{
	struct model_daemon *d = data;
	int db;

	for (db = 0; db < MODEL_DATABASES; db++)
		model_daemon_ask(d->model, d->index, db);
	model_at(d->model, now_us + PROBE_US, probe, d);
}

static void announce(int64_t now_us, void *data)
{
	struct model_daemon *d = data;
	struct model *m = d->model;
	struct upstream_announcement ann = {
		.address = "10.0.0.1",
		.port = 5432,
		.service = "service",
		.cluster = "cluster",
	};
	int db;

	for (db = 0; db < MODEL_DATABASES; db++) {
		ann.name = ann.database = database_names[db];
		ann.availability_zone = m->user->zones[db % m->user->nr_zones];
		if (m->databases[db].up)
			directory_record_announcement(&d->dir, &ann, 0, now_us);
	}
	model_at(m, now_us + ANNOUNCE_US, announce, d);
}

unsigned model_daemon_owners(struct model *m, uint64_t version,
			     uint64_t session, unsigned *owners)
{
	/* Every other version of the list lacks the last daemon. */
	unsigned nr = MODEL_DAEMONS - (version % 2 == 0);

	return session_select_owners(m->members, nr, session, owners);
}

void model_daemons_init(struct model *m)
{
	struct model_daemon *d;
	unsigned i, capacity;

	m->members_version = 1;
	for (i = 0; i < MODEL_DAEMONS; i++) {
		d = &m->daemons[i];
		d->model = m;
		d->index = i;
		d->lease_valid = true;
		d->version = m->members_version;
		d->adopted_us = UP_SINCE_US;
		m->members[i] = (struct session_member){
			daemon_names[i],
			m->user->zones[i % m->user->nr_zones],
		};
		directory_init(&d->dir, EXPIRY_US);
		router_init(&d->router, m->members[i].availability_zone, i);
		capacity = SESSION_CAPACITY;
		if (m->faults && model_chance(m, 0.3))
			capacity = FAULT_CAPACITY;
		session_positions_init(&d->positions, capacity,
				       SESSION_RETENTION_US, UP_SINCE_US);
		session_positions_change_members(&d->positions, d->version,
						 UP_SINCE_US,
						 SESSION_MEMBERS_GRACE_US);
		announce(0, d);
		directory_set_primary(&d->dir, 0, database_names[0], 1, false);
		model_at(m, gsl_rng_uniform(m->rng) * PROBE_US, probe, d);
	}
}

void model_daemons_finish(struct model *m)
{
	unsigned i;

	for (i = 0; i < MODEL_DAEMONS; i++) {
		directory_finish(&m->daemons[i].dir);
		session_positions_finish(&m->daemons[i].positions);
	}
}
