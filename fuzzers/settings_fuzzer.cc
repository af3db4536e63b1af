#include "json_input.h"
#include "node/settings.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	json_t *json = parse_json_input(data, size);
	ql_settings_t settings;
	GError *error = nullptr;
	int ret;

	if (!json)
		return 0;
	ret = ql_settings_parse(&settings, json, &error);
	check_error_detail(ret, error);
	json_decref(json);
	return 0;
}
