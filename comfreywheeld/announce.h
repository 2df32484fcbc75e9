#ifndef ANNOUNCE_H
#define ANNOUNCE_H

#include "proxy.h"

/**
 * DOC: HTTP listener for announcements and counters, and the exchange of
 * announcements between daemons.
 *
 * An announcement received over HTTP is passed on once to every other
 * daemon; one received from a daemon is not passed on.
 */

struct announce *announce_new(struct proxy *proxy, GError **error);
void announce_free(struct announce *announce);

/** announce_members() - the daemons to pass announcements on to */
void announce_members(struct proxy *proxy, Wire__Member *const *members,
		      size_t nr);

/** announce_news() - announcements from another daemon */
void announce_news(struct proxy *proxy, const Wire__UpstreamNews *news);

/** announce_take() - NULL if accepted, else why not; static storage */
const char *announce_take(struct proxy *proxy, const Wire__Announcement *ann);

/** announce_relay() - pass @ann on; takes it over */
void announce_relay(struct announce *announce, Wire__Announcement *ann);

#endif
