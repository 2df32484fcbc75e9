#include "store_internal.h"

#include <string.h>
#include <xxhash.h>

/*
 * Header of the log file: magic (8 bytes), identity, base index, base term,
 * checksum (8 bytes each).
 * Record: magic (4), data length (4), index (8), term (8), synced end (8),
 * kind (4), checksum of the data (4), checksum of the header (8), data.
 * All integers are little endian. The checksum of a record's header also covers
 * its file offset, so that a copy of a record inside the data of another one is
 * not mistaken for a record.
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

uint64_t store_get_u64(const uint8_t *bytes)
{
	uint64_t v;

	memcpy(&v, bytes, sizeof(v));
	return GUINT64_FROM_LE(v);
}

static uint32_t get_u32(const uint8_t *bytes)
{
	uint32_t v;

	memcpy(&v, bytes, sizeof(v));
	return GUINT32_FROM_LE(v);
}

void store_log_header_put(GByteArray *out, uint64_t identity,
			  uint64_t base_index, uint64_t base_term)
{
	guint start = out->len;

	g_byte_array_append(out, (const guint8 *)LOG_MAGIC, 8);
	store_put_u64(out, identity);
	store_put_u64(out, base_index);
	store_put_u64(out, base_term);
	store_put_u64(out, XXH64(out->data + start, out->len - start, 0));
}

uint32_t store_data_checksum(const struct raft_entry *entry)
{
	return XXH32(entry->data, entry->len, 0);
}

static uint64_t header_checksum(const uint8_t *header, off_t offset,
				uint64_t identity)
{
	return XXH64(header, STORE_RECORD_HEADER_LEN - 8,
		     (uint64_t)offset ^ identity << 32);
}

void store_record_put(GByteArray *out, const struct raft_entry *entry,
		      unsigned kind, off_t offset, off_t synced_end,
		      uint64_t identity)
{
	guint start = out->len;

	g_byte_array_append(out, record_magic, sizeof(record_magic));
	store_put_u32(out, (uint32_t)entry->len);
	store_put_u64(out, entry->index);
	store_put_u64(out, entry->term);
	store_put_u64(out, (uint64_t)synced_end);
	store_put_u32(out, kind);
	store_put_u32(out, store_data_checksum(entry));
	store_put_u64(out,
		      header_checksum(out->data + start, offset, identity));
	if (entry->len)
		g_byte_array_append(out, entry->data, (guint)entry->len);
}

static bool header_valid(const GByteArray *log, size_t offset,
			 uint64_t identity)
{
	const uint8_t *header = log->data + offset;

	return offset + STORE_RECORD_HEADER_LEN <= log->len &&
	       !memcmp(header, record_magic, sizeof(record_magic)) &&
	       store_get_u64(header + STORE_RECORD_HEADER_LEN - 8) ==
		       header_checksum(header, (off_t)offset, identity);
}

static bool record_valid(const GByteArray *log, size_t offset,
			 uint64_t identity, size_t *len)
{
	if (!header_valid(log, offset, identity))
		return false;
	*len = get_u32(log->data + offset + 4);
	return *len <= STORE_DATA_MAX &&
	       *len <= log->len - offset - STORE_RECORD_HEADER_LEN &&
	       XXH32(log->data + offset + STORE_RECORD_HEADER_LEN, *len, 0) ==
		       get_u32(log->data + offset + 36);
}

/* Whether a record after @offset lists the bytes at @offset as synced. */
static bool covered_by_later_sync(const GByteArray *log, size_t offset,
				  uint64_t identity)
{
	const uint8_t *end = log->data + log->len;
	const uint8_t *next = log->data + offset + 1;

	while (next < end) {
		const uint8_t *match = memmem(next, (size_t)(end - next),
					      record_magic,
					      sizeof(record_magic));

		if (!match)
			return false;
		if (header_valid(log, (size_t)(match - log->data), identity) &&
		    store_get_u64(match + 24) > offset)
			return true;
		next = match + 1;
	}
	return false;
}

/*
 * Adds the entry of one valid record. An entry whose index is already present
 * replaces that entry and all later ones.
 */
static bool add_entry(struct store *store, const GByteArray *log, size_t offset,
		      size_t len, GError **error)
{
	const uint8_t *header = log->data + offset;
	struct raft_entry entry = {
		.index = store_get_u64(header + 8),
		.term = store_get_u64(header + 16),
		.kind = get_u32(header + 32),
		.len = len,
	};
	uint64_t ordinal = entry.index - store->base_index;

	if (get_u32(header + 32) == STORE_SYNC_MARK)
		return true;
	if (get_u32(header + 32) > RAFT_ENTRY_MEMBERS ||
	    entry.index <= store->base_index ||
	    ordinal > store->entries->len + 1)
		return store_corruption_error(error, "log",
					      "a record is out of sequence");
	if (len)
		entry.data = g_memdup2(header + STORE_RECORD_HEADER_LEN, len);
	g_array_set_size(store->entries, (guint)ordinal - 1);
	g_array_append_val(store->entries, entry);
	return true;
}

static bool read_log_header(struct store *store, const GByteArray *log,
			    GError **error)
{
	if (log->len < STORE_LOG_HEADER_LEN ||
	    memcmp(log->data, LOG_MAGIC, 8) ||
	    store_get_u64(log->data + 32) != XXH64(log->data, 32, 0))
		return store_corruption_error(error, "log",
					      "its header is damaged");
	if (store_get_u64(log->data + 8) != store->identity)
		return store_corruption_error(error, "log",
					      "it belongs to another node");
	store->base_index = store_get_u64(log->data + 16);
	store->base_term = store_get_u64(log->data + 24);
	return true;
}

bool store_record_scan(struct store *store, const GByteArray *log,
		       GError **error)
{
	size_t offset = STORE_LOG_HEADER_LEN;
	size_t len;

	if (!read_log_header(store, log, error))
		return false;
	while (offset < log->len &&
	       record_valid(log, offset, store->identity, &len)) {
		if (!add_entry(store, log, offset, len, error))
			return false;
		offset += STORE_RECORD_HEADER_LEN + len;
	}
	if (offset < log->len &&
	    covered_by_later_sync(log, offset, store->identity))
		return store_corruption_error(
			error, "log", "a record that was synced is damaged");
	return true;
}
