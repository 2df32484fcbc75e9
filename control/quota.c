#include "internal.h"

#include "clock.h"
#include "event_log.h"

#include <jansson.h>

/* Longest time for which tokens are given ahead. What waits longer would keep
 * tokens from operations that cannot. */
#define MAX_WAIT_US (50 * 1000ll)

/* Whether no other VM grants anything now. */
static bool may_grant(const struct control_node *node)
{
	return node->lead_term && node->quotas.term == node->lead_term &&
	       control_knows_leader(node);
}

static struct quota_limit find_limit(const struct control_node *node,
				     const char *account)
{
	double rate_per_s, burst;

	if (!node->ops->account_limit || !node->reg.document ||
	    !node->ops->account_limit(node->reg.document, account, &rate_per_s,
				      &burst, node->data))
		return (struct quota_limit){ 0 };
	return quota_limit(rate_per_s, burst, &node->config.quota);
}

static double depth_of(const char *account, void *data)
{
	return find_limit(data, account).depth;
}

void control_quota_init(struct control_node *node)
{
	quota_shares_init(&node->quotas);
	node->quota_buckets =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void control_quota_finish(struct control_node *node)
{
	quota_shares_finish(&node->quotas);
	g_hash_table_destroy(node->quota_buckets);
}

/*
 * Its buckets begin with no more than may not have been used before. Without
 * another leader since the start of this process they have been filled since
 * then. Only one election in each window may add something to that.
 */
static void begin_buckets(struct control_node *node, int64_t now_us)
{
	bool first = !node->other_leader_us && !node->quota_since_us;
	int64_t window_us = node->config.quota.window_us;

	g_hash_table_remove_all(node->quota_buckets);
	node->quota_since_us = first ? node->started_us : now_us;
	node->quota_has_initial = first ||
				  (now_us - node->other_leader_us > window_us &&
				   now_us - node->quota_initial_us > window_us);
	if (node->quota_has_initial)
		node->quota_initial_us = now_us;
	event_log("quotas_begin", "{s:I, s:I, s:b, s:i}", "term",
		  (json_int_t)node->lead_term, "filled_for_us",
		  (json_int_t)(now_us - node->quota_since_us), "initial",
		  (int)node->quota_has_initial, "daemons",
		  (int)g_hash_table_size(node->quotas.daemons));
}

void control_quota_update(struct control_node *node, bool has_lease)
{
	uint64_t term = has_lease ? node->lead_term : 0;
	int64_t now_us = clock_now_us();

	if (node->quotas.term == term || (!has_lease && node->lead_term))
		return;
	quota_shares_lead(&node->quotas, term, now_us);
	if (term)
		begin_buckets(node, now_us);
}

void control_quota_expire(struct control_node *node, int64_t now_us)
{
	quota_shares_expire(&node->quotas, now_us);
	node->quotas.nr_unheard = control_roster_count_restored(node);
}

void control_quota_report(struct control_node *node, const Wire__Watch *watch)
{
	g_autofree struct quota_item *items = NULL;
	struct quota_report report = {
		.daemon = watch->daemon,
		.incarnation = watch->incarnation,
		.term = watch->quota_term,
		.number = watch->quota_number,
	};
	size_t i;

	if (!watch->incarnation)
		return;
	items = g_new(struct quota_item, watch->n_quotas + 1);
	for (i = 0; i < watch->n_quotas; i++)
		items[i] = (struct quota_item){
			.account = watch->quotas[i]->account,
			.share = MIN(watch->quotas[i]->share, QUOTA_SHARE_ONE),
			.wanted = watch->quotas[i]->wanted,
		};
	report.items = items;
	report.nr_items = (unsigned)watch->n_quotas;
	quota_shares_report(&node->quotas, &report, clock_now_us());
}

void control_quota_fill(struct control_node *node, const Wire__Watch *watch,
			Wire__View *view)
{
	g_autoptr(GArray) items = NULL;
	guint i;

	if (!watch || !watch->incarnation || !may_grant(node))
		return;
	items = g_array_new(FALSE, FALSE, sizeof(struct quota_item));
	view->quota_number = quota_shares_decide(&node->quotas, watch->daemon,
						 depth_of, node, items,
						 clock_now_us());
	view->quota_term = node->lead_term;
	view->answered_us = watch->sent_us;
	view->quotas = g_new(Wire__QuotaShare *, items->len + 1);
	for (i = 0; i < items->len; i++) {
		const struct quota_item *item =
			&g_array_index(items, struct quota_item, i);
		Wire__QuotaShare *out = g_new(Wire__QuotaShare, 1);

		wire__quota_share__init(out);
		out->account = (char *)item->account;
		out->share = item->share;
		view->quotas[view->n_quotas++] = out;
	}
}

/* The leader's own bucket of a limit, which holds what no daemon does. */
static struct token_bucket *own_bucket(struct control_node *node,
				       const char *account,
				       const struct quota_limit *limit,
				       int64_t now_us)
{
	struct token_bucket *b =
		g_hash_table_lookup(node->quota_buckets, account);
	double part = (double)quota_shares_own(&node->quotas, account) /
		      QUOTA_SHARE_ONE;
	double rate_per_s = part * limit->rate_per_s;
	double depth = part * limit->depth;

	if (!b) {
		b = g_new(struct token_bucket, 1);
		token_bucket_init(b, node->quota_since_us);
		token_bucket_set(b, rate_per_s, depth, node->quota_since_us);
		token_bucket_set(b, rate_per_s, depth, now_us);
		if (node->quota_has_initial)
			b->tokens += part * limit->initial;
		g_hash_table_insert(node->quota_buckets, g_strdup(account), b);
		return b;
	}
	token_bucket_set(b, rate_per_s, depth, now_us);
	return b;
}

static void grant(struct control_node *node, const Wire__QuotaRequest *in,
		  Wire__QuotaGrant *out)
{
	int64_t now_us = clock_now_us();
	struct quota_limit limit = find_limit(node, in->account);
	int64_t wait_us, interval_us = 0;
	double depth;
	struct token_bucket *b;

	if (!may_grant(node) || !limit.depth) {
		out->unavailable = true;
		return;
	}
	b = own_bucket(node, in->account, &limit, now_us);
	depth = b->depth;
	out->ready = out->tokens = token_bucket_take_above(
		b, in->tokens, quota_kept(in->priority, depth), now_us);
	wait_us = token_bucket_wait_us(b, now_us);
	if (!out->tokens && !in->priority)
		out->tokens = token_bucket_reserve(
			b, in->tokens,
			(int64_t)MIN(in->max_wait_us, MAX_WAIT_US), now_us,
			&wait_us, &interval_us);
	out->wait_us = (uint64_t)wait_us;
	out->interval_us = (uint64_t)interval_us;
	control_count(node, CONTROL_COUNT_QUOTA_TOKENS, out->tokens);
	if (out->tokens < in->tokens)
		quota_shares_refused(&node->quotas, in->account, now_us);
	control_count(node, CONTROL_COUNT_QUOTA_REFUSED,
		      in->tokens - out->tokens);
}

void control_quota_request(struct control_node *node, struct channel *from,
			   const Wire__QuotaRequest *in)
{
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__QuotaGrant out = WIRE__QUOTA_GRANT__INIT;

	out.number = in->number;
	out.account = in->account;
	grant(node, in, &out);
	envelope.body_case = WIRE__ENVELOPE__BODY_QUOTA_GRANT;
	envelope.quota_grant = &out;
	channel_send(from, &envelope);
}
