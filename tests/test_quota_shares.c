#include "quota_shares.h"
#include "test_main.h"
#include "token_bucket.h"

#include <stdio.h>
#include <string.h>

/* Guards against tokens out of nothing when a bucket's rate or depth changes. */
START_TEST(test_bucket_changes)
{
	struct token_bucket b;

	token_bucket_init(&b, 0);
	token_bucket_set(&b, 10, 5, 0);
	ck_assert_uint_eq(token_bucket_take(&b, 1, 0), 0);
	ck_assert_int_eq(token_bucket_wait_us(&b, 0), 100001);
	ck_assert_uint_eq(token_bucket_take(&b, 9, 2000000), 5);
	token_bucket_set(&b, 1000, 50, 2000000);
	ck_assert_uint_eq(token_bucket_take(&b, 9, 2000000), 0);
	ck_assert_uint_eq(token_bucket_take(&b, 99, 3000000), 50);
	token_bucket_set(&b, 1000, 50, 4000000);
	token_bucket_set(&b, 0, 2, 4000000);
	ck_assert_uint_eq(token_bucket_take(&b, 99, 5000000), 2);
	ck_assert_int_eq(token_bucket_wait_us(&b, 5000000), INT64_MAX);
}
END_TEST

/* Guards against reserving the same future token twice. */
START_TEST(test_bucket_reserve)
{
	int64_t wait_us, interval_us;
	struct token_bucket b;

	token_bucket_init(&b, 0);
	token_bucket_set(&b, 10, 5, 0);
	ck_assert_uint_eq(token_bucket_reserve(&b, 4, 250000, 0, &wait_us,
					       &interval_us),
			  2);
	ck_assert_int_eq(wait_us, 100001);
	ck_assert_int_eq(interval_us, 100000);
	ck_assert_uint_eq(token_bucket_reserve(&b, 4, 250000, 0, &wait_us,
					       &interval_us),
			  0);
	ck_assert_int_eq(wait_us, 300001);
	ck_assert_uint_eq(token_bucket_take(&b, 1, 100000), 0);
	ck_assert_uint_eq(token_bucket_take(&b, 9, 500000), 3);
}
END_TEST

/* Guards against a bucket that allows more than the limit in its window. */
START_TEST(test_limits)
{
	struct quota_tolerance tolerance = { 5000000, 0.1, 20 };
	struct quota_tolerance none = { 0 };
	struct quota_limit limit = quota_limit(33, 33, &tolerance);

	ck_assert_double_le(limit.rate_per_s * 5 + limit.depth + limit.initial,
			    (33 * 5 + 33) * 1.1 + 20);
	ck_assert_double_ge(limit.rate_per_s * 5, 33 * 5 + 33);
	limit = quota_limit(33, 10, &none);
	ck_assert_double_eq(limit.rate_per_s, 33);
	ck_assert_double_eq(limit.depth, 10);
	ck_assert_double_eq(quota_limit(0, 10, &tolerance).depth, 0);
}
END_TEST

/*
 * A model of three control VMs and eight daemons: reports and decisions travel
 * with delays, daemons restart and are cut off from control, leaders change.
 * Load is many times the limit. The operations of each account in any window
 * must stay within its limit.
 *
 * All control processes restart only while no daemon is cut off; otherwise a
 * daemon may hold shares that no control VM knows of.
 */
#define NR_DAEMONS 8
#define NR_VMS 3
#define NR_ACCOUNTS 3
#define STEP_US 10000ll
#define RUN_US (60 * 1000000ll)
#define REPORT_US 800000ll
#define WINDOW_US 5000000ll
#define MAX_MESSAGES 4096

static const char *const accounts[NR_ACCOUNTS] = { "small", "middle", "large" };
static const double rates[NR_ACCOUNTS] = { 4, 25, 180 };
static const struct quota_tolerance tolerance = { WINDOW_US, 0.1, 20 };

struct model_daemon {
	uint64_t incarnation;
	uint64_t term;
	uint64_t number;
	int64_t lease_until_us;
	uint32_t share[NR_ACCOUNTS];
	uint32_t wanted[NR_ACCOUNTS];
	struct token_bucket bucket[NR_ACCOUNTS];
	int64_t down_until_us;
	int64_t cut_until_us;
	int64_t report_us;
};

enum message_kind { REPORT, DECISION, GRANT };

struct message {
	enum message_kind kind;
	int64_t at_us;
	unsigned daemon;
	unsigned vm;
	uint64_t incarnation;
	uint64_t term;
	uint64_t number;
	int64_t sent_us;
	uint32_t share[NR_ACCOUNTS];
	uint32_t wanted[NR_ACCOUNTS];
	unsigned account;
	unsigned tokens;
};

struct model_vm {
	struct quota_shares shares;
	struct token_bucket own[NR_ACCOUNTS];
};

struct model {
	GRand *random;
	struct model_daemon daemons[NR_DAEMONS];
	struct model_vm vms[NR_VMS];
	int leader;
	uint64_t term;
	int64_t next_leader_us;
	int64_t initial_us;
	struct message messages[MAX_MESSAGES];
	unsigned nr_messages;
	GArray *runs[NR_ACCOUNTS];
	bool shares_unreported;
};

static double depth_of(const char *account, void *data)
{
	unsigned i;

	for (i = 0; i < NR_ACCOUNTS; i++)
		if (!strcmp(account, accounts[i]))
			return quota_limit(rates[i], rates[i], &tolerance).depth;
	return 0;
}

static struct message *new_message(struct model *m, enum message_kind kind,
				   unsigned daemon, int64_t now_us)
{
	struct message *msg = &m->messages[m->nr_messages++];

	ck_assert_uint_lt(m->nr_messages, MAX_MESSAGES);
	*msg = (struct message){
		.kind = kind,
		.daemon = daemon,
		.incarnation = m->daemons[daemon].incarnation,
		.at_us = now_us + g_rand_int_range(m->random, 500, 60000),
	};
	return msg;
}

static bool is_reachable(const struct model_daemon *d, int64_t now_us)
{
	return now_us >= d->cut_until_us && now_us >= d->down_until_us;
}

static void send_reports(struct model *m, unsigned index, int64_t now_us)
{
	struct model_daemon *d = &m->daemons[index];
	unsigned vm;

	d->report_us = now_us + REPORT_US;
	for (vm = 0; vm < NR_VMS; vm++) {
		struct message *msg = new_message(m, REPORT, index, now_us);

		msg->vm = vm;
		msg->term = d->term;
		msg->number = d->number;
		msg->sent_us = now_us;
		if (!m->shares_unreported)
			memcpy(msg->share, d->share, sizeof(d->share));
		memcpy(msg->wanted, d->wanted, sizeof(d->wanted));
	}
}

static void decide(struct model *m, const struct message *report,
		   int64_t now_us)
{
	struct quota_shares *q = &m->vms[report->vm].shares;
	g_autofree char *name = g_strdup_printf("d%u", report->daemon);
	g_autoptr(GArray)
		out = g_array_new(FALSE, FALSE, sizeof(struct quota_item));
	uint64_t number =
		quota_shares_decide(q, name, depth_of, NULL, out, now_us);
	struct message *msg = new_message(m, DECISION, report->daemon, now_us);
	unsigned i, a;

	msg->term = m->term;
	msg->number = number;
	msg->sent_us = report->sent_us;
	for (i = 0; i < out->len; i++)
		for (a = 0; a < NR_ACCOUNTS; a++)
			if (!strcmp(g_array_index(out, struct quota_item, i)
					    .account,
				    accounts[a]))
				msg->share[a] =
					g_array_index(out, struct quota_item, i)
						.share;
}

static void handle_report(struct model *m, const struct message *msg,
			  int64_t now_us)
{
	g_autofree char *name = g_strdup_printf("d%u", msg->daemon);
	struct quota_item items[NR_ACCOUNTS];
	struct quota_report report = { .daemon = name,
				       .incarnation = msg->incarnation,
				       .term = msg->term,
				       .number = msg->number,
				       .items = items };
	unsigned a;

	for (a = 0; a < NR_ACCOUNTS; a++)
		if (msg->share[a] || msg->wanted[a])
			items[report.nr_items++] =
				(struct quota_item){ accounts[a], msg->share[a],
						     msg->wanted[a] };
	quota_shares_report(&m->vms[msg->vm].shares, &report, now_us);
	if ((int)msg->vm == m->leader)
		decide(m, msg, now_us);
}

static void set_buckets(struct model_daemon *d, int64_t now_us)
{
	unsigned a;

	for (a = 0; a < NR_ACCOUNTS; a++) {
		struct quota_limit limit =
			quota_limit(rates[a], rates[a], &tolerance);
		double part = now_us < d->lease_until_us ?
				      (double)d->share[a] / QUOTA_SHARE_ONE :
				      0;

		token_bucket_set(&d->bucket[a], part * limit.rate_per_s,
				 part * limit.depth, now_us);
	}
}

static void apply_decision(struct model *m, const struct message *msg,
			   int64_t now_us)
{
	struct model_daemon *d = &m->daemons[msg->daemon];
	unsigned a;

	if (msg->term < d->term ||
	    (msg->term == d->term && msg->number <= d->number))
		return;
	d->term = msg->term;
	d->number = msg->number;
	d->lease_until_us = msg->sent_us + QUOTA_LEASE_US;
	for (a = 0; a < NR_ACCOUNTS; a++)
		d->share[a] = m->shares_unreported ?
				      MAX(d->share[a], msg->share[a]) :
				      msg->share[a];
	set_buckets(d, now_us);
}

static void run(struct model *m, unsigned account, unsigned nr, int64_t now_us)
{
	while (nr--)
		g_array_append_val(m->runs[account], now_us);
}

static void deliver(struct model *m, const struct message *msg, int64_t now_us)
{
	struct model_daemon *d = &m->daemons[msg->daemon];

	/* A broken connection loses what was on its way. */
	if (!is_reachable(d, now_us) || msg->incarnation != d->incarnation)
		return;
	if (msg->kind == REPORT)
		handle_report(m, msg, now_us);
	else if (msg->kind == DECISION)
		apply_decision(m, msg, now_us);
	else
		run(m, msg->account, msg->tokens, now_us);
}

static void deliver_due(struct model *m, int64_t now_us)
{
	unsigned i = 0;

	while (i < m->nr_messages) {
		struct message msg = m->messages[i];

		if (msg.at_us > now_us) {
			i++;
			continue;
		}
		m->messages[i] = m->messages[--m->nr_messages];
		deliver(m, &msg, now_us);
	}
}

/* What a daemon asks for beyond its shares. */
static void ask_leader(struct model *m, unsigned daemon, unsigned account,
		       unsigned nr, int64_t now_us)
{
	struct model_vm *vm = &m->vms[MAX(m->leader, 0)];
	struct quota_limit limit =
		quota_limit(rates[account], rates[account], &tolerance);
	struct message *msg;
	double part;

	if (m->leader < 0 || !is_reachable(&m->daemons[daemon], now_us))
		return;
	part = (double)quota_shares_own(&vm->shares, accounts[account]) /
	       QUOTA_SHARE_ONE;
	token_bucket_set(&vm->own[account], part * limit.rate_per_s,
			 part * limit.depth, now_us);
	nr = token_bucket_take(&vm->own[account], nr, now_us);
	msg = new_message(m, GRANT, daemon, now_us);
	msg->account = account;
	msg->tokens = nr;
}

static void play_load(struct model *m, unsigned index, int64_t now_us)
{
	struct model_daemon *d = &m->daemons[index];
	unsigned a;

	if (now_us < d->down_until_us)
		return;
	set_buckets(d, now_us);
	for (a = 0; a < NR_ACCOUNTS; a++) {
		unsigned wish = g_rand_int_range(m->random, 0, 4);
		unsigned taken = token_bucket_take(&d->bucket[a], wish, now_us);

		run(m, a, taken, now_us);
		if (taken < wish)
			ask_leader(m, index, a, wish - taken, now_us);
		if (!g_rand_int_range(m->random, 0, 50))
			d->wanted[a] =
				g_rand_int_range(m->random, 0, QUOTA_SHARE_ONE);
	}
}

static void restart_daemon(struct model *m, unsigned index, int64_t now_us)
{
	struct model_daemon *d = &m->daemons[index];
	unsigned a;

	*d = (struct model_daemon){
		.incarnation = d->incarnation + 1,
		.down_until_us =
			now_us + g_rand_int_range(m->random, 100, 3000) * 1000,
	};
	d->report_us = d->down_until_us;
	for (a = 0; a < NR_ACCOUNTS; a++)
		token_bucket_init(&d->bucket[a], now_us);
}

static bool any_cut(const struct model *m, int64_t now_us)
{
	unsigned i;

	for (i = 0; i < NR_DAEMONS; i++)
		if (now_us < m->daemons[i].cut_until_us)
			return true;
	return false;
}

static void elect(struct model *m, int64_t now_us)
{
	struct model_vm *vm;
	unsigned a;

	m->leader = g_rand_int_range(m->random, 0, NR_VMS);
	vm = &m->vms[m->leader];
	quota_shares_lead(&vm->shares, ++m->term, now_us);
	for (a = 0; a < NR_ACCOUNTS; a++) {
		token_bucket_init(&vm->own[a], now_us);
		if (now_us - m->initial_us > WINDOW_US)
			vm->own[a].tokens =
				quota_limit(rates[a], rates[a], &tolerance)
					.initial;
	}
	if (now_us - m->initial_us > WINDOW_US)
		m->initial_us = now_us;
	m->next_leader_us =
		now_us + g_rand_int_range(m->random, 1, 20) * 1000000ll;
}

static void depose(struct model *m, int64_t now_us)
{
	unsigned i;

	quota_shares_lead(&m->vms[m->leader].shares, 0, now_us);
	m->leader = -1;
	m->next_leader_us =
		now_us + g_rand_int_range(m->random, 50, 2000) * 1000;
	if (any_cut(m, now_us) || g_rand_int_range(m->random, 0, 3))
		return;
	/* All control processes restart, and daemons report as they connect. */
	for (i = 0; i < NR_VMS; i++) {
		quota_shares_finish(&m->vms[i].shares);
		quota_shares_init(&m->vms[i].shares);
	}
	for (i = 0; i < NR_DAEMONS; i++)
		send_reports(m, i, now_us);
	m->next_leader_us += 100000;
}

static void play_faults(struct model *m, int64_t now_us)
{
	unsigned index = (unsigned)g_rand_int_range(m->random, 0, NR_DAEMONS);
	struct model_daemon *d = &m->daemons[index];
	unsigned i;

	if (now_us >= m->next_leader_us) {
		if (m->leader < 0)
			elect(m, now_us);
		else
			depose(m, now_us);
	}
	if (!g_rand_int_range(m->random, 0, 200))
		restart_daemon(m, index, now_us);
	else if (m->leader >= 0 && !g_rand_int_range(m->random, 0, 300))
		d->cut_until_us =
			now_us + g_rand_int_range(m->random, 1, 30) * 1000000ll;
	for (i = 0; i < NR_VMS; i++)
		quota_shares_expire(&m->vms[i].shares, now_us);
}

static void model_init(struct model *m, unsigned seed)
{
	unsigned i;

	memset(m, 0, sizeof(*m));
	m->random = g_rand_new_with_seed(seed);
	m->leader = -1;
	m->initial_us = -WINDOW_US * 2;
	for (i = 0; i < NR_VMS; i++)
		quota_shares_init(&m->vms[i].shares);
	for (i = 0; i < NR_DAEMONS; i++)
		restart_daemon(m, i, 0);
	for (i = 0; i < NR_ACCOUNTS; i++)
		m->runs[i] = g_array_new(FALSE, FALSE, sizeof(int64_t));
}

static void model_finish(struct model *m)
{
	unsigned i;

	for (i = 0; i < NR_VMS; i++)
		quota_shares_finish(&m->vms[i].shares);
	for (i = 0; i < NR_ACCOUNTS; i++)
		g_array_free(m->runs[i], TRUE);
	g_rand_free(m->random);
}

/* Largest number of runs of an account in any window, as part of its limit. */
static double worst_window(const struct model *m, unsigned account)
{
	const GArray *runs = m->runs[account];
	double limit =
		rates[account] * (double)WINDOW_US / 1e6 + rates[account];
	guint first = 0, i, most = 0;

	limit = limit * (1 + tolerance.overage) + tolerance.slack;
	for (i = 0; i < runs->len; i++) {
		while (g_array_index(runs, int64_t, i) -
			       g_array_index(runs, int64_t, first) >=
		       WINDOW_US)
			first++;
		most = MAX(most, i - first + 1);
	}
	return most / limit;
}

static void play(struct model *m, unsigned seed, bool shares_unreported,
		 double *worst)
{
	int64_t now_us;
	unsigned i;

	model_init(m, seed);
	m->shares_unreported = shares_unreported;
	for (now_us = 0; now_us < RUN_US; now_us += STEP_US) {
		play_faults(m, now_us);
		deliver_due(m, now_us);
		for (i = 0; i < NR_DAEMONS; i++) {
			play_load(m, i, now_us);
			if (now_us >= m->daemons[i].report_us)
				send_reports(m, i, now_us);
		}
	}
	for (i = 0; i < NR_ACCOUNTS; i++)
		worst[i] = worst_window(m, i);
	model_finish(m);
}

/* Guards against more operations than a limit allows over all daemons. */
START_TEST(test_sum_of_shares)
{
	struct model *m = g_new(struct model, 1);
	double worst[NR_ACCOUNTS], most = 0, least = 1;
	unsigned seed, a;
	/* part of the limit without its tolerance */
	double strict;

	for (seed = 1; seed <= 40; seed++) {
		play(m, seed, false, worst);
		for (a = 0; a < NR_ACCOUNTS; a++) {
			if (worst[a] > 1)
				printf("seed %u, %s: %.3f of the limit\n", seed,
				       accounts[a], worst[a]);
			ck_assert_double_le(worst[a], 1);
			most = MAX(most, worst[a]);
			strict = worst[a] * (rates[a] * 6 * 1.1 + 20) /
				 (rates[a] * 6);
			least = MIN(least, strict);
		}
	}
	printf("busiest windows: up to %.3f of the limit, at least %.3f of it "
	       "without its tolerance\n",
	       most, least);
	/* Load below the limit is served although holders come and go. */
	ck_assert_double_ge(least, 0.75);
	g_free(m);
}
END_TEST

/* Guards against a check that cannot fail: daemons that keep shares which they do
 * not report exceed limits. */
START_TEST(test_model_finds_excess)
{
	struct model *m = g_new(struct model, 1);
	double worst[NR_ACCOUNTS], most = 0;
	unsigned seed, a;

	for (seed = 1; seed <= 10; seed++) {
		play(m, seed, true, worst);
		for (a = 0; a < NR_ACCOUNTS; a++)
			most = MAX(most, worst[a]);
	}
	ck_assert_double_gt(most, 1);
	g_free(m);
}
END_TEST

TEST_MAIN("quota_shares", test_bucket_changes, test_bucket_reserve, test_limits,
	  test_sum_of_shares, test_model_finds_excess)
