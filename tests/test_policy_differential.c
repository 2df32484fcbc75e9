#include "admission.h"
#include "directory_fixture.h"
#include "router.h"
#include "session_positions.h"
#include "test_main.h"

#include <gsl/gsl_rng.h>

#define SEEDS 40
#define STEPS 4000

static gsl_rng *rng;

static unsigned pick(unsigned n)
{
	return gsl_rng_uniform_int(rng, n);
}

static void seed(unsigned value)
{
	if (!rng)
		rng = gsl_rng_alloc(gsl_rng_mt19937);
	gsl_rng_set(rng, value);
}

/* Admission queue against a plain list. */

#define TENANTS 4

struct naive_item {
	int tenant;
	uint64_t request;
	int64_t deadline_us;
};

static struct admission adm;
static GArray *list;

static struct naive_item *item(guint i)
{
	return &g_array_index(list, struct naive_item, i);
}

static bool refuses_third(uint64_t request, void *data)
{
	return request % 3 != 0;
}

static unsigned waiting_of(int tenant)
{
	unsigned nr = 0;
	guint i;

	for (i = 0; i < list->len; i++)
		nr += item(i)->tenant == tenant;
	return nr;
}

/* Index of the head of a tenant's queue, or of all with tenant -1; the list
 * is in order of arrival. */
static int naive_head(int tenant, enum admission_order order)
{
	int best = -1;
	guint i;

	for (i = 0; i < list->len; i++) {
		if (tenant >= 0 && item(i)->tenant != tenant)
			continue;
		if (best < 0 ||
		    (order != ADMISSION_FIFO &&
		     item(i)->deadline_us < item(best)->deadline_us))
			best = i;
	}
	return best;
}

static void check_next(enum admission_order order, int64_t now_us)
{
	bool expected = false, found;
	uint64_t request;
	int head, t;

	for (t = 0; t < TENANTS && order == ADMISSION_FAIR; t++) {
		head = naive_head(t, order);
		expected |= head >= 0 &&
			    refuses_third(item(head)->request, NULL);
	}
	head = naive_head(-1, order);
	if (order != ADMISSION_FAIR)
		expected = head >= 0 &&
			   refuses_third(item(head)->request, NULL);
	found = admission_next(&adm, now_us, refuses_third, NULL, &request);
	ck_assert_int_eq(found, expected);
	if (!found)
		return;
	for (t = 0; t < TENANTS && order == ADMISSION_FAIR; t++) {
		head = naive_head(t, order);
		if (head >= 0 && item(head)->request == request)
			break;
	}
	ck_assert_uint_eq(item(head)->request, request);
	g_array_remove_index(list, head);
}

static void naive_expired(uint64_t request, void *data)
{
	guint i;

	for (i = 0; i < list->len && item(i)->request != request; i++)
		;
	ck_assert_uint_lt(i, list->len);
	g_array_remove_index(list, i);
}

static void check_expire(int64_t now_us)
{
	guint i;

	admission_expire(&adm, now_us, naive_expired, NULL);
	for (i = 0; i < list->len; i++)
		ck_assert_int_gt(item(i)->deadline_us, now_us);
}

static void enqueue(uint64_t request, int64_t now_us)
{
	struct naive_item it = { pick(TENANTS), request,
				 now_us + 1 + pick(900) };
	bool full = waiting_of(it.tenant) >= 20;
	enum admission_verdict verdict = admission_enqueue(
		&adm, it.tenant, request, it.deadline_us, now_us);

	ck_assert_int_eq(verdict, full ? ADMISSION_FULL : ADMISSION_QUEUED);
	if (!full)
		g_array_append_val(list, it);
}

static void run_admission(enum admission_order order, unsigned value)
{
	char name[] = "a";
	int64_t now;
	guint gone;
	int t;

	seed(value);
	list = g_array_new(FALSE, FALSE, sizeof(struct naive_item));
	admission_init(&adm, order, 20, 2);
	for (t = 0; t < TENANTS; t++, name[0]++)
		admission_tenant(&adm, name, 1 + pick(5));
	for (now = 0; now < STEPS; now++) {
		if (pick(100) < 55)
			enqueue(now, now);
		else if (pick(100) < 90)
			check_next(order, now);
		else if (list->len && pick(2)) {
			gone = pick(list->len);
			admission_remove(&adm, item(gone)->tenant,
					 item(gone)->request);
			g_array_remove_index(list, gone);
		} else
			check_expire(now);
		ck_assert_uint_eq(admission_waiting(&adm), list->len);
	}
	admission_finish(&adm);
	g_array_free(list, TRUE);
}

/* Guards against a request lost, served twice or out of its order. */
START_TEST(test_admission_against_a_list)
{
	unsigned i;

	for (i = 0; i < SEEDS; i++) {
		run_admission(ADMISSION_FAIR, i);
		run_admission(ADMISSION_FIFO, i);
		run_admission(ADMISSION_DEADLINE, i);
	}
}
END_TEST

/* Session table against the history of all stores. */

struct stored {
	uint64_t session;
	uint64_t lsn;
	int64_t at_us;
};

static void check_lookup(struct session_positions *sp, GArray *history,
			 uint64_t session, uint64_t version, int64_t now_us)
{
	struct session_answer answer;
	uint64_t largest = 0, due = 0;
	struct stored *st;
	guint i;

	ck_assert(session_positions_lookup(sp, session, 0, version, now_us,
					   &answer));
	for (i = 0; i < history->len; i++) {
		st = &g_array_index(history, struct stored, i);
		if (st->session != session)
			continue;
		largest = MAX(largest, st->lsn);
		if (st->at_us >= now_us - answer.complete_for_us)
			due = MAX(due, st->lsn);
	}
	ck_assert_uint_ge(answer.pos.lsn, due);
	ck_assert_uint_le(answer.pos.lsn, largest);
	ck_assert(answer.found || !due);
}

/* Guards against an owner that claims to know what it has lost (R1). */
START_TEST(test_sessions_against_history)
{
	struct session_positions sp;
	struct stored st;
	uint64_t version;
	GArray *history;
	unsigned i, run;

	for (run = 0; run < SEEDS; run++) {
		seed(run);
		version = 1;
		history = g_array_new(FALSE, FALSE, sizeof(st));
		session_positions_init(&sp, 1 + pick(30), 300, 0);
		session_positions_members(&sp, version, -2 * SECOND,
					  SESSION_MEMBERS_GRACE_US);
		for (i = 0; i < 2000; i++) {
			st = (struct stored){ pick(40), 1 + pick(1000), i };
			if (pick(1000) == 0)
				session_positions_members(
					&sp, ++version, i,
					SESSION_MEMBERS_GRACE_US);
			if (pick(2)) {
				session_positions_store(
					&sp, st.session, 0,
					(struct position){ 1, st.lsn }, version,
					i);
				g_array_append_val(history, st);
			}
			check_lookup(&sp, history, pick(40), version, i);
			ck_assert_uint_le(sp.by_age->length, sp.capacity);
		}
		session_positions_finish(&sp);
		g_array_free(history, TRUE);
	}
}
END_TEST

/* Router against the true state of the databases. */

#define DATABASES 4
#define TICKS 3000
#define TICK_US MS

/* True log position of each database at each tick. */
static uint64_t truth[DATABASES][TICKS];
static bool served[DATABASES];

static void make_truth(void)
{
	unsigned d, t, behind;

	for (t = 0; t < TICKS; t++)
		truth[0][t] = (t ? truth[0][t - 1] : 100) + (pick(4) ? 0 : 7);
	for (d = 1; d < DATABASES; d++) {
		behind = pick(30);
		for (t = 0; t < TICKS; t++) {
			if (!pick(200))
				behind = pick(4) ? pick(30) : pick(1000);
			truth[d][t] = truth[0][t > behind ? t - behind : 0];
			if (t)
				truth[d][t] = MAX(truth[d][t], truth[d][t - 1]);
		}
	}
}

/* An answer that was read somewhere between its question and now. */
static void random_note(struct upstream_directory *dir, unsigned t)
{
	unsigned d = pick(DATABASES), asked = t - pick(MIN(t, 20) + 1);
	unsigned read = asked + pick(t - asked + 1);
	struct position pos = { 1, truth[d][read] };

	directory_note_position(dir, d, d != 0, pos, pos, asked * TICK_US,
				t * TICK_US, pick(10) > 0);
}

static void random_change(struct upstream_directory *dir, int64_t now_us)
{
	int d = pick(DATABASES);

	directory_upstream_at(dir, d)->leaving = !pick(4);
	directory_note_probe(dir, pick(DATABASES), pick(3) > 0, now_us);
}

static bool truly_fit(const struct upstream_directory *dir, int d,
		      const struct route_request *req, unsigned t)
{
	int64_t bound = MIN(req->fresh_within_us, req->max_lag_us) / TICK_US;
	unsigned since = t > bound ? t - bound : 0;

	if (directory_upstream_at(dir, d)->leaving)
		return false;
	if (req->has_position && truth[d][t] < req->needed.lsn)
		return false;
	/* All that was committed before the bound is visible. */
	return !since || truth[d][t] >= truth[0][since - 1];
}

/* What the directory's own fields show, checked for every replica. */
static bool shown_fit(const struct upstream_directory *dir, int d,
		      const struct route_request *req, int64_t now_us)
{
	const struct upstream *up = directory_upstream_at(dir, d);

	return !up->leaving && up->reachable && d != req->exclude &&
	       up->replayed.lsn &&
	       (!req->has_position || up->replayed.lsn >= req->needed.lsn) &&
	       up->fresh_us >
		       now_us - 1 - MIN(req->fresh_within_us, req->max_lag_us);
}

static void check_decision(const struct upstream_directory *dir,
			   struct router *router, unsigned t)
{
	struct route_request req = {
		.read = pick(5) > 0,
		.has_position = pick(2),
		.needed = { 1, truth[0][t - pick(MIN(t, 50) + 1)] },
		.fresh_within_us = pick(2) ? INT64_MAX : pick(800) * TICK_US,
		.max_lag_us = (1 + pick(900)) * TICK_US,
		.lease_valid = pick(5) > 0,
		.exclude = (int)pick(DATABASES + 1) - 1,
		.deadline_us = (int64_t)(t + pick(100)) * TICK_US,
		.primary_cost_us = pick(20) * TICK_US,
	};
	struct route_decision out;
	bool any = false;
	int d;

	router_decide(router, dir, &req, t * TICK_US, &out);
	for (d = 1; d < DATABASES; d++)
		any |= shown_fit(dir, d, &req, t * TICK_US);
	if (out.action == ROUTE_WAIT)
		ck_assert_int_le(out.wait_until_us, req.deadline_us);
	if (req.read && any && t * TICK_US < req.deadline_us)
		ck_assert_int_eq(out.reason, ROUTE_REASON_REPLICA);
	if (out.action != ROUTE_TO_UPSTREAM)
		return;
	ck_assert_int_lt(t * TICK_US, req.deadline_us);
	served[out.upstream] = true;
	if (out.upstream == 0) {
		ck_assert(req.lease_valid);
		ck_assert(!directory_upstream_at(dir, 0)->leaving);
		return;
	}
	ck_assert(req.read);
	ck_assert_int_ne(out.upstream, req.exclude);
	ck_assert(truly_fit(dir, out.upstream, &req, t));
}

/* Guards against a replica that lacks the position, that is staler than
 * asked or that leaves (R1, R7), and against a fit replica passed over. */
START_TEST(test_router_against_truth)
{
	struct upstream_directory dir;
	struct upstream_announcement ann = announcement("c");
	struct router router;
	unsigned run, t, d;

	for (run = 0; run < SEEDS; run++) {
		seed(run);
		make_truth();
		fixture_cluster(&dir, 0);
		directory_announce(&dir, &ann, 0, 0);
		router_init(&router, "gl-west", run);
		for (t = 1; t < TICKS; t++) {
			random_note(&dir, t);
			if (!pick(20))
				random_change(&dir, t * TICK_US);
			check_decision(&dir, &router, t);
		}
		directory_finish(&dir);
	}
	for (d = 0; d < DATABASES; d++)
		ck_assert(served[d]);
	gsl_rng_free(rng);
	rng = NULL;
}
END_TEST

TEST_MAIN("policy_differential", test_admission_against_a_list,
	  test_sessions_against_history, test_router_against_truth)
