#ifndef ADMISSION_INTERNAL_H
#define ADMISSION_INTERNAL_H

#include "admission.h"

/**
 * struct tenant - request queue of one tenant
 * @deficit: requests it may still start in this round
 * @next_start_us: earliest start that the limit does not delay
 * @below_half_share_us: time from which it counts as using less than
 *                       half its share
 * @started_us: time of its last start, 0 if none
 * @queue: struct waiting_request, next request first
 */
struct tenant {
	char *name;
	unsigned weight;
	unsigned deficit;
	int64_t next_start_us;
	int64_t below_half_share_us;
	int64_t started_us;
	GSequence *queue;
};

static inline struct tenant *admission_tenant_at(const struct admission *adm,
						 int handle)
{
	return g_ptr_array_index(adm->tenants, handle);
}

static inline guint admission_queue_length(const struct tenant *tenant)
{
	return g_sequence_get_length(tenant->queue);
}

/** admission_may_start() - whether the limit allows @tenant a start now */
bool admission_may_start(const struct admission *adm,
			 const struct tenant *tenant, int64_t now_us);
/** admission_record_start() - record that @tenant started a request */
void admission_record_start(struct admission *adm, struct tenant *tenant,
			    int64_t now_us);

#endif
