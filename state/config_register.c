#include "config_register.h"

void config_register_init(struct config_register *reg)
{
	reg->version = 0;
	reg->document = NULL;
}

void config_register_finish(struct config_register *reg)
{
	g_clear_pointer(&reg->document, g_bytes_unref);
	reg->version = 0;
}

bool config_register_set_if_newer(struct config_register *reg, uint64_t version,
				  GBytes *document)
{
	if (version <= reg->version)
		return false;
	g_clear_pointer(&reg->document, g_bytes_unref);
	reg->document = g_bytes_ref(document);
	reg->version = version;
	return true;
}

uint8_t *config_change_pack(uint64_t version, GBytes *document, size_t *len)
{
	Wire__ConfigChange change = WIRE__CONFIG_CHANGE__INIT;
	uint8_t *bytes;

	change.version = version;
	if (document)
		change.document.data = (uint8_t *)g_bytes_get_data(
			document, &change.document.len);
	*len = wire__config_change__get_packed_size(&change);
	bytes = g_malloc(MAX(*len, 1));
	wire__config_change__pack(&change, bytes);
	return bytes;
}

void config_register_take(struct config_register *reg,
			  const Wire__ConfigChange *change)
{
	GBytes *document =
		g_bytes_new(change->document.data, change->document.len);

	config_register_set_if_newer(reg, change->version, document);
	g_bytes_unref(document);
}

bool config_register_apply(struct config_register *reg, const uint8_t *bytes,
			   size_t len)
{
	Wire__ConfigChange *change =
		wire__config_change__unpack(NULL, len, bytes);

	if (!change)
		return false;
	config_register_take(reg, change);
	wire__config_change__free_unpacked(change, NULL);
	return true;
}
