#include "request.h"

#include "caller.h"

/* A transaction is open at this point of the batch. */
static bool in_transaction(const struct request *req)
{
	bool open = req->caller->transaction != 'I';

	if (req->ends)
		open = false;
	return open || req->begins;
}

static void classify_write(struct request *req)
{
	req->read = false;
	if (in_transaction(req))
		req->pending_writes = true;
	else
		req->writes = true;
}

static void classify_begin(struct request *req, bool read_only)
{
	req->begins = true;
	req->begins_read_only = read_only;
	if (!read_only)
		req->read = false;
}

static void classify_commit(struct request *req)
{
	const struct caller *caller = req->caller;

	if (req->pending_writes || (caller->wrote && !req->ends))
		req->writes = true;
	if (req->writes)
		req->read = false;
	req->ends = true;
	req->begins = false;
	req->pending_writes = false;
}

/*
 * The identity is inserted in the transaction of a single query or batch, or
 * in one that a BEGIN of its own opens. In other places there is no point at
 * which it could be inserted before anything is committed.
 */
static void identify(struct request *req)
{
	const struct caller *caller = req->caller;
	bool effects = req->writes || req->pending_writes ||
		       (req->begins && !req->begins_read_only);

	req->identified = req->unidentified = false;
	if (!caller->settings.request_id || caller->transaction != 'I' ||
	    !effects)
		return;
	if (req->begins)
		req->identified = req->statements == 1;
	else
		req->identified = !req->ends;
	req->unidentified = !req->identified;
}

void request_classify(struct request *req, enum sql_kind kind, bool read_only)
{
	if (!req->statements)
		req->read = true;
	req->statements++;
	switch (kind) {
	case SQL_BEGIN:
		classify_begin(req, read_only);
		break;
	case SQL_COMMIT:
		classify_commit(req);
		break;
	case SQL_ROLLBACK:
		req->ends = true;
		req->begins = false;
		req->pending_writes = false;
		break;
	case SQL_SCRIPT:
		req->read = false;
		req->writes = true;
		req->pending_writes = true;
		req->ends = true;
		break;
	case SQL_WRITE:
		classify_write(req);
		break;
	default:
		break;
	}
	identify(req);
}
