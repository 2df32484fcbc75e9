#ifndef SESSION_CLIENT_INTERNAL_H
#define SESSION_CLIENT_INTERNAL_H

#include "session_client.h"

/**
 * struct member - a daemon that may own sessions
 * @handle: bus handle, -1 for this daemon
 */
struct member {
	char *name;
	char *zone;
	int handle;
};

/**
 * struct member_list - a list that was replaced
 * @until_us: when no daemon can hold a lease with it any more
 */
struct member_list {
	GArray *members;
	int64_t until_us;
};

/* Lists that may be in use at once; further ones make stores wait. */
#define FORMER_MAX 4
#define GROUPS_MAX (1 + FORMER_MAX)

/**
 * struct owner - a daemon that was asked
 * @handle: bus handle, -1 for this daemon
 * @groups: bit mask of the lists by which it is an owner, bit 0 the newest
 */
struct owner {
	int handle;
	unsigned groups;
	bool answered;
	bool stored;
};

/**
 * struct pending - a store or a lookup under way
 * @needed: by list: owners that must have stored, until @until_us
 */
struct pending {
	struct session_client *client;
	uint64_t id;
	bool store;
	uint64_t session;
	uint64_t cluster;
	struct position pos;
	int64_t deadline_us;
	session_done done;
	void *data;
	struct session_quorum quorum;
	struct owner owners[GROUPS_MAX * SESSION_OWNERS];
	unsigned nr_owners;
	unsigned needed[GROUPS_MAX];
	int64_t until_us[GROUPS_MAX];
	unsigned nr_groups;
	int timer;
};

/**
 * struct session_client - see session_client.h
 * @former: struct member_list, oldest first
 * @store_from_us: no store is complete before, since lists that this daemon
 *                 does not know may be in use
 */
struct session_client {
	const struct settings *settings;
	struct bus *bus;
	struct timer_service *timers;
	struct session_positions positions;
	GArray *members;
	uint64_t members_version;
	GQueue *former;
	int64_t store_from_us;
	GHashTable *pending;
	uint64_t next_id;
};

void session_list_free(void *list);
/** session_drop_former() - forget lists that nobody can use any more */
void session_drop_former(struct session_client *client, int64_t now_us);

/** session_choose_owners() - owners by the lists in use */
void session_choose_owners(struct pending *p, int64_t now_us);
/** session_ask_owners() - ask those that have not answered */
void session_ask_owners(struct pending *p, int64_t now_us);
/** session_waiting_owner() - owner behind @handle that has not answered */
struct owner *session_waiting_owner(struct pending *p, int handle);
void session_note_answer(struct pending *p, struct owner *owner, bool accepted,
			 const struct session_answer *answer);
/** session_settle() - false when the request is over and @p is gone */
bool session_settle(struct pending *p, int64_t now_us);
void session_finish(struct pending *p, bool reached);

#endif
