#include "json_input.h"
#include "quetzalloft/document.h"

/* Compiles a document, then matches a route and looks up a service in it. */
extern "C" int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	json_t *json = parse_json_input(data, size);
	ql_document_t *doc = nullptr;
	GError *error = nullptr;
	int ret;

	if (!json)
		return 0;
	ret = ql_document_compile(&doc, json, 1, &error);
	check_error_detail(ret, error);
	if (!ret) {
		ql_document_match(doc, -1, "host", "GET", "/parts/7");
		ql_document_find_service(doc, "stock");
		ql_document_unref(doc);
	}
	json_decref(json);
	return 0;
}
