#include "internal.h"

#include "clock.h"
#include "event_log.h"
#include "token_bucket.h"

#include <jansson.h>

/* Part of a share beyond the demand that is wanted, percent: demand varies. */
#define WANTED_PERCENT 130
/* Divisor: weight of the latest interval in the moving average of the demand. */
#define DEMAND_DIVISOR 2
/* Part of its target that an operation waits until the limit allows it,
 * percent. The rest is left for its statements. */
#define WAIT_PERCENT 50
/* Least time between two log lines of one account. */
#define LOG_INTERVAL_US (1000 * 1000ll)
/* Largest number of accounts with counters of their own. */
#define MAX_PRINTED 128

/**
 * struct quota - limit of one account at this daemon
 * @account: name of the account
 * @limit: the whole limit
 * @share: part that this daemon may use, parts per million
 * @bucket: operations that the share allows
 * @waiting: sessions that wait for the leader's answer
 * @request: number of the unanswered request, 0 if there is none
 * @asked: sessions at the head of @waiting that it is for
 * @asked_us: when it was sent
 * @attempted: operations since the last report, also refused ones
 * @demand_per_s: moving average of these
 * @allowed: operations allowed since the start
 * @refused: operations refused since the start
 * @logged_refused: value of @refused when a line was logged last
 */
struct quota {
	char *account;
	struct quota_limit limit;
	uint32_t share;
	struct token_bucket bucket;
	GQueue waiting;
	uint64_t request;
	unsigned asked;
	int64_t asked_us;
	unsigned attempted;
	double demand_per_s;
	uint64_t allowed;
	uint64_t refused;
	uint64_t logged_refused;
};

static void quota_free(void *data)
{
	struct quota *quota = data;

	g_free(quota->account);
	g_free(quota);
}

void quotas_init(struct entry *entry)
{
	struct quotas *q = &entry->quotas;

	q->accounts = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					    quota_free);
	q->incarnation = (uint64_t)g_random_int() << 32 | g_random_int();
	q->reported_us = clock_now_us();
}

void quotas_finish(struct entry *entry)
{
	g_hash_table_destroy(entry->quotas.accounts);
}

/* Applies the share and the limit; shares count as long as their lease. */
static void set_bucket(const struct entry *entry, struct quota *quota,
		       int64_t now_us)
{
	bool valid = now_us < entry->quotas.lease_until_us;
	double part = valid ? (double)quota->share / QUOTA_SHARE_ONE : 0;

	token_bucket_set(&quota->bucket, part * quota->limit.rate_per_s,
			 part * quota->limit.depth, now_us);
}

static void set_limit(const struct entry *entry, struct quota *quota,
		      int64_t now_us)
{
	const struct entry_account *account =
		g_hash_table_lookup(entry->table->accounts, quota->account);

	quota->limit = quota_limit(account ? account->rate_per_s : 0,
				   account ? account->burst : 0,
				   &entry->config.quota);
	set_bucket(entry, quota, now_us);
}

static struct quota *get_quota(struct entry *entry, const char *account)
{
	struct quota *quota =
		g_hash_table_lookup(entry->quotas.accounts, account);
	int64_t now_us = clock_now_us();

	if (quota)
		return quota;
	quota = g_new0(struct quota, 1);
	quota->account = g_strdup(account);
	g_queue_init(&quota->waiting);
	token_bucket_init(&quota->bucket, now_us);
	set_limit(entry, quota, now_us);
	g_hash_table_insert(entry->quotas.accounts, quota->account, quota);
	return quota;
}

static struct control_link *leader_link(const struct entry *entry)
{
	guint i;

	for (i = 0; i < entry->control->len; i++) {
		struct control_link *link = entry->control->pdata[i];

		if (link->ip == entry->leader_ip &&
		    channel_is_open(&link->channel))
			return link;
	}
	return NULL;
}

/* How long the session may still wait for its turn. */
static int64_t wait_left_us(const struct session *s, int64_t now_us)
{
	return s->arrived_us + s->route->target_us * WAIT_PERCENT / 100 -
	       now_us;
}

static uint64_t longest_wait_us(const struct quota *quota, int64_t now_us)
{
	int64_t longest_us = 0;
	GList *node;

	for (node = quota->waiting.head; node; node = node->next)
		longest_us = MAX(longest_us, wait_left_us(node->data, now_us));
	return (uint64_t)longest_us;
}

/* Asks the leader for as many operations as sessions wait. */
static void ask(struct entry *entry, struct quota *quota)
{
	struct control_link *leader = leader_link(entry);
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__QuotaRequest request = WIRE__QUOTA_REQUEST__INIT;
	int64_t now_us = clock_now_us();
	bool pending = quota->request &&
		       now_us - quota->asked_us < ENTRY_QUOTA_TIMEOUT_US;

	if (!leader || pending || !quota->waiting.length)
		return;
	quota->asked = quota->waiting.length;
	quota->asked_us = now_us;
	quota->request = ++entry->quotas.last_request;
	request.number = quota->request;
	request.account = quota->account;
	request.tokens = quota->asked;
	request.max_wait_us = longest_wait_us(quota, now_us);
	envelope.body_case = WIRE__ENVELOPE__BODY_QUOTA_REQUEST;
	envelope.quota_request = &request;
	channel_send(&leader->channel, &envelope);
	entry_count(entry, ENTRY_COUNT_QUOTA_REQUESTS, 1);
}

enum quota_result quota_charge(struct session *s, int64_t *wait_us)
{
	struct entry *entry = s->entry;
	int64_t now_us = clock_now_us();
	struct quota *quota;

	if (!s->account || s->charged)
		return QUOTA_ALLOWED;
	quota = get_quota(entry, s->account);
	if (!quota->limit.depth)
		return g_hash_table_contains(entry->table->accounts,
					     s->account) ?
			       QUOTA_ALLOWED :
			       QUOTA_REFUSED;
	quota->attempted++;
	set_bucket(entry, quota, now_us);
	if (!quota->waiting.length &&
	    token_bucket_take(&quota->bucket, 1, now_us)) {
		quota->allowed++;
		return QUOTA_ALLOWED;
	}
	s->quota = quota;
	g_queue_push_tail_link(&quota->waiting, &s->waiting);
	ask(entry, quota);
	return QUOTA_ASKED;
}

void quota_ask_again(struct session *s)
{
	ask(s->entry, s->quota);
}

static void leave_queue(struct session *s)
{
	g_queue_unlink(&s->quota->waiting, &s->waiting);
	s->quota = NULL;
}

void quota_cancel(struct session *s)
{
	struct quota *quota = s->quota;

	if (!quota)
		return;
	if (g_queue_link_index(&quota->waiting, &s->waiting) <
	    (int)quota->asked)
		quota->asked--;
	leave_queue(s);
	quota->refused++;
}

/* Time until the token with this index may be used. */
static int64_t token_wait_us(const Wire__QuotaGrant *grant, unsigned index)
{
	if (index < grant->ready)
		return 0;
	return (int64_t)(MIN(grant->wait_us, INT64_MAX / 2) +
			 MIN(grant->interval_us, INT32_MAX) *
				 (index - grant->ready));
}

void quotas_granted(struct entry *entry, const Wire__QuotaGrant *grant)
{
	struct quota *quota =
		g_hash_table_lookup(entry->quotas.accounts, grant->account);
	int64_t now_us = clock_now_us();
	unsigned used = 0;

	if (!quota || !quota->request || quota->request != grant->number)
		return;
	/* No other request is sent before the end of the loop, as those who
	 * are asked for stay at the head of the queue. */
	quota->asked_us = now_us;
	while (quota->asked && quota->waiting.head) {
		struct session *s = quota->waiting.head->data;
		int64_t wait_us = token_wait_us(grant, used);

		quota->asked--;
		leave_queue(s);
		/* The phase must not make it leave the queue again. */
		s->phase = REQUEST_NONE;
		if (used < grant->tokens &&
		    (!wait_us || wait_us <= wait_left_us(s, now_us))) {
			used++;
			quota->allowed++;
			request_run_after_quota(s, wait_us);
			continue;
		}
		quota->refused++;
		request_refuse_over_quota(s, grant->unavailable ? INT64_MAX :
								  wait_us);
	}
	quota->asked = 0;
	quota->request = 0;
	ask(entry, quota);
}

void quotas_update(struct entry *entry)
{
	int64_t now_us = clock_now_us();
	struct quota *quota;
	GHashTableIter it;

	g_hash_table_iter_init(&it, entry->quotas.accounts);
	while (g_hash_table_iter_next(&it, NULL, (void **)&quota)) {
		set_limit(entry, quota, now_us);
		if (!g_hash_table_contains(entry->table->accounts,
					   quota->account) &&
		    !quota->waiting.length && !quota->share)
			g_hash_table_iter_remove(&it);
	}
}

void quotas_apply(struct entry *entry, const Wire__View *view)
{
	struct quotas *q = &entry->quotas;
	int64_t now_us = clock_now_us();
	struct quota *quota;
	GHashTableIter it;
	size_t i;

	if (!view->quota_term || view->quota_term < q->term ||
	    (view->quota_term == q->term && view->quota_number <= q->number))
		return;
	if (q->term != view->quota_term)
		watch_report_at(entry, now_us);
	q->term = view->quota_term;
	q->number = view->quota_number;
	q->lease_until_us = (int64_t)view->answered_us + QUOTA_LEASE_US;
	g_hash_table_iter_init(&it, q->accounts);
	while (g_hash_table_iter_next(&it, NULL, (void **)&quota))
		quota->share = 0;
	for (i = 0; i < view->n_quotas; i++)
		get_quota(entry, view->quotas[i]->account)->share =
			MIN(view->quotas[i]->share, QUOTA_SHARE_ONE);
	g_hash_table_iter_init(&it, q->accounts);
	while (g_hash_table_iter_next(&it, NULL, (void **)&quota))
		set_bucket(entry, quota, now_us);
}

static void note_demand(struct quota *quota, double seconds)
{
	double per_s = (double)quota->attempted / seconds;

	quota->attempted = 0;
	quota->demand_per_s += (per_s - quota->demand_per_s) / DEMAND_DIVISOR;
	if (quota->demand_per_s < 1e-3)
		quota->demand_per_s = 0;
}

static uint32_t wanted_share(const struct quota *quota)
{
	double part;

	if (quota->limit.rate_per_s <= 0)
		return 0;
	part = quota->demand_per_s / quota->limit.rate_per_s * WANTED_PERCENT /
	       100;
	return (uint32_t)(MIN(part, 1.0) * QUOTA_SHARE_ONE);
}

static void update_demand(struct entry *entry, int64_t now_us)
{
	struct quotas *q = &entry->quotas;
	double seconds = (double)(now_us - q->reported_us) / 1e6;
	struct quota *quota;
	GHashTableIter it;

	/* One report goes to several control VMs. */
	if (now_us - q->reported_us < ENTRY_REPORT_INTERVAL_US / 2)
		return;
	q->reported_us = now_us;
	g_hash_table_iter_init(&it, q->accounts);
	while (g_hash_table_iter_next(&it, NULL, (void **)&quota))
		note_demand(quota, seconds);
}

void quotas_fill(struct entry *entry, Wire__Watch *watch)
{
	struct quotas *q = &entry->quotas;
	int64_t now_us = clock_now_us();
	struct quota *quota;
	GHashTableIter it;

	if (!entry->table || !entry->table->has_accounts)
		return;
	update_demand(entry, now_us);
	watch->incarnation = q->incarnation;
	watch->quota_term = q->term;
	watch->quota_number = q->number;
	watch->sent_us = (uint64_t)now_us;
	watch->quotas =
		g_new(Wire__QuotaShare *, g_hash_table_size(q->accounts) + 1);
	g_hash_table_iter_init(&it, q->accounts);
	while (g_hash_table_iter_next(&it, NULL, (void **)&quota)) {
		uint32_t wanted = wanted_share(quota);
		Wire__QuotaShare *out;

		if (!quota->share && !wanted)
			continue;
		out = g_new(Wire__QuotaShare, 1);
		wire__quota_share__init(out);
		out->account = quota->account;
		out->share = quota->share;
		out->wanted = wanted;
		watch->quotas[watch->n_quotas++] = out;
	}
}

void quotas_clear(Wire__Watch *watch)
{
	size_t i;

	for (i = 0; i < watch->n_quotas; i++)
		g_free(watch->quotas[i]);
	g_free(watch->quotas);
}

void quotas_log(struct entry *entry, int64_t now_us)
{
	struct quotas *q = &entry->quotas;
	struct quota *quota;
	GHashTableIter it;

	if (now_us - q->logged_us < LOG_INTERVAL_US)
		return;
	q->logged_us = now_us;
	g_hash_table_iter_init(&it, q->accounts);
	while (g_hash_table_iter_next(&it, NULL, (void **)&quota)) {
		uint64_t refused = quota->refused - quota->logged_refused;

		if (!refused)
			continue;
		quota->logged_refused = quota->refused;
		event_log("over_limit",
			  "{s:s, s:I, s:f, s:f, s:i, s:I, s:I, s:I}", "account",
			  quota->account, "refused", (json_int_t)refused,
			  "rate_per_s", quota->limit.rate_per_s, "demand_per_s",
			  quota->demand_per_s, "share_ppm", (int)quota->share,
			  "lease_left_us",
			  (json_int_t)MAX(q->lease_until_us - now_us, 0),
			  "control_age_us",
			  (json_int_t)(now_us - entry->last_fresh_us),
			  "version", (json_int_t)entry->table->version);
	}
}

void quotas_print(const struct entry *entry, GString *out)
{
	const struct quota *quota;
	unsigned nr = 0;
	GHashTableIter it;

	g_hash_table_iter_init(&it, entry->quotas.accounts);
	while (nr++ < MAX_PRINTED &&
	       g_hash_table_iter_next(&it, NULL, (void **)&quota))
		g_string_append_printf(
			out,
			"entry_account_allowed_total{account=\"%s\"} %lu\n"
			"entry_account_refused_total{account=\"%s\"} %lu\n",
			quota->account, (unsigned long)quota->allowed,
			quota->account, (unsigned long)quota->refused);
}
