#ifndef QL_POLICY_DOCUMENT_INTERNAL_H
#define QL_POLICY_DOCUMENT_INTERNAL_H

/**
 * DOC: What the parts of the document's compiler share.
 */

#include "quetzalloft/document.h"

#define JSON_PATH_MAX_BYTES 192

/**
 * ql_document__check_name() - Check a name that the document defines.
 * @path: where it stands
 * @name: the name
 * @error: detail of a failure
 *
 * Return: 0 or QL_E_INVALID.
 */
int ql_document__check_name(const char *path, const char *name, GError **error);

/**
 * ql_document__check_count() - Check a number of entries.
 * @path: where they stand
 * @found: their number
 * @max: the most that is allowed
 * @error: detail of a failure
 *
 * Return: 0 or QL_E_RANGE.
 */
int ql_document__check_count(const char *path, size_t found, size_t max,
			     GError **error);

/**
 * ql_keepers__compile() - Check and compile the keepers.
 * @keepers: zeros at first; to be finished also after a failure
 * @source: the member "keepers" of the document
 * @error: detail of a failure
 *
 * Return: 0 or a failure as of ql_document_compile().
 */
int ql_keepers__compile(ql_keepers_t *keepers, json_t *source, GError **error);

void ql_keepers__finish(ql_keepers_t *keepers);

#endif
