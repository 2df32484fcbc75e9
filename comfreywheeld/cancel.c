#include "cancel.h"

#include "caller.h"
#include "net.h"
#include "upstream_connection.h"
#include "upstream_pool.h"

/* Longest time for the upstream to close the connection. */
#define CANCEL_TIMEOUT_US (5 * 1000000ll)

/** struct cancel - one connection that carries a CancelRequest */
struct cancel {
	struct proxy *proxy;
	struct stream stream;
	uint32_t pid;
	uint32_t secret;
	int timer;
};

static void end(struct cancel *cancel)
{
	timer_cancel(&cancel->proxy->timers, &cancel->timer);
	stream_close(&cancel->stream);
	g_ptr_array_remove_fast(cancel->proxy->cancels, cancel);
	proxy_discard(cancel->proxy, cancel);
}

static void on_opened(void *data)
{
	struct cancel *cancel = data;
	struct pg_buffer *out = &cancel->stream.out;
	size_t begin = pg_frame_begin(out, 0);

	pg_put_u32(out, PG_CANCEL_REQUEST_CODE);
	pg_put_u32(out, cancel->pid);
	pg_put_u32(out, cancel->secret);
	pg_frame_end(out, begin);
	stream_flush(&cancel->stream);
}

static void on_input(void *data)
{
	end(data);
}

static void on_closed(int err, void *data)
{
	end(data);
}

static void on_timeout(int64_t now_us, void *data)
{
	struct cancel *cancel = data;

	cancel->timer = TIMER_NONE;
	end(cancel);
}

static const struct stream_events cancel_events = {
	.opened = on_opened,
	.input = on_input,
	.closed = on_closed,
};

void cancel_send(struct proxy *proxy, struct upstream_connection *conn)
{
	const struct upstream *up =
		directory_upstream_at(&proxy->directory, conn->home->handle);
	int fd = net_connect(up->address, up->port);
	struct cancel *cancel;

	conn->doomed = true;
	if (fd < 0)
		return;
	cancel = g_new0(struct cancel, 1);
	cancel->proxy = proxy;
	cancel->pid = conn->pid;
	cancel->secret = conn->secret;
	cancel->timer = timer_subscribe(&proxy->timers,
					proxy_now() + CANCEL_TIMEOUT_US, 0,
					on_timeout, cancel);
	g_ptr_array_add(proxy->cancels, cancel);
	stream_init(&cancel->stream, proxy->loop, fd, true, &cancel_events,
		    cancel);
}

static struct caller *find(struct proxy *proxy, uint32_t pid, uint32_t secret)
{
	struct caller *caller;

	if (!pid || pid > proxy->callers->len)
		return NULL;
	caller = proxy->callers->pdata[pid - 1];
	return caller && caller->secret == secret ? caller : NULL;
}

void cancel_request(struct proxy *proxy, uint32_t pid, uint32_t secret)
{
	struct caller *caller = find(proxy, pid, secret);

	if (!caller || !caller->busy) {
		proxy_count(proxy, COUNT_CANCELS_LATE);
		return;
	}
	proxy_count(proxy, COUNT_CANCELS);
	if (caller->request.state == REQUEST_RUNNING)
		cancel_send(proxy, caller->request.conn);
	else
		request_cancel(&caller->request);
}

void cancel_finish(struct proxy *proxy)
{
	while (proxy->cancels->len)
		end(proxy->cancels->pdata[0]);
	g_ptr_array_free(proxy->cancels, TRUE);
}
