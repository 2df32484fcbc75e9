#ifndef ANNOUNCEMENT_H
#define ANNOUNCEMENT_H

#include "messages.pb-c.h"
#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

/**
 * DOC: Upstream announcements, sent as JSON by the database hosts.
 *
 * An announcement is one JSON object with the fields name, address, port,
 * availability_zone, service, cluster, database, term, position
 * ("TERM:HIGH/LOW"), role ("primary" or "replica") and leaving. All fields are
 * required except leaving, which defaults to false. Unknown fields are ignored
 * so that hosts can be upgraded first.
 */

/** Maximum size of an announcement, in bytes. */
#define ANNOUNCEMENT_MAX_BYTES 4096
/** Maximum length of a name or availability zone, in bytes. */
#define ANNOUNCEMENT_NAME_MAX_BYTES 63

/**
 * announcement_parse() - decode and validate a JSON announcement
 * Return: announcement to be released with
 * wire__announcement__free_unpacked(), or NULL with a CW_ERROR_PROTOCOL error
 * that names the invalid field
 */
Wire__Announcement *announcement_parse(const char *text, size_t len,
				       GError **error);

/**
 * announcement_check() - validate a decoded announcement
 *
 * Also called for announcements that another daemon relays.
 */
bool announcement_check(const Wire__Announcement *ann, GError **error);

#endif
