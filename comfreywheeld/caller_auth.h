#ifndef CALLER_AUTH_H
#define CALLER_AUTH_H

#include "caller.h"

/**
 * DOC: Login of callers by SCRAM-SHA-256 against the users file.
 */

void caller_auth_start(struct caller *caller);

/** caller_auth_input() - take one login frame; false if none is complete */
bool caller_auth_input(struct caller *caller);

/* Of caller_startup.c. */
void caller_put_authentication(struct caller *caller, uint32_t kind,
			       const char *text, size_t len);
void caller_logged_in(struct caller *caller);

#endif
