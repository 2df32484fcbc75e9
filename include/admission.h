#ifndef ADMISSION_H
#define ADMISSION_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Waiting requests of one pool: bounded, fair, with deadlines.
 *
 * Tenants share by weight (deficit round robin); within a tenant the earliest
 * deadline goes first. Request handles are the owner's.
 */

enum admission_verdict {
	ADMISSION_QUEUED,
	/** the tenant's queue is full */
	ADMISSION_FULL,
	/** the deadline cannot be met at the observed service time */
	ADMISSION_TOO_LATE,
};

enum admission_order {
	ADMISSION_FAIR,
	ADMISSION_FIFO,
	ADMISSION_DEADLINE,
};

struct admission {
	GPtrArray *tenants;
	GHashTable *tenant_by_name;
	enum admission_order order;
	unsigned max_queue;
	unsigned slots;
	unsigned cursor;
	int64_t service_us;
	uint64_t sequence;
};

void admission_init(struct admission *adm, enum admission_order order,
		    unsigned max_queue, unsigned slots);
void admission_finish(struct admission *adm);

/** admission_tenant() - handle of a tenant, created at first use */
int admission_tenant(struct admission *adm, const char *name, unsigned weight);

/**
 * admission_enqueue() - queue a request or refuse it early
 * @request: the owner's handle
 */
enum admission_verdict admission_enqueue(struct admission *adm, int tenant,
					 uint64_t request, int64_t deadline_us,
					 int64_t now_us);

/**
 * admission_next() - request to run next
 * @accept: asked for the head of a tenant's queue; false if it cannot run
 *          yet, for instance because its upstream has no free connection
 * Return: false if nothing can run
 */
bool admission_next(struct admission *adm, int64_t now_us,
		    bool (*accept)(uint64_t request, void *data), void *data,
		    uint64_t *request);

/** admission_expire() - report and drop requests past their deadline */
void admission_expire(struct admission *adm, int64_t now_us,
		      void (*expired)(uint64_t request, void *data),
		      void *data);

/** admission_remove() - a caller went away */
void admission_remove(struct admission *adm, int tenant, uint64_t request);

/** admission_note_service() - time one request held its connection */
void admission_note_service(struct admission *adm, int64_t service_us);

unsigned admission_waiting(const struct admission *adm);

#endif
