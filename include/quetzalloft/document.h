#ifndef QUETZALLOFT_DOCUMENT_H
#define QUETZALLOFT_DOCUMENT_H

/**
 * DOC: The shared configuration document, checked and compiled. A document is
 * immutable and counted by references.
 */

#include "quetzalloft/types.h"

#include <glib.h>
#include <jansson.h>

G_BEGIN_DECLS

#define QL_SERVICES_MAX 1024
#define QL_CLASSES_MAX 64
#define QL_ROUTES_MAX 8192
#define QL_CALLS_MAX 64
#define QL_ATTEMPTS_MAX 1000
#define QL_METHOD_MAX 8
#define QL_PATH_MAX 128
#define QL_ROUTE_SPLIT_MAX 16

/**
 * struct ql_class - A class of requests.
 * @name: its name
 * @shed_order: classes with lower numbers are shed first
 */
typedef struct ql_class {
	char name[QL_NAME_MAX];
	uint64_t shed_order;
} ql_class_t;

/**
 * struct ql_service - A service and the limits of its calls.
 * @name: its name
 * @calls: indexes of the services that it calls
 * @n_calls: their number
 * @retry_ratio: retries allowed for each first attempt, 0 to 1
 * @body_limit_bytes: largest body that is passed in either direction
 * @queue_ms: longest wait at the gate
 * @limiter: name of the limiter that its gates use
 * @connections: connections that one endpoint takes; 0 when it is not stated
 * @health_path: where an endpoint answers health checks; may be empty
 * @subtree_attempts: attempts that one call needs when none fails: one for
 *                    itself and those of everything below
 * @depth: length of the longest chain that starts here
 */
typedef struct ql_service {
	char name[QL_NAME_MAX];
	uint16_t calls[QL_CALLS_MAX];
	uint16_t n_calls;
	double retry_ratio;
	uint64_t body_limit_bytes;
	uint64_t queue_ms;
	char limiter[QL_NAME_MAX];
	uint64_t connections;
	char health_path[QL_PATH_MAX];
	uint32_t subtree_attempts;
	uint32_t depth;
} ql_service_t;

/**
 * struct ql_route_split_entry - A service that takes a part of a route's
 * requests.
 * @service: its index
 * @weight: its part, relative to the other weights
 */
typedef struct ql_route_split_entry {
	uint16_t service;
	uint32_t weight;
} ql_route_split_entry_t;

/**
 * struct ql_route - Requests that are treated alike.
 * @name: its name
 * @host: value of the Host header without port; empty matches every one
 * @method: HTTP method; empty matches every one
 * @path: matches this path and what is below it
 * @service: index of the service, of the first part of a split
 * @split: the services that share its requests
 * @n_split: their number; 0 when @service takes them all
 * @attempts: endpoints that one client request may be sent to; 0 when only
 *            the allowance of the document bounds them
 * @target_ms: time in which an answer has its full worth; 0 when not stated
 * @class_index: index of the class
 * @idempotent: whether a request may be repeated
 * @deadline_ms: time that a client request has
 */
typedef struct ql_route {
	char name[QL_NAME_MAX];
	char host[QL_NAME_MAX];
	char method[QL_METHOD_MAX];
	char path[QL_PATH_MAX];
	uint16_t service;
	ql_route_split_entry_t split[QL_ROUTE_SPLIT_MAX];
	uint16_t n_split;
	uint16_t class_index;
	uint64_t attempts;
	uint64_t target_ms;
	bool idempotent;
	uint64_t deadline_ms;
} ql_route_t;

/**
 * struct ql_client_limits - What a client may send, and how slowly.
 * @head_bytes: largest start line and headers
 * @body_bytes: largest body
 * @head_ms: longest time to send the headers of a request
 * @idle_ms: longest time that a connection stays without a request
 */
typedef struct ql_client_limits {
	uint64_t head_bytes;
	uint64_t body_bytes;
	uint64_t head_ms;
	uint64_t idle_ms;
} ql_client_limits_t;

#define QL_KEEPER_MEMBERS_MAX 4096
#define QL_KEEPER_SLOTS_MAX 4096
/** Keepers of one slot: three or five. */
#define QL_KEEPER_SLOT_SIZE_MAX 5

/**
 * struct ql_keeper_member - A process that keeps claims on keys.
 * @name: its name in the document
 * @address: "IP:port" of its control port
 * @failure_domain: where it is
 */
typedef struct ql_keeper_member {
	char name[QL_NAME_MAX];
	char address[QL_ADDRESS_MAX];
	char failure_domain[QL_NAME_MAX];
} ql_keeper_member_t;

/**
 * struct ql_keeper_slot - The keepers of a part of the keys.
 * @members: indexes of the members
 * @n_members: 3 or 5
 */
typedef struct ql_keeper_slot {
	uint16_t members[QL_KEEPER_SLOT_SIZE_MAX];
	uint16_t n_members;
} ql_keeper_slot_t;

/**
 * struct ql_keeper_table - Which members keep which keys.
 * @slots: a key belongs to the slot of its hash
 * @n_slots: their number; 0 when there are none
 */
typedef struct ql_keeper_table {
	ql_keeper_slot_t *slots;
	size_t n_slots;
} ql_keeper_table_t;

/**
 * struct ql_keepers - The keepers of a document.
 * @retention_ms: how long a key is remembered
 * @members: all of them
 * @n_members: their number; 0 when keys are not claimed
 * @slots: the table in force
 * @previous_slots: the one before, which must agree too while it is there
 */
typedef struct ql_keepers {
	uint64_t retention_ms;
	ql_keeper_member_t *members;
	size_t n_members;
	ql_keeper_table_t slots;
	ql_keeper_table_t previous_slots;
} ql_keepers_t;

/**
 * struct ql_document - The compiled document.
 * @references: holders of this document
 * @version: its number; 0 is the empty document before the first patch
 * @site: name of the site
 * @attempts: allowance of attempts of one client request
 * @guaranteed_share: part of the requests of each route that goes with the
 * highest class, see quetzalloft/route_admission.h
 * @keepers: who keeps claims on idempotency keys
 * @limits: of clients
 * @json: the source
 * @digest: hash of the canonical text of the source
 */
typedef struct ql_document {
	uint32_t references;
	uint64_t version;
	char site[QL_NAME_MAX];
	uint64_t attempts;
	double guaranteed_share;
	ql_class_t *classes;
	size_t n_classes;
	ql_service_t *services;
	size_t n_services;
	ql_route_t *routes;
	size_t n_routes;
	ql_keepers_t keepers;
	ql_client_limits_t limits;
	json_t *json;
	uint64_t digest;
} ql_document_t;

/**
 * ql_document_compile() - Check a document in whole and compile it.
 * @out: the document, with one reference
 * @json: the source; the document keeps a reference
 * @version: its number
 * @error: detail of a failure, with the path of what is wrong
 *
 * An empty object compiles to a document without services. The call graph may
 * have no cycle and no chain longer than QL_CALL_DEPTH_MAX.
 *
 * Return: 0 or QL_E_TYPE, QL_E_UNKNOWN_KEY, QL_E_MISSING_KEY, QL_E_RANGE,
 * QL_E_NOT_FOUND or QL_E_INVALID.
 */
int ql_document_compile(ql_document_t **out, json_t *json, uint64_t version,
			GError **error);

ql_document_t *ql_document_ref(ql_document_t *doc);
void ql_document_unref(ql_document_t *doc);

/**
 * ql_document_digest() - Hash the canonical text of a JSON value.
 * @json: the value
 *
 * Return: the hash.
 */
uint64_t ql_document_digest(const json_t *json);

/**
 * ql_document_find_service() - Find a service by name.
 * @doc: the document
 * @name: the name
 *
 * Return: its index, or -1.
 */
int ql_document_find_service(const ql_document_t *doc, const char *name);

/**
 * ql_document_top_class() - The class that is shed last.
 * @doc: a document with a class
 *
 * Return: the class.
 */
const ql_class_t *ql_document_top_class(const ql_document_t *doc);

/**
 * ql_document_match() - Find the route of a request.
 * @doc: the document
 * @service: index of the service that the route must name, or -1 for any
 * @host: value of the Host header, or NULL
 * @method: HTTP method
 * @path: path of the URL
 *
 * The longest path wins; among equal paths, a route that names the host.
 *
 * Return: the route, or NULL.
 */
const ql_route_t *ql_document_match(const ql_document_t *doc, int service,
				    const char *host, const char *method,
				    const char *path);

/**
 * struct ql_key_keepers - The keepers of one key.
 * @members: indexes of the members, each once
 * @n_members: their number; 0 when the document has no keepers
 * @sets: bits of @members in each set; all sets must agree
 * @n_sets: 1, or 2 while the keepers change
 */
typedef struct ql_key_keepers {
	uint16_t members[2 * QL_KEEPER_SLOT_SIZE_MAX];
	uint32_t n_members;
	uint32_t sets[2];
	uint32_t n_sets;
} ql_key_keepers_t;

/**
 * ql_document_find_keepers() - Find the keepers of a key.
 * @doc: the document
 * @key: idempotency key
 * @out: the keepers
 */
void ql_document_find_keepers(const ql_document_t *doc, const char *key,
			      ql_key_keepers_t *out);

/**
 * ql_document_check_keepers() - Whether keepers may change from one document
 * to the next.
 * @old: the document in force
 * @doc: the one that would follow
 * @error: detail of a failure
 *
 * New slots are accepted only together with the old ones as previous slots,
 * and only when no earlier change is still under way.
 *
 * Return: 0 or QL_E_CONFLICT.
 */
int ql_document_check_keepers(const ql_document_t *old,
			      const ql_document_t *doc, GError **error);

G_END_DECLS

#endif
