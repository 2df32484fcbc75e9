#ifndef SIGHTINGS_H
#define SIGHTINGS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: What upstreams said of themselves, wherever it was heard.
 *
 * Pure. Each control VM and entry daemon holds a copy; merging in any order
 * gives the same result. Nothing here decides which upstream is used.
 */

/** An upstream that left or fell silent is remembered this long, microseconds:
 * longer than its late announcements may take. */
#define SIGHTINGS_KEEP_US (60 * 1000000ll)

/**
 * struct sighting - one upstream, as it last described itself
 * @primary: whether it says that it is the primary
 * @leaving: whether it takes no new work
 * @gone: whether it has left or its address was taken by a younger upstream
 * @born_ms: wall clock of its start, 0 if it did not say
 * @sequence: number of its announcement since then
 * @heard_us: when an announcement last arrived anywhere
 * @claimed_us: when it began to say that it is the primary
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
 * struct appointment - the upstream that control put in charge of a service
 */
struct appointment {
	char *service;
	char *id;
	int64_t at_us;
};

/**
 * struct sightings - all of them
 * @by_id: id to struct sighting
 * @appointments: service to struct appointment
 * @revision: raised by every change
 */
struct sightings {
	GHashTable *by_id;
	GHashTable *appointments;
	uint64_t revision;
};

enum sighting_news {
	/** not newer than what is known */
	SIGHTING_OLD,
	/** heard again, with nothing new */
	SIGHTING_SEEN,
	SIGHTING_CHANGED,
};

void sightings_init(struct sightings *s);
void sightings_finish(struct sightings *s);

/**
 * sightings_merge() - take in one announcement
 * @in: copied; @revision is not used
 */
enum sighting_news sightings_merge(struct sightings *s,
				   const struct sighting *in);

/** sightings_appoint() - Return: whether it is newer than what is known */
bool sightings_appoint(struct sightings *s, const char *service, const char *id,
		       int64_t at_us);

const struct sighting *sightings_find(const struct sightings *s,
				      const char *id);

/**
 * sightings_primary() - the upstream that leads a service
 * Return: the one that was appointed or claimed the role last and has not
 *         gone, NULL if none is known
 */
const struct sighting *sightings_primary(const struct sightings *s,
					 const char *service);

/** sighting_keep - whether one that was not heard for long is kept all the same */
typedef bool (*sighting_keep)(const struct sighting *one, void *data);

/**
 * sightings_expire() - forget upstreams that were not heard for long
 * @keep: asked for each of them
 */
void sightings_expire(struct sightings *s, int64_t now_us, sighting_keep keep,
		      void *data);

#endif
