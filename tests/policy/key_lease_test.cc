#include "quetzalloft/key_lease.h"

#include <gtest/gtest.h>

#include <vector>

namespace
{

const uint64_t LEASE_MS = 5000;
const uint64_t LAST_MS = LEASE_MS - QL_KEY_LEASE_MARGIN_MS - 1;

struct LeaseCase {
	const char *description;
	uint64_t lease_ms;
	/* In the order in which the replies arrive. */
	std::vector<ql_key_proof_t> proofs;
	uint64_t version;
	uint64_t now_ms;
	bool valid;
	uint64_t age_ms;
};

/* What a node has received, and whether it may accept a key at a later time. */
TEST(KeyLease, IsValidOnlyWithAFreshProof)
{
	const LeaseCase cases[] = {
		{"after a restart", LEASE_MS, {}, 3, 20000, false, 20000},
		{"no proof is needed", 0, {}, 3, 20000, true, 20000},
		{"fresh", LEASE_MS, {{3, 10000, 400}}, 3, 10010, true, 410},
		{"cut off, last moment",
		 LEASE_MS,
		 {{3, 10000, 400}},
		 3,
		 9600 + LAST_MS,
		 true,
		 LAST_MS},
		{"cut off, too long",
		 LEASE_MS,
		 {{3, 10000, 400}},
		 3,
		 9600 + LAST_MS + 1,
		 false,
		 LAST_MS + 1},
		{"paused for seconds before the request is looked at",
		 LEASE_MS,
		 {{3, 10000, 400}},
		 3,
		 18000,
		 false,
		 8400},
		{"reply read after a pause",
		 LEASE_MS,
		 {{3, 10000, 100}},
		 3,
		 17000,
		 false,
		 7100},
		{"old news of a registrar without a leader",
		 LEASE_MS,
		 {{3, 10000, 4000}, {3, 10600, 4600}, {3, 11200, 5200}},
		 3,
		 11210,
		 false,
		 5210},
		{"replies out of order",
		 LEASE_MS,
		 {{3, 11000, 200}, {3, 10500, 200}},
		 3,
		 15000,
		 true,
		 4200},
		{"older proof of a later request",
		 LEASE_MS,
		 {{3, 11000, 200}, {3, 11500, 3000}},
		 3,
		 15000,
		 true,
		 4200},
		{"document not in force yet",
		 LEASE_MS,
		 {{4, 10000, 200}},
		 3,
		 10100,
		 false,
		 300},
		{"later document in force",
		 LEASE_MS,
		 {{4, 10000, 200}},
		 5,
		 10100,
		 true,
		 300},
		{"later proof of an older version",
		 LEASE_MS,
		 {{4, 10000, 200}, {3, 12000, 200}},
		 4,
		 15500,
		 true,
		 3700},
		{"age before the start of the clock",
		 LEASE_MS,
		 {{3, 300, 400}},
		 3,
		 310,
		 false,
		 310},
		{"age at the start of the clock",
		 LEASE_MS,
		 {{3, 400, 400}},
		 3,
		 410,
		 false,
		 410},
		{"largest age",
		 LEASE_MS,
		 {{3, 10000, UINT64_MAX}},
		 3,
		 10010,
		 false,
		 10010},
		{"clock before the proof",
		 LEASE_MS,
		 {{3, 10000, 0}},
		 3,
		 9999,
		 false,
		 0},
		{"lease below its margin",
		 QL_KEY_LEASE_MARGIN_MS,
		 {{3, 10000, 0}},
		 3,
		 10000,
		 false,
		 0},
	};

	for (const LeaseCase &test : cases) {
		SCOPED_TRACE(test.description);
		ql_key_lease_t lease;

		ql_key_lease_init(&lease, test.lease_ms);
		for (const ql_key_proof_t &proof : test.proofs)
			ql_key_lease_renew(&lease, &proof);
		EXPECT_EQ(test.valid,
			  ql_key_lease_is_valid(&lease, test.version,
						test.now_ms));
		EXPECT_EQ(test.age_ms,
			  ql_key_lease_age_ms(&lease, test.now_ms));
	}
}

TEST(KeyLease, IsValidAgainWithTheNextProof)
{
	const ql_key_proof_t first = {3, 10000, 100};
	const ql_key_proof_t next = {4, 30000, 100};
	ql_key_lease_t lease;

	ql_key_lease_init(&lease, LEASE_MS);
	ql_key_lease_renew(&lease, &first);
	EXPECT_FALSE(ql_key_lease_is_valid(&lease, 3, 29000));
	ql_key_lease_renew(&lease, &next);
	EXPECT_FALSE(ql_key_lease_is_valid(&lease, 3, 30010));
	EXPECT_TRUE(ql_key_lease_is_valid(&lease, 4, 30010));
}

} // namespace
