#include "quota_shares.h"

/* Parts of the tolerance: added to the rate over a window, depth of the buckets,
 * and what a leader may give in addition right after its election. The rest is
 * for operations that were sent twice. */
#define TOLERANCE_RATE 0.4
#define TOLERANCE_DEPTH 0.35
#define TOLERANCE_INITIAL 0.15
/* Part of the depth kept for each more urgent priority, and how many of these are
 * told apart. */
#define KEPT_PER_PRIORITY 0.25
#define KEPT_PRIORITIES 2
/* Least depth of a bucket of which a part is kept. */
#define KEPT_DEPTH_MIN 16.0
/* The leader's clock may run faster than a daemon's, percent. */
#define LEASE_MARGIN_PERCENT 102
/* A share is not reduced while at least this part of it is wanted, percent. */
#define KEEP_PERCENT 70
/* What a daemon wants counts for this long after its report. */
#define SILENT_US (2500 * 1000ll)
/* An account counts as saturated for this long after the leader refused it. */
#define SATURATED_US (3000 * 1000ll)

/**
 * struct holding - share of one account at one daemon
 * @counted: most that the daemon may hold
 * @sent: share that it was sent last
 * @wanted: what it said that it wants
 */
struct holding {
	uint32_t counted;
	uint32_t sent;
	uint32_t wanted;
};

/**
 * struct quota_daemon - one daemon
 * @holdings: account to struct holding
 * @number: number of the last decision sent
 * @heard_us: when it reported last
 */
struct quota_daemon {
	uint64_t incarnation;
	GHashTable *holdings;
	uint64_t number;
	int64_t heard_us;
};

struct quota_limit quota_limit(double rate_per_s, double burst,
			       const struct quota_tolerance *tolerance)
{
	double window_s = (double)tolerance->window_us / 1e6;
	double in_window = rate_per_s * window_s + burst;
	double tolerated = tolerance->overage * in_window + tolerance->slack;
	double initial = TOLERANCE_INITIAL * tolerated;

	if (rate_per_s <= 0)
		return (struct quota_limit){ 0 };
	if (window_s <= 0)
		return (struct quota_limit){ rate_per_s, MAX(burst, 1), 0 };
	/* Without a tolerance the burst itself has to be the depth. */
	if (tolerated < 1)
		return (struct quota_limit){ rate_per_s, MAX(burst, 1), 0 };
	return (struct quota_limit){ (in_window + TOLERANCE_RATE * tolerated) /
					     window_s,
				     MAX(TOLERANCE_DEPTH * tolerated, 1),
				     initial };
}

double quota_kept(unsigned priority, double depth)
{
	if (depth < KEPT_DEPTH_MIN)
		return 0;
	return KEPT_PER_PRIORITY * MIN(priority, KEPT_PRIORITIES) * depth;
}

static void daemon_free(void *data)
{
	struct quota_daemon *daemon = data;

	g_hash_table_destroy(daemon->holdings);
	g_free(daemon);
}

void quota_shares_init(struct quota_shares *q)
{
	*q = (struct quota_shares){ 0 };
	q->daemons = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					   daemon_free);
	q->counted =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	q->refused_us =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void quota_shares_finish(struct quota_shares *q)
{
	g_hash_table_destroy(q->daemons);
	g_hash_table_destroy(q->counted);
	g_hash_table_destroy(q->refused_us);
}

void quota_shares_refused(struct quota_shares *q, const char *account,
			  int64_t now_us)
{
	g_hash_table_replace(q->refused_us, g_strdup(account),
			     g_memdup2(&now_us, sizeof(now_us)));
}

static uint32_t counted_of(const struct quota_shares *q, const char *account)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(q->counted, account));
}

static void set_counted(struct quota_shares *q, const char *account,
			struct holding *h, uint32_t share)
{
	uint32_t sum = counted_of(q, account) - h->counted + share;

	h->counted = share;
	if (sum)
		g_hash_table_replace(q->counted, g_strdup(account),
				     GUINT_TO_POINTER(sum));
	else
		g_hash_table_remove(q->counted, account);
}

static void drop_holdings(struct quota_shares *q, struct quota_daemon *daemon)
{
	const char *account;
	struct holding *h;
	GHashTableIter it;

	g_hash_table_iter_init(&it, daemon->holdings);
	while (g_hash_table_iter_next(&it, (void **)&account, (void **)&h))
		set_counted(q, account, h, 0);
	g_hash_table_remove_all(daemon->holdings);
}

void quota_shares_lead(struct quota_shares *q, uint64_t term, int64_t now_us)
{
	struct quota_daemon *daemon;
	GHashTableIter it;

	if (q->term == term)
		return;
	q->term = term;
	q->led_us = now_us;
	g_hash_table_iter_init(&it, q->daemons);
	while (g_hash_table_iter_next(&it, NULL, (void **)&daemon)) {
		daemon->number = 0;
		/* The former leader may have renewed its leases until now. */
		if (term)
			daemon->heard_us = now_us;
	}
}

static struct quota_daemon *get_daemon(struct quota_shares *q,
				       const struct quota_report *report)
{
	struct quota_daemon *daemon =
		g_hash_table_lookup(q->daemons, report->daemon);

	if (!daemon) {
		daemon = g_new0(struct quota_daemon, 1);
		daemon->holdings = g_hash_table_new_full(
			g_str_hash, g_str_equal, g_free, g_free);
		g_hash_table_insert(q->daemons, g_strdup(report->daemon),
				    daemon);
	} else if (daemon->incarnation != report->incarnation) {
		drop_holdings(q, daemon);
		daemon->number = 0;
	}
	daemon->incarnation = report->incarnation;
	return daemon;
}

static struct holding *get_holding(struct quota_daemon *daemon,
				   const char *account)
{
	struct holding *h = g_hash_table_lookup(daemon->holdings, account);

	if (h)
		return h;
	h = g_new0(struct holding, 1);
	g_hash_table_insert(daemon->holdings, g_strdup(account), h);
	return h;
}

/* Whether the daemon has applied all that this leader has sent it, and ignores
 * what a former leader sent. */
static bool is_settled(const struct quota_shares *q,
		       const struct quota_daemon *daemon,
		       const struct quota_report *report)
{
	return q->term && report->term == q->term &&
	       report->number == daemon->number;
}

/* A daemon reports no account of which it neither holds nor wants anything. */
static void clear_unreported(struct quota_shares *q,
			     struct quota_daemon *daemon,
			     const struct quota_report *report, bool settled)
{
	const char *account;
	struct holding *h;
	GHashTableIter it;
	unsigned i;

	g_hash_table_iter_init(&it, daemon->holdings);
	while (g_hash_table_iter_next(&it, (void **)&account, (void **)&h)) {
		for (i = 0; i < report->nr_items; i++)
			if (!g_strcmp0(report->items[i].account, account))
				break;
		if (i < report->nr_items)
			continue;
		h->wanted = 0;
		if (settled || !q->term) {
			set_counted(q, account, h, 0);
			g_hash_table_iter_remove(&it);
		}
	}
}

void quota_shares_report(struct quota_shares *q,
			 const struct quota_report *report, int64_t now_us)
{
	bool known = g_hash_table_contains(q->daemons, report->daemon);
	struct quota_daemon *daemon = get_daemon(q, report);
	bool settled = is_settled(q, daemon, report);
	unsigned i;

	daemon->heard_us = now_us;
	for (i = 0; i < report->nr_items; i++) {
		const struct quota_item *item = &report->items[i];
		struct holding *h = get_holding(daemon, item->account);
		uint32_t most = MAX(item->share, item->wanted);

		h->wanted = MIN(item->wanted, QUOTA_SHARE_ONE);
		if (settled)
			most = item->share;
		else if (q->term && known)
			/*
			 * Some of what this leader or the former one sent may
			 * still be on its way. The former one cannot answer
			 * what the daemon wants now.
			 */
			most = MAX(item->share, h->counted);
		if (settled || !q->term || report->term != q->term)
			h->sent = item->share;
		set_counted(q, item->account, h, MIN(most, QUOTA_SHARE_ONE));
	}
	clear_unreported(q, daemon, report, settled);
}

static bool is_saturated(const struct quota_shares *q, const char *account,
			 int64_t now_us)
{
	const int64_t *at_us = g_hash_table_lookup(q->refused_us, account);

	return at_us && now_us - *at_us < SATURATED_US;
}

static uint32_t held_max(const struct quota_shares *q, const char *account,
			 double depth, int64_t now_us)
{
	double part = depth / QUOTA_HELD_DEPTH * QUOTA_SHARE_ONE;

	if (is_saturated(q, account, now_us))
		return QUOTA_HELD_SATURATED;
	return (uint32_t)CLAMP(part, QUOTA_HELD_MIN, QUOTA_HELD_MAX);
}

static uint32_t sum_wanted(const struct quota_shares *q, const char *account,
			   int64_t now_us)
{
	const struct quota_daemon *daemon;
	const struct holding *h;
	GHashTableIter it;
	uint64_t sum = 0;

	g_hash_table_iter_init(&it, q->daemons);
	while (g_hash_table_iter_next(&it, NULL, (void **)&daemon)) {
		h = g_hash_table_lookup(daemon->holdings, account);
		if (h && now_us - daemon->heard_us < SILENT_US)
			sum += h->wanted;
	}
	return (uint32_t)MIN(sum, UINT32_MAX);
}

/* What the daemon should hold: what it wants, scaled down if all together want
 * too much. */
static uint32_t target_of(const struct quota_shares *q, const char *account,
			  const struct holding *h, double depth, int64_t now_us)
{
	uint32_t sum = sum_wanted(q, account, now_us);
	uint32_t max = held_max(q, account, depth, now_us);
	uint64_t target = h->wanted;

	if (sum > max)
		target = target * max / sum;
	/* Less than a token is of no use to the daemon. */
	if ((double)target * depth < (double)QUOTA_SHARE_ONE)
		return 0;
	if (target < h->sent &&
	    target * 100 >= (uint64_t)h->sent * KEEP_PERCENT)
		return h->sent;
	return (uint32_t)target;
}

static uint32_t next_share(const struct quota_shares *q, const char *account,
			   const struct holding *h, double depth,
			   int64_t now_us)
{
	bool may_grow = now_us - q->led_us >= QUOTA_SETTLE_US;
	uint32_t target = target_of(q, account, h, depth, now_us);
	uint32_t counted = counted_of(q, account);
	uint32_t max = held_max(q, account, depth, now_us);
	uint32_t free_share = counted < max ? max - counted : 0;

	if (target <= h->sent)
		return target;
	if (!may_grow)
		return h->sent;
	return MAX(h->sent, MIN(target, h->counted + free_share));
}

uint64_t quota_shares_decide(struct quota_shares *q, const char *name,
			     double (*depth)(const char *account, void *data),
			     void *data, GArray *out, int64_t now_us)
{
	struct quota_daemon *daemon = g_hash_table_lookup(q->daemons, name);
	const char *account;
	struct holding *h;
	GHashTableIter it;

	if (!daemon || !q->term)
		return 0;
	g_hash_table_iter_init(&it, daemon->holdings);
	while (g_hash_table_iter_next(&it, (void **)&account, (void **)&h)) {
		double whole = depth(account, data);
		struct quota_item item = { .account = account };

		if (whole > 0)
			h->sent = next_share(q, account, h, whole, now_us);
		else
			h->sent = 0;
		if (h->sent > h->counted)
			set_counted(q, account, h, h->sent);
		item.share = h->sent;
		if (item.share)
			g_array_append_val(out, item);
	}
	return ++daemon->number;
}

uint32_t quota_shares_own(const struct quota_shares *q, const char *account)
{
	/* No leader gives the daemons more than the rest. */
	uint32_t least = QUOTA_SHARE_ONE - QUOTA_HELD_MAX;
	uint32_t counted = MIN(counted_of(q, account), QUOTA_HELD_MAX);

	if (!q->term)
		return 0;
	return q->nr_unheard ? least : QUOTA_SHARE_ONE - counted;
}

void quota_shares_expire(struct quota_shares *q, int64_t now_us)
{
	struct quota_daemon *daemon;
	GHashTableIter it;

	g_hash_table_iter_init(&it, q->daemons);
	while (g_hash_table_iter_next(&it, NULL, (void **)&daemon)) {
		if (now_us - daemon->heard_us <=
		    QUOTA_LEASE_US * LEASE_MARGIN_PERCENT / 100)
			continue;
		drop_holdings(q, daemon);
		g_hash_table_iter_remove(&it);
	}
}
