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

void request_classify(struct request *req, enum sql_kind kind, bool read_only)
{
	struct caller *caller = req->caller;

	if (!req->classified)
		req->read = true;
	req->classified = true;
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
	req->identified = req->writes && caller->transaction == 'I' &&
			  !req->begins && !req->ends &&
			  caller->settings.request_id;
}
