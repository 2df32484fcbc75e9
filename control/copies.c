#include "internal.h"

#include "event_log.h"

#include <jansson.h>
#include <string.h>

/* Time after which reports about the primary are newer than the end of a copy:
 * daemons report upstreams that answered recently, and count as connected for
 * CONTROL_WATCHER_TIMEOUT_US after their last report. */
#define MARK_AFTER_US (2 * CONTROL_WATCHER_TIMEOUT_US)
/* Least time between two proposals for a service, microseconds. */
#define PROPOSAL_INTERVAL_US (500 * 1000ll)

unsigned control_copies_count(const struct control_node *node,
			      const char *service)
{
	const struct primary_record *record =
		primary_register_find(&node->primaries, service);
	unsigned nr = record ? record->copies->len : 0;
	struct sighting *upstream;
	GHashTableIter it;

	g_hash_table_iter_init(&it, node->sightings.by_id);
	while (g_hash_table_iter_next(&it, NULL, (void **)&upstream))
		nr += !upstream->gone && !strcmp(upstream->service, service) &&
		      !(record && primary_record_copy(record, upstream->id));
	return nr;
}

/* Whether the primary is what the copy became: it came back under another id at
 * the same address, and leads on without an order. */
static bool leads_on(const struct control_node *node,
		     const struct primary_record *record,
		     const struct primary_copy *copy)
{
	const struct sighting *primary =
		record->id ? sightings_find(&node->sightings, record->id) :
			     NULL;
	guint nr = record->replaced->len;

	return primary && !record->by_order && nr &&
	       !strcmp(record->replaced->pdata[nr - 1], copy->id) &&
	       !strcmp(primary->address, copy->address);
}

/* Replicas whose log reaches @mark. */
static unsigned count_caught_up(const struct control_node *node,
				const struct primary_record *record,
				struct position mark)
{
	unsigned nr = 0;
	guint i;

	for (i = 0; i < record->copies->len; i++) {
		const struct primary_copy *copy = record->copies->pdata[i];
		const struct sighting *upstream =
			sightings_find(&node->sightings, copy->id);

		nr += upstream && !upstream->gone && !copy->absent &&
		      strcmp(copy->id, record->id) &&
		      position_compare(control_newest_position(node, copy->id),
				       mark) >= 0;
	}
	return nr;
}

/*
 * Whether the commits of a copy that has ended are elsewhere: the primary had
 * them when it went on without that copy, and as many replicas as hold each
 * commit have caught up with it since.
 */
static bool is_made_up_for(const struct control_node *node,
			   struct control_promotion_state *state,
			   const struct primary_record *record,
			   const struct primary_copy *copy,
			   unsigned sync_replicas, int64_t now_us)
{
	struct control_lost_copy *lost =
		g_hash_table_lookup(state->lost_copies, copy->id);

	if (!lost) {
		lost = g_new0(struct control_lost_copy, 1);
		lost->since_us = now_us;
		g_hash_table_insert(state->lost_copies, g_strdup(copy->id),
				    lost);
	}
	if (!record->id || !strcmp(record->id, copy->id) ||
	    !control_upstream_answers(node, record->id))
		return false;
	if (lost->primary_index != record->index) {
		lost->primary_index = record->index;
		lost->since_us = now_us;
		lost->mark = (struct position){ 0 };
	}
	if (!lost->mark.term && now_us - lost->since_us >= MARK_AFTER_US)
		lost->mark = control_newest_position(node, record->id);
	return lost->mark.term &&
	       count_caught_up(node, record, lost->mark) >= sync_replicas;
}

/* Whether there is a sign of @id from after the last promotion, so that it may
 * hold later commits. */
static bool is_heard(const struct control_node *node,
		     const struct primary_record *record, const char *id)
{
	const struct sighting *upstream = sightings_find(&node->sightings, id);

	return control_upstream_answers(node, id) ||
	       (upstream && !upstream->gone &&
		(!record->by_order || upstream->heard_us > record->applied_us));
}

/* The log that was promoted had all commits of a copy that did not answer the
 * survey, and as many replicas as hold each commit have that log. */
static bool is_made_up_for_since_survey(const struct control_node *node,
					const struct primary_record *record,
					const struct primary_copy *copy,
					unsigned sync_replicas)
{
	return copy->absent && record->base.term &&
	       !is_heard(node, record, copy->id) &&
	       count_caught_up(node, record, record->base) >= sync_replicas;
}

static bool still_counts(const struct control_node *node,
			 struct control_promotion_state *state,
			 const struct primary_record *record,
			 const struct primary_copy *copy,
			 unsigned sync_replicas, int64_t now_us)
{
	const struct sighting *upstream =
		sightings_find(&node->sightings, copy->id);

	if (is_made_up_for_since_survey(node, record, copy, sync_replicas))
		return false;
	/* One that is silent may still receive commits. */
	if (upstream && !upstream->gone) {
		g_hash_table_remove(state->lost_copies, copy->id);
		return true;
	}
	if (!upstream && !g_hash_table_contains(state->lost_copies, copy->id))
		return true;
	return !leads_on(node, record, copy) &&
	       !is_made_up_for(node, state, record, copy, sync_replicas,
			       now_us);
}

static void add_copy(Wire__PrimaryChange *change, char *id, char *address,
		     bool absent)
{
	Wire__PrimaryCopy *copy = g_new(Wire__PrimaryCopy, 1);

	wire__primary_copy__init(copy);
	copy->id = id;
	copy->address = address;
	copy->absent = absent;
	change->copies[change->n_copies++] = copy;
}

/* Return: whether @change differs from what is agreed. */
static bool fill_copies(const struct control_node *node,
			struct control_promotion_state *state,
			const struct primary_record *record,
			unsigned sync_replicas, int64_t now_us,
			Wire__PrimaryChange *change)
{
	bool changed = false;
	struct sighting *upstream;
	GHashTableIter it;
	guint i;

	for (i = 0; i < record->copies->len; i++) {
		const struct primary_copy *copy = record->copies->pdata[i];

		bool absent = copy->absent && !is_heard(node, record, copy->id);

		changed = changed || absent != copy->absent;
		if (sync_replicas && still_counts(node, state, record, copy,
						  sync_replicas, now_us))
			add_copy(change, copy->id, copy->address, absent);
		else
			changed = true;
	}
	g_hash_table_iter_init(&it, node->sightings.by_id);
	while (g_hash_table_iter_next(&it, NULL, (void **)&upstream)) {
		if (!sync_replicas || upstream->gone ||
		    strcmp(upstream->service, record->service) ||
		    primary_record_copy(record, upstream->id) ||
		    !is_heard(node, record, upstream->id))
			continue;
		add_copy(change, upstream->id, upstream->address, false);
		changed = true;
	}
	return changed;
}

void control_copies_check(struct control_node *node,
			  struct control_promotion_state *state,
			  unsigned sync_replicas, int64_t now_us)
{
	const struct primary_record *record =
		primary_register_find(&node->primaries, state->service);
	Wire__PrimaryChange change = WIRE__PRIMARY_CHANGE__INIT;
	size_t i;

	if (!record || (!sync_replicas && !record->copies->len) ||
	    now_us - state->copies_proposed_us < PROPOSAL_INTERVAL_US)
		return;
	change.kind = WIRE__PRIMARY_CHANGE__KIND__COPIES;
	change.service = state->service;
	change.copies =
		g_new(Wire__PrimaryCopy *,
		      record->copies->len +
			      g_hash_table_size(node->sightings.by_id) + 1);
	if (fill_copies(node, state, record, sync_replicas, now_us, &change) &&
	    control_primary_propose(node, &change)) {
		state->copies_proposed_us = now_us;
		event_log("copies_changed", "{s:s, s:i, s:i}", "service",
			  state->service, "copies", (int)change.n_copies, "was",
			  (int)record->copies->len);
	}
	for (i = 0; i < change.n_copies; i++)
		g_free(change.copies[i]);
	g_free(change.copies);
}
