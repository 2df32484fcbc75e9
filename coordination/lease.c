#include "lease.h"

#define THOUSANDTHS 1000
/* Longer grants are refused so that the arithmetic cannot overflow. */
#define GRANT_DURATION_MAX_US (3600ll * G_USEC_PER_SEC)

void lease_init(struct lease *lease, uint64_t incarnation)
{
	*lease = (struct lease){
		.until_us = INT64_MIN,
		.last_granted_sent_us = -1,
		.incarnation = incarnation,
		.next_sequence = 1,
	};
}

uint64_t lease_record_heartbeat(struct lease *lease, int64_t now_us)
{
	uint64_t sequence = lease->next_sequence++;

	lease->sent_us[sequence % LEASE_HEARTBEAT_WINDOW] = now_us;
	return sequence;
}

static bool is_sequence_in_window(const struct lease *lease, uint64_t sequence)
{
	return sequence && sequence < lease->next_sequence &&
	       lease->next_sequence - sequence <= LEASE_HEARTBEAT_WINDOW;
}

bool lease_grant(struct lease *lease, uint64_t incarnation, uint64_t sequence,
		 int64_t duration_us, int64_t now_us)
{
	int64_t sent_us, until_us;

	if (incarnation != lease->incarnation ||
	    !is_sequence_in_window(lease, sequence))
		return false;
	if (duration_us <= 0 || duration_us > GRANT_DURATION_MAX_US)
		return false;
	sent_us = lease->sent_us[sequence % LEASE_HEARTBEAT_WINDOW];
	if (sent_us <= lease->last_granted_sent_us || sent_us > now_us)
		return false;
	until_us = sent_us + duration_us -
		   duration_us * LEASE_DAEMON_MARGIN_PERMILLE / THOUSANDTHS;
	lease->last_granted_sent_us = sent_us;
	lease->until_us = MAX(lease->until_us, until_us);
	return true;
}

bool lease_valid(const struct lease *lease, int64_t now_us)
{
	return now_us < lease->until_us;
}

int64_t lease_last_granted_heartbeat_us(const struct lease *lease)
{
	return lease->last_granted_sent_us;
}
