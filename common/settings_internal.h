#ifndef SETTINGS_INTERNAL_H
#define SETTINGS_INTERNAL_H

#include "ini_reader.h"
#include "settings.h"

/**
 * DOC: Declarations shared by the files that implement settings.h.
 */

/** int, enum log_level: name of a log level */
extern const struct ini_type settings_type_level;
/** char *: CURVE key in Z85, never shown in error messages */
extern const struct ini_type settings_type_key;
/** GArray of struct control_peer, never NULL while the settings are valid */
extern const struct ini_type settings_type_peers;

GArray *settings_peers_new(void);

/** settings_key_line() - line of a key or, if absent, of its section or 1 */
int settings_key_line(const struct ini_document *doc, const char *section,
		      const char *key);

/** settings_check() - validate settings that depend on each other */
bool settings_check(const struct ini_document *doc,
		    const struct settings *settings, GError **error);

#endif
