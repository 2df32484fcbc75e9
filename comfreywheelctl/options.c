#include "ctl.h"
#include "error.h"
#include "ini_reader.h"

#include <string.h>

#define DEFAULT_TIMEOUT_US INT64_C(10000000)
/* Maximum number of command line errors to print. */
#define MAX_PRINTED_ERRORS 10

static void clear_control_peer(void *data)
{
	g_free(((struct control_peer *)data)->address);
}

void ctl_init(struct ctl *ctl, const char *command,
	      const struct ctl_streams *streams)
{
	memset(ctl, 0, sizeof(*ctl));
	ctl->command = command;
	ctl->streams = streams;
	ctl->control = g_array_new(FALSE, FALSE, sizeof(struct control_peer));
	g_array_set_clear_func(ctl->control, clear_control_peer);
	ctl->timeout_us = DEFAULT_TIMEOUT_US;
}

void ctl_finish(struct ctl *ctl)
{
	g_array_free(ctl->control, TRUE);
	g_free(ctl->daemon);
	g_free(ctl->public_key);
	g_free(ctl->secret_key);
}

void ctl_arg_table_add(struct ctl_arg_table *table, void *argument)
{
	g_assert(table->nr < CTL_ARG_TABLE_MAX);
	table->argv[table->nr++] = argument;
}

static void add_client_options(struct ctl_arg_table *table,
			       enum ctl_target target)
{
	struct ctl_options *options = &table->common;

	if (target != CTL_TARGET_DAEMON) {
		options->control = arg_str0(NULL, "control", "IP:PORT[,...]",
					    "control VMs, each as IP:PORT or "
					    "ID@IP:PORT");
		ctl_arg_table_add(table, options->control);
	}
	if (target != CTL_TARGET_CONTROL) {
		options->daemon = arg_str0(NULL, "daemon", "IP:PORT",
					   "bus endpoint of a daemon");
		ctl_arg_table_add(table, options->daemon);
	}
	options->public_key_file = arg_file0(NULL, "public-key-file", "FILE",
					     "public key of the bus");
	options->secret_key_file = arg_file0(NULL, "secret-key-file", "FILE",
					     "secret key of the bus");
	options->settings =
		arg_file0(NULL, "settings", "FILE",
			  "settings file of a daemon, with the control "
			  "VMs and keys");
	options->timeout = arg_str0(NULL, "timeout", "DURATION",
				    "timeout of the whole command (10s)");
	ctl_arg_table_add(table, options->public_key_file);
	ctl_arg_table_add(table, options->secret_key_file);
	ctl_arg_table_add(table, options->settings);
	ctl_arg_table_add(table, options->timeout);
}

void ctl_arg_table_init(struct ctl_arg_table *table, enum ctl_target target)
{
	memset(table, 0, sizeof(*table));
	table->common.help = arg_lit0(NULL, "help", "print this help");
	table->common.json = arg_lit0(NULL, "json", "print JSON");
	ctl_arg_table_add(table, table->common.help);
	ctl_arg_table_add(table, table->common.json);
	if (target != CTL_TARGET_NONE)
		add_client_options(table, target);
}

void ctl_arg_table_finish(struct ctl_arg_table *table)
{
	arg_freetable(table->argv, table->nr);
}

static void print_help(const struct ctl *ctl, struct ctl_arg_table *table)
{
	fprintf(ctl->streams->out, "usage: comfreywheelctl %s", ctl->command);
	arg_print_syntax(ctl->streams->out, table->argv, "\n\n");
	arg_print_glossary(ctl->streams->out, table->argv, "  %-30s %s\n");
}

static bool add_control_peer(struct ctl *ctl, const char *text)
{
	const char *at = strchr(text, '@');
	struct control_peer peer = { 0 };
	guint64 id = 0;
	char *number;
	bool ok = true;

	if (at) {
		number = g_strndup(text, at - text);
		ok = g_ascii_string_to_unsigned(number, 10, 1, G_MAXUINT64, &id,
						NULL);
		g_free(number);
		text = at + 1;
	}
	if (!ok || !ini_is_address(text))
		return false;
	peer.id = id;
	peer.address = g_strdup(text);
	g_array_append_val(ctl->control, peer);
	return true;
}

static bool parse_control_list(struct ctl *ctl, const char *list)
{
	char **items = ini_split_list(list);
	size_t i;
	bool ok = items != NULL;

	for (i = 0; ok && items[i]; i++)
		ok = add_control_peer(ctl, items[i]);
	g_strfreev(items);
	return ok;
}

static void use_settings(struct ctl *ctl, const struct settings *settings)
{
	const struct control_peer *peer;
	struct control_peer copy;
	guint i;

	for (i = 0; i < settings->control_peers->len; i++) {
		peer = &g_array_index(settings->control_peers,
				      struct control_peer, i);
		copy.id = peer->id;
		copy.address = g_strdup(peer->address);
		g_array_append_val(ctl->control, copy);
	}
	ctl->daemon = g_strdup(settings->bus_listen);
	ctl->public_key = g_strdup(settings->bus_public_key);
	ctl->secret_key = g_strdup(settings->bus_secret_key);
}

static bool read_key(const char *file, char **key, GError **error)
{
	GError *read_error = NULL;
	char *text;

	if (!g_file_get_contents(file, &text, NULL, &read_error)) {
		g_set_error(error, CW_ERROR, CW_ERROR_USAGE,
			    "%s; name a file written by comfreywheelctl keygen",
			    read_error->message);
		g_error_free(read_error);
		return false;
	}
	g_free(*key);
	*key = g_strstrip(text);
	return true;
}

static bool read_key_files(struct ctl *ctl, const struct ctl_options *options,
			   GError **error)
{
	if (options->public_key_file->count !=
	    options->secret_key_file->count) {
		g_set_error(error, CW_ERROR, CW_ERROR_USAGE,
			    "one key file is missing; give both "
			    "--public-key-file and --secret-key-file");
		return false;
	}
	return !options->public_key_file->count ||
	       (read_key(options->public_key_file->filename[0],
			 &ctl->public_key, error) &&
		read_key(options->secret_key_file->filename[0],
			 &ctl->secret_key, error));
}

static bool parse_addresses(struct ctl *ctl, const struct ctl_options *options,
			    GError **error)
{
	if (options->control && options->control->count) {
		g_array_set_size(ctl->control, 0);
		if (!parse_control_list(ctl, options->control->sval[0])) {
			g_set_error(
				error, CW_ERROR, CW_ERROR_USAGE,
				"--control is not a list of addresses; give "
				"IP:PORT or ID@IP:PORT, separated by "
				"commas");
			return false;
		}
	}
	if (options->daemon && options->daemon->count) {
		g_free(ctl->daemon);
		ctl->daemon = g_strdup(options->daemon->sval[0]);
		if (!ini_is_address(ctl->daemon)) {
			g_set_error(error, CW_ERROR, CW_ERROR_USAGE,
				    "--daemon is not an address; give IP:PORT");
			return false;
		}
	}
	return true;
}

static bool parse_client_options(struct ctl *ctl,
				 const struct ctl_options *options,
				 GError **error)
{
	struct settings settings;
	bool ok = true;

	if (options->settings->count) {
		settings_init(&settings);
		ok = settings_load(&settings, options->settings->filename[0],
				   error);
		if (ok)
			use_settings(ctl, &settings);
		settings_finish(&settings);
	}
	if (!ok || !read_key_files(ctl, options, error) ||
	    !parse_addresses(ctl, options, error))
		return false;
	if (options->timeout->count &&
	    (!duration_parse(options->timeout->sval[0], &ctl->timeout_us) ||
	     !ctl->timeout_us)) {
		g_set_error(
			error, CW_ERROR, CW_ERROR_USAGE,
			"--timeout is not a duration; give one with its unit, "
			"such as 250ms or 4s");
		return false;
	}
	/*
	 * A command that accepts both targets uses the daemon only if --daemon
	 * was given, not the one from --settings.
	 */
	if (options->control && options->daemon && !options->daemon->count)
		g_clear_pointer(&ctl->daemon, g_free);
	return true;
}

static bool check_address_given(const struct ctl *ctl,
				const struct ctl_options *options,
				GError **error)
{
	if (options->daemon && ctl->daemon)
		return true;
	if (options->control && ctl->control->len)
		return true;
	g_set_error(error, CW_ERROR, CW_ERROR_USAGE,
		    "no address to connect to; give %s or --settings",
		    options->control ? "--control" : "--daemon");
	return false;
}

int ctl_arg_table_parse(struct ctl_arg_table *table, struct ctl *ctl, int argc,
			char **argv)
{
	struct ctl_options *options = &table->common;
	GError *error = NULL;
	int nr_errors;

	options->end = arg_end(MAX_PRINTED_ERRORS);
	ctl_arg_table_add(table, options->end);
	nr_errors = arg_parse(argc, argv, table->argv);
	ctl->json = options->json->count;
	if (options->help->count) {
		print_help(ctl, table);
		return CTL_OK;
	}
	if (nr_errors) {
		arg_print_errors(ctl->streams->err, options->end,
				 "comfreywheelctl");
		return ctl_fail(ctl, CTL_USAGE,
				"the command line is not valid; see "
				"comfreywheelctl %s --help",
				ctl->command);
	}
	if (!options->settings)
		return -1;
	if (!parse_client_options(ctl, options, &error) ||
	    !check_address_given(ctl, options, &error))
		return ctl_fail_gerror(ctl, CTL_USAGE, error);
	return -1;
}
