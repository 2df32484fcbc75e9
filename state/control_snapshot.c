#include "control_internal.h"
#include "error.h"

#include <string.h>

/**
 * DOC: Serialisation of the control state; equal states give equal bytes.
 *
 * The messages that are packed point to the strings of the state, so only the
 * messages and arrays allocated here are freed.
 */

static Wire__Member **pack_members(const struct control_state *state)
{
	Wire__Member **out = g_new(Wire__Member *, state->members->len + 1);
	const struct control_member *member;
	guint i;

	for (i = 0; i < state->members->len; i++) {
		member = g_ptr_array_index(state->members, i);
		out[i] = g_new(Wire__Member, 1);
		wire__member__init(out[i]);
		out[i]->daemon = member->daemon;
		out[i]->availability_zone = member->availability_zone;
		out[i]->bus_address = member->bus_address;
	}
	return out;
}

static void pack_switches(const struct control_cluster *c,
			  Wire__ClusterRecord *record)
{
	const struct term_switch *sw;
	guint i;

	record->n_switches = c->history.switches->len;
	record->switches = g_new(Wire__Position *, record->n_switches + 1);
	for (i = 0; i < record->n_switches; i++) {
		sw = &g_array_index(c->history.switches, struct term_switch, i);
		record->switches[i] = g_new(Wire__Position, 1);
		wire__position__init(record->switches[i]);
		record->switches[i]->term = sw->term;
		record->switches[i]->lsn = sw->end_lsn;
	}
}

static Wire__ClusterRecord *pack_cluster(const struct control_cluster *c)
{
	Wire__ClusterRecord *record = g_new(Wire__ClusterRecord, 1);

	wire__cluster_record__init(record);
	record->service = c->service;
	record->cluster = c->name;
	record->primary = c->primary;
	record->term = c->term;
	record->failover = g_new(Wire__FailoverStep, 1);
	wire__failover_step__init(record->failover);
	record->failover->step = c->step;
	record->failover->old_term = c->old_term;
	record->failover->candidate = c->candidate;
	pack_switches(c, record);
	return record;
}

static void free_cluster_record(Wire__ClusterRecord *record)
{
	size_t i;

	for (i = 0; i < record->n_switches; i++)
		g_free(record->switches[i]);
	g_free(record->switches);
	g_free(record->failover);
	g_free(record);
}

static int compare_shares(const void *a, const void *b)
{
	const Wire__ShareChange *x = *(Wire__ShareChange *const *)a;
	const Wire__ShareChange *y = *(Wire__ShareChange *const *)b;
	int order = strcmp(x->upstream, y->upstream);

	return order ? order : strcmp(x->daemon, y->daemon);
}

/* Shares are sorted, since the order of a hash table depends on its history. */
static GPtrArray *sorted_shares(const struct control_state *state)
{
	GPtrArray *out = g_ptr_array_new();
	GHashTableIter upstreams, daemons;
	gpointer shares, share;

	g_hash_table_iter_init(&upstreams, state->shares);
	while (g_hash_table_iter_next(&upstreams, NULL, &shares)) {
		g_hash_table_iter_init(&daemons, shares);
		while (g_hash_table_iter_next(&daemons, NULL, &share))
			g_ptr_array_add(out, share);
	}
	g_ptr_array_sort(out, compare_shares);
	return out;
}

static Wire__AuditRecord **pack_audit(const struct control_state *state)
{
	Wire__AuditRecord **out =
		g_new(Wire__AuditRecord *, state->audit->length + 1);
	GList *link;
	size_t nr = 0;

	for (link = state->audit->head; link; link = link->next)
		out[nr++] = link->data;
	return out;
}

static Wire__RequestVerdict **pack_verdicts(const struct control_state *state)
{
	Wire__RequestVerdict **out =
		g_new(Wire__RequestVerdict *, state->verdict_order->length + 1);
	GList *link;
	size_t nr = 0;

	for (link = state->verdict_order->head; link; link = link->next) {
		out[nr] = g_new(Wire__RequestVerdict, 1);
		wire__request_verdict__init(out[nr]);
		out[nr]->verdict =
			g_hash_table_lookup(state->verdicts, link->data);
		nr++;
	}
	return out;
}

static void fill_snapshot(const struct control_state *state,
			  Wire__ControlSnapshot *snap, GPtrArray *shares)
{
	guint i;

	snap->tables_version = state->tables.version;
	if (state->tables.routes_text)
		snap->routes = state->tables.routes_text;
	if (state->tables.pools_text)
		snap->pools = state->tables.pools_text;
	snap->members_version = state->members_version;
	snap->n_members = state->members->len;
	snap->members = pack_members(state);
	snap->n_clusters = state->clusters->len;
	snap->clusters = g_new(Wire__ClusterRecord *, snap->n_clusters + 1);
	for (i = 0; i < state->clusters->len; i++)
		snap->clusters[i] =
			pack_cluster(g_ptr_array_index(state->clusters, i));
	snap->n_shares = shares->len;
	snap->shares = (Wire__ShareChange **)shares->pdata;
	snap->n_audit = state->audit->length;
	snap->audit = pack_audit(state);
	snap->n_verdicts = state->verdict_order->length;
	snap->verdicts = pack_verdicts(state);
}

uint8_t *control_state_pack(const struct control_state *state, size_t *len)
{
	Wire__ControlSnapshot snap = WIRE__CONTROL_SNAPSHOT__INIT;
	GPtrArray *shares = sorted_shares(state);
	uint8_t *bytes;
	size_t i;

	fill_snapshot(state, &snap, shares);
	*len = wire__control_snapshot__get_packed_size(&snap);
	bytes = g_malloc(*len);
	wire__control_snapshot__pack(&snap, bytes);
	for (i = 0; i < snap.n_members; i++)
		g_free(snap.members[i]);
	for (i = 0; i < snap.n_clusters; i++)
		free_cluster_record(snap.clusters[i]);
	for (i = 0; i < snap.n_verdicts; i++)
		g_free(snap.verdicts[i]);
	g_free(snap.members);
	g_free(snap.clusters);
	g_free(snap.audit);
	g_free(snap.verdicts);
	g_ptr_array_free(shares, TRUE);
	return bytes;
}

static void unpack_cluster(struct control_state *state,
			   const Wire__ClusterRecord *record)
{
	struct control_cluster *c =
		control_cluster_new(record->service, record->cluster);
	size_t i;

	g_free(c->primary);
	c->primary = g_strdup(record->primary);
	c->term = record->term;
	if (record->failover) {
		c->step = record->failover->step;
		c->old_term = record->failover->old_term;
		g_free(c->candidate);
		c->candidate = g_strdup(record->failover->candidate);
	}
	for (i = 0; i < record->n_switches; i++)
		term_history_add(&c->history, record->switches[i]->term,
				 record->switches[i]->lsn);
	g_ptr_array_add(state->clusters, c);
}

/* Moves the audit records and verdicts from @snap to @state. */
static void move_records(struct control_state *state,
			 Wire__ControlSnapshot *snap)
{
	size_t i;

	for (i = 0; i < snap->n_audit; i++) {
		g_queue_push_tail(state->audit, snap->audit[i]);
		snap->audit[i] = NULL;
	}
	snap->n_audit = 0;
	for (i = 0; i < snap->n_verdicts; i++) {
		if (!snap->verdicts[i]->verdict)
			continue;
		control_verdict_insert(state, snap->verdicts[i]->verdict);
		snap->verdicts[i]->verdict = NULL;
	}
}

static bool restore_state(struct control_state *state,
			  Wire__ControlSnapshot *snap, GError **error)
{
	size_t i;

	if (snap->tables_version &&
	    !tables_parse(&state->tables, "routes", snap->routes, "pools",
			  snap->pools, error)) {
		g_prefix_error(error, "tables of the snapshot: ");
		return false;
	}
	state->tables.version = snap->tables_version;
	state->members_version = snap->members_version;
	for (i = 0; i < snap->n_members; i++)
		g_ptr_array_add(state->members,
				control_member_new(snap->members[i]));
	for (i = 0; i < snap->n_clusters; i++)
		unpack_cluster(state, snap->clusters[i]);
	for (i = 0; i < snap->n_shares; i++)
		control_share_set(state, snap->shares[i]->daemon,
				  snap->shares[i]->upstream,
				  snap->shares[i]->connections,
				  snap->shares[i]->target);
	move_records(state, snap);
	return true;
}

bool control_state_unpack(struct control_state *state, const uint8_t *bytes,
			  size_t len, GError **error)
{
	Wire__ControlSnapshot *snap =
		wire__control_snapshot__unpack(NULL, len, bytes);
	struct control_state restored;
	bool ok;

	if (!snap) {
		g_set_error(error, CW_ERROR, CW_ERROR_CORRUPT,
			    "the snapshot of the control state does not "
			    "decode; wipe this VM's data folder and add it "
			    "again as a new member");
		return false;
	}
	control_state_init(&restored);
	ok = restore_state(&restored, snap, error);
	wire__control_snapshot__free_unpacked(snap, NULL);
	if (ok) {
		control_state_finish(state);
		*state = restored;
	} else {
		control_state_finish(&restored);
	}
	return ok;
}
