#include "json_input.h"
#include "platform/adapter.h"

/* Converts a document of an operator and compiles it. */
extern "C" int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	ql_document_t *doc = nullptr;
	json_t *json = nullptr;
	GError *error = nullptr;
	uint64_t version = 0;
	int ret;

	ret = ql_platform_read_document(&json, &version, (const char *)data,
					size, &error);
	check_error_detail(ret, error);
	if (ret)
		return 0;
	error = nullptr;
	ret = ql_document_compile(&doc, json, version, &error);
	check_error_detail(ret, error);
	if (!ret) {
		json_decref(ql_platform_write_document(doc));
		ql_document_unref(doc);
	}
	json_decref(json);
	return 0;
}
