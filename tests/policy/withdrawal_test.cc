#include "quetzalloft/withdrawal.h"

#include <gtest/gtest.h>

#include <cstring>

namespace
{

ql_withdrawal_t make(const char *instance, uint64_t started_ms,
		     uint64_t sequence)
{
	ql_withdrawal_t out;

	ql_withdrawal_init(&out, instance, started_ms, sequence);
	return out;
}

struct CoverCase {
	const char *description;
	const char *instance;
	uint64_t started_ms;
	uint64_t sequence;
	const char *reporter;
	uint64_t incarnation;
	uint64_t report_sequence;
	bool covered;
};

/* A report that was sent before its endpoint withdrew arrives after that. */
TEST(Withdrawal, CoversTheReportsSentBeforeIt)
{
	const CoverCase cases[] = {
		{"none", "", 0, 0, "i-1", 100, 1, false},
		{"earlier report", "i-1", 100, 5, "i-1", 100, 4, true},
		{"the report itself", "i-1", 100, 5, "i-1", 100, 5, true},
		{"later report", "i-1", 100, 5, "i-1", 100, 6, false},
		{"any report after a deregistration", "i-1", 100,
		 QL_WITHDRAWAL_FINAL, "i-1", 100, 1u << 30, true},
		{"earlier run, same ID", "i-1", 100, 5, "i-1", 99, 9, true},
		{"later run, same ID", "i-1", 100, QL_WITHDRAWAL_FINAL, "i-1",
		 101, 1, false},
		{"other ID", "i-1", 100, QL_WITHDRAWAL_FINAL, "i-2", 100, 1,
		 false},
	};

	for (const CoverCase &test : cases) {
		SCOPED_TRACE(test.description);
		ql_withdrawal_t withdrawal =
			make(test.instance, test.started_ms, test.sequence);
		ql_instance_report_t report = {};

		strcpy(report.instance, test.reporter);
		report.incarnation = test.incarnation;
		report.sequence = test.report_sequence;
		EXPECT_EQ(test.covered,
			  ql_withdrawal_covers(&withdrawal, &report));
	}
}

/* Registrars merge in any order, so each pair must have one winner. */
TEST(Withdrawal, MergesToTheLatestInAnyOrder)
{
	const ql_withdrawal_t rising[] = {
		make("", 0, 0),
		make("i-1", 100, 5),
		make("i-1", 100, QL_WITHDRAWAL_FINAL),
		make("i-0", 101, 1),
		make("i-1", 101, 1),
	};

	for (const ql_withdrawal_t &low : rising)
		for (const ql_withdrawal_t &high : rising) {
			ql_withdrawal_t merged = low;

			EXPECT_EQ(&high > &low,
				  ql_withdrawal_merge(&merged, &high));
			EXPECT_EQ(0,
				  memcmp(&merged, &high > &low ? &high : &low,
					 sizeof(merged)));
		}
}

} // namespace
