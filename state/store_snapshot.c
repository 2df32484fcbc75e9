#include "store_internal.h"

#include <string.h>
#include <xxhash.h>

/* Sealed file: type (8), identity (8), checksum (8), payload. */
#define SEAL_LEN 24u
/* Snapshot payload: index, term, member count, then per member id, voter. */
#define SNAPSHOT_HEAD 24u
#define SNAPSHOT_MEMBER 16u

static uint64_t seal_sum(const uint8_t *file, const uint8_t *payload,
			 size_t len)
{
	return XXH64(payload, len, XXH64(file, SEAL_LEN - 8, len));
}

GByteArray *store_seal(const char type[8], uint64_t identity,
		       const GByteArray *payload)
{
	GByteArray *out = g_byte_array_new();

	g_byte_array_append(out, (const guint8 *)type, 8);
	store_put_u64(out, identity);
	store_put_u64(out, seal_sum(out->data, payload->data, payload->len));
	if (payload->len)
		g_byte_array_append(out, payload->data, payload->len);
	return out;
}

const uint8_t *store_unseal(const char type[8], uint64_t identity,
			    const GByteArray *file, const char *name,
			    size_t *len, GError **error)
{
	const uint8_t *payload = file->data + SEAL_LEN;

	if (file->len < SEAL_LEN || memcmp(file->data, type, 8) ||
	    store_get_u64(file->data + 16) !=
		    seal_sum(file->data, payload, file->len - SEAL_LEN)) {
		store_corrupt(error, name, "its checksum does not match");
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
	*len = file->len - SEAL_LEN;
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
	size_t head;
	unsigned i;

	if (len < SNAPSHOT_HEAD)
		return false;
	nr = store_get_u64(payload + 16);
	if (nr > RAFT_NODES_MAX)
		return false;
	head = SNAPSHOT_HEAD + nr * SNAPSHOT_MEMBER;
	if (len < head)
		return false;
	recovered->snapshot_index = store_get_u64(payload);
	recovered->snapshot_term = store_get_u64(payload + 8);
	members->nr = (unsigned)nr;
	for (i = 0; i < nr; i++) {
		const uint8_t *at =
			payload + SNAPSHOT_HEAD + i * SNAPSHOT_MEMBER;

		members->member[i].id = store_get_u64(at);
		members->member[i].voter = store_get_u64(at + 8);
	}
	recovered->snapshot = payload + head;
	recovered->snapshot_len = len - head;
	return true;
}
