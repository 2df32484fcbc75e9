#include "ctl.h"
#include "error.h"

#include <string.h>

static Wire__Envelope *send_query(const struct ctl *ctl, const char *address,
				  const char *command, char *const *arguments,
				  GError **error)
{
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__Query query = WIRE__QUERY__INIT;

	query.command = (char *)command;
	query.arguments = (char **)arguments;
	while (arguments && arguments[query.n_arguments])
		query.n_arguments++;
	envelope.body_case = WIRE__ENVELOPE__BODY_QUERY;
	envelope.query = &query;
	return ctl_exchange(ctl, address, &envelope,
			    ctl_attempt_timeout_us(ctl), error);
}

/* Frees @reply. */
static json_t *parse_reply(const struct ctl *ctl, Wire__Envelope *reply,
			   int *code)
{
	const Wire__QueryReply *query_reply_body = reply->query_reply;
	json_t *json = NULL;

	if (query_reply_body->failed) {
		*code = ctl_fail(ctl, CTL_REFUSED, "%s",
				 query_reply_body->error);
	} else {
		json = json_loads(query_reply_body->json, JSON_DECODE_ANY,
				  NULL);
		if (!json)
			*code = ctl_fail(ctl, CTL_UNAVAILABLE,
					 "the reply is not valid JSON; use the "
					 "version of the tool that came with "
					 "the daemon");
	}
	wire__envelope__free_unpacked(reply, NULL);
	return json;
}

static bool is_query_reply(const Wire__Envelope *reply)
{
	return reply->body_case == WIRE__ENVELOPE__BODY_QUERY_REPLY;
}

static json_t *query_daemon(const struct ctl *ctl, const char *address,
			    const char *command, char *const *arguments,
			    int *code)
{
	Wire__Envelope *reply;
	GError *error = NULL;

	reply = send_query(ctl, address, command, arguments, &error);
	if (reply && is_query_reply(reply))
		return parse_reply(ctl, reply, code);
	if (reply)
		wire__envelope__free_unpacked(reply, NULL);
	if (error)
		*code = ctl_fail_gerror(ctl, CTL_UNAVAILABLE, error);
	else
		*code = ctl_fail(ctl, CTL_UNAVAILABLE,
				 "the daemon at %s does not answer; check the "
				 "address, the keys and that it is running",
				 address);
	return NULL;
}

static json_t *query_control(const struct ctl *ctl, const char *command,
			     char *const *arguments, int *code)
{
	struct ctl_control_iter iter;
	Wire__Envelope *reply;
	GError *error = NULL;
	const char *address;

	ctl_control_iter_init(&iter, ctl);
	while ((address = ctl_control_iter_next(&iter))) {
		reply = send_query(ctl, address, command, arguments, &error);
		if (error) {
			*code = ctl_fail_gerror(ctl, CTL_UNAVAILABLE, error);
			return NULL;
		}
		if (reply && is_query_reply(reply))
			return parse_reply(ctl, reply, code);
		if (reply && reply->body_case == WIRE__ENVELOPE__BODY_REDIRECT)
			ctl_control_iter_redirect(&iter,
						  reply->redirect->leader,
						  reply->redirect->address);
		if (reply)
			wire__envelope__free_unpacked(reply, NULL);
	}
	*code = ctl_fail(ctl, CTL_UNAVAILABLE,
			 "no control VM answers; check the addresses and the "
			 "keys, and that a majority of them is running");
	return NULL;
}

json_t *ctl_query(const struct ctl *ctl, const char *daemon,
		  const char *command, char *const *arguments, int *code)
{
	if (daemon)
		return query_daemon(ctl, daemon, command, arguments, code);
	return query_control(ctl, command, arguments, code);
}

int ctl_run_query(const struct ctl *ctl, const char *daemon,
		  const char *command, char *const *arguments)
{
	int code = CTL_OK;
	json_t *json = ctl_query(ctl, daemon, command, arguments, &code);

	if (json)
		ctl_print(ctl, json);
	return code;
}

int ctl_run_change(const struct ctl *ctl, const char *daemon,
		   const char *command, char *const *arguments)
{
	int code = CTL_OK;
	json_t *json;

	json = ctl_query(ctl, daemon, "status", NULL, &code);
	json_decref(json);
	if (!json)
		return code;
	code = CTL_OK;
	json = ctl_query(ctl, daemon, command, arguments, &code);
	if (json)
		ctl_print(ctl, json);
	if (code != CTL_UNAVAILABLE)
		return code;
	return ctl_fail(ctl, CTL_UNKNOWN,
			"the change may or may not have been made; check with "
			"status or member list before sending it again");
}
