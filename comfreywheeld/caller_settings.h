#ifndef CALLER_SETTINGS_H
#define CALLER_SETTINGS_H

#include "position.h"
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Settings a caller changes for its own connection.
 *
 *	comfreywheel.session     identity of the session, the user by default
 *	comfreywheel.position    position that reads must hold
 *	comfreywheel.max_age     largest age of the data read, such as 500ms
 *	comfreywheel.repeatable  on if requests may run more than once
 *	comfreywheel.request_id  identity of the next write
 *	comfreywheel.deadline    time allowed for a request, such as 2s
 */

#define CALLER_REQUEST_ID_MAX 128

struct caller_settings {
	char *session;
	char *request_id;
	bool has_position;
	struct position position;
	int64_t max_age_us;
	int64_t deadline_us;
	bool repeatable;
};

void caller_settings_init(struct caller_settings *set);
void caller_settings_finish(struct caller_settings *set);

/** caller_settings_knows() - whether @name is one of the settings above */
bool caller_settings_knows(const char *name);

/**
 * caller_settings_assign() - change one setting
 * @value: new value, NULL for the default
 * Return: false with a message that names the remedy
 */
bool caller_settings_assign(struct caller_settings *set, const char *name,
			    const char *value, GError **error);

/** caller_settings_show() - current value; NULL for an unknown name */
char *caller_settings_show(const struct caller_settings *set, const char *name);

#endif
