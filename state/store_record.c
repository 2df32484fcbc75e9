#include "store_internal.h"

#include <string.h>
#include <xxhash.h>

/*
 * Log head: magic (8), identity, base index, base term, checksum (8 each).
 * Record: magic (4), data length (4), index (8), term (8), synced end (8),
 * kind (4), checksum of the data (4), checksum of the head (8), data. All
 * little endian. The checksum of a head covers its file offset, so that
 * record-like bytes inside data are not taken for a record.
 */
#define LOG_MAGIC "cwlog\0\0\1"
static const uint8_t record_magic[4] = { 'c', 'w', 'r', 0xa5 };

void store_put_u32(GByteArray *out, uint32_t v)
{
	v = GUINT32_TO_LE(v);
	g_byte_array_append(out, (const guint8 *)&v, sizeof(v));
}

void store_put_u64(GByteArray *out, uint64_t v)
{
	v = GUINT64_TO_LE(v);
	g_byte_array_append(out, (const guint8 *)&v, sizeof(v));
}

uint64_t store_get_u64(const uint8_t *at)
{
	uint64_t v;

	memcpy(&v, at, sizeof(v));
	return GUINT64_FROM_LE(v);
}

static uint32_t get_u32(const uint8_t *at)
{
	uint32_t v;

	memcpy(&v, at, sizeof(v));
	return GUINT32_FROM_LE(v);
}

void store_log_head(GByteArray *out, uint64_t identity, uint64_t base_index,
		    uint64_t base_term)
{
	guint start = out->len;

	g_byte_array_append(out, (const guint8 *)LOG_MAGIC, 8);
	store_put_u64(out, identity);
	store_put_u64(out, base_index);
	store_put_u64(out, base_term);
	store_put_u64(out, XXH64(out->data + start, out->len - start, 0));
}

uint32_t store_data_sum(const struct raft_entry *entry)
{
	return XXH32(entry->data, entry->len, 0);
}

static uint64_t head_sum(const uint8_t *head, off_t at, uint64_t identity)
{
	return XXH64(head, STORE_RECORD_HEAD - 8,
		     (uint64_t)at ^ identity << 32);
}

void store_record_put(GByteArray *out, const struct raft_entry *entry,
		      unsigned kind, off_t at, off_t synced_end,
		      uint64_t identity)
{
	guint start = out->len;

	g_byte_array_append(out, record_magic, sizeof(record_magic));
	store_put_u32(out, (uint32_t)entry->len);
	store_put_u64(out, entry->index);
	store_put_u64(out, entry->term);
	store_put_u64(out, (uint64_t)synced_end);
	store_put_u32(out, kind);
	store_put_u32(out, store_data_sum(entry));
	store_put_u64(out, head_sum(out->data + start, at, identity));
	if (entry->len)
		g_byte_array_append(out, entry->data, (guint)entry->len);
}

static bool head_valid(const GByteArray *log, size_t at, uint64_t identity)
{
	const uint8_t *head = log->data + at;

	return at + STORE_RECORD_HEAD <= log->len &&
	       !memcmp(head, record_magic, sizeof(record_magic)) &&
	       store_get_u64(head + STORE_RECORD_HEAD - 8) ==
		       head_sum(head, (off_t)at, identity);
}

static bool record_valid(const GByteArray *log, size_t at, uint64_t identity,
			 size_t *len)
{
	if (!head_valid(log, at, identity))
		return false;
	*len = get_u32(log->data + at + 4);
	return *len <= STORE_DATA_MAX &&
	       *len <= log->len - at - STORE_RECORD_HEAD &&
	       XXH32(log->data + at + STORE_RECORD_HEAD, *len, 0) ==
		       get_u32(log->data + at + 36);
}

/* Whether a record behind @at states that the bytes at @at were synced. */
static bool was_synced(const GByteArray *log, size_t at, uint64_t identity)
{
	const uint8_t *end = log->data + log->len;
	const uint8_t *from = log->data + at + 1;

	while (from < end) {
		const uint8_t *hit = memmem(from, (size_t)(end - from),
					    record_magic, sizeof(record_magic));

		if (!hit)
			return false;
		if (head_valid(log, (size_t)(hit - log->data), identity) &&
		    store_get_u64(hit + 24) > at)
			return true;
		from = hit + 1;
	}
	return false;
}

/* Takes one valid record; an index that is held replaces what follows it. */
static bool take(struct store *store, const GByteArray *log, size_t at,
		 size_t len, GError **error)
{
	const uint8_t *head = log->data + at;
	struct raft_entry entry = {
		.index = store_get_u64(head + 8),
		.term = store_get_u64(head + 16),
		.kind = get_u32(head + 32),
		.len = len,
	};
	uint64_t place = entry.index - store->base_index;

	if (get_u32(head + 32) == STORE_MARK)
		return true;
	if (get_u32(head + 32) > RAFT_ENTRY_MEMBERS ||
	    entry.index <= store->base_index || place > store->entries->len + 1)
		return store_corrupt(error, "log",
				     "a record is out of sequence");
	if (len)
		entry.data = g_memdup2(head + STORE_RECORD_HEAD, len);
	g_array_set_size(store->entries, (guint)place - 1);
	g_array_append_val(store->entries, entry);
	return true;
}

static bool scan_head(struct store *store, const GByteArray *log,
		      GError **error)
{
	if (log->len < STORE_LOG_HEAD || memcmp(log->data, LOG_MAGIC, 8) ||
	    store_get_u64(log->data + 32) != XXH64(log->data, 32, 0))
		return store_corrupt(error, "log", "its head is damaged");
	if (store_get_u64(log->data + 8) != store->identity)
		return store_corrupt(error, "log", "it is of another node");
	store->base_index = store_get_u64(log->data + 16);
	store->base_term = store_get_u64(log->data + 24);
	return true;
}

bool store_record_scan(struct store *store, const GByteArray *log,
		       GError **error)
{
	size_t at = STORE_LOG_HEAD;
	size_t len;

	if (!scan_head(store, log, error))
		return false;
	while (at < log->len && record_valid(log, at, store->identity, &len)) {
		if (!take(store, log, at, len, error))
			return false;
		at += STORE_RECORD_HEAD + len;
	}
	if (at < log->len && was_synced(log, at, store->identity))
		return store_corrupt(error, "log",
				     "a record that was synced is damaged");
	return true;
}
