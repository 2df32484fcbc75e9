#include "internal.h"

#include "clock.h"
#include "event_log.h"
#include "token_bucket.h"

#include <jansson.h>

/* Part of a share beyond the demand that is wanted, percent: demand varies. */
#define WANTED_PERCENT 130
/* Divisor: weight of the latest interval in the moving average of the demand. */
#define DEMAND_DIVISOR 2
/* Part of a limit that all homes of an account want together without demand. */
#define LEAST_WANTED 0.5
/* Part of its target that an operation waits until the limit allows it,
 * percent. The rest is left for its statements. */
#define WAIT_PERCENT 50
/* Least time between two log lines of one account. */
#define LOG_INTERVAL_US (1000 * 1000ll)
/* Daemons asked one after the other for one that reaches the leader, before
 * there is a pause. */
#define MAX_TRIED 8
/* Most requests of other daemons under way. */
#define MAX_FORWARDS 1024
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
 * @asked_proxy: whether it was sent to another daemon and not to the leader
 * @nr_tried: daemons asked in vain since the last answer
 * @nr_services: services for which this daemon is the home of the account
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
	bool asked_proxy;
	unsigned nr_tried;
	unsigned nr_services;
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
	q->forwards = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					    g_free);
	q->incarnation = (uint64_t)g_random_int() << 32 | g_random_int();
	q->reported_us = clock_now_us();
}

void quotas_finish(struct entry *entry)
{
	g_hash_table_destroy(entry->quotas.forwards);
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

bool quota_is_in_touch(const struct entry *entry)
{
	const struct quotas *q = &entry->quotas;

	return leader_link(entry) &&
	       (!q->unanswered_us ||
		clock_now_us() - q->unanswered_us < ENTRY_QUOTA_TIMEOUT_US);
}

/*
 * A connected daemon that may hold a share of the account, drawn at random: it
 * gives what it does not need, or asks the leader if it reaches it.
 */
static struct home_link *choose_proxy(struct entry *entry, const char *account)
{
	g_autoptr(GPtrArray) holders = home_holders(entry, account);

	if (!holders->len)
		return NULL;
	return holders->pdata[entry_random(entry) % holders->len];
}

/* Where to ask for more of a limit. */
static struct channel *ask_channel(struct entry *entry, struct quota *quota)
{
	struct home_link *home;

	quota->asked_proxy = !quota_is_in_touch(entry);
	if (!quota->asked_proxy)
		return &leader_link(entry)->channel;
	home = choose_proxy(entry, quota->account);
	return home ? &home->channel : NULL;
}

/* How long the session may still wait for its turn. */
static int64_t wait_left_us(const struct session *s, int64_t now_us)
{
	return s->arrived_us + s->route->target_us * WAIT_PERCENT / 100 -
	       now_us;
}

/* Sessions at the head of the queue whose routes have the same priority. */
static unsigned first_of_a_priority(const struct quota *quota)
{
	const struct session *first = quota->waiting.head->data;
	unsigned nr = 0;
	GList *node;

	for (node = quota->waiting.head; node; node = node->next) {
		const struct session *s = node->data;

		if (s->route->priority != first->route->priority)
			break;
		nr++;
	}
	return nr;
}

/* Asks for as many operations as the most urgent sessions that wait. */
static void ask(struct entry *entry, struct quota *quota)
{
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__QuotaRequest request = WIRE__QUOTA_REQUEST__INIT;
	const struct session *first;
	struct channel *channel;
	int64_t now_us = clock_now_us();
	bool pending = quota->request &&
		       now_us - quota->asked_us < ENTRY_QUOTA_TIMEOUT_US;

	if (pending || !quota->waiting.length)
		return;
	channel = ask_channel(entry, quota);
	if (!channel)
		return;
	first = quota->waiting.head->data;
	quota->asked = first_of_a_priority(quota);
	quota->asked_us = now_us;
	if (!entry->quotas.unanswered_us)
		entry->quotas.unanswered_us = now_us;
	quota->request = ++entry->quotas.last_request;
	request.number = quota->request;
	request.account = quota->account;
	request.tokens = quota->asked;
	request.max_wait_us = (uint64_t)MAX(wait_left_us(first, now_us), 0);
	request.priority = first->route->priority;
	envelope.body_case = WIRE__ENVELOPE__BODY_QUOTA_REQUEST;
	envelope.quota_request = &request;
	channel_send(channel, &envelope);
	entry_count(entry, ENTRY_COUNT_QUOTA_REQUESTS, 1);
}

/* While the leader answers, the last tokens here are for urgent routes. */
static double kept(const struct session *s, const struct quota *quota)
{
	return quota_is_in_touch(s->entry) ?
		       quota_kept(s->route->priority, quota->bucket.depth) :
		       0;
}

static void insert_by_priority(struct quota *quota, struct session *s)
{
	GList *node = quota->waiting.tail;

	while (node && ((struct session *)node->data)->route->priority >
			       s->route->priority)
		node = node->prev;
	if (node)
		g_queue_insert_after_link(&quota->waiting, node, &s->waiting);
	else
		g_queue_push_head_link(&quota->waiting, &s->waiting);
}

enum quota_result quota_charge(struct session *s, int64_t *wait_us)
{
	struct entry *entry = s->entry;
	int64_t now_us = clock_now_us();
	struct quota *quota;

	if (!s->account || s->charged)
		return QUOTA_ALLOWED;
	/* Another daemon may have a newer configuration. */
	if (!g_hash_table_contains(entry->table->accounts, s->account)) {
		*wait_us = INT64_MAX;
		return QUOTA_REFUSED;
	}
	quota = get_quota(entry, s->account);
	if (!quota->limit.depth)
		return QUOTA_ALLOWED;
	quota->attempted++;
	set_bucket(entry, quota, now_us);
	if (!quota->waiting.length &&
	    token_bucket_take_above(&quota->bucket, 1, kept(s, quota),
				    now_us)) {
		quota->allowed++;
		return QUOTA_ALLOWED;
	}
	s->quota = quota;
	insert_by_priority(quota, s);
	ask(entry, quota);
	return QUOTA_ASKED;
}

int64_t quota_wait_for_share(struct session *s)
{
	struct quota *quota = s->quota;
	int64_t now_us = clock_now_us();
	int64_t left_us = MAX(wait_left_us(s, now_us), 0);
	int64_t wait_us, interval_us;

	set_bucket(s->entry, quota, now_us);
	if (!token_bucket_reserve(&quota->bucket, 1, left_us, now_us, &wait_us,
				  &interval_us))
		return -1;
	quota_cancel(s);
	quota->refused--;
	quota->allowed++;
	s->phase = REQUEST_NONE;
	return wait_us;
}

bool quota_asked_enough(const struct session *s)
{
	return s->quota->nr_tried >= MAX_TRIED;
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

/**
 * struct quota_forward - a request that another daemon waits for
 * @client: connection to that daemon
 * @number: number of the request there
 * @sent_us: when it was passed on
 */
struct quota_forward {
	struct relay_client *client;
	uint64_t number;
	int64_t sent_us;
};

static void send_grant(struct relay_client *client, uint64_t number,
		       const Wire__QuotaGrant *grant)
{
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__QuotaGrant out = *grant;

	out.number = number;
	envelope.body_case = WIRE__ENVELOPE__BODY_QUOTA_GRANT;
	envelope.quota_grant = &out;
	channel_send(&client->channel, &envelope);
}

/* Gives a daemon that reaches the leader no more than this one does what is left
 * of the share here. */
static void give_own(struct relay_client *client, const Wire__QuotaRequest *in)
{
	struct entry *entry = client->entry;
	struct quota *quota =
		g_hash_table_lookup(entry->quotas.accounts, in->account);
	Wire__QuotaGrant grant = WIRE__QUOTA_GRANT__INIT;
	int64_t now_us = clock_now_us();

	if (quota) {
		set_bucket(entry, quota, now_us);
		grant.tokens =
			token_bucket_take(&quota->bucket, in->tokens, now_us);
	}
	grant.account = in->account;
	grant.ready = grant.tokens;
	grant.unavailable = !grant.tokens;
	send_grant(client, in->number, &grant);
}

void quota_forward(struct relay_client *client, const Wire__QuotaRequest *in)
{
	struct entry *entry = client->entry;
	struct quotas *q = &entry->quotas;
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__QuotaRequest request = *in;
	struct quota_forward *forward;

	if (!quota_is_in_touch(entry) ||
	    g_hash_table_size(q->forwards) >= MAX_FORWARDS) {
		give_own(client, in);
		return;
	}
	request.number = ++q->last_request;
	forward = g_new(struct quota_forward, 1);
	*forward = (struct quota_forward){ client, in->number, clock_now_us() };
	g_hash_table_insert(q->forwards,
			    g_memdup2(&request.number, sizeof(request.number)),
			    forward);
	envelope.body_case = WIRE__ENVELOPE__BODY_QUOTA_REQUEST;
	envelope.quota_request = &request;
	channel_send(&leader_link(entry)->channel, &envelope);
}

/* Return: whether the answer was for another daemon */
static bool answer_forward(struct entry *entry, const Wire__QuotaGrant *grant)
{
	struct quotas *q = &entry->quotas;
	struct quota_forward *forward =
		g_hash_table_lookup(q->forwards, &grant->number);

	if (!forward)
		return false;
	send_grant(forward->client, forward->number, grant);
	g_hash_table_remove(q->forwards, &grant->number);
	return true;
}

void quotas_forget(struct relay_client *client)
{
	struct quota_forward *forward;
	GHashTableIter it;

	g_hash_table_iter_init(&it, client->entry->quotas.forwards);
	while (g_hash_table_iter_next(&it, NULL, (void **)&forward))
		if (forward->client == client)
			g_hash_table_iter_remove(&it);
}

static void expire_forwards(struct quotas *q, int64_t now_us)
{
	struct quota_forward *forward;
	GHashTableIter it;

	g_hash_table_iter_init(&it, q->forwards);
	while (g_hash_table_iter_next(&it, NULL, (void **)&forward))
		if (now_us - forward->sent_us > LOG_INTERVAL_US)
			g_hash_table_iter_remove(&it);
}

/* The daemon that was asked does not reach the leader, or none leads now. Those
 * who wait do so until others were asked in vain. */
static void try_another(struct entry *entry, struct quota *quota)
{
	struct quotas *q = &entry->quotas;

	quota->request = 0;
	quota->asked = 0;
	if (!quota->asked_proxy)
		q->unanswered_us = clock_now_us() - ENTRY_QUOTA_TIMEOUT_US;
	if (++quota->nr_tried % MAX_TRIED)
		ask(entry, quota);
}

void quotas_granted(struct entry *entry, const Wire__QuotaGrant *grant)
{
	struct quota *quota =
		g_hash_table_lookup(entry->quotas.accounts, grant->account);
	int64_t now_us = clock_now_us();
	unsigned used = 0;

	if (answer_forward(entry, grant))
		return;
	if (!quota || !quota->request || quota->request != grant->number)
		return;
	if (grant->unavailable) {
		try_another(entry, quota);
		return;
	}
	quota->nr_tried = 0;
	if (!quota->asked_proxy)
		entry->quotas.unanswered_us = 0;
	/* No other request is sent before the end of the loop, as those who
	 * are asked for stay at the head of the queue. */
	quota->asked_us = now_us;
	while (quota->asked && quota->waiting.head) {
		struct session *s = quota->waiting.head->data;
		int64_t wait_us = token_wait_us(grant, used);

		/* Another daemon may have more. */
		if (quota->asked_proxy && used >= grant->tokens)
			break;
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
		request_refuse_over_quota(s, wait_us);
	}
	/* Tokens that came too late for those who asked. */
	quota->bucket.tokens =
		MIN(quota->bucket.tokens + grant->tokens - used,
		    MAX(quota->bucket.depth, quota->bucket.tokens));
	quota->asked = 0;
	quota->request = 0;
	ask(entry, quota);
}

void quotas_update(struct entry *entry)
{
	int64_t now_us = clock_now_us();
	struct quota *quota;
	GHashTableIter it;

	entry->quotas.homes_changed = true;
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

	if (!entry->table || !view->quota_term || view->quota_term < q->term ||
	    (view->quota_term == q->term && view->quota_number <= q->number))
		return;
	q->unanswered_us = 0;
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

/* A home wants a part also without demand, for when the leader is lost. */
static double least_part(const struct entry *entry, const struct quota *quota)
{
	guint nr = g_hash_table_size(entry->home_sets);

	return nr ? LEAST_WANTED * quota->nr_services / nr : 0;
}

static uint32_t wanted_share(const struct entry *entry,
			     const struct quota *quota)
{
	double part;

	if (quota->limit.rate_per_s <= 0)
		return 0;
	part = quota->demand_per_s / quota->limit.rate_per_s * WANTED_PERCENT /
	       100;
	part = MAX(part, least_part(entry, quota));
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

void quotas_homes_changed(struct entry *entry)
{
	entry->quotas.homes_changed = true;
}

/* Finds the accounts whose home this daemon is. */
static void update_homes(struct entry *entry)
{
	const struct entry_account *account;
	GHashTableIter it;

	entry->quotas.homes_changed = false;
	g_hash_table_iter_init(&it, entry->table->accounts);
	while (g_hash_table_iter_next(&it, NULL, (void **)&account)) {
		unsigned nr = home_nr_services(entry, account->name);

		if (nr && account->rate_per_s > 0)
			get_quota(entry, account->name)->nr_services = nr;
		else if (g_hash_table_contains(entry->quotas.accounts,
					       account->name))
			get_quota(entry, account->name)->nr_services = 0;
	}
}

void quotas_fill(struct entry *entry, Wire__Watch *watch)
{
	struct quotas *q = &entry->quotas;
	int64_t now_us = clock_now_us();
	struct quota *quota;
	GHashTableIter it;

	if (!entry->table || !entry->table->has_accounts)
		return;
	if (q->homes_changed)
		update_homes(entry);
	update_demand(entry, now_us);
	watch->incarnation = q->incarnation;
	watch->quota_term = q->term;
	watch->quota_number = q->number;
	watch->sent_us = (uint64_t)now_us;
	watch->quotas =
		g_new(Wire__QuotaShare *, g_hash_table_size(q->accounts) + 1);
	g_hash_table_iter_init(&it, q->accounts);
	while (g_hash_table_iter_next(&it, NULL, (void **)&quota)) {
		uint32_t wanted = wanted_share(entry, quota);
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
	expire_forwards(q, now_us);
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
