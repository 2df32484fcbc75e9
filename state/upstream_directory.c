#include "upstream_directory.h"

#include <string.h>

/* Consecutive missed probes after which an upstream counts as unreachable; a
 * primary is suspected to have failed after the same number. */
#define UNREACHABLE_PROBES 3
/*
 * After its lag exceeded this and it has caught up, the share of reads that a
 * replica serves rises gradually again. Equal to the default of
 * max_replica_lag.
 */
#define CATCH_UP_LAG_US (10 * 1000000ll)

static void upstream_free(gpointer data)
{
	struct upstream *up = data;

	g_free(up->name);
	g_free(up->address);
	g_free(up->availability_zone);
	g_free(up->database);
	g_free(up);
}

static void cluster_free(gpointer data)
{
	struct cluster *cl = data;

	g_free(cl->service);
	g_free(cl->name);
	g_free(cl->primary_name);
	g_array_free(cl->upstreams, TRUE);
	term_history_finish(&cl->history);
	g_free(cl);
}

void directory_init(struct upstream_directory *dir, int64_t expiry_us)
{
	dir->upstreams = g_ptr_array_new_with_free_func(upstream_free);
	dir->clusters = g_ptr_array_new_with_free_func(cluster_free);
	dir->upstream_by_name = g_hash_table_new(g_str_hash, g_str_equal);
	dir->cluster_by_name =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	dir->expiry_us = expiry_us;
}

void directory_finish(struct upstream_directory *dir)
{
	g_hash_table_destroy(dir->upstream_by_name);
	g_hash_table_destroy(dir->cluster_by_name);
	g_ptr_array_free(dir->upstreams, TRUE);
	g_ptr_array_free(dir->clusters, TRUE);
}

struct cluster *directory_cluster_at(const struct upstream_directory *dir,
				     int handle)
{
	if (handle < 0 || (guint)handle >= dir->clusters->len)
		return NULL;
	return g_ptr_array_index(dir->clusters, handle);
}

struct upstream *directory_upstream_at(const struct upstream_directory *dir,
				       int handle)
{
	if (handle < 0 || (guint)handle >= dir->upstreams->len)
		return NULL;
	return g_ptr_array_index(dir->upstreams, handle);
}

int directory_find_upstream(const struct upstream_directory *dir,
			    const char *name)
{
	gpointer value;

	if (!g_hash_table_lookup_extended(dir->upstream_by_name, name, NULL,
					  &value))
		return UPSTREAM_NONE;
	return GPOINTER_TO_INT(value);
}

/* Neither name contains the separator: both are parts of "SERVICE.CLUSTER". */
static char *cluster_key(const char *service, const char *cluster)
{
	return g_strconcat(service, "\n", cluster, NULL);
}

int directory_get_or_add_cluster(struct upstream_directory *dir,
				 const char *service, const char *cluster)
{
	char *key = cluster_key(service, cluster);
	struct cluster *cl;
	gpointer value;

	if (g_hash_table_lookup_extended(dir->cluster_by_name, key, NULL,
					 &value)) {
		g_free(key);
		return GPOINTER_TO_INT(value);
	}
	cl = g_new0(struct cluster, 1);
	cl->service = g_strdup(service);
	cl->name = g_strdup(cluster);
	cl->upstreams = g_array_new(FALSE, FALSE, sizeof(int));
	cl->primary = UPSTREAM_NONE;
	term_history_init(&cl->history);
	g_ptr_array_add(dir->clusters, cl);
	g_hash_table_insert(dir->cluster_by_name, key,
			    GINT_TO_POINTER(dir->clusters->len - 1));
	return dir->clusters->len - 1;
}

static int upstream_add(struct upstream_directory *dir,
			const struct upstream_announcement *ann)
{
	int cluster =
		directory_get_or_add_cluster(dir, ann->service, ann->cluster);
	struct cluster *cl = directory_cluster_at(dir, cluster);
	struct upstream *up = g_new0(struct upstream, 1);
	int handle = dir->upstreams->len;

	up->name = g_strdup(ann->name);
	up->database = g_strdup(ann->database);
	up->cluster = cluster;
	up->announced_us = INT64_MIN;
	up->probed_us = INT64_MIN;
	up->position_reported_us = INT64_MIN;
	up->fresh_as_of_us = INT64_MIN;
	g_ptr_array_add(dir->upstreams, up);
	g_hash_table_insert(dir->upstream_by_name, up->name,
			    GINT_TO_POINTER(handle));
	g_array_append_val(cl->upstreams, handle);
	if (!g_strcmp0(cl->primary_name, up->name))
		cl->primary = cl->fenced ? UPSTREAM_NONE : handle;
	return handle;
}

static bool contradicts_known(const struct upstream_directory *dir,
			      const struct upstream *up,
			      const struct upstream_announcement *ann)
{
	const struct cluster *cl = directory_cluster_at(dir, up->cluster);

	return strcmp(cl->service, ann->service) ||
	       strcmp(cl->name, ann->cluster) ||
	       strcmp(up->database, ann->database);
}

static void replace_text(char **field, const char *text)
{
	if (!g_strcmp0(*field, text))
		return;
	g_free(*field);
	*field = g_strdup(text);
}

/*
 * The announced position is ignored: it may be older than one that the upstream
 * itself reported, and the acknowledgement of writes depends on positions.
 */
int directory_record_announcement(struct upstream_directory *dir,
				  const struct upstream_announcement *ann,
				  int64_t age_us, int64_t now_us)
{
	int64_t sent_us = now_us - MAX(age_us, 0);
	int handle = directory_find_upstream(dir, ann->name);
	struct upstream *up;

	if (handle == UPSTREAM_NONE) {
		if (sent_us < now_us - dir->expiry_us)
			return UPSTREAM_NONE;
		handle = upstream_add(dir, ann);
	}
	up = directory_upstream_at(dir, handle);
	if (sent_us < up->announced_us || contradicts_known(dir, up, ann))
		return UPSTREAM_NONE;
	if (up->leaving != ann->leaving ||
	    !directory_is_current(dir, handle, now_us))
		up->ramp_start_us = now_us;
	up->announced_us = sent_us;
	replace_text(&up->address, ann->address);
	replace_text(&up->availability_zone, ann->availability_zone);
	up->port = ann->port;
	up->says_primary = ann->primary;
	up->leaving = ann->leaving;
	return handle;
}

void directory_set_primary(struct upstream_directory *dir, int cluster,
			   const char *primary, uint32_t term, bool fenced)
{
	struct cluster *cl = directory_cluster_at(dir, cluster);

	if (!cl || term < cl->term)
		return;
	replace_text(&cl->primary_name, primary);
	cl->term = term;
	cl->fenced = fenced;
	cl->primary = UPSTREAM_NONE;
	if (primary && !fenced)
		cl->primary = directory_find_upstream(dir, primary);
	if (cl->primary != UPSTREAM_NONE &&
	    directory_upstream_at(dir, cl->primary)->cluster != cluster)
		cl->primary = UPSTREAM_NONE;
}

/*
 * The newest sample of the primary that an upstream has replayed shows how
 * fresh its reads are. A replayed sample stays replayed, so the time only
 * increases unless the log of the upstream itself goes back.
 */
static void update_freshness(const struct cluster *cl, struct upstream *up)
{
	unsigned i;

	for (i = cl->nr_samples; i > 0; i--) {
		if (!position_covers(&cl->history, up->replayed,
				     cl->samples[i - 1].pos))
			continue;
		up->fresh_as_of_us =
			MAX(up->fresh_as_of_us, cl->samples[i - 1].asked_at_us);
		return;
	}
}

/*
 * Removes the sample that leaves the smallest gap relative to its age. The
 * samples then reach back far enough for a replica that lags by seconds, and
 * are milliseconds apart for one that has nearly caught up.
 */
static void drop_least_useful_sample(struct cluster *cl, int64_t now_us)
{
	unsigned i, drop_index = 1;
	double smallest_gap = G_MAXDOUBLE, relative_gap;

	for (i = 1; i + 1 < cl->nr_samples; i++) {
		relative_gap = (double)(cl->samples[i + 1].asked_at_us -
					cl->samples[i - 1].asked_at_us) /
			       (now_us - cl->samples[i].asked_at_us + 1);
		if (relative_gap < smallest_gap) {
			smallest_gap = relative_gap;
			drop_index = i;
		}
	}
	memmove(&cl->samples[drop_index], &cl->samples[drop_index + 1],
		(cl->nr_samples - drop_index - 1) * sizeof(*cl->samples));
	cl->nr_samples--;
}

/*
 * Answers on different connections may arrive out of order. A query sent before
 * the newest sample's query adds nothing.
 * Return: whether the samples changed
 */
static bool add_sample(struct cluster *cl, struct position pos,
		       int64_t asked_at_us)
{
	struct primary_sample *last;

	if (cl->nr_samples) {
		last = &cl->samples[cl->nr_samples - 1];
		if (asked_at_us <= last->asked_at_us)
			return false;
		if (!position_compare(last->pos, pos)) {
			last->asked_at_us = asked_at_us;
			return true;
		}
	}
	if (cl->nr_samples == PRIMARY_SAMPLES_MAX)
		drop_least_useful_sample(cl, asked_at_us);
	cl->samples[cl->nr_samples++] =
		(struct primary_sample){ asked_at_us, pos };
	return true;
}

static void record_primary_position(struct upstream_directory *dir,
				    struct cluster *cl, struct position pos,
				    int64_t asked_us)
{
	struct upstream *up;
	guint i;

	if (!add_sample(cl, pos, asked_us))
		return;
	for (i = 0; i < cl->upstreams->len; i++) {
		up = directory_upstream_at(dir, g_array_index(cl->upstreams,
							      int, i));
		if (up->position_reported_us != INT64_MIN)
			update_freshness(cl, up);
	}
}

/*
 * Compares a new replayed position with the known one.
 * Return: false if the answer is outdated
 */
static bool accept_replayed(const struct cluster *cl, struct upstream *up,
			    struct position replayed, int64_t asked_us)
{
	if (up->position_reported_us == INT64_MIN)
		return true;
	if (position_covers(&cl->history, replayed, up->replayed))
		return true;
	if (asked_us < up->position_reported_us)
		return false;
	/* A later query with an earlier position: the database was rebuilt. */
	up->fresh_as_of_us = INT64_MIN;
	return true;
}

void directory_record_position(struct upstream_directory *dir, int upstream,
			       bool in_recovery, struct position received,
			       struct position replayed, int64_t asked_us,
			       int64_t now_us, bool lease_valid)
{
	struct upstream *up = directory_upstream_at(dir, upstream);
	struct cluster *cl;
	int64_t previous_fresh_us;

	if (!up)
		return;
	cl = directory_cluster_at(dir, up->cluster);
	if (!accept_replayed(cl, up, replayed, asked_us))
		return;
	previous_fresh_us = up->fresh_as_of_us;
	if (asked_us < up->position_reported_us)
		received = position_max(received, up->received);
	up->received = received;
	up->replayed = replayed;
	up->says_primary = up->wrote_own_log = !in_recovery;
	if (cl->primary == upstream && !in_recovery && lease_valid &&
	    received.term == cl->term)
		record_primary_position(dir, cl, received, asked_us);
	update_freshness(cl, up);
	if (up->position_reported_us != INT64_MIN &&
	    previous_fresh_us != INT64_MIN &&
	    up->position_reported_us - previous_fresh_us > CATCH_UP_LAG_US &&
	    now_us - up->fresh_as_of_us <= CATCH_UP_LAG_US)
		up->ramp_start_us = now_us;
	up->position_reported_us = now_us;
}

void directory_record_probe(struct upstream_directory *dir, int upstream,
			    bool answered, int64_t now_us)
{
	struct upstream *up = directory_upstream_at(dir, upstream);

	if (!up)
		return;
	if (!answered) {
		up->missed_probes++;
		if (up->missed_probes >= UNREACHABLE_PROBES)
			up->reachable = false;
		return;
	}
	if (!up->reachable)
		up->ramp_start_us = now_us;
	up->missed_probes = 0;
	up->reachable = true;
	up->probed_us = now_us;
}

bool directory_has_diverged(const struct upstream_directory *dir, int upstream)
{
	const struct upstream *up = directory_upstream_at(dir, upstream);
	const struct term_switch *ended;
	const struct cluster *cl;
	guint i;

	if (!up)
		return false;
	cl = directory_cluster_at(dir, up->cluster);
	for (i = 0; i < cl->history.switches->len; i++) {
		ended = &g_array_index(cl->history.switches, struct term_switch,
				       i);
		if (ended->term >= up->replayed.term &&
		    ended->end_lsn < up->replayed.lsn)
			return true;
	}
	return false;
}

bool directory_is_replica(const struct upstream *up)
{
	return !up->says_primary && !up->wrote_own_log;
}

bool directory_is_current(const struct upstream_directory *dir, int upstream,
			  int64_t now_us)
{
	const struct upstream *up = directory_upstream_at(dir, upstream);
	int64_t seen_us;

	if (!up)
		return false;
	seen_us = MAX(up->announced_us, up->probed_us);
	return seen_us != INT64_MIN && now_us - seen_us <= dir->expiry_us;
}
