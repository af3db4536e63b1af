#ifndef QUETZALLOFT_DIALECT_H
#define QUETZALLOFT_DIALECT_H

/**
 * DOC: Names and formats that a site uses in HTTP headers, endpoint reports and
 * configuration documents. Admission, routing and retry decisions do not depend
 * on the dialect.
 */

#include "quetzalloft/document.h"

G_BEGIN_DECLS

/** Size in bytes of an instance ID, including the terminating NUL. */
#define QL_INSTANCE_MAX 128

/**
 * struct ql_instance_report - State that an endpoint reports about itself.
 * @instance: ID of this run of the endpoint process
 * @service: service that the endpoint serves
 * @address: address that the endpoint listens on, "IP:port"
 * @incarnation: start time of this run, Unix time in milliseconds
 * @sequence: number of this report; higher than that of earlier reports of the
 *            same run
 * @slots: requests that the endpoint can run at once
 * @draining: the endpoint is shutting down and takes no new requests
 * @cold_ms: remaining duration of the cold start, in milliseconds
 */
typedef struct ql_instance_report {
	char instance[QL_INSTANCE_MAX];
	char service[QL_NAME_MAX];
	char address[QL_ADDRESS_MAX];
	uint64_t incarnation;
	uint64_t sequence;
	uint64_t slots;
	bool draining;
	uint64_t cold_ms;
} ql_instance_report_t;

/**
 * struct ql_dialect - Header names and format converters of a site. A dialect
 * is static and constant.
 * @name: name of the dialect in the settings
 * @request_id: header with the request ID; the response repeats it
 * @timeout_ms: header with the remaining time of a request, in milliseconds
 * @caller: header with the service on whose VM the request originated; NULL if
 *          the dialect has none
 * @expected_instance: header with the ID of the only endpoint instance that may
 *                     run the request; NULL if the dialect has none
 * @not_run: response header that marks a request as not run; NULL if the
 *           dialect has none
 * @seal: header that every complete response of an endpoint carries; NULL if
 *        the dialect has none
 * @base_version: header with the configuration version that a submitted
 *                document is based on
 * @api_key: header with the API key of the caller; NULL if the dialect has none
 * @team: header that tells the endpoint the team of the caller; NULL if the
 *        dialect has none
 * @parse_parent_id: copies the ID of the parent request out of a request ID,
 *                   with a terminating NUL, to the @size bytes at @out; returns
 *                   false if there is no parent or @out is too small. NULL if
 *                   the dialect has no parent IDs.
 * @read_document: converts a document of @length bytes from the operators'
 *                 format; returns 0, with a new reference in @out and its
 *                 version in @version, or a QL_E_ error, with the detail in
 *                 @error
 * @write_document: converts a document to the operators' format; returns a new
 *                  reference, or NULL if the document did not come in that
 *                  format
 * @read_report: parses an endpoint report of @length bytes; sets all fields of
 *               @out but its instance. Returns 0, or a QL_E_ error with the
 *               detail in @error.
 */
typedef struct ql_dialect {
	const char *name;
	const char *request_id;
	const char *timeout_ms;
	const char *caller;
	const char *expected_instance;
	const char *not_run;
	const char *seal;
	const char *base_version;
	const char *api_key;
	const char *team;
	bool (*parse_parent_id)(char *out, size_t size, const char *request_id);
	int (*read_document)(json_t **out, uint64_t *version, const char *text,
			     size_t length, GError **error);
	json_t *(*write_document)(const ql_document_t *doc);
	int (*read_report)(ql_instance_report_t *out, const char *text,
			   size_t length, GError **error);
} ql_dialect_t;

G_END_DECLS

#endif
