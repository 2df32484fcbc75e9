#include "store_internal.h"

#include <string.h>
#include <xxhash.h>

/* File header: type (8 bytes), identity (8), checksum (8); then the payload. */
#define FILE_HEADER_LEN 24u
/*
 * Snapshot payload: index, term and number of members, then id and voter flag
 * of each member, 8 bytes each, then the serialised state.
 */
#define SNAPSHOT_HEADER_LEN 24u
#define SNAPSHOT_MEMBER_LEN 16u

static uint64_t file_checksum(const uint8_t *file, const uint8_t *payload,
			      size_t len)
{
	return XXH64(payload, len, XXH64(file, FILE_HEADER_LEN - 8, len));
}

GByteArray *store_file_wrap(const char type[8], uint64_t identity,
			    const GByteArray *payload)
{
	GByteArray *out = g_byte_array_new();

	g_byte_array_append(out, (const guint8 *)type, 8);
	store_put_u64(out, identity);
	store_put_u64(out,
		      file_checksum(out->data, payload->data, payload->len));
	if (payload->len)
		g_byte_array_append(out, payload->data, payload->len);
	return out;
}

const uint8_t *store_file_unwrap(const char type[8], uint64_t identity,
				 const GByteArray *file, const char *name,
				 size_t *len, GError **error)
{
	const uint8_t *payload = file->data + FILE_HEADER_LEN;

	if (file->len < FILE_HEADER_LEN || memcmp(file->data, type, 8) ||
	    store_get_u64(file->data + 16) !=
		    file_checksum(file->data, payload,
				  file->len - FILE_HEADER_LEN)) {
		store_corruption_error(error, name,
				       "its checksum does not match");
		return NULL;
	}
	if (store_get_u64(file->data + 8) != identity) {
		g_set_error(error, CW_ERROR, CW_ERROR_SETTINGS,
			    "%s: the folder belongs to control id "
			    "%" G_GUINT64_FORMAT ", not %" G_GUINT64_FORMAT
			    "; correct the id or the data folder",
			    name, store_get_u64(file->data + 8), identity);
		return NULL;
	}
	*len = file->len - FILE_HEADER_LEN;
	return payload;
}

GByteArray *store_snapshot_pack(uint64_t index, uint64_t term,
				const struct raft_members *members,
				const uint8_t *bytes, size_t len)
{
	GByteArray *out = g_byte_array_new();
	unsigned i;

	store_put_u64(out, index);
	store_put_u64(out, term);
	store_put_u64(out, members->nr);
	for (i = 0; i < members->nr; i++) {
		store_put_u64(out, members->member[i].id);
		store_put_u64(out, members->member[i].voter);
	}
	if (len)
		g_byte_array_append(out, bytes, (guint)len);
	return out;
}

bool store_snapshot_unpack(const uint8_t *payload, size_t len,
			   struct raft_recovered *recovered)
{
	struct raft_members *members = &recovered->members;
	uint64_t nr;
	size_t header_len;
	unsigned i;

	if (len < SNAPSHOT_HEADER_LEN)
		return false;
	nr = store_get_u64(payload + 16);
	if (nr > RAFT_MEMBERS_MAX)
		return false;
	header_len = SNAPSHOT_HEADER_LEN + nr * SNAPSHOT_MEMBER_LEN;
	if (len < header_len)
		return false;
	recovered->snapshot_index = store_get_u64(payload);
	recovered->snapshot_term = store_get_u64(payload + 8);
	members->nr = (unsigned)nr;
	for (i = 0; i < nr; i++) {
		const uint8_t *member_bytes =
			payload + SNAPSHOT_HEADER_LEN + i * SNAPSHOT_MEMBER_LEN;

		members->member[i].id = store_get_u64(member_bytes);
		members->member[i].voter = store_get_u64(member_bytes + 8);
	}
	recovered->snapshot = payload + header_len;
	recovered->snapshot_len = len - header_len;
	return true;
}
