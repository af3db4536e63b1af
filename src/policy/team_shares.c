#include "quetzalloft/team_shares.h"
#include "quetzalloft/clock.h"

#include <math.h>
#include <string.h>

/*
 * Time constant of the counts. Long enough for a small team to have a count
 * between two requests at one node, short against the stay of a team there.
 */
#define COUNT_TIME_CONSTANT_S 10.0
/* Counts are rescaled before the unit of one request overflows. */
#define SCALE_MAX 1e100
/* Nothing is left of a count after so many time constants. */
#define AGE_MAX 100.0
/*
 * Least admitted part of a team, as a part of the share of all: what a node
 * sees of a team that sends to a few nodes only is no proof that it is hot.
 */
#define PART_MIN 0.5
/* Requests on top of the fair level of each team. */
#define LEVEL_ALLOWANCE 1.0
/* Steps of the search for the multiple of the levels; each halves the error. */
#define SEARCH_STEPS 16
/* Most requests that a team is owed, or has had too many. */
#define CREDIT_MAX 2.0
/* Most requests by which the sum may differ from the share. */
#define OWED_MAX 5.0
/* Change of the share for each request that the sum differs by. */
#define OWED_GAIN 0.1

void ql_team_shares_init(ql_team_shares_t *shares, GRand *random)
{
	memset(shares, 0, sizeof(*shares));
	shares->teams = g_array_new(FALSE, TRUE, sizeof(ql_team_share_t));
	shares->random = random;
	shares->scale = 1;
}

void ql_team_shares_finish(ql_team_shares_t *shares)
{
	g_array_free(shares->teams, TRUE);
}

static ql_team_share_t *team_at(const ql_team_shares_t *shares, guint index)
{
	return &g_array_index(shares->teams, ql_team_share_t, index);
}

static ql_team_share_t *find_team(const ql_team_shares_t *shares,
				  const char *name)
{
	guint hash = g_str_hash(name);
	ql_team_share_t *team;
	guint i;

	for (i = 0; i < shares->teams->len; i++) {
		team = team_at(shares, i);
		if (team->hash == hash && !strcmp(team->name, name))
			return team;
	}
	return NULL;
}

static void add_usage(ql_team_usage_t *sum, const ql_team_usage_t *usage)
{
	sum->asked += usage->asked;
	sum->admitted += usage->admitted;
	sum->refused += usage->refused;
}

/* Returns a free element, if need be that of the team that asked least. */
static ql_team_share_t *new_element(ql_team_shares_t *shares)
{
	ql_team_share_t *least;
	guint i;

	if (shares->teams->len < QL_TEAM_SHARES_MAX) {
		g_array_set_size(shares->teams, shares->teams->len + 1);
		return team_at(shares, shares->teams->len - 1);
	}
	least = team_at(shares, 0);
	for (i = 1; i < shares->teams->len; i++)
		if (team_at(shares, i)->asked < least->asked)
			least = team_at(shares, i);
	add_usage(&shares->rest, &least->usage);
	return least;
}

static ql_team_share_t *get_team(ql_team_shares_t *shares, const char *name)
{
	ql_team_share_t *team = find_team(shares, name);

	if (team)
		return team;
	team = new_element(shares);
	memset(team, 0, sizeof(*team));
	g_strlcpy(team->name, name, sizeof(team->name));
	team->hash = g_str_hash(name);
	/* Teams that come and go all the time get the same part as others. */
	team->credit = g_rand_double(shares->random);
	return team;
}

static void rescale(ql_team_shares_t *shares)
{
	guint i;

	for (i = 0; i < shares->teams->len; i++)
		team_at(shares, i)->asked /= shares->scale;
	shares->scale = 1;
}

static void advance(ql_team_shares_t *shares, uint64_t now_us)
{
	double since_s = (double)(now_us - shares->scaled_us) / QL_US_PER_S;

	if (!shares->scaled_us)
		since_s = 0;
	shares->scaled_us = now_us;
	shares->scale *= exp(MIN(since_s / COUNT_TIME_CONSTANT_S, AGE_MAX));
	if (shares->scale > SCALE_MAX)
		rescale(shares);
}

static double sum_asked(const ql_team_shares_t *shares)
{
	double sum = 0;
	guint i;

	for (i = 0; i < shares->teams->len; i++)
		sum += team_at(shares, i)->asked;
	return sum;
}

/* Returns the part of a team that is admitted at a multiple of the levels. */
static double admitted_part(const ql_team_shares_t *shares,
			    const ql_team_share_t *team, double multiple,
			    double sum, double least)
{
	double level = LEVEL_ALLOWANCE * shares->scale + team->weight * sum;

	if (multiple * level >= team->asked)
		return 1;
	return MAX(multiple * level / team->asked, least);
}

static double sum_admitted(const ql_team_shares_t *shares, double multiple,
			   double sum, double least)
{
	const ql_team_share_t *team;
	double admitted = 0;
	guint i;

	for (i = 0; i < shares->teams->len; i++) {
		team = team_at(shares, i);
		admitted += team->asked *
			    admitted_part(shares, team, multiple, sum, least);
	}
	return admitted;
}

static double largest_multiple(const ql_team_shares_t *shares, double sum)
{
	const ql_team_share_t *team;
	double multiple = 0, level;
	guint i;

	for (i = 0; i < shares->teams->len; i++) {
		team = team_at(shares, i);
		level = LEVEL_ALLOWANCE * shares->scale + team->weight * sum;
		multiple = MAX(multiple, team->asked / level);
	}
	return multiple;
}

/*
 * Finds the multiple of the levels at which the admitted requests add up to a
 * number.
 */
static double find_multiple(const ql_team_shares_t *shares, double sum,
			    double admitted, double least)
{
	double low = 0, high = largest_multiple(shares, sum), middle;
	int i;

	for (i = 0; i < SEARCH_STEPS; i++) {
		middle = (low + high) / 2;
		if (sum_admitted(shares, middle, sum, least) < admitted)
			low = middle;
		else
			high = middle;
	}
	return high;
}

static double fair_part(const ql_team_shares_t *shares,
			const ql_team_share_t *team, double share)
{
	double corrected = CLAMP(share + OWED_GAIN * shares->owed, 0, 1);
	double sum = sum_asked(shares), least = PART_MIN * share;
	double multiple;

	if (share >= 1)
		return 1;
	multiple = find_multiple(shares, sum, corrected * sum, least);
	return admitted_part(shares, team, multiple, sum, least);
}

static void add_owed(ql_team_shares_t *shares, double owed)
{
	shares->owed = CLAMP(shares->owed + owed, -OWED_MAX, OWED_MAX);
}

ql_throttle_choice_t ql_team_shares_offer(ql_team_shares_t *shares,
					  const char *name, double weight,
					  double share, uint64_t now_us)
{
	ql_team_share_t *team;
	bool take;

	advance(shares, now_us);
	team = get_team(shares, name);
	team->weight = weight;
	team->asked += shares->scale;
	team->usage.asked++;
	team->credit =
		MIN(team->credit + fair_part(shares, team, share), CREDIT_MAX);
	/* A debt is not called in while there is room for all. */
	take = share >= 1 || team->credit >= 1;
	add_owed(shares, share - take);
	return take ? QL_THROTTLE_TAKE : QL_THROTTLE_LEAVE;
}

/* A team that is known is offered to a copy without any random number. */
ql_throttle_choice_t ql_team_shares_look(const ql_team_shares_t *shares,
					 const char *name, double weight,
					 double share, uint64_t now_us)
{
	ql_team_shares_t copy = *shares;
	ql_throttle_choice_t choice;

	if (!find_team(shares, name))
		return QL_THROTTLE_RANDOM;
	copy.teams = g_array_copy(shares->teams);
	choice = ql_team_shares_offer(&copy, name, weight, share, now_us);
	g_array_free(copy.teams, TRUE);
	return choice;
}

void ql_team_shares_record(ql_team_shares_t *shares, const char *name,
			   bool admitted)
{
	ql_team_share_t *team = find_team(shares, name);

	if (!team)
		return;
	team->usage.admitted += admitted;
	team->usage.refused += !admitted;
	if (admitted)
		team->credit = MAX(team->credit - 1, -CREDIT_MAX);
}

size_t ql_team_shares_largest(const ql_team_shares_t *shares,
			      const ql_team_share_t **out, size_t n_max)
{
	const ql_team_share_t *team;
	size_t n = 0, at;
	guint i;

	for (i = 0; i < shares->teams->len; i++) {
		team = team_at(shares, i);
		for (at = n; at; at--) {
			if (out[at - 1]->usage.asked >= team->usage.asked)
				break;
			if (at < n_max)
				out[at] = out[at - 1];
		}
		if (!team->usage.asked || at >= n_max)
			continue;
		out[at] = team;
		n = MIN(n + 1, n_max);
	}
	return n;
}

ql_team_usage_t ql_team_shares_take_usage(ql_team_shares_t *shares)
{
	ql_team_usage_t sum = shares->rest;
	guint i;

	memset(&shares->rest, 0, sizeof(shares->rest));
	for (i = 0; i < shares->teams->len; i++) {
		add_usage(&sum, &team_at(shares, i)->usage);
		memset(&team_at(shares, i)->usage, 0, sizeof(ql_team_usage_t));
	}
	return sum;
}
