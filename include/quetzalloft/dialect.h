#ifndef QUETZALLOFT_DIALECT_H
#define QUETZALLOFT_DIALECT_H

/**
 * DOC: How a site names what travels with calls, announcements and documents.
 * The decisions of the product are the same in every dialect.
 */

#include "quetzalloft/document.h"

G_BEGIN_DECLS

#define QL_INSTANCE_MAX 128

/**
 * struct ql_instance_report - What an endpoint announces of itself.
 * @instance: identity of this start of the endpoint
 * @service: what it serves
 * @address: where it listens, "IP:port"
 * @incarnation: when it started; a later start has a higher one
 * @sequence: rises with each announcement of one start
 * @slots: requests that it runs at once
 * @draining: it leaves, and is sent nothing new
 * @cold_ms: how long it stays slow after its start
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
 * struct ql_dialect - The names of a site.
 * @name: its name in the settings
 * @request_id: header with the identity of a request; the answer repeats it
 * @timeout_ms: header with the time that a request has left
 * @caller: header with the service on whose VM a request began
 * @expected_instance: header that names the only endpoint that may run it
 * @not_run: header of an answer to a request that was not run; NULL if none
 * @seal: header that every whole answer of an endpoint bears; NULL if none
 * @base_version: header of a document with the version that it was written
 *                against
 * @parent_of: writes the identity of the request that a request serves, as far
 *             as its own identity tells; returns false when it serves none
 * @read_document: turns a document as operators write it into the product's
 * @write_document: turns the product's document into the operators' one
 * @read_report: reads an announcement
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
