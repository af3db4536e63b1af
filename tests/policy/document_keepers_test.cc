#include "quetzalloft/document.h"
#include "quetzalloft/error.h"
#include "quetzalloft/json.h"

#include <gtest/gtest.h>

#include <string>

namespace
{

/* Keepers k0 to k6, k6 in the failure domain of k0. */
std::string Keepers(const std::string &slots, const std::string &previous = "")
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

ql_document_t *Compile(const std::string &keepers, int *ret,
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

ql_document_t *Good(const std::string &slots, const std::string &previous = "")
{
	std::string detail;
	int ret;
	ql_document_t *doc = Compile(Keepers(slots, previous), &ret, &detail);

	EXPECT_EQ(0, ret) << detail;
	return doc;
}

const char three[] = "[[\"k0\",\"k1\",\"k2\"]]";
const char other[] = "[[\"k0\",\"k3\",\"k4\"]]";

struct BadCase {
	std::string keepers;
	int expected;
	const char *part;
};

class KeepersRefused : public testing::TestWithParam<BadCase>
{
};

TEST_P(KeepersRefused, WithThePath)
{
	std::string detail;
	int ret;

	EXPECT_EQ(nullptr, Compile(GetParam().keepers, &ret, &detail));
	EXPECT_EQ(GetParam().expected, ret);
	EXPECT_NE(std::string::npos, detail.find(GetParam().part)) << detail;
}

INSTANTIATE_TEST_SUITE_P(
	Documents, KeepersRefused,
	testing::Values(
		BadCase{Keepers("[[\"k0\",\"k1\"]]"), QL_E_RANGE,
			"keepers.slots[0]: found 2 keepers"},
		BadCase{Keepers("[[\"k0\",\"k1\",\"k2\",\"k3\"]]"), QL_E_RANGE,
			"keepers.slots[0]: found 4 keepers"},
		BadCase{Keepers("[]"), QL_E_RANGE, "keepers.slots"},
		BadCase{Keepers("[7]"), QL_E_RANGE, "keepers.slots[0]"},
		BadCase{Keepers("[[\"k0\",\"k1\",\"k9\"]]"), QL_E_NOT_FOUND,
			"keepers.slots[0][2]: found \"k9\""},
		BadCase{Keepers("[[\"k0\",\"k1\",5]]"), QL_E_NOT_FOUND,
			"no string"},
		BadCase{Keepers("[[\"k0\",\"k1\",\"k0\"]]"), QL_E_EXISTS,
			"\"k0\" twice"},
		BadCase{Keepers("[[\"k0\",\"k1\",\"k6\"]]"), QL_E_CONFLICT,
			"in one failure domain"},
		BadCase{Keepers(three, "[[\"k0\"]]"), QL_E_RANGE,
			"keepers.previous_slots[0]"},
		BadCase{"{\"members\":{\"k\":{\"address\":\"x\","
			"\"failure_domain\":\"d\"}},\"slots\":[]}",
			QL_E_INVALID, "keepers.members.k.address"},
		BadCase{"{\"members\":{},\"slots\":[],\"retention_ms\":1}",
			QL_E_RANGE, "keepers.retention_ms"}));

TEST(DocumentKeepers, BothSetsWhileTheyChange)
{
	ql_document_t *doc = Good(other, three);
	ql_key_keepers_t choice;

	ql_document_find_keepers(doc, "key", &choice);
	EXPECT_EQ(2u, choice.n_sets);
	EXPECT_EQ(5u, choice.n_members);
	EXPECT_EQ(7u, choice.sets[0]);
	EXPECT_EQ(1u | 8u | 16u, choice.sets[1]);
	ql_document_unref(doc);
}

TEST(DocumentKeepers, OneSetWhenNothingChanges)
{
	ql_document_t *doc = Good(three, three);
	ql_key_keepers_t choice;

	ql_document_find_keepers(doc, "key", &choice);
	EXPECT_EQ(1u, choice.n_sets);
	EXPECT_EQ(3u, choice.n_members);
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

TEST_P(KeepersChange, NeedsTheOldSet)
{
	const ChangeCase &test = GetParam();
	ql_document_t *old = Good(test.slots, test.previous);
	ql_document_t *doc = Good(test.next_slots, test.next_previous);

	EXPECT_EQ(test.expected, ql_document_check_keepers(old, doc, nullptr));
	ql_document_unref(old);
	ql_document_unref(doc);
}

INSTANTIATE_TEST_SUITE_P(
	Documents, KeepersChange,
	testing::Values(ChangeCase{three, "", three, "", 0},
			ChangeCase{three, "", other, three, 0},
			ChangeCase{three, "", other, "", QL_E_CONFLICT},
			ChangeCase{three, "", other, other, QL_E_CONFLICT},
			ChangeCase{other, three, other, "", 0},
			ChangeCase{other, three, three, other, QL_E_CONFLICT}));

} // namespace
