#include "primary_register.h"

#include <string.h>

/* Former primaries remembered for each service. */
#define MAX_REPLACED 32

static struct position unpack_position(const Wire__Position *in)
{
	return in ? (struct position){ in->term, in->lsn } :
		    (struct position){ 0 };
}

static void order_free(void *data)
{
	struct primary_order *order = data;

	g_ptr_array_free(order->surveyed, TRUE);
	g_free(order->id);
	g_free(order);
}

static struct primary_order *order_new(const char *id)
{
	struct primary_order *order = g_new0(struct primary_order, 1);

	order->id = g_strdup(id);
	order->surveyed = g_ptr_array_new_with_free_func(g_free);
	return order;
}

static void copy_free(void *data)
{
	struct primary_copy *copy = data;

	g_free(copy->id);
	g_free(copy->address);
	g_free(copy);
}

static void record_free(void *data)
{
	struct primary_record *record = data;

	g_ptr_array_free(record->replaced, TRUE);
	g_ptr_array_free(record->orders, TRUE);
	g_ptr_array_free(record->copies, TRUE);
	g_free(record->service);
	g_free(record->id);
	g_free(record);
}

void primary_register_init(struct primary_register *reg)
{
	reg->by_service = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						record_free);
}

void primary_register_finish(struct primary_register *reg)
{
	g_hash_table_destroy(reg->by_service);
}

static struct primary_record *get_or_add(struct primary_register *reg,
					 const char *service)
{
	struct primary_record *record =
		g_hash_table_lookup(reg->by_service, service);

	if (record)
		return record;
	record = g_new0(struct primary_record, 1);
	record->service = g_strdup(service);
	record->replaced = g_ptr_array_new_with_free_func(g_free);
	record->orders = g_ptr_array_new_with_free_func(order_free);
	record->copies = g_ptr_array_new_with_free_func(copy_free);
	g_hash_table_insert(reg->by_service, record->service, record);
	return record;
}

const struct primary_record *
primary_register_find(const struct primary_register *reg, const char *service)
{
	return g_hash_table_lookup(reg->by_service, service);
}

static struct primary_order *find_order(const struct primary_record *record,
					const char *id)
{
	guint i;

	for (i = 0; i < record->orders->len; i++) {
		struct primary_order *order = record->orders->pdata[i];

		if (!strcmp(order->id, id))
			return order;
	}
	return NULL;
}

const struct primary_order *
primary_record_order(const struct primary_record *record, const char *id)
{
	return find_order(record, id);
}

const struct primary_copy *
primary_record_copy(const struct primary_record *record, const char *id)
{
	guint i;

	for (i = 0; i < record->copies->len; i++) {
		const struct primary_copy *copy = record->copies->pdata[i];

		if (!strcmp(copy->id, id))
			return copy;
	}
	return NULL;
}

static bool has_surveyed(const struct primary_order *order, const char *id)
{
	return g_ptr_array_find_with_equal_func(order->surveyed, id,
						g_str_equal, NULL);
}

static void add_surveyed(struct primary_order *order, char *const *ids,
			 size_t nr)
{
	size_t i;

	for (i = 0; i < nr; i++)
		if (!has_surveyed(order, ids[i]))
			g_ptr_array_add(order->surveyed, g_strdup(ids[i]));
}

static void set_copies(struct primary_record *record,
		       Wire__PrimaryCopy *const *copies, size_t nr)
{
	size_t i;

	g_ptr_array_set_size(record->copies, 0);
	for (i = 0; i < nr; i++) {
		struct primary_copy *copy = g_new0(struct primary_copy, 1);

		copy->id = g_strdup(copies[i]->id);
		copy->address = g_strdup(copies[i]->address);
		copy->absent = copies[i]->absent;
		g_ptr_array_add(record->copies, copy);
	}
}

static void mark_absent(struct primary_record *record,
			const struct primary_order *order)
{
	guint i;

	for (i = 0; order->surveyed->len && i < record->copies->len; i++) {
		struct primary_copy *copy = record->copies->pdata[i];

		copy->absent = strcmp(copy->id, order->id) &&
			       !has_surveyed(order, copy->id);
	}
}

const struct primary_order *
primary_record_rival(const struct primary_record *record)
{
	const struct primary_order *last = NULL;
	guint i;

	for (i = 0; i < record->orders->len; i++) {
		const struct primary_order *order = record->orders->pdata[i];

		if (g_strcmp0(order->id, record->id) &&
		    (!last || order->last_token > last->last_token))
			last = order;
	}
	return last;
}

static void add_order(struct primary_record *record,
		      const Wire__PrimaryChange *change, int64_t now_us)
{
	struct primary_order *order = find_order(record, change->id);

	if (change->token <= record->token)
		return;
	if (!order) {
		order = order_new(change->id);
		order->first_token = change->token;
		g_ptr_array_add(record->orders, order);
	}
	order->last_token = change->token;
	order->log_end = unpack_position(change->log_end);
	order->newest_term = change->newest_term;
	order->applied_us = now_us;
	add_surveyed(order, change->surveyed, change->n_surveyed);
}

/* An order that was refused is not carried out later. */
static void refuse_order(struct primary_record *record,
			 const Wire__PrimaryChange *change)
{
	struct primary_order *order = find_order(record, change->id);

	if (!order || change->token < order->first_token)
		return;
	if (change->token == order->first_token)
		order->first_token++;
	else if (change->token == order->last_token)
		order->last_token--;
	if (order->first_token > order->last_token)
		g_ptr_array_remove(record->orders, order);
}

/* Removes the orders that a token outdates which was carried out. */
static void drop_outdated(struct primary_record *record)
{
	guint i = record->orders->len;

	while (i-- > 0) {
		struct primary_order *order = record->orders->pdata[i];

		if (order->last_token <= record->token)
			g_ptr_array_remove_index(record->orders, i);
		else
			order->first_token =
				MAX(order->first_token, record->token + 1);
	}
}

static void remember_replaced(struct primary_record *record, const char *id)
{
	guint i = record->replaced->len;

	while (i-- > 0) {
		const char *other = record->replaced->pdata[i];

		if (!g_strcmp0(other, id) || !g_strcmp0(other, record->id))
			g_ptr_array_remove_index(record->replaced, i);
	}
	if (record->id)
		g_ptr_array_add(record->replaced, g_strdup(record->id));
	if (record->replaced->len > MAX_REPLACED)
		g_ptr_array_remove_index(record->replaced, 0);
}

static bool set_primary(struct primary_record *record, const char *id,
			uint64_t token, uint64_t index, int64_t now_us)
{
	const struct primary_order *order = find_order(record, id);
	bool changed = g_strcmp0(record->id, id) != 0;

	if (changed) {
		/* Without an order it goes on with the lead of another one. */
		if (order) {
			record->base = order->log_end;
			record->ended_term = order->newest_term;
		}
		remember_replaced(record, id);
		g_free(record->id);
		record->id = g_strdup(id);
		record->index = index;
		record->by_order = order != NULL;
		record->applied_us = now_us;
	}
	record->token = token;
	drop_outdated(record);
	return changed;
}

const struct primary_record *
primary_register_apply(struct primary_register *reg,
		       const Wire__PrimaryChange *change, uint64_t index,
		       int64_t now_us)
{
	struct primary_record *record = get_or_add(reg, change->service);
	bool changed = false;

	switch (change->kind) {
	case WIRE__PRIMARY_CHANGE__KIND__ORDERED:
		add_order(record, change, now_us);
		break;
	case WIRE__PRIMARY_CHANGE__KIND__REFUSED:
		refuse_order(record, change);
		break;
	case WIRE__PRIMARY_CHANGE__KIND__PROMOTED:
		if (change->token <= record->token)
			break;
		if (g_strcmp0(record->id, change->id) &&
		    find_order(record, change->id))
			mark_absent(record, find_order(record, change->id));
		changed = set_primary(record, change->id, change->token, index,
				      now_us);
		break;
	case WIRE__PRIMARY_CHANGE__KIND__LEADS:
		/* Outdated if an order has been carried out since. What may
		 * still be carried out is not known any better. */
		if (change->token == record->token)
			changed = set_primary(record, change->id, record->token,
					      index, now_us);
		break;
	case WIRE__PRIMARY_CHANGE__KIND__COPIES:
		set_copies(record, change->copies, change->n_copies);
		break;
	default:
		break;
	}
	return changed ? record : NULL;
}

static Wire__Position *pack_position(struct position position)
{
	Wire__Position *out = g_new(Wire__Position, 1);

	wire__position__init(out);
	out->term = position.term;
	out->lsn = position.lsn;
	return out;
}

static Wire__PrimaryOrder *pack_order(const struct primary_order *order)
{
	Wire__PrimaryOrder *out = g_new(Wire__PrimaryOrder, 1);

	wire__primary_order__init(out);
	out->id = order->id;
	out->first_token = order->first_token;
	out->last_token = order->last_token;
	out->log_end = pack_position(order->log_end);
	out->newest_term = order->newest_term;
	out->surveyed = (char **)order->surveyed->pdata;
	out->n_surveyed = order->surveyed->len;
	return out;
}

static Wire__PrimaryCopy *pack_copy(const struct primary_copy *copy)
{
	Wire__PrimaryCopy *out = g_new(Wire__PrimaryCopy, 1);

	wire__primary_copy__init(out);
	out->id = copy->id;
	out->address = copy->address;
	out->absent = copy->absent;
	return out;
}

static Wire__PrimaryRecord *pack_record(const struct primary_record *record)
{
	Wire__PrimaryRecord *out = g_new(Wire__PrimaryRecord, 1);
	guint i;

	wire__primary_record__init(out);
	out->service = record->service;
	if (record->id)
		out->id = record->id;
	out->token = record->token;
	out->index = record->index;
	out->led_from = pack_position(record->base);
	out->ended_term = record->ended_term;
	out->replaced = (char **)record->replaced->pdata;
	out->n_replaced = record->replaced->len;
	out->orders = g_new(Wire__PrimaryOrder *, record->orders->len + 1);
	for (i = 0; i < record->orders->len; i++)
		out->orders[out->n_orders++] =
			pack_order(record->orders->pdata[i]);
	out->copies = g_new(Wire__PrimaryCopy *, record->copies->len + 1);
	for (i = 0; i < record->copies->len; i++)
		out->copies[out->n_copies++] =
			pack_copy(record->copies->pdata[i]);
	return out;
}

void primary_register_pack(const struct primary_register *reg,
			   Wire__ConfigChange *snapshot)
{
	const struct primary_record *record;
	GHashTableIter it;

	snapshot->primaries = g_new(Wire__PrimaryRecord *,
				    g_hash_table_size(reg->by_service) + 1);
	g_hash_table_iter_init(&it, reg->by_service);
	while (g_hash_table_iter_next(&it, NULL, (void **)&record))
		snapshot->primaries[snapshot->n_primaries++] =
			pack_record(record);
}

void primary_register_clear_packed(Wire__ConfigChange *snapshot)
{
	size_t i, k;

	for (i = 0; i < snapshot->n_primaries; i++) {
		Wire__PrimaryRecord *record = snapshot->primaries[i];

		for (k = 0; k < record->n_orders; k++) {
			g_free(record->orders[k]->log_end);
			g_free(record->orders[k]);
		}
		for (k = 0; k < record->n_copies; k++)
			g_free(record->copies[k]);
		g_free(record->copies);
		g_free(record->orders);
		g_free(record->led_from);
		g_free(record);
	}
	g_clear_pointer(&snapshot->primaries, g_free);
	snapshot->n_primaries = 0;
}

static void unpack_record(struct primary_register *reg,
			  const Wire__PrimaryRecord *in, int64_t now_us)
{
	struct primary_record *record = get_or_add(reg, in->service);
	size_t i;

	record->id = in->id[0] ? g_strdup(in->id) : NULL;
	record->token = in->token;
	record->index = in->index;
	record->base = unpack_position(in->led_from);
	record->ended_term = in->ended_term;
	record->by_order = true;
	record->applied_us = now_us;
	for (i = 0; i < in->n_replaced; i++)
		g_ptr_array_add(record->replaced, g_strdup(in->replaced[i]));
	set_copies(record, in->copies, in->n_copies);
	for (i = 0; i < in->n_orders; i++) {
		const Wire__PrimaryOrder *from = in->orders[i];
		struct primary_order *order = order_new(from->id);

		order->first_token = from->first_token;
		order->last_token = from->last_token;
		order->log_end = unpack_position(from->log_end);
		order->newest_term = from->newest_term;
		order->applied_us = now_us;
		add_surveyed(order, from->surveyed, from->n_surveyed);
		g_ptr_array_add(record->orders, order);
	}
}

void primary_register_unpack(struct primary_register *reg,
			     const Wire__ConfigChange *snapshot, int64_t now_us)
{
	size_t i;

	g_hash_table_remove_all(reg->by_service);
	for (i = 0; i < snapshot->n_primaries; i++)
		unpack_record(reg, snapshot->primaries[i], now_us);
}
