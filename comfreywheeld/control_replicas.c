#include "control_core.h"
#include "log.h"
#include "position_query.h"

#include <string.h>

/* A replica that does not answer the question in this time counts as lost. */
#define ASK_S 1.
/*
 * Shorter than pg_promote() waits: a promotion that takes longer is asked for
 * again, which a promoted server refuses, and its term is read then.
 */
#define PROMOTE_S 2.5
#define REPOINT_S 2.5

static const char promote_text[] = "SELECT pg_promote(true, 5)";
static const char reload_text[] = "SELECT pg_reload_conf()";

void control_replica_free(void *data)
{
	struct control_replica *r = data;

	pg_errand_cancel(r->errand);
	g_free(r->name);
	g_free(r->address);
	g_free(r);
}

int control_replica_index(struct control_run *run, const char *name)
{
	struct control_replica *r;
	guint i;

	for (i = 0; i < run->replicas->len; i++) {
		r = run->replicas->pdata[i];
		if (!strcmp(r->name, name))
			return (int)i;
	}
	r = g_new0(struct control_replica, 1);
	r->run = run;
	r->name = g_strdup(name);
	g_ptr_array_add(run->replicas, r);
	return (int)i;
}

static void take_address(char **address, uint16_t *port,
			 const Wire__UpstreamReport *report)
{
	if (!*report->address)
		return;
	g_free(*address);
	*address = g_strdup(report->address);
	*port = (uint16_t)report->port;
}

/* What daemons read in normal times is enough to see who must be repointed. */
static void take_report(struct control_replica *r,
			const Wire__UpstreamReport *report)
{
	int step = r->run->fo.step;

	take_address(&r->address, &r->port, report);
	if (!report->primary && report->received)
		r->known_term = MAX(r->known_term, report->received->term);
	if (step == FAILOVER_FENCING || step == FAILOVER_PROMOTING)
		return;
	r->answered = report->reachable;
	r->promoted = report->primary;
	if (report->received) {
		r->received.term = report->received->term;
		r->received.lsn = report->received->lsn;
	}
}

void control_replicas_update(struct control_run *run)
{
	struct control_facts facts = control_facts(run->control);
	const struct control_cluster *cl = control_state_cluster(
		&run->control->state, run->service, run->cluster);
	GHashTable *upstreams =
		control_view_upstreams(&facts, run->service, run->cluster);
	GHashTableIter it;
	void *p;
	int at;

	g_hash_table_iter_init(&it, upstreams);
	while (cl && g_hash_table_iter_next(&it, NULL, &p)) {
		const Wire__UpstreamReport *report =
			((const struct control_upstream *)p)->report;

		if (!strcmp(report->name, cl->primary))
			take_address(&run->primary_address, &run->primary_port,
				     report);
		if (!control_view_replicates(cl, report))
			continue;
		at = control_replica_index(run, report->name);
		take_report(run->replicas->pdata[at], report);
	}
	g_hash_table_destroy(upstreams);
}

static void on_answer(bool ok, const struct pg_position *pos, void *data)
{
	struct control_replica *r = data;

	r->errand = NULL;
	r->answered = false;
	if (ok) {
		r->promoted = !pos->in_recovery;
		r->received.term = pos->term;
		r->received.lsn = pos->received;
		/*
		 * A replica whose receiver ended with the primary does not
		 * name its term; it is the one daemons read while it ran.
		 */
		if (!pos->term)
			r->received.term = r->known_term;
		if (pos->in_recovery)
			r->before = pos->received;
		r->answered = r->received.term > 0;
	}
	control_run_wake(r->run);
}

static void start(struct control_replica *r, const char *const *statements,
		  double timeout_s)
{
	if (r->errand || !r->address)
		return;
	r->errand = pg_errand_start(r->run->control, r->address, r->port,
				    statements, timeout_s, on_answer, r);
	if (!r->errand)
		r->answered = false;
}

void control_replicas_ask(struct control_run *run)
{
	const char *const statements[] = { position_query_text, NULL };
	guint i;

	control_replicas_update(run);
	for (i = 0; i < run->replicas->len; i++)
		start(run->replicas->pdata[i], statements, ASK_S);
}

void control_replica_promote(struct control_replica *r)
{
	const char *const statements[] = { promote_text, position_query_text,
					   NULL };

	log_notice("promoting %s for %s.%s", r->name, r->run->service,
		   r->run->cluster);
	start(r, statements, PROMOTE_S);
}

/* The address goes into an SQL literal and into a conninfo string. */
static bool is_plain_address(const char *text)
{
	return *text &&
	       strspn(text, "0123456789abcdefABCDEF.:") == strlen(text);
}

static void repoint(struct control_replica *r, const char *host, uint16_t port)
{
	g_autofree char *set = g_strdup_printf(
		"ALTER SYSTEM SET primary_conninfo = 'host=%s port=%u'", host,
		port);
	const char *const statements[] = { set, reload_text,
					   position_query_text, NULL };

	log_notice("pointing %s to the new primary at %s:%u", r->name, host,
		   port);
	start(r, statements, REPOINT_S);
}

void control_replicas_repoint(struct control_run *run)
{
	guint i;

	control_replicas_update(run);
	if (!run->primary_address || !is_plain_address(run->primary_address))
		return;
	for (i = 0; i < run->replicas->len; i++) {
		struct control_replica *r = run->replicas->pdata[i];

		if (r->answered && !r->promoted &&
		    r->received.term < run->fo.term)
			repoint(r, run->primary_address, run->primary_port);
	}
}
