#ifndef QUETZALLOFT_DIALECT_H
#define QUETZALLOFT_DIALECT_H

/**
 * DOC: Names and formats that a site uses in HTTP headers, endpoint reports and
 * configuration documents. Admission, routing and retry decisions do not depend
 * on the dialect.
 */

#include "quetzalloft/document.h"

G_BEGIN_DECLS

#define QL_INSTANCE_MAX 128

/**
 * struct ql_instance_report - What an endpoint reports about itself.
 * @instance: ID of this run of the endpoint process
 * @service: service that the endpoint serves
 * @address: address that the endpoint listens on, "IP:port"
 * @incarnation: start time of this run; a later run has a higher value
 * @sequence: rises with each report of the same run
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
 * struct ql_dialect - Header names and format converters of a site.
 * @name: name of the dialect in the settings
 * @request_id: header with the request ID; the response repeats it
 * @timeout_ms: header with the remaining time of a request, in milliseconds
 * @caller: header with the service on whose VM the request originated
 * @expected_instance: header with the only endpoint instance that may run the
 *                     request
 * @not_run: response header that marks a request as not run; NULL if the
 *           dialect has none
 * @seal: header that every complete response of an endpoint carries; NULL if
 *        the dialect has none
 * @base_version: header with the configuration version that a submitted
 *                document is based on
 * @parse_parent_id: extracts the ID of the parent request from a request ID;
 *                   returns false if there is no parent or @out is too small
 * @read_document: converts a document from the operators' format
 * @write_document: converts a document to the operators' format
 * @read_report: parses an endpoint report
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
	bool (*parse_parent_id)(char *out, size_t size, const char *request_id);
	int (*read_document)(json_t **out, uint64_t *version, const char *text,
			     size_t length, GError **error);
	json_t *(*write_document)(const ql_document_t *doc);
	int (*read_report)(ql_instance_report_t *out, const char *text,
			   size_t length, GError **error);
} ql_dialect_t;

G_END_DECLS

#endif
