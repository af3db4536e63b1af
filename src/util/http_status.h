#ifndef QL_UTIL_HTTP_STATUS_H
#define QL_UTIL_HTTP_STATUS_H

/**
 * DOC: The range of HTTP status codes, shared by both HTTP clients. Their
 * parsers take numbers that HTTP does not have.
 */

#include <stdbool.h>

/** Lowest status of a final response; lower ones are interim. */
#define QL_HTTP_STATUS_FINAL_MIN 200
/** Lowest status of an interim response. */
#define QL_HTTP_STATUS_MIN 100
/** Highest status. */
#define QL_HTTP_STATUS_MAX 599
/** Interim status that changes the protocol, which no request asks for. */
#define QL_HTTP_STATUS_SWITCHING 101

/**
 * ql_http_status_is_valid() - Check whether a response may have a status.
 * @status: status of the response
 *
 * Return: false if the response is malformed.
 */
static inline bool ql_http_status_is_valid(long status)
{
	return status >= QL_HTTP_STATUS_MIN && status <= QL_HTTP_STATUS_MAX &&
	       status != QL_HTTP_STATUS_SWITCHING;
}

/**
 * ql_http_status_is_final() - Check whether a response with a status can end
 * its request.
 * @status: status of the response
 *
 * Return: false for an interim or malformed one.
 */
static inline bool ql_http_status_is_final(long status)
{
	return ql_http_status_is_valid(status) &&
	       status >= QL_HTTP_STATUS_FINAL_MIN;
}

#endif
