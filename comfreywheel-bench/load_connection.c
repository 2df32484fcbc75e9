#include "load.h"

static void on_io(struct ev_loop *loop, ev_io *io, int events);

static void watch(struct load_connection *conn, int events)
{
	ev_io_stop(conn->load->loop, &conn->io);
	ev_io_set(&conn->io, PQsocket(conn->pg), events);
	ev_io_start(conn->load->loop, &conn->io);
}

void load_connection_close(struct load_connection *conn)
{
	ev_io_stop(conn->load->loop, &conn->io);
	if (conn->pg)
		PQfinish(conn->pg);
	conn->pg = NULL;
	conn->state = LOAD_CLOSED;
}

/* A lost connection ends its statement with an error of its own kind. */
static void lost(struct load_connection *conn)
{
	bool busy = conn->state == LOAD_BUSY;

	if (busy && conn->failed)
		load_statement_ended(conn, conn->sqlstate);
	else
		load_statement_ended(conn, "connection");
	load_connection_close(conn);
}

void load_connection_open(struct load_connection *conn)
{
	conn->state = LOAD_CONNECTING;
	conn->pg = PQconnectStart(conn->load->conninfo);
	ev_io_init(&conn->io, on_io, -1, 0);
	conn->io.data = conn;
	if (!conn->pg || PQstatus(conn->pg) == CONNECTION_BAD) {
		lost(conn);
		return;
	}
	watch(conn, EV_WRITE);
}

static void connecting(struct load_connection *conn)
{
	switch (PQconnectPoll(conn->pg)) {
	case PGRES_POLLING_READING:
		watch(conn, EV_READ);
		return;
	case PGRES_POLLING_WRITING:
		watch(conn, EV_WRITE);
		return;
	case PGRES_POLLING_OK:
		PQsetnonblocking(conn->pg, 1);
		conn->state = LOAD_IDLE;
		watch(conn, EV_READ);
		load_more(conn);
		return;
	default:
		lost(conn);
	}
}

void load_connection_send(struct load_connection *conn, const char *sql,
			  double due)
{
	conn->state = LOAD_BUSY;
	conn->due = due;
	conn->failed = false;
	if (!PQsendQuery(conn->pg, sql)) {
		lost(conn);
		return;
	}
	watch(conn, PQflush(conn->pg) == 1 ? EV_READ | EV_WRITE : EV_READ);
}

static void note_result(struct load_connection *conn, PGresult *res)
{
	const char *state = PQresultErrorField(res, PG_DIAG_SQLSTATE);
	ExecStatusType status = PQresultStatus(res);

	if (status != PGRES_TUPLES_OK && status != PGRES_COMMAND_OK &&
	    status != PGRES_EMPTY_QUERY) {
		conn->failed = true;
		g_strlcpy(conn->sqlstate, state ? state : "none",
			  sizeof(conn->sqlstate));
	}
	PQclear(res);
}

static void answering(struct load_connection *conn)
{
	PGresult *res;

	if (!PQconsumeInput(conn->pg) || PQstatus(conn->pg) == CONNECTION_BAD) {
		lost(conn);
		return;
	}
	while (conn->state == LOAD_BUSY && !PQisBusy(conn->pg)) {
		res = PQgetResult(conn->pg);
		if (res) {
			note_result(conn, res);
			continue;
		}
		conn->state = LOAD_IDLE;
		load_statement_ended(conn,
				     conn->failed ? conn->sqlstate : NULL);
		load_more(conn);
		return;
	}
}

static void on_io(struct ev_loop *loop, ev_io *io, int events)
{
	struct load_connection *conn = io->data;

	if (conn->state == LOAD_CONNECTING) {
		connecting(conn);
		return;
	}
	if (events & EV_WRITE && PQflush(conn->pg) == 0)
		watch(conn, EV_READ);
	if (events & EV_READ)
		answering(conn);
}
