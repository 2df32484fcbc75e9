#include "drain.h"

#include "caller.h"
#include "log.h"
#include "users.h"

#include <signal.h>

static void stop(struct proxy *proxy)
{
	ev_break(proxy->loop, EVBREAK_ALL);
}

static void on_timeout(int64_t now_us, void *data)
{
	struct proxy *proxy = data;

	proxy->drain_timer = TIMER_NONE;
	log_warning("drain_timeout passed with %u callers connected; raise "
		    "drain_timeout if their requests take longer",
		    proxy->nr_callers);
	stop(proxy);
}

/*
 * Time an idle caller has to send a request and read its refusal. libpq takes
 * an error that comes before a request for a notice, and then reports an
 * unexpected end instead.
 */
#define IDLE_GRACE_US (1000 * 1000ll)

static bool is_idle(const struct caller *caller, int64_t now_us)
{
	return caller->state == CALLER_READY && !caller->busy &&
	       caller->transaction == 'I' &&
	       now_us - caller->idle_since_us > IDLE_GRACE_US;
}

void drain_dismiss(struct caller *caller)
{
	caller_fatal(caller, "57P01", "this daemon is shutting down",
		     "Connect again to reach another daemon.");
}

void drain_check(struct proxy *proxy)
{
	int64_t now = proxy_now();
	struct caller *caller;
	guint i;

	if (!proxy->draining)
		return;
	for (i = 0; i < proxy->callers->len; i++) {
		caller = proxy->callers->pdata[i];
		if (caller && caller->state < CALLER_READY)
			caller_close(caller);
		else if (caller && is_idle(caller, now))
			drain_dismiss(caller);
	}
	if (!proxy->nr_callers)
		stop(proxy);
}

static void on_drain_tick(int64_t now_us, void *data)
{
	drain_check(data);
}

/* Time between looks for callers that have become idle. */
#define DRAIN_TICK_US (20 * 1000ll)

static void note_idle(struct proxy *proxy, int64_t now_us)
{
	struct caller *caller;
	guint i;

	for (i = 0; i < proxy->callers->len; i++) {
		caller = proxy->callers->pdata[i];
		if (caller)
			caller->idle_since_us = now_us;
	}
}

void drain_start(struct proxy *proxy)
{
	int64_t now = proxy_now();

	if (proxy->draining)
		return;
	proxy->draining = true;
	note_idle(proxy, now);
	log_notice("draining: %u callers connected", proxy->nr_callers);
	proxy_stop_listening(proxy);
	proxy->drain_timer = timer_subscribe(
		&proxy->timers, now + proxy->settings->drain_timeout_us, 0,
		on_timeout, proxy);
	timer_subscribe(&proxy->timers, now, DRAIN_TICK_US, on_drain_tick,
			proxy);
}

static void on_terminate(struct ev_loop *loop, ev_signal *w, int revents)
{
	drain_start(w->data);
}

static void on_hangup(struct ev_loop *loop, ev_signal *w, int revents)
{
	struct proxy *proxy = w->data;
	GHashTable *users = NULL;
	GError *error = NULL;

	if (!settings_reload(proxy->settings, proxy->settings_path, &error) ||
	    !users_load(proxy->settings->users_file, &users, &error)) {
		log_error("settings are not reloaded: %s", error->message);
		g_error_free(error);
		return;
	}
	if (proxy->users)
		g_hash_table_destroy(proxy->users);
	proxy->users = users;
	log_init("comfreywheeld", proxy->settings->log_level);
	log_notice("settings are reloaded from %s", proxy->settings_path);
}

static void watch(struct proxy *proxy, int i, int signum,
		  void (*callback)(struct ev_loop *, ev_signal *, int))
{
	ev_signal_init(&proxy->signals[i], callback, signum);
	proxy->signals[i].data = proxy;
	ev_signal_start(proxy->loop, &proxy->signals[i]);
}

void drain_watch_signals(struct proxy *proxy)
{
	watch(proxy, 0, SIGTERM, on_terminate);
	watch(proxy, 1, SIGINT, on_terminate);
	watch(proxy, 2, SIGHUP, on_hangup);
}

void drain_unwatch_signals(struct proxy *proxy)
{
	int i;

	for (i = 0; i < 3; i++)
		ev_signal_stop(proxy->loop, &proxy->signals[i]);
}
