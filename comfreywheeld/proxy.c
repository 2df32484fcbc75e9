#include "proxy.h"

#include "caller_limits.h"
#include "cancel.h"
#include "cluster_links.h"
#include "commit_wait.h"
#include "drain.h"
#include "error.h"
#include "log.h"
#include "net.h"
#include "tls.h"
#include "upstream_pool.h"
#include "users.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* Announcements arrive every 5 s; three missed ones end the selection. */
#define DIRECTORY_EXPIRY_US (15 * 1000000ll)
/* Memory for classified statement texts, bytes. */
#define CLASSIFIER_BYTES (8u * 1024 * 1024)
/* Time between looks at all callers. */
#define SWEEP_US (250 * 1000ll)
/* Connections taken from the listener at once. */
#define ACCEPT_BATCH 64

void proxy_discard(struct proxy *proxy, void *memory)
{
	g_ptr_array_add(proxy->discarded, memory);
}

/* No handler holds a discarded object between two waits of the loop. */
static void on_prepare(struct ev_loop *loop, ev_prepare *w, int revents)
{
	struct proxy *proxy = w->data;

	g_ptr_array_set_size(proxy->discarded, 0);
}

/* Without a descriptor the listener stays readable; sweep() tries again. */
static void note_accept(struct proxy *proxy, ev_io *w, int err)
{
	if (err != EMFILE && err != ENFILE)
		return;
	caller_limits_note(proxy, COUNT_ACCEPT_FAILED,
			   "no descriptor is left for callers",
			   "raise the limit on open files or "
			   "reserved_descriptors");
	proxy->accept_paused = true;
	ev_io_stop(proxy->loop, w);
}

static void on_accept(struct ev_loop *loop, ev_io *w, int revents)
{
	struct proxy *proxy = w->data;
	int i, fd;

	for (i = 0; i < ACCEPT_BATCH; i++) {
		fd = net_accept(w->fd);
		if (fd < 0) {
			note_accept(proxy, w, errno);
			return;
		}
		caller_accept(proxy, fd);
	}
}

static void sweep(int64_t now_us, void *data)
{
	struct proxy *proxy = data;

	caller_limits_sweep(proxy, now_us);
	if (proxy->accept_paused)
		ev_io_start(proxy->loop, &proxy->listener);
	proxy->accept_paused = false;
}

static void init_parts(struct proxy *proxy)
{
	proxy_counters_init(proxy);
	timer_service_init(&proxy->timers);
	directory_init(&proxy->directory, DIRECTORY_EXPIRY_US);
	router_init(&proxy->router, proxy->settings->availability_zone,
		    g_random_int());
	sql_classifier_init(&proxy->classifier, CLASSIFIER_BYTES);
	statement_table_init(&proxy->statements);
	retry_budget_init(&proxy->retries);
	proxy->callers = g_ptr_array_new();
	proxy->free_callers = g_array_new(FALSE, FALSE, sizeof(unsigned));
	caller_limits_init(proxy);
	proxy->homes = g_ptr_array_new();
	proxy->shares =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	proxy->announced_terms = g_array_new(FALSE, TRUE, sizeof(uint32_t));
	proxy->acknowledged = cluster_links_new();
	proxy->parameters =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	proxy->discarded = g_ptr_array_new_with_free_func(g_free);
	proxy->cancels = g_ptr_array_new();
	proxy->commits = commit_wait_new(proxy);
	proxy->sweep_timer = timer_subscribe(
		&proxy->timers, proxy_now() + SWEEP_US, SWEEP_US, sweep, proxy);
	proxy->drain_timer = TIMER_NONE;
	proxy->surrender_timer = TIMER_NONE;
}

static void finish_callers(struct proxy *proxy)
{
	struct caller *caller;
	guint i;

	for (i = 0; i < proxy->callers->len; i++) {
		caller = proxy->callers->pdata[i];
		if (caller)
			caller_close(caller);
	}
}

static void finish_homes(struct proxy *proxy)
{
	guint i;

	for (i = 0; i < proxy->homes->len; i++)
		if (proxy->homes->pdata[i])
			upstream_home_free(proxy->homes->pdata[i]);
}

static void finish_parts(struct proxy *proxy)
{
	finish_callers(proxy);
	cancel_finish(proxy);
	finish_homes(proxy);
	proxy_links_finish(proxy);
	commit_wait_free(proxy->commits);
	if (proxy->users)
		g_hash_table_destroy(proxy->users);
	g_ptr_array_free(proxy->callers, TRUE);
	g_array_free(proxy->free_callers, TRUE);
	g_hash_table_destroy(proxy->addresses);
	g_ptr_array_free(proxy->homes, TRUE);
	g_hash_table_destroy(proxy->shares);
	g_array_free(proxy->announced_terms, TRUE);
	g_array_free(proxy->acknowledged, TRUE);
	g_hash_table_destroy(proxy->parameters);
	g_ptr_array_free(proxy->discarded, TRUE);
	statement_table_finish(&proxy->statements);
	sql_classifier_finish(&proxy->classifier);
	directory_finish(&proxy->directory);
	timer_service_finish(&proxy->timers);
	counter_set_finish(&proxy->counters);
	tls_context_free(proxy->tls);
}

void proxy_stop_listening(struct proxy *proxy)
{
	if (!ev_is_active(&proxy->listener) && !proxy->accept_paused)
		return;
	proxy->accept_paused = false;
	ev_io_stop(proxy->loop, &proxy->listener);
	close(proxy->listener.fd);
}

static void start_loop(struct proxy *proxy, int listener)
{
	event_timers_init(&proxy->event_timers, proxy->loop, &proxy->timers);
	ev_prepare_init(&proxy->prepare, on_prepare);
	ev_io_init(&proxy->listener, on_accept, listener, EV_READ);
	proxy->prepare.data = proxy;
	proxy->listener.data = proxy;
	ev_prepare_start(proxy->loop, &proxy->prepare);
	ev_io_start(proxy->loop, &proxy->listener);
}

static void stop_loop(struct proxy *proxy)
{
	ev_prepare_stop(proxy->loop, &proxy->prepare);
	event_timers_finish(&proxy->event_timers);
	proxy_stop_listening(proxy);
}

int proxy_run(struct settings *settings, const char *settings_path,
	      GError **error)
{
	struct proxy proxy = { .settings = settings,
			       .settings_path = settings_path };
	int listener;
	bool ok;

	if (!users_load(settings->users_file, &proxy.users, error) ||
	    !tls_context_new(settings->tls_certificate, settings->tls_key,
			     &proxy.tls, error))
		return EXIT_FAILURE;
	if (settings->bus_secret_key)
		scram_set_mock_key(settings->bus_secret_key,
				   strlen(settings->bus_secret_key));
	listener = net_listen(settings->caller_listen, error);
	if (listener < 0)
		return EXIT_FAILURE;
	proxy.loop = ev_loop_new(EVBACKEND_EPOLL);
	init_parts(&proxy);
	ok = proxy_links_init(&proxy, error);
	start_loop(&proxy, listener);
	if (ok) {
		log_notice("%s serves callers on %s", settings->name,
			   settings->caller_listen);
		drain_watch_signals(&proxy);
		ev_run(proxy.loop, 0);
		drain_unwatch_signals(&proxy);
		log_notice("%s stops", settings->name);
	}
	finish_parts(&proxy);
	stop_loop(&proxy);
	ev_loop_destroy(proxy.loop);
	return ok ? EXIT_SUCCESS : EXIT_FAILURE;
}
