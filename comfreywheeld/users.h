#ifndef USERS_H
#define USERS_H

#include <glib.h>
#include <stdbool.h>

/**
 * DOC: The users file: "user:verifier" a line, "#" starts a comment.
 */

/**
 * users_load() - read the file
 * @path: NULL for none, which trusts every caller
 * @users: struct scram_verifier by user name, NULL without a file
 */
bool users_load(const char *path, GHashTable **users, GError **error);

#endif
