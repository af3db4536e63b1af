#include "quetzalloft/allowance.h"

#include <gtest/gtest.h>

TEST(Allowance, LendsNothingIfTooFewRemain)
{
	ql_allowance_t allowance;

	ql_allowance_init(&allowance, 3);
	EXPECT_EQ(0u, ql_allowance_lend(&allowance, 4, 0));
	EXPECT_EQ(3u, allowance.remaining);
}

TEST(Allowance, IgnoresReportOfMoreUnusedThanLent)
{
	ql_allowance_t allowance;
	uint32_t lent;

	ql_allowance_init(&allowance, 10);
	lent = ql_allowance_lend(&allowance, 2, 0);
	ql_allowance_return(&allowance, lent, 1000);
	EXPECT_EQ(9u, allowance.remaining);
}
