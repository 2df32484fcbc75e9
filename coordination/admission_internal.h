#ifndef ADMISSION_INTERNAL_H
#define ADMISSION_INTERNAL_H

#include "admission.h"

/**
 * struct tenant - one queue
 * @deficit: requests it may still start in this turn
 * @next_us: when it may start again without waiting for the limit
 * @quiet_us: from when on it uses less than half its part
 * @started_us: when it last started a request, 0 if never
 * @queue: struct waiting, head first
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

/** admission_may_start() - whether the limit lets a tenant start one now */
bool admission_may_start(const struct admission *adm,
			 const struct tenant *tenant, int64_t now_us);
/** admission_note_start() - @tenant started a request */
void admission_note_start(struct admission *adm, struct tenant *tenant,
			  int64_t now_us);

#endif
