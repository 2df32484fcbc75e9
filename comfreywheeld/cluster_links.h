#ifndef CLUSTER_LINKS_H
#define CLUSTER_LINKS_H

#include "proxy.h"

/**
 * DOC: What the control leader says of clusters, and what is reported to it.
 */

extern const struct control_events cluster_links_events;

/** cluster_links_new() - storage for struct proxy.acknowledged */
GArray *cluster_links_new(void);

/** cluster_links_refresh() - open homes for upstreams the tables use */
void cluster_links_refresh(struct proxy *proxy);

/** cluster_links_announced() - an upstream was announced with @term */
void cluster_links_announced(struct proxy *proxy, int upstream, uint32_t term);

/** cluster_links_uses() - whether a pool of the tables uses the cluster */
bool cluster_links_uses(struct proxy *proxy, const char *service,
			const char *cluster);

#endif
