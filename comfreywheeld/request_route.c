#include "request.h"

#include "caller.h"
#include "commit_wait.h"
#include "upstream_pool.h"

static struct proxy *proxy_of(const struct request *req)
{
	return req->caller->proxy;
}

void request_unpark(struct request *req)
{
	struct proxy *proxy = proxy_of(req);

	if (req->state != REQUEST_PARKED)
		return;
	timer_cancel(&proxy->timers, &req->wake_timer);
	g_queue_unlink(&proxy->parked, &req->parked_link);
	req->state = REQUEST_NONE;
}

static void on_wake(int64_t now_us, void *data)
{
	struct request *req = data;

	req->wake_timer = TIMER_NONE;
	request_unpark(req);
	request_decide(req);
}

static void park(struct request *req, const struct route_decision *decision)
{
	struct proxy *proxy = proxy_of(req);

	req->state = REQUEST_PARKED;
	req->waits_replay = decision->reason == ROUTE_REASON_WAIT_REPLAY;
	req->parked_link.data = req;
	g_queue_push_tail_link(&proxy->parked, &req->parked_link);
	req->wake_timer = timer_subscribe(
		&proxy->timers, decision->wait_until_us, 0, on_wake, req);
}

static void refuse_route(struct request *req, enum route_reason reason)
{
	if (reason == ROUTE_REASON_NO_LEASE) {
		proxy_count(proxy_of(req), COUNT_REFUSED_NO_LEASE);
		request_refuse(req, "57P03",
			       "did not run: this daemon holds no lease from "
			       "the control leader",
			       "Repeat the request; if it persists, check the "
			       "control VMs with comfreywheelctl status.");
		return;
	}
	proxy_count(proxy_of(req), COUNT_REFUSED_DEADLINE);
	request_refuse(req, "57P03",
		       "did not run: no upstream fits before the deadline",
		       "Repeat the request, or check the cluster with "
		       "comfreywheelctl status.");
}

static void refuse_queue(struct request *req, enum admission_verdict verdict)
{
	proxy_count(proxy_of(req), COUNT_REFUSED_QUEUE);
	request_refuse(req, "53300",
		       verdict == ADMISSION_FULL ?
			       "did not run: your queue is full" :
			       "did not run: the deadline cannot be met",
		       "Repeat the request after a pause, or state a later "
		       "deadline with comfreywheel.deadline.");
}

static void enqueue(struct request *req, int upstream)
{
	struct upstream_home *home = upstream_home_at(proxy_of(req), upstream);
	enum admission_verdict verdict;

	req->state = REQUEST_QUEUED;
	if (!upstream_home_enqueue(home, req, &verdict)) {
		req->state = REQUEST_NONE;
		refuse_queue(req, verdict);
		return;
	}
	upstream_home_dispatch(home);
}

static int64_t primary_cost(const struct caller *caller)
{
	struct proxy *proxy = caller->proxy;
	const struct cluster *cluster =
		directory_cluster_at(&proxy->directory, caller->cluster);

	if (cluster->primary == UPSTREAM_NONE)
		return 0;
	return upstream_home_cost(upstream_home_at(proxy, cluster->primary));
}

static void decide(struct request *req, bool with_position,
		   struct route_decision *out)
{
	struct caller *caller = req->caller;
	struct proxy *proxy = caller->proxy;
	int64_t now = proxy_now();
	struct route_request rr = {
		.cluster = caller->cluster,
		.read = req->read && !req->must_primary,
		.has_position = with_position && req->has_position,
		.needed = req->needed,
		.fresh_within_us = with_position ? req->fresh_within_us :
						   INT64_MAX,
		.max_lag_us = caller->route.max_replica_lag_us,
		.lease_valid = control_client_may_write(proxy->control, now),
		.exclude = req->exclude,
		.deadline_us = req->deadline_us,
		.primary_wait_us = primary_cost(caller),
	};

	router_decide(&proxy->router, &proxy->directory, &rr, now, out);
	if (out->reason == ROUTE_REASON_PRIMARY_POSITION ||
	    out->reason == ROUTE_REASON_WAIT_REPLAY)
		commit_wait_ask(proxy->commits, caller->cluster);
}

static void on_lookup(bool reached, const struct session_answer *answer,
		      void *data)
{
	struct request *req = data;

	req->lookup = 0;
	req->has_lookup = true;
	if (!reached) {
		proxy_count(proxy_of(req), COUNT_LOOKUPS_UNREACHED);
		req->must_primary = true;
	} else {
		req->has_position = answer->found;
		req->needed = answer->pos;
		req->fresh_within_us =
			MIN(req->fresh_within_us, answer->complete_for_us);
	}
	if (req->state == REQUEST_LOOKUP)
		request_decide(req);
}

uint64_t request_session(const struct request *req)
{
	const struct caller *caller = req->caller;

	return session_hash(caller->settings.session ?
				    caller->settings.session :
				    caller->user);
}

/*
 * The position the read must hold: the caller's own, or the owners'.
 * Return: false if the owners are still to answer
 */
static bool find_position(struct request *req)
{
	struct caller *caller = req->caller;
	struct proxy *proxy = caller->proxy;
	const struct cluster *cluster =
		directory_cluster_at(&proxy->directory, caller->cluster);
	uint64_t handle;

	req->fresh_within_us = caller->settings.max_age_us;
	if (caller->settings.has_position) {
		req->has_position = true;
		req->needed = caller->settings.position;
		req->has_lookup = true;
		return true;
	}
	proxy_count(proxy, COUNT_LOOKUPS);
	/* on_lookup() only records the answer if it runs inside this call. */
	req->state = REQUEST_NONE;
	handle = session_client_lookup(proxy->sessions, request_session(req),
				       session_cluster_hash(cluster->service,
							    cluster->name),
				       on_lookup, req, proxy_now());
	if (req->has_lookup)
		return true;
	req->lookup = handle;
	req->state = REQUEST_LOOKUP;
	return false;
}

/*
 * Without the session's position only the primary may be chosen, which holds
 * every acknowledged write.
 * Return: false if the decision has to wait
 */
static bool choose(struct request *req, struct route_decision *out)
{
	const struct cluster *cluster = directory_cluster_at(
		&proxy_of(req)->directory, req->caller->cluster);

	if (req->read && !req->has_lookup) {
		decide(req, false, out);
		if (out->action != ROUTE_TO_UPSTREAM ||
		    out->upstream == cluster->primary)
			return true;
		if (!find_position(req))
			return false;
	}
	decide(req, true, out);
	return true;
}

void request_decide(struct request *req)
{
	struct route_decision out;

	if (!control_client_may_serve(proxy_of(req)->control, proxy_now())) {
		refuse_route(req, ROUTE_REASON_NO_LEASE);
		return;
	}
	if (!choose(req, &out))
		return;
	switch (out.action) {
	case ROUTE_TO_UPSTREAM:
		enqueue(req, out.upstream);
		return;
	case ROUTE_WAIT:
		park(req, &out);
		return;
	case ROUTE_REFUSE:
		refuse_route(req, out.reason);
		return;
	}
}

void request_requeue(struct request *req)
{
	req->state = REQUEST_NONE;
	req->home = NULL;
	req->admission = NULL;
	request_decide(req);
}

static void wake(struct proxy *proxy, int cluster, bool replay_only)
{
	guint left = proxy->parked.length;
	struct request *req;
	GList *link;

	/* What is decided again may park again, behind those looked at. */
	while (left-- && (link = proxy->parked.head)) {
		req = link->data;
		if (req->caller->cluster != cluster ||
		    (replay_only && !req->waits_replay)) {
			g_queue_unlink(&proxy->parked, link);
			g_queue_push_tail_link(&proxy->parked, link);
			continue;
		}
		request_unpark(req);
		request_decide(req);
	}
}

void requests_wake(struct proxy *proxy, int cluster)
{
	wake(proxy, cluster, false);
}

void requests_wake_reads(struct proxy *proxy, int cluster)
{
	wake(proxy, cluster, true);
}
