#include "upstream_pool.h"

#include "caller.h"
#include "log.h"

#include <string.h>

/* Time to the next attempt after a connection could not be opened. */
#define REOPEN_DELAY_US (100 * 1000ll)

struct upstream_home *upstream_home_at(struct proxy *proxy, int handle)
{
	struct upstream_home *home;
	gpointer share;

	if (handle < 0)
		return NULL;
	if ((guint)handle >= proxy->homes->len)
		g_ptr_array_set_size(proxy->homes, handle + 1);
	home = proxy->homes->pdata[handle];
	if (home)
		return home;
	home = g_new0(struct upstream_home, 1);
	home->proxy = proxy;
	home->handle = handle;
	home->name = g_strdup(
		directory_upstream_at(&proxy->directory, handle)->name);
	home->queues = g_ptr_array_new();
	home->probe_timer = TIMER_NONE;
	home->wake_timer = TIMER_NONE;
	proxy->homes->pdata[handle] = home;
	share = g_hash_table_lookup(proxy->shares, home->name);
	upstream_home_share(home, GPOINTER_TO_UINT(share));
	upstream_probe_start(home);
	return home;
}

static void close_all(GQueue *queue)
{
	while (queue->head)
		upstream_connection_close(queue->head->data, UPSTREAM_ENDED);
}

static void free_queue(struct pool_queue *queue)
{
	admission_finish(&queue->admission);
	g_free(queue);
}

void upstream_home_free(struct upstream_home *home)
{
	guint i;

	home->share = 0;
	timer_cancel(&home->proxy->timers, &home->probe_timer);
	timer_cancel(&home->proxy->timers, &home->wake_timer);
	if (home->probe)
		upstream_connection_close(home->probe, UPSTREAM_ENDED);
	close_all(&home->idle);
	close_all(&home->busy);
	close_all(&home->opening);
	while (home->closing.head)
		upstream_connection_free(home->closing.head->data);
	for (i = 0; i < home->queues->len; i++)
		free_queue(home->queues->pdata[i]);
	g_ptr_array_free(home->queues, TRUE);
	g_free(home->name);
	g_free(home);
}

/*
 * The limit costs throughput and protects tenants from each other, so a pool
 * of one tenant has none. The probe connection runs no requests.
 */
static void set_limit(struct upstream_home *home, struct pool_queue *queue)
{
	unsigned share = upstream_home_limit(home);

	admission_set_limit(&queue->admission, queue->slots,
			    share > 1 ? share - 1 : 1,
			    queue->shared ? queue->connections : 0);
}

static struct pool_queue *queue_of(struct upstream_home *home,
				   const struct caller_route *route)
{
	struct pool_queue *queue;
	guint i;

	for (i = 0; i < home->queues->len; i++) {
		queue = home->queues->pdata[i];
		if (queue->pool == route->pool) {
			queue->admission.max_queue = route->max_queue;
			queue->slots = route->slots;
			queue->connections = route->connections;
			queue->shared = route->shared;
			set_limit(home, queue);
			return queue;
		}
	}
	queue = g_new0(struct pool_queue, 1);
	queue->pool = route->pool;
	queue->slots = route->slots;
	queue->connections = route->connections;
	queue->shared = route->shared;
	admission_init(&queue->admission, ADMISSION_FAIR, route->max_queue,
		       route->slots);
	set_limit(home, queue);
	g_ptr_array_add(home->queues, queue);
	return queue;
}

static unsigned waiting(const struct upstream_home *home)
{
	const struct pool_queue *queue;
	unsigned nr = 0;
	guint i;

	for (i = 0; i < home->queues->len; i++) {
		queue = home->queues->pdata[i];
		nr += admission_waiting(&queue->admission);
	}
	return nr;
}

unsigned upstream_home_wanted(const struct upstream_home *home)
{
	/* The probe connection, and one kept free for the next request. */
	return 2 + home->busy.length + waiting(home);
}

unsigned upstream_home_limit(const struct upstream_home *home)
{
	return home->proxy->surrendered ? 0 : home->share;
}

/* A place is kept for the probe connection while that is closed. */
static bool may_open(const struct upstream_home *home)
{
	return home->open + (home->probe ? 0 : 1) < upstream_home_limit(home) &&
	       proxy_now() >= home->retry_us;
}

static void open_needed(struct upstream_home *home)
{
	struct upstream_connection *conn;

	while (home->opening.length < waiting(home) && may_open(home)) {
		conn = upstream_connection_open(home, false);
		if (!conn) {
			home->retry_us = proxy_now() + REOPEN_DELAY_US;
			return;
		}
		home->open++;
		g_queue_push_tail(&home->opening, conn);
	}
}

/* More connections are in use than granted; those closing will go. */
static bool is_over(const struct upstream_home *home)
{
	return home->open - home->closing.length > upstream_home_limit(home);
}

static void trim(struct upstream_home *home)
{
	while (is_over(home) && home->idle.head)
		upstream_connection_close(home->idle.head->data,
					  UPSTREAM_ENDED);
	while (is_over(home) && home->opening.head)
		upstream_connection_close(home->opening.head->data,
					  UPSTREAM_ENDED);
	if (!upstream_home_limit(home) && home->probe)
		upstream_connection_close(home->probe, UPSTREAM_ENDED);
}

void upstream_home_surrender(struct upstream_home *home)
{
	while (home->busy.head)
		upstream_connection_lose(home->busy.head->data, UPSTREAM_ENDED);
	trim(home);
}

void upstream_home_share(struct upstream_home *home, unsigned connections)
{
	guint i;

	home->share = connections;
	for (i = 0; i < home->queues->len; i++)
		set_limit(home, home->queues->pdata[i]);
	trim(home);
	upstream_home_dispatch(home);
}

int64_t upstream_home_cost(const struct upstream_home *home)
{
	const struct pool_queue *queue;
	int64_t cost = 0;
	guint i;

	for (i = 0; i < home->queues->len; i++) {
		queue = home->queues->pdata[i];
		cost += admission_waiting(&queue->admission) *
			queue->admission.service_us;
	}
	return cost / MAX(home->open, 1);
}

bool upstream_home_enqueue(struct upstream_home *home, struct request *req,
			   enum admission_verdict *verdict)
{
	const struct caller_route *route = &req->caller->route;
	struct pool_queue *queue = queue_of(home, route);

	req->tenant = admission_tenant(&queue->admission, route->tenant,
				       route->weight);
	*verdict = admission_enqueue(&queue->admission, req->tenant,
				     request_handle(req), req->deadline_us,
				     proxy_now());
	if (*verdict != ADMISSION_QUEUED)
		return false;
	req->home = home;
	req->admission = &queue->admission;
	return true;
}

void upstream_home_remove(struct upstream_home *home, struct request *req)
{
	admission_remove(req->admission, req->tenant, request_handle(req));
	req->home = NULL;
	req->admission = NULL;
}

static bool accept_any(uint64_t request, void *data)
{
	return true;
}

/* Return: the next request, from the pools in turn. */
static struct request *next_request(struct upstream_home *home)
{
	struct pool_queue *queue;
	struct request *req;
	uint64_t handle;
	guint i, nr = home->queues->len;

	for (i = 0; i < nr; i++) {
		queue = home->queues->pdata[(home->turn + i) % nr];
		if (!admission_next(&queue->admission, proxy_now(), accept_any,
				    NULL, &handle))
			continue;
		home->turn = (home->turn + i + 1) % nr;
		req = request_by_handle(home->proxy, handle);
		if (req)
			return req;
		admission_record_release(&queue->admission);
	}
	return NULL;
}

static void on_wake(int64_t now_us, void *data)
{
	struct upstream_home *home = data;

	home->wake_timer = TIMER_NONE;
	upstream_home_dispatch(home);
}

/* Requests that the limit holds back run later, not at the next event. */
static void schedule_wake(struct upstream_home *home)
{
	const struct pool_queue *queue;
	int64_t now = proxy_now(), wake_us = INT64_MAX;
	guint i;

	timer_cancel(&home->proxy->timers, &home->wake_timer);
	for (i = 0; home->idle.tail && i < home->queues->len; i++) {
		queue = home->queues->pdata[i];
		wake_us =
			MIN(wake_us, admission_wake_us(&queue->admission, now));
	}
	if (wake_us != INT64_MAX)
		home->wake_timer = timer_subscribe(&home->proxy->timers,
						   wake_us, 0, on_wake, home);
}

/* The database's slot is free for the next request of the same pool. */
static void leave_slot(struct upstream_connection *conn)
{
	if (conn->admitted_by)
		admission_record_release(conn->admitted_by);
	conn->admitted_by = NULL;
}

void upstream_home_dispatch(struct upstream_home *home)
{
	struct upstream_connection *conn;
	struct request *req;

	while (home->idle.tail) {
		req = next_request(home);
		if (!req)
			break;
		conn = g_queue_pop_tail(&home->idle);
		g_queue_push_tail(&home->busy, conn);
		conn->admitted_by = req->admission;
		request_run(req, conn);
	}
	open_needed(home);
	schedule_wake(home);
}

void upstream_home_ready(struct upstream_home *home,
			 struct upstream_connection *conn)
{
	home->rejected = false;
	home->refused = 0;
	home->retry_us = 0;
	if (conn->probe) {
		upstream_probe_ready(home);
		return;
	}
	g_queue_remove(&home->opening, conn);
	g_queue_push_tail(&home->idle, conn);
	upstream_home_dispatch(home);
}

void upstream_home_release(struct upstream_home *home,
			   struct upstream_connection *conn)
{
	conn->request = NULL;
	leave_slot(conn);
	if (!upstream_connection_is_clean(conn) || is_over(home)) {
		upstream_connection_close(conn, UPSTREAM_ENDED);
		return;
	}
	g_queue_remove(&home->busy, conn);
	g_queue_push_tail(&home->idle, conn);
	upstream_home_dispatch(home);
}

void upstream_home_gone(struct upstream_home *home,
			struct upstream_connection *conn, enum upstream_end end)
{
	if (end != UPSTREAM_ENDED)
		home->retry_us = proxy_now() + REOPEN_DELAY_US;
	leave_slot(conn);
	g_queue_remove(&home->idle, conn);
	g_queue_remove(&home->busy, conn);
	g_queue_remove(&home->opening, conn);
	g_queue_push_tail(&home->closing, conn);
	if (conn == home->probe) {
		home->probe = NULL;
		upstream_probe_lost(home, end);
	}
}

void upstream_home_closed(struct upstream_home *home,
			  struct upstream_connection *conn)
{
	home->open--;
	g_queue_remove(&home->closing, conn);
	open_needed(home);
}

static void requeue_one(uint64_t request, void *data)
{
	struct upstream_home *home = data;
	struct request *req = request_by_handle(home->proxy, request);

	if (req)
		request_requeue(req);
}

void upstream_home_requeue(struct upstream_home *home)
{
	struct pool_queue *queue;
	GArray *handles = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	uint64_t handle;
	guint i;

	for (i = 0; i < home->queues->len; i++) {
		queue = home->queues->pdata[i];
		admission_set_limit(&queue->admission, 0, 0, 0);
		while (admission_next(&queue->admission, proxy_now(),
				      accept_any, NULL, &handle)) {
			admission_record_release(&queue->admission);
			g_array_append_val(handles, handle);
		}
		set_limit(home, queue);
	}
	for (i = 0; i < handles->len; i++)
		requeue_one(g_array_index(handles, uint64_t, i), home);
	g_array_free(handles, TRUE);
}

void upstream_home_avoid(struct upstream_home *home)
{
	GList *at, *next;
	struct upstream_connection *conn;

	for (at = home->busy.head; home->suspect && at; at = next) {
		next = at->next;
		conn = at->data;
		if (conn->request)
			request_move(conn->request);
	}
	upstream_home_requeue(home);
}
