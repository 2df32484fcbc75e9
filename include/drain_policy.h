#ifndef DRAIN_POLICY_H
#define DRAIN_POLICY_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: What an entry daemon that was asked to stop does with each session.
 *
 * Pure functions. Sessions at rest are closed first. From half of the grace
 * period on no statement begins any more, so that one that was taken has the
 * other half to end: a caller that sends statements without a pause would
 * otherwise always have one under way when the process ends. Shortly before
 * that, whatever is still under way is answered.
 */

/** Time in which the balancer stops sending new callers: two of its checks. */
#define DRAIN_BALANCER_US (2200 * 1000ll)
/** Idle time after which a session is at rest, microseconds. */
#define DRAIN_IDLE_US (150 * 1000ll)
/** Percentage of the grace period in which statements may begin. */
#define DRAIN_STATEMENT_PERCENT 50
/** Percentage in which an open transaction may go on. */
#define DRAIN_TRANSACTION_PERCENT 55
/** Percentage after which statements under way are given up. */
#define DRAIN_GIVE_UP_PERCENT 88
/** Percentage after which the process exits in any case. */
#define DRAIN_EXIT_PERCENT 92

enum drain_action {
	DRAIN_KEEP,
	/** close the session, which has nothing under way */
	DRAIN_CLOSE,
	/** roll the open transaction back; the session goes on */
	DRAIN_END_TRANSACTION,
	/** answer the statement under way now */
	DRAIN_GIVE_UP,
};

/**
 * struct drain_session - a session of a daemon that stops
 * @since_us: time since the daemon was asked to stop
 * @grace_us: time between that and the kill
 * @busy: whether a statement is under way
 * @in_transaction: whether a transaction is open
 * @remote_caller: whether the caller is connected to another daemon, which
 *                 then decides about the session
 * @idle_us: time since the last statement or answer
 */
struct drain_session {
	int64_t since_us;
	int64_t grace_us;
	bool busy;
	bool in_transaction;
	bool remote_caller;
	int64_t idle_us;
};

/** drain_session_action() - what to do with a session now */
enum drain_action drain_session_action(const struct drain_session *s);

/** drain_accepts_statement() - whether a statement outside a transaction, or one
 * that begins one, may begin */
bool drain_accepts_statement(int64_t since_us, int64_t grace_us);

/** drain_accepts_in_transaction() - whether a statement other than the end of
 * its transaction may begin */
bool drain_accepts_in_transaction(int64_t since_us, int64_t grace_us);

/** drain_is_over() - whether the process must exit although sessions are open */
bool drain_is_over(int64_t since_us, int64_t grace_us);

#endif
