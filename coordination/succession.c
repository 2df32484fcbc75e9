#include "succession.h"

#include <string.h>

void succession_init(struct succession *s)
{
	memset(s, 0, sizeof(*s));
	s->replaced =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

void succession_finish(struct succession *s)
{
	g_hash_table_destroy(s->replaced);
	g_free(s->primary);
	g_free(s->requested);
}

void succession_restore(struct succession *s, const char *primary,
			struct position base, uint32_t ended_term)
{
	g_free(s->primary);
	s->primary = g_strdup(primary);
	s->base = base;
	s->ended_term = ended_term;
}

void succession_restore_replaced(struct succession *s, const char *id)
{
	g_hash_table_add(s->replaced, g_strdup(id));
}

void succession_set_newest_term(struct succession *s, uint32_t term)
{
	s->newest_term = term;
}

void succession_note_position(struct succession *s, const char *id,
			      struct position position, bool settled)
{
	if (g_strcmp0(s->primary, id) || !position.term)
		return;
	s->position = position_max(s->position, position);
	if (position.term > s->ended_term)
		return;
	/* It commits in this term, which so did not end before it led. */
	if (s->settled_position.term == position.term &&
	    position.lsn > s->settled_position.lsn) {
		s->ended_term = position.term - 1;
		s->base = (struct position){ 0 };
		return;
	}
	if (settled)
		s->settled_position =
			position_max(s->settled_position, position);
	s->base = position_max(s->base, position);
}

void succession_request(struct succession *s, const char *id,
			struct position position, uint32_t newest_term)
{
	g_free(s->requested);
	s->requested = g_strdup(id);
	s->requested_position = position;
	s->requested_term = newest_term;
}

/*
 * A position of the term that ended is at most the end of the log at the
 * promotion, so what is found here errs on the safe side.
 */
static void set_base(struct succession *s, const char *id,
		     struct position position, struct position former)
{
	s->base = (struct position){ 0 };
	s->ended_term = former.term ? former.term : s->newest_term;
	if (!g_strcmp0(s->requested, id) && s->requested_position.term &&
	    s->requested_term >= former.term) {
		s->base = s->requested_position;
		s->ended_term = s->requested_term;
	}
	if (position.term && position.term <= s->ended_term)
		s->base = position_max(s->base, position);
}

void succession_change(struct succession *s, const char *id,
		       struct position position, struct position former)
{
	if (!g_strcmp0(s->primary, id))
		return;
	if (s->primary) {
		g_hash_table_add(s->replaced, g_strdup(s->primary));
		set_base(s, id, position, position_max(s->position, former));
	}
	g_hash_table_remove(s->replaced, id);
	g_clear_pointer(&s->requested, g_free);
	g_free(s->primary);
	s->primary = g_strdup(id);
	s->position = position;
	s->settled_position = (struct position){ 0 };
}

bool succession_diverged(const struct succession *s, const char *id,
			 struct position position)
{
	bool replaced = g_hash_table_contains(s->replaced, id);

	if (!g_strcmp0(s->primary, id))
		return false;
	/* A log without a known position may be of a former primary that has
	 * come back under another id. */
	if (!position.term)
		return replaced || s->newest_term || s->ended_term;
	if (s->base.term && position.term == s->base.term)
		return position.lsn > s->base.lsn;
	/* Where the older terms ended is not known. */
	if (position.term < s->newest_term)
		return true;
	return position.term <= s->ended_term && (replaced || s->base.term);
}
