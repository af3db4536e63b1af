#include "quetzalloft/error.h"
#include "quetzalloft/metadata.h"

#include <gtest/gtest.h>

#include <string>

namespace
{

struct HeaderCase {
	const char *name;
	std::string value;
	int expected;
};

class MetadataAdd : public testing::TestWithParam<HeaderCase>
{
};

TEST_P(MetadataAdd, ValidatesValue)
{
	ql_metadata_t metadata;
	GError *error = nullptr;

	ql_metadata_init(&metadata);
	EXPECT_EQ(GetParam().expected,
		  ql_metadata_add(&metadata, GetParam().name,
				  GetParam().value.c_str(), &error));
	EXPECT_EQ(GetParam().expected != 0, error != nullptr);
	g_clear_error(&error);
}

INSTANTIATE_TEST_SUITE_P(
	Headers, MetadataAdd,
	testing::Values(
		HeaderCase{QL_HEADER_TIMEOUT, "100", 0},
		HeaderCase{"quetzalloft-timeout-ms", "0", 0},
		HeaderCase{QL_HEADER_TIMEOUT, "-1", QL_E_INVALID},
		HeaderCase{QL_HEADER_TIMEOUT, "", QL_E_INVALID},
		HeaderCase{QL_HEADER_TIMEOUT, "1e3", QL_E_INVALID},
		HeaderCase{QL_HEADER_TIMEOUT, "5,5", QL_E_INVALID},
		HeaderCase{QL_HEADER_TIMEOUT, "600001", QL_E_RANGE},
		HeaderCase{QL_HEADER_ATTEMPTS, "99999999999999999999999999",
			   QL_E_RANGE},
		HeaderCase{QL_HEADER_ATTEMPT_ID,
			   "0123456789abcdef-0123456789ABCDEF", 0},
		HeaderCase{QL_HEADER_ATTEMPT_ID,
			   "0123456789abcdeg-0123456789abcdef", QL_E_INVALID},
		HeaderCase{QL_HEADER_KEY, "order-1", 0},
		HeaderCase{QL_HEADER_KEY, "two words", QL_E_INVALID},
		HeaderCase{QL_HEADER_KEY, std::string(127, 'k'), 0},
		HeaderCase{QL_HEADER_KEY, std::string(128, 'k'), QL_E_RANGE},
		HeaderCase{QL_HEADER_OUTCOME, "maybe", QL_E_INVALID},
		HeaderCase{QL_HEADER_OCCUPANCY, "0", 0},
		HeaderCase{QL_HEADER_OCCUPANCY, "1250", 0},
		HeaderCase{QL_HEADER_OCCUPANCY, "100000", 0},
		HeaderCase{QL_HEADER_OCCUPANCY, "100001", QL_E_RANGE},
		HeaderCase{QL_HEADER_OCCUPANCY, "-5", QL_E_INVALID},
		HeaderCase{QL_HEADER_OCCUPANCY, "0.5", QL_E_INVALID},
		HeaderCase{QL_HEADER_OCCUPANCY, "nan", QL_E_INVALID},
		HeaderCase{QL_HEADER_OCCUPANCY, " 5", QL_E_INVALID},
		HeaderCase{"Accept", "anything at all", 0}));

TEST(Metadata, RefusesRepeatedHeader)
{
	ql_metadata_t metadata;

	ql_metadata_init(&metadata);
	ASSERT_EQ(0,
		  ql_metadata_add(&metadata, QL_HEADER_TIMEOUT, "5", nullptr));
	EXPECT_EQ(QL_E_CONFLICT,
		  ql_metadata_add(&metadata, QL_HEADER_TIMEOUT, "5", nullptr));
}

void AddHeader(void *data, const char *name, const char *value)
{
	EXPECT_EQ(0,
		  ql_metadata_add((ql_metadata_t *)data, name, value, nullptr));
}

TEST(Metadata, ParsesEmittedHeaders)
{
	ql_metadata_t metadata, parsed;

	ql_metadata_init(&metadata);
	ql_metadata_init(&parsed);
	metadata.has = QL_HAS_TIMEOUT | QL_HAS_ATTEMPT | QL_HAS_OUTCOME |
		       QL_HAS_REASON | QL_HAS_CLASS;
	metadata.timeout_ms = 1234;
	metadata.attempt = {1, UINT64_MAX};
	metadata.outcome = QL_OUTCOME_REFUSED;
	metadata.reason = QL_REASON_NO_QUORUM;
	strcpy(metadata.class_name, "order");
	ql_metadata_emit(&metadata, AddHeader, &parsed);
	EXPECT_EQ(0, memcmp(&metadata, &parsed, sizeof(parsed)));
}

struct RemainingCase {
	uint64_t deadline_us;
	uint64_t now_us;
	uint64_t expected_ms;
};

class RemainingMs : public testing::TestWithParam<RemainingCase>
{
};

TEST_P(RemainingMs, StaysWithinRangeOfHeader)
{
	EXPECT_EQ(GetParam().expected_ms,
		  ql_remaining_ms(GetParam().deadline_us, GetParam().now_us));
}

INSTANTIATE_TEST_SUITE_P(Times, RemainingMs,
			 testing::Values(RemainingCase{5000, 1000, 4},
					 RemainingCase{5001, 1000, 5},
					 RemainingCase{1000, 1000, 1},
					 RemainingCase{1000, 5000, 1},
					 RemainingCase{600000000, 0, 600000},
					 RemainingCase{600000001, 0, 600000},
					 RemainingCase{UINT64_MAX, 0, 600000}));

} // namespace
