#ifndef SIGHTING_WIRE_H
#define SIGHTING_WIRE_H

#include "messages.pb-c.h"
#include "sightings.h"

/**
 * DOC: Conversion of sightings from and to their wire message.
 */

/** sighting_pack() - fill @out, which borrows the strings of @upstream */
void sighting_pack(const struct sighting *upstream, int64_t now_us,
		   Wire__Sighting *out);
/**
 * sighting_unpack() - fill @upstream, which borrows the strings of @in; ages
 *                     are relative to @now_us
 */
void sighting_unpack(const Wire__Sighting *in, int64_t now_us,
		     struct sighting *upstream);

#endif
