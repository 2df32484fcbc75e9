#include "announcement.h"

#include "error.h"
#include "position.h"

#include <arpa/inet.h>
#include <jansson.h>
#include <string.h>

static bool refuse(GError **error, const char *field, const char *expected)
{
	g_set_error(error, CW_ERROR, CW_ERROR_PROTOCOL,
		    "announcement field \"%s\" is missing or wrong; give %s",
		    field, expected);
	return false;
}

static bool is_name(const char *text)
{
	size_t len = strlen(text);
	size_t i;

	if (!len || len > ANNOUNCEMENT_TEXT_MAX)
		return false;
	for (i = 0; i < len; i++)
		if (!g_ascii_isgraph(text[i]))
			return false;
	return true;
}

static bool is_address(const char *text)
{
	unsigned char parsed[sizeof(struct in6_addr)];

	return inet_pton(AF_INET, text, parsed) == 1 ||
	       inet_pton(AF_INET6, text, parsed) == 1;
}

bool announcement_check(const Wire__Announcement *ann, GError **error)
{
	static const char name_form[] =
		"1 to 63 printable characters without blanks";
	const struct {
		const char *field;
		const char *value;
	} texts[] = {
		{ "name", ann->name },
		{ "availability_zone", ann->availability_zone },
		{ "service", ann->service },
		{ "cluster", ann->cluster },
		{ "database", ann->database },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(texts); i++)
		if (!is_name(texts[i].value))
			return refuse(error, texts[i].field, name_form);
	if (!is_address(ann->address))
		return refuse(error, "address", "an IP address");
	if (!ann->port || ann->port > UINT16_MAX)
		return refuse(error, "port", "a number from 1 to 65535");
	if (!ann->position || !ann->position->term)
		return refuse(error, "term", "a number from 1 to 4294967295");
	return true;
}

static bool take_text(json_t *json, const char *field, char **text,
		      GError **error)
{
	json_t *value = json_object_get(json, field);

	if (!json_is_string(value) ||
	    strlen(json_string_value(value)) != json_string_length(value))
		return refuse(error, field, "a text");
	*text = g_strdup(json_string_value(value));
	return true;
}

static bool take_texts(json_t *json, Wire__Announcement *ann, GError **error)
{
	return take_text(json, "name", &ann->name, error) &&
	       take_text(json, "address", &ann->address, error) &&
	       take_text(json, "availability_zone", &ann->availability_zone,
			 error) &&
	       take_text(json, "service", &ann->service, error) &&
	       take_text(json, "cluster", &ann->cluster, error) &&
	       take_text(json, "database", &ann->database, error);
}

static bool take_number(json_t *json, const char *field, json_int_t max,
			uint32_t *number, GError **error)
{
	json_t *value = json_object_get(json, field);

	if (!json_is_integer(value) || json_integer_value(value) < 1 ||
	    json_integer_value(value) > max)
		return refuse(error, field, "a positive number in range");
	*number = json_integer_value(value);
	return true;
}

static bool take_position(json_t *json, Wire__Announcement *ann, GError **error)
{
	const char *text = json_string_value(json_object_get(json, "position"));
	struct position pos;
	uint32_t term;

	if (!take_number(json, "term", UINT32_MAX, &term, error))
		return false;
	if (!text || !position_parse(text, &pos) || pos.term != term)
		return refuse(error, "position",
			      "TERM:HIGH/LOW with the term of field \"term\"");
	ann->position = g_new(Wire__Position, 1);
	wire__position__init(ann->position);
	ann->position->term = pos.term;
	ann->position->lsn = pos.lsn;
	return true;
}

static bool take_role(json_t *json, Wire__Announcement *ann, GError **error)
{
	const char *role = json_string_value(json_object_get(json, "role"));
	json_t *leaving = json_object_get(json, "leaving");

	if (!role || (strcmp(role, "primary") && strcmp(role, "replica")))
		return refuse(error, "role", "primary or replica");
	if (leaving && !json_is_boolean(leaving))
		return refuse(error, "leaving", "true or false");
	ann->primary = !strcmp(role, "primary");
	ann->leaving = json_is_true(leaving);
	return true;
}

static bool take_all(json_t *json, Wire__Announcement *ann, GError **error)
{
	return take_texts(json, ann, error) &&
	       take_number(json, "port", UINT16_MAX, &ann->port, error) &&
	       take_position(json, ann, error) && take_role(json, ann, error) &&
	       announcement_check(ann, error);
}

Wire__Announcement *announcement_parse(const char *text, size_t len,
				       GError **error)
{
	Wire__Announcement *ann;
	json_error_t where;
	json_t *json;

	if (len > ANNOUNCEMENT_MAX) {
		g_set_error(error, CW_ERROR, CW_ERROR_PROTOCOL,
			    "announcement of %zu bytes; send at most %d", len,
			    ANNOUNCEMENT_MAX);
		return NULL;
	}
	json = json_loadb(text, len, JSON_REJECT_DUPLICATES, &where);
	if (!json_is_object(json)) {
		g_set_error(error, CW_ERROR, CW_ERROR_PROTOCOL,
			    "announcement is no JSON object; send one object "
			    "as the body");
		json_decref(json);
		return NULL;
	}
	ann = g_new(Wire__Announcement, 1);
	wire__announcement__init(ann);
	if (!take_all(json, ann, error)) {
		wire__announcement__free_unpacked(ann, NULL);
		ann = NULL;
	}
	json_decref(json);
	return ann;
}
