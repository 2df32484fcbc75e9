#ifndef ERROR_H
#define ERROR_H

#include <glib.h>

/**
 * DOC: Error kinds of comfreywheel.
 *
 * Every GError of the project uses this domain. The message says what is wrong
 * and how to fix it, so that an operator can act on the message alone.
 */

#define CW_ERROR cw_error_quark()

/**
 * enum cw_error_kind - error codes of the domain CW_ERROR
 * @CW_ERROR_SETTINGS: a settings file is unreadable or invalid
 * @CW_ERROR_TABLES: a table of routes or pools is invalid
 * @CW_ERROR_PROTOCOL: a peer violated the protocol
 * @CW_ERROR_AUTHENTICATION: a peer failed to authenticate
 * @CW_ERROR_CORRUPT: stored data has a wrong checksum
 * @CW_ERROR_IO: a file or socket operation failed
 * @CW_ERROR_CONFLICT: a change is based on an outdated version
 * @CW_ERROR_LIMIT: a limit was reached
 * @CW_ERROR_UNAVAILABLE: a required peer does not respond
 * @CW_ERROR_USAGE: the command line is invalid
 */
enum cw_error_kind {
	CW_ERROR_SETTINGS,
	CW_ERROR_TABLES,
	CW_ERROR_PROTOCOL,
	CW_ERROR_AUTHENTICATION,
	CW_ERROR_CORRUPT,
	CW_ERROR_IO,
	CW_ERROR_CONFLICT,
	CW_ERROR_LIMIT,
	CW_ERROR_UNAVAILABLE,
	CW_ERROR_USAGE,
};

GQuark cw_error_quark(void);

#endif
