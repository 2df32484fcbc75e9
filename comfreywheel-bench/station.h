#ifndef STATION_H
#define STATION_H

#include "admission.h"
#include "experiment.h"
#include "retry.h"
#include "timer_service.h"

/**
 * DOC: A database with slots, and daemons with queues in front of it.
 */

#define GATES 8

/**
 * struct station - a database
 * @slots: statements executed at once; further ones wait inside
 * @mean_us: mean of the exponential service time
 * @failed: refuses every statement
 * @fault_rate: part of the statements whose connection is lost
 */
struct station {
	struct timer_service *timers;
	gsl_rng *rng;
	unsigned slots;
	unsigned busy;
	double mean_us;
	bool failed;
	double fault_rate;
	uint64_t attempts;
	GQueue waiting;
};

enum gate_result {
	GATE_ANSWERED,
	GATE_FAILED,
	GATE_REFUSED,
	GATE_EXPIRED,
};

/**
 * struct gate - one daemon's queue and connections
 * @share: connections to the database
 * @naive: no early refusal, no expiry, blind retries
 */
struct gate {
	struct station *station;
	struct admission admission;
	struct retry_budget budget;
	unsigned share;
	unsigned in_flight;
	int64_t delay_us;
	bool naive;
};

struct gate_request {
	struct gate *gate;
	int tenant;
	unsigned attempts;
	int64_t deadline_us;
	int64_t started_us;
	bool ok;
	void (*done)(struct gate_request *req, enum gate_result result,
		     int64_t now_us);
	void *data;
};

void station_init(struct station *st, struct timer_service *timers,
		  gsl_rng *rng, unsigned slots, double mean_us);
void station_finish(struct station *st);

void gate_init(struct gate *gate, struct station *st,
	       enum admission_order order, bool naive, unsigned share,
	       unsigned budget, int64_t delay_us);
void gate_finish(struct gate *gate);
/** gate_submit() - a request reaches the daemon; @req outlives the run */
void gate_submit(struct gate_request *req, int64_t now_us);
/** gates_tick() - timer callback; @gates: struct gate[GATES] */
void gates_tick(int64_t now_us, void *gates);

#endif
