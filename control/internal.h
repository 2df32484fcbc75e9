#ifndef CONTROL_INTERNAL_H
#define CONTROL_INTERNAL_H

#include "group_policy.h"
#include "node.h"
#include "position.h"
#include "primary_register.h"
#include "promotion_policy.h"
#include "quota_shares.h"
#include "raft_disk.h"
#include "succession.h"
#include "token_bucket.h"

#include <ev.h>

/** Minimum election timeout, microseconds: a few inter-region round trips. */
#define CONTROL_ELECTION_TIMEOUT_US (300 * 1000ll)
/** Interval of the leader's empty AppendEntries messages, microseconds. */
#define CONTROL_HEARTBEAT_INTERVAL_US (75 * 1000ll)
/** Interval of Raft clock ticks and connection attempts, microseconds. */
#define CONTROL_TICK_INTERVAL_US (25 * 1000ll)
/** Applied log entries between snapshots. Kept low because a configuration
 * document may be 256 KiB. */
#define CONTROL_SNAPSHOT_ENTRIES 32
/** Interval of attempts to reopen a store that failed, microseconds. */
#define CONTROL_STORE_RETRY_INTERVAL_US (500 * 1000ll)
/** Time to wait for a majority to commit a configuration, microseconds. */
#define CONTROL_PUT_TIMEOUT_US (2500 * 1000ll)
/** A watcher not heard from for this long counts as lost, microseconds. */
#define CONTROL_WATCHER_TIMEOUT_US (2500 * 1000ll)
/** Minimum time between two saves of the sightings file, microseconds. */
#define CONTROL_SAVE_INTERVAL_US (300 * 1000ll)

/** Longest name of a daemon, an upstream, a service or a zone, bytes. */
#define CONTROL_NAME_MAX_BYTES 128u
/** Most reports of one entry daemon: one for each upstream. */
#define CONTROL_WATCH_MAX_REPORTS 2000u

enum control_counter {
	CONTROL_COUNT_ELECTIONS,
	CONTROL_COUNT_MEMBER_CHANGES,
	CONTROL_COUNT_CONFIGS,
	CONTROL_COUNT_PUTS,
	CONTROL_COUNT_PUTS_UNCLEAR,
	CONTROL_COUNT_SIGHTINGS,
	CONTROL_COUNT_PROMOTIONS,
	CONTROL_COUNT_PROMOTIONS_REFUSED,
	CONTROL_COUNT_PROMOTIONS_UNCLEAR,
	CONTROL_COUNT_VIEWS,
	CONTROL_COUNT_QUOTA_TOKENS,
	CONTROL_COUNT_QUOTA_REFUSED,
	CONTROL_COUNT_STORE_FAILURES,
	CONTROL_COUNT_LIMITED,
	CONTROL_COUNT_WATCHERS_REFUSED,
	CONTROL_COUNT_ROSTER_REFUSED,
	CONTROL_COUNT_SIGHTINGS_REFUSED,
	CONTROL_COUNT_REPORTS_REFUSED,
	CONTROL_COUNT_CHANNELS_CLOSED,
	CONTROL_COUNT_CHANNELS_PAUSED,
	CONTROL_COUNT_CHANNEL_BYTES,
	CONTROL_COUNT_TERM,
	CONTROL_COUNT_VERSION,
	CONTROL_COUNT_WATCHERS,
	CONTROL_NR_COUNTERS,
};

/**
 * struct control_peer - outgoing connection to another control VM
 * @join_id: identity in its last join request, 0 if it sent none
 * @join_us: time of its last join request
 * @leaving: whether that request said that the VM is stopping
 * @last_used_us: when it was added, connected or last heard
 */
struct control_peer {
	struct control_node *node;
	uint32_t ip;
	struct channel channel;
	int64_t retry_us;
	uint64_t join_id;
	int64_t join_us;
	bool leaving;
	int64_t last_used_us;
};

/**
 * struct control_watcher - accepted connection from an entry daemon or a
 *                          control VM
 * @name: name of the entry daemon, NULL until it has sent a Watch message
 * @ip: address on which the daemon accepts relayed statements
 * @draining: whether the daemon accepts no new work
 * @roster_wanted: whether the daemon requests the roster from this VM even if
 *                 it is not the leader
 * @accepted_us: when the connection was accepted
 * @has_sent: whether a whole message has come
 * @heard_us: time of the last message
 * @config_version: newest configuration that the daemon is known to have
 * @sent_revision: revision of the sightings in the last view sent
 * @sent_roster_revision: revision of the roster in the last view sent
 * @reports: upstream id to struct control_report
 */
struct control_watcher {
	struct control_node *node;
	struct channel channel;
	char *name;
	char *availability_zone;
	uint32_t ip;
	bool draining;
	bool roster_wanted;
	int64_t accepted_us;
	bool has_sent;
	int64_t heard_us;
	uint64_t config_version;
	uint64_t sent_revision;
	uint64_t sent_roster_revision;
	GHashTable *reports;
};

/**
 * struct control_roster_entry - roster entry of an entry daemon
 * @gone: whether the daemon has left or is no longer heard from
 * @is_restored: loaded from the sightings file after a restart of this VM; the
 *               daemon has not reported since
 * @drained: whether the daemon announced that it was leaving
 * @answering_upstreams: ids of the upstreams that answered the daemon according
 *                       to its last report; NULL until its first connection
 *                       was lost
 * @changed_us: when the daemon last joined or left
 * @revision: value of control_node.roster_revision at the last change
 */
struct control_roster_entry {
	char *name;
	char *availability_zone;
	uint32_t ip;
	bool gone;
	bool is_restored;
	bool drained;
	GHashTable *answering_upstreams;
	int64_t changed_us;
	uint64_t revision;
};

/**
 * struct control_report - what an entry daemon reports about one upstream
 * @failing_us: how long the upstream has not answered the daemon, 0 if it
 *              answers
 * @lag_us: replication lag
 * @saturated: whether the daemon held back work for the upstream
 * @led_us: when it was last asked something that only the present primary does,
 *          and did it; INT64_MIN / 2 if it did not of late
 * @position: newest log position that the daemon saw there
 * @at_us: when the report arrived
 */
struct control_report {
	int64_t failing_us;
	int64_t lag_us;
	bool saturated;
	int64_t led_us;
	struct position position;
	int64_t at_us;
};

/**
 * struct control_pending_put - a proposed configuration, not committed yet
 * @deadline_us: deadline for a majority
 */
struct control_pending_put {
	uint64_t version;
	int64_t deadline_us;
	config_put_callback done;
	void *data;
};

/**
 * struct control_survey - survey of the upstreams of a service, which receive
 *                         nothing from then on until they are told to resume
 * @number: number of the order in progress, 0 if there is none
 * @executor: entry daemon that carries it out
 * @resume: whether the order is to resume
 * @term: term above any that is known
 * @answers_wanted: number of answers that suffice
 * @upstreams: their ids
 * @deadline_us: deadline of the order
 * @ended_us: when the last order ended
 * @received: upstream id to struct position, end of the log that it received
 * @finished_us: when @received was reported
 * @paused_number: number of the last order to pause whose result came
 * @resumed_only: upstream that the order in progress has receive again while the
 *                others stay paused, NULL if the order is for all
 * @receives: upstream that does so since, NULL for none
 * @may_be_paused: whether an upstream may be paused, perhaps by an order of a
 *                 former leader
 */
struct control_survey {
	uint64_t number;
	char *executor;
	bool resume;
	uint32_t term;
	unsigned answers_wanted;
	GPtrArray *upstreams;
	int64_t deadline_us;
	int64_t ended_us;
	GHashTable *received;
	int64_t finished_us;
	uint64_t paused_number;
	char *resumed_only;
	char *receives;
	bool may_be_paused;
};

/**
 * struct control_lost_copy - a copy that has ended
 * @since_us: when this leader noticed it
 * @mark: end of the primary's log some time later, term 0 before that
 * @primary_index: index of the entry that named that primary
 */
struct control_lost_copy {
	int64_t since_us;
	struct position mark;
	uint64_t primary_index;
};

/**
 * struct control_promotion_state - what this leader requested for a service
 * @id: upstream of the last promotion request
 * @handover: number of the handover in progress, 0 if there is none
 * @executor: entry daemon that carries out the handover
 * @from: primary that the handover stops
 * @deadline_us: deadline of the handover
 * @lagging_since_us: since when all replicas have been lagging, 0 if they are
 *                    not
 * @lag_handover_us: when the primary was last changed because replicas lagged
 * @at_us: when the last promotion was requested or confirmed; set back to
 *         shorten the wait before a retry
 * @nr_unanswered: consecutive promotion requests for @id without an answer
 * @confirms: whether the last request was for the upstream that leads, so that
 *            no earlier one can be carried out
 * @pending: whether a promotion request awaits its entry in the agreed log or
 *           the platform's answer
 * @token: token of the last promotion request
 * @sent: whether that request was passed to the platform
 * @survey: what the upstreams have received
 * @lost_copies: id to struct control_lost_copy
 * @copies_proposed_us: when the copies were last proposed
 */
struct control_promotion_state {
	char *service;
	char *id;
	uint64_t handover;
	char *executor;
	char *from;
	int64_t deadline_us;
	int64_t lagging_since_us;
	int64_t lag_handover_us;
	int64_t at_us;
	unsigned nr_unanswered;
	bool confirms;
	bool pending;
	uint64_t token;
	bool sent;
	struct control_survey survey;
	GHashTable *lost_copies;
	int64_t copies_proposed_us;
};

/**
 * struct control_node - state of a control VM
 * @id: identity of this VM, see group_policy.h
 * @raft: NULL while the store is not open
 * @lead_term: term in which this VM is the leader, 0 if it is not
 * @lead_term_applied: whether an entry of @lead_term has been applied, so that
 *                     every entry committed in earlier terms has been applied
 *                     too
 * @last_leader: identity of the last known leader
 * @primaries: who leads each service, as agreed by the group
 * @deflated_document: configuration document of version @deflated_version
 * @roster: daemon name to struct control_roster_entry
 * @roster_revision: incremented by every change of @roster
 * @puts: struct control_pending_put that await a majority
 * @promotion_states: service to struct control_promotion_state
 * @successions: service to struct succession
 * @successions_revision: revision of @sightings at their last update
 * @followed_us: time of their last update
 * @saved_revision: revision of @sightings in the sightings file
 * @saved_roster_revision: revision of @roster in the sightings file
 * @earliest_save_us: earliest time of the next save
 * @refresh_save_us: time of the next save if nothing changes
 * @quotas: shares of the limits of client accounts
 * @quota_buckets: account to the struct token_bucket of this VM as the leader
 * @quota_since_us: since when they have been filled, 0 before the first election
 *                  of this VM
 * @quota_has_initial: whether they begin with struct quota_limit.initial
 * @quota_initial_us: when this VM began with that last
 * @other_leader_us: when another VM was first heard to lead in its term, 0 if
 *                   none was heard since the start of this process
 * @last_handover: lower 32 bits of the last handover number
 * @last_order: lower 32 bits of the last fencing token
 * @views_due: whether a view is to be sent to all watchers
 * @had_lease: whether this VM was leader with a valid lease in the last
 *             iteration of the event loop
 * @watcher_channels: limits of all accepted connections together
 * @nr_reports: reports of all watchers
 * @group_events: events of @watcher_channels that were counted
 * @limit_logged_us: time of the last log line about a limit
 * @group_due: whether the membership is to be reviewed before the next tick
 * @stopping: whether the process is about to end
 * @stop_started_us: since when
 * @may_stop: whether the leader has answered that it need not wait
 */
struct control_node {
	struct ev_loop *loop;
	struct timer_service *timers;
	struct control_config config;
	const struct control_ops *ops;
	void *data;
	char *folder;
	uint64_t id;
	struct raft_disk disk;
	struct raft *raft;
	int64_t store_retry_us;
	uint64_t lead_term;
	bool lead_term_applied;
	uint64_t last_leader;
	struct config_register reg;
	struct primary_register primaries;
	GBytes *deflated_document;
	uint64_t deflated_version;
	struct channel_group watcher_channels;
	unsigned nr_reports;
	uint64_t group_events;
	int64_t limit_logged_us;
	struct sightings sightings;
	GPtrArray *peers;
	GPtrArray *watchers;
	GHashTable *roster;
	uint64_t roster_revision;
	GPtrArray *puts;
	GHashTable *promotion_states;
	GHashTable *successions;
	uint64_t successions_revision;
	int64_t followed_us;
	uint64_t saved_revision;
	uint64_t saved_roster_revision;
	int64_t earliest_save_us;
	int64_t refresh_save_us;
	int64_t started_us;
	struct quota_shares quotas;
	GHashTable *quota_buckets;
	int64_t quota_since_us;
	bool quota_has_initial;
	int64_t quota_initial_us;
	int64_t other_leader_us;
	uint64_t last_handover;
	uint64_t last_order;
	bool views_due;
	bool had_lease;
	bool group_due;
	bool stopping;
	int64_t stop_started_us;
	bool may_stop;
	ev_io listener;
	ev_prepare prepare;
	int tick_timer;
	int maintenance_timer;
	struct counter_set counters;
	int counter[CONTROL_NR_COUNTERS];
};

static inline void control_count(struct control_node *node,
				 enum control_counter which, int64_t n)
{
	counter_add(&node->counters, node->counter[which], n);
}

/* storage.c */
bool control_storage_open(struct control_node *node, GError **error);
void control_storage_close(struct control_node *node);
/** control_storage_on_failure() - log and count a disk failure */
void control_storage_on_failure(const GError *error, void *data);
void control_storage_flush(struct control_node *node);
/** control_leadership_update() - react to a change of the leader or the term */
void control_leadership_update(struct control_node *node);

/* peers.c */
/**
 * control_peer() - find or add the peer with address @ip
 * Return: NULL for this VM's own address, or if there are too many peers
 */
struct control_peer *control_peer(struct control_node *node, uint32_t ip);
void control_peers_tick(struct control_node *node, int64_t now_us);
void control_peers_connect(struct control_node *node);
void control_peers_free(struct control_node *node);
void control_send_raft(struct control_node *node,
		       const struct raft_message *msg);
/** control_merge_sighting() - merge a sighting; ages are relative to @now_us */
void control_merge_sighting(struct control_node *node, const Wire__Sighting *in,
			    int64_t now_us);
/** control_broadcast_sighting() - send a sighting to all connected peers */
void control_broadcast_sighting(struct control_node *node,
				const struct sighting *upstream);
/** control_handle_message() - handle a message from a control VM */
void control_handle_message(struct control_node *node, struct channel *from,
			    const Wire__Envelope *envelope);

/* limits.c */
void control_limits_init(struct control_node *node);
void control_limits_tick(struct control_node *node, int64_t now_us);
bool control_name_is_valid(const char *name);
/** control_note_limit() - count that a limit took effect, and log it at most
 *                       once a second */
void control_note_limit(struct control_node *node, enum control_counter counter,
			const char *what);
/** control_service_is_configured() - whether the configuration has @service, or
 *                                 there is none yet */
bool control_service_is_configured(const struct control_node *node,
				   const char *service);
/**
 * control_is_foreign() - whether an announcement is of another writer, as a known
 *                        upstream cannot belong to the service that it names
 *
 * An upstream belongs to one service from its start to its end.
 */
bool control_is_foreign(const struct control_node *node,
			const struct sighting *upstream);
/** control_admit_sighting() - whether an announcement may be merged; removes the
 *                           least useful upstream to make room */
bool control_admit_sighting(struct control_node *node,
			    const struct sighting *upstream);

/* group.c */
/** control_group_tick() - as the leader, make the next membership change */
void control_group_tick(struct control_node *node, int64_t now_us);
/** control_group_may_stop() - as the leader, whether member @id may stop now */
bool control_group_may_stop(const struct control_node *node, uint64_t id);
/** control_group_is_left() - whether the group does without this VM's vote, or
 *                        has no VM to take its place */
bool control_group_is_left(const struct control_node *node);
/** control_group_own_entry() - this VM as a member, NULL if it is none */
const struct raft_member *
control_group_own_entry(const struct control_node *node);
/**
 * control_knows_leader() - whether this VM is leader with a valid lease, or
 *                      knows the leader
 */
bool control_knows_leader(const struct control_node *node);

/* watchers.c */
/** control_watcher_is_connected() - whether @watcher sent a message recently */
bool control_watcher_is_connected(const struct control_watcher *watcher,
				  int64_t now_us);
void control_watchers_accept(struct control_node *node, int fd);
void control_watchers_tick(struct control_node *node, int64_t now_us);
/** control_watchers_send_views() - send a view to every entry daemon */
void control_watchers_send_views(struct control_node *node);
/**
 * control_view_fill() - add all appointments, and the sightings that changed
 *                       after revision @since
 */
void control_view_fill(struct control_node *node, uint64_t since,
		       Wire__View *view);
void control_view_clear(Wire__View *view);
void control_watchers_free(struct control_node *node);

/* sightings_file.c */
/** control_sightings_save() - save sightings and roster if a save is due */
void control_sightings_save(struct control_node *node, int64_t now_us);
/** control_sightings_load() - load sightings and roster after a restart */
void control_sightings_load(struct control_node *node);

/* roster.c */
GHashTable *control_roster_new(void);
/** control_roster_record_report() - update the entry of a daemon */
void control_roster_record_report(struct control_node *node,
				  const struct control_watcher *watcher,
				  int64_t now_us);
/**
 * control_roster_set_answering() - record which upstreams a daemon could reach
 * @reports: last reports of @daemon, upstream id to struct control_report
 */
void control_roster_set_answering(struct control_node *node, const char *daemon,
				  GHashTable *reports);
/**
 * control_roster_count_unreachable() - count the lost daemons that an upstream
 *                                      may still be serving
 * @id: the upstream
 *
 * Counts daemons that accepted work recently, no longer report, and did not
 * announce that they were leaving. A daemon whose last report did not list the
 * upstream as answering is not counted: the home daemons of a service connect
 * to its upstreams for the others (see home_policy.h), so most daemons use the
 * upstreams of a few services only.
 */
unsigned control_roster_count_unreachable(const struct control_node *node,
					  const char *id, int64_t now_us);
/** control_roster_count_restored() - count the daemons known from the sightings
 * file that have not reported since */
unsigned control_roster_count_restored(const struct control_node *node);
/** control_roster_expire() - mark lost daemons gone, forget old entries */
void control_roster_expire(struct control_node *node, int64_t now_us);
/** control_roster_restore() - restore an entry from the sightings file */
void control_roster_restore(struct control_node *node,
			    const Wire__RosterEntry *in, int64_t now_us);
/** control_roster_fill() - add the entries that changed after @since */
void control_roster_fill(const struct control_node *node, uint64_t since,
			 Wire__View *view);

/* configs.c */
/** control_puts_complete() - answer puts that are committed or have failed */
void control_puts_complete(struct control_node *node, int64_t now_us);

/* promotions.c */
/** control_promotions_tick() - follow changes of primary and, as the leader,
 *                              replace primaries if needed */
void control_promotions_tick(struct control_node *node, int64_t now_us);
void control_promotion_state_free(void *data);
/** control_succession() - who led @service, without a primary if unknown */
struct succession *control_succession(struct control_node *node,
				      const char *service);
void control_succession_free(void *data);
/** control_upstream_answers() - whether @id answers any connected daemon */
bool control_upstream_answers(const struct control_node *node, const char *id);
/** control_upstream_fails() - whether @id fails daemons and answers none */
bool control_upstream_fails(const struct control_node *node, const char *id);
/**
 * control_handover_executor() - choose the daemon to carry out a handover
 * Return: the daemon that reported last among those that both upstreams
 *         answer, NULL if there is none
 *
 * A daemon carries out one handover at a time, so one without a handover goes
 * first.
 *
 * A daemon whose VM has failed still counts as connected for up to
 * CONTROL_WATCHER_TIMEOUT_US, and a handover given to it ends only by its
 * timeout. The latest report makes that least likely.
 */
const struct control_watcher *
control_handover_executor(const struct control_node *node, const char *from,
			  const char *to, int64_t now_us);
/** control_handovers_fill() - add the handovers that @daemon has to execute */
void control_handovers_fill(const struct control_node *node, const char *daemon,
			    Wire__View *view);
/** control_handover_finished() - a daemon has finished a handover */
void control_handover_finished(struct control_node *node,
			       const Wire__HandoverResult *result);

/** control_promotions_review() - decide about one service now */
void control_promotions_review(struct control_node *node, const char *service);

/** control_promotion_state() - find or add what this leader requested for
 *                             @service */
struct control_promotion_state *
control_promotion_state(struct control_node *node, const char *service);
/** control_holds_lease() - whether this VM leads and no other one can */
bool control_holds_lease(const struct control_node *node, int64_t now_us);

/* orders.c */
/**
 * control_order_promotion() - have the group agree on an order to promote @id,
 *                             and then give it to the platform
 * @view: what it was decided by
 */
void control_order_promotion(struct control_node *node, const char *service,
			     const char *id, enum promotion_reason reason,
			     const struct promotion_view *view);
/** control_open_rival() - the orders that may still make another upstream than
 *                        the primary lead, NULL if there are none */
const struct primary_order *control_open_rival(const struct control_node *node,
					       const char *service);
/**
 * control_repeated_order() - find the upstream whose promotion was ordered
 *                            without an answer, also by an earlier leader
 * Return: index in @view if it is to be ordered again, -1 for none
 */
int control_repeated_order(const struct control_node *node,
			   const struct control_promotion_state *state,
			   const struct promotion_view *view);
/**
 * control_promotion_agreed() - the order with @token, proposed by this leader,
 *                              is in the agreed log
 */
void control_promotion_agreed(struct control_node *node, const char *service,
			      const char *id, uint64_t token);

/* primaries.c */
/**
 * control_primary_propose() - propose an entry of the agreed log
 * Return: false if this VM does not lead or too many entries are uncommitted
 */
bool control_primary_propose(struct control_node *node,
			     const Wire__PrimaryChange *change);
/** control_primary_apply() - apply an entry of the agreed log */
void control_primary_apply(struct control_node *node,
			   const Wire__PrimaryChange *change, uint64_t index);
/** control_primaries_restore() - continue with the records of a snapshot */
void control_primaries_restore(struct control_node *node,
			       const Wire__ConfigChange *snapshot);
/**
 * control_primary() - the primary of @service as far as this VM knows
 *
 * That is the agreed one unless it is known not to lead any more; then, and
 * before one was agreed on, an upstream that says that it leads, also if nothing
 * confirms it yet.
 * Return: NULL if there is none
 */
const struct sighting *control_primary(const struct control_node *node,
				       const char *service, int64_t now_us);
/**
 * control_unheard_primary() - the agreed primary if this VM has not heard it
 *
 * It has joined after the last announcement that arrived, or the primary has
 * been silent for so long that it is forgotten. Daemons may still reach it. It
 * counts if control_primary() knows of none.
 * Return: its id, NULL if it was heard
 */
const char *control_unheard_primary(const struct control_node *node,
				    const char *service);
/**
 * control_primary_check() - as the leader, propose to agree on the upstream that
 *                           leads @service if no answer of the platform has
 *                           said so
 */
void control_primary_check(struct control_node *node, const char *service,
			   int64_t now_us);
/** control_primary_follow() - note how far the log of the primary reaches */
void control_primary_follow(struct control_node *node, const char *service,
			    int64_t now_us);
/** control_newest_position() - newest position that entry daemons report */
struct position control_newest_position(const struct control_node *node,
					const char *id);

/* copies.c */
/**
 * control_copies_check() - as the leader, have the group agree on the upstreams
 *                          that may hold acknowledged commits
 * @sync_replicas: number of replicas that hold each of these commits
 */
void control_copies_check(struct control_node *node,
			  struct control_promotion_state *state,
			  unsigned sync_replicas, int64_t now_us);
/** control_copies_count() - number of those, with all that are known now */
unsigned control_copies_count(const struct control_node *node,
			      const char *service);

/* quota.c */
void control_quota_init(struct control_node *node);
void control_quota_finish(struct control_node *node);
/** control_quota_update() - take note of whether this VM leads with a lease */
void control_quota_update(struct control_node *node, bool has_lease);
void control_quota_expire(struct control_node *node, int64_t now_us);
/** control_quota_report() - a daemon reported what it holds and wants */
void control_quota_report(struct control_node *node, const Wire__Watch *watch);
/** control_quota_fill() - as the leader, add what the daemon holds from now on
 *                      to the answer to @watch, NULL if it is none */
void control_quota_fill(struct control_node *node, const Wire__Watch *watch,
			Wire__View *view);
/** control_quota_request() - a daemon asks for operations beyond its shares */
void control_quota_request(struct control_node *node, struct channel *from,
			   const Wire__QuotaRequest *in);

/* surveys.c */
void control_survey_init(struct control_survey *survey);
void control_survey_finish(struct control_survey *survey);
/**
 * control_survey_order() - have an entry daemon pause and ask all upstreams but
 *                          the primary, or have them resume
 * @only: upstream to resume while the others stay paused, NULL for all
 *
 * Does nothing if no daemon reaches any of them.
 */
void control_survey_order(struct control_node *node,
			  struct control_promotion_state *state,
			  const struct promotion_view *view, bool resume,
			  const char *only, int64_t now_us);
/** control_survey_is_pending() - whether a survey of the service is under way */
bool control_survey_is_pending(struct control_promotion_state *state,
			       int64_t now_us);
/**
 * control_survey_received() - end of the log that @id has received
 * Return: NULL unless a recent survey tells it
 */
const struct position *
control_survey_received(const struct control_promotion_state *state,
			const char *id, int64_t now_us);
/** control_surveys_fill() - add the surveys that @daemon has to carry out */
void control_surveys_fill(const struct control_node *node, const char *daemon,
			  Wire__View *view);
/** control_survey_finished() - a daemon has finished a survey */
void control_survey_finished(struct control_node *node,
			     const Wire__SurveyResult *result);

#endif
