#include "admission_internal.h"

/*
 * Most statements in flight per database slot, in tenths. More than one per
 * slot keeps the slot busy while the next statement is on its way, but each
 * further one delays the tenants that have no queue. The lower value applies
 * while there is a protected tenant: one that has started a statement recently
 * and uses less than half of its share.
 */
#define IN_FLIGHT_PER_SLOT_TENTHS 60
#define PROTECTED_IN_FLIGHT_PER_SLOT_TENTHS 18
/* A tenant is protected for this long after its last start. */
#define PROTECTION_US (60 * 1000000ll)

/* Unused starts that a tenant may accumulate. */
#define MAX_SAVED_STARTS 4

/* Time between starts that keeps this many statements in flight per slot. */
static int64_t start_interval_us(const struct admission *adm,
				 int64_t in_flight_per_slot_tenths)
{
	return adm->service_us * 10000 /
	       (adm->slot_share_milli * in_flight_per_slot_tenths);
}

/* Time between starts of one tenant, by its weight among tenants that queue. */
static int64_t tenant_interval_us(const struct admission *adm,
				  const struct tenant *tenant)
{
	int64_t total_weight = 0;
	const struct tenant *other;
	guint i;

	for (i = 0; i < adm->tenants->len; i++) {
		other = admission_tenant_at(adm, i);
		if (other == tenant || admission_queue_length(other))
			total_weight += other->weight;
	}
	return start_interval_us(adm, IN_FLIGHT_PER_SLOT_TENTHS) *
	       total_weight / tenant->weight;
}

static int64_t current_in_flight_per_slot_tenths(const struct admission *adm,
						 int64_t now_us)
{
	const struct tenant *tenant;
	guint i;

	for (i = 0; i < adm->tenants->len; i++) {
		tenant = admission_tenant_at(adm, i);
		if (tenant->started_us &&
		    admission_queue_length(tenant) <= MAX_SAVED_STARTS &&
		    now_us >= tenant->below_half_share_us &&
		    now_us - tenant->started_us < PROTECTION_US)
			return PROTECTED_IN_FLIGHT_PER_SLOT_TENTHS;
	}
	return IN_FLIGHT_PER_SLOT_TENTHS;
}

/* The limit does not delay a tenant that uses less than its share. */
static bool uses_less_than_share(const struct tenant *tenant, int64_t now_us)
{
	return admission_queue_length(tenant) <= MAX_SAVED_STARTS &&
	       now_us >= tenant->next_start_us;
}

bool admission_may_start(const struct admission *adm,
			 const struct tenant *tenant, int64_t now_us)
{
	int64_t max_in_flight;

	if (!adm->slot_share_milli || uses_less_than_share(tenant, now_us))
		return true;
	max_in_flight = adm->slot_share_milli *
			current_in_flight_per_slot_tenths(adm, now_us);
	if (adm->in_flight && (adm->in_flight + 1) * 10000ll > max_in_flight)
		return false;
	return now_us >= adm->next_start_us;
}

/* Advances the next start by one interval and limits the saved starts. */
static void advance_next_start(int64_t *next_start_us, int64_t interval_us,
			       int64_t max_saved, int64_t now_us)
{
	*next_start_us = MAX(*next_start_us, now_us - max_saved * interval_us) +
			 interval_us;
}

void admission_record_start(struct admission *adm, struct tenant *tenant,
			    int64_t now_us)
{
	int64_t interval_us;

	adm->in_flight++;
	tenant->started_us = now_us;
	if (!adm->slot_share_milli)
		return;
	advance_next_start(
		&adm->next_start_us,
		start_interval_us(
			adm, current_in_flight_per_slot_tenths(adm, now_us)),
		1, now_us);
	interval_us = tenant_interval_us(adm, tenant);
	advance_next_start(&tenant->next_start_us, interval_us,
			   MAX_SAVED_STARTS, now_us);
	advance_next_start(&tenant->below_half_share_us, 2 * interval_us,
			   MAX_SAVED_STARTS, now_us);
}

void admission_set_limit(struct admission *adm, unsigned slots,
			 unsigned connections, unsigned budget)
{
	adm->slot_share_milli = 0;
	if (budget)
		adm->slot_share_milli =
			MAX(1000ull * slots * connections / budget, 1);
}

void admission_record_release(struct admission *adm)
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
		tenant = admission_tenant_at(adm, i);
		if (!admission_queue_length(tenant))
			continue;
		if (adm->next_start_us > now_us)
			wake_us = MIN(wake_us, adm->next_start_us);
		if (tenant->next_start_us > now_us)
			wake_us = MIN(wake_us, tenant->next_start_us);
	}
	return wake_us;
}
