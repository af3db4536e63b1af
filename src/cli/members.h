#ifndef QL_CLI_MEMBERS_H
#define QL_CLI_MEMBERS_H

/**
 * DOC: The nodes and failure domains of a cluster, merged from the reports of
 * its registrars.
 */

#include "cli/output.h"

#include <stdbool.h>

G_BEGIN_DECLS

/**
 * struct ql_members - Nodes and failure domains of a cluster.
 * @nodes: JSON object that maps the name of a node to its entry in the report
 *         with the youngest lease; owned
 * @domains: JSON object that maps the name of a failure domain to its entry
 *           in the report with the lowest age; owned
 */
typedef struct ql_members {
	json_t *nodes;
	json_t *domains;
} ql_members_t;

/**
 * ql_members_init() - Initialize without nodes and failure domains.
 * @members: the members; freed by ql_members_finish()
 */
void ql_members_init(ql_members_t *members);

/**
 * ql_members_finish() - Free the members.
 * @members: the members
 */
void ql_members_finish(ql_members_t *members);

/**
 * ql_members_merge_report() - Merge the report of one registrar.
 * @members: the members
 * @report: a report of the topic "members"; borrowed
 *
 * When two registrars report the same node, the entry with the younger lease
 * is kept.
 */
void ql_members_merge_report(ql_members_t *members, json_t *report);

/**
 * ql_members_add_endpoint_rows() - Add a row for each endpoint, and a row for
 * each node without endpoints.
 * @members: the members
 * @table: a table with the titles ql_members_endpoint_titles
 */
void ql_members_add_endpoint_rows(const ql_members_t *members,
				  ql_text_table_t *table);

/**
 * ql_members_add_version_rows() - Add a row for each node that does not have a
 * version of the configuration in force.
 * @members: the members
 * @version: the version
 * @all: whether to add rows for the nodes that have the version in force too
 * @table: a table with the titles ql_members_version_titles
 *
 * Return: the number of nodes that do not have the version in force.
 */
size_t ql_members_add_version_rows(const ql_members_t *members,
				   json_int_t version, bool all,
				   ql_text_table_t *table);

/**
 * ql_members_newest_version() - The highest version of the configuration that
 * any node has in force.
 * @members: the members
 *
 * Return: the version; 0 without nodes.
 */
json_int_t ql_members_newest_version(const ql_members_t *members);

/** Titles for ql_members_add_endpoint_rows(), terminated by NULL. */
extern const char *const ql_members_endpoint_titles[];

/** Titles for ql_members_add_version_rows(), terminated by NULL. */
extern const char *const ql_members_version_titles[];

G_END_DECLS

#endif
