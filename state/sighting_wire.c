#include "sighting_wire.h"

void sighting_pack(const struct sighting *one, int64_t now_us,
		   Wire__Sighting *out)
{
	wire__sighting__init(out);
	out->id = one->id;
	out->service = one->service;
	out->address = one->address;
	out->availability_zone = one->availability_zone;
	out->primary = one->primary;
	out->leaving = one->leaving;
	out->gone = one->gone;
	out->born_ms = one->born_ms;
	out->sequence = one->sequence;
	out->age_us = (uint64_t)MAX(now_us - one->heard_us, 0);
	out->claim_age_us = (uint64_t)MAX(now_us - one->claimed_us, 0);
}

void sighting_unpack(const Wire__Sighting *in, int64_t now_us,
		     struct sighting *one)
{
	*one = (struct sighting){
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
