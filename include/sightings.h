#ifndef SIGHTINGS_H
#define SIGHTINGS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: The latest announcement of each upstream, whichever process received it.
 *
 * Does no I/O. Each control VM and entry daemon holds a copy. The result does
 * not depend on the order in which announcements are merged. Which upstream is
 * used is decided elsewhere.
 */

/** How long an upstream that has left or fallen silent is remembered,
 * microseconds: longer than an announcement may be delayed, so that a late one
 * does not bring it back. */
#define SIGHTINGS_RETENTION_US (60 * 1000000ll)

/**
 * struct sighting - an upstream according to its latest announcement
 * @primary: whether it claims to be the primary
 * @leaving: whether it accepts no new work
 * @gone: whether it has left, or an upstream that started later has its address
 * @born_ms: wall clock time of its start, 0 if it did not state it
 * @sequence: number of the announcement, counted from the start
 * @heard_us: when any process last received an announcement of it
 * @claimed_us: when it began to claim to be the primary
 * @revision: value of struct sightings.revision at its last change
 */
struct sighting {
	char *id;
	char *service;
	char *address;
	char *availability_zone;
	bool primary;
	bool leaving;
	bool gone;
	uint64_t born_ms;
	uint64_t sequence;
	int64_t heard_us;
	int64_t claimed_us;
	uint64_t revision;
};

/**
 * struct appointment - the upstream that leads a service according to the
 *                      control group, or was found to lead since
 * @index: index of the entry of the agreed log, 0 before the first one
 * @at_us: when a control VM learned of that entry
 * @found_us: when this process asked an upstream that proved to lead,
 *            INT64_MIN if it has not
 */
struct appointment {
	char *service;
	char *id;
	uint64_t index;
	int64_t at_us;
	int64_t found_us;
};

/**
 * struct sightings - the latest announcements and appointments
 * @by_id: id to struct sighting
 * @appointments: service to struct appointment
 * @primaries: service to struct sightings_known_primary
 * @revision: incremented by every change
 * @generation: incremented when the primary of a service may have changed
 */
struct sightings {
	GHashTable *by_id;
	GHashTable *appointments;
	GHashTable *primaries;
	uint64_t revision;
	uint64_t generation;
};

enum sighting_merge_result {
	/** not newer than the stored announcement */
	SIGHTING_STALE,
	/** newer, but with the same content */
	SIGHTING_UNCHANGED,
	SIGHTING_CHANGED,
};

void sightings_init(struct sightings *s);
void sightings_finish(struct sightings *s);

/**
 * sightings_merge() - merge one announcement
 * @in: copied; its revision is not used
 */
enum sighting_merge_result sightings_merge(struct sightings *s,
					   const struct sighting *in);

/**
 * sightings_appoint() - the control group says who leads
 * @index: entry of the agreed log; an older one is ignored
 * Return: whether the primary of the service changed
 */
bool sightings_appoint(struct sightings *s, const char *service, const char *id,
		       uint64_t index, int64_t at_us);

/**
 * sightings_note_found() - an upstream that was asked at @asked_us leads
 *
 * Holds until the control group learns of another primary later than that.
 * Return: whether the primary of the service changed
 */
bool sightings_note_found(struct sightings *s, const char *service,
			  const char *id, int64_t asked_us);

/** sightings_remove() - forget an upstream */
void sightings_remove(struct sightings *s, const char *id);

const struct sighting *sightings_find(const struct sightings *s,
				      const char *id);

/**
 * sightings_primary() - find the primary of a service
 * Return: of the upstreams that have not gone, the one that was appointed or
 *         claimed the role last, NULL if there is none
 *
 * Takes constant time while nothing changes: entry daemons ask for each
 * statement.
 */
const struct sighting *sightings_primary(const struct sightings *s,
					 const char *service);

/** sighting_keep_func - whether to keep an upstream that has been silent */
typedef bool (*sighting_keep_func)(const struct sighting *upstream, void *data);

/**
 * sightings_expire() - forget upstreams silent for SIGHTINGS_RETENTION_US
 * @keep: called for each of them; may prevent it
 */
void sightings_expire(struct sightings *s, int64_t now_us,
		      sighting_keep_func keep, void *data);

#endif
