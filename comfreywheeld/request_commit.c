#include "request.h"

#include "caller.h"
#include "commit_wait.h"
#include "upstream_pool.h"

static struct proxy *proxy_of(const struct request *req)
{
	return req->caller->proxy;
}

static void on_stored(bool reached, const struct session_answer *answer,
		      void *data)
{
	struct request *req = data;

	req->store = 0;
	req->stored = reached;
	if (!reached) {
		req->store_failed = true;
		if (req->state == REQUEST_COMMIT_WAIT)
			request_outcome_unknown(
				req, "the session owners did not confirm the "
				     "position of the write");
		return;
	}
	if (req->state == REQUEST_COMMIT_WAIT)
		request_committed(req);
}

/* The state becomes REQUEST_COMMIT_WAIT after the call: see on_stored(). */
static void store_position(struct request *req)
{
	struct proxy *proxy = proxy_of(req);
	const struct cluster *cluster =
		directory_cluster_at(&proxy->directory, req->caller->cluster);
	uint64_t handle;

	handle = session_client_store(
		proxy->sessions, request_session(req),
		session_cluster_hash(cluster->service, cluster->name),
		req->commit, req->deadline_us, on_stored, req, proxy_now());
	if (!req->stored && !req->store_failed)
		req->store = handle;
}

void request_wait_commit(struct request *req)
{
	req->state = REQUEST_NONE;
	if (!req->has_commit) {
		request_outcome_unknown(req, "the upstream did not tell the "
					     "position of the write");
		return;
	}
	store_position(req);
	req->state = REQUEST_COMMIT_WAIT;
	if (req->store_failed) {
		request_outcome_unknown(req, "the session owners did not "
					     "confirm the position of the "
					     "write");
		return;
	}
	commit_wait_add(proxy_of(req)->commits, req);
}

/* The lease and the term are those under which the write was sent. */
static bool still_valid(const struct request *req)
{
	struct proxy *proxy = proxy_of(req);
	const struct cluster *cluster =
		directory_cluster_at(&proxy->directory, req->caller->cluster);

	return proxy_may_write(proxy, req->caller->cluster) &&
	       cluster->term == req->term && req->commit.term >= req->term;
}

static void note_acknowledged(struct request *req)
{
	struct caller *caller = req->caller;
	struct caller_settings *set = &caller->settings;

	proxy_count(caller->proxy, COUNT_COMMITS_ACKNOWLEDGED);
	proxy_acknowledged(caller->proxy, caller->cluster, req->commit);
	if (set->has_position)
		set->position = position_max(set->position, req->commit);
}

void request_committed(struct request *req)
{
	char text[POSITION_TEXT_SIZE];

	if (!req->acknowledged || !req->stored)
		return;
	if (!still_valid(req)) {
		request_outcome_unknown(req, "the lease or the primary's term "
					     "ended before the write was "
					     "confirmed");
		return;
	}
	note_acknowledged(req);
	pg_put_parameter_status(caller_out(req->caller),
				"comfreywheel.position",
				position_format(req->commit, text));
	request_deliver(req);
}

static void fence_caller(struct caller *caller, int primary, const char *why)
{
	struct request *req = &caller->request;

	if (req->state == REQUEST_RUNNING && !req->read &&
	    req->home->handle == primary) {
		request_outcome_unknown(req, why);
		return;
	}
	if (req->state == REQUEST_NONE && caller->held &&
	    caller->held->home->handle == primary)
		upstream_connection_close(caller->held, UPSTREAM_ENDED);
}

/* Without a cluster, the primary of each caller's own. */
static int primary_of(const struct caller *caller)
{
	return directory_cluster_at(&caller->proxy->directory, caller->cluster)
		->primary;
}

void requests_fence(struct proxy *proxy, int cluster, int primary,
		    const char *why)
{
	struct caller *caller;
	guint i;

	commit_wait_fence(proxy->commits, cluster, why);
	for (i = 0; i < proxy->callers->len; i++) {
		caller = proxy->callers->pdata[i];
		if (!caller || caller->state != CALLER_READY ||
		    caller->cluster == CLUSTER_NONE)
			continue;
		if (cluster == CLUSTER_NONE)
			fence_caller(caller, primary_of(caller), why);
		else if (caller->cluster == cluster)
			fence_caller(caller, primary, why);
	}
}
