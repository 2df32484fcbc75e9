#include "bus.h"
#include "ctl.h"

#include <string.h>

#define SECONDS_PER_US 1e-6
/* Minimum number of attempts that fit into the timeout of a command. */
#define MIN_ATTEMPTS 8
/* Pause after every control VM was tried once without success. */
#define ROUND_DELAY_US 50000

struct exchange {
	struct ev_loop *loop;
	Wire__Envelope *reply;
};

/* Copies the reply, because the bus frees it after the callback. */
static void on_reply(int handle, const Wire__Envelope *envelope, void *data)
{
	struct exchange *exchange = data;
	size_t len = wire__envelope__get_packed_size(envelope);
	uint8_t *bytes = g_malloc(len);

	if (!exchange->reply) {
		wire__envelope__pack(envelope, bytes);
		exchange->reply = wire__envelope__unpack(NULL, len, bytes);
	}
	g_free(bytes);
	ev_break(exchange->loop, EVBREAK_ALL);
}

static void on_timeout(struct ev_loop *loop, ev_timer *timer, int events)
{
	ev_break(loop, EVBREAK_ALL);
}

Wire__Envelope *ctl_exchange(const struct ctl *ctl, const char *address,
			     const Wire__Envelope *envelope, int64_t timeout_us,
			     GError **error)
{
	static const struct bus_events events = { .reply = on_reply };
	struct exchange exchange = { 0 };
	struct bus *bus;
	ev_timer timer;
	int handle;

	exchange.loop = ev_loop_new(EVFLAG_AUTO);
	bus = bus_new(exchange.loop, NULL, ctl->public_key, ctl->secret_key,
		      &events, &exchange, error);
	handle = bus ? bus_connect(bus, address, error) : -1;
	if (handle >= 0) {
		bus_send(bus, handle, envelope);
		/* Without the update the timeout would include the time that
		 * the connect took. */
		ev_now_update(exchange.loop);
		ev_timer_init(&timer, on_timeout, timeout_us * SECONDS_PER_US,
			      0.);
		ev_timer_start(exchange.loop, &timer);
		ev_run(exchange.loop, 0);
		ev_timer_stop(exchange.loop, &timer);
	}
	bus_free(bus);
	ev_loop_destroy(exchange.loop);
	return exchange.reply;
}

int64_t ctl_attempt_timeout_us(const struct ctl *ctl)
{
	return MAX(ctl->timeout_us / MIN_ATTEMPTS, 1);
}

void ctl_control_iter_init(struct ctl_control_iter *iter, const struct ctl *ctl)
{
	memset(iter, 0, sizeof(*iter));
	iter->ctl = ctl;
	iter->deadline_us = g_get_monotonic_time() + ctl->timeout_us;
}

const char *ctl_control_iter_next(struct ctl_control_iter *iter)
{
	const GArray *peers = iter->ctl->control;
	guint next_index = iter->next;

	if (iter->nr_returned && g_get_monotonic_time() >= iter->deadline_us)
		return NULL;
	if (iter->nr_returned && iter->nr_returned % peers->len == 0)
		g_usleep(ROUND_DELAY_US);
	iter->nr_returned++;
	iter->next = (next_index + 1) % peers->len;
	return g_array_index(peers, struct control_peer, next_index).address;
}

void ctl_control_iter_redirect(struct ctl_control_iter *iter, uint64_t leader,
			       const char *address)
{
	GArray *peers = iter->ctl->control;
	struct control_peer peer = { .id = leader };
	const struct control_peer *candidate;
	guint i;

	for (i = 0; i < peers->len; i++) {
		candidate = &g_array_index(peers, struct control_peer, i);
		if (candidate->id == leader ||
		    !strcmp(candidate->address, address))
			break;
	}
	if (!leader || (i == peers->len && !*address))
		return;
	/* The leader was added after the settings were written. */
	if (i == peers->len) {
		peer.address = g_strdup(address);
		g_array_append_val(peers, peer);
	}
	iter->next = i;
}
