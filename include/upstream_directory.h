#ifndef UPSTREAM_DIRECTORY_H
#define UPSTREAM_DIRECTORY_H

#include "position.h"
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: What one daemon knows about upstreams, and when it learned it.
 *
 * Soft state from announcements, probes and the position answers behind
 * statements. Which upstream is the primary of a term is decided by the
 * control leader and set with directory_set_primary(); an announcement alone
 * never makes one a primary.
 */

#define UPSTREAM_NONE (-1)
#define CLUSTER_NONE (-1)

struct upstream_announcement {
	const char *name;
	const char *address;
	uint16_t port;
	const char *availability_zone;
	const char *service;
	const char *cluster;
	const char *database;
	struct position position;
	bool primary;
	bool leaving;
};

/**
 * struct upstream - one database
 * @cluster: handle of its cluster
 * @announced_us: arrival of the last announcement, less its relay age
 * @probed_us: arrival of the last answer to a probe, INT64_MIN if none
 * @received: log received, of a primary: log written
 * @replayed: log visible to reads
 * @learned_us: when @replayed was learned
 * @fresh_us: reads here see everything committed before this time;
 *            INT64_MIN if nothing is shown
 * @says_primary: what the upstream says of itself
 * @reachable: result of the last probes
 * @in_flight: statements this daemon has running there
 * @returned_us: when it came back into the read set, for the ramp
 */
struct upstream {
	char *name;
	char *address;
	uint16_t port;
	char *availability_zone;
	char *database;
	int cluster;
	int64_t announced_us;
	int64_t probed_us;
	struct position received;
	struct position replayed;
	int64_t learned_us;
	int64_t fresh_us;
	bool says_primary;
	bool leaving;
	bool reachable;
	unsigned missed_probes;
	unsigned in_flight;
	int64_t returned_us;
};

#define PRIMARY_SAMPLES 64

struct primary_sample {
	int64_t at_us;
	struct position pos;
};

/**
 * struct cluster - one replication group
 * @upstreams: int handles of its databases
 * @primary: handle, UPSTREAM_NONE while fenced or unknown
 * @primary_name: name set by the control leader, NULL if none
 * @term: term of @primary
 * @samples: positions of the primary, ascending by the time they were asked
 *           for; the older, the further apart
 */
struct cluster {
	char *service;
	char *name;
	GArray *upstreams;
	int primary;
	char *primary_name;
	uint32_t term;
	bool fenced;
	struct term_history history;
	struct primary_sample samples[PRIMARY_SAMPLES];
	unsigned nr_samples;
};

struct upstream_directory {
	GPtrArray *upstreams;
	GPtrArray *clusters;
	GHashTable *upstream_by_name;
	GHashTable *cluster_by_name;
	int64_t expiry_us;
};

void directory_init(struct upstream_directory *dir, int64_t expiry_us);
void directory_finish(struct upstream_directory *dir);

/**
 * directory_announce() - take in an announcement
 * @age_us: time it spent on the way through other daemons
 * Return: handle; UPSTREAM_NONE if it is older than what is known or
 *         contradicts the recorded cluster of that name
 */
int directory_announce(struct upstream_directory *dir,
		       const struct upstream_announcement *ann, int64_t age_us,
		       int64_t now_us);

int directory_cluster(struct upstream_directory *dir, const char *service,
		      const char *cluster);
struct cluster *directory_cluster_at(const struct upstream_directory *dir,
				     int handle);
struct upstream *directory_upstream_at(const struct upstream_directory *dir,
				       int handle);
int directory_find(const struct upstream_directory *dir, const char *name);

/**
 * directory_set_primary() - what the control leader says of a cluster
 * @primary: upstream name; unknown names are remembered until announced
 */
void directory_set_primary(struct upstream_directory *dir, int cluster,
			   const char *primary, uint32_t term, bool fenced);

/**
 * directory_note_position() - an upstream answered a position query
 * @asked_us: when the query was sent; the answer is true of a later time
 * @lease_valid: whether the lease was valid when the answer came; a sample
 *               of a primary counts as a proof of freshness only then
 */
void directory_note_position(struct upstream_directory *dir, int upstream,
			     bool in_recovery, struct position received,
			     struct position replayed, int64_t asked_us,
			     int64_t now_us, bool lease_valid);

void directory_note_probe(struct upstream_directory *dir, int upstream,
			  bool answered, int64_t now_us);

/**
 * directory_has_diverged() - replayed log that a change of primary cut off
 *
 * True of a former primary, or of a replica of it, that went past the end of
 * its term and has not been rewound: reads there show writes that were lost.
 */
bool directory_has_diverged(const struct upstream_directory *dir, int upstream);

/** directory_is_current() - announced or probed within the expiry */
bool directory_is_current(const struct upstream_directory *dir, int upstream,
			  int64_t now_us);

#endif
