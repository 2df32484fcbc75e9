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
 *
 * With a limit, tenants whose requests have to queue here hold only so many
 * connections at once, so that the queue does not move into the database,
 * where it would be first come first served for all tenants.
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

/**
 * struct admission - the queues of one pool at one upstream
 * @limit: this daemon's part of the slots, thousandths; 0 for no limit
 * @service_us: observed time a request holds its connection
 */
struct admission {
	GPtrArray *tenants;
	GHashTable *tenant_by_name;
	enum admission_order order;
	unsigned max_queue;
	unsigned slots;
	unsigned cursor;
	unsigned limit;
	unsigned in_flight;
	int64_t next_us;
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

/**
 * admission_expire() - report and drop requests past their deadline
 *
 * First come first served keeps those that are not past it but will be when
 * they are answered; the other orders drop them too.
 */
void admission_expire(struct admission *adm, int64_t now_us,
		      void (*expired)(uint64_t request, void *data),
		      void *data);

/** admission_remove() - a caller went away */
void admission_remove(struct admission *adm, int tenant, uint64_t request);

/** admission_note_service() - time one request held its connection */
void admission_note_service(struct admission *adm, int64_t service_us);

/**
 * admission_set_limit() - this daemon's part of the database's slots
 * @connections: connections this daemon may open there
 * @budget: connections all daemons together may open there
 *
 * With a limit the owner must call admission_done() for each request that
 * admission_next() returned, and admission_next() again at
 * admission_wake_us(). A @budget of 0 removes the limit.
 */
void admission_set_limit(struct admission *adm, unsigned slots,
			 unsigned connections, unsigned budget);

/** admission_done() - a request has released its connection */
void admission_done(struct admission *adm);

/** admission_wake_us() - when a request held back by the limit may run */
int64_t admission_wake_us(const struct admission *adm, int64_t now_us);

unsigned admission_waiting(const struct admission *adm);

#endif
