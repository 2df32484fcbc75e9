#include "session_positions.h"

struct key {
	uint64_t session;
	uint64_t cluster;
};

struct entry {
	struct key key;
	struct position pos;
	int64_t stored_us;
	GList *link;
};

static guint key_hash(gconstpointer data)
{
	const struct key *key = data;

	return (guint)(key->session ^ key->session >> 32 ^
		       key->cluster * 0x9E3779B1u);
}

static gboolean key_equal(gconstpointer a, gconstpointer b)
{
	const struct key *x = a, *y = b;

	return x->session == y->session && x->cluster == y->cluster;
}

void session_positions_init(struct session_positions *sp, unsigned capacity,
			    int64_t retention_us, int64_t now_us)
{
	sp->entries = g_hash_table_new_full(key_hash, key_equal, NULL, g_free);
	sp->entries_by_age = g_queue_new();
	sp->capacity = capacity;
	sp->retention_us = retention_us;
	sp->complete_since_us = now_us;
	sp->members_version = 0;
}

void session_positions_finish(struct session_positions *sp)
{
	g_queue_free(sp->entries_by_age);
	g_hash_table_destroy(sp->entries);
}

void session_positions_change_members(struct session_positions *sp,
				      uint64_t version, int64_t now_us,
				      int64_t grace_us)
{
	if (version == sp->members_version)
		return;
	sp->members_version = version;
	sp->complete_since_us = now_us + grace_us;
}

static void remove_oldest(struct session_positions *sp)
{
	struct entry *entry = g_queue_pop_head(sp->entries_by_age);

	g_hash_table_remove(sp->entries, &entry->key);
}

static void remove_expired(struct session_positions *sp, int64_t now_us)
{
	struct entry *oldest;

	while ((oldest = g_queue_peek_head(sp->entries_by_age)) &&
	       now_us - oldest->stored_us > sp->retention_us)
		remove_oldest(sp);
}

/* Positions stored up to the time of the evicted entry may now be missing. */
static void evict_oldest(struct session_positions *sp)
{
	const struct entry *oldest = g_queue_peek_head(sp->entries_by_age);

	sp->complete_since_us =
		MAX(sp->complete_since_us, oldest->stored_us + 1);
	remove_oldest(sp);
}

static struct entry *add_entry(struct session_positions *sp,
			       const struct key *key, struct position pos)
{
	struct entry *entry;

	while (sp->entries_by_age->length >= MAX(sp->capacity, 1))
		evict_oldest(sp);
	entry = g_new0(struct entry, 1);
	entry->key = *key;
	entry->pos = pos;
	g_queue_push_tail(sp->entries_by_age, entry);
	entry->link = sp->entries_by_age->tail;
	g_hash_table_insert(sp->entries, &entry->key, entry);
	return entry;
}

bool session_positions_store(struct session_positions *sp, uint64_t session,
			     uint64_t cluster, struct position pos,
			     uint64_t version, int64_t now_us)
{
	struct key key = { session, cluster };
	struct entry *entry;

	if (version != sp->members_version)
		return false;
	remove_expired(sp, now_us);
	entry = g_hash_table_lookup(sp->entries, &key);
	if (entry) {
		g_queue_unlink(sp->entries_by_age, entry->link);
		g_queue_push_tail_link(sp->entries_by_age, entry->link);
		entry->pos = position_max(entry->pos, pos);
	} else {
		entry = add_entry(sp, &key, pos);
	}
	entry->stored_us = now_us;
	return true;
}

bool session_positions_lookup(struct session_positions *sp, uint64_t session,
			      uint64_t cluster, uint64_t version,
			      int64_t now_us, struct session_answer *answer)
{
	struct key key = { session, cluster };
	const struct entry *entry;

	if (version != sp->members_version)
		return false;
	remove_expired(sp, now_us);
	entry = g_hash_table_lookup(sp->entries, &key);
	answer->found = entry != NULL;
	answer->pos = entry ? entry->pos : (struct position){ 0, 0 };
	answer->complete_for_us =
		CLAMP(now_us - sp->complete_since_us, 0, sp->retention_us);
	return true;
}

void session_quorum_init(struct session_quorum *quorum, unsigned asked)
{
	*quorum = (struct session_quorum){
		.needed = asked / 2 + 1,
		.asked = asked,
		.merged.complete_for_us = INT64_MAX,
	};
}

void session_quorum_add_answer(struct session_quorum *quorum,
			       const struct session_answer *answer)
{
	struct session_answer *merged = &quorum->merged;

	quorum->answered++;
	merged->complete_for_us =
		MIN(merged->complete_for_us, answer->complete_for_us);
	if (!answer->found)
		return;
	merged->pos = merged->found ? position_max(merged->pos, answer->pos) :
				      answer->pos;
	merged->found = true;
}

void session_quorum_add_refusal(struct session_quorum *quorum)
{
	quorum->refused++;
}

bool session_quorum_reached(const struct session_quorum *quorum)
{
	return quorum->answered >= quorum->needed;
}

bool session_quorum_failed(const struct session_quorum *quorum)
{
	return quorum->refused + quorum->needed > quorum->asked;
}
