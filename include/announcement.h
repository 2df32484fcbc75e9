#ifndef ANNOUNCEMENT_H
#define ANNOUNCEMENT_H

#include "messages.pb-c.h"
#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

/**
 * DOC: Announcements of upstreams, in JSON from the database host.
 *
 * One object: name, address, port, availability_zone, service, cluster,
 * database, term, position ("TERM:HIGH/LOW"), role ("primary" or "replica")
 * and leaving. All are required but leaving, which is false by default.
 * Unknown fields are ignored, so that hosts may be upgraded first.
 */

/** Largest announcement accepted, bytes. */
#define ANNOUNCEMENT_MAX 4096
/** Longest name or zone, bytes. */
#define ANNOUNCEMENT_TEXT_MAX 63

/**
 * announcement_parse() - decode and check one announcement
 * Return: to be released with wire__announcement__free_unpacked(), or NULL
 * with CW_ERROR_PROTOCOL that names the field
 */
Wire__Announcement *announcement_parse(const char *text, size_t len,
				       GError **error);

/** announcement_check() - the same checks on one relayed by a daemon */
bool announcement_check(const Wire__Announcement *ann, GError **error);

#endif
