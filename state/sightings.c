#include "sightings.h"

#include <string.h>

static void sighting_free(void *data)
{
	struct sighting *upstream = data;

	g_free(upstream->id);
	g_free(upstream->service);
	g_free(upstream->address);
	g_free(upstream->availability_zone);
	g_free(upstream);
}

/**
 * struct sightings_known_primary - result of a search for a primary
 * @generation: value of struct sightings.generation at that time
 */
struct sightings_known_primary {
	uint64_t generation;
	const struct sighting *upstream;
};

static void appointment_free(void *data)
{
	struct appointment *a = data;

	g_free(a->service);
	g_free(a->id);
	g_free(a);
}

void sightings_init(struct sightings *s)
{
	s->by_id = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					 sighting_free);
	s->appointments = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						appointment_free);
	s->primaries =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	s->revision = 0;
	s->generation = 0;
}

void sightings_finish(struct sightings *s)
{
	g_hash_table_destroy(s->by_id);
	g_hash_table_destroy(s->appointments);
	g_hash_table_destroy(s->primaries);
}

static int compare_recency(const struct sighting *a, const struct sighting *b)
{
	if (a->born_ms != b->born_ms)
		return a->born_ms < b->born_ms ? -1 : 1;
	if (a->sequence != b->sequence)
		return a->sequence < b->sequence ? -1 : 1;
	return 0;
}

static bool same_content(const struct sighting *a, const struct sighting *b)
{
	return a->primary == b->primary && a->leaving == b->leaving &&
	       a->gone == b->gone && a->born_ms == b->born_ms &&
	       !strcmp(a->service, b->service) &&
	       !strcmp(a->address, b->address) &&
	       !strcmp(a->availability_zone, b->availability_zone);
}

static void replace_text(char **text, const char *with)
{
	if (*text && !strcmp(*text, with))
		return;
	g_free(*text);
	*text = g_strdup(with);
}

/* Of two upstreams with the same address, the one that started earlier is
 * gone. */
static void mark_older_gone(struct sightings *s, struct sighting *upstream)
{
	struct sighting *other;
	GHashTableIter it;

	g_hash_table_iter_init(&it, s->by_id);
	while (g_hash_table_iter_next(&it, NULL, (void **)&other)) {
		struct sighting *older;

		if (other == upstream ||
		    strcmp(other->address, upstream->address))
			continue;
		older = other->born_ms <= upstream->born_ms ? other : upstream;
		if (older->gone)
			continue;
		older->gone = true;
		older->revision = ++s->revision;
	}
}

static void update(struct sightings *s, struct sighting *upstream,
		   const struct sighting *in)
{
	bool new_claim = in->primary && (!upstream->primary ||
					 upstream->born_ms != in->born_ms);

	s->generation++;
	if (new_claim)
		upstream->claimed_us = in->claimed_us;
	upstream->primary = in->primary;
	upstream->leaving = in->leaving;
	upstream->gone = in->gone;
	upstream->born_ms = in->born_ms;
	replace_text(&upstream->service, in->service);
	replace_text(&upstream->address, in->address);
	replace_text(&upstream->availability_zone, in->availability_zone);
	upstream->revision = ++s->revision;
	if (!upstream->gone)
		mark_older_gone(s, upstream);
}

enum sighting_merge_result sightings_merge(struct sightings *s,
					   const struct sighting *in)
{
	struct sighting *upstream = g_hash_table_lookup(s->by_id, in->id);
	bool changed;

	if (!upstream) {
		upstream = g_new0(struct sighting, 1);
		upstream->id = g_strdup(in->id);
		upstream->heard_us = in->heard_us;
		upstream->sequence = in->sequence;
		g_hash_table_insert(s->by_id, upstream->id, upstream);
		update(s, upstream, in);
		return SIGHTING_CHANGED;
	}
	if (compare_recency(in, upstream) <= 0) {
		if (!compare_recency(in, upstream))
			upstream->heard_us =
				MAX(upstream->heard_us, in->heard_us);
		return SIGHTING_STALE;
	}
	upstream->heard_us = MAX(upstream->heard_us, in->heard_us);
	changed = !same_content(upstream, in);
	upstream->sequence = in->sequence;
	if (!changed)
		return SIGHTING_UNCHANGED;
	update(s, upstream, in);
	return SIGHTING_CHANGED;
}

static struct appointment *get_or_add_appointment(struct sightings *s,
						  const char *service)
{
	struct appointment *a = g_hash_table_lookup(s->appointments, service);

	if (a)
		return a;
	a = g_new0(struct appointment, 1);
	a->service = g_strdup(service);
	a->at_us = INT64_MIN;
	a->found_us = INT64_MIN;
	g_hash_table_insert(s->appointments, a->service, a);
	return a;
}

static bool set_appointed(struct sightings *s, struct appointment *a,
			  const char *id)
{
	if (!g_strcmp0(a->id, id))
		return false;
	g_free(a->id);
	a->id = g_strdup(id);
	s->revision++;
	return true;
}

bool sightings_appoint(struct sightings *s, const char *service, const char *id,
		       uint64_t index, int64_t at_us)
{
	struct appointment *a = get_or_add_appointment(s, service);

	if (a->id && index <= a->index)
		return false;
	a->index = index;
	s->generation++;
	if (a->found_us >= at_us)
		return false;
	a->at_us = at_us;
	return set_appointed(s, a, id);
}

bool sightings_note_found(struct sightings *s, const char *service,
			  const char *id, int64_t asked_us)
{
	struct appointment *a = get_or_add_appointment(s, service);

	if (MAX(a->at_us, a->found_us) >= asked_us)
		return false;
	a->found_us = asked_us;
	s->generation++;
	return set_appointed(s, a, id);
}

void sightings_remove(struct sightings *s, const char *id)
{
	s->generation++;
	g_hash_table_remove(s->by_id, id);
}

const struct sighting *sightings_find(const struct sightings *s, const char *id)
{
	return g_hash_table_lookup(s->by_id, id);
}

static const struct sighting *search_primary(const struct sightings *s,
					     const char *service)
{
	const struct appointment *a =
		g_hash_table_lookup(s->appointments, service);
	const struct sighting *newest = NULL;
	struct sighting *upstream;
	GHashTableIter it;
	int64_t newest_us = INT64_MIN;

	g_hash_table_iter_init(&it, s->by_id);
	while (g_hash_table_iter_next(&it, NULL, (void **)&upstream)) {
		int64_t at_us = upstream->primary ? upstream->claimed_us :
						    INT64_MIN;

		if (upstream->gone || strcmp(upstream->service, service))
			continue;
		if (a && !g_strcmp0(a->id, upstream->id))
			at_us = MAX(at_us, MAX(a->at_us, a->found_us));
		if (at_us > newest_us) {
			newest = upstream;
			newest_us = at_us;
		}
	}
	return newest;
}

const struct sighting *sightings_primary(const struct sightings *s,
					 const char *service)
{
	struct sightings_known_primary *known =
		g_hash_table_lookup(s->primaries, service);

	if (known && known->generation == s->generation)
		return known->upstream;
	if (!known) {
		known = g_new(struct sightings_known_primary, 1);
		g_hash_table_insert(s->primaries, g_strdup(service), known);
	}
	known->generation = s->generation;
	known->upstream = search_primary(s, service);
	return known->upstream;
}

void sightings_expire(struct sightings *s, int64_t now_us,
		      sighting_keep_func keep, void *data)
{
	struct sighting *upstream;
	GHashTableIter it;

	g_hash_table_iter_init(&it, s->by_id);
	while (g_hash_table_iter_next(&it, NULL, (void **)&upstream))
		if (now_us - upstream->heard_us > SIGHTINGS_RETENTION_US &&
		    !keep(upstream, data)) {
			s->generation++;
			g_hash_table_iter_remove(&it);
		}
}
