#ifndef PRIMARY_REGISTER_H
#define PRIMARY_REGISTER_H

#include "messages.pb-c.h"
#include "position.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: State machine of the control group: who leads each service.
 *
 * Deterministic and without I/O. Every control VM applies the same changes in
 * the order of the agreed log, so a new leader, also one with an empty disk,
 * knows what the leaders before it ordered.
 *
 * The platform carries out an order only if no order with a higher token was
 * carried out before it. So the newest token that is known to have been carried
 * out decides who leads, whatever upstreams claim, and an order without an
 * answer may be carried out at any time until one with a higher token was.
 */

/**
 * struct primary_order - orders to promote an upstream that may still be
 *                        carried out
 * @first_token: token of the first of them
 * @last_token: token of the last of them
 * @log_end: end of its log at the time of the last one, term 0 if unknown
 * @newest_term: newest term of any log at that time
 * @surveyed: ids of the upstreams whose logs one of them was decided by
 * @applied_us: when this VM learned of the last one; not agreed
 */
struct primary_order {
	char *id;
	uint64_t first_token;
	uint64_t last_token;
	struct position log_end;
	uint32_t newest_term;
	GPtrArray *surveyed;
	int64_t applied_us;
};

/**
 * struct primary_copy - an upstream that may hold a commit that was acknowledged
 *                       and that others lack
 * @absent: whether the last promotion was decided by a survey that it did not
 *          answer; it then holds no later commit unless it is heard again
 *
 * It counts also when it has ended or its address is in use again, until the
 * leader knows that as many others as must hold each commit hold its commits.
 */
struct primary_copy {
	char *id;
	char *address;
	bool absent;
};

/**
 * struct primary_record - what is agreed on the primary of a service
 * @id: upstream that leads, NULL if none is known yet
 * @token: highest token known to have been carried out, 0 if there is none;
 *         @id may have been seen to lead since
 * @index: index of the log entry that set @id
 * @base: end of its log when it was promoted, term 0 if unknown
 * @ended_term: newest term of any log at that time, 0 if unknown
 * @replaced: ids of the primaries before it, the latest last
 * @orders: struct primary_order, at most one for each upstream
 * @copies: struct primary_copy; empty where commits wait for no replica
 * @by_order: whether an order made @id lead, so that @base is where its lead
 *            began
 * @applied_us: when this VM learned of @id; not agreed
 */
struct primary_record {
	char *service;
	char *id;
	uint64_t token;
	uint64_t index;
	struct position base;
	uint32_t ended_term;
	GPtrArray *replaced;
	GPtrArray *orders;
	GPtrArray *copies;
	bool by_order;
	int64_t applied_us;
};

/**
 * struct primary_register - the records
 * @by_service: service to struct primary_record
 */
struct primary_register {
	GHashTable *by_service;
};

void primary_register_init(struct primary_register *reg);
void primary_register_finish(struct primary_register *reg);

/**
 * primary_register_apply() - apply a log entry
 * @index: index of the entry
 * Return: the record if another upstream leads from now on, else NULL
 */
const struct primary_record *
primary_register_apply(struct primary_register *reg,
		       const Wire__PrimaryChange *change, uint64_t index,
		       int64_t now_us);

/** primary_register_find() - the record of @service, NULL if there is none */
const struct primary_record *
primary_register_find(const struct primary_register *reg, const char *service);

/** primary_record_order() - the open orders for @id, NULL if there are none */
const struct primary_order *
primary_record_order(const struct primary_record *record, const char *id);

/**
 * primary_record_rival() - the open orders that were given last for another
 *                          upstream than the primary
 * Return: NULL if there are none: then the primary stays the primary until the
 *         next order
 */
const struct primary_order *
primary_record_rival(const struct primary_record *record);

/** primary_record_copy() - the copy @id, NULL if it is none */
const struct primary_copy *
primary_record_copy(const struct primary_record *record, const char *id);

/** primary_register_pack() - add all records to a snapshot */
void primary_register_pack(const struct primary_register *reg,
			   Wire__ConfigChange *snapshot);
/** primary_register_unpack() - replace all records by those of a snapshot */
void primary_register_unpack(struct primary_register *reg,
			     const Wire__ConfigChange *snapshot,
			     int64_t now_us);
/** primary_register_clear_packed() - free what primary_register_pack() added */
void primary_register_clear_packed(Wire__ConfigChange *snapshot);

#endif
