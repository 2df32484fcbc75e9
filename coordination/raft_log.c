#include "raft_internal.h"

static void clear_entry(void *entry)
{
	g_free(((struct raft_entry *)entry)->data);
}

void raft_log_init(struct raft_log *log, uint64_t base_index,
		   uint64_t base_term)
{
	log->base_index = base_index;
	log->base_term = base_term;
	log->entries = g_array_new(FALSE, FALSE, sizeof(struct raft_entry));
	g_array_set_clear_func(log->entries, clear_entry);
}

void raft_log_finish(struct raft_log *log)
{
	g_array_free(log->entries, TRUE);
}

uint64_t raft_log_last(const struct raft_log *log)
{
	return log->base_index + log->entries->len;
}

struct raft_entry *raft_log_get(const struct raft_log *log, uint64_t index)
{
	if (index <= log->base_index || index > raft_log_last(log))
		return NULL;
	return &g_array_index(log->entries, struct raft_entry,
			      index - log->base_index - 1);
}

uint64_t raft_log_term(const struct raft_log *log, uint64_t index)
{
	const struct raft_entry *entry = raft_log_get(log, index);

	if (entry)
		return entry->term;
	return index == log->base_index ? log->base_term : 0;
}

uint64_t raft_log_last_term(const struct raft_log *log)
{
	return raft_log_term(log, raft_log_last(log));
}

void raft_log_add(struct raft_log *log, const struct raft_entry *entry)
{
	struct raft_entry copy = *entry;

	g_assert(entry->index == raft_log_last(log) + 1);
	copy.data = entry->len ? g_memdup2(entry->data, entry->len) : NULL;
	g_array_append_val(log->entries, copy);
}

void raft_log_truncate(struct raft_log *log, uint64_t from)
{
	if (from > log->base_index && from <= raft_log_last(log))
		g_array_set_size(log->entries, from - log->base_index - 1);
}

void raft_log_compact(struct raft_log *log, uint64_t index)
{
	uint64_t term = raft_log_term(log, index);

	if (index <= log->base_index || index > raft_log_last(log))
		return;
	g_array_remove_range(log->entries, 0, index - log->base_index);
	log->base_index = index;
	log->base_term = term;
}

void raft_log_reset(struct raft_log *log, uint64_t index, uint64_t term)
{
	g_array_set_size(log->entries, 0);
	log->base_index = index;
	log->base_term = term;
}
