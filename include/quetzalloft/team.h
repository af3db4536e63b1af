#ifndef QUETZALLOFT_TEAM_H
#define QUETZALLOFT_TEAM_H

/**
 * DOC: Teams: the callers that a document knows by their API keys, each with a
 * quota and, if it is set, a priority class of its own.
 */

#include "quetzalloft/types.h"

#include <jansson.h>

G_BEGIN_DECLS

/** Most teams of a document. */
#define QL_TEAMS_MAX 4096
/** Most API keys of a team. */
#define QL_TEAM_KEYS_MAX 64
/** The class of a team that has none: that of the route applies. */
#define QL_TEAM_NO_CLASS (-1)

/**
 * struct ql_team - A team.
 * @name: name
 * @class_index: index of its class, which goes before that of the route, see
 *               ql_document_find_class(), or QL_TEAM_NO_CLASS
 * @rate_per_s: quota in requests per second, summed over all nodes; 0 for no
 *              quota
 * @burst: requests that the quota allows at once beyond @rate_per_s
 * @weight: its part of the sum of all quotas, 0 to 1; a team without a quota
 *          has the mean of those with one, and all have the same if none has
 */
typedef struct ql_team {
	char name[QL_NAME_MAX];
	int32_t class_index;
	double rate_per_s;
	double burst;
	double weight;
} ql_team_t;

/**
 * struct ql_teams - The teams of a document.
 * @entries: teams
 * @n_entries: number of elements of @entries; 0 if callers need no API key
 * @by_key: element of @entries by API key
 * @by_name: element of @entries by name
 */
typedef struct ql_teams {
	ql_team_t *entries;
	size_t n_entries;
	GHashTable *by_key;
	GHashTable *by_name;
} ql_teams_t;

/**
 * ql_teams_find_key() - Find the team that holds an API key.
 * @teams: teams
 * @key: API key
 *
 * Return: the team, or NULL if no team holds the key; borrowed.
 */
const ql_team_t *ql_teams_find_key(const ql_teams_t *teams, const char *key);

/**
 * ql_teams_find_name() - Find a team by name.
 * @teams: teams
 * @name: name
 *
 * Return: the team, or NULL if there is none of this name; borrowed.
 */
const ql_team_t *ql_teams_find_name(const ql_teams_t *teams, const char *name);

G_END_DECLS

#endif
