#ifndef ERROR_H
#define ERROR_H

#include <glib.h>

/**
 * DOC: Error kinds of comfreywheel.
 *
 * Every GError of the project uses this domain. The message states what is
 * wrong and names the remedy, so that an operator can act on it alone.
 */

#define CW_ERROR cw_error_quark()

/**
 * enum cw_error_kind - what went wrong, for callers that branch on it
 * @CW_ERROR_SETTINGS: a settings file cannot be used
 * @CW_ERROR_TABLES: routes or pools are refused
 * @CW_ERROR_PROTOCOL: a peer sent bytes outside its protocol
 * @CW_ERROR_AUTHENTICATION: a peer could not prove its identity
 * @CW_ERROR_CORRUPT: stored bytes fail their checksum
 * @CW_ERROR_IO: the operating system refused a file or socket operation
 * @CW_ERROR_CONFLICT: a change was made against an older version
 * @CW_ERROR_LIMIT: a bound was reached
 * @CW_ERROR_UNAVAILABLE: a needed peer does not answer
 * @CW_ERROR_USAGE: the command line cannot be understood
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
