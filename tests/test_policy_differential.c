#include "admission.h"
#include "directory_fixture.h"
#include "router.h"
#include "session_positions.h"
#include "test_main.h"

#include <gsl/gsl_rng.h>

#define SEEDS 40
#define STEPS 4000

static gsl_rng *rng;

static unsigned random_below(unsigned n)
{
	return gsl_rng_uniform_int(rng, n);
}

static void seed(unsigned seed_value)
{
	if (!rng)
		rng = gsl_rng_alloc(gsl_rng_mt19937);
	gsl_rng_set(rng, seed_value);
}

/* Compares the admission queues with a plain list. */

#define TENANTS 4

struct naive_item {
	int tenant;
	uint64_t request;
	int64_t deadline_us;
};

static struct admission adm;
static GArray *list;

static struct naive_item *item_at(guint i)
{
	return &g_array_index(list, struct naive_item, i);
}

static bool accept_non_multiple_of_3(uint64_t request, void *data)
{
	return request % 3 != 0;
}

static unsigned count_waiting(int tenant)
{
	unsigned nr = 0;
	guint i;

	for (i = 0; i < list->len; i++)
		nr += item_at(i)->tenant == tenant;
	return nr;
}

/* Index of the next request of a tenant, or of all tenants for -1; the list is
 * in order of arrival. */
static int naive_head(int tenant, enum admission_order order)
{
	int best = -1;
	guint i;

	for (i = 0; i < list->len; i++) {
		if (tenant >= 0 && item_at(i)->tenant != tenant)
			continue;
		if (best < 0 ||
		    (order != ADMISSION_FIFO &&
		     item_at(i)->deadline_us < item_at(best)->deadline_us))
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
		expected |= head >= 0 && accept_non_multiple_of_3(
						 item_at(head)->request, NULL);
	}
	head = naive_head(-1, order);
	if (order != ADMISSION_FAIR)
		expected = head >= 0 && accept_non_multiple_of_3(
						item_at(head)->request, NULL);
	found = admission_next(&adm, now_us, accept_non_multiple_of_3, NULL,
			       &request);
	ck_assert_int_eq(found, expected);
	if (!found)
		return;
	for (t = 0; t < TENANTS && order == ADMISSION_FAIR; t++) {
		head = naive_head(t, order);
		if (head >= 0 && item_at(head)->request == request)
			break;
	}
	ck_assert_uint_eq(item_at(head)->request, request);
	g_array_remove_index(list, head);
}

static void naive_expired(uint64_t request, void *data)
{
	guint i;

	for (i = 0; i < list->len && item_at(i)->request != request; i++)
		;
	ck_assert_uint_lt(i, list->len);
	g_array_remove_index(list, i);
}

static void check_expire(int64_t now_us)
{
	guint i;

	admission_expire(&adm, now_us, naive_expired, NULL);
	for (i = 0; i < list->len; i++)
		ck_assert_int_gt(item_at(i)->deadline_us, now_us);
}

static void enqueue(uint64_t request, int64_t now_us)
{
	struct naive_item it = { random_below(TENANTS), request,
				 now_us + 1 + random_below(900) };
	bool full = count_waiting(it.tenant) >= 20;
	enum admission_verdict verdict = admission_enqueue(
		&adm, it.tenant, request, it.deadline_us, now_us);

	ck_assert_int_eq(verdict, full ? ADMISSION_FULL : ADMISSION_QUEUED);
	if (!full)
		g_array_append_val(list, it);
}

static void run_admission(enum admission_order order, unsigned seed_value)
{
	char name[] = "a";
	int64_t now;
	guint removed;
	int t;

	seed(seed_value);
	list = g_array_new(FALSE, FALSE, sizeof(struct naive_item));
	admission_init(&adm, order, 20, 2);
	for (t = 0; t < TENANTS; t++, name[0]++)
		admission_tenant(&adm, name, 1 + random_below(5));
	for (now = 0; now < STEPS; now++) {
		if (random_below(100) < 55)
			enqueue(now, now);
		else if (random_below(100) < 90)
			check_next(order, now);
		else if (list->len && random_below(2)) {
			removed = random_below(list->len);
			admission_remove(&adm, item_at(removed)->tenant,
					 item_at(removed)->request);
			g_array_remove_index(list, removed);
		} else
			check_expire(now);
		ck_assert_uint_eq(admission_waiting(&adm), list->len);
	}
	admission_finish(&adm);
	g_array_free(list, TRUE);
}

/* Guards against a request that is lost, or served twice or out of order. */
START_TEST(test_admission_against_list)
{
	unsigned i;

	for (i = 0; i < SEEDS; i++) {
		run_admission(ADMISSION_FAIR, i);
		run_admission(ADMISSION_FIFO, i);
		run_admission(ADMISSION_DEADLINE, i);
	}
}
END_TEST

/* Compares the session table with the history of all stored positions. */

struct stored {
	uint64_t session;
	uint64_t lsn;
	int64_t at_us;
};

static void check_lookup(struct session_positions *sp, GArray *history,
			 uint64_t session, uint64_t version, int64_t now_us)
{
	struct session_answer answer;
	uint64_t largest = 0, required = 0;
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
			required = MAX(required, st->lsn);
	}
	ck_assert_uint_ge(answer.pos.lsn, required);
	ck_assert_uint_le(answer.pos.lsn, largest);
	ck_assert(answer.found || !required);
}

/* Guards against a session table that claims to know positions it lost: a
 * client would then read at a replica that lacks its writes. */
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
		session_positions_init(&sp, 1 + random_below(30), 300, 0);
		session_positions_change_members(&sp, version, -2 * SECOND,
						 SESSION_MEMBERS_GRACE_US);
		for (i = 0; i < 2000; i++) {
			st = (struct stored){ random_below(40),
					      1 + random_below(1000), i };
			if (random_below(1000) == 0)
				session_positions_change_members(
					&sp, ++version, i,
					SESSION_MEMBERS_GRACE_US);
			if (random_below(2)) {
				session_positions_store(
					&sp, st.session, 0,
					(struct position){ 1, st.lsn }, version,
					i);
				g_array_append_val(history, st);
			}
			check_lookup(&sp, history, random_below(40), version,
				     i);
			ck_assert_uint_le(sp.entries_by_age->length,
					  sp.capacity);
		}
		session_positions_finish(&sp);
		g_array_free(history, TRUE);
	}
}
END_TEST

/* Compares the decisions of the router with the true state of the databases. */

#define DATABASES 4
#define TICKS 3000
#define TICK_US MS

/* True log position of each database at each tick. */
static uint64_t true_lsn[DATABASES][TICKS];
static bool served[DATABASES];

static void make_true_lsn(void)
{
	unsigned d, t, behind;

	for (t = 0; t < TICKS; t++)
		true_lsn[0][t] = (t ? true_lsn[0][t - 1] : 100) +
				 (random_below(4) ? 0 : 7);
	for (d = 1; d < DATABASES; d++) {
		behind = random_below(30);
		for (t = 0; t < TICKS; t++) {
			if (!random_below(200))
				behind = random_below(4) ? random_below(30) :
							   random_below(1000);
			true_lsn[d][t] =
				true_lsn[0][t > behind ? t - behind : 0];
			if (t)
				true_lsn[d][t] =
					MAX(true_lsn[d][t], true_lsn[d][t - 1]);
		}
	}
}

/* Reports a position that was read at some time between its query and now. */
static void random_position_report(struct upstream_directory *dir, unsigned t)
{
	unsigned d = random_below(DATABASES),
		 asked = t - random_below(MIN(t, 20) + 1);
	unsigned read = asked + random_below(t - asked + 1);
	struct position pos = { 1, true_lsn[d][read] };

	directory_record_position(dir, d, d != 0, pos, pos, asked * TICK_US,
				  t * TICK_US, random_below(10) > 0);
}

static void random_change(struct upstream_directory *dir, int64_t now_us)
{
	int d = random_below(DATABASES);

	directory_upstream_at(dir, d)->leaving = !random_below(4);
	directory_record_probe(dir, random_below(DATABASES),
			       random_below(3) > 0, now_us);
}

static bool is_eligible_by_truth(const struct upstream_directory *dir, int d,
				 const struct route_request *req, unsigned t)
{
	int64_t bound = MIN(req->fresh_within_us, req->max_lag_us) / TICK_US;
	unsigned since = t > bound ? t - bound : 0;

	if (directory_upstream_at(dir, d)->leaving)
		return false;
	if (req->has_position && true_lsn[d][t] < req->needed.lsn)
		return false;
	/* The replica must have every commit that is older than the bound. */
	return !since || true_lsn[d][t] >= true_lsn[0][since - 1];
}

/* Whether a replica qualifies according to the fields of the directory. */
static bool is_eligible_by_directory(const struct upstream_directory *dir,
				     int d, const struct route_request *req,
				     int64_t now_us)
{
	const struct upstream *up = directory_upstream_at(dir, d);

	return !up->leaving && up->reachable && d != req->exclude &&
	       up->replayed.lsn &&
	       (!req->has_position || up->replayed.lsn >= req->needed.lsn) &&
	       up->fresh_as_of_us >
		       now_us - 1 - MIN(req->fresh_within_us, req->max_lag_us);
}

static void check_decision(const struct upstream_directory *dir,
			   struct router *router, unsigned t)
{
	struct route_request req = {
		.read = random_below(5) > 0,
		.has_position = random_below(2),
		.needed = { 1, true_lsn[0][t - random_below(MIN(t, 50) + 1)] },
		.fresh_within_us = random_below(2) ?
					   INT64_MAX :
					   random_below(800) * TICK_US,
		.max_lag_us = (1 + random_below(900)) * TICK_US,
		.lease_valid = random_below(5) > 0,
		.exclude = (int)random_below(DATABASES + 1) - 1,
		.deadline_us = (int64_t)(t + random_below(100)) * TICK_US,
		.primary_wait_us = random_below(20) * TICK_US,
	};
	struct route_decision out;
	bool any = false;
	int d;

	router_decide(router, dir, &req, t * TICK_US, &out);
	for (d = 1; d < DATABASES; d++)
		any |= is_eligible_by_directory(dir, d, &req, t * TICK_US);
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
	ck_assert(is_eligible_by_truth(dir, out.upstream, &req, t));
}

/* Guards against choosing a replica that lacks the position, is staler than
 * requested or is leaving, and against passing over one that qualifies. */
START_TEST(test_router_against_truth)
{
	struct upstream_directory dir;
	struct upstream_announcement ann = fixture_announcement("c");
	struct router router;
	unsigned run, t, d;

	for (run = 0; run < SEEDS; run++) {
		seed(run);
		make_true_lsn();
		fixture_cluster(&dir, 0);
		directory_record_announcement(&dir, &ann, 0, 0);
		router_init(&router, "gl-west", run);
		for (t = 1; t < TICKS; t++) {
			random_position_report(&dir, t);
			if (!random_below(20))
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

TEST_MAIN("policy_differential", test_admission_against_list,
	  test_sessions_against_history, test_router_against_truth)
