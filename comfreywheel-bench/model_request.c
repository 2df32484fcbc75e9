#include "model.h"

#define SERVICE_US (3 * MS)
#define LOOKUP_US (20 * MS)
#define STORE_AGAIN_US (20 * MS)
#define ASK_AGAIN_US (5 * MS)
#define DECIDE_AGAIN_US (50 * MS)
#define DEADLINE_US (5 * SECOND)
#define MAX_LAG_US (10 * SECOND)
/* The naive version reads at the primary this long after any write. */
#define STICKY_US SECOND
#define PRIMARY_QUEUE_US 2000.0

/* struct op - one request of a session; @needed is what it must see */
struct op {
	struct model *m;
	struct model_session *session;
	struct model_daemon *daemon;
	bool write;
	bool has_needed;
	struct position needed;
	int64_t deadline_us;
	int64_t asked_us;
	int database;
	bool executed;
	bool decided;
	struct position written;
	uint32_t term;
	bool stored;
	unsigned round;
	/* Of the owners by the present list, and by the one before. */
	struct session_quorum quorum;
	struct session_quorum previous;
};

/* struct letter - a message to one owner and its answer */
struct letter {
	struct op *op;
	struct model_daemon *owner;
	uint64_t version;
	unsigned round;
	struct session_quorum *quorum;
	bool accepted;
	struct session_answer answer;
};

static void decide(int64_t now_us, void *data);

static void finish(struct op *op, int64_t now_us)
{
	struct model *m = op->m;
	int64_t think_us = op->write ? m->user->after_write_us :
				       m->user->think_us;

	model_at(m,
		 now_us + m->user->to_callers_us +
			 model_exponential(m, think_us),
		 model_session_next, op->session);
}

static void acknowledge(struct op *op, int64_t now_us)
{
	struct model_session *session = op->session;

	session->acknowledged =
		session->has_written ?
			position_max(session->acknowledged, op->written) :
			op->written;
	session->has_written = true;
	op->m->counts.writes++;
	finish(op, now_us);
}

static void letter_back(int64_t now_us, void *data)
{
	struct letter *letter = data;
	struct op *op = letter->op;

	if (op->decided || letter->round != op->round)
		return;
	if (letter->accepted)
		session_quorum_add_answer(letter->quorum, &letter->answer);
	else
		session_quorum_add_refusal(letter->quorum);
	if (!session_quorum_reached(&op->quorum) ||
	    !session_quorum_reached(&op->previous))
		return;
	op->decided = true;
	if (op->write)
		acknowledge(op, now_us);
	else
		decide(now_us, op);
}

static void letter_arrives(int64_t now_us, void *data)
{
	struct letter *letter = data;
	struct op *op = letter->op;
	struct model *m = op->m;
	struct session_positions *sp = &letter->owner->positions;

	if (op->write)
		letter->accepted = session_positions_store(sp, op->session->id,
							   1, op->written,
							   letter->version,
							   now_us);
	else
		letter->accepted = session_positions_lookup(sp, op->session->id,
							    1, letter->version,
							    now_us,
							    &letter->answer);
	if (!model_chance(m, m->loss))
		model_at(m, now_us + model_delay(m), letter_back, letter);
}

static void send_to(struct op *op, uint64_t list, struct session_quorum *quorum,
		    int64_t now_us)
{
	struct model *m = op->m;
	unsigned owners[SESSION_OWNERS], nr, i;
	struct letter *letter;

	nr = model_daemon_owners(m, list, op->session->id, owners);
	session_quorum_init(quorum, nr);
	for (i = 0; i < nr; i++) {
		letter = model_alloc(m, sizeof(*letter));
		letter->op = op;
		letter->owner = &m->daemons[owners[i]];
		letter->version = op->daemon->version;
		letter->round = op->round;
		letter->quorum = quorum;
		if (!model_chance(m, m->loss))
			model_at(m, now_us + model_delay(m), letter_arrives,
				 letter);
	}
}

static bool in_grace(const struct model_daemon *d, int64_t now_us)
{
	return now_us - d->adopted_us < SESSION_MEMBERS_GRACE_US;
}

/* The lists of a run alternate, so the one before stands for all older. */
static void send_letters(struct op *op, int64_t now_us)
{
	op->round++;
	session_quorum_init(&op->previous, 0);
	op->previous.needed = 0;
	send_to(op, op->daemon->version, &op->quorum, now_us);
	if (op->write && in_grace(op->daemon, now_us))
		send_to(op, op->daemon->version - 1, &op->previous, now_us);
}

static void store(int64_t now_us, void *data)
{
	struct op *op = data;

	if (op->decided)
		return;
	if (now_us >= op->deadline_us || !op->daemon->lease_valid) {
		op->decided = true;
		op->m->counts.unknown++;
		finish(op, now_us);
		return;
	}
	if (op->daemon->knows_previous || !in_grace(op->daemon, now_us))
		send_letters(op, now_us);
	model_at(op->m, now_us + STORE_AGAIN_US, store, op);
}

/* A replica must have received the write, under a lease in its term. */
static void await_replica(int64_t now_us, void *data)
{
	struct op *op = data;
	struct cluster *cl = directory_cluster_at(&op->daemon->dir, 0);
	const struct upstream *up;
	int db;

	if (!op->daemon->lease_valid || cl->fenced || cl->term != op->term ||
	    now_us >= op->deadline_us) {
		op->m->counts.unknown++;
		finish(op, now_us);
		return;
	}
	for (db = 0; db < MODEL_DATABASES; db++) {
		up = directory_upstream_at(&op->daemon->dir, db);
		if (db == op->database || !directory_is_replica(up))
			continue;
		if (position_covers(&cl->history, up->received, op->written)) {
			store(now_us, op);
			return;
		}
		model_daemon_ask(op->m, op->daemon->index, db);
	}
	model_at(op->m, now_us + ASK_AGAIN_US, await_replica, op);
}

static void write_answered(int64_t now_us, void *data)
{
	struct op *op = data;
	struct model_daemon *d = op->daemon;

	if (!op->executed) {
		op->m->counts.unknown++;
		finish(op, now_us);
		return;
	}
	if (op->m->naive) {
		d->sticky_until_us = now_us + STICKY_US;
		acknowledge(op, now_us);
		return;
	}
	directory_record_position(&d->dir, op->database, false, op->written,
				  op->written, op->asked_us, now_us,
				  d->lease_valid);
	op->term = op->written.term;
	await_replica(now_us, op);
}

static void check_read(struct op *op)
{
	struct model *m = op->m;

	m->counts.reads++;
	m->counts.at_replicas += op->database != m->primary;
	if (op->has_needed &&
	    !model_database_holds(m, op->database, op->needed))
		m->counts.violations++;
}

static void execute(int64_t now_us, void *data)
{
	struct op *op = data;
	struct model *m = op->m;
	struct model_database *db = &m->databases[op->database];

	if (!model_reaches(m, op->daemon->index, op->database)) {
		model_at(m, now_us + model_delay(m), write_answered, op);
		return;
	}
	if (!op->write) {
		check_read(op);
		finish(op, now_us + SERVICE_US);
		return;
	}
	op->executed = db->is_primary;
	if (op->database == m->primary && db->following) {
		op->written = model_database_write(m, 100);
	} else if (db->is_primary) {
		db->received.lsn += 100;
		op->written = db->replayed = db->received;
	}
	model_at(m, now_us + SERVICE_US + model_delay(m), write_answered, op);
}

static void oracle(struct op *op)
{
	struct model *m = op->m;
	int db;

	for (db = 0; db < MODEL_DATABASES; db++) {
		if (db == m->primary || !m->databases[db].up ||
		    m->databases[db].is_primary)
			continue;
		if (op->has_needed && !model_database_holds(m, db, op->needed))
			continue;
		m->counts.oracle++;
		return;
	}
}

static void run_at(struct op *op, int database, int64_t now_us)
{
	op->database = database;
	op->asked_us = now_us;
	if (!op->write)
		oracle(op);
	model_at(op->m, now_us + model_delay(op->m), execute, op);
}

static void decide_naive(struct op *op, int64_t now_us)
{
	const struct upstream_directory *dir = &op->daemon->dir;
	const struct cluster *cl = directory_cluster_at(dir, 0);
	int start = gsl_rng_uniform_int(op->m->rng, MODEL_DATABASES), db, i;
	int primary = cl->primary;

	if (primary == UPSTREAM_NONE)
		primary = directory_find_upstream(dir, cl->primary_name);
	if (op->write || now_us < op->daemon->sticky_until_us) {
		run_at(op, primary, now_us);
		return;
	}
	for (i = 0; i < MODEL_DATABASES; i++) {
		db = (start + i) % MODEL_DATABASES;
		if (db != primary && directory_upstream_at(dir, db)->reachable)
			break;
	}
	run_at(op, i < MODEL_DATABASES ? db : primary, now_us);
}

static void decide(int64_t now_us, void *data)
{
	struct op *op = data;
	bool reached = session_quorum_reached(&op->quorum);
	const struct session_answer *merged = &op->quorum.merged;
	struct route_request req = {
		.cluster = 0,
		.read = !op->write && reached,
		.has_position = merged->found,
		.needed = merged->pos,
		.fresh_within_us = merged->complete_for_us,
		.max_lag_us = MAX_LAG_US,
		.lease_valid = op->daemon->lease_valid,
		.exclude = UPSTREAM_NONE,
		.deadline_us = op->deadline_us,
		.primary_wait_us = model_exponential(op->m, PRIMARY_QUEUE_US),
	};
	struct route_decision out;

	router_decide(&op->daemon->router, &op->daemon->dir, &req, now_us,
		      &out);
	if (out.action == ROUTE_TO_UPSTREAM) {
		run_at(op, out.upstream, now_us);
	} else if (out.action == ROUTE_WAIT) {
		op->m->counts.waits++;
		model_at(op->m,
			 MIN(out.wait_until_us, now_us + DECIDE_AGAIN_US),
			 decide, op);
	} else {
		op->m->counts.refused++;
		finish(op, now_us);
	}
}

static void lookup_expired(int64_t now_us, void *data)
{
	struct op *op = data;

	if (op->decided)
		return;
	op->decided = true;
	decide(now_us, op);
}

static void at_daemon(int64_t now_us, void *data)
{
	struct op *op = data;

	if (op->m->naive) {
		decide_naive(op, now_us);
	} else if (op->write) {
		decide(now_us, op);
	} else {
		send_letters(op, now_us);
		model_at(op->m, now_us + LOOKUP_US, lookup_expired, op);
	}
}

void model_session_next(int64_t now_us, void *data)
{
	struct model_session *session = data;
	struct model *m = session->model;
	struct op *op = model_alloc(m, sizeof(*op));

	op->m = m;
	op->session = session;
	op->daemon = &m->daemons[gsl_rng_uniform_int(m->rng, MODEL_DAEMONS)];
	op->write = model_chance(m, m->user->writes);
	op->has_needed = session->has_written;
	op->needed = session->acknowledged;
	op->deadline_us = now_us + DEADLINE_US;
	model_at(m, now_us + m->user->to_callers_us, at_daemon, op);
}
