#ifndef SIGHTING_WIRE_H
#define SIGHTING_WIRE_H

#include "messages.pb-c.h"
#include "sightings.h"

/**
 * DOC: Sightings in the form that is sent between our processes.
 */

/** sighting_pack() - texts stay @one's */
void sighting_pack(const struct sighting *one, int64_t now_us,
		   Wire__Sighting *out);
/** sighting_unpack() - texts stay @in's; ages count back from @now_us */
void sighting_unpack(const Wire__Sighting *in, int64_t now_us,
		     struct sighting *one);

#endif
