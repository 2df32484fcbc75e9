#include "control_internal.h"
#include "error.h"

#include <string.h>

/* Operator name of audit records that are not caused by an operator. */
#define AUDIT_CONTROL "control"

void control_member_free(void *data)
{
	struct control_member *member = data;

	g_free(member->daemon);
	g_free(member->availability_zone);
	g_free(member->bus_address);
	g_free(member);
}

void control_cluster_free(void *data)
{
	struct control_cluster *cluster = data;

	g_free(cluster->service);
	g_free(cluster->name);
	g_free(cluster->primary);
	g_free(cluster->candidate);
	term_history_finish(&cluster->history);
	g_free(cluster);
}

static void shares_free(void *data)
{
	g_hash_table_destroy(data);
}

static void share_free(void *data)
{
	wire__share_change__free_unpacked(data, NULL);
}

void control_state_init(struct control_state *state)
{
	*state = (struct control_state){ 0 };
	tables_init(&state->tables);
	state->members = g_ptr_array_new_with_free_func(control_member_free);
	state->clusters = g_ptr_array_new_with_free_func(control_cluster_free);
	state->shares = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      shares_free);
	state->audit = g_queue_new();
	state->verdicts = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						control_verdict_free);
	state->verdict_order = g_queue_new();
}

void control_state_finish(struct control_state *state)
{
	tables_finish(&state->tables);
	g_ptr_array_free(state->members, TRUE);
	g_ptr_array_free(state->clusters, TRUE);
	g_hash_table_destroy(state->shares);
	g_queue_free_full(state->audit, control_audit_free);
	g_queue_free(state->verdict_order);
	g_hash_table_destroy(state->verdicts);
}

struct control_cluster *control_state_cluster(const struct control_state *state,
					      const char *service,
					      const char *cluster)
{
	struct control_cluster *c;
	guint i;

	for (i = 0; i < state->clusters->len; i++) {
		c = g_ptr_array_index(state->clusters, i);
		if (!strcmp(c->name, cluster) && !strcmp(c->service, service))
			return c;
	}
	return NULL;
}

struct control_cluster *control_cluster_new(const char *service,
					    const char *name)
{
	struct control_cluster *c = g_new0(struct control_cluster, 1);

	c->service = g_strdup(service);
	c->name = g_strdup(name);
	c->primary = g_strdup("");
	c->candidate = g_strdup("");
	c->step = WIRE__FAILOVER_STEP__STEP__NONE;
	term_history_init(&c->history);
	return c;
}

struct control_member *control_member_new(const Wire__Member *wire)
{
	struct control_member *member = g_new0(struct control_member, 1);

	member->daemon = g_strdup(wire->daemon);
	member->availability_zone = g_strdup(wire->availability_zone);
	member->bus_address = g_strdup(wire->bus_address);
	return member;
}

static const Wire__ApplyVerdict *
record_conflict(struct control_state *state, const Wire__TablesChange *change)
{
	const Wire__AuditRecord *current = control_audit_current_change(state);
	const char *winner = current ? current->operator_name : "nobody";
	g_autofree char *message = g_strdup_printf(
		"version %" G_GUINT64_FORMAT " by %s (request %s) is in force, "
		"the change was made against version %" G_GUINT64_FORMAT
		"; fetch the tables of version %" G_GUINT64_FORMAT
		", repeat the edit on them and apply it again",
		(guint64)state->tables.version, winner,
		current ? current->request_id : "none",
		(guint64)change->base_version, (guint64)state->tables.version);

	control_audit_add(state, change->operator_name, change->request_id,
			  change->base_version, "conflict", message,
			  change->time_s);
	return control_verdict_add(state, change->request_id,
				   WIRE__APPLY_VERDICT__VERDICT__CONFLICT,
				   winner, message);
}

static const Wire__ApplyVerdict *
record_refusal(struct control_state *state, const Wire__TablesChange *change,
	       const char *message)
{
	control_audit_add(state, change->operator_name, change->request_id,
			  change->base_version, "refused", message,
			  change->time_s);
	return control_verdict_add(state, change->request_id,
				   WIRE__APPLY_VERDICT__VERDICT__REFUSED, "",
				   message);
}

static const Wire__ApplyVerdict *apply_tables(struct control_state *state,
					      const Wire__TablesChange *change)
{
	const Wire__ApplyVerdict *earlier =
		control_state_verdict(state, change->request_id);
	uint64_t version = state->tables.version;
	g_autoptr(GError) error = NULL;

	if (earlier)
		return earlier;
	if (!*change->request_id)
		return record_refusal(
			state, change,
			"the change has no request identity; send it "
			"with the tool, which adds one");
	if (change->base_version != version)
		return record_conflict(state, change);
	if (!tables_parse(&state->tables, "routes", change->routes, "pools",
			  change->pools, &error))
		return record_refusal(state, change, error->message);
	state->tables.version = version + 1;
	control_audit_add(state, change->operator_name, change->request_id,
			  change->base_version, "accepted", "", change->time_s);
	return control_verdict_add(state, change->request_id,
				   WIRE__APPLY_VERDICT__VERDICT__ACCEPTED,
				   change->operator_name, "");
}

static int member_index(const struct control_state *state, const char *daemon)
{
	const struct control_member *member;
	guint i;

	for (i = 0; i < state->members->len; i++) {
		member = g_ptr_array_index(state->members, i);
		if (!strcmp(member->daemon, daemon))
			return i;
	}
	return -1;
}

const struct control_member *
control_state_member(const struct control_state *state, const char *daemon)
{
	int index = member_index(state, daemon);

	return index < 0 ? NULL : g_ptr_array_index(state->members, index);
}

static bool same_member(const struct control_member *member,
			const Wire__Member *wire)
{
	return !strcmp(member->availability_zone, wire->availability_zone) &&
	       !strcmp(member->bus_address, wire->bus_address);
}

static void apply_member(struct control_state *state,
			 const Wire__MemberChange *change)
{
	const Wire__Member *wire = change->member;
	int index;

	if (!wire || !*wire->daemon)
		return;
	index = member_index(state, wire->daemon);
	if (change->remove) {
		if (index < 0)
			return;
		g_ptr_array_remove_index(state->members, index);
		control_audit_add(state, AUDIT_CONTROL, "",
				  state->tables.version, "member removed",
				  wire->daemon, 0);
	} else if (index < 0) {
		g_ptr_array_add(state->members, control_member_new(wire));
	} else {
		if (same_member(g_ptr_array_index(state->members, index), wire))
			return;
		control_member_free(g_ptr_array_index(state->members, index));
		g_ptr_array_index(state->members, index) =
			control_member_new(wire);
	}
	state->members_version++;
}

static void apply_cluster_found(struct control_state *state,
				const Wire__ClusterFound *found)
{
	struct control_cluster *c;

	if (!*found->primary ||
	    control_state_cluster(state, found->service, found->cluster))
		return;
	c = control_cluster_new(found->service, found->cluster);
	g_free(c->primary);
	c->primary = g_strdup(found->primary);
	c->term = found->term;
	g_ptr_array_add(state->clusters, c);
}

static bool failover_in_progress(const struct control_cluster *c)
{
	return c->step == WIRE__FAILOVER_STEP__STEP__FENCING ||
	       c->step == WIRE__FAILOVER_STEP__STEP__PROMOTING;
}

/* Whether @step may follow the recorded step. */
static bool step_follows(const struct control_cluster *c,
			 const Wire__FailoverStep *step)
{
	if (step->old_term != c->term)
		return false;
	switch (step->step) {
	case WIRE__FAILOVER_STEP__STEP__FENCING:
	case WIRE__FAILOVER_STEP__STEP__ABANDONED:
		return !failover_in_progress(c);
	case WIRE__FAILOVER_STEP__STEP__PROMOTING:
		/* May repeat, with another candidate if the first one
		 * failed. */
		return failover_in_progress(c) && *step->candidate;
	case WIRE__FAILOVER_STEP__STEP__DONE:
		return c->step == WIRE__FAILOVER_STEP__STEP__PROMOTING &&
		       !strcmp(step->candidate, c->candidate) &&
		       step->new_term > c->term;
	default:
		return false;
	}
}

static void finish_failover(struct control_state *state,
			    struct control_cluster *c,
			    const Wire__FailoverStep *step)
{
	g_autofree char *detail = g_strdup_printf(
		"%s.%s: term %u of %s ended, term %u of %s begins", c->service,
		c->name, c->term, c->primary, step->new_term, step->candidate);

	term_history_add(&c->history, c->term, step->switch_lsn);
	c->term = step->new_term;
	g_free(c->primary);
	c->primary = g_strdup(step->candidate);
	control_audit_add(state, AUDIT_CONTROL, "", state->tables.version,
			  "failover", detail, step->time_s);
}

static void apply_failover(struct control_state *state,
			   const Wire__FailoverStep *step)
{
	struct control_cluster *c =
		control_state_cluster(state, step->service, step->cluster);

	if (!c || !step_follows(c, step))
		return;
	c->step = step->step;
	c->old_term = step->old_term;
	g_free(c->candidate);
	c->candidate = g_strdup(step->candidate);
	if (step->step == WIRE__FAILOVER_STEP__STEP__DONE)
		finish_failover(state, c, step);
}

void control_share_set(struct control_state *state, const char *daemon,
		       const char *upstream, unsigned connections,
		       unsigned target)
{
	GHashTable *shares = g_hash_table_lookup(state->shares, upstream);
	Wire__ShareChange *share;

	if (!connections && !target) {
		if (shares && g_hash_table_remove(shares, daemon) &&
		    !g_hash_table_size(shares))
			g_hash_table_remove(state->shares, upstream);
		return;
	}
	if (!shares) {
		shares = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					       share_free);
		g_hash_table_insert(state->shares, g_strdup(upstream), shares);
	}
	share = g_new(Wire__ShareChange, 1);
	wire__share_change__init(share);
	share->daemon = g_strdup(daemon);
	share->upstream = g_strdup(upstream);
	share->connections = connections;
	share->target = target;
	/* The key points into the value, so both are replaced together. */
	g_hash_table_replace(shares, share->daemon, share);
}

void control_state_apply(struct control_state *state, const uint8_t *bytes,
			 size_t len, const Wire__ApplyVerdict **verdict)
{
	Wire__LogEntry *entry = wire__log_entry__unpack(NULL, len, bytes);
	const Wire__ApplyVerdict *result = NULL;

	if (verdict)
		*verdict = NULL;
	if (!entry)
		return;
	switch (entry->body_case) {
	case WIRE__LOG_ENTRY__BODY_TABLES:
		result = apply_tables(state, entry->tables);
		break;
	case WIRE__LOG_ENTRY__BODY_MEMBER:
		apply_member(state, entry->member);
		break;
	case WIRE__LOG_ENTRY__BODY_FAILOVER:
		apply_failover(state, entry->failover);
		break;
	case WIRE__LOG_ENTRY__BODY_SHARE:
		control_share_set(state, entry->share->daemon,
				  entry->share->upstream,
				  entry->share->connections,
				  entry->share->target);
		break;
	case WIRE__LOG_ENTRY__BODY_CLUSTER_FOUND:
		apply_cluster_found(state, entry->cluster_found);
		break;
	default:
		break;
	}
	wire__log_entry__free_unpacked(entry, NULL);
	if (verdict)
		*verdict = result;
}

void control_state_share(const struct control_state *state, const char *daemon,
			 const char *upstream, unsigned *connections,
			 unsigned *target)
{
	GHashTable *shares = g_hash_table_lookup(state->shares, upstream);
	const Wire__ShareChange *share =
		shares ? g_hash_table_lookup(shares, daemon) : NULL;

	*connections = share ? share->connections : 0;
	*target = share ? share->target : 0;
}

unsigned control_state_share_sum(const struct control_state *state,
				 const char *upstream)
{
	GHashTable *shares = g_hash_table_lookup(state->shares, upstream);
	GHashTableIter iter;
	gpointer share;
	unsigned total = 0;

	if (!shares)
		return 0;
	g_hash_table_iter_init(&iter, shares);
	while (g_hash_table_iter_next(&iter, NULL, &share))
		total += ((const Wire__ShareChange *)share)->connections;
	return total;
}
