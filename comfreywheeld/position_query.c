#include "position_query.h"

#include "pg_frame.h"

#include <string.h>

#define COLUMNS 4
#define TERM_DIGITS 8

const char position_query_text[] =
	"SELECT pg_is_in_recovery(), "
	"CASE WHEN pg_is_in_recovery() "
	"THEN (SELECT to_hex(received_tli) FROM pg_stat_wal_receiver) "
	"ELSE substr(pg_walfile_name(pg_current_wal_lsn()), 1, 8) END, "
	"CASE WHEN pg_is_in_recovery() THEN pg_last_wal_receive_lsn() "
	"ELSE pg_current_wal_lsn() END, "
	"CASE WHEN pg_is_in_recovery() THEN pg_last_wal_replay_lsn() "
	"ELSE pg_current_wal_lsn() END";

struct column {
	const char *text;
	size_t len;
};

static bool read_columns(const uint8_t *payload, size_t len,
			 struct column *columns)
{
	struct pg_reader r;
	uint32_t size;
	int i;

	pg_reader_init(&r, payload, len);
	if (pg_read_u16(&r) != COLUMNS)
		return false;
	for (i = 0; i < COLUMNS; i++) {
		size = pg_read_u32(&r);
		if (r.failed || size > len)
			return false;
		columns[i].len = size;
		columns[i].text = (const char *)pg_read_bytes(&r, size);
	}
	return !r.failed && r.at == r.end;
}

static bool term_parse(const struct column *column, uint32_t *term)
{
	size_t i;
	int digit;

	if (!column->len || column->len > TERM_DIGITS)
		return false;
	*term = 0;
	for (i = 0; i < column->len; i++) {
		digit = g_ascii_xdigit_value(column->text[i]);
		if (digit < 0)
			return false;
		*term = *term << 4 | digit;
	}
	return *term > 0;
}

bool position_row_parse(const uint8_t *payload, size_t len,
			struct position_row *row)
{
	struct column columns[COLUMNS];
	uint32_t term;

	if (!read_columns(payload, len, columns))
		return false;
	if (columns[0].len != 1 || !strchr("tf", columns[0].text[0]))
		return false;
	if (!term_parse(&columns[1], &term) ||
	    !lsn_parse(columns[2].text, columns[2].len, &row->received.lsn) ||
	    !lsn_parse(columns[3].text, columns[3].len, &row->replayed.lsn))
		return false;
	row->in_recovery = columns[0].text[0] == 't';
	row->received.term = term;
	row->replayed.term = term;
	return true;
}
