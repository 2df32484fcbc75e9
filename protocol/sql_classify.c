#include "sql_walk.h"

#include <string.h>
#include <xxhash.h>

/* Bytes of an entry in the hash table, in the list and in the counters. */
#define ENTRY_OVERHEAD 128

#define SQLSTATE_SYNTAX "42601"
#define SQLSTATE_TOO_LARGE "54000"
#define SQLSTATE_TOO_COMPLEX "54001"

struct cache_entry {
	char *text;
	size_t len;
	struct sql_class class;
	GList link;
};

/* Merges the class of the next statement of a text into @out. */
static void merge_class(struct sql_class *out, const struct sql_class *next)
{
	if (out->kind == SQL_REFUSED)
		return;
	switch (next->kind) {
	case SQL_REFUSED:
		sql_refuse(out, next->sqlstate, next->error_message);
		break;
	case SQL_PROXY_SET:
	case SQL_PROXY_SHOW:
		sql_refuse_unsupported(
			out, "settings of comfreywheel cannot be in a "
			     "query with other statements; send them "
			     "separately");
		break;
	case SQL_BEGIN:
	case SQL_COMMIT:
	case SQL_ROLLBACK:
	case SQL_SAVEPOINT:
		out->kind = SQL_SCRIPT;
		break;
	case SQL_READ:
		break;
	default:
		if (out->kind == SQL_READ)
			out->kind = SQL_WRITE;
	}
}

static void classify_tree(const PgQuery__ParseResult *tree,
			  struct sql_class *out)
{
	struct sql_class next;
	size_t i;

	out->nr_statements = tree->n_stmts;
	if (!tree->n_stmts)
		out->kind = SQL_EMPTY;
	else if (tree->n_stmts == 1)
		sql_classify_statement(tree->stmts[0]->stmt, out);
	else
		out->kind = SQL_READ;
	for (i = 0; tree->n_stmts > 1 && i < tree->n_stmts; i++) {
		memset(&next, 0, sizeof(next));
		sql_classify_statement(tree->stmts[i]->stmt, &next);
		merge_class(out, &next);
	}
}

/* A text that cannot be split into tokens may hide a refused keyword. */
static void classify_unparsed(const PgQuery__ScanResult *scan,
			      struct sql_class *out)
{
	out->nr_statements = 1;
	if (!scan || sql_starts_with_refused_keyword(scan))
		sql_refuse(out, SQLSTATE_SYNTAX,
			   "the statement is not valid SQL; correct it");
	else
		out->kind = SQL_WRITE;
}

static PgQuery__ParseResult *parse(const char *sql)
{
	PgQueryProtobufParseResult parsed = pg_query_parse_protobuf(sql);
	PgQuery__ParseResult *tree = NULL;

	if (!parsed.error)
		tree = pg_query__parse_result__unpack(
			NULL, parsed.parse_tree.len,
			(const uint8_t *)parsed.parse_tree.data);
	pg_query_free_protobuf_parse_result(parsed);
	return tree;
}

void sql_classify_text(const char *sql, const PgQuery__ScanResult *scan,
		       struct sql_class *out)
{
	PgQuery__ParseResult *tree;

	if (scan && sql_is_too_deep(scan)) {
		sql_refuse(
			out, SQLSTATE_TOO_COMPLEX,
			"the statement nests too deeply; split it, or replace "
			"long chains of operators with a list or an array");
		return;
	}
	tree = scan ? parse(sql) : NULL;
	if (!tree) {
		classify_unparsed(scan, out);
		return;
	}
	classify_tree(tree, out);
	pg_query__parse_result__free_unpacked(tree, NULL);
}

static guint hash_text(gconstpointer text)
{
	return XXH64(text, strlen(text), 0);
}

static size_t entry_bytes(const struct cache_entry *entry)
{
	return sizeof(*entry) + ENTRY_OVERHEAD + entry->len + 1;
}

static void free_entry(void *data)
{
	struct cache_entry *entry = data;

	g_free(entry->text);
	g_free(entry);
}

void sql_classifier_init(struct sql_classifier *classifier, size_t max_bytes)
{
	memset(classifier, 0, sizeof(*classifier));
	classifier->by_text =
		g_hash_table_new_full(hash_text, g_str_equal, NULL, free_entry);
	classifier->lru_entries = g_queue_new();
	classifier->max_bytes = max_bytes;
}

void sql_classifier_finish(struct sql_classifier *classifier)
{
	/* The links are part of the entries; the queue must not free them. */
	g_queue_init(classifier->lru_entries);
	g_queue_free(classifier->lru_entries);
	g_hash_table_destroy(classifier->by_text);
	memset(classifier, 0, sizeof(*classifier));
}

/* The newest entry is kept even if it alone exceeds the limit. */
static void evict(struct sql_classifier *classifier)
{
	struct cache_entry *entry;

	while (classifier->bytes > classifier->max_bytes &&
	       classifier->lru_entries->length > 1) {
		entry = classifier->lru_entries->tail->data;
		g_queue_unlink(classifier->lru_entries, &entry->link);
		classifier->bytes -= entry_bytes(entry);
		g_hash_table_remove(classifier->by_text, entry->text);
	}
}

/* Takes ownership of @text. */
static const struct sql_class *add_entry(struct sql_classifier *classifier,
					 char *text,
					 const struct sql_class *class)
{
	struct cache_entry *entry = g_new0(struct cache_entry, 1);

	entry->text = text;
	entry->len = strlen(text);
	entry->class = *class;
	entry->link.data = entry;
	g_hash_table_insert(classifier->by_text, entry->text, entry);
	g_queue_push_head_link(classifier->lru_entries, &entry->link);
	classifier->bytes += entry_bytes(entry);
	evict(classifier);
	return &entry->class;
}

static const struct sql_class *find_entry(struct sql_classifier *classifier,
					  const char *text)
{
	struct cache_entry *entry =
		g_hash_table_lookup(classifier->by_text, text);

	if (!entry)
		return NULL;
	g_queue_unlink(classifier->lru_entries, &entry->link);
	g_queue_push_head_link(classifier->lru_entries, &entry->link);
	return &entry->class;
}

/* Takes ownership of @shape. */
static void classify_scanned(struct sql_classifier *classifier, const char *sql,
			     const PgQuery__ScanResult *scan, char *shape,
			     struct sql_class *out)
{
	const struct sql_class *found = NULL;

	if (shape)
		found = find_entry(classifier, shape);
	if (found) {
		classifier->shape_hits++;
		*out = *found;
		g_free(shape);
		return;
	}
	classifier->misses++;
	sql_classify_text(sql, scan, out);
	if (shape)
		add_entry(classifier, shape, out);
}

static const struct sql_class *
classify_uncached(struct sql_classifier *classifier, const char *sql)
{
	PgQuery__ScanResult *scan = sql_scan(sql);
	struct sql_class class = { 0 };

	classify_scanned(classifier, sql, scan,
			 scan ? sql_shape(sql, scan) : NULL, &class);
	if (scan)
		pg_query__scan_result__free_unpacked(scan, NULL);
	return add_entry(classifier, g_strdup(sql), &class);
}

static const struct sql_class too_large = {
	.kind = SQL_REFUSED,
	.nr_statements = 1,
	.sqlstate = SQLSTATE_TOO_LARGE,
	.error_message =
		"the statement is larger than 64 KiB; send the data as "
		"parameters or in several statements",
};

static const struct sql_class control_character = {
	.kind = SQL_REFUSED,
	.nr_statements = 1,
	.sqlstate = SQLSTATE_SYNTAX,
	.error_message =
		"the statement starts with a control character; remove it",
};

const struct sql_class *sql_classify(struct sql_classifier *classifier,
				     const char *sql)
{
	const struct sql_class *found;

	if (*sql == SQL_SHAPE_MARK)
		return &control_character;
	if (strnlen(sql, SQL_TEXT_MAX_BYTES + 1) > SQL_TEXT_MAX_BYTES)
		return &too_large;
	found = find_entry(classifier, sql);
	if (!found)
		return classify_uncached(classifier, sql);
	classifier->hits++;
	return found;
}
