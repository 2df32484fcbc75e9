#include "control_core.h"

/* Time between plans: a share follows the demand within a few of them. */
#define BUDGET_US 1000000ll

static void propose_share(struct control *c, const char *upstream,
			  const struct control_share *share)
{
	Wire__LogEntry entry = WIRE__LOG_ENTRY__INIT;
	Wire__ShareChange change = WIRE__SHARE_CHANGE__INIT;

	change.daemon = share->daemon;
	change.upstream = (char *)upstream;
	change.connections = share->share.connections;
	change.target = share->share.target;
	entry.body_case = WIRE__LOG_ENTRY__BODY_SHARE;
	entry.share = &change;
	control_propose(c, &entry, &c->last_share_index, NULL);
}

static void plan(struct control *c, const struct control_facts *facts,
		 const Wire__UpstreamReport *upstream)
{
	GArray *shares =
		g_array_new(FALSE, FALSE, sizeof(struct control_share));
	guint i;

	control_view_shares(facts, upstream, c->settings->connection_linger_us,
			    shares);
	for (i = 0; i < shares->len; i++) {
		struct control_share *share =
			&g_array_index(shares, struct control_share, i);

		propose_share(c, upstream->name, share);
		g_free(share->daemon);
	}
	g_array_free(shares, TRUE);
}

/* A plan starts from recorded shares only, so the last one must be applied. */
void control_budget(struct control *c)
{
	struct control_facts facts = control_facts(c);
	GHashTable *upstreams;
	GHashTableIter it;
	void *p;

	if (facts.now_us < c->next_budget_us || !control_confirmed(c) ||
	    raft_applied_index(c->raft) < c->last_share_index)
		return;
	c->next_budget_us = facts.now_us + BUDGET_US;
	upstreams = control_view_upstreams(&facts, NULL, NULL);
	g_hash_table_iter_init(&it, upstreams);
	while (g_hash_table_iter_next(&it, NULL, &p))
		plan(c, &facts, ((const struct control_upstream *)p)->report);
	g_hash_table_destroy(upstreams);
}
