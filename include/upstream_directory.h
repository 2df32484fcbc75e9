#ifndef UPSTREAM_DIRECTORY_H
#define UPSTREAM_DIRECTORY_H

#include "position.h"
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: A daemon's knowledge of upstreams and clusters, and its age.
 *
 * Soft state from announcements, probes and the positions that databases report
 * with their answers to statements. The control leader decides which upstream
 * is the primary of a term; directory_set_primary() records it. An announcement
 * alone never makes an upstream the primary.
 */

/** Handle that refers to no upstream. */
#define UPSTREAM_NONE (-1)
/** Handle that refers to no cluster. */
#define CLUSTER_NONE (-1)

/** struct upstream_announcement - state that an upstream announces of itself */
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
 * @announced_us: when the last announcement was sent: its arrival less the time
 *                it spent at other daemons; INT64_MIN if none
 * @probed_us: arrival of the last answer to a probe, INT64_MIN if none
 * @received: end of the log received, or written by a primary
 * @replayed: end of the log visible to reads
 * @position_reported_us: when @replayed was last reported, INT64_MIN if never
 * @fresh_as_of_us: reads here see everything committed before this time;
 *            INT64_MIN if unknown
 * @says_primary: whether the upstream claims to be a primary
 * @wrote_own_log: whether it was a primary when it reported @received and
 *                 @replayed; announcements do not change it
 * @leaving: whether the upstream has announced that it is leaving
 * @reachable: result of the last probes
 * @missed_probes: consecutive probes without an answer
 * @in_flight: statements of this daemon that are running on the upstream
 * @ramp_start_us: when it was added, became available again or caught up after
 *                 a large lag; its share of the reads rises from then on
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
	int64_t position_reported_us;
	int64_t fresh_as_of_us;
	bool says_primary;
	bool wrote_own_log;
	bool leaving;
	bool reachable;
	unsigned missed_probes;
	unsigned in_flight;
	int64_t ramp_start_us;
};

/** Maximum number of samples of a primary's position. */
#define PRIMARY_SAMPLES_MAX 64

/**
 * struct primary_sample - a position of the primary
 * @asked_at_us: when the position was asked for
 */
struct primary_sample {
	int64_t asked_at_us;
	struct position pos;
};

/**
 * struct cluster - one replication group
 * @upstreams: int handles of its databases
 * @primary: handle, UPSTREAM_NONE while fenced or unknown
 * @primary_name: name set by the control leader, NULL if none
 * @term: term of @primary
 * @fenced: whether the primary is fenced by a fail-over
 * @history: ends of the earlier terms
 * @samples: positions of the primary, ascending by the time they were asked
 *           for; older samples are further apart
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
	struct primary_sample samples[PRIMARY_SAMPLES_MAX];
	unsigned nr_samples;
};

/**
 * struct upstream_directory - upstreams and clusters, referred to by handles
 * @upstreams: struct upstream by handle
 * @clusters: struct cluster by handle
 * @upstream_by_name: upstream name to handle
 * @cluster_by_name: service and cluster name to handle
 * @expiry_us: how long an upstream counts as current without an announcement
 *             or an answer to a probe
 */
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
 * directory_record_announcement() - record an announcement
 * @age_us: time the announcement spent at the daemons that relayed it
 * Return: handle of the upstream; UPSTREAM_NONE if the announcement has
 *         expired, is older than the last one, or names another service,
 *         cluster or database than before
 */
int directory_record_announcement(struct upstream_directory *dir,
				  const struct upstream_announcement *ann,
				  int64_t age_us, int64_t now_us);

/** directory_get_or_add_cluster() - handle of a cluster, added if unknown */
int directory_get_or_add_cluster(struct upstream_directory *dir,
				 const char *service, const char *cluster);
/** directory_cluster_at() - cluster of a handle; NULL if it is none */
struct cluster *directory_cluster_at(const struct upstream_directory *dir,
				     int handle);
/** directory_upstream_at() - upstream of a handle; NULL if it is none */
struct upstream *directory_upstream_at(const struct upstream_directory *dir,
				       int handle);
/** directory_find_upstream() - handle of a name, UPSTREAM_NONE if unknown */
int directory_find_upstream(const struct upstream_directory *dir,
			    const char *name);

/**
 * directory_set_primary() - record the primary that the control leader names
 * @primary: upstream name, NULL if none; takes effect once it is announced
 *
 * Ignored if @term is older than the recorded term of the cluster.
 */
void directory_set_primary(struct upstream_directory *dir, int cluster,
			   const char *primary, uint32_t term, bool fenced);

/**
 * directory_record_position() - record an upstream's answer to a position query
 * @received: end of the log received, or written by a primary
 * @replayed: end of the log visible to reads
 * @asked_us: when the query was sent; the answer describes a later moment
 * @lease_valid: whether the daemon's lease was valid when the answer arrived;
 *               otherwise the position of a primary is not used as a sample to
 *               prove freshness
 */
void directory_record_position(struct upstream_directory *dir, int upstream,
			       bool in_recovery, struct position received,
			       struct position replayed, int64_t asked_us,
			       int64_t now_us, bool lease_valid);

/** directory_record_probe() - record the result of a probe */
void directory_record_probe(struct upstream_directory *dir, int upstream,
			    bool answered, int64_t now_us);

/**
 * directory_has_diverged() - whether an upstream replayed log past a term's end
 *
 * This is true of a former primary, or a replica of it, that has log from after
 * the end of its term and has not been rewound: reads there show writes that
 * the change of primary discarded.
 */
bool directory_has_diverged(const struct upstream_directory *dir, int upstream);

/**
 * directory_is_replica() - whether an upstream holds another one's log
 *
 * One that was promoted and did not become the cluster's primary has a log of
 * the same term as the primary's and other writes. So its position tells nothing
 * until it reports one as a replica, whatever an announcement, which may be late,
 * says of its role.
 */
bool directory_is_replica(const struct upstream *up);

/** directory_is_current() - announced or probed within the expiry */
bool directory_is_current(const struct upstream_directory *dir, int upstream,
			  int64_t now_us);

#endif
