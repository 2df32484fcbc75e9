#include "internal.h"

#include "clock.h"
#include "event_log.h"
#include "promotion_policy.h"

#include <errno.h>
#include <fcntl.h>
#include <jansson.h>
#include <stdlib.h>
#include <unistd.h>
#include <xxhash.h>

/* The file starts with a checksum of the rest and the wall clock time of the
 * save in milliseconds. The packed view follows. Sizes in bytes. */
#define CHECKSUM_LEN 8u
#define HEADER_LEN 16u
/* Unchanged contents are saved again after this time, so that the age of the
 * file tells how long this VM was down, microseconds. */
#define REFRESH_INTERVAL_US (SIGHTINGS_RETENTION_US / 4)

static char *file_path(const struct control_node *node)
{
	return g_build_filename(node->folder, "sightings", NULL);
}

static GByteArray *pack_file(struct control_node *node)
{
	GByteArray *out = g_byte_array_new();
	Wire__View view = WIRE__VIEW__INIT;
	uint64_t saved_ms = GUINT64_TO_LE(g_get_real_time() / 1000);
	uint64_t checksum;

	control_view_fill(node, 0, &view);
	control_roster_fill(node, 0, &view);
	g_byte_array_set_size(out,
			      HEADER_LEN + wire__view__get_packed_size(&view));
	wire__view__pack(&view, out->data + HEADER_LEN);
	control_view_clear(&view);
	memcpy(out->data + CHECKSUM_LEN, &saved_ms, sizeof(saved_ms));
	checksum = GUINT64_TO_LE(
		XXH64(out->data + CHECKSUM_LEN, out->len - CHECKSUM_LEN, 0));
	memcpy(out->data, &checksum, sizeof(checksum));
	return out;
}

static bool write_and_sync(const char *path, const GByteArray *bytes)
{
	int fd = open(path, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
	bool ok = fd >= 0 &&
		  write(fd, bytes->data, bytes->len) == (ssize_t)bytes->len &&
		  !fsync(fd);

	if (fd >= 0)
		close(fd);
	return ok;
}

/* A failed save only delays recovery after a restart, since upstreams and
 * daemons announce themselves again. */
void control_sightings_save(struct control_node *node, int64_t now_us)
{
	g_autofree char *path = file_path(node);
	g_autofree char *new_path = g_strconcat(path, ".new", NULL);
	GByteArray *bytes;

	if ((node->saved_revision == node->sightings.revision &&
	     node->saved_roster_revision == node->roster_revision &&
	     now_us < node->refresh_save_us) ||
	    !node->raft || now_us < node->earliest_save_us)
		return;
	node->saved_roster_revision = node->roster_revision;
	node->saved_revision = node->sightings.revision;
	node->earliest_save_us = now_us + CONTROL_SAVE_INTERVAL_US;
	node->refresh_save_us = now_us + REFRESH_INTERVAL_US;
	bytes = pack_file(node);
	if (!write_and_sync(new_path, bytes) || rename(new_path, path))
		event_log("sightings_not_saved", "{s:s}", "why",
			  g_strerror(errno));
	g_byte_array_free(bytes, TRUE);
}

/*
 * How long ago the saved upstreams were last heard from is unknown. They are
 * used as addresses to try, but are merged with an age at which none counts as
 * recently heard.
 */
static void restore(struct control_node *node, const Wire__View *view)
{
	int64_t now_us = clock_now_us() - PROMOTION_CANDIDATE_MAX_SILENCE_US;
	size_t i;

	for (i = 0; i < view->n_roster; i++)
		control_roster_restore(node, view->roster[i], clock_now_us());
	for (i = 0; i < view->n_sightings; i++)
		control_merge_sighting(node, view->sightings[i], now_us);
	for (i = 0; i < view->n_primaries; i++)
		sightings_appoint(&node->sightings, view->primaries[i]->service,
				  view->primaries[i]->id,
				  view->primaries[i]->index,
				  now_us - (int64_t)view->primaries[i]->age_us);
}

/*
 * Other processes forget an upstream SIGHTINGS_RETENTION_US after its last
 * announcement. An older file would bring back one that has left since.
 */
static bool is_recent(const char *bytes)
{
	uint64_t saved_ms;
	int64_t age_ms;

	memcpy(&saved_ms, bytes + CHECKSUM_LEN, sizeof(saved_ms));
	age_ms = g_get_real_time() / 1000 - (int64_t)GUINT64_FROM_LE(saved_ms);
	if (llabs(age_ms) < SIGHTINGS_RETENTION_US / 1000)
		return true;
	event_log_always("sightings_outdated", "{s:I}", "age_ms",
			 (json_int_t)age_ms);
	return false;
}

void control_sightings_load(struct control_node *node)
{
	g_autofree char *path = file_path(node);
	g_autofree char *bytes = NULL;
	Wire__View *view = NULL;
	uint64_t checksum;
	gsize len;

	if (!g_file_get_contents(path, &bytes, &len, NULL))
		return;
	if (len >= HEADER_LEN) {
		memcpy(&checksum, bytes, sizeof(checksum));
		if (GUINT64_FROM_LE(checksum) ==
		    XXH64(bytes + CHECKSUM_LEN, len - CHECKSUM_LEN, 0))
			view = wire__view__unpack(NULL, len - HEADER_LEN,
						  (const uint8_t *)bytes +
							  HEADER_LEN);
	}
	if (!view) {
		event_log_always("sightings_unreadable", "{s:I}", "bytes",
				 (json_int_t)len);
		return;
	}
	if (is_recent(bytes)) {
		restore(node, view);
		event_log_always("sightings_loaded", "{s:i}", "upstreams",
				 (int)view->n_sightings);
	}
	wire__view__free_unpacked(view, NULL);
}
