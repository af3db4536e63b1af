#include "quetzalloft/error.h"
#include "quetzalloft/metadata.h"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

/*
 * Parses headers from lines of the form "Name: value". Metadata that was parsed
 * must be emitted and parse again to the same set of fields.
 */

static void add_emitted(void *data, const char *name, const char *value)
{
	if (ql_metadata_add((ql_metadata_t *)data, name, value, nullptr))
		abort();
}

extern "C" int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	std::string text((const char *)data, size);
	ql_metadata_t metadata, copy;
	size_t start = 0;

	ql_metadata_init(&metadata);
	ql_metadata_init(&copy);
	while (start < text.size()) {
		size_t end = text.find('\n', start);
		std::string line = text.substr(start, end - start);
		size_t colon = line.find(": ");
		GError *error = nullptr;

		start = end == std::string::npos ? text.size() : end + 1;
		if (colon == std::string::npos)
			continue;
		if (ql_metadata_add(&metadata, line.substr(0, colon).c_str(),
				    line.substr(colon + 2).c_str(), &error)) {
			if (!error)
				abort();
			g_error_free(error);
		}
	}
	ql_metadata_emit(&metadata, add_emitted, &copy);
	if (copy.has != metadata.has)
		abort();
	return 0;
}
