#ifndef QUETZALLOFT_TEAM_SHARES_H
#define QUETZALLOFT_TEAM_SHARES_H

/**
 * DOC: Fair shares of the teams of one class at a node, where not all requests
 * can be admitted.
 *
 * The throttle decides how many requests are admitted, this module which ones.
 * Each team has a fair level: a part of all requests in proportion to its
 * weight. A team that asks for more than a multiple of its level gets that
 * multiple, one that asks for less gets all; the multiple is the one at which
 * the admitted requests add up to the share of the throttle.
 *
 * A node sees few requests of a small team, so every level has one request on
 * top, and the admitted part of a team is kept exactly over time by a credit
 * instead of by chance.
 */

#include "quetzalloft/throttle.h"
#include "quetzalloft/types.h"

G_BEGIN_DECLS

/** Most teams that are counted; beyond, the one that asked least leaves. */
#define QL_TEAM_SHARES_MAX 256u

/**
 * struct ql_team_usage - Requests of a team.
 * @asked: offered
 * @admitted: admitted
 * @refused: refused early
 */
typedef struct ql_team_usage {
	uint64_t asked;
	uint64_t admitted;
	uint64_t refused;
} ql_team_usage_t;

/**
 * struct ql_team_share - A team.
 * @name: name
 * @hash: hash of @name
 * @weight: part of all requests that the team is expected to ask for, 0 to 1
 * @asked: decayed number of requests, in units of &ql_team_shares.scale
 * @credit: admitted part of the requests so far that is still due, in requests
 * @usage: counts since the last ql_team_shares_take_usage()
 */
typedef struct ql_team_share {
	char name[QL_NAME_MAX];
	guint hash;
	double weight;
	double asked;
	double credit;
	ql_team_usage_t usage;
} ql_team_share_t;

/**
 * struct ql_team_shares - The teams of one class at a node.
 * @teams: array of &struct ql_team_share, at most QL_TEAM_SHARES_MAX
 * @random: random number generator; borrowed
 * @scale: what one request counts now; it grows in place of a decay of all
 *         counts
 * @scaled_us: when @scale was last brought up to date
 * @owed: requests by which the admitted ones are below the share, within
 *        bounds; counts of small teams are too rough for the sum to come out
 *        right by itself
 * @rest: usage of teams that left since the last ql_team_shares_take_usage()
 */
typedef struct ql_team_shares {
	GArray *teams;
	GRand *random;
	double scale;
	uint64_t scaled_us;
	double owed;
	ql_team_usage_t rest;
} ql_team_shares_t;

/**
 * ql_team_shares_init() - Start without teams.
 * @shares: the teams; release with ql_team_shares_finish()
 * @random: random number generator; borrowed
 */
void ql_team_shares_init(ql_team_shares_t *shares, GRand *random);

/**
 * ql_team_shares_finish() - Free the teams.
 * @shares: the teams
 */
void ql_team_shares_finish(ql_team_shares_t *shares);

/**
 * ql_team_shares_offer() - Count a request and choose whether to admit it.
 * @shares: the teams
 * @team: name of the team that asks
 * @weight: part of all requests that the team is expected to ask for, 0 to 1
 * @share: part of the requests that is admitted, 0 to 1
 * @now_us: current time
 *
 * Return: QL_THROTTLE_TAKE or QL_THROTTLE_LEAVE. The caller must call
 * ql_team_shares_record() with the decision of the throttle, before the next
 * offer.
 */
ql_throttle_choice_t ql_team_shares_offer(ql_team_shares_t *shares,
					  const char *team, double weight,
					  double share, uint64_t now_us);

/**
 * ql_team_shares_look() - Tell what ql_team_shares_offer() would choose now,
 * without counting a request.
 * @shares: the teams of a class
 * @team: name of the team
 * @weight: see ql_team_shares_offer()
 * @share: see ql_team_shares_offer()
 * @now_us: current time
 *
 * Return: the choice; QL_THROTTLE_RANDOM for a team that is not known yet, as
 * it starts with a random credit.
 */
ql_throttle_choice_t ql_team_shares_look(const ql_team_shares_t *shares,
					 const char *team, double weight,
					 double share, uint64_t now_us);

/**
 * ql_team_shares_record() - Record the decision on the last offered request.
 * @shares: the teams
 * @team: name of the team that asked
 * @admitted: the request was admitted
 *
 * The credit of a team whose request was refused in spite of QL_THROTTLE_TAKE
 * stays, so its next request goes first.
 */
void ql_team_shares_record(ql_team_shares_t *shares, const char *team,
			   bool admitted);

/**
 * ql_team_shares_largest() - Find the teams with the most requests since the
 * last ql_team_shares_take_usage().
 * @shares: the teams
 * @out: set to the teams, largest first; borrowed until the next offer
 * @n_max: size of @out
 *
 * Return: number of elements set in @out; only teams with requests are.
 */
size_t ql_team_shares_largest(const ql_team_shares_t *shares,
			      const ql_team_share_t **out, size_t n_max);

/**
 * ql_team_shares_take_usage() - Add up the usage of all teams and reset it.
 * @shares: the teams
 *
 * Return: the sum, with the teams that have left.
 */
ql_team_usage_t ql_team_shares_take_usage(ql_team_shares_t *shares);

G_END_DECLS

#endif
