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

/* Before the packed announcements: a checksum of what follows it, and the
 * wall clock of the save in milliseconds; bytes. */
#define SUM_LEN 8u
#define HEAD_LEN 16u
/* What has not changed is saved again after this time, so that its age tells
 * how long this VM was away. */
#define SAVE_AGAIN_US (SIGHTINGS_KEEP_US / 4)

static char *file_of(const struct control_node *node)
{
	return g_build_filename(node->folder, "sightings", NULL);
}

static GByteArray *pack(struct control_node *node)
{
	GByteArray *out = g_byte_array_new();
	Wire__View view = WIRE__VIEW__INIT;
	uint64_t saved_ms = GUINT64_TO_LE(g_get_real_time() / 1000);
	uint64_t sum;

	control_view_fill(node, 0, &view);
	control_roster_fill(node, 0, &view);
	g_byte_array_set_size(out,
			      HEAD_LEN + wire__view__get_packed_size(&view));
	wire__view__pack(&view, out->data + HEAD_LEN);
	control_view_clear(&view);
	memcpy(out->data + SUM_LEN, &saved_ms, sizeof(saved_ms));
	sum = GUINT64_TO_LE(XXH64(out->data + SUM_LEN, out->len - SUM_LEN, 0));
	memcpy(out->data, &sum, sizeof(sum));
	return out;
}

static bool write_whole(const char *path, const GByteArray *bytes)
{
	int fd = open(path, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
	bool ok = fd >= 0 &&
		  write(fd, bytes->data, bytes->len) == (ssize_t)bytes->len &&
		  !fsync(fd);

	if (fd >= 0)
		close(fd);
	return ok;
}

/* What is lost here is heard again: a failure costs time only. */
void control_memory_save(struct control_node *node, int64_t now_us)
{
	g_autofree char *path = file_of(node);
	g_autofree char *fresh = g_strconcat(path, ".new", NULL);
	GByteArray *bytes;

	if ((node->saved_revision == node->sightings.revision &&
	     node->saved_roster == node->roster_revision &&
	     now_us < node->save_again_us) ||
	    !node->raft || now_us < node->save_after_us)
		return;
	node->saved_roster = node->roster_revision;
	node->saved_revision = node->sightings.revision;
	node->save_after_us = now_us + CONTROL_SAVE_US;
	node->save_again_us = now_us + SAVE_AGAIN_US;
	bytes = pack(node);
	if (!write_whole(fresh, bytes) || rename(fresh, path))
		event_log("sightings_not_saved", "{s:s}", "why",
			  g_strerror(errno));
	g_byte_array_free(bytes, TRUE);
}

/*
 * Of what was saved nobody knows how old it is: it names upstreams to try, but
 * none counts as heard of late.
 */
static void take(struct control_node *node, const Wire__View *view)
{
	int64_t now_us = clock_now_us() - PROMOTION_CANDIDATE_US;
	size_t i;

	for (i = 0; i < view->n_roster; i++)
		control_roster_remember(node, view->roster[i], clock_now_us());
	for (i = 0; i < view->n_sightings; i++)
		control_take_sighting(node, view->sightings[i], now_us);
	for (i = 0; i < view->n_primaries; i++)
		sightings_appoint(&node->sightings, view->primaries[i]->service,
				  view->primaries[i]->id,
				  now_us - (int64_t)view->primaries[i]->age_us);
}

/*
 * The others have forgotten what left longer ago than they remember it: a
 * file from before would bring it back.
 */
static bool is_current(const char *bytes)
{
	uint64_t saved_ms;
	int64_t age_ms;

	memcpy(&saved_ms, bytes + SUM_LEN, sizeof(saved_ms));
	age_ms = g_get_real_time() / 1000 - (int64_t)GUINT64_FROM_LE(saved_ms);
	if (llabs(age_ms) < SIGHTINGS_KEEP_US / 1000)
		return true;
	event_log_always("sightings_outdated", "{s:I}", "age_ms",
			 (json_int_t)age_ms);
	return false;
}

void control_memory_load(struct control_node *node)
{
	g_autofree char *path = file_of(node);
	g_autofree char *bytes = NULL;
	Wire__View *view = NULL;
	uint64_t sum;
	gsize len;

	if (!g_file_get_contents(path, &bytes, &len, NULL))
		return;
	if (len >= HEAD_LEN) {
		memcpy(&sum, bytes, sizeof(sum));
		if (GUINT64_FROM_LE(sum) ==
		    XXH64(bytes + SUM_LEN, len - SUM_LEN, 0))
			view = wire__view__unpack(NULL, len - HEAD_LEN,
						  (const uint8_t *)bytes +
							  HEAD_LEN);
	}
	if (!view) {
		event_log_always("sightings_unreadable", "{s:I}", "bytes",
				 (json_int_t)len);
		return;
	}
	if (is_current(bytes)) {
		take(node, view);
		event_log_always("sightings_loaded", "{s:i}", "upstreams",
				 (int)view->n_sightings);
	}
	wire__view__free_unpacked(view, NULL);
}
