#include "upstream_pool.h"

#include "commit_wait.h"
#include "log.h"

/*
 * Missed probes before the upstream is reported as suspect. A refused
 * connection is a plain answer and counts sooner.
 */
#define SUSPECT_MISSED 3
#define SUSPECT_REFUSED 2
/*
 * Missed probes before the probe connection is opened anew. A hanging
 * upstream holds the old one, which counts against the share meanwhile.
 */
#define REOPEN_MISSED 20

static bool is_primary(const struct upstream_home *home)
{
	const struct upstream_directory *dir = &home->proxy->directory;
	const struct upstream *up = directory_upstream_at(dir, home->handle);

	return directory_cluster_at(dir, up->cluster)->primary == home->handle;
}

static void update_suspect(struct upstream_home *home)
{
	const struct upstream *up =
		directory_upstream_at(&home->proxy->directory, home->handle);
	bool suspect = up->missed_probes >= SUSPECT_MISSED ||
		       home->refused >= SUSPECT_REFUSED;

	if (suspect == home->suspect)
		return;
	home->suspect = suspect;
	if (suspect)
		log_warning("upstream %s does not answer probes", home->name);
	else
		log_notice("upstream %s answers probes again", home->name);
	/* The leader must not act on a suspicion that has ended either. */
	if (is_primary(home))
		control_client_urgent(home->proxy->control, proxy_now());
	if (suspect)
		upstream_home_avoid(home);
}

static void missed(struct upstream_home *home)
{
	proxy_count(home->proxy, COUNT_PROBES_MISSED);
	directory_record_probe(&home->proxy->directory, home->handle, false,
			       proxy_now());
	update_suspect(home);
}

static void open_probe(struct upstream_home *home)
{
	if (home->open >= upstream_home_limit(home))
		return;
	home->probe = upstream_connection_open(home, true);
	if (home->probe)
		home->open++;
}

static void ask(struct upstream_home *home)
{
	home->position_wanted = false;
	upstream_connection_position(home->probe);
	stream_flush(&home->probe->stream);
}

static void on_probe(int64_t now_us, void *data)
{
	struct upstream_home *home = data;
	struct upstream_connection *probe = home->probe;

	if (home->proxy->surrendered &&
	    control_client_may_write(home->proxy->control, now_us))
		home->proxy->surrendered = false;
	upstream_home_dispatch(home);
	if (!probe) {
		open_probe(home);
		return;
	}
	if (probe->state == UPSTREAM_READY && !probe->nr_steps) {
		home->late = 0;
		ask(home);
		return;
	}
	/* A query sent for a commit just before the tick is not late. */
	if (probe->state == UPSTREAM_READY &&
	    now_us - probe->asked_us < home->proxy->settings->probe_interval_us)
		return;
	/* An upstream that answers on other connections is alive. */
	if (now_us - home->received_us >=
	    home->proxy->settings->probe_interval_us)
		missed(home);
	home->late++;
	if (home->late % REOPEN_MISSED == 0)
		upstream_connection_close(probe, UPSTREAM_ENDED);
}

void upstream_probe_start(struct upstream_home *home)
{
	struct proxy *proxy = home->proxy;

	home->probe_timer = timer_subscribe(&proxy->timers, proxy_now(),
					    proxy->settings->probe_interval_us,
					    on_probe, home);
}

void upstream_probe_ready(struct upstream_home *home)
{
	ask(home);
}

/*
 * An upstream that refuses the start-up, for instance since it has too many
 * connections, is alive and must not be replaced for it.
 */
void upstream_probe_lost(struct upstream_home *home, enum upstream_end end)
{
	if (!upstream_home_limit(home))
		return;
	home->refused = end == UPSTREAM_REFUSED ? home->refused + 1 : 0;
	if (end != UPSTREAM_REJECTED)
		missed(home);
}

void upstream_home_probed(struct upstream_home *home, bool has_position)
{
	struct proxy *proxy = home->proxy;

	home->refused = 0;
	directory_record_probe(&proxy->directory, home->handle, true,
			       proxy_now());
	update_suspect(home);
	if (has_position)
		commit_wait_news(proxy->commits, home->handle);
	if (home->position_wanted && home->probe && !home->probe->nr_steps)
		ask(home);
}

void upstream_probe_ask(struct upstream_home *home)
{
	if (!home->probe || home->probe->state != UPSTREAM_READY ||
	    home->probe->nr_steps) {
		home->position_wanted = true;
		return;
	}
	ask(home);
}
