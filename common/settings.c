#include "settings.h"
#include "ini_reader.h"
#include "log.h"

#include <string.h>

#define MS INT64_C(1000)
#define HOUR INT64_C(3600000000)

/* A daemon must be able to miss this many heartbeats and keep its lease. */
#define HEARTBEATS_PER_LEASE 3
/* Length of a CURVE key in ZeroMQ's Z85 text form. */
#define Z85_KEY_LEN 40

static const struct {
	const char *name;
	int level;
} levels[] = {
	{ "error", LOG_LEVEL_ERROR },	{ "warning", LOG_LEVEL_WARNING },
	{ "notice", LOG_LEVEL_NOTICE }, { "info", LOG_LEVEL_INFO },
	{ "debug", LOG_LEVEL_DEBUG },
};

static bool parse_level(const char *text, const struct ini_field *field,
			void *target)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(levels); i++) {
		if (strcmp(text, levels[i].name))
			continue;
		*(int *)target = levels[i].level;
		return true;
	}
	return false;
}

static void print_level(const void *target, GString *out)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(levels); i++)
		if (levels[i].level == *(const int *)target)
			g_string_append(out, levels[i].name);
}

static bool parse_key(const char *text, const struct ini_field *field,
		      void *target)
{
	static const char z85[] = "0123456789abcdefghijklmnopqrstuvwxyz"
				  "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				  ".-:+=^!/*?&<>()[]{}@%$#";

	if (strlen(text) != Z85_KEY_LEN || strspn(text, z85) != Z85_KEY_LEN)
		return false;
	return ini_text.parse(text, field, target);
}

static bool parse_peer(char *text, struct control_peer *peer)
{
	char *at = strchr(text, '@');
	guint64 id;

	if (!at || !ini_is_address(at + 1))
		return false;
	*at = '\0';
	if (!g_ascii_string_to_unsigned(text, 10, 1, G_MAXUINT64, &id, NULL))
		return false;
	peer->id = id;
	peer->address = g_strdup(at + 1);
	return true;
}

static bool peer_repeats(const GArray *peers, const struct control_peer *peer)
{
	const struct control_peer *other;
	guint i;

	for (i = 0; i < peers->len; i++) {
		other = &g_array_index(peers, struct control_peer, i);
		if (other->id == peer->id ||
		    !strcmp(other->address, peer->address))
			return true;
	}
	return false;
}

static void clear_peer(void *data)
{
	g_free(((struct control_peer *)data)->address);
}

static GArray *new_peers(void)
{
	GArray *peers = g_array_new(FALSE, FALSE, sizeof(struct control_peer));

	g_array_set_clear_func(peers, clear_peer);
	return peers;
}

static bool parse_peers(const char *text, const struct ini_field *field,
			void *target)
{
	char **items = ini_list(text);
	GArray *peers = new_peers(), **slot = target;
	struct control_peer peer;
	bool ok = items != NULL;
	size_t i;

	for (i = 0; ok && items[i]; i++) {
		ok = parse_peer(items[i], &peer);
		if (!ok)
			break;
		ok = !peer_repeats(peers, &peer);
		g_array_append_val(peers, peer);
	}
	g_strfreev(items);
	if (!ok) {
		g_array_free(peers, TRUE);
		return false;
	}
	g_array_free(*slot, TRUE);
	*slot = peers;
	return true;
}

static void print_peers(const void *target, GString *out)
{
	const GArray *peers = *(GArray *const *)target;
	const struct control_peer *peer;
	guint i;

	for (i = 0; i < peers->len; i++) {
		peer = &g_array_index(peers, struct control_peer, i);
		g_string_append_printf(out, "%s%" G_GUINT64_FORMAT "@%s",
				       i ? ", " : "", peer->id, peer->address);
	}
}

static void release_peers(void *target)
{
	GArray **peers = target;

	g_array_free(*peers, TRUE);
	*peers = NULL;
}

static const struct ini_type type_level = {
	.expected = "one of: error, warning, notice, info, debug",
	.parse = parse_level,
	.print = print_level,
};

static const struct ini_type type_key = {
	.expected = "a Z85 key of 40 characters, as comfreywheelctl keygen "
		    "makes them",
	.parse = parse_key,
	.print = ini_print_text,
	.release = ini_release_text,
	.secret = true,
};

static const struct ini_type type_peers = {
	.expected = "each control VM once, as ID@IP:PORT separated by commas",
	.parse = parse_peers,
	.print = print_peers,
	.release = release_peers,
};

#define FIELD(section, key, member, type) \
	section, key, &type, offsetof(struct settings, member)

static const struct ini_field daemon_fields[] = {
	{ FIELD("daemon", "name", name, ini_name) },
	{ FIELD("daemon", "availability_zone", availability_zone, ini_name) },
	{ FIELD("daemon", "region", region, ini_name), INI_OPTIONAL,
	  "default" },
	{ FIELD("daemon", "caller_listen", caller_listen, ini_address) },
	{ FIELD("daemon", "admin_listen", admin_listen, ini_address) },
	{ FIELD("daemon", "bus_listen", bus_listen, ini_address) },
	{ FIELD("daemon", "data_folder", data_folder, ini_text), INI_OPTIONAL },
	{ FIELD("daemon", "log_level", log_level, type_level), INI_OPTIONAL,
	  "info" },
	{ FIELD("daemon", "max_callers", max_callers, ini_unsigned),
	  INI_OPTIONAL, "2500", 1, 100000 },
	{ FIELD("daemon", "drain_timeout", drain_timeout_us, ini_duration),
	  INI_OPTIONAL, "30s", 0, HOUR },
	{ FIELD("daemon", "caller_write_timeout", caller_write_us,
		ini_duration),
	  INI_OPTIONAL, "30s", 10 * MS, HOUR },
};

static const struct ini_field control_fields[] = {
	{ FIELD("control", "id", control_id, ini_uint64), INI_OPTIONAL, NULL, 1,
	  G_MAXUINT64 },
	{ FIELD("control", "listen", control_listen, ini_address),
	  INI_OPTIONAL },
	{ FIELD("control", "peers", control_peers, type_peers) },
	{ FIELD("control", "lease", lease_us, ini_duration), INI_OPTIONAL,
	  "1200ms", 100 * MS, HOUR },
	{ FIELD("control", "heartbeat", heartbeat_us, ini_duration),
	  INI_OPTIONAL, "200ms", 10 * MS, HOUR },
	{ FIELD("control", "probe_interval", probe_us, ini_duration),
	  INI_OPTIONAL, "100ms", 10 * MS, HOUR },
	{ FIELD("control", "stale_tables_limit", stale_tables_us, ini_duration),
	  INI_OPTIONAL, "4s", 100 * MS, HOUR },
	{ FIELD("control", "session_wait", session_wait_us, ini_duration),
	  INI_OPTIONAL, "20ms", 1 * MS, HOUR },
	{ FIELD("control", "connection_linger", connection_linger_us,
		ini_duration),
	  INI_OPTIONAL, "10s", 0, HOUR },
	{ FIELD("control", "election_timeout", election_us, ini_duration),
	  INI_OPTIONAL, "150ms", 10 * MS, HOUR },
};

static const struct ini_field bus_fields[] = {
	{ FIELD("bus", "public_key", bus_public_key, type_key), INI_OPTIONAL },
	{ FIELD("bus", "secret_key", bus_secret_key, type_key), INI_OPTIONAL },
};

static const struct ini_field caller_fields[] = {
	{ FIELD("callers", "users_file", users_file, ini_text), INI_OPTIONAL },
	{ FIELD("callers", "tls_certificate", tls_certificate, ini_text),
	  INI_OPTIONAL },
	{ FIELD("callers", "tls_key", tls_key, ini_text), INI_OPTIONAL },
};

static const struct ini_field upstream_fields[] = {
	{ FIELD("upstreams", "user", upstream_user, ini_text), INI_OPTIONAL,
	  "comfreywheel" },
	{ FIELD("upstreams", "password", upstream_password, ini_text),
	  INI_OPTIONAL },
};

static const struct group {
	const char *section;
	const struct ini_field *fields;
	size_t nr;
} groups[] = {
	{ "daemon", daemon_fields, G_N_ELEMENTS(daemon_fields) },
	{ "control", control_fields, G_N_ELEMENTS(control_fields) },
	{ "bus", bus_fields, G_N_ELEMENTS(bus_fields) },
	{ "callers", caller_fields, G_N_ELEMENTS(caller_fields) },
	{ "upstreams", upstream_fields, G_N_ELEMENTS(upstream_fields) },
};

void settings_init(struct settings *settings)
{
	const struct ini_field *field;
	size_t g, i;

	memset(settings, 0, sizeof(*settings));
	settings->control_peers = new_peers();
	for (g = 0; g < G_N_ELEMENTS(groups); g++)
		for (i = 0; i < groups[g].nr; i++) {
			field = &groups[g].fields[i];
			if (field->fallback)
				field->type->parse(field->fallback, field,
						   (char *)settings +
							   field->offset);
		}
}

void settings_finish(struct settings *settings)
{
	size_t g;

	for (g = 0; g < G_N_ELEMENTS(groups); g++)
		ini_release(groups[g].fields, groups[g].nr, settings);
}

static int line_of(const struct ini_document *doc, const char *name,
		   const char *key)
{
	const struct ini_section *section = ini_document_section(doc, name);
	const struct ini_entry *entry;
	guint i;

	if (!section)
		return 1;
	for (i = 0; i < section->entries->len; i++) {
		entry = &g_array_index(section->entries, struct ini_entry, i);
		if (!strcmp(entry->key, key))
			return entry->line;
	}
	return section->line;
}

static bool check_pairs(const struct ini_document *doc,
			const struct settings *s, GError **error)
{
	if (!s->bus_public_key != !s->bus_secret_key)
		return ini_refuse(doc, line_of(doc, "bus", "public_key"), error,
				  "one of public_key and secret_key is "
				  "missing; give both, or none for a bus "
				  "without encryption");
	if (!s->tls_certificate != !s->tls_key)
		return ini_refuse(doc,
				  line_of(doc, "callers", "tls_certificate"),
				  error,
				  "one of tls_certificate and tls_key is "
				  "missing; give both, or none for callers "
				  "without TLS");
	return true;
}

static bool check_control(const struct ini_document *doc,
			  const struct settings *s, GError **error)
{
	int line = line_of(doc, "control", "id");
	guint i;

	if (!s->control_id && s->control_listen)
		return ini_refuse(doc, line_of(doc, "control", "listen"), error,
				  "\"listen\" is given without \"id\"; give "
				  "the control identity of this VM or remove "
				  "\"listen\"");
	if (!s->control_id)
		return true;
	if (!s->control_listen)
		return ini_refuse(doc, line, error,
				  "a control VM needs an address of its own; "
				  "add listen = IP:PORT to [control]");
	if (!s->data_folder)
		return ini_refuse(doc, line, error,
				  "a control VM needs a disk; add "
				  "data_folder = FOLDER to [daemon]");
	for (i = 0; i < s->control_peers->len; i++)
		if (g_array_index(s->control_peers, struct control_peer, i).id ==
		    s->control_id)
			return true;
	return ini_refuse(doc, line, error,
			  "control id %" G_GUINT64_FORMAT " is not among the "
			  "peers; add it to \"peers\" as ID@IP:PORT",
			  s->control_id);
}

static bool check_times(const struct ini_document *doc,
			const struct settings *s, GError **error)
{
	if (s->heartbeat_us * HEARTBEATS_PER_LEASE >= s->lease_us)
		return ini_refuse(doc, line_of(doc, "control", "heartbeat"),
				  error,
				  "the heartbeat is not shorter than a third "
				  "of the lease; shorten \"heartbeat\" or "
				  "lengthen \"lease\"");
	if (s->stale_tables_us < s->lease_us)
		return ini_refuse(doc,
				  line_of(doc, "control", "stale_tables_limit"),
				  error,
				  "stale_tables_limit is shorter than the "
				  "lease; lengthen it or shorten \"lease\"");
	return true;
}

static bool check_sections(const struct ini_document *doc, GError **error)
{
	const struct ini_section *section;
	guint i;
	size_t g;

	for (i = 0; i < doc->sections->len; i++) {
		section = g_ptr_array_index(doc->sections, i);
		for (g = 0; g < G_N_ELEMENTS(groups); g++)
			if (!strcmp(section->name, groups[g].section))
				break;
		if (g == G_N_ELEMENTS(groups))
			return ini_refuse(doc, section->line, error,
					  "section [%s] is not known; remove "
					  "it or use one of: daemon, control, "
					  "bus, callers, upstreams",
					  section->name);
	}
	return true;
}

static bool fill_all(const struct ini_document *doc, struct settings *settings,
		     GError **error)
{
	size_t g;

	if (!check_sections(doc, error))
		return false;
	for (g = 0; g < G_N_ELEMENTS(groups); g++)
		if (!ini_fill(doc, ini_document_section(doc, groups[g].section),
			      groups[g].fields, groups[g].nr, settings, error))
			return false;
	return check_pairs(doc, settings, error) &&
	       check_control(doc, settings, error) &&
	       check_times(doc, settings, error);
}

/* On success the caller finishes @doc. */
static bool load(struct ini_document *doc, struct settings *settings,
		 const char *path, GError **error)
{
	GError *io = NULL;
	bool ok = false;
	gsize len;
	char *text;

	if (!g_file_get_contents(path, &text, &len, &io)) {
		g_set_error(error, CW_ERROR, CW_ERROR_SETTINGS,
			    "%s:0: the file cannot be read (%s); check its "
			    "path and permissions",
			    path, io->message);
		g_error_free(io);
		return false;
	}
	if (strlen(text) != len)
		g_set_error(error, CW_ERROR, CW_ERROR_SETTINGS,
			    "%s:0: the file holds zero bytes; save it as text",
			    path);
	else
		ok = ini_document_parse(doc, CW_ERROR_SETTINGS, path, text,
					error);
	g_free(text);
	if (ok && !fill_all(doc, settings, error)) {
		ini_document_finish(doc);
		ok = false;
	}
	return ok;
}

bool settings_load(struct settings *settings, const char *path, GError **error)
{
	struct ini_document doc = { 0 };
	struct settings fresh;

	settings_init(&fresh);
	if (!load(&doc, &fresh, path, error)) {
		settings_finish(&fresh);
		return false;
	}
	ini_document_finish(&doc);
	settings_finish(settings);
	*settings = fresh;
	return true;
}

static bool may_change(const struct ini_field *field)
{
	return field->offset == offsetof(struct settings, log_level) ||
	       field->offset == offsetof(struct settings, max_callers) ||
	       field->offset == offsetof(struct settings, drain_timeout_us) ||
	       field->offset == offsetof(struct settings, caller_write_us) ||
	       field->offset == offsetof(struct settings, users_file);
}

static bool check_change(const struct ini_document *doc,
			 const struct ini_field *field,
			 const struct settings *old,
			 const struct settings *fresh, GError **error)
{
	char *a = ini_field_text(field, old), *b = ini_field_text(field, fresh);
	bool same = !strcmp(a, b);

	g_free(a);
	g_free(b);
	if (same || may_change(field))
		return true;
	return ini_refuse(doc, line_of(doc, field->section, field->key), error,
			  "\"%s\" cannot change while the daemon runs; "
			  "restore its value or restart the daemon",
			  field->key);
}

bool settings_reload(struct settings *settings, const char *path,
		     GError **error)
{
	struct ini_document doc = { 0 };
	struct settings fresh;
	bool ok = true;
	size_t g, i;

	settings_init(&fresh);
	if (!load(&doc, &fresh, path, error)) {
		settings_finish(&fresh);
		return false;
	}
	for (g = 0; ok && g < G_N_ELEMENTS(groups); g++)
		for (i = 0; ok && i < groups[g].nr; i++)
			ok = check_change(&doc, &groups[g].fields[i], settings,
					  &fresh, error);
	if (ok) {
		settings->log_level = fresh.log_level;
		settings->max_callers = fresh.max_callers;
		settings->drain_timeout_us = fresh.drain_timeout_us;
		settings->caller_write_us = fresh.caller_write_us;
		g_free(settings->users_file);
		settings->users_file = g_steal_pointer(&fresh.users_file);
	}
	ini_document_finish(&doc);
	settings_finish(&fresh);
	return ok;
}
