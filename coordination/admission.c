#include "admission_internal.h"

/*
 * The service time is an exponential moving average in which the newest sample
 * has a weight of 1/8: it follows a change within about ten requests.
 */
#define SERVICE_WEIGHT_DIVISOR 8

struct waiting_request {
	uint64_t request;
	int64_t deadline_us;
	uint64_t sequence;
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

int admission_tenant(struct admission *adm, const char *name, unsigned weight)
{
	struct tenant *tenant;
	gpointer value;

	if (g_hash_table_lookup_extended(adm->tenant_by_name, name, NULL,
					 &value)) {
		admission_tenant_at(adm, GPOINTER_TO_INT(value))->weight =
			MAX(weight, 1);
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
	const struct waiting_request *x = a, *y = b;

	if (x->deadline_us != y->deadline_us)
		return x->deadline_us < y->deadline_us ? -1 : 1;
	return (x->sequence > y->sequence) - (x->sequence < y->sequence);
}

static gint by_arrival(gconstpointer a, gconstpointer b, gpointer data)
{
	const struct waiting_request *x = a, *y = b;

	return (x->sequence > y->sequence) - (x->sequence < y->sequence);
}

static GCompareDataFunc queue_order(const struct admission *adm)
{
	return adm->order == ADMISSION_FIFO ? by_arrival : by_deadline;
}

static struct waiting_request *queue_head(const struct tenant *tenant)
{
	GSequenceIter *iter = g_sequence_get_begin_iter(tenant->queue);

	return g_sequence_iter_is_end(iter) ? NULL : g_sequence_get(iter);
}

/*
 * Expected time until a request queued now has run, given the share of the
 * slots that its tenant gets.
 */
static int64_t expected_completion_us(const struct admission *adm,
				      const struct tenant *tenant)
{
	int64_t ahead = admission_queue_length(tenant),
		total_weight = tenant->weight;
	const struct tenant *other;
	guint i;

	for (i = 0; i < adm->tenants->len; i++) {
		other = admission_tenant_at(adm, i);
		if (other == tenant || !admission_queue_length(other))
			continue;
		if (adm->order == ADMISSION_FAIR)
			total_weight += other->weight;
		else
			ahead += admission_queue_length(other);
	}
	if (adm->order == ADMISSION_FAIR)
		ahead = ahead * total_weight / tenant->weight;
	return ahead * adm->service_us / adm->slots + adm->service_us;
}

enum admission_verdict admission_enqueue(struct admission *adm, int handle,
					 uint64_t request, int64_t deadline_us,
					 int64_t now_us)
{
	struct tenant *tenant = admission_tenant_at(adm, handle);
	struct waiting_request *waiting;

	if (admission_queue_length(tenant) >= adm->max_queue)
		return ADMISSION_FULL;
	if (now_us + expected_completion_us(adm, tenant) > deadline_us)
		return ADMISSION_TOO_LATE;
	waiting = g_new(struct waiting_request, 1);
	*waiting = (struct waiting_request){ request, deadline_us,
					     adm->sequence++ };
	g_sequence_insert_sorted(tenant->queue, waiting, queue_order(adm),
				 NULL);
	return ADMISSION_QUEUED;
}

static bool take_head(struct tenant *tenant,
		      bool (*accept)(uint64_t request, void *data), void *data,
		      uint64_t *request)
{
	struct waiting_request *head = queue_head(tenant);

	if (!head || !accept(head->request, data))
		return false;
	*request = head->request;
	g_sequence_remove(g_sequence_get_begin_iter(tenant->queue));
	return true;
}

static void advance_turn(struct admission *adm)
{
	struct tenant *tenant;

	adm->cursor = (adm->cursor + 1) % adm->tenants->len;
	tenant = admission_tenant_at(adm, adm->cursor);
	tenant->deficit = admission_queue_length(tenant) ? tenant->weight : 0;
}

/*
 * Deficit round robin in which each request costs one unit. A tenant whose
 * first request cannot run loses its turn but keeps its queue.
 */
static bool next_fair(struct admission *adm, int64_t now_us,
		      bool (*accept)(uint64_t request, void *data), void *data,
		      uint64_t *request)
{
	struct tenant *tenant;
	guint visited;

	for (visited = 0; visited <= adm->tenants->len; visited++) {
		tenant = admission_tenant_at(adm, adm->cursor);
		if (tenant->deficit &&
		    admission_may_start(adm, tenant, now_us) &&
		    take_head(tenant, accept, data, request)) {
			admission_record_start(adm, tenant, now_us);
			if (!--tenant->deficit ||
			    !admission_queue_length(tenant))
				advance_turn(adm);
			return true;
		}
		advance_turn(adm);
	}
	return false;
}

/* Schedules all tenants as one queue; the baseline for ADMISSION_FAIR. */
static bool next_over_all_tenants(struct admission *adm,
				  bool (*accept)(uint64_t request, void *data),
				  void *data, uint64_t *request)
{
	struct tenant *tenant, *best = NULL;
	GCompareDataFunc order = queue_order(adm);
	guint i;

	for (i = 0; i < adm->tenants->len; i++) {
		tenant = admission_tenant_at(adm, i);
		if (admission_queue_length(tenant) &&
		    (!best ||
		     order(queue_head(tenant), queue_head(best), NULL) < 0))
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
	return next_over_all_tenants(adm, accept, data, request);
}

/* Latest start time that still meets the deadline. */
static int64_t latest_start_us(const struct admission *adm,
			       const struct waiting_request *waiting)
{
	if (adm->order == ADMISSION_FIFO)
		return waiting->deadline_us;
	return waiting->deadline_us - adm->service_us;
}

void admission_expire(struct admission *adm, int64_t now_us,
		      void (*expired)(uint64_t request, void *data), void *data)
{
	GSequenceIter *iter, *next;
	struct waiting_request *waiting;
	guint i;

	for (i = 0; i < adm->tenants->len; i++) {
		iter = g_sequence_get_begin_iter(
			admission_tenant_at(adm, i)->queue);
		for (; !g_sequence_iter_is_end(iter); iter = next) {
			next = g_sequence_iter_next(iter);
			waiting = g_sequence_get(iter);
			if (latest_start_us(adm, waiting) <= now_us) {
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
	GSequenceIter *iter = g_sequence_get_begin_iter(
		admission_tenant_at(adm, handle)->queue);
	const struct waiting_request *waiting;

	for (; !g_sequence_iter_is_end(iter);
	     iter = g_sequence_iter_next(iter)) {
		waiting = g_sequence_get(iter);
		if (waiting->request != request)
			continue;
		g_sequence_remove(iter);
		return;
	}
}

void admission_record_service_time(struct admission *adm, int64_t service_us)
{
	if (!adm->service_us)
		adm->service_us = service_us;
	adm->service_us +=
		(service_us - adm->service_us) / SERVICE_WEIGHT_DIVISOR;
}

unsigned admission_waiting(const struct admission *adm)
{
	unsigned total = 0;
	guint i;

	for (i = 0; i < adm->tenants->len; i++)
		total += admission_queue_length(admission_tenant_at(adm, i));
	return total;
}
