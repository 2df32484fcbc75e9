#ifndef SESSION_CLIENT_H
#define SESSION_CLIENT_H

#include "bus.h"
#include "session_positions.h"
#include "settings.h"
#include "timer_service.h"

/**
 * DOC: Session positions across daemons: this daemon's own table, and the
 * requests to the owners of a session.
 *
 * Belongs to the proxy task.
 */

/**
 * session_done - a store or a lookup ended
 * @reached: whether a majority of the owners answered in time
 * @answer: merged answer of a lookup; NULL for a store
 */
typedef void (*session_done)(bool reached, const struct session_answer *answer,
			     void *data);

struct session_client;

struct session_client *session_client_new(const struct settings *settings,
					  struct bus *bus,
					  struct timer_service *timers,
					  int64_t now_us);
void session_client_free(struct session_client *client);

void session_client_members(struct session_client *client,
			    Wire__Member *const *members, size_t nr,
			    uint64_t version, int64_t now_us);

/**
 * session_client_store() - store a position at a majority of the owners
 * @deadline_us: repeated until then, since a write must not be acknowledged
 *               before its position is stored
 * Return: handle for session_client_cancel()
 *
 * @done may run before the call returns.
 */
uint64_t session_client_store(struct session_client *client, uint64_t session,
			      uint64_t cluster, struct position pos,
			      int64_t deadline_us, session_done done,
			      void *data, int64_t now_us);
/** session_client_lookup() - waits settings.session_wait_us at most */
uint64_t session_client_lookup(struct session_client *client, uint64_t session,
			       uint64_t cluster, session_done done, void *data,
			       int64_t now_us);
void session_client_cancel(struct session_client *client, uint64_t request);

/** session_client_request() - a message from a peer's DEALER */
bool session_client_request(struct session_client *client,
			    const struct bus_return_path *from,
			    const Wire__Envelope *envelope, int64_t now_us);
/** session_client_reply() - a message on our DEALER to a peer */
bool session_client_reply(struct session_client *client, int handle,
			  const Wire__Envelope *envelope, int64_t now_us);

#endif
