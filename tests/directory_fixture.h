#ifndef DIRECTORY_FIXTURE_H
#define DIRECTORY_FIXTURE_H

#include "upstream_directory.h"

#define MS 1000ll
#define SECOND 1000000ll

/** fixture_announcement() - announcement of a replica in cluster 0 */
static inline struct upstream_announcement
fixture_announcement(const char *name)
{
	return (struct upstream_announcement){
		.name = name,
		.address = "10.0.0.1",
		.port = 5432,
		.availability_zone = "gl-west",
		.service = "grindplan-db",
		.cluster = "west",
		.database = name,
		.position = { 1, 1 },
	};
}

/**
 * fixture_cluster() - set up a directory with cluster 0
 *
 * Its primary is "p" (handle 0), its replicas are "a" (1) and "b" (2).
 */
static inline void fixture_cluster(struct upstream_directory *dir,
				   int64_t now_us)
{
	const char *const names[] = { "p", "a", "b" };
	struct upstream_announcement ann;
	int i, handle;

	directory_init(dir, 15 * SECOND);
	for (i = 0; i < 3; i++) {
		ann = fixture_announcement(names[i]);
		handle = directory_record_announcement(dir, &ann, 0, now_us);
		directory_record_probe(dir, handle, true, now_us);
		directory_upstream_at(dir, handle)->ramp_start_us =
			now_us - 60 * SECOND;
	}
	directory_set_primary(dir, 0, "p", 1, false);
}

/** fixture_note_position() - record a position in the current term, with a
 * valid lease */
static inline void fixture_note_position(struct upstream_directory *dir,
					 int upstream, uint64_t lsn,
					 int64_t asked_us, int64_t now_us)
{
	const struct cluster *cl = directory_cluster_at(dir, 0);
	struct position pos = { cl->term, lsn };

	directory_record_position(dir, upstream, upstream != cl->primary, pos,
				  pos, asked_us, now_us, true);
}

#endif
