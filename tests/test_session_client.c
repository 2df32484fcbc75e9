#include "session_client.h"
#include "test_main.h"

#include <gsl/gsl_rng.h>
#include <string.h>

/*
 * Session clients of several daemons over a small fake of the bus: a queue of
 * encoded messages with loss, duplication and delay, in virtual time.
 */

#define DAEMONS 5
#define SESSIONS 4
#define STEP_US 1000
#define LEASE_US 1200000

struct bus {
	int self;
};

struct letter {
	int64_t at_us;
	int from;
	int to;
	bool answer;
	uint8_t *bytes;
	size_t len;
};

/* What was acknowledged last, per session. */
struct acknowledged {
	uint64_t lsn;
	int64_t at_us;
};

static struct world {
	gsl_rng *rng;
	int64_t now_us;
	double loss;
	GQueue *letters;
	struct settings settings[DAEMONS];
	struct timer_service timers[DAEMONS];
	struct bus bus[DAEMONS];
	struct session_client *client[DAEMONS];
	uint64_t version[DAEMONS];
	int64_t list_due_us[DAEMONS];
	uint64_t latest_version;
	unsigned listed;
	struct acknowledged acknowledged[SESSIONS];
	uint64_t next_lsn;
	int stale;
	int answered;
	int attempted;
	int stored;
} w;

static void post(int from, int to, bool answer, const Wire__Envelope *envelope)
{
	int copies = 1 + (gsl_rng_uniform(w.rng) < 0.05);
	struct letter *l;

	if (gsl_rng_uniform(w.rng) < w.loss)
		return;
	while (copies--) {
		l = g_new0(struct letter, 1);
		l->at_us = w.now_us + 500 + gsl_rng_uniform_int(w.rng, 4000);
		l->from = from;
		l->to = to;
		l->answer = answer;
		l->len = wire__envelope__get_packed_size(envelope);
		l->bytes = g_malloc(l->len);
		wire__envelope__pack(envelope, l->bytes);
		g_queue_push_tail(w.letters, l);
	}
}

int bus_connect(struct bus *bus, const char *address, GError **error)
{
	return atoi(address);
}

void bus_send(struct bus *bus, int handle, const Wire__Envelope *envelope)
{
	post(bus->self, handle, false, envelope);
}

void bus_reply(struct bus *bus, const struct bus_return_path *to,
	       const Wire__Envelope *envelope)
{
	post(bus->self, to->id[0], true, envelope);
}

static void deliver(struct letter *l)
{
	Wire__Envelope *e = wire__envelope__unpack(NULL, l->len, l->bytes);
	struct bus_return_path from = { .len = 1 };

	from.id[0] = l->from;
	if (l->answer)
		session_client_reply(w.client[l->to], l->from, e, w.now_us);
	else
		session_client_request(w.client[l->to], &from, e, w.now_us);
	wire__envelope__free_unpacked(e, NULL);
}

static void deliver_due(void)
{
	guint i, nr = g_queue_get_length(w.letters);
	struct letter *l;

	for (i = 0; i < nr; i++) {
		l = g_queue_pop_head(w.letters);
		if (l->at_us > w.now_us) {
			g_queue_push_tail(w.letters, l);
			continue;
		}
		deliver(l);
		g_free(l->bytes);
		g_free(l);
	}
}

static void give_members(int daemon)
{
	Wire__Member members[DAEMONS], *list[DAEMONS];
	char name[DAEMONS][8], zone[DAEMONS][8], address[DAEMONS][8];
	unsigned i;

	for (i = 0; i < w.listed; i++) {
		wire__member__init(&members[i]);
		g_snprintf(name[i], sizeof(name[i]), "vm-%u", i);
		g_snprintf(zone[i], sizeof(zone[i]), "z%u", i % 3);
		g_snprintf(address[i], sizeof(address[i]), "%u", i);
		members[i].daemon = name[i];
		members[i].availability_zone = zone[i];
		members[i].bus_address = address[i];
		list[i] = &members[i];
	}
	w.version[daemon] = w.latest_version;
	session_client_members(w.client[daemon], list, w.listed,
			       w.latest_version, w.now_us);
}

static void start_daemon(int i)
{
	w.client[i] = session_client_new(&w.settings[i], &w.bus[i],
					 &w.timers[i], w.now_us);
	give_members(i);
}

static void world_start(uint64_t seed, double loss, unsigned listed)
{
	int i;

	memset(&w, 0, sizeof(w));
	w.rng = gsl_rng_alloc(gsl_rng_mt19937);
	gsl_rng_set(w.rng, seed);
	w.loss = loss;
	w.letters = g_queue_new();
	w.listed = listed;
	w.latest_version = 1;
	w.next_lsn = 1;
	for (i = 0; i < DAEMONS; i++) {
		w.settings[i].name = g_strdup_printf("vm-%d", i);
		w.settings[i].lease_duration_us = LEASE_US;
		w.settings[i].session_wait_us = 20000;
		w.bus[i].self = i;
		timer_service_init(&w.timers[i]);
		start_daemon(i);
	}
}

static void world_end(void)
{
	struct letter *l;
	int i;

	for (i = 0; i < DAEMONS; i++) {
		session_client_free(w.client[i]);
		timer_service_finish(&w.timers[i]);
		g_free(w.settings[i].name);
	}
	while ((l = g_queue_pop_head(w.letters))) {
		g_free(l->bytes);
		g_free(l);
	}
	g_queue_free(w.letters);
	gsl_rng_free(w.rng);
}

static void step(void)
{
	int i;

	w.now_us += STEP_US;
	deliver_due();
	for (i = 0; i < DAEMONS; i++) {
		if (w.version[i] != w.latest_version &&
		    w.now_us >= w.list_due_us[i])
			give_members(i);
		timer_service_advance(&w.timers[i], w.now_us);
	}
}

/* The list reaches each daemon at the latest when its lease ends. */
static void change_members(void)
{
	int i;

	w.latest_version++;
	w.listed = 3 + gsl_rng_uniform_int(w.rng, DAEMONS - 2);
	for (i = 0; i < DAEMONS; i++)
		w.list_due_us[i] =
			w.now_us + gsl_rng_uniform_int(w.rng, LEASE_US);
}

struct store_note {
	int session;
	uint64_t lsn;
};

static void on_stored(bool reached, const struct session_answer *answer,
		      void *data)
{
	struct store_note *note = data;
	struct acknowledged *a = &w.acknowledged[note->session];

	if (reached && note->lsn > a->lsn) {
		a->lsn = note->lsn;
		a->at_us = w.now_us;
	}
	w.stored += reached;
	g_free(note);
}

struct lookup_note {
	int session;
	struct acknowledged at_start;
};

static void on_found(bool reached, const struct session_answer *answer,
		     void *data)
{
	struct lookup_note *note = data;
	const struct acknowledged *a = &note->at_start;
	bool held, fresh;

	if (reached && a->lsn) {
		held = answer->found && answer->pos.lsn >= a->lsn;
		/* A read that fresh sees the write without its position. */
		fresh = answer->complete_for_us < w.now_us - a->at_us;
		w.stale += !held && !fresh;
		w.answered++;
	}
	g_free(note);
}

static void random_store(void)
{
	int daemon = gsl_rng_uniform_int(w.rng, DAEMONS);
	struct store_note *note = g_new0(struct store_note, 1);
	struct position pos = { 1, w.next_lsn++ };

	note->session = gsl_rng_uniform_int(w.rng, SESSIONS);
	note->lsn = pos.lsn;
	w.attempted++;
	session_client_store(w.client[daemon], 100 + note->session, 1, pos,
			     w.now_us + 500000, on_stored, note, w.now_us);
}

static void random_lookup(void)
{
	int daemon = gsl_rng_uniform_int(w.rng, DAEMONS);
	struct lookup_note *note = g_new0(struct lookup_note, 1);

	note->session = gsl_rng_uniform_int(w.rng, SESSIONS);
	note->at_start = w.acknowledged[note->session];
	session_client_lookup(w.client[daemon], 100 + note->session, 1,
			      on_found, note, w.now_us);
}

static void drain(void)
{
	int i;

	for (i = 0; i < 1000; i++)
		step();
}

/* Restarts lose the memory of an owner; requests under way are over. */
static void random_restart(void)
{
	int daemon = gsl_rng_uniform_int(w.rng, DAEMONS);

	drain();
	session_client_free(w.client[daemon]);
	start_daemon(daemon);
}

static void run(uint64_t seed, double loss, bool restarts, bool moves)
{
	double what;
	int i;

	world_start(seed, loss, DAEMONS);
	for (i = 0; i < 4000; i++) {
		what = gsl_rng_uniform(w.rng);
		if (what < 0.10)
			random_store();
		else if (what < 0.40)
			random_lookup();
		else if (restarts && what < 0.401)
			random_restart();
		else if (moves && what > 0.9985)
			change_members();
		step();
	}
	drain();
}

/* Guards against a read that misses an acknowledged write of its session. */
START_TEST(test_no_stale_answers)
{
	int answered = 0, stored = 0, attempted = 0;
	uint64_t seed;

	for (seed = 1; seed <= 300; seed++) {
		run(seed, 0.05, true, true);
		ck_assert_msg(w.stale == 0, "seed %d: %d stale", (int)seed,
			      w.stale);
		answered += w.answered;
		stored += w.stored;
		attempted += w.attempted;
		world_end();
	}
	/* The check says something only if most requests succeed. */
	ck_assert_int_gt(answered, 200000);
	ck_assert_int_gt(stored * 2, attempted);
}
END_TEST

/* Guards against owners that are asked although they cannot form a majority. */
START_TEST(test_no_majority_is_reported)
{
	world_start(7, 1.0, DAEMONS);
	w.acknowledged[0].lsn = 1;
	for (int i = 0; i < 50; i++) {
		random_lookup();
		step();
	}
	drain();
	ck_assert_int_eq(w.answered, 0);
	ck_assert_int_eq(w.stored, 0);
	world_end();
}
END_TEST

/* Guards against requests that outlive their deadline or their owner. */
START_TEST(test_store_ends_at_its_deadline)
{
	int i;

	world_start(8, 1.0, DAEMONS);
	for (i = 0; i < 20; i++)
		random_store();
	drain();
	ck_assert_int_eq(w.stored, 0);
	for (i = 0; i < DAEMONS; i++)
		ck_assert(timer_service_next_us(&w.timers[i]) == INT64_MAX);
	world_end();
}
END_TEST

TEST_MAIN("session_client", test_no_stale_answers, test_no_majority_is_reported,
	  test_store_ends_at_its_deadline)
