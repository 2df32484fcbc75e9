#include "internal.h"

#include "clock.h"
#include "event_log.h"

#include <jansson.h>
#include <string.h>

/* Time for which a position of the primary may have been reported from before
 * its promotion: a daemon reports upstreams that answered recently, and counts
 * as connected for CONTROL_WATCHER_TIMEOUT_US after its last report. */
#define SETTLED_AFTER_US (2 * CONTROL_WATCHER_TIMEOUT_US)

void control_succession_free(void *data)
{
	succession_finish(data);
	g_free(data);
}

struct succession *control_succession(struct control_node *node,
				      const char *service)
{
	struct succession *s = g_hash_table_lookup(node->successions, service);

	if (s)
		return s;
	s = g_new0(struct succession, 1);
	succession_init(s);
	g_hash_table_insert(node->successions, g_strdup(service), s);
	return s;
}

void control_primary_follow(struct control_node *node, const char *service,
			    int64_t now_us)
{
	struct succession *s = control_succession(node, service);

	if (s->primary)
		succession_note_position(
			s, s->primary,
			control_newest_position(node, s->primary),
			now_us - s->seen_us > SETTLED_AFTER_US);
}

bool control_primary_propose(struct control_node *node,
			     const Wire__PrimaryChange *change)
{
	Wire__ConfigChange entry = WIRE__CONFIG_CHANGE__INIT;
	g_autofree uint8_t *bytes = NULL;
	size_t len;

	if (!node->raft)
		return false;
	entry.primary = (Wire__PrimaryChange *)change;
	len = wire__config_change__get_packed_size(&entry);
	bytes = g_malloc(len);
	wire__config_change__pack(&entry, bytes);
	return raft_propose(node->raft, bytes, len, NULL, NULL);
}

/* A store that is opened again has entries that this process has seen. */
static void follow_change(struct control_node *node,
			  const struct primary_record *record, int64_t now_us)
{
	struct succession *s = control_succession(node, record->service);
	struct position former = { 0 };

	if (record->index <= s->index)
		return;
	s->index = record->index;
	if (s->primary)
		former = control_newest_position(node, s->primary);
	if (record->by_order)
		succession_request(s, record->id, record->base,
				   record->ended_term);
	succession_change(s, record->id,
			  control_newest_position(node, record->id), former);
	s->seen_us = now_us;
}

void control_primary_apply(struct control_node *node,
			   const Wire__PrimaryChange *change, uint64_t index)
{
	int64_t now_us = clock_now_us();
	const struct primary_record *record =
		primary_register_apply(&node->primaries, change, index, now_us);

	if (record) {
		event_log_always("primary_changed", "{s:s, s:s, s:I, s:b, s:I}",
				 "service", record->service, "upstream",
				 record->id, "token", (json_int_t)record->token,
				 "by_order", (int)record->by_order, "index",
				 (json_int_t)index);
		follow_change(node, record, now_us);
		sightings_appoint(&node->sightings, record->service, record->id,
				  index, now_us);
		node->views_due = true;
	}
	if (change->kind == WIRE__PRIMARY_CHANGE__KIND__ORDERED)
		control_promotion_agreed(node, change->service, change->id,
					 change->token);
}

static void restore_record(struct control_node *node,
			   const struct primary_record *record, int64_t now_us)
{
	struct succession *s = control_succession(node, record->service);
	guint i;

	if (!record->id || record->index <= s->index)
		return;
	s->index = record->index;
	s->seen_us = now_us;
	succession_restore(s, record->id, record->base, record->ended_term);
	for (i = 0; i < record->replaced->len; i++)
		succession_restore_replaced(s, record->replaced->pdata[i]);
	sightings_appoint(&node->sightings, record->service, record->id,
			  record->index, now_us);
}

void control_primaries_restore(struct control_node *node,
			       const Wire__ConfigChange *snapshot)
{
	int64_t now_us = clock_now_us();
	const struct primary_record *record;
	GHashTableIter it;

	primary_register_unpack(&node->primaries, snapshot, now_us);
	g_hash_table_iter_init(&it, node->primaries.by_service);
	while (g_hash_table_iter_next(&it, NULL, (void **)&record))
		restore_record(node, record, now_us);
}

/*
 * Whether the agreed primary is known not to lead: it has ended, or says so. One
 * that was promoted leads a moment later only, and a VM that has just joined may
 * not have heard it yet.
 */
static bool has_lost_lead(const struct control_node *node,
			  const struct primary_record *record,
			  const struct sighting *holder)
{
	if (!holder)
		return !control_upstream_answers(node, record->id);
	if (holder->gone)
		return true;
	if (holder->primary)
		return false;
	return !record->by_order || holder->claimed_us > record->applied_us ||
	       holder->heard_us - record->applied_us >
		       PROMOTION_REQUEST_INTERVAL_US;
}

static uint32_t newest_term(const struct control_node *node,
			    const char *service)
{
	struct sighting *upstream;
	GHashTableIter it;
	uint32_t term = 0;

	g_hash_table_iter_init(&it, node->sightings.by_id);
	while (g_hash_table_iter_next(&it, NULL, (void **)&upstream))
		if (!upstream->gone && !strcmp(upstream->service, service))
			term = MAX(term,
				   control_newest_position(node, upstream->id)
					   .term);
	return term;
}

/*
 * The claim of an upstream that crashed is never taken back. One that leads is
 * heard, answers daemons, and has the newest term of all logs.
 */
static bool is_plausible_claim(const struct control_node *node,
			       const struct sighting *upstream, int64_t now_us)
{
	uint32_t term = control_newest_position(node, upstream->id).term;

	return upstream->primary && term &&
	       term >= newest_term(node, upstream->service) &&
	       now_us - upstream->heard_us <=
		       PROMOTION_CANDIDATE_MAX_SILENCE_US &&
	       control_upstream_answers(node, upstream->id);
}

/*
 * Whether an open order for @upstream has been carried out after the one that
 * made @holder lead: it claims the lead since this VM learned of the order, and
 * later than @holder, which may have ended with its claim.
 */
static bool has_followed_order(const struct primary_record *record,
			       const struct sighting *holder,
			       const struct sighting *upstream)
{
	const struct primary_order *order =
		primary_record_order(record, upstream->id);
	const struct primary_order *before =
		primary_record_order(record, record->id);

	if (!order || !upstream->primary ||
	    upstream->claimed_us <= order->applied_us)
		return false;
	if (before && order->last_token < before->first_token)
		return false;
	return !holder || !holder->primary ||
	       upstream->claimed_us > holder->claimed_us;
}

/* Return: the upstream that leads in place of the agreed primary, NULL if none
 * is known to. */
static const struct sighting *
find_successor(const struct control_node *node,
	       const struct primary_record *record, int64_t now_us)
{
	const struct sighting *holder =
		sightings_find(&node->sightings, record->id);
	bool lost = has_lost_lead(node, record, holder);
	const struct sighting *best = NULL;
	struct sighting *upstream;
	GHashTableIter it;

	g_hash_table_iter_init(&it, node->sightings.by_id);
	while (g_hash_table_iter_next(&it, NULL, (void **)&upstream)) {
		if (upstream->gone || upstream == holder ||
		    strcmp(upstream->service, record->service) ||
		    (best && best->claimed_us >= upstream->claimed_us))
			continue;
		if (has_followed_order(record, holder, upstream) ||
		    (lost && is_plausible_claim(node, upstream, now_us)))
			best = upstream;
	}
	return best;
}

/*
 * An upstream that has just said that it leads, though nothing confirms it yet:
 * a primary that was started again is heard before daemons reach it. It is not
 * replaced meanwhile.
 */
static const struct sighting *find_new_claim(const struct control_node *node,
					     const char *service,
					     int64_t now_us)
{
	const struct sighting *best = NULL;
	struct sighting *upstream;
	GHashTableIter it;

	g_hash_table_iter_init(&it, node->sightings.by_id);
	while (g_hash_table_iter_next(&it, NULL, (void **)&upstream))
		if (!upstream->gone && upstream->primary &&
		    !strcmp(upstream->service, service) &&
		    now_us - upstream->heard_us <=
			    PROMOTION_CANDIDATE_MAX_SILENCE_US &&
		    !control_upstream_fails(node, upstream->id) &&
		    (!best || upstream->claimed_us > best->claimed_us))
			best = upstream;
	return best;
}

const struct sighting *control_primary(const struct control_node *node,
				       const char *service, int64_t now_us)
{
	const struct primary_record *record =
		primary_register_find(&node->primaries, service);
	const struct sighting *successor, *holder;

	if (!record || !record->id)
		return sightings_primary(&node->sightings, service);
	successor = find_successor(node, record, now_us);
	if (successor)
		return successor;
	holder = sightings_find(&node->sightings, record->id);
	return has_lost_lead(node, record, holder) ?
		       find_new_claim(node, service, now_us) :
		       holder;
}

const char *control_unheard_primary(const struct control_node *node,
				    const char *service)
{
	const struct primary_record *record =
		primary_register_find(&node->primaries, service);

	if (!record || !record->id ||
	    sightings_find(&node->sightings, record->id))
		return NULL;
	return record->id;
}

void control_primary_check(struct control_node *node, const char *service,
			   int64_t now_us)
{
	const struct primary_record *record =
		primary_register_find(&node->primaries, service);
	const struct sighting *primary =
		record && record->id ?
			find_successor(node, record, now_us) :
			sightings_primary(&node->sightings, service);
	Wire__PrimaryChange change = WIRE__PRIMARY_CHANGE__INIT;

	if (!primary)
		return;
	change.kind = WIRE__PRIMARY_CHANGE__KIND__LEADS;
	change.service = (char *)service;
	change.id = primary->id;
	change.token = record ? record->token : 0;
	control_primary_propose(node, &change);
}
