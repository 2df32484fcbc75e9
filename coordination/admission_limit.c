#include "admission_internal.h"

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

bool admission_may_start(const struct admission *adm,
			 const struct tenant *tenant, int64_t now_us)
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

void admission_note_start(struct admission *adm, struct tenant *tenant,
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
