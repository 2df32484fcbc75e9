#include "statements.h"

#include <inttypes.h>
#include <string.h>

#define NAME_PREFIX "cw_"

void statement_table_init(struct statement_table *table)
{
	table->by_body = g_hash_table_new(g_bytes_hash, g_bytes_equal);
	table->next_id = 1;
}

void statement_table_finish(struct statement_table *table)
{
	g_hash_table_destroy(table->by_body);
}

struct statement *statement_intern(struct statement_table *table,
				   const uint8_t *body, size_t len,
				   const struct sql_class *class)
{
	GBytes *key = g_bytes_new(body, len);
	struct statement *st = g_hash_table_lookup(table->by_body, key);

	if (st) {
		g_bytes_unref(key);
		return statement_ref(st);
	}
	st = g_new0(struct statement, 1);
	st->refs = 1;
	st->id = table->next_id++;
	st->body = key;
	st->kind = class->kind;
	st->read_only = class->read_only;
	g_hash_table_insert(table->by_body, key, st);
	table->bytes += len;
	return st;
}

struct statement *statement_ref(struct statement *st)
{
	st->refs++;
	return st;
}

void statement_unref(struct statement_table *table, struct statement *st)
{
	if (--st->refs)
		return;
	g_hash_table_remove(table->by_body, st->body);
	table->bytes -= g_bytes_get_size(st->body);
	g_bytes_unref(st->body);
	g_free(st);
}

char *statement_name(uint64_t id, char *buf)
{
	g_snprintf(buf, STATEMENT_NAME_MAX, NAME_PREFIX "%" PRIx64, id);
	return buf;
}

/* Return: identity in a name made by statement_name(), 0 for another name. */
static uint64_t name_id(const char *name)
{
	if (!g_str_has_prefix(name, NAME_PREFIX))
		return 0;
	return g_ascii_strtoull(name + strlen(NAME_PREFIX), NULL, 16);
}

/* A frame sent to the upstream whose answer is to come. */
struct expected {
	uint64_t id;
	bool hidden;
};

static void add_pending(struct parsed_statements *parsed, uint64_t id,
			int change)
{
	gpointer nr = g_hash_table_lookup(parsed->pending, &id);
	int now = GPOINTER_TO_INT(nr) + change;

	if (now)
		g_hash_table_insert(parsed->pending, g_memdup2(&id, sizeof(id)),
				    GINT_TO_POINTER(now));
	else
		g_hash_table_remove(parsed->pending, &id);
}

static void expect(GQueue *queue, uint64_t id, bool hidden)
{
	struct expected *e = g_new(struct expected, 1);

	e->id = id;
	e->hidden = hidden;
	g_queue_push_tail(queue, e);
}

void parsed_statements_init(struct parsed_statements *parsed)
{
	parsed->ids = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					    NULL);
	parsed->pending = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						g_free, NULL);
	g_queue_init(&parsed->parses);
	g_queue_init(&parsed->closes);
}

void parsed_statements_synced(struct parsed_statements *parsed)
{
	g_queue_clear_full(&parsed->parses, g_free);
	g_hash_table_remove_all(parsed->pending);
	g_queue_clear_full(&parsed->closes, g_free);
}

void parsed_statements_finish(struct parsed_statements *parsed)
{
	parsed_statements_synced(parsed);
	g_hash_table_destroy(parsed->ids);
	g_hash_table_destroy(parsed->pending);
}

static bool is_parsed(const struct parsed_statements *parsed, uint64_t id)
{
	return g_hash_table_contains(parsed->ids, &id) ||
	       g_hash_table_contains(parsed->pending, &id);
}

static void put_close(struct pg_buffer *out, const char *name)
{
	size_t begin = pg_frame_begin(out, 'C');

	pg_put_u8(out, 'S');
	pg_put_string(out, name);
	pg_frame_end(out, begin);
}

static void close_hidden(struct parsed_statements *parsed, uint64_t id,
			 struct pg_buffer *out)
{
	char name[STATEMENT_NAME_MAX];

	put_close(out, statement_name(id, name));
	expect(&parsed->closes, id, true);
}

/* A full connection starts over: most statements are used in bursts. */
static void make_room(struct parsed_statements *parsed, struct pg_buffer *out)
{
	GHashTableIter iter;
	gpointer id;

	if (g_hash_table_size(parsed->ids) + parsed->parses.length <
	    STATEMENTS_MAX)
		return;
	g_hash_table_iter_init(&iter, parsed->ids);
	while (g_hash_table_iter_next(&iter, &id, NULL))
		close_hidden(parsed, *(uint64_t *)id, out);
	g_hash_table_remove_all(parsed->ids);
}

static void parse_hidden(struct parsed_statements *parsed,
			 const struct statement *st, struct pg_buffer *out)
{
	char name[STATEMENT_NAME_MAX];
	size_t len, begin;
	const void *body = g_bytes_get_data(st->body, &len);

	make_room(parsed, out);
	begin = pg_frame_begin(out, 'P');
	pg_put_string(out, statement_name(st->id, name));
	pg_buffer_append(out, body, len);
	pg_frame_end(out, begin);
	expect(&parsed->parses, st->id, true);
	add_pending(parsed, st->id, 1);
}

static void need(struct parsed_statements *parsed, const GPtrArray *used,
		 const char *name, struct pg_buffer *out)
{
	uint64_t id = name_id(name);
	const struct statement *st;
	guint i;

	if (!id || is_parsed(parsed, id))
		return;
	for (i = 0; i < used->len; i++) {
		st = used->pdata[i];
		if (st->id == id) {
			parse_hidden(parsed, st, out);
			return;
		}
	}
}

static void forward_parse(struct parsed_statements *parsed, const char *name,
			  struct pg_buffer *out)
{
	uint64_t id = name_id(name);

	if (id && is_parsed(parsed, id)) {
		close_hidden(parsed, id, out);
		g_hash_table_remove(parsed->ids, &id);
	} else if (id) {
		make_room(parsed, out);
	}
	expect(&parsed->parses, id, false);
	if (id)
		add_pending(parsed, id, 1);
}

static void prepare(struct parsed_statements *parsed, const GPtrArray *used,
		    const struct pg_frame *frame, struct pg_buffer *out)
{
	struct pg_reader r;

	pg_reader_init(&r, frame->payload, frame->payload_len);
	switch (frame->type) {
	case 'P':
		forward_parse(parsed, pg_read_string(&r), out);
		return;
	case 'B':
		pg_read_string(&r);
		need(parsed, used, pg_read_string(&r), out);
		return;
	case 'D':
		if (pg_read_u8(&r) == 'S')
			need(parsed, used, pg_read_string(&r), out);
		return;
	case 'C':
		expect(&parsed->closes, 0, false);
		return;
	default:
		return;
	}
}

void parsed_statements_forward(struct parsed_statements *parsed,
			       const GPtrArray *used, const uint8_t *data,
			       size_t len, struct pg_buffer *out)
{
	struct pg_frame frame;

	while (len && pg_frame_peek(data, len, PG_FRAME_MAX_BYTES, &frame) ==
			      PG_FRAME_READY) {
		prepare(parsed, used, &frame, out);
		pg_buffer_append(out, data, frame.frame_len);
		data += frame.frame_len;
		len -= frame.frame_len;
	}
}

bool parsed_statements_answer(struct parsed_statements *parsed, char type)
{
	GQueue *queue = type == '1' ? &parsed->parses : &parsed->closes;
	struct expected *e;
	bool hidden;

	if (type != '1' && type != '3')
		return true;
	e = g_queue_pop_head(queue);
	if (!e)
		return true;
	if (type == '1' && e->id) {
		add_pending(parsed, e->id, -1);
		g_hash_table_add(parsed->ids, g_memdup2(&e->id, sizeof(e->id)));
	}
	hidden = e->hidden;
	g_free(e);
	return !hidden;
}
