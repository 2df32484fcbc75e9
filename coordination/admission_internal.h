#ifndef ADMISSION_INTERNAL_H
#define ADMISSION_INTERNAL_H

#include "admission.h"

/**
 * struct tenant - request queue of one tenant
 * @deficit: requests it may still start in this round
 * @next_us: earliest start that the limit does not delay
 * @quiet_us: time from which it counts as using less than
 *                       half its share
 * @started_us: time of its last start, 0 if none
 * @queue: struct waiting_request, next request first
 */
struct tenant {
	char *name;
	unsigned weight;
	unsigned deficit;
	int64_t next_us;
	int64_t quiet_us;
	int64_t started_us;
	GSequence *queue;
};

static inline struct tenant *tenant_at(const struct admission *adm, int handle)
{
	return g_ptr_array_index(adm->tenants, handle);
}

static inline guint length_of(const struct tenant *tenant)
{
	return g_sequence_get_length(tenant->queue);
}

/** admission_may_start() - whether the limit allows @tenant a start now */
bool admission_may_start(const struct admission *adm,
			 const struct tenant *tenant, int64_t now_us);
/** admission_note_start() - record that @tenant started a request */
void admission_note_start(struct admission *adm, struct tenant *tenant,
			  int64_t now_us);

#endif
