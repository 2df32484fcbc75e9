#include "announcement.h"

#include "error.h"
#include "position.h"

#include <arpa/inet.h>
#include <jansson.h>
#include <string.h>

static bool set_field_error(GError **error, const char *field,
			    const char *expected)
{
	g_set_error(error, CW_ERROR, CW_ERROR_PROTOCOL,
		    "announcement field \"%s\" is missing or invalid; give %s",
		    field, expected);
	return false;
}

static bool is_valid_name(const char *text)
{
	size_t len = strlen(text);
	size_t i;

	if (!len || len > ANNOUNCEMENT_NAME_MAX_BYTES)
		return false;
	for (i = 0; i < len; i++)
		if (!g_ascii_isgraph(text[i]))
			return false;
	return true;
}

static bool is_ip_address(const char *text)
{
	unsigned char parsed[sizeof(struct in6_addr)];

	return inet_pton(AF_INET, text, parsed) == 1 ||
	       inet_pton(AF_INET6, text, parsed) == 1;
}

bool announcement_check(const Wire__Announcement *ann, GError **error)
{
	static const char name_rule[] =
		"1 to 63 printable characters without spaces";
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
		if (!is_valid_name(texts[i].value))
			return set_field_error(error, texts[i].field,
					       name_rule);
	if (!is_ip_address(ann->address))
		return set_field_error(error, "address", "an IP address");
	if (!ann->port || ann->port > UINT16_MAX)
		return set_field_error(error, "port",
				       "a number from 1 to 65535");
	if (!ann->position || !ann->position->term)
		return set_field_error(error, "term",
				       "a number from 1 to 4294967295");
	return true;
}

static bool decode_string(json_t *json, const char *field, char **text,
			  GError **error)
{
	json_t *value = json_object_get(json, field);

	if (!json_is_string(value) ||
	    strlen(json_string_value(value)) != json_string_length(value))
		return set_field_error(error, field, "a string");
	*text = g_strdup(json_string_value(value));
	return true;
}

static bool decode_strings(json_t *json, Wire__Announcement *ann,
			   GError **error)
{
	return decode_string(json, "name", &ann->name, error) &&
	       decode_string(json, "address", &ann->address, error) &&
	       decode_string(json, "availability_zone", &ann->availability_zone,
			     error) &&
	       decode_string(json, "service", &ann->service, error) &&
	       decode_string(json, "cluster", &ann->cluster, error) &&
	       decode_string(json, "database", &ann->database, error);
}

static bool decode_number(json_t *json, const char *field, json_int_t max,
			  uint32_t *number, GError **error)
{
	json_t *value = json_object_get(json, field);

	if (!json_is_integer(value) || json_integer_value(value) < 1 ||
	    json_integer_value(value) > max)
		return set_field_error(error, field,
				       "a positive integer in range");
	*number = json_integer_value(value);
	return true;
}

static bool decode_position(json_t *json, Wire__Announcement *ann,
			    GError **error)
{
	const char *text = json_string_value(json_object_get(json, "position"));
	struct position pos;
	uint32_t term;

	if (!decode_number(json, "term", UINT32_MAX, &term, error))
		return false;
	if (!text || !position_parse(text, &pos) || pos.term != term)
		return set_field_error(
			error, "position",
			"TERM:HIGH/LOW with the term of field \"term\"");
	ann->position = g_new(Wire__Position, 1);
	wire__position__init(ann->position);
	ann->position->term = pos.term;
	ann->position->lsn = pos.lsn;
	return true;
}

static bool decode_role_and_leaving(json_t *json, Wire__Announcement *ann,
				    GError **error)
{
	const char *role = json_string_value(json_object_get(json, "role"));
	json_t *leaving = json_object_get(json, "leaving");

	if (!role || (strcmp(role, "primary") && strcmp(role, "replica")))
		return set_field_error(error, "role", "primary or replica");
	if (leaving && !json_is_boolean(leaving))
		return set_field_error(error, "leaving", "true or false");
	ann->primary = !strcmp(role, "primary");
	ann->leaving = json_is_true(leaving);
	return true;
}

static bool decode_announcement(json_t *json, Wire__Announcement *ann,
				GError **error)
{
	return decode_strings(json, ann, error) &&
	       decode_number(json, "port", UINT16_MAX, &ann->port, error) &&
	       decode_position(json, ann, error) &&
	       decode_role_and_leaving(json, ann, error) &&
	       announcement_check(ann, error);
}

Wire__Announcement *announcement_parse(const char *text, size_t len,
				       GError **error)
{
	Wire__Announcement *ann;
	json_error_t json_error;
	json_t *json;

	if (len > ANNOUNCEMENT_MAX_BYTES) {
		g_set_error(error, CW_ERROR, CW_ERROR_PROTOCOL,
			    "announcement has %zu bytes; send at most %d", len,
			    ANNOUNCEMENT_MAX_BYTES);
		return NULL;
	}
	json = json_loadb(text, len, JSON_REJECT_DUPLICATES, &json_error);
	if (!json_is_object(json)) {
		g_set_error(error, CW_ERROR, CW_ERROR_PROTOCOL,
			    "announcement is not a JSON object; send one "
			    "object as the body");
		json_decref(json);
		return NULL;
	}
	ann = g_new(Wire__Announcement, 1);
	wire__announcement__init(ann);
	if (!decode_announcement(json, ann, error)) {
		wire__announcement__free_unpacked(ann, NULL);
		ann = NULL;
	}
	json_decref(json);
	return ann;
}
