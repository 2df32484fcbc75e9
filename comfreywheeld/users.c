#include "users.h"

#include "error.h"
#include "scram.h"

#include <string.h>

static bool refuse(GError **error, const char *path, int line, const char *why)
{
	g_set_error(error, CW_ERROR, CW_ERROR_SETTINGS, "%s:%d: %s", path, line,
		    why);
	return false;
}

static bool take_line(GHashTable *users, const char *path, int nr,
		      const char *line, GError **error)
{
	struct scram_verifier verifier;
	const char *colon = strchr(line, ':');
	char *user;

	if (!*line || *line == '#')
		return true;
	if (!colon || colon == line)
		return refuse(error, path, nr,
			      "no user name; write USER:VERIFIER");
	if (!scram_verifier_parse(colon + 1, &verifier))
		return refuse(error, path, nr,
			      "the verifier cannot be read; make it with "
			      "comfreywheelctl or copy it from pg_authid");
	user = g_strndup(line, colon - line);
	if (g_hash_table_contains(users, user)) {
		g_free(user);
		return refuse(error, path, nr,
			      "the user is named twice; remove one line");
	}
	g_hash_table_insert(users, user,
			    g_memdup2(&verifier, sizeof(verifier)));
	return true;
}

bool users_load(const char *path, GHashTable **users, GError **error)
{
	GError *cause = NULL;
	char *text, **lines;
	bool ok = true;
	int i;

	*users = NULL;
	if (!path)
		return true;
	if (!g_file_get_contents(path, &text, NULL, &cause)) {
		g_set_error(error, CW_ERROR, CW_ERROR_SETTINGS,
			    "%s; create the users file or correct users_file",
			    cause->message);
		g_error_free(cause);
		return false;
	}
	*users = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	lines = g_strsplit(text, "\n", -1);
	for (i = 0; ok && lines[i]; i++)
		ok = take_line(*users, path, i + 1, g_strstrip(lines[i]),
			       error);
	g_strfreev(lines);
	g_free(text);
	if (!ok)
		g_clear_pointer(users, g_hash_table_destroy);
	return ok;
}
