#include "admission.h"

/* Weight of the newest sample in the observed service time: one in eight
 * follows a change within some ten requests. */
#define SERVICE_SAMPLES 8

/*
 * Statements in flight for each slot of the database, tenths. Some wait inside
 * it, so that a slot does not fall idle while the next statement is on its
 * way; each more delays the tenants that do not queue. Fewer are sent while
 * there is such a tenant.
 */
#define LOOSE 60
#define TIGHT 18
/* A tenant that was last seen longer ago has nothing to be protected. */
#define QUIET_SEEN_US (60 * 1000000ll)

/* Starts that a tenant below its part of the limit may save up. */
#define CREDIT 4

struct waiting {
	uint64_t request;
	int64_t deadline_us;
	uint64_t sequence;
};

struct tenant {
	char *name;
	unsigned weight;
	unsigned deficit;
	/* When it may start again without waiting for the limit, and from
	 * when on it uses less than half its part. */
	int64_t next_us;
	int64_t quiet_us;
	int64_t started_us;
	GSequence *queue;
};

static void tenant_free(gpointer data)
{
	struct tenant *tenant = data;

	g_sequence_free(tenant->queue);
	g_free(tenant->name);
	g_free(tenant);
}

void admission_init(struct admission *adm, enum admission_order order,
		    unsigned max_queue, unsigned slots)
{
	*adm = (struct admission){
		.tenants = g_ptr_array_new_with_free_func(tenant_free),
		.tenant_by_name = g_hash_table_new(g_str_hash, g_str_equal),
		.order = order,
		.max_queue = max_queue,
		.slots = MAX(slots, 1),
	};
}

void admission_finish(struct admission *adm)
{
	g_hash_table_destroy(adm->tenant_by_name);
	g_ptr_array_free(adm->tenants, TRUE);
}

static struct tenant *tenant_at(const struct admission *adm, int handle)
{
	return g_ptr_array_index(adm->tenants, handle);
}

int admission_tenant(struct admission *adm, const char *name, unsigned weight)
{
	struct tenant *tenant;
	gpointer value;

	if (g_hash_table_lookup_extended(adm->tenant_by_name, name, NULL,
					 &value)) {
		tenant_at(adm, GPOINTER_TO_INT(value))->weight = MAX(weight, 1);
		return GPOINTER_TO_INT(value);
	}
	tenant = g_new0(struct tenant, 1);
	tenant->name = g_strdup(name);
	tenant->weight = MAX(weight, 1);
	tenant->queue = g_sequence_new(g_free);
	g_ptr_array_add(adm->tenants, tenant);
	g_hash_table_insert(adm->tenant_by_name, tenant->name,
			    GINT_TO_POINTER(adm->tenants->len - 1));
	return adm->tenants->len - 1;
}

static gint by_deadline(gconstpointer a, gconstpointer b, gpointer data)
{
	const struct waiting *x = a, *y = b;

	if (x->deadline_us != y->deadline_us)
		return x->deadline_us < y->deadline_us ? -1 : 1;
	return (x->sequence > y->sequence) - (x->sequence < y->sequence);
}

static gint by_arrival(gconstpointer a, gconstpointer b, gpointer data)
{
	const struct waiting *x = a, *y = b;

	return (x->sequence > y->sequence) - (x->sequence < y->sequence);
}

static GCompareDataFunc order_of(const struct admission *adm)
{
	return adm->order == ADMISSION_FIFO ? by_arrival : by_deadline;
}

static guint length_of(const struct tenant *tenant)
{
	return g_sequence_get_length(tenant->queue);
}

static struct waiting *head_of(const struct tenant *tenant)
{
	GSequenceIter *iter = g_sequence_get_begin_iter(tenant->queue);

	return g_sequence_iter_is_end(iter) ? NULL : g_sequence_get(iter);
}

/* Time until a request that joins now has run, at the tenant's own share of
 * the slots. */
static int64_t expected_us(const struct admission *adm,
			   const struct tenant *tenant)
{
	int64_t ahead = length_of(tenant), weights = tenant->weight;
	const struct tenant *other;
	guint i;

	for (i = 0; i < adm->tenants->len; i++) {
		other = tenant_at(adm, i);
		if (other == tenant || !length_of(other))
			continue;
		if (adm->order == ADMISSION_FAIR)
			weights += other->weight;
		else
			ahead += length_of(other);
	}
	if (adm->order == ADMISSION_FAIR)
		ahead = ahead * weights / tenant->weight;
	return ahead * adm->service_us / adm->slots + adm->service_us;
}

enum admission_verdict admission_enqueue(struct admission *adm, int handle,
					 uint64_t request, int64_t deadline_us,
					 int64_t now_us)
{
	struct tenant *tenant = tenant_at(adm, handle);
	struct waiting *waiting;

	if (length_of(tenant) >= adm->max_queue)
		return ADMISSION_FULL;
	if (now_us + expected_us(adm, tenant) > deadline_us)
		return ADMISSION_TOO_LATE;
	waiting = g_new(struct waiting, 1);
	*waiting = (struct waiting){ request, deadline_us, adm->sequence++ };
	g_sequence_insert_sorted(tenant->queue, waiting, order_of(adm), NULL);
	return ADMISSION_QUEUED;
}

/* Time between starts at @limit tenths for each slot of this daemon's part. */
static int64_t gap_us(const struct admission *adm, int64_t limit)
{
	return adm->service_us * 10000 / (adm->limit * limit);
}

/* The same for one tenant's part among those that want to run. */
static int64_t tenant_gap_us(const struct admission *adm,
			     const struct tenant *tenant)
{
	int64_t weights = 0;
	const struct tenant *other;
	guint i;

	for (i = 0; i < adm->tenants->len; i++) {
		other = tenant_at(adm, i);
		if (other == tenant || length_of(other))
			weights += other->weight;
	}
	return gap_us(adm, LOOSE) * weights / tenant->weight;
}

static int64_t present_limit(const struct admission *adm, int64_t now_us)
{
	const struct tenant *tenant;
	guint i;

	for (i = 0; i < adm->tenants->len; i++) {
		tenant = tenant_at(adm, i);
		if (tenant->started_us && length_of(tenant) <= CREDIT &&
		    now_us >= tenant->quiet_us &&
		    now_us - tenant->started_us < QUIET_SEEN_US)
			return TIGHT;
	}
	return LOOSE;
}

/* A tenant that uses less than its part is not held back. */
static bool has_credit(const struct tenant *tenant, int64_t now_us)
{
	return length_of(tenant) <= CREDIT && now_us >= tenant->next_us;
}

static bool may_start(const struct admission *adm, const struct tenant *tenant,
		      int64_t now_us)
{
	int64_t limit;

	if (!adm->limit || has_credit(tenant, now_us))
		return true;
	limit = adm->limit * present_limit(adm, now_us);
	if (adm->in_flight && (adm->in_flight + 1) * 10000ll > limit)
		return false;
	return now_us >= adm->next_us;
}

/* Moves the time of the next start on; at most CREDIT starts are saved up. */
static void spend(int64_t *next_us, int64_t gap_us, int64_t credit,
		  int64_t now_us)
{
	*next_us = MAX(*next_us, now_us - credit * gap_us) + gap_us;
}

static void note_start(struct admission *adm, struct tenant *tenant,
		       int64_t now_us)
{
	int64_t part_us;

	adm->in_flight++;
	tenant->started_us = now_us;
	if (!adm->limit)
		return;
	spend(&adm->next_us, gap_us(adm, present_limit(adm, now_us)), 1,
	      now_us);
	part_us = tenant_gap_us(adm, tenant);
	spend(&tenant->next_us, part_us, CREDIT, now_us);
	spend(&tenant->quiet_us, 2 * part_us, CREDIT, now_us);
}

void admission_set_limit(struct admission *adm, unsigned slots,
			 unsigned connections, unsigned budget)
{
	adm->limit = 0;
	if (budget)
		adm->limit = MAX(1000ull * slots * connections / budget, 1);
}

void admission_done(struct admission *adm)
{
	if (adm->in_flight)
		adm->in_flight--;
}

int64_t admission_wake_us(const struct admission *adm, int64_t now_us)
{
	const struct tenant *tenant;
	int64_t wake_us = INT64_MAX;
	guint i;

	for (i = 0; i < adm->tenants->len; i++) {
		tenant = tenant_at(adm, i);
		if (!length_of(tenant))
			continue;
		if (adm->next_us > now_us)
			wake_us = MIN(wake_us, adm->next_us);
		if (tenant->next_us > now_us)
			wake_us = MIN(wake_us, tenant->next_us);
	}
	return wake_us;
}

static bool take_head(struct tenant *tenant,
		      bool (*accept)(uint64_t request, void *data), void *data,
		      uint64_t *request)
{
	struct waiting *head = head_of(tenant);

	if (!head || !accept(head->request, data))
		return false;
	*request = head->request;
	g_sequence_remove(g_sequence_get_begin_iter(tenant->queue));
	return true;
}

static void advance(struct admission *adm)
{
	struct tenant *tenant;

	adm->cursor = (adm->cursor + 1) % adm->tenants->len;
	tenant = tenant_at(adm, adm->cursor);
	tenant->deficit = length_of(tenant) ? tenant->weight : 0;
}

/* Deficit round robin with a cost of one a request. A tenant whose head
 * cannot run loses its turn and not the requests behind it. */
static bool next_fair(struct admission *adm, int64_t now_us,
		      bool (*accept)(uint64_t request, void *data), void *data,
		      uint64_t *request)
{
	struct tenant *tenant;
	guint visited;

	for (visited = 0; visited <= adm->tenants->len; visited++) {
		tenant = tenant_at(adm, adm->cursor);
		if (tenant->deficit && may_start(adm, tenant, now_us) &&
		    take_head(tenant, accept, data, request)) {
			note_start(adm, tenant, now_us);
			if (!--tenant->deficit || !length_of(tenant))
				advance(adm);
			return true;
		}
		advance(adm);
	}
	return false;
}

/* One order over all tenants: the naive schedules to compare with. */
static bool next_global(struct admission *adm,
			bool (*accept)(uint64_t request, void *data),
			void *data, uint64_t *request)
{
	struct tenant *tenant, *best = NULL;
	GCompareDataFunc order = order_of(adm);
	guint i;

	for (i = 0; i < adm->tenants->len; i++) {
		tenant = tenant_at(adm, i);
		if (length_of(tenant) &&
		    (!best || order(head_of(tenant), head_of(best), NULL) < 0))
			best = tenant;
	}
	if (!best || !take_head(best, accept, data, request))
		return false;
	adm->in_flight++;
	return true;
}

bool admission_next(struct admission *adm, int64_t now_us,
		    bool (*accept)(uint64_t request, void *data), void *data,
		    uint64_t *request)
{
	if (!adm->tenants->len)
		return false;
	if (adm->order == ADMISSION_FAIR)
		return next_fair(adm, now_us, accept, data, request);
	return next_global(adm, accept, data, request);
}

/* Latest start that still meets the deadline. */
static int64_t latest_us(const struct admission *adm,
			 const struct waiting *waiting)
{
	if (adm->order == ADMISSION_FIFO)
		return waiting->deadline_us;
	return waiting->deadline_us - adm->service_us;
}

void admission_expire(struct admission *adm, int64_t now_us,
		      void (*expired)(uint64_t request, void *data), void *data)
{
	GSequenceIter *iter, *next;
	struct waiting *waiting;
	guint i;

	for (i = 0; i < adm->tenants->len; i++) {
		iter = g_sequence_get_begin_iter(tenant_at(adm, i)->queue);
		for (; !g_sequence_iter_is_end(iter); iter = next) {
			next = g_sequence_iter_next(iter);
			waiting = g_sequence_get(iter);
			if (latest_us(adm, waiting) <= now_us) {
				expired(waiting->request, data);
				g_sequence_remove(iter);
			} else if (adm->order != ADMISSION_FIFO) {
				break;
			}
		}
	}
}

void admission_remove(struct admission *adm, int handle, uint64_t request)
{
	GSequenceIter *iter =
		g_sequence_get_begin_iter(tenant_at(adm, handle)->queue);
	const struct waiting *waiting;

	for (; !g_sequence_iter_is_end(iter);
	     iter = g_sequence_iter_next(iter)) {
		waiting = g_sequence_get(iter);
		if (waiting->request != request)
			continue;
		g_sequence_remove(iter);
		return;
	}
}

void admission_note_service(struct admission *adm, int64_t service_us)
{
	if (!adm->service_us)
		adm->service_us = service_us;
	adm->service_us += (service_us - adm->service_us) / SERVICE_SAMPLES;
}

unsigned admission_waiting(const struct admission *adm)
{
	unsigned total = 0;
	guint i;

	for (i = 0; i < adm->tenants->len; i++)
		total += length_of(tenant_at(adm, i));
	return total;
}
