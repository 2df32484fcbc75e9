#include "settings_internal.h"

/* A daemon may miss this many heartbeats without losing its lease. */
#define MISSED_HEARTBEATS_MAX 3

int settings_key_line(const struct ini_document *doc, const char *name,
		      const char *key)
{
	const struct ini_section *section = ini_document_section(doc, name);
	const struct ini_entry *entry = ini_section_entry(section, key);

	if (entry)
		return entry->line;
	return section ? section->line : 1;
}

static bool check_key_pairs(const struct ini_document *doc,
			    const struct settings *s, GError **error)
{
	if (!s->bus_public_key != !s->bus_secret_key)
		return ini_set_error(
			doc, settings_key_line(doc, "bus", "public_key"), error,
			"one of public_key and secret_key is "
			"missing; give both, or none for a bus "
			"without encryption");
	if (!s->tls_certificate != !s->tls_key)
		return ini_set_error(doc,
				     settings_key_line(doc, "callers",
						       "tls_certificate"),
				     error,
				     "one of tls_certificate and tls_key is "
				     "missing; give both, or none for callers "
				     "without TLS");
	return true;
}

static bool check_control(const struct ini_document *doc,
			  const struct settings *s, GError **error)
{
	int line = settings_key_line(doc, "control", "id");
	guint i;

	if (!s->control_id && s->control_listen)
		return ini_set_error(
			doc, settings_key_line(doc, "control", "listen"), error,
			"\"listen\" is given without \"id\"; give "
			"the control identity of this VM or remove "
			"\"listen\"");
	if (!s->control_id)
		return true;
	if (!s->control_listen)
		return ini_set_error(
			doc, line, error,
			"a control VM needs an address of its own; "
			"add listen = IP:PORT to [control]");
	if (!s->data_folder)
		return ini_set_error(doc, line, error,
				     "a control VM needs a disk; add "
				     "data_folder = FOLDER to [daemon]");
	for (i = 0; i < s->control_peers->len; i++)
		if (g_array_index(s->control_peers, struct control_peer, i).id ==
		    s->control_id)
			return true;
	return ini_set_error(doc, line, error,
			     "control id %" G_GUINT64_FORMAT
			     " is not among the "
			     "peers; add it to \"peers\" as ID@IP:PORT",
			     s->control_id);
}

static bool check_durations(const struct ini_document *doc,
			    const struct settings *s, GError **error)
{
	if (s->heartbeat_interval_us * MISSED_HEARTBEATS_MAX >=
	    s->lease_duration_us)
		return ini_set_error(
			doc, settings_key_line(doc, "control", "heartbeat"),
			error,
			"the heartbeat is not shorter than a third "
			"of the lease; shorten \"heartbeat\" or "
			"lengthen \"lease\"");
	if (s->stale_tables_limit_us < s->lease_duration_us)
		return ini_set_error(doc,
				     settings_key_line(doc, "control",
						       "stale_tables_limit"),
				     error,
				     "stale_tables_limit is shorter than the "
				     "lease; lengthen it or shorten \"lease\"");
	return true;
}

bool settings_check(const struct ini_document *doc,
		    const struct settings *settings, GError **error)
{
	return check_key_pairs(doc, settings, error) &&
	       check_control(doc, settings, error) &&
	       check_durations(doc, settings, error);
}
