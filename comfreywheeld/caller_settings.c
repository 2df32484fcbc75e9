#include "caller_settings.h"

#include "error.h"
#include "settings.h"

#include <inttypes.h>
#include <string.h>

#define PREFIX "comfreywheel."
/* Longer identities would make every lookup message larger. */
#define SESSION_MAX 256
/* A deadline further away holds a place in the queue for no purpose. */
#define DEADLINE_MAX_US (3600ll * 1000000)

void caller_settings_init(struct caller_settings *set)
{
	memset(set, 0, sizeof(*set));
	set->max_age_us = INT64_MAX;
}

void caller_settings_finish(struct caller_settings *set)
{
	g_free(set->session);
	g_free(set->request_id);
	caller_settings_init(set);
}

static bool refuse(GError **error, const char *name, const char *value,
		   const char *remedy)
{
	g_set_error(error, CW_ERROR, CW_ERROR_SETTINGS,
		    "invalid value for %s: \"%s\"; %s", name, value, remedy);
	return false;
}

static bool assign_text(char **text, const char *name, const char *value,
			size_t max, GError **error)
{
	if (value && strlen(value) > max)
		return refuse(error, name, value, "use a shorter text");
	g_free(*text);
	*text = value && *value ? g_strdup(value) : NULL;
	return true;
}

static bool assign_session(struct caller_settings *set, const char *name,
			   const char *value, GError **error)
{
	return assign_text(&set->session, name, value, SESSION_MAX, error);
}

static bool assign_request_id(struct caller_settings *set, const char *name,
			      const char *value, GError **error)
{
	return assign_text(&set->request_id, name, value, CALLER_REQUEST_ID_MAX,
			   error);
}

static bool assign_position(struct caller_settings *set, const char *name,
			    const char *value, GError **error)
{
	struct position pos;

	if (!value || !*value) {
		set->has_position = false;
		return true;
	}
	if (!position_parse(value, &pos))
		return refuse(error, name, value,
			      "pass the text reported after a write, such as "
			      "3:0/16B3748");
	set->has_position = true;
	set->position = pos;
	return true;
}

static bool assign_duration(int64_t *us, int64_t none, const char *name,
			    const char *value, GError **error)
{
	int64_t parsed;

	if (!value || !*value) {
		*us = none;
		return true;
	}
	if (!duration_parse(value, &parsed) || parsed <= 0 ||
	    parsed > DEADLINE_MAX_US)
		return refuse(error, name, value,
			      "use a number with a unit, such as 500ms, of at "
			      "most 1h");
	*us = parsed;
	return true;
}

static bool assign_max_age(struct caller_settings *set, const char *name,
			   const char *value, GError **error)
{
	return assign_duration(&set->max_age_us, INT64_MAX, name, value, error);
}

static bool assign_deadline(struct caller_settings *set, const char *name,
			    const char *value, GError **error)
{
	return assign_duration(&set->deadline_us, 0, name, value, error);
}

static bool assign_repeatable(struct caller_settings *set, const char *name,
			      const char *value, GError **error)
{
	static const char *const on[] = { "on", "true", "yes", "1", NULL };
	static const char *const off[] = { "off", "false", "no", "0", NULL };
	char *lower = g_ascii_strdown(value ? value : "off", -1);
	bool is_on = g_strv_contains(on, lower);
	bool known = is_on || g_strv_contains(off, lower);

	g_free(lower);
	if (!known)
		return refuse(error, name, value, "use on or off");
	set->repeatable = is_on;
	return true;
}

static char *show_session(const struct caller_settings *set)
{
	return g_strdup(set->session ? set->session : "");
}

static char *show_request_id(const struct caller_settings *set)
{
	return g_strdup(set->request_id ? set->request_id : "");
}

static char *show_position(const struct caller_settings *set)
{
	char text[POSITION_TEXT_SIZE];

	if (!set->has_position)
		return g_strdup("");
	return g_strdup(position_format(set->position, text));
}

static char *show_duration(int64_t us, int64_t none)
{
	if (us == none)
		return g_strdup("");
	if (us % 1000)
		return g_strdup_printf("%" PRId64 "us", us);
	return g_strdup_printf("%" PRId64 "ms", us / 1000);
}

static char *show_max_age(const struct caller_settings *set)
{
	return show_duration(set->max_age_us, INT64_MAX);
}

static char *show_deadline(const struct caller_settings *set)
{
	return show_duration(set->deadline_us, 0);
}

static char *show_repeatable(const struct caller_settings *set)
{
	return g_strdup(set->repeatable ? "on" : "off");
}

struct setting {
	const char *name;
	bool (*assign)(struct caller_settings *set, const char *name,
		       const char *value, GError **error);
	char *(*show)(const struct caller_settings *set);
};

static const struct setting known_settings[] = {
	{ PREFIX "session", assign_session, show_session },
	{ PREFIX "position", assign_position, show_position },
	{ PREFIX "max_age", assign_max_age, show_max_age },
	{ PREFIX "repeatable", assign_repeatable, show_repeatable },
	{ PREFIX "request_id", assign_request_id, show_request_id },
	{ PREFIX "deadline", assign_deadline, show_deadline },
};

static const struct setting *find(const char *name)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(known_settings); i++)
		if (!g_ascii_strcasecmp(known_settings[i].name, name))
			return &known_settings[i];
	return NULL;
}

bool caller_settings_knows(const char *name)
{
	return find(name) != NULL;
}

bool caller_settings_assign(struct caller_settings *set, const char *name,
			    const char *value, GError **error)
{
	const struct setting *at = find(name);

	if (at)
		return at->assign(set, at->name, value, error);
	g_set_error(error, CW_ERROR, CW_ERROR_SETTINGS,
		    "there is no setting %s; use session, position, max_age, "
		    "repeatable, request_id or deadline after the prefix "
		    "comfreywheel",
		    name);
	return false;
}

char *caller_settings_show(const struct caller_settings *set, const char *name)
{
	const struct setting *at = find(name);

	return at ? at->show(set) : NULL;
}
