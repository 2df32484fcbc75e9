#include "settings_internal.h"
#include "log.h"

#include <string.h>

/* Number of characters of a CURVE key in ZeroMQ's Z85 encoding. */
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

static bool is_duplicate_peer(const GArray *peers,
			      const struct control_peer *peer)
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

GArray *settings_peers_new(void)
{
	GArray *peers = g_array_new(FALSE, FALSE, sizeof(struct control_peer));

	g_array_set_clear_func(peers, clear_peer);
	return peers;
}

static bool parse_peers(const char *text, const struct ini_field *field,
			void *target)
{
	char **items = ini_split_list(text);
	GArray *peers = settings_peers_new(), **member = target;
	struct control_peer peer;
	bool ok = items != NULL;
	size_t i;

	for (i = 0; ok && items[i]; i++) {
		ok = parse_peer(items[i], &peer);
		if (!ok)
			break;
		ok = !is_duplicate_peer(peers, &peer);
		g_array_append_val(peers, peer);
	}
	g_strfreev(items);
	if (!ok) {
		g_array_free(peers, TRUE);
		return false;
	}
	g_array_free(*member, TRUE);
	*member = peers;
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

const struct ini_type settings_type_level = {
	.expected = "one of: error, warning, notice, info, debug",
	.parse = parse_level,
	.print = print_level,
};

const struct ini_type settings_type_key = {
	.expected = "a Z85 key of 40 characters, as comfreywheelctl keygen "
		    "makes them",
	.parse = parse_key,
	.print = ini_print_text,
	.release = ini_release_text,
	.secret = true,
};

const struct ini_type settings_type_peers = {
	.expected = "each control VM once, as ID@IP:PORT separated by commas",
	.parse = parse_peers,
	.print = print_peers,
	.release = release_peers,
};
