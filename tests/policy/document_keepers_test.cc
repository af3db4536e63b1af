#include "quetzalloft/document.h"
#include "quetzalloft/error.h"
#include "quetzalloft/json.h"

#include <gtest/gtest.h>

#include <string>

namespace
{

/* JSON of the keepers k0 to k6; k6 is in the failure domain of k0. */
std::string KeepersText(const std::string &slots,
			const std::string &previous = "")
{
	std::string text = "{\"members\":{";

	for (int i = 0; i < 7; i++)
		text += (i ? ",\"k" : "\"k") + std::to_string(i) +
			"\":{\"address\":\"127.0.0.1:" +
			std::to_string(20000 + i) +
			"\",\"failure_domain\":\"d" + std::to_string(i % 6) +
			"\"}";
	text += "},\"slots\":" + slots;
	if (!previous.empty())
		text += ",\"previous_slots\":" + previous;
	return text + "}";
}

ql_document_t *CompileKeepers(const std::string &keepers, int *ret,
			      std::string *detail)
{
	std::string text = "{\"site\":\"s\",\"attempts\":1,\"classes\":{},"
			   "\"services\":{},\"routes\":{},\"keepers\":" +
			   keepers + "}";
	ql_document_t *doc = nullptr;
	GError *error = nullptr;
	json_t *json = nullptr;

	EXPECT_EQ(0, ql_json_parse(&json, text.c_str(), text.size(), nullptr));
	*ret = ql_document_compile(&doc, json, 1, &error);
	if (error)
		*detail = error->message;
	g_clear_error(&error);
	json_decref(json);
	return doc;
}

ql_document_t *CompileValid(const std::string &slots,
			    const std::string &previous = "")
{
	std::string detail;
	int ret;
	ql_document_t *doc =
		CompileKeepers(KeepersText(slots, previous), &ret, &detail);

	EXPECT_EQ(0, ret) << detail;
	return doc;
}

const char slots_012[] = "[[\"k0\",\"k1\",\"k2\"]]";
const char slots_034[] = "[[\"k0\",\"k3\",\"k4\"]]";

struct RefusedCase {
	std::string keepers;
	int expected;
	const char *detail_part;
};

class KeepersRefusal : public testing::TestWithParam<RefusedCase>
{
};

TEST_P(KeepersRefusal, WithPathInDetail)
{
	std::string detail;
	int ret;

	EXPECT_EQ(nullptr, CompileKeepers(GetParam().keepers, &ret, &detail));
	EXPECT_EQ(GetParam().expected, ret);
	EXPECT_NE(std::string::npos, detail.find(GetParam().detail_part))
		<< detail;
}

INSTANTIATE_TEST_SUITE_P(
	Documents, KeepersRefusal,
	testing::Values(
		RefusedCase{KeepersText("[[\"k0\",\"k1\"]]"), QL_E_RANGE,
			    "keepers.slots[0]: found 2 keepers"},
		RefusedCase{KeepersText("[[\"k0\",\"k1\",\"k2\",\"k3\"]]"),
			    QL_E_RANGE, "keepers.slots[0]: found 4 keepers"},
		RefusedCase{KeepersText("[]"), QL_E_RANGE, "keepers.slots"},
		RefusedCase{KeepersText("[7]"), QL_E_RANGE, "keepers.slots[0]"},
		RefusedCase{KeepersText("[[\"k0\",\"k1\",\"k9\"]]"),
			    QL_E_NOT_FOUND,
			    "keepers.slots[0][2]: found \"k9\""},
		RefusedCase{KeepersText("[[\"k0\",\"k1\",5]]"), QL_E_NOT_FOUND,
			    "no string"},
		RefusedCase{KeepersText("[[\"k0\",\"k1\",\"k0\"]]"),
			    QL_E_EXISTS, "\"k0\" twice"},
		RefusedCase{KeepersText("[[\"k0\",\"k1\",\"k6\"]]"),
			    QL_E_CONFLICT, "in one failure domain"},
		RefusedCase{KeepersText(slots_012, "[[\"k0\"]]"), QL_E_RANGE,
			    "keepers.previous_slots[0]"},
		RefusedCase{"{\"members\":{\"k\":{\"address\":\"x\","
			    "\"failure_domain\":\"d\"}},\"slots\":[]}",
			    QL_E_INVALID, "keepers.members.k.address"},
		RefusedCase{"{\"members\":{},\"slots\":[],\"retention_ms\":1}",
			    QL_E_RANGE, "keepers.retention_ms"}));

TEST(DocumentKeepers, TwoSetsWhileKeepersChange)
{
	ql_document_t *doc = CompileValid(slots_034, slots_012);
	ql_key_keepers_t keepers;

	ql_document_find_keepers(doc, "key", &keepers);
	EXPECT_EQ(2u, keepers.n_sets);
	EXPECT_EQ(5u, keepers.n_members);
	EXPECT_EQ(7u, keepers.sets[0]);
	EXPECT_EQ(1u | 8u | 16u, keepers.sets[1]);
	ql_document_unref(doc);
}

TEST(DocumentKeepers, OneSetIfTablesAreEqual)
{
	ql_document_t *doc = CompileValid(slots_012, slots_012);
	ql_key_keepers_t keepers;

	ql_document_find_keepers(doc, "key", &keepers);
	EXPECT_EQ(1u, keepers.n_sets);
	EXPECT_EQ(3u, keepers.n_members);
	ql_document_unref(doc);
}

struct ChangeCase {
	const char *slots;
	const char *previous;
	const char *next_slots;
	const char *next_previous;
	int expected;
};

class KeepersChange : public testing::TestWithParam<ChangeCase>
{
};

TEST_P(KeepersChange, RequiresCurrentSlotsAsPrevious)
{
	const ChangeCase &test = GetParam();
	ql_document_t *old = CompileValid(test.slots, test.previous);
	ql_document_t *doc = CompileValid(test.next_slots, test.next_previous);

	EXPECT_EQ(test.expected, ql_document_check_keepers(old, doc, nullptr));
	ql_document_unref(old);
	ql_document_unref(doc);
}

INSTANTIATE_TEST_SUITE_P(
	Documents, KeepersChange,
	testing::Values(ChangeCase{slots_012, "", slots_012, "", 0},
			ChangeCase{slots_012, "", slots_034, slots_012, 0},
			ChangeCase{slots_012, "", slots_034, "", QL_E_CONFLICT},
			ChangeCase{slots_012, "", slots_034, slots_034,
				   QL_E_CONFLICT},
			ChangeCase{slots_034, slots_012, slots_034, "", 0},
			ChangeCase{slots_034, slots_012, slots_012, slots_034,
				   QL_E_CONFLICT}));

} // namespace
