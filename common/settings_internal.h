#ifndef SETTINGS_INTERNAL_H
#define SETTINGS_INTERNAL_H

#include "ini_reader.h"
#include "settings.h"

/**
 * DOC: Parts of the settings, shared by the files that implement settings.h.
 */

/** int: name of a log level */
extern const struct ini_type settings_type_level;
/** char *: CURVE key in Z85, kept out of error messages */
extern const struct ini_type settings_type_key;
/** GArray of struct control_peer, never NULL while the settings are valid */
extern const struct ini_type settings_type_peers;

GArray *settings_new_peers(void);

/** settings_line() - line of a key, else of its section, else 1 */
int settings_line(const struct ini_document *doc, const char *section,
		  const char *key);

/** settings_check() - checks that concern more than one key */
bool settings_check(const struct ini_document *doc,
		    const struct settings *settings, GError **error);

#endif
