#ifndef QUETZALLOFT_DOCUMENT_H
#define QUETZALLOFT_DOCUMENT_H

/**
 * DOC: The configuration document that all nodes share, validated and compiled
 * from JSON. A document is immutable and reference counted.
 */

#include "quetzalloft/team.h"
#include "quetzalloft/types.h"

#include <glib.h>
#include <jansson.h>

G_BEGIN_DECLS

/** Most services of a document. */
#define QL_SERVICES_MAX 1024
/** Most classes of a document. */
#define QL_CLASSES_MAX 64
/** Most routes of a document. */
#define QL_ROUTES_MAX 8192
/** Most services that one service calls. */
#define QL_CALLS_MAX 64
/** Largest allowance of attempts of a client request. */
#define QL_ATTEMPTS_MAX 1000
/** Bytes of an HTTP method with NUL. */
#define QL_METHOD_MAX 8
/** Bytes of a path with NUL. */
#define QL_PATH_MAX 128
/** Most services that share the requests of a route. */
#define QL_ROUTE_SPLIT_MAX 16

/**
 * struct ql_class - A priority class of requests.
 * @name: name
 * @shed_order: position in the order of load shedding, 0 to QL_CLASSES_MAX;
 *              classes with lower numbers are shed first
 */
typedef struct ql_class {
	char name[QL_NAME_MAX];
	uint64_t shed_order;
} ql_class_t;

/**
 * struct ql_service - A service and the limits of its calls.
 * @name: name
 * @calls: indexes of the services that it calls
 * @n_calls: number of elements of @calls
 * @retry_ratio: retry budget: retries allowed for each first attempt, 0 to 1
 * @body_limit_bytes: largest request or response body that is forwarded
 * @queue_ms: longest queueing delay at the gate, in milliseconds
 * @limiter: name of the concurrency limit policy of its gates
 * @connections: most connections that one endpoint accepts; 0 if not set
 * @health_path: path of the health checks of an endpoint; empty if there are
 *               none
 * @subtree_attempts: attempts that one call needs when none fails: one for
 *                    itself and those of all calls downstream of it
 * @depth: number of services in the longest chain of calls that starts with
 *         this service, from 1
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
 * struct ql_route_split_entry - A service that gets a share of the requests of
 * a route.
 * @service: index of the service
 * @weight: weight of the service; its share is this divided by the sum of all
 *          weights of the route
 */
typedef struct ql_route_split_entry {
	uint16_t service;
	uint32_t weight;
} ql_route_split_entry_t;

/**
 * struct ql_route - A match on requests, and the settings of those requests.
 * @name: name
 * @host: value of the Host header without port; empty matches any
 * @method: HTTP method; empty matches any
 * @path: path prefix; matches this path and all paths below it
 * @service: index of the service; of the first service of a split
 * @split: services that share the requests
 * @n_split: number of elements of @split; 0 if @service gets all requests
 * @class_index: index of the class
 * @attempts: most endpoints that one client request may be sent to; 0 if only
 *            the allowance of the document limits them
 * @target_ms: latency target of an answer, in milliseconds; 0 if not set
 * @idempotent: whether a request may be retried after it may have run
 * @anonymous: requests need no API key, also if the document has teams
 * @deadline_ms: time from the receipt of a client request to its deadline, in
 *               milliseconds
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
	bool anonymous;
	uint64_t deadline_ms;
} ql_route_t;

/**
 * struct ql_client_limits - Limits on the requests and connections of clients.
 * @head_bytes: most bytes of the request line and the headers together
 * @body_bytes: most bytes of a request body
 * @head_ms: longest time to send the headers of a request
 * @idle_ms: longest time that a keep-alive connection has no request
 */
typedef struct ql_client_limits {
	uint64_t head_bytes;
	uint64_t body_bytes;
	uint64_t head_ms;
	uint64_t idle_ms;
} ql_client_limits_t;

/** Most keepers of a document. */
#define QL_KEEPER_MEMBERS_MAX 4096
/** Most slots of a table of keepers. */
#define QL_KEEPER_SLOTS_MAX 4096
/** Most keepers of one slot; a slot has three or five. */
#define QL_KEEPER_SLOT_SIZE_MAX 5

/**
 * struct ql_keeper_member - A keeper: a process that stores votes on claims,
 * see quetzalloft/claim.h.
 * @name: name of the keeper in the document
 * @address: "IP:port" of its control port
 * @failure_domain: failure domain in which it runs
 */
typedef struct ql_keeper_member {
	char name[QL_NAME_MAX];
	char address[QL_ADDRESS_MAX];
	char failure_domain[QL_NAME_MAX];
} ql_keeper_member_t;

/**
 * struct ql_keeper_slot - The keepers of all keys with the same hash slot.
 * @members: indexes of the keepers, all in different failure domains
 * @n_members: number of elements of @members: 3 or 5
 */
typedef struct ql_keeper_slot {
	uint16_t members[QL_KEEPER_SLOT_SIZE_MAX];
	uint16_t n_members;
} ql_keeper_slot_t;

/**
 * struct ql_keeper_table - Assignment of keys to keepers.
 * @slots: slots; the slot of a key is its hash modulo @n_slots
 * @n_slots: number of elements of @slots; 0 if there is no table
 */
typedef struct ql_keeper_table {
	ql_keeper_slot_t *slots;
	size_t n_slots;
} ql_keeper_table_t;

/**
 * struct ql_keepers - The keepers of a document.
 * @retention_ms: time that a key is kept after the last vote on it
 * @members: all keepers
 * @n_members: number of elements of @members; 0 if keys are not claimed
 * @slots: current table
 * @previous_slots: previous table, if the document has one; while it does, a
 *                  claim needs a quorum in both tables
 */
typedef struct ql_keepers {
	uint64_t retention_ms;
	ql_keeper_member_t *members;
	size_t n_members;
	ql_keeper_table_t slots;
	ql_keeper_table_t previous_slots;
} ql_keepers_t;

/**
 * struct ql_document - A compiled document.
 * @references: number of references; changed atomically
 * @version: version number; 0 is the empty document before the first patch
 * @site: name of the site
 * @attempts: allowance of attempts of one client request
 * @guaranteed_share: guaranteed share of the requests of each route, 0 to 0.5,
 *                    see quetzalloft/route_admission.h
 * @classes: classes of the source, then those that combine the class of a team
 *           with that of a route
 * @n_classes: number of elements of @classes
 * @n_base_classes: number of classes of the source
 * @combined_classes: index of the class that combines two classes of the
 *                    source, by that of the team and that of the route; NULL if
 *                    there are no teams
 * @services: services, sorted by name
 * @n_services: number of elements of @services
 * @routes: routes
 * @n_routes: number of elements of @routes
 * @teams: teams; without any, callers need no API key
 * @keepers: keepers of the claims on idempotency keys
 * @limits: limits on the requests and connections of clients
 * @json: source
 * @digest: hash of the canonical text of @json
 */
typedef struct ql_document {
	uint32_t references;
	uint64_t version;
	char site[QL_NAME_MAX];
	uint64_t attempts;
	double guaranteed_share;
	ql_class_t *classes;
	size_t n_classes;
	size_t n_base_classes;
	uint16_t *combined_classes;
	ql_service_t *services;
	size_t n_services;
	ql_route_t *routes;
	size_t n_routes;
	ql_teams_t teams;
	ql_keepers_t keepers;
	ql_client_limits_t limits;
	json_t *json;
	uint64_t digest;
} ql_document_t;

/**
 * ql_document_compile() - Validate and compile a document.
 * @out: set to the document, with one reference; NULL after a failure
 * @json: source; the document takes a reference
 * @version: version number of the document
 * @error: set after a failure, with the JSON path of the faulty value; may be
 *         NULL
 *
 * An empty object compiles to a document without services. A call graph with a
 * cycle or a chain of more than QL_CALL_DEPTH_MAX services is refused.
 *
 * Return: 0, QL_E_TYPE, QL_E_UNKNOWN_KEY, QL_E_MISSING_KEY, QL_E_RANGE,
 * QL_E_NOT_FOUND or QL_E_INVALID; for keepers also QL_E_EXISTS for one twice in
 * a slot and QL_E_CONFLICT for two of a slot in one failure domain, and for
 * teams QL_E_EXISTS for an API key that is held twice.
 */
int ql_document_compile(ql_document_t **out, json_t *json, uint64_t version,
			GError **error);

/**
 * ql_document_ref() - Take a reference to a document.
 * @doc: document
 *
 * Return: @doc.
 */
ql_document_t *ql_document_ref(ql_document_t *doc);

/**
 * ql_document_unref() - Release a reference; the last one frees the document.
 * @doc: document or NULL
 */
void ql_document_unref(ql_document_t *doc);

/**
 * ql_document_digest() - Hash the canonical text of a JSON value.
 * @json: value
 *
 * Return: the 64-bit XXH3 hash of the text.
 */
uint64_t ql_document_digest(const json_t *json);

/**
 * ql_document_find_service() - Find a service by name.
 * @doc: document
 * @name: name
 *
 * Return: the index of the service, or -1 if there is none.
 */
int ql_document_find_service(const ql_document_t *doc, const char *name);

/**
 * ql_document_top_class() - Get the class that is shed last.
 * @doc: document with at least one class
 *
 * Return: the class with the highest shed order; borrowed.
 */
const ql_class_t *ql_document_top_class(const ql_document_t *doc);

/**
 * ql_document_find_class() - Find the class of a request.
 * @doc: document
 * @route: route of the request, in @doc
 * @team: team of the caller, in @doc; NULL if there is none
 *
 * The class of a team goes before that of the route: requests of two teams are
 * ordered by the classes of the teams, and those of one by the classes of the
 * routes.
 *
 * Return: index of the class.
 */
size_t ql_document_find_class(const ql_document_t *doc, const ql_route_t *route,
			      const ql_team_t *team);

/**
 * ql_document_match() - Find the route of a request.
 * @doc: document
 * @service: index that &struct ql_route.service must have, or -1 for any
 * @host: value of the Host header, or NULL
 * @method: HTTP method
 * @path: path of the URL
 *
 * The route with the longest path wins; of equal paths, one with a host; of
 * several such routes, the first in the document.
 *
 * Return: the route, or NULL if none matches; borrowed.
 */
const ql_route_t *ql_document_match(const ql_document_t *doc, int service,
				    const char *host, const char *method,
				    const char *path);

/**
 * struct ql_key_keepers - The keepers of one key.
 * @members: indexes of the keepers, without duplicates
 * @n_members: number of elements of @members; 0 if the document has no keepers
 * @sets: bit mask of the elements of @members in each set; a claim needs a
 *        quorum in each set
 * @n_sets: 0 without keepers, 1, or 2 while the keepers of the key change
 */
typedef struct ql_key_keepers {
	uint16_t members[2 * QL_KEEPER_SLOT_SIZE_MAX];
	uint32_t n_members;
	uint32_t sets[2];
	uint32_t n_sets;
} ql_key_keepers_t;

/**
 * ql_document_find_keepers() - Find the keepers of a key.
 * @doc: document
 * @key: idempotency key
 * @out: set to the keepers
 */
void ql_document_find_keepers(const ql_document_t *doc, const char *key,
			      ql_key_keepers_t *out);

/**
 * ql_document_check_keepers() - Check the change of keepers from one document
 * to the next.
 * @old: document in force
 * @doc: document that is to follow it
 * @error: set after a failure; may be NULL
 *
 * Other slots are allowed only if @doc has the slots of @old as its previous
 * slots, and @old has no previous slots, so that no earlier change is still in
 * progress.
 *
 * Return: 0, or QL_E_CONFLICT if the change is not allowed.
 */
int ql_document_check_keepers(const ql_document_t *old,
			      const ql_document_t *doc, GError **error);

G_END_DECLS

#endif
