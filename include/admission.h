#ifndef ADMISSION_H
#define ADMISSION_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Bounded request queues of one connection pool, one per tenant.
 *
 * Tenants are scheduled by weight (deficit round robin); within a tenant the
 * request with the earliest deadline runs first. Requests are identified by
 * handles that the caller of this module chooses.
 *
 * An optional limit bounds the connections that tenants with queued requests
 * use at once. Without it the queue would form inside the database, which
 * serves all tenants first come, first served.
 */

enum admission_verdict {
	ADMISSION_QUEUED,
	/** the queue of the tenant is full */
	ADMISSION_FULL,
	/** the deadline cannot be met at the measured service time */
	ADMISSION_TOO_LATE,
};

enum admission_order {
	/** by weight between tenants, earliest deadline first within one */
	ADMISSION_FAIR,
	/** first come, first served over all tenants */
	ADMISSION_FIFO,
	/** earliest deadline first over all tenants */
	ADMISSION_DEADLINE,
};

/**
 * struct admission - request queues of one pool at one upstream
 * @max_queue: maximum number of requests queued per tenant
 * @slots: statements that the database runs at once
 * @cursor: index of the tenant whose turn it is
 * @slot_share_milli: share of the slots that this daemon may use, in
 *                    thousandths of a slot; 0 for no limit
 * @in_flight: requests that have started and not released their connection
 * @next_start_us: earliest time of the next start under the limit
 * @service_us: moving average of the time a request holds its connection
 * @sequence: arrival number of the next request
 */
struct admission {
	GPtrArray *tenants;
	GHashTable *tenant_by_name;
	enum admission_order order;
	unsigned max_queue;
	unsigned slots;
	unsigned cursor;
	unsigned slot_share_milli;
	unsigned in_flight;
	int64_t next_start_us;
	int64_t service_us;
	uint64_t sequence;
};

void admission_init(struct admission *adm, enum admission_order order,
		    unsigned max_queue, unsigned slots);
void admission_finish(struct admission *adm);

/** admission_tenant() - return the handle of a tenant, created on first use */
int admission_tenant(struct admission *adm, const char *name, unsigned weight);

/**
 * admission_enqueue() - queue a request, or refuse it if it cannot be served
 * @request: handle chosen by the caller
 */
enum admission_verdict admission_enqueue(struct admission *adm, int tenant,
					 uint64_t request, int64_t deadline_us,
					 int64_t now_us);

/**
 * admission_next() - take the next request to run from its queue
 * @accept: called with the head of a tenant's queue; returns false if the
 *          request cannot run yet, for instance because its upstream has no
 *          free connection
 * Return: false if no request can run
 */
bool admission_next(struct admission *adm, int64_t now_us,
		    bool (*accept)(uint64_t request, void *data), void *data,
		    uint64_t *request);

/**
 * admission_expire() - report and remove requests past their deadline
 *
 * Requests whose deadline would pass before they are answered are removed as
 * well, except with ADMISSION_FIFO.
 */
void admission_expire(struct admission *adm, int64_t now_us,
		      void (*expired)(uint64_t request, void *data),
		      void *data);

/** admission_remove() - remove a queued request whose client disconnected */
void admission_remove(struct admission *adm, int tenant, uint64_t request);

/** admission_record_service_time() - record the service time of a request */
void admission_record_service_time(struct admission *adm, int64_t service_us);

/**
 * admission_set_limit() - limit this daemon to its share of the database slots
 * @slots: statements that the database runs at once
 * @connections: connections this daemon may open to the database
 * @budget: connections all daemons together may open to the database
 *
 * While a limit is set, call admission_record_release() for each request
 * returned by admission_next(), and call admission_next() again at
 * admission_wake_us(). A @budget of 0 removes the limit.
 */
void admission_set_limit(struct admission *adm, unsigned slots,
			 unsigned connections, unsigned budget);

/** admission_record_release() - record that a request released its
 * connection */
void admission_record_release(struct admission *adm);

/**
 * admission_wake_us() - earliest time a request delayed by the limit may run
 * Return: INT64_MAX if no queued request is delayed
 */
int64_t admission_wake_us(const struct admission *adm, int64_t now_us);

/** admission_waiting() - number of queued requests of all tenants */
unsigned admission_waiting(const struct admission *adm);

#endif
