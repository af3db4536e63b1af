/*
 * Counts duplicate executions of a key in seeded schedules of repeated calls,
 * lost messages and crashes: without claims, with claims that are released
 * after a time-out, and with claims that are not.
 */

#include "policy/claim_simulation.h"

#include <cstdio>

using claim_test::ClaimSimulation;
using claim_test::Options;

namespace
{

constexpr uint32_t kSeeds = 6000;
constexpr int kScheduleBytes = 600;

std::string RandomSchedule(uint32_t seed)
{
	GRand *random = g_rand_new_with_seed(seed);
	std::string schedule;

	for (int i = 0; i < kScheduleBytes; i++)
		schedule += (char)g_rand_int_range(random, 0, 256);
	g_rand_free(random);
	return schedule;
}

/* Treats a claim as forfeited also when it is older than its lease. */
bool ForfeitedByTimeout(const ql_claim_reply_t *reply)
{
	return reply->note == QL_CLAIM_NOTE_FORFEITED ||
	       reply->age_ms > reply->value.lease_ms;
}

struct RunTotals {
	long runs = 0;
	long duplicates = 0;
	long without_claims = 0;
};

RunTotals RunSchedules(const ql_claim_rules_t *rules)
{
	Options options;
	RunTotals totals;

	options.rules = rules;
	options.ignore_violations = true;
	for (uint32_t seed = 1; seed <= kSeeds; seed++) {
		ClaimSimulation simulation(options);

		simulation.RunSchedule(RandomSchedule(seed));
		totals.runs += simulation.total.runs;
		totals.duplicates += simulation.total.duplicates;
		totals.without_claims +=
			simulation.total.duplicates_without_claims;
	}
	return totals;
}

} // namespace

int main()
{
	ql_claim_rules_t forfeited_by_timeout = ql_claim_rules;
	RunTotals with_claims, with_timeout;

	forfeited_by_timeout.is_forfeited = ForfeitedByTimeout;
	with_claims = RunSchedules(&ql_claim_rules);
	with_timeout = RunSchedules(&forfeited_by_timeout);
	printf("schedules %u\n", kSeeds);
	printf("without claims: duplicates %ld\n", with_claims.without_claims);
	printf("released by time-out: runs %ld duplicates %ld\n",
	       with_timeout.runs, with_timeout.duplicates);
	printf("claims: runs %ld duplicates %ld\n", with_claims.runs,
	       with_claims.duplicates);
	return with_claims.duplicates ? 1 : 0;
}
