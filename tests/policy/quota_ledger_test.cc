#include <gtest/gtest.h>

#include <cmath>
#include <cstring>

extern "C" {
#include "quetzalloft/clock.h"
#include "quetzalloft/error.h"
#include "quetzalloft/quota_ledger.h"
}

namespace
{

const uint64_t MS = QL_US_PER_MS;
const uint64_t S = QL_US_PER_S;
const uint64_t WINDOW_US = 5 * S;

ql_team_t team_of(const char *name, double rate_per_s, double burst)
{
	ql_team_t team = {};

	g_strlcpy(team.name, name, sizeof(team.name));
	team.class_index = QL_TEAM_NO_CLASS;
	team.rate_per_s = rate_per_s;
	team.burst = burst;
	return team;
}

class QuotaLedger : public testing::Test
{
      protected:
	ql_quota_ledger_t ledger = {};
	uint64_t now_us = 100 * S;

	void start(double overshoot, double slack = 0)
	{
		const ql_quota_ledger_opts_t opts = {WINDOW_US, overshoot,
						     slack};

		TearDown();
		ql_quota_ledger_init(&ledger, &opts);
		ASSERT_EQ(0, open(1, now_us - QL_QUOTA_PERMIT_US, now_us));
	}

	void TearDown() override
	{
		if (ledger.buckets)
			ql_quota_ledger_finish(&ledger);
	}

	int open(uint64_t term, uint64_t since_us, uint64_t confirmed_us)
	{
		const ql_quota_permit_t permit = {term, since_us, confirmed_us};
		uint64_t retry_us;

		return ql_quota_ledger_open(&ledger, &permit, now_us,
					    &retry_us);
	}

	ql_quota_grant_t ask(const ql_team_t &team, uint32_t least,
			     uint32_t more = 0)
	{
		const ql_quota_ask_t ask = {least, more};

		return ql_quota_ledger_grant(&ledger, &team, &ask, now_us);
	}
};

struct RateCase {
	const char *name;
	double rate_per_s;
	double burst;
	double overshoot;
	uint64_t interval_us;
	uint32_t least;
};

const RateCase RATES[] = {
	{"one request in ten seconds", 0.1, 1, 0.1, 100 * MS, 1},
	{"a small team of 80 nodes that each ask for one", 8, 16, 0.1, 1 * MS,
	 1},
	{"a team without a burst", 50, 0, 0.1, 20 * MS, 3},
	{"a hot team", 900, 1800, 0.1, 1 * MS, 4},
	{"the largest rate", 100000, 100000, 0.1, 1 * MS, 900},
	{"no overshoot allowed", 40, 20, 0, 5 * MS, 2},
	{"a burst that is not whole", 3, 2.5, 0.1, 7 * MS, 1},
};

/* Without asking too early, a team gets what its quota allows and no more. */
TEST_F(QuotaLedger, GrantsWhatTheQuotaAllows)
{
	for (const RateCase &c : RATES) {
		SCOPED_TRACE(c.name);
		const ql_team_t team = team_of("t", c.rate_per_s, c.burst);
		const uint64_t duration_us = 60 * S;
		double granted = 0, wanted = 0, limit, part;

		now_us = 100 * S;
		start(c.overshoot);
		for (uint64_t at = 0; at < duration_us; at += c.interval_us) {
			now_us += c.interval_us;
			granted += ask(team, c.least).granted;
			wanted += c.least;
		}
		part = c.overshoot * QL_QUOTA_OVERSHOOT_PART;
		limit = (c.rate_per_s * duration_us / S + c.burst) * (1 + part);
		EXPECT_LE(granted, limit + 1);
		/* Without an overshoot the validity costs a part of the rate.
		 */
		EXPECT_GE(granted,
			  std::min(wanted, c.rate_per_s * duration_us / S) *
					  0.94 -
				  1);
	}
}

struct LimitCase {
	const char *name;
	double rate_before, burst_before;
	double rate_after, burst_after;
	uint32_t asked;
	uint32_t granted;
	bool unlimited;
};

const LimitCase LIMITS[] = {
	{"the burst is lowered", 10, 100, 10, 5, 50, 5, false},
	{"the rate is lowered", 100, 20, 1, 20, 50, 20, false},
	{"the burst is raised", 10, 5, 10, 100, 50, 5, false},
	{"the quota is taken away", 10, 5, 0, 0, 50, 0, true},
};

/* A lower limit binds with the first grant after it is applied. */
TEST_F(QuotaLedger, FollowsALimitThatChanges)
{
	for (const LimitCase &c : LIMITS) {
		SCOPED_TRACE(c.name);
		const ql_team_t before =
			team_of("t", c.rate_before, c.burst_before);
		const ql_team_t after =
			team_of("t", c.rate_after, c.burst_after);
		ql_quota_grant_t grant;

		now_us = 100 * S;
		start(0);
		now_us += 60 * S;
		ask(before, 0);
		grant = ask(after, c.asked);
		EXPECT_EQ(c.granted, grant.granted);
		EXPECT_EQ(c.unlimited, grant.unlimited);
	}
}

TEST_F(QuotaLedger, KeepsTheBucketOfATeamThatIsRemovedAndComesBack)
{
	const ql_team_t team = team_of("t", 1, 10);

	start(0);
	now_us += 60 * S;
	EXPECT_EQ(10u, ask(team, 10).granted);
	const ql_quota_ask_t one = {1, 0};
	EXPECT_TRUE(ql_quota_ledger_grant(&ledger, nullptr, &one, now_us)
			    .unlimited);
	EXPECT_EQ(0u, ask(team, 10).granted);
}

/* A small team may send some requests at once, as far as the slack allows. */
TEST_F(QuotaLedger, TheSlackDeepensTheBucket)
{
	const ql_team_t team = team_of("t", 1, 1);

	start(0.1, 20);
	now_us += 60 * S;
	EXPECT_EQ(17u, ask(team, 30).granted);
}

TEST_F(QuotaLedger, GrantsAheadOnlyOutOfTheUpperHalf)
{
	const ql_team_t team = team_of("t", 1, 10);

	start(0);
	now_us += 60 * S;
	EXPECT_EQ(1u + 4u, ask(team, 1, 100).granted);
	EXPECT_EQ(1u, ask(team, 1, 100).granted);
}

TEST_F(QuotaLedger, TellsWhenATokenMayBeThere)
{
	const ql_team_t team = team_of("t", 0.5, 1);
	ql_quota_grant_t grant;

	start(0);
	now_us += 60 * S;
	EXPECT_EQ(1u, ask(team, 1).granted);
	grant = ask(team, 1);
	EXPECT_EQ(0u, grant.granted);
	EXPECT_GE(grant.wait_us, 2 * S);
	now_us += grant.wait_us + 1;
	EXPECT_EQ(1u, ask(team, 1).granted);
}

struct PermitCase {
	const char *name;
	uint64_t term;
	/* Before the time of the call. */
	uint64_t leading_us_ago;
	uint64_t confirmed_us_ago;
	int status;
};

const uint64_t NEVER = UINT64_MAX;
const PermitCase PERMITS[] = {
	{"leads and was confirmed just now", 2, 10 * S, 0, 0},
	{"confirmed as long ago as is allowed", 2, 10 * S,
	 QL_QUOTA_PERMIT_US - 1, 0},
	{"paused since the round", 2, 10 * S, QL_QUOTA_PERMIT_US, QL_E_PENDING},
	{"suspended for an hour", 2, 3700 * S, 3600 * S, QL_E_PENDING},
	{"no round confirmed yet", 2, 10 * S, NEVER, QL_E_PENDING},
	{"elected just now", 2, 0, 0, QL_E_PENDING},
	{"an earlier leader may still grant", 2, QL_QUOTA_PERMIT_US - 1, 0,
	 QL_E_PENDING},
	{"an earlier leader may no longer grant", 2, QL_QUOTA_PERMIT_US, 0, 0},
	{"does not lead", 0, 0, 0, QL_E_NOT_LEADER},
};

TEST_F(QuotaLedger, GrantsOnlyWhileNoOtherLeaderCan)
{
	for (const PermitCase &c : PERMITS) {
		SCOPED_TRACE(c.name);
		now_us = 10000 * S;
		start(0);
		now_us += 5000 * S;
		EXPECT_EQ(c.status,
			  open(c.term, now_us - c.leading_us_ago,
			       c.confirmed_us_ago == NEVER
				       ? 0
				       : now_us - c.confirmed_us_ago));
	}
}

TEST_F(QuotaLedger, ANewTermBeginsWithoutABurst)
{
	const ql_team_t team = team_of("t", 10, 100);

	start(0);
	now_us += 60 * S;
	EXPECT_EQ(50u, ask(team, 50).granted);
	now_us += QL_QUOTA_PERMIT_US;
	ASSERT_EQ(0, open(2, now_us - QL_QUOTA_PERMIT_US, now_us));
	EXPECT_EQ(0u, ask(team, 50).granted);
	now_us += 1 * S;
	EXPECT_EQ(9u, ask(team, 50).granted);
}

} // namespace
