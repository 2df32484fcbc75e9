#include "caller.h"

#include "caller_batch.h"
#include "caller_limits.h"
#include "caller_query.h"
#include "net.h"
#include "upstream_connection.h"

#include <openssl/rand.h>
#include <string.h>

/* Bytes a caller may send ahead of the answer before reading pauses. */
#define AHEAD_MAX (64u * 1024)

struct pg_buffer *caller_out(struct caller *caller)
{
	return &caller->stream.out;
}

static unsigned take_index(struct proxy *proxy, struct caller *caller)
{
	GArray *spare = proxy->free_callers;
	unsigned index;

	if (spare->len) {
		index = g_array_index(spare, unsigned, spare->len - 1);
		g_array_set_size(spare, spare->len - 1);
		proxy->callers->pdata[index] = caller;
		return index;
	}
	g_ptr_array_add(proxy->callers, caller);
	return proxy->callers->len - 1;
}

void caller_close(struct caller *caller)
{
	struct proxy *proxy = caller->proxy;

	if (caller->state == CALLER_CLOSED)
		return;
	if (caller->state == CALLER_AUTH_FINAL ||
	    caller->state == CALLER_AUTH_FIRST)
		scram_server_finish(&caller->scram);
	caller->state = CALLER_CLOSED;
	request_drop(&caller->request);
	stream_close(&caller->stream);
	caller_limits_closed(caller);
	timer_cancel(&proxy->timers, &caller->login_timer);
	caller_settings_finish(&caller->settings);
	caller_statements_finish(caller);
	g_free(caller->user);
	g_free(caller->database);
	proxy->callers->pdata[caller->index] = NULL;
	g_array_append_val(proxy->free_callers, caller->index);
	proxy->nr_callers--;
	proxy_gauge(proxy, COUNT_CALLERS_OPEN, proxy->nr_callers);
	proxy_discard(proxy, caller);
}

static void on_input(void *data)
{
	struct caller *caller = data;

	if (caller->state < CALLER_READY)
		caller_startup(caller);
	if (caller->state == CALLER_READY)
		caller_input(caller);
	if (caller->state == CALLER_CLOSING)
		pg_buffer_consume(&caller->stream.in,
				  pg_buffer_length(&caller->stream.in));
	if (caller->state != CALLER_CLOSED)
		stream_flush(&caller->stream);
}

static void on_drained(void *data)
{
	struct caller *caller = data;

	if (caller->request.conn)
		upstream_connection_resume(caller->request.conn);
	else if (caller->state == CALLER_READY)
		caller_input(caller);
}

static void on_closed(int err, void *data)
{
	caller_close(data);
}

static const struct stream_events caller_events = {
	.input = on_input,
	.drained = on_drained,
	.closed = on_closed,
};

void caller_login_timeout(int64_t now_us, void *data)
{
	struct caller *caller = data;

	caller->login_timer = TIMER_NONE;
	caller_limits_note(caller->proxy, COUNT_CALLERS_LATE_STARTUP,
			   "callers are closed: their startup did not end in "
			   "time",
			   "raise startup_timeout if they are slow");
	caller_close(caller);
}

void caller_accept(struct proxy *proxy, int fd)
{
	static uint32_t generation;
	struct caller *caller;

	if (!caller_limits_accept(proxy, fd))
		return;
	caller = g_new0(struct caller, 1);
	caller->proxy = proxy;
	caller->index = take_index(proxy, caller);
	caller->generation = ++generation;
	caller->transaction = 'I';
	caller->cluster = CLUSTER_NONE;
	if (RAND_bytes((unsigned char *)&caller->secret,
		       sizeof(caller->secret)) != 1)
		caller->secret = g_random_int();
	caller_settings_init(&caller->settings);
	caller_statements_init(caller);
	request_init(&caller->request, caller);
	stream_init(&caller->stream, proxy->loop, fd, false, &caller_events,
		    caller);
	caller->login_timer = timer_subscribe(
		&proxy->timers,
		proxy_now() + proxy->settings->startup_timeout_us, 0,
		caller_login_timeout, caller);
	proxy->nr_callers++;
	proxy_count(proxy, COUNT_CALLERS_ACCEPTED);
	proxy_gauge(proxy, COUNT_CALLERS_OPEN, proxy->nr_callers);
	caller_limits_opened(caller);
}

/* What runs for the caller is given up with it. */
void caller_fatal(struct caller *caller, const char *sqlstate,
		  const char *message, const char *hint)
{
	if (caller->state >= CALLER_CLOSING)
		return;
	caller_limits_started(caller);
	request_drop(&caller->request);
	pg_put_error(caller_out(caller), "FATAL", sqlstate, message, hint);
	caller->state = CALLER_CLOSING;
	caller->closing_us = proxy_now();
	stream_shutdown_output(&caller->stream);
}

void caller_error(struct caller *caller, const char *sqlstate,
		  const char *message, const char *hint)
{
	pg_put_error(caller_out(caller), "ERROR", sqlstate, message, hint);
	pg_put_ready(caller_out(caller), caller->transaction);
}

static bool is_shared(const struct tables *tables, const struct route *route)
{
	const struct route *other;
	guint i;

	for (i = 0; i < tables->routes->len; i++) {
		other = &g_array_index(tables->routes, struct route, i);
		if (other->pool == route->pool &&
		    strcmp(other->tenant, route->tenant))
			return true;
	}
	return false;
}

static void copy_route(struct caller_route *copy, const struct tables *tables,
		       const struct route *route)
{
	const struct pool *pool = tables_route_pool(tables, route);

	copy->version = tables->version;
	copy->pool = g_intern_string(pool->name);
	copy->tenant = g_intern_string(route->tenant);
	copy->weight = route->weight;
	copy->slots = pool->slots;
	copy->connections = pool->connections;
	copy->shared = is_shared(tables, route);
	copy->max_queue = pool->max_queue;
	copy->ack_replicas = pool->ack_replicas;
	copy->max_replica_lag_us = pool->max_replica_lag_us;
	copy->request_timeout_us = pool->request_timeout_us;
}

bool caller_resolve(struct caller *caller, GError **error)
{
	struct proxy *proxy = caller->proxy;
	const struct tables *tables = control_client_tables(proxy->control);
	const struct route *route;
	const char *cluster;

	if (!tables || !tables->version) {
		g_set_error(error, CW_ERROR, CW_ERROR_UNAVAILABLE,
			    "this daemon has no tables yet; connect again "
			    "once a control leader is reachable");
		return false;
	}
	if (caller->route.version == tables->version)
		return true;
	route = tables_find_route(tables, caller->user, caller->database,
				  &cluster, error);
	if (!route)
		return false;
	copy_route(&caller->route, tables, route);
	/* An open transaction stays where it began. */
	if (caller->transaction == 'I')
		caller->cluster = directory_get_or_add_cluster(
			&proxy->directory, route->service, cluster);
	return true;
}

/* Return: false if no whole frame is there. */
static bool take_frame(struct caller *caller)
{
	struct pg_buffer *in = &caller->stream.in;
	struct pg_frame frame;

	switch (pg_frame_peek(pg_buffer_head(in), pg_buffer_length(in),
			      PG_FRAME_MAX_BYTES, &frame)) {
	case PG_FRAME_INCOMPLETE:
		return false;
	case PG_FRAME_INVALID:
		caller_fatal(caller, "08P01", "invalid frame length",
			     "Send frames of at most 16 MiB.");
		return false;
	case PG_FRAME_READY:
		break;
	}
	caller_frame(caller, &frame, pg_buffer_head(in));
	if (caller->state == CALLER_READY)
		pg_buffer_consume(in, frame.frame_len);
	if (!pg_buffer_length(&caller->request.bytes))
		caller->message_since_us = 0;
	return caller->state == CALLER_READY;
}

/* A batch that was flushed goes on while its beginning runs, as fast as the
 * upstream takes it. */
static bool may_take(const struct caller *caller)
{
	const struct request *req = &caller->request;

	if (!caller->busy)
		return true;
	return req->open && req->state == REQUEST_RUNNING && req->conn &&
	       !stream_above_high_water(&req->conn->stream);
}

void caller_input(struct caller *caller)
{
	bool ahead;

	if (caller->in_input)
		return;
	caller->in_input = true;
	while (caller->state == CALLER_READY && may_take(caller) &&
	       !stream_above_high_water(&caller->stream) && take_frame(caller))
		;
	caller->in_input = false;
	if (caller->state != CALLER_READY)
		return;
	ahead = pg_buffer_length(&caller->stream.in) > AHEAD_MAX;
	caller_limits_pace(caller, ahead && (caller->busy ||
					     caller->stream.above_high_water));
}

void caller_answered(struct caller *caller)
{
	caller->busy = false;
	caller->idle_since_us = proxy_now();
	if (caller->state != CALLER_READY)
		return;
	caller_input(caller);
	if (caller->state == CALLER_READY || caller->state == CALLER_CLOSING)
		stream_flush(&caller->stream);
}
