#include "control_client_internal.h"

#include <string.h>

void control_known_free(void *data)
{
	struct known_cluster *known = data;

	g_free(known->service);
	g_free(known->cluster);
	g_free(known->primary);
	g_free(known);
}

/* Names hold no newline, so the joined key is unique. */
struct known_cluster *control_known(struct control_client *client,
				    const char *service, const char *cluster)
{
	char *key = g_strdup_printf("%s\n%s", service, cluster);
	struct known_cluster *known =
		g_hash_table_lookup(client->clusters, key);

	if (known) {
		g_free(key);
		return known;
	}
	known = g_new0(struct known_cluster, 1);
	known->service = g_strdup(service);
	known->cluster = g_strdup(cluster);
	known->primary = g_strdup("");
	g_hash_table_insert(client->clusters, key, known);
	return known;
}

static Wire__ClusterReport *report_of(Wire__Heartbeat *hb,
				      const struct known_cluster *known)
{
	Wire__ClusterReport *report;
	size_t i;

	for (i = 0; i < hb->n_clusters; i++) {
		report = hb->clusters[i];
		if (!strcmp(report->cluster, known->cluster) &&
		    !strcmp(report->service, known->service))
			return report;
	}
	report = g_new(Wire__ClusterReport, 1);
	wire__cluster_report__init(report);
	report->service = g_strdup(known->service);
	report->cluster = g_strdup(known->cluster);
	hb->clusters = g_renew(Wire__ClusterReport *, hb->clusters,
			       hb->n_clusters + 1);
	hb->clusters[hb->n_clusters++] = report;
	return report;
}

static void confirm_fence(Wire__Heartbeat *hb,
			  const struct known_cluster *known)
{
	Wire__ClusterReport *report = report_of(hb, known);

	report->term = known->term;
	report->fence_confirmed = true;
	report->suspect = false;
	if (report->acknowledged)
		wire__position__free_unpacked(report->acknowledged, NULL);
	report->acknowledged = NULL;
	if (!known->acknowledged.term)
		return;
	report->acknowledged = g_new(Wire__Position, 1);
	wire__position__init(report->acknowledged);
	report->acknowledged->term = known->acknowledged.term;
	report->acknowledged->lsn = known->acknowledged.lsn;
}

void control_confirm_fences(struct control_client *client, Wire__Heartbeat *hb)
{
	GHashTableIter iter;
	gpointer known;

	g_hash_table_iter_init(&iter, client->clusters);
	while (g_hash_table_iter_next(&iter, NULL, &known))
		if (((struct known_cluster *)known)->fenced)
			confirm_fence(hb, known);
}

void control_begin_fence(struct control_client *client,
			 struct known_cluster *known)
{
	known->fenced = true;
	known->acknowledged = (struct position){ 0, 0 };
	if (client->events.fence)
		known->acknowledged =
			client->events.fence(known->service, known->cluster,
					     known->term, client->data);
}

/*
 * Merges one cluster's state. The order is (term, fenced): within a term a
 * fence is never taken back, so states may arrive in any order.
 */
void control_merge_cluster(struct control_client *client,
			   const Wire__ClusterState *state)
{
	struct known_cluster *known =
		control_known(client, state->service, state->cluster);
	bool unfences = state->term == known->term && known->fenced &&
			!state->fenced;

	if (state->term < known->term || unfences) {
		client->counts.stale++;
		return;
	}
	if (!known->told || state->term > known->term ||
	    strcmp(known->primary, state->primary)) {
		known->fenced = known->fenced && state->term == known->term;
		known->term = state->term;
		known->told = true;
		g_free(known->primary);
		known->primary = g_strdup(state->primary);
		if (client->events.cluster)
			client->events.cluster(state, client->data);
	}
	if (state->fenced && !known->fenced)
		control_begin_fence(client, known);
}

void control_merge_share(struct control_client *client,
			 const Wire__Share *share)
{
	gpointer before;

	if (g_hash_table_lookup_extended(client->shares, share->upstream, NULL,
					 &before) &&
	    GPOINTER_TO_UINT(before) == share->connections)
		return;
	g_hash_table_replace(client->shares, g_strdup(share->upstream),
			     GUINT_TO_POINTER(share->connections));
	if (client->events.share)
		client->events.share(share->upstream, share->connections,
				     client->data);
}
