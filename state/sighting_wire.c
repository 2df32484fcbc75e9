#include "sighting_wire.h"

void sighting_pack(const struct sighting *upstream, int64_t now_us,
		   Wire__Sighting *out)
{
	wire__sighting__init(out);
	out->id = upstream->id;
	out->service = upstream->service;
	out->address = upstream->address;
	out->availability_zone = upstream->availability_zone;
	out->primary = upstream->primary;
	out->leaving = upstream->leaving;
	out->gone = upstream->gone;
	out->born_ms = upstream->born_ms;
	out->sequence = upstream->sequence;
	out->age_us = (uint64_t)MAX(now_us - upstream->heard_us, 0);
	out->claim_age_us = (uint64_t)MAX(now_us - upstream->claimed_us, 0);
}

void sighting_unpack(const Wire__Sighting *in, int64_t now_us,
		     struct sighting *upstream)
{
	*upstream = (struct sighting){
		.id = in->id,
		.service = in->service,
		.address = in->address,
		.availability_zone = in->availability_zone,
		.primary = in->primary,
		.leaving = in->leaving,
		.gone = in->gone,
		.born_ms = in->born_ms,
		.sequence = in->sequence,
		.heard_us = now_us - (int64_t)in->age_us,
		.claimed_us = now_us - (int64_t)in->claim_age_us,
	};
}
