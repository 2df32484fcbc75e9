#include "sightings.h"

#include <string.h>

static void sighting_free(void *data)
{
	struct sighting *one = data;

	g_free(one->id);
	g_free(one->service);
	g_free(one->address);
	g_free(one->availability_zone);
	g_free(one);
}

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
	s->revision = 0;
}

void sightings_finish(struct sightings *s)
{
	g_hash_table_destroy(s->by_id);
	g_hash_table_destroy(s->appointments);
}

static int compare_age(const struct sighting *a, const struct sighting *b)
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

static void replace(char **text, const char *with)
{
	if (*text && !strcmp(*text, with))
		return;
	g_free(*text);
	*text = g_strdup(with);
}

/* A younger upstream at an address means that the older one is gone. */
static void take_address(struct sightings *s, struct sighting *one)
{
	struct sighting *other;
	GHashTableIter it;

	g_hash_table_iter_init(&it, s->by_id);
	while (g_hash_table_iter_next(&it, NULL, (void **)&other)) {
		struct sighting *loser;

		if (other == one || strcmp(other->address, one->address))
			continue;
		loser = other->born_ms <= one->born_ms ? other : one;
		if (loser->gone)
			continue;
		loser->gone = true;
		loser->revision = ++s->revision;
	}
}

static void update(struct sightings *s, struct sighting *one,
		   const struct sighting *in)
{
	bool claims_anew = in->primary &&
			   (!one->primary || one->born_ms != in->born_ms);

	if (claims_anew)
		one->claimed_us = in->claimed_us;
	one->primary = in->primary;
	one->leaving = in->leaving;
	one->gone = in->gone;
	one->born_ms = in->born_ms;
	replace(&one->service, in->service);
	replace(&one->address, in->address);
	replace(&one->availability_zone, in->availability_zone);
	one->revision = ++s->revision;
	if (!one->gone)
		take_address(s, one);
}

enum sighting_news sightings_merge(struct sightings *s,
				   const struct sighting *in)
{
	struct sighting *one = g_hash_table_lookup(s->by_id, in->id);
	bool changed;

	if (!one) {
		one = g_new0(struct sighting, 1);
		one->id = g_strdup(in->id);
		one->heard_us = in->heard_us;
		one->sequence = in->sequence;
		g_hash_table_insert(s->by_id, one->id, one);
		update(s, one, in);
		return SIGHTING_CHANGED;
	}
	if (compare_age(in, one) <= 0) {
		if (!compare_age(in, one))
			one->heard_us = MAX(one->heard_us, in->heard_us);
		return SIGHTING_OLD;
	}
	one->heard_us = MAX(one->heard_us, in->heard_us);
	changed = !same_content(one, in);
	one->sequence = in->sequence;
	if (!changed)
		return SIGHTING_SEEN;
	update(s, one, in);
	return SIGHTING_CHANGED;
}

bool sightings_appoint(struct sightings *s, const char *service, const char *id,
		       int64_t at_us)
{
	struct appointment *a = g_hash_table_lookup(s->appointments, service);

	if (a && a->at_us >= at_us)
		return false;
	if (a && !strcmp(a->id, id)) {
		a->at_us = at_us;
		return false;
	}
	a = g_new0(struct appointment, 1);
	a->service = g_strdup(service);
	a->id = g_strdup(id);
	a->at_us = at_us;
	g_hash_table_replace(s->appointments, a->service, a);
	s->revision++;
	return true;
}

const struct sighting *sightings_find(const struct sightings *s, const char *id)
{
	return g_hash_table_lookup(s->by_id, id);
}

const struct sighting *sightings_primary(const struct sightings *s,
					 const char *service)
{
	const struct appointment *a =
		g_hash_table_lookup(s->appointments, service);
	const struct sighting *best = NULL;
	struct sighting *one;
	GHashTableIter it;
	int64_t best_us = INT64_MIN;

	g_hash_table_iter_init(&it, s->by_id);
	while (g_hash_table_iter_next(&it, NULL, (void **)&one)) {
		int64_t at_us = one->primary ? one->claimed_us : INT64_MIN;

		if (one->gone || strcmp(one->service, service))
			continue;
		if (a && !strcmp(a->id, one->id))
			at_us = MAX(at_us, a->at_us);
		if (at_us > best_us) {
			best = one;
			best_us = at_us;
		}
	}
	return best;
}

void sightings_expire(struct sightings *s, int64_t now_us, sighting_keep keep,
		      void *data)
{
	struct sighting *one;
	GHashTableIter it;

	g_hash_table_iter_init(&it, s->by_id);
	while (g_hash_table_iter_next(&it, NULL, (void **)&one))
		if (now_us - one->heard_us > SIGHTINGS_KEEP_US &&
		    !keep(one, data))
			g_hash_table_iter_remove(&it);
}
