#include "ctl.h"
#include "error.h"

#include <string.h>

/* Interval at which to check whether an accepted change is in force. */
#define IN_FORCE_POLL_INTERVAL_US 100000

/**
 * struct change - a change to the tables that is being applied
 * @request: resent unchanged, so that it is applied at most once
 * @verdict_reply: reply with the last verdict, NULL before the first
 * @reply_lost: whether an attempt got no reply and may have been accepted
 */
struct change {
	struct ctl *ctl;
	Wire__ApplyRequest request;
	Wire__Envelope *verdict_reply;
	bool reply_lost;
};

static const Wire__ApplyVerdict *last_verdict(const struct change *change)
{
	return change->verdict_reply ? change->verdict_reply->apply_verdict :
				       NULL;
}

static bool is_final(const Wire__Envelope *reply)
{
	if (reply->body_case != WIRE__ENVELOPE__BODY_APPLY_VERDICT)
		return false;
	switch (reply->apply_verdict->verdict) {
	case WIRE__APPLY_VERDICT__VERDICT__ACCEPTED:
	case WIRE__APPLY_VERDICT__VERDICT__CONFLICT:
	case WIRE__APPLY_VERDICT__VERDICT__REFUSED:
		return true;
	default:
		return false;
	}
}

static bool matches_request(const struct change *change,
			    const Wire__Envelope *reply)
{
	return !strcmp(reply->apply_verdict->request_id,
		       change->request.request_id);
}

/* Tries the leader next if the reply names it instead of giving a verdict. */
static void follow_redirect(struct ctl_control_iter *iter,
			    const Wire__Envelope *reply)
{
	if (reply->body_case == WIRE__ENVELOPE__BODY_REDIRECT)
		ctl_control_iter_redirect(iter, reply->redirect->leader,
					  reply->redirect->address);
	else if (reply->body_case == WIRE__ENVELOPE__BODY_APPLY_VERDICT)
		ctl_control_iter_redirect(iter, reply->apply_verdict->leader,
					  reply->apply_verdict->leader_address);
}

/* Sends the request to one control VM; returns true on a final verdict. */
static bool try_control_vm(struct change *change, const char *address,
			   struct ctl_control_iter *iter)
{
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT, *reply;

	envelope.body_case = WIRE__ENVELOPE__BODY_APPLY_REQUEST;
	envelope.apply_request = &change->request;
	reply = ctl_exchange(change->ctl, address, &envelope,
			     ctl_attempt_timeout_us(change->ctl), NULL);
	if (!reply) {
		change->reply_lost = true;
		return false;
	}
	if (is_final(reply) && matches_request(change, reply)) {
		if (change->verdict_reply)
			wire__envelope__free_unpacked(change->verdict_reply,
						      NULL);
		change->verdict_reply = reply;
		return true;
	}
	follow_redirect(iter, reply);
	wire__envelope__free_unpacked(reply, NULL);
	return false;
}

static bool send_until_verdict(struct change *change)
{
	struct ctl_control_iter iter;
	const char *address;

	ctl_control_iter_init(&iter, change->ctl);
	while ((address = ctl_control_iter_next(&iter)))
		if (try_control_vm(change, address, &iter))
			return true;
	return false;
}

/* Giving up on a timeout is safe: an accepted change is never reverted. */
static void wait_in_force(struct change *change)
{
	struct ctl_control_iter iter;
	const char *address;

	ctl_control_iter_init(&iter, change->ctl);
	while (!last_verdict(change)->in_force &&
	       (address = ctl_control_iter_next(&iter))) {
		try_control_vm(change, address, &iter);
		if (!last_verdict(change)->in_force)
			g_usleep(IN_FORCE_POLL_INTERVAL_US);
	}
}

static void print_verdict(const struct change *change, const char *verdict_name)
{
	const Wire__ApplyVerdict *v = last_verdict(change);

	ctl_print(change->ctl, json_pack("{s:s, s:s, s:I, s:s, s:s, s:b}",
					 "verdict", verdict_name, "request_id",
					 change->request.request_id, "version",
					 (json_int_t)v->version, "winner",
					 v->winner, "message", v->message,
					 "in_force", (int)v->in_force));
}

static int report_accepted(struct change *change)
{
	const struct ctl *ctl = change->ctl;
	const Wire__ApplyVerdict *v;

	wait_in_force(change);
	v = last_verdict(change);
	if (ctl->json)
		print_verdict(change, "accepted");
	else if (v->in_force)
		fprintf(ctl->streams->out,
			"version %" G_GUINT64_FORMAT " is accepted and in "
			"force everywhere\n",
			v->version);
	else
		fprintf(ctl->streams->out,
			"version %" G_GUINT64_FORMAT " is accepted but not yet "
			"in force everywhere; see comfreywheelctl status\n",
			v->version);
	return CTL_OK;
}

static int report(struct change *change)
{
	const struct ctl *ctl = change->ctl;
	const Wire__ApplyVerdict *v = last_verdict(change);

	switch (v->verdict) {
	case WIRE__APPLY_VERDICT__VERDICT__ACCEPTED:
		return report_accepted(change);
	case WIRE__APPLY_VERDICT__VERDICT__CONFLICT:
		if (ctl->json) {
			print_verdict(change, "conflict");
			return CTL_CONFLICT;
		}
		return ctl_fail(
			ctl, CTL_CONFLICT,
			"version %" G_GUINT64_FORMAT " by %s conflicts with "
			"this change to version %" G_GUINT64_FORMAT
			"; print it with show, repeat the edit there and "
			"apply again with --base-version "
			"%" G_GUINT64_FORMAT,
			v->version, *v->winner ? v->winner : "another",
			change->request.base_version, v->version);
	default:
		if (ctl->json) {
			print_verdict(change, "refused");
			return CTL_REFUSED;
		}
		return ctl_fail(ctl, CTL_REFUSED, "%s", v->message);
	}
}

static int report_no_verdict(const struct change *change)
{
	if (!change->reply_lost)
		return ctl_fail(
			change->ctl, CTL_UNAVAILABLE,
			"no control VM is the leader, nothing was changed; "
			"check that a majority of them is running and "
			"apply again");
	return ctl_fail(change->ctl, CTL_UNKNOWN,
			"no verdict came, so the change may or may not be "
			"accepted; apply the same files again with "
			"--request-id %s --base-version %" G_GUINT64_FORMAT,
			change->request.request_id,
			change->request.base_version);
}

/*
 * Queried even with --base-version: without a reply, the change is not sent, so
 * nothing can have been changed.
 */
static int current_version(struct ctl *ctl, uint64_t *version)
{
	int code = CTL_OK;
	json_t *json = ctl_query(ctl, NULL, "tables", NULL, &code);

	if (json)
		*version = json_integer_value(json_object_get(json, "version"));
	json_decref(json);
	return code;
}

static int send_change(struct change *change, const struct arg_str *base_arg)
{
	uint64_t version = 0;
	int code = current_version(change->ctl, &version);

	if (code)
		return code;
	change->request.base_version = version;
	if (base_arg->count)
		change->request.base_version =
			g_ascii_strtoull(base_arg->sval[0], NULL, 10);
	code = send_until_verdict(change) ? report(change) :
					    report_no_verdict(change);
	if (change->verdict_reply)
		wire__envelope__free_unpacked(change->verdict_reply, NULL);
	return code;
}

static int apply(struct ctl *ctl, const struct arg_file *files,
		 const struct arg_str *id_arg, const struct arg_str *base_arg,
		 const struct arg_str *operator_name)
{
	struct change change = { .ctl = ctl };
	GError *error = NULL;
	struct tables tables;
	char *id;
	int code;

	if (base_arg->count &&
	    !g_ascii_string_to_unsigned(base_arg->sval[0], 10, 0, G_MAXINT64,
					NULL, NULL))
		return ctl_fail(ctl, CTL_USAGE,
				"--base-version is not a version; give a whole "
				"number");
	tables_init(&tables);
	if (!ctl_read_tables(&tables, files->filename[0], files->filename[1],
			     &error)) {
		tables_finish(&tables);
		return ctl_fail_gerror(ctl, CTL_REFUSED, error);
	}
	id = id_arg->count ? g_strdup(id_arg->sval[0]) : g_uuid_string_random();
	wire__apply_request__init(&change.request);
	change.request.request_id = id;
	change.request.routes = tables.routes_text;
	change.request.pools = tables.pools_text;
	change.request.operator_name = (char *)(operator_name->count ?
							operator_name->sval[0] :
							g_get_user_name());
	code = send_change(&change, base_arg);
	g_free(id);
	tables_finish(&tables);
	return code;
}

int command_apply(struct ctl *ctl, int argc, char **argv)
{
	struct arg_str *id_arg =
		arg_str0(NULL, "request-id", "ID",
			 "request ID of a change that is sent again");
	struct arg_str *base_arg =
		arg_str0(NULL, "base-version", "N",
			 "version the edit is based on (the one in force)");
	struct arg_str *operator_name = arg_str0(
		NULL, "operator", "NAME", "name in the audit trail (login)");
	struct arg_file *files =
		arg_filen(NULL, NULL, "ROUTES POOLS", 2, 2, "table files");
	struct ctl_arg_table table;
	int code;

	ctl_arg_table_init(&table, CTL_TARGET_CONTROL);
	ctl_arg_table_add(&table, id_arg);
	ctl_arg_table_add(&table, base_arg);
	ctl_arg_table_add(&table, operator_name);
	ctl_arg_table_add(&table, files);
	code = ctl_arg_table_parse(&table, ctl, argc, argv);
	if (code < 0)
		code = apply(ctl, files, id_arg, base_arg, operator_name);
	ctl_arg_table_finish(&table);
	return code;
}
