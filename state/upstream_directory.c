#include "upstream_directory.h"

#include <string.h>

/* Missed in a row, as many as make a primary suspect. */
#define UNREACHABLE_PROBES 3
/* A replica that showed more lag than this counts as returning when it has
 * caught up. Equal to the default of max_replica_lag. */
#define RETURN_LAG_US (10 * 1000000ll)

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

int directory_find(const struct upstream_directory *dir, const char *name)
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

int directory_cluster(struct upstream_directory *dir, const char *service,
		      const char *cluster)
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
	int cluster = directory_cluster(dir, ann->service, ann->cluster);
	struct cluster *cl = directory_cluster_at(dir, cluster);
	struct upstream *up = g_new0(struct upstream, 1);
	int handle = dir->upstreams->len;

	up->name = g_strdup(ann->name);
	up->database = g_strdup(ann->database);
	up->cluster = cluster;
	up->announced_us = INT64_MIN;
	up->probed_us = INT64_MIN;
	up->learned_us = INT64_MIN;
	up->fresh_us = INT64_MIN;
	g_ptr_array_add(dir->upstreams, up);
	g_hash_table_insert(dir->upstream_by_name, up->name,
			    GINT_TO_POINTER(handle));
	g_array_append_val(cl->upstreams, handle);
	if (!g_strcmp0(cl->primary_name, up->name))
		cl->primary = cl->fenced ? UPSTREAM_NONE : handle;
	return handle;
}

static bool contradicts(const struct upstream_directory *dir,
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
 * The announced position is not taken: it may be older than what the
 * upstream answered itself, and acknowledgements depend on positions.
 */
int directory_announce(struct upstream_directory *dir,
		       const struct upstream_announcement *ann, int64_t age_us,
		       int64_t now_us)
{
	int64_t at_us = now_us - MAX(age_us, 0);
	int handle = directory_find(dir, ann->name);
	struct upstream *up;

	if (handle == UPSTREAM_NONE) {
		if (at_us < now_us - dir->expiry_us)
			return UPSTREAM_NONE;
		handle = upstream_add(dir, ann);
	}
	up = directory_upstream_at(dir, handle);
	if (at_us < up->announced_us || contradicts(dir, up, ann))
		return UPSTREAM_NONE;
	if (up->leaving != ann->leaving ||
	    !directory_is_current(dir, handle, now_us))
		up->returned_us = now_us;
	up->announced_us = at_us;
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
		cl->primary = directory_find(dir, primary);
	if (cl->primary != UPSTREAM_NONE &&
	    directory_upstream_at(dir, cl->primary)->cluster != cluster)
		cl->primary = UPSTREAM_NONE;
}

/*
 * The newest sample the replica holds shows how fresh its reads are. A
 * sample held once stays held, so the time only grows until the log of the
 * replica itself goes back.
 */
static void refresh(const struct cluster *cl, struct upstream *up)
{
	unsigned i;

	for (i = cl->nr_samples; i > 0; i--) {
		if (!position_holds(&cl->history, up->replayed,
				    cl->samples[i - 1].pos))
			continue;
		up->fresh_us = MAX(up->fresh_us, cl->samples[i - 1].at_us);
		return;
	}
}

/*
 * Drops the sample that leaves the smallest gap in relation to its age. The
 * record then reaches back far enough for a replica that lags by seconds,
 * and resolves milliseconds for one that is nearly caught up.
 */
static void thin_samples(struct cluster *cl, int64_t now_us)
{
	unsigned i, drop = 1;
	double best = G_MAXDOUBLE, gap;

	for (i = 1; i + 1 < cl->nr_samples; i++) {
		gap = (double)(cl->samples[i + 1].at_us -
			       cl->samples[i - 1].at_us) /
		      (now_us - cl->samples[i].at_us + 1);
		if (gap < best) {
			best = gap;
			drop = i;
		}
	}
	memmove(&cl->samples[drop], &cl->samples[drop + 1],
		(cl->nr_samples - drop - 1) * sizeof(*cl->samples));
	cl->nr_samples--;
}

/* The answers of several connections may cross; an older question adds
 * nothing to a newer sample. */
static bool sample_add(struct cluster *cl, struct position pos, int64_t at_us)
{
	struct primary_sample *last;

	if (cl->nr_samples) {
		last = &cl->samples[cl->nr_samples - 1];
		if (at_us <= last->at_us)
			return false;
		if (!position_compare(last->pos, pos)) {
			last->at_us = at_us;
			return true;
		}
	}
	if (cl->nr_samples == PRIMARY_SAMPLES)
		thin_samples(cl, at_us);
	cl->samples[cl->nr_samples++] = (struct primary_sample){ at_us, pos };
	return true;
}

static void note_primary(struct upstream_directory *dir, struct cluster *cl,
			 struct position pos, int64_t asked_us)
{
	struct upstream *up;
	guint i;

	if (!sample_add(cl, pos, asked_us))
		return;
	for (i = 0; i < cl->upstreams->len; i++) {
		up = directory_upstream_at(dir, g_array_index(cl->upstreams,
							      int, i));
		if (up->learned_us != INT64_MIN)
			refresh(cl, up);
	}
}

/* Return: false if the answer is older than what is known */
static bool note_replayed(const struct cluster *cl, struct upstream *up,
			  struct position replayed, int64_t asked_us)
{
	if (up->learned_us == INT64_MIN)
		return true;
	if (position_holds(&cl->history, replayed, up->replayed))
		return true;
	if (asked_us < up->learned_us)
		return false;
	/* Asked afterwards and yet behind: the database was rebuilt. */
	up->fresh_us = INT64_MIN;
	return true;
}

void directory_note_position(struct upstream_directory *dir, int upstream,
			     bool in_recovery, struct position received,
			     struct position replayed, int64_t asked_us,
			     int64_t now_us, bool lease_valid)
{
	struct upstream *up = directory_upstream_at(dir, upstream);
	struct cluster *cl;
	int64_t before_us;

	if (!up)
		return;
	cl = directory_cluster_at(dir, up->cluster);
	if (!note_replayed(cl, up, replayed, asked_us))
		return;
	before_us = up->fresh_us;
	if (asked_us < up->learned_us)
		received = position_max(received, up->received);
	up->received = received;
	up->replayed = replayed;
	up->says_primary = !in_recovery;
	if (cl->primary == upstream && !in_recovery && lease_valid &&
	    received.term == cl->term)
		note_primary(dir, cl, received, asked_us);
	refresh(cl, up);
	if (up->learned_us != INT64_MIN && before_us != INT64_MIN &&
	    up->learned_us - before_us > RETURN_LAG_US &&
	    now_us - up->fresh_us <= RETURN_LAG_US)
		up->returned_us = now_us;
	up->learned_us = now_us;
}

void directory_note_probe(struct upstream_directory *dir, int upstream,
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
		up->returned_us = now_us;
	up->missed_probes = 0;
	up->reachable = true;
	up->probed_us = now_us;
}

bool directory_has_diverged(const struct upstream_directory *dir, int upstream)
{
	const struct upstream *up = directory_upstream_at(dir, upstream);
	const struct term_switch *at;
	const struct cluster *cl;
	guint i;

	if (!up)
		return false;
	cl = directory_cluster_at(dir, up->cluster);
	for (i = 0; i < cl->history.switches->len; i++) {
		at = &g_array_index(cl->history.switches, struct term_switch,
				    i);
		if (at->term >= up->replayed.term &&
		    at->end_lsn < up->replayed.lsn)
			return true;
	}
	return false;
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
