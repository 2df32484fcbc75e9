#include "ctl.h"
#include "error.h"

#include <string.h>

/* Time between questions whether an accepted change is in force. */
#define IN_FORCE_POLL_US 100000

/**
 * struct change - one change on its way
 * @request: sent again unchanged, so that it takes effect at most once
 * @answer: last verdict, NULL before the first
 * @lost_answer: whether an attempt may have taken effect unseen
 */
struct change {
	struct ctl *ctl;
	Wire__ApplyRequest request;
	Wire__Envelope *answer;
	bool lost_answer;
};

static const Wire__ApplyVerdict *verdict_of(const struct change *change)
{
	return change->answer ? change->answer->apply_verdict : NULL;
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

static bool is_ours(const struct change *change, const Wire__Envelope *reply)
{
	return !strcmp(reply->apply_verdict->request_id,
		       change->request.request_id);
}

/* Goes on with the leader that a control VM names instead of a verdict. */
static void follow(struct ctl_rounds *rounds, const Wire__Envelope *reply)
{
	if (reply->body_case == WIRE__ENVELOPE__BODY_REDIRECT)
		ctl_rounds_redirect(rounds, reply->redirect->leader,
				    reply->redirect->address);
	else if (reply->body_case == WIRE__ENVELOPE__BODY_APPLY_VERDICT)
		ctl_rounds_redirect(rounds, reply->apply_verdict->leader,
				    reply->apply_verdict->leader_address);
}

/* Asks one control VM; true when a verdict came. */
static bool attempt(struct change *change, const char *address,
		    struct ctl_rounds *rounds)
{
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT, *reply;

	envelope.body_case = WIRE__ENVELOPE__BODY_APPLY_REQUEST;
	envelope.apply_request = &change->request;
	reply = ctl_exchange(change->ctl, address, &envelope,
			     ctl_attempt_us(change->ctl), NULL);
	if (!reply) {
		change->lost_answer = true;
		return false;
	}
	if (is_final(reply) && is_ours(change, reply)) {
		if (change->answer)
			wire__envelope__free_unpacked(change->answer, NULL);
		change->answer = reply;
		return true;
	}
	follow(rounds, reply);
	wire__envelope__free_unpacked(reply, NULL);
	return false;
}

static bool decide(struct change *change)
{
	struct ctl_rounds rounds;
	const char *address;

	ctl_rounds_init(&rounds, change->ctl);
	while ((address = ctl_rounds_next(&rounds)))
		if (attempt(change, address, &rounds))
			return true;
	return false;
}

/* A change that was accepted is never reverted, so waiting is safe to end. */
static void wait_in_force(struct change *change)
{
	struct ctl_rounds rounds;
	const char *address;

	ctl_rounds_init(&rounds, change->ctl);
	while (!verdict_of(change)->in_force &&
	       (address = ctl_rounds_next(&rounds))) {
		attempt(change, address, &rounds);
		if (!verdict_of(change)->in_force)
			g_usleep(IN_FORCE_POLL_US);
	}
}

static void print_verdict(const struct change *change, const char *word)
{
	const Wire__ApplyVerdict *v = verdict_of(change);

	ctl_print(change->ctl,
		  json_pack("{s:s, s:s, s:I, s:s, s:s, s:b}", "verdict", word,
			    "request_id", change->request.request_id, "version",
			    (json_int_t)v->version, "winner", v->winner,
			    "message", v->message, "in_force",
			    (int)v->in_force));
}

static int report_accepted(struct change *change)
{
	const struct ctl *ctl = change->ctl;
	const Wire__ApplyVerdict *v;

	wait_in_force(change);
	v = verdict_of(change);
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
	const Wire__ApplyVerdict *v = verdict_of(change);

	switch (v->verdict) {
	case WIRE__APPLY_VERDICT__VERDICT__ACCEPTED:
		return report_accepted(change);
	case WIRE__APPLY_VERDICT__VERDICT__CONFLICT:
		if (ctl->json) {
			print_verdict(change, "conflict");
			return CTL_CONFLICT;
		}
		return ctl_fail(ctl, CTL_CONFLICT,
				"version %" G_GUINT64_FORMAT " by %s won over "
				"this change of version %" G_GUINT64_FORMAT
				"; print it with show, make the edit in it and "
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

static int report_nothing(const struct change *change)
{
	if (!change->lost_answer)
		return ctl_fail(change->ctl, CTL_UNAVAILABLE,
				"no control VM leads, nothing was changed; "
				"check that a majority of them runs and apply "
				"again");
	return ctl_fail(change->ctl, CTL_UNKNOWN,
			"no verdict came, so the change may or may not be "
			"accepted; apply the same files again with "
			"--request-id %s --base-version %" G_GUINT64_FORMAT,
			change->request.request_id,
			change->request.base_version);
}

/* Asked even if a version was given: it shows that somebody answers. */
static int current_version(struct ctl *ctl, uint64_t *version)
{
	int code = CTL_OK;
	json_t *json = ctl_query(ctl, NULL, "tables", NULL, &code);

	if (json)
		*version = json_integer_value(json_object_get(json, "version"));
	json_decref(json);
	return code;
}

static int send_change(struct change *change, const struct arg_str *base)
{
	uint64_t version = 0;
	int code = current_version(change->ctl, &version);

	if (code)
		return code;
	change->request.base_version = version;
	if (base->count)
		change->request.base_version =
			g_ascii_strtoull(base->sval[0], NULL, 10);
	code = decide(change) ? report(change) : report_nothing(change);
	if (change->answer)
		wire__envelope__free_unpacked(change->answer, NULL);
	return code;
}

static int apply(struct ctl *ctl, const struct arg_file *files,
		 const struct arg_str *identity, const struct arg_str *base,
		 const struct arg_str *operator_name)
{
	struct change change = { .ctl = ctl };
	GError *error = NULL;
	struct tables tables;
	char *id;
	int code;

	if (base->count && !g_ascii_string_to_unsigned(base->sval[0], 10, 0,
						       G_MAXINT64, NULL, NULL))
		return ctl_fail(ctl, CTL_USAGE,
				"--base-version is no version; give a whole "
				"number");
	tables_init(&tables);
	if (!ctl_read_tables(&tables, files->filename[0], files->filename[1],
			     &error)) {
		tables_finish(&tables);
		return ctl_fail_with(ctl, CTL_REFUSED, error);
	}
	id = identity->count ? g_strdup(identity->sval[0]) :
			       g_uuid_string_random();
	wire__apply_request__init(&change.request);
	change.request.request_id = id;
	change.request.routes = tables.routes_text;
	change.request.pools = tables.pools_text;
	change.request.operator_name = (char *)(operator_name->count ?
							operator_name->sval[0] :
							g_get_user_name());
	code = send_change(&change, base);
	g_free(id);
	tables_finish(&tables);
	return code;
}

int command_apply(struct ctl *ctl, int argc, char **argv)
{
	struct arg_str *identity =
		arg_str0(NULL, "request-id", "ID",
			 "identity of a change that is sent again");
	struct arg_str *base =
		arg_str0(NULL, "base-version", "N",
			 "version that was edited (the one in force)");
	struct arg_str *operator_name = arg_str0(
		NULL, "operator", "NAME", "name in the audit trail (login)");
	struct arg_file *files = arg_filen(NULL, NULL, "ROUTES POOLS", 2, 2,
					   "files of the two tables");
	struct ctl_table table;
	int code;

	ctl_table_init(&table, CTL_CONTROL);
	ctl_table_add(&table, identity);
	ctl_table_add(&table, base);
	ctl_table_add(&table, operator_name);
	ctl_table_add(&table, files);
	code = ctl_table_parse(&table, ctl, argc, argv);
	if (code < 0)
		code = apply(ctl, files, identity, base, operator_name);
	ctl_table_finish(&table);
	return code;
}
