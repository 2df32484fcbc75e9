#include "settings_internal.h"

#include <string.h>

#define US_PER_MS INT64_C(1000)
#define US_PER_HOUR INT64_C(3600000000)
#define MIB UINT64_C(1048576)

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
	{ FIELD("daemon", "log_level", log_level, settings_type_level),
	  INI_OPTIONAL, "info" },
	{ FIELD("daemon", "max_callers", max_callers, ini_unsigned),
	  INI_OPTIONAL, "2500", 1, 100000 },
	{ FIELD("daemon", "drain_timeout", drain_timeout_us, ini_duration),
	  INI_OPTIONAL, "30s", 0, US_PER_HOUR },
	{ FIELD("daemon", "caller_write_timeout", caller_write_timeout_us,
		ini_duration),
	  INI_OPTIONAL, "30s", 10 * US_PER_MS, US_PER_HOUR },
	{ FIELD("daemon", "memory_budget", memory_budget, ini_size),
	  INI_OPTIONAL, "96MiB", 16 * MIB, 1024 * 1024 * MIB },
	{ FIELD("daemon", "max_startups", max_startups, ini_unsigned),
	  INI_OPTIONAL, "2500", 1, 100000 },
	{ FIELD("daemon", "max_callers_per_address", max_callers_per_address,
		ini_unsigned),
	  INI_OPTIONAL, "0", 0, 100000 },
	{ FIELD("daemon", "reserved_descriptors", reserved_descriptors,
		ini_unsigned),
	  INI_OPTIONAL, "512", 0, 100000 },
	{ FIELD("daemon", "max_upstreams", max_upstreams, ini_unsigned),
	  INI_OPTIONAL, "2000", 1, 100000 },
	{ FIELD("daemon", "startup_timeout", startup_timeout_us, ini_duration),
	  INI_OPTIONAL, "10s", 100 * US_PER_MS, US_PER_HOUR },
	{ FIELD("daemon", "message_timeout", message_timeout_us, ini_duration),
	  INI_OPTIONAL, "60s", 100 * US_PER_MS, US_PER_HOUR },
	{ FIELD("daemon", "transaction_idle_timeout", transaction_idle_us,
		ini_duration),
	  INI_OPTIONAL, "60s", 0, 24 * US_PER_HOUR },
};

static const struct ini_field control_fields[] = {
	{ FIELD("control", "id", control_id, ini_uint64), INI_OPTIONAL, NULL, 1,
	  G_MAXUINT64 },
	{ FIELD("control", "listen", control_listen, ini_address),
	  INI_OPTIONAL },
	{ FIELD("control", "peers", control_peers, settings_type_peers) },
	{ FIELD("control", "lease", lease_duration_us, ini_duration),
	  INI_OPTIONAL, "1200ms", 100 * US_PER_MS, US_PER_HOUR },
	{ FIELD("control", "heartbeat", heartbeat_interval_us, ini_duration),
	  INI_OPTIONAL, "200ms", 10 * US_PER_MS, US_PER_HOUR },
	{ FIELD("control", "probe_interval", probe_interval_us, ini_duration),
	  INI_OPTIONAL, "100ms", 10 * US_PER_MS, US_PER_HOUR },
	{ FIELD("control", "stale_tables_limit", stale_tables_limit_us,
		ini_duration),
	  INI_OPTIONAL, "4s", 100 * US_PER_MS, US_PER_HOUR },
	{ FIELD("control", "session_wait", session_wait_us, ini_duration),
	  INI_OPTIONAL, "20ms", 1 * US_PER_MS, US_PER_HOUR },
	{ FIELD("control", "connection_linger", connection_linger_us,
		ini_duration),
	  INI_OPTIONAL, "10s", 0, US_PER_HOUR },
	{ FIELD("control", "election_timeout", election_timeout_us,
		ini_duration),
	  INI_OPTIONAL, "150ms", 10 * US_PER_MS, US_PER_HOUR },
};

static const struct ini_field bus_fields[] = {
	{ FIELD("bus", "public_key", bus_public_key, settings_type_key),
	  INI_OPTIONAL },
	{ FIELD("bus", "secret_key", bus_secret_key, settings_type_key),
	  INI_OPTIONAL },
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

static const struct section_spec {
	const char *section;
	const struct ini_field *fields;
	size_t nr;
} section_specs[] = {
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
	settings->control_peers = settings_peers_new();
	for (g = 0; g < G_N_ELEMENTS(section_specs); g++)
		for (i = 0; i < section_specs[g].nr; i++) {
			field = &section_specs[g].fields[i];
			if (field->default_text)
				field->type->parse(field->default_text, field,
						   (char *)settings +
							   field->offset);
		}
}

void settings_finish(struct settings *settings)
{
	size_t g;

	for (g = 0; g < G_N_ELEMENTS(section_specs); g++)
		ini_release_fields(section_specs[g].fields, section_specs[g].nr,
				   settings);
}

static bool check_sections(const struct ini_document *doc, GError **error)
{
	const struct ini_section *section;
	guint i;
	size_t g;

	for (i = 0; i < doc->sections->len; i++) {
		section = g_ptr_array_index(doc->sections, i);
		for (g = 0; g < G_N_ELEMENTS(section_specs); g++)
			if (!strcmp(section->name, section_specs[g].section))
				break;
		if (g == G_N_ELEMENTS(section_specs))
			return ini_set_error(
				doc, section->line, error,
				"section [%s] is not known; remove "
				"it or use one of: daemon, control, "
				"bus, callers, upstreams",
				section->name);
	}
	return true;
}

static bool load_sections(const struct ini_document *doc,
			  struct settings *settings, GError **error)
{
	size_t g;

	if (!check_sections(doc, error))
		return false;
	for (g = 0; g < G_N_ELEMENTS(section_specs); g++)
		if (!ini_load_fields(
			    doc,
			    ini_document_section(doc, section_specs[g].section),
			    section_specs[g].fields, section_specs[g].nr,
			    settings, error))
			return false;
	return settings_check(doc, settings, error);
}

/* On success the caller must call ini_document_finish(). */
static bool load_document(struct ini_document *doc, struct settings *settings,
			  const char *path, GError **error)
{
	g_autofree char *text = ini_read_file(CW_ERROR_SETTINGS, path, error);
	bool ok = text &&
		  ini_document_parse(doc, CW_ERROR_SETTINGS, path, text, error);

	if (ok && !load_sections(doc, settings, error)) {
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
	if (!load_document(&doc, &fresh, path, error)) {
		settings_finish(&fresh);
		return false;
	}
	ini_document_finish(&doc);
	settings_finish(settings);
	*settings = fresh;
	return true;
}

static bool can_reload(const struct ini_field *field)
{
	return field->offset == offsetof(struct settings, log_level) ||
	       field->offset == offsetof(struct settings, max_callers) ||
	       field->offset == offsetof(struct settings, drain_timeout_us) ||
	       field->offset ==
		       offsetof(struct settings, caller_write_timeout_us) ||
	       field->offset == offsetof(struct settings, memory_budget) ||
	       field->offset == offsetof(struct settings, max_startups) ||
	       field->offset ==
		       offsetof(struct settings, max_callers_per_address) ||
	       field->offset ==
		       offsetof(struct settings, reserved_descriptors) ||
	       field->offset == offsetof(struct settings, max_upstreams) ||
	       field->offset == offsetof(struct settings, startup_timeout_us) ||
	       field->offset == offsetof(struct settings, message_timeout_us) ||
	       field->offset ==
		       offsetof(struct settings, transaction_idle_us) ||
	       field->offset == offsetof(struct settings, users_file);
}

static bool check_reload(const struct ini_document *doc,
			 const struct ini_field *field,
			 const struct settings *old,
			 const struct settings *fresh, GError **error)
{
	char *a = ini_field_text(field, old), *b = ini_field_text(field, fresh);
	bool same = !strcmp(a, b);

	g_free(a);
	g_free(b);
	if (same || can_reload(field))
		return true;
	return ini_set_error(doc,
			     settings_key_line(doc, field->section, field->key),
			     error,
			     "\"%s\" cannot change while the daemon runs; "
			     "restore its value or restart the daemon",
			     field->key);
}

static void copy_limits(struct settings *to, const struct settings *from)
{
	to->memory_budget = from->memory_budget;
	to->max_startups = from->max_startups;
	to->max_callers_per_address = from->max_callers_per_address;
	to->reserved_descriptors = from->reserved_descriptors;
	to->max_upstreams = from->max_upstreams;
	to->startup_timeout_us = from->startup_timeout_us;
	to->message_timeout_us = from->message_timeout_us;
	to->transaction_idle_us = from->transaction_idle_us;
}

bool settings_reload(struct settings *settings, const char *path,
		     GError **error)
{
	struct ini_document doc = { 0 };
	struct settings fresh;
	bool ok = true;
	size_t g, i;

	settings_init(&fresh);
	if (!load_document(&doc, &fresh, path, error)) {
		settings_finish(&fresh);
		return false;
	}
	for (g = 0; ok && g < G_N_ELEMENTS(section_specs); g++)
		for (i = 0; ok && i < section_specs[g].nr; i++)
			ok = check_reload(&doc, &section_specs[g].fields[i],
					  settings, &fresh, error);
	if (ok) {
		settings->log_level = fresh.log_level;
		settings->max_callers = fresh.max_callers;
		settings->drain_timeout_us = fresh.drain_timeout_us;
		settings->caller_write_timeout_us =
			fresh.caller_write_timeout_us;
		copy_limits(settings, &fresh);
		g_free(settings->users_file);
		settings->users_file = g_steal_pointer(&fresh.users_file);
	}
	ini_document_finish(&doc);
	settings_finish(&fresh);
	return ok;
}
