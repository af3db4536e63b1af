#ifndef FUZZERS_JSON_INPUT_H
#define FUZZERS_JSON_INPUT_H

#include "quetzalloft/json.h"

#include <cstdlib>

/* Parses JSON; returns NULL on failure, and aborts if error is not set then. */
static inline json_t *parse_json_input(const uint8_t *data, size_t size)
{
	GError *error = nullptr;
	json_t *json = nullptr;

	if (!ql_json_parse(&json, (const char *)data, size, &error))
		return json;
	if (!error)
		abort();
	g_error_free(error);
	return nullptr;
}

/* Aborts unless error is set exactly if status is a failure; clears error. */
static inline void check_error_detail(int status, GError *error)
{
	if ((status != 0) != (error != nullptr))
		abort();
	g_clear_error(&error);
}

#endif
