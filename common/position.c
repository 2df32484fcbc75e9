#include "position.h"

#include <stdlib.h>
#include <string.h>

/* Maximum number of hexadecimal digits of each 32-bit half of an LSN. */
#define LSN_HALF_DIGITS 8

void term_history_init(struct term_history *history)
{
	history->switches =
		g_array_new(FALSE, FALSE, sizeof(struct term_switch));
}

void term_history_finish(struct term_history *history)
{
	g_array_free(history->switches, TRUE);
	history->switches = NULL;
}

void term_history_add(struct term_history *history, uint32_t term,
		      uint64_t end_lsn)
{
	struct term_switch sw = { term, end_lsn };
	struct term_switch *entry;
	guint i;

	for (i = 0; i < history->switches->len; i++) {
		entry = &g_array_index(history->switches, struct term_switch,
				       i);
		if (entry->term == term)
			return;
		if (entry->term > term)
			break;
	}
	g_array_insert_val(history->switches, i, sw);
}

/*
 * Later primaries may have discarded the tail of @term, so its log ends at the
 * lowest switch LSN of @term or any later term.
 */
static uint64_t end_of_term(const struct term_history *history, uint32_t term)
{
	const struct term_switch *entry;
	uint64_t end = UINT64_MAX;
	guint i;

	if (!history)
		return end;
	for (i = 0; i < history->switches->len; i++) {
		entry = &g_array_index(history->switches, struct term_switch,
				       i);
		if (entry->term >= term)
			end = MIN(end, entry->end_lsn);
	}
	return end;
}

bool position_covers(const struct term_history *history, struct position have,
		     struct position needed)
{
	if (needed.term > have.term)
		return false;
	if (needed.term == have.term)
		return have.lsn >= needed.lsn;
	return have.lsn >= MIN(needed.lsn, end_of_term(history, needed.term));
}

int position_compare(struct position a, struct position b)
{
	if (a.term != b.term)
		return a.term < b.term ? -1 : 1;
	if (a.lsn != b.lsn)
		return a.lsn < b.lsn ? -1 : 1;
	return 0;
}

struct position position_max(struct position a, struct position b)
{
	return position_compare(a, b) < 0 ? b : a;
}

static bool parse_lsn_half(const char *text, size_t len, uint64_t *value)
{
	size_t i;
	int digit;

	if (!len || len > LSN_HALF_DIGITS)
		return false;
	*value = 0;
	for (i = 0; i < len; i++) {
		digit = g_ascii_xdigit_value(text[i]);
		if (digit < 0)
			return false;
		*value = *value << 4 | digit;
	}
	return true;
}

bool lsn_parse(const char *text, size_t len, uint64_t *lsn)
{
	const char *slash = memchr(text, '/', len);
	uint64_t high, low;

	if (!slash)
		return false;
	if (!parse_lsn_half(text, slash - text, &high) ||
	    !parse_lsn_half(slash + 1, len - (slash + 1 - text), &low))
		return false;
	*lsn = high << 32 | low;
	return true;
}

bool position_parse(const char *text, struct position *pos)
{
	const char *colon = strchr(text, ':');
	guint64 term;
	char *end;

	if (!colon || !g_ascii_isdigit(text[0]))
		return false;
	term = g_ascii_strtoull(text, &end, 10);
	if (end != colon || term > UINT32_MAX)
		return false;
	if (!lsn_parse(colon + 1, strlen(colon + 1), &pos->lsn))
		return false;
	pos->term = term;
	return true;
}

char *position_format(struct position pos, char *buf)
{
	g_snprintf(buf, POSITION_TEXT_SIZE, "%u:%X/%X", pos.term,
		   (unsigned)(pos.lsn >> 32), (unsigned)(pos.lsn & UINT32_MAX));
	return buf;
}
