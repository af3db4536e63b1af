#ifndef QL_POLICY_DOCUMENT_INTERNAL_H
#define QL_POLICY_DOCUMENT_INTERNAL_H

/**
 * DOC: Functions shared by the sources of the document compiler.
 */

#include "quetzalloft/document.h"

/** Bytes of a JSON path in an error message, with NUL; longer ones are cut. */
#define JSON_PATH_MAX_BYTES 192

/**
 * ql_document__check_name() - Check a name that the document defines.
 * @path: JSON path of the object with the name as a key
 * @name: name
 * @error: set after a failure; may be NULL
 *
 * Return: 0, or QL_E_INVALID if the name is empty, too long or has a character
 * that is not allowed.
 */
int ql_document__check_name(const char *path, const char *name, GError **error);

/**
 * ql_document__check_count() - Check the number of entries of an object or
 * array.
 * @path: JSON path of the object or array
 * @found: number of entries
 * @max: highest number that is allowed
 * @error: set after a failure; may be NULL
 *
 * Return: 0, or QL_E_RANGE if there are too many.
 */
int ql_document__check_count(const char *path, size_t found, size_t max,
			     GError **error);

/** Largest body limit that a document may set. */
#define QL_BODY_LIMIT_MAX_BYTES (256u << 20)
/** Body limit where the document sets none. */
#define QL_BODY_LIMIT_DEFAULT_BYTES (8u << 20)
/** Longest time that a document may set as a target or a limit on clients. */
#define QL_TIME_SETTING_MAX_MS 3600000

/**
 * ql_services__compile() - Validate and compile the services.
 * @doc: document
 * @source: member "services" of the document
 * @error: set after a failure; may be NULL
 *
 * Return: 0 or an error of ql_document_compile().
 */
int ql_services__compile(ql_document_t *doc, json_t *source, GError **error);

/**
 * ql_routes__compile() - Validate and compile the routes.
 * @doc: document whose classes and services are compiled
 * @source: member "routes" of the document
 * @error: set after a failure; may be NULL
 *
 * Return: 0 or an error of ql_document_compile().
 */
int ql_routes__compile(ql_document_t *doc, json_t *source, GError **error);

/**
 * ql_document__find_class() - Find a class by name.
 * @doc: document whose classes are compiled
 * @name: name
 *
 * Return: the index of the class, or -1 if there is none.
 */
int ql_document__find_class(const ql_document_t *doc, const char *name);

/**
 * ql_teams__compile() - Validate and compile the teams of a document.
 * @doc: document whose classes are compiled; the caller must call
 *       ql_teams__finish() also after a failure
 * @source: member "teams" of the document
 * @error: set after a failure; may be NULL
 *
 * Return: 0 or an error of ql_document_compile().
 */
int ql_teams__compile(ql_document_t *doc, json_t *source, GError **error);

/**
 * ql_document__combine_classes() - Add the classes that combine the class of a
 * team with that of a route.
 * @doc: document whose classes, routes and teams are compiled; its classes get
 *       new shed orders
 */
void ql_document__combine_classes(ql_document_t *doc);

/**
 * ql_teams__finish() - Free the compiled teams.
 * @teams: teams
 */
void ql_teams__finish(ql_teams_t *teams);

/**
 * ql_keepers__compile() - Validate and compile the keepers.
 * @keepers: keepers; must be zeroed; the caller must call ql_keepers__finish()
 *           also after a failure
 * @source: member "keepers" of the document
 * @error: set after a failure; may be NULL
 *
 * Return: 0 or an error of ql_document_compile().
 */
int ql_keepers__compile(ql_keepers_t *keepers, json_t *source, GError **error);

/**
 * ql_keepers__finish() - Free the compiled keepers.
 * @keepers: keepers
 */
void ql_keepers__finish(ql_keepers_t *keepers);

#endif
