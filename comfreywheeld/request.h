#ifndef REQUEST_H
#define REQUEST_H

#include "pg_frame.h"
#include "proxy.h"

/**
 * DOC: One request of a caller: a simple query, or a batch up to Sync.
 *
 * A caller has at most one request at a time; what it sends ahead stays in
 * its input buffer. The request is routed, queued at its upstream, run, and,
 * if it may have written, withheld until its commit is safe.
 */

enum request_state {
	REQUEST_NONE,
	/** waits for the owners of the session */
	REQUEST_LOOKUP,
	/** no upstream fits; decided again later */
	REQUEST_PARKED,
	/** in the queue of an upstream */
	REQUEST_QUEUED,
	/** on an upstream connection */
	REQUEST_RUNNING,
	/** executed; waits for replicas and session owners */
	REQUEST_COMMIT_WAIT,
};

struct caller;
struct upstream_home;
struct upstream_connection;

/**
 * struct request - one request
 * @bytes: frames as the caller sent them, kept until the outcome is known
 * @extended: a batch of the extended protocol
 * @flushed: sent before its Sync came
 * @open: its Sync is still to come
 * @unnamed_parsed: the batch itself parsed the unnamed statement
 * @has_local: contains statements that the daemon answers
 * @has_remote: contains others
 * @used: struct statement, referenced
 * @new_names: names given by the batch's Parse frames, in order
 * @binds: Bind frames
 * @frames: of the batch so far
 * @parse_completes: how many of these are confirmed
 * @statements: how many were classified
 * @read: shown to have no effects
 * @begins: opens a transaction
 * @begins_read_only: and that is READ ONLY
 * @ends: ends one
 * @pending_writes: has effects that its own commit is still to confirm
 * @writes: commits effects, so that the answer is withheld
 * @identified: runs together with an insert of the request identity
 * @unidentified: the caller stated an identity that cannot be inserted
 * @must_primary: the session's position is unknown, use the primary
 * @waits_replay: parked until a replica has replayed more
 * @stage: how far it got, for the outcome when its upstream is lost
 * @answer_started: bytes of the answer went to the caller
 * @hold: the end of an answer that is withheld
 * @saw_complete: a CommandComplete was among the answer
 * @saw_error: an ErrorResponse was among the answer
 * @hidden_error: a step of the daemon failed
 * @identity_seen: the identity is in the database already
 * @undone: the transaction of a repeated identity was rolled back
 * @commit_failed: the commit of an identified request failed
 * @term: term of the cluster when the request was sent
 * @commit: position behind the commit
 * @stored: the session owners hold @commit
 * @store_failed: they did not confirm it in time
 * @acknowledged: enough replicas hold @commit
 */
struct request {
	struct caller *caller;
	enum request_state state;
	struct pg_buffer bytes;
	bool extended;
	bool flushed;
	bool open;
	bool unnamed_parsed;
	bool has_local;
	bool has_remote;
	GPtrArray *used;
	GPtrArray *new_names;
	unsigned parse_completes;
	unsigned binds;
	unsigned frames;
	unsigned statements;
	bool read;
	bool begins;
	bool begins_read_only;
	bool ends;
	bool pending_writes;
	bool writes;
	bool identified;
	bool unidentified;
	bool must_primary;
	bool waits_replay;
	bool has_lookup;
	bool has_position;
	struct position needed;
	int64_t fresh_within_us;
	int64_t started_us;
	int64_t running_us;
	int64_t deadline_us;
	int deadline_timer;
	int wake_timer;
	int exclude;
	unsigned attempts;
	enum request_stage stage;
	struct upstream_home *home;
	struct admission *admission;
	struct upstream_connection *conn;
	int tenant;
	bool answer_started;
	struct pg_buffer hold;
	bool saw_complete;
	bool saw_error;
	bool hidden_error;
	bool identity_seen;
	bool commit_failed;
	bool undone;
	char final_status;
	uint32_t term;
	struct position commit;
	bool has_commit;
	bool stored;
	bool store_failed;
	bool acknowledged;
	uint64_t lookup;
	uint64_t store;
	GList parked_link;
};

void request_init(struct request *req, struct caller *caller);
/** request_clear() - forget what was gathered; nothing is under way */
void request_clear(struct request *req);
/** request_abandon() - give up a flushed batch without an answer */
void request_abandon(struct request *req);
/** request_follow() - send more of a flushed batch; @type of the last frame */
void request_follow(struct request *req, const struct pg_buffer *frames,
		    char type);
/** request_drop() - the caller is gone */
void request_drop(struct request *req);

/**
 * request_classify() - note what the request's next statement does
 *
 * Called once for each statement of a batch, in order.
 */
void request_classify(struct request *req, enum sql_kind kind, bool read_only);

/** request_start() - run what the caller module gathered and classified */
void request_start(struct request *req);

/** request_decide() - choose the upstream, and queue there */
void request_decide(struct request *req);

/** request_run() - send it on a ready connection */
void request_run(struct request *req, struct upstream_connection *conn);

/** request_handle() - handle for queues; request_by_handle() - NULL if gone */
uint64_t request_handle(const struct request *req);
struct request *request_by_handle(struct proxy *proxy, uint64_t handle);

/** request_relay_header() - a large frame follows piecewise */
void request_relay_header(struct request *req);
void request_relay_more(struct request *req, const uint8_t *data, size_t len);
/** request_frame() - one whole frame of the caller's own statements */
void request_frame(struct request *req, const struct pg_frame *frame);
/** request_hidden_error() - a step of the daemon answered with an error */
void request_hidden_error(struct request *req, const char *sqlstate);
/** request_relayed() - the caller's statements ended with ReadyForQuery */
void request_relayed(struct request *req, char status);
/** request_steps_done() - no step is left on the connection */
void request_steps_done(struct request *req);
/** request_requeue() - its upstream no longer fits; choose again */
void request_requeue(struct request *req);
/** request_position() - answer of the position query, NULL if it failed */
void request_position(struct request *req, const struct position *pos);
/** request_move() - run a read elsewhere, its upstream does not answer */
void request_move(struct request *req);
/** request_lost() - the connection closed under the request */
void request_lost(struct request *req);

/** request_committed() - replicas or owners reported; ends it if both did */
void request_committed(struct request *req);
void request_outcome_unknown(struct request *req, const char *why);

/** request_refuse() - end with an error; the connection, if any, is closed */
void request_refuse(struct request *req, const char *sqlstate,
		    const char *message, const char *hint);

/** request_session() - identity of the caller's session */
uint64_t request_session(const struct request *req);
/** request_finish() - the answer is with the caller; start the next */
void request_finish(struct request *req);
/** request_unpark() - it no longer waits for a decision */
void request_unpark(struct request *req);
/** request_detach() - the request no longer runs on its connection */
void request_detach(struct request *req);
/** request_leave() - leave whatever queue or wait the request is in */
void request_leave(struct request *req);
/** request_send() - write it to its connection */
void request_send(struct request *req);
/** request_wait_commit() - withhold the answer until the write is safe */
void request_wait_commit(struct request *req);
/** request_deliver() - pass on what is withheld, and finish */
void request_deliver(struct request *req);

/** request_cancel() - the caller asked to cancel */
void request_cancel(struct request *req);

/** requests_wake() - decide parked requests of a cluster again */
void requests_wake(struct proxy *proxy, int cluster);
/** requests_wake_reads() - those that wait for a replica only */
void requests_wake_reads(struct proxy *proxy, int cluster);
/**
 * requests_fence() - end commits in flight of a cluster and its transactions
 * @cluster: CLUSTER_NONE for all clusters, each with its own primary
 * @primary: upstream that was the primary until now
 *
 * New requests start while this runs, so the fence is in force before.
 */
void requests_fence(struct proxy *proxy, int cluster, int primary,
		    const char *why);

#endif
