#ifndef QL_CLI_MEMBERS_H
#define QL_CLI_MEMBERS_H

/**
 * DOC: The members of a cluster, joined from the reports of its registrars.
 */

#include "cli/output.h"

#include <stdbool.h>

G_BEGIN_DECLS

/**
 * struct ql_members - The members.
 * @nodes: object of nodes by name, as the newest report has them
 * @domains: object of failure domains by name, likewise
 */
typedef struct ql_members {
	json_t *nodes;
	json_t *domains;
} ql_members_t;

void ql_members_init(ql_members_t *members);
void ql_members_finish(ql_members_t *members);

/**
 * ql_members_merge_report() - Join the report of one registrar.
 * @members: the members
 * @report: the report "members"
 *
 * Of a node that two registrars know, the younger lease counts.
 */
void ql_members_merge_report(ql_members_t *members, json_t *report);

/**
 * ql_members_add_endpoint_rows() - A row for each endpoint.
 * @members: the members
 * @table: receives the rows
 */
void ql_members_add_endpoint_rows(const ql_members_t *members,
				  ql_text_table_t *table);

/**
 * ql_members_add_version_rows() - A row for each node that is not at a version.
 * @members: the members
 * @version: the version
 * @all: whether to add the nodes that are there too
 * @table: receives the rows
 *
 * Return: the number of nodes that are not there.
 */
size_t ql_members_add_version_rows(const ql_members_t *members,
				   json_int_t version, bool all,
				   ql_text_table_t *table);

/**
 * ql_members_newest_version() - The highest version that any node has in force.
 * @members: the members
 *
 * Return: the version, 0 without nodes.
 */
json_int_t ql_members_newest_version(const ql_members_t *members);

extern const char *const ql_members_endpoint_titles[];
extern const char *const ql_members_version_titles[];

G_END_DECLS

#endif
